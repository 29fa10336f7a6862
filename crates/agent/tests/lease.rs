//! The lease of a worker whose process stands still in the middle of a step.

use pebblefold_agent::link::{Link, Pace};
use pebblefold_wire::types::{FencingToken, Time, TimeSpan};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn at(seconds: f64) -> Time {
    Time(0) + TimeSpan::secs(seconds)
}

// A step looks at the lease first and sends a heartbeat later. Stopped in between until
// the lease was over, and continued, the agent sent that heartbeat in the epoch that had
// ended; the answer then renewed a lease that had expired, and what the controllers had
// given elsewhere counted as running here. `docs/incidents/agent-lease.md` has the story:
// of 12 agents that SIGSTOP met just after they had written `lease.json`, 9 did so.
#[test]
fn lease_that_expired_within_a_step_is_not_renewed() {
    let pace = Pace {
        report: TimeSpan::millis(500),
        lease: TimeSpan::millis(2000),
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut link = Link::new(pace, 1, at(0.0), &mut rng);
    assert!(!link.renewed(at(1.0)), "the lease lasts for two seconds");

    // The process stood still from 1 s to 5 s.
    if link.due(at(5.0), 1, &mut rng) {
        link.answered(at(5.0), FencingToken(1));
    }

    assert!(link.renewed(at(5.0)), "the lease was over at 2 s");
}

/// A link whose lease of two seconds began at 0 s, with a heartbeat in flight from 1 s on.
fn link_with_heartbeat_in_flight(rng: &mut StdRng) -> Link {
    let pace = Pace {
        report: TimeSpan::millis(500),
        lease: TimeSpan::millis(2000),
    };
    let mut link = Link::new(pace, 1, at(0.0), rng);
    assert!(link.due(at(1.0), 1, rng));
    link
}

// The heartbeat was sent within the lease and answered within it; the process stood still
// before it read the answer.
#[test]
fn answer_handled_after_the_lease_counts_for_nothing() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut link = link_with_heartbeat_in_flight(&mut rng);
    assert!(!link.answered(at(2.5), FencingToken(1)), "over since 2 s");
    assert_eq!(link.token(), FencingToken(0));
    assert!(link.renewed(at(2.5)));

    let mut link = link_with_heartbeat_in_flight(&mut rng);
    assert!(link.answered(at(1.9), FencingToken(1)));
    assert!(!link.renewed(at(2.9)), "renewed from 1 s on");
    assert!(link.renewed(at(3.1)));
}

#[test]
fn direct_commands_need_a_lease_that_lasts() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut link = link_with_heartbeat_in_flight(&mut rng);
    let (token, epoch) = (FencingToken(1), link.epoch());
    assert!(link.takes(at(2.0), token, epoch));
    assert!(!link.takes(at(2.1), token, epoch));
    assert!(link.renewed(at(2.1)));
    assert!(!link.takes(at(2.2), token, epoch), "the epoch before");
    assert!(link.takes(at(2.2), token, link.epoch()));
}
