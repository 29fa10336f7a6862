//! A controller node: routes inputs to its parts.

mod cloud_proxy;
mod format_version;
mod heartbeat_forwarding;
mod inspect;
mod leader_replacement;
mod machine_type_cache;
mod peer_heartbeat;

use super::autoscaler::state::BAD_GATEWAY;
use super::cache_hints::CacheHints;
use super::effects::{Effects, PendingCalls, RequestKind};
use super::election::{Election, ElectionOutcome};
use super::failure_detector::detector::FailureDetector;
use super::format_version::member_versions::{MemberVersions, NotServing};
use super::format_version::{FormatVersion, SupportedVersions};
use super::job_api::JobApi;
use super::job_records;
use super::leader::{self, Leader, LeadershipOutcome, TaskCounts};
use super::self_health::SelfHealth;
use super::{CallId, Input, Listener, Now, Output, Reply, RequestId, Target};
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
enum PendingCall {
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
    ProbeOutcome {
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
    FormatVersion(Option<FormatVersion>),
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
struct ForwardedWorker {
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
    effects: Effects,
    pending_calls: PendingCalls<PendingCall>,
    election: Election,
    job_api: JobApi,
    leader: Option<Leader>,
    peers: BTreeMap<NodeId, PeerView>,
    /// Workers whose reports are passed on.
    forwarded_workers: BTreeMap<MachineId, ForwardedWorker>,
    /// Peers that missed what was last told.
    missed: BTreeSet<NodeId>,
    /// What leaders told that no record has.
    cache_hints: CacheHints,
    types: Option<MachineTypes>,
    types_due: Time,
    types_calling: bool,
    greet_due: Time,
    /// When it last greeted.
    greeted: Time,
    /// Jobs whose users were told here that they are cancelled, and when.
    cancelled: VecDeque<(JobId, Time)>,
    self_health: SelfHealth,
    failure_detector: FailureDetector,
    /// Until when a peer that was told to may take this node's place.
    handing: Option<Time>,
    /// Since when the process is to end.
    stopping: Option<Time>,
    /// Whether a change of the level is under way.
    raising: bool,
    /// Whether a node runs under another policy, as logged.
    policies: bool,
    /// Why it last did not serve, as logged.
    refusing: Option<NotServing>,
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
        Node::with_levels(settings, policy, seed, Some(SupportedVersions::SUPPORTED))
    }

    /// A node that serves other levels than this build: as an older one would or,
    /// with none, as one that knows no levels.
    pub fn with_levels(
        settings: Settings,
        policy: Policy,
        seed: u64,
        range: Option<SupportedVersions>,
    ) -> Node {
        let settings = Rc::new(settings);
        let mut effects = Effects::new(&settings, seed);
        let life = effects.rng.random();
        let registry = MemberVersions::new(
            settings.node_id.clone(),
            range,
            policy.changed.clone(),
            life,
        );
        let highest = FormatVersion(policy.highest_level as u32);
        let lease = TimeSpan::secs(policy.leader_lease_s);
        Node {
            raising: false,
            refusing: None,
            state_spoke: None,
            policies: false,
            effects,
            pending_calls: PendingCalls::default(),
            election: Election::new(settings.node_id.clone(), lease, registry, highest),
            job_api: JobApi::default(),
            leader: None,
            peers: BTreeMap::new(),
            forwarded_workers: BTreeMap::new(),
            missed: BTreeSet::new(),
            cache_hints: CacheHints::default(),
            types: None,
            types_due: Time(0),
            types_calling: false,
            greet_due: Time(0),
            greeted: Time(0),
            cancelled: VecDeque::new(),
            self_health: SelfHealth::default(),
            failure_detector: FailureDetector::new(settings.peers.len() + 1, policy.doubt),
            handing: None,
            stopping: None,
            policy: Rc::new(policy),
            settings,
        }
    }

    /// Takes an input; returns what to do.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.effects.now = now;
        self.state_spoke.get_or_insert(now.time);
        self.effects.level = self.election.registry.fence();
        match input {
            Input::Tick => self.tick(),
            Input::Request(id, side, request) => self.request(id, side, request),
            Input::Reply(id, reply) => self.reply(id, reply),
            Input::SpeedSample(took) => self.self_health.effort_us = took.0.max(1),
            Input::Stop => {
                tracing::info!("to end; hands over");
                self.stopping = Some(now.time);
            }
            Input::LeaseExpired(lease) => {
                if self.leader.as_ref().is_some_and(|l| l.lease == lease) {
                    self.end_leadership(LeadershipOutcome::StepDown("the lease ran out"));
                }
            }
        }
        self.spread_cancelled();
        if let Some(leader) = &mut self.leader {
            leader.advance(&mut self.effects);
        }
        self.effects.take_outputs()
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
    pub fn level(&self) -> (FormatVersion, bool) {
        (self.election.registry.level(), self.refused().is_none())
    }

    /// Up to which level everything stored has its form, as this node knows.
    pub fn rewritten(&self) -> FormatVersion {
        self.election.registry.done()
    }

    /// Whether a process that is to end may: it leads no more, and users had time to
    /// be led elsewhere.
    pub fn may_end(&self) -> bool {
        let now = self.effects.now.time;
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
        let now = self.effects.now.time;
        self.look_at_pace();
        self.judge_leader();
        self.election.tick(&mut self.effects);
        if let Some(leader) = &mut self.leader {
            self.election
                .keep(&mut self.effects, leader.lease, leader.token);
            leader.tick(&mut self.effects);
        }
        self.job_api.compare(&mut self.effects);
        if now >= self.greet_due {
            self.greet_due = now + GREET_EVERY;
            self.forwarded_workers
                .retain(|_, p| now.since(p.seen) < PASSING_KEPT);
            self.greet();
            self.see_to_levels();
        }
        if !self.types_calling && now >= self.types_due {
            self.types_calling = true;
            let path = format!("/keys?starts={}/&most=100", job_records::MACHINE_TYPES);
            let limit = TimeSpan::secs(2.0);
            let call = self
                .effects
                .call(Target::State, "GET", path, Vec::new(), limit);
            self.pending_calls.add(call, PendingCall::Types);
        }
        self.effects.forget_given_up();
    }

    fn request(&mut self, id: RequestId, side: Listener, r: http::Request) {
        let parts: Vec<&str> = r.path.split('/').skip(1).collect();
        let routes = (side, r.method.as_str(), parts.as_slice());
        let timed = match routes {
            (Listener::Api, "POST", ["submissions"]) => Some(RequestKind::Submit),
            (Listener::Api, "GET", ["submissions", _]) => Some(RequestKind::Poll),
            (Listener::Api, "POST", ["submissions", _, "cancel"]) => Some(RequestKind::Cancel),
            (Listener::Api, "POST", ["checkin"]) => Some(RequestKind::Report),
            _ => None,
        };
        if timed.is_some_and(|kind| !self.effects.begin(id, kind)) {
            return self.effects.answer_later(id, 503, 2);
        }
        if let Some(why) = self.refused()
            && let (Listener::Api, ["submissions", ..] | ["checkin"])
            | (Listener::Internal, ["checkin"] | ["cloud", ..]) = (side, parts.as_slice())
        {
            let why = why.to_string();
            return match parts[0] {
                "cloud" => self.effects.answer_status(id, BAD_GATEWAY),
                "checkin" => self.effects.answer_later(id, 503, 1),
                _ => self.job_api.refuse(&mut self.effects, id, &why),
            };
        }
        match routes {
            (Listener::Api, "POST", ["submissions"]) => self.job_api.submit(
                &mut self.effects,
                id,
                &r.body,
                &self.settings,
                self.types.as_ref(),
            ),
            (Listener::Api, "GET", ["submissions", job]) => {
                self.refresh_counts(job);
                self.job_api.poll(&mut self.effects, id, job);
            }
            (Listener::Api, "POST", ["submissions", job, "cancel"]) => {
                self.job_api.cancel(&mut self.effects, id, job);
            }
            (Listener::Api, "POST", ["checkin"]) => self.checkin(id, r.body),
            (Listener::Internal, "POST", ["checkin"]) => self.relayed(id, &r.body),
            (Listener::Api, "GET", ["ready"]) => {
                let status = if self.is_ready() { 200 } else { 503 };
                self.effects.answer_status(id, status);
            }
            (Listener::Internal, "POST", ["greet"]) => self.greeted(id, &r.body),
            (Listener::Internal, "POST", ["beat"]) => self.on_beat(id, &r.body),
            (Listener::Internal, "POST", ["opinion"]) => self.asked(id, &r.body),
            (Listener::Internal, "POST", ["take"]) => self.take_over(id, &r.body),
            (Listener::Internal, "GET" | "POST", ["cloud", token, ..]) => self.hand(id, token, &r),
            (Listener::Internal, "GET", ["inspect"]) => {
                let body = wire::encode(&self.inspect(&r.query));
                self.effects.answer_body(id, body);
            }
            (
                Listener::Api,
                _,
                ["submissions"] | ["submissions", _] | ["submissions", _, "cancel"],
            )
            | (Listener::Api, _, ["checkin"] | ["ready"])
            | (
                Listener::Internal,
                _,
                ["greet" | "beat" | "opinion" | "take" | "inspect" | "checkin"],
            ) => self.effects.answer_status(id, 405),
            _ => self.effects.answer_status(id, 404),
        }
    }

    fn refresh_counts(&mut self, job: &str) {
        if let Some(leader) = &self.leader {
            let id = job.into();
            if let Some(TaskCounts { done, running }) = leader.counts(&id) {
                self.job_api.note_counts(vec![(id, done, running)]);
            }
        }
    }

    /// Hands a reply to the part that waits for it.
    fn reply(&mut self, id: CallId, reply: Reply) {
        let spoke = matches!(reply, Reply::Answer(..)).then_some(self.effects.now.time);
        if let Some(what) = self.leader.as_mut().and_then(|l| l.pending_calls.take(id)) {
            if !matches!(what, leader::PendingCall::Cloud(..)) {
                self.state_spoke = self.state_spoke.max(spoke);
            }
            return self.lead(|leader, effects| leader.on_reply(effects, what, reply));
        }
        if let Some(what) = self.election.pending_calls.take(id) {
            self.state_spoke = self.state_spoke.max(spoke);
            let outcome = self.election.on_reply(&mut self.effects, what, reply);
            self.stand(outcome);
        } else if let Some(what) = self.job_api.pending_calls.take(id) {
            self.job_api.on_reply(&mut self.effects, what, reply);
        } else {
            match self.pending_calls.take(id) {
                Some(PendingCall::Relay { request }) => return self.on_relay(request, reply),
                Some(PendingCall::Hand { request }) => return self.on_hand(request, reply),
                Some(PendingCall::Types) => self.on_types(&reply),
                Some(PendingCall::Greet(node_id)) => self.on_greet(node_id, &reply),
                Some(PendingCall::ProbeOutcome { token, sent }) => {
                    self.on_probe(token, sent, &reply)
                }
                Some(PendingCall::SuspicionReport) => self.on_opinion(&reply),
                Some(PendingCall::Key) => self.on_key(&reply),
                Some(PendingCall::FormatVersion(to)) => self.on_level(to, &reply),
                None => {}
            }
        }
        // Standing may have changed: go on at once.
        self.election.tick(&mut self.effects);
    }

    /// Takes or loses office as the election says.
    fn stand(&mut self, outcome: ElectionOutcome) {
        let now = self.effects.now.time;
        match outcome {
            ElectionOutcome::None => {}
            ElectionOutcome::Elected(token, lease) => {
                tracing::info!(%token, "elected");
                // A leader that raised the level holds the key anew.
                if let Some(mut before) = self.leader.take() {
                    before.drop_held(&mut self.effects);
                    self.election
                        .give_up(&mut self.effects, before.lease, before.token);
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
                let kept = self.cache_hints.take();
                for (id, images) in kept.machines {
                    leader.inherit_cache(now, &id, &images);
                }
                for (image, took) in kept.fetches {
                    leader.cluster.fetch_estimates.note(&image, took);
                }
                self.election.keep(&mut self.effects, lease, token);
                leader.tick(&mut self.effects);
                self.leader = Some(leader);
                self.greet_due = now;
            }
        }
    }

    /// Lets the leader act, and ends its office if that is its fate.
    fn lead(&mut self, act: impl FnOnce(&mut Leader, &mut Effects) -> LeadershipOutcome) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let loaded = leader.is_loaded();
        let fate = act(leader, &mut self.effects);
        if leader.is_loaded() && !loaded {
            self.greet_due = self.effects.now.time;
        }
        for change in leader.news.drain(..) {
            self.election.registry.apply(&change);
        }
        if fate != LeadershipOutcome::Continue {
            self.end_leadership(fate);
        } else {
            leader.tick(&mut self.effects);
        }
        if let Some(types) = self.effects.learned_types.take() {
            self.learned(types);
        }
    }

    fn end_leadership(&mut self, fate: LeadershipOutcome) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        leader.drop_held(&mut self.effects);
        let now = self.effects.now.time;
        match fate {
            LeadershipOutcome::Deposed(by) => tracing::info!(token = %leader.token, %by, "deposed"),
            LeadershipOutcome::StepDown(why) => {
                tracing::info!(token = %leader.token, why, "stepped down")
            }
            LeadershipOutcome::Continue => {}
        }
        self.election
            .give_up(&mut self.effects, leader.lease, leader.token);
        self.election.reset(now);
    }
}

#[cfg(test)]
mod tests;
