//! The lease of a worker whose process stands still in the middle of a step.

use pebblefold_agent::link::{Link, Pace};
use pebblefold_wire::types::{FencingToken, Time, TimeSpan};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn at(seconds: f64) -> Time {
    Time(0) + TimeSpan::secs(seconds)
}

// A step looks at the lease first and sends a heartbeat later. Stopped in between until
// the lease is over, and continued, it sends that heartbeat in the epoch that has
// ended; the answer then renews a lease that had expired.
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
