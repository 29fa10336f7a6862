//! Pins, as literals, the formats that operators use to start a controller: the settings
//! file, the policy script, the output of `check`, and the error messages.

use pebblefold_controller::policy::{DEFAULT_SCRIPT, Policy};
use pebblefold_controller::settings::{ObjectiveKind, Settings};
use pebblefold_controller::types::TimeSpan;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};

/// A settings file with every field.
fn file() -> Value {
    json!({
        "label": "node-0", "zone": "z0",
        "api_addr": "10.0.0.1:8080", "internal_addr": "10.0.0.1:8081",
        "peers": [{"label": "node-1", "zone": "z1", "endpoint": "10.0.0.2:8081"}],
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "settings": {
            "size": 2, "zones": ["z0", "z1"],
            "teams": [{"name": "red", "cpus": 8.0, "cpus_max": 16.0, "gpus": 4.0, "gpus_max": 6.0}],
            "objectives": [
                {"kind": "wait", "class": "urgent", "within_s": 18.0},
                {"kind": "finished", "class": "low", "within_s": 100.0},
                {"kind": "deadline", "times": 1.5}, {"kind": "guarantee", "within_s": 30.0},
                {"kind": "later"},
            ],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0,
                "gang_peer_s": 8.0, "cancel_s": 40.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 48},
            "cloud": {"rps": 6.0, "list_lag_s": 4.0},
            "quota": {"core_share": 0.1, "ram_mb": 56.0, "max_sockets": 900},
            "clock_error_ms": 1000.0,
        },
    })
}

fn parse(file: &Value) -> Result<Settings, String> {
    Settings::parse(&file.to_string()).map_err(|e| e.to_string())
}

/// The settings file with the value at this JSON pointer replaced, or removed if `value` is
/// `None`.
fn file_with(pointer: &str, value: Option<Value>) -> Value {
    let mut file = file();
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    let parent = file.pointer_mut(parent).expect("the value exists");
    match (value, parent) {
        (Some(v), Value::Object(o)) => drop(o.insert(name.into(), v)),
        (None, Value::Object(o)) => drop(o.remove(name).expect("the value exists")),
        _ => panic!("{pointer}: not in an object"),
    }
    file
}

#[test]
fn settings_file_keeps_its_names() {
    let s = parse(&file()).expect("the settings are valid");
    assert_eq!((s.node_id.as_str(), s.zone.as_str()), ("node-0", "z0"));
    let addresses = [
        s.api_addr,
        s.internal_addr,
        s.peers[0].addr,
        s.cloud,
        s.state,
    ];
    assert_eq!(
        addresses.map(|a| a.to_string()),
        [
            "10.0.0.1:8080",
            "10.0.0.1:8081",
            "10.0.0.2:8081",
            "10.2.0.2:8443",
            "10.2.0.1:2379"
        ]
    );
    let peer = (s.peers[0].node_id.as_str(), s.peers[0].zone.as_str());
    assert_eq!((peer, s.size, s.zones.len()), (("node-1", "z1"), 2, 2));
    let red = s.teams[&"red".into()];
    let shares = [red.cpus, red.cpus_max, red.gpus, red.gpus_max];
    assert_eq!(shares, [8.0, 16.0, 4.0, 6.0].map(Some));
    let w = s.workers;
    assert_eq!(
        [w.report, w.lease, w.gang_wait, w.gang_peer, w.cancel].map(TimeSpan::as_secs),
        [1.0, 10.0, 30.0, 8.0, 40.0]
    );
    let limits = s.state_limits;
    assert_eq!((limits.rps, limits.write_rps), (200.0, 80.0));
    assert_eq!((limits.value_bytes, limits.txn_ops), (8192, 48));
    assert_eq!((s.cloud_rps, s.list_lag.as_secs()), (6.0, 4.0));
    assert_eq!((s.max_sockets, s.clock_error.as_secs()), (900, 1.0));
}

#[test]
fn announced_limits_replace_only_what_they_name() {
    let next = json!({"write_rps": 56.0, "value_kb": 2.0, "txn_ops": 16});
    let s = parse(&file_with("/settings/state/next", Some(next))).expect("the settings are valid");
    let next = s.next_state_limits.expect("limits are announced");
    assert_eq!((next.rps, next.write_rps), (200.0, 56.0));
    assert_eq!((next.value_bytes, next.txn_ops), (2048, 16));
    assert_eq!(
        (s.state_limits.value_bytes, s.state_limits.txn_ops),
        (8192, 48)
    );
    for nothing in [json!(null), json!({})] {
        let s = parse(&file_with("/settings/state/next", Some(nothing))).expect("valid");
        let next = s.next_state_limits.unwrap_or(s.state_limits);
        assert_eq!(next, s.state_limits);
    }
}

#[test]
fn objectives_keep_their_kinds_and_names() {
    let s = parse(&file()).expect("the settings are valid");
    let found: Vec<_> = s
        .objectives
        .iter()
        .map(|o| {
            let class = o
                .class
                .as_ref()
                .map(pebblefold_controller::types::Class::as_str);
            (o.kind, class, o.within.map(TimeSpan::as_secs), o.times)
        })
        .collect();
    assert_eq!(
        found,
        [
            (ObjectiveKind::Wait, Some("urgent"), Some(18.0), 1.0),
            (ObjectiveKind::Finished, Some("low"), Some(100.0), 1.0),
            (ObjectiveKind::Deadline, None, None, 1.5),
            (ObjectiveKind::Guarantee, None, Some(30.0), 1.0),
            (ObjectiveKind::Other, None, None, 1.0),
        ]
    );
}

#[test]
fn optional_settings_may_be_absent() {
    for pointer in [
        "/settings/objectives",
        "/settings/teams/0/cpus",
        "/settings/teams/0/cpus_max",
        "/settings/teams/0/gpus",
        "/settings/teams/0/gpus_max",
        "/settings/quota/core_share",
        "/settings/quota/ram_mb",
    ] {
        if let Some(name) = pointer.strip_prefix("/settings/teams/0/") {
            let mut file = file();
            let team = file.pointer_mut("/settings/teams/0").expect("a team");
            let removed = team.as_object_mut().expect("an object").remove(name);
            assert!(removed.is_some() && parse(&file).is_ok(), "{pointer}");
        } else {
            assert!(parse(&file_with(pointer, None)).is_ok(), "{pointer}");
        }
    }
}

#[test]
fn error_names_missing_setting() {
    for pointer in [
        "/label",
        "/zone",
        "/api_addr",
        "/internal_addr",
        "/peers",
        "/services",
        "/settings",
        "/services/cloud",
        "/services/state",
        "/settings/size",
        "/settings/zones",
        "/settings/teams",
        "/settings/workers",
        "/settings/state",
        "/settings/cloud",
        "/settings/quota",
        "/settings/clock_error_ms",
        "/settings/workers/report_s",
        "/settings/workers/lease_s",
        "/settings/workers/gang_wait_s",
        "/settings/workers/gang_peer_s",
        "/settings/workers/cancel_s",
        "/settings/state/rps",
        "/settings/state/write_rps",
        "/settings/state/value_kb",
        "/settings/state/txn_ops",
        "/settings/cloud/rps",
        "/settings/cloud/list_lag_s",
        "/settings/quota/max_sockets",
    ] {
        let name = pointer.rsplit('/').next().expect("a name");
        let error = parse(&file_with(pointer, None)).expect_err(pointer);
        let start = format!("settings: missing field `{name}`");
        assert!(error.starts_with(&start), "{error}");
    }
}

#[test]
fn unusable_settings_keep_their_texts() {
    let peers = json!([{"label": "node-0", "zone": "z", "endpoint": "10.0.0.2:1"}]);
    let cases = [
        ("/label", json!(""), "label: must not be empty"),
        ("/peers", peers, "peers: 'node-0' is named twice"),
        (
            "/settings/size",
            json!(0),
            "settings.size: must be at least 1",
        ),
        (
            "/settings/zones",
            json!([]),
            "settings.zones: must name at least one zone",
        ),
        (
            "/settings/teams",
            json!([{"name": "a"}, {"name": "a"}]),
            "settings.teams: 'a' is named twice",
        ),
        (
            "/settings/state/txn_ops",
            json!(7),
            "settings.state.txn_ops: must be at least 8",
        ),
        (
            "/settings/state/value_kb",
            json!(0.5),
            "settings.state.value_kb: must be at least 1",
        ),
        (
            "/settings/state/next",
            json!({"txn_ops": 7}),
            "settings.state.next.txn_ops: must be at least 8",
        ),
        (
            "/settings/state/next",
            json!({"write_rps": 0.0}),
            "settings.state.next.write_rps: must be a positive number, not 0",
        ),
        (
            "/settings/quota/max_sockets",
            json!(9),
            "settings.quota.max_sockets: must be at least 32",
        ),
        (
            "/settings/quota/ram_mb",
            json!(-1.0),
            "settings.quota.ram_mb: must not be negative",
        ),
        (
            "/settings/clock_error_ms",
            json!(-1.0),
            "settings.clock_error_ms: must not be negative",
        ),
        (
            "/settings/workers/report_s",
            json!(10.0),
            "settings.workers.report_s: must be below lease_s",
        ),
        (
            "/settings/workers/cancel_s",
            json!(0.0),
            "settings.workers.cancel_s: must be a positive number, not 0",
        ),
        (
            "/settings/cloud/rps",
            json!(-2.0),
            "settings.cloud.rps: must be a positive number, not -2",
        ),
        (
            "/settings/objectives",
            json!([{"kind": "wait", "within_s": 0.0}]),
            "settings.objectives.0.within_s: must be a positive number, not 0",
        ),
    ];
    for (pointer, value, text) in cases {
        let error = parse(&file_with(pointer, Some(value))).expect_err(pointer);
        assert_eq!(error, format!("settings: {text}"));
    }
}

/// The default policy for the settings of `file`.
fn policy() -> Value {
    json!({
        "cycle_s": 0.5, "leader_lease_s": 3.0, "doubt": 8.0, "first_fetch_s": 30.0,
        "rent_after_s": 1.0, "most_booting": 400.0, "no_capacity_pause_s": 20.0,
        "boot_patience": 5.0, "idle_s": 12.0, "reserve": 0.5, "most_reserve": 12.0,
        "settle_s": 31.0, "patience_s": 60.0,
        "backfill_margin": 1.5, "promise_slack_s": 60.0, "held_back_s": 60.0, "small_first": 60.0, "floor_share": 0.6,
        "floor_window_s": 600.0, "silent_release_s": 120.0, "highest_level": 1000.0,
    })
}

fn run_policy(script: &str) -> Result<Policy, String> {
    let settings = parse(&file()).expect("the settings are valid");
    Policy::from_script(script, &settings).map_err(|e| e.to_string())
}

#[test]
fn policy_keeps_its_names_and_defaults() {
    let default = run_policy(DEFAULT_SCRIPT).expect("the policy is valid");
    assert_eq!(serde_json::to_value(default).expect("JSON"), policy());
    for (name, value) in policy().as_object().expect("an object") {
        let script = format!("return {{ {name} = {value} }}");
        let same = run_policy(&script).expect("the policy is valid");
        assert_eq!(
            serde_json::to_value(&same).expect("JSON"),
            policy(),
            "{name}"
        );
        assert!(same.changed.is_empty(), "{name}");
    }
    let changed = run_policy("return { idle_s = 5 }")
        .expect("the policy is valid")
        .changed;
    assert_eq!(changed, [("idle_s".to_string(), 5.0)].into());
}

#[test]
fn policy_script_receives_site_facts() {
    let facts = [
        ("report_s", "1.0"),
        ("lease_s", "10.0"),
        ("gang_wait_s", "30.0"),
        ("cancel_s", "40.0"),
        ("list_lag_s", "4.0"),
        ("cloud_rps", "6.0"),
        ("nodes", "2"),
        ("wait_s", "18.0"),
        ("deadlines", "true"),
    ];
    for (name, value) in facts {
        let script = format!("return {{ idle_s = site.{name} == {value} and 7 or 8 }}");
        assert_eq!(
            run_policy(&script).expect("the policy is valid").idle_s,
            7.0,
            "{name}"
        );
    }
}

#[test]
fn unusable_policies_keep_their_texts() {
    let cases = [
        (
            "return { idle = 1 }",
            "policy: idle: no such field; the default policy.lua lists all fields",
        ),
        (
            "return { idle_s = 'x' }",
            "policy: idle_s: must be a number, not string",
        ),
        (
            "return { idle_s = -1 }",
            "policy: idle_s: must be between 0 and 86400, not -1",
        ),
        (
            "return { floor_share = 1 }",
            "policy: floor_share: must be between 0 and 0.9, not 1",
        ),
    ];
    for (script, text) in cases {
        assert_eq!(run_policy(script).expect_err(script), text);
    }
}

fn check(name: &str, settings: &Value, script: Option<&str>) -> Output {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings_format");
    std::fs::create_dir_all(&dir).expect("a directory");
    let config = dir.join(format!("{name}.json"));
    std::fs::write(&config, settings.to_string()).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pebblefold"));
    command.arg("check").arg("--config").arg(config);
    if let Some(script) = script {
        let policy = dir.join(format!("{name}.lua"));
        std::fs::write(&policy, script).expect("the file is written");
        command.arg("--policy").arg(policy);
    }
    command.output().expect("the command runs")
}

#[test]
fn check_command_keeps_its_output_and_statuses() {
    let good = check("good", &file(), None);
    assert_eq!(good.status.code(), Some(0));
    let found: Value = serde_json::from_slice(&good.stdout).expect("JSON");
    assert_eq!(
        found,
        json!({"node": "node-0", "answers_without_contact_s": 27.990001,
            "cancelled_may_run_over_s": 0.0, "policy": policy()})
    );
    let bad = check("bad", &file_with("/label", Some(json!(""))), None);
    let text = String::from_utf8(bad.stderr).expect("text");
    assert_eq!(bad.status.code(), Some(2));
    assert_eq!(text, "pebblefold: settings: label: must not be empty\n");
    let bad = check("script", &file(), Some("return { idle = 1 }"));
    let text = String::from_utf8(bad.stderr).expect("text");
    assert_eq!(bad.status.code(), Some(2));
    assert_eq!(
        text,
        "pebblefold: policy: idle: no such field; the default policy.lua lists all fields\n"
    );
}
