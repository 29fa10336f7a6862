use super::*;
use crate::core::failpoints::disable_check;

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

fn times(lease_s: f64, cancel_s: f64) -> WorkerTimes {
    let unrelated = TimeSpan::secs(1.0);
    WorkerTimes {
        report: unrelated,
        lease: TimeSpan::secs(lease_s),
        gang_wait: unrelated,
        gang_peer: unrelated,
        cancel: TimeSpan::secs(cancel_s),
    }
}

/// The authority of a leader whose load was requested at second 0 and read by second 1.
fn loaded() -> LeaderAuthority {
    let mut authority = LeaderAuthority::new(AuthorityBounds::new(&times(10.0, 40.0)), at(0.0));
    authority.record_load_page(at(0.0));
    authority.record_load_complete(at(1.0));
    authority
}

#[test]
fn bounds_end_cancelled_tasks_in_time() {
    for (lease, cancel) in [(10.0, 40.0), (44.0, 69.0), (22.0, 52.0), (22.0, 25.0)] {
        let bounds = AuthorityBounds::new(&times(lease, cancel));
        assert_eq!(bounds.cancel_overrun(), TimeSpan::ZERO, "{lease} {cancel}");
        let tasks_ended_s = bounds.hold().as_secs() + lease * 1.0005;
        assert!(
            tasks_ended_s < cancel - 1.5,
            "{lease} {cancel}: {tasks_ended_s}"
        );
        // The answer to a read that is held open for the maximum time is still in time.
        assert!(
            bounds.max_watch_hold() < bounds.hold().scaled(0.5)
                && bounds.max_watch_hold() >= TimeSpan::millis(100)
        );
        // Tasks that an earlier leader kept alive have ended before they are presumed
        // to have ended.
        assert!(bounds.earlier_leader_window().as_secs() > tasks_ended_s + 1.5);
    }
}

// With H of one second and a watch held for one second, contact was never recent
// enough: every lease expired although the key-value store was healthy.
#[test]
fn short_hold_shortens_watch() {
    let bounds = AuthorityBounds::new(&times(22.0, 25.0));
    assert!(bounds.hold() < TimeSpan::secs(1.0) && bounds.cancel_overrun() == TimeSpan::ZERO);
    let mut authority = LeaderAuthority::new(bounds, at(0.0));
    authority.record_load_page(at(0.0));
    authority.record_load_complete(at(0.0));
    let late = TimeSpan::millis(300);
    for _ in 0..20 {
        let sent = authority.last_contact() + late;
        let answered = sent + authority.next_watch_hold(sent) + late;
        assert!(
            authority.may_answer_heartbeats(answered),
            "{:?}",
            authority.age(answered)
        );
        authority.record_read(sent);
    }
}

// For settings that leave no time, the bounds report by how much `cancel` is exceeded.
#[test]
fn reports_overrun_when_cancel_is_too_short() {
    for cancel in [10.0, 20.0, 24.4] {
        let bounds = AuthorityBounds::new(&times(22.0, cancel));
        let overrun = bounds.cancel_overrun().as_secs();
        assert!(
            overrun > 0.0 && overrun + cancel < 22.0 * 1.001 + 3.6,
            "{overrun}"
        );
        assert!(
            bounds.max_watch_hold() <= TimeSpan::millis(500)
                && bounds.hold() == TimeSpan::millis(1500)
        );
    }
}

#[test]
fn only_processed_reads_count_as_contact() {
    let mut authority = LeaderAuthority::new(AuthorityBounds::new(&times(10.0, 40.0)), at(0.0));
    assert!(!authority.may_answer_heartbeats(at(0.1)) && !authority.may_start_tasks(at(0.1)));
    authority.record_load_page(at(0.0));
    authority.record_load_page(at(30.0));
    // Neither a page nor, before the load is complete, a read of changes counts.
    authority.record_read(at(30.0));
    assert!(!authority.may_answer_heartbeats(at(30.0)));
    authority.record_load_complete(at(60.0));
    assert_eq!(
        authority.last_contact(),
        at(0.0),
        "contact is as old as the first page"
    );
    assert!(!authority.may_answer_heartbeats(at(60.0)));
    authority.record_read(at(60.5));
    assert!(authority.may_answer_heartbeats(at(60.6)));
    // Answers arrive in any order.
    authority.record_read(at(59.0));
    assert_eq!(authority.last_contact(), at(60.5));
}

#[test]
fn refuses_answers_and_starts_after_their_bounds() {
    let hold = AuthorityBounds::new(&times(10.0, 40.0)).hold();
    let authority = loaded();
    let late = authority.last_contact() + hold;
    assert!(
        authority.may_answer_heartbeats(late - TimeSpan(1))
            && !authority.may_answer_heartbeats(late)
    );
    disable_check(&[SafetyCheck::BoundedHold]);
    let unbounded = authority.may_answer_heartbeats(late);
    disable_check(&[]);
    assert!(unbounded, "disabling the check made no difference");
    assert!(authority.may_start_tasks(at(3.9)) && !authority.may_start_tasks(at(4.1)));
    // Without recent contact the read of changes must return immediately.
    assert_eq!(authority.next_watch_hold(at(1.0)), TimeSpan::millis(1000));
    assert_eq!(authority.next_watch_hold(at(5.0)), TimeSpan::ZERO);
}

// A peer's report stops a job's tasks. If the report counted as proof, or were never
// checked against the store, a wrong report would lose the job.
#[test]
fn peer_report_stops_tasks_until_next_read() {
    let mut authority = loaded();
    let id = JobId::from("wk-1");
    assert!(
        authority.record_peer_cancellation(at(2.0), &id) && authority.is_reported_cancelled(&id)
    );
    assert!(
        !authority.record_peer_cancellation(at(3.0), &id),
        "a repeated report is not new"
    );
    assert_eq!(authority.last_contact(), at(0.0), "a report is no contact");
    authority.record_read(at(2.0));
    assert!(
        authority.take_outdated_reports().is_empty(),
        "the read was not sent after the report"
    );
    authority.record_read(at(2.1));
    assert_eq!(authority.take_outdated_reports(), ["wk-1".into()]);
    assert!(!authority.is_reported_cancelled(&id));
    for n in 0..2 * MAX_REPORTED_CANCELLATIONS {
        authority.record_peer_cancellation(at(5.0), &format!("wk-{n}").as_str().into());
    }
    assert_eq!(
        authority.reported_cancelled.len(),
        MAX_REPORTED_CANCELLATIONS
    );
}
