use super::*;

fn at(seconds: u64) -> Time {
    Time(seconds * 1_000_000)
}

fn job(number: u32) -> JobId {
    JobId::from(format!("wk-{number}"))
}

/// A circuit that two jobs opened at second 1.
fn open_circuit() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    for number in [1, 2] {
        breaker.record_failure(at(1), &job(number));
    }
    assert!(breaker.open_if_due(at(1), |_| true));
    breaker
}

#[test]
fn opens_only_for_recent_failures_of_several_jobs() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(at(1), &job(1));
    breaker.record_failure(at(2), &job(1));
    assert!(!breaker.open_if_due(at(2), |_| true), "one job");
    breaker.record_failure(at(602), &job(2));
    assert!(!breaker.open_if_due(at(602), |_| true), "too far apart");
    breaker.record_failure(at(603), &job(3));
    assert!(
        !breaker.open_if_due(at(603), |id| *id != job(3)),
        "one counts"
    );
    assert!(breaker.open_if_due(at(603), |_| true));
    assert!(!breaker.accepts_tasks(at(604)));
}

// A machine must not stay without work once the jobs that failed on it were cancelled.
#[test]
fn closes_when_failures_no_longer_count() {
    let mut breaker = open_circuit();
    assert!(!breaker.close_if_refuted(|_| true));
    breaker.withdraw(&job(1));
    assert!(breaker.close_if_refuted(|_| true));
    assert!(breaker.accepts_tasks(at(2)) && breaker.trial_slot(at(2)).is_none());
}

#[test]
fn admits_one_job_at_a_time_after_the_pause() {
    let mut breaker = open_circuit();
    breaker.begin_trial(&job(3));
    breaker.record_failure(at(70), &job(3));
    assert!(!breaker.accepts_tasks(at(129)));
    let slot = breaker.trial_slot(at(131)).unwrap();
    assert!(
        breaker.accepts_tasks(at(131)),
        "for jobs without another machine"
    );
    assert!(slot.admits(&job(4), true) && !slot.admits(&job(4), false));
    assert!(breaker.trial_slot(at(191)).unwrap().admits(&job(4), false));
    breaker.begin_trial(&job(4));
    let slot = breaker.trial_slot(at(191)).unwrap();
    assert!(slot.admits(&job(4), false) && !slot.admits(&job(5), true));
}

// A machine that is really faulty must not draw all work again.
#[test]
fn each_failed_trial_doubles_the_pause() {
    let mut breaker = open_circuit();
    let mut pauses = Vec::new();
    for number in 3..10 {
        pauses.push(breaker.remaining_pause(at(1)).unwrap().as_secs());
        breaker.begin_trial(&job(number));
        assert!(breaker.record_failure(at(1), &job(number)));
        assert!(!breaker.record_failure(at(1), &job(number)), "one trial");
    }
    assert_eq!(pauses, [60.0, 120.0, 240.0, 480.0, 960.0, 1920.0, 1920.0]);
}

#[test]
fn successful_trial_closes_and_next_opening_pauses_longer() {
    let mut breaker = open_circuit();
    breaker.begin_trial(&job(3));
    assert!(
        !breaker.record_success(&job(4)),
        "a task from before the failures"
    );
    assert!(!breaker.record_trial_run(TimeSpan::secs(29.0)));
    assert!(breaker.record_trial_run(TimeSpan::secs(30.0)) && !breaker.is_open());
    for number in [5, 6] {
        breaker.record_failure(at(100), &job(number));
    }
    assert!(breaker.open_if_due(at(100), |_| true));
    assert_eq!(
        breaker.remaining_pause(at(100)),
        Some(TimeSpan::secs(120.0))
    );
}

#[test]
fn successor_continues_the_circuit() {
    let mut breaker = open_circuit();
    breaker.begin_trial(&job(3));
    breaker.record_failure(at(10), &job(3));
    let state = breaker.state(at(20)).unwrap();
    // The successor's process has just started.
    let mut successor = CircuitBreaker::inherited(at(1), state);
    assert_eq!(
        successor.remaining_pause(at(1)),
        Some(TimeSpan::secs(110.0))
    );
    successor.withdraw(&job(1));
    assert!(
        !successor.close_if_refuted(|_| true),
        "two jobs still count"
    );
    successor.withdraw(&job(2));
    assert!(successor.close_if_refuted(|_| true));
}

// A drained machine of an earlier build has no record of the jobs that failed there.
#[test]
fn inherited_circuit_without_jobs_ends_with_a_trial() {
    let state = CircuitState {
        openings: 1,
        ..CircuitState::default()
    };
    let mut successor = CircuitBreaker::inherited(at(1000), state);
    assert!(!successor.close_if_refuted(|_| true));
    assert!(!successor.accepts_tasks(at(1059)) && successor.accepts_tasks(at(1061)));
    successor.begin_trial(&job(9));
    assert!(successor.record_success(&job(9)) && !successor.is_open());
}
