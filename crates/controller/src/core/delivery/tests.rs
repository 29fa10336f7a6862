use super::*;

const LEASE: TimeSpan = TimeSpan::millis(22_000);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

/// A heartbeat that is answered; true if answers count as lost by then.
fn heartbeat(monitor: &mut DeliveryMonitor, secs: f64, evidence: DeliveryEvidence) -> bool {
    monitor.record_heartbeat(at(secs), LEASE, evidence);
    monitor.record_answer(at(secs));
    !monitor.answers_arrive()
}

// A machine whose answers were lost was sent start after start, each of which
// waited for a lease before it went elsewhere.
#[test]
fn three_missed_starts_count_as_lost_until_one_arrives() {
    let mut monitor = DeliveryMonitor::default();
    assert!(!heartbeat(&mut monitor, 0.0, DeliveryEvidence::Received));
    assert!(
        !heartbeat(&mut monitor, 4.0, DeliveryEvidence::Missed),
        "answers are lost now and then"
    );
    assert!(!heartbeat(&mut monitor, 8.0, DeliveryEvidence::Missed));
    assert!(heartbeat(&mut monitor, 12.0, DeliveryEvidence::Missed));
    assert!(heartbeat(&mut monitor, 16.0, DeliveryEvidence::None));
    assert_eq!(monitor.loss_duration(at(20.0)), Some(TimeSpan::secs(8.0)));
    assert!(!heartbeat(&mut monitor, 20.0, DeliveryEvidence::Received));
    assert!(
        !heartbeat(&mut monitor, 24.0, DeliveryEvidence::Missed),
        "it begins anew"
    );
}

// A machine that was paused, or partitioned altogether, comes back with a new epoch
// too; answers arrive there as well as anywhere.
#[test]
fn epoch_ending_within_lease_of_answers_counts_as_lost() {
    let mut lost = DeliveryMonitor::default();
    for n in 0..6 {
        assert!(!heartbeat(
            &mut lost,
            4.0 * f64::from(n),
            DeliveryEvidence::None
        ));
    }
    assert!(heartbeat(&mut lost, 22.5, DeliveryEvidence::NewEpoch));
    let mut silent = DeliveryMonitor::default();
    for n in 0..6 {
        heartbeat(&mut silent, 4.0 * f64::from(n), DeliveryEvidence::None);
    }
    assert!(
        !heartbeat(&mut silent, 43.0, DeliveryEvidence::NewEpoch),
        "silent for a lease"
    );
    // The answer to its very first heartbeat came too late for it.
    let mut new = DeliveryMonitor::default();
    heartbeat(&mut new, 0.0, DeliveryEvidence::None);
    assert!(!heartbeat(&mut new, 5.0, DeliveryEvidence::NewEpoch));
}

#[test]
fn epoch_outliving_lease_counts_as_delivered() {
    let mut monitor = DeliveryMonitor::default();
    heartbeat(&mut monitor, 0.0, DeliveryEvidence::None);
    heartbeat(&mut monitor, 4.0, DeliveryEvidence::None);
    assert!(heartbeat(&mut monitor, 8.5, DeliveryEvidence::NewEpoch));
    // Answers are lost for another whole epoch.
    assert!(heartbeat(&mut monitor, 29.0, DeliveryEvidence::None));
    assert!(heartbeat(&mut monitor, 30.5, DeliveryEvidence::NewEpoch));
    assert_eq!(monitor.loss_duration(at(30.5)), Some(TimeSpan::secs(22.0)));
    assert!(heartbeat(&mut monitor, 53.0, DeliveryEvidence::None));
    assert!(
        !heartbeat(&mut monitor, 54.0, DeliveryEvidence::None),
        "it must have received one by now"
    );
}

#[test]
fn older_token_counts_as_missed_once_answered() {
    let mut monitor = DeliveryMonitor::default();
    assert!(
        !heartbeat(&mut monitor, 0.0, DeliveryEvidence::OlderToken),
        "its first heartbeat to us"
    );
    assert!(!heartbeat(&mut monitor, 4.0, DeliveryEvidence::OlderToken));
    assert!(!heartbeat(&mut monitor, 8.0, DeliveryEvidence::OlderToken));
    assert!(heartbeat(&mut monitor, 12.0, DeliveryEvidence::OlderToken));
}

// After a partition that held heartbeats back, answers to all of a zone's machines
// counted as lost: their old heartbeats came at once, each without the start that the
// answer before it had sent.
#[test]
fn held_back_heartbeats_are_no_evidence() {
    let mut monitor = DeliveryMonitor::default();
    heartbeat(&mut monitor, 0.0, DeliveryEvidence::None);
    for n in 0..6 {
        let burst = 40.0 + 0.01 * f64::from(n);
        assert!(
            !heartbeat(&mut monitor, burst, DeliveryEvidence::Missed),
            "{n}"
        );
    }
    assert!(!heartbeat(&mut monitor, 40.5, DeliveryEvidence::NewEpoch));
}
