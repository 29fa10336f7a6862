//! A controller node: routes inputs to its parts.

use super::budget::Bucket;
use super::election::{Election, Outcome, Standing};
use super::intake::{Intake, Step};
use super::leader::{Fate, Leader};
use super::ledger;
use super::rental::CloudCall;
use super::{Answer, Call, CallId, Input, Now, Output, Reply, RequestId, Side, Target};
use crate::http;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{Image, JobId, Label, MachineId, Session, Span, Time, Token, Version, Wall};
use crate::wire;
use crate::wire::cloud::{MachineType, MachineTypes};
use crate::wire::peers::Greeting;
use crate::wire::state::{Condition, Entries, Op, Txn};
use crate::wire::workers::{Command, DirectCommands, Report, ReportElsewhere};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// What a call's reply is for.
#[derive(Clone, Debug)]
pub enum Pending {
    /// The leader's key.
    ReadLeader {
        /// When it was asked for.
        sent: Time,
    },
    /// A follower's watch.
    WatchLeader {
        /// When it was asked for.
        sent: Time,
    },
    /// A new lease.
    NewLease,
    /// The claim of the leader's key.
    Claim {
        /// The lease.
        lease: u64,
    },
    /// The leader's key, after a claim whose answer was lost.
    ClaimRead {
        /// The lease.
        lease: u64,
    },
    /// A renewal.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Records or changes, for the leader.
    Read {
        /// Whose leadership.
        token: Token,
        /// When it was asked for.
        sent: Time,
    },
    /// The leader's transaction.
    Commit {
        /// Whose leadership.
        token: Token,
    },
    /// A call to the cloud.
    Cloud {
        /// Whose leadership.
        token: Token,
        /// What it was.
        call: CloudCall,
    },
    /// A step of a user's request.
    User {
        /// The request.
        request: RequestId,
        /// The step.
        step: Step,
    },
    /// A shared read for polls.
    Compare {
        /// The polls.
        asked: Vec<super::polls::Asked>,
    },
    /// The stored machine types.
    Types,
    /// A worker's report, passed on to the leader.
    Relay {
        /// The request.
        request: RequestId,
    },
    /// A greeting to a peer.
    Greet(Label),
    /// Nobody waits for it.
    Ignore,
}

/// Kinds of requests whose times are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timed {
    Submit,
    Poll,
    Cancel,
    Report,
}

/// The core's hands: collects outputs and remembers what replies are for.
#[derive(Debug)]
pub struct Io {
    /// The time of the input at hand.
    pub now: Now,
    /// Random numbers.
    pub rng: StdRng,
    /// Calls to the state service that users may cause.
    pub user_calls: Bucket,
    /// Conditions that one transaction may have.
    pub most_conditions: usize,
    /// Writes to the state service that users may cause.
    pub user_writes: Bucket,
    /// Calls of the leader's writing lane.
    pub state_calls: Bucket,
    /// Machine types the cloud has just told.
    pub learned_types: Option<MachineTypes>,
    out: Vec<Output>,
    next_call: u64,
    pending: HashMap<CallId, Pending>,
    timed: HashMap<RequestId, (Timed, Time)>,
    times: BTreeMap<Timed, Histogram<u64>>,
}

/// Most requests waiting at once; more are told to come back.
const MOST_WAITING: usize = 600;

impl Io {
    /// Hands that have done nothing yet.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Io {
        let limits = settings.state_limits;
        let nodes = f64::from(settings.size);
        let per_node = |all: f64, share: f64| (all * share / nodes).max(1.0);
        let bucket = |rate: f64| Bucket::new(rate, rate);
        Io {
            now: Now {
                time: Time(0),
                wall: Wall(0),
            },
            rng: StdRng::seed_from_u64(seed),
            user_calls: bucket(per_node(limits.rps, 0.75)),
            most_conditions: limits.txn_ops * 4,
            user_writes: bucket(per_node(limits.write_rps, 0.6).max(4.0)),
            state_calls: bucket((limits.rps * 0.12).max(2.0)),
            learned_types: None,
            out: Vec::new(),
            next_call: 1,
            pending: HashMap::new(),
            timed: HashMap::new(),
            times: BTreeMap::new(),
        }
    }

    /// What is to be done, as collected so far.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// A random number in 0..1.
    pub fn jitter(&mut self) -> f64 {
        self.rng.random()
    }

    /// Makes a call.
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Span,
        pending: Pending,
    ) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.pending.insert(id, pending);
        self.out.push(Output::Call(Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        }));
    }

    /// Answers a request.
    pub fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some((kind, since)) = self.timed.remove(&request) {
            let ms = self.now.time.since(since).as_millis();
            self.times
                .entry(kind)
                .or_insert_with(|| {
                    Histogram::new_with_bounds(1, 60_000, 2).expect("fixed bounds are valid")
                })
                .saturating_record(ms.max(1));
        }
        self.out.push(Output::Answer(request, answer));
    }

    /// Answers with a bare status.
    pub fn answer_status(&mut self, request: RequestId, status: u16) {
        self.answer(
            request,
            Answer {
                status,
                ..Default::default()
            },
        );
    }

    /// Answers with a status and when to come back.
    pub fn answer_later(&mut self, request: RequestId, status: u16, seconds: u32) {
        self.answer(
            request,
            Answer {
                status,
                retry_after: Some(seconds),
                body: Vec::new(),
            },
        );
    }

    /// Sends commands straight to a worker; nobody waits for the answer.
    pub fn direct(
        &mut self,
        addr: SocketAddrV4,
        token: Token,
        session: Session,
        commands: Vec<Command>,
    ) {
        let body = wire::encode(&DirectCommands {
            token,
            session,
            commands,
        });
        self.call(
            Target::Host(addr),
            "POST",
            "/commands".into(),
            body,
            Span::secs(4.0),
            Pending::Ignore,
        );
    }
}

#[derive(Clone, Debug)]
struct PeerView {
    heard: Time,
    token: Token,
    leads: bool,
    state_ok: bool,
}

/// A worker whose reports are passed on, or lately were.
#[derive(Debug, Default)]
struct Passing {
    seen: Time,
    /// Since when its reports are passed on.
    since: Option<Time>,
    /// How often it was sent back after that.
    turns: u32,
}

/// A controller node.
#[derive(Debug)]
pub struct Node {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    io: Io,
    election: Election,
    intake: Intake,
    leader: Option<Leader>,
    peers: BTreeMap<Label, PeerView>,
    /// Workers whose reports are passed on.
    passing: BTreeMap<MachineId, Passing>,
    /// Peers that missed what was last told.
    missed: BTreeSet<Label>,
    /// Images on machines, as the last leader told.
    caches: BTreeMap<MachineId, (Time, Vec<(Image, f64)>)>,
    types: Option<MachineTypes>,
    types_due: Time,
    types_calling: bool,
    greet_due: Time,
}

/// Time between greetings.
const GREET_EVERY: Span = Span::millis(1000);
/// Contact with the state service older than this counts as none.
const STATE_FRESH: Span = Span::millis(5000);
/// How long a peer's word counts.
const PEER_FRESH: Span = Span::millis(3500);
/// How long a worker's reports are passed on before it is sent to the leader
/// again, the first time.
const PASSES_ON: Span = Span::millis(20_000);
/// How long such a worker is remembered.
const PASSING_KEPT: Span = Span::millis(120_000);
/// How long a report passed on may take; workers wait 4 s.
const RELAY_TIMEOUT: Span = Span::millis(3000);
/// Time between looks at the stored machine types.
const TYPES_EVERY: Span = Span::millis(30_000);
/// Machines whose images are remembered for a change of leader.
const MOST_CACHES: usize = 4000;
/// Counts told to peers at once.
const MOST_COUNTS: usize = 300;

impl Node {
    /// A node at the start of its life.
    pub fn new(settings: Settings, policy: Policy, seed: u64) -> Node {
        let settings = Rc::new(settings);
        Node {
            io: Io::new(&settings, seed),
            election: Election::new(settings.label.clone(), Span::secs(policy.leader_lease_s)),
            intake: Intake::default(),
            leader: None,
            peers: BTreeMap::new(),
            passing: BTreeMap::new(),
            missed: BTreeSet::new(),
            caches: BTreeMap::new(),
            types: None,
            types_due: Time(0),
            types_calling: false,
            greet_due: Time(0),
            policy: Rc::new(policy),
            settings,
        }
    }

    /// Takes an input; returns what to do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.io.now = now;
        match input {
            Input::Tick => self.tick(),
            Input::Request(id, side, request) => self.request(id, side, request),
            Input::Reply(id, reply) => {
                if let Some(pending) = self.io.pending.remove(&id) {
                    self.reply(pending, reply);
                }
            }
        }
        if let Some(leader) = &mut self.leader {
            leader.advance(&mut self.io);
        }
        self.io.take_outputs()
    }

    /// Whether this node leads and has loaded everything.
    pub fn leads(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::is_loaded)
    }

    fn tick(&mut self) {
        let now = self.io.now.time;
        self.election.tick(&mut self.io);
        if let Some(leader) = &mut self.leader {
            self.election.renew(&mut self.io, leader.lease);
            leader.tick(&mut self.io);
        }
        self.intake.compare(&mut self.io);
        if now >= self.greet_due {
            self.greet_due = now + GREET_EVERY;
            self.passing.retain(|_, p| now.since(p.seen) < PASSING_KEPT);
            self.greet();
        }
        if !self.types_calling && now >= self.types_due {
            self.types_calling = true;
            let path = format!("/keys?starts={}/&most=100", ledger::TYPES);
            self.io.call(
                Target::State,
                "GET",
                path,
                Vec::new(),
                Span::secs(2.0),
                Pending::Types,
            );
        }
        // Requests whose connection was given up leave their notes behind.
        self.io
            .timed
            .retain(|_, (_, since)| now.since(*since) < Span::secs(30.0));
    }

    fn request(&mut self, id: RequestId, side: Side, r: http::Request) {
        let parts: Vec<&str> = r.path.split('/').skip(1).collect();
        let routes = (side, r.method.as_str(), parts.as_slice());
        let timed = match routes {
            (Side::Api, "POST", ["submissions"]) => Some(Timed::Submit),
            (Side::Api, "GET", ["submissions", _]) => Some(Timed::Poll),
            (Side::Api, "POST", ["submissions", _, "cancel"]) => Some(Timed::Cancel),
            (Side::Api, "POST", ["checkin"]) => Some(Timed::Report),
            _ => None,
        };
        if let Some(kind) = timed {
            if self.io.timed.len() >= MOST_WAITING && kind != Timed::Report {
                return self.io.answer_later(id, 503, 2);
            }
            self.io.timed.insert(id, (kind, self.io.now.time));
        }
        match routes {
            (Side::Api, "POST", ["submissions"]) => self.intake.submit(
                &mut self.io,
                id,
                &r.body,
                &self.settings,
                self.types.as_ref(),
            ),
            (Side::Api, "GET", ["submissions", job]) => {
                self.refresh_counts(job);
                self.intake.poll(&mut self.io, id, job);
            }
            (Side::Api, "POST", ["submissions", job, "cancel"]) => {
                self.intake.cancel(&mut self.io, id, job);
            }
            (Side::Api, "POST", ["checkin"]) => self.checkin(id, r.body),
            (Side::Internal, "POST", ["checkin"]) => self.relayed(id, &r.body),
            (Side::Api, "GET", ["ready"]) => {
                let status = if self.is_ready() { 200 } else { 503 };
                self.io.answer_status(id, status);
            }
            (Side::Internal, "POST", ["greet"]) => self.greeted(id, &r.body),
            (Side::Internal, "GET", ["inspect"]) => {
                let body = wire::encode(&self.inspect(&r.query));
                self.io.answer(
                    id,
                    Answer {
                        status: 200,
                        retry_after: None,
                        body,
                    },
                );
            }
            (Side::Api, _, ["submissions"] | ["submissions", _] | ["submissions", _, "cancel"])
            | (Side::Api, _, ["checkin"] | ["ready"])
            | (Side::Internal, _, ["greet"] | ["inspect"] | ["checkin"]) => {
                self.io.answer_status(id, 405)
            }
            _ => self.io.answer_status(id, 404),
        }
    }

    fn refresh_counts(&mut self, job: &str) {
        if let Some(leader) = &self.leader {
            let id = job.into();
            if let Some((done, running)) = leader.counts(&id) {
                self.intake.note_counts(vec![(id, done, running)]);
            }
        }
    }

    fn reply(&mut self, pending: Pending, reply: Reply) {
        let now = self.io.now.time;
        let io = &mut self.io;
        let outcome = match pending {
            Pending::ReadLeader { sent } => self.election.on_read(io, sent, reply),
            Pending::WatchLeader { sent } => {
                self.election.on_watch(io, sent, reply);
                Outcome::None
            }
            Pending::NewLease => {
                self.election.on_lease(io, reply);
                Outcome::None
            }
            Pending::Claim { lease } => self.election.on_claim(io, lease, reply),
            Pending::ClaimRead { lease } => self.election.on_claim_read(io, lease, reply),
            Pending::Renew { lease } => {
                let current = self.leader.as_ref().is_some_and(|l| l.lease == lease);
                if current {
                    self.election.on_renew(now, &reply)
                } else {
                    Outcome::None
                }
            }
            Pending::Read { token, sent } => {
                return self.lead(token, |l, io| l.on_read(io, sent, reply));
            }
            Pending::Commit { token } => {
                return self.lead(token, |l, io| l.on_commit(io, reply));
            }
            Pending::Cloud { token, call } => {
                self.lead(token, |l, io| l.on_cloud(io, call, reply));
                if let Some(types) = self.io.learned_types.take() {
                    self.learned(types);
                }
                return;
            }
            Pending::User { request, step } => {
                self.intake.on_reply(io, request, step, reply);
                Outcome::None
            }
            Pending::Relay { request } => return self.on_relay(request, reply),
            Pending::Compare { asked } => {
                self.intake.on_compare(io, asked, &reply);
                Outcome::None
            }
            Pending::Types => {
                self.on_types(&reply);
                Outcome::None
            }
            Pending::Greet(label) => {
                if let Reply::Answer(200, body) = reply
                    && let Some(g) = wire::decode::<Greeting>(&body)
                    && g.label == label
                {
                    self.heard(g);
                    if self.missed.remove(&label)
                        && let Some(leader) = &mut self.leader
                    {
                        leader.tell_again();
                    }
                } else {
                    self.missed.insert(label);
                }
                Outcome::None
            }
            Pending::Ignore => Outcome::None,
        };
        match outcome {
            Outcome::None => {}
            Outcome::Elected(token, lease) => {
                tracing::info!(%token, "elected");
                let none = MachineTypes::default();
                let mut leader = Leader::new(
                    Rc::clone(&self.settings),
                    Rc::clone(&self.policy),
                    token,
                    lease,
                    now,
                    self.types.as_ref().unwrap_or(&none),
                );
                for (id, (_, images)) in std::mem::take(&mut self.caches) {
                    leader.inherit_cache(now, &id, &images);
                }
                leader.tick(&mut self.io);
                self.leader = Some(leader);
                self.greet_due = now;
            }
            Outcome::LeaseLost => self.end_leadership(Fate::StepDown("the lease ran out")),
        }
        // Standing may have changed: go on at once.
        self.election.tick(&mut self.io);
    }

    /// Lets the leader of this token act; a reply for an earlier one is void.
    fn lead(&mut self, token: Token, act: impl FnOnce(&mut Leader, &mut Io) -> Fate) {
        let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) else {
            return;
        };
        let fate = act(leader, &mut self.io);
        if fate != Fate::Stay {
            return self.end_leadership(fate);
        }
        leader.tick(&mut self.io);
    }

    fn end_leadership(&mut self, fate: Fate) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        leader.drop_held(&mut self.io);
        let now = self.io.now.time;
        match fate {
            Fate::Deposed(by) => tracing::info!(token = %leader.token, %by, "deposed"),
            Fate::StepDown(why) => tracing::info!(token = %leader.token, why, "stepped down"),
            Fate::Stay => {}
        }
        self.election.drop_lease(&mut self.io, leader.lease);
        self.election.reset(now);
    }

    // ---- machine types ----

    fn on_types(&mut self, reply: &Reply) {
        self.types_calling = false;
        let now = self.io.now.time;
        self.types_due = now + TYPES_EVERY;
        if let Reply::Answer(200, body) = reply
            && let Some(page) = wire::decode::<Entries>(body)
            && !page.items.is_empty()
        {
            let kinds: Vec<MachineType> = page
                .items
                .iter()
                .filter_map(|e| ledger::read::<Vec<MachineType>>(&e.value))
                .flatten()
                .collect();
            let types = MachineTypes { kinds };
            if let Some(leader) = &mut self.leader {
                leader.set_types(&types);
            }
            self.types = Some(types);
        } else if self.types.is_none() {
            self.types_due = now + Span::millis(500);
        }
    }

    /// The cloud has told the machine types: they are kept in the state
    /// service, for nodes that start while the cloud is out.
    fn learned(&mut self, types: MachineTypes) {
        let Some(leader) = &self.leader else {
            return;
        };
        if self.types.as_ref() == Some(&types) {
            return;
        }
        let most = self.settings.state_limits.value_bytes;
        let mut pieces: Vec<Vec<&MachineType>> = vec![Vec::new()];
        let mut length = 2;
        for t in &types.kinds {
            let len = serde_json::to_vec(t).map_or(0, |b| b.len()) + 1;
            if length + len > most {
                pieces.push(Vec::new());
                length = 2;
            }
            length += len;
            if let Some(last) = pieces.last_mut() {
                last.push(t);
            }
        }
        let ops = pieces
            .iter()
            .enumerate()
            .take(self.settings.state_limits.txn_ops)
            .map(|(i, p)| Op::Put {
                key: format!("{}/{i:03}", ledger::TYPES),
                value: serde_json::to_value(p).unwrap_or_default(),
                lease: None,
            })
            .collect();
        let txn = Txn {
            conditions: vec![Condition {
                key: ledger::LEADER.into(),
                version: Version(leader.token.0),
            }],
            ops,
        };
        self.io.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            Span::secs(2.0),
            Pending::Ignore,
        );
        self.types = Some(types);
    }

    // ---- workers ----

    fn checkin(&mut self, id: RequestId, body: Vec<u8>) {
        let Some(report) = wire::decode::<Report>(&body) else {
            return self.io.answer_status(id, 400);
        };
        if self.leader.is_some() {
            return self.report(id, report, true);
        }
        let foreman = self.foreman();
        // The answer is the leader's wherever it is heard: where the leader is
        // out of a worker's reach, its lease need not run out.
        if let Some((label, token)) = &foreman
            && self.passes_on(&report, *token)
            && let Some(peer) = self.settings.peers.iter().find(|p| p.label == *label)
        {
            return self.io.call(
                Target::Host(peer.addr),
                "POST",
                "/checkin".into(),
                body,
                RELAY_TIMEOUT,
                Pending::Relay { request: id },
            );
        }
        self.report_elsewhere(id, foreman.map(|(label, _)| label));
    }

    /// Whether a report is to be passed on. A worker that has the leader's token
    /// already comes here only when it cannot reach the leader. It stays here
    /// as long as it is answered, so after a while it is sent to the leader
    /// again, rarer each time. One that has not may have found the leader not
    /// ready yet, and is better off with it.
    fn passes_on(&mut self, report: &Report, token: Token) -> bool {
        if token != report.token {
            return false;
        }
        let now = self.io.now.time;
        let p = self.passing.entry(report.machine.clone()).or_default();
        p.seen = now;
        let since = *p.since.get_or_insert(now);
        let goes_on = now.since(since) < Span(PASSES_ON.0 << p.turns.min(4));
        if !goes_on {
            p.since = None;
            p.turns += 1;
        }
        goes_on
    }

    /// A report that another node passes on.
    fn relayed(&mut self, id: RequestId, body: &[u8]) {
        match wire::decode::<Report>(body) {
            Some(report) if self.leader.is_some() => self.report(id, report, false),
            Some(_) => self.io.answer_status(id, 421),
            None => self.io.answer_status(id, 400),
        }
    }

    fn report(&mut self, id: RequestId, report: Report, may_hold: bool) {
        if let Some(leader) = &mut self.leader {
            let fate = leader.on_report(&mut self.io, id, report, may_hold);
            if fate != Fate::Stay {
                self.end_leadership(fate);
            }
        }
    }

    /// The leader answered a report that was passed on, or not.
    fn on_relay(&mut self, id: RequestId, reply: Reply) {
        match reply {
            Reply::Answer(200, body) => self.io.answer(
                id,
                Answer {
                    status: 200,
                    body,
                    ..Default::default()
                },
            ),
            // Another node may do better.
            _ => self.report_elsewhere(id, None),
        }
    }

    fn report_elsewhere(&mut self, id: RequestId, report_to: Option<Label>) {
        let body = wire::encode(&ReportElsewhere { report_to });
        self.io.answer(
            id,
            Answer {
                status: 421,
                retry_after: None,
                body,
            },
        );
    }

    /// The leader and its token as far as known, if it is another node.
    fn foreman(&self) -> Option<(Label, Token)> {
        let now = self.io.now.time;
        let told = self
            .peers
            .iter()
            .filter(|(_, p)| p.leads && now.since(p.heard) < PEER_FRESH)
            .map(|(l, p)| (l.clone(), p.token));
        told.chain(self.election.leader.clone())
            .max_by_key(|(_, t)| *t)
            .filter(|(l, _)| *l != self.settings.label)
    }

    // ---- peers ----

    fn state_ok(&self) -> bool {
        let now = self.io.now.time;
        let leading = self
            .leader
            .as_ref()
            .filter(|l| l.is_loaded())
            .map(|l| l.contact);
        leading
            .max(self.election.contact)
            .is_some_and(|t| now.since(t) < STATE_FRESH)
    }

    /// Ready while the state service answers, or while it answers no node
    /// that can be asked: an outage that all share must not take every node
    /// out of service.
    fn is_ready(&self) -> bool {
        let now = self.io.now.time;
        let better = self
            .peers
            .values()
            .any(|p| p.state_ok && now.since(p.heard) < PEER_FRESH);
        self.state_ok() || (self.election.contact.is_some() && !better)
    }

    fn greeting(&self, counts: Vec<(JobId, u32, u32)>) -> Greeting {
        let seen = self.election.leader.as_ref().map(|(_, t)| *t);
        Greeting {
            label: self.settings.label.clone(),
            token: self
                .leader
                .as_ref()
                .map(|l| l.token)
                .max(seen)
                .unwrap_or_default(),
            leads: self.leader.is_some(),
            state_ok: self.state_ok(),
            counts,
            caches: Vec::new(),
        }
    }

    fn greet(&mut self) {
        let counts = self
            .leader
            .as_mut()
            .map(|l| l.changed_counts(MOST_COUNTS))
            .unwrap_or_default();
        let mut greeting = self.greeting(counts);
        if let Some(leader) = &mut self.leader {
            greeting.caches = leader.changed_caches();
        }
        let body = wire::encode(&greeting);
        for p in &self.settings.peers {
            self.io.call(
                Target::Host(p.addr),
                "POST",
                "/greet".into(),
                body.clone(),
                GREET_EVERY.scaled(0.9),
                Pending::Greet(p.label.clone()),
            );
        }
    }

    fn greeted(&mut self, id: RequestId, body: &[u8]) {
        let Some(g) = wire::decode::<Greeting>(body) else {
            return self.io.answer_status(id, 400);
        };
        self.heard(g);
        let body = wire::encode(&self.greeting(Vec::new()));
        self.io.answer(
            id,
            Answer {
                status: 200,
                retry_after: None,
                body,
            },
        );
    }

    fn heard(&mut self, g: Greeting) {
        if !self.settings.peers.iter().any(|p| p.label == g.label) {
            return;
        }
        self.intake.note_counts(g.counts);
        let now = self.io.now.time;
        if self.leader.is_none() {
            for (id, images) in g.caches {
                self.caches.insert(id, (now, images));
            }
            while self.caches.len() > MOST_CACHES
                && let Some((old, _)) = self.caches.iter().min_by_key(|(_, (t, _))| *t)
            {
                let old = old.clone();
                self.caches.remove(&old);
            }
        }
        self.peers.insert(
            g.label,
            PeerView {
                heard: now,
                token: g.token,
                leads: g.leads,
                state_ok: g.state_ok,
            },
        );
        if self.leader.as_ref().is_some_and(|l| g.token > l.token) {
            self.end_leadership(Fate::Deposed(g.token));
        }
    }

    // ---- operators ----

    /// `query` may have `machine=` and `job=`, what their names begin with.
    fn inspect(&self, query: &str) -> serde_json::Value {
        let starts = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut named = pairs.filter(|(n, _)| *n == name);
            named.next().map_or("", |(_, value)| value)
        };
        let (machine, job) = (starts("machine"), starts("job"));
        let now = self.io.now.time;
        let times: serde_json::Map<String, serde_json::Value> = self
            .io
            .times
            .iter()
            .map(|(k, h)| {
                let q = |p: f64| h.value_at_quantile(p);
                let v = serde_json::json!({
                    "count": h.len(), "ms_50": q(0.5), "ms_95": q(0.95), "ms_99": q(0.99), "ms_max": h.max(),
                });
                (format!("{k:?}").to_lowercase(), v)
            })
            .collect();
        let peers: Vec<_> = self
            .peers
            .iter()
            .map(|(l, p)| {
                serde_json::json!({
                    "node": l, "heard_s_ago": now.since(p.heard).as_secs(), "token": p.token,
                    "leads": p.leads, "state_ok": p.state_ok,
                })
            })
            .collect();
        serde_json::json!({
            "node": self.settings.label, "zone": self.settings.zone, "ready": self.is_ready(),
            "state_ok": self.state_ok(), "leads": self.leads(),
            "standing": format!("{:?}", self.election.standing),
            "leader": self.election.leader.as_ref().map(|(l, _)| l),
            "peers": peers, "times": times,
            "leading": self.leader.as_ref().map(|l| l.inspect(now, machine, job)),
            "standing_by": matches!(self.election.standing, Standing::Following(_)),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::policy::DEFAULT_SCRIPT;
    use crate::testing;

    // While one peer was down everything was told from the beginning again
    // every second, and the others never heard of more than the first machines.
    #[test]
    fn a_peer_that_is_down_does_not_keep_the_others_from_hearing() {
        let settings = testing::settings(0);
        let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
        let mut node = Node::new(settings, policy, 1);
        let mut leader = testing::leader();
        for n in 0..1000 {
            let images = [(Image::from("img"), 5.0)];
            leader.inherit_cache(Time(0), &format!("host-{n:04}").into(), &images);
        }
        node.leader = Some(leader);
        let mut heard = BTreeSet::new();
        for _ in 0..20 {
            node.greet();
            for out in node.io.take_outputs() {
                let Output::Call(call) = out else { continue };
                let Some(Pending::Greet(label)) = node.io.pending.remove(&call.id) else {
                    continue;
                };
                let reply = if label.as_str() == "node-1" {
                    let told: Greeting = wire::decode(&call.body).unwrap();
                    heard.extend(told.caches.into_iter().map(|(id, _)| id));
                    let mut answer = node.greeting(Vec::new());
                    answer.label = label.clone();
                    (answer.token, answer.leads) = (Token(0), false);
                    Reply::Answer(200, wire::encode(&answer))
                } else {
                    Reply::Lost
                };
                node.reply(Pending::Greet(label), reply);
            }
        }
        assert_eq!(heard.len(), 1000);
    }
}
