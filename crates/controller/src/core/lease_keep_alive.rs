//! The parameters of the renewal of the leader's lease. The driver makes the renewals
//! concurrently with the state machine, so that a busy state machine does not delay them.

use crate::types::{FencingToken, NodeId, Time, TimeSpan};
use crate::wire::peers::LeaderHeartbeat;

/// Timeout of a renewal, in renewal periods.
const TIMEOUT_PERIODS: f64 = 1.6;

/// Minimum timeout of a renewal, so that a short period leaves time for a slow answer.
const MIN_TIMEOUT: TimeSpan = TimeSpan::millis(500);

/// Pause after a renewal without an answer. It is shorter than the regular period, since
/// the lease expires unless it is renewed.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(150);

/// A lease that the driver renews, however busy the state machine is, as long as the
/// state machine extends `until` from time to time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseKeepAlive {
    /// The id of the lease in the key-value store.
    pub lease: u64,
    /// Time between renewals.
    pub period: TimeSpan,
    /// When renewals end, unless the state machine sends a later time before.
    pub until: Time,
    /// The fencing token held under the lease; leader heartbeats carry it.
    pub token: FencingToken,
}

impl LeaseKeepAlive {
    /// The path of the call that renews the lease.
    pub fn path(&self) -> String {
        format!("/leases/{}/touch", self.lease)
    }

    /// The leader's heartbeat to a peer.
    ///
    /// `store_silence` is the time since the key-value store last answered a renewal of
    /// the lease, `core_lag` the time since the state machine last ran.
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
            event_loop_delay_ms: core_lag.as_millis(),
        }
    }

    /// The timeout of one renewal.
    pub fn timeout(&self) -> TimeSpan {
        self.period.scaled(TIMEOUT_PERIODS).max(MIN_TIMEOUT)
    }

    /// The pause before the next renewal; `answered` says whether the last one was.
    pub fn pause(&self, answered: bool) -> TimeSpan {
        if answered { self.period } else { RETRY_PAUSE }
    }
}
