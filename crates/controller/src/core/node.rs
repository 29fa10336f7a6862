//! A controller process as a state machine: [`Node`] owns the controller's components,
//! passes each input (tick, request, reply) to the component that handles it, and returns
//! the outputs to perform. This module and its submodules perform no I/O.

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
use super::store_limits::TransactionSize;
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

/// Time between a shutdown request and the exit of the process, in which the load
/// balancer removes this controller: the load balancer checks readiness twice, one second
/// apart.
const DRAIN_TIME: TimeSpan = TimeSpan::millis(2500);

/// The purpose of an outgoing call that the controller itself made, not one of its
/// components (election, job API, leader).
#[derive(Clone, Debug)]
enum PendingCall {
    /// A read of the machine types in the key-value store.
    MachineTypes,
    /// A forward of an agent's heartbeat to the leader.
    ForwardedHeartbeat {
        /// The agent's request, which is answered with the leader's reply.
        request: RequestId,
    },
    /// A heartbeat sent to this peer.
    PeerHeartbeat(NodeId),
    /// A call to the cloud API on behalf of the leader.
    CloudCall {
        /// The leader's request, which is answered with the cloud's reply.
        request: RequestId,
    },
    /// A direct probe of a suspected leader.
    Probe {
        /// The fencing token of the probed leader.
        token: FencingToken,
        /// When the probe was sent.
        sent: Time,
    },
    /// A query whether a peer confirms the suspicion of the leader.
    SuspicionQuery,
    /// A read of the leader's key, sent while the leader is suspected.
    LeaderKey,
    /// The transaction that activates this format version. `None`: the transaction that
    /// records that all stored records were rewritten in the active one.
    VersionWrite(Option<FormatVersion>),
    /// A write of the machine types, with its size.
    MachineTypeWrite(TransactionSize),
}

/// A controller process without its I/O; see the module documentation.
#[derive(Debug)]
pub struct Node {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    effects: Effects,
    pending_calls: PendingCalls<PendingCall>,
    election: Election,
    job_api: JobApi,
    /// The leader's state; `None` while this controller does not lead.
    leader: Option<Leader>,
    peers: BTreeMap<NodeId, PeerView>,
    /// Peers that did not answer the last heartbeat sent to them. When one answers again,
    /// the leader broadcasts its state from the beginning.
    unreached_peers: BTreeSet<NodeId>,
    /// Agents whose heartbeats this follower forwards to the leader, or recently
    /// forwarded.
    forwarded_agents: ForwardedAgents,
    /// Contents of agents' image caches and image fetch times as leaders sent them. Held
    /// in memory only.
    cache_hints: CacheHints,
    machine_types: Option<MachineTypes>,
    /// Number of keys that may hold machine types in the key-value store.
    stored_machine_type_chunks: usize,
    machine_types_due: Time,
    is_reading_machine_types: bool,
    peer_heartbeat_due: Time,
    last_peer_heartbeat: Time,
    /// Recent cancellations that this controller confirmed to users, repeated in
    /// heartbeats.
    cancellations: Cancellations,
    self_health: SelfHealth,
    failure_detector: FailureDetector,
    /// When this leader steps down if no peer has replaced it. `None` unless it is
    /// transferring leadership.
    transfer_deadline: Option<Time>,
    /// When the shutdown of the process was requested; `None` before that.
    shutdown_since: Option<Time>,
    /// Whether a [`PendingCall::VersionWrite`] is in flight; there is one at a time.
    is_writing_version: bool,
    /// Whether controllers ran different policies when that was last logged.
    logged_policy_difference: bool,
    /// The reason for not serving that was last logged, so that each change is logged
    /// once.
    logged_not_serving: Option<NotServing>,
    /// When the key-value store last answered any call of the election or the leader,
    /// even with a refusal. Starts at the first input of this process.
    last_store_answer: Option<Time>,
}

impl Node {
    /// Creates the controller of a process that has just started. `seed` seeds its random
    /// number generator.
    pub fn new(settings: Settings, policy: Policy, seed: u64) -> Node {
        let supported = Some(SupportedVersions::SUPPORTED);
        Node::with_supported_versions(settings, policy, seed, supported)
    }

    /// Creates a controller that supports other format versions than this build does, as
    /// an older build would. `None` stands for a build that predates format versions.
    pub fn with_supported_versions(
        settings: Settings,
        policy: Policy,
        seed: u64,
        supported: Option<SupportedVersions>,
    ) -> Node {
        let settings = Rc::new(settings);
        let node_id = settings.node_id.clone();
        let mut effects = Effects::new(&settings, seed);
        let incarnation = effects.rng.random();
        let changed = policy.changed.clone();
        let member_versions = MemberVersions::new(node_id.clone(), supported, changed, incarnation);
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
            stored_machine_type_chunks: 0,
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

    /// Handles one input at the given time and returns the outputs to perform.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.effects.now = now;
        self.last_store_answer.get_or_insert(now.time);
        self.effects.version_fence = self.election.member_versions.version_fence();
        match input {
            Input::Tick => self.tick(),
            Input::Request(id, listener, request) => self.handle_request(id, listener, request),
            Input::Reply(id, reply) => self.handle_reply(id, reply),
            Input::Calibration(duration) => self.self_health.calibration_us = duration.0.max(1),
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
        self.effects.raise_store_limits_if_due();
        self.check_self_health();
        self.check_leader();
        self.election.tick(&mut self.effects);
        if let Some(leader) = &mut self.leader {
            self.election
                .keep_lease_alive(&mut self.effects, leader.lease_id, leader.token);
            leader.tick(&mut self.effects);
        }
        self.job_api.send_shared_read(&mut self.effects);
        if now >= self.peer_heartbeat_due {
            self.peer_heartbeat_due = now + PEER_HEARTBEAT_PERIOD;
            self.forwarded_agents.remove_stale(now);
            self.send_peer_heartbeats();
            self.advance_format_version();
        }
        self.read_machine_types_if_due();
        self.effects.drop_abandoned_requests();
    }

    fn begin_shutdown(&mut self) {
        tracing::info!("shutting down; leadership is transferred first");
        self.shutdown_since = Some(self.effects.now.time);
    }

    fn handle_lease_expiry(&mut self, lease: u64) {
        if self.leader.as_ref().is_some_and(|l| l.lease_id == lease) {
            self.end_leadership(LeadershipOutcome::StepDown("the lease expired"));
        }
    }
}

/// Queries by the driver and the simulator.
impl Node {
    /// Whether this controller leads and has loaded all records from the key-value store.
    pub fn is_loaded_leader(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::is_loaded)
    }

    /// The fencing token under which this controller leads; `None` if it does not lead.
    pub fn token(&self) -> Option<FencingToken> {
        self.leader.as_ref().map(|l| l.token)
    }

    /// The active format version as this controller last observed it.
    pub fn active_version(&self) -> FormatVersion {
        self.election.member_versions.active_version()
    }

    /// Whether this controller serves users, agents and peers. It does so once it has
    /// read the active format version, supports it, and has stored its own member record.
    pub fn is_serving(&self) -> bool {
        self.not_serving().is_none()
    }

    /// The format version up to which all stored records were rewritten, as this
    /// controller last observed it.
    pub fn rewritten_version(&self) -> FormatVersion {
        self.election.member_versions.rewritten_version()
    }

    /// Whether a process that is shutting down may exit: it no longer leads, and the load
    /// balancer had time to send users elsewhere.
    pub fn may_exit(&self) -> bool {
        let now = self.effects.now.time;
        let is_drained = |since: Time| now.since(since) >= DRAIN_TIME;
        self.leader.is_none() && self.shutdown_since.is_some_and(is_drained)
    }

    /// The number of machines that this leader tracks, and how many of them have sent it
    /// a heartbeat under its fencing token. `None` if this controller does not lead.
    pub fn reporting_machine_counts(&self) -> Option<(usize, usize)> {
        self.leader.as_ref().map(Leader::count_reporting_machines)
    }

    /// The number of starts of earlier leaders that this leader has withdrawn because of
    /// their team's limit; 0 if this controller does not lead.
    pub fn starts_withdrawn_for_quota(&self) -> u64 {
        let leader = self.leader.as_ref();
        leader.map_or(0, Leader::starts_withdrawn_for_quota)
    }

    /// Whether this controller leads and tracks the machine. The simulator counts
    /// machines that no controller tracks.
    pub fn tracks_machine(&self, machine: &MachineId) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|l| l.tracks_machine(machine))
    }
}

#[cfg(test)]
mod tests;
