//! Controllers of several builds side by side: rolled forward and back through
//! levels, in simulated time, with machines, work and failures.

mod common;
use common::*;
use pebblefold_controller::core::format_version::{
    FENCED, FormatVersion, UNVERSIONED, WITH_HISTORY,
};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_simulator::report::Verdict;
use pebblefold_simulator::script::{
    Build, CutMode, Fault, JobPriority, JobShape, LastWrite, Nodes, PowerLoss, Script, Side,
    Spread, What,
};
use pebblefold_simulator::simulated::Simulated;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Steady work, some of it cancelled, on controllers that begin with a build.
fn day(nodes: usize, build: Option<&str>, faults: Vec<Fault>) -> Script {
    let mut s = cluster(nodes, 3, 9, 14, 400.0);
    let mut work = jobs(JobShape::Array, 70, 2.0);
    (work.over_s, work.run_s, work.cancelled) = (160.0, Spread::Fixed(9.0), 0.2);
    s.jobs.push(work);
    let mut gangs = jobs(JobShape::Gang, 12, 3.0);
    (gangs.gpus, gangs.over_s, gangs.team) = (4.0, 160.0, "blue".into());
    (gangs.checkpoint_s, gangs.save_s) = (5.0, 1.0);
    s.jobs.push(gangs);
    let named = |name: &str, levels| Build {
        name: name.into(),
        levels,
    };
    s.builds = vec![
        named("before", None),
        named("fenced", Some((0, 1))),
        named("future", Some((0, 9))),
    ];
    s.cluster.build = build.map(String::from);
    s.faults = faults;
    s
}

fn roll(at_s: f64, n: u32, build: Option<&str>, for_s: f64) -> Fault {
    let (nodes, build) = (Nodes::Number(n), build.map(String::from));
    let gently = n % 2 == 1;
    let for_s = if gently { for_s + 4.0 } else { for_s };
    at(
        at_s,
        What::Roll {
            nodes,
            build,
            gently,
            for_s,
        },
    )
}

/// One after the other, in this order.
fn roll_all(from: f64, order: &[u32], build: Option<&str>) -> Vec<Fault> {
    let each = |(i, n): (usize, &u32)| roll(from + 8.0 * i as f64, *n, build, 0.2);
    order.iter().enumerate().map(each).collect()
}

/// What the nodes that serve say of the level, at a second.
fn level(world: &mut Simulated, t: f64) -> FormatVersion {
    world.play(Time(0) + TimeSpan::secs(t), false);
    let serving = world.nodes().filter(|(_, n)| n.is_serving());
    serving
        .map(|(_, n)| n.active_version())
        .max()
        .unwrap_or(UNVERSIONED)
}

fn start(script: Script, seed: u64) -> Simulated {
    Simulated::new(script, seed).unwrap()
}

/// Plays on to the end: no rule broken, every job with one final answer.
fn ends_well(world: Simulated, seed: u64) -> Verdict {
    let v = world.rehearse();
    sound(&v, seed);
    let text = v.text();
    assert_eq!(v.accepted, v.done + v.cancelled, "seed {seed}: {text}");
    v
}

#[test]
fn a_new_fleet_is_fenced_from_its_first_moment_and_rises_by_itself() {
    let mut world = start(day(3, None, Vec::new()), 1);
    assert_eq!(level(&mut world, 3.0), FENCED);
    assert_eq!(level(&mut world, 30.0), WITH_HISTORY);
    ends_well(world, 1);
}

// New behaviour is switched on only when all have it, and only by steps.
#[test]
fn the_level_rises_once_the_last_node_has_the_new_build() {
    for (seed, order) in [(1, [0, 1, 2]), (2, [2, 0, 1]), (3, [1, 2, 0])] {
        let faults = roll_all(30.0, &order, None);
        let mut world = start(day(3, Some("before"), faults), seed);
        assert_eq!(level(&mut world, 29.0), UNVERSIONED);
        assert_eq!(level(&mut world, 46.0), UNVERSIONED, "one is still old");
        assert_eq!(
            level(&mut world, 56.0),
            UNVERSIONED,
            "not there for long enough"
        );
        assert_eq!(level(&mut world, 90.0), WITH_HISTORY);
        ends_well(world, seed);
    }
}

#[test]
fn one_that_is_down_or_keeps_ending_holds_the_level_back() {
    for seed in 1..3 {
        let mut faults = roll_all(30.0, &[0, 1], None);
        let (nodes, for_s) = (Nodes::Number(2), 120.0);
        faults.push(at(40.0, What::Kill { nodes, for_s }));
        let mut world = start(day(3, Some("before"), faults), seed);
        assert_eq!(level(&mut world, 150.0), UNVERSIONED);
        ends_well(world, seed);
        // Lives of two seconds on the new build.
        let mut faults = roll_all(30.0, &[0, 1, 2], None);
        for i in 0..40 {
            let (nodes, for_s) = (Nodes::Number(2), 0.3);
            faults.push(at(50.0 + 2.3 * f64::from(i), What::Kill { nodes, for_s }));
        }
        let mut world = start(day(3, Some("before"), faults), seed);
        assert_eq!(level(&mut world, 140.0), UNVERSIONED);
        assert_eq!(level(&mut world, 190.0), WITH_HISTORY);
        ends_well(world, seed);
    }
}

// Roll-back of two of five before the rise is always safe.
#[test]
fn what_is_rolled_back_in_time_goes_on_as_it_was() {
    let mut faults = roll_all(30.0, &[4, 3, 2, 1], None);
    faults.extend(roll_all(62.0, &[3, 4], Some("before")));
    faults.extend(roll_all(110.0, &[4, 0, 3], None));
    let mut world = start(day(5, Some("before"), faults), 5);
    assert_eq!(level(&mut world, 109.0), UNVERSIONED);
    assert_eq!(level(&mut world, 170.0), WITH_HISTORY);
    ends_well(world, 5);
}

// A build without levels that comes back too late never leads, whoever fails;
// one that knows them and cannot serve the one in force serves nobody.
#[test]
fn what_is_rolled_back_too_late_does_no_harm() {
    for (seed, build) in [(1, "before"), (2, "fenced"), (3, "before"), (4, "fenced")] {
        let mut faults = roll_all(60.0, &[0], Some(build));
        faults.push(roll(68.0, 1, Some(build), 0.05));
        for i in 0..4 {
            let (nodes, for_s) = (Nodes::Leader, 6.0);
            faults.push(at(80.0 + 12.0 * f64::from(i), What::Kill { nodes, for_s }));
        }
        let mut world = start(day(3, None, faults), seed);
        assert_eq!(level(&mut world, 59.0), WITH_HISTORY);
        let mut t = 75.0;
        while t < 140.0 {
            t += 0.5;
            world.play(Time(0) + TimeSpan::secs(t), false);
            for (n, node) in world.nodes() {
                if n != 2 {
                    assert!(node.token().is_none(), "{build}: node {n} leads");
                    assert_eq!(node.is_serving(), build == "before", "{build}: node {n}");
                }
            }
        }
        ends_well(world, seed);
    }
}

// The level in force is beyond every build that is left: nothing is answered from
// what cannot be read, and all goes on when one that can is back.
#[test]
fn nobody_serves_beyond_its_build() {
    let mut faults: Vec<Fault> = (0..3).map(|n| roll(50.0, n, Some("fenced"), 0.2)).collect();
    faults.extend((0..3).map(|n| roll(80.0, n, None, 0.2)));
    let mut world = start(day(3, None, faults), 3);
    world.play(Time(0) + TimeSpan::secs(70.0), false);
    assert!(
        world
            .nodes()
            .all(|(_, n)| !n.is_serving() && n.token().is_none())
    );
    ends_well(world, 3);
}

/// One of everything that may go wrong while the nodes are rolled.
fn trouble_of(kind: u32, at_s: f64, rng: &mut StdRng) -> Vec<Fault> {
    let node = rng.random_range(0..3);
    let cut = |a, b, mode, for_s| {
        let one_way = false;
        let what = What::Cut {
            a,
            b,
            one_way,
            mode,
            for_s,
        };
        vec![at(at_s, what)]
    };
    let leader = Nodes::Leader;
    match kind {
        0 => vec![at(at_s, What::StateOut { for_s: 20.0 })],
        1 => {
            let (nodes, for_s) = (leader, 60.0);
            vec![at(at_s, What::Pause { nodes, for_s })]
        }
        2 => {
            let (nodes, for_s) = (Nodes::Number(node), 60.0);
            vec![at(at_s, What::Pause { nodes, for_s })]
        }
        3 => cut(Side::Leader, Side::State, CutMode::Hold, 40.0),
        4 => cut(Side::Controller(node), Side::State, CutMode::Hold, 60.0),
        5 => cut(Side::Controllers, Side::Controllers, CutMode::Lose, 25.0),
        6 => {
            let (last_write, for_s) = (LastWrite::Everything, 2.0);
            vec![at(at_s, What::StateKilled { for_s, last_write })]
        }
        7 => {
            let (zone, for_s, machines) = ("z1".into(), 30.0, PowerLoss::Die);
            let what = What::SitePower {
                zone,
                for_s,
                machines,
            };
            vec![at(at_s, what)]
        }
        8 => (0..12)
            .map(|i| {
                let (nodes, for_s) = (Nodes::Leader, 0.05);
                at(at_s + 0.4 * f64::from(i), What::Kill { nodes, for_s })
            })
            .collect(),
        9 => cut(Side::Leader, Side::Machines, CutMode::Lose, 25.0),
        _ => {
            let (delay_s, for_s) = (0.3, 30.0);
            vec![at(at_s, What::StateSlow { delay_s, for_s })]
        }
    }
}

// Old and new builds as leader, follower and relay, forward, back and forward
// again, each fault at the moment of a rise or of a node's change.
#[test]
fn any_fault_in_the_middle_of_a_roll_out_breaks_no_rule() {
    for seed in 0..22 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut order = [0, 1, 2];
        order.rotate_left(rng.random_range(0..3));
        let mut faults = roll_all(20.0, &order, None);
        let back = rng.random_range(0..3);
        faults.push(roll(
            rng.random_range(38.0..75.0),
            back,
            Some("before"),
            0.1,
        ));
        faults.push(roll(rng.random_range(90.0..110.0), back, None, 0.1));
        // The rises come about 10 s after the last node's start.
        for from in [36.0, 60.0, 105.0] {
            let at_s = rng.random_range(from..from + 20.0);
            faults.extend(trouble_of(seed as u32 % 11, at_s, &mut rng));
        }
        faults.sort_by(|a, b| a.at_s.partial_cmp(&b.at_s).unwrap());
        let world = start(day(3, Some("before"), faults), seed);
        ends_well(world, seed);
    }
}

// Records of the older form are rewritten while work goes on, by whoever leads; a
// successor goes on where its predecessor was.
#[test]
fn records_get_their_new_form_under_work_and_changes_of_leader() {
    for seed in 0..6 {
        let mut faults = roll_all(30.0, &[0, 1, 2], None);
        for i in 0..3 {
            let (nodes, for_s) = (Nodes::Leader, 0.05);
            faults.push(at(62.0 + 2.0 * f64::from(i), What::Kill { nodes, for_s }));
        }
        // Much is running when the level rises, of jobs that take long.
        let mut script = day(3, Some("fenced"), faults);
        script.jobs[0].run_s = Spread::Fixed(60.0);
        let mut world = start(script, seed);
        assert_eq!(level(&mut world, 50.0), FENCED);
        assert_eq!(level(&mut world, 90.0), WITH_HISTORY);
        let mut t = 90.0;
        let done = |world: &Simulated| world.nodes().map(|(_, n)| n.rewritten_version()).max();
        while done(&world) < Some(WITH_HISTORY) && t < 300.0 {
            t += 1.0;
            world.play(Time(0) + TimeSpan::secs(t), false);
        }
        assert!(t < 200.0, "seed {seed}: not rewritten after {t} s");
        ends_well(world, seed);
    }
}

// Hires that an older build wrote down, a clean-up and work stopped for more urgent
// work, in the middle of a rise: a successor of the new build finishes all of it.
#[test]
fn a_rise_among_rentals_and_reclaims_loses_none() {
    for seed in 0..4 {
        let mut faults = roll_all(30.0, &[0, 1, 2], None);
        for (at_s, for_s) in [(56.4, 3.0), (60.5, 0.05), (67.0, 3.0)] {
            let nodes = Nodes::Leader;
            faults.push(at(at_s, What::Kill { nodes, for_s }));
        }
        let mut s = day(3, Some("before"), faults);
        for m in &mut s.cluster.machines {
            m.capacity += 60;
        }
        let mut low = jobs(JobShape::Array, 20, 6.0);
        (low.priority, low.team, low.from_s) = (JobPriority::Low, "blue".into(), 40.0);
        let mut urgent = jobs(JobShape::Array, 28, 8.0);
        (urgent.priority, urgent.from_s, urgent.over_s) = (JobPriority::High, 54.0, 12.0);
        s.jobs.extend([low, urgent]);
        let mut world = start(s, seed);
        assert_eq!(level(&mut world, 120.0), WITH_HISTORY);
        let v = ends_well(world, seed);
        assert!(v.renting.hired > 20, "seed {seed}: {:?}", v.renting);
    }
}
