//! The running tasks that may be preempted, and the cost of stopping each. The choice
//! among them is made in `preemption`.

use crate::core::quota::ReclaimCandidate;
use crate::core::scheduling_cycle::PlacementRequest;
use crate::types::{Class, JobId, Resources, Team};
use crate::wire::users::Priority;
use std::collections::HashMap;

/// A running task that may be preempted. The tasks of a gang only stop together.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's number within the job, from 0.
    pub task: u32,
    /// The team whose quota the job counts against.
    pub team: Team,
    /// The job's class, which can have a minimum share.
    pub class: Class,
    /// Part of its machine that the task occupies, from 0 to 1.
    pub machine_fraction: f64,
    /// The job's priority.
    pub priority: Priority,
    /// Resources that the task occupies.
    pub need: Resources,
    /// Whether the task belongs to a gang.
    pub gang: bool,
    /// Index of the machine's row in the scheduling cycle.
    pub row: usize,
    /// Cost of stopping the task, in machine seconds of lost work.
    pub cost_machine_seconds: f64,
    /// Whether the task has run long enough to be stopped for another team's guaranteed
    /// quota.
    pub past_minimum_run: bool,
}

/// All tasks of one gang.
#[derive(Debug, Default)]
pub(super) struct GangVictims {
    /// Indices of the gang's tasks in [`Victims`].
    pub(super) members: Vec<usize>,
    /// Cost of stopping all of these tasks, in machine seconds of lost work.
    cost: f64,
}

/// The tasks that may be preempted, indexed by machine and by gang.
#[derive(Debug)]
pub struct Victims {
    tasks: Vec<Victim>,
    /// Indices of the tasks on each row.
    pub(super) by_row: Vec<Vec<usize>>,
    pub(super) gangs: HashMap<JobId, GangVictims>,
}

impl Victims {
    /// Indexes `tasks`. `row_count` is the number of rows in the scheduling cycle.
    pub fn new(tasks: Vec<Victim>, row_count: usize) -> Victims {
        let mut by_row = vec![Vec::new(); row_count];
        let mut gangs: HashMap<JobId, GangVictims> = HashMap::new();
        for (index, victim) in tasks.iter().enumerate() {
            by_row[victim.row].push(index);
            if victim.gang {
                let gang = gangs.entry(victim.job.clone()).or_default();
                gang.members.push(index);
                gang.cost += victim.cost_machine_seconds;
            }
        }
        Victims {
            tasks,
            by_row,
            gangs,
        }
    }

    /// The gang that a task belongs to; `None` for a task of another kind of job.
    fn gang_of(&self, victim: &Victim) -> Option<&GangVictims> {
        self.gangs.get(&victim.job).filter(|_| victim.gang)
    }

    /// The work that a team and a class lose when a task is stopped for `request`. For a
    /// task of a gang that is the whole gang.
    pub fn reclaim_candidate(
        &self,
        index: usize,
        request: &PlacementRequest,
    ) -> ReclaimCandidate<'_> {
        let victim = &self.tasks[index];
        let lost_tasks = match self.gang_of(victim) {
            Some(gang) => gang.members.len() as f64,
            None => 1.0,
        };
        ReclaimCandidate {
            team: &victim.team,
            class: &victim.class,
            resources: victim.need.times(lost_tasks),
            machines: victim.machine_fraction * lost_tasks,
            for_guarantee: victim.priority >= request.priority,
        }
    }

    /// Cost of stopping a task, in machine seconds of lost work. For a task of a gang
    /// that is the cost of stopping the whole gang.
    pub(super) fn cost(&self, index: usize) -> f64 {
        let victim = &self.tasks[index];
        self.gang_of(victim)
            .map_or(victim.cost_machine_seconds, |gang| gang.cost)
    }
}

impl std::ops::Index<usize> for Victims {
    type Output = Victim;
    fn index(&self, index: usize) -> &Victim {
        &self.tasks[index]
    }
}
