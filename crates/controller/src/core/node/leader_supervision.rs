//! Supervision of the leader by a follower: passes evidence to the failure detector and
//! performs the actions that the detector decides on.

use super::routes::{self, PEER_HEARTBEAT, SUSPICION_QUERY};
use super::{Node, PendingCall};
use crate::core::failure_detector::detector::{Action, PROBE_TIMEOUT, ProbeOutcome, Suspicion};
use crate::core::{Reply, RequestId, Target};
use crate::settings::Peer;
use crate::types::{FencingToken, NodeId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::peers::{LeaderHeartbeat, SuspicionQuery, SuspicionVote};
use std::rc::Rc;

/// Contact with the key-value store within this time counts as proof that the store
/// answers: a follower's watch is held for 2 s.
const MAX_CONTACT_AGE: TimeSpan = TimeSpan::millis(2600);

/// A probe that failed after at least this share of its timeout counts as timed out
/// rather than refused: a refused connection fails immediately, whereas one that is not
/// accepted uses the whole timeout.
const MIN_TIMED_OUT_SHARE: f64 = 0.9;

impl Node {
    /// Queries the failure detector for the next action against the leader, and performs
    /// it.
    pub(super) fn check_leader(&mut self) {
        let now = self.effects.now.time;
        let leader = self.election.leader.as_ref();
        let leader = leader
            .filter(|(node_id, _)| self.leader.is_none() && *node_id != self.settings.node_id);
        self.failure_detector.observe(leader);
        self.failure_detector.tick(now);
        let Some((leader, token)) = leader.cloned() else {
            return;
        };
        let rank = self.succession_rank(&leader);
        match self.failure_detector.next_action(now, rank) {
            Action::None => {}
            Action::Investigate(suspicion) => self.investigate_leader(&leader, token, suspicion),
            Action::ReplaceLeader(token, suspicion) => {
                tracing::info!(%leader, %token, ?suspicion, "replacing suspected leader");
                self.election.claim_from_leader(Version(token.0));
            }
        }
    }

    /// Probes the leader, queries the peers whether they confirm the suspicion, and reads
    /// the leader's key.
    fn investigate_leader(&mut self, leader: &NodeId, token: FencingToken, suspicion: Suspicion) {
        tracing::debug!(%leader, ?suspicion, "investigating leader");
        let heartbeat = wire::encode(&self.own_heartbeat(Vec::new()));
        let query = wire::encode(&SuspicionQuery {
            token,
            store_unreachable: suspicion == Suspicion::StoreUnreachable,
        });
        let sent = self.effects.now.time;
        let settings = Rc::clone(&self.settings);
        for peer in &settings.peers {
            if peer.node_id == *leader {
                let probe = PendingCall::Probe { token, sent };
                self.call_peer(peer, PEER_HEARTBEAT, heartbeat.clone(), probe);
            } else {
                let pending = PendingCall::SuspicionQuery;
                self.call_peer(peer, SUSPICION_QUERY, query.clone(), pending);
            }
        }
        let path = format!("/keys/{}", self.election.leader_key());
        let call = self
            .effects
            .call(Target::Store, "GET", path, Vec::new(), PROBE_TIMEOUT);
        self.pending_calls.add(call, PendingCall::LeaderKey);
    }

    fn call_peer(&mut self, peer: &Peer, route: &str, body: Vec<u8>, pending: PendingCall) {
        let call = self.effects.call(
            Target::Host(peer.addr),
            "POST",
            routes::path(route),
            body,
            PROBE_TIMEOUT,
        );
        self.pending_calls.add(call, pending);
    }

    /// Handles a heartbeat that the leader sends to its followers.
    pub(super) fn handle_leader_heartbeat(&mut self, id: RequestId, body: &[u8]) {
        let Some(heartbeat) = wire::decode::<LeaderHeartbeat>(body) else {
            return self.effects.answer_status(id, 400);
        };
        let now = self.effects.now.time;
        self.failure_detector.record_heartbeat(now, &heartbeat);
        self.effects.answer_status(id, 200);
    }

    /// Answers a peer that suspects the leader: whether this controller confirms the
    /// suspicion, and how many agents recently left the leader for this controller.
    pub(super) fn handle_suspicion_query(&mut self, id: RequestId, body: &[u8]) {
        let Some(query) = wire::decode::<SuspicionQuery>(body) else {
            return self.effects.answer_status(id, 400);
        };
        let now = self.effects.now.time;
        let contact = self.election.last_contact;
        let store_reachable = contact.is_some_and(|at| now.since(at) < MAX_CONTACT_AGE);
        let suspicion = if query.store_unreachable {
            Suspicion::StoreUnreachable
        } else {
            Suspicion::Silent
        };
        let detector = &self.failure_detector;
        let report = SuspicionVote {
            node_id: self.settings.node_id.clone(),
            token: query.token,
            agrees: self.is_serving()
                && detector.confirms_suspicion(now, query.token, suspicion, store_reachable),
            recent_agent_migrations: detector.recent_agent_migrations(now),
        };
        self.effects.answer_body(id, wire::encode(&report));
    }

    /// Handles the reply to a direct probe of the leader.
    pub(super) fn handle_probe_reply(&mut self, token: FencingToken, sent: Time, reply: &Reply) {
        let now = self.effects.now.time;
        if let Some(heartbeat) = reply.decode_success() {
            self.record_peer_heartbeat(heartbeat);
        }
        let outcome = match reply {
            Reply::Answer(..) => ProbeOutcome::Answered,
            Reply::NotSent | Reply::OutcomeUnknown => {
                if now.since(sent) >= PROBE_TIMEOUT.scaled(MIN_TIMED_OUT_SHARE) {
                    ProbeOutcome::TimedOut
                } else {
                    ProbeOutcome::ConnectionRefused
                }
            }
        };
        self.failure_detector.record_probe(now, token, outcome);
    }

    /// Handles a peer's answer to a suspicion query. Answers under names other than the
    /// configured peers' are ignored.
    pub(super) fn handle_suspicion_report(&mut self, reply: &Reply) {
        let Some(report) = reply.decode_success::<SuspicionVote>() else {
            return;
        };
        let mut peers = self.settings.peers.iter();
        if peers.any(|peer| peer.node_id == report.node_id) {
            self.failure_detector.record_peer_answer(
                report.node_id,
                report.token,
                report.agrees,
                report.recent_agent_migrations,
            );
        }
    }

    /// Handles the reply to the read of the leader's key. A 404 for an absent key proves
    /// too that the key-value store is reachable.
    pub(super) fn handle_leader_key_reply(&mut self, reply: &Reply) {
        if matches!(reply, Reply::Answer(200 | 404, _)) {
            self.failure_detector.record_store_reachable();
        }
    }
}
