//! Compares the tasks that a heartbeat lists with the assignments: which tasks run, which
//! have ended, and which starts were lost. Changes only the leader's tables.

use super::cluster_state::ClusterState;
use super::task_completion::QuarantineRecorder;
use super::task_lifecycle::RemovalReason;
use crate::core::Now;
use crate::core::assignment::{AssignmentPhase, PresenceProof};
use crate::core::delivery::DeliveryEvidence;
use crate::types::{Attempt, FencingToken, Image, MachineId, Resources, TaskId, Time, TimeSpan};
use crate::wire::workers::{Heartbeat, ReportedTask, StopReason, TaskState};
use std::collections::BTreeMap;

/// A heartbeat with the values that it is evaluated by.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct ReceivedHeartbeat<'a> {
    /// When it was received.
    pub at: Now,
    /// This leader's fencing token.
    pub own_token: FencingToken,
    /// The heartbeat as the agent sent it.
    pub heartbeat: &'a Heartbeat,
}

/// What a heartbeat showed.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct ReconciliationResult {
    /// Whether tasks left the machine, so that other tasks may use its resources.
    pub freed_room: bool,
    /// Whether starts that were sent to the machine have arrived.
    pub delivery: DeliveryEvidence,
}

impl ClusterState {
    /// Compares the tasks that a heartbeat lists with the assignments to its machine.
    pub fn reconcile_tasks(
        &mut self,
        received: &ReceivedHeartbeat<'_>,
        recorder: &mut QuarantineRecorder<'_>,
    ) -> ReconciliationResult {
        let ReceivedHeartbeat { heartbeat, .. } = received;
        let listed = self.match_reported_tasks(received.at.time, heartbeat);
        let mut result = ReconciliationResult {
            freed_room: false,
            delivery: DeliveryEvidence::None,
        };
        let Some(machine) = self.machines.get(&heartbeat.machine) else {
            return result;
        };
        let placed: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        for task in placed {
            let reported = listed.get(&task).copied();
            self.reconcile_task(received, recorder, &task, reported, &mut result);
        }
        result
    }

    /// Returns the reported tasks that are assigned to this machine, by task. Of the
    /// other reported tasks, results are recorded as done, and what running ones use is
    /// recorded as the machine's unrecorded usage.
    fn match_reported_tasks<'a>(
        &mut self,
        now: Time,
        heartbeat: &'a Heartbeat,
    ) -> BTreeMap<TaskId, &'a ReportedTask> {
        let id = &heartbeat.machine;
        let mut listed: BTreeMap<TaskId, &ReportedTask> = BTreeMap::new();
        let mut unrecorded_usage = Resources::default();
        for reported in &heartbeat.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            let job = self.jobs.get(&task.job);
            let assignment = job.and_then(|job| job.assignments.get(&task.index));
            let is_placed = assignment.is_some_and(|assignment| {
                &assignment.machine == id
                    && assignment.attempt == reported.attempt
                    && assignment.epoch == heartbeat.epoch
            });
            if is_placed {
                listed.insert(task, reported);
                continue;
            }
            let Some(job) = job else {
                continue;
            };
            if reported.state != TaskState::Exited {
                unrecorded_usage += job.spec.needs();
                self.assignment_log.totals.unrecorded += 1;
            } else if reported.why == Some(StopReason::Done) {
                self.accept_result(now, id, &task, reported.attempt);
            }
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.unrecorded_usage = unrecorded_usage;
        }
        listed
    }

    /// Records a result, however late it is reported, but only of an attempt that was
    /// assigned.
    fn accept_result(&mut self, now: Time, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if (1..=job.attempt.0).contains(&attempt.0) {
            self.record_task_done(now, task);
        } else {
            tracing::error!(task = %task, %attempt, machine = %id, "ignoring result of an attempt that was never assigned");
        }
    }

    /// Compares one assigned task with what the heartbeat reports of it. `reported` is
    /// `None` if the heartbeat does not list the task.
    fn reconcile_task(
        &mut self,
        received: &ReceivedHeartbeat<'_>,
        recorder: &mut QuarantineRecorder<'_>,
        task: &TaskId,
        reported: Option<&ReportedTask>,
        result: &mut ReconciliationResult,
    ) {
        let ReceivedHeartbeat { heartbeat, .. } = received;
        let now = received.at.time;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_open = job.is_open();
        let Some(assignment) = job.assignments.get_mut(&task.index) else {
            return;
        };
        if matches!(assignment.phase, AssignmentPhase::Sent(_)) && reported.is_some() {
            result.delivery = DeliveryEvidence::Received;
        }
        let should_run = is_open && assignment.stop.is_none();
        let presence = assignment.check_presence(
            heartbeat.epoch,
            heartbeat.sequence,
            heartbeat.token,
            received.own_token,
            reported,
        );
        match presence {
            PresenceProof::Absent => {
                result.freed_room |= self.handle_absent_task(now, task, should_run);
            }
            // A start that is no longer needed is not sent again. It never arrived, so
            // the task is on no machine.
            PresenceProof::Undelivered if !should_run => {
                self.record_task_gone(now, task, RemovalReason::NeverArrived);
            }
            PresenceProof::Undelivered => {
                assignment.phase = AssignmentPhase::Unsent;
                if result.delivery == DeliveryEvidence::None {
                    result.delivery = DeliveryEvidence::Missed;
                }
            }
            PresenceProof::Present => {
                if let Some(reported) = reported {
                    result.freed_room |=
                        self.handle_task_report(received.at, recorder, task, reported);
                }
            }
        }
    }

    /// Processes the proof that an assigned task is not on its machine. Returns whether
    /// that freed resources.
    fn handle_absent_task(&mut self, now: Time, task: &TaskId, should_run: bool) -> bool {
        let job = self.jobs.get_mut(&task.job);
        let assignment = job.and_then(|job| job.assignments.get_mut(&task.index));
        let Some(assignment) = assignment else {
            return false;
        };
        match assignment.phase {
            AssignmentPhase::Inherited if should_run => {
                assignment.phase = AssignmentPhase::Reserved;
                self.resume_inherited_start(now, task);
                true
            }
            // The reserved task waits until the state of the rest of its gang is known.
            AssignmentPhase::Reserved if should_run => false,
            _ => {
                self.record_task_gone(now, task, RemovalReason::NotReported);
                true
            }
        }
    }

    /// Processes the report of an assigned task. Returns whether the task has exited.
    fn handle_task_report(
        &mut self,
        at: Now,
        recorder: &mut QuarantineRecorder<'_>,
        task: &TaskId,
        reported: &ReportedTask,
    ) -> bool {
        let now = at.time;
        if reported.state == TaskState::Exited {
            self.handle_task_exit(at, recorder, task, reported);
            return true;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let spec = job.spec.clone();
        let Some(assignment) = job.assignments.get_mut(&task.index) else {
            return false;
        };
        let was_inherited = assignment.phase == AssignmentPhase::Inherited;
        assignment.phase = AssignmentPhase::Seen(reported.state);
        if reported.state == TaskState::Running && assignment.running_since.is_none() {
            assignment.running_since = Some(now);
            tracing::debug!(task = %task, machine = %assignment.machine, since_s = now.since(assignment.assigned_at).as_secs(), "task running");
        }
        if reported.state != TaskState::Fetching {
            let fetch_began = assignment.fetching_since.take();
            let machine = assignment.machine.clone();
            self.record_fetched(now, &machine, &spec.image, spec.image_gb, fetch_began);
        }
        if was_inherited {
            self.resume_inherited_start(now, task);
        }
        false
    }

    /// Records that an image is on a machine, and how long the fetch took if one was
    /// running. Nothing is recorded if the machine has the whole image already.
    fn record_fetched(
        &mut self,
        now: Time,
        id: &MachineId,
        image: &Image,
        image_gb: f64,
        fetch_began: Option<Time>,
    ) {
        let room_gb = self.cache_capacity_gb(id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.cache.remaining_fetch_time(image, now) == Some(TimeSpan::ZERO) {
            return;
        }
        machine.cache.record_fetched(image, image_gb, now, room_gb);
        if let Some(began) = fetch_began {
            self.fetch_estimates.record(image, now.since(began));
        }
    }
}
