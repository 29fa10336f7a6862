//! The renewal of the leader's lease, which goes on beside the state machine
//! however busy that is. Never renews anything itself: the driver does.

use crate::types::{FencingToken, NodeId, Time, TimeSpan};
use crate::wire::peers::LeaderHeartbeat;

/// A renewal may take this many times the renewal period ...
const TIMEOUT_PERIODS: f64 = 1.6;

/// ... but always this long, so that a short period leaves time for a slow answer.
const MIN_TIMEOUT: TimeSpan = TimeSpan::millis(500);

/// Pause after a renewal without an answer: sooner than the next regular one, as
/// the lease keeps running down.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(150);

/// A lease to be renewed beside all other work, however much there is of it, as
/// long as the state machine extends `until` from time to time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseKeepAlive {
    /// The lease's id in the key-value store.
    pub lease: u64,
    /// Time between renewals.
    pub period: TimeSpan,
    /// When renewals end unless this is extended.
    pub until: Time,
    /// The fencing token held under the lease; leader heartbeats carry it.
    pub token: FencingToken,
}

impl LeaseKeepAlive {
    /// The path of the call that renews the lease.
    pub fn path(&self) -> String {
        format!("/leases/{}/touch", self.lease)
    }

    /// The heartbeat that shows a peer that the leader is alive.
    ///
    /// `store_silence` is the time since the key-value store last renewed the
    /// lease, `core_lag` the time since the state machine last ran.
    pub fn leader_heartbeat(
        &self,
        node_id: &NodeId,
        store_silence: TimeSpan,
        core_lag: TimeSpan,
    ) -> LeaderHeartbeat {
        LeaderHeartbeat {
            node_id: node_id.clone(),
            token: self.token,
            store_contact_age_ms: store_silence.as_millis(),
            work_delay_ms: core_lag.as_millis(),
        }
    }

    /// How long one renewal may take.
    pub fn timeout(&self) -> TimeSpan {
        self.period.scaled(TIMEOUT_PERIODS).max(MIN_TIMEOUT)
    }

    /// The pause before the next renewal, after one that was answered or was not.
    pub fn pause(&self, answered: bool) -> TimeSpan {
        if answered { self.period } else { RETRY_PAUSE }
    }
}
