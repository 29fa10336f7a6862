//! The states of the peers according to their heartbeats, and the order in which
//! controllers succeed a leader.

use super::Node;
use crate::types::{FencingToken, NodeId, Time, TimeSpan};

/// How long a peer's last heartbeat is valid: heartbeats are sent every second, and one
/// or two may be lost.
const PEER_HEARTBEAT_VALIDITY: TimeSpan = TimeSpan::millis(3500);

/// A peer's state as of its last heartbeat.
#[derive(Clone, Debug)]
pub(super) struct PeerView {
    pub(super) last_heartbeat: Time,
    /// The highest fencing token that the peer has seen.
    pub(super) token: FencingToken,
    /// Whether the peer itself leads under `token`.
    pub(super) is_leader: bool,
    /// Whether the leader of `token` has loaded all records and answers agents, according
    /// to the peer.
    pub(super) leader_is_loaded: bool,
    /// Whether the key-value store answers the peer.
    pub(super) store_reachable: bool,
    /// Whether the peer was recently short of processor time, or is shutting down.
    pub(super) is_overloaded: bool,
    /// Duration of the calibration workload on the peer, in microseconds; 0: unknown.
    pub(super) calibration_us: u64,
}

impl PeerView {
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        now.since(self.last_heartbeat) < PEER_HEARTBEAT_VALIDITY
    }

    /// Whether the peer could take over leadership.
    pub(super) fn could_lead(&self, now: Time) -> bool {
        self.store_reachable && self.is_fresh(now)
    }
}

/// A controller that could lead, ordered by preference: controllers that are not
/// overloaded come first, and then the order of names decides, so that all controllers
/// agree on the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate<'a> {
    pub(super) is_overloaded: bool,
    pub(super) node_id: &'a NodeId,
}

impl Node {
    /// The peers that could lead, without `excluded`, in order of preference.
    pub(super) fn candidates<'a>(&'a self, excluded: &NodeId) -> Vec<Candidate<'a>> {
        let now = self.effects.now.time;
        let mut candidates: Vec<_> = self
            .peers
            .iter()
            .filter(|(node_id, peer)| *node_id != excluded && peer.could_lead(now))
            .map(|(node_id, peer)| Candidate {
                is_overloaded: peer.is_overloaded,
                node_id,
            })
            .collect();
        candidates.sort();
        candidates
    }

    /// The number of peers that are preferred to this controller as successors of
    /// `leader`.
    pub(super) fn succession_rank(&self, leader: &NodeId) -> u32 {
        let own = Candidate {
            is_overloaded: self.self_health.is_overloaded,
            node_id: &self.settings.node_id,
        };
        let candidates = self.candidates(leader).into_iter();
        candidates.filter(|candidate| *candidate < own).count() as u32
    }
}
