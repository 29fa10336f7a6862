use super::*;
use crate::core::failpoints::disable_check;

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

fn times(lease_s: f64, cancel_s: f64) -> WorkerTimes {
    let any = TimeSpan::secs(1.0);
    WorkerTimes {
        report: any,
        lease: TimeSpan::secs(lease_s),
        gang_wait: any,
        gang_peer: any,
        cancel: TimeSpan::secs(cancel_s),
    }
}

/// Of a leader whose load was asked for at second 0 and read by second 1.
fn loaded() -> LeaderAuthority {
    let mut c = LeaderAuthority::new(Bounds::new(&times(10.0, 40.0)), at(0.0));
    c.page(at(0.0));
    c.loaded(at(1.0));
    c
}

#[test]
fn the_bound_ends_all_that_ran_in_time() {
    for (lease, cancel) in [(10.0, 40.0), (44.0, 69.0), (22.0, 52.0), (22.0, 25.0)] {
        let b = Bounds::new(&times(lease, cancel));
        assert_eq!(b.over(), TimeSpan::ZERO, "{lease} {cancel}");
        let gone = b.hold().as_secs() + lease * 1.0005;
        assert!(gone < cancel - 1.5, "{lease} {cancel}: {gone}");
        // An answer to a read that is held for its longest is still in time.
        assert!(b.watch() < b.hold().scaled(0.5) && b.watch() >= TimeSpan::millis(100));
        // What an older leader kept alive is gone before it is presumed to be.
        assert!(b.inherited().as_secs() > gone + 1.5);
    }
}

// With H of a second and a watch held for one, contact was never young enough:
// every lease ran out with the state service well.
#[test]
fn a_short_h_shortens_the_watch() {
    let b = Bounds::new(&times(22.0, 25.0));
    assert!(b.hold() < TimeSpan::secs(1.0) && b.over() == TimeSpan::ZERO);
    let mut c = LeaderAuthority::new(b, at(0.0));
    c.page(at(0.0));
    c.loaded(at(0.0));
    let late = TimeSpan::millis(300);
    for _ in 0..20 {
        let sent = c.shown() + late;
        let answered = sent + c.watch(sent) + late;
        assert!(c.may_answer(answered), "{:?}", c.age(answered));
        c.showed(sent);
    }
}

// Settings that leave no time: what is promised then is said, not hidden.
#[test]
fn settings_without_h_say_by_how_much_the_rule_may_break() {
    for cancel in [10.0, 20.0, 24.4] {
        let b = Bounds::new(&times(22.0, cancel));
        let over = b.over().as_secs();
        assert!(over > 0.0 && over + cancel < 22.0 * 1.001 + 3.6, "{over}");
        assert!(b.watch() <= TimeSpan::millis(500) && b.hold() == TimeSpan::millis(1500));
    }
}

#[test]
fn only_a_read_that_was_taken_in_is_contact() {
    let mut c = LeaderAuthority::new(Bounds::new(&times(10.0, 40.0)), at(0.0));
    assert!(!c.may_answer(at(0.1)) && !c.may_start(at(0.1)));
    c.page(at(0.0));
    c.page(at(30.0));
    // Neither a page nor, before the load is over, a read of changes.
    c.showed(at(30.0));
    assert!(!c.may_answer(at(30.0)));
    c.loaded(at(60.0));
    assert_eq!(c.shown(), at(0.0), "as old as the first page");
    assert!(!c.may_answer(at(60.0)));
    c.showed(at(60.5));
    assert!(c.may_answer(at(60.6)));
    // Answers come in any order.
    c.showed(at(59.0));
    assert_eq!(c.shown(), at(60.5));
}

#[test]
fn each_bound_is_needed() {
    let hold = Bounds::new(&times(10.0, 40.0)).hold();
    let c = loaded();
    let late = c.shown() + hold;
    assert!(c.may_answer(late - TimeSpan(1)) && !c.may_answer(late));
    disable_check(&[SafetyCheck::BoundedHold]);
    let unbounded = c.may_answer(late);
    disable_check(&[]);
    assert!(unbounded, "the decision was not missed");
    assert!(c.may_start(at(3.9)) && !c.may_start(at(4.1)));
    // Without contact changes are wanted at once.
    assert_eq!(c.watch(at(1.0)), TimeSpan::millis(1000));
    assert_eq!(c.watch(at(5.0)), TimeSpan::ZERO);
}

// A peer's word stops a job's tasks; were it taken for proof, or never looked at
// again, a word that is wrong would lose the job.
#[test]
fn a_peers_word_is_help_until_a_read_shows_more() {
    let mut c = loaded();
    let id = JobId::from("wk-1");
    assert!(c.told(at(2.0), &id) && c.is_told(&id));
    assert!(!c.told(at(3.0), &id), "told again");
    assert_eq!(c.shown(), at(0.0), "it is no contact");
    c.showed(at(2.0));
    assert!(c.refuted().is_empty(), "sent no later than it was told");
    c.showed(at(2.1));
    assert_eq!(c.refuted(), ["wk-1".into()]);
    assert!(!c.is_told(&id));
    for n in 0..2 * MOST_TOLD {
        c.told(at(5.0), &format!("wk-{n}").as_str().into());
    }
    assert_eq!(c.reported_cancelled.len(), MOST_TOLD);
}
