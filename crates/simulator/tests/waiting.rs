//! Nobody is left waiting beside room that fits, once all troubles are over: each state
//! that holds work, a machine or a team's room back ends within its bound.

mod common;
use common::*;
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::types::{Resources, Time, TimeSpan};
use pebblefold_controller::wire::users::{self, Submission};
use pebblefold_simulator::script::{
    CutMode, JobPriority, JobShape, Nodes, Script, Side, Spread, What,
};
use pebblefold_simulator::simulated::Simulated;
use pebblefold_simulator::waiting::{Room, Waiting, could_start};

fn secs(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

/// The longest wait beside room that fits, in seconds, after the script's last trouble, and
/// the rules that broke.
fn longest(script: Script, seed: u64, policy: &str) -> (f64, Vec<String>) {
    let until = script.length_s;
    let mut world = Simulated::with_policy(script, seed, policy).unwrap();
    world.play(secs(until), false);
    let breaches = world.stand().checker().breaches().iter();
    let broken = breaches.map(|b| b.rule.to_string()).collect();
    let waited = world.stand().waited().values();
    let waited = waited.map(|w| w.as_secs()).fold(0.0, f64::max);
    (waited, broken)
}

fn held(script: impl Fn() -> Script, most_s: f64) {
    held_with("return {}", script, most_s);
}

fn held_with(policy: &str, script: impl Fn() -> Script, most_s: f64) {
    for seed in 1..4 {
        let (waited, broken) = longest(script(), seed, policy);
        println!("seed {seed}: {waited:.0} s");
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        assert!(waited <= most_s, "seed {seed}: {waited} s");
    }
}

/// As [`held_with`], and with the hold's end switched off somebody is left waiting.
fn ends(policy: &str, script: impl Fn() -> Script, most_s: f64) {
    held_with(policy, &script, most_s);
    disable_check(&[SafetyCheck::AgedWorkSkipsPreferences]);
    let (_, broken) = longest(script(), 1, policy);
    disable_check(&[]);
    assert!(
        broken.iter().any(|b| b == "left_waiting"),
        "a hold without an end was not missed"
    );
}

fn cut(a: Side, b: Side, for_s: f64) -> What {
    What::Cut {
        a,
        b,
        one_way: false,
        mode: CutMode::Lose,
        for_s,
    }
}

#[test]
fn a_gang_with_one_task_on_a_silent_machine() {
    held(
        || {
            let mut s = cluster(3, 3, 12, 16, 300.0);
            let mut gangs = jobs(JobShape::Gang, 8, 3.0);
            (gangs.gpus, gangs.cpus, gangs.run_s) = (4.0, 16.0, Spread::Fixed(40.0));
            gangs.over_s = 60.0;
            s.jobs.push(gangs);
            for t in [15.0, 35.0, 55.0, 75.0] {
                let (count, that, zone) = (1, false, None);
                s.faults.push(at(t, What::Vanish { count, that, zone }));
            }
            s
        },
        90.0,
    );
}

// Low-priority work whose image no machine holds, beside a stream of high-priority starts
// that never ends: the paper lets it wait for a machine without such work.
#[test]
fn cold_low_priority_work_beside_a_stream_of_urgent_starts() {
    ends(
        "return { floor_share = 0.0 }",
        || {
            let mut s = cluster(3, 3, 6, 6, 420.0);
            s.cluster.teams[1].gpus = 0.0;
            let mut urgent = jobs(JobShape::Array, 900, 1.0);
            (urgent.over_s, urgent.run_s) = (400.0, Spread::Between(3.0, 5.0));
            (urgent.priority, urgent.gpus, urgent.image_gb) = (JobPriority::High, 3.0, 1.0);
            s.jobs.push(urgent);
            let mut low = jobs(JobShape::Array, 6, 2.0);
            (low.class, low.team, low.from_s) = ("low".into(), "blue".into(), 20.0);
            (low.images, low.image_gb, low.over_s) = (6, 38.0, 60.0);
            low.priority = JobPriority::Low;
            s.jobs.push(low);
            s
        },
        90.0,
    );
}

#[test]
fn machines_that_were_deaf_hear_again() {
    held(
        || {
            let mut s = cluster(3, 3, 9, 9, 320.0);
            let mut work = jobs(JobShape::Array, 40, 4.0);
            (work.over_s, work.run_s) = (220.0, Spread::Between(10.0, 25.0));
            s.jobs.push(work);
            for zone in ["z0", "z1", "z2"] {
                let (count, zone, for_s) = (0, Some(zone.into()), 40.0);
                s.faults
                    .push(at(30.0, What::MachineDeaf { count, zone, for_s }));
            }
            s
        },
        90.0,
    );
}

// All machines fall silent again and again, and are put aside.
#[test]
fn all_machines_put_aside_at_once() {
    ends(
        "return { idle_s = 600.0 }",
        || {
            let mut s = cluster(3, 3, 6, 6, 600.0);
            let mut work = jobs(JobShape::Array, 60, 4.0);
            (work.over_s, work.run_s) = (300.0, Spread::Between(10.0, 25.0));
            s.jobs.push(work);
            for n in 0..6 {
                let (count, that, for_s) = (6, false, 13.0);
                let t = 20.0 + 26.0 * f64::from(n);
                s.faults.push(at(t, What::Hang { count, that, for_s }));
            }
            s
        },
        90.0,
    );
}

#[test]
fn a_leader_replaced_every_ten_seconds_then_quiet() {
    held(
        || {
            let mut s = cluster(3, 3, 9, 12, 320.0);
            let mut work = jobs(JobShape::Array, 40, 4.0);
            (work.over_s, work.run_s) = (200.0, Spread::Between(10.0, 30.0));
            s.jobs.push(work);
            for n in 0..12 {
                let (nodes, for_s) = (Nodes::Leader, [0.05, 0.2, 6.0][n % 3]);
                s.faults
                    .push(at(15.0 + 10.0 * n as f64, What::Kill { nodes, for_s }));
            }
            s
        },
        90.0,
    );
}

// A team at its limit by places of jobs that were called off, on machines that never return.
#[test]
fn a_limit_held_by_machines_that_never_return() {
    held(
        || {
            let mut s = cluster(3, 3, 12, 14, 320.0);
            s.cluster.teams[0].gpus_max = 16.0;
            let mut work = jobs(JobShape::Array, 30, 4.0);
            (work.over_s, work.run_s) = (60.0, Spread::Fixed(40.0));
            s.jobs.push(work);
            let (count, hang_s) = (4, 0.0);
            s.faults.push(at(30.0, What::CancelNow { count, hang_s }));
            s.faults.push(at(
                29.9,
                What::Hang {
                    count: 8,
                    that: false,
                    for_s: 60.0,
                },
            ));
            let (count, that, zone) = (3, false, None);
            s.faults.push(at(30.5, What::Vanish { count, that, zone }));
            s
        },
        90.0,
    );
}

// The only type that fits never comes up at first.
#[test]
fn hires_that_never_come_up() {
    held(
        || {
            let mut s = cluster(3, 3, 3, 12, 420.0);
            s.cluster.cloud.never_up = 0.6;
            let mut work = jobs(JobShape::Array, 20, 4.0);
            (work.over_s, work.run_s) = (60.0, Spread::Between(10.0, 30.0));
            s.jobs.push(work);
            s
        },
        90.0,
    );
}

#[test]
fn an_outage_longer_than_h_then_a_restart_of_all() {
    held(
        || {
            let mut s = cluster(3, 3, 9, 12, 360.0);
            let mut work = jobs(JobShape::Array, 30, 4.0);
            (work.over_s, work.run_s) = (120.0, Spread::Between(10.0, 40.0));
            s.jobs.push(work);
            s.faults.push(at(40.0, What::StateOut { for_s: 60.0 }));
            let (nodes, for_s) = (Nodes::All, 0.2);
            s.faults.push(at(104.0, What::Kill { nodes, for_s }));
            s.faults
                .push(at(41.0, cut(Side::Leader, Side::Controllers, 30.0)));
            s
        },
        90.0,
    );
}

// A guess a hundred times too high.
#[test]
fn a_guess_far_too_high_beside_gangs() {
    held(
        || {
            let mut s = cluster(3, 3, 9, 9, 420.0);
            let mut work = jobs(JobShape::Array, 30, 4.0);
            (work.over_s, work.run_s) = (200.0, Spread::Between(5.0, 15.0));
            work.guess = Spread::Fixed(100.0);
            s.jobs.push(work);
            let mut gangs = jobs(JobShape::Gang, 6, 4.0);
            (gangs.class, gangs.team) = ("gang".into(), "blue".into());
            (gangs.gpus, gangs.cpus, gangs.over_s) = (4.0, 16.0, 150.0);
            (gangs.one_zone, gangs.run_s) = (false, Spread::Fixed(20.0));
            s.jobs.push(gangs);
            s
        },
        90.0,
    );
}

// A gang for which machines are held that never come free as predicted: services run on
// them. What is held for it is not held for ever. Services have no estimate, so their
// machines counted as free at once and were reserved for a start that could not come, while
// small work waited beside their free GPU, 429 s on seed 1; `inspect` showed the jobs with
// "no room". `docs/incidents/reservations.md`.
#[test]
fn room_is_not_held_for_ever_for_a_gang_that_cannot_begin() {
    held(
        || {
            let mut s = cluster(3, 3, 6, 6, 600.0);
            for t in &mut s.cluster.teams {
                (t.gpus, t.gpus_max) = (0.0, 100.0);
            }
            let mut services = jobs(JobShape::Service, 9, 1.0);
            (services.run_s, services.gpus) = (Spread::Fixed(500.0), 3.0);
            s.jobs.push(services);
            let mut gang = jobs(JobShape::Gang, 1, 9.0);
            (gang.class, gang.team, gang.from_s) = ("gang".into(), "blue".into(), 12.0);
            (gang.gpus, gang.cpus, gang.run_s) = (4.0, 16.0, Spread::Fixed(20.0));
            s.jobs.push(gang);
            let mut small = jobs(JobShape::Array, 60, 2.0);
            (small.class, small.over_s) = ("small".into(), 300.0);
            (small.run_s, small.from_s) = (Spread::Between(5.0, 12.0), 20.0);
            s.jobs.push(small);
            s
        },
        90.0,
    );
}

/// How long a job of this class waited for its first start, in seconds, at the longest.
fn longest_until_begun(script: Script, seed: u64, class: &str) -> f64 {
    let until = script.length_s;
    let mut world = Simulated::new(script, seed).unwrap();
    world.play(secs(until), false);
    let records = world.stand().checker().records().into_iter();
    records
        .filter(|job| job.class == class)
        .map(|job| job.started_s.unwrap_or(f64::INFINITY) - job.submitted_s)
        .fold(0.0, f64::max)
}

/// The largest gang that the cluster has room for, from 60 s on, beside single tasks
/// that come as fast as they end, by their estimates `guess` times as long as they are.
fn largest_gang_behind_single_tasks(guess: f64) -> Script {
    let mut s = cluster(3, 3, 9, 9, 600.0);
    for t in &mut s.cluster.teams {
        (t.gpus, t.gpus_max) = (0.0, 100.0);
    }
    let mut single = jobs(JobShape::Array, 1500, 1.0);
    (single.class, single.over_s) = ("single".into(), 560.0);
    (single.run_s, single.guess) = (Spread::Between(10.0, 25.0), Spread::Fixed(guess));
    s.jobs.push(single);
    let mut gang = jobs(JobShape::Gang, 1, 9.0);
    (gang.class, gang.team, gang.from_s) = ("gang".into(), "blue".into(), 60.0);
    (gang.gpus, gang.cpus, gang.run_s) = (4.0, 16.0, Spread::Fixed(20.0));
    s.jobs.push(gang);
    s
}

#[test]
fn largest_gang_begins_within_four_minutes_behind_single_tasks() {
    for guess in [1.0, 0.01, 100.0] {
        for seed in 1..4 {
            let script = largest_gang_behind_single_tasks(guess);
            let waited_s = longest_until_begun(script, seed, "gang");
            println!("guess {guess}, seed {seed}: {waited_s:.0} s");
            assert!(
                waited_s <= 240.0,
                "guess {guess}, seed {seed}: {waited_s} s"
            );
        }
    }
}

#[test]
fn estimates_a_hundred_times_too_low_beside_an_aged_gang() {
    held(|| largest_gang_behind_single_tasks(0.01), 90.0);
}

// Leaders end every twenty seconds while room is reserved for the gang.
#[test]
fn leaders_replaced_while_room_is_reserved() {
    held(
        || {
            let mut s = largest_gang_behind_single_tasks(1.0);
            s.jobs[0].over_s = 300.0;
            s.jobs[0].count = 800;
            for n in 0..8 {
                let (nodes, for_s) = (Nodes::Leader, 2.0);
                let t = 110.0 + 20.0 * f64::from(n);
                s.faults.push(at(t, What::Kill { nodes, for_s }));
            }
            s
        },
        90.0,
    );
}

// The gang's team has all that it may use for as long as its service lives; the gang's
// wait holds no machine back from others.
#[test]
fn a_gang_whose_team_is_at_its_limit_reserves_nothing() {
    held(
        || {
            let mut s = cluster(3, 3, 9, 9, 600.0);
            (s.cluster.teams[0].gpus, s.cluster.teams[0].gpus_max) = (0.0, 100.0);
            (s.cluster.teams[1].gpus, s.cluster.teams[1].gpus_max) = (0.0, 12.0);
            let mut service = jobs(JobShape::Service, 1, 8.0);
            (service.team, service.run_s) = ("blue".into(), Spread::Fixed(500.0));
            s.jobs.push(service);
            let mut gang = jobs(JobShape::Gang, 1, 3.0);
            (gang.class, gang.team, gang.from_s) = ("gang".into(), "blue".into(), 10.0);
            (gang.gpus, gang.cpus, gang.run_s) = (4.0, 16.0, Spread::Fixed(20.0));
            s.jobs.push(gang);
            let mut small = jobs(JobShape::Array, 40, 12.0);
            (small.class, small.over_s) = ("small".into(), 300.0);
            (small.run_s, small.from_s) = (Spread::Between(20.0, 40.0), 20.0);
            s.jobs.push(small);
            s
        },
        90.0,
    );
}

// Transactions are lost and carried out late, then no more.
#[test]
fn a_job_whose_commit_was_lost() {
    held(
        || {
            let mut s = cluster(3, 3, 9, 12, 320.0);
            let mut work = jobs(JobShape::Array, 30, 4.0);
            (work.over_s, work.run_s) = (100.0, Spread::Between(10.0, 30.0));
            s.jobs.push(work);
            for (t, at_once) in [(10.0, false), (50.0, true)] {
                let (share, for_s) = (0.5, 40.0);
                s.faults.push(at(
                    t,
                    What::LateWrites {
                        share,
                        at_once,
                        for_s,
                    },
                ));
            }
            s
        },
        90.0,
    );
}

// The model itself: each thing that a job needs to start keeps it from starting alone.
#[test]
fn the_model_says_who_could_start() {
    let script = {
        let mut s = cluster(3, 3, 3, 9, 100.0);
        s.jobs = vec![jobs(JobShape::Array, 1, 4.0)];
        s
    };
    let mut rng = rand::SeedableRng::seed_from_u64(1);
    let array = pebblefold_simulator::users::plan(&script, &mut rng)
        .remove(0)
        .spec;
    let room = |zone: &str, spot: bool, gpus: f64| Room {
        zone: zone.into(),
        kind: "g4".into(),
        spot,
        free: Resources {
            cpus: 16.0,
            gpus,
            memory_gb: 128.0,
        },
    };
    let team = &script.cluster.teams[0];
    let could = |spec: &Submission, tasks, zones: &[(&str, u32)], rooms: &[Room], used: f64| {
        let in_zones = zones.iter().map(|(z, n)| ((*z).to_string(), *n)).collect();
        let used = Resources {
            gpus: used,
            ..Resources::default()
        };
        let waiting = Waiting {
            spec,
            tasks,
            in_zones,
        };
        could_start(&waiting, rooms, team, &used)
    };
    let one = [room("z0", true, 1.0)];
    assert!(could(&array, 1, &[], &one, 0.0));
    assert!(!could(&array, 0, &[], &one, 0.0), "nothing waits");
    assert!(
        !could(&array, 1, &[], &[room("z0", true, 0.5)], 0.0),
        "no room"
    );
    assert!(could(&array, 1, &[], &one, 39.0) && !could(&array, 1, &[], &one, 39.5));
    let changed = |change: &dyn Fn(&mut Submission)| {
        let mut s = array.clone();
        change(&mut s);
        s
    };
    let ordinary = changed(&|j| j.spot = false);
    assert!(!could(&ordinary, 1, &[], &one, 0.0), "no spot machine");
    let there = changed(&|j| j.zone = Some("z1".into()));
    assert!(!could(&there, 1, &[], &one, 0.0), "another zone");
    let kind = changed(&|j| j.kinds = Some(vec!["g8".into()]));
    assert!(!could(&kind, 1, &[], &one, 0.0), "another type");
    let bound = changed(&|j| j.one_zone = true);
    assert!(
        !could(&bound, 1, &[("z1", 1)], &one, 0.0),
        "bound to its zone"
    );
    assert!(could(&bound, 1, &[("z0", 1)], &one, 0.0));
    let spread = changed(&|j| j.spread = true);
    assert!(
        !could(&spread, 1, &[("z0", 2)], &one, 0.0),
        "half are there"
    );
    assert!(could(&spread, 1, &[("z0", 1)], &one, 0.0));
    let gang = changed(&|j| j.shape = users::JobShape::Gang);
    let four = [room("z0", true, 3.0), room("z1", true, 1.0)];
    assert!(could(&gang, 4, &[], &four, 36.0));
    assert!(!could(&gang, 4, &[], &four[..1], 0.0), "not all fit");
    assert!(!could(&gang, 4, &[], &four, 36.5), "the team's limit");
    assert!(
        !could(&gang, 3, &[("z0", 1)], &four, 0.0),
        "its last attempt"
    );
    let together = changed(&|j| (j.shape, j.one_zone) = (users::JobShape::Gang, true));
    assert!(!could(&together, 4, &[], &four, 0.0));
    assert!(could(&together, 4, &[], &[room("z2", false, 4.0)], 0.0));
}
