//! Reclaiming for guaranteed quotas against a slow plain model: whatever is stopped is
//! added up task by task afterwards.

use super::*;
use crate::core::placement_tables::{FetchEstimates, ImageCache, MachineRow};
use crate::core::quota::usage::{QuotaUnits, QuotaUsage};
use crate::core::scheduling_cycle::{CycleParameters, TeamUse};
use crate::settings::TeamShare;
use crate::types::{Resources, Team, Time, TimeSpan};
use crate::wire::users::Priority;
use proptest::prelude::*;

const NOW: Time = Time(1_000_000_000);
const MACHINE: Resources = Resources {
    cpus: 8.0,
    gpus: 4.0,
    memory_gb: 8.0,
};
/// Most tasks that one request of the model makes room for.
const MAX_TASKS: u32 = 16;

fn amounts(gpus: f64) -> Resources {
    Resources {
        cpus: gpus,
        gpus,
        memory_gb: gpus,
    }
}

/// The lender: the team that runs all tasks.
fn lender() -> Team {
    Team::from("lender")
}

/// A gang of another team, within its guaranteed quota.
fn request(number: usize, tasks: u32, gpus: f64) -> PlacementRequest {
    PlacementRequest {
        job: format!("want-{number}").into(),
        team: "owner".into(),
        class: "any".into(),
        image: "i".into(),
        image_gb: 1.0,
        need: amounts(gpus),
        tasks: (0..tasks).collect(),
        gang: true,
        priority: Priority::Normal,
        within_guarantee: true,
        order: number as i64,
        machine_types: None,
        zone: None,
        one_zone: false,
        max_per_zone: None,
        tasks_in_zones: BTreeMap::new(),
        spot: true,
        run_time: Some(TimeSpan::secs(60.0)),
        start_by: None,
        aged: false,
        overdue: false,
        promised_start: None,
        held_back_too_long: false,
        avoid: BTreeSet::new(),
    }
}

fn empty_machine(number: usize) -> MachineRow {
    MachineRow {
        id: format!("m{number}").into(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        capacity: MACHINE,
        free: MACHINE,
        available_at: NOW,
        reservable: MACHINE,
        last_high_priority_start: None,
        cache: ImageCache::default(),
        fetch_rate: 1.0,
        quarantined: false,
    }
}

/// A task of the lender's. Tasks with the same job and size are one gang.
#[derive(Clone, Copy)]
struct LenderTask {
    machine: usize,
    job: u8,
    gpus: u32,
}

impl LenderTask {
    fn is_same_gang(&self, other: &LenderTask) -> bool {
        (self.job, self.gpus) == (other.job, other.gpus)
    }

    fn victim(&self, number: usize, gang: bool) -> Victim {
        Victim {
            job: format!("job-{}-{}", self.job, self.gpus).into(),
            task: number as u32,
            team: lender(),
            class: "any".into(),
            machines: 0.25,
            priority: Priority::Normal,
            need: amounts(f64::from(self.gpus)),
            gang,
            row: self.machine,
            cost_machine_seconds: f64::from(self.job),
            past_minimum_run: true,
        }
    }
}

/// Machines on which a lender runs tasks.
struct Fleet {
    rows: Vec<MachineRow>,
    /// The lender's tasks that fit.
    victims: Vec<Victim>,
    /// What the lender uses.
    account: QuotaUsage,
}

impl Fleet {
    /// A fleet with the lender's tasks, as far as they fit. The lender has a guaranteed
    /// quota of `guarantee` GPUs and is losing `losing` GPUs already.
    fn new(guarantee: f64, losing: f64, tasks: &[LenderTask]) -> Fleet {
        let machines = tasks.iter().map(|t| t.machine).max().map_or(0, |m| m + 1);
        let share = TeamShare {
            cpus: None,
            gpus: Some(guarantee),
            cpus_max: None,
            gpus_max: None,
        };
        let mut account = QuotaUsage::new(&BTreeMap::from([(lender(), share)]));
        account.add_tasks(&lender(), QuotaUnits::of(&amounts(losing)), 1, 1);
        let mut fleet = Fleet {
            rows: (0..machines).map(empty_machine).collect(),
            victims: Vec::new(),
            account,
        };
        for (number, task) in tasks.iter().enumerate() {
            let gang_size = tasks.iter().filter(|t| t.is_same_gang(task)).count();
            fleet.run_task(task.victim(number, gang_size > 1));
        }
        fleet
    }

    fn run_task(&mut self, task: Victim) {
        let free = &mut self.rows[task.row].free;
        if !task.need.fits(free) {
            return;
        }
        *free -= task.need;
        self.account
            .add_tasks(&lender(), QuotaUnits::of(&task.need), 1, 0);
        self.victims.push(task);
    }
}

/// What the model comes to.
#[derive(Debug, PartialEq)]
struct Reclaimed {
    /// GPUs that the lender still runs.
    left: f64,
    /// Requests that got room.
    served: usize,
}

/// Lets each request preempt in turn, as a cycle does, and adds up what is stopped.
fn reclaim(
    guarantee: f64,
    losing: f64,
    tasks: &[LenderTask],
    requests: &[PlacementRequest],
) -> Reclaimed {
    let mut fleet = Fleet::new(guarantee, losing, tasks);
    let running: f64 = fleet.victims.iter().map(|v| v.need.gpus).sum();
    let mut bounds = ReclaimLimits {
        usage: fleet.account,
        minimum_shares: Default::default(),
    };
    let victims = Victims::new(fleet.victims, fleet.rows.len());
    let mut teams = BTreeMap::from([(lender(), TeamUse::default())]);
    let estimates = FetchEstimates::new(TimeSpan::secs(1.0));
    let parameters = CycleParameters {
        now: NOW,
        max_fetch_skew: TimeSpan::secs(30.0),
        backfill_margin: 1.5,
    };
    let mut cycle = SchedulingCycle::new(parameters, &mut fleet.rows, &mut teams, &estimates);
    let mut taken = BTreeSet::new();
    let mut stopped = 0.0;
    let mut served = 0;
    for request in requests {
        let found = evict(&cycle, request, &victims, &taken, &bounds, MAX_TASKS);
        let Some(eviction) = found else {
            continue;
        };
        served += 1;
        stopped += stop_victims(&mut cycle, &mut bounds, &victims, request, &eviction);
        start_tasks(&mut cycle, request, &eviction);
        taken.extend(eviction.victims);
    }
    Reclaimed {
        left: running - stopped,
        served,
    }
}

/// Stops the chosen tasks; returns the GPUs they had. A gang counts once against the
/// bounds.
fn stop_victims(
    cycle: &mut SchedulingCycle<'_>,
    bounds: &mut ReclaimLimits,
    victims: &Victims,
    request: &PlacementRequest,
    eviction: &Eviction,
) -> f64 {
    let mut stopped = 0.0;
    let mut gangs = BTreeSet::new();
    for &index in &eviction.victims {
        let victim = &victims[index];
        stopped += victim.need.gpus;
        cycle.rows[victim.row].free += victim.need;
        if !victim.gang || gangs.insert(victim.job.clone()) {
            bounds.take(&victims.loss(index, request));
        }
    }
    stopped
}

fn start_tasks(cycle: &mut SchedulingCycle<'_>, request: &PlacementRequest, eviction: &Eviction) {
    let mut request = request.clone();
    for &row in &eviction.rows {
        let task = request.tasks.remove(0);
        cycle.assign(&mut request, task, row);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default()
    })]
    #[test]
    fn reclaim_leaves_guaranteed_quota(
        guarantee in 0u32..40, losing in 0u32..8,
        tasks in proptest::collection::vec((0usize..10, 0u8..6, 1u32..4), 1..40),
        sizes in proptest::collection::vec((1u32..4, 1u32..5), 1..6),
    ) {
        let tasks: Vec<LenderTask> = tasks.into_iter()
            .map(|(machine, job, gpus)| LenderTask { machine, job, gpus }).collect();
        let requests: Vec<PlacementRequest> = sizes.iter().enumerate()
            .map(|(number, &(tasks, gpus))| request(number, tasks, f64::from(gpus))).collect();
        let (guarantee, losing) = (f64::from(guarantee), f64::from(losing));

        let after = reclaim(guarantee, losing, &tasks, &requests);

        // Nothing at all is taken of a lender that is below its guarantee already.
        let before = reclaim(guarantee, losing, &tasks, &[]);
        prop_assert!(after.left >= before.left.min(guarantee), "{after:?}");
    }
}

/// One task of four GPUs on each of four machines.
fn four_tasks(job_of: impl Fn(usize) -> u8) -> Vec<LenderTask> {
    (0..4)
        .map(|machine| LenderTask {
            machine,
            job: job_of(machine),
            gpus: 4,
        })
        .collect()
}

// Within one cycle the same surplus was once spent by each request anew, by
// each victim of a request, and a gang counted as one of its tasks.
#[test]
fn reclaims_surplus_only_once() {
    let singles = four_tasks(|machine| machine as u8);
    let gang = four_tasks(|_| 1);
    let requests = [request(0, 1, 4.0), request(1, 1, 4.0)];
    let result = |left, served| Reclaimed { left, served };
    assert_eq!(reclaim(12.0, 0.0, &singles, &requests), result(12.0, 1));
    assert_eq!(reclaim(13.0, 0.0, &singles, &requests), result(16.0, 0));
    // What is being stopped already is no surplus any more.
    assert_eq!(
        reclaim(12.0, 4.0, &singles, &requests[..1]),
        result(12.0, 1)
    );
    assert_eq!(reclaim(12.0, 0.0, &gang, &requests[..1]), result(16.0, 0));
    assert_eq!(reclaim(0.0, 0.0, &gang, &requests[..1]), result(0.0, 1));
}

// The model notices: with the bound switched off the lender loses all four.
#[test]
fn model_detects_unbounded_reclaim() {
    use crate::core::failpoints::{SafetyCheck, disable_check};
    let singles = four_tasks(|machine| machine as u8);
    let requests: Vec<PlacementRequest> = (0..4).map(|n| request(n, 1, 4.0)).collect();
    disable_check(&[SafetyCheck::ReclaimsAreBounded]);
    let after = reclaim(12.0, 0.0, &singles, &requests);
    disable_check(&[]);
    assert_eq!(after.left, 0.0);
}
