//! Pins, as literals, the output of `pebblectl` that other programs read: names in JSON,
//! and exit statuses.

use pebblefold_kvstore::{PersistedState, snapshot};
use pebblefold_wire::encode;
use pebblefold_wire::http::{Response, parse_request, write_response};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Writes a file and returns its path.
fn write_file(name: &str, bytes: &[u8]) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("output_format");
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join(name);
    std::fs::write(&path, bytes).expect("the file is written");
    path.display().to_string()
}

fn pebblectl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pebblectl"));
    command.args(["--output", "json"]).args(arguments);
    command.env_remove("PEBBLECTL_CLUSTER");
    command.env_remove("PEBBLECTL_OUTPUT");
    let missing_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-config");
    command.env("XDG_CONFIG_HOME", missing_dir);
    command.output().expect("pebblectl runs")
}

/// The exit status, and the JSON on standard output (null if there is none).
fn status_and_json(output: &Output) -> (Option<i32>, Value) {
    let parsed = serde_json::from_slice(&output.stdout);
    (output.status.code(), parsed.unwrap_or_default())
}

/// Starts a controller that gives every request the same answer. Returns the settings
/// file that names the controller, and a channel with the requests that it received:
/// method, path with query, and body.
fn fake_controller(
    name: &str,
    status: u16,
    answer: Value,
) -> (String, std::sync::mpsc::Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
            while let Ok(n) = stream.read(&mut chunk) {
                received.extend_from_slice(&chunk[..n]);
                let Ok(Some((r, _))) = parse_request(&received) else {
                    if n == 0 {
                        break;
                    }
                    continue;
                };
                let body: Value = pebblefold_wire::decode(&r.body).unwrap_or_default();
                let request = json!([r.method, format!("{}?{}", r.path, r.query), body]);
                // The send fails if the test has already ended, which is harmless.
                let _ = tx.send(request);
                let response = Response {
                    status,
                    retry_after: None,
                    body: encode(&answer),
                    close: true,
                };
                stream.write_all(&write_response(&response)).expect("sent");
                break;
            }
        }
    });
    let text = format!(
        "cluster = \"c\"\noutput = \"json\"\n[clusters.c]\napi = [\"{addr}\"]\ninternal = [\"{addr}\"]\nstate = \"{addr}\"\n"
    );
    (write_file(name, text.as_bytes()), rx)
}

fn job() -> Value {
    json!({"ref": "wk-1", "lane": "urgent", "crew": "red", "shape": "batch",
        "urgency": "standard", "pieces": 2, "vcpus": 4.0, "accelerators": 1.0,
        "memory_gb": 16.0, "bundle": "img-0", "size_gb": 6.0, "kinds_of_box": null,
        "yard": null, "same_place": false, "scatter": false, "borrowed": false,
        "guess_s": 30.0, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": null})
}

#[test]
fn users_verbs_keep_their_requests_and_output() {
    let answer = json!({"ref": "wk-1", "stage": "running", "done": 1, "running": 2});
    let (config, seen) = fake_controller("users.toml", 200, answer.clone());
    let job_file = write_file("job.json", job().to_string().as_bytes());
    let cases = [
        (
            ["submit", &job_file],
            json!(["POST", "/submissions?", job()]),
        ),
        (
            ["status", "wk-1"],
            json!(["GET", "/submissions/wk-1?", null]),
        ),
        (
            ["cancel", "wk-1"],
            json!(["POST", "/submissions/wk-1/cancel?", null]),
        ),
    ];
    for (verb, request) in cases {
        let output = pebblectl(&["--config", &config, verb[0], verb[1]]);
        assert_eq!(
            status_and_json(&output),
            (Some(0), answer.clone()),
            "{verb:?}"
        );
        assert_eq!(seen.recv().expect("a request"), request, "{verb:?}");
    }
}

#[test]
fn inspect_keeps_its_request_and_prints_the_answer() {
    let answer = json!({"node": "node-0", "leads": true});
    let (config, seen) = fake_controller("inspect.toml", 200, answer.clone());
    let output = pebblectl(&["--config", &config, "inspect"]);
    assert_eq!(status_and_json(&output), (Some(0), answer));
    assert_eq!(
        seen.recv().expect("a request"),
        json!(["GET", "/inspect?machine=&job=", null])
    );
}

#[test]
fn config_show_keeps_its_names() {
    let text = b"cluster = \"c\"\n[clusters.c]\napi = [\"127.0.0.1:1\"]\ninternal = [\"127.0.0.1:2\"]\nstate = \"127.0.0.1:3\"\n";
    let config = write_file("shown.toml", text);
    let (status, shown) = status_and_json(&pebblectl(&["--config", &config, "config", "show"]));
    assert_eq!(status, Some(0));
    let of = |name: &str| {
        let settings = shown.as_array().expect("a list");
        let mut matching = settings.iter().filter(|v| v["name"] == name);
        let found = matching.next().unwrap_or_else(|| panic!("{name}: {shown}"));
        assert_eq!(found.as_object().expect("an object").len(), 3, "{found}");
        (found["value"].clone(), found["from"].clone())
    };
    assert_eq!(of("cluster"), (json!("c"), json!(config)));
    assert_eq!(of("output"), (json!("json"), json!("--output")));
}

#[test]
fn snapshot_check_keeps_its_names() {
    let path = write_file("store.snapshot", b"");
    snapshot::save(&PersistedState::default(), path.as_ref()).expect("the snapshot is saved");
    let output = pebblectl(&["state", "snapshot", "check", &path]);
    assert_eq!(
        status_and_json(&output),
        (
            Some(0),
            json!({"revision": 0, "keys": 0, "leases": 0, "changes": 0})
        )
    );
}

#[test]
fn workflow_check_keeps_its_names() {
    let path = write_file("broken.cwl", b"cwlVersion: v1.2\nclass: Nothing\n");
    let (status, list) = status_and_json(&pebblectl(&["workflow", "check", &path]));
    assert_eq!(status, Some(2));
    let problem = list[0].as_object().expect("a problem");
    let mut names: Vec<&str> = problem.keys().map(String::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["column", "file", "line", "text", "weight"]);
    assert_eq!(problem["weight"], "error");
}

#[test]
fn failures_keep_their_exit_statuses() {
    let (refused, _seen) = fake_controller("refused.toml", 404, json!({"error": "no such job"}));
    let closed = b"cluster = \"c\"\n[clusters.c]\napi = [\"127.0.0.1:1\"]\n";
    let closed = write_file("closed.toml", closed);
    let unknown = write_file("unknown.toml", b"ouput = \"json\"\n");
    let cases = [
        (["--config", &refused, "status", "wk-1"], 1),
        (["--config", &unknown, "status", "wk-1"], 2),
        (["--config", &refused, "status", "wk 1"], 2),
        (["--config", &closed, "status", "wk-1"], 4),
    ];
    for (arguments, status) in cases {
        let output = pebblectl(&arguments);
        assert_eq!(output.status.code(), Some(status), "{arguments:?}");
    }
}
