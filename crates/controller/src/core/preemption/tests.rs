//! Claims against a slow plain model: whatever is stopped is added up task
//! by task afterwards.

use super::super::placement_tables::{FetchEstimates, ImageCache, MachineRow};
use super::super::quota::usage::{QuotaUnits, QuotaUsage};
use super::super::scheduling_cycle::{CycleParameters, TeamUse};
use super::*;
use crate::settings::TeamShare;
use crate::types::{Time, TimeSpan};
use crate::wire::users::Priority;
use proptest::prelude::*;

const NOW: Time = Time(1_000_000_000);
const WHOLE: Resources = Resources {
    cpus: 8.0,
    gpus: 4.0,
    memory_gb: 8.0,
};

fn amounts(gpus: f64) -> Resources {
    Resources {
        cpus: gpus,
        gpus,
        memory_gb: gpus,
    }
}

fn want(n: usize, tasks: u32, gpus: f64) -> PlacementRequest {
    PlacementRequest {
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
        run: TimeSpan::secs(60.0),
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
fn claims(guarantee: f64, losing: f64, tasks: &[Task], wants: &[PlacementRequest]) -> (f64, usize) {
    let machines = tasks.iter().map(|t| t.0).max().map_or(0, |m| m + 1);
    let mut rows: Vec<MachineRow> = (0..machines)
        .map(|i| MachineRow {
            id: format!("m{i}").into(),
            kind: "k".into(),
            zone: "z".into(),
            spot: false,
            whole: WHOLE,
            free: WHOLE,
            available: NOW,
            last_high: None,
            cache: ImageCache::default(),
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
    let mut account = QuotaUsage::new(&BTreeMap::from([(lender.clone(), share)]));
    account.hold(&lender, QuotaUnits::of(&amounts(losing)), 1, 1);
    let mut held = 0.0;
    let mut all = Vec::new();
    for (n, &(row, job, gpus)) in tasks.iter().enumerate() {
        let need = amounts(f64::from(gpus));
        if !need.fits(&rows[row].free) {
            continue;
        }
        rows[row].free -= need;
        held += f64::from(gpus);
        account.hold(&lender, QuotaUnits::of(&need), 1, 0);
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
    let estimates = FetchEstimates::new(TimeSpan::secs(1.0));
    let pace = CycleParameters {
        now: NOW,
        most_skew: TimeSpan::secs(30.0),
    };
    let mut cycle = SchedulingCycle::new(pace, &mut rows, &mut teams, &estimates);
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
        let wants: Vec<PlacementRequest> = sizes.iter().enumerate()
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
    use super::super::failpoints::{SafetyCheck, disable_check};
    let singles: Vec<Task> = (0..4).map(|i| (i, i as u8, 4)).collect();
    let wants: Vec<PlacementRequest> = (0..4).map(|n| want(n, 1, 4.0)).collect();
    disable_check(&[SafetyCheck::ClaimsAreBounded]);
    let (left, _) = claims(12.0, 0.0, &singles, &wants);
    disable_check(&[]);
    assert_eq!(left, 0.0);
}
