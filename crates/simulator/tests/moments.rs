//! Faults at their moments: machines that vanish while they are handed a job, a
//! state service killed between write and acknowledgement, hires whose answer
//! is lost, sites that come back with old sessions, two faults in one cycle.

mod common;
use common::*;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_simulator::checker::HistoryEvent;
use pebblefold_simulator::report::Verdict;
use pebblefold_simulator::script::{
    CutMode, Fault, JobPriority, JobShape, LastWrite, Moment, Nodes, PowerLoss, Script, Side,
    Spread, What, When,
};
use pebblefold_simulator::simulated::Simulated;

fn when(moment: Moment, nth: u32, what: What) -> Fault {
    let (class, after_s) = (Some("urgent".to_string()), 0.0);
    let class = class.filter(|_| moment != Moment::Hired);
    let when = Some(When {
        moment,
        class,
        nth,
        after_s,
    });
    Fault {
        at_s: None,
        when,
        what,
    }
}

/// Gangs and arrays over a minute, some cancelled.
fn work() -> Script {
    let mut s = cluster(3, 3, 6, 18, 400.0);
    let mut gangs = jobs(JobShape::Gang, 8, 2.0);
    (gangs.gpus, gangs.over_s, gangs.priority) = (4.0, 60.0, JobPriority::High);
    (gangs.checkpoint_s, gangs.save_s, gangs.cancelled) = (5.0, 1.0, 0.2);
    let mut arrays = jobs(JobShape::Array, 16, 4.0);
    (arrays.over_s, arrays.run_s, arrays.cancelled) = (60.0, Spread::Between(5.0, 25.0), 0.2);
    s.jobs = vec![gangs, arrays];
    s
}

/// Plays the work with faults of which all have to strike.
fn played(faults: impl Fn(u32) -> Vec<Fault>, seeds: std::ops::Range<u64>) -> Vec<Verdict> {
    seeds
        .map(|seed| {
            let mut s = work();
            s.faults = faults(seed as u32 % 7 + 1);
            let v = rehearse(s, seed);
            sound(&v, seed);
            assert_eq!(v.not_struck, Vec::<String>::new(), "seed {seed}");
            v
        })
        .collect()
}

fn vanish() -> What {
    What::Vanish {
        count: 0,
        that: true,
        zone: None,
    }
}

#[test]
fn a_machine_vanishes_before_within_and_after_it_is_handed_a_job() {
    for moment in [
        Moment::StartCommitted,
        Moment::StartArrived,
        Moment::StartDone,
        Moment::DoneReported,
    ] {
        played(
            |n| vec![when(moment, n, vanish()), when(moment, n + 3, vanish())],
            0..6,
        );
    }
}

#[test]
fn a_machine_vanishes_and_its_report_arrives_a_minute_later() {
    let cut = |mode| What::Cut {
        a: Side::That,
        b: Side::Controllers,
        one_way: true,
        mode,
        for_s: 60.0,
    };
    let faults = |n| {
        vec![
            when(Moment::StartDone, n, cut(CutMode::Hold)),
            when(Moment::StartDone, n + 1, vanish()),
            when(Moment::DoneReported, n, cut(CutMode::Hold)),
        ]
    };
    played(faults, 0..8);
}

// The leader's answers to a machine are lost, and it goes on as if they were not.
#[test]
fn a_machine_hears_and_is_not_heard() {
    let cut = |a, b| What::Cut {
        a,
        b,
        one_way: true,
        mode: CutMode::Lose,
        for_s: 25.0,
    };
    let faults = |n| {
        vec![
            when(Moment::StartArrived, n, cut(Side::That, Side::Controllers)),
            when(
                Moment::StartCommitted,
                n + 2,
                cut(Side::Controllers, Side::That),
            ),
        ]
    };
    played(faults, 0..6);
}

#[test]
fn the_state_service_is_killed_between_write_and_acknowledgement() {
    for moment in [Moment::Accepted, Moment::StartCommitted] {
        for last_write in [LastWrite::Nothing, LastWrite::Everything, LastWrite::Torn] {
            let kill = || What::StateKilled {
                for_s: 3.0,
                last_write,
            };
            played(
                |n| vec![when(moment, n, kill()), when(moment, n + 5, kill())],
                0..4,
            );
        }
    }
}

#[test]
fn acknowledgements_are_lost() {
    let faults = |n| {
        let lose = |moment, n| when(moment, n, What::LoseAnswer {});
        vec![
            lose(Moment::Accepted, n),
            lose(Moment::StartCommitted, n),
            lose(Moment::Hired, 1),
            lose(Moment::Hired, 2),
        ]
    };
    played(faults, 0..8);
}

// A hire whose answer was lost, from a leader that then ends, and whose machines
// come up an hour later: they are returned, by leaders that never asked for them.
#[test]
fn machines_of_a_lost_hire_come_up_an_hour_later() {
    let mut s = work();
    s.length_s = 7000.0;
    s.cluster.kinds[0].boot_s = 3600.0;
    s.jobs[1].run_s = Spread::Fixed(60.0);
    s.jobs[1].count = 24;
    s.faults = vec![
        when(Moment::Hired, 1, What::LoseAnswer {}),
        when(
            Moment::Hired,
            1,
            What::Kill {
                nodes: Nodes::All,
                for_s: 2.0,
            },
        ),
    ];
    let end = Time(0) + TimeSpan::secs(7000.0);
    let mut world = Simulated::new(s, 5).unwrap();
    world.play(end, false);
    world.stand_mut().finish(end);
    let stand = world.stand();
    assert!(
        stand.checker().breaches().is_empty(),
        "{:?}",
        stand.checker().breaches()
    );
    assert_eq!(stand.left(), Vec::<String>::new());
    let up_late = |(t, seen): &&(Time, HistoryEvent)| {
        *t > Time(0) + TimeSpan::secs(1800.0) && matches!(seen, HistoryEvent::MachineUp { .. })
    };
    let late = stand.checker().history().iter().filter(up_late).count();
    assert!(late > 0, "none of the machines came up");
    assert!(
        stand.fleet().workers().is_empty(),
        "they are kept: {late} came up"
    );
}

#[test]
fn power_returns_to_a_site_whose_workers_run_an_older_session() {
    let power = |zone: &str, for_s| What::SitePower {
        zone: zone.into(),
        for_s,
        machines: PowerLoss::Freeze,
    };
    for for_s in [4.0, 9.0, 30.0] {
        played(
            |n| {
                vec![
                    when(Moment::StartDone, n + 4, power("z0", for_s)),
                    at(40.0, power("z1", for_s)),
                ]
            },
            0..4,
        );
    }
}

#[test]
fn the_leaders_site_is_lost_together_with_the_state_services_restart() {
    for site in ["z0", "z1", "z2"] {
        let faults = |n| {
            let machines = if n % 2 == 0 {
                PowerLoss::Die
            } else {
                PowerLoss::Freeze
            };
            vec![
                when(
                    Moment::StartCommitted,
                    n,
                    What::SitePower {
                        zone: site.into(),
                        for_s: 30.0,
                        machines,
                    },
                ),
                when(
                    Moment::StartCommitted,
                    n,
                    What::StateKilled {
                        for_s: 5.0,
                        last_write: LastWrite::Torn,
                    },
                ),
            ]
        };
        played(faults, 0..4);
    }
}

#[test]
fn two_faults_strike_within_one_cycle() {
    let pairs: Vec<(What, What)> = vec![
        (
            vanish(),
            What::Kill {
                nodes: Nodes::That,
                for_s: 4.0,
            },
        ),
        (
            What::Kill {
                nodes: Nodes::Leader,
                for_s: 4.0,
            },
            What::StateOut { for_s: 8.0 },
        ),
        (
            What::Pause {
                nodes: Nodes::Leader,
                for_s: 15.0,
            },
            vanish(),
        ),
        (
            What::Hang {
                count: 0,
                that: true,
                for_s: 12.0,
            },
            What::Kill {
                nodes: Nodes::All,
                for_s: 3.0,
            },
        ),
        (
            What::LoseAnswer {},
            What::StateRefuses {
                nodes: Nodes::That,
                for_s: 10.0,
            },
        ),
        (
            What::StateFull { for_s: 6.0 },
            What::SpotTaken {
                share: 0.5,
                notice_s: 0.0,
            },
        ),
        (
            What::CloudOut { for_s: 30.0 },
            What::Vanish {
                count: 3,
                that: true,
                zone: None,
            },
        ),
    ];
    for (a, b) in &pairs {
        let faults = |n| {
            vec![
                when(Moment::StartCommitted, n, a.clone()),
                when(Moment::StartCommitted, n, b.clone()),
            ]
        };
        played(faults, 0..4);
    }
}
