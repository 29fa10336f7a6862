use super::*;
use crate::core::leader::Leader;
use crate::core::ledger::{End, Job};
use crate::core::presence::Placement;
use crate::core::weak::{Decision, weaken};
use crate::testing::{leader, submission};
use crate::types::{Attempt, Session, Wall};
use crate::wire::state::Condition;
use crate::wire::users::Shape;
use std::rc::Rc;

fn with_job(leader: &mut Leader, id: &str, tasks: u32) {
    let spec = Rc::new(submission(id, Shape::Array, tasks));
    let job = Job::new(spec, Wall(0), Version(7), 1);
    leader.jobs.insert(id.into(), job);
}

/// What a cancelled job's deletion leaves behind after each transaction,
/// where the state service's rate cuts them short.
fn left_after_each(room: usize) -> Vec<(bool, bool)> {
    let mut leader = leader();
    with_job(&mut leader, "wk-1", 1);
    let id = JobId::from("wk-1");
    let job = leader.jobs.get_mut(&id).unwrap();
    job.end = Some(End::Cancelled);
    for chunk in 0..6 {
        let stored = ledger::Chunk {
            version: Version(9),
            ..Default::default()
        };
        job.chunks.insert(chunk, stored);
    }
    leader.dropping.insert(id.clone());
    let (mut end, mut submitted, mut left) = (true, true, Vec::new());
    let mut now = Time(0) + Span::secs(1.0);
    while leader.jobs.contains_key(&id) {
        let level = leader.writes.level(now);
        leader.writes.take(now, level - room as f64);
        let Some((txn, items)) = leader.gather(now) else {
            break;
        };
        for op in &txn.ops {
            let Op::Delete { key } = op else { continue };
            end &= *key != ledger::end_key(&id);
            submitted &= *key != ledger::job_key(&id);
        }
        for item in items {
            leader.committed(item, &txn, Version(10));
        }
        left.push((submitted, end));
        now = now + Span::millis(1);
    }
    left
}

// A deletion cut short between a job's end and its submission left a
// cancelled job looking open: the next leader ran it, long after its user
// had been told that it was cancelled.
#[test]
fn a_submission_never_outlives_its_end() {
    let torn = || (4..9).any(|n| left_after_each(n).contains(&(true, false)));
    assert!(!torn());
    for room in 4..9 {
        assert_eq!(left_after_each(room).last(), Some(&(false, false)));
    }
    weaken(&[Decision::EndOutlivesSubmission]);
    let caught = torn();
    weaken(&[]);
    assert!(caught, "a deletion cut short was not missed");
}

// A job that was done took five changes to end and go, of the ninety a second
// that there are; a part of one must never be left.
#[test]
fn a_job_that_is_nowhere_ends_and_goes_in_one_transaction() {
    let ended = |place: bool| {
        let mut leader = leader();
        with_job(&mut leader, "wk-1", 1);
        let id = JobId::from("wk-1");
        let job = leader.jobs.get_mut(&id).unwrap();
        (job.end, job.waiting) = (Some(End::Done { written: false }), Default::default());
        let stored = ledger::Chunk {
            version: Version(9),
            ..Default::default()
        };
        job.chunks.insert(0, stored);
        if place {
            let here = Placement::inherited("host-1".into(), Session(1), Attempt(1));
            job.places.insert(0, here);
        }
        leader.older.insert((id.clone(), 0));
        leader.finishing.insert(id.clone());
        let (txn, items) = leader.gather(Time(1_000_000)).unwrap();
        let keys = txn.ops.iter().map(|op| match op {
            Op::Put { key, .. } => format!("+{key}"),
            Op::Delete { key } => format!("-{key}"),
        });
        let keys: Vec<String> = keys.collect();
        let open = Condition {
            key: ledger::head_key(&id),
            version: Version(7),
        };
        assert!(txn.conditions.contains(&open), "a cancellation may race");
        for item in items {
            leader.committed(item, &txn, Version(10));
        }
        let left = leader.jobs.contains_key(&id);
        assert_eq!(leader.older.is_empty(), !left, "notes of it pile up");
        (keys.join(" "), left)
    };
    let (keys, left) = ended(false);
    assert_eq!(
        (keys.as_str(), left),
        ("+job/wk-1 -r/wk-1/0 -w/j/wk-1", false)
    );
    // One of its tasks may still be somewhere: what says so stays.
    let (keys, left) = ended(true);
    assert_eq!((keys.as_str(), left), ("+job/wk-1 +w/x/wk-1", true));
}

// However late a leader hears of a cancellation, and whatever it believes
// of a job, the state service refuses its starts; all else goes on.
#[test]
fn no_start_is_stored_once_a_job_is_over() {
    let mut leader = leader();
    for id in ["wk-1", "wk-2"] {
        with_job(&mut leader, id, 2);
        let job = leader.jobs.get_mut(&JobId::from(id)).unwrap();
        job.waiting.remove(0);
        let change = job.touch(leader.chunk_size, 0);
        let place = Placement {
            change,
            phase: crate::core::presence::Phase::Unsent,
            ..Placement::inherited("host-1".into(), Session(1), Attempt(1))
        };
        job.places.insert(0, place);
        leader.dirty.note((id.into(), 0), Time(0), true);
    }
    let mut io = crate::testing::io_at(1.0);
    leader.pump(&mut io);
    let (txn, _) = leader.lane.flight.as_ref().unwrap();
    for id in ["job/wk-1", "job/wk-2"] {
        let fenced = |c: &Condition| c.key == id && c.version == Version(7);
        assert!(txn.conditions.iter().any(fenced), "{id} is not compared");
    }
    let refused = Revision {
        revision: Version(9),
        failed: vec!["job/wk-1".into()],
    };
    let fate = leader.on_commit(&mut io, Reply::Answer(409, wire::encode(&refused)));
    assert_eq!(fate, Fate::Stay);
    let job = |id: &str| &leader.jobs[&JobId::from(id)];
    assert!(!job("wk-1").is_open() && job("wk-1").places.is_empty());
    assert!(job("wk-2").is_open() && job("wk-2").places.len() == 1);
    assert!(
        leader
            .dirty
            .due(Time(2_000_000), 9)
            .contains(&("wk-2".into(), 0))
    );
}
