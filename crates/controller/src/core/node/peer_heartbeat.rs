//! Heartbeats between controllers: each controller sends its state to its peers about
//! once a second, and records the peers' states from their heartbeats and answers.

use super::routes::{self, PEER_HEARTBEAT};
use super::{Node, PeerView, PendingCall};
use crate::core::leader::{Leader, LeadershipOutcome};
use crate::core::{Reply, RequestId, Target};
use crate::types::{FencingToken, Image, JobId, NodeId, Time, TimeSpan};
use crate::wire;
use crate::wire::peers::PeerHeartbeat;
use std::collections::VecDeque;

/// Time between heartbeats to the peers.
pub(super) const PEER_HEARTBEAT_PERIOD: TimeSpan = TimeSpan::millis(1000);
/// Timeout of a heartbeat, as a share of the period: the call ends before the next
/// heartbeat.
const TIMEOUT_SHARE: f64 = 0.9;
/// Minimum time between two heartbeats while there are new cancellations.
const MIN_HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::millis(200);
/// How long a cancellation is repeated in heartbeats, since single heartbeats get lost.
const CANCELLATION_RETENTION: TimeSpan = TimeSpan::millis(10_000);
/// Most cancellations in one heartbeat.
const MAX_CANCELLATIONS_PER_HEARTBEAT: usize = 200;
/// Most task counts, and most fetch times, in one heartbeat.
const MAX_COUNTS_PER_HEARTBEAT: usize = 300;

/// A cancellation that this controller confirmed to a user.
#[derive(Clone, Debug)]
struct Cancellation {
    job: JobId,
    at: Time,
}

/// Recent cancellations that this controller confirmed, the newest last.
#[derive(Debug, Default)]
pub(super) struct Cancellations(VecDeque<Cancellation>);

impl Cancellations {
    fn add(&mut self, job: JobId, at: Time) {
        self.0.push_back(Cancellation { job, at });
    }

    fn remove_expired(&mut self, now: Time) {
        self.0
            .retain(|cancellation| now.since(cancellation.at) < CANCELLATION_RETENTION);
    }

    /// The jobs of the newest cancellations, newest first, at most
    /// [`MAX_CANCELLATIONS_PER_HEARTBEAT`].
    fn newest(&self) -> Vec<JobId> {
        let newest = self.0.iter().rev().take(MAX_CANCELLATIONS_PER_HEARTBEAT);
        newest
            .map(|cancellation| cancellation.job.clone())
            .collect()
    }
}

impl Node {
    /// This controller's heartbeat, without cache hints. `counts`: task counts that
    /// changed, as (job, tasks done, tasks running).
    pub(super) fn own_heartbeat(&self, counts: Vec<(JobId, u32, u32)>) -> PeerHeartbeat {
        let read_token = self.election.leader.as_ref().map(|(_, token)| *token);
        let token = self.token().max(read_token).unwrap_or_default();
        let is_loaded_leader =
            |peer: &PeerView| peer.is_leader && peer.leader_is_loaded && peer.token == token;
        PeerHeartbeat {
            node_id: self.settings.node_id.clone(),
            token,
            leads: self.leader.is_some(),
            loaded: self.is_loaded_leader() || self.peers.values().any(is_loaded_leader),
            cancelled: self.cancellations.newest(),
            state_ok: self.is_store_reachable(),
            is_overloaded: self.self_health.is_overloaded || self.shutdown_since.is_some(),
            effort_us: self.self_health.calibration_us,
            levels: self.election.member_versions.own_build(),
            counts,
            caches: Vec::new(),
            fetches: Vec::new(),
        }
    }

    /// Sends the next heartbeat early when a cancellation was confirmed to a user: the
    /// leader then stops the job even while it cannot read the cancellation from the
    /// key-value store. Heartbeats repeat the cancellation for
    /// [`CANCELLATION_RETENTION`], since single heartbeats get lost.
    pub(super) fn announce_cancellations(&mut self) {
        let now = self.effects.now.time;
        self.cancellations.remove_expired(now);
        for job in std::mem::take(&mut self.job_api.confirmed_cancellations) {
            if let Some(leader) = &mut self.leader {
                leader.record_peer_cancellation(now, &job);
            }
            self.cancellations.add(job, now);
            let soonest = self.last_peer_heartbeat + MIN_HEARTBEAT_INTERVAL;
            self.peer_heartbeat_due = self.peer_heartbeat_due.min(soonest).max(now);
        }
    }

    pub(super) fn send_peer_heartbeats(&mut self) {
        self.last_peer_heartbeat = self.effects.now.time;
        let leader = self.leader.as_mut();
        let counts = leader.map(|l| l.changed_counts(MAX_COUNTS_PER_HEARTBEAT));
        let mut heartbeat = self.own_heartbeat(counts.unwrap_or_default());
        if let Some(leader) = &mut self.leader {
            let known = self.cache_hints.take_known(|id| leader.tracks_machine(id));
            for (machine, images) in known {
                leader.inherit_cache(self.effects.now.time, &machine, &images);
            }
            heartbeat.caches = leader.changed_caches();
            heartbeat.fetches = leader.changed_fetch_times();
        }
        let body = wire::encode(&heartbeat);
        for peer in &self.settings.peers {
            let call = self.effects.call(
                Target::Host(peer.addr),
                "POST",
                routes::path(PEER_HEARTBEAT),
                body.clone(),
                PEER_HEARTBEAT_PERIOD.scaled(TIMEOUT_SHARE),
            );
            let pending = PendingCall::PeerHeartbeat(peer.node_id.clone());
            self.pending_calls.add(call, pending);
        }
    }

    /// Handles a peer's answer to a heartbeat. A peer that missed a heartbeat may have
    /// missed changes: when the peer answers again, the leader broadcasts its state from
    /// the beginning.
    pub(super) fn handle_peer_heartbeat_reply(&mut self, peer: NodeId, reply: &Reply) {
        let answer = reply.decode_success::<PeerHeartbeat>();
        let Some(answer) = answer.filter(|answer| answer.node_id == peer) else {
            self.unreached_peers.insert(peer);
            return;
        };
        self.record_peer_heartbeat(answer);
        if self.unreached_peers.remove(&peer)
            && let Some(leader) = &mut self.leader
        {
            leader.resend_everything();
        }
    }

    /// Handles a peer's heartbeat, and answers with this controller's own.
    pub(super) fn handle_peer_heartbeat(&mut self, id: RequestId, body: &[u8]) {
        let Some(heartbeat) = wire::decode::<PeerHeartbeat>(body) else {
            return self.effects.answer_status(id, 400);
        };
        let leaders_token = heartbeat.leads.then_some(heartbeat.token);
        self.record_peer_heartbeat(heartbeat);
        let mut answer = self.own_heartbeat(Vec::new());
        if let Some(token) = leaders_token.filter(|_| self.leader.is_none()) {
            self.return_cache_hints(&mut answer, token);
        }
        self.effects.answer_body(id, wire::encode(&answer));
    }

    /// Adds a part of the cache hints that earlier leaders sent to an answer to the
    /// leader.
    fn return_cache_hints(&mut self, answer: &mut PeerHeartbeat, token: FencingToken) {
        // Each peer starts at the position of its name in the order of all names, so that
        // no two peers start at the same part.
        let names = self.settings.peers.iter().map(|peer| &peer.node_id);
        let position = names.filter(|name| **name < self.settings.node_id).count();
        let controllers = self.settings.peers.len() as f64 + 1.0;
        answer.caches = self
            .cache_hints
            .next_transfer_part(token, position as f64 / controllers);
        if !answer.caches.is_empty() {
            answer.fetches = self.fetch_times();
        }
    }

    /// Image fetch times in milliseconds, at most [`MAX_COUNTS_PER_HEARTBEAT`].
    fn fetch_times(&self) -> Vec<(Image, u64)> {
        let fetches = self
            .cache_hints
            .fetch_times()
            .take(MAX_COUNTS_PER_HEARTBEAT);
        fetches
            .map(|(image, took)| (image.clone(), took.as_millis()))
            .collect()
    }

    /// Records a peer's state from its heartbeat or answer. Heartbeats under names other
    /// than the configured peers' are ignored.
    pub(super) fn record_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let mut peers = self.settings.peers.iter();
        if !peers.any(|peer| peer.node_id == heartbeat.node_id) {
            return;
        }
        let now = self.effects.now.time;
        let view = PeerView {
            last_heartbeat: now,
            token: heartbeat.token,
            is_leader: heartbeat.leads,
            leader_is_loaded: heartbeat.loaded,
            store_reachable: heartbeat.state_ok,
            is_overloaded: heartbeat.is_overloaded,
            calibration_us: heartbeat.effort_us,
        };
        self.job_api.record_task_counts(heartbeat.counts);
        self.election
            .member_versions
            .record_peer_build(now, &heartbeat.node_id, heartbeat.levels);
        if let Some(leader) = &mut self.leader {
            for (image, ms) in &heartbeat.fetches {
                leader
                    .cluster
                    .fetch_estimates
                    .adopt_if_absent(image, TimeSpan::millis(*ms));
            }
            for job in &heartbeat.cancelled {
                leader.record_peer_cancellation(now, job);
            }
        }
        self.cache_hints
            .record(now, heartbeat.token, heartbeat.caches, heartbeat.fetches);
        self.peers.insert(heartbeat.node_id, view.clone());
        self.yield_to_loaded_successor(&view);
    }

    /// Ends this controller's leadership once a successor with a higher token answers
    /// agents. A successor that has not loaded all records answers no agent, possibly for
    /// a long time. Until the successor has loaded, this leader keeps answering, as long
    /// as the age of its last contact with the key-value store permits.
    fn yield_to_loaded_successor(&mut self, peer: &PeerView) {
        let now = self.effects.now.time;
        let is_replaced = |leader: &Leader| {
            peer.token > leader.token
                && peer.leader_is_loaded
                && leader.may_have_been_issued(now, peer.token)
        };
        if self.leader.as_ref().is_some_and(is_replaced) {
            self.end_leadership(LeadershipOutcome::Deposed(peer.token));
        }
    }
}
