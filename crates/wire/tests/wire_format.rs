//! Pins the messages between controllers, and between controllers and agents: field names,
//! spellings and some exact bytes. All expectations are literals, which must not change when
//! a type or field is renamed.

use pebblefold_wire::types::{AgentEpoch, Attempt, FencingToken, HeartbeatSequence};
use pebblefold_wire::{decode, encode, peers, workers};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::fmt::Debug;

/// Asserts that the value is serialized as `expected`, and `expected` is deserialized as
/// the value.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    value: &T,
    expected: Value,
) {
    let written: Value = decode(&encode(value)).expect("MessagePack");
    assert_eq!(written, expected, "written");
    assert_decodes(value, expected);
}

/// Asserts that `stored` is deserialized as the value, from MessagePack and from JSON.
fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(value: &T, stored: Value) {
    assert_eq!(decode::<T>(&encode(&stored)).as_ref(), Some(value), "read");
    assert_eq!(&serde_json::from_value::<T>(stored).expect("JSON"), value);
}

/// Asserts the spelling of each variant.
fn assert_spellings<T: Serialize + DeserializeOwned + PartialEq + Debug>(variants: &[(T, &str)]) {
    for (variant, text) in variants {
        assert_round_trip(variant, json!(text));
    }
}

fn hex<T: Serialize>(value: &T) -> String {
    encode(value).iter().map(|b| format!("{b:02x}")).collect()
}

// Controllers.

#[test]
fn leader_heartbeat_keeps_its_wire_format() {
    let heartbeat = peers::LeaderHeartbeat {
        node_id: "node-0".into(),
        token: FencingToken(5),
        store_contact_age_ms: 120,
        event_loop_delay_ms: 7,
    };
    assert_round_trip(
        &heartbeat,
        json!({"label": "node-0", "token": 5, "state_ms": 120, "late_ms": 7}),
    );
    assert_eq!(
        hex(&heartbeat),
        "84a56c6162656ca66e6f64652d30a5746f6b656e05a873746174655f6d7378a76c6174655f6d\
         7307"
    );
}

#[test]
fn leadership_transfer_and_suspicion_keep_their_wire_format() {
    assert_round_trip(
        &peers::LeadershipTransfer {
            token: FencingToken(5),
        },
        json!({"token": 5}),
    );
    let query = peers::SuspicionQuery {
        token: FencingToken(5),
        store_unreachable: true,
    };
    assert_round_trip(&query, json!({"token": 5, "no_state": true}));
    let mut vote = peers::SuspicionVote {
        node_id: "node-1".into(),
        token: FencingToken(5),
        agrees: true,
        recent_agent_migrations: 12,
    };
    assert_round_trip(
        &vote,
        json!({"label": "node-1", "token": 5, "agrees": true, "came": 12}),
    );
    vote.recent_agent_migrations = 0;
    assert_decodes(
        &vote,
        json!({"label": "node-1", "token": 5, "agrees": true}),
    );
}

fn minimal_peer_heartbeat() -> peers::PeerHeartbeat {
    peers::PeerHeartbeat {
        node_id: "node-0".into(),
        token: FencingToken(5),
        leads: true,
        loaded: true,
        state_ok: false,
        is_overloaded: false,
        effort_us: 0,
        levels: None,
        cancelled: Vec::new(),
        counts: Vec::new(),
        caches: Vec::new(),
        fetches: Vec::new(),
    }
}

#[test]
fn peer_heartbeat_keeps_its_wire_format() {
    let build_info = peers::BuildInfo {
        low: 0,
        high: 2,
        build: "0.2.0".into(),
        life: 9,
    };
    let full = peers::PeerHeartbeat {
        loaded: false,
        is_overloaded: true,
        effort_us: 350,
        levels: Some(build_info),
        cancelled: vec!["wk-1".into()],
        counts: vec![("wk-2".into(), 3, 4)],
        caches: vec![("host-1".into(), vec![("img-0".into(), 6.5)])],
        fetches: vec![("img-0".into(), 9000)],
        ..minimal_peer_heartbeat()
    };
    assert_round_trip(
        &full,
        json!({
            "label": "node-0", "token": 5, "leads": true, "loaded": false, "state_ok": false,
            "strained": true, "effort_us": 350,
            "levels": {"low": 0, "high": 2, "build": "0.2.0", "life": 9},
            "cancelled": ["wk-1"], "counts": [["wk-2", 3, 4]],
            "caches": [["host-1", [["img-0", 6.5]]]], "fetches": [["img-0", 9000]],
        }),
    );
    assert_round_trip(
        &minimal_peer_heartbeat(),
        json!({
            "label": "node-0", "token": 5, "leads": true, "loaded": true, "state_ok": false,
            "strained": false, "effort_us": 0, "counts": [], "caches": [],
        }),
    );
}

#[test]
fn decodes_peer_heartbeat_of_an_older_build() {
    assert_decodes(
        &minimal_peer_heartbeat(),
        json!({"label": "node-0", "token": 5, "leads": true, "state_ok": false}),
    );
}

// Agents.

fn minimal_heartbeat() -> workers::Heartbeat {
    workers::Heartbeat {
        machine: "host-1".into(),
        addr: "10.1.0.1:9000".into(),
        kind: "g4".into(),
        zone: "z0".into(),
        spot: true,
        epoch: AgentEpoch(2),
        sequence: HeartbeatSequence(17),
        token: FencingToken(5),
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn reported(why: Option<workers::StopReason>, saved: Option<bool>) -> workers::ReportedTask {
    workers::ReportedTask {
        task: "wk-1/3".into(),
        attempt: Attempt(4),
        state: workers::TaskState::Exited,
        why,
        saved,
    }
}

#[test]
fn agent_heartbeat_keeps_its_wire_format() {
    let full = workers::Heartbeat {
        notice_s: Some(30.5),
        tasks: vec![reported(Some(workers::StopReason::Stopped), Some(true))],
        ..minimal_heartbeat()
    };
    assert_round_trip(
        &full,
        json!({
            "box": "host-1", "addr": "10.1.0.1:9000", "box_kind": "g4", "yard": "z0",
            "borrowed": true, "shift": 2, "tally": 17, "baton": 5, "warning_s": 30.5,
            "pieces": [
                {"piece": "wk-1/3", "try": 4, "stage": "ended", "cause": "halted", "saved": true},
            ],
        }),
    );
    assert_round_trip(
        &minimal_heartbeat(),
        json!({
            "box": "host-1", "addr": "10.1.0.1:9000", "box_kind": "g4", "yard": "z0",
            "borrowed": true, "shift": 2, "tally": 17, "baton": 5, "warning_s": null,
            "pieces": [],
        }),
    );
    assert_decodes(
        &minimal_heartbeat(),
        json!({
            "box": "host-1", "addr": "10.1.0.1:9000", "box_kind": "g4", "yard": "z0",
            "borrowed": true, "shift": 2, "tally": 17, "baton": 5,
        }),
    );
    assert_round_trip(
        &reported(None, None),
        json!({"piece": "wk-1/3", "try": 4, "stage": "ended"}),
    );
    assert_eq!(
        hex(&full),
        "8aa3626f78a6686f73742d31a461646472ad31302e312e302e313a39303030a8626f785f6b69\
         6e64a26734a479617264a27a30a8626f72726f776564c3a5736869667402a574616c6c7911a5\
         6261746f6e05a97761726e696e675f73cb403e800000000000a67069656365739185a5706965\
         6365a6776b2d312f33a374727904a57374616765a5656e646564a56361757365a668616c7465\
         64a57361766564c3"
    );
}

#[test]
fn task_states_and_reasons_keep_their_spelling() {
    use workers::{StopReason, TaskState};
    assert_spellings(&[
        (TaskState::Fetching, "fetching"),
        (TaskState::Waiting, "waiting"),
        (TaskState::Running, "running"),
        (TaskState::Saving, "saving"),
        (TaskState::Exited, "ended"),
    ]);
    assert_spellings(&[
        (StopReason::Done, "done"),
        (StopReason::Stopped, "halted"),
        (StopReason::Peers, "peers"),
        (StopReason::Alone, "alone"),
        (StopReason::Error, "error"),
        (StopReason::NoRoom, "no_room"),
        (StopReason::Busy, "in_use"),
        (StopReason::Unknown, "unknown"),
    ]);
    assert_decodes(&StopReason::Unknown, json!("a reason of a later version"));
}

#[test]
fn agent_commands_keep_their_wire_format() {
    let task = || "wk-1/3".to_string();
    let attempt = Attempt(4);
    let start = workers::Command::Start {
        task: task(),
        attempt,
    };
    let stop = workers::Command::Stop {
        task: task(),
        attempt,
        grace_s: 2.5,
    };
    let forget = workers::Command::Forget {
        task: task(),
        attempt,
    };
    let commands = vec![start, stop, forget];
    let commands_json = json!([
        {"verb": "start", "piece": "wk-1/3", "try": 4},
        {"verb": "halt", "piece": "wk-1/3", "try": 4, "wind_down_s": 2.5},
        {"verb": "clear", "piece": "wk-1/3", "try": 4},
    ]);
    assert_round_trip(&commands, commands_json.clone());
    let answer = workers::HeartbeatResponse {
        token: FencingToken(5),
        commands: commands.clone(),
    };
    assert_round_trip(&answer, json!({"baton": 5, "orders": commands_json}));
    assert_eq!(
        hex(&answer),
        "82a56261746f6e05a66f72646572739383a476657262a57374617274a57069656365a6776b2d\
         312f33a37472790484a476657262a468616c74a57069656365a6776b2d312f33a374727904ab\
         77696e645f646f776e5f73cb400400000000000083a476657262a5636c656172a57069656365\
         a6776b2d312f33a374727904"
    );
    let direct = workers::DirectCommands {
        token: FencingToken(5),
        epoch: AgentEpoch(2),
        commands,
    };
    assert_round_trip(
        &direct,
        json!({"baton": 5, "shift": 2, "orders": commands_json}),
    );
    let redirect = |report_to| workers::LeaderRedirect { report_to };
    assert_round_trip(
        &redirect(Some("node-1".into())),
        json!({"foreman": "node-1"}),
    );
    assert_round_trip(&redirect(None), json!({}));
}
