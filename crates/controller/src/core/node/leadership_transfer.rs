//! Transfer of leadership to a peer, by a leader that is shutting down or is out of
//! processor time. This leader keeps leading until the peer has claimed the leader's key,
//! so that there is no gap. If no peer claims the key in time, this leader steps down.

use super::Node;
use super::routes::{self, LEADERSHIP_TRANSFER};
use crate::core::leader::LeadershipOutcome;
use crate::core::{RequestId, Target};
use crate::settings::Peer;
use crate::types::{FencingToken, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::peers::LeadershipTransfer;

/// How long a successor has to claim the leader's key.
const TRANSFER_TIMEOUT: TimeSpan = TimeSpan::millis(3000);

impl Node {
    /// Transfers leadership if this leader is shutting down or is overloaded; steps down
    /// if an earlier transfer has timed out.
    pub(super) fn check_self_health(&mut self) {
        let now = self.effects.now.time;
        let peers = self.peers.values().filter(|peer| peer.is_fresh(now));
        self.self_health
            .compare_with_peers(peers.map(|p| p.calibration_us));
        let needs_shutdown_transfer =
            self.shutdown_since.is_some() && self.transfer_deadline.is_none();
        let is_overloaded = self.self_health.tick(now, self.leader.is_some());
        let Some(token) = self.token() else {
            self.transfer_deadline = None;
            return;
        };
        if self.transfer_deadline.is_some_and(|at| now >= at) {
            return self.step_down_after_transfer(now);
        }
        if !is_overloaded && !needs_shutdown_transfer {
            return;
        }
        if let Some(successor) = self.preferred_successor() {
            self.offer_leadership(&successor, token);
        } else if needs_shutdown_transfer {
            // No peer can lead: the key is released at the next tick.
            self.transfer_deadline = Some(now);
        }
    }

    fn preferred_successor(&self) -> Option<Peer> {
        let candidates = self.candidates(&self.settings.node_id);
        let preferred = candidates.first()?.node_id;
        let mut peers = self.settings.peers.iter();
        peers.find(|peer| peer.node_id == *preferred).cloned()
    }

    fn offer_leadership(&mut self, successor: &Peer, token: FencingToken) {
        tracing::info!(
            %token,
            to = %successor.node_id,
            slow = self.self_health.is_slow,
            shutdown = self.shutdown_since.is_some(),
            "transferring leadership"
        );
        self.effects.call(
            Target::Host(successor.addr),
            "POST",
            routes::path(LEADERSHIP_TRANSFER),
            wire::encode(&LeadershipTransfer { token }),
            TRANSFER_TIMEOUT,
        );
        self.transfer_deadline = Some(self.effects.now.time + TRANSFER_TIMEOUT);
    }

    fn step_down_after_transfer(&mut self, now: Time) {
        self.transfer_deadline = None;
        let reason = match self.shutdown_since {
            Some(_) => "the process is shutting down",
            None => "out of processor time",
        };
        self.end_leadership(LeadershipOutcome::StepDown(reason));
        self.election.yield_to_peers(now);
    }

    /// Handles the leader's request to be replaced: this controller claims the leader's
    /// key.
    pub(super) fn handle_leadership_transfer(&mut self, id: RequestId, body: &[u8]) {
        let Some(LeadershipTransfer { token }) = wire::decode(body) else {
            return self.effects.answer_status(id, 400);
        };
        self.election.claim_from_leader(Version(token.0));
        self.election.tick(&mut self.effects);
        self.effects.answer_status(id, 200);
    }
}
