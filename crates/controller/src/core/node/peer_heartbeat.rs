//! Heartbeats between controllers: what each says of itself about once a second,
//! and what the receiver takes from it.

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
/// A heartbeat may take this share of the period, so that it ends before the next.
const TIMEOUT_SHARE: f64 = 0.9;
/// Least time between two heartbeats while there are new cancellations.
const MIN_HEARTBEAT_GAP: TimeSpan = TimeSpan::millis(200);
/// How long a cancellation is repeated in heartbeats, as some get lost.
const CANCELLATION_KEPT: TimeSpan = TimeSpan::millis(10_000);
/// Most cancellations in one heartbeat.
const MAX_CANCELLATIONS: usize = 200;
/// Most task counts, and most fetch times, in one heartbeat.
const MAX_COUNTS: usize = 300;

/// A cancellation that was confirmed to a user here.
#[derive(Clone, Debug)]
struct Cancellation {
    job: JobId,
    at: Time,
}

/// Recent cancellations that were confirmed here, the newest last.
#[derive(Debug, Default)]
pub(super) struct Cancellations(VecDeque<Cancellation>);

impl Cancellations {
    fn add(&mut self, job: JobId, at: Time) {
        self.0.push_back(Cancellation { job, at });
    }

    fn forget_old(&mut self, now: Time) {
        self.0
            .retain(|cancellation| now.since(cancellation.at) < CANCELLATION_KEPT);
    }

    /// The newest ones first, as many as one heartbeat carries.
    fn newest(&self) -> Vec<JobId> {
        let newest = self.0.iter().rev().take(MAX_CANCELLATIONS);
        newest
            .map(|cancellation| cancellation.job.clone())
            .collect()
    }
}

impl Node {
    /// What this controller says of itself. `counts`: task counts that changed.
    pub(super) fn own_heartbeat(&self, counts: Vec<(JobId, u32, u32)>) -> PeerHeartbeat {
        let read_token = self.election.leader.as_ref().map(|(_, token)| *token);
        let token = self.token().max(read_token).unwrap_or_default();
        let is_loaded_leader =
            |peer: &PeerView| peer.is_leader && peer.leader_is_loaded && peer.token == token;
        PeerHeartbeat {
            node_id: self.settings.node_id.clone(),
            token,
            leads: self.leader.is_some(),
            loaded: self.leads() || self.peers.values().any(is_loaded_leader),
            cancelled: self.cancellations.newest(),
            state_ok: self.is_store_reachable(),
            strained: self.self_health.is_overloaded || self.shutdown_since.is_some(),
            effort_us: self.self_health.calibration_us,
            levels: self.election.member_versions.own_build(),
            counts,
            caches: Vec::new(),
            fetches: Vec::new(),
        }
    }

    /// Announces at once that a cancellation was confirmed to a user, so that the leader
    /// stops the job also while it cannot read so; and again for a while, as heartbeats
    /// get lost.
    pub(super) fn announce_cancellations(&mut self) {
        let now = self.effects.now.time;
        self.cancellations.forget_old(now);
        for job in std::mem::take(&mut self.job_api.confirmed_cancellations) {
            if let Some(leader) = &mut self.leader {
                leader.record_announced_cancellation(now, &job);
            }
            self.cancellations.add(job, now);
            let soonest = self.last_peer_heartbeat + MIN_HEARTBEAT_GAP;
            self.peer_heartbeat_due = self.peer_heartbeat_due.min(soonest).max(now);
        }
    }

    pub(super) fn send_peer_heartbeats(&mut self) {
        self.last_peer_heartbeat = self.effects.now.time;
        let leader = self.leader.as_mut();
        let counts = leader.map(|l| l.changed_counts(MAX_COUNTS));
        let mut heartbeat = self.own_heartbeat(counts.unwrap_or_default());
        if let Some(leader) = &mut self.leader {
            let known = self.cache_hints.take_known(|id| leader.knows(id));
            for (machine, images) in known {
                leader.inherit_cache(self.effects.now.time, &machine, &images);
            }
            heartbeat.caches = leader.changed_caches();
            heartbeat.fetches = leader.changed_fetches();
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

    /// Handles a peer's answer to a heartbeat. A peer that missed one may have missed
    /// changes: once it answers again, the leader repeats everything.
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
            leader.restart_broadcast();
        }
    }

    /// Handles a peer's heartbeat, and answers it in kind.
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

    /// Gives the leader back a part of what earlier leaders said of image caches.
    fn return_cache_hints(&mut self, answer: &mut PeerHeartbeat, token: FencingToken) {
        // Begins by the order of the names, so that no two peers begin alike.
        let names = self.settings.peers.iter().map(|peer| &peer.node_id);
        let position = names.filter(|name| **name < self.settings.node_id).count();
        let controllers = self.settings.peers.len() as f64 + 1.0;
        answer.caches = self
            .cache_hints
            .next_part(token, position as f64 / controllers);
        if !answer.caches.is_empty() {
            answer.fetches = self.fetch_times();
        }
    }

    /// What fetching images takes, in milliseconds.
    fn fetch_times(&self) -> Vec<(Image, u64)> {
        let fetches = self.cache_hints.fetch_times().take(MAX_COUNTS);
        fetches
            .map(|(image, took)| (image.clone(), took.as_millis()))
            .collect()
    }

    /// Takes what a peer says into account.
    pub(super) fn record_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let mut peers = self.settings.peers.iter();
        if !peers.any(|peer| peer.node_id == heartbeat.node_id) {
            return;
        }
        let now = self.effects.now.time;
        let view = PeerView {
            last_heard: now,
            token: heartbeat.token,
            is_leader: heartbeat.leads,
            leader_is_loaded: heartbeat.loaded,
            store_reachable: heartbeat.state_ok,
            is_overloaded: heartbeat.strained,
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
                    .restore(image, TimeSpan::millis(*ms));
            }
            for job in &heartbeat.cancelled {
                leader.record_announced_cancellation(now, job);
            }
        }
        self.cache_hints
            .record(now, heartbeat.token, heartbeat.caches, heartbeat.fetches);
        self.peers.insert(heartbeat.node_id, view.clone());
        self.yield_to_loaded_successor(&view);
    }

    /// Ends this controller's leadership once a successor answers agents. One that has
    /// not read everything yet answers none, and may not for long: until then this
    /// leader does, as long as its contact with the key-value store lets it.
    fn yield_to_loaded_successor(&mut self, peer: &PeerView) {
        let now = self.effects.now.time;
        let is_replaced = |leader: &Leader| {
            peer.token > leader.token
                && peer.leader_is_loaded
                && leader.may_be_replaced_by(now, peer.token)
        };
        if self.leader.as_ref().is_some_and(is_replaced) {
            self.end_leadership(LeadershipOutcome::Deposed(peer.token));
        }
    }
}
