//! What a controller knows of its peers from their heartbeats.

use super::Node;
use crate::types::{FencingToken, NodeId, Time, TimeSpan};

/// What a peer said counts for this long: heartbeats come every second, and one or
/// two may be lost.
const PEER_FRESH: TimeSpan = TimeSpan::millis(3500);

/// A peer, as of its last heartbeat.
#[derive(Clone, Debug)]
pub(super) struct PeerView {
    pub(super) last_heard: Time,
    /// The highest token that it knows.
    pub(super) token: FencingToken,
    /// Whether it holds that token itself.
    pub(super) is_leader: bool,
    /// Whether the holder of that token has loaded and answers agents, as far as
    /// the peer knows.
    pub(super) leader_is_loaded: bool,
    /// Whether the key-value store answers it.
    pub(super) store_reachable: bool,
    /// Whether it recently had more to do than it could.
    pub(super) is_overloaded: bool,
    /// How long the calibration workload takes it, in microseconds; 0: unknown.
    pub(super) calibration_us: u64,
}

impl PeerView {
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        now.since(self.last_heard) < PEER_FRESH
    }

    /// Whether it could take over from another controller.
    pub(super) fn could_lead(&self, now: Time) -> bool {
        self.store_reachable && self.is_fresh(now)
    }
}

/// A controller that could lead. The order is that of preference: those that are
/// overloaded come last, and the rest in the order of their names, so that all
/// controllers agree on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate<'a> {
    pub(super) is_overloaded: bool,
    pub(super) node_id: &'a NodeId,
}

impl Node {
    /// The peers that could lead, except one, the preferred ones first.
    pub(super) fn candidates<'a>(&'a self, except: &NodeId) -> Vec<Candidate<'a>> {
        let now = self.effects.now.time;
        let mut candidates: Vec<_> = self
            .peers
            .iter()
            .filter(|(node_id, peer)| *node_id != except && peer.could_lead(now))
            .map(|(node_id, peer)| Candidate {
                is_overloaded: peer.is_overloaded,
                node_id,
            })
            .collect();
        candidates.sort();
        candidates
    }

    /// How many peers are preferred to this controller as successors of a leader.
    pub(super) fn succession_rank(&self, leader: &NodeId) -> u32 {
        let own = Candidate {
            is_overloaded: self.self_health.is_overloaded,
            node_id: &self.settings.node_id,
        };
        let candidates = self.candidates(leader).into_iter();
        candidates.filter(|candidate| *candidate < own).count() as u32
    }
}
