//! Checks reclaiming for guaranteed quotas against a slow model that sums up the stopped
//! tasks one by one.

use super::*;
use crate::core::placement_tables::{FetchEstimates, ImageCache, MachineRow};
use crate::core::quota::usage::{QuotaUnits, QuotaUsage};
use crate::core::scheduling_cycle::{CycleParameters, TeamQuotaState};
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
/// Maximum number of tasks that one search makes room for.
const MAX_TASKS: u32 = 16;

fn equal_amounts(gpus: f64) -> Resources {
    Resources {
        cpus: gpus,
        gpus,
        memory_gb: gpus,
    }
}

/// The team that runs all tasks and may lose those beyond its guaranteed quota.
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
        need: equal_amounts(gpus),
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
        reservation_due: false,
        overdue: false,
        promised_start: None,
        held_back_too_long: false,
        stalled: false,
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
        trial: None,
    }
}

/// A task of the lender. Two or more tasks with the same job and size are one gang.
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
            machine_fraction: 0.25,
            priority: Priority::Normal,
            need: equal_amounts(f64::from(self.gpus)),
            gang,
            row: self.machine,
            cost_machine_seconds: f64::from(self.job),
            past_minimum_run: true,
        }
    }
}

/// Machines on which the lender runs tasks.
struct Fleet {
    rows: Vec<MachineRow>,
    /// Those of the lender's tasks that fit on the machines.
    victims: Vec<Victim>,
    /// The lender's quota usage.
    quota_usage: QuotaUsage,
}

impl Fleet {
    /// Creates a fleet with those of the lender's tasks that fit. The lender has a
    /// guaranteed quota of `guarantee` GPUs, and further tasks of the lender with
    /// `stopping_gpus` GPUs are already being stopped.
    fn new(guarantee: f64, stopping_gpus: f64, tasks: &[LenderTask]) -> Fleet {
        let machines = tasks.iter().map(|t| t.machine).max().map_or(0, |m| m + 1);
        let share = TeamShare {
            cpus: None,
            gpus: Some(guarantee),
            cpus_max: None,
            gpus_max: None,
        };
        let mut quota_usage = QuotaUsage::new(&BTreeMap::from([(lender(), share)]));
        quota_usage.add_tasks(
            &lender(),
            QuotaUnits::of(&equal_amounts(stopping_gpus)),
            1,
            1,
        );
        let mut fleet = Fleet {
            rows: (0..machines).map(empty_machine).collect(),
            victims: Vec::new(),
            quota_usage,
        };
        for (number, task) in tasks.iter().enumerate() {
            let gang_size = tasks.iter().filter(|t| t.is_same_gang(task)).count();
            fleet.run_task(task.victim(number, gang_size > 1));
        }
        fleet
    }

    fn run_task(&mut self, task: Victim) {
        let free = &mut self.rows[task.row].free;
        if !task.need.fits_within(free) {
            return;
        }
        *free -= task.need;
        self.quota_usage
            .add_tasks(&lender(), QuotaUnits::of(&task.need), 1, 0);
        self.victims.push(task);
    }
}

/// Result of the model.
#[derive(Debug, PartialEq)]
struct Reclaimed {
    /// Number of GPUs that the lender still uses.
    remaining_gpus: f64,
    /// Number of requests that got room.
    served: usize,
}

/// Lets each request preempt in turn, as a cycle does, and sums up the stopped tasks.
fn reclaim(
    guarantee: f64,
    stopping_gpus: f64,
    tasks: &[LenderTask],
    requests: &[PlacementRequest],
) -> Reclaimed {
    let mut fleet = Fleet::new(guarantee, stopping_gpus, tasks);
    let running: f64 = fleet.victims.iter().map(|v| v.need.gpus).sum();
    let mut reclaim_limits = ReclaimLimits {
        usage: fleet.quota_usage,
        minimum_shares: Default::default(),
    };
    let victims = Victims::new(fleet.victims, fleet.rows.len());
    let mut teams = BTreeMap::from([(lender(), TeamQuotaState::default())]);
    let estimates = FetchEstimates::new(TimeSpan::secs(1.0));
    let parameters = CycleParameters {
        now: NOW,
        max_fetch_skew: TimeSpan::secs(30.0),
        backfill_margin: 1.5,
    };
    let mut cycle = SchedulingCycle::new(parameters, &mut fleet.rows, &mut teams, &estimates);
    let mut already_chosen = BTreeSet::new();
    let mut stopped = 0.0;
    let mut served = 0;
    for request in requests {
        let found = find_victims(
            &cycle,
            request,
            &victims,
            &already_chosen,
            &reclaim_limits,
            MAX_TASKS,
        );
        let Some(eviction) = found else {
            continue;
        };
        served += 1;
        stopped += stop_victims(
            &mut cycle,
            &mut reclaim_limits,
            &victims,
            request,
            &eviction,
        );
        start_tasks(&mut cycle, request, &eviction);
        already_chosen.extend(eviction.victims);
    }
    Reclaimed {
        remaining_gpus: running - stopped,
        served,
    }
}

/// Stops the chosen tasks and returns the number of their GPUs. A gang counts once
/// against the reclaim limits.
fn stop_victims(
    cycle: &mut SchedulingCycle<'_>,
    reclaim_limits: &mut ReclaimLimits,
    victims: &Victims,
    request: &PlacementRequest,
    eviction: &PreemptionPlan,
) -> f64 {
    let mut stopped = 0.0;
    let mut gangs = BTreeSet::new();
    for &index in &eviction.victims {
        let victim = &victims[index];
        stopped += victim.need.gpus;
        cycle.rows[victim.row].free += victim.need;
        if !victim.gang || gangs.insert(victim.job.clone()) {
            reclaim_limits.record_stopping(&victims.reclaim_candidate(index, request));
        }
    }
    stopped
}

fn start_tasks(
    cycle: &mut SchedulingCycle<'_>,
    request: &PlacementRequest,
    eviction: &PreemptionPlan,
) {
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
        guarantee in 0u32..40, stopping_gpus in 0u32..8,
        tasks in proptest::collection::vec((0usize..10, 0u8..6, 1u32..4), 1..40),
        sizes in proptest::collection::vec((1u32..4, 1u32..5), 1..6),
    ) {
        let tasks: Vec<LenderTask> = tasks.into_iter()
            .map(|(machine, job, gpus)| LenderTask { machine, job, gpus }).collect();
        let requests: Vec<PlacementRequest> = sizes.iter().enumerate()
            .map(|(number, &(tasks, gpus))| request(number, tasks, f64::from(gpus))).collect();
        let (guarantee, stopping_gpus) = (f64::from(guarantee), f64::from(stopping_gpus));

        let after = reclaim(guarantee, stopping_gpus, &tasks, &requests);

        // A lender that is below its guarantee already loses nothing.
        let before = reclaim(guarantee, stopping_gpus, &tasks, &[]);
        prop_assert!(after.remaining_gpus >= before.remaining_gpus.min(guarantee), "{after:?}");
    }
}

/// One task of four GPUs on each of four machines.
fn four_tasks(job_of_machine: impl Fn(usize) -> u8) -> Vec<LenderTask> {
    (0..4)
        .map(|machine| LenderTask {
            machine,
            job: job_of_machine(machine),
            gpus: 4,
        })
        .collect()
}

// Guards against reclaiming the same surplus several times within one cycle: once for
// each request, once for each victim of a request, or with a gang counted as one task.
#[test]
fn reclaims_surplus_only_once() {
    let singles = four_tasks(|machine| machine as u8);
    let gang = four_tasks(|_| 1);
    let requests = [request(0, 1, 4.0), request(1, 1, 4.0)];
    let result = |remaining_gpus, served| Reclaimed {
        remaining_gpus,
        served,
    };
    assert_eq!(reclaim(12.0, 0.0, &singles, &requests), result(12.0, 1));
    assert_eq!(reclaim(13.0, 0.0, &singles, &requests), result(16.0, 0));
    // Tasks that are already being stopped no longer count as surplus.
    assert_eq!(
        reclaim(12.0, 4.0, &singles, &requests[..1]),
        result(12.0, 1)
    );
    assert_eq!(reclaim(12.0, 0.0, &gang, &requests[..1]), result(16.0, 0));
    assert_eq!(reclaim(0.0, 0.0, &gang, &requests[..1]), result(0.0, 1));
}

// Checks that the model detects a violation: without the limits the lender loses all
// four tasks.
#[test]
fn model_detects_unbounded_reclaim() {
    use crate::core::failpoints::{SafetyCheck, disable_check};
    let singles = four_tasks(|machine| machine as u8);
    let requests: Vec<PlacementRequest> = (0..4).map(|n| request(n, 1, 4.0)).collect();
    disable_check(&[SafetyCheck::ReclaimsAreBounded]);
    let after = reclaim(12.0, 0.0, &singles, &requests);
    disable_check(&[]);
    assert_eq!(after.remaining_gpus, 0.0);
}
