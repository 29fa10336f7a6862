//! One controller with a state service, a cloud and one worker, all in memory and made of
//! literal texts: what the controller says is seen as it travels.
#![allow(dead_code, reason = "each test program uses a part")]

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

/// The worker's machine.
pub const MACHINE: &str = "host-1";
const ADDRESS: &str = "10.1.0.1:9000";

/// Everything around the controller.
pub struct World {
    pub node: Node,
    pub ms: u64,
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    changes: Vec<Value>,
    leases: u64,
    watches: Vec<(CallId, String, u64)>,
    answers: BTreeMap<u64, Answer>,
    requests: u64,
    rented: bool,
    /// The worker's tasks: attempt, state, and since when.
    tasks: BTreeMap<String, (u64, &'static str, u64)>,
    token: u64,
    sequence: u64,
    report_due: u64,
    /// Methods and paths of the calls to the state service and the cloud.
    pub calls: BTreeSet<String>,
    /// Values written below each key, in order; null for a deletion.
    pub written: BTreeMap<String, Vec<Value>>,
    /// Bodies that the cloud got, by path.
    pub asked: BTreeMap<String, Vec<Value>>,
    /// Commands that the worker got.
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
    Settings::parse(&file.to_string()).expect("the settings are good")
}

/// MessagePack as JSON; null if there is none.
pub fn shown(body: &[u8]) -> Value {
    decode(body).unwrap_or_default()
}

impl Default for World {
    fn default() -> World {
        let settings = settings();
        let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).expect("it is good");
        World {
            node: Node::new(settings, policy, 1),
            ms: 5000,
            keys: BTreeMap::new(),
            revision: 0,
            changes: Vec::new(),
            leases: 0,
            watches: Vec::new(),
            answers: BTreeMap::new(),
            requests: 0,
            rented: false,
            tasks: BTreeMap::new(),
            token: 0,
            sequence: 0,
            report_due: 0,
            calls: BTreeSet::new(),
            written: BTreeMap::new(),
            asked: BTreeMap::new(),
            commands: Vec::new(),
        }
    }
}

impl World {
    /// A record was stored before the controller started.
    pub fn stored(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.keys.insert(key.into(), (value, self.revision));
    }

    fn give(&mut self, input: Input) {
        let now = Now {
            time: Time(self.ms * 1000),
            wall: WallTime(1_000_000 + self.ms),
        };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for out in self.node.handle(now, input) {
                match out {
                    Output::Answer(id, answer) => drop(self.answers.insert(id.0, answer)),
                    Output::Call(call) => inputs.extend(self.called(call)),
                    Output::LeaseKeepAlive(_) => {}
                }
            }
        }
    }

    fn called(&mut self, call: Call) -> Option<Input> {
        let body = shown(&call.body);
        let (status, answer) = match call.target {
            Target::Store => {
                let without = call.path.split('?').next().unwrap_or_default();
                self.calls
                    .insert(format!("state {} {without}", call.method));
                if let Some(query) = call.path.strip_prefix("/changes?") {
                    let param = |name| {
                        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                        let found = pairs.find(|(n, _)| *n == name);
                        found.expect("the parameter is there").1.to_string()
                    };
                    let since = param("since").parse().expect("a number");
                    param("hold_ms");
                    self.watches.push((call.id, param("starts"), since));
                    return None;
                }
                self.state(&call.path, &body)
            }
            Target::Cloud => {
                self.calls
                    .insert(format!("cloud {} {}", call.method, call.path));
                self.cloud(call.method, &call.path, body)
            }
            Target::Host(addr) => {
                assert_eq!(addr.to_string(), ADDRESS);
                assert_eq!((call.method, call.path.as_str()), ("POST", "/commands"));
                self.obey(&body);
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

    fn state(&mut self, path: &str, body: &Value) -> (u16, Value) {
        if path == "/leases" {
            assert!(body["life_ms"].is_u64(), "{body}");
            self.leases += 1;
            return (200, json!({"permit": self.leases}));
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
                _ => panic!("neither written nor deleted: {op}"),
            };
            let mut told = op.clone();
            told["touched"] = json!(self.revision);
            self.changes.push(told);
            if value.is_null() {
                self.keys.remove(key);
            } else {
                self.keys.insert(key.into(), (value.clone(), self.revision));
            }
            self.written.entry(key.into()).or_default().push(value);
        }
        (200, json!({"ledger_mark": self.revision}))
    }

    fn cloud(&mut self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let without = path.split('?').next().unwrap_or_default();
        if method == "POST" {
            self.asked.entry(path.into()).or_default().push(body);
        }
        let listed = json!({"ref": MACHINE, "addr": ADDRESS, "box_kind": "g4", "yard": "z0",
            "borrowed": false, "stage": "running", "age_s": 1.0});
        match (method, without) {
            ("GET", "/machine_types") => (
                200,
                json!({"kinds_of_box": [{"sku": "g4", "vcpus": 16.0, "accelerators": 4.0,
                    "memory_gb": 128.0, "cache_gb": 40.0, "fetch_gb_per_s": 2.0, "rate": 4.0,
                    "low_price": 1.0, "startup_s": 1.0, "yards": ["z0"]}]}),
            ),
            ("GET", "/machines") => {
                let boxes: Vec<Value> = self.rented.then_some(listed).into_iter().collect();
                (200, json!({"boxes": boxes, "truncated": false}))
            }
            ("POST", "/machines") => {
                self.rented = true;
                (200, json!({"boxes": [MACHINE]}))
            }
            ("POST", "/machines/release") => {
                self.rented = false;
                (200, json!({"boxes": []}))
            }
            _ => panic!("{method} {path}"),
        }
    }

    /// The worker gets commands.
    fn obey(&mut self, answer: &Value) {
        self.token = answer["baton"].as_u64().expect("a token");
        for order in answer["orders"].as_array().expect("commands") {
            let task = order["piece"].as_str().expect("a task").to_string();
            let attempt = order["try"].as_u64().expect("an attempt");
            match order["verb"].as_str() {
                Some("start") => drop(self.tasks.insert(task, (attempt, "running", self.ms))),
                Some("halt") => drop(self.tasks.insert(task, (attempt, "halted", self.ms))),
                Some("clear") => drop(self.tasks.remove(&task)),
                _ => panic!("{order}"),
            }
            self.commands.push(order.clone());
        }
    }

    fn report(&mut self) {
        self.sequence += 1;
        let piece = |(task, (attempt, state, _)): (&String, &(u64, &str, u64))| match *state {
            "running" => json!({"piece": task, "try": attempt, "stage": "running"}),
            cause => {
                json!({"piece": task, "try": attempt, "stage": "ended", "cause": cause, "saved": true})
            }
        };
        let pieces: Vec<Value> = self.tasks.iter().map(piece).collect();
        let report = json!({"box": MACHINE, "addr": ADDRESS, "box_kind": "g4", "yard": "z0",
            "borrowed": false, "shift": 1, "tally": self.sequence, "baton": self.token,
            "pieces": pieces});
        if let Some((200, answer)) = self.answered(Listener::Api, "POST", "/checkin", report) {
            self.obey(&answer);
        }
    }

    /// Lets so much time pass. The worker reports each second; a task takes three.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.ms += 50;
            for (_, state, since) in self.tasks.values_mut() {
                if *state == "running" && self.ms - *since >= 3000 {
                    *state = "done";
                }
            }
            if self.rented && self.ms >= self.report_due {
                self.report_due = self.ms + 1000;
                self.report();
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.give(Input::Tick);
        for (id, starts, since) in std::mem::take(&mut self.watches) {
            let news = self.changes.iter().filter(|c| {
                let key = c["write"].as_str().or(c["delete"].as_str());
                c["touched"].as_u64() > Some(since) && key.is_some_and(|k| k.starts_with(&starts))
            });
            let news: Vec<&Value> = news.collect();
            let body = encode(&json!({"ledger_mark": self.revision, "news": news}));
            self.give(Input::Reply(id, Reply::Answer(200, body)));
        }
    }

    /// Asks the node with JSON as MessagePack; waits for the answer.
    pub fn ask(&mut self, side: Listener, method: &str, target: &str, body: Value) -> (u16, Value) {
        let answer = self.answered(side, method, target, body);
        answer.unwrap_or_else(|| panic!("{method} {target}: no answer"))
    }

    /// Likewise, for as long as a worker waits.
    fn answered(
        &mut self,
        side: Listener,
        method: &str,
        target: &str,
        body: Value,
    ) -> Option<(u16, Value)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        self.requests += 1;
        let id = self.requests;
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
        self.give(Input::Request(RequestId(id), side, request));
        for _ in 0..400 {
            if let Some(a) = self.answers.remove(&id) {
                return Some((a.status, shown(&a.body)));
            }
            self.ms += 10;
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
        self.ask(Listener::Api, "POST", "/submissions", job)
    }
}

/// A controller whose worker runs a job, which has been polled.
pub fn running() -> World {
    let mut w = World::default();
    w.pass(10_000);
    w.submit("wk-1", "batch");
    w.pass(4_000);
    w.ask(Listener::Api, "GET", "/submissions/wk-1", Value::Null);
    w
}
