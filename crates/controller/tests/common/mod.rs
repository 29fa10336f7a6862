//! One controller with a simulated key-value store, cloud and agent, all in memory. The
//! simulations are written with literal texts, so that tests see each message of the
//! controller as it is sent.
#![allow(
    dead_code,
    reason = "each test program uses only a part of this module"
)]

use pebblefold_controller::core::node::Node;
use pebblefold_controller::core::{
    Answer, Call, CallId, Input, Listener, Now, Output, Reply, RequestId, Target,
};
use pebblefold_controller::http::Request;
use pebblefold_controller::policy::{DEFAULT_SCRIPT, Policy};
use pebblefold_controller::settings::Settings;
use pebblefold_controller::types::{Time, WallTime};
use pebblefold_controller::wire::{decode, encode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The id of the only machine.
pub const MACHINE_ID: &str = "host-1";
const AGENT_ADDRESS: &str = "10.1.0.1:9000";

/// The controller and the simulated services around it.
pub struct TestCluster {
    pub node: Node,
    /// The current time in milliseconds.
    pub now_ms: u64,
    /// The records of the key-value store: for each key the value and its version.
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    /// All puts and deletes so far, as the store reports them to watches.
    changes: Vec<Value>,
    last_lease: u64,
    /// Open watches: the call, the key prefix, and the revision after which changes are
    /// reported.
    watches: Vec<(CallId, String, u64)>,
    /// Answers of the controller that no test has read yet, by request id.
    answers: BTreeMap<u64, Answer>,
    last_request_id: u64,
    provisioned: bool,
    /// The agent's tasks: attempt, state, and the time in ms since which the task is in it.
    tasks: BTreeMap<String, (u64, &'static str, u64)>,
    /// The fencing token of the agent's last answer or command.
    token: u64,
    heartbeat_sequence: u64,
    next_heartbeat_ms: u64,
    /// Methods and paths of the calls to the key-value store and the cloud.
    pub calls: BTreeSet<String>,
    /// Values written to each key, in order; null for a deletion.
    pub written: BTreeMap<String, Vec<Value>>,
    /// Bodies of the POST requests to the cloud, by path.
    pub cloud_requests: BTreeMap<String, Vec<Value>>,
    /// Commands that the agent received, in order.
    pub commands: Vec<Value>,
}

fn settings() -> Settings {
    let file = json!({
        "label": "node-0", "zone": "z0",
        "api_addr": "10.0.0.1:8080", "internal_addr": "10.0.0.1:8081", "peers": [],
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "settings": {
            "size": 1, "zones": ["z0"], "teams": [{"name": "red", "gpus": 4.0, "gpus_max": 8.0}],
            "objectives": [{"kind": "wait", "class": "urgent", "within_s": 18.0}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0,
                "gang_peer_s": 8.0, "cancel_s": 40.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 48},
            "cloud": {"rps": 6.0, "list_lag_s": 4.0},
            "quota": {"max_sockets": 900}, "clock_error_ms": 1000.0,
        },
    });
    Settings::parse(&file.to_string()).expect("the settings are valid")
}

/// A MessagePack body as JSON; null if the body is empty or not MessagePack.
pub fn decode_json(body: &[u8]) -> Value {
    decode(body).unwrap_or_default()
}

impl Default for TestCluster {
    fn default() -> TestCluster {
        let settings = settings();
        let policy =
            Policy::from_script(DEFAULT_SCRIPT, &settings).expect("the default policy is valid");
        TestCluster {
            node: Node::new(settings, policy, 1),
            now_ms: 5000,
            keys: BTreeMap::new(),
            revision: 0,
            changes: Vec::new(),
            last_lease: 0,
            watches: Vec::new(),
            answers: BTreeMap::new(),
            last_request_id: 0,
            provisioned: false,
            tasks: BTreeMap::new(),
            token: 0,
            heartbeat_sequence: 0,
            next_heartbeat_ms: 0,
            calls: BTreeSet::new(),
            written: BTreeMap::new(),
            cloud_requests: BTreeMap::new(),
            commands: Vec::new(),
        }
    }
}

impl TestCluster {
    /// Stores a record, as if an earlier controller had written it.
    pub fn store_record(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.keys.insert(key.into(), (value, self.revision));
    }

    fn handle_input(&mut self, input: Input) {
        let now = Now {
            time: Time(self.now_ms * 1000),
            wall: WallTime(1_000_000 + self.now_ms),
        };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.handle(now, input) {
                match output {
                    Output::Answer(id, answer) => drop(self.answers.insert(id.0, answer)),
                    Output::Call(call) => inputs.extend(self.respond(call)),
                    Output::LeaseKeepAlive(_) => {}
                }
            }
        }
    }

    fn respond(&mut self, call: Call) -> Option<Input> {
        let body = decode_json(&call.body);
        let (status, answer) = match call.target {
            Target::Store => {
                let path_without_query = call.path.split('?').next().unwrap_or_default();
                self.calls
                    .insert(format!("state {} {path_without_query}", call.method));
                if let Some(query) = call.path.strip_prefix("/changes?") {
                    let param = |name| {
                        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                        let found = pairs.find(|(n, _)| *n == name);
                        found.expect("the query has the parameter").1.to_string()
                    };
                    let since = param("since").parse().expect("a number");
                    param("hold_ms");
                    self.watches.push((call.id, param("starts"), since));
                    return None;
                }
                self.store_response(&call.path, &body)
            }
            Target::Cloud => {
                self.calls
                    .insert(format!("cloud {} {}", call.method, call.path));
                self.cloud_response(call.method, &call.path, body)
            }
            Target::Host(addr) => {
                assert_eq!(addr.to_string(), AGENT_ADDRESS);
                assert_eq!((call.method, call.path.as_str()), ("POST", "/commands"));
                self.apply_commands(&body);
                (200, Value::Null)
            }
        };
        let body = if answer.is_null() {
            Vec::new()
        } else {
            encode(&answer)
        };
        Some(Input::Reply(call.id, Reply::Answer(status, body)))
    }

    fn store_response(&mut self, path: &str, body: &Value) -> (u16, Value) {
        if path == "/leases" {
            assert!(body["life_ms"].is_u64(), "{body}");
            self.last_lease += 1;
            return (200, json!({"permit": self.last_lease}));
        }
        if let Some(query) = path.strip_prefix("/keys?") {
            let starts = query.split('&').find_map(|p| p.strip_prefix("starts="));
            let starts = starts.expect("a prefix");
            let found = self.keys.iter().filter(|(k, _)| k.starts_with(starts));
            let entry = |(k, (v, at)): (&String, &(Value, u64))| json!({"key": k, "value": v, "touched": at});
            let entries: Vec<Value> = found.map(entry).collect();
            return (
                200,
                json!({"entries": entries, "truncated": false, "ledger_mark": self.revision}),
            );
        }
        if let Some(key) = path.strip_prefix("/keys/") {
            return match self.keys.get(key) {
                Some((v, at)) => (200, json!({"key": key, "value": v, "touched": at})),
                None => (404, json!({"ledger_mark": self.revision})),
            };
        }
        if path != "/commit" {
            return (200, Value::Null);
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |k| k.1);
        let conditions = body["if"].as_array().expect("conditions");
        let failed = conditions.iter().filter(|c| {
            let key = c["key"].as_str().expect("a key");
            c["touched"].as_u64() != Some(version(key))
        });
        let failed: Vec<Value> = failed.map(|c| c["key"].clone()).collect();
        if !failed.is_empty() {
            return (409, json!({"ledger_mark": self.revision, "failed": failed}));
        }
        self.revision += 1;
        for op in body["apply"].as_array().expect("changes") {
            let (key, value) = match (op["write"].as_str(), op["delete"].as_str()) {
                (Some(key), None) => (key, op["value"].clone()),
                (None, Some(key)) => (key, Value::Null),
                _ => panic!("the operation is neither a put nor a delete: {op}"),
            };
            let mut change = op.clone();
            change["touched"] = json!(self.revision);
            self.changes.push(change);
            if value.is_null() {
                self.keys.remove(key);
            } else {
                self.keys.insert(key.into(), (value.clone(), self.revision));
            }
            self.written.entry(key.into()).or_default().push(value);
        }
        (200, json!({"ledger_mark": self.revision}))
    }

    fn cloud_response(&mut self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let path_without_query = path.split('?').next().unwrap_or_default();
        if method == "POST" {
            self.cloud_requests
                .entry(path.into())
                .or_default()
                .push(body);
        }
        let listed = json!({"ref": MACHINE_ID, "addr": AGENT_ADDRESS, "box_kind": "g4", "yard": "z0",
            "borrowed": false, "stage": "running", "age_s": 1.0});
        match (method, path_without_query) {
            ("GET", "/machine_types") => (
                200,
                json!({"kinds_of_box": [{"sku": "g4", "vcpus": 16.0, "accelerators": 4.0,
                    "memory_gb": 128.0, "cache_gb": 40.0, "fetch_gb_per_s": 2.0, "rate": 4.0,
                    "low_price": 1.0, "startup_s": 1.0, "yards": ["z0"]}]}),
            ),
            ("GET", "/machines") => {
                let boxes: Vec<Value> = self.provisioned.then_some(listed).into_iter().collect();
                (200, json!({"boxes": boxes, "truncated": false}))
            }
            ("POST", "/machines") => {
                self.provisioned = true;
                (200, json!({"boxes": [MACHINE_ID]}))
            }
            ("POST", "/machines/release") => {
                self.provisioned = false;
                (200, json!({"boxes": []}))
            }
            _ => panic!("{method} {path}"),
        }
    }

    /// Carries out commands of the controller as an agent does.
    fn apply_commands(&mut self, answer: &Value) {
        self.token = answer["baton"].as_u64().expect("a token");
        for order in answer["orders"].as_array().expect("commands") {
            let task = order["piece"].as_str().expect("a task").to_string();
            let attempt = order["try"].as_u64().expect("an attempt");
            match order["verb"].as_str() {
                Some("start") => drop(self.tasks.insert(task, (attempt, "running", self.now_ms))),
                Some("halt") => drop(self.tasks.insert(task, (attempt, "halted", self.now_ms))),
                Some("clear") => drop(self.tasks.remove(&task)),
                _ => panic!("{order}"),
            }
            self.commands.push(order.clone());
        }
    }

    fn send_heartbeat(&mut self) {
        self.heartbeat_sequence += 1;
        let piece = |(task, (attempt, state, _)): (&String, &(u64, &str, u64))| match *state {
            "running" => json!({"piece": task, "try": attempt, "stage": "running"}),
            cause => {
                json!({"piece": task, "try": attempt, "stage": "ended", "cause": cause, "saved": true})
            }
        };
        let pieces: Vec<Value> = self.tasks.iter().map(piece).collect();
        let heartbeat = json!({"box": MACHINE_ID, "addr": AGENT_ADDRESS, "box_kind": "g4", "yard": "z0",
            "borrowed": false, "shift": 1, "tally": self.heartbeat_sequence, "baton": self.token,
            "pieces": pieces});
        if let Some((200, answer)) = self.try_request(Listener::Api, "POST", "/checkin", heartbeat)
        {
            self.apply_commands(&answer);
        }
    }

    /// Advances the time by `ms` milliseconds. The agent sends a heartbeat each second; a task
    /// runs for three seconds.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now_ms += 50;
            for (_, state, since) in self.tasks.values_mut() {
                if *state == "running" && self.now_ms - *since >= 3000 {
                    *state = "done";
                }
            }
            if self.provisioned && self.now_ms >= self.next_heartbeat_ms {
                self.next_heartbeat_ms = self.now_ms + 1000;
                self.send_heartbeat();
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.handle_input(Input::Tick);
        for (id, starts, since) in std::mem::take(&mut self.watches) {
            let matching = self.changes.iter().filter(|c| {
                let key = c["write"].as_str().or(c["delete"].as_str());
                c["touched"].as_u64() > Some(since) && key.is_some_and(|k| k.starts_with(&starts))
            });
            let matching: Vec<&Value> = matching.collect();
            let body = encode(&json!({"ledger_mark": self.revision, "news": matching}));
            self.handle_input(Input::Reply(id, Reply::Answer(200, body)));
        }
    }

    /// Sends the controller a request with a JSON body, encoded as MessagePack. Returns the
    /// status and the body of the answer.
    pub fn send_request(
        &mut self,
        listener: Listener,
        method: &str,
        target: &str,
        body: Value,
    ) -> (u16, Value) {
        let answer = self.try_request(listener, method, target, body);
        answer.unwrap_or_else(|| panic!("{method} {target}: no answer"))
    }

    /// Like `send_request`, but `None` if no answer arrives within the 4 seconds that an agent
    /// waits.
    fn try_request(
        &mut self,
        listener: Listener,
        method: &str,
        target: &str,
        body: Value,
    ) -> Option<(u16, Value)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        self.last_request_id += 1;
        let id = self.last_request_id;
        let request = Request {
            method: method.into(),
            path: path.into(),
            query: query.into(),
            body: if body.is_null() {
                Vec::new()
            } else {
                encode(&body)
            },
            close: false,
        };
        self.handle_input(Input::Request(RequestId(id), listener, request));
        for _ in 0..400 {
            if let Some(a) = self.answers.remove(&id) {
                return Some((a.status, decode_json(&a.body)));
            }
            self.now_ms += 10;
            self.tick();
        }
        None
    }

    /// Submits a job of two tasks.
    pub fn submit(&mut self, id: &str, shape: &str) -> (u16, Value) {
        let job = json!({"ref": id, "lane": "urgent", "crew": "red", "shape": shape,
            "urgency": "standard", "pieces": 2, "vcpus": 4.0, "accelerators": 1.0,
            "memory_gb": 16.0, "bundle": "img-0", "size_gb": 6.0, "same_place": false,
            "scatter": false, "borrowed": false, "guess_s": 30.0, "snapshot_every_s": 0.0,
            "snapshot_s": 0.0});
        self.send_request(Listener::Api, "POST", "/submissions", job)
    }
}

/// A cluster in which the agent runs a job of two tasks; a user has polled the job once.
pub fn cluster_with_running_job() -> TestCluster {
    let mut cluster = TestCluster::default();
    cluster.advance(10_000);
    cluster.submit("wk-1", "batch");
    cluster.advance(4_000);
    cluster.send_request(Listener::Api, "GET", "/submissions/wk-1", Value::Null);
    cluster
}
