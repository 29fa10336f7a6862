use super::command_dispatch::ReportedTaskState;
use super::*;
use crate::core::failpoints::{SafetyCheck, disable_check};
use crate::core::format_version::member_versions;
use crate::core::job_records::{self, Job};
use crate::testing::{effects_at, leader};
use crate::types::{Attempt, Team, Version, WallTime};
use crate::wire;
use crate::wire::kvstore::{Entry, EntryPage};
use crate::wire::rate_limit::TokenBucket;
use crate::wire::workers::TaskState;
use std::collections::BTreeSet;

/// Loads a leader from three pages whose reads take `page_s` seconds each. Returns the
/// age in seconds of its last contact after the load, and whether it may answer
/// heartbeats and start tasks then.
fn authority_after_load(page_s: f64) -> (f64, bool, bool) {
    let mut leader = leader();
    let key = |key: &str| Entry {
        key: key.into(),
        value: serde_json::Value::Null,
        version: Version(5),
    };
    let mut t = 0.0;
    for keys in [[member_versions::LEGACY_LEADER_KEY].as_slice(), &[], &[]] {
        let page = EntryPage {
            items: keys.iter().map(|k| key(k)).collect(),
            revision: Version(9),
            more: false,
        };
        let sent = Time(0) + TimeSpan::secs(t);
        t += page_s;
        leader.handle_read_reply(
            &mut effects_at(t),
            sent,
            Reply::Answer(200, wire::encode(&page)),
        );
    }
    assert!(leader.is_loaded());
    let now = Time(0) + TimeSpan::secs(t);
    let (answers, starts) = (
        leader.may_answer_heartbeats(now),
        leader.may_start_tasks(now),
    );
    (leader.authority.age(now).as_secs(), answers, starts)
}

// A leader that counted a slow load as contact at the request of the last page kept
// leases alive for longer than allowed: it knew of cancellations and later leaders only
// up to the first page.
#[test]
fn load_counts_as_contact_from_its_first_page() {
    assert_eq!(authority_after_load(0.1), (0.3, true, true));
    let (age, answers, starts) = authority_after_load(20.0);
    assert!(age > 59.0 && !answers && !starts);
    disable_check(&[SafetyCheck::LoadAgeCountsFromFirstRead]);
    let (_, answers, _) = authority_after_load(20.0);
    disable_check(&[]);
    assert!(answers, "a load that takes too long must be detected");
}

/// A leader that has loaded a job of three tasks and this progress record of its first
/// chunk.
fn leader_with_record(stored: serde_json::Value) -> Leader {
    let mut leader = leader();
    let spec = crate::testing::submission("wk-1", wire::users::JobShape::Array, 3);
    let job = Job::new(Rc::new(spec), WallTime(0), Version(7), 1);
    leader.cluster.jobs.insert("wk-1".into(), job);
    let submitted = BTreeSet::from([JobId::from("wk-1")]);
    let record = Entry {
        key: job_records::chunk_key(&"wk-1".into(), 0),
        value: stored,
        version: Version(8),
    };
    leader
        .record_parts()
        .context
        .load_progress_records(Time(0), &submitted, vec![record]);
    leader
}

// A leader that treated an unreadable record as empty stopped running tasks, ran them a
// second time on other machines, and overwrote the record.
#[test]
fn neither_stops_nor_writes_job_with_unreadable_record() {
    let unknown_format = serde_json::json!({"n": 1, "m": [], "later": true});
    let load_and_act = |stored: serde_json::Value| {
        let mut leader = leader_with_record(stored);
        let id = MachineId::from("host-1");
        let m = leader
            .cluster
            .register_machine(Time(0), &id, &leader.autoscaler.intents);
        (m.has_current_token, m.epoch) = (true, crate::types::AgentEpoch(1));
        let task = ReportedTaskState {
            name: "wk-1/1".into(),
            attempt: Attempt(1),
            state: TaskState::Running,
            exit_reason: None,
        };
        leader
            .commands
            .reported_tasks
            .insert(id.clone(), vec![task]);
        let (cluster, authority) = (&mut leader.cluster, &leader.authority);
        let commands = leader
            .commands
            .commands_for(Time(0), cluster, authority, &id);
        let sends_commands = !commands.is_empty();
        leader
            .cluster
            .unwritten
            .dirty_chunks
            .mark(("wk-1".into(), 0), Time(0), true);
        let mut effects = effects_at(1.0);
        leader.submit_next_transaction(&mut effects);
        let used = leader.cluster.team_use()[&Team::from("red")].used.gpus;
        (
            sends_commands,
            leader.writer.pipeline.in_flight.is_some(),
            used,
        )
    };
    assert_eq!(load_and_act(unknown_format.clone()), (false, false, 3.0));
    disable_check(&[SafetyCheck::UnreadableJobIsNotWritten]);
    let without_check = load_and_act(unknown_format);
    disable_check(&[]);
    assert_eq!(without_check, (true, true, 0.0));
    let readable = serde_json::json!({"n": 1, "m": [["host-1", 1, 0, [0]]]});
    assert_eq!(load_and_act(readable), (true, true, 1.0));
}

// A leader that accepted a record with impossible values lost track: an assignment of a
// task that the job does not have used resources for ever, and a result beyond the job's
// last task was dropped.
#[test]
fn rejects_record_with_impossible_values() {
    let record = |n: u64, d: serde_json::Value, p: serde_json::Value| {
        let stored = serde_json::json!({"n": n, "d": d, "p": p});
        leader_with_record(stored).cluster.jobs[&JobId::from("wk-1")].unreadable
    };
    let (no_entries, one_assignment) = (
        serde_json::json!([]),
        serde_json::json!([[0, 1, "host-1", 1]]),
    );
    assert!(!record(1, no_entries.clone(), one_assignment.clone()));
    assert!(
        record(0, no_entries.clone(), one_assignment),
        "its attempt was never assigned"
    );
    for invalid in [
        serde_json::json!([[3, 1, "host-1", 1]]),
        serde_json::json!([[0, 0, "host-1", 1]]),
        serde_json::json!([[0, 1, "host-1", 0]]),
    ] {
        assert!(record(1, no_entries.clone(), invalid.clone()), "{invalid}");
    }
    assert!(record(1, serde_json::json!([[2, 9]]), no_entries));
}

// While the key-value store accepts few changes a second, rewriting records in a newer
// format must not delay starts. All records must be rewritten in the end.
#[test]
fn rewrites_outdated_records_within_rate_limit() {
    let old = serde_json::json!({"n": 1, "d": [], "p": [[0, 1, "host-1", 1]]});
    let mut leader = leader_with_record(old);
    let written = |leader: &mut Leader, secs: f64| {
        let mut effects = effects_at(secs);
        leader.queue_outdated_chunks(effects.now.time);
        leader.submit_next_transaction(&mut effects);
        leader.writer.pipeline.in_flight.is_some()
    };
    assert!(
        !written(&mut leader, 1.0),
        "the format version in force does not include the new format"
    );
    assert!(leader.is_rewritten());
    leader.format_version = WITH_HISTORY;
    assert!(!leader.is_rewritten());
    let level = leader.writer.write_tokens.level(Time(2_000_000));
    leader.writer.write_tokens.try_take(Time(2_000_000), level);
    assert!(!written(&mut leader, 2.0), "the write rate is in use");
    leader.writer.write_tokens = TokenBucket::new(50.0, 50.0);
    assert!(
        !written(&mut leader, 3.0),
        "a change that is not urgent is written after a delay"
    );
    assert!(written(&mut leader, 4.5));
    let answer = wire::kvstore::TransactionResponse {
        revision: Version(9),
        failed: Vec::new(),
    };
    leader.handle_commit_reply(
        &mut effects_at(4.6),
        Reply::Answer(200, wire::encode(&answer)),
    );
    assert!(leader.is_rewritten());
}
