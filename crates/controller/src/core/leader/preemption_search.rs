//! Preemption within a cycle: chooses running tasks to stop for requests that found no
//! room. The scheduler orders the stops.

use super::cluster_state::ClusterState;
use super::cycle_inputs::row_index;
use crate::core::assignment::{Assignment, AssignmentPhase};
use crate::core::job_records::Job;
use crate::core::placement_tables::MachineRow;
use crate::core::preemption::{self, PreemptionPlan, Victim, Victims};
use crate::core::quota::ReclaimLimits;
use crate::core::scheduling_cycle::{PlacementRequest, SchedulingCycle};
use crate::settings::ObjectiveKind;
use crate::types::{JobId, Time, TimeSpan};
use crate::wire::users::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// Cost, in seconds of work, added for stopping a task soon after its start.
const EARLY_STOP_COST_S: f64 = 20.0;
/// Cost, in seconds of work, of stopping any task.
const STOP_COST_S: f64 = 5.0;
/// Most searches for tasks to preempt in one pass of a cycle.
const MAX_SEARCHES_PER_PASS: u32 = 64;
/// Most tasks of a request that one search makes room for; a gang has no limit.
const MAX_TASKS_PER_SEARCH: u32 = 16;

/// The tasks that one cycle preempts, collected over its passes.
#[derive(Debug, Default)]
pub(super) struct PreemptionSearch {
    /// All tasks that may be preempted; `None` until the first search of the cycle.
    candidates: Option<Victims>,
    /// Indices in `candidates` of the tasks to preempt.
    chosen: BTreeSet<usize>,
    /// How much all preemptions of the cycle together may take from teams and classes.
    limits: ReclaimLimits,
}

/// A search that found nothing. Until another search succeeds, a similar request for as
/// many tasks or more finds nothing either.
struct FailedSearch {
    /// Index of the request.
    request: usize,
    /// The number of tasks that had to fit: all tasks of a gang, otherwise one.
    tasks: usize,
}

impl PreemptionSearch {
    /// A search within these limits that has chosen no task yet.
    pub fn new(limits: ReclaimLimits) -> PreemptionSearch {
        PreemptionSearch {
            limits,
            ..PreemptionSearch::default()
        }
    }

    /// Chooses tasks to stop for requests of at least `min_priority` that found no room,
    /// and places the requests' tasks on the same machines. Those tasks are sent to the
    /// machines only after the preempted tasks are gone.
    pub fn make_room(
        &mut self,
        cluster: &ClusterState,
        cycle: &mut SchedulingCycle<'_>,
        requests: &mut [PlacementRequest],
        min_priority: Priority,
    ) {
        let may_preempt = |request: &PlacementRequest| {
            request.priority >= min_priority
                && !request.tasks.is_empty()
                && (request.priority > Priority::Low || request.within_guarantee)
        };
        // The cycle's first part has sorted the requests by rank.
        let urgent: Vec<usize> = (0..requests.len())
            .filter(|&index| may_preempt(&requests[index]))
            .collect();
        let mut failed: Vec<FailedSearch> = Vec::new();
        let mut searches = 0;
        for index in urgent {
            if is_known_to_fail(&failed, requests, index)
                || !is_within_quota(cycle, &requests[index])
            {
                continue;
            }
            searches += 1;
            if searches > MAX_SEARCHES_PER_PASS {
                return;
            }
            let request = &mut requests[index];
            if let Some(eviction) = self.search(cluster, cycle, request) {
                failed.clear();
                self.evict(cycle, request, eviction);
            } else {
                let tasks = if request.gang { request.tasks.len() } else { 1 };
                failed.push(FailedSearch {
                    request: index,
                    tasks,
                });
            }
        }
    }

    /// Finds the cheapest set of tasks whose stop makes room for a request; `None` if there
    /// is no such set within the limits.
    fn search(
        &mut self,
        cluster: &ClusterState,
        cycle: &mut SchedulingCycle<'_>,
        request: &mut PlacementRequest,
    ) -> Option<PreemptionPlan> {
        let candidates = self
            .candidates
            .get_or_insert_with(|| cluster.preemption_candidates(cycle.parameters.now, cycle.rows));
        preemption::find_victims(
            cycle,
            request,
            candidates,
            &self.chosen,
            &self.limits,
            MAX_TASKS_PER_SEARCH,
        )
    }

    /// Frees the resources of an eviction's victims in the cycle's rows, counts the victims
    /// against the limits, and places the request's tasks.
    fn evict(
        &mut self,
        cycle: &mut SchedulingCycle<'_>,
        request: &mut PlacementRequest,
        eviction: PreemptionPlan,
    ) {
        let Some(candidates) = &self.candidates else {
            return;
        };
        let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
        for &index in &eviction.victims {
            let victim = &candidates[index];
            cycle.rows[victim.row].free += victim.need;
            if !victim.gang || gangs.insert(&victim.job) {
                self.limits
                    .record_stopping(&candidates.reclaim_candidate(index, request));
            }
        }
        self.chosen.extend(eviction.victims);
        for row in eviction.rows {
            if request.tasks.is_empty() {
                continue;
            }
            let task = request.tasks.remove(0);
            cycle.assign(request, task, row);
        }
    }

    /// The numbers of the tasks to stop, by job.
    pub fn into_stops(self) -> BTreeMap<JobId, Vec<u32>> {
        let mut stops: BTreeMap<JobId, Vec<u32>> = BTreeMap::new();
        let Some(candidates) = self.candidates else {
            return stops;
        };
        for index in self.chosen {
            let victim = &candidates[index];
            let tasks = stops.entry(victim.job.clone()).or_default();
            tasks.push(victim.task);
        }
        stops
    }
}

/// Whether an earlier failed search shows that a search for this request would also fail.
fn is_known_to_fail(failed: &[FailedSearch], requests: &[PlacementRequest], index: usize) -> bool {
    let request = &requests[index];
    failed.iter().any(|earlier| {
        request.tasks.len() >= earlier.tasks && request.is_equivalent_to(&requests[earlier.request])
    })
}

/// Whether the quota of a request's team allows all of the request's tasks.
fn is_within_quota(cycle: &SchedulingCycle<'_>, request: &PlacementRequest) -> bool {
    let needs = request.need.times(request.tasks.len() as f64);
    let team = cycle.teams.get(&request.team);
    team.is_some_and(|team| team.share.allows(&(team.used + needs)))
}

impl ClusterState {
    /// The tasks on these rows that may be preempted: of open jobs, sent to their machine,
    /// and not being stopped already.
    fn preemption_candidates(&self, now: Time, rows: &[MachineRow]) -> Victims {
        let index = row_index(rows);
        let minimum_run = TimeSpan::secs(self.policy.settle_s);
        let mut candidates = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.is_open()) {
            // A gang is only stopped whole, so all its tasks must be on these rows.
            let may_stop = |a: &Assignment| index.contains_key(&a.machine) && a.stop.is_none();
            if job.is_gang() && !job.assignments.values().all(may_stop) {
                continue;
            }
            for (&task, assignment) in &job.assignments {
                let Some(&row) = index.get(&assignment.machine) else {
                    continue;
                };
                if assignment.stop.is_some() || assignment.is_unsent() {
                    continue;
                }
                let share = job.spec.needs().share_of(&rows[row].capacity);
                let past_minimum = is_past_minimum_run(now, assignment, minimum_run);
                let cost_s = self.preemption_cost_s(now, job, assignment, past_minimum);
                candidates.push(Victim {
                    job: id.clone(),
                    task,
                    team: job.spec.team.clone(),
                    class: job.spec.class.clone(),
                    machine_fraction: share,
                    priority: job.spec.priority,
                    need: job.spec.needs(),
                    gang: job.is_gang(),
                    row,
                    cost_machine_seconds: cost_s * share,
                    past_minimum_run: past_minimum,
                });
            }
        }
        Victims::new(candidates, rows.len())
    }

    /// The cost of stopping a task, in seconds of the task's work.
    fn preemption_cost_s(
        &self,
        now: Time,
        job: &Job,
        assignment: &Assignment,
        past_minimum: bool,
    ) -> f64 {
        // Where an objective bounds the time to start, a start that is soon stopped again
        // does not meet the objective for the users.
        let early_stop_cost_s = if past_minimum || !self.has_start_objective(job) {
            0.0
        } else {
            EARLY_STOP_COST_S
        };
        lost_work_s(now, job, assignment) + STOP_COST_S + early_stop_cost_s
    }

    /// Whether an objective bounds the time until this job starts: an objective of the job's
    /// class, or the guaranteed quota.
    fn has_start_objective(&self, job: &Job) -> bool {
        let mut objectives = self.settings.objectives.iter();
        job.scheduling.within_guarantee
            || objectives.any(|objective| {
                objective.kind == ObjectiveKind::Wait
                    && objective.class.as_ref() == Some(&job.spec.class)
            })
    }
}

/// Whether a task was assigned to its machine longer than `minimum_run` ago and has arrived
/// there.
fn is_past_minimum_run(now: Time, assignment: &Assignment, minimum_run: TimeSpan) -> bool {
    let has_arrived = matches!(
        assignment.phase,
        AssignmentPhase::Seen(_) | AssignmentPhase::Inherited
    );
    has_arrived && now.since(assignment.assigned_at) > minimum_run
}

/// Seconds of work that are lost when a task stops: the time to save a checkpoint, or
/// without checkpoints the whole run so far.
fn lost_work_s(now: Time, job: &Job, assignment: &Assignment) -> f64 {
    if job.spec.checkpoint_s > 0.0 {
        return job.spec.save_s;
    }
    let started = assignment.running_since;
    started.map_or(0.0, |started| now.since(started).as_secs())
}
