use super::*;

/// Times in seconds at which a leader transfers leadership within `secs`, with ticks
/// every `gap` seconds.
fn transfer_times(gap: f64, secs: f64) -> Vec<f64> {
    let mut self_health = SelfHealth::default();
    let (mut t, mut transfers) = (0.0, Vec::new());
    while t < secs {
        t += gap;
        if self_health.tick(Time(0) + TimeSpan::secs(t), true) {
            transfers.push(t);
        }
    }
    transfers
}

// A leader without spare processor time kept its lease and did everything late,
// indefinitely. If all controllers are slow, leadership must not flap between them.
#[test]
fn overloaded_leader_transfers_after_growing_tenures() {
    assert_eq!(transfer_times(0.05, 3000.0).len(), 0);
    assert_eq!(transfer_times(0.4, 3000.0).len(), 0);
    let slow = transfer_times(0.8, 3000.0);
    assert!(slow[0] < 45.0, "{slow:?}");
    assert!((4..8).contains(&slow.len()), "{slow:?}");
}

// Users kept polling a leader that was behind, and waited, although its peers had time
// to answer them.
#[test]
fn overload_is_detected_quickly_and_decays_slowly() {
    let mut self_health = SelfHealth::default();
    let mut t = Time(0);
    let mut tick_repeatedly = |gap: f64, times: u32| {
        for _ in 0..times {
            t = t + TimeSpan::secs(gap);
            let _ = self_health.tick(t, true);
        }
        self_health.is_overloaded
    };
    assert!(!tick_repeatedly(0.05, 100));
    assert!(!tick_repeatedly(0.9, 2), "a busy moment is no overload");
    assert!(tick_repeatedly(0.9, 2));
    assert!(tick_repeatedly(0.05, 100), "overload decays slowly");
    assert!(!tick_repeatedly(0.05, 200));
    assert!(!tick_repeatedly(60.0, 1));
}

// A leader with a processor six times slower kept leadership for 18 s, until its lease
// expired. A leader that merely has much work must not transfer as soon.
#[test]
fn slow_processor_transfers_sooner_than_overload() {
    let first_transfer_s = |calibration_us: u64| {
        let mut self_health = SelfHealth {
            calibration_us,
            ..SelfHealth::default()
        };
        self_health.compare_with_peers([60, 0, 50, 45].into_iter());
        let mut times = (1..2000).map(|n| f64::from(n) * 0.8);
        times.find(|t| self_health.tick(Time(0) + TimeSpan::secs(*t), true))
    };
    assert!(first_transfer_s(300).is_some_and(|t| t < 5.0));
    assert!(first_transfer_s(120).is_some_and(|t| t > 30.0));
    assert!(first_transfer_s(0).is_some_and(|t| t > 30.0));
    // Without peers there is no processor to compare with.
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
