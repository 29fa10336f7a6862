//! Machines that are to go: which never came up, fell silent, failed or are no longer
//! listed. Only marks them; the autoscaler terminates them.

use super::cluster_state::ClusterState;
use crate::core::machine::{Machine, MachineLifecycle};
use crate::types::{Time, TimeSpan};

/// Boot time of a machine whose type is not known, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Added to twice the cloud's list lag, before a list counts as newer than a heartbeat.
const LIST_SLACK: TimeSpan = TimeSpan::millis(1000);

/// What is to become of a machine.
enum HealthResult {
    /// It stays as it is.
    Keep,
    /// It was never there: nothing is known of it but that it was asked for.
    Forget,
    /// It is terminated, for this reason, without a log line: it is expected.
    Terminate(&'static str),
    /// It is terminated, for this reason, and the log says so.
    TerminateAndLog(&'static str),
}

/// How machines are judged in one check.
struct HealthCheck {
    now: Time,
    /// How long a machine may be silent and still get work.
    max_silence: TimeSpan,
    /// After how much silence a machine is terminated whatever the list says.
    silent_release: TimeSpan,
    /// For how long a quarantined machine is kept, idle.
    idle_limit: TimeSpan,
    /// A list says that a machine is gone if it was read so long after its heartbeat:
    /// lists are up to twice the lag old.
    list_lag: TimeSpan,
    /// When the last whole list was read.
    last_list: Option<Time>,
}

impl ClusterState {
    /// Marks machines that never came up, fell silent or are gone.
    pub fn retire_machines(&mut self, now: Time, last_list: Option<Time>) {
        let check = HealthCheck {
            now,
            max_silence: self.max_silence(),
            silent_release: TimeSpan::secs(self.policy.silent_release_s),
            idle_limit: TimeSpan::secs(self.policy.idle_s),
            list_lag: TimeSpan(self.settings.list_lag.0 * 2) + LIST_SLACK,
            last_list,
        };
        let mut forgotten = Vec::new();
        for (id, machine) in &mut self.machines {
            let machine_type = machine.machine_type.as_ref();
            let boot_s = machine_type
                .and_then(|name| self.machine_types.get(name))
                .map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
            let boot_limit = TimeSpan::secs(boot_s * self.policy.boot_patience);
            match check.judge(machine, boot_limit) {
                HealthResult::Keep => {}
                HealthResult::Forget => forgotten.push(id.clone()),
                HealthResult::Terminate(reason) => machine.mark_for_termination(reason),
                HealthResult::TerminateAndLog(reason) => {
                    tracing::info!(machine = %id, reason, "machine terminated");
                    machine.mark_for_termination(reason);
                }
            }
        }
        for id in forgotten {
            self.machines.remove(&id);
        }
    }
}

impl HealthCheck {
    fn judge(&self, machine: &Machine, boot_limit: TimeSpan) -> HealthResult {
        match machine.lifecycle {
            MachineLifecycle::Terminating => return HealthResult::Keep,
            MachineLifecycle::Draining if machine.tasks.is_empty() => {
                return HealthResult::Terminate("put aside");
            }
            MachineLifecycle::Draining | MachineLifecycle::InService => {}
        }
        if machine.tasks.is_empty() && self.is_quarantined_for_long(machine) {
            // It is paid for nothing, as an idle machine is.
            return HealthResult::Terminate("put aside");
        }
        if machine.tasks.is_empty() && self.is_unreachable_for_long(machine) {
            // It is paid, and nothing can be had of it.
            return HealthResult::TerminateAndLog("does not hear");
        }
        if machine.presumed_dead && machine.listed_as_failed() {
            return HealthResult::Terminate("failed");
        }
        self.judge_silence(machine, boot_limit)
    }

    /// Judges a machine by how long it has been silent.
    fn judge_silence(&self, machine: &Machine, boot_limit: TimeSpan) -> HealthResult {
        let last_heard = machine.last_heartbeat.unwrap_or(machine.first_seen);
        let silence = self.now.since(last_heard);
        let is_unlisted = self.is_unlisted(machine, last_heard);
        if machine.last_heartbeat.is_none() {
            let is_late = silence > boot_limit;
            if is_late && machine.last_listed.is_some() {
                return HealthResult::TerminateAndLog("did not come up");
            }
            if is_late && is_unlisted && machine.tasks.is_empty() {
                return HealthResult::Forget;
            }
            return HealthResult::Keep;
        }
        if silence > self.max_silence && is_unlisted {
            // Silent and no longer listed: taken by the cloud. A release costs nothing
            // then, and its answer proves that the tasks are gone, long
            // before the lease would.
            let reason = "silent and not listed";
            if machine.tasks.is_empty() {
                return HealthResult::Terminate(reason);
            }
            return HealthResult::TerminateAndLog(reason);
        }
        if silence > self.silent_release {
            return HealthResult::TerminateAndLog("silent for long");
        }
        HealthResult::Keep
    }

    fn is_quarantined_for_long(&self, machine: &Machine) -> bool {
        let until = machine.quarantined_until;
        until.is_some_and(|until| until.since(self.now) > self.idle_limit)
    }

    fn is_unreachable_for_long(&self, machine: &Machine) -> bool {
        let unreachable = machine.delivery.loss_duration(self.now);
        unreachable.is_some_and(|span| span > self.silent_release)
    }

    /// Whether the last list lacks a machine that it would have, were it still there:
    /// one read well after it was last heard of.
    fn is_unlisted(&self, machine: &Machine, last_heard: Time) -> bool {
        self.last_list.is_some_and(|list| {
            list > last_heard + self.list_lag
                && machine.last_listed.is_none_or(|listed| list > listed)
                && machine.first_seen + self.list_lag < list
        })
    }
}
