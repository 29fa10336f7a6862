//! Preemption: which running tasks to stop for work that cannot be placed. Pure, as the
//! scheduling cycle: it chooses, and stops nothing itself.

mod victims;

pub use victims::{Victim, Victims};

use super::quota::{ReclaimLimits, ReclaimUsage};
use super::scheduling_cycle::{PlacementRequest, SchedulingCycle};
use crate::types::{JobId, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// The tasks to stop for a request, and where its own tasks go then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Eviction {
    /// Indices of the tasks to stop.
    pub victims: BTreeSet<usize>,
    /// Rows for the request's tasks, one entry for each task.
    pub rows: Vec<usize>,
}

/// Whether `request` has a reason to have `victim` stopped. Only the two that the
/// platform names count: a higher priority, or a guaranteed quota against what another
/// team runs beyond its own. How much may be taken is for [`ReclaimLimits`] to say.
fn has_reason(request: &PlacementRequest, victim: &Victim) -> bool {
    // A guarantee could also take from higher priorities; stopping urgent work
    // for work that can wait serves nobody.
    victim.priority < request.priority
        || (request.within_guarantee
            && victim.team != request.team
            && victim.past_minimum_run
            && victim.priority == request.priority)
}

/// Machine seconds of lost work that one second of fetching the image weighs as much
/// as: the work that room is made for waits meanwhile.
const COST_PER_FETCH_SECOND: f64 = 2.0;

/// Cost for each task, in machine seconds, of a fetch by which its start misses its
/// objective: running work is rather stopped where the image is.
const MISSED_OBJECTIVE_COST: f64 = 100.0;

/// What making room on one row would come to.
struct RowPlan {
    row: usize,
    /// Tasks of the request that would fit.
    tasks: u32,
    /// Indices of the tasks to stop.
    victims: Vec<usize>,
    /// Cost in machine seconds.
    cost: f64,
}

impl RowPlan {
    fn cost_per_task(&self) -> f64 {
        self.cost / f64::from(self.tasks)
    }
}

/// Finds the cheapest set of tasks to stop so that `request` fits: a gang whole, of
/// others at most `max_tasks` tasks. `taken` are victims that are being stopped for
/// another request already.
pub fn evict(
    cycle: &SchedulingCycle<'_>,
    request: &PlacementRequest,
    victims: &Victims,
    taken: &BTreeSet<usize>,
    bounds: &ReclaimLimits,
    max_tasks: u32,
) -> Option<Eviction> {
    let limit = if request.gang { u32::MAX } else { max_tasks };
    let search = EvictionSearch {
        cycle,
        request,
        victims,
        taken,
        bounds,
        wanted_tasks: (request.tasks.len() as u32).min(limit),
    };
    let mut eviction = search.cheapest(&search.plan_rows())?;
    search.include_whole_gangs(&mut eviction);
    Some(eviction)
}

/// What one search for tasks to stop works on.
struct EvictionSearch<'a, 'c> {
    cycle: &'a SchedulingCycle<'c>,
    request: &'a PlacementRequest,
    victims: &'a Victims,
    taken: &'a BTreeSet<usize>,
    bounds: &'a ReclaimLimits,
    /// Tasks to make room for.
    wanted_tasks: u32,
}

impl<'a> EvictionSearch<'a, '_> {
    /// Plans for all rows on which room can be made, the cheapest for each task first.
    fn plan_rows(&self) -> Vec<RowPlan> {
        let rows = 0..self.cycle.rows.len();
        let mut plans: Vec<RowPlan> = rows
            .filter(|&row| self.is_usable(row))
            .filter_map(|row| self.plan_row(row))
            .collect();
        plans.sort_by(|a, b| a.cost_per_task().total_cmp(&b.cost_per_task()));
        plans
    }

    /// Whether the request could run on a row if enough were stopped there.
    fn is_usable(&self, index: usize) -> bool {
        let row = &self.cycle.rows[index];
        let request = self.request;
        let has_victims = !self.victims.by_row[index].is_empty();
        (has_victims || request.need.fits(&row.free))
            && self.cycle.may_use(index, &request.job)
            && request.allows(row)
            && request.need.fits(&row.capacity)
            && request.zone_room(&row.zone) != 0
    }

    /// What stopping the cheapest tasks of a row comes to; `None` if nothing fits then.
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
        let mut spent = ReclaimUsage::default();
        let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
        for (cost, victim_index) in self.victims_by_cost(index) {
            if need.fits(&free) {
                break;
            }
            let victim = &self.victims[victim_index];
            // A gang is counted once, with the first of its tasks.
            if !victim.gang || gangs.insert(&victim.job) {
                let loss = self.victims.loss(victim_index, self.request);
                if !self.bounds.allows(&spent, &loss) {
                    continue;
                }
                self.bounds.spend(&mut spent, &loss);
            }
            free += victim.need;
            plan.victims.push(victim_index);
            plan.cost += cost;
        }
        let limit = self.wanted_tasks.min(self.request.zone_room(&row.zone));
        plan.tasks = need.count_in(&free, limit);
        if plan.tasks == 0 {
            return None;
        }
        self.add_fetch_cost(&mut plan);
        Some(plan)
    }

    /// The tasks on a row that may be stopped for the request, with their cost in
    /// machine seconds, the cheapest first.
    fn victims_by_cost(&self, row: usize) -> Vec<(f64, usize)> {
        let mut victims: Vec<(f64, usize)> = self.victims.by_row[row]
            .iter()
            .copied()
            .filter(|index| !self.taken.contains(index))
            .filter(|index| has_reason(self.request, &self.victims[*index]))
            .map(|index| (self.victims.cost(index), index))
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        victims
    }

    /// The work that room is made for also waits for its image.
    fn add_fetch_cost(&self, plan: &mut RowPlan) {
        let fetch = self
            .cycle
            .fetch_time(self.request, &self.cycle.rows[plan.row]);
        plan.cost += fetch.as_secs() * COST_PER_FETCH_SECOND;
        let starts_at = self.cycle.parameters.now + fetch;
        if self
            .request
            .start_by
            .is_some_and(|latest| starts_at > latest)
        {
            plan.cost += MISSED_OBJECTIVE_COST * f64::from(plan.tasks);
        }
    }

    /// The cheapest combination of plans that makes room for enough tasks: within one
    /// zone, if the request needs that.
    fn cheapest(&self, plans: &[RowPlan]) -> Option<Eviction> {
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
                false => combined.tasks_left < self.wanted_tasks,
            };
            if is_enough && best.as_ref().is_none_or(|best| combined.cost < best.cost) {
                best = Some(combined);
            }
        }
        best.map(|combined| combined.eviction)
    }

    /// Takes plans in their order until there is room for all wanted tasks. With
    /// `zone`, only plans for rows of this zone.
    fn combine(&self, plans: &[RowPlan], zone: Option<&Zone>) -> CombinedPlan<'a> {
        let mut combined = CombinedPlan::new(self.wanted_tasks);
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

    /// Counts what a plan takes against the bounds; false, with nothing counted, if it
    /// is too much: what each row's plan may take alone, all may not take together.
    fn charge(&self, combined: &mut CombinedPlan<'a>, plan: &RowPlan) -> bool {
        let mut spent = combined.spent.clone();
        let mut new_gangs: BTreeSet<&JobId> = BTreeSet::new();
        for &index in &plan.victims {
            let victim = &self.victims[index];
            let is_counted = victim.gang
                && (combined.gangs.contains(&victim.job) || !new_gangs.insert(&victim.job));
            if is_counted {
                continue;
            }
            let loss = self.victims.loss(index, self.request);
            if !self.bounds.allows(&spent, &loss) {
                return false;
            }
            self.bounds.spend(&mut spent, &loss);
        }
        combined.spent = spent;
        combined.gangs.extend(new_gangs);
        true
    }

    /// Adds all other tasks of the gangs of which some are stopped: a gang stops whole.
    fn include_whole_gangs(&self, eviction: &mut Eviction) {
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
            .filter(|index| !self.taken.contains(index));
        eviction.victims.extend(members);
    }
}

/// Row plans that are carried out together.
struct CombinedPlan<'a> {
    eviction: Eviction,
    /// Cost in machine seconds.
    cost: f64,
    /// Wanted tasks without room yet.
    tasks_left: u32,
    /// What all these plans take from teams and classes.
    spent: ReclaimUsage,
    /// Gangs that are counted in `spent`.
    gangs: BTreeSet<&'a JobId>,
}

impl CombinedPlan<'_> {
    fn new(wanted_tasks: u32) -> Self {
        CombinedPlan {
            eviction: Eviction::default(),
            cost: 0.0,
            tasks_left: wanted_tasks,
            spent: ReclaimUsage::default(),
            gangs: BTreeSet::new(),
        }
    }

    /// Adds a row's plan, with room for `tasks` of the request's tasks.
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
