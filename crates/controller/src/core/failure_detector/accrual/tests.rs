use super::*;

fn after(intervals: impl IntoIterator<Item = f64>) -> (Accrual, f64) {
    let (mut a, mut t) = (Accrual::default(), 1.0);
    a.record_heartbeat(Time(0) + TimeSpan::secs(t));
    for i in intervals {
        t += i;
        a.record_heartbeat(Time(0) + TimeSpan::secs(t));
    }
    (a, t)
}

fn phi(a: &Accrual, t: f64) -> f64 {
    a.phi(Time(0) + TimeSpan::secs(t))
}

// One time-out for all would be too long where signs come regularly, and
// too short where they do not.
#[test]
fn phi_adapts_to_interval_spread() {
    let (regular, t) = after([0.25; 40]);
    assert!(phi(&regular, t + 0.3) < 1.0);
    assert!(phi(&regular, t + 0.7) > 8.0);
    let (ragged, t) = after((0..40).map(|i| if i % 5 == 0 { 1.4 } else { 0.25 }));
    assert!(phi(&ragged, t + 1.5) < 8.0);
    assert!(phi(&ragged, t + 6.0) > 8.0);
}

#[test]
fn phi_is_zero_with_few_intervals_or_excluded_time() {
    let (young, t) = after([0.25, 0.25]);
    assert_eq!(phi(&young, t + 60.0), 0.0);
    let (mut a, t) = after([0.25; 40]);
    a.exclude_until(Time(0) + TimeSpan::secs(t + 60.0));
    assert!(phi(&a, t + 60.3) < 1.0);
}

// However long the silence was, and however odd the intervals.
#[test]
fn phi_is_always_finite() {
    let (mut a, t) = after([0.0, 0.0, 1e6, 0.0, 0.25, 3e5]);
    for later in [0.0, 1e-6, 1.0, 1e9] {
        let p = phi(&a, t + later);
        assert!((0.0..=MAX_PHI).contains(&p), "{p}");
    }
    a.record_heartbeat(Time(0));
    assert!(phi(&a, 0.0).is_finite());
}
