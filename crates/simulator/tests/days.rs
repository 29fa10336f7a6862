//! Random days: what was once found on them stays here.

mod common;
use common::*;
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_simulator::report::Verdict;
use pebblefold_simulator::script::{CutMode, JobPriority, JobShape, Nodes, Side, Spread, What};
use pebblefold_simulator::simulated::Simulated;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[test]
fn a_quiet_day_serves_everybody_and_leaves_little() {
    let mut s = cluster(3, 3, 6, 14, 300.0);
    mix(&mut s, &mut StdRng::seed_from_u64(1), 100.0, 30);
    let mut world = Simulated::new(s, 1).unwrap();
    world.play(Time(0) + TimeSpan::secs(300.0), false);
    world.stand_mut().finish(Time(0) + TimeSpan::secs(300.0));
    assert!(
        world.stand().checker().breaches().is_empty(),
        "{:?}",
        world.stand().checker().breaches()
    );
    assert!(world.stand().checker().starts() > 40);
    // Ended jobs leave one small key each and nothing that a new leader would
    // have to read.
    let state = world.stand().state().unwrap();
    assert_eq!(state.count_keys_with_prefix("job/"), 30);
    assert_eq!(
        state.count_keys_with_prefix("w/j/")
            + state.count_keys_with_prefix("r/")
            + state.count_keys_with_prefix("w/x/"),
        0
    );
}

#[test]
fn plays_a_rough_day() {
    for seed in 100..116 {
        let v = rough(seed);
        println!(
            "day {seed}: {} tasks started, {} rules broken",
            v.starts,
            v.broken.len()
        );
        sound(&v, seed);
    }
}

// More nodes than zones, and more zones than nodes; several leaders' worth of
// trouble; arrays that need several transactions to start.
#[test]
fn plays_rough_days_of_other_shapes() {
    for seed in 200..204 {
        let (nodes, zones) = [(5, 3), (3, 4)][seed as usize % 2];
        let mut rng = StdRng::seed_from_u64(seed);
        let mut s = cluster(nodes, zones, 30, 60, 700.0);
        mix(&mut s, &mut rng, 150.0, 80);
        let mut wide = jobs(JobShape::Array, 6, 150.0);
        (wide.priority, wide.run_s) = (JobPriority::Low, Spread::Fixed(8.0));
        (wide.from_s, wide.over_s) = (10.0, 120.0);
        s.jobs.push(wide);
        trouble(&mut s, &mut rng, 10.0, 170.0, 20);
        sound(&rehearse(s, seed), seed);
    }
}

/// The state service refuses the leader, which soon after crashes.
fn refused_then_dead(seed: u64) -> Verdict {
    let mut s = cluster(3, 3, 6, 14, 300.0);
    mix(&mut s, &mut StdRng::seed_from_u64(seed), 100.0, 40);
    for i in 0..6 {
        let t = 12.0 + 18.0 * f64::from(i);
        s.faults.push(at(
            t,
            What::StateRefuses {
                nodes: Nodes::Leader,
                for_s: 9.0,
            },
        ));
        s.faults.push(at(
            t + 2.0,
            What::Kill {
                nodes: Nodes::Leader,
                for_s: 3.0,
            },
        ));
    }
    rehearse(s, seed)
}

/// The leader is cut off with the machines of its zone, and users cancel
/// meanwhile.
fn lonely_leader(seed: u64) -> Verdict {
    let mut s = cluster(3, 3, 6, 14, 220.0);
    let mut services = jobs(JobShape::Service, 12, 2.0);
    services.run_s = Spread::Fixed(42.0);
    s.jobs.push(services);
    let zone = |z: u32| Side::Zone(format!("z{z}"));
    let pairs = [
        (Side::Leader, Side::State),
        (Side::Leader, Side::Users),
        (Side::Leader, Side::Cloud),
        (zone(0), zone(1)),
        (zone(0), zone(2)),
        (zone(1), zone(2)),
    ];
    // Or the next leader would return the machines that it cannot reach.
    let out = What::CloudOut { for_s: 90.0 };
    s.faults.push(at(40.0, out));
    for (a, b) in pairs {
        let (one_way, mode, for_s) = (false, CutMode::Hold, 90.0);
        let cut = What::Cut {
            a,
            b,
            one_way,
            mode,
            for_s,
        };
        s.faults.push(at(40.0, cut));
    }
    rehearse(s, seed)
}

#[test]
fn unlucky_days_break_no_rule() {
    for seed in 100..106 {
        sound(&refused_then_dead(seed), seed);
        sound(&lonely_leader(seed), seed);
    }
}

// A start that got lost, of a job cancelled meanwhile, once stood for ever:
// nobody would send it again, and nobody dropped it.
#[test]
fn lost_starts_of_cancelled_jobs_leave_nothing() {
    for seed in 100..104 {
        let mut s = cluster(3, 3, 6, 14, 220.0);
        let mut short = jobs(JobShape::Service, 60, 2.0);
        (short.over_s, short.run_s) = (120.0, Spread::Fixed(1.0));
        s.jobs.push(short);
        for i in 0..30 {
            let (a, b) = (Side::Machines, Side::Controllers);
            let cut = What::Cut {
                a,
                b,
                one_way: i % 2 == 0,
                mode: CutMode::Lose,
                for_s: 2.0,
            };
            s.faults.push(at(5.0 + 4.0 * f64::from(i), cut));
        }
        let mut world = Simulated::new(s, seed).unwrap();
        world.play(Time(0) + TimeSpan::secs(220.0), false);
        assert!(world.stand().checker().breaches().is_empty());
        assert_eq!(
            world
                .stand()
                .state()
                .unwrap()
                .count_keys_with_prefix("w/j/"),
            0,
            "seed {seed}"
        );
    }
}

// Workers that could reach other nodes, but not the leader, were sent back to it
// until their leases ran out and all their tasks were killed.
#[test]
fn reports_are_passed_on_where_the_leader_is_out_of_reach() {
    let mut s = cluster(3, 3, 6, 14, 160.0);
    let mut long = jobs(JobShape::Array, 4, 4.0);
    long.run_s = Spread::Fixed(60.0);
    s.jobs.push(long);
    let (a, b) = (Side::Leader, Side::Machines);
    let cut = What::Cut {
        a,
        b,
        one_way: false,
        mode: CutMode::Lose,
        for_s: 40.0,
    };
    s.faults.push(at(30.0, cut));
    let v = rehearse(s, 7);
    sound(&v, 7);
    assert_eq!(
        (v.starts, v.lease_kills),
        (16, 0),
        "no task had to start again"
    );
}

/// Urgent gangs of one team at many times what fits, for two minutes, beside steady
/// work of the other team and low work of both, while leaders die and the state
/// service is out for a while; over the whole day all of it fits.
fn flood(seed: u64, of: &str) -> Verdict {
    let mut s = cluster(3, 3, 24, 36, 900.0);
    let class = |name: &str, team: &str, priority, shape, count, tasks| {
        let mut j = jobs(shape, count, tasks);
        (j.class, j.team, j.priority) = (name.into(), team.into(), priority);
        (j.over_s, j.images, j.run_s) = (300.0, 2, Spread::Fixed(20.0));
        if name == of {
            (j.count, j.over_s, j.from_s) = (count * 6, 120.0, 40.0);
        }
        j
    };
    let [low, normal, high] = [JobPriority::Low, JobPriority::Normal, JobPriority::High];
    s.jobs = vec![
        class("urgent", "red", high, JobShape::Gang, 20, 4.0),
        class("steady", "blue", normal, JobShape::Gang, 20, 3.0),
        class("rereads", "red", low, JobShape::Array, 20, 5.0),
        class("backfill", "blue", low, JobShape::Array, 20, 5.0),
    ];
    let (nodes, for_s) = (Nodes::Leader, 0.2);
    for t in [60.0, 110.0, 111.0, 160.0] {
        let nodes = nodes.clone();
        s.faults.push(at(t, What::Kill { nodes, for_s }));
    }
    s.faults.push(at(90.0, What::StateOut { for_s: 15.0 }));
    rehearse(s, seed)
}

// On the users' days less than half of a class or team served fails the day.
#[test]
fn floods_leave_no_class_or_team_below_half() {
    for of in ["urgent", "steady", "rereads", "backfill"] {
        let v = flood(1, of);
        sound(&v, 1);
        for (name, k) in v.classes.iter().chain(&v.teams) {
            let (done, jobs) = (k.done, k.jobs);
            assert!(
                k.completed_ratio() >= 0.5,
                "flood of {of}: {name} {done} of {jobs}"
            );
        }
    }
}

/// Arrays that their users cancel soon, while the state service takes few writes
/// and leaders die again and again, each time while deletions are under way.
fn cut_short(seed: u64) -> Verdict {
    let mut s = cluster(3, 3, 9, 14, 400.0);
    s.cluster.state.write_rps = 7.0;
    let mut short = jobs(JobShape::Array, 50, 2.0);
    (short.over_s, short.cancelled) = (100.0, 1.0);
    short.run_s = Spread::Fixed(100.0);
    s.jobs.push(short);
    for i in 0..24 {
        let (nodes, for_s) = (Nodes::Leader, 0.1);
        let t = 10.0 + 5.0 * f64::from(i) + (seed % 7) as f64 * 0.13;
        s.faults.push(at(t, What::Kill { nodes, for_s }));
    }
    rehearse(s, seed)
}

/// Controllers that are behind by seconds and more: the leader, its successors
/// and the others, in turn and together, while users cancel.
fn far_behind(seed: u64) -> Verdict {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = cluster(3, 3, 6, 14, 400.0);
    mix(&mut s, &mut rng, 150.0, 40);
    for j in &mut s.jobs {
        j.cancelled = 0.5;
    }
    for i in 0..8 {
        let nodes = match rng.random_range(0..3) {
            0 => Nodes::Number(rng.random_range(0..3)),
            _ => Nodes::Leader,
        };
        let each_ms = [15.0, 40.0, 120.0, 900.0][rng.random_range(0..4)];
        let for_s = f64::from(rng.random_range(5u32..40));
        let busy = What::Busy {
            nodes,
            each_ms,
            for_s,
        };
        s.faults.push(at(8.0 + 18.0 * f64::from(i), busy));
    }
    trouble(&mut s, &mut rng, 10.0, 170.0, 5);
    rehearse(s, seed)
}

#[test]
fn controllers_that_are_far_behind_break_no_rule() {
    for seed in 300..308 {
        sound(&far_behind(seed), seed);
        sound(&cut_short(seed), seed);
    }
}

// On the users' bench, with leaders in turn every few seconds, a cancelled job
// was started long after it was cancelled. Each of the two decisions alone
// prevents it.
#[test]
fn starting_what_was_cancelled_long_ago_is_caught() {
    let both = [
        SafetyCheck::OutcomeOutlivesSubmission,
        SafetyCheck::StartsNeedAnOpenJob,
    ];
    caught(&both, "ran_cancelled", cut_short);
    for one in both {
        disable_check(&[one]);
        let v = cut_short(100);
        disable_check(&[]);
        sound(&v, 100);
    }
}

/// The checker would notice: with safety decisions switched off, rules break
/// within a few days.
fn caught(off: &[SafetyCheck], rule: &str, day: impl Fn(u64) -> Verdict) {
    disable_check(off);
    let breaks = |seed| {
        day(seed)
            .broken
            .iter()
            .any(|b| b.breach.rule.to_string() == rule)
    };
    let found = (100..140).any(breaks);
    disable_check(&[]);
    assert!(found, "{off:?} was not missed");
}

#[test]
fn writing_off_early_is_caught() {
    caught(
        &[SafetyCheck::AbandonOnlyAfterLeaseExpiry],
        "ran_twice",
        rough,
    );
}

#[test]
fn sending_before_storing_is_caught() {
    caught(&[SafetyCheck::WriteAhead], "ran_twice", refused_then_dead);
}

#[test]
fn answering_for_ever_without_contact_is_caught() {
    caught(&[SafetyCheck::BoundedHold], "ran_cancelled", lonely_leader);
}

// The same seed has to give the same day to the last event.
#[test]
fn a_seed_fixes_everything() {
    let day = |seed| {
        let v = rough(seed);
        (
            v.starts,
            v.length_s,
            v.accept_ms,
            v.cost,
            v.jobs.iter().map(|j| j.ended_s).collect::<Vec<_>>(),
        )
    };
    assert_eq!(day(100), day(100));
    assert_ne!(day(100), day(101));
}
