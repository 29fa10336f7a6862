//! Readiness: whether the load balancer should send users to this controller.

use super::Node;
use crate::core::format_version::member_versions::NotServing;
use crate::types::{Time, TimeSpan};

/// Contact with the key-value store older than this counts as lost.
const MAX_STORE_CONTACT_AGE: TimeSpan = TimeSpan::millis(5000);

impl Node {
    /// Whether the key-value store recently answered this controller.
    pub(super) fn is_store_reachable(&self) -> bool {
        let now = self.effects.now.time;
        let leader = self.leader.as_ref().filter(|l| l.is_loaded());
        let leaders_contact = leader.map(|l| l.authority.last_contact());
        let last_contact = leaders_contact.max(self.election.last_contact);
        last_contact.is_some_and(|at| now.since(at) < MAX_STORE_CONTACT_AGE)
    }

    /// Whether this controller is ready. It is, unless a peer would serve better: one
    /// that reaches the key-value store while this controller does not, or one with spare
    /// processor time while this controller leads and is overloaded.
    ///
    /// An outage that affects all controllers takes none out of service, and neither does
    /// a restart during such an outage: a load balancer that has marked all controllers
    /// as failed returns to them late, and a refusal costs users less time.
    pub(super) fn is_ready(&self) -> bool {
        // A controller that cannot read the stored records must not answer for them, even
        // if no peer is ready.
        if self.is_version_unusable() || self.is_isolated() {
            return false;
        }
        let now = self.effects.now.time;
        let has_better_peer = self.peers.values().any(|peer| peer.could_lead(now));
        if !self.is_store_reachable() || self.shutdown_since.is_some() {
            return !has_better_peer;
        }
        // If all controllers are overloaded, moving users gains nothing; if only this
        // controller's processor is slow, moving users helps.
        let has_peer_with_capacity = self
            .peers
            .values()
            .any(|peer| peer.could_lead(now) && !peer.is_overloaded);
        let is_slow = self.self_health.is_slow && has_peer_with_capacity;
        let should_shed_users =
            self.self_health.is_overloaded && (self.leader.is_some() || is_slow);
        !should_shed_users || !has_better_peer
    }

    /// Whether this build does not support the active format version, or cannot read
    /// which version is active.
    fn is_version_unusable(&self) -> bool {
        matches!(
            self.not_serving(),
            Some(NotServing::UnsupportedVersion(..) | NotServing::UnreadableVersion)
        )
    }

    /// Whether this controller receives nothing from the key-value store, not even a
    /// refusal, and nothing from any peer: users would wait here in vain.
    fn is_isolated(&self) -> bool {
        let now = self.effects.now.time;
        let has_no_reachable_peer =
            !self.settings.peers.is_empty() && !self.peers.values().any(|peer| peer.is_fresh(now));
        let is_stale = |last: Time| now.since(last) > MAX_STORE_CONTACT_AGE;
        has_no_reachable_peer && self.last_store_answer.is_some_and(is_stale)
    }
}
