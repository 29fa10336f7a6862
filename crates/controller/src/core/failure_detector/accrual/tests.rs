use super::*;

fn accrual_after(intervals: impl IntoIterator<Item = f64>) -> (PhiAccrual, f64) {
    let (mut accrual, mut t) = (PhiAccrual::default(), 1.0);
    accrual.record_heartbeat(Time(0) + TimeSpan::secs(t));
    for i in intervals {
        t += i;
        accrual.record_heartbeat(Time(0) + TimeSpan::secs(t));
    }
    (accrual, t)
}

fn phi(accrual: &PhiAccrual, t: f64) -> f64 {
    accrual.phi(Time(0) + TimeSpan::secs(t))
}

// A fixed timeout would be too long where heartbeats are regular, and too short where
// they are irregular.
#[test]
fn phi_adapts_to_interval_spread() {
    let (regular, t) = accrual_after([0.25; 40]);
    assert!(phi(&regular, t + 0.3) < 1.0);
    assert!(phi(&regular, t + 0.7) > 8.0);
    let (ragged, t) = accrual_after((0..40).map(|i| if i % 5 == 0 { 1.4 } else { 0.25 }));
    assert!(phi(&ragged, t + 1.5) < 8.0);
    assert!(phi(&ragged, t + 6.0) > 8.0);
}

#[test]
fn phi_is_zero_with_few_intervals_or_excluded_time() {
    let (young, t) = accrual_after([0.25, 0.25]);
    assert_eq!(phi(&young, t + 60.0), 0.0);
    let (mut accrual, t) = accrual_after([0.25; 40]);
    accrual.exclude_until(Time(0) + TimeSpan::secs(t + 60.0));
    assert!(phi(&accrual, t + 60.3) < 1.0);
}

// Phi must stay finite for any length of silence and any sequence of intervals.
#[test]
fn phi_is_always_finite() {
    let (mut accrual, t) = accrual_after([0.0, 0.0, 1e6, 0.0, 0.25, 3e5]);
    for later in [0.0, 1e-6, 1.0, 1e9] {
        let p = phi(&accrual, t + later);
        assert!((0.0..=MAX_PHI).contains(&p), "{p}");
    }
    accrual.record_heartbeat(Time(0));
    assert!(phi(&accrual, 0.0).is_finite());
}
