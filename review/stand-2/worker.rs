//! A worker as PROTOCOL describes it, for cases with more tasks than processes: it runs no
//! commands, a task is done after a fixed time. One thread reports, another answers
//! `/commands` and `/inspect`.

use crate::http;
use crate::pack::{V, map};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REPORT: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(4);
const CPUS: f64 = 32.0;

/// What the tasks of the case are like.
#[derive(Clone, Copy)]
pub struct Tasks {
    pub cpus: f64,
    pub fetch: Duration,
    pub run: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Fetching,
    Running(Instant),
    Ended(&'static str),
}

struct Inner {
    tasks: Tasks,
    box_fields: Vec<(String, V)>,
    shift: i32,
    tally: i128,
    baton: i128,
    /// From when the lease counts.
    answered: Instant,
    /// When the machine has the image; `None`: nobody has asked for it.
    image: Option<Instant>,
    pieces: BTreeMap<(String, i128), Stage>,
    changed: bool,
    stopped: bool,
    /// Tasks that were killed as the lease ended, and how often it did while there were any.
    pub killed: usize,
    pub lapses: usize,
    pub done: usize,
    record: Record,
}

#[derive(Clone)]
pub struct Worker(Arc<Mutex<Inner>>);

impl Worker {
    pub fn start(
        fields: Vec<(String, V)>,
        listener: TcpListener,
        nodes: Vec<(String, SocketAddr)>,
        tasks: Tasks,
        record: Record,
    ) -> Worker {
        let worker = Worker(Arc::new(Mutex::new(Inner {
            tasks,
            box_fields: fields,
            shift: 1,
            tally: 0,
            baton: 0,
            answered: Instant::now(),
            image: None,
            pieces: BTreeMap::new(),
            changed: true,
            stopped: false,
            killed: 0,
            lapses: 0,
            done: 0,
            record,
        })));
        let direct = worker.clone();
        http::serve(listener, move |method, path, body| {
            direct.with(|w| {
                w.advance();
                let status = match (method, path) {
                    ("POST", "/commands") => w.direct(&V::decode(body).unwrap_or(V::Nil)),
                    ("GET", "/inspect") => 200,
                    _ => 400,
                };
                (
                    status,
                    if status == 400 {
                        Vec::new()
                    } else {
                        w.report().encode()
                    },
                )
            })
        });
        let reporter = worker.clone();
        std::thread::spawn(move || reporter.report_on(&nodes));
        worker
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }

    pub fn stop(&self) {
        self.with(|w| w.stopped = true);
    }

    /// Tasks that completed, tasks killed by the end of the lease, and how often it ended
    /// while there were tasks.
    pub fn counts(&self) -> (usize, usize, usize) {
        self.with(|w| (w.done, w.killed, w.lapses))
    }

    /// Reports without end, one report at a time.
    fn report_on(&self, nodes: &[(String, SocketAddr)]) {
        let mut node = 0;
        let mut due = Instant::now();
        let mut last = Instant::now() - REPORT;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let report = self.with(|w| {
                if w.stopped {
                    return Err(());
                }
                w.advance();
                let early = w.changed
                    && now >= last + Duration::from_millis(500)
                    && now + REPORT * 5 / 4 > due;
                if now < due && !early {
                    return Ok(None);
                }
                w.changed = false;
                let report = w.report();
                Ok(Some((w.shift, w.pieces.len(), report)))
            });
            let (shift, pieces, report) = match report {
                Err(()) => return,
                Ok(None) => continue,
                Ok(Some(r)) => r,
            };
            last = now;
            due = now + REPORT;
            let body = report.encode();
            let answer = http::ask(nodes[node].1, "POST", "/checkin", &body, PATIENCE);
            let what = format!(
                "report of {pieces} pieces, {} bytes ({} as JSON), to {}",
                body.len(),
                report.to_string().len(),
                nodes[node].0
            );
            match answer {
                Ok((200, answer)) if now.elapsed() < PATIENCE => {
                    let answer = V::decode(&answer).unwrap_or(V::Nil);
                    self.with(|w| w.answered(now, shift, &answer));
                }
                Ok((421, answer)) => {
                    let to =
                        V::decode(&answer).and_then(|v| v.get("foreman")?.text().map(String::from));
                    let to = nodes.iter().position(|(name, _)| Some(name) == to.as_ref());
                    match to.filter(|n| *n != node) {
                        Some(n) => (node, due) = (n, Instant::now()),
                        None => (node, due) = ((node + 1) % nodes.len(), Instant::now() + REPORT),
                    }
                }
                other => {
                    let why = match other {
                        Ok((status, _)) => format!("status {status}"),
                        Err(e) => e,
                    };
                    if pieces > 0 {
                        self.with(|w| w.record.line(&format!("worker: {what}: {why}")));
                    }
                    (node, due) = (
                        (node + 1) % nodes.len(),
                        Instant::now() + Duration::from_secs(1),
                    );
                }
            }
        }
    }
}

impl Inner {
    fn report(&mut self) -> V {
        self.tally += 1;
        let pieces: Vec<V> = self
            .pieces
            .iter()
            .map(|((piece, attempt), stage)| {
                let (stage, cause) = match stage {
                    Stage::Fetching => ("fetching", None),
                    Stage::Running(_) => ("running", None),
                    Stage::Ended(why) => ("ended", Some(*why)),
                };
                let mut fields = vec![
                    ("piece", piece.as_str().into()),
                    ("try", V::Int(*attempt)),
                    ("stage", stage.into()),
                ];
                fields.extend(cause.map(|why| ("cause", why.into())));
                map(&fields)
            })
            .collect();
        let mut fields = self.box_fields.clone();
        for (name, value) in [
            ("shift", V::from(self.shift)),
            ("tally", V::Int(self.tally)),
            ("baton", V::Int(self.baton)),
            ("warning_s", V::Nil),
            ("pieces", pieces.into()),
        ] {
            fields.push((name.into(), value));
        }
        V::Map(fields)
    }

    /// Lets time pass: the lease, the image, tasks that complete.
    fn advance(&mut self) {
        let now = Instant::now();
        if now > self.answered + LEASE {
            if !self.pieces.is_empty() {
                self.lapses += 1;
                self.killed += self.pieces.len();
                let n = self.pieces.len();
                self.record.line(&format!(
                    "worker: lease over, {n} pieces killed and forgotten"
                ));
            }
            self.pieces.clear();
            self.shift += 1;
            self.answered = now;
            self.changed = true;
        }
        for stage in self.pieces.values_mut() {
            match *stage {
                Stage::Fetching if self.image.is_some_and(|at| now >= at) => {
                    (*stage, self.changed) = (Stage::Running(now), true);
                }
                Stage::Running(since) if now >= since + self.tasks.run => {
                    (*stage, self.changed) = (Stage::Ended("done"), true);
                    self.done += 1;
                }
                _ => {}
            }
        }
    }

    fn answered(&mut self, sent: Instant, shift: i32, answer: &V) {
        let token = answer.get("baton").and_then(V::int).unwrap_or(-1);
        if shift != self.shift || token < self.baton {
            return;
        }
        self.raise(token);
        self.answered = sent;
        self.execute(answer);
    }

    fn raise(&mut self, token: i128) {
        if token > self.baton {
            (self.baton, self.changed) = (token, true);
        }
    }

    fn direct(&mut self, body: &V) -> u16 {
        let (Some(token), Some(shift)) = (
            body.get("baton").and_then(V::int),
            body.get("shift").and_then(V::int),
        ) else {
            return 400;
        };
        if token < self.baton || shift != i128::from(self.shift) {
            return 409;
        }
        self.raise(token);
        self.execute(body);
        200
    }

    fn execute(&mut self, body: &V) {
        for order in body.get("orders").map_or(&[][..], V::list) {
            let (Some(verb), Some(piece), Some(attempt)) = (
                order.get("verb").and_then(V::text),
                order.get("piece").and_then(V::text),
                order.get("try").and_then(V::int),
            ) else {
                continue;
            };
            let key = (piece.to_string(), attempt);
            self.changed = true;
            match verb {
                "start" if !self.pieces.contains_key(&key) => {
                    let live = |s: &Stage| !matches!(s, Stage::Ended(_));
                    let busy = self.pieces.iter().any(|((p, _), s)| p == piece && live(s));
                    let used =
                        self.pieces.values().filter(|s| live(s)).count() as f64 * self.tasks.cpus;
                    let stage = if busy {
                        Stage::Ended("in_use")
                    } else if used + self.tasks.cpus > CPUS + 1e-6 {
                        Stage::Ended("no_room")
                    } else {
                        self.image.get_or_insert(Instant::now() + self.tasks.fetch);
                        Stage::Fetching
                    };
                    self.pieces.insert(key, stage);
                }
                "halt" => {
                    if let Some(stage) = self
                        .pieces
                        .get_mut(&key)
                        .filter(|s| !matches!(s, Stage::Ended(_)))
                    {
                        *stage = Stage::Ended("halted");
                    }
                }
                "clear" => {
                    if matches!(self.pieces.get(&key), Some(Stage::Ended(_))) {
                        self.pieces.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }
}
