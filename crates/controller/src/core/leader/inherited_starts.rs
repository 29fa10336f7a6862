//! Starts that an earlier leader stored and that never arrived: this leader resumes them on
//! the same machines under a new attempt, or withdraws them. Changes only the leader's
//! tables.

use super::assignment_log::StartOrigin;
use super::cluster_state::ClusterState;
use super::placement_requests::tasks_in_zones;
use super::task_lifecycle::RemovalReason;
use crate::core::assignment::{Assignment, AssignmentPhase};
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::Job;
use crate::core::machine::Machine;
use crate::types::{Attempt, MachineId, TaskId, Time};
use std::collections::BTreeMap;
use std::fmt;

/// Why the start of an earlier leader is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::core) enum ResumptionObstacle {
    /// A machine gets no tasks now, or its agent has a new epoch.
    MachineUnavailable,
    /// The team would use more than its limit.
    TeamLimit,
    /// The tasks of the job would be in zones that it does not allow together.
    Zone,
    /// The room on a machine is assigned to other tasks.
    MachineFull,
}

impl fmt::Display for ResumptionObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResumptionObstacle::MachineUnavailable => "never started: machine unavailable",
            ResumptionObstacle::TeamLimit => "never started: team at its limit",
            ResumptionObstacle::Zone => "never started: zones of the job's other tasks",
            ResumptionObstacle::MachineFull => "never started: room assigned to others",
        })
    }
}

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

    /// Assigns tasks of one job to their machines again, under a new attempt, if nothing
    /// stands against any of them. Otherwise none of the tasks is assigned: a gang is
    /// placed whole or not at all.
    fn restart_tasks(&mut self, now: Time, tasks: &[TaskId]) {
        let Some(job) = tasks.first().and_then(|task| self.jobs.get(&task.job)) else {
            return;
        };
        let obstacle = self.resumption_obstacle(now, job, tasks);
        let attempt = Attempt(job.attempt.0 + 1);
        for task in tasks {
            let machine = self.jobs[&task.job].assignments[&task.index]
                .machine
                .clone();
            if let Some(obstacle) = obstacle {
                self.remove_assignment(now, task, RemovalReason::NotResumed(obstacle));
                continue;
            }
            self.remove_assignment(now, task, RemovalReason::Resumed);
            let origin = StartOrigin::EarlierLeader;
            self.place_task(now, task, &machine, attempt, origin);
        }
    }

    /// What stands against the resumption of these tasks of a job. The earlier leader checked
    /// the same when it placed them, but a start is stored before the removals that made
    /// room for it, and later starts may be stored before this one's own removal. So all
    /// that the records place counts, as in a scheduling cycle.
    fn resumption_obstacle(
        &self,
        now: Time,
        job: &Job,
        tasks: &[TaskId],
    ) -> Option<ResumptionObstacle> {
        let assignments = || tasks.iter().map(|task| &job.assignments[&task.index]);
        if !assignments().all(|assignment| self.is_still_usable(now, assignment)) {
            return Some(ResumptionObstacle::MachineUnavailable);
        }
        if !self.is_within_team_limit(job)
            && failpoints::enforced(SafetyCheck::ResumedStartsNeedQuota)
        {
            return Some(ResumptionObstacle::TeamLimit);
        }
        if !is_within_zone_rules(&self.machines, job) {
            return Some(ResumptionObstacle::Zone);
        }
        if !assignments().all(|assignment| self.has_room_for_tasks(&assignment.machine))
            && failpoints::enforced(SafetyCheck::ResumedStartsNeedRoom)
        {
            return Some(ResumptionObstacle::MachineFull);
        }
        None
    }

    /// Whether the machine of an assignment may get tasks, and still has the agent epoch for
    /// which the start was valid.
    fn is_still_usable(&self, now: Time, assignment: &Assignment) -> bool {
        let machine = self.machines.get(&assignment.machine);
        machine.is_some_and(|machine| {
            machine.is_schedulable(now, self.max_silence()) && machine.epoch == assignment.epoch
        })
    }

    /// Whether all assignments of the team of a job together are within the team's limit.
    fn is_within_team_limit(&self, job: &Job) -> bool {
        let share = self.settings.teams.get(&job.spec.team);
        share.is_some_and(|share| share.allows(&self.usage_of_team(&job.spec.team)))
    }

    /// Whether all tasks assigned to a machine fit on it together. Those that are being
    /// stopped leave room for the start that they were stopped for.
    fn has_room_for_tasks(&self, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        let Some(machine_type) = self.type_of(machine) else {
            return true;
        };
        let mut needs = machine.unrecorded_usage;
        for task in &machine.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let assignment = job.assignments.get(&task.index);
            if assignment.is_some_and(|assignment| assignment.stop.is_none()) {
                needs += job.spec.needs();
            }
        }
        needs.fits_within(&machine_type.has())
    }
}

/// Whether the machines of all assigned tasks of a job are in zones that the job allows
/// together.
fn is_within_zone_rules(machines: &BTreeMap<MachineId, Machine>, job: &Job) -> bool {
    let spec = &job.spec;
    if !spec.one_zone && !spec.spread {
        return true;
    }
    let Some(zones) = tasks_in_zones(machines, job) else {
        return false;
    };
    let max_per_zone = spec.max_tasks_per_zone();
    let is_spread = zones.values().all(|tasks| *tasks <= max_per_zone);
    (!spec.one_zone || zones.len() <= 1) && (!spec.spread || is_spread)
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

#[cfg(test)]
mod tests;
