//! Pins the protocol's statuses, bodies and texts and the format of snapshots with literals.

mod common;
use common::{LIMITS, at_ms, reply_to};
use pebblefold_kvstore::snapshot::{self, RESTORE_GAP, SnapshotSummary};
use pebblefold_kvstore::{
    ChangeRecord, Counters, Disk, Memory, PersistedState, Service, Storage, StoredKey, StoredValue,
};
use pebblefold_wire::types::Version;
use pebblefold_wire::{decode, encode};
use serde_json::{Value, json};
use std::io::Read;
use std::path::PathBuf;

/// Sends `body` as MessagePack and returns the status and the decoded reply; null stands for
/// an empty body.
fn exchange(s: &mut Service<Memory>, method: &str, target: &str, body: Value) -> (u16, Value) {
    let body = if body.is_null() {
        Vec::new()
    } else {
        encode(&body)
    };
    let reply = reply_to(s, 0, method, target, body);
    let body = if reply.body.is_empty() {
        Value::Null
    } else {
        decode(&reply.body).expect("MessagePack")
    };
    (reply.status, body)
}

fn service() -> Service<Memory> {
    Service::open(Memory::default(), LIMITS, at_ms(0)).expect("memory opens")
}

/// A path below the target folder where no file exists.
fn unused_path(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stored_format");
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join(name);
    let _ = std::fs::remove_file(&path);
    path
}

fn bytes_from_hex(text: &str) -> Vec<u8> {
    let byte = |i| u8::from_str_radix(&text[i..i + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn routes_keep_their_paths_statuses_and_bodies() {
    let mut s = service();
    let put = json!({"if": [{"key": "a", "touched": 0}],
        "apply": [{"write": "a", "value": {"x": 1}, "permit": 1}, {"write": "b", "value": 2}]});
    let none = Value::Null;
    let entry = json!({"key": "a", "value": {"x": 1}, "touched": 1});
    let cases = [
        (
            "POST",
            "/leases",
            json!({"life_ms": 3000}),
            200,
            json!({"permit": 1}),
        ),
        ("POST", "/leases/1/touch", none.clone(), 200, none.clone()),
        (
            "POST",
            "/commit",
            put.clone(),
            200,
            json!({"ledger_mark": 1, "failed": []}),
        ),
        (
            "POST",
            "/commit",
            put,
            409,
            json!({"ledger_mark": 1, "failed": ["a"]}),
        ),
        (
            "GET",
            "/keys/a",
            none.clone(),
            200,
            json!({"key": "a", "value": {"x": 1}, "touched": 1, "permit": 1}),
        ),
        (
            "GET",
            "/keys/none",
            none.clone(),
            404,
            json!({"ledger_mark": 1, "failed": []}),
        ),
        (
            "GET",
            "/keys?starts=&most=1",
            none.clone(),
            200,
            json!({"entries": [entry], "truncated": true, "ledger_mark": 1}),
        ),
        (
            "GET",
            "/keys?starts=&since=a&most=1",
            none.clone(),
            200,
            json!({"entries": [{"key": "b", "value": 2, "touched": 1}], "truncated": false,
                "ledger_mark": 1}),
        ),
        ("DELETE", "/leases/1", none.clone(), 200, none.clone()),
        (
            "GET",
            "/changes?starts=a&since=0&hold_ms=0",
            none.clone(),
            200,
            json!({"ledger_mark": 2, "news": [
                {"write": "a", "value": {"x": 1}, "touched": 1},
                {"delete": "a", "value": null, "touched": 2}]}),
        ),
        (
            "GET",
            "/changes?starts=c&since=0",
            none.clone(),
            200,
            json!({"ledger_mark": 2, "news": []}),
        ),
    ];
    for (method, target, body, status, answer) in cases {
        let got = exchange(&mut s, method, target, body);
        assert_eq!(got, (status, answer), "{method} {target}");
    }
}

#[test]
fn refusals_keep_their_statuses_and_texts() {
    let mut s = service();
    let none = Value::Null;
    let op = |op: Value| json!({"if": [], "apply": [op]});
    let cases = [
        (
            "POST",
            "/commit",
            none.clone(),
            400,
            "not a transaction in MessagePack",
        ),
        (
            "POST",
            "/commit",
            op(json!({"write": "a", "value": 1, "permit": 7})),
            400,
            "no such lease",
        ),
        (
            "POST",
            "/commit",
            op(json!({"delete": "a b"})),
            400,
            "key \"a b\": has to be 1 to 200 bytes with no spaces",
        ),
        (
            "POST",
            "/leases",
            json!({}),
            400,
            "life_ms: missing or not a number",
        ),
        (
            "POST",
            "/leases",
            json!({"life_ms": 99}),
            400,
            "life_ms: 99, has to be 100 to 600000",
        ),
        (
            "POST",
            "/leases/7/touch",
            none.clone(),
            404,
            "no such lease",
        ),
        ("DELETE", "/leases/7", none.clone(), 404, "no such lease"),
        (
            "GET",
            "/keys?most=x",
            none.clone(),
            400,
            "most: x is not a number",
        ),
        (
            "GET",
            "/keys?most",
            none.clone(),
            400,
            "parameter most: has no value",
        ),
        ("PUT", "/keys/a", none.clone(), 400, "PUT /keys/a: unknown"),
    ];
    for (method, target, body, status, error) in cases {
        let got = exchange(&mut s, method, target, body);
        assert_eq!(got, (status, json!({"error": error})), "{method} {target}");
    }
    s.set_outage(at_ms(0), true);
    assert_eq!(
        exchange(&mut s, "GET", "/keys/a", none.clone()),
        (503, none)
    );
}

fn state() -> PersistedState {
    let value = |v: Value| StoredValue(encode(&v).into());
    let key = |lease| StoredKey {
        value: value(json!({"s": "p"})),
        version: Version(7),
        lease,
    };
    let change = |value| ChangeRecord {
        key: "a".into(),
        value,
    };
    PersistedState {
        counters: Counters {
            batch: 4,
            revision: 9,
            lease: 3,
            compacted_revision: 2,
        },
        keys: [("a".into(), key(Some(3))), ("b".into(), key(None))].into(),
        leases: [(3, 5000)].into(),
        changes: [
            ((7, 0), change(Some(value(json!(1))))),
            ((9, 1), change(None)),
        ]
        .into(),
    }
}

/// The parts of a snapshot of [`state`] in hex, in the order of the archive.
const KEYS: &str = "9292a16193c40581a173a170070392a16293c40581a173a17007c0";
const LEASES: &str = "919203cd1388";
const CHANGES: &str = "929292070092a161c401019292090192a161c0";

fn manifest() -> Value {
    json!({
        "format": 1,
        "marks": {"batch": 4, "revision": 9, "lease": 3, "dropped": 2},
        "parts": [
            {"name": "keys/000000", "bytes": 27, "crc32": 1629679848, "records": 2},
            {"name": "leases/000000", "bytes": 6, "crc32": 3_312_513_096u32, "records": 1},
            {"name": "changes/000000", "bytes": 19, "crc32": 2_434_026_906u32, "records": 2},
        ],
    })
}

#[test]
fn snapshot_keeps_its_parts_and_their_bytes() {
    let path = unused_path("written.snapshot");
    let summary = snapshot::save(&state(), &path).expect("the snapshot is written");
    let compressed = std::fs::File::open(&path).expect("the snapshot exists");
    let mut tar = tar::Archive::new(zstd::Decoder::new(compressed).expect("zstd"));
    let mut parts = Vec::new();
    for entry in tar.entries().expect("tar") {
        let mut entry = entry.expect("an entry");
        let name = entry.path().expect("a name").display().to_string();
        let mut data = Vec::new();
        entry.read_to_end(&mut data).expect("the entry's bytes");
        parts.push((name, data));
    }
    let names: Vec<&str> = parts.iter().map(|(n, _)| n.as_str()).collect();
    assert_eq!(
        names,
        [
            "keys/000000",
            "leases/000000",
            "changes/000000",
            "manifest.json"
        ]
    );
    assert_eq!(hex(&parts[0].1), KEYS);
    assert_eq!(hex(&parts[1].1), LEASES);
    assert_eq!(hex(&parts[2].1), CHANGES);
    let written: Value = serde_json::from_slice(&parts[3].1).expect("JSON");
    assert_eq!(written, manifest());
    assert_eq!(
        serde_json::to_value(summary).expect("JSON"),
        json!({"revision": 9, "keys": 2, "leases": 1, "changes": 2})
    );
}

/// Writes a snapshot from the literal parts, without the code under test.
fn write_literal_snapshot(name: &str) -> PathBuf {
    let path = unused_path(name);
    let file = std::fs::File::create(&path).expect("a file");
    let compressed = zstd::Encoder::new(file, 3).expect("zstd");
    let mut tar = tar::Builder::new(compressed);
    let manifest_json = serde_json::to_vec(&manifest()).expect("JSON");
    let parts = [
        ("keys/000000", bytes_from_hex(KEYS)),
        ("leases/000000", bytes_from_hex(LEASES)),
        ("changes/000000", bytes_from_hex(CHANGES)),
        ("manifest.json", manifest_json),
    ];
    for (name, data) in parts {
        let mut header = tar::Header::new_gnu();
        header.set_size(data.len() as u64);
        header.set_mode(0o600);
        header.set_cksum();
        let added = tar.append_data(&mut header, name, data.as_slice());
        added.expect("the part is added");
    }
    let compressed = tar.into_inner().expect("tar");
    compressed.finish().expect("zstd");
    path
}

#[test]
fn reads_snapshot_of_earlier_build() {
    let read = snapshot::read(&write_literal_snapshot("earlier.snapshot"))
        .expect("the snapshot is complete");
    assert_eq!(read, state());
}

#[test]
fn restores_earlier_snapshot_with_increased_versions() {
    let store = unused_path("restored.store");
    let summary = snapshot::restore(&write_literal_snapshot("moved.snapshot"), &store)
        .expect("the snapshot is complete");
    let revision = 9 + (1 << 32);
    let expected = SnapshotSummary {
        revision,
        keys: 2,
        leases: 1,
        changes: 0,
    };
    assert_eq!((summary, RESTORE_GAP), (expected, 1 << 32));
    let restored = Disk::in_file(&store).load().expect("the store is loaded");
    assert_eq!(
        (restored.keys, restored.leases),
        (state().keys, state().leases)
    );
    assert_eq!(restored.counters.revision, revision);
}

#[test]
fn refused_snapshot_keeps_its_error_text() {
    let path = unused_path("none.snapshot");
    std::fs::write(&path, b"nothing").expect("the file is written");
    let e = snapshot::read(&path)
        .expect_err("the file is not a snapshot")
        .to_string();
    assert!(e.starts_with(&format!("{}: ", path.display())), "{e}");
    assert!(
        e.ends_with("; nothing was restored, use another snapshot"),
        "{e}"
    );
}
