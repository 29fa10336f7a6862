//! Tasks that fail: machines get work again once the reason to keep it away is gone, and a
//! machine that is really faulty does not draw all work.

mod common;
use common::*;
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_simulator::script::{JobShape, Jobs, Nodes, Script, Spread, What};
use pebblefold_simulator::simulated::Simulated;

/// The class of the jobs that the tests measure.
const SHORT_JOBS: &str = "short";

/// What a day came to.
struct Outcome {
    /// The longest time that one of the short jobs could have started and did not.
    waited_s: f64,
    /// Rules that were broken.
    broken: Vec<String>,
    /// Tasks that failed.
    failures: u64,
    /// Whether every job has its final answer.
    all_over: bool,
}

fn play(script: Script, seed: u64) -> Outcome {
    let until = Time(0) + TimeSpan::secs(script.length_s);
    let mut world = Simulated::new(script, seed).unwrap();
    world.play(until, false);
    let stand = world.stand();
    let breaches = stand.checker().breaches().iter();
    let waited = stand.waited().get(SHORT_JOBS);
    Outcome {
        waited_s: waited.map_or(0.0, |span| span.as_secs()),
        broken: breaches.map(|b| b.rule.to_string()).collect(),
        failures: stand.fleet().failures,
        all_over: stand.all_over(),
    }
}

/// So many machines, at least three, and no more: each runs a replica of a service.
fn machines_with_services(count: u32, length_s: f64) -> Script {
    let mut script = cluster(3, 3, 3, 3, length_s);
    for machines in &mut script.cluster.machines {
        (machines.capacity, machines.up) = match machines.spot {
            true => (0, 0),
            false => (count / 3, count / 3),
        };
    }
    for zone in ["z0", "z1", "z2"] {
        let mut service = jobs(JobShape::Service, count / 3, 1.0);
        (service.class, service.zone) = ("service".into(), Some(zone.into()));
        (service.cpus, service.gpus, service.from_s) = (9.0, 1.0, 0.0);
        service.run_s = Spread::Fixed(length_s);
        script.jobs.push(service);
    }
    script
}

/// Jobs with a mistake, cancelled after ten seconds.
fn mistaken(count: u32, from_s: f64) -> Jobs {
    let mut mistaken = jobs(JobShape::Array, count, 1.0);
    (mistaken.class, mistaken.from_s) = ("mistaken".into(), from_s);
    (mistaken.cancelled, mistaken.cancel_after_s) = (1.0, Some(10.0));
    (mistaken.image_gb, mistaken.mistaken) = (0.5, true);
    mistaken
}

fn short_jobs(count: u32, from_s: f64, over_s: f64) -> Jobs {
    let mut short = jobs(JobShape::Array, count, 1.0);
    (short.from_s, short.over_s, short.run_s) = (from_s, over_s, Spread::Fixed(5.0));
    short.class = SHORT_JOBS.into();
    short
}

fn faulty(count: u32, zone: Option<&str>, for_s: f64) -> What {
    let zone = zone.map(String::from);
    What::Faulty { count, zone, for_s }
}

// Two jobs fail on every machine and are cancelled: accepted jobs of others must start. The
// machines run services, so none of them becomes empty and is replaced.
#[test]
fn cancelled_mistaken_jobs_leave_the_machines_to_others() {
    let day = || {
        let mut script = machines_with_services(3, 200.0);
        script.jobs.push(mistaken(2, 20.0));
        script.jobs.push(short_jobs(3, 32.0, 0.0));
        script
    };
    for seed in 1..4 {
        let outcome = play(day(), seed);
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.failures >= 4, "seed {seed}: the jobs did not fail");
        assert!(outcome.waited_s < 10.0, "seed {seed}: {}", outcome.waited_s);
    }
    disable_check(&[SafetyCheck::RefutedFailuresDoNotCount]);
    let held = play(day(), 1).waited_s;
    disable_check(&[]);
    assert!(held > 30.0, "the machines were kept from work for {held} s");
}

// As above, before the users cancel, and across a change of leader.
#[test]
fn mistaken_jobs_that_nobody_cancels_leave_the_machines_to_others() {
    for seed in 1..4 {
        let mut script = machines_with_services(3, 240.0);
        let mut mistaken = mistaken(4, 20.0);
        mistaken.cancel_after_s = Some(200.0);
        script.jobs.push(mistaken);
        script.jobs.push(short_jobs(20, 25.0, 120.0));
        let kill = What::Kill {
            nodes: Nodes::Leader,
            for_s: 3.0,
        };
        script.faults.push(at(30.0, kill));
        let outcome = play(script, seed);
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.waited_s < 30.0, "seed {seed}: {}", outcome.waited_s);
    }
}

// A job avoids machines on which it failed, but not if it fits no other.
#[test]
fn job_that_failed_on_its_only_machine_is_tried_again() {
    for seed in 1..4 {
        let mut script = machines_with_services(3, 200.0);
        let mut bound = short_jobs(1, 20.0, 0.0);
        bound.zone = Some("z1".into());
        script.jobs.push(bound);
        script.faults.push(at(18.0, faulty(0, Some("z1"), 12.0)));
        let outcome = play(script, seed);
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.failures > 0, "seed {seed}: the job did not fail");
        assert!(outcome.waited_s < 60.0, "seed {seed}: {}", outcome.waited_s);
    }
}

// All machines that fit were faulty for a while: they get work again in time.
#[test]
fn recovered_machines_get_work_again() {
    for seed in 1..4 {
        let mut script = machines_with_services(3, 300.0);
        script.jobs.push(short_jobs(30, 20.0, 60.0));
        script.faults.push(at(18.0, faulty(0, None, 60.0)));
        let outcome = play(script, seed);
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.failures > 0, "seed {seed}: no job failed");
        assert!(outcome.waited_s < 90.0, "seed {seed}: {}", outcome.waited_s);
    }
}

// A machine on which every task fails always has room. It must not get all work.
#[test]
fn faulty_machines_do_not_draw_all_work() {
    for (seed, faulty_machines) in [(1, 1), (2, 1), (3, 2), (4, 2)] {
        let mut script = machines_with_services(6, 420.0);
        script.jobs.push(short_jobs(250, 20.0, 300.0));
        script
            .faults
            .push(at(18.0, faulty(faulty_machines, None, 400.0)));
        let outcome = play(script, seed);
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.all_over, "seed {seed}: jobs are left");
        let limit = 15 * u64::from(faulty_machines);
        let failures = outcome.failures;
        println!("seed {seed}: {failures} tasks failed on {faulty_machines} machines");
        assert!((1..=limit).contains(&failures), "seed {seed}: {failures}");
    }
}
