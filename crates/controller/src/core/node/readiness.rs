//! Whether the load balancer should send users to this controller.

use super::Node;
use crate::core::format_version::member_versions::NotServing;
use crate::types::{Time, TimeSpan};

/// Contact with the key-value store older than this counts as none.
const STORE_FRESH: TimeSpan = TimeSpan::millis(5000);

impl Node {
    /// Whether the key-value store answers this controller.
    pub(super) fn is_store_reachable(&self) -> bool {
        let now = self.effects.now.time;
        let leader = self.leader.as_ref().filter(|l| l.is_loaded());
        let leaders_contact = leader.map(|l| l.authority.last_contact());
        let last_contact = leaders_contact.max(self.election.last_contact);
        last_contact.is_some_and(|at| now.since(at) < STORE_FRESH)
    }

    /// Ready unless a peer would serve better: one that reaches the key-value store
    /// while this controller does not, or has time while this one, leading, has more
    /// to do than it can. An outage that all share takes nobody out of service, nor
    /// does a start in the middle of one: a load balancer that has once given all
    /// controllers up comes back to them late, and a refusal costs users less.
    pub(super) fn is_ready(&self) -> bool {
        // What it cannot read it must not answer for, whoever else is there.
        if self.must_not_serve() || self.is_cut_off() {
            return false;
        }
        let now = self.effects.now.time;
        let has_better_peer = self.peers.values().any(|peer| peer.could_lead(now));
        if !self.is_store_reachable() || self.shutdown_since.is_some() {
            return !has_better_peer;
        }
        // Where all are overloaded, one of them is as good as another; one whose
        // processor alone is slow is not.
        let has_free_peer = self
            .peers
            .values()
            .any(|peer| peer.could_lead(now) && !peer.is_overloaded);
        let is_slow = self.self_health.is_slow && has_free_peer;
        let is_busy = self.self_health.is_overloaded && (self.leader.is_some() || is_slow);
        !is_busy || !has_better_peer
    }

    /// Whether this build does not support the active format version, or cannot read
    /// which that is.
    fn must_not_serve(&self) -> bool {
        matches!(
            self.not_serving(),
            Some(NotServing::UnsupportedVersion(..) | NotServing::UnreadableVersion)
        )
    }

    /// Whether it receives nothing from the key-value store, not even a refusal, nor from
    /// any peer: users would only wait here for nothing.
    fn is_cut_off(&self) -> bool {
        let now = self.effects.now.time;
        let hears_no_peer =
            !self.settings.peers.is_empty() && !self.peers.values().any(|peer| peer.is_fresh(now));
        let is_silent = |last: Time| now.since(last) > STORE_FRESH;
        hears_no_peer && self.last_store_answer.is_some_and(is_silent)
    }
}
