//! Starts that an earlier leader stored and that never arrived: this leader resumes them on
//! the same machines under a new attempt, or withdraws them. Changes only the leader's
//! tables.

use super::assignment_log::StartOrigin;
use super::cluster_state::ClusterState;
use super::task_lifecycle::RemovalReason;
use crate::core::assignment::{Assignment, AssignmentPhase};
use crate::core::job_records::Job;
use crate::types::{Attempt, TaskId, Time};

/// How far the start of a gang that an earlier leader recorded has come.
enum GangStart {
    /// The state of some of its tasks is not known yet.
    Unknown,
    /// Some of its tasks were started, or are being stopped.
    PartlyStarted,
    /// None of its tasks was started, and the resources for all of them are reserved.
    NotStarted,
}

impl ClusterState {
    /// Resumes a start that an earlier leader recorded, once it is known that the start
    /// never arrived: on the same machine, so that the resources freed for the task are
    /// still used for it, and under a new attempt. A gang is resumed once the state of
    /// all its tasks is known. If some of them were started, the gang is not resumed, and
    /// its reserved tasks are removed.
    pub(super) fn resume_inherited_start(&mut self, now: Time, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let tasks = |indices: Vec<u32>| -> Vec<TaskId> {
            let job = &task.job;
            let tasks = indices.into_iter();
            let named = tasks.map(|index| TaskId {
                job: job.clone(),
                index,
            });
            named.collect()
        };
        if !job.is_gang() {
            if job.assignments.get(&task.index).is_some_and(is_reserved) {
                self.restart_tasks(now, &tasks(vec![task.index]));
            }
            return;
        }
        match gang_start(job) {
            GangStart::Unknown => {}
            GangStart::PartlyStarted => {
                let reserved = job.assignments.iter().filter(|(_, a)| is_reserved(a));
                for task in tasks(reserved.map(|(index, _)| *index).collect()) {
                    self.record_task_gone(now, &task, RemovalReason::NotReported);
                }
            }
            GangStart::NotStarted => {
                let all_tasks = tasks(job.assignments.keys().copied().collect());
                self.restart_tasks(now, &all_tasks);
            }
        }
    }

    /// Assigns tasks of one job to their machines again, under a new attempt, if all of
    /// the machines can run them. Otherwise none of the tasks is assigned: a gang is
    /// placed whole or not at all.
    fn restart_tasks(&mut self, now: Time, tasks: &[TaskId]) {
        let Some(job) = tasks.first().and_then(|task| self.jobs.get(&task.job)) else {
            return;
        };
        let silence = self.max_silence();
        let can_restart = |assignment: &Assignment| {
            let machine = self.machines.get(&assignment.machine);
            machine.is_some_and(|machine| {
                machine.is_schedulable(now, silence) && machine.epoch == assignment.epoch
            })
        };
        let can_restart_all = tasks
            .iter()
            .all(|task| can_restart(&job.assignments[&task.index]));
        let attempt = Attempt(job.attempt.0 + 1);
        for task in tasks {
            let machine = self.jobs[&task.job].assignments[&task.index]
                .machine
                .clone();
            if can_restart_all {
                self.remove_assignment(now, task, RemovalReason::Resumed);
                let origin = StartOrigin::EarlierLeader;
                self.place_task(now, task, &machine, attempt, origin);
            } else {
                self.remove_assignment(now, task, RemovalReason::NeverStarted);
            }
        }
    }
}

fn is_reserved(assignment: &Assignment) -> bool {
    assignment.phase == AssignmentPhase::Reserved
}

/// How far the start of a gang that an earlier leader recorded has come.
fn gang_start(job: &Job) -> GangStart {
    let assignments = || job.assignments.values();
    if !assignments().any(is_reserved) {
        return GangStart::Unknown;
    }
    let is_started_or_stopping = |assignment: &Assignment| {
        let started = !matches!(
            assignment.phase,
            AssignmentPhase::Inherited | AssignmentPhase::Reserved
        );
        started || assignment.stop.is_some()
    };
    if assignments().any(is_started_or_stopping) {
        return GangStart::PartlyStarted;
    }
    let is_complete = job.assignments.len() == job.spec.tasks as usize;
    if is_complete && assignments().all(is_reserved) {
        GangStart::NotStarted
    } else {
        GangStart::Unknown
    }
}
