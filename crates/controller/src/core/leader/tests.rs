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

/// How old its contact is when a leader has loaded, where the pages of the
/// load took so many seconds each, and what it may do then.
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
    let (answers, starts) = (leader.may_answer(now), leader.may_start(now));
    (leader.authority.age(now).as_secs(), answers, starts)
}

// A slow load once counted as contact when its last page was asked for,
// though what it knew of cancellations, and of later leaders, was as old as
// the first: leases were kept alive for that much longer than allowed.
#[test]
fn load_counts_as_contact_from_its_first_page() {
    assert_eq!(authority_after_load(0.1), (0.3, true, true));
    let (age, answers, starts) = authority_after_load(20.0);
    assert!(age > 59.0 && !answers && !starts);
    disable_check(&[SafetyCheck::LoadIsAsOldAsItsFirstRead]);
    let (_, answers, _) = authority_after_load(20.0);
    disable_check(&[]);
    assert!(answers, "a load that dragged on was not missed");
}

/// A leader with a job of three tasks, one of its records this one.
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
        .records()
        .context
        .load_progress_records(Time(0), &submitted, vec![record]);
    leader
}

// A record that could not be read was taken for an empty one: tasks that ran
// were halted, run a second time elsewhere, and their record written over.
#[test]
fn leaves_job_with_unreadable_record_alone() {
    let future = serde_json::json!({"n": 1, "m": [], "later": true});
    let seen = |stored: serde_json::Value| {
        let mut leader = leader_with_record(stored);
        let id = MachineId::from("host-1");
        let m = leader
            .cluster
            .register_machine(Time(0), &id, &leader.autoscaler.intents);
        (m.has_our_token, m.epoch) = (true, crate::types::AgentEpoch(1));
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
        let halted = !commands.is_empty();
        leader
            .cluster
            .unwritten
            .dirty_chunks
            .mark(("wk-1".into(), 0), Time(0), true);
        let mut effects = effects_at(1.0);
        leader.submit_next_transaction(&mut effects);
        let used = leader.cluster.team_use()[&Team::from("red")].used.gpus;
        (halted, leader.writer.pipeline.in_flight.is_some(), used)
    };
    assert_eq!(seen(future.clone()), (false, false, 3.0));
    disable_check(&[SafetyCheck::UnreadableIsLeftAlone]);
    let harmed = seen(future);
    disable_check(&[]);
    assert_eq!(harmed, (true, true, 0.0));
    let good = serde_json::json!({"n": 1, "m": [["host-1", 1, 0, [0]]]});
    assert_eq!(seen(good), (true, true, 1.0));
}

// A record that names what cannot be was taken at its word: a place of a task that the
// job does not have held room for ever, a result beyond its last task was dropped.
#[test]
fn leaves_job_with_impossible_record_alone() {
    let record = |n: u64, d: serde_json::Value, p: serde_json::Value| {
        let stored = serde_json::json!({"n": n, "d": d, "p": p});
        leader_with_record(stored).cluster.jobs[&JobId::from("wk-1")].unreadable
    };
    let (none, one) = (
        serde_json::json!([]),
        serde_json::json!([[0, 1, "host-1", 1]]),
    );
    assert!(!record(1, none.clone(), one.clone()));
    assert!(record(0, none.clone(), one), "its attempt was never given");
    for place in [
        serde_json::json!([[3, 1, "host-1", 1]]),
        serde_json::json!([[0, 0, "host-1", 1]]),
        serde_json::json!([[0, 1, "host-1", 0]]),
    ] {
        assert!(record(1, none.clone(), place.clone()), "{place}");
    }
    assert!(record(1, serde_json::json!([[2, 9]]), none));
}

// While the state service takes few changes a second, new forms must not
// keep starts waiting; and all records get theirs in the end.
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
    assert!(!written(&mut leader, 1.0), "the level does not have it yet");
    assert!(leader.is_rewritten());
    leader.format_version = WITH_HISTORY;
    assert!(!leader.is_rewritten());
    let level = leader.writer.write_tokens.level(Time(2_000_000));
    leader.writer.write_tokens.take(Time(2_000_000), level);
    assert!(!written(&mut leader, 2.0), "there is more pressing work");
    leader.writer.write_tokens = TokenBucket::new(50.0, 50.0);
    assert!(!written(&mut leader, 3.0), "it settles first");
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
