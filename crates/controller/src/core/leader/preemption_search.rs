//! Room for urgent work that found none: which running tasks a cycle preempts. Only
//! chooses them; the scheduler orders the stops.

use super::cluster_state::ClusterState;
use super::cycle_inputs::row_index;
use crate::core::assignment::{Assignment, AssignmentPhase};
use crate::core::job_records::Job;
use crate::core::placement_tables::MachineRow;
use crate::core::preemption::{self, Eviction, Victim, Victims};
use crate::core::quota::ReclaimLimits;
use crate::core::scheduling_cycle::{PlacementRequest, SchedulingCycle};
use crate::settings::ObjectiveKind;
use crate::types::{JobId, Time, TimeSpan};
use crate::wire::users::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds that stopping a task soon after its start weighs more.
const FRESH_START_COST_S: f64 = 20.0;
/// Seconds that stopping any task costs.
const STOP_COST_S: f64 = 5.0;
/// Most searches for room in one pass of a cycle.
const MAX_SEARCHES: u32 = 64;
/// Tasks that one search makes room for, unless they are a gang.
const MAX_TASKS_PER_SEARCH: u32 = 16;

/// Preempted tasks of one cycle, found while it makes room.
#[derive(Debug, Default)]
pub(super) struct PreemptionSearch {
    /// All tasks that may be preempted, once something looks for them.
    candidates: Option<Victims>,
    /// Those that are.
    chosen: BTreeSet<usize>,
    /// How much may be taken in all.
    bounds: ReclaimLimits,
}

/// A search that found nothing. Until room is made, another request like it that is no
/// smaller finds nothing either.
struct FailedSearch {
    request: usize,
    tasks: usize,
}

impl PreemptionSearch {
    /// Within these bounds, nothing chosen yet.
    pub fn new(bounds: ReclaimLimits) -> PreemptionSearch {
        PreemptionSearch {
            bounds,
            ..PreemptionSearch::default()
        }
    }

    /// Chooses tasks to stop for requests of at least this priority that found no
    /// room, and places those requests where they were; they are sent once the
    /// preempted tasks have left.
    pub fn make_room(
        &mut self,
        cluster: &ClusterState,
        cycle: &mut SchedulingCycle<'_>,
        requests: &mut [PlacementRequest],
        least: Priority,
    ) {
        let may_preempt = |request: &PlacementRequest| {
            request.priority >= least
                && !request.tasks.is_empty()
                && (request.priority > Priority::Low || request.within_guarantee)
        };
        // They stand in the order of their ranks since the cycle's first part.
        let urgent: Vec<usize> = (0..requests.len())
            .filter(|&index| may_preempt(&requests[index]))
            .collect();
        let mut failed: Vec<FailedSearch> = Vec::new();
        let mut searches = 0;
        for index in urgent {
            if is_hopeless(&failed, requests, index) || !is_within_quota(cycle, &requests[index]) {
                continue;
            }
            searches += 1;
            if searches > MAX_SEARCHES {
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

    fn search(
        &mut self,
        cluster: &ClusterState,
        cycle: &mut SchedulingCycle<'_>,
        request: &mut PlacementRequest,
    ) -> Option<Eviction> {
        let candidates = self
            .candidates
            .get_or_insert_with(|| cluster.preemption_candidates(cycle.parameters.now, cycle.rows));
        preemption::evict(
            cycle,
            request,
            candidates,
            &self.chosen,
            &self.bounds,
            MAX_TASKS_PER_SEARCH,
        )
    }

    /// Frees the room of an eviction and places the request's tasks there.
    fn evict(
        &mut self,
        cycle: &mut SchedulingCycle<'_>,
        request: &mut PlacementRequest,
        eviction: Eviction,
    ) {
        let Some(candidates) = &self.candidates else {
            return;
        };
        let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
        for &index in &eviction.victims {
            let victim = &candidates[index];
            cycle.rows[victim.row].free += victim.need;
            if !victim.gang || gangs.insert(&victim.job) {
                self.bounds.take(&candidates.loss(index, request));
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

    /// The tasks to stop, by job.
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

/// Whether an earlier search that failed shows that one for this request would too.
fn is_hopeless(failed: &[FailedSearch], requests: &[PlacementRequest], index: usize) -> bool {
    let request = &requests[index];
    failed.iter().any(|earlier| {
        request.tasks.len() >= earlier.tasks && request.is_like(&requests[earlier.request])
    })
}

/// Whether a request's team may use what it needs.
fn is_within_quota(cycle: &SchedulingCycle<'_>, request: &PlacementRequest) -> bool {
    let needs = request.need.times(request.tasks.len() as f64);
    let team = cycle.teams.get(&request.team);
    team.is_some_and(|team| team.share.allows(&(team.used + needs)))
}

impl ClusterState {
    /// The tasks that may be preempted, on these rows.
    fn preemption_candidates(&self, now: Time, rows: &[MachineRow]) -> Victims {
        let index = row_index(rows);
        let settle = TimeSpan::secs(self.policy.settle_s);
        let mut candidates = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.is_open()) {
            // A gang goes whole, so all of it must be within reach.
            let is_reachable = |a: &Assignment| index.contains_key(&a.machine) && a.stop.is_none();
            if job.is_gang() && !job.assignments.values().all(is_reachable) {
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
                let settled = is_settled(now, assignment, settle);
                let cost_s = self.preemption_cost_s(now, job, assignment, settled);
                candidates.push(Victim {
                    job: id.clone(),
                    task,
                    team: job.spec.team.clone(),
                    class: job.spec.class.clone(),
                    machines: share,
                    priority: job.spec.priority,
                    need: job.spec.needs(),
                    gang: job.is_gang(),
                    row,
                    cost_machine_seconds: cost_s * share,
                    past_minimum_run: settled,
                });
            }
        }
        Victims::new(candidates, rows.len())
    }

    /// What stopping a task costs, in seconds of its work.
    fn preemption_cost_s(
        &self,
        now: Time,
        job: &Job,
        assignment: &Assignment,
        is_settled: bool,
    ) -> f64 {
        // A start that is stopped soon does not count for its users,
        // if they have an objective about starting.
        let fresh = if is_settled || !self.has_start_objective(job) {
            0.0
        } else {
            FRESH_START_COST_S
        };
        lost_seconds(now, job, assignment) + STOP_COST_S + fresh
    }

    /// Whether users have an objective about when this job starts.
    fn has_start_objective(&self, job: &Job) -> bool {
        let mut objectives = self.settings.objectives.iter();
        job.notes.within_guarantee
            || objectives.any(|objective| {
                objective.kind == ObjectiveKind::Wait
                    && objective.class.as_ref() == Some(&job.spec.class)
            })
    }
}

/// Whether a task has been on its machine for longer than `settle`.
fn is_settled(now: Time, assignment: &Assignment, settle: TimeSpan) -> bool {
    let has_arrived = matches!(
        assignment.phase,
        AssignmentPhase::Seen(_) | AssignmentPhase::Inherited
    );
    has_arrived && now.since(assignment.assigned_at) > settle
}

/// Seconds of work that stopping a task loses: saving a checkpoint, or all that it ran.
fn lost_seconds(now: Time, job: &Job, assignment: &Assignment) -> f64 {
    if job.spec.checkpoint_s > 0.0 {
        return job.spec.save_s;
    }
    let started = assignment.running_since;
    started.map_or(0.0, |started| now.since(started).as_secs())
}
