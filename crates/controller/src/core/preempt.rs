//! Making room: which running tasks to stop for work that cannot be placed.
//! Pure, as the cycle.

use super::cycle::{Cycle, Want};
use super::teams::{Bounds, Loss, Spent};
use crate::types::{Amounts, Class, JobId, Team};
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
    pub need: Amounts,
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
    pub fn loss(&self, n: usize, want: &Want) -> Loss<'_> {
        let v = &self.all[n];
        let tasks = match self.gangs.get(&v.job) {
            Some((members, _)) if v.gang => members.len() as f64,
            _ => 1.0,
        };
        Loss {
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
fn has_reason(want: &Want, v: &Victim) -> bool {
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
    cycle: &Cycle<'_>,
    want: &Want,
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
        let mut spent = Spent::default();
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
        let mut spent = Spent::default();
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
mod tests {
    //! Claims against a slow plain model: whatever is stopped is added up task
    //! by task afterwards.

    use super::super::cycle::{Pace, TeamUse};
    use super::super::tables::{Cache, Estimates, Row};
    use super::super::teams::account::{Account, Units};
    use super::*;
    use crate::settings::TeamShare;
    use crate::types::{Span, Time};
    use crate::wire::users::Priority;
    use proptest::prelude::*;

    const NOW: Time = Time(1_000_000_000);
    const WHOLE: Amounts = Amounts {
        cpus: 8.0,
        gpus: 4.0,
        memory_gb: 8.0,
    };

    fn amounts(gpus: f64) -> Amounts {
        Amounts {
            cpus: gpus,
            gpus,
            memory_gb: gpus,
        }
    }

    fn want(n: usize, tasks: u32, gpus: f64) -> Want {
        Want {
            job: format!("want-{n}").into(),
            team: "owner".into(),
            class: "any".into(),
            image: "i".into(),
            image_gb: 1.0,
            need: amounts(gpus),
            tasks: (0..tasks).collect(),
            gang: true,
            priority: Priority::Normal,
            entitled: true,
            order: n as i64,
            kinds: None,
            zone: None,
            one_zone: false,
            most_in_zone: None,
            in_zones: BTreeMap::new(),
            spot: true,
            run: Span::secs(60.0),
            start_by: None,
            aged: false,
            overdue: false,
            avoid: BTreeSet::new(),
        }
    }

    /// A task of the lender's: (machine, job, gpus); a job of several is a gang.
    type Task = (usize, u8, u32);

    /// Lets each want claim in turn, as a cycle does, against a lender with this
    /// guarantee that already loses `losing` GPUs. Returns what it is left.
    fn claims(guarantee: f64, losing: f64, tasks: &[Task], wants: &[Want]) -> (f64, usize) {
        let machines = tasks.iter().map(|t| t.0).max().map_or(0, |m| m + 1);
        let mut rows: Vec<Row> = (0..machines)
            .map(|i| Row {
                id: format!("m{i}").into(),
                kind: "k".into(),
                zone: "z".into(),
                spot: false,
                whole: WHOLE,
                free: WHOLE,
                available: NOW,
                last_high: None,
                cache: Cache::default(),
                fetch_rate: 1.0,
                aside: false,
            })
            .collect();
        let share = TeamShare {
            cpus: None,
            gpus: Some(guarantee),
            cpus_max: None,
            gpus_max: None,
        };
        let lender = Team::from("lender");
        let mut account = Account::new(&BTreeMap::from([(lender.clone(), share)]));
        account.hold(&lender, Units::of(&amounts(losing)), 1, 1);
        let mut held = 0.0;
        let mut all = Vec::new();
        for (n, &(row, job, gpus)) in tasks.iter().enumerate() {
            let need = amounts(f64::from(gpus));
            if !need.fits(&rows[row].free) {
                continue;
            }
            rows[row].free -= need;
            held += f64::from(gpus);
            account.hold(&lender, Units::of(&need), 1, 0);
            let of_job = tasks.iter().filter(|t| t.1 == job && t.2 == gpus);
            all.push(Victim {
                job: format!("job-{job}-{gpus}").into(),
                task: n as u32,
                team: lender.clone(),
                class: "any".into(),
                machines: 0.25,
                priority: Priority::Normal,
                need,
                gang: of_job.count() > 1,
                row,
                cost: f64::from(job),
                settled: true,
            });
        }
        let mut bounds = Bounds {
            account,
            floors: Default::default(),
        };
        let victims = Victims::new(all, rows.len());
        let mut teams = BTreeMap::from([(lender, TeamUse::default())]);
        let estimates = Estimates::new(Span::secs(1.0));
        let pace = Pace {
            now: NOW,
            most_skew: Span::secs(30.0),
        };
        let mut cycle = Cycle::new(pace, &mut rows, &mut teams, &estimates);
        let (mut taken, mut stopped) = (BTreeSet::new(), 0.0);
        let mut served = 0;
        for w in wants {
            let Some(e) = evict(&cycle, w, &victims, &taken, &bounds, 16) else {
                continue;
            };
            served += 1;
            let mut gangs = BTreeSet::new();
            for &n in &e.victims {
                let v = &victims[n];
                stopped += v.need.gpus;
                cycle.rows[v.row].free += v.need;
                if !v.gang || gangs.insert(v.job.clone()) {
                    bounds.take(&victims.loss(n, w));
                }
            }
            taken.extend(e.victims);
            let mut w = w.clone();
            for row in e.rows {
                let task = w.tasks.remove(0);
                cycle.assign(&mut w, task, row);
            }
        }
        (held - stopped, served)
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 400, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default()
        })]
        #[test]
        fn claims_leave_the_lender_its_guarantee(
            guarantee in 0u32..40, losing in 0u32..8,
            tasks in proptest::collection::vec((0usize..10, 0u8..6, 1u32..4), 1..40),
            sizes in proptest::collection::vec((1u32..4, 1u32..5), 1..6),
        ) {
            let wants: Vec<Want> = sizes.iter().enumerate()
                .map(|(n, &(t, g))| want(n, t, f64::from(g))).collect();
            let (left, served) = claims(f64::from(guarantee), f64::from(losing), &tasks, &wants);
            let (before, _) = claims(f64::from(guarantee), f64::from(losing), &tasks, &[]);
            // Nothing at all is taken of a lender that is below it already.
            prop_assert!(left >= before.min(f64::from(guarantee)), "{left} left, {served} served");
        }
    }

    // Within one cycle the same surplus was once spent by each want anew, by
    // each victim of a want, and a gang counted as one of its tasks.
    #[test]
    fn one_machine_lent_is_taken_back_once() {
        let singles: Vec<Task> = (0..4).map(|i| (i, i as u8, 4)).collect();
        let wants = [want(0, 1, 4.0), want(1, 1, 4.0)];
        assert_eq!(claims(12.0, 0.0, &singles, &wants), (12.0, 1));
        assert_eq!(claims(13.0, 0.0, &singles, &wants), (16.0, 0));
        // What is being stopped already is not lent any more.
        assert_eq!(claims(12.0, 4.0, &singles, &wants[..1]), (12.0, 1));
        let gang: Vec<Task> = (0..4).map(|i| (i, 1, 4)).collect();
        assert_eq!(claims(12.0, 0.0, &gang, &wants[..1]), (16.0, 0));
        assert_eq!(claims(0.0, 0.0, &gang, &wants[..1]), (0.0, 1));
    }

    // The model notices: with the bound switched off the lender loses all four.
    #[test]
    fn claims_without_a_bound_are_caught() {
        use super::super::weak::{Decision, weaken};
        let singles: Vec<Task> = (0..4).map(|i| (i, i as u8, 4)).collect();
        let wants: Vec<Want> = (0..4).map(|n| want(n, 1, 4.0)).collect();
        weaken(&[Decision::ClaimsAreBounded]);
        let (left, _) = claims(12.0, 0.0, &singles, &wants);
        weaken(&[]);
        assert_eq!(left, 0.0);
    }
}
