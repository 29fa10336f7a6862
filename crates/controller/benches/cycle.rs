//! Measures the duration of one scheduling cycle at the size of the largest known
//! deployments: `cargo bench`. The times are printed and not checked, as they depend on the
//! machine.

use hdrhistogram::Histogram;
use pebblefold_controller::core::placement_tables::{FetchEstimates, ImageCache, MachineRow};
use pebblefold_controller::core::preemption::{Victim, Victims, find_victims};
use pebblefold_controller::core::quota::ReclaimLimits;
use pebblefold_controller::core::scheduling_cycle::{
    CycleParameters, PlacementRequest, SchedulingCycle, TeamQuotaState,
};
use pebblefold_controller::settings::TeamShare;
use pebblefold_controller::types::{Image, Resources, Time, TimeSpan};
use pebblefold_controller::wire::users::Priority;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const NOW: Time = Time(1_000_000_000);
/// Numbers of machines of the largest known deployments.
const MACHINE_COUNTS: [usize; 2] = [1800, 4000];
const WAITING_JOBS: usize = 300;
const ROUNDS: usize = 40;

fn resources(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
    Resources {
        cpus,
        gpus,
        memory_gb,
    }
}

fn image(n: u32) -> Image {
    format!("image-{n:02}").into()
}

/// `machines` rows; one in `machines_per_free_one` is free, the others have no free resources.
fn rows(rng: &mut StdRng, machines: usize, machines_per_free_one: usize) -> Vec<MachineRow> {
    let whole = resources(48.0, 8.0, 288.0);
    (0..machines)
        .map(|i| {
            let mut cache = ImageCache::default();
            for _ in 0..6 {
                cache.record_fetched(&image(rng.random_range(0..24)), 6.0, NOW, 150.0);
            }
            let gpus = if i % machines_per_free_one == 0 {
                8.0
            } else {
                0.0
            };
            MachineRow {
                id: format!("host-{i:06}").into(),
                machine_type: "box".into(),
                zone: format!("zone-{}", i % 3).into(),
                spot: i % 2 == 0,
                capacity: whole,
                free: resources(gpus * 6.0, gpus, gpus * 36.0),
                available_at: NOW + TimeSpan::secs(f64::from(rng.random_range(0u32..200))),
                reservable: whole,
                last_high_priority_start: None,
                cache,
                fetch_rate: 0.6,
                quarantined: false,
                trial: None,
            }
        })
        .collect()
}

fn requests(rng: &mut StdRng) -> Vec<PlacementRequest> {
    (0..WAITING_JOBS)
        .map(|i| {
            let gang = i % 3 != 0;
            let tasks = if gang {
                1 << rng.random_range(0..5)
            } else {
                rng.random_range(20u32..400)
            };
            let levels = [Priority::Low, Priority::Normal, Priority::High];
            PlacementRequest {
                job: format!("wk-{i:06}").into(),
                team: "team".into(),
                class: "class".into(),
                image: image(rng.random_range(0..24)),
                image_gb: 6.0,
                need: if gang {
                    resources(43.0, 8.0, 230.0)
                } else {
                    resources(5.0, 1.0, 27.0)
                },
                tasks: (0..tasks).collect(),
                gang,
                priority: levels[i % 3],
                within_guarantee: i % 2 == 0,
                order: i as i64,
                machine_types: None,
                zone: None,
                one_zone: gang,
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
        })
        .collect()
}

/// Eight tasks, each of an eighth of a machine, on each machine without a free GPU.
fn victims(rows: &[MachineRow]) -> Vec<Victim> {
    let full = rows.iter().enumerate().filter(|(_, r)| r.free.gpus < 1.0);
    full.flat_map(|(row, _)| {
        (0..8).map(move |n| Victim {
            job: format!("old-{:04}", row / 10).into(),
            task: (row % 10 * 8 + n) as u32,
            team: "team".into(),
            class: "class".into(),
            machine_fraction: 0.125,
            priority: Priority::Low,
            need: resources(5.0, 1.0, 27.0),
            gang: false,
            row,
            cost_machine_seconds: f64::from(n as u32),
            past_minimum_run: true,
        })
    })
    .collect()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds are valid")
}

fn report(name: &str, times: &Histogram<u64>) {
    let ms = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
    let (median, maximum) = (ms(0.5), ms(1.0));
    println!("{name}: {median:.2} ms, at most {maximum:.2} ms ({ROUNDS} rounds)");
}

fn main() {
    let parameters = CycleParameters {
        now: NOW,
        max_fetch_skew: TimeSpan::secs(30.0),
        backfill_margin: 1.5,
    };
    let estimates = FetchEstimates::new(TimeSpan::secs(30.0));
    let teams = || {
        let share = TeamShare::default();
        let used = Resources::default();
        BTreeMap::from([("team".into(), TeamQuotaState { used, share })])
    };
    for machines in MACHINE_COUNTS {
        println!("{machines} machines, {WAITING_JOBS} waiting jobs");
        for (name, machines_per_free_one, aged) in [
            ("a cycle, every machine free", 1, false),
            ("a cycle, one in 100 free", 100, false),
            ("a cycle, one in 4 free, reservations", 4, true),
        ] {
            let mut rng = StdRng::seed_from_u64(1);
            let mut times = histogram();
            for _ in 0..ROUNDS {
                let mut rows = rows(&mut rng, machines, machines_per_free_one);
                let mut requests = requests(&mut rng);
                for request in requests.iter_mut().filter(|request| request.gang) {
                    request.reservation_due = aged;
                }
                let mut teams = teams();
                let start = Instant::now();
                SchedulingCycle::new(parameters, &mut rows, &mut teams, &estimates)
                    .run(&mut requests);
                times.saturating_record(start.elapsed().as_micros() as u64);
            }
            report(name, &times);
        }
    }
    let mut rng = StdRng::seed_from_u64(2);
    let mut times = histogram();
    for _ in 0..ROUNDS {
        let (mut rows, requests) = (rows(&mut rng, MACHINE_COUNTS[0], 100), requests(&mut rng));
        let candidates = victims(&rows);
        let mut teams = teams();
        let start = Instant::now();
        let victims = Victims::new(candidates, rows.len());
        let cycle = SchedulingCycle::new(parameters, &mut rows, &mut teams, &estimates);
        let limits = ReclaimLimits::default();
        let gangs = requests.iter().filter(|request| request.gang).take(16);
        let with_room = gangs.filter(|request| {
            find_victims(&cycle, request, &victims, &BTreeSet::new(), &limits, 16).is_some()
        });
        std::hint::black_box(with_room.count());
        times.saturating_record(start.elapsed().as_micros() as u64);
    }
    report("16 searches for room", &times);
}
