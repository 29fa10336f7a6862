//! Pins, as literals, the routes of a controller's two listeners.

mod common;
use common::cluster_with_running_job;
use pebblefold_controller::core::Listener::{Api, Internal};
use serde_json::{Value, json};

#[test]
fn routes_keep_their_methods_paths_and_statuses() {
    let mut cluster = cluster_with_running_job();
    let heartbeat = json!({"label": "node-1", "token": 1, "state_ms": 1, "late_ms": 1});
    let greeting = json!({"label": "node-1", "token": 1, "leads": false, "state_ok": true});
    let suspicion = json!({"token": 2, "no_state": false});
    let no_body = || Value::Null;
    let cases = [
        (Api, "GET", "/ready", no_body(), 200),
        (Api, "POST", "/submissions", no_body(), 400),
        (Api, "GET", "/submissions/wk-1", no_body(), 200),
        (Api, "GET", "/submissions/none", no_body(), 404),
        (Api, "POST", "/submissions/wk-1/cancel", no_body(), 200),
        (Api, "POST", "/submissions/none/cancel", no_body(), 404),
        (Api, "POST", "/checkin", no_body(), 400),
        (Internal, "POST", "/checkin", no_body(), 400),
        (Internal, "POST", "/greet", no_body(), 400),
        (Internal, "POST", "/beat", no_body(), 400),
        (Internal, "POST", "/opinion", no_body(), 400),
        (Internal, "POST", "/take", no_body(), 400),
        (Internal, "POST", "/beat", heartbeat, 200),
        (Internal, "POST", "/opinion", suspicion, 200),
        (Internal, "POST", "/take", json!({"token": 2}), 200),
        (Internal, "POST", "/greet", greeting, 200),
        (Internal, "GET", "/cloud/2/machine_types", no_body(), 200),
        (Internal, "GET", "/cloud/1/machine_types", no_body(), 409),
        (Internal, "GET", "/cloud/x/machine_types", no_body(), 400),
        (Internal, "GET", "/inspect", no_body(), 200),
        (Api, "GET", "/inspect", no_body(), 404),
        (Internal, "GET", "/ready", no_body(), 404),
        (Api, "GET", "/", no_body(), 404),
        (Api, "DELETE", "/submissions", no_body(), 405),
        (Api, "DELETE", "/submissions/wk-1", no_body(), 405),
        (Api, "GET", "/submissions/wk-1/cancel", no_body(), 405),
        (Api, "GET", "/checkin", no_body(), 405),
        (Api, "POST", "/ready", no_body(), 405),
        (Internal, "GET", "/checkin", no_body(), 405),
        (Internal, "GET", "/greet", no_body(), 405),
        (Internal, "GET", "/beat", no_body(), 405),
        (Internal, "GET", "/opinion", no_body(), 405),
        (Internal, "GET", "/take", no_body(), 405),
        (Internal, "POST", "/inspect", no_body(), 405),
    ];
    for (listener, method, target, body, status) in cases {
        let (found, _) = cluster.send_request(listener, method, target, body);
        assert_eq!(found, status, "{listener:?} {method} {target}");
    }
}

#[test]
fn answers_to_users_keep_their_texts() {
    let mut cluster = cluster_with_running_job();
    let get = |cluster: &mut common::TestCluster, target| {
        cluster.send_request(Api, "GET", target, Value::Null).1
    };
    assert_eq!(
        get(&mut cluster, "/submissions/wk-1"),
        json!({"ref": "wk-1", "stage": "running", "done": 0, "running": 2})
    );
    assert_eq!(
        get(&mut cluster, "/submissions/none"),
        json!({"error": "no such job"})
    );
    let (_, refused) = cluster.send_request(Api, "POST", "/submissions", json!({"ref": "wk-9"}));
    let text = "not a submission: a field is missing or of the wrong kind";
    assert_eq!(refused, json!({"error": text}));
}
