//! Pins, as literals, the answer to `/inspect` and the texts that represent states.

mod common;
use common::{TestCluster, cluster_with_running_job};
use pebblefold_controller::core::Listener;
use pebblefold_controller::core::assignment::AssignmentPhase;
use pebblefold_controller::core::effects::RequestKind;
use pebblefold_controller::core::election::ElectionState;
use pebblefold_controller::core::failure_detector::detector::Suspicion;
use pebblefold_controller::core::job_records::JobOutcome;
use pebblefold_controller::types::{HeartbeatSequence, Version};
use pebblefold_controller::wire::workers::TaskState;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Adds the path of each leaf value of `value` to `found_paths`; `path` is the path of `value`.
fn collect_paths(value: &Value, path: &str, found_paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(o) if !o.is_empty() => {
            let dot = if path.is_empty() { "" } else { "." };
            o.iter()
                .for_each(|(name, v)| collect_paths(v, &format!("{path}{dot}{name}"), found_paths));
        }
        Value::Array(a) if !a.is_empty() => {
            a.iter()
                .for_each(|v| collect_paths(v, &format!("{path}[]"), found_paths));
        }
        _ => drop(found_paths.insert(path.to_string())),
    }
}

fn inspect(cluster: &mut TestCluster) -> Value {
    let (status, answer) = cluster.send_request(Listener::Internal, "GET", "/inspect", Value::Null);
    assert_eq!(status, 200);
    answer
}

/// The paths of all values in the inspection of a leader, when an agent runs tasks.
const LEADER_PATHS: [&str; 134] = [
    "effort_us",
    "late_share",
    "leader",
    "leader_seen.agree",
    "leader_seen.doubt",
    "leader_seen.its_state_s_ago",
    "leader_seen.its_work_late_s",
    "leader_seen.needed",
    "leader_seen.none_for_s",
    "leader_seen.of",
    "leader_seen.refuted",
    "leader_seen.silent_s",
    "leader_seen.suspicion",
    "leader_seen.verdicts",
    "leading.contact_s_ago",
    "leading.cycles",
    "leading.duties[].duty",
    "leading.duties[].fence",
    "leading.duties[].held_s",
    "leading.duties[].open",
    "leading.duties[].open.by",
    "leading.duties[].open.hands_changed",
    "leading.duties[].open.hires",
    "leading.duties[].open.jobs_to_drop",
    "leading.duties[].open.machines_going",
    "leading.duties[].open.orphans_deleted",
    "leading.duties[].open.orphans_left",
    "leading.duties[].open.put_aside",
    "leading.duties[].open.records_to_write",
    "leading.duties[].open.records_written",
    "leading.duties[].open.releases",
    "leading.duties[].open.stopping",
    "leading.duties[].progress_s_ago",
    "leading.in_office_s",
    "leading.jobs[].class",
    "leading.jobs[].done",
    "leading.jobs[].end",
    "leading.jobs[].job",
    "leading.jobs[].last_stop",
    "leading.jobs[].owner",
    "leading.jobs[].placed",
    "leading.jobs[].priority",
    "leading.jobs[].tasks",
    "leading.jobs[].waiting",
    "leading.jobs[].waits_s",
    "leading.jobs[].why",
    "leading.jobs[].within_guarantee",
    "leading.loaded",
    "leading.machines[].circuit",
    "leading.machines[].deaf_s",
    "leading.machines[].images[]",
    "leading.machines[].kind",
    "leading.machines[].leaving",
    "leading.machines[].lost",
    "leading.machines[].machine",
    "leading.machines[].reported_s_ago",
    "leading.machines[].session",
    "leading.machines[].spot",
    "leading.machines[].taken_in_s",
    "leading.machines[].tasks[].attempt",
    "leading.machines[].tasks[].owner",
    "leading.machines[].tasks[].phase",
    "leading.machines[].tasks[].stopping",
    "leading.machines[].tasks[].task",
    "leading.machines[].usable",
    "leading.machines[].zone",
    "leading.shares.classes[].class",
    "leading.shares.classes[].floor_machines",
    "leading.shares.classes[].served",
    "leading.shares.teams[].floor_machines",
    "leading.shares.teams[].guaranteed.cpus",
    "leading.shares.teams[].guaranteed.gpus",
    "leading.shares.teams[].lent.cpus",
    "leading.shares.teams[].lent.gpus",
    "leading.shares.teams[].limit.cpus",
    "leading.shares.teams[].limit.gpus",
    "leading.shares.teams[].served",
    "leading.shares.teams[].stopping.cpus",
    "leading.shares.teams[].stopping.gpus",
    "leading.shares.teams[].team",
    "leading.shares.teams[].used.cpus",
    "leading.shares.teams[].used.gpus",
    "leading.starts.resumed",
    "leading.starts.unrecorded",
    "leading.starts.withdrawn",
    "leading.starts.withdrawn_for_quota",
    "leading.token",
    "leading.totals.jobs",
    "leading.totals.machines",
    "leading.zones[].machines",
    "leading.zones[].spot",
    "leading.zones[].tasks",
    "leading.zones[].usable",
    "leading.zones[].zone",
    "leads",
    "levels.in_force",
    "levels.name",
    "levels.nodes[].build",
    "levels.nodes[].levels[]",
    "levels.nodes[].node",
    "levels.nodes[].policy",
    "levels.nodes[].says",
    "levels.nodes[].there_s",
    "levels.one_policy",
    "levels.rewritten",
    "levels.serves",
    "levels.waits_for",
    "node",
    "peers",
    "ready",
    "slow",
    "standing",
    "standing_by",
    "state_limits.txn_ops",
    "state_limits.value_bytes",
    "state_limits.write_rps",
    "state_ok",
    "strained",
    "times.poll.count",
    "times.poll.ms_50",
    "times.poll.ms_95",
    "times.poll.ms_99",
    "times.poll.ms_max",
    "times.report.count",
    "times.report.ms_50",
    "times.report.ms_95",
    "times.report.ms_99",
    "times.report.ms_max",
    "times.submit.count",
    "times.submit.ms_50",
    "times.submit.ms_95",
    "times.submit.ms_99",
    "times.submit.ms_max",
    "zone",
];

#[test]
fn leader_inspection_keeps_its_names() {
    let answer_body = inspect(&mut cluster_with_running_job());
    let mut found = BTreeSet::new();
    collect_paths(&answer_body, "", &mut found);
    assert_eq!(found, LEADER_PATHS.map(String::from).into());
}

#[test]
fn follower_inspection_keeps_its_names() {
    let answer_body = inspect(&mut TestCluster::default());
    let mut found = BTreeSet::new();
    collect_paths(&answer_body, "", &mut found);
    let leading = |p: &&str| p.starts_with("leading.") || p.starts_with("times.");
    let mut expected: BTreeSet<String> = LEADER_PATHS
        .iter()
        .filter(|p| !leading(p))
        .map(|p| (*p).to_string())
        .collect();
    expected.extend(["leading", "times", "levels.nodes[].levels"].map(String::from));
    expected.remove("levels.nodes[].levels[]");
    assert_eq!(found, expected);
}

#[test]
fn inspection_keeps_its_texts() {
    let mut cluster = TestCluster::default();
    let before = inspect(&mut cluster);
    assert_eq!(before["standing"], "Unknown");
    assert_eq!(before["levels"]["name"], "before");
    assert_eq!(
        before["levels"]["serves"],
        "no: the level in force is not known yet"
    );
    assert_eq!(
        before["levels"]["waits_for"],
        "node-0 has not said which levels it serves"
    );
    let mut cluster = cluster_with_running_job();
    let answer_body = inspect(&mut cluster);
    assert_eq!(answer_body["standing"], "Leading");
    let levels = &answer_body["levels"];
    assert_eq!(
        [&levels["name"], &levels["serves"], &levels["waits_for"]],
        ["remembered", "yes", "level 2 is the newest of this build"]
    );
    let duties = answer_body["leading"]["duties"].as_array().expect("duties");
    let names: Vec<&Value> = duties.iter().map(|d| &d["duty"]).collect();
    assert_eq!(names, ["placing", "renting", "reclaiming", "cleaning"]);
    assert_eq!(duties[1]["open"]["by"], "itself");
    let task = &answer_body["leading"]["machines"][0]["tasks"][0];
    assert_eq!(
        *task,
        json!({"task": "wk-1/0", "owner": "red", "attempt": 1, "phase": "Seen(Running)",
            "stopping": false})
    );
    let job = &answer_body["leading"]["jobs"][0];
    assert_eq!(
        (&job["end"], &job["priority"]),
        (&Value::Null, &json!("standard"))
    );
    cluster.send_request(
        Listener::Api,
        "POST",
        "/submissions/wk-1/cancel",
        Value::Null,
    );
    cluster.advance(100);
    let answer_body = inspect(&mut cluster);
    assert_eq!(answer_body["leading"]["jobs"][0]["end"], "Cancelled");
    assert!(
        answer_body["times"]["cancel"].is_object(),
        "{}",
        answer_body["times"]
    );
}

#[test]
fn inspection_filters_machines_and_jobs_by_query() {
    let mut cluster = cluster_with_running_job();
    let (_, without_match) = cluster.send_request(
        Listener::Internal,
        "GET",
        "/inspect?machine=x&job=x",
        Value::Null,
    );
    assert_eq!(without_match["leading"]["machines"], json!([]));
    assert_eq!(without_match["leading"]["jobs"], json!([]));
    let (_, matching) = cluster.send_request(
        Listener::Internal,
        "GET",
        "/inspect?machine=host&job=wk",
        Value::Null,
    );
    assert_eq!(matching["leading"]["machines"][0]["machine"], "host-1");
    assert_eq!(matching["leading"]["jobs"][0]["job"], "wk-1");
}

// Operators read these states as `Debug` writes them, so the variant names must stay.
#[test]
fn states_keep_their_texts() {
    let phases = [
        AssignmentPhase::Unsent,
        AssignmentPhase::Sent(HeartbeatSequence(7)),
        AssignmentPhase::Inherited,
        AssignmentPhase::Reserved,
        AssignmentPhase::Seen(TaskState::Fetching),
        AssignmentPhase::Seen(TaskState::Waiting),
        AssignmentPhase::Seen(TaskState::Running),
        AssignmentPhase::Seen(TaskState::Saving),
        AssignmentPhase::Seen(TaskState::Exited),
    ];
    assert_eq!(
        phases.map(|p| p.to_string()),
        [
            "Unsent",
            "Sent(Tally(7))",
            "Inherited",
            "Kept",
            "Seen(Fetching)",
            "Seen(Waiting)",
            "Seen(Running)",
            "Seen(Saving)",
            "Seen(Exited)"
        ]
    );
    let outcomes = [JobOutcome::Done { written: false }, JobOutcome::Cancelled];
    assert_eq!(
        outcomes.map(|e| e.to_string()),
        ["Done { written: false }", "Cancelled"]
    );
    let election_states = [
        ElectionState::Unknown,
        ElectionState::Following(Version(7)),
        ElectionState::Vacant(Version(7)),
        ElectionState::Leasing(Version(7)),
        ElectionState::Claiming(7),
        ElectionState::Leading,
        ElectionState::Activating,
    ];
    assert_eq!(
        election_states.map(|s| s.to_string()),
        [
            "Unknown",
            "Following(Version(7))",
            "Vacant(Version(7))",
            "Leasing(Version(7))",
            "Claiming(7)",
            "Leading",
            "Rising"
        ]
    );
    let suspicions = [Suspicion::Silent, Suspicion::StoreUnreachable];
    assert_eq!(suspicions.map(|d| d.to_string()), ["Silent", "NoState"]);
    let request_kinds = [
        RequestKind::Submit,
        RequestKind::Poll,
        RequestKind::Cancel,
        RequestKind::Heartbeat,
    ];
    assert_eq!(
        request_kinds.map(|t| t.to_string()),
        ["submit", "poll", "cancel", "report"]
    );
}
