//! Reservations and backfill against their definitions, computed the slow way.

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

/// A machine with so many GPUs free now, so many that come free later, and when.
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
        aged: false,
        overdue: false,
        promised_start: None,
        held_back_too_long: false,
        avoid: BTreeSet::new(),
    }
}

fn aged_gang(job: &str, tasks: u32, one_zone: bool) -> PlacementRequest {
    PlacementRequest {
        gang: true,
        aged: true,
        one_zone,
        ..request(job, tasks, gpus(4), Some(30))
    }
}

/// What a cycle decided.
struct Decided {
    rows: Vec<MachineRow>,
    starts: Vec<StartDecision>,
    reservations: BTreeMap<usize, ReservedRow>,
    held_back: BTreeSet<JobId>,
}

fn run_with_limit(
    mut rows: Vec<MachineRow>,
    requests: &mut [PlacementRequest],
    gpus_max: Option<f64>,
) -> Decided {
    let share = TeamShare {
        gpus_max,
        ..Default::default()
    };
    let used = Resources::default();
    let mut teams = BTreeMap::from([(Team::from("team"), TeamUse { used, share })]);
    let estimates = FetchEstimates::new(TimeSpan::secs(30.0));
    let parameters = CycleParameters {
        now: NOW,
        max_fetch_skew: TimeSpan::secs(20.0),
        backfill_margin: 1.5,
    };
    let mut cycle = SchedulingCycle::new(parameters, &mut rows, &mut teams, &estimates);
    cycle.run(requests);
    let (starts, reservations) = (cycle.starts, cycle.reservations);
    let held_back = cycle.held_back;
    Decided {
        held_back,
        rows,
        starts,
        reservations,
    }
}

fn run(rows: Vec<MachineRow>, requests: &mut [PlacementRequest]) -> Decided {
    run_with_limit(rows, requests, None)
}

/// Machines of zone 0 of which one GPU is free and never comes free the rest.
fn machines_with_services(count: usize) -> Vec<MachineRow> {
    (0..count).map(|i| machine(i, 0, 1, 0, 0)).collect()
}

#[test]
fn reserves_nothing_where_services_never_end() {
    let small = request("small", 3, gpus(1), Some(500));
    let mut requests = [aged_gang("gang", 2, false), small];
    let decided = run(machines_with_services(3), &mut requests);
    assert!(decided.reservations.is_empty());
    assert_eq!(decided.starts.len(), 3);
}

#[test]
fn reserves_nothing_for_a_gang_larger_than_any_zone() {
    let rows = (0..6).map(|i| machine(i, (i % 2) as u8, 1, 3, 20));
    let small = request("small", 6, gpus(1), Some(500));
    let mut requests = [aged_gang("gang", 4, true), small];
    let decided = run(rows.collect(), &mut requests);
    assert!(decided.reservations.is_empty());
    assert_eq!(decided.starts.len(), 6);
}

#[test]
fn reserves_nothing_for_a_gang_whose_team_is_at_its_limit() {
    let rows = (0..4).map(|i| machine(i, 0, 1, 3, 20));
    let small = request("small", 4, gpus(1), Some(500));
    let mut requests = [aged_gang("gang", 4, false), small];
    let decided = run_with_limit(rows.collect(), &mut requests, Some(15.0));
    assert!(decided.reservations.is_empty());
    assert_eq!(decided.starts.len(), 4);
}

// Each would fit alone. The second holds no part of what it needs.
#[test]
fn of_two_gangs_that_need_the_same_machines_one_reserves() {
    let rows = (0..6).map(|i| machine(i, 0, 1, 3, 20 + i as u32));
    let small = request("small", 6, gpus(1), Some(500));
    let (first, second) = (aged_gang("a", 4, false), aged_gang("b", 4, false));
    let decided = run(rows.collect(), &mut [first, second, small]);
    let holders: BTreeSet<&JobId> = decided.reservations.values().map(|r| &r.holder).collect();
    assert_eq!(holders, BTreeSet::from([&JobId::from("a")]));
    assert_eq!(
        decided.reservations.keys().copied().collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    let used: Vec<usize> = decided.starts.iter().map(|start| start.row).collect();
    assert_eq!(used, [4, 5], "what is not reserved is used");
}

#[test]
fn backfill_ends_before_the_reserved_start_by_half_again_its_estimate() {
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
fn backfill_may_take_what_the_gang_leaves() {
    let gang = PlacementRequest {
        need: gpus(3),
        ..aged_gang("gang", 2, false)
    };
    let rows = vec![machine(0, 0, 2, 2, 60), machine(1, 0, 2, 2, 60)];
    let service = request("service", 4, gpus(1), None);
    let decided = run(rows, &mut [gang, service]);
    let mut used: Vec<usize> = decided.starts.iter().map(|start| start.row).collect();
    used.sort_unstable();
    assert_eq!(used, [0, 1], "one on each: the gang needs three of four");
}

// The gang was to begin in 10 s; what ran there took longer, and now it is to begin in 60.
#[test]
fn what_outlasts_its_estimate_lets_no_further_work_in() {
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
fn work_held_back_for_long_gets_one_task_beside_a_reservation() {
    let started = |held_back_too_long: bool| {
        let rows = vec![machine(0, 0, 2, 2, 60), machine(1, 0, 2, 2, 60)];
        let small = |job: &str| PlacementRequest {
            held_back_too_long,
            ..request(job, 3, gpus(1), Some(500))
        };
        let mut requests = [aged_gang("gang", 2, false), small("a"), small("b")];
        let decided = run(rows, &mut requests);
        assert_eq!(decided.held_back.len(), 2);
        let jobs = decided.starts.iter().map(|start| start.job.to_string());
        jobs.collect::<Vec<_>>()
    };
    assert_eq!(started(false), Vec::<String>::new());
    assert_eq!(started(true), ["a", "b"]);
}

/// The earliest time by which a gang of whole machines has all of them, the slow way.
fn earliest_start(
    rows: &[MachineRow],
    taken: &BTreeSet<usize>,
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
                !taken.contains(index)
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
    // Full machines, so that nothing starts: each gang in turn gets the machines with
    // which it begins soonest, or none.
    #[test]
    fn each_gang_reserves_its_earliest_start(
        rows in proptest::collection::vec((0u8..3, 2u32..5, 0u32..90), 1..12),
        gangs in proptest::collection::vec((1u32..6, any::<bool>()), 1..5),
    ) {
        let rows: Vec<MachineRow> = rows.into_iter().enumerate()
            .map(|(i, (zone, later, in_s))| machine(i, zone, 0, later, in_s)).collect();
        let mut requests: Vec<PlacementRequest> = gangs.iter().enumerate()
            .map(|(i, &(tasks, one_zone))| aged_gang(&format!("g{i}"), tasks, one_zone)).collect();
        let decided = run(rows.clone(), &mut requests);
        prop_assert!(decided.starts.is_empty());
        let mut taken = BTreeSet::new();
        for (index, (tasks, one_zone)) in gangs.into_iter().enumerate() {
            let holder = JobId::from(format!("g{index}").as_str());
            let reserved: Vec<(usize, Time)> = decided.reservations.iter()
                .filter(|(_, r)| r.holder == holder).map(|(row, r)| (*row, r.starts_at)).collect();
            let expected = earliest_start(&rows, &taken, tasks as usize, one_zone);
            prop_assert_eq!(reserved.first().map(|(_, time)| *time), expected);
            prop_assert_eq!(reserved.len(), expected.map_or(0, |_| tasks as usize));
            taken.extend(reserved.into_iter().map(|(row, _)| row));
        }
    }

    // If everything takes as long as it was counted with, the gangs begin when they were
    // to: their rows have the room then.
    #[test]
    fn backfill_leaves_each_gang_its_room_at_its_time(
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
        let all = requests.clone();
        let decided = run(before.clone(), &mut requests);
        for (&row, reserved) in &decided.reservations {
            // What is still there then, of what was started in this cycle.
            let mut room = before[row].reservable;
            for start in decided.starts.iter().filter(|start| start.row == row) {
                let request = all.iter().find(|request| request.job == start.job).unwrap();
                let wait = if request.gang { TimeSpan::secs(20.0) } else { TimeSpan::ZERO };
                let ends = request.run_time.map(|run| NOW + wait + run.scaled(1.5));
                if ends.is_none_or(|ends| ends > reserved.starts_at) {
                    room -= request.need;
                }
            }
            prop_assert!(gpus(4).fits(&room), "row {row}: {room:?} at {:?}", reserved.starts_at);
        }
        for (row, before) in decided.rows.iter().zip(&before) {
            prop_assert!(row.free.gpus >= 0.0 && row.free.gpus <= before.free.gpus);
        }
    }
}
