//! A controller: owns its parts, advances them in time, and routes requests and
//! replies to them. Never does I/O: what is to be sent is returned as outputs.

mod cloud_proxy;
mod format_version;
mod heartbeat_forwarding;
mod inspect;
mod leader_supervision;
mod leadership;
mod leadership_transfer;
mod machine_type_cache;
mod peer_heartbeat;
mod peers;
mod readiness;
mod replies;
mod requests;
pub(crate) mod routes;

use super::cache_hints::CacheHints;
use super::effects::{Effects, PendingCalls};
use super::election::Election;
use super::failure_detector::detector::FailureDetector;
use super::format_version::member_versions::{MemberVersions, NotServing};
use super::format_version::{FormatVersion, SupportedVersions};
use super::job_api::JobApi;
use super::leader::{Leader, LeadershipOutcome};
use super::self_health::SelfHealth;
use super::{Input, Now, Output, RequestId};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use crate::wire::cloud::MachineTypes;
use heartbeat_forwarding::ForwardedAgents;
use peer_heartbeat::{Cancellations, PEER_HEARTBEAT_PERIOD};
use peers::PeerView;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How long users are led away from a controller that shuts down: the load balancer
/// checks readiness twice, a second apart.
const DRAIN_TIME: TimeSpan = TimeSpan::millis(2500);

/// What a call of the controller itself, not of one of its parts, is for.
#[derive(Clone, Debug)]
enum PendingCall {
    /// Read of the stored machine types.
    MachineTypes,
    /// An agent's heartbeat, forwarded to the leader.
    ForwardedHeartbeat {
        /// The agent's request.
        request: RequestId,
    },
    /// A heartbeat to this peer.
    PeerHeartbeat(NodeId),
    /// A call to the cloud on behalf of the leader.
    CloudCall {
        /// The leader's request.
        request: RequestId,
    },
    /// A direct probe of a suspected leader.
    Probe {
        /// The leader's token.
        token: FencingToken,
        /// When it was sent.
        sent: Time,
    },
    /// A question to a peer whether it confirms the suspicion.
    SuspicionQuery,
    /// Read of the leader's key while the leader is suspected.
    LeaderKey,
    /// The transaction that activates this format version or, with `None`, records
    /// that everything was rewritten.
    VersionWrite(Option<FormatVersion>),
}

/// A controller.
#[derive(Debug)]
pub struct Node {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    effects: Effects,
    pending_calls: PendingCalls<PendingCall>,
    election: Election,
    job_api: JobApi,
    /// The leader's part, while this controller leads.
    leader: Option<Leader>,
    peers: BTreeMap<NodeId, PeerView>,
    /// Peers that the last heartbeat did not reach.
    unreached_peers: BTreeSet<NodeId>,
    /// Agents whose heartbeats are forwarded to the leader.
    forwarded_agents: ForwardedAgents,
    /// What leaders said of agents' image caches, which is stored nowhere.
    cache_hints: CacheHints,
    machine_types: Option<MachineTypes>,
    machine_types_due: Time,
    is_reading_machine_types: bool,
    peer_heartbeat_due: Time,
    last_peer_heartbeat: Time,
    /// Cancellations that were confirmed to users here.
    cancellations: Cancellations,
    self_health: SelfHealth,
    failure_detector: FailureDetector,
    /// When this leader steps down if no peer has replaced it, while it transfers
    /// leadership.
    transfer_deadline: Option<Time>,
    /// Since when the process is shutting down.
    shutdown_since: Option<Time>,
    /// Whether a transaction that concerns the active format version is under way.
    is_writing_version: bool,
    /// Whether a controller ran under another policy when that was last logged.
    logged_policy_difference: bool,
    /// Why this controller did not serve when that was last logged.
    logged_not_serving: Option<NotServing>,
    /// When the key-value store last answered anything at all, or this life began.
    last_store_answer: Option<Time>,
}

impl Node {
    /// A controller at the start of its process.
    pub fn new(settings: Settings, policy: Policy, seed: u64) -> Node {
        let supported = Some(SupportedVersions::SUPPORTED);
        Node::with_supported_versions(settings, policy, seed, supported)
    }

    /// A controller that supports other format versions than this build: as an older
    /// one would or, with none, as one that knows no format versions.
    pub fn with_supported_versions(
        settings: Settings,
        policy: Policy,
        seed: u64,
        supported: Option<SupportedVersions>,
    ) -> Node {
        let settings = Rc::new(settings);
        let node_id = settings.node_id.clone();
        let mut effects = Effects::new(&settings, seed);
        let life = effects.rng.random();
        let changed = policy.changed.clone();
        let member_versions = MemberVersions::new(node_id.clone(), supported, changed, life);
        let max_version = FormatVersion(policy.highest_level as u32);
        let lease_ttl = TimeSpan::secs(policy.leader_lease_s);
        let controllers = settings.peers.len() + 1;
        Node {
            effects,
            pending_calls: PendingCalls::default(),
            election: Election::new(node_id, lease_ttl, member_versions, max_version),
            job_api: JobApi::default(),
            leader: None,
            peers: BTreeMap::new(),
            unreached_peers: BTreeSet::new(),
            forwarded_agents: ForwardedAgents::default(),
            cache_hints: CacheHints::default(),
            machine_types: None,
            machine_types_due: Time(0),
            is_reading_machine_types: false,
            peer_heartbeat_due: Time(0),
            last_peer_heartbeat: Time(0),
            cancellations: Cancellations::default(),
            self_health: SelfHealth::default(),
            failure_detector: FailureDetector::new(controllers, policy.doubt),
            transfer_deadline: None,
            shutdown_since: None,
            is_writing_version: false,
            logged_policy_difference: false,
            logged_not_serving: None,
            last_store_answer: None,
            policy: Rc::new(policy),
            settings,
        }
    }

    /// Handles an input; returns what is to be done.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.effects.now = now;
        self.last_store_answer.get_or_insert(now.time);
        self.effects.version_fence = self.election.member_versions.fence();
        match input {
            Input::Tick => self.tick(),
            Input::Request(id, listener, request) => self.handle_request(id, listener, request),
            Input::Reply(id, reply) => self.handle_reply(id, reply),
            Input::Calibration(took) => self.self_health.calibration_us = took.0.max(1),
            Input::Shutdown => self.begin_shutdown(),
            Input::LeaseExpired(lease) => self.handle_lease_expiry(lease),
        }
        self.announce_cancellations();
        if let Some(leader) = &mut self.leader {
            leader.advance(&mut self.effects);
        }
        self.effects.take_outputs()
    }

    fn tick(&mut self) {
        let now = self.effects.now.time;
        self.check_self_health();
        self.check_leader();
        self.election.tick(&mut self.effects);
        if let Some(leader) = &mut self.leader {
            self.election
                .keep_lease_alive(&mut self.effects, leader.lease, leader.token);
            leader.tick(&mut self.effects);
        }
        self.job_api.send_shared_read(&mut self.effects);
        if now >= self.peer_heartbeat_due {
            self.peer_heartbeat_due = now + PEER_HEARTBEAT_PERIOD;
            self.forwarded_agents.forget_absent(now);
            self.send_peer_heartbeats();
            self.advance_format_version();
        }
        self.read_machine_types_if_due();
        self.effects.forget_abandoned_requests();
    }

    fn begin_shutdown(&mut self) {
        tracing::info!("shutting down; leadership is transferred first");
        self.shutdown_since = Some(self.effects.now.time);
    }

    fn handle_lease_expiry(&mut self, lease: u64) {
        if self.leader.as_ref().is_some_and(|l| l.lease == lease) {
            self.end_leadership(LeadershipOutcome::StepDown("the lease ran out"));
        }
    }
}

/// What others may ask a controller about.
impl Node {
    /// Whether this controller leads and has loaded everything.
    pub fn leads(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::is_loaded)
    }

    /// The token under which this controller leads, if it does.
    pub fn token(&self) -> Option<FencingToken> {
        self.leader.as_ref().map(|l| l.token)
    }

    /// The active format version as this controller knows it.
    pub fn active_version(&self) -> FormatVersion {
        self.election.member_versions.active_version()
    }

    /// Whether this controller serves users, agents and peers.
    pub fn is_serving(&self) -> bool {
        self.not_serving().is_none()
    }

    /// The format version up to which all stored records were rewritten, as this
    /// controller knows.
    pub fn rewritten_version(&self) -> FormatVersion {
        self.election.member_versions.rewritten_version()
    }

    /// Whether a process that shuts down may exit: it leads no more, and users had
    /// time to be led elsewhere.
    pub fn may_exit(&self) -> bool {
        let now = self.effects.now.time;
        let is_drained = |since: Time| now.since(since) >= DRAIN_TIME;
        self.leader.is_none() && self.shutdown_since.is_some_and(is_drained)
    }

    /// While it leads: how many machines it knows, and how many of them have sent it
    /// a heartbeat under its token.
    pub fn machine_counts(&self) -> Option<(usize, usize)> {
        self.leader.as_ref().map(Leader::count_reporting_machines)
    }

    /// Whether it leads and knows a machine; the simulator counts machines that
    /// nobody knows.
    pub fn knows_machine(&self, machine: &MachineId) -> bool {
        self.leader.as_ref().is_some_and(|l| l.knows(machine))
    }
}

#[cfg(test)]
mod tests;
