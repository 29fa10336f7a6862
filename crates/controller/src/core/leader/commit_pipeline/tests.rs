use super::*;
use crate::core::assignment::Assignment;
use crate::core::failpoints::{SafetyCheck, disable_check};
use crate::core::job_records::{Job, JobOutcome};
use crate::core::leader::{Leader, LeadershipOutcome};
use crate::testing::{leader, submission};
use crate::types::{AgentEpoch, Attempt, WallTime};
use crate::wire::kvstore::Precondition;
use crate::wire::users::JobShape;
use std::rc::Rc;

fn insert_job(leader: &mut Leader, id: &str, tasks: u32) {
    let spec = Rc::new(submission(id, JobShape::Array, tasks));
    let job = Job::new(spec, WallTime(0), Version(7), 1);
    leader.cluster.jobs.insert(id.into(), job);
}

/// Deletes a cancelled job with six chunks at a write rate that allows `room` operations
/// per transaction. Returns, after each transaction, whether the job's submission and
/// whether its outcome is still stored.
fn keys_after_each_deletion(room: usize) -> Vec<(bool, bool)> {
    let mut leader = leader();
    let limits = StoreLimits::new(&leader.cluster.settings);
    insert_job(&mut leader, "wk-1", 1);
    let id = JobId::from("wk-1");
    let job = leader.cluster.jobs.get_mut(&id).unwrap();
    job.outcome = Some(JobOutcome::Cancelled);
    for chunk in 0..6 {
        let stored = job_records::Chunk {
            version: Version(9),
            ..Default::default()
        };
        job.chunks.insert(chunk, stored);
    }
    leader.cluster.unwritten.jobs_to_delete.insert(id.clone());
    let (mut has_outcome, mut has_submission, mut remaining) = (true, true, Vec::new());
    let mut now = Time(0) + TimeSpan::secs(1.0);
    while leader.cluster.jobs.contains_key(&id) {
        let level = leader.writer.write_tokens.level(now);
        leader
            .writer
            .write_tokens
            .try_take(now, level - room as f64);
        let mut parts = leader.writer_parts();
        let Some(BuiltTransaction {
            transaction: txn,
            items,
        }) = parts
            .writer
            .build_transaction(now, &limits, &mut parts.context)
        else {
            break;
        };
        for op in &txn.ops {
            let Operation::Delete { key } = op else {
                continue;
            };
            has_outcome &= *key != job_records::job_outcome_key(&id);
            has_submission &= *key != job_records::submission_key(&id);
        }
        for item in items {
            parts
                .writer
                .apply_committed(&mut parts.context, item, &txn, Version(10));
        }
        remaining.push((has_submission, has_outcome));
        now = now + TimeSpan::millis(1);
    }
    remaining
}

// If a deletion is interrupted after the job's outcome is deleted and before its
// submission is, the cancelled job looks open, and the next leader runs it long after its
// user was told that it was cancelled.
#[test]
fn deletes_submission_before_outcome() {
    let deletes_outcome_first =
        || (4..9).any(|n| keys_after_each_deletion(n).contains(&(true, false)));
    assert!(!deletes_outcome_first());
    for room in 4..9 {
        assert_eq!(keys_after_each_deletion(room).last(), Some(&(false, false)));
    }
    disable_check(&[SafetyCheck::OutcomeOutlivesSubmission]);
    let is_detected = deletes_outcome_first();
    disable_check(&[]);
    assert!(is_detected, "an interrupted deletion must be detected");
}

// Ending and deleting a completed job in separate steps takes five changes, of the ninety
// a second that the store accepts. In one transaction, none of the records may be left
// behind.
#[test]
fn closes_job_without_assignments_in_one_transaction() {
    let close_job = |is_assigned: bool| {
        let mut leader = leader();
        insert_job(&mut leader, "wk-1", 1);
        let id = JobId::from("wk-1");
        let job = leader.cluster.jobs.get_mut(&id).unwrap();
        (job.outcome, job.waiting) = (
            Some(JobOutcome::Done { written: false }),
            Default::default(),
        );
        let stored = job_records::Chunk {
            version: Version(9),
            ..Default::default()
        };
        job.chunks.insert(0, stored);
        if is_assigned {
            let assigned = Assignment::inherited("host-1".into(), AgentEpoch(1), Attempt(1));
            job.assignments.insert(0, assigned);
        }
        leader
            .writer
            .rewriter
            .outdated_chunks
            .insert((id.clone(), 0));
        leader.cluster.unwritten.finished_jobs.insert(id.clone());
        let limits = StoreLimits::new(&leader.cluster.settings);
        let mut parts = leader.writer_parts();
        let built = parts
            .writer
            .build_transaction(Time(1_000_000), &limits, &mut parts.context);
        let BuiltTransaction {
            transaction: txn,
            items,
        } = built.unwrap();
        let keys = txn.ops.iter().map(|op| match op {
            Operation::Put { key, .. } => format!("+{key}"),
            Operation::Delete { key } => format!("-{key}"),
        });
        let keys: Vec<String> = keys.collect();
        let open = Precondition {
            key: job_records::job_header_key(&id),
            version: Version(7),
        };
        assert!(
            txn.conditions.contains(&open),
            "a cancellation may happen concurrently"
        );
        for item in items {
            parts
                .writer
                .apply_committed(&mut parts.context, item, &txn, Version(10));
        }
        let job_remains = leader.cluster.jobs.contains_key(&id);
        assert_eq!(
            leader.writer.rewriter.outdated_chunks.is_empty(),
            !job_remains,
            "outdated chunks of a deleted job must be removed"
        );
        (keys.join(" "), job_remains)
    };
    let (keys, job_remains) = close_job(false);
    assert_eq!(
        (keys.as_str(), job_remains),
        ("+job/wk-1 -r/wk-1/0 -w/j/wk-1", false)
    );
    // One of its tasks may still be on a machine, so the record of the assignment stays.
    let (keys, job_remains) = close_job(true);
    assert_eq!((keys.as_str(), job_remains), ("+job/wk-1 +w/x/wk-1", true));
}

// However late a leader learns of a cancellation, and whatever state of the job it has in
// memory, the key-value store rejects starts of the job. The starts of other jobs are
// retried.
#[test]
fn stores_no_start_of_ended_job() {
    let mut leader = leader();
    for id in ["wk-1", "wk-2"] {
        insert_job(&mut leader, id, 2);
        let job = leader.cluster.jobs.get_mut(&JobId::from(id)).unwrap();
        job.waiting.remove(0);
        let change = job.record_change(leader.cluster.chunk_size, 0);
        let unsent = Assignment {
            change,
            phase: crate::core::assignment::AssignmentPhase::Unsent,
            ..Assignment::inherited("host-1".into(), AgentEpoch(1), Attempt(1))
        };
        job.assignments.insert(0, unsent);
        leader
            .cluster
            .unwritten
            .dirty_chunks
            .mark((id.into(), 0), Time(0), true);
    }
    let mut effects = crate::testing::effects_at(1.0);
    leader.submit_next_transaction(&mut effects);
    let txn = &leader
        .writer
        .pipeline
        .in_flight
        .as_ref()
        .unwrap()
        .transaction;
    for id in ["job/wk-1", "job/wk-2"] {
        let fenced = |c: &Precondition| c.key == id && c.version == Version(7);
        assert!(txn.conditions.iter().any(fenced), "{id} is not compared");
    }
    let refused = TransactionResponse {
        revision: Version(9),
        failed: vec!["job/wk-1".into()],
    };
    let leadership =
        leader.handle_commit_reply(&mut effects, Reply::Answer(409, wire::encode(&refused)));
    assert_eq!(leadership, LeadershipOutcome::Continue);
    let job = |id: &str| &leader.cluster.jobs[&JobId::from(id)];
    assert!(!job("wk-1").is_open() && job("wk-1").assignments.is_empty());
    assert!(job("wk-2").is_open() && job("wk-2").assignments.len() == 1);
    assert!(
        leader
            .cluster
            .unwritten
            .dirty_chunks
            .due(Time(2_000_000), 9)
            .contains(&("wk-2".into(), 0))
    );
}

/// A leader whose commit of its first start lost its answer, after the retry was answered
/// with 409 and these failed keys. Returns the outcome of that answer.
fn leader_after_repeated_commit(failed: &[&str]) -> (Leader, Effects, LeadershipOutcome) {
    let mut leader = leader();
    insert_job(&mut leader, "wk-1", 2);
    let id = JobId::from("wk-1");
    let job = leader.cluster.jobs.get_mut(&id).unwrap();
    job.waiting.remove(0);
    let change = job.record_change(leader.cluster.chunk_size, 0);
    let unsent = Assignment {
        change,
        phase: crate::core::assignment::AssignmentPhase::Unsent,
        ..Assignment::inherited("host-1".into(), AgentEpoch(1), Attempt(1))
    };
    job.assignments.insert(0, unsent);
    leader
        .cluster
        .unwritten
        .dirty_chunks
        .mark((id, 0), Time(0), true);
    let mut effects = crate::testing::effects_at(1.0);
    leader.submit_next_transaction(&mut effects);
    leader.handle_commit_reply(&mut effects, Reply::OutcomeUnknown);
    effects.now.time = effects.now.time + TimeSpan::secs(5.0);
    leader.submit_next_transaction(&mut effects);
    effects.take_outputs();
    let failed = failed.iter().map(|k| (*k).to_string()).collect();
    let revision = Version(30);
    let body = wire::encode(&TransactionResponse { revision, failed });
    let leadership = leader.handle_commit_reply(&mut effects, Reply::Answer(409, body));
    (leader, effects, leadership)
}

// A transaction is committed and only its answer is lost. A leader that cannot tell its
// own write from another writer's change steps down: with one answer in five lost, no
// task was started for minutes. The leader must read the stored record and decide by it.
#[test]
fn repeated_commit_recognizes_its_own_write() {
    let own = "r/wk-1/0";
    let (mut leader, mut effects, leadership) = leader_after_repeated_commit(&[own]);
    assert_eq!(leadership, LeadershipOutcome::Continue);
    let calls = effects.take_outputs();
    let [crate::core::Output::Call(call)] = calls.as_slice() else {
        panic!("{calls:?}")
    };
    assert_eq!((call.method, call.path.as_str()), ("GET", "/keys/r/wk-1/0"));
    let id = JobId::from("wk-1");
    let job = &leader.cluster.jobs[&id];
    let change = job.assignments[&0].change;
    assert!(
        !job.is_stored(leader.cluster.chunk_size, 0, change),
        "nothing may be sent before the outcome is known"
    );
    let txn = leader
        .writer
        .pipeline
        .in_flight
        .clone()
        .unwrap()
        .transaction;
    let (op, value) = txn
        .ops
        .iter()
        .find_map(|op| match op {
            Operation::Put { key, value, .. } if key == own => Some((op.clone(), value.clone())),
            _ => None,
        })
        .unwrap();
    let (key, version) = (own.to_string(), Version(25));
    let entry = Entry {
        key,
        value,
        version,
    };
    let found = Reply::Answer(200, wire::encode(&entry));
    assert_eq!(
        leader.handle_own_write_read(&op, found),
        LeadershipOutcome::Continue
    );
    let job = &leader.cluster.jobs[&id];
    assert!(job.is_stored(leader.cluster.chunk_size, 0, change));
    assert_eq!(
        job.chunks[&0].version,
        Version(25),
        "the next write uses this version as a precondition"
    );
    assert!(leader.writer.pipeline.in_flight.is_none());
}

// A stored record that is not provably the leader's own write makes the leader step down
// and start over from the stored records.
#[test]
fn repeated_commit_steps_down_on_any_other_write() {
    let steps_down = |leadership| matches!(leadership, LeadershipOutcome::StepDown(_));
    let holder = leader().leader_key;
    for failed in [&["job/wk-1"][..], &[holder, "r/wk-1/0"], &[]] {
        assert!(
            steps_down(leader_after_repeated_commit(failed).2),
            "{failed:?}"
        );
    }
    let entry = |value: serde_json::Value, version| Entry {
        key: "r/wk-1/0".into(),
        value,
        version: Version(version),
    };
    let own = |leader: &Leader| {
        let txn = leader
            .writer
            .pipeline
            .in_flight
            .clone()
            .unwrap()
            .transaction;
        let put = txn.ops.into_iter();
        put.filter_map(|op| match op {
            Operation::Put { value, .. } => Some(value),
            Operation::Delete { .. } => None,
        })
        .next()
        .unwrap()
    };
    for case in 0..4 {
        let (mut leader, _, _) = leader_after_repeated_commit(&["r/wk-1/0"]);
        let value = own(&leader);
        let op = leader
            .writer
            .pipeline
            .in_flight
            .as_ref()
            .unwrap()
            .transaction
            .ops[0]
            .clone();
        let reply = match case {
            0 => Reply::Answer(404, Vec::new()),
            1 => Reply::Answer(200, wire::encode(&entry(value, 0))),
            2 => Reply::Answer(200, wire::encode(&entry(serde_json::json!({"a": 1}), 25))),
            _ => Reply::OutcomeUnknown,
        };
        assert!(
            steps_down(leader.handle_own_write_read(&op, reply)),
            "case {case}"
        );
    }
}
