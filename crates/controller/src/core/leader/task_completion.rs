//! The end of tasks: reported as exited by their machine, or removed together with a
//! machine whose lease has expired. Also records which machines miss their leases
//! repeatedly. Sends nothing.

use super::cluster_state::ClusterState;
use super::task_lifecycle::{RemovalReason, StopDurability};
use crate::core::Now;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::machine::*;
use crate::core::pending_writes::PendingWrites;
use crate::core::quarantine::Quarantine;
use crate::types::{MachineId, TaskId, Time, TimeSpan, WallTime, Zone};
use crate::wire::workers::{ReportedTask, StopReason};
use std::collections::BTreeMap;

/// Most machines of one zone that may miss their leases in one check and still count as
/// faulty themselves.
const MAX_FAULTY_MACHINES_PER_ZONE: usize = 3;
/// How long a job waits after a machine had no room for one of its tasks.
const NO_ROOM_PAUSE: TimeSpan = TimeSpan::millis(1000);
/// How much longer than their lease tasks may run: factor for the drift of clocks, and
/// allowance for delays.
const LEASE_DRIFT_FACTOR: f64 = 1.0005;
const LEASE_SLACK: TimeSpan = TimeSpan::millis(1000);
/// Time that a task on a machine with a termination notice needs in addition to its
/// remaining run time, to be left running.
const NOTICE_SLACK: TimeSpan = TimeSpan::millis(1000);

/// Records machines that fail, for this leader and its successors.
pub(in crate::core) struct QuarantineRecorder<'a> {
    /// The records of machines that failed.
    pub quarantine: &'a mut Quarantine,
    /// Queue in which changes of the records wait to be stored.
    pub pending_writes: &'a mut PendingWrites,
}

impl QuarantineRecorder<'_> {
    /// Stores the state of a machine's circuit for successors.
    pub fn record_circuit(&mut self, id: &MachineId, machine: &Machine, at: Now) {
        let state = machine.circuit_breaker.state(at.time);
        self.quarantine
            .store_circuit(self.pending_writes, id, state.as_ref(), at.wall);
    }

    /// Records that a machine was silent for a whole lease. Returns for how long it
    /// receives no tasks; `None`: it has not missed enough leases to be quarantined.
    fn record_missed_lease(&mut self, id: &MachineId, wall: WallTime) -> Option<TimeSpan> {
        self.quarantine
            .record_missed_lease(self.pending_writes, id, wall)
    }
}

/// A machine whose lease has expired, and why its tasks are removed.
struct ExpiredMachine {
    id: MachineId,
    reason: RemovalReason,
}

impl ClusterState {
    /// Processes the report that an assigned task has exited.
    pub fn handle_task_exit(
        &mut self,
        at: Now,
        recorder: &mut QuarantineRecorder<'_>,
        task: &TaskId,
        reported: &ReportedTask,
    ) {
        let now = at.time;
        let why = reported.why.unwrap_or(StopReason::Unknown);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignments.get(&task.index) else {
            return;
        };
        let machine = assignment.machine.clone();
        if why == StopReason::Done && !job.is_service() {
            self.record_machine_success(at, recorder, task, &machine);
            self.complete_task(now, task);
            return;
        }
        if !matches!(why, StopReason::Stopped | StopReason::Done) {
            tracing::info!(task = %task, machine = %machine, reason = ?why, team = %job.spec.team, "task exited early");
        }
        self.record_task_gone(now, task, RemovalReason::Exited);
        match why {
            StopReason::Error | StopReason::Unknown => {
                self.record_failure(at, recorder, task, &machine);
            }
            StopReason::NoRoom | StopReason::Busy => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.scheduling.not_before = now + NO_ROOM_PAUSE;
                }
            }
            StopReason::Done | StopReason::Stopped | StopReason::Peers | StopReason::Alone => {}
        }
    }

    /// Marks a task as done. The tasks of a gang complete together.
    fn complete_task(&mut self, now: Time, task: &TaskId) {
        self.record_task_gone(now, task, RemovalReason::Done);
        let job = &self.jobs[&task.job];
        if !job.is_gang() {
            self.record_task_done(now, task);
            return;
        }
        for index in 0..job.spec.tasks {
            let job = task.job.clone();
            self.record_task_done(now, &TaskId { job, index });
        }
    }

    /// Orders the tasks of a machine that the cloud will terminate to stop, so that they
    /// save a checkpoint, or at least exit early enough to prove that they are gone.
    pub fn stop_tasks_before_termination(&mut self, now: Time, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let notice = machine.termination_notice_at;
        let time_left = notice.map_or(TimeSpan::ZERO, |at| at.since(now));
        let tasks: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        for task in tasks {
            self.stop_task_before_termination(now, &task, time_left);
        }
    }

    /// Orders one task to stop, if it will not be done in the time left before its
    /// machine is terminated. With a task of a gang, the whole gang is stopped.
    fn stop_task_before_termination(&mut self, now: Time, task: &TaskId, time_left: TimeSpan) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignments.get(&task.index) else {
            return;
        };
        if assignment.stop.is_some() {
            return;
        }
        if self.remaining_time(now, job, assignment) + NOTICE_SLACK < time_left {
            return;
        }
        let grace_s = job.spec.save_s.min((time_left.as_secs() - 1.0).max(0.0));
        let tasks: Vec<u32> = if job.is_gang() {
            job.assignments.keys().copied().collect()
        } else {
            vec![task.index]
        };
        let why = "its machine is being taken";
        let durability = StopDurability::StoredWhileSent;
        self.order_stops(now, &task.job, &tasks, grace_s, why, durability);
    }

    /// Removes the tasks of machines whose agents must have stopped them by now. Until
    /// `inherited_until`, an earlier leader may have renewed their leases.
    pub fn expire_leases(
        &mut self,
        at: Now,
        recorder: &mut QuarantineRecorder<'_>,
        inherited_until: Time,
    ) {
        let lease = self.settings.workers.lease;
        let mut expired = Vec::new();
        for (id, machine) in &mut self.machines {
            if machine.presumed_dead || machine.tasks.is_empty() {
                continue;
            }
            let Some(reason) = lease_expiry(at.time, machine, lease, inherited_until) else {
                continue;
            };
            tracing::info!(machine = %id, %reason, tasks = machine.tasks.len(), "machine presumed dead");
            machine.presumed_dead = true;
            machine.has_current_token = false;
            machine.cache.clear();
            let id = id.clone();
            expired.push(ExpiredMachine { id, reason });
        }
        self.record_missed_leases(at, recorder, &expired);
        for ExpiredMachine { id, reason } in expired {
            self.write_off_machine(at.time, &id, reason);
        }
    }

    /// Records machines that were silent for a whole lease. If many machines of a zone
    /// miss their leases in the same check, the cause is the zone and not the machines,
    /// so none of them is recorded.
    fn record_missed_leases(
        &mut self,
        at: Now,
        recorder: &mut QuarantineRecorder<'_>,
        expired: &[ExpiredMachine],
    ) {
        let mut by_zone: BTreeMap<Option<Zone>, Vec<&MachineId>> = BTreeMap::new();
        for ExpiredMachine { id, .. } in expired {
            let zone = self
                .machines
                .get(id)
                .and_then(|machine| machine.zone.clone());
            by_zone.entry(zone).or_default().push(id);
        }
        let faulty = by_zone
            .into_values()
            .filter(|machines| machines.len() <= MAX_FAULTY_MACHINES_PER_ZONE)
            .flatten();
        for id in faulty {
            let Some(pause) = recorder.record_missed_lease(id, at.wall) else {
                continue;
            };
            if let Some(machine) = self.machines.get_mut(id) {
                tracing::info!(machine = %id, pause_s = pause.as_secs(), "machine quarantined: silent again and again");
                machine.quarantined_until = Some(at.time + pause);
            }
        }
    }
}

/// The reason why the tasks of a silent machine must have ended by now; `None`: some may
/// still run.
fn lease_expiry(
    now: Time,
    machine: &Machine,
    lease: TimeSpan,
    inherited_until: Time,
) -> Option<RemovalReason> {
    if machine.listed_as_failed() {
        return Some(RemovalReason::MachineFailed);
    }
    let lease = if failpoints::enforced(SafetyCheck::AbandonOnlyAfterLeaseExpiry) {
        lease.scaled(LEASE_DRIFT_FACTOR) + LEASE_SLACK
    } else {
        TimeSpan::secs(3.0)
    };
    let (due, reason) = if let Some(since) = machine.current_token_since {
        // An agent that has received this leader's token drops the answers of older
        // leaders, so that only this leader renews the agent's lease. Before that, an
        // older leader may have renewed it: a direct command can deliver the token
        // without a 200 of this leader.
        let last_renewal = machine.last_answer.max(Some(since)).unwrap_or(now);
        (last_renewal + lease, RemovalReason::LeaseExpired)
    } else {
        // An older leader may have answered the machine until that leader noticed that it
        // was replaced.
        let own_answer_expires = machine
            .last_answer
            .map_or(Time(0), |answered| answered + lease);
        (
            inherited_until.max(own_answer_expires),
            RemovalReason::SilentSincePreviousLeader,
        )
    };
    (now >= due).then_some(reason)
}
