//! Throughput and latency of the key-value store, on disk and in memory, with different
//! numbers of requests per flush; its start-up time, and the memory and disk space per key.
//! Run with `cargo bench -p pebblefold-kvstore`; the figures depend on the machine.

use hdrhistogram::Histogram;
use pebblefold_kvstore::{
    ClientId, Disk, Limits, Memory, PersistedState, RequestId, Service, Storage, StoredKey,
    StoredValue,
};
use pebblefold_kvstore::{Counters, snapshot};
use pebblefold_wire::encode;
use pebblefold_wire::http::Request;
use pebblefold_wire::kvstore::{Operation, Transaction};
use pebblefold_wire::types::{Time, Version};
use std::path::Path;
use std::time::{Duration, Instant};

/// Environment variable that makes this program only open a store and measure it: the path
/// and the number of keys.
const OPEN_STORE_ENV: &str = "PEBBLEFOLD_BENCH_OPEN";

/// Limits whose rates are too high to be reached.
const LIMITS: Limits = Limits {
    rps: 1e12,
    write_rps: 1e12,
    value_bytes: 8192,
    txn_ops: 48,
};

fn request(method: &str, path: String, body: Vec<u8>) -> Request {
    let (method, query, close) = (method.into(), String::new(), false);
    Request {
        method,
        path,
        query,
        body,
        close,
    }
}

/// A commit of four values of 300 bytes, as a controller's scheduling cycle makes it.
fn commit(n: u64) -> Request {
    let put = |i: u64| Operation::Put {
        key: format!("r/wk-{:06}/{i}", n % 5000),
        value: "x".repeat(300).into(),
        lease: None,
    };
    let txn = Transaction {
        conditions: Vec::new(),
        ops: (0..4).map(put).collect(),
    };
    request("POST", "/commit".into(), encode(&txn))
}

fn read(n: u64) -> Request {
    request("GET", format!("/keys/r/wk-{:06}/1", n % 5000), Vec::new())
}

/// Handles requests for two seconds, `group` of them per flush, and prints rate and latency.
fn measure<S: Storage>(
    label: &str,
    s: &mut Service<S>,
    group: u64,
    make_request: fn(u64) -> Request,
) {
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    let begin = Instant::now();
    let mut n = 0;
    while begin.elapsed() < Duration::from_secs(2) {
        let now = Time(1 + begin.elapsed().as_micros() as u64);
        let requests: Vec<Request> = (n..n + group).map(make_request).collect();
        let t = Instant::now();
        for (i, r) in requests.iter().enumerate() {
            s.handle(now, ClientId(0), RequestId(i as u64), r);
        }
        assert_eq!(s.flush(now).len() as u64, group);
        times
            .record_n(t.elapsed().as_micros().max(1) as u64, group)
            .expect("in bounds");
        n += group;
    }
    let rate = n as f64 / begin.elapsed().as_secs_f64();
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!(
        "{label:<34} groups of {group:>3}: {rate:>9.0} a second, p50 {p50:>6} us, p99 {p99:>6} us"
    );
}

/// Resident memory of this process in bytes; 0 if it is unknown.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// A state with this number of small records.
fn state_with_keys(keys: u64) -> PersistedState {
    let key = |n| {
        let value = StoredValue(encode(&serde_json::json!({"s": "d", "n": n % 100})).into());
        (
            format!("job/wk-{n:09}"),
            StoredKey {
                value,
                version: Version(n + 1),
                lease: None,
            },
        )
    };
    PersistedState {
        counters: Counters {
            revision: keys,
            ..Counters::default()
        },
        keys: (0..keys).map(key).collect(),
        ..PersistedState::default()
    }
}

/// Creates a store with `keys` keys and measures its start-up in a new process, since this
/// process's memory would distort the result.
fn measure_start_up(dir: &Path, keys: u64) {
    let path = dir.join(format!("store-{keys}"));
    let mut disk = Disk::in_file(&path);
    disk.load().expect("a new store loads");
    snapshot::write_state(&mut disk, &state_with_keys(keys)).expect("there is room");
    drop(disk);
    let program = std::env::current_exe().expect("this program has a path");
    let status = std::process::Command::new(program)
        .env(OPEN_STORE_ENV, format!("{} {keys}", path.display()))
        .status();
    assert!(status.expect("the process starts").success());
}

/// Opens a store and prints the time and the memory that this took, and the cost of a snapshot.
fn measure_open(path: &Path, keys: u64) {
    let before = resident_bytes();
    let t = Instant::now();
    let s = Service::open(Disk::in_file(path), LIMITS, Time(1)).expect("just written");
    let start_time = t.elapsed();
    let memory = resident_bytes().saturating_sub(before) / keys;
    let file = std::fs::metadata(path).map_or(0, |m| m.len()) / keys;
    let t = Instant::now();
    let snapshot_path = path.with_extension("snapshot");
    snapshot::save(&s.clone_state(), &snapshot_path).expect("there is room");
    let snapshot_time = t.elapsed();
    let size = std::fs::metadata(&snapshot_path).map_or(0, |m| m.len()) / keys;
    println!(
        "{keys:>8} keys: starts in {start_time:>8.1?}; a key takes {memory} bytes of memory, {file} on disk; \
         snapshot in {snapshot_time:.1?}, {size} bytes a key"
    );
}

fn main() {
    if let Ok(arguments) = std::env::var(OPEN_STORE_ENV) {
        let (path, keys) = arguments.split_once(' ').expect("path and keys");
        return measure_open(Path::new(path), keys.parse().expect("a number"));
    }
    let dir = std::env::temp_dir().join(format!("pebblefold-bench-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory for the measurement");
    let mut memory = Service::open(Memory::default(), LIMITS, Time(1)).expect("memory opens");
    let mut disk = Service::open(Disk::in_file(dir.join("store")), LIMITS, Time(1)).expect("opens");
    for group in [1, 8, 64] {
        measure("commits of 4 puts, in memory,", &mut memory, group, commit);
        measure("commits of 4 puts, on disk,", &mut disk, group, commit);
    }
    measure("reads, in memory,", &mut memory, 1, read);
    measure("reads, on disk,", &mut disk, 1, read);
    for keys in [10_000, 100_000, 1_000_000] {
        measure_start_up(&dir, keys);
    }
    std::fs::remove_dir_all(&dir).expect("a directory of this process");
}
