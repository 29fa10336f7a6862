//! A deterministic world: nodes, stand-ins, users and a network with faults.
//! It checks every rule of the platform on each event.

#![allow(
    clippy::collapsible_match,
    clippy::type_complexity,
    clippy::too_many_arguments
)]

use super::cloud::Cloud;
use super::state::{Handled, State};
use super::worker::Worker;
use super::{settings_of, submission};
use crate::core::node::Node;
use crate::core::{CallId, Input, Now, Output, Reply, RequestId, Side, Target};
use crate::http::Request;
use crate::policy::{DEFAULT_SCRIPT, Policy};
use crate::types::{Time, Wall};
use crate::wire::users::{JobAnswer, Priority, Shape, Stage, Submission};
use crate::wire::workers::{DirectCommands, ReportAnswer, ReportElsewhere, TaskState, Why};
use crate::wire::{decode, encode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Where a message comes from or goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Host {
    /// A controller node.
    Node(usize),
    /// A worker, by machine.
    Worker(String),
    /// State service, cloud, users: the region.
    State,
    /// The cloud.
    Cloud,
    /// All users.
    Users,
}

/// What goes wrong.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A node's process ends; back after so many seconds.
    Crash(usize, u64),
    /// The leading node's process ends.
    CrashLeader(u64),
    /// The state service answers nobody.
    StateOut(u64),
    /// The state service refuses one node.
    StateRefuses(usize, u64),
    /// The state service refuses the leader.
    StateRefusesLeader(u64),
    /// The cloud answers nobody.
    CloudOut(u64),
    /// A worker hangs.
    Hang(u64),
    /// A machine is taken, with notice or without.
    Take(bool),
    /// A worker cannot reach any node; what is sent is lost.
    CutWorker(u64),
    /// The leader and the workers cannot reach each other; what is sent is lost.
    LeaderLosesWorkers(u64),
    /// Two hosts cannot reach each other; what is sent is held back or lost.
    Cut(Host, Host, bool, u64),
    /// The leader is cut off from everything but its zone's workers; messages
    /// are held back.
    IsolateLeader(u64),
}

enum Msg {
    Call {
        node: usize,
        life: u32,
        id: CallId,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    Reply {
        life: u32,
        id: CallId,
        status: u16,
        body: Vec<u8>,
    },
    Request {
        side: Side,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        from: Origin,
    },
    Answer {
        from: Origin,
        node: usize,
        status: u16,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug)]
enum Origin {
    Peer {
        node: usize,
        life: u32,
        id: CallId,
    },
    Worker {
        machine: String,
        tally: u64,
        session: u64,
        sent: u64,
    },
    User {
        job: String,
        what: Ask,
        tried: u64,
        sent: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ask {
    Submit,
    Poll,
    Cancel,
}

enum Ev {
    NodeTick(usize, u32),
    Arrive(Host, Msg),
    Timeout(usize, u32, CallId),
    World,
    User(String, Ask),
    UserTimeout(String, Ask, u64),
    Fault(Fault),
    Heal(Fault),
    Restart(usize),
}

struct Slot {
    node: Option<Node>,
    life: u32,
    born: u64,
    open: BTreeSet<CallId>,
    asked: BTreeMap<RequestId, Origin>,
    next: u64,
}

struct Watch {
    node: usize,
    life: u32,
    id: CallId,
    starts: String,
    since: u64,
    until: u64,
}

#[derive(Default)]
struct Told {
    accepted: bool,
    end: Option<Stage>,
    told_at: u64,
    cancelled_at: Option<u64>,
    asked_cancel: bool,
    asks: u64,
    answered: BTreeSet<u64>,
}

/// How large a world is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Controller nodes.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Machines up at the start.
    pub machines: usize,
    /// Most machines that the cloud has.
    pub capacity: usize,
}

/// The world.
pub struct World {
    size: Size,
    t: u64,
    rng: StdRng,
    queue: BTreeMap<(u64, u64), Ev>,
    seq: u64,
    slots: Vec<Slot>,
    /// The state service.
    pub state: State,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    watches: Vec<Watch>,
    jobs: BTreeMap<String, Submission>,
    told: BTreeMap<String, Told>,
    done: BTreeSet<String>,
    cuts: Vec<(Host, Host, bool, u64)>,
    /// Rules broken.
    pub broken: Vec<String>,
    /// Tasks that ran.
    pub started: u32,
}

const SEC: u64 = 1_000_000;
const CANCEL: u64 = 40 * SEC;

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap()
}

impl World {
    /// A world with six machines and three nodes.
    pub fn new(seed: u64) -> World {
        let size = Size {
            nodes: 3,
            zones: 3,
            machines: 6,
            capacity: 14,
        };
        World::of(seed, size)
    }

    /// A world of any size.
    pub fn of(seed: u64, size: Size) -> World {
        let mut w = World {
            size,
            t: SEC,
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            seq: 0,
            slots: Vec::new(),
            state: State::default(),
            cloud: Cloud::new(size.zones, size.capacity),
            workers: BTreeMap::new(),
            watches: Vec::new(),
            jobs: BTreeMap::new(),
            told: BTreeMap::new(),
            done: BTreeSet::new(),
            cuts: Vec::new(),
            broken: Vec::new(),
            started: 0,
        };
        for i in 0..size.machines {
            let zone = format!("z{}", i % size.zones);
            w.cloud.add(0, &zone, i * 3 >= size.machines * 2, 0);
        }
        for n in 0..size.nodes as u64 {
            w.slots.push(Slot {
                node: None,
                life: 0,
                born: 0,
                open: BTreeSet::new(),
                asked: BTreeMap::new(),
                next: 1,
            });
            w.at(SEC + n, Ev::Restart(n as usize));
        }
        w.at(SEC, Ev::World);
        w
    }

    fn at(&mut self, t: u64, ev: Ev) {
        self.seq += 1;
        self.queue.insert((t.max(self.t), self.seq), ev);
    }

    /// Schedules a fault.
    pub fn fault(&mut self, second: u64, f: Fault) {
        self.at(second * SEC, Ev::Fault(f));
    }

    /// Schedules a job, and its cancellation if any.
    pub fn job(&mut self, second: u64, job: Submission, cancel: Option<u64>) {
        let id = job.id.to_string();
        self.jobs.insert(id.clone(), job);
        self.told.insert(id.clone(), Told::default());
        self.at(second * SEC, Ev::User(id.clone(), Ask::Submit));
        if let Some(c) = cancel {
            self.at(c * SEC, Ev::User(id, Ask::Cancel));
        }
    }

    fn zone(&self, h: &Host) -> Option<String> {
        match h {
            Host::Node(n) => Some(format!("z{}", n % self.size.zones)),
            Host::Worker(m) => self.workers.get(m).map(|w| w.machine.zone.to_string()),
            _ => None,
        }
    }

    fn send(&mut self, from: Host, to: Host, msg: Msg) {
        let mut at = self.t + self.rng.random_range(300..4000);
        if self.rng.random_bool(0.01) {
            at += self.rng.random_range(50_000..500_000);
        }
        let isolated = |cut: &Host, other: &Host| {
            // A cut of a node from itself stands for a cut from all outside its zone.
            matches!(cut, Host::Node(_)) && self.zone(cut) != self.zone(other)
        };
        for (a, b, hold, until) in &self.cuts {
            let hit = (a == &from && b == &to)
                || (b == &from && a == &to)
                || (a == b
                    && ((a == &from && isolated(a, &to)) || (a == &to && isolated(a, &from))));
            if hit && self.t < *until {
                if !hold {
                    return;
                }
                at = at.max(*until + self.seq % 1000);
            }
        }
        self.at(at, Ev::Arrive(to, msg));
    }

    fn now(&self, n: usize) -> Now {
        // Steady clocks drift apart by up to 0.05%.
        let run = self.t - self.slots[n].born;
        Now {
            time: Time(SEC + run + run * n as u64 / 4000),
            wall: Wall(1_700_000_000_000 + self.t / 1000 + n as u64 * 300),
        }
    }

    fn feed(&mut self, n: usize, input: Input) {
        let now = self.now(n);
        let _span = tracing::info_span!("", n, t = self.t as f64 / 1e6).entered();
        let slot = &mut self.slots[n];
        let Some(node) = &mut slot.node else { return };
        let life = slot.life;
        for o in node.handle(now, input) {
            match o {
                Output::Answer(id, a) => {
                    if let Some(from) = self.slots[n].asked.remove(&id) {
                        let to = match &from {
                            Origin::Peer { node, .. } => Host::Node(*node),
                            Origin::Worker { machine, .. } => Host::Worker(machine.clone()),
                            Origin::User { .. } => Host::Users,
                        };
                        self.send(
                            Host::Node(n),
                            to,
                            Msg::Answer {
                                from,
                                node: n,
                                status: a.status,
                                body: a.body,
                            },
                        );
                    }
                }
                Output::Call(c) => {
                    self.slots[n].open.insert(c.id);
                    self.at(self.t + c.timeout.0, Ev::Timeout(n, life, c.id));
                    let to = match c.target {
                        Target::State => Host::State,
                        Target::Cloud => Host::Cloud,
                        Target::Host(a) if a.ip().octets()[1] == 1 => {
                            let [_, _, high, low] = a.ip().octets();
                            Host::Worker(format!("host-{:06}", u16::from_be_bytes([high, low])))
                        }
                        Target::Host(a) => Host::Node(usize::from(a.ip().octets()[3]) - 1),
                    };
                    self.send(
                        Host::Node(n),
                        to,
                        Msg::Call {
                            node: n,
                            life,
                            id: c.id,
                            method: c.method,
                            path: c.path,
                            body: c.body,
                        },
                    );
                }
            }
        }
    }

    fn reply(
        &mut self,
        from: Host,
        node: usize,
        life: u32,
        id: CallId,
        status: u16,
        body: Vec<u8>,
    ) {
        self.send(
            from,
            Host::Node(node),
            Msg::Reply {
                life,
                id,
                status,
                body,
            },
        );
    }

    fn arrive(&mut self, to: Host, msg: Msg) {
        match (to, msg) {
            (
                Host::State,
                Msg::Call {
                    node,
                    life,
                    id,
                    method,
                    path,
                    body,
                },
            ) => {
                match self.state.handle(self.t, node, method, &path, &body) {
                    Handled::Now(status, body) => {
                        self.reply(Host::State, node, life, id, status, body)
                    }
                    Handled::Later(starts, since, until) => self.watches.push(Watch {
                        node,
                        life,
                        id,
                        starts,
                        since,
                        until,
                    }),
                }
                self.wake_watches();
            }
            (
                Host::Cloud,
                Msg::Call {
                    node,
                    life,
                    id,
                    method,
                    path,
                    body,
                },
            ) => {
                let (status, body, gone) = self.cloud.handle(self.t, method, &path, &body);
                for g in gone {
                    self.workers.remove(&g);
                }
                self.reply(Host::Cloud, node, life, id, status, body);
            }
            (
                Host::Node(n),
                Msg::Call {
                    node,
                    life,
                    id,
                    method,
                    path,
                    body,
                },
            ) => {
                let from = Origin::Peer { node, life, id };
                self.request(n, Side::Internal, method, path, body, from);
            }
            (
                Host::Node(n),
                Msg::Request {
                    side,
                    method,
                    path,
                    body,
                    from,
                },
            ) => {
                self.request(n, side, method, path, body, from);
            }
            (
                Host::Node(n),
                Msg::Reply {
                    life,
                    id,
                    status,
                    body,
                },
            ) => {
                if self.slots[n].life == life && self.slots[n].open.remove(&id) {
                    self.feed(n, Input::Reply(id, Reply::Answer(status, body)));
                }
            }
            (
                Host::Node(_),
                Msg::Answer {
                    from: Origin::Peer { node, life, id },
                    status,
                    body,
                    ..
                },
            ) => {
                if self.slots[node].life == life && self.slots[node].open.remove(&id) {
                    self.feed(node, Input::Reply(id, Reply::Answer(status, body)));
                }
            }
            (
                Host::Worker(m),
                Msg::Call {
                    node,
                    life,
                    id,
                    body,
                    ..
                },
            ) => {
                let Some(w) = self.workers.get_mut(&m) else {
                    return;
                };
                if w.hung > self.t {
                    // Executed when the machine goes on.
                    let (at, to) = (w.hung + 1000, Host::Worker(m));
                    return self.at(
                        at,
                        Ev::Arrive(
                            to,
                            Msg::Call {
                                node,
                                life,
                                id,
                                method: "POST",
                                path: "/commands".into(),
                                body,
                            },
                        ),
                    );
                }
                let Some(d) = decode::<DirectCommands>(&body) else {
                    self.broken.push("commands cannot be read".into());
                    return;
                };
                let ok = d.token.0 >= w.token && d.session.0 == w.session;
                if ok {
                    if d.token.0 > w.token {
                        w.token = d.token.0;
                        w.touch();
                    }
                    w.execute(self.t, &d.commands, &self.jobs);
                }
                let report = encode(&w.report(self.t));
                self.reply(
                    Host::Worker(m),
                    node,
                    life,
                    id,
                    if ok { 200 } else { 409 },
                    report,
                );
            }
            (
                Host::Worker(m),
                Msg::Answer {
                    from:
                        Origin::Worker {
                            tally,
                            session,
                            sent,
                            ..
                        },
                    node,
                    status,
                    body,
                },
            ) => {
                self.worker_answer(&m, tally, session, sent, node, status, &body);
            }
            (
                Host::Users,
                Msg::Answer {
                    from:
                        Origin::User {
                            job,
                            what,
                            tried,
                            sent,
                        },
                    status,
                    body,
                    ..
                },
            ) => {
                self.user_answer(&job, what, tried, sent, status, &body);
            }
            _ => {}
        }
    }

    fn request(
        &mut self,
        n: usize,
        side: Side,
        method: &str,
        path: String,
        body: Vec<u8>,
        from: Origin,
    ) {
        let slot = &mut self.slots[n];
        if slot.node.is_none() {
            return;
        }
        let id = RequestId(slot.next);
        slot.next += 1;
        slot.asked.insert(id, from);
        let r = Request {
            method: method.into(),
            path,
            query: String::new(),
            body,
            close: false,
        };
        self.feed(n, Input::Request(id, side, r));
    }

    fn wake_watches(&mut self) {
        if self.state.out {
            return;
        }
        let mut due = Vec::new();
        let (t, state) = (self.t, &self.state);
        self.watches.retain(|w| {
            if state.refused.contains(&w.node) {
                return true;
            }
            match state.changes(&w.starts, w.since, t >= w.until) {
                Some(body) => {
                    due.push((w.node, w.life, w.id, body));
                    false
                }
                None => true,
            }
        });
        for (node, life, id, body) in due {
            self.reply(Host::State, node, life, id, 200, body);
        }
    }

    fn worker_answer(
        &mut self,
        m: &str,
        tally: u64,
        session: u64,
        sent: u64,
        node: usize,
        status: u16,
        body: &[u8],
    ) {
        let Some(w) = self.workers.get_mut(m) else {
            return;
        };
        if w.hung > self.t || w.flight.map(|f| f.0) != Some(tally) || w.session != session {
            return;
        }
        w.flight = None;
        let answer = (status == 200)
            .then(|| decode::<ReportAnswer>(body))
            .flatten();
        if let Some(a) = answer {
            if w.accept(a.token.0, sent) {
                w.execute(self.t, &a.commands, &self.jobs);
            }
            return;
        }
        let told = (status == 421)
            .then(|| decode::<ReportElsewhere>(body))
            .flatten();
        let to = told
            .and_then(|t| t.report_to)
            .and_then(|l| l.as_str().strip_prefix("node-")?.parse().ok());
        match to {
            Some(n) if n != node => {
                w.node = n;
                w.next = self.t + 200_000;
            }
            _ => {
                w.node = (w.node + 1) % self.size.nodes;
                w.next = self.t + SEC;
            }
        }
    }

    // ---- users ----

    fn user(&mut self, id: &str, what: Ask) {
        let told = self.told.get_mut(id).unwrap();
        told.asks += 1;
        told.asked_cancel |= what == Ask::Cancel;
        let tried = told.asks;
        let up: Vec<usize> = (0..self.size.nodes)
            .filter(|&n| self.slots[n].node.is_some())
            .collect();
        let patience = if what == Ask::Poll { 2 } else { 5 };
        self.at(
            self.t + patience * SEC,
            Ev::UserTimeout(id.into(), what, tried),
        );
        if up.is_empty() {
            return;
        }
        let node = up[self.rng.random_range(0..up.len())];
        let (method, path, body) = match what {
            Ask::Submit => ("POST", "/submissions".to_string(), encode(&self.jobs[id])),
            Ask::Poll => ("GET", format!("/submissions/{id}"), Vec::new()),
            Ask::Cancel => ("POST", format!("/submissions/{id}/cancel"), Vec::new()),
        };
        let from = Origin::User {
            job: id.into(),
            what,
            tried,
            sent: self.t,
        };
        self.send(
            Host::Users,
            Host::Node(node),
            Msg::Request {
                side: Side::Api,
                method,
                path,
                body,
                from,
            },
        );
    }

    fn user_answer(
        &mut self,
        id: &str,
        what: Ask,
        tried: u64,
        sent: u64,
        status: u16,
        body: &[u8],
    ) {
        let all_done = (0..self.jobs[id].tasks).all(|i| self.done.contains(&format!("{id}/{i}")));
        let t = self.t;
        let told = self.told.get_mut(id).unwrap();
        if told.answered.contains(&tried) {
            return;
        }
        let mut broken = Vec::new();
        match status {
            200 | 201 => {
                told.answered.insert(tried);
                let stage = decode::<JobAnswer>(body).map(|a| a.stage).unwrap();
                told.accepted = true;
                // Only what was asked after the user knew may not be older.
                if told.end.is_some_and(|e| e != stage) && sent > told.told_at {
                    broken.push("went_back");
                }
                match stage {
                    Stage::Done if !all_done => broken.push("not_done"),
                    Stage::Cancelled if !told.asked_cancel => broken.push("went_back"),
                    Stage::Cancelled => {
                        told.cancelled_at.get_or_insert(t);
                    }
                    _ => {}
                }
                if matches!(stage, Stage::Done | Stage::Cancelled) {
                    if told.end.is_none() {
                        told.told_at = t;
                    }
                    told.end = Some(stage);
                }
                let again = if told.end.is_some() { 60 } else { 5 };
                if what != Ask::Cancel {
                    self.at(t + again * SEC, Ev::User(id.into(), Ask::Poll));
                }
            }
            404 if told.accepted => broken.push("forgotten"),
            400 | 422 => broken.push("refused a valid job"),
            _ => {
                told.answered.insert(tried);
                self.at(t + SEC, Ev::User(id.into(), what));
            }
        }
        for b in broken {
            self.broken.push(format!("{b}: {id} at {}", t as f64 / 1e6));
        }
    }

    // ---- machines ----

    fn world(&mut self) {
        let t = self.t;
        self.state.tick(t);
        self.wake_watches();
        for m in self.cloud.tick(t) {
            let node = self.rng.random_range(0..self.size.nodes);
            self.workers
                .insert(m.id.to_string(), Worker::new(m, t, node));
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            let w = self.workers.get_mut(name).unwrap();
            if w.taken.is_some_and(|at| t >= at) {
                self.workers.remove(name);
                self.cloud.boxes.remove(name);
                continue;
            }
            // A worker that hung past its lease kills its tasks before anything
            // else when it goes on: for the rules they are gone by then.
            w.lease_over(t);
            if w.hung > t {
                continue;
            }
            for key in w.tick(t, &self.jobs) {
                self.check_start(name, &key.0);
            }
            let w = self.workers.get_mut(name).unwrap();
            if w.flight.is_some_and(|(_, sent)| t > sent + 4 * SEC) {
                w.flight = None;
                w.node = (w.node + 1) % self.size.nodes;
                w.next = t + SEC;
            }
            if w.due(t) {
                let report = w.report(t);
                w.flight = Some((w.tally, t));
                let from = Origin::Worker {
                    machine: name.clone(),
                    tally: w.tally,
                    session: w.session,
                    sent: t,
                };
                let node = w.node;
                let msg = Msg::Request {
                    side: Side::Api,
                    method: "POST",
                    path: "/checkin".into(),
                    body: encode(&report),
                    from,
                };
                self.send(Host::Worker(name.clone()), Host::Node(node), msg);
            }
        }
        self.progress();
        self.check_cancelled();
    }

    /// Lets tasks complete and gangs start, complete and fail together.
    fn progress(&mut self) {
        let t = self.t;
        let mut gangs: BTreeMap<(String, u64), Vec<(String, String, TaskState, u64)>> =
            BTreeMap::new();
        let mut ends = Vec::new();
        for (m, w) in &self.workers {
            for ((task, attempt), s) in &w.tasks {
                let job = &self.jobs[job_of(task)];
                let hung = w.hung > t;
                if job.shape == Shape::Gang {
                    if Worker::on_machine(s) && !hung {
                        gangs
                            .entry((job_of(task).into(), *attempt))
                            .or_default()
                            .push((m.clone(), task.clone(), s.state, s.since));
                    }
                } else if s.state == TaskState::Running && !hung && job.shape == Shape::Array {
                    let run = (job.estimate_s * 1e6) as u64;
                    if t >= s.since + run || self.done.contains(task) {
                        ends.push((m.clone(), (task.clone(), *attempt), Why::Done));
                    }
                }
            }
        }
        for ((job, attempt), members) in gangs {
            let spec = &self.jobs[&job];
            let whole = members.len() as u32 == spec.tasks;
            let all = |s: TaskState| whole && members.iter().all(|m| m.2 == s);
            let run = (spec.estimate_s * 1e6) as u64;
            if all(TaskState::Waiting) {
                for (m, task, _, _) in &members {
                    let w = self.workers.get_mut(m).unwrap();
                    let s = w.tasks.get_mut(&(task.clone(), attempt)).unwrap();
                    s.state = TaskState::Running;
                    s.since = t;
                    w.touch();
                }
            } else if all(TaskState::Running) && members.iter().all(|m| t >= m.3 + run) {
                ends.extend(
                    members
                        .iter()
                        .map(|m| (m.0.clone(), (m.1.clone(), attempt), Why::Done)),
                );
            } else if !whole {
                let lost = members
                    .iter()
                    .filter(|m| m.2 == TaskState::Running && self.rng.random_bool(0.02));
                ends.extend(lost.map(|m| (m.0.clone(), (m.1.clone(), attempt), Why::Peers)));
            }
        }
        for (m, key, why) in ends {
            if why == Why::Done {
                self.done.insert(key.0.clone());
            }
            self.workers.get_mut(&m).unwrap().end(&key, why);
        }
    }

    fn breach(&mut self, rule: &str, task: &str, m: &str) {
        self.broken
            .push(format!("{rule}: {task} on {m} at {}", self.t as f64 / 1e6));
    }

    fn check_start(&mut self, m: &str, task: &str) {
        self.started += 1;
        let job = self.jobs[job_of(task)].clone();
        let here = self.workers[m].machine.clone();
        let mut used = 0.0;
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        let mut twice = false;
        for (name, w) in &self.workers {
            for ((other, _), s) in &w.tasks {
                if !Worker::on_machine(s) {
                    continue;
                }
                let j = &self.jobs[job_of(other)];
                if j.team == job.team {
                    used += j.gpus;
                }
                if j.id == job.id {
                    *zones.entry(w.machine.zone.to_string()).or_default() += 1;
                }
                twice |= other == task && name != m;
            }
        }
        if twice {
            self.breach("ran_twice", task, m);
        }
        if used
            > if job.team.as_str() == "red" {
                40.0
            } else {
                32.0
            }
        {
            self.breach("quota", task, m);
        }
        let most = zones.values().max().copied().unwrap_or(0);
        let wrong = (here.spot && !job.spot)
            || job.zone.as_ref().is_some_and(|z| *z != here.zone)
            || (job.one_zone && zones.len() > 1)
            || (job.spread && most > job.tasks.div_ceil(2));
        if wrong {
            self.breach("wrong_place", task, m);
        }
    }

    fn check_cancelled(&mut self) {
        let mut bad = Vec::new();
        for (m, w) in &self.workers {
            for ((task, _), s) in &w.tasks {
                let late = self.told[job_of(task)]
                    .cancelled_at
                    .is_some_and(|at| self.t > at + CANCEL);
                if late && Worker::on_machine(s) {
                    bad.push((m.clone(), task.clone()));
                }
            }
        }
        for (m, task) in bad {
            self.breach("ran_cancelled", &task, &m);
        }
    }

    // ---- faults ----

    fn leader(&self) -> Option<usize> {
        (0..self.size.nodes).find(|&n| self.slots[n].node.as_ref().is_some_and(Node::leads))
    }

    fn heal_in(&mut self, seconds: u64, f: Fault) {
        self.at(self.t + seconds * SEC, Ev::Heal(f));
    }

    fn strike(&mut self, f: Fault) {
        let t = self.t;
        match f.clone() {
            Fault::Crash(n, s) => {
                self.slots[n].node = None;
                self.slots[n].life += 1;
                self.slots[n].asked.clear();
                self.at(t + s * SEC, Ev::Restart(n));
            }
            Fault::CrashLeader(s) => {
                if let Some(n) = self.leader() {
                    self.strike(Fault::Crash(n, s));
                }
            }
            Fault::StateOut(s) => {
                self.state.out = true;
                self.heal_in(s, f);
            }
            Fault::StateRefuses(n, s) => {
                self.state.refused.push(n);
                self.heal_in(s, f);
            }
            Fault::StateRefusesLeader(s) => {
                if let Some(n) = self.leader() {
                    self.strike(Fault::StateRefuses(n, s));
                }
            }
            Fault::CloudOut(s) => {
                self.cloud.out = true;
                self.heal_in(s, f);
            }
            Fault::Hang(s) => {
                let busy: Vec<String> = self
                    .workers
                    .iter()
                    .filter(|(_, w)| !w.tasks.is_empty())
                    .map(|(m, _)| m.clone())
                    .collect();
                if !busy.is_empty() {
                    let m = &busy[self.rng.random_range(0..busy.len())];
                    self.workers.get_mut(m).unwrap().hung = t + s * SEC;
                }
            }
            Fault::Take(notice) => {
                let spot: Vec<String> = self
                    .workers
                    .iter()
                    .filter(|(_, w)| w.machine.spot)
                    .map(|(m, _)| m.clone())
                    .collect();
                if !spot.is_empty() {
                    let m = &spot[self.rng.random_range(0..spot.len())];
                    let w = self.workers.get_mut(m).unwrap();
                    w.taken = Some(t + if notice { 8 * SEC } else { 0 });
                    w.touch();
                }
            }
            Fault::CutWorker(s) => {
                let all: Vec<String> = self.workers.keys().cloned().collect();
                if !all.is_empty() {
                    let m = all[self.rng.random_range(0..all.len())].clone();
                    for n in 0..self.size.nodes {
                        let (a, b) = (Host::Node(n), Host::Worker(m.clone()));
                        self.cuts.push((a, b, false, t + s * SEC));
                    }
                }
            }
            Fault::LeaderLosesWorkers(s) => {
                if let Some(n) = self.leader() {
                    let until = t + s * SEC;
                    let workers = self.workers.keys();
                    let cuts = workers.map(|m| (Host::Node(n), Host::Worker(m.clone())));
                    self.cuts.extend(cuts.map(|(a, b)| (a, b, false, until)));
                }
            }
            Fault::Cut(a, b, hold, s) => self.cuts.push((a, b, hold, t + s * SEC)),
            Fault::IsolateLeader(s) => {
                if let Some(n) = self.leader() {
                    self.cuts
                        .push((Host::Node(n), Host::Node(n), true, t + s * SEC));
                }
            }
        }
    }

    fn heal(&mut self, f: Fault) {
        match f {
            Fault::StateOut(_) => {
                self.state.back(self.t);
                self.wake_watches();
            }
            Fault::StateRefuses(n, _) => self.state.refused.retain(|&r| r != n),
            Fault::CloudOut(_) => self.cloud.out = false,
            _ => {}
        }
    }

    fn restart(&mut self, n: usize) {
        let s = settings_of(n as u32, self.size.nodes as u32, self.size.zones as u32);
        let policy = Policy::from_script(DEFAULT_SCRIPT, &s).unwrap();
        let seed = self.rng.random();
        let slot = &mut self.slots[n];
        slot.node = Some(Node::new(s, policy, seed));
        slot.born = self.t;
        slot.open.clear();
        let life = slot.life;
        self.at(self.t, Ev::NodeTick(n, life));
    }

    /// Plays up to a second of the day.
    pub fn play(&mut self, until: u64) {
        while let Some(((t, _), ev)) = self.queue.pop_first() {
            if t > until * SEC {
                break;
            }
            self.t = t;
            if let Ev::Fault(f) = &ev {
                tracing::info!(t = t as f64 / 1e6, ?f, "fault");
            }
            match ev {
                Ev::NodeTick(n, life) => {
                    if self.slots[n].life == life {
                        self.feed(n, Input::Tick);
                        self.at(t + 50_000, Ev::NodeTick(n, life));
                    }
                }
                Ev::Arrive(to, msg) => self.arrive(to, msg),
                Ev::Timeout(n, life, id) => {
                    if self.slots[n].life == life && self.slots[n].open.remove(&id) {
                        self.feed(n, Input::Reply(id, Reply::Lost));
                    }
                }
                Ev::World => {
                    self.world();
                    self.at(t + 100_000, Ev::World);
                }
                Ev::User(job, what) => self.user(&job, what),
                Ev::UserTimeout(job, what, tried) => {
                    if !self.told[&job].answered.contains(&tried) {
                        self.told.get_mut(&job).unwrap().answered.insert(tried);
                        self.at(t + SEC, Ev::User(job, what));
                    }
                }
                Ev::Fault(f) => self.strike(f),
                Ev::Heal(f) => self.heal(f),
                Ev::Restart(n) => self.restart(n),
            }
        }
    }

    /// Jobs that are neither done nor cancelled nor services.
    pub fn unserved(&self) -> Vec<&str> {
        self.told
            .iter()
            .filter(|(id, t)| {
                t.end.is_none() && !(t.accepted && self.jobs[*id].shape == Shape::Service)
            })
            .map(|(id, _)| id.as_str())
            .collect()
    }

    /// Schedules a mix of jobs over the first `seconds`.
    pub fn mix(&mut self, seconds: u64, count: u32) {
        for i in 0..count {
            let at = 2 + u64::from(i) * seconds / u64::from(count);
            let shape = [Shape::Array, Shape::Gang, Shape::Array, Shape::Service][i as usize % 4];
            let tasks = self.rng.random_range(1..6);
            let mut j = submission(&format!("wk-{i:06}"), shape, tasks);
            j.image = format!("img-{}", self.rng.random_range(0..4)).into();
            j.team = if self.rng.random_bool(0.4) {
                "blue"
            } else {
                "red"
            }
            .into();
            j.priority =
                [Priority::Low, Priority::Normal, Priority::High][self.rng.random_range(0..3)];
            j.gpus = if shape == Shape::Gang {
                4.0
            } else {
                f64::from(self.rng.random_range(1u32..3))
            };
            if shape == Shape::Gang {
                j.tasks = j.tasks.min(3);
                j.one_zone = self.rng.random_bool(0.5);
            }
            if shape == Shape::Service {
                j.tasks = 2;
                j.estimate_s = 0.0;
                j.spread = true;
            } else {
                j.estimate_s = f64::from(self.rng.random_range(5u32..40));
            }
            j.spot = self.rng.random_bool(0.7);
            if self.rng.random_bool(0.4) {
                j.checkpoint_s = 10.0;
                j.save_s = 1.0;
            }
            let cancels = shape == Shape::Service || self.rng.random_bool(0.25);
            let cancel = cancels.then(|| at + self.rng.random_range(3..60));
            self.job(at, j, cancel);
        }
    }

    /// Schedules `count` faults of any kind between two seconds.
    pub fn trouble(&mut self, from: u64, to: u64, count: u32) {
        for _ in 0..count {
            let at = self.rng.random_range(from..to);
            let n = self.rng.random_range(0..self.size.nodes);
            let s = self.rng.random_range(3..25);
            let f = match self.rng.random_range(0..19) {
                0 => Fault::Crash(n, 5),
                1 | 2 => Fault::CrashLeader(5),
                3 => Fault::StateOut(s),
                4 => Fault::StateRefuses(n, s),
                5 => Fault::StateRefusesLeader(s),
                6 => Fault::CloudOut(2 * s),
                7 | 8 => Fault::Hang(s),
                9 => Fault::Take(true),
                10 => Fault::Take(false),
                11 => Fault::Cut(
                    Host::Node(n),
                    Host::Node((n + 1) % self.size.nodes),
                    self.rng.random_bool(0.5),
                    s,
                ),
                12 => Fault::Cut(Host::Node(n), Host::State, true, s),
                13 => Fault::IsolateLeader(s),
                14 => Fault::LeaderLosesWorkers(s),
                _ => Fault::CutWorker(s / 3),
            };
            self.fault(at, f);
        }
    }
}

mod tests {
    use super::*;
    use crate::core::weak::{Decision, weaken};

    fn rough(seed: u64) -> World {
        let mut w = World::new(seed);
        w.mix(150, 40);
        w.trouble(10, 170, 14);
        checked(w, 460)
    }

    fn checked(mut w: World, until: u64) -> World {
        w.play(until);
        // Every job is over by now and none of its tasks can be anywhere.
        if w.state.count("w/j/") > 0 {
            w.broken
                .push(format!("leftover: {} jobs", w.state.count("w/j/")));
        }
        w.broken
            .extend(w.state.breaches.iter().map(|b| format!("state: {b}")));
        w.broken
            .extend(w.cloud.breaches.iter().map(|b| format!("cloud: {b}")));
        w
    }

    #[test]
    fn a_quiet_day_serves_everybody() {
        let mut w = World::new(1);
        w.mix(100, 30);
        w.play(300);
        assert_eq!(w.broken, Vec::<String>::new());
        assert_eq!(w.unserved(), Vec::<&str>::new());
        assert!(w.started > 40, "{}", w.started);
        // Ended jobs leave one small key each and nothing that a new leader
        // would have to read.
        assert_eq!(w.state.count("job/"), 30);
        assert_eq!(
            w.state.count("w/j/") + w.state.count("r/") + w.state.count("w/x/"),
            0
        );
    }

    #[test]
    fn plays_a_rough_day() {
        for seed in 100..112 {
            let w = rough(seed);
            println!(
                "day {seed}: {} tasks started, {} rules broken, unserved {:?}",
                w.started,
                w.broken.len(),
                w.unserved()
            );
            assert_eq!(w.broken, Vec::<String>::new(), "seed {seed}");
            assert_eq!(w.unserved(), Vec::<&str>::new(), "seed {seed}");
        }
    }

    // More nodes than zones, and more zones than nodes; several leaders' worth
    // of trouble; arrays that need several transactions to start.
    #[test]
    fn plays_rough_days_of_other_shapes() {
        let (nodes, zones) = ([5, 3], [3, 4]);
        for seed in 200..204 {
            let shape = seed as usize % 2;
            let size = Size {
                nodes: nodes[shape],
                zones: zones[shape],
                machines: 30,
                capacity: 60,
            };
            let mut w = World::of(seed, size);
            w.mix(150, 80);
            for i in 0..6 {
                let mut j = submission(&format!("wk-9{i:05}"), Shape::Array, 150);
                j.priority = Priority::Low;
                j.estimate_s = 8.0;
                w.job(10 + 20 * i, j, None);
            }
            w.trouble(10, 170, 20);
            let w = checked(w, 700);
            assert_eq!(w.broken, Vec::<String>::new(), "seed {seed}");
            assert_eq!(w.unserved(), Vec::<&str>::new(), "seed {seed}");
        }
    }

    /// The checker would notice: with a safety decision switched off, rules
    /// break within a few days.
    fn caught(d: Decision, rule: &str, day: impl Fn(u64) -> World) {
        weaken(Some(d));
        let found = (100..140).any(|seed| day(seed).broken.iter().any(|b| b.starts_with(rule)));
        weaken(None);
        assert!(found, "{d:?} was not missed");
    }

    #[test]
    #[ignore = "a tool: plays the days of the variable DAYS, as 100..200, with logs if there is one"]
    fn replays_days() {
        let days = std::env::var("DAYS").unwrap();
        let (a, b) = days.split_once("..").unwrap();
        let (a, b): (u64, u64) = (a.parse().unwrap(), b.parse().unwrap());
        if b == a + 1 {
            tracing_subscriber::fmt()
                .with_max_level(tracing::Level::DEBUG)
                .without_time()
                .with_ansi(false)
                .with_target(false)
                .init();
        }
        for seed in a..b {
            let w = rough(seed);
            if !w.broken.is_empty() || !w.unserved().is_empty() {
                println!("day {seed}: {:?} {:?}", w.broken, w.unserved());
            }
        }
    }

    #[test]
    fn writing_off_early_is_caught() {
        caught(Decision::LeaseBeforeWriteOff, "ran_twice", rough);
    }

    /// The state service refuses the leader, which soon after crashes.
    fn refused_then_dead(seed: u64) -> World {
        let mut w = World::new(seed);
        w.mix(100, 40);
        for i in 0..6 {
            w.fault(12 + 18 * i, Fault::StateRefusesLeader(9));
            w.fault(14 + 18 * i, Fault::CrashLeader(3));
        }
        w.play(200);
        w
    }

    /// A zone is cut off with the leader inside, and users cancel meanwhile.
    fn lonely_leader(seed: u64) -> World {
        let mut w = World::new(seed);
        for i in 0..12 {
            let mut j = submission(&format!("wk-{i:06}"), Shape::Service, 2);
            j.estimate_s = 0.0;
            w.job(2, j, Some(44));
        }
        w.fault(40, Fault::IsolateLeader(90));
        w.play(200);
        w
    }

    #[test]
    fn unlucky_days_break_no_rule() {
        for seed in 100..106 {
            assert_eq!(refused_then_dead(seed).broken, Vec::<String>::new());
            assert_eq!(lonely_leader(seed).broken, Vec::<String>::new());
        }
    }

    // A start that got lost, of a job cancelled meanwhile, once stood for
    // ever: nobody would send it again, and nobody dropped it.
    #[test]
    fn lost_starts_of_cancelled_jobs_leave_nothing() {
        for seed in 100..104 {
            let mut w = World::new(seed);
            for i in 0..60u64 {
                let j = submission(&format!("wk-{i:06}"), Shape::Array, 3);
                w.job(5 + 2 * i, j, Some(6 + 2 * i));
                w.fault(5 + 2 * i, Fault::CutWorker(4));
                w.fault(6 + 2 * i, Fault::CutWorker(4));
            }
            w.play(220);
            assert_eq!(w.broken, Vec::<String>::new());
            assert_eq!(w.state.count("w/j/"), 0, "seed {seed}");
        }
    }

    // Workers that could reach other nodes, but not the leader, were sent back
    // to it until their leases ran out and all their tasks were killed.
    #[test]
    fn reports_are_passed_on_where_the_leader_is_out_of_reach() {
        let mut w = World::new(7);
        for i in 0..4 {
            let mut j = submission(&format!("wk-{i:06}"), Shape::Array, 4);
            j.estimate_s = 60.0;
            w.job(2, j, None);
        }
        w.fault(30, Fault::LeaderLosesWorkers(40));
        w.play(125);
        assert_eq!(w.broken, Vec::<String>::new());
        assert_eq!(w.unserved(), Vec::<&str>::new());
        assert_eq!(w.started, 16, "no task had to start again");
        // Once workers stayed for ever with the node that passed them on,
        // whose answers do not wait for work.
        let leader = w.leader().unwrap();
        assert!(w.workers.values().all(|m| m.node == leader));
    }

    #[test]
    fn sending_before_storing_is_caught() {
        caught(Decision::WriteAhead, "ran_twice", refused_then_dead);
    }

    #[test]
    fn answering_for_ever_without_contact_is_caught() {
        caught(Decision::BoundedHold, "ran_cancelled", lonely_leader);
    }
}
