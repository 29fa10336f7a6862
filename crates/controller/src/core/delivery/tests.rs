use super::*;

const LEASE: TimeSpan = TimeSpan::millis(22_000);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

/// Reports every four seconds, each answered; true if it counts as deaf by then.
fn report(h: &mut Hearing, secs: f64, sign: Sign) -> bool {
    h.reported(at(secs), LEASE, sign);
    h.answered(at(secs));
    !h.hears()
}

// A machine whose answers were lost was given start after start, each of which
// waited for a lease before it went elsewhere.
#[test]
fn one_that_misses_three_starts_is_deaf_until_it_takes_something() {
    let mut h = Hearing::default();
    assert!(!report(&mut h, 0.0, Sign::Took));
    assert!(
        !report(&mut h, 4.0, Sign::Missed),
        "answers are lost now and then"
    );
    assert!(!report(&mut h, 8.0, Sign::Missed));
    assert!(report(&mut h, 12.0, Sign::Missed));
    assert!(report(&mut h, 16.0, Sign::None));
    assert_eq!(h.deaf_for(at(20.0)), Some(TimeSpan::secs(8.0)));
    assert!(!report(&mut h, 20.0, Sign::Took));
    assert!(!report(&mut h, 24.0, Sign::Missed), "it begins anew");
}

// One that stood still, or was cut off altogether, comes back with a new session
// too; it hears as well as any.
#[test]
fn a_session_that_ends_within_a_lease_of_its_answers_was_deaf() {
    let mut deaf = Hearing::default();
    for n in 0..6 {
        assert!(!report(&mut deaf, 4.0 * f64::from(n), Sign::None));
    }
    assert!(report(&mut deaf, 22.5, Sign::NewSession));
    let mut still = Hearing::default();
    for n in 0..6 {
        report(&mut still, 4.0 * f64::from(n), Sign::None);
    }
    assert!(
        !report(&mut still, 43.0, Sign::NewSession),
        "silent for a lease"
    );
    // An answer to its very first report came too late for it.
    let mut young = Hearing::default();
    report(&mut young, 0.0, Sign::None);
    assert!(!report(&mut young, 5.0, Sign::NewSession));
}

#[test]
fn a_session_that_outlives_a_lease_has_heard() {
    let mut h = Hearing::default();
    report(&mut h, 0.0, Sign::None);
    report(&mut h, 4.0, Sign::None);
    assert!(report(&mut h, 8.5, Sign::NewSession));
    // Deaf for another whole session.
    assert!(report(&mut h, 29.0, Sign::None));
    assert!(report(&mut h, 30.5, Sign::NewSession));
    assert_eq!(h.deaf_for(at(30.5)), Some(TimeSpan::secs(22.0)));
    assert!(report(&mut h, 53.0, Sign::None));
    assert!(
        !report(&mut h, 54.0, Sign::None),
        "it must have heard by now"
    );
}

#[test]
fn an_older_token_counts_once_it_was_answered() {
    let mut h = Hearing::default();
    assert!(
        !report(&mut h, 0.0, Sign::OlderToken),
        "its first report to us"
    );
    assert!(!report(&mut h, 4.0, Sign::OlderToken));
    assert!(!report(&mut h, 8.0, Sign::OlderToken));
    assert!(report(&mut h, 12.0, Sign::OlderToken));
}

// After a cut that held reports back, a zone's machines all counted as deaf: their old
// reports came at once, each without the start that the answer before it had sent.
#[test]
fn reports_that_were_held_back_say_nothing_of_answers() {
    let mut h = Hearing::default();
    report(&mut h, 0.0, Sign::None);
    for n in 0..6 {
        let burst = 40.0 + 0.01 * f64::from(n);
        assert!(!report(&mut h, burst, Sign::Missed), "{n}");
    }
    assert!(!report(&mut h, 40.5, Sign::NewSession));
}
