//! Making room: which running tasks to stop for work that cannot be placed.
//! Pure, as the cycle.

use super::quota::{Bounds, ReclaimCandidate, ReclaimUsage};
use super::scheduling_cycle::{PlacementRequest, SchedulingCycle};
use crate::types::{Class, JobId, Resources, Team};
use crate::wire::users::Priority;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task that may be stopped; a gang's tasks only go together.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Its job.
    pub job: JobId,
    /// Its number.
    pub task: u32,
    /// Its team.
    pub team: Team,
    /// Its class.
    pub class: Class,
    /// The share of its machine that it takes.
    pub machines: f64,
    /// Its priority.
    pub priority: Priority,
    /// What it takes.
    pub need: Resources,
    /// Whether it belongs to a gang.
    pub gang: bool,
    /// Row of its machine.
    pub row: usize,
    /// Seconds of work lost by stopping it, and what stopping costs.
    pub cost: f64,
    /// Whether it is settled: stopped not too soon after its start.
    pub settled: bool,
}

/// The tasks that may be stopped, indexed by where they are.
#[derive(Debug)]
pub struct Victims {
    all: Vec<Victim>,
    by_row: Vec<Vec<usize>>,
    /// A gang's tasks, and what stopping all of them costs.
    gangs: HashMap<JobId, (Vec<usize>, f64)>,
}

impl Victims {
    /// Indexes `all`, which lie on some of `rows` rows.
    pub fn new(all: Vec<Victim>, rows: usize) -> Victims {
        let mut by_row = vec![Vec::new(); rows];
        let mut gangs: HashMap<JobId, (Vec<usize>, f64)> = HashMap::new();
        for (n, v) in all.iter().enumerate() {
            by_row[v.row].push(n);
            if v.gang {
                let gang = gangs.entry(v.job.clone()).or_default();
                gang.0.push(n);
                gang.1 += v.cost;
            }
        }
        Victims { all, by_row, gangs }
    }

    /// What is lost with one of them: with a gang's task all the gang.
    pub fn loss(&self, n: usize, want: &PlacementRequest) -> ReclaimCandidate<'_> {
        let v = &self.all[n];
        let tasks = match self.gangs.get(&v.job) {
            Some((members, _)) if v.gang => members.len() as f64,
            _ => 1.0,
        };
        ReclaimCandidate {
            team: &v.team,
            class: &v.class,
            takes: v.need.times(tasks),
            machines: v.machines * tasks,
            for_guarantee: v.priority >= want.priority,
        }
    }

    /// What stopping one of them costs: with a gang's task all the gang.
    fn cost(&self, n: usize) -> f64 {
        let v = &self.all[n];
        match self.gangs.get(&v.job) {
            Some((_, cost)) if v.gang => *cost,
            _ => v.cost,
        }
    }
}

impl std::ops::Index<usize> for Victims {
    type Output = Victim;
    fn index(&self, n: usize) -> &Victim {
        &self.all[n]
    }
}

/// What stopping for one want comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Eviction {
    /// Indices of victims.
    pub victims: BTreeSet<usize>,
    /// Rows for the want's tasks, one entry a task.
    pub rows: Vec<usize>,
}

/// Whether `want` has a reason to have `v` stopped. Only the two that the
/// platform names count: a higher priority, or a guarantee against what another
/// team runs beyond its own. How much may be taken is for [`Bounds`] to say.
fn has_reason(want: &PlacementRequest, v: &Victim) -> bool {
    // A guarantee could also take from higher priorities; stopping urgent work
    // for work that can wait serves nobody.
    v.priority < want.priority
        || (want.entitled && v.team != want.team && v.settled && v.priority == want.priority)
}

/// What a second of fetching weighs against a machine's second of lost work.
const FETCH_WEIGHT: f64 = 2.0;

/// What it costs, in such seconds, if the fetch makes a start miss its aim.
const MISSED: f64 = 100.0;

struct RowPlan {
    row: usize,
    tasks: u32,
    victims: Vec<usize>,
    cost: f64,
}

/// Finds the cheapest set of tasks to stop so that `want` fits: a gang whole,
/// of others as many tasks as `most`.
pub fn evict(
    cycle: &SchedulingCycle<'_>,
    want: &PlacementRequest,
    victims: &Victims,
    taken: &BTreeSet<usize>,
    bounds: &Bounds,
    most: u32,
) -> Option<Eviction> {
    let wanted = (want.tasks.len() as u32).min(if want.gang { u32::MAX } else { most });
    let mut plans: Vec<RowPlan> = Vec::new();
    for (i, row) in cycle.rows.iter().enumerate() {
        if (victims.by_row[i].is_empty() && !want.need.fits(&row.free))
            || !cycle.may_use(i, &want.job)
            || !want.allows(row)
            || !want.need.fits(&row.whole)
            || want.zone_room(&row.zone) == 0
        {
            continue;
        }
        let mut here: Vec<(f64, usize)> = victims.by_row[i]
            .iter()
            .copied()
            .filter(|n| !taken.contains(n) && has_reason(want, &victims[*n]))
            .map(|n| (victims.cost(n), n))
            .collect();
        here.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = row.free;
        let mut plan = RowPlan {
            row: i,
            tasks: 0,
            victims: Vec::new(),
            cost: 0.0,
        };
        let mut spent = ReclaimUsage::default();
        let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
        for (cost, n) in here {
            if want.need.fits(&free) {
                break;
            }
            let v = &victims[n];
            if !v.gang || gangs.insert(&v.job) {
                let loss = victims.loss(n, want);
                if !bounds.allows(&spent, &loss) {
                    continue;
                }
                bounds.spend(&mut spent, &loss);
            }
            free += victims[n].need;
            plan.victims.push(n);
            plan.cost += cost;
        }
        plan.tasks = want
            .need
            .count_in(&free, wanted.min(want.zone_room(&row.zone)));
        if plan.tasks > 0 {
            // The work that is made room for also waits for its image.
            let fetch = cycle.fetch(want, row);
            plan.cost += fetch.as_secs() * FETCH_WEIGHT;
            if want.start_by.is_some_and(|t| cycle.pace.now + fetch > t) {
                plan.cost += MISSED * f64::from(plan.tasks);
            }
            plans.push(plan);
        }
    }
    plans.sort_by(|a, b| (a.cost / f64::from(a.tasks)).total_cmp(&(b.cost / f64::from(b.tasks))));
    let zones: Vec<Option<_>> = if want.one_zone {
        cycle.zones().iter().cloned().map(Some).collect()
    } else {
        vec![None]
    };
    let mut best: Option<(f64, Eviction)> = None;
    for zone in zones {
        let mut e = Eviction::default();
        let mut cost = 0.0;
        let mut left = wanted;
        let mut in_zone: BTreeMap<_, u32> = BTreeMap::new();
        // What each machine's plan may take alone, all may not take together.
        let mut spent = ReclaimUsage::default();
        let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
        for p in &plans {
            let row = &cycle.rows[p.row];
            if left == 0 || zone.as_ref().is_some_and(|z| z != &row.zone) {
                continue;
            }
            let used = in_zone.entry(&row.zone).or_default();
            let n = p
                .tasks
                .min(left)
                .min(want.zone_room(&row.zone).saturating_sub(*used));
            if n == 0 {
                continue;
            }
            let mut after = spent.clone();
            let mut more: BTreeSet<&JobId> = BTreeSet::new();
            let covered = p.victims.iter().all(|&n| {
                let v = &victims[n];
                if v.gang && (gangs.contains(&v.job) || !more.insert(&v.job)) {
                    return true;
                }
                let loss = victims.loss(n, want);
                let covered = bounds.allows(&after, &loss);
                bounds.spend(&mut after, &loss);
                covered
            });
            if !covered {
                continue;
            }
            spent = after;
            gangs.extend(more);
            *used += n;
            left -= n;
            cost += p.cost;
            e.victims.extend(&p.victims);
            e.rows.extend(std::iter::repeat_n(p.row, n as usize));
        }
        let enough = if want.gang { left == 0 } else { left < wanted };
        if enough && best.as_ref().is_none_or(|(c, _)| cost < *c) {
            best = Some((cost, e));
        }
    }
    let mut eviction = best?.1;
    // A gang stops whole.
    let gangs: BTreeSet<&JobId> = eviction
        .victims
        .iter()
        .filter(|&&n| victims[n].gang)
        .map(|&n| &victims[n].job)
        .collect();
    let rest = gangs
        .iter()
        .filter_map(|job| victims.gangs.get(job))
        .flat_map(|(members, _)| members)
        .filter(|n| !taken.contains(n));
    eviction.victims.extend(rest.collect::<Vec<_>>());
    Some(eviction)
}

#[cfg(test)]
mod tests;
