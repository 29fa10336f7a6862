//! Machines that are up at once, bind zones, reach nobody, or whose reports come late.

use super::*;

// New machines are up within two seconds and get work at once while writes lag, and the
// leader ends: they are reported to its successor before any list has them.
#[test]
fn work_on_machines_that_are_up_at_once_is_not_started_again() {
    let day = |seed| {
        let mut s = cluster(3, 3, 0, 24, 200.0);
        for k in &mut s.cluster.kinds {
            k.boot_s = 1.2;
        }
        let mut work = jobs(JobShape::Array, 24, 4.0);
        (work.over_s, work.run_s) = (110.0, Spread::Between(10.0, 30.0));
        s.jobs.push(work);
        let (delay_s, for_s) = (0.5, 120.0);
        s.faults.push(at(1.0, What::StateSlow { delay_s, for_s }));
        let (share, at_once, for_s) = (0.5, false, 120.0);
        s.faults.push(at(
            1.0,
            What::LateWrites {
                share,
                at_once,
                for_s,
            },
        ));
        for n in 0..9 {
            s.faults.push(Fault {
                at_s: None,
                when: Some(When {
                    moment: [Moment::Hired, Moment::StartDone, Moment::StartArrived][n % 3],
                    class: None,
                    nth: 1 + n as u32 % 2,
                    after_s: 4.0 + 11.0 * n as f64,
                }),
                what: kill([0.05, 0.2, 6.0][n % 3]),
            });
        }
        broken(s, seed, 200.0, 80.0, |w| {
            let kills = w.stand().marks().iter().filter(|(_, f)| f == "kill");
            let up = w.stand().fleet().workers().len();
            kills.count() >= 4 && up > 4
        })
    };
    guarded(SafetyCheck::WriteAhead, "ran_twice", 1..40, day);
}

/// Copies of old reports reach every controller as a new leader begins.
fn for_the_next(seed: u64) -> (Vec<String>, bool) {
    let mut s = cluster(3, 3, 12, 16, 240.0);
    let mut work = jobs(JobShape::Array, 40, 4.0);
    (work.over_s, work.run_s) = (150.0, Spread::Between(8.0, 40.0));
    work.cancelled = 0.2;
    s.jobs.push(work);
    let (share, for_next, for_s) = (0.6, true, 200.0);
    s.faults.push(at(
        5.0,
        What::LateReports {
            share,
            for_next,
            for_s,
        },
    ));
    for n in 0..12 {
        let t = 15.0 + 14.0 * f64::from(n);
        s.faults.push(at(t, kill([0.05, 0.2, 4.0][n as usize % 3])));
        let (count, that, for_s) = (2, false, 7.0);
        let hang = What::Hang { count, that, for_s };
        s.faults.push(at(t - 1.0, hang));
    }
    broken(s, seed, 240.0, 100.0, |w| w.stand().brought() > 200)
}

// The first that a new leader hears of a machine is an old report, at every controller at
// once, also relayed; then the true one comes.
#[test]
fn an_old_report_at_every_controller_proves_nothing() {
    guarded(
        SafetyCheck::AbsenceNeedsOurToken,
        "ran_twice",
        1..6,
        for_the_next,
    );
}

// A report is held back until a new leader has acted, and then arrives there: the machines'
// links to all controllers hold everything up while leaders change.
#[test]
fn a_report_held_back_until_a_new_leader_acts_proves_nothing() {
    let day = |seed| {
        let mut s = cluster(3, 3, 9, 12, 220.0);
        let mut work = jobs(JobShape::Array, 26, 4.0);
        (work.over_s, work.run_s) = (120.0, Spread::Between(12.0, 40.0));
        s.jobs.push(work);
        for n in 0..7 {
            let t = 16.0 + 16.0 * f64::from(n);
            let zone = Side::Zone(format!("z{}", n % 3));
            s.faults
                .push(at(t, cut(zone, Side::Controllers, CutMode::Hold, 5.0)));
            s.faults.push(at(t + 1.0, kill([0.1, 3.0][n as usize % 2])));
        }
        broken(s, seed, 220.0, 35.0, |w| {
            let marks = w.stand().marks().iter();
            marks.filter(|(_, f)| f == "kill").count() >= 2
        })
    };
    guarded(
        SafetyCheck::EarlierLeadersAnswersExtendLeases,
        "ran_twice",
        1..6,
        day,
    );
}

// Workers can't open connections to any controller, while direct commands still reach them:
// no lease is renewed by those, nothing is concluded before the lease has ended, and what is
// called off is stopped directly.
#[test]
fn machines_that_reach_nobody_are_there_until_their_lease_ends() {
    let day = |seed| {
        let mut s = cluster(3, 3, 9, 12, 200.0);
        let mut work = jobs(JobShape::Array, 16, 4.0);
        (work.over_s, work.run_s) = (90.0, Spread::Between(20.0, 50.0));
        s.jobs.push(work);
        for (t, count, zone) in [(20.0, 4, None), (55.0, 0, Some("z1")), (90.0, 5, None)] {
            let zone = zone.map(String::from);
            let for_s = 20.0;
            s.faults
                .push(at(t, What::MachineMute { count, zone, for_s }));
            let (count, hang_s) = (2, 0.0);
            s.faults
                .push(at(t + 2.0, What::CancelNow { count, hang_s }));
        }
        s.faults.push(at(57.0, kill(0.2)));
        broken(s, seed, 200.0, 25.0, |w| {
            let workers = w.stand().fleet().workers().values();
            let mute = workers.filter(|w| w.is_mute(secs(25.0)) && !w.tasks.is_empty());
            mute.count() > 2
        })
    };
    guarded(
        SafetyCheck::AbandonOnlyAfterLeaseExpiry,
        "ran_twice",
        1..6,
        day,
    );
}

// Jobs bound to one zone, arrays too, lose machines: what may still be somewhere binds the
// rest, also where its machine cannot be reached.
#[test]
fn tasks_out_of_reach_bind_their_jobs_zone() {
    let day = |seed| {
        let mut s = cluster(3, 3, 12, 18, 220.0);
        for (shape, spread) in [(JobShape::Array, false), (JobShape::Service, true)] {
            let mut bound = jobs(shape, 12, 6.0);
            (bound.one_zone, bound.spread) = (!spread, spread);
            (bound.over_s, bound.run_s) = (70.0, Spread::Between(40.0, 60.0));
            bound.gpus = 2.0;
            s.jobs.push(bound);
        }
        s.jobs[1].tasks = Spread::Fixed(3.0);
        for (n, t) in [25.0, 50.0, 75.0, 100.0].into_iter().enumerate() {
            let zone = Side::Zone(format!("z{}", n % 3));
            s.faults
                .push(at(t, cut(zone, Side::Controllers, CutMode::Lose, 9.0)));
            let (count, that, zone) = (3, false, None);
            s.faults
                .push(at(t + 1.0, What::Vanish { count, that, zone }));
            let (count, for_s) = (3, 9.0);
            s.faults
                .push(at(t + 2.0, What::Hang { count, that, for_s }));
        }
        s.faults.push(at(77.0, kill(0.2)));
        broken(s, seed, 220.0, 55.0, |w| {
            // A zone is cut off, machines hang, and tasks run on those.
            let fleet = w.stand().fleet();
            let hangs = |machine: &str| fleet.workers()[machine].hangs(secs(55.0));
            fleet.running().count() > 6 && fleet.running().any(|(machine, ..)| hangs(machine))
        })
    };
    guarded(SafetyCheck::AssignmentsBindZones, "wrong_place", 1..8, day);
}

// Leaders change ten times in two minutes, also inside an outage.
#[test]
fn ten_leaders_in_two_minutes_start_nothing_twice() {
    let day = |seed| {
        let mut s = cluster(5, 3, 9, 14, 260.0);
        mix(&mut s, &mut StdRng::seed_from_u64(seed), 110.0, 30);
        for n in 0..12 {
            let t = 15.0 + 10.0 * f64::from(n);
            let (nodes, for_s) = (Nodes::Leader, 2.0);
            s.faults
                .push(at(t - 1.5, What::StateRefuses { nodes, for_s }));
            s.faults.push(at(t, kill([0.05, 0.2, 6.0][n as usize % 3])));
        }
        s.faults.push(at(62.0, What::StateOut { for_s: 20.0 }));
        broken(s, seed, 260.0, 140.0, |w| {
            let marks = w.stand().marks().iter();
            marks.filter(|(_, f)| f == "kill").count() >= 10
        })
    };
    guarded(SafetyCheck::WriteAhead, "ran_twice", 1..30, day);
}

// A zone with workers and a controller is cut off for longer than `lease_s`; its controller
// may be the leader, and goes on for as long as its word counts.
#[test]
fn a_zone_cut_off_for_longer_than_a_lease_runs_nothing_twice() {
    let day = |seed| {
        let mut s = cluster(3, 3, 9, 12, 220.0);
        let mut work = jobs(JobShape::Array, 18, 4.0);
        (work.over_s, work.run_s) = (100.0, Spread::Between(15.0, 40.0));
        s.jobs.push(work);
        for n in 0..3 {
            let zone = |z: usize| Side::Zone(format!("z{}", (n + z) % 3));
            let t = 25.0 + 40.0 * n as f64;
            for other in [zone(1), zone(2), Side::State, Side::Cloud] {
                s.faults
                    .push(at(t, cut(zone(0), other, CutMode::Hold, 25.0)));
            }
        }
        broken(s, seed, 220.0, 30.0, |w| {
            w.stand().fleet().running().count() > 6
        })
    };
    guarded(
        SafetyCheck::AbandonOnlyAfterLeaseExpiry,
        "ran_twice",
        1..6,
        day,
    );
}

// All controllers are away for longer than `lease_s`: every task is gone by then, its job
// is not, and runs. No single decision guards this: it is what sessions, and acceptances
// that are stored before they are told, come to together.
#[test]
fn jobs_outlive_all_controllers() {
    for seed in 1..5 {
        let mut s = cluster(3, 3, 9, 12, 260.0);
        let mut work = jobs(JobShape::Array, 14, 4.0);
        (work.over_s, work.run_s) = (80.0, Spread::Between(15.0, 40.0));
        s.jobs.push(work);
        let (nodes, for_s) = (Nodes::All, 16.0);
        s.faults.push(at(40.0, What::Kill { nodes, for_s }));
        let mut world = Simulated::new(s, seed).unwrap();
        world.play(secs(39.0), false);
        let ran = world.stand().fleet().running().count();
        world.play(secs(55.0), false);
        let left = world.stand().fleet().running().count();
        world.play(secs(260.0), false);
        let breaches = world.stand().checker().breaches();
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
        assert!(world.stand().all_over(), "seed {seed}: some are not over");
        assert!(
            ran > 8 && left == 0,
            "seed {seed}: {ran} ran, {left} were left"
        );
    }
}

// There is more work than room, urgent and not, over slow links: whatever is stopped, sent
// and answered late, nothing runs twice, and the urgent work is not all that runs.
#[test]
fn more_work_than_room_over_slow_links() {
    let day = |seed| {
        let mut s = cluster(3, 3, 6, 6, 260.0);
        for (n, priority) in [JobPriority::Low, JobPriority::High]
            .into_iter()
            .enumerate()
        {
            let mut work = jobs(JobShape::Array, 26, 4.0);
            (work.over_s, work.run_s) = (60.0, Spread::Between(8.0, 25.0));
            (work.priority, work.gpus) = (priority, 1.0 + n as f64);
            (work.checkpoint_s, work.save_s) = (5.0, 1.0);
            s.jobs.push(work);
        }
        for n in 0..25 {
            let t = 10.0 + 4.0 * f64::from(n);
            // By turns, so that there is room elsewhere for what is slow to answer.
            let zone = Side::Zone(format!("z{}", n % 3));
            let slow = cut(zone, Side::Controllers, CutMode::Hold, 4.5);
            s.faults.push(at(t, slow));
        }
        for t in [30.0, 60.0, 90.0] {
            let (nodes, for_s) = (Nodes::Leader, 2.0);
            s.faults
                .push(at(t - 1.0, What::StateRefuses { nodes, for_s }));
            s.faults.push(at(t, kill(0.2)));
        }
        broken(s, seed, 260.0, 55.0, |w| {
            let by_class = w.stand().checker().job_counts_by_class();
            by_class.values().map(|(waiting, _)| *waiting).sum::<u32>() > 4
        })
    };
    guarded(
        SafetyCheck::AbandonOnlyAfterLeaseExpiry,
        "ran_twice",
        1..6,
        day,
    );
}
