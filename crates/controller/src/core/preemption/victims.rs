//! The running tasks that may be stopped, and what stopping them costs. Chooses none.

use crate::core::quota::ReclaimCandidate;
use crate::core::scheduling_cycle::PlacementRequest;
use crate::types::{Class, JobId, Resources, Team};
use crate::wire::users::Priority;
use std::collections::HashMap;

/// A running task that may be stopped; a gang's tasks only stop together.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The task's job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// The job's team.
    pub team: Team,
    /// The job's class.
    pub class: Class,
    /// The share of its machine that the task takes, in machines.
    pub machines: f64,
    /// The job's priority.
    pub priority: Priority,
    /// What the task takes.
    pub need: Resources,
    /// Whether it belongs to a gang.
    pub gang: bool,
    /// Row of its machine.
    pub row: usize,
    /// What stopping it costs, in machine seconds of lost work.
    pub cost_machine_seconds: f64,
    /// Whether it has run long enough to be stopped for a guarantee.
    pub past_minimum_run: bool,
}

/// All tasks of a gang that may be stopped.
#[derive(Debug, Default)]
pub(super) struct GangVictims {
    /// Indices of its tasks.
    pub(super) members: Vec<usize>,
    /// What stopping all of them costs, in machine seconds.
    cost: f64,
}

/// The tasks that may be stopped, indexed by machine and by gang.
#[derive(Debug)]
pub struct Victims {
    all: Vec<Victim>,
    pub(super) by_row: Vec<Vec<usize>>,
    pub(super) gangs: HashMap<JobId, GangVictims>,
}

impl Victims {
    /// Indexes `all`, which run on machines of a table with `rows` rows.
    pub fn new(all: Vec<Victim>, rows: usize) -> Victims {
        let mut by_row = vec![Vec::new(); rows];
        let mut gangs: HashMap<JobId, GangVictims> = HashMap::new();
        for (index, victim) in all.iter().enumerate() {
            by_row[victim.row].push(index);
            if victim.gang {
                let gang = gangs.entry(victim.job.clone()).or_default();
                gang.members.push(index);
                gang.cost += victim.cost_machine_seconds;
            }
        }
        Victims { all, by_row, gangs }
    }

    /// The gang that a task belongs to, if it belongs to one.
    fn gang_of(&self, victim: &Victim) -> Option<&GangVictims> {
        self.gangs.get(&victim.job).filter(|_| victim.gang)
    }

    /// What its team and class lose when a task is stopped for `request`: with a gang's
    /// task the whole gang.
    pub fn loss(&self, index: usize, request: &PlacementRequest) -> ReclaimCandidate<'_> {
        let victim = &self.all[index];
        let tasks = match self.gang_of(victim) {
            Some(gang) => gang.members.len() as f64,
            None => 1.0,
        };
        ReclaimCandidate {
            team: &victim.team,
            class: &victim.class,
            takes: victim.need.times(tasks),
            machines: victim.machines * tasks,
            for_guarantee: victim.priority >= request.priority,
        }
    }

    /// What stopping a task costs, in machine seconds: with a gang's task that of the
    /// whole gang.
    pub(super) fn cost(&self, index: usize) -> f64 {
        let victim = &self.all[index];
        self.gang_of(victim)
            .map_or(victim.cost_machine_seconds, |gang| gang.cost)
    }
}

impl std::ops::Index<usize> for Victims {
    type Output = Victim;
    fn index(&self, index: usize) -> &Victim {
        &self.all[index]
    }
}
