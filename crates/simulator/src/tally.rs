//! Statistics on provisioning, from the machines that the cloud provisioned and
//! terminated and from the tasks that ran on them.

use pebblefold_controller::types::{Time, TimeSpan};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Time between two checks for machines that the leader has no record of.
const UNKNOWN_MACHINE_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(1000);

/// Counts of machines provisioned, wasted and lost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProvisioningStats {
    /// Machines that controllers provisioned.
    pub hired: usize,
    /// Provisioned machines that never had a task on them.
    pub unused: usize,
    /// Tasks that were on machines when a controller that was not the leader terminated them.
    pub lost_to_replaced: usize,
    /// Paid machine seconds during which there was a leader that had no record of the machine.
    pub unknown_s: f64,
    /// The longest time, in seconds, that the leader had no record of one paid machine.
    pub unknown_longest_s: f64,
    /// Names of all provisioned machines.
    #[serde(skip)]
    names: BTreeSet<String>,
    /// Names of the provisioned machines that have had no task yet.
    #[serde(skip)]
    never_used: BTreeSet<String>,
    /// Machines that the leader has no record of, and since when.
    #[serde(skip)]
    unknown: BTreeMap<String, Time>,
    /// Time of the latest check.
    #[serde(skip)]
    last_check: Time,
}

impl ProvisioningStats {
    /// Counts the machines in the cloud's answer to a provisioning request. A repeated answer
    /// with the same machines counts once.
    pub fn record_provisioned<'a>(&mut self, machines: impl Iterator<Item = &'a str>) {
        for m in machines {
            if self.names.insert(m.into()) {
                self.never_used.insert(m.into());
            }
        }
        (self.hired, self.unused) = (self.names.len(), self.never_used.len());
    }

    /// Records that a task was placed on a machine.
    pub fn record_task_placed(&mut self, machine: &str) {
        self.never_used.remove(machine);
        self.unused = self.never_used.len();
    }

    /// Counts the tasks on machines that a controller other than the leader terminated.
    pub fn record_terminated_by_replaced(&mut self, tasks: usize) {
        self.lost_to_replaced += tasks;
    }

    /// Whether the next check for unknown machines is due.
    pub fn is_due(&self, now: Time) -> bool {
        now.since(self.last_check) >= UNKNOWN_MACHINE_CHECK_INTERVAL
    }

    /// Counts the time since the latest check for each of `unknown`: the paid machines that
    /// the leader has no record of, or `None` if there is no leader, and then no time counts.
    pub fn record_unknown(&mut self, now: Time, unknown: Option<Vec<String>>) {
        let elapsed = now.since(self.last_check);
        self.last_check = now;
        let Some(names) = unknown else { return };
        self.unknown_s += elapsed.as_secs() * names.len() as f64;
        let previous = std::mem::take(&mut self.unknown);
        for name in names {
            let since = previous.get(&name).copied().unwrap_or(now - elapsed);
            let longest = now.since(since).as_secs();
            self.unknown_longest_s = self.unknown_longest_s.max(longest);
            self.unknown.insert(name, since);
        }
    }
}
