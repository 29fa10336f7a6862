//! The lease of a worker whose process stands still in the middle of a step.

use pebblefold_agent::link::{Link, Pace};
use pebblefold_wire::types::{AgentEpoch, FencingToken, Time, TimeSpan};
use proptest::prelude::*;
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

/// One thing that a worker does with its link, at its own instant.
#[derive(Clone, Copy, Debug)]
enum Step {
    Heartbeat,
    Answer { token: u64 },
    Command { token: u64, epochs_back: u64 },
    Look,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Heartbeat),
        3 => (0u64..3).prop_map(|token| Step::Answer { token }),
        1 => (0u64..3, 0u64..2).prop_map(|(token, epochs_back)| Step::Command { token, epochs_back }),
        1 => Just(Step::Look),
    ]
}

/// The lease by its definition: it counts from the sending of the last answered
/// heartbeat, or from the epoch's beginning.
struct PlainLease {
    counts_from: u64,
    sent: Option<u64>,
    token: u64,
    epoch: u64,
}

impl PlainLease {
    fn lasts(&self, now_ms: u64) -> bool {
        now_ms - self.counts_from <= 2000
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default()
    })]
    // Time may stand still or run on before each step, whatever was looked at before.
    #[test]
    fn nothing_counts_in_an_epoch_whose_lease_is_over(
        steps in proptest::collection::vec((step(), 0u64..1500), 1..40),
    ) {
        let pace = Pace { report: TimeSpan::millis(500), lease: TimeSpan::millis(2000) };
        let mut rng = StdRng::seed_from_u64(1);
        let mut link = Link::new(pace, 2, Time(0), &mut rng);
        let mut plain = PlainLease { counts_from: 0, sent: None, token: 0, epoch: 1 };
        let mut now_ms = 0;
        for (step, pause_ms) in steps {
            now_ms += pause_ms;
            let now = Time(0) + TimeSpan::millis(now_ms);
            let lasts = plain.lasts(now_ms);
            match step {
                Step::Heartbeat => {
                    if link.due(now, now_ms, &mut rng) {
                        prop_assert!(lasts, "a heartbeat of an epoch that is over");
                        plain.sent = Some(now_ms);
                    }
                }
                Step::Answer { token } => {
                    let counts = plain.sent.is_some() && token >= plain.token && lasts;
                    prop_assert_eq!(link.answered(now, FencingToken(token)), counts);
                    let sent = plain.sent.take();
                    if counts {
                        plain.token = token;
                        plain.counts_from = sent.unwrap_or(plain.counts_from);
                    }
                }
                Step::Command { token, epochs_back } => {
                    let counts = token >= plain.token && epochs_back == 0 && lasts;
                    let epoch = AgentEpoch(plain.epoch - epochs_back);
                    prop_assert_eq!(link.takes(now, FencingToken(token), epoch), counts);
                    if counts {
                        plain.token = token;
                    }
                }
                Step::Look => {
                    prop_assert_eq!(link.renewed(now), !lasts);
                    if !lasts {
                        plain.epoch += 1;
                        plain.counts_from = now_ms;
                        plain.sent = None;
                    }
                }
            }
            prop_assert_eq!(link.expired(now), !plain.lasts(now_ms));
            prop_assert_eq!(link.epoch(), AgentEpoch(plain.epoch));
        }
    }
}
