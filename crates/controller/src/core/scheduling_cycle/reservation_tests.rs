//! Compares reservations and backfill with direct, slow computations of their
//! definitions.

use super::*;
use crate::core::placement_tables::ImageCache;
use proptest::prelude::*;

const NOW: Time = Time(1_000_000_000);
const WHOLE: Resources = Resources {
    cpus: 8.0,
    gpus: 4.0,
    memory_gb: 8.0,
};

fn gpus(count: u32) -> Resources {
    Resources {
        cpus: 1.0,
        gpus: f64::from(count),
        memory_gb: 1.0,
    }
}

fn in_seconds(seconds: u32) -> Time {
    NOW + TimeSpan::secs(f64::from(seconds))
}

/// A machine with `free` GPUs free now and `later` further GPUs free in `in_s` seconds.
fn machine(index: usize, zone: u8, free: u32, later: u32, in_s: u32) -> MachineRow {
    let mut cache = ImageCache::default();
    cache.record_fetched(&"image".into(), 10.0, NOW, 100.0);
    let with_gpus = |count: u32| Resources {
        gpus: f64::from(count),
        ..WHOLE
    };
    MachineRow {
        id: format!("m{index}").into(),
        machine_type: "k".into(),
        zone: format!("z{zone}").into(),
        spot: false,
        capacity: WHOLE,
        free: with_gpus(free.min(4)),
        available_at: in_seconds(if later > 0 { in_s } else { 0 }),
        reservable: with_gpus((free + later).min(4)),
        last_high_priority_start: None,
        cache,
        fetch_rate: 1.0,
        quarantined: false,
        trial: None,
    }
}

fn request(job: &str, tasks: u32, need: Resources, run_s: Option<u32>) -> PlacementRequest {
    PlacementRequest {
        class: "class".into(),
        job: job.into(),
        team: "team".into(),
        image: "image".into(),
        image_gb: 10.0,
        need,
        tasks: (0..tasks).collect(),
        gang: false,
        priority: Priority::Normal,
        within_guarantee: false,
        order: 0,
        machine_types: None,
        zone: None,
        one_zone: false,
        max_per_zone: None,
        tasks_in_zones: BTreeMap::new(),
        spot: true,
        run_time: run_s.map(|s| TimeSpan::secs(f64::from(s))),
        start_by: None,
        reservation_due: false,
        overdue: false,
        promised_start: None,
        held_back_too_long: false,
        stalled: false,
        avoid: BTreeSet::new(),
    }
}

fn aged_gang(job: &str, tasks: u32, one_zone: bool) -> PlacementRequest {
    PlacementRequest {
        gang: true,
        reservation_due: true,
        one_zone,
        ..request(job, tasks, gpus(4), Some(30))
    }
}

/// Results of a cycle.
struct CycleResult {
    rows: Vec<MachineRow>,
    starts: Vec<StartDecision>,
    reservations: BTreeMap<usize, ReservedRow>,
    held_back: BTreeSet<JobId>,
}

fn run_with_limit(
    mut rows: Vec<MachineRow>,
    requests: &mut [PlacementRequest],
    gpus_max: Option<f64>,
) -> CycleResult {
    let share = TeamShare {
        gpus_max,
        ..Default::default()
    };
    let used = Resources::default();
    let mut teams = BTreeMap::from([(Team::from("team"), TeamQuotaState { used, share })]);
    let estimates = FetchEstimates::new(TimeSpan::secs(30.0));
    let parameters = CycleParameters {
        now: NOW,
        max_fetch_skew: TimeSpan::secs(20.0),
        backfill_margin: 1.5,
    };
    let mut cycle = SchedulingCycle::new(parameters, &mut rows, &mut teams, &estimates);
    cycle.run(requests);
    let (starts, reservations) = (cycle.starts, cycle.reservations);
    let held_back = cycle.jobs_held_back;
    CycleResult {
        held_back,
        rows,
        starts,
        reservations,
    }
}

fn run(rows: Vec<MachineRow>, requests: &mut [PlacementRequest]) -> CycleResult {
    run_with_limit(rows, requests, None)
}

/// Machines of zone 0 with one free GPU each; services occupy the other GPUs and never
/// end.
fn machines_with_services(count: usize) -> Vec<MachineRow> {
    (0..count).map(|i| machine(i, 0, 1, 0, 0)).collect()
}

#[test]
fn reserves_nothing_where_services_never_end() {
    let small = request("small", 3, gpus(1), Some(500));
    let mut requests = [aged_gang("gang", 2, false), small];
    let result = run(machines_with_services(3), &mut requests);
    assert!(result.reservations.is_empty());
    assert_eq!(result.starts.len(), 3);
}

#[test]
fn reserves_nothing_for_gang_larger_than_any_zone() {
    let rows = (0..6).map(|i| machine(i, (i % 2) as u8, 1, 3, 20));
    let small = request("small", 6, gpus(1), Some(500));
    let mut requests = [aged_gang("gang", 4, true), small];
    let result = run(rows.collect(), &mut requests);
    assert!(result.reservations.is_empty());
    assert_eq!(result.starts.len(), 6);
}

#[test]
fn reserves_nothing_for_team_at_its_maximum_quota() {
    let rows = (0..4).map(|i| machine(i, 0, 1, 3, 20));
    let small = request("small", 4, gpus(1), Some(500));
    let mut requests = [aged_gang("gang", 4, false), small];
    let result = run_with_limit(rows.collect(), &mut requests, Some(15.0));
    assert!(result.reservations.is_empty());
    assert_eq!(result.starts.len(), 4);
}

// Either gang alone would fit. The second gang must not reserve a part of the machines
// that it needs.
#[test]
fn only_one_of_two_competing_gangs_reserves() {
    let rows = (0..6).map(|i| machine(i, 0, 1, 3, 20 + i as u32));
    let small = request("small", 6, gpus(1), Some(500));
    let (first, second) = (aged_gang("a", 4, false), aged_gang("b", 4, false));
    let result = run(rows.collect(), &mut [first, second, small]);
    let holders: BTreeSet<&JobId> = result.reservations.values().map(|r| &r.holder).collect();
    assert_eq!(holders, BTreeSet::from([&JobId::from("a")]));
    assert_eq!(
        result.reservations.keys().copied().collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    let used: Vec<usize> = result.starts.iter().map(|start| start.row).collect();
    assert_eq!(used, [4, 5], "unreserved rows are used");
}

#[test]
fn backfill_adds_margin_to_run_time_estimate() {
    let rows = || vec![machine(0, 0, 2, 2, 60), machine(1, 0, 2, 2, 60)];
    let started = |run_s: Option<u32>| {
        let small = request("small", 4, gpus(1), run_s);
        run(rows(), &mut [aged_gang("gang", 2, false), small])
            .starts
            .len()
    };
    assert_eq!(started(Some(40)), 4);
    assert_eq!(started(Some(41)), 0);
    assert_eq!(started(None), 0);
}

#[test]
fn backfill_uses_resources_the_gang_leaves_free() {
    let gang = PlacementRequest {
        need: gpus(3),
        ..aged_gang("gang", 2, false)
    };
    let rows = vec![machine(0, 0, 2, 2, 60), machine(1, 0, 2, 2, 60)];
    let service = request("service", 4, gpus(1), None);
    let result = run(rows, &mut [gang, service]);
    let mut used: Vec<usize> = result.starts.iter().map(|start| start.row).collect();
    used.sort_unstable();
    assert_eq!(
        used,
        [0, 1],
        "one task per machine: the gang needs three of four GPUs"
    );
}

// The start that was first predicted lies 10 s ahead. The tasks that occupy the machines
// run longer than estimated, so the current prediction is 60 s.
#[test]
fn overrun_of_running_tasks_admits_no_further_backfill() {
    let started = |promised_s: u32| {
        let gang = PlacementRequest {
            promised_start: Some(in_seconds(promised_s)),
            ..aged_gang("gang", 2, false)
        };
        let rows = vec![machine(0, 0, 2, 2, 60), machine(1, 0, 2, 2, 60)];
        let small = request("small", 4, gpus(1), Some(20));
        run(rows, &mut [gang, small]).starts.len()
    };
    assert_eq!(started(10), 0);
    assert_eq!(started(30), 4);
}

#[test]
fn job_held_back_too_long_starts_one_task() {
    let started = |held_back_too_long: bool| {
        let rows = vec![machine(0, 0, 2, 2, 60), machine(1, 0, 2, 2, 60)];
        let small = |job: &str| PlacementRequest {
            held_back_too_long,
            ..request(job, 3, gpus(1), Some(500))
        };
        let mut requests = [aged_gang("gang", 2, false), small("a"), small("b")];
        let result = run(rows, &mut requests);
        assert_eq!(result.held_back.len(), 2);
        let jobs = result.starts.iter().map(|start| start.job.to_string());
        jobs.collect::<Vec<_>>()
    };
    assert_eq!(started(false), Vec::<String>::new());
    assert_eq!(started(true), ["a", "b"]);
}

/// The earliest time at which all machines for a gang are free, where each task needs a
/// whole machine, computed by trying every row's time.
fn earliest_start(
    rows: &[MachineRow],
    reserved_rows: &BTreeSet<usize>,
    tasks: usize,
    one_zone: bool,
) -> Option<Time> {
    let zones: Vec<Option<&Zone>> = match one_zone {
        true => rows.iter().map(|row| Some(&row.zone)).collect(),
        false => vec![None],
    };
    let has_enough = |time: Time| {
        zones.iter().any(|zone| {
            let whole = rows.iter().enumerate().filter(|(index, row)| {
                !reserved_rows.contains(index)
                    && row.reservable.gpus >= 4.0
                    && row.available_at <= time
                    && zone.is_none_or(|zone| *zone == row.zone)
            });
            whole.count() >= tasks
        })
    };
    rows.iter()
        .map(|row| row.available_at)
        .filter(|time| has_enough(*time))
        .min()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default()
    })]
    // All machines are full, so that no task starts. Each gang in turn reserves the
    // machines with the earliest possible start, or none.
    #[test]
    fn each_gang_reserves_its_earliest_start(
        rows in proptest::collection::vec((0u8..3, 2u32..5, 0u32..90), 1..12),
        gangs in proptest::collection::vec((1u32..6, any::<bool>()), 1..5),
    ) {
        let rows: Vec<MachineRow> = rows.into_iter().enumerate()
            .map(|(i, (zone, later, in_s))| machine(i, zone, 0, later, in_s)).collect();
        let mut requests: Vec<PlacementRequest> = gangs.iter().enumerate()
            .map(|(i, &(tasks, one_zone))| aged_gang(&format!("g{i}"), tasks, one_zone)).collect();
        let result = run(rows.clone(), &mut requests);
        prop_assert!(result.starts.is_empty());
        let mut reserved_rows = BTreeSet::new();
        for (index, (tasks, one_zone)) in gangs.into_iter().enumerate() {
            let holder = JobId::from(format!("g{index}").as_str());
            let reserved: Vec<(usize, Time)> = result.reservations.iter()
                .filter(|(_, r)| r.holder == holder).map(|(row, r)| (*row, r.starts_at)).collect();
            let expected = earliest_start(&rows, &reserved_rows, tasks as usize, one_zone);
            prop_assert_eq!(reserved.first().map(|(_, time)| *time), expected);
            prop_assert_eq!(reserved.len(), expected.map_or(0, |_| tasks as usize));
            reserved_rows.extend(reserved.into_iter().map(|(row, _)| row));
        }
    }

    // If every task ends when the cycle predicts, each reserved row has room for its gang
    // at the gang's predicted start.
    #[test]
    fn backfill_leaves_room_at_predicted_gang_start(
        rows in proptest::collection::vec((0u8..2, 0u32..4, 0u32..5, 1u32..120), 2..10),
        gangs in proptest::collection::vec((2u32..6, any::<bool>()), 1..4),
        others in proptest::collection::vec((1u32..6, 1u32..4, proptest::option::of(1u32..100), any::<bool>()), 1..6),
    ) {
        let before: Vec<MachineRow> = rows.into_iter().enumerate()
            .map(|(i, (zone, free, later, in_s))| machine(i, zone, free, later, in_s)).collect();
        let mut requests: Vec<PlacementRequest> = gangs.into_iter().enumerate()
            .map(|(i, (tasks, one_zone))| aged_gang(&format!("g{i}"), tasks, one_zone)).collect();
        requests.extend(others.into_iter().enumerate().map(|(i, (tasks, count, run_s, gang))| {
            PlacementRequest { gang, ..request(&format!("o{i}"), tasks, gpus(count), run_s) }
        }));
        let submitted = requests.clone();
        let result = run(before.clone(), &mut requests);
        for (&row, reserved) in &result.reservations {
            // Subtracts the tasks started in this cycle that still run at that time.
            let mut room = before[row].reservable;
            for start in result.starts.iter().filter(|start| start.row == row) {
                let request = submitted.iter().find(|request| request.job == start.job).unwrap();
                let wait = if request.gang { TimeSpan::secs(20.0) } else { TimeSpan::ZERO };
                let ends = request.run_time.map(|run| NOW + wait + run.scaled(1.5));
                if ends.is_none_or(|ends| ends > reserved.starts_at) {
                    room -= request.need;
                }
            }
            prop_assert!(gpus(4).fits_within(&room), "row {row}: {room:?} at {:?}", reserved.starts_at);
        }
        for (row, before) in result.rows.iter().zip(&before) {
            prop_assert!(row.free.gpus >= 0.0 && row.free.gpus <= before.free.gpus);
        }
    }
}
