//! Pins the messages to and from the cloud and the key-value store, and the files in the
//! directory that the machines share: field names, spellings and some exact bytes, all as
//! literals.

use pebblefold_wire::http::{HttpError, Response, write_request, write_response};
use pebblefold_wire::types::{Resources, Version, WallTime};
use pebblefold_wire::{cloud, command, decode, encode, kvstore};
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

fn hex<T: Serialize>(value: &T) -> String {
    encode(value).iter().map(|b| format!("{b:02x}")).collect()
}

// The cloud.

#[test]
fn machine_types_keep_their_wire_format() {
    let kind = cloud::MachineType {
        name: "g4".into(),
        cpus: 16.0,
        gpus: 4.0,
        memory_gb: 128.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 2.0,
        price: 4.5,
        spot_price: 1.25,
        boot_s: 10.0,
        zones: vec!["z0".into(), "z1".into()],
    };
    assert_round_trip(
        &cloud::MachineTypes { kinds: vec![kind] },
        json!({"kinds_of_box": [{
            "sku": "g4", "vcpus": 16.0, "accelerators": 4.0, "memory_gb": 128.0,
            "cache_gb": 40.0, "fetch_gb_per_s": 2.0, "rate": 4.5, "low_price": 1.25,
            "startup_s": 10.0, "yards": ["z0", "z1"],
        }]}),
    );
    assert_round_trip(&cloud::MachineTypes::default(), json!({"kinds_of_box": []}));
}

#[test]
fn provisioning_and_terminating_keep_their_wire_format() {
    let provision = cloud::ProvisionRequest {
        request: "node-0-1".into(),
        kind: "g4".into(),
        zone: "z0".into(),
        spot: true,
        count: 3,
    };
    assert_round_trip(
        &provision,
        json!({"hire": "node-0-1", "box_kind": "g4", "yard": "z0", "borrowed": true, "count": 3}),
    );
    assert_eq!(
        hex(&provision),
        "85a468697265a86e6f64652d302d31a8626f785f6b696e64a26734a479617264a27a30a8626f\
         72726f776564c3a5636f756e7403"
    );
    let names = cloud::MachineNames {
        machines: vec!["host-1".into()],
    };
    assert_round_trip(&names, json!({"boxes": ["host-1"]}));
}

#[test]
fn machine_list_keeps_its_wire_format() {
    let listed = |stage| cloud::ListedMachine {
        id: "host-1".into(),
        addr: "10.1.0.1:9000".into(),
        kind: "g4".into(),
        zone: "z0".into(),
        spot: false,
        stage,
        age_s: 12.5,
    };
    let stages = [
        (cloud::MachineStage::Booting, "booting"),
        (cloud::MachineStage::Running, "running"),
        (cloud::MachineStage::Failed, "failed"),
    ];
    for (stage, text) in stages {
        assert_round_trip(
            &cloud::MachineList {
                machines: vec![listed(stage)],
                more: true,
            },
            json!({"boxes": [{
                "ref": "host-1", "addr": "10.1.0.1:9000", "box_kind": "g4", "yard": "z0",
                "borrowed": false, "stage": text, "age_s": 12.5,
            }], "truncated": true}),
        );
    }
    assert_decodes(&cloud::MachineList::default(), json!({"boxes": []}));
}

// The key-value store.

#[test]
fn keys_keep_their_wire_format() {
    let (key, version) = (|| "job/wk-1".to_string(), Version(7));
    let entry = kvstore::Entry {
        key: key(),
        value: json!({"a": 1}),
        version,
    };
    assert_round_trip(
        &entry,
        json!({"key": "job/wk-1", "value": {"a": 1}, "touched": 7}),
    );
    let answer = |lease| kvstore::KeyResponse {
        key: key(),
        value: Value::Null,
        version,
        lease,
    };
    assert_round_trip(
        &answer(Some(3)),
        json!({"key": "job/wk-1", "value": null, "touched": 7, "permit": 3}),
    );
    assert_round_trip(
        &answer(None),
        json!({"key": "job/wk-1", "value": null, "touched": 7}),
    );
    assert_decodes(&answer(None), json!({"key": "job/wk-1", "touched": 7}));
    let page = |more| kvstore::EntryPage {
        items: vec![entry.clone()],
        more,
        revision: Version(9),
    };
    let items = json!([{"key": "job/wk-1", "value": {"a": 1}, "touched": 7}]);
    assert_round_trip(
        &page(true),
        json!({"entries": items, "truncated": true, "ledger_mark": 9}),
    );
    assert_decodes(&page(false), json!({"entries": items, "ledger_mark": 9}));
}

#[test]
fn transactions_keep_their_wire_format() {
    let put = |lease| kvstore::Operation::Put {
        key: "a".into(),
        value: json!(1),
        lease,
    };
    let delete = kvstore::Operation::Delete { key: "b".into() };
    let condition = kvstore::Precondition {
        key: "c".into(),
        version: Version(7),
    };
    let txn = kvstore::Transaction {
        conditions: vec![condition],
        ops: vec![put(Some(3)), put(None), delete],
    };
    assert_round_trip(
        &txn,
        json!({"if": [{"key": "c", "touched": 7}], "apply": [
            {"write": "a", "value": 1, "permit": 3}, {"write": "a", "value": 1}, {"delete": "b"},
        ]}),
    );
    assert_eq!(
        hex(&txn),
        "82a269669182a36b6579a163a7746f756368656407a56170706c799383a57772697465a161a5\
         76616c756501a67065726d69740382a57772697465a161a576616c75650181a664656c657465\
         a162"
    );
    let revision = kvstore::TransactionResponse {
        revision: Version(9),
        failed: vec!["c".into()],
    };
    assert_round_trip(&revision, json!({"ledger_mark": 9, "failed": ["c"]}));
    assert_decodes(&kvstore::TransactionResponse::default(), json!({}));
}

#[test]
fn leases_and_watches_keep_their_wire_format() {
    assert_round_trip(
        &kvstore::LeaseGrantRequest { ttl_ms: 3000 },
        json!({"life_ms": 3000}),
    );
    assert_round_trip(&kvstore::LeaseGrant { lease: 3 }, json!({"permit": 3}));
    let change = |put: Option<&str>, delete: Option<&str>, value| kvstore::WatchEvent {
        put: put.map(String::from),
        delete: delete.map(String::from),
        value,
        version: Version(7),
    };
    let changes = kvstore::WatchResponse {
        revision: Version(9),
        events: vec![
            change(Some("a"), None, json!(1)),
            change(None, Some("b"), Value::Null),
        ],
    };
    assert_round_trip(
        &changes,
        json!({"ledger_mark": 9, "news": [
            {"write": "a", "value": 1, "touched": 7}, {"delete": "b", "value": null, "touched": 7},
        ]}),
    );
    let none = kvstore::WatchResponse {
        revision: Version(9),
        events: Vec::new(),
    };
    assert_decodes(&none, json!({"ledger_mark": 9}));
    assert_decodes(
        &change(None, Some("b"), Value::Null),
        json!({"delete": "b", "touched": 7}),
    );
}

// Uploaded commands and their exit records.

#[test]
fn uploaded_command_keeps_its_format() {
    let text = String::from;
    let minimal = command::CommandSpec {
        argv: vec![text("sh")],
        dir: text("/d"),
        ..Default::default()
    };
    let full = command::CommandSpec {
        stdin: Some(text("/in")),
        stdout: Some(text("out")),
        stderr: Some(text("err")),
        env: [(text("HOME"), text("/h"))].into(),
        restart_policy: command::RestartPolicy::Never,
        staged_files: vec![
            command::StagedFile::Link {
                from: text("a"),
                to: text("b"),
            },
            command::StagedFile::Copy {
                from: text("a"),
                to: text("b"),
            },
            command::StagedFile::Text {
                to: text("b"),
                text: text("t"),
            },
            command::StagedFile::Directory { to: text("b") },
        ],
        time_limit_s: Some(60.0),
        ..minimal.clone()
    };
    assert_round_trip(
        &full,
        json!({
            "argv": ["sh"], "dir": "/d", "stdin": "/in", "stdout": "out", "stderr": "err",
            "env": {"HOME": "/h"}, "again": "never", "put": [
                {"link": {"from": "a", "to": "b"}}, {"copy": {"from": "a", "to": "b"}},
                {"text": {"to": "b", "text": "t"}}, {"directory": {"to": "b"}},
            ], "limit_s": 60.0,
        }),
    );
    assert_round_trip(
        &minimal,
        json!({"argv": ["sh"], "dir": "/d", "stdin": null, "stdout": null, "stderr": null,
            "env": {}, "again": "yes"}),
    );
    assert_decodes(&minimal, json!({"argv": ["sh"], "dir": "/d"}));
    assert_eq!(
        hex(&minimal),
        "87a46172677691a27368a3646972a22f64a5737464696ec0a67374646f7574c0a67374646572\
         72c0a3656e7680a5616761696ea3796573"
    );
}

#[test]
fn exit_records_keep_their_format() {
    let minimal = command::ExitRecord {
        code: 137,
        dir: "/d/1".into(),
        machine: "host-1".into(),
        ..Default::default()
    };
    let full = command::ExitRecord {
        attempt: 4,
        started_at_ms: 1000,
        ended_at_ms: 2000,
        not_started: Some("no program".into()),
        timed_out: true,
        ..minimal.clone()
    };
    assert_round_trip(
        &full,
        json!({"code": 137, "dir": "/d/1", "machine": "host-1", "attempt": 4, "began_ms": 1000,
            "ended_ms": 2000, "not_started": "no program", "too_long": true}),
    );
    assert_round_trip(
        &minimal,
        json!({"code": 137, "dir": "/d/1", "machine": "host-1", "attempt": 0, "began_ms": 0,
            "ended_ms": 0}),
    );
    assert_decodes(
        &minimal,
        json!({"code": 137, "dir": "/d/1", "machine": "host-1"}),
    );
    assert_eq!(command::WORKING_DIR_PLACEHOLDER, "/:pebblefold:here:");
    assert_eq!(
        [
            command::EXIT_FILE,
            command::STARTED_FILE,
            command::REFUSED_FILE
        ],
        ["exit.json", "started.json", "refused.json"]
    );
}

// Types that messages consist of, and HTTP.

#[test]
fn amounts_and_times_keep_their_format() {
    let amounts = Resources {
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 16.5,
    };
    assert_round_trip(
        &amounts,
        json!({"cpus": 4.0, "gpus": 1.0, "memory_gb": 16.5}),
    );
    assert_round_trip(&WallTime(1234), json!(1234));
}

#[test]
fn http_messages_keep_their_bytes() {
    assert_eq!(
        write_request("POST", "10.0.0.1:1", "/a?b=1", b"xy"),
        b"POST /a?b=1 HTTP/1.1\r\nHost: 10.0.0.1:1\r\n\
          Content-Type: application/msgpack\r\nContent-Length: 2\r\n\r\nxy"
    );
    assert_eq!(
        write_request("GET", "10.0.0.1:1", "/a", b""),
        b"GET /a HTTP/1.1\r\nHost: 10.0.0.1:1\r\n\r\n"
    );
    let response = Response {
        status: 503,
        retry_after: Some(2),
        body: b"xy".to_vec(),
        close: true,
    };
    assert_eq!(
        write_response(&response),
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/msgpack\r\n\
          Content-Length: 2\r\nRetry-After: 2\r\nConnection: close\r\n\r\nxy"
    );
    let rejections = [
        (HttpError::Malformed, 400, "malformed message"),
        (HttpError::HeadTooLarge, 431, "head too large"),
        (HttpError::BodyTooLarge, 413, "body too large"),
    ];
    for (e, status, text) in rejections {
        assert_eq!((e.status(), e.to_string().as_str()), (status, text));
    }
}
