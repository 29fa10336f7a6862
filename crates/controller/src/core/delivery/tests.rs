use super::*;

const LEASE: TimeSpan = TimeSpan::millis(22_000);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

/// Records a heartbeat and an answer to it; returns whether answers count as lost.
fn heartbeat(monitor: &mut DeliveryMonitor, secs: f64, evidence: DeliveryEvidence) -> bool {
    monitor.record_heartbeat(at(secs), LEASE, evidence);
    monitor.record_answer(at(secs));
    !monitor.answers_arrive()
}

// A machine whose answers were lost was sent one start command after another, and each of
// those tasks waited for a lease before it was placed elsewhere.
#[test]
fn missed_starts_count_as_lost_until_delivery() {
    let mut monitor = DeliveryMonitor::default();
    assert!(!heartbeat(&mut monitor, 0.0, DeliveryEvidence::Received));
    assert!(
        !heartbeat(&mut monitor, 4.0, DeliveryEvidence::Missed),
        "a single lost answer is no evidence"
    );
    assert!(!heartbeat(&mut monitor, 8.0, DeliveryEvidence::Missed));
    assert!(heartbeat(&mut monitor, 12.0, DeliveryEvidence::Missed));
    assert!(heartbeat(&mut monitor, 16.0, DeliveryEvidence::None));
    assert_eq!(monitor.loss_duration(at(20.0)), Some(TimeSpan::secs(8.0)));
    assert!(!heartbeat(&mut monitor, 20.0, DeliveryEvidence::Received));
    assert!(
        !heartbeat(&mut monitor, 24.0, DeliveryEvidence::Missed),
        "the count of misses restarts"
    );
}

// A machine that was paused, or partitioned in both directions, resumes with a new epoch
// too, although answers arrive there.
#[test]
fn epoch_ending_within_lease_counts_as_lost() {
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
        "no heartbeat for a lease"
    );
    // The answer to the agent's very first heartbeat arrived too late.
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
    // Answers are lost throughout another epoch.
    assert!(heartbeat(&mut monitor, 29.0, DeliveryEvidence::None));
    assert!(heartbeat(&mut monitor, 30.5, DeliveryEvidence::NewEpoch));
    assert_eq!(monitor.loss_duration(at(30.5)), Some(TimeSpan::secs(22.0)));
    assert!(heartbeat(&mut monitor, 53.0, DeliveryEvidence::None));
    assert!(
        !heartbeat(&mut monitor, 54.0, DeliveryEvidence::None),
        "an epoch longer than a lease has received an answer"
    );
}

#[test]
fn older_token_counts_as_missed_once_answered() {
    let mut monitor = DeliveryMonitor::default();
    assert!(
        !heartbeat(&mut monitor, 0.0, DeliveryEvidence::OlderToken),
        "the agent's first heartbeat to this leader"
    );
    assert!(!heartbeat(&mut monitor, 4.0, DeliveryEvidence::OlderToken));
    assert!(!heartbeat(&mut monitor, 8.0, DeliveryEvidence::OlderToken));
    assert!(heartbeat(&mut monitor, 12.0, DeliveryEvidence::OlderToken));
}

// After a partition that held heartbeats back, answers to all machines of a zone counted
// as lost: the old heartbeats arrived in a burst, each without the start command that the
// answer before it had sent.
#[test]
fn delayed_heartbeats_are_not_evidence_of_loss() {
    let mut monitor = DeliveryMonitor::default();
    heartbeat(&mut monitor, 0.0, DeliveryEvidence::None);
    for n in 0..6 {
        let arrival_s = 40.0 + 0.01 * f64::from(n);
        assert!(
            !heartbeat(&mut monitor, arrival_s, DeliveryEvidence::Missed),
            "{n}"
        );
    }
    assert!(!heartbeat(&mut monitor, 40.5, DeliveryEvidence::NewEpoch));
}
