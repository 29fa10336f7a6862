//! Pins, as literals, every key and record in the key-value store. This build has to read a
//! store that an older build has written.

use pebblefold_controller::core::autoscaler::intents::{CapacityPool, Intents, OpenIntents};
use pebblefold_controller::core::circuit_breaker::CircuitState;
use pebblefold_controller::core::format_version::chunk_progress::ChunkProgress;
use pebblefold_controller::core::format_version::member_versions::{
    self, BUILD, MemberRecord, MemberVersions,
};
use pebblefold_controller::core::format_version::{
    FENCED, FormatVersion, KNOWN_VERSIONS, SupportedVersions, UNVERSIONED, WITH_HISTORY,
};
use pebblefold_controller::core::job_records::{
    self, HeaderStage, JobHeader, LeaderRecord, SubmissionAssembler, TransactionLimits,
};
use pebblefold_controller::core::keys::{self, WatchedKey};
use pebblefold_controller::core::pending_writes::PendingWrites;
use pebblefold_controller::core::quarantine::Quarantine;
use pebblefold_controller::core::quota::arrival_history::{self, ArrivalHistory};
use pebblefold_controller::types::{
    AgentEpoch, Attempt, FencingToken, Time, TimeSpan, Version, WallTime,
};
use pebblefold_controller::wire::kvstore::{Entry, Transaction};
use pebblefold_controller::wire::peers::BuildInfo;
use pebblefold_controller::wire::users::{JobShape, Priority, Submission};
use serde_json::{Value, json};

/// A transaction as JSON, as it is sent to the key-value store.
fn sent(txn: &Transaction) -> Value {
    serde_json::to_value(txn).expect("a transaction is JSON")
}

/// Takes up to nine pending writes, as JSON.
fn written(pending_writes: &mut PendingWrites) -> Value {
    json!(pending_writes.take_puts(9))
}

fn submission() -> Submission {
    Submission {
        id: "wk-1".into(),
        class: "train".into(),
        team: "red".into(),
        shape: JobShape::Gang,
        priority: Priority::High,
        tasks: 2,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img".into(),
        image_gb: 6.2,
        kinds: Some(vec!["g8".into()]),
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
    }
}

const SUBMITTED: &str = r#"{"ref":"wk-1","lane":"train","crew":"red","shape":"ensemble","urgency":"urgent","pieces":2,"vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img","size_gb":6.2,"kinds_of_box":["g8"],"yard":null,"same_place":true,"scatter":false,"borrowed":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0}"#;

#[test]
fn keys_of_jobs_keep_their_form() {
    let id = "wk-1".into();
    assert_eq!(keys::job_header_key(&id), "job/wk-1");
    assert_eq!(keys::submission_key(&id), "w/j/wk-1");
    assert_eq!(keys::submission_part_key(&id, 3), "w/p/wk-1/3");
    assert_eq!(keys::job_outcome_key(&id), "w/x/wk-1");
    assert_eq!(keys::chunk_key(&id, 7), "r/wk-1/7");
    let prefixes = [
        keys::WATCHED_PREFIX,
        keys::PROGRESS_RECORDS_PREFIX,
        keys::MACHINE_TYPES_KEY,
        keys::SUBMISSIONS_PREFIX,
        keys::SUBMISSION_PARTS_PREFIX,
        keys::JOB_OUTCOMES_PREFIX,
        keys::LEADER_RECORDS_PREFIX,
        arrival_history::ARRIVAL_HISTORY_KEY,
    ];
    assert_eq!(
        prefixes,
        ["w/", "r/", "types", "w/j/", "w/p/", "w/x/", "d/", "d/f"]
    );
}

#[test]
fn watched_keys_are_parsed_by_kind() {
    assert_eq!(keys::parse_watched_key("w/leader"), WatchedKey::Leadership);
    assert_eq!(
        keys::parse_watched_key("w/leader/at/node-0"),
        WatchedKey::Leadership
    );
    assert_eq!(
        keys::parse_watched_key("w/j/wk-1"),
        WatchedKey::Submission("wk-1".into())
    );
    assert_eq!(
        keys::parse_watched_key("w/p/wk-1/3"),
        WatchedKey::SubmissionPart("wk-1".into(), 3)
    );
    assert_eq!(
        keys::parse_watched_key("w/x/wk-1"),
        WatchedKey::JobOutcome("wk-1".into())
    );
    assert_eq!(keys::parse_chunk_key("r/wk-1/7"), Some(("wk-1".into(), 7)));
}

#[test]
fn job_headers_keep_their_stored_format() {
    let stages = [
        (HeaderStage::Open, "p"),
        (HeaderStage::Done, "d"),
        (HeaderStage::Cancelled, "c"),
    ];
    for (stage, text) in stages {
        let stored = json!({"s": text, "n": 3});
        assert_eq!(job_records::job_header_value(stage, 3), stored);
        assert_eq!(
            job_records::read_record(&stored),
            Some(JobHeader {
                stage,
                task_count: 3
            })
        );
    }
    let header = JobHeader {
        stage: HeaderStage::Open,
        task_count: 3,
    };
    assert_eq!(
        sent(&job_records::cancel_transaction(
            &"wk-1".into(),
            header,
            Version(7)
        )),
        json!({"if": [{"key": "job/wk-1", "touched": 7}], "apply": [
            {"write": "job/wk-1", "value": {"s": "c", "n": 3}},
            {"write": "w/x/wk-1", "value": {"s": "c", "n": 3}},
        ]})
    );
}

#[test]
fn submission_record_keeps_its_stored_format() {
    let limits = TransactionLimits {
        ops: 48,
        value_bytes: 8192,
    };
    let txn = job_records::accept_transaction(&submission(), WallTime(5), limits)
        .expect("the submission fits in one transaction");
    assert_eq!(
        sent(&txn),
        json!({"if": [{"key": "job/wk-1", "touched": 0}], "apply": [
            {"write": "job/wk-1", "value": {"s": "p", "n": 2}},
            {"write": "w/j/wk-1", "value": {"at": 5, "n": 1, "s": SUBMITTED}},
        ]})
    );
    let stored = json!({"at": 5, "n": 1, "s": SUBMITTED});
    let job = SubmissionAssembler::default().assemble(&"wk-1".into(), Version(9), &stored);
    let job = job.expect("the record is decoded");
    assert_eq!((job.accepted_at, &*job.spec), (WallTime(5), &submission()));
}

#[test]
fn long_submission_is_stored_in_parts() {
    let limits = TransactionLimits {
        ops: 48,
        value_bytes: 420,
    };
    let txn = job_records::accept_transaction(&submission(), WallTime(5), limits)
        .expect("the submission fits in one transaction");
    let (one, rest) = SUBMITTED.split_at(FIRST_PART_BYTES);
    let (two, three) = rest.split_at(SECOND_PART_BYTES);
    assert_eq!(
        sent(&txn)["apply"],
        json!([
            {"write": "job/wk-1", "value": {"s": "p", "n": 2}},
            {"write": "w/j/wk-1", "value": {"at": 5, "n": 3, "s": one}},
            {"write": "w/p/wk-1/1", "value": two}, {"write": "w/p/wk-1/2", "value": three},
        ])
    );
    let mut parts = SubmissionAssembler::default();
    parts.add_part("wk-1".into(), 1, &json!(two));
    parts.add_part("wk-1".into(), 2, &json!(three));
    let stored = json!({"at": 5, "n": 3, "s": one});
    let job = parts.assemble(&"wk-1".into(), Version(9), &stored);
    assert_eq!(*job.expect("the record is decoded").spec, submission());
}
/// Lengths in bytes of the first two parts into which `SUBMITTED` is split.
const FIRST_PART_BYTES: usize = 125;
const SECOND_PART_BYTES: usize = 132;

#[test]
fn progress_keeps_its_stored_format_in_each_version() {
    let place = |i, a, m: &str| (i, Attempt(a), m.into(), AgentEpoch(1));
    let full = ChunkProgress {
        attempt: Attempt(3),
        done: vec![(0, 2), (5, 6)],
        assignments: vec![place(2, 3, "host-7"), place(4, 2, "host-8")],
        stops: vec![(4, 5)],
    };
    let empty = ChunkProgress::default();
    let old = json!({"n": 3, "d": [[0, 2], [5, 6]], "x": [[4, 5]],
        "p": [[2, 3, "host-7", 1], [4, 2, "host-8", 1]]});
    let new = json!({"n": 3, "d": [0, 2, 5, 6], "x": [4, 5],
        "m": [["host-7", 1, 0, [2]], ["host-8", 1, 1, [4]]]});
    let cases = [
        (UNVERSIONED, old.clone(), json!({"n": 0, "d": [], "p": []})),
        (FENCED, old, json!({"n": 0, "d": [], "p": []})),
        (WITH_HISTORY, new, json!({"n": 0, "m": []})),
    ];
    for (level, stored, empty_record) in cases {
        assert_eq!(full.write(level), stored, "{level}");
        assert_eq!(ChunkProgress::read(&stored).as_ref(), Ok(&full), "{level}");
        assert_eq!(empty.write(level), empty_record, "{level}");
        assert_eq!(
            ChunkProgress::read(&empty_record).as_ref(),
            Ok(&empty),
            "{level}"
        );
    }
}

#[test]
fn leader_records_keep_their_stored_format() {
    let stored = json!({"label": "node-1", "nonce": 7});
    let leader = LeaderRecord {
        node_id: "node-1".into(),
        nonce: 7,
    };
    assert_eq!(job_records::leader_record_value(&leader), stored);
    assert_eq!(job_records::read_record(&stored), Some(leader));
    assert_eq!(
        member_versions::legacy_leader_tombstone(),
        json!({"since": 1, "see": "w/leader/holder"})
    );
    let all = [
        member_versions::PREFIX,
        member_versions::LEGACY_LEADER_KEY,
        member_versions::LEADER_KEY,
        member_versions::ACTIVE_VERSION_KEY,
        member_versions::REWRITTEN_VERSION_KEY,
    ];
    assert_eq!(
        all,
        [
            "w/leader",
            "w/leader",
            "w/leader/holder",
            "w/leader/level",
            "w/leader/done"
        ]
    );
}

#[test]
fn format_versions_keep_their_numbers_and_names() {
    let table = KNOWN_VERSIONS.map(|s| (s.version.0, s.name));
    assert_eq!(table, [(0, "before"), (1, "fenced"), (2, "remembered")]);
    assert_eq!(
        (
            SupportedVersions::SUPPORTED.low,
            SupportedVersions::SUPPORTED.high
        ),
        (FormatVersion(0), FormatVersion(2))
    );
}

fn own_registry(entries: &[(&str, Value)]) -> MemberVersions {
    let policy = [("idle_s".to_string(), 5.0)].into();
    let mut registry = MemberVersions::new(
        "node-0".into(),
        Some(SupportedVersions::SUPPORTED),
        policy,
        9,
    );
    let entry = |(i, (key, value)): (usize, &(&str, Value))| Entry {
        key: (*key).into(),
        value: value.clone(),
        version: Version(i as u64 + 1),
    };
    let entries: Vec<Entry> = entries.iter().enumerate().map(entry).collect();
    registry.load(&entries);
    registry
}

#[test]
fn member_record_keeps_its_stored_format() {
    let registry = own_registry(&[]);
    let record = json!({"levels": {"low": 0, "high": 2}, "build": BUILD,
        "policy": {"idle_s": 5.0}, "life": 9});
    assert_eq!(
        sent(
            &registry
                .registration()
                .expect("the controller is not registered yet")
        ),
        json!({
            "if": [{"key": "w/leader/level", "touched": 0},
                {"key": "w/leader/at/node-0", "touched": 0}],
            "apply": [{"write": "w/leader/at/node-0", "value": record}],
        })
    );
    assert_eq!(
        own_registry(&[("w/leader/at/node-0", record)]).registration(),
        None
    );
    let without_policy = json!({"levels": {"low": 0, "high": 1}, "build": "0.1"});
    let member: MemberRecord =
        job_records::read_record(&without_policy).expect("the record is decoded");
    assert!(member.policy.is_empty() && member.life == 0);
}

#[test]
fn version_records_keep_their_stored_format() {
    let begin = own_registry(&[]).initial_operations();
    assert_eq!(
        serde_json::to_value(begin).expect("JSON"),
        json!([
            {"write": "w/leader", "value": {"since": 1, "see": "w/leader/holder"}},
            {"write": "w/leader/level", "value": {"level": 1}},
            {"write": "w/leader/done", "value": {"level": 1}},
        ])
    );
    let member = json!({"levels": {"low": 0, "high": 2}, "build": "b", "policy": {}, "life": 4});
    let mut registry = own_registry(&[
        ("w/leader/level", json!({"level": 1})),
        ("w/leader/done", json!({"level": 1})),
        ("w/leader/at/node-0", member.clone()),
        ("w/leader/at/node-1", member),
    ]);
    assert_eq!(
        (registry.active_version(), registry.rewritten_version()),
        (FENCED, FENCED)
    );
    let peer_build = BuildInfo {
        low: 0,
        high: 2,
        build: "b".into(),
        life: 4,
    };
    for second in 0..=20 {
        let now = Time(second * 1_000_000);
        registry.record_peer_build(now, &"node-1".into(), Some(peer_build.clone()));
    }
    let activation = registry
        .next_activation(Time(20_000_000), &["node-1".into()], FormatVersion(9))
        .expect("all controllers support the version");
    let txn = Transaction {
        conditions: activation.conditions,
        ops: activation.ops,
    };
    assert_eq!(
        sent(&txn),
        json!({
            "if": [{"key": "w/leader/level", "touched": 1},
                {"key": "w/leader/at/node-1", "touched": 4},
                {"key": "w/leader/at/node-0", "touched": 3}],
            "apply": [{"write": "w/leader/level", "value": {"level": 2}}],
        })
    );
    registry.record_activation(WITH_HISTORY, Version(8));
    assert_eq!(
        sent(
            &registry
                .rewrite_completion()
                .expect("the completion is not recorded yet")
        ),
        json!({"if": [{"key": "w/leader/level", "touched": 8}],
            "apply": [{"write": "w/leader/done", "value": {"level": 2}}]})
    );
}

#[test]
fn provision_and_termination_intents_keep_their_format() {
    let new = || Intents::new(FencingToken(9), TimeSpan::secs(4.0), 8192);
    let mut intents = new();
    let pool = CapacityPool {
        machine_type: "g8".into(),
        zone: "z0".into(),
        spot: true,
    };
    intents.provision(pool, 2, WallTime(5));
    let provision = json!([["d/h/9-1", {"t": 5, "r": {
        "hire": "9-1", "box_kind": "g8", "yard": "z0", "borrowed": true, "count": 2,
    }}]]);
    assert_eq!(written(&mut intents.pending_writes), provision);
    let machines = ["host-1", "host-2"].map(|m| (m.into(), "idle"));
    intents.terminate(machines.into_iter(), WallTime(5));
    let release = json!([["d/x/9-2", {"t": 5, "w": {"idle": ["host-1", "host-2"]}}]]);
    assert_eq!(written(&mut intents.pending_writes), release);
    let mut successor = new();
    successor.load("d/h/9-1", &provision[0][1], WallTime(6));
    successor.load("d/x/9-2", &release[0][1], WallTime(6));
    let open = OpenIntents {
        provisions: 1,
        terminations: 1,
        machines: 2,
    };
    assert_eq!(successor.open(), open);
}

#[test]
fn quarantine_record_keeps_its_stored_format() {
    let (mut quarantine, mut pending_writes) = (Quarantine::default(), PendingWrites::default());
    let id = "host-1".into();
    quarantine.record_missed_lease(&mut pending_writes, &id, WallTime(5));
    quarantine.record_missed_lease(&mut pending_writes, &id, WallTime(6));
    let after_missed_leases = json!([["d/m/host-1", {"n": 2, "t": 6, "d": false}]]);
    assert_eq!(written(&mut pending_writes), after_missed_leases);
    let circuit = CircuitState {
        openings: 3,
        since_last_failure: TimeSpan::millis(2),
        failed_jobs: vec!["wk-1".into()],
    };
    quarantine.store_circuit(&mut pending_writes, &id, Some(&circuit), WallTime(7));
    let open =
        json!([["d/m/host-1", {"n": 2, "t": 6, "d": false, "c": {"n": 3, "t": 5, "j": ["wk-1"]}}]]);
    assert_eq!(written(&mut pending_writes), open);
    let old = json!({"n": 2, "t": 6});
    let read = Quarantine::default().load("d/m/host-1", &old, WallTime(7));
    assert_eq!(read.map(|r| (r.machine, r.circuit)), Some((id, None)));
}

#[test]
fn arrival_history_keeps_its_stored_format() {
    let mut history = ArrivalHistory::new(TimeSpan::secs(600.0));
    history.record(WallTime(31_000), &"low".into(), &"red".into(), 2.0, 30.0);
    let stored = json!({"t": 30000, "c": [["low", "red", [[1, [2.0, 60.0, 1]]]]]});
    assert_eq!(history.to_stored(WallTime(40_000), 8192), stored);
    let missing = ArrivalHistory::new(TimeSpan::secs(600.0)).arrivals_missing_here(&stored);
    assert_eq!(missing.map(|m| m.len()), Some(1));
}
