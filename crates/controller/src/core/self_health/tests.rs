use super::*;

/// Times of handing over within `secs`, ticks coming every `gap`.
fn handed_over(gap: f64, secs: f64) -> Vec<f64> {
    let mut self_health = SelfHealth::default();
    let (mut t, mut out) = (0.0, Vec::new());
    while t < secs {
        t += gap;
        if self_health.tick(Time(0) + TimeSpan::secs(t), true) {
            out.push(t);
        }
    }
    out
}

// A holder out of processor time kept its lease and did everything late,
// for as long as it lived. All being slow must not make them flap.
#[test]
fn overloaded_leader_transfers_with_growing_patience() {
    assert_eq!(handed_over(0.05, 3000.0).len(), 0);
    assert_eq!(handed_over(0.4, 3000.0).len(), 0);
    let slow = handed_over(0.8, 3000.0);
    assert!(slow[0] < 45.0, "{slow:?}");
    assert!((4..8).contains(&slow.len()), "{slow:?}");
}

// Users stayed with a leader that was behind, and waited, while others had
// time for them.
#[test]
fn overload_is_detected_quickly_and_decays_slowly() {
    let mut self_health = SelfHealth::default();
    let mut t = Time(0);
    let mut beat = |gap: f64, times: u32| {
        for _ in 0..times {
            t = t + TimeSpan::secs(gap);
            let _ = self_health.tick(t, true);
        }
        self_health.is_overloaded
    };
    assert!(!beat(0.05, 100));
    assert!(!beat(0.9, 2), "a busy moment is none");
    assert!(beat(0.9, 2));
    assert!(beat(0.05, 100), "it lasts a while");
    assert!(!beat(0.05, 200));
    assert!(!beat(60.0, 1));
}

// A leader whose processor was six times slower kept office for 18 s, until
// its lease ran out by itself. One with much to do must not go as soon.
#[test]
fn slow_processor_transfers_sooner_than_overload() {
    let over = |effort_us: u64| {
        let mut self_health = SelfHealth {
            calibration_us: effort_us,
            ..SelfHealth::default()
        };
        self_health.compare_with_peers([60, 0, 50, 45].into_iter());
        let mut times = (1..2000).map(|n| f64::from(n) * 0.8);
        times.find(|t| self_health.tick(Time(0) + TimeSpan::secs(*t), true))
    };
    assert!(over(300).is_some_and(|t| t < 5.0));
    assert!(over(120).is_some_and(|t| t > 30.0));
    assert!(over(0).is_some_and(|t| t > 30.0));
    // Alone it knows no better.
    let mut self_health = SelfHealth {
        calibration_us: 10_000,
        ..SelfHealth::default()
    };
    self_health.compare_with_peers(std::iter::empty());
    assert!(!self_health.is_slow);
}

#[test]
fn single_long_stop_is_ignored() {
    let mut self_health = SelfHealth::default();
    for t in [0.0, 10.0, 70.0, 70.1, 95.0] {
        assert!(!self_health.tick(Time(0) + TimeSpan::secs(t), true));
    }
}
