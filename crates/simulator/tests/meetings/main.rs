//! Meetings of troubles, each brought about on the real core: the moment of danger is
//! reached, no rule breaks, and with the decision that guards it switched off one does.

#[path = "../common/mod.rs"]
mod common;

mod answers;
mod cancels;
mod machines;
mod resumed_starts;

use common::*;
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::users::JobStage;
use pebblefold_simulator::checker::HistoryEvent;
use pebblefold_simulator::script::{
    CutMode, Fault, JobPriority, JobShape, Moment, Nodes, Script, Side, Spread, What, When,
};
use pebblefold_simulator::simulated::Simulated;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Seeds on which a day is played with all decisions on.
const MOST_SOUND: usize = 6;

fn secs(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

fn cut(a: Side, b: Side, mode: CutMode, for_s: f64) -> What {
    let one_way = false;
    What::Cut {
        a,
        b,
        one_way,
        mode,
        for_s,
    }
}

fn kill(for_s: f64) -> What {
    let nodes = Nodes::Leader;
    What::Kill { nodes, for_s }
}

/// Jobs whose users were told that they are cancelled, and when first.
fn cancelled(world: &Simulated) -> BTreeMap<String, Time> {
    let mut out = BTreeMap::new();
    for (at, seen) in world.stand().checker().history() {
        if let HistoryEvent::RequestOutcome {
            job,
            stage: Some(JobStage::Cancelled),
            ..
        } = seen
        {
            out.entry(job.clone()).or_insert(*at);
        }
    }
    out
}

/// Tasks of such jobs that run: machine and job.
fn unwanted(world: &Simulated) -> Vec<(String, String)> {
    let over = cancelled(world);
    let running = world.stand().fleet().running();
    let unwanted = running.filter(|(_, job, _)| over.contains_key(*job));
    unwanted
        .map(|(m, job, _)| (m.to_string(), job.to_string()))
        .collect()
}

/// What broke on a day that is played to its end, and whether its danger was reached.
fn broken(
    script: Script,
    seed: u64,
    until: f64,
    at: f64,
    danger: impl Fn(&Simulated) -> bool,
) -> (Vec<String>, bool) {
    played(Simulated::new(script, seed).unwrap(), until, at, danger)
}

fn played(
    mut world: Simulated,
    until: f64,
    at: f64,
    danger: impl Fn(&Simulated) -> bool,
) -> (Vec<String>, bool) {
    world.play(secs(at), false);
    let reached = danger(&world);
    world.play(secs(until), false);
    let breaches = world.stand().checker().breaches().iter();
    (breaches.map(|b| b.rule.to_string()).collect(), reached)
}

/// On the first of these seeds the danger is reached each time and nothing breaks; with
/// the decision off, this rule breaks on one of them at least.
fn guarded(
    off: SafetyCheck,
    rule: &str,
    seeds: std::ops::Range<u64>,
    day: impl Fn(u64) -> (Vec<String>, bool),
) {
    for seed in seeds.clone().take(MOST_SOUND) {
        let (broken, reached) = day(seed);
        assert!(reached, "seed {seed}: the moment of danger was not reached");
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    }
    disable_check(&[off]);
    let caught = seeds
        .into_iter()
        .any(|seed| day(seed).0.iter().any(|b| b == rule));
    disable_check(&[]);
    assert!(caught, "{off:?} was not missed");
}

/// Services that are cancelled 20 s and more after they were submitted, one after the
/// other, and arrays beside them.
fn cancelled_in_turn(length_s: f64) -> Script {
    let mut s = cluster(3, 3, 9, 9, length_s);
    let mut services = jobs(JobShape::Service, 10, 2.0);
    services.run_s = Spread::Between(24.0, 44.0);
    s.jobs.push(services);
    s
}

// 1. A leader is cut from the state service and from the other controllers while
// workers and users still reach it, and jobs are cancelled through the new one.
#[test]
fn a_leader_cut_from_state_and_peers_keeps_nothing_alive_too_long() {
    let day = |seed| {
        let mut s = cancelled_in_turn(150.0);
        // Its zone's machines reach nobody else, and the cloud releases none of them.
        let zone = |z: u32| Side::Zone(format!("z{z}"));
        s.faults.push(at(22.0, What::CloudOut { for_s: 100.0 }));
        for (a, b) in [
            (Side::Leader, Side::State),
            (Side::Leader, Side::Controllers),
            (zone(0), zone(1)),
            (zone(0), zone(2)),
            (zone(1), zone(2)),
        ] {
            s.faults.push(at(22.0, cut(a, b, CutMode::Lose, 90.0)));
        }
        broken(s, seed, 150.0, 45.0, |w| {
            let old = w.nodes().filter(|(_, n)| n.is_loaded_leader()).count();
            let others = cancelled(w).len();
            old > 1 && others > 2 && !unwanted(w).is_empty()
        })
    };
    guarded(SafetyCheck::BoundedHold, "ran_cancelled", 1..4, day);
}

// 2. A command or its answer is held up for seconds, and the machine then goes on.
#[test]
fn a_machine_that_goes_on_within_its_lease_runs_nothing_twice() {
    let day = |seed| {
        let mut s = cluster(3, 3, 6, 9, 160.0);
        let mut long = jobs(JobShape::Array, 5, 4.0);
        long.run_s = Spread::Fixed(50.0);
        s.jobs.push(long);
        let (that, for_s) = (false, 8.0);
        let hang = What::Hang {
            count: 3,
            that,
            for_s,
        };
        s.faults.push(at(20.0, hang));
        let held = cut(Side::Machines, Side::Leader, CutMode::Hold, 3.0);
        s.faults.push(at(24.0, held));
        broken(s, seed, 160.0, 26.0, |w| {
            let now = secs(26.0);
            let workers = w.stand().fleet().workers().values();
            workers
                .filter(|w| w.hangs(now) && !w.tasks.is_empty())
                .count()
                == 3
        })
    };
    guarded(
        SafetyCheck::AbandonOnlyAfterLeaseExpiry,
        "ran_twice",
        1..5,
        day,
    );
}

// 3. A leader ends while machines with long tasks can't be reached, or don't hear the
// new leader's answer.
#[test]
fn what_runs_out_of_a_new_leaders_reach_stands() {
    let day = |seed| {
        let mut s = cluster(3, 3, 6, 9, 200.0);
        let mut long = jobs(JobShape::Array, 5, 4.0);
        long.run_s = Spread::Fixed(60.0);
        s.jobs.push(long);
        let zone = Side::Zone("z1".into());
        let out = cut(zone.clone(), Side::Controllers, CutMode::Lose, 8.0);
        s.faults.push(at(20.0, out));
        s.faults.push(at(20.5, kill(30.0)));
        s.faults.push(at(
            40.0,
            What::MachineDeaf {
                count: 3,
                zone: None,
                for_s: 30.0,
            },
        ));
        s.faults.push(at(41.0, kill(0.2)));
        broken(s, seed, 200.0, 27.0, |w| {
            let leads = w.nodes().any(|(_, n)| n.is_loaded_leader());
            let workers = w.stand().fleet().workers().values();
            let there = workers.filter(|w| w.machine.zone.as_str() == "z1");
            leads && there.into_iter().any(|w| !w.tasks.is_empty())
        })
    };
    guarded(
        SafetyCheck::EarlierLeadersAnswersExtendLeases,
        "ran_twice",
        1..5,
        day,
    );
}

/// The state service refuses the leader alone, others confirm cancellations, then it
/// is out for all for longer than `cancel_s`; if `cut_off`, the leader hears nothing of
/// its peers either.
fn gap(cut_off: bool) -> Script {
    let mut s = cancelled_in_turn(180.0);
    s.jobs[0].run_s = Spread::Between(19.8, 21.5);
    let (nodes, for_s) = (Nodes::Leader, 14.0);
    s.faults.push(at(21.5, What::StateRefuses { nodes, for_s }));
    if cut_off {
        let alone = cut(Side::Leader, Side::Controllers, CutMode::Lose, 90.0);
        s.faults.push(at(21.0, alone));
    }
    s.faults.push(at(23.8, What::StateOut { for_s: 64.0 }));
    s
}

// 4. The state service refuses the leader alone and then everybody for longer than
// `cancel_s`, while users cancel and ask.
#[test]
fn the_gap_ends_what_was_cancelled_in_time() {
    let day = |seed| {
        // Nobody takes the key within the two seconds.
        let world = Simulated::with_policy(gap(true), seed, "return { doubt = 0.0 }").unwrap();
        played(world, 180.0, 40.0, |w| !unwanted(w).is_empty())
    };
    guarded(SafetyCheck::BoundedHold, "ran_cancelled", 1..6, day);
}

// The node that confirmed a cancellation tells the others: the leader stops the job
// without waiting for the state service. Without it the tasks ran on for up to H and a
// lease, of no use to anybody.
#[test]
fn a_confirmed_cancellation_is_told_at_once() {
    let mut told = 0;
    for seed in 1..9 {
        let mut world = Simulated::new(gap(false), seed).unwrap();
        world.play(secs(23.7), false);
        let before = cancelled(&world).len();
        world.play(secs(27.0), false);
        assert_eq!(unwanted(&world), [], "seed {seed}");
        told += before;
        world.play(secs(180.0), false);
        let breaches = world.stand().checker().breaches();
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }
    assert!(told > 8, "{told} were cancelled in the gap");
}

// 5. Controllers hand over and back, all end, and one returns, also within a second.
#[test]
fn a_start_survives_everybodys_end() {
    let day = |seed| {
        let mut s = cluster(3, 3, 6, 14, 300.0);
        mix(&mut s, &mut StdRng::seed_from_u64(seed), 100.0, 40);
        for n in 0..6 {
            let t = 12.0 + 18.0 * f64::from(n);
            let (nodes, for_s) = (Nodes::Leader, 9.0);
            s.faults.push(at(t, What::StateRefuses { nodes, for_s }));
            let (nodes, for_s) = (Nodes::All, [0.05, 0.2, 0.9][n as usize % 3]);
            s.faults.push(at(t + 2.0, What::Kill { nodes, for_s }));
            let roll = What::Roll {
                nodes: Nodes::Leader,
                build: None,
                gently: true,
                for_s: 0.3,
            };
            s.faults.push(at(t + 12.0, roll));
        }
        broken(s, seed, 300.0, 120.0, |w| {
            let marks = w.stand().marks().iter();
            marks.filter(|(_, f)| f == "kill").count() >= 5
        })
    };
    guarded(SafetyCheck::WriteAhead, "ran_twice", 100..140, day);
}

/// Work while copies of reports arrive late and leaders come and go.
fn late_reports(seed: u64) -> (Vec<String>, bool) {
    let mut s = cluster(3, 3, 12, 16, 240.0);
    let mut work = jobs(JobShape::Array, 40, 4.0);
    (work.over_s, work.run_s) = (150.0, Spread::Between(8.0, 40.0));
    work.cancelled = 0.2;
    s.jobs.push(work);
    let (share, for_s) = (0.7, 200.0);
    s.faults.push(at(
        5.0,
        What::LateReports {
            share,
            for_next: false,
            for_s,
        },
    ));
    for n in 0..12 {
        s.faults.push(at(15.0 + 14.0 * f64::from(n), kill(0.2)));
    }
    broken(s, seed, 240.0, 100.0, |w| {
        w.stand().marks().iter().any(|(_, f)| f == "late_reports")
    })
}

// 6. An old report arrives after newer ones, also from an earlier session or attempt.
#[test]
fn an_old_report_proves_nothing() {
    guarded(
        SafetyCheck::NewestHeartbeatCounts,
        "ran_twice",
        1..4,
        late_reports,
    );
}

// The first that a new leader hears of a machine may be an old copy: made before a
// start arrived that its predecessor had sent.
#[test]
fn an_old_report_heard_first_proves_nothing_either() {
    guarded(
        SafetyCheck::AbsenceNeedsOurToken,
        "ran_twice",
        1..6,
        late_reports,
    );
}

/// Tasks that came on a machine again after they were done.
fn done_again(world: &Simulated) -> usize {
    let mut done = std::collections::BTreeSet::new();
    let mut again = 0;
    for (_, seen) in world.stand().checker().history() {
        match seen {
            HistoryEvent::TaskCompleted { task } => {
                done.insert(task.clone());
            }
            HistoryEvent::TaskPlaced { task, .. } if done.contains(task) => again += 1,
            _ => {}
        }
    }
    again
}

// 7. Jobs of two or three tasks end far apart across a change of leader.
#[test]
fn a_result_outlives_its_leader() {
    let day = |seed| {
        let mut s = cluster(3, 3, 6, 9, 260.0);
        let mut pairs = jobs(JobShape::Array, 16, 3.0);
        (pairs.run_s, pairs.over_s) = (Spread::Between(6.0, 30.0), 60.0);
        s.jobs.push(pairs);
        for n in 1..12 {
            let when = When {
                moment: Moment::DoneReported,
                class: Some("urgent".into()),
                nth: 1 + n % 3,
                after_s: 8.0 + 9.0 * f64::from(n),
            };
            s.faults.push(Fault {
                at_s: None,
                when: Some(when),
                what: What::Pause {
                    nodes: Nodes::Leader,
                    for_s: 0.1,
                },
            });
            s.faults.push(at(8.4 + 9.0 * f64::from(n), kill(0.1)));
        }
        let mut world = Simulated::new(s, seed).unwrap();
        world.play(secs(260.0), false);
        let breaches = world.stand().checker().breaches().len();
        let (open, again) = (!world.stand().all_over(), done_again(&world));
        // A result was about to be told, and soon after its leader ended.
        let marks = world.stand().marks().iter();
        let struck = marks.filter(|(_, f)| f == "pause").count();
        assert!(struck >= 3, "seed {seed}: {struck} moments");
        (breaches, open, again)
    };
    for seed in 1..6 {
        assert_eq!(day(seed), (0, false, 0), "seed {seed}");
    }
    disable_check(&[SafetyCheck::DoneBeforeClear]);
    let again: usize = (1..6).map(|seed| day(seed).2).sum();
    disable_check(&[]);
    assert!(
        again > 0,
        "a result that was cleared too early was not missed"
    );
}

/// Work while transactions are carried out late and leaders come and go.
fn late_writes(seed: u64) -> (Vec<String>, bool) {
    let mut s = cluster(3, 3, 12, 16, 260.0);
    let mut work = jobs(JobShape::Array, 40, 6.0);
    (work.over_s, work.run_s) = (120.0, Spread::Between(8.0, 30.0));
    work.cancelled = 0.3;
    s.jobs.push(work);
    let (share, for_s) = (0.3, 150.0);
    s.faults.push(at(
        5.0,
        What::LateWrites {
            share,
            at_once: false,
            for_s,
        },
    ));
    for n in 0..8 {
        s.faults.push(at(20.0 + 16.0 * f64::from(n), kill(0.2)));
    }
    broken(s, seed, 260.0, 100.0, |w| {
        w.stand().marks().iter().any(|(_, f)| f == "late_writes")
    })
}

// 8. A transaction without an answer is carried out late, after newer ones of the same
// controller.
#[test]
fn a_late_write_changes_nothing_that_is_newer() {
    guarded(
        SafetyCheck::RecordsCompareVersions,
        "ran_twice",
        1..12,
        late_writes,
    );
}

/// Two troubles, or three, that begin within seconds of one another.
fn meeting(s: &mut Script, rng: &mut StdRng, from: f64) {
    let n = s.cluster.controllers.len() as u32;
    let many = rng.random_range(2..4);
    for _ in 0..many {
        let for_s = f64::from(rng.random_range(4u32..40));
        let share = rng.random_range(0.1..0.6);
        let (leader, zone) = (Nodes::Leader, Some("z1".to_string()));
        let what = match rng.random_range(0..19) {
            0 => What::LateWrites {
                share,
                at_once: rng.random_bool(0.5),
                for_s,
            },
            1 => What::LateReports {
                share,
                for_next: rng.random_bool(0.5),
                for_s,
            },
            2 => What::MachineDeaf {
                count: 3,
                zone: None,
                for_s,
            },
            3 => What::MachineDeaf {
                count: 0,
                zone,
                for_s,
            },
            4 => cut(Side::Leader, Side::State, CutMode::Hold, for_s),
            5 => cut(Side::Leader, Side::Controllers, CutMode::Lose, for_s),
            6 => What::StateRefuses {
                nodes: leader,
                for_s,
            },
            7 => What::StateOut { for_s },
            8 => kill(0.2),
            9 => What::Kill {
                nodes: Nodes::All,
                for_s: 0.2,
            },
            10 => What::Hang {
                count: 3,
                that: false,
                for_s,
            },
            12 => What::MachineMute {
                count: rng.random_range(0..2) * 3,
                zone,
                for_s,
            },
            13 => What::CancelNow {
                count: 3,
                hang_s: for_s,
            },
            14 => What::CancelAtEnd { share, for_s },
            15 => What::OddRequests { for_s },
            16 => What::CloseLooks { for_s },
            17 => cut(Side::Machines, Side::Controllers, CutMode::Hold, for_s),
            11 => What::Pause {
                nodes: Nodes::Number(rng.random_range(0..n)),
                for_s,
            },
            _ => What::StateSlow {
                delay_s: 0.4,
                for_s,
            },
        };
        s.faults.push(at(from + rng.random_range(0.0..3.0), what));
    }
}

#[test]
fn random_meetings_break_no_rule() {
    for seed in 500..512 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut s = cluster(3 + 2 * (seed as usize % 2), 3, 8, 16, 500.0);
        mix(&mut s, &mut rng, 150.0, 40);
        for j in &mut s.jobs {
            j.cancelled = 0.4;
            if rng.random_bool(0.3) {
                j.priority = JobPriority::High;
            }
        }
        for n in 0..6 {
            meeting(&mut s, &mut rng, 12.0 + 28.0 * f64::from(n));
        }
        sound(&rehearse(s, seed), seed);
    }
}
