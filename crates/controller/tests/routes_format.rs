//! Pins the routes of a controller's two listeners, as literals.

mod common;
use common::running;
use pebblefold_controller::core::Listener::{Api, Internal};
use serde_json::{Value, json};

#[test]
fn routes_keep_their_methods_paths_and_statuses() {
    let mut w = running();
    let beat = json!({"label": "node-1", "token": 1, "state_ms": 1, "late_ms": 1});
    let greeting = json!({"label": "node-1", "token": 1, "leads": false, "state_ok": true});
    let doubt = json!({"token": 2, "no_state": false});
    let none = || Value::Null;
    let cases = [
        (Api, "GET", "/ready", none(), 200),
        (Api, "POST", "/submissions", none(), 400),
        (Api, "GET", "/submissions/wk-1", none(), 200),
        (Api, "GET", "/submissions/none", none(), 404),
        (Api, "POST", "/submissions/wk-1/cancel", none(), 200),
        (Api, "POST", "/submissions/none/cancel", none(), 404),
        (Api, "POST", "/checkin", none(), 400),
        (Internal, "POST", "/checkin", none(), 400),
        (Internal, "POST", "/greet", none(), 400),
        (Internal, "POST", "/beat", none(), 400),
        (Internal, "POST", "/opinion", none(), 400),
        (Internal, "POST", "/take", none(), 400),
        (Internal, "POST", "/beat", beat, 200),
        (Internal, "POST", "/opinion", doubt, 200),
        (Internal, "POST", "/take", json!({"token": 2}), 200),
        (Internal, "POST", "/greet", greeting, 200),
        (Internal, "GET", "/cloud/2/machine_types", none(), 200),
        (Internal, "GET", "/cloud/1/machine_types", none(), 409),
        (Internal, "GET", "/cloud/x/machine_types", none(), 400),
        (Internal, "GET", "/inspect", none(), 200),
        (Api, "GET", "/inspect", none(), 404),
        (Internal, "GET", "/ready", none(), 404),
        (Api, "GET", "/", none(), 404),
        (Api, "DELETE", "/submissions", none(), 405),
        (Api, "DELETE", "/submissions/wk-1", none(), 405),
        (Api, "GET", "/submissions/wk-1/cancel", none(), 405),
        (Api, "GET", "/checkin", none(), 405),
        (Api, "POST", "/ready", none(), 405),
        (Internal, "GET", "/checkin", none(), 405),
        (Internal, "GET", "/greet", none(), 405),
        (Internal, "GET", "/beat", none(), 405),
        (Internal, "GET", "/opinion", none(), 405),
        (Internal, "GET", "/take", none(), 405),
        (Internal, "POST", "/inspect", none(), 405),
    ];
    for (side, method, target, body, status) in cases {
        let (got, _) = w.ask(side, method, target, body);
        assert_eq!(got, status, "{side:?} {method} {target}");
    }
}

#[test]
fn answers_to_users_keep_their_texts() {
    let mut w = running();
    let get = |w: &mut common::World, target| w.ask(Api, "GET", target, Value::Null).1;
    assert_eq!(
        get(&mut w, "/submissions/wk-1"),
        json!({"ref": "wk-1", "stage": "running", "done": 0, "running": 2})
    );
    assert_eq!(
        get(&mut w, "/submissions/none"),
        json!({"error": "no such job"})
    );
    let (_, refused) = w.ask(Api, "POST", "/submissions", json!({"ref": "wk-9"}));
    let text = "not a submission: a field is missing or of the wrong kind";
    assert_eq!(refused, json!({"error": text}));
}
