//! Rehearsals in simulated time: the controllers' own state machine beside the
//! stand-ins, with a seed that fixes everything.

use crate::cloud::Addresses;
use crate::layout::{Layout, settings};
use crate::links::{Fate, Host};
use crate::report::Verdict;
use crate::script::Script;
use crate::stand::{NodeAction, Out, Returned, Stand, Store};
use pebblefold_controller::core::failure_detector::detector::HEARTBEAT_PERIOD;
use pebblefold_controller::core::format_version::{FormatVersion, SupportedVersions};
use pebblefold_controller::core::node::Node;
use pebblefold_controller::core::{
    CallId, Input, LeaseKeepAlive, Listener, Now, Output, Reply, RequestId, Target,
};
use pebblefold_controller::policy::{DEFAULT_SCRIPT, Policy, PolicyError};
use pebblefold_controller::settings::SettingsError;
use pebblefold_controller::types::{MachineId, Time, TimeSpan, WallTime};
use pebblefold_kvstore::StorageError;
use pebblefold_kvstore::faulty_disk::FaultyDisk;
use pebblefold_wire::encode;
use pebblefold_wire::http::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between a controller's ticks, and between steps of the stand-ins.
const TICK: TimeSpan = TimeSpan::millis(50);
/// What a controller's fixed piece of work takes where nothing is slow.
const USUAL_EFFORT: TimeSpan = TimeSpan(50);
/// Wall clock at the beginning.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Why a rehearsal cannot begin.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The cluster's settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy is refused.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The state service's store cannot be opened.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

enum Message {
    /// A controller's call to a stand-in or to another controller.
    Call {
        node: usize,
        life: u32,
        id: CallId,
        request: Request,
    },
    /// What came of it.
    Reply {
        node: usize,
        life: u32,
        id: CallId,
        reply: Reply,
    },
    /// A request of the stand-ins to a controller.
    Request { ticket: u64, request: Request },
    /// A controller's answer to it.
    Answer {
        ticket: u64,
        answer: pebblefold_controller::core::Answer,
    },
}

enum Event {
    Tick(usize, u32),
    Stand,
    Arrive(Host, Message),
    Timeout(usize, u32, CallId),
    Reset(u64),
    LeaseKeepAlive(usize, u32),
    LeaderHeartbeat(usize, u32),
    Served(usize, u32),
}

enum Origin {
    Stand { ticket: u64, from: Host },
    Peer { node: usize, life: u32, id: CallId },
}

struct Slot {
    node: Option<Node>,
    /// The levels that its next life serves, and whether this one was asked to end.
    range: Option<SupportedVersions>,
    ending: bool,
    life: u32,
    born: Time,
    paused: bool,
    open: BTreeSet<CallId>,
    asked: BTreeMap<RequestId, Origin>,
    next: u64,
    waiting: VecDeque<Input>,
    /// The lease to keep, as the core last said, and whether a renewal is due
    /// or under way.
    keep: Option<LeaseKeepAlive>,
    keeping: bool,
    /// Renewals made, which names the next; when the last that was answered was
    /// sent, and the one under way.
    kept: u64,
    renewed: Time,
    renewing: (u64, Time),
    beating: bool,
    /// When the core last had time.
    ticked: Time,
    /// What the core takes over each input; it is busy until then.
    each: TimeSpan,
    busy: Time,
}

/// The name of a renewal; the core's calls count from 1.
fn renewal(n: u64) -> CallId {
    CallId(u64::MAX - n)
}

/// The name of calls whose answers nobody waits for.
const UNASKED: CallId = CallId(0);

/// A request as its server reads it.
fn request(method: &str, target: &str, body: Vec<u8>) -> Request {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Request {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        body,
        close: false,
    }
}

/// A rehearsal in simulated time.
pub struct Simulated {
    stand: Stand,
    layout: Layout,
    policy: String,
    now: Time,
    rng: StdRng,
    queue: BTreeMap<(Time, u64), Event>,
    numbers: u64,
    slots: Vec<Slot>,
    /// Calls at stand-ins: who waits for them.
    calls: BTreeMap<u64, (usize, u32, CallId)>,
    next_call: u64,
}

impl Simulated {
    /// A rehearsal of a script with this seed.
    ///
    /// # Errors
    /// The script's cluster is refused by the controllers.
    pub fn new(script: Script, seed: u64) -> Result<Simulated, StartError> {
        Simulated::with_policy(script, seed, DEFAULT_SCRIPT)
    }

    /// A rehearsal whose controllers have this policy.
    ///
    /// # Errors
    /// The script's cluster or the policy is refused by the controllers.
    pub fn with_policy(script: Script, seed: u64, policy: &str) -> Result<Simulated, StartError> {
        let nodes = script.cluster.controllers.len();
        let at = |port: u16| move |n: usize| format!("10.0.0.{}:{port}", n + 1);
        let layout = Layout {
            api: (0..nodes).map(at(8080)).collect(),
            internal: (0..nodes).map(at(8081)).collect(),
            peers: BTreeMap::new(),
            state: vec!["10.2.0.1:2379".into(); nodes],
            cloud: vec!["10.2.0.2:8443".into(); nodes],
        };
        for n in 0..nodes {
            let s = settings(&script, &layout, n)?;
            Policy::from_script(policy, &s)?;
        }
        let addresses = Addresses {
            prefix: [10, 1],
            port: 9000,
            first: 1,
        };
        let store = Store::Memory(FaultyDisk::default());
        let mut world = Simulated {
            stand: Stand::new(script, seed, store, addresses, true)?,
            layout,
            policy: policy.into(),
            now: Time(0),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            queue: BTreeMap::new(),
            numbers: 0,
            slots: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 1,
        };
        for n in 0..nodes {
            let begin = world.stand.script();
            let range = world.range(begin.build(begin.cluster.build.as_deref()));
            world.slots.push(Slot {
                node: None,
                range,
                ending: false,
                life: 0,
                born: Time(0),
                paused: false,
                open: BTreeSet::new(),
                asked: BTreeMap::new(),
                next: 1,
                waiting: VecDeque::new(),
                keep: None,
                keeping: false,
                kept: 0,
                renewed: Time(0),
                renewing: (0, Time(0)),
                beating: false,
                ticked: Time(0),
                each: TimeSpan::ZERO,
                busy: Time(0),
            });
            world.act(NodeAction::Start(n));
        }
        world.at(Time(0), Event::Stand);
        Ok(world)
    }

    /// The controllers that run, by their numbers.
    pub fn nodes(&self) -> impl Iterator<Item = (usize, &Node)> {
        let all = self.slots.iter().enumerate();
        all.filter_map(|(n, s)| s.node.as_ref().map(|node| (n, node)))
    }

    /// The stand-ins.
    pub fn stand(&self) -> &Stand {
        &self.stand
    }

    /// The stand-ins, to add to them.
    pub fn stand_mut(&mut self) -> &mut Stand {
        &mut self.stand
    }

    /// The levels that a build of the script serves.
    fn range(&self, build: Option<usize>) -> Option<SupportedVersions> {
        let Some(n) = build else {
            return Some(SupportedVersions::SUPPORTED);
        };
        let (low, high) = self.stand.script().builds[n].levels?;
        Some(SupportedVersions {
            low: FormatVersion(low),
            high: FormatVersion(high),
        })
    }

    fn at(&mut self, t: Time, event: Event) {
        self.numbers += 1;
        self.queue.insert((t.max(self.now), self.numbers), event);
    }

    fn clock(&self, n: usize) -> Now {
        // Steady clocks drift apart by up to 0.05 %.
        let run = self.now.since(self.slots[n].born).0;
        Now {
            time: Time(1_000_000 + run + run * (n as u64 % 3) / 4000),
            wall: WallTime(EPOCH_MS + self.now.0 / 1000 + n as u64 * 300),
        }
    }

    fn send(&mut self, from: &Host, to: Host, message: Message) {
        match self.stand.fate(self.now, from, &to) {
            Fate::After(d) => self.at(self.now + d, Event::Arrive(to, message)),
            Fate::Lost => {}
            Fate::Reset => match message {
                Message::Call { node, life, id, .. } | Message::Reply { node, life, id, .. } => {
                    self.lose(node, life, id);
                }
                Message::Request { ticket, .. } | Message::Answer { ticket, .. } => {
                    self.at(self.now, Event::Reset(ticket));
                }
            },
        }
    }

    /// A call of a controller is lost at once.
    fn lose(&mut self, node: usize, life: u32, id: CallId) {
        let reply = Reply::OutcomeUnknown;
        let back = Message::Reply {
            node,
            life,
            id,
            reply,
        };
        self.at(self.now, Event::Arrive(Host::Node(node), back));
    }

    fn feed(&mut self, n: usize, input: Input) {
        let now = self.clock(n);
        let slot = &mut self.slots[n];
        if slot.paused || self.now < slot.busy {
            // What arrives waits in its sockets; a tick follows the one before.
            let ticks = matches!(input, Input::Tick);
            let has = |i: &Input| matches!(i, Input::Tick);
            if !ticks || !slot.waiting.iter().any(has) {
                slot.waiting.push_back(input);
            }
            return;
        }
        let Some(node) = &mut slot.node else { return };
        if matches!(input, Input::Tick) {
            slot.ticked = now.time;
        }
        let life = slot.life;
        if slot.each > TimeSpan::ZERO {
            slot.busy = self.now + slot.each;
            let busy = slot.busy;
            self.numbers += 1;
            let served = Event::Served(n, life);
            self.queue.insert((busy, self.numbers), served);
        }
        let span = tracing::info_span!("", n, t = self.now.0 as f64 / 1e6);
        let outputs = span.in_scope(|| node.handle(now, input));
        for o in outputs {
            match o {
                Output::Answer(id, answer) => match self.slots[n].asked.remove(&id) {
                    Some(Origin::Stand { ticket, from }) => {
                        self.send(&Host::Node(n), from, Message::Answer { ticket, answer });
                    }
                    Some(Origin::Peer { node, life, id }) => {
                        let reply = Reply::Answer(answer.status, answer.body);
                        let message = Message::Reply {
                            node,
                            life,
                            id,
                            reply,
                        };
                        self.send(&Host::Node(n), Host::Node(node), message);
                    }
                    None => {}
                },
                Output::LeaseKeepAlive(keep) => {
                    let slot = &mut self.slots[n];
                    slot.keep = Some(keep);
                    if !std::mem::replace(&mut slot.keeping, true) {
                        slot.renewed = now.time;
                        self.at(self.now, Event::LeaseKeepAlive(n, life));
                        if !std::mem::replace(&mut self.slots[n].beating, true) {
                            self.at(self.now + HEARTBEAT_PERIOD, Event::LeaderHeartbeat(n, life));
                        }
                    }
                }
                Output::Call(c) => {
                    self.slots[n].open.insert(c.id);
                    self.at(self.now + c.timeout, Event::Timeout(n, life, c.id));
                    let to = match c.target {
                        Target::Store => Host::State,
                        Target::Cloud => Host::Cloud,
                        Target::Host(a) => match a.ip().octets() {
                            [10, 1, high, low] => {
                                let number = u16::from_be_bytes([high, low]);
                                Host::Machine(format!("host-{number:06}"))
                            }
                            [_, _, _, last] => Host::Node(usize::from(last).saturating_sub(1)),
                        },
                    };
                    let request = request(c.method, &c.path, c.body);
                    let message = Message::Call {
                        node: n,
                        life,
                        id: c.id,
                        request,
                    };
                    self.send(&Host::Node(n), to, message);
                }
            }
        }
    }

    /// Renews the lease that a core wants kept, beside all that it does.
    fn renew(&mut self, n: usize) {
        let now = self.clock(n).time;
        let slot = &mut self.slots[n];
        let life = slot.life;
        if slot.paused {
            return self.at(self.now + TICK, Event::LeaseKeepAlive(n, life));
        }
        let Some(keep) = slot.keep.filter(|k| now < k.until) else {
            slot.keeping = false;
            return;
        };
        slot.kept += 1;
        slot.renewing = (keep.lease, now);
        let id = renewal(slot.kept);
        slot.open.insert(id);
        self.at(self.now + keep.timeout(), Event::Timeout(n, life, id));
        let request = request("POST", &keep.path(), Vec::new());
        let message = Message::Call {
            node: n,
            life,
            id,
            request,
        };
        self.send(&Host::Node(n), Host::State, message);
    }

    /// Tells a leader's peers that it is there, beside all that it does.
    fn beat(&mut self, n: usize) {
        let now = self.clock(n).time;
        let slot = &mut self.slots[n];
        let life = slot.life;
        slot.beating = slot.keeping;
        if !slot.keeping {
            return;
        }
        self.at(self.now + HEARTBEAT_PERIOD, Event::LeaderHeartbeat(n, life));
        let slot = &self.slots[n];
        let Some(keep) = slot.keep.filter(|k| now < k.until && !slot.paused) else {
            return;
        };
        let label = self.stand.label(n);
        let beat = keep.leader_heartbeat(&label, now.since(slot.renewed), now.since(slot.ticked));
        let body = encode(&beat);
        for to in (0..self.slots.len()).filter(|&to| to != n) {
            let message = Message::Call {
                node: n,
                life,
                id: UNASKED,
                request: request("POST", "/beat", body.clone()),
            };
            self.send(&Host::Node(n), Host::Node(to), message);
        }
    }

    /// A call of a core was answered or lost, or a renewal.
    fn reply(&mut self, n: usize, id: CallId, reply: Reply) {
        let slot = &mut self.slots[n];
        let Some(keep) = slot.keep.filter(|_| id == renewal(slot.kept)) else {
            return self.feed(n, Input::Reply(id, reply));
        };
        let (lease, sent) = slot.renewing;
        if lease != keep.lease {
            // Another is to be kept by now.
            let life = slot.life;
            return self.at(self.now, Event::LeaseKeepAlive(n, life));
        }
        if matches!(reply, Reply::Answer(404, _)) {
            (slot.keep, slot.keeping) = (None, false);
            return self.feed(n, Input::LeaseExpired(keep.lease));
        }
        let answered = matches!(reply, Reply::Answer(200, _));
        if answered {
            slot.renewed = sent;
        }
        let life = slot.life;
        self.at(
            self.now + keep.pause(answered),
            Event::LeaseKeepAlive(n, life),
        );
    }

    /// A core has time for the next of what waits for it.
    fn serve(&mut self, n: usize) {
        while !self.slots[n].paused
            && self.now >= self.slots[n].busy
            && let Some(input) = self.slots[n].waiting.pop_front()
        {
            self.feed(n, input);
        }
    }

    fn arrive(&mut self, to: Host, message: Message) {
        match (to, message) {
            (
                Host::Node(n),
                Message::Call {
                    node,
                    life,
                    id,
                    request,
                },
            ) => {
                if self.slots[n].node.is_none() {
                    let reply = Reply::NotSent;
                    let back = Message::Reply {
                        node,
                        life,
                        id,
                        reply,
                    };
                    return self.send(&Host::Node(n), Host::Node(node), back);
                }
                let from = Origin::Peer { node, life, id };
                self.request(n, Listener::Internal, request, from);
            }
            (Host::Node(n), Message::Request { ticket, request }) => {
                if self.slots[n].node.is_none() {
                    return self.stand.refused(self.now, ticket);
                }
                let from = if request.path == "/checkin" {
                    self.sender(ticket)
                } else {
                    Host::Users
                };
                self.request(n, Listener::Api, request, Origin::Stand { ticket, from });
            }
            (
                Host::Node(_),
                Message::Reply {
                    node,
                    life,
                    id,
                    reply,
                },
            ) if self.slots[node].life == life && self.slots[node].open.remove(&id) => {
                self.reply(node, id, reply);
            }
            (_, Message::Answer { ticket, answer }) => {
                self.stand.answered(
                    self.now,
                    ticket,
                    answer.status,
                    answer.retry_after,
                    &answer.body,
                );
                self.drain();
            }
            (
                target,
                Message::Call {
                    node,
                    life,
                    id,
                    request,
                },
            ) => {
                let call = self.next_call;
                self.next_call += 1;
                self.calls.insert(call, (node, life, id));
                self.stand.call(self.now, node, &target, call, request);
                self.drain();
            }
            _ => {}
        }
    }

    fn sender(&self, ticket: u64) -> Host {
        self.stand.sender(ticket).unwrap_or(Host::Users)
    }

    fn request(&mut self, n: usize, side: Listener, request: Request, from: Origin) {
        let slot = &mut self.slots[n];
        let id = RequestId(slot.next);
        slot.next += 1;
        slot.asked.insert(id, from);
        self.feed(n, Input::Request(id, side, request));
    }

    /// Does what the stand-ins want done.
    fn drain(&mut self) {
        for out in self.stand.take_out() {
            match out {
                Out::Send {
                    ticket,
                    from,
                    node,
                    method,
                    path,
                    body,
                    ..
                } => {
                    let request = request(method, &path, body);
                    self.send(
                        &from,
                        Host::Node(node),
                        Message::Request { ticket, request },
                    );
                }
                Out::Return {
                    call,
                    from,
                    node,
                    returned,
                } => {
                    let Some((_, life, id)) = self.calls.remove(&call) else {
                        continue;
                    };
                    let reply = match returned {
                        Returned::Answer(status, body) => Reply::Answer(status, body),
                        Returned::Silence => Reply::OutcomeUnknown,
                        Returned::Refused => Reply::NotSent,
                    };
                    let message = Message::Reply {
                        node,
                        life,
                        id,
                        reply,
                    };
                    self.send(&from, Host::Node(node), message);
                }
                Out::Node(action) => self.act(action),
            }
        }
    }

    fn act(&mut self, action: NodeAction) {
        match action {
            NodeAction::Kill(n) => {
                let slot = &mut self.slots[n];
                slot.node = None;
                slot.ending = false;
                slot.life += 1;
                slot.paused = false;
                slot.waiting.clear();
                slot.open.clear();
                (slot.keep, slot.keeping, slot.beating) = (None, false, false);
                for (_, origin) in std::mem::take(&mut slot.asked) {
                    match origin {
                        Origin::Stand { ticket, .. } => self.at(self.now, Event::Reset(ticket)),
                        Origin::Peer { node, life, id } => self.lose(node, life, id),
                    }
                }
            }
            NodeAction::End(n) => {
                self.slots[n].ending = self.slots[n].node.is_some();
                self.feed(n, Input::Shutdown);
            }
            NodeAction::Install(n, build) => self.slots[n].range = self.range(build),
            NodeAction::Start(n) => {
                if self.slots[n].ending {
                    self.act(NodeAction::Kill(n));
                }
                if self.slots[n].node.is_some() {
                    return;
                }
                // Both were checked before the rehearsal began.
                let Ok(s) = settings(self.stand.script(), &self.layout, n) else {
                    return;
                };
                let Ok(policy) = Policy::from_script(&self.policy, &s) else {
                    return;
                };
                let seed = self.rng.random();
                let slot = &mut self.slots[n];
                slot.node = Some(Node::with_supported_versions(s, policy, seed, slot.range));
                slot.born = self.now;
                let life = slot.life;
                self.feed(n, Input::Calibration(USUAL_EFFORT));
                self.at(self.now, Event::Tick(n, life));
            }
            NodeAction::Pause(n) => self.slots[n].paused = self.slots[n].node.is_some(),
            NodeAction::Continue(n) => {
                self.slots[n].paused = false;
                self.serve(n);
            }
            NodeAction::Busy(n, each) => {
                self.slots[n].each = each;
                self.serve(n);
                // Its processor is slow, and it finds that out.
                let took = USUAL_EFFORT + TimeSpan(each.0 / 10);
                self.feed(n, Input::Calibration(took));
            }
        }
    }

    /// Plays up to a time or, if asked, until every job is over and every fault
    /// has struck.
    pub fn play(&mut self, until: Time, stop_when_over: bool) {
        while let Some((&(t, n), _)) = self.queue.first_key_value()
            && t <= until
            && let Some(event) = self.queue.remove(&(t, n))
        {
            self.now = t;
            match event {
                Event::Tick(n, life) => {
                    if self.slots[n].life == life {
                        if !self.slots[n].paused {
                            self.feed(n, Input::Tick);
                        }
                        let slot = &self.slots[n];
                        if slot.ending && slot.node.as_ref().is_some_and(Node::may_exit) {
                            self.act(NodeAction::Kill(n));
                            continue;
                        }
                        self.at(t + TICK, Event::Tick(n, life));
                    }
                }
                Event::Stand => {
                    self.stand.advance(t);
                    self.drain();
                    if self.stand.tally().is_due(t) {
                        let nodes = self.slots.iter().filter_map(|s| s.node.as_ref());
                        let leader = nodes
                            .filter(|n| n.is_loaded_leader())
                            .max_by_key(|n| n.token());
                        let knows = leader.map(|l| |m: &MachineId| l.tracks_machine(m));
                        self.stand.look_for_unknown(t, knows);
                    }
                    self.at(t + TICK, Event::Stand);
                    if stop_when_over && self.stand.all_over() && self.stand.left().is_empty() {
                        return;
                    }
                }
                Event::Arrive(to, message) => self.arrive(to, message),
                Event::Timeout(n, life, id) => {
                    if self.slots[n].life == life && self.slots[n].open.remove(&id) {
                        self.reply(n, id, Reply::OutcomeUnknown);
                    }
                }
                Event::LeaseKeepAlive(n, life) if self.slots[n].life == life => self.renew(n),
                Event::Served(n, life) if self.slots[n].life == life => self.serve(n),
                Event::LeaderHeartbeat(n, life) if self.slots[n].life == life => self.beat(n),
                Event::LeaseKeepAlive(..) | Event::Served(..) | Event::LeaderHeartbeat(..) => {}
                Event::Reset(ticket) => {
                    self.stand.refused(t, ticket);
                    self.drain();
                }
            }
        }
    }

    /// Plays the whole script and gives the verdict.
    pub fn rehearse(mut self) -> Verdict {
        let begin = std::time::Instant::now();
        let until = Time(0) + self.stand.script().length();
        self.play(until, true);
        // A little longer, for what must not come after the end.
        let more = self.now + TimeSpan::secs(self.stand.script().cluster.workers.cancel_s + 2.0);
        self.play(more.min(until), false);
        self.stand.finish(self.now);
        Verdict::from_stand(&self.stand, self.now, begin.elapsed())
    }
}

/// Rehearses a script in simulated time.
///
/// # Errors
/// The script's cluster is refused by the controllers.
pub fn rehearse(script: Script, seed: u64) -> Result<Verdict, StartError> {
    Ok(Simulated::new(script, seed)?.rehearse())
}
