use super::*;

const LEASE: TimeSpan = TimeSpan::millis(22_000);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

/// Reports every four seconds, each answered; true if it counts as deaf by then.
fn report(h: &mut DeliveryMonitor, secs: f64, sign: DeliveryEvidence) -> bool {
    h.reported(at(secs), LEASE, sign);
    h.answered(at(secs));
    !h.hears()
}

// A machine whose answers were lost was given start after start, each of which
// waited for a lease before it went elsewhere.
#[test]
fn one_that_misses_three_starts_is_deaf_until_it_takes_something() {
    let mut h = DeliveryMonitor::default();
    assert!(!report(&mut h, 0.0, DeliveryEvidence::Took));
    assert!(
        !report(&mut h, 4.0, DeliveryEvidence::Missed),
        "answers are lost now and then"
    );
    assert!(!report(&mut h, 8.0, DeliveryEvidence::Missed));
    assert!(report(&mut h, 12.0, DeliveryEvidence::Missed));
    assert!(report(&mut h, 16.0, DeliveryEvidence::None));
    assert_eq!(h.deaf_for(at(20.0)), Some(TimeSpan::secs(8.0)));
    assert!(!report(&mut h, 20.0, DeliveryEvidence::Took));
    assert!(
        !report(&mut h, 24.0, DeliveryEvidence::Missed),
        "it begins anew"
    );
}

// One that stood still, or was cut off altogether, comes back with a new session
// too; it hears as well as any.
#[test]
fn a_session_that_ends_within_a_lease_of_its_answers_was_deaf() {
    let mut deaf = DeliveryMonitor::default();
    for n in 0..6 {
        assert!(!report(
            &mut deaf,
            4.0 * f64::from(n),
            DeliveryEvidence::None
        ));
    }
    assert!(report(&mut deaf, 22.5, DeliveryEvidence::NewSession));
    let mut still = DeliveryMonitor::default();
    for n in 0..6 {
        report(&mut still, 4.0 * f64::from(n), DeliveryEvidence::None);
    }
    assert!(
        !report(&mut still, 43.0, DeliveryEvidence::NewSession),
        "silent for a lease"
    );
    // An answer to its very first report came too late for it.
    let mut young = DeliveryMonitor::default();
    report(&mut young, 0.0, DeliveryEvidence::None);
    assert!(!report(&mut young, 5.0, DeliveryEvidence::NewSession));
}

#[test]
fn a_session_that_outlives_a_lease_has_heard() {
    let mut h = DeliveryMonitor::default();
    report(&mut h, 0.0, DeliveryEvidence::None);
    report(&mut h, 4.0, DeliveryEvidence::None);
    assert!(report(&mut h, 8.5, DeliveryEvidence::NewSession));
    // Deaf for another whole session.
    assert!(report(&mut h, 29.0, DeliveryEvidence::None));
    assert!(report(&mut h, 30.5, DeliveryEvidence::NewSession));
    assert_eq!(h.deaf_for(at(30.5)), Some(TimeSpan::secs(22.0)));
    assert!(report(&mut h, 53.0, DeliveryEvidence::None));
    assert!(
        !report(&mut h, 54.0, DeliveryEvidence::None),
        "it must have heard by now"
    );
}

#[test]
fn an_older_token_counts_once_it_was_answered() {
    let mut h = DeliveryMonitor::default();
    assert!(
        !report(&mut h, 0.0, DeliveryEvidence::OlderToken),
        "its first report to us"
    );
    assert!(!report(&mut h, 4.0, DeliveryEvidence::OlderToken));
    assert!(!report(&mut h, 8.0, DeliveryEvidence::OlderToken));
    assert!(report(&mut h, 12.0, DeliveryEvidence::OlderToken));
}

// After a cut that held reports back, a zone's machines all counted as deaf: their old
// reports came at once, each without the start that the answer before it had sent.
#[test]
fn reports_that_were_held_back_say_nothing_of_answers() {
    let mut h = DeliveryMonitor::default();
    report(&mut h, 0.0, DeliveryEvidence::None);
    for n in 0..6 {
        let burst = 40.0 + 0.01 * f64::from(n);
        assert!(!report(&mut h, burst, DeliveryEvidence::Missed), "{n}");
    }
    assert!(!report(&mut h, 40.5, DeliveryEvidence::NewSession));
}
