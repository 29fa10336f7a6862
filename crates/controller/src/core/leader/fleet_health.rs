//! Health checks of machines: marks machines for termination that never came up, fell
//! silent, failed or are no longer listed. The autoscaler terminates them.

use super::cluster_state::ClusterState;
use crate::core::machine::{Machine, MachineLifecycle};
use crate::types::{Time, TimeSpan};

/// Assumed boot time of a machine of unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Added to twice the cloud's list lag: a list that was read this long after a heartbeat is
/// newer than the heartbeat.
const LIST_LAG_SLACK: TimeSpan = TimeSpan::millis(1000);

/// The outcome of a machine's health check.
enum HealthResult {
    /// The machine is kept.
    Keep,
    /// The machine is removed from the tables: it was requested, but neither a heartbeat
    /// nor a list has ever shown it.
    Forget,
    /// The machine is terminated for this reason, an expected one that is not logged.
    Terminate(&'static str),
    /// The machine is terminated for this reason, and that is logged.
    TerminateAndLog(&'static str),
}

/// The limits that one check applies to all machines.
struct HealthCheck {
    now: Time,
    /// Silence after which a machine gets no new work.
    max_silence: TimeSpan,
    /// Silence, or loss of answers to heartbeats, after which a machine is terminated even if
    /// the cloud lists it.
    silence_limit: TimeSpan,
    /// How long a machine is kept idle; also the longest remaining quarantine with which an
    /// empty machine is kept.
    idle_limit: TimeSpan,
    /// A list without a machine proves that the machine is gone if the list was read more
    /// than this after the machine's last heartbeat: lists are up to twice the lag old.
    max_list_age: TimeSpan,
    /// When the last complete list was read; `None`: none yet.
    last_list: Option<Time>,
}

impl ClusterState {
    /// Marks machines for termination that never came up, fell silent or failed, and removes
    /// entries of machines that never existed. `last_list`: when the last complete list was
    /// read.
    pub fn mark_unhealthy_machines(&mut self, now: Time, last_list: Option<Time>) {
        let check = HealthCheck {
            now,
            max_silence: self.max_silence(),
            silence_limit: TimeSpan::secs(self.policy.silent_release_s),
            idle_limit: TimeSpan::secs(self.policy.idle_s),
            max_list_age: TimeSpan(self.settings.list_lag.0 * 2) + LIST_LAG_SLACK,
            last_list,
        };
        let mut forgotten = Vec::new();
        for (id, machine) in &mut self.machines {
            let machine_type = machine.machine_type.as_ref();
            let boot_s = machine_type
                .and_then(|name| self.machine_types.get(name))
                .map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
            let boot_limit = TimeSpan::secs(boot_s * self.policy.boot_patience);
            match check.evaluate(machine, boot_limit) {
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
    fn evaluate(&self, machine: &Machine, boot_limit: TimeSpan) -> HealthResult {
        if machine.lifecycle == MachineLifecycle::Terminating {
            return HealthResult::Keep;
        }
        let is_set_aside =
            self.has_long_quarantine_left(machine) || self.has_failed_for_long(machine);
        if machine.tasks.is_empty() && is_set_aside {
            // The machine costs money and does no work, like an idle machine.
            return HealthResult::Terminate("put aside");
        }
        if machine.tasks.is_empty() && self.is_unreachable_for_long(machine) {
            // The machine costs money and cannot be used.
            return HealthResult::TerminateAndLog("does not hear");
        }
        if machine.presumed_dead && machine.listed_as_failed() {
            return HealthResult::Terminate("failed");
        }
        self.evaluate_silence(machine, boot_limit)
    }

    /// Evaluates how long a machine has been silent, and whether the last list names it.
    fn evaluate_silence(&self, machine: &Machine, boot_limit: TimeSpan) -> HealthResult {
        let last_seen = machine.last_heartbeat.unwrap_or(machine.first_seen);
        let silence = self.now.since(last_seen);
        let is_unlisted = self.is_unlisted(machine, last_seen);
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
            // Silent and no longer listed: the cloud has taken the machine back. Terminating
            // it costs nothing, and the answer proves that its tasks are gone, long before
            // the lease expires.
            let reason = "silent and not listed";
            if machine.tasks.is_empty() {
                return HealthResult::Terminate(reason);
            }
            return HealthResult::TerminateAndLog(reason);
        }
        if silence > self.silence_limit {
            return HealthResult::TerminateAndLog("silent for long");
        }
        HealthResult::Keep
    }

    fn has_long_quarantine_left(&self, machine: &Machine) -> bool {
        let until = machine.quarantined_until;
        until.is_some_and(|until| until.since(self.now) > self.idle_limit)
    }

    /// Whether the machine's circuit has been open for as long as an idle machine is kept:
    /// enough for the failed jobs to show on other machines whether they are at fault.
    fn has_failed_for_long(&self, machine: &Machine) -> bool {
        let opened_at = machine.circuit_breaker.opened_at();
        opened_at.is_some_and(|opened| self.now.since(opened) > self.idle_limit)
    }

    fn is_unreachable_for_long(&self, machine: &Machine) -> bool {
        let unreachable = machine.delivery.loss_duration(self.now);
        unreachable.is_some_and(|span| span > self.silence_limit)
    }

    /// Whether the last list lacks a machine that it would name if the machine still existed:
    /// the list was read well after the machine was last seen and after it was first seen.
    fn is_unlisted(&self, machine: &Machine, last_seen: Time) -> bool {
        self.last_list.is_some_and(|list| {
            list > last_seen + self.max_list_age
                && machine.last_listed.is_none_or(|listed| list > listed)
                && machine.first_seen + self.max_list_age < list
        })
    }
}
