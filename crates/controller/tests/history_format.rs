//! Pins, as literals, the messages of a controller to the key-value store, the cloud and an
//! agent while it runs and cancels jobs.

mod common;
use common::TestCluster;
use pebblefold_controller::core::Listener;
use pebblefold_controller::core::format_version::member_versions::BUILD;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// One job runs to its end, another one is cancelled, and the idle machine is terminated.
fn history() -> TestCluster {
    let mut cluster = TestCluster::default();
    cluster.advance(10_000);
    cluster.submit("wk-1", "batch");
    cluster.advance(15_000);
    cluster.submit("wk-2", "service");
    cluster.advance(2_000);
    cluster.send_request(
        Listener::Api,
        "POST",
        "/submissions/wk-2/cancel",
        Value::Null,
    );
    cluster.advance(160_000);
    cluster
}

/// Replaces times and random numbers by 0, as they differ from run to run.
fn zero_times(value: &mut Value) {
    match value {
        Value::Array(a) => a.iter_mut().for_each(zero_times),
        Value::Object(o) => {
            for (name, v) in o {
                match name.as_str() {
                    "t" | "at" | "nonce" | "life" if v.is_u64() => *v = json!(0),
                    _ => zero_times(v),
                }
            }
        }
        _ => {}
    }
}

/// The values that were written to each key, in order and without repetitions; null: the
/// key was deleted.
fn written(cluster: &TestCluster) -> BTreeMap<String, Vec<Value>> {
    let distinct = |(key, values): (&String, &Vec<Value>)| {
        let mut values = values.clone();
        values.iter_mut().for_each(zero_times);
        values.dedup();
        (key.clone(), values)
    };
    cluster.written.iter().map(distinct).collect()
}

fn submitted(id: &str, shape: &str) -> String {
    format!(
        r#"{{"ref":"{id}","lane":"urgent","crew":"red","shape":"{shape}","urgency":"standard","pieces":2,"vcpus":4.0,"accelerators":1.0,"memory_gb":16.0,"bundle":"img-0","size_gb":6.0,"kinds_of_box":null,"yard":null,"same_place":false,"scatter":false,"borrowed":false,"guess_s":30.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":null}}"#
    )
}

#[test]
fn service_calls_keep_their_paths() {
    let cluster = history();
    let calls: Vec<&str> = cluster.calls.iter().map(String::as_str).collect();
    assert_eq!(
        calls,
        [
            "cloud GET /machine_types",
            "cloud GET /machines?most=500",
            "cloud POST /machines",
            "cloud POST /machines/release",
            "state GET /changes",
            "state GET /keys",
            "state GET /keys/job/wk-2",
            "state POST /commit",
            "state POST /leases",
        ]
    );
}

#[test]
fn stored_records_keep_their_keys_and_values() {
    let mut written = written(&history());
    assert!(
        written.remove("d/f").is_some(),
        "the arrival history is stored"
    );
    // This test does not check how many machines are provisioned, nor the numbers in the
    // keys of later provisions.
    let is_later_provision = |k: &String| k.starts_with("d/h/") && k != "d/h/2-1";
    written.retain(|k, _| !is_later_provision(k));
    let release = written.keys().find(|k| k.starts_with("d/x/2-")).cloned();
    let release = written.remove(&release.expect("a termination is stored"));
    assert_eq!(
        release,
        Some(vec![
            json!({"t": 0, "w": {"idle": ["host-1"]}}),
            Value::Null
        ])
    );
    let types = json!([{"sku": "g4", "vcpus": 16.0, "accelerators": 4.0, "memory_gb": 128.0,
        "cache_gb": 40.0, "fetch_gb_per_s": 2.0, "rate": 4.0, "low_price": 1.0,
        "startup_s": 1.0, "yards": ["z0"]}]);
    let provision = json!({"t": 0, "r": {"hire": "2-1", "box_kind": "g4", "yard": "z0",
        "borrowed": false, "count": 1}});
    let places = json!({"n": 1, "m": [["host-1", 1, 0, [0, 1]]]});
    let member = json!({"levels": {"low": 0, "high": 2}, "build": BUILD, "policy": {}, "life": 0});
    assert_eq!(
        json!(written),
        json!({
            "d/h/2-1": [provision, null],
            "job/wk-1": [{"s": "p", "n": 2}, {"s": "d", "n": 2}],
            "job/wk-2": [{"s": "p", "n": 2}, {"s": "c", "n": 2}],
            "r/wk-1/0": [places, null],
            "r/wk-2/0": [places, null],
            "types/000": [types],
            "w/j/wk-1": [{"at": 0, "n": 1, "s": submitted("wk-1", "batch")}, null],
            "w/j/wk-2": [{"at": 0, "n": 1, "s": submitted("wk-2", "service")}, null],
            "w/leader": [{"since": 1, "see": "w/leader/holder"}],
            "w/leader/at/node-0": [member],
            "w/leader/done": [{"level": 1}, {"level": 2}],
            "w/leader/holder": [{"label": "node-0", "nonce": 0}],
            "w/leader/level": [{"level": 1}, {"level": 2}],
            "w/x/wk-2": [{"s": "c", "n": 2}, null],
        })
    );
}

#[test]
fn cloud_requests_and_agent_commands_keep_their_format() {
    let cluster = history();
    assert_eq!(
        cluster.cloud_requests["/machines"][0],
        json!({"hire": "2-1", "box_kind": "g4", "yard": "z0", "borrowed": false, "count": 1})
    );
    assert_eq!(
        cluster.cloud_requests["/machines/release"],
        [json!({"boxes": ["host-1"]})]
    );
    let command = |verb: &str, task: &str| json!({"verb": verb, "piece": task, "try": 1});
    let halt = |task: &str| json!({"verb": "halt", "piece": task, "try": 1, "wind_down_s": 0.0});
    assert_eq!(
        cluster.commands,
        [
            command("start", "wk-1/0"),
            command("start", "wk-1/1"),
            command("start", "wk-2/0"),
            command("start", "wk-2/1"),
            halt("wk-2/0"),
            halt("wk-2/1"),
            command("clear", "wk-1/0"),
            command("clear", "wk-1/1"),
            command("clear", "wk-2/0"),
            command("clear", "wk-2/1"),
        ]
    );
}

// The records are those of a build without format versions; one task is done, one is placed.
#[test]
fn store_without_format_version_is_loaded_and_rewritten() {
    let mut cluster = TestCluster::default();
    let text = submitted("wk-1", "batch");
    let (one, two) = text.split_at(40);
    cluster.store_record("job/wk-1", json!({"s": "p", "n": 2}));
    cluster.store_record("w/j/wk-1", json!({"at": 1_000_000, "n": 2, "s": one}));
    cluster.store_record("w/p/wk-1/1", json!(two));
    cluster.store_record(
        "r/wk-1/0",
        json!({"n": 3, "d": [[0, 1]], "p": [[1, 3, "host-9", 1]]}),
    );
    cluster.store_record("d/m/host-9", json!({"n": 2, "t": 1_000_000}));
    cluster.store_record(
        "d/x/1-1",
        json!({"t": 1_000_000, "w": {"idle": ["host-8"]}}),
    );
    cluster.advance(5_000);
    let (_, inspection) = cluster.send_request(Listener::Internal, "GET", "/inspect", Value::Null);
    let job = &inspection["leading"]["jobs"][0];
    assert_eq!(
        [&job["job"], &job["tasks"], &job["done"], &job["placed"]],
        [&json!("wk-1"), &json!(2), &json!(1), &json!(1)]
    );
    let duties = &inspection["leading"]["duties"];
    // The termination is requested again until the list shows that the machine is gone.
    let mut releases = cluster.cloud_requests["/machines/release"].clone();
    releases.dedup();
    assert_eq!(releases, [json!({"boxes": ["host-8"]})]);
    assert_eq!(duties[2]["open"]["put_aside"], 1);
    assert_eq!(inspection["levels"]["rewritten"], 2);
    assert_eq!(
        cluster.written["r/wk-1/0"],
        [json!({"n": 3, "d": [0, 1], "m": [["host-9", 1, 0, [1]]]})]
    );
}

// A build without circuit breakers drained a machine for ever. The machine gets work again, and
// the record goes once it has shown that it runs tasks.
#[test]
fn machine_drained_by_an_older_build_gets_work_again() {
    let mut cluster = TestCluster::default();
    cluster.store_record("d/m/host-1", json!({"n": 0, "t": 900_000, "d": true}));
    cluster.advance(10_000);
    cluster.submit("wk-1", "batch");
    cluster.advance(20_000);
    let start = json!({"verb": "start", "piece": "wk-1/0", "try": 1});
    assert!(cluster.commands.contains(&start), "{:?}", cluster.commands);
    assert_eq!(cluster.written["d/m/host-1"].last(), Some(&Value::Null));
}
