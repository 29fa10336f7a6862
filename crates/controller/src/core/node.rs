//! A controller node: routes inputs to its parts.

mod cloud_proxy;
mod format_version;
mod heartbeat_forwarding;
mod inspect;
mod leader_replacement;
mod machine_type_cache;
mod peer_heartbeat;

use super::autoscaler::state::BAD_GATEWAY;
use super::cache_hints::Keepsake;
use super::effects::{Io, Timed, Waits};
use super::election::{Election, Outcome};
use super::failure_detector::detector::Judge;
use super::format_version::member_versions::{Refused, Registry};
use super::format_version::{Level, Range};
use super::job_api::Intake;
use super::job_records;
use super::leader::{self, Fate, Leader};
use super::self_health::Pulse;
use super::{CallId, Input, Now, Output, Reply, RequestId, Side, Target};
use crate::http;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{FencingToken, JobId, MachineId, NodeId, Time, TimeSpan};
use crate::wire;
use crate::wire::cloud::MachineTypes;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What the node itself waits for.
#[derive(Clone, Debug)]
enum Awaits {
    /// The stored machine types.
    Types,
    /// A worker's report, passed on to the leader.
    Relay {
        /// The request.
        request: RequestId,
    },
    /// A greeting to a peer.
    Greet(NodeId),
    /// A call to the cloud on behalf of the leader.
    Hand {
        /// The request.
        request: RequestId,
    },
    /// The leader, asked directly because it is doubted.
    Probe {
        /// Its token.
        token: FencingToken,
        /// When it was asked.
        sent: Time,
    },
    /// Another node's opinion of it.
    SuspicionReport,
    /// The leader's key, while it is doubted.
    Key,
    /// The commit that raises the level, or says that all is rewritten.
    Level(Option<Level>),
}

#[derive(Clone, Debug)]
struct PeerView {
    heard: Time,
    token: FencingToken,
    leads: bool,
    /// Whether the holder of that token answers workers, as far as it knows.
    loaded: bool,
    state_ok: bool,
    strained: bool,
    effort_us: u64,
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
    waits: Waits<Awaits>,
    election: Election,
    intake: Intake,
    leader: Option<Leader>,
    peers: BTreeMap<NodeId, PeerView>,
    /// Workers whose reports are passed on.
    passing: BTreeMap<MachineId, Passing>,
    /// Peers that missed what was last told.
    missed: BTreeSet<NodeId>,
    /// What leaders told that no record has.
    keepsake: Keepsake,
    types: Option<MachineTypes>,
    types_due: Time,
    types_calling: bool,
    greet_due: Time,
    /// When it last greeted.
    greeted: Time,
    /// Jobs whose users were told here that they are cancelled, and when.
    cancelled: VecDeque<(JobId, Time)>,
    pulse: Pulse,
    judge: Judge,
    /// Until when a peer that was told to may take this node's place.
    handing: Option<Time>,
    /// Since when the process is to end.
    stopping: Option<Time>,
    /// Whether a change of the level is under way.
    raising: bool,
    /// Whether a node runs under another policy, as logged.
    policies: bool,
    /// Why it last did not serve, as logged.
    refusing: Option<Refused>,
    /// When the state service last answered anything at all, or this life began.
    state_spoke: Option<Time>,
}

/// Time between greetings.
const GREET_EVERY: TimeSpan = TimeSpan::millis(1000);
/// Least time between two, where there is news of cancellations, how long that is told,
/// and of how many jobs.
const GREET_GAP: TimeSpan = TimeSpan::millis(200);
const CANCELLED_KEPT: TimeSpan = TimeSpan::millis(10_000);
const MOST_CANCELLED: usize = 200;
/// Contact with the state service older than this counts as none.
const STATE_FRESH: TimeSpan = TimeSpan::millis(5000);
/// How long a peer's word counts.
const PEER_FRESH: TimeSpan = TimeSpan::millis(3500);
/// How long a worker's reports are passed on before it is sent to the leader
/// again, the first time.
const PASSES_ON: TimeSpan = TimeSpan::millis(20_000);
/// How long such a worker is remembered.
const PASSING_KEPT: TimeSpan = TimeSpan::millis(120_000);
/// How long a report passed on may take; workers wait 4 s.
const RELAY_TIMEOUT: TimeSpan = TimeSpan::millis(3000);
/// How long users are led away from a node that is to end: the balancer looks
/// twice, a second apart.
const USERS_LEAVE: TimeSpan = TimeSpan::millis(2500);
/// Counts told to peers at once.
const MOST_COUNTS: usize = 300;

impl Node {
    /// A node at the start of its life.
    pub fn new(settings: Settings, policy: Policy, seed: u64) -> Node {
        Node::with_levels(settings, policy, seed, Some(Range::OURS))
    }

    /// A node that serves other levels than this build: as an older one would or,
    /// with none, as one that knows no levels.
    pub fn with_levels(
        settings: Settings,
        policy: Policy,
        seed: u64,
        range: Option<Range>,
    ) -> Node {
        let settings = Rc::new(settings);
        let mut io = Io::new(&settings, seed);
        let life = io.rng.random();
        let registry = Registry::new(
            settings.node_id.clone(),
            range,
            policy.changed.clone(),
            life,
        );
        let highest = Level(policy.highest_level as u32);
        let lease = TimeSpan::secs(policy.leader_lease_s);
        Node {
            raising: false,
            refusing: None,
            state_spoke: None,
            policies: false,
            io,
            waits: Waits::default(),
            election: Election::new(settings.node_id.clone(), lease, registry, highest),
            intake: Intake::default(),
            leader: None,
            peers: BTreeMap::new(),
            passing: BTreeMap::new(),
            missed: BTreeSet::new(),
            keepsake: Keepsake::default(),
            types: None,
            types_due: Time(0),
            types_calling: false,
            greet_due: Time(0),
            greeted: Time(0),
            cancelled: VecDeque::new(),
            pulse: Pulse::default(),
            judge: Judge::new(settings.peers.len() + 1, policy.doubt),
            handing: None,
            stopping: None,
            policy: Rc::new(policy),
            settings,
        }
    }

    /// Takes an input; returns what to do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.io.now = now;
        self.state_spoke.get_or_insert(now.time);
        self.io.level = self.election.registry.fence();
        match input {
            Input::Tick => self.tick(),
            Input::Request(id, side, request) => self.request(id, side, request),
            Input::Reply(id, reply) => self.reply(id, reply),
            Input::Effort(took) => self.pulse.effort_us = took.0.max(1),
            Input::Stop => {
                tracing::info!("to end; hands over");
                self.stopping = Some(now.time);
            }
            Input::Over(lease) => {
                if self.leader.as_ref().is_some_and(|l| l.lease == lease) {
                    self.end_leadership(Fate::StepDown("the lease ran out"));
                }
            }
        }
        self.spread_cancelled();
        if let Some(leader) = &mut self.leader {
            leader.advance(&mut self.io);
        }
        self.io.take_outputs()
    }

    /// Whether this node leads and has loaded everything.
    pub fn leads(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::is_loaded)
    }

    /// The token under which this node leads, if it does.
    pub fn token(&self) -> Option<FencingToken> {
        self.leader.as_ref().map(|l| l.token)
    }

    /// The level in force as this node knows it, and whether it serves it.
    pub fn level(&self) -> (Level, bool) {
        (self.election.registry.level(), self.refused().is_none())
    }

    /// Up to which level everything stored has its form, as this node knows.
    pub fn rewritten(&self) -> Level {
        self.election.registry.done()
    }

    /// Whether a process that is to end may: it leads no more, and users had time to
    /// be led elsewhere.
    pub fn may_end(&self) -> bool {
        let now = self.io.now.time;
        let left = |t: Time| now.since(t) >= USERS_LEAVE;
        self.leader.is_none() && self.stopping.is_some_and(left)
    }

    /// While it leads: machines that it knows of, and those that have reported to
    /// it under its token.
    pub fn machines(&self) -> Option<(usize, usize)> {
        self.leader.as_ref().map(Leader::machines_heard)
    }

    /// Whether it leads and knows of a machine, for rehearsals to count those
    /// that nobody does.
    pub fn knows(&self, machine: &MachineId) -> bool {
        self.leader.as_ref().is_some_and(|l| l.knows(machine))
    }

    fn tick(&mut self) {
        let now = self.io.now.time;
        self.look_at_pace();
        self.judge_leader();
        self.election.tick(&mut self.io);
        if let Some(leader) = &mut self.leader {
            self.election.keep(&mut self.io, leader.lease, leader.token);
            leader.tick(&mut self.io);
        }
        self.intake.compare(&mut self.io);
        if now >= self.greet_due {
            self.greet_due = now + GREET_EVERY;
            self.passing.retain(|_, p| now.since(p.seen) < PASSING_KEPT);
            self.greet();
            self.see_to_levels();
        }
        if !self.types_calling && now >= self.types_due {
            self.types_calling = true;
            let path = format!("/keys?starts={}/&most=100", job_records::TYPES);
            let limit = TimeSpan::secs(2.0);
            let call = self.io.call(Target::State, "GET", path, Vec::new(), limit);
            self.waits.add(call, Awaits::Types);
        }
        self.io.forget_given_up();
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
        if timed.is_some_and(|kind| !self.io.begin(id, kind)) {
            return self.io.answer_later(id, 503, 2);
        }
        if let Some(why) = self.refused()
            && let (Side::Api, ["submissions", ..] | ["checkin"])
            | (Side::Internal, ["checkin"] | ["cloud", ..]) = (side, parts.as_slice())
        {
            let why = why.to_string();
            return match parts[0] {
                "cloud" => self.io.answer_status(id, BAD_GATEWAY),
                "checkin" => self.io.answer_later(id, 503, 1),
                _ => self.intake.refuse(&mut self.io, id, &why),
            };
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
            (Side::Internal, "POST", ["beat"]) => self.on_beat(id, &r.body),
            (Side::Internal, "POST", ["opinion"]) => self.asked(id, &r.body),
            (Side::Internal, "POST", ["take"]) => self.take_over(id, &r.body),
            (Side::Internal, "GET" | "POST", ["cloud", token, ..]) => self.hand(id, token, &r),
            (Side::Internal, "GET", ["inspect"]) => {
                let body = wire::encode(&self.inspect(&r.query));
                self.io.answer_body(id, body);
            }
            (Side::Api, _, ["submissions"] | ["submissions", _] | ["submissions", _, "cancel"])
            | (Side::Api, _, ["checkin"] | ["ready"])
            | (
                Side::Internal,
                _,
                ["greet" | "beat" | "opinion" | "take" | "inspect" | "checkin"],
            ) => self.io.answer_status(id, 405),
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

    /// Hands a reply to the part that waits for it.
    fn reply(&mut self, id: CallId, reply: Reply) {
        let spoke = matches!(reply, Reply::Answer(..)).then_some(self.io.now.time);
        if let Some(what) = self.leader.as_mut().and_then(|l| l.waits.take(id)) {
            if !matches!(what, leader::Awaits::Cloud(..)) {
                self.state_spoke = self.state_spoke.max(spoke);
            }
            return self.lead(|leader, io| leader.on_reply(io, what, reply));
        }
        if let Some(what) = self.election.waits.take(id) {
            self.state_spoke = self.state_spoke.max(spoke);
            let outcome = self.election.on_reply(&mut self.io, what, reply);
            self.stand(outcome);
        } else if let Some(what) = self.intake.waits.take(id) {
            self.intake.on_reply(&mut self.io, what, reply);
        } else {
            match self.waits.take(id) {
                Some(Awaits::Relay { request }) => return self.on_relay(request, reply),
                Some(Awaits::Hand { request }) => return self.on_hand(request, reply),
                Some(Awaits::Types) => self.on_types(&reply),
                Some(Awaits::Greet(node_id)) => self.on_greet(node_id, &reply),
                Some(Awaits::Probe { token, sent }) => self.on_probe(token, sent, &reply),
                Some(Awaits::SuspicionReport) => self.on_opinion(&reply),
                Some(Awaits::Key) => self.on_key(&reply),
                Some(Awaits::Level(to)) => self.on_level(to, &reply),
                None => {}
            }
        }
        // Standing may have changed: go on at once.
        self.election.tick(&mut self.io);
    }

    /// Takes or loses office as the election says.
    fn stand(&mut self, outcome: Outcome) {
        let now = self.io.now.time;
        match outcome {
            Outcome::None => {}
            Outcome::Elected(token, lease) => {
                tracing::info!(%token, "elected");
                // A leader that raised the level holds the key anew.
                if let Some(mut before) = self.leader.take() {
                    before.drop_held(&mut self.io);
                    self.election
                        .give_up(&mut self.io, before.lease, before.token);
                    self.election.keep_anew();
                }
                let none = MachineTypes::default();
                let mut leader = Leader::new(
                    Rc::clone(&self.settings),
                    Rc::clone(&self.policy),
                    (self.election.holder_key(), token, lease),
                    self.election.registry.level(),
                    now,
                    self.types.as_ref().unwrap_or(&none),
                );
                let kept = self.keepsake.take();
                for (id, images) in kept.machines {
                    leader.inherit_cache(now, &id, &images);
                }
                for (image, took) in kept.fetches {
                    leader.estimates.note(&image, took);
                }
                self.election.keep(&mut self.io, lease, token);
                leader.tick(&mut self.io);
                self.leader = Some(leader);
                self.greet_due = now;
            }
        }
    }

    /// Lets the leader act, and ends its office if that is its fate.
    fn lead(&mut self, act: impl FnOnce(&mut Leader, &mut Io) -> Fate) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let loaded = leader.is_loaded();
        let fate = act(leader, &mut self.io);
        if leader.is_loaded() && !loaded {
            self.greet_due = self.io.now.time;
        }
        for change in leader.news.drain(..) {
            self.election.registry.apply(&change);
        }
        if fate != Fate::Stay {
            self.end_leadership(fate);
        } else {
            leader.tick(&mut self.io);
        }
        if let Some(types) = self.io.learned_types.take() {
            self.learned(types);
        }
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
        self.election
            .give_up(&mut self.io, leader.lease, leader.token);
        self.election.reset(now);
    }
}

#[cfg(test)]
mod tests;
