//! The lifecycle of a task in the leader's tables: assigned to a machine, ordered to
//! stop, done, and removed once it is proven gone. Every change is queued for the next
//! transaction. Nothing is sent here.

use super::assignment_log::StartOrigin;
use super::cluster_state::ClusterState;
use super::inherited_starts::ResumptionObstacle;
use crate::core::assignment::{Assignment, AssignmentPhase, Stop};
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::JobOutcome;
use crate::types::{Attempt, JobId, MachineId, TaskId, Time};
use crate::wire::users::Priority;
use std::fmt;

/// Whether a stop order is stored, so that a successor can complete it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum StopDurability {
    /// The order is not stored: a successor finds the reason for it again.
    NotStored,
    /// The order is stored while it is sent, because there is no time to wait.
    StoredWhileSent,
    /// The order is stored before it is sent.
    StoredBeforeSent,
}

/// Why a task is no longer assigned to its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::core) enum RemovalReason {
    /// The machine reported the task as done.
    Done,
    /// Another attempt was reported as done before this one was sent.
    DoneElsewhere,
    /// The machine reported that the task exited in another way.
    Exited,
    /// The start was never sent.
    NeverSent,
    /// The start was sent and did not arrive.
    NeverArrived,
    /// The start of an earlier leader did not arrive, and is not resumed.
    NotResumed(ResumptionObstacle),
    /// The start of an earlier leader did not arrive, and is resumed under a new attempt.
    Resumed,
    /// The start cannot arrive: the machine does not receive the answers to its
    /// heartbeats.
    MachineUnreachable,
    /// A newer heartbeat does not list the task.
    NotReported,
    /// The lease of the machine's agent has expired.
    LeaseExpired,
    /// The machine has been silent since before this leader's term.
    SilentSincePreviousLeader,
    /// The cloud lists the machine as failed.
    MachineFailed,
    /// The cloud has terminated the machine.
    MachineTerminated,
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RemovalReason::Done => "done",
            RemovalReason::DoneElsewhere => "done elsewhere",
            RemovalReason::Exited => "exited",
            RemovalReason::NeverSent => "never sent",
            RemovalReason::NeverArrived => "never arrived",
            RemovalReason::NotResumed(obstacle) => return obstacle.fmt(f),
            RemovalReason::Resumed => "resumed under a new attempt",
            RemovalReason::MachineUnreachable => "machine receives no answers",
            RemovalReason::NotReported => "machine no longer reports the task",
            RemovalReason::LeaseExpired => "lease expired",
            RemovalReason::SilentSincePreviousLeader => "silent since before this leader",
            RemovalReason::MachineFailed => "machine listed as failed",
            RemovalReason::MachineTerminated => "machine terminated",
        })
    }
}

impl ClusterState {
    /// Assigns a task to a machine. The start is sent once the assignment is stored.
    /// `origin` is for the log.
    pub fn place_task(
        &mut self,
        now: Time,
        task: &TaskId,
        id: &MachineId,
        attempt: Attempt,
        origin: StartOrigin,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let cached = machine
            .cache
            .remaining_fetch_time(&spec.image, now)
            .is_some();
        let machine_type = machine.machine_type.as_ref();
        let fetch_rate = machine_type
            .and_then(|name| self.machine_types.get(name))
            .map(|machine_type| machine_type.fetch_gb_per_s);
        let fetch = self
            .fetch_estimates
            .estimate(&spec.image, spec.image_gb, fetch_rate);
        machine
            .cache
            .record_use(&spec.image, spec.image_gb, now, fetch);
        if spec.priority >= Priority::High {
            machine.last_high_priority = Some(now);
        }
        machine.idle_since = None;
        machine.circuit_breaker.begin_trial(&task.job);
        machine.assign(task.clone(), spec.needs());
        job.waiting.remove(task.index);
        job.scheduling.last_placed = Some(now);
        job.attempt = job.attempt.max(attempt);
        let change = job.record_change(self.chunk_size, task.index);
        let assignment = Assignment {
            machine: id.clone(),
            epoch: machine.epoch,
            attempt,
            change,
            phase: AssignmentPhase::Unsent,
            assigned_at: now,
            running_since: None,
            fetching_since: (!cached).then_some(now),
            stop: None,
        };
        job.assignments.insert(task.index, assignment);
        let chunk = (task.job.clone(), self.chunk_size.of(task.index));
        self.unwritten.dirty_chunks.mark(chunk, now, true);
        self.assignment_log.record_placed(&task.job, origin);
    }

    /// Marks a task as done, whichever machine reported it, and its job too if that was
    /// the job's last task.
    pub fn record_task_done(&mut self, now: Time, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.is_service() || task.index >= job.spec.tasks || !job.done.insert(task.index) {
            return;
        }
        job.waiting.remove(task.index);
        job.scheduling.failures = 0;
        let change = job.record_change(self.chunk_size, task.index);
        job.unstored_done.insert(task.index, change);
        let chunk = (task.job.clone(), self.chunk_size.of(task.index));
        self.unwritten.dirty_chunks.mark(chunk, now, false);
        if job.done.len() == job.spec.tasks && job.outcome.is_none() {
            job.outcome = Some(JobOutcome::Done { written: false });
            self.unwritten.finished_jobs.insert(task.job.clone());
        }
        // Another attempt of the task may still be on a machine.
        let assignment = job.assignments.get(&task.index);
        if assignment.is_some_and(Assignment::is_unsent) {
            self.record_task_gone(now, task, RemovalReason::DoneElsewhere);
        }
    }

    /// Removes a task that is proven not to be on its machine. If it belongs to a gang,
    /// the whole attempt ends: the other tasks are ordered to stop.
    pub fn record_task_gone(&mut self, now: Time, task: &TaskId, reason: RemovalReason) {
        self.remove_assignment(now, task, reason);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.is_gang() && job.is_open() && reason != RemovalReason::Done {
            let others: Vec<u32> = job.assignments.keys().copied().collect();
            self.stop_tasks(now, &task.job, &others, 0.0, "its gang lost a task");
        }
    }

    /// Removes a task from its machine. Unless the task is done or its job has ended, it
    /// waits to be placed again.
    pub fn remove_assignment(&mut self, now: Time, task: &TaskId, reason: RemovalReason) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignments.remove(&task.index) else {
            return;
        };
        let needs = job.spec.needs();
        if !job.done.contains(task.index) && job.is_open() {
            job.waiting.insert(task.index);
        }
        job.record_change(self.chunk_size, task.index);
        let is_deletable = job.assignments.is_empty() && !job.is_open();
        let chunk = (task.job.clone(), self.chunk_size.of(task.index));
        self.unwritten.dirty_chunks.mark(chunk, now, false);
        self.assignment_log.record_removed(&task.job, reason);
        tracing::debug!(task = %task, attempt = %assignment.attempt, machine = %assignment.machine, %reason, "task removed from its machine");
        if let Some(machine) = self.machines.get_mut(&assignment.machine) {
            machine.release(task, needs);
            if machine.tasks.is_empty() {
                machine.idle_since = Some(now);
            }
            let (jobs, tasks) = (&self.jobs, &machine.tasks);
            let is_needed = |image: &_| {
                let mut jobs_here = tasks.iter().filter_map(|task| jobs.get(&task.job));
                jobs_here.any(|job| &job.spec.image == image)
            };
            machine.cache.drop_abandoned_fetches(is_needed);
        }
        if is_deletable {
            self.unwritten.jobs_to_delete.insert(task.job.clone());
        }
    }

    /// Removes all tasks of a machine on which none of them can run any more.
    pub fn write_off_machine(&mut self, now: Time, id: &MachineId, reason: RemovalReason) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        for task in tasks {
            // A start that was never sent to this agent epoch cannot do harm later.
            self.record_task_gone(now, &task, reason);
        }
    }

    /// Orders tasks of a job to stop, without storing the orders. Unsent starts are
    /// dropped immediately.
    pub fn stop_tasks(
        &mut self,
        now: Time,
        id: &JobId,
        tasks: &[u32],
        grace_s: f64,
        why: &'static str,
    ) {
        self.order_stops(now, id, tasks, grace_s, why, StopDurability::NotStored);
    }

    /// Orders tasks of a job to stop, with `grace_s` seconds to save a checkpoint. Unsent
    /// starts are dropped immediately.
    pub fn order_stops(
        &mut self,
        now: Time,
        id: &JobId,
        tasks: &[u32],
        grace_s: f64,
        why: &'static str,
        durability: StopDurability,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.scheduling.last_stop = Some(why);
        let mut unsent = Vec::new();
        for &index in tasks {
            let task = TaskId {
                job: id.clone(),
                index,
            };
            let assignment = self.jobs[id].assignments.get(&index);
            if assignment.is_some_and(Assignment::is_unsent) {
                unsent.push(task);
            } else {
                self.order_stop(now, task, grace_s, durability);
            }
        }
        for task in unsent {
            self.remove_assignment(now, &task, RemovalReason::NeverSent);
        }
    }

    /// Orders one task that may be running to stop.
    fn order_stop(&mut self, now: Time, task: TaskId, grace_s: f64, durability: StopDurability) {
        let size = self.chunk_size;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignments.get(&task.index) else {
            return;
        };
        if let Some(stop) = assignment.stop {
            let is_sooner = grace_s < stop.grace_s && grace_s == 0.0;
            // A gang that saves its checkpoint must not be stopped early because one of
            // its tasks has saved and exited before the others.
            let may_be_saving = job.outcome != Some(JobOutcome::Cancelled);
            if !is_sooner || may_be_saving {
                return;
            }
        }
        let is_stored = durability != StopDurability::NotStored;
        let change = is_stored.then(|| job.record_change(size, task.index));
        if change.is_some() {
            let chunk = (task.job.clone(), size.of(task.index));
            self.unwritten.dirty_chunks.mark(chunk, now, true);
        }
        let Some(assignment) = job.assignments.get_mut(&task.index) else {
            return;
        };
        let is_stored_first = durability == StopDurability::StoredBeforeSent;
        assignment.stop = Some(Stop {
            grace_s,
            decided_at: now,
            change: change.filter(|_| is_stored_first),
        });
        if is_stored_first && failpoints::enforced(SafetyCheck::StopsAreStored) {
            // The order is sent once it is stored.
            return;
        }
        let machine = assignment.machine.clone();
        self.direct_stops.entry(machine).or_default().push(task);
    }

    /// Orders all tasks of an ended job to stop, and queues the job for deletion if none
    /// is left.
    pub fn stop_ended_job(&mut self, now: Time, id: &JobId, why: &'static str) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let tasks: Vec<u32> = job.assignments.keys().copied().collect();
        self.stop_tasks(now, id, &tasks, 0.0, why);
        if self.jobs[id].assignments.is_empty() {
            self.unwritten.jobs_to_delete.insert(id.clone());
        }
    }

    /// Marks a job as cancelled and orders its tasks to stop.
    pub fn cancel_job(&mut self, now: Time, id: &JobId, why: &'static str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.outcome = Some(JobOutcome::Cancelled);
        job.waiting = Default::default();
        self.unwritten.finished_jobs.remove(id);
        self.withdraw_failures(id);
        self.stop_ended_job(now, id, why);
    }

    /// Cancels a job whose header a commit found to be no longer open.
    pub fn cancel_job_ended_elsewhere(&mut self, now: Time, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| job.is_open()) {
            tracing::info!(job = %id, "job found to be over when its starts were to be stored");
            self.cancel_job(now, id, "its job is over");
        }
    }
}
