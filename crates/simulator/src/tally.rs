//! What renting came to, counted from what the cloud gave and took and what
//! ran on its machines.

use pebblefold_controller::types::{Time, TimeSpan};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Time between looks for machines that nobody who leads knows.
const LOOK: TimeSpan = TimeSpan::millis(1000);

/// Counts on renting.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Machines hired by controllers.
    pub hired: usize,
    /// Those of them that never had a task on them.
    pub unused: usize,
    /// Tasks on machines that were released by a controller that did not lead.
    pub lost_to_replaced: usize,
    /// Machine seconds paid while a controller led and did not know the machine.
    pub unknown_s: f64,
    /// The longest such time of one machine.
    pub unknown_longest_s: f64,
    #[serde(skip)]
    names: BTreeSet<String>,
    #[serde(skip)]
    idle: BTreeSet<String>,
    /// Machines that the leader does not know, and since when.
    #[serde(skip)]
    unknown: BTreeMap<String, Time>,
    #[serde(skip)]
    looked: Time,
}

impl Tally {
    /// A hire was answered with these machines; a repeated one counts once.
    pub fn hired<'a>(&mut self, machines: impl Iterator<Item = &'a str>) {
        for m in machines {
            if self.names.insert(m.into()) {
                self.idle.insert(m.into());
            }
        }
        (self.hired, self.unused) = (self.names.len(), self.idle.len());
    }

    /// A task is on a machine.
    pub fn used(&mut self, machine: &str) {
        self.idle.remove(machine);
        self.unused = self.idle.len();
    }

    /// A controller that did not lead released machines with so many tasks.
    pub fn released_by_replaced(&mut self, tasks: usize) {
        self.lost_to_replaced += tasks;
    }

    /// Whether it is time to look for unknown machines.
    pub fn is_due(&self, now: Time) -> bool {
        now.since(self.looked) >= LOOK
    }

    /// Looks: the machines that are paid and that the leader does not know.
    /// `None`: nobody leads, so that nobody could know any.
    pub fn look(&mut self, now: Time, unknown: Option<Vec<String>>) {
        let passed = now.since(self.looked);
        self.looked = now;
        let Some(names) = unknown else { return };
        self.unknown_s += passed.as_secs() * names.len() as f64;
        let before = std::mem::take(&mut self.unknown);
        for name in names {
            let since = before.get(&name).copied().unwrap_or(now - passed);
            let longest = now.since(since).as_secs();
            self.unknown_longest_s = self.unknown_longest_s.max(longest);
            self.unknown.insert(name, since);
        }
    }
}
