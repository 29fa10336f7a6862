//! Preemption: chooses running tasks to stop for work that cannot be placed. The tasks
//! are stopped by the caller; like the scheduling cycle, this module neither sends nor
//! stores anything.

mod victims;

pub use victims::{Victim, Victims};

use super::quota::{ReclaimLimits, ReclaimUsage};
use super::scheduling_cycle::{PlacementRequest, SchedulingCycle};
use crate::types::{JobId, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// The tasks to stop for a request, and the machines on which the request's tasks then
/// start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PreemptionPlan {
    /// Indices into [`Victims`] of the tasks to stop.
    pub victims: BTreeSet<usize>,
    /// Row index of the machine for each task of the request, one entry per task.
    pub rows: Vec<usize>,
}

/// Whether `request` may preempt `victim`. The platform allows two reasons only: a higher
/// priority, or a guaranteed quota against work that another team runs beyond that other
/// team's guaranteed quota. [`ReclaimLimits`] decides how much may be preempted.
fn may_preempt(request: &PlacementRequest, victim: &Victim) -> bool {
    // A guarantee could also preempt work of higher priority, but stopping urgent work
    // for work that can wait has no benefit.
    victim.priority < request.priority
        || (request.within_guarantee
            && victim.team != request.team
            && victim.past_minimum_run
            && victim.priority == request.priority)
}

/// Machine seconds of lost work that count as much as one second of fetching the image,
/// since the request's tasks wait for the fetch.
const MACHINE_SECONDS_PER_FETCH_SECOND: f64 = 2.0;

/// Cost per task, in machine seconds, of a fetch that makes a start miss the job's
/// objective. The cost favours preemption on machines that hold the image.
const MISSED_OBJECTIVE_MACHINE_SECONDS: f64 = 100.0;

/// A plan for making room on one row.
struct RowPlan {
    row: usize,
    /// Number of the request's tasks that then fit.
    tasks: u32,
    /// Indices into [`Victims`] of the tasks to stop.
    victims: Vec<usize>,
    /// Cost of the plan, in machine seconds.
    cost: f64,
}

impl RowPlan {
    fn cost_per_task(&self) -> f64 {
        self.cost / f64::from(self.tasks)
    }
}

/// Finds the cheapest set of tasks to stop so that `request` fits: all tasks of a gang,
/// and at most `max_tasks` tasks of other jobs. `already_chosen` holds the victims that
/// are being stopped for other requests. Returns `None` if no allowed set is enough.
pub fn find_victims(
    cycle: &SchedulingCycle<'_>,
    request: &PlacementRequest,
    victims: &Victims,
    already_chosen: &BTreeSet<usize>,
    reclaim_limits: &ReclaimLimits,
    max_tasks: u32,
) -> Option<PreemptionPlan> {
    let limit = if request.gang { u32::MAX } else { max_tasks };
    let search = EvictionSearch {
        cycle,
        request,
        victims,
        already_chosen,
        reclaim_limits,
        requested_tasks: (request.tasks.len() as u32).min(limit),
    };
    let mut eviction = search.cheapest_combination(&search.plan_rows())?;
    search.include_whole_gangs(&mut eviction);
    Some(eviction)
}

/// Inputs of one search for tasks to stop.
struct EvictionSearch<'a, 'c> {
    cycle: &'a SchedulingCycle<'c>,
    request: &'a PlacementRequest,
    victims: &'a Victims,
    already_chosen: &'a BTreeSet<usize>,
    reclaim_limits: &'a ReclaimLimits,
    /// Number of tasks to make room for.
    requested_tasks: u32,
}

impl<'a> EvictionSearch<'a, '_> {
    /// Plans for all rows on which room can be made, in ascending order of cost per task.
    fn plan_rows(&self) -> Vec<RowPlan> {
        let rows = 0..self.cycle.rows.len();
        let mut plans: Vec<RowPlan> = rows
            .filter(|&row| self.is_usable(row))
            .filter_map(|row| self.plan_row(row))
            .collect();
        plans.sort_by(|a, b| a.cost_per_task().total_cmp(&b.cost_per_task()));
        plans
    }

    /// Whether the request could run on a row if enough tasks on the row were stopped.
    fn is_usable(&self, index: usize) -> bool {
        let row = &self.cycle.rows[index];
        let request = self.request;
        let has_victims = !self.victims.by_row[index].is_empty();
        (has_victims || request.need.fits_within(&row.free))
            && self.cycle.may_use(index, &request.job)
            && request.allows(row)
            && request.need.fits_within(&row.capacity)
            && request.zone_room(&row.zone) != 0
    }

    /// Plans to stop the cheapest tasks of a row until one task of the request fits;
    /// `None` if none fits.
    fn plan_row(&self, index: usize) -> Option<RowPlan> {
        let row = &self.cycle.rows[index];
        let need = &self.request.need;
        let mut free = row.free;
        let mut plan = RowPlan {
            row: index,
            tasks: 0,
            victims: Vec::new(),
            cost: 0.0,
        };
        let mut reclaimed = ReclaimUsage::default();
        let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
        for (cost, victim_index) in self.victims_by_cost(index) {
            if need.fits_within(&free) {
                break;
            }
            let victim = &self.victims[victim_index];
            // A gang counts once against the limits, with the first of its tasks.
            if !victim.gang || gangs.insert(&victim.job) {
                let loss = self.victims.reclaim_candidate(victim_index, self.request);
                if !self.reclaim_limits.allows(&reclaimed, &loss) {
                    continue;
                }
                self.reclaim_limits.count_reclaimed(&mut reclaimed, &loss);
            }
            free += victim.need;
            plan.victims.push(victim_index);
            plan.cost += cost;
        }
        let limit = self.requested_tasks.min(self.request.zone_room(&row.zone));
        plan.tasks = need.max_count_in(&free, limit);
        if plan.tasks == 0 {
            return None;
        }
        self.add_fetch_cost(&mut plan);
        Some(plan)
    }

    /// The tasks on a row that may be stopped for the request, each with its cost in
    /// machine seconds, in ascending order of cost.
    fn victims_by_cost(&self, row: usize) -> Vec<(f64, usize)> {
        let mut victims: Vec<(f64, usize)> = self.victims.by_row[row]
            .iter()
            .copied()
            .filter(|index| !self.already_chosen.contains(index))
            .filter(|index| may_preempt(self.request, &self.victims[*index]))
            .map(|index| (self.victims.cost(index), index))
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        victims
    }

    /// Adds the cost of the time for which the request's tasks wait for their image.
    fn add_fetch_cost(&self, plan: &mut RowPlan) {
        let fetch = self
            .cycle
            .fetch_time(self.request, &self.cycle.rows[plan.row]);
        plan.cost += fetch.as_secs() * MACHINE_SECONDS_PER_FETCH_SECOND;
        let starts_at = self.cycle.parameters.now + fetch;
        if self
            .request
            .start_by
            .is_some_and(|latest_start| starts_at > latest_start)
        {
            plan.cost += MISSED_OBJECTIVE_MACHINE_SECONDS * f64::from(plan.tasks);
        }
    }

    /// The cheapest combination of plans that makes room for enough tasks: all tasks of a
    /// gang, at least one task of other jobs. If the request needs one zone, the
    /// combination lies within one zone.
    fn cheapest_combination(&self, plans: &[RowPlan]) -> Option<PreemptionPlan> {
        let zones: Vec<Option<&Zone>> = if self.request.one_zone {
            self.cycle.zones().iter().map(Some).collect()
        } else {
            vec![None]
        };
        let mut best: Option<CombinedPlan<'_>> = None;
        for zone in zones {
            let combined = self.combine(plans, zone);
            let is_enough = match self.request.gang {
                true => combined.tasks_left == 0,
                false => combined.tasks_left < self.requested_tasks,
            };
            if is_enough && best.as_ref().is_none_or(|best| combined.cost < best.cost) {
                best = Some(combined);
            }
        }
        best.map(|combined| combined.eviction)
    }

    /// Adds plans in their order until there is room for all requested tasks. With
    /// `zone`, only plans for rows of this zone are added.
    fn combine(&self, plans: &[RowPlan], zone: Option<&Zone>) -> CombinedPlan<'a> {
        let mut combined = CombinedPlan::new(self.requested_tasks);
        let mut tasks_in_zones: BTreeMap<&Zone, u32> = BTreeMap::new();
        for plan in plans {
            let row = &self.cycle.rows[plan.row];
            if combined.tasks_left == 0 || zone.is_some_and(|zone| zone != &row.zone) {
                continue;
            }
            let in_zone = tasks_in_zones.entry(&row.zone).or_default();
            let zone_room = self.request.zone_room(&row.zone).saturating_sub(*in_zone);
            let tasks = plan.tasks.min(combined.tasks_left).min(zone_room);
            if tasks == 0 || !self.charge(&mut combined, plan) {
                continue;
            }
            *in_zone += tasks;
            combined.add(plan, tasks);
        }
        combined
    }

    /// Counts the victims of a plan against the reclaim limits. Returns false and counts
    /// nothing if the limits would be exceeded: plans that are allowed one by one can
    /// exceed the limits together.
    fn charge(&self, combined: &mut CombinedPlan<'a>, plan: &RowPlan) -> bool {
        let mut reclaimed = combined.reclaimed.clone();
        let mut new_gangs: BTreeSet<&JobId> = BTreeSet::new();
        for &index in &plan.victims {
            let victim = &self.victims[index];
            let is_counted = victim.gang
                && (combined.gangs.contains(&victim.job) || !new_gangs.insert(&victim.job));
            if is_counted {
                continue;
            }
            let loss = self.victims.reclaim_candidate(index, self.request);
            if !self.reclaim_limits.allows(&reclaimed, &loss) {
                return false;
            }
            self.reclaim_limits.count_reclaimed(&mut reclaimed, &loss);
        }
        combined.reclaimed = reclaimed;
        combined.gangs.extend(new_gangs);
        true
    }

    /// Adds all other tasks of each gang that has a task among the victims, since the
    /// tasks of a gang stop together.
    fn include_whole_gangs(&self, eviction: &mut PreemptionPlan) {
        let gangs: BTreeSet<&JobId> = eviction
            .victims
            .iter()
            .map(|&index| &self.victims[index])
            .filter(|victim| victim.gang)
            .map(|victim| &victim.job)
            .collect();
        let members = gangs
            .iter()
            .filter_map(|job| self.victims.gangs.get(job))
            .flat_map(|gang| &gang.members)
            .filter(|index| !self.already_chosen.contains(index));
        eviction.victims.extend(members);
    }
}

/// A combination of row plans.
struct CombinedPlan<'a> {
    eviction: PreemptionPlan,
    /// Total cost of the plans, in machine seconds.
    cost: f64,
    /// Number of requested tasks that still have no room.
    tasks_left: u32,
    /// Resources that all these plans reclaim from teams and classes.
    reclaimed: ReclaimUsage,
    /// Gangs that are already counted in `reclaimed`.
    gangs: BTreeSet<&'a JobId>,
}

impl CombinedPlan<'_> {
    fn new(requested_tasks: u32) -> Self {
        CombinedPlan {
            eviction: PreemptionPlan::default(),
            cost: 0.0,
            tasks_left: requested_tasks,
            reclaimed: ReclaimUsage::default(),
            gangs: BTreeSet::new(),
        }
    }

    /// Adds a row's plan and assigns `tasks` of the request's tasks to the row.
    fn add(&mut self, plan: &RowPlan, tasks: u32) {
        self.tasks_left -= tasks;
        self.cost += plan.cost;
        self.eviction.victims.extend(&plan.victims);
        let rows = std::iter::repeat_n(plan.row, tasks as usize);
        self.eviction.rows.extend(rows);
    }
}

#[cfg(test)]
mod tests;
