//! The leader's lease: its keep-alive while this controller leads, and its revocation
//! afterwards. The driver makes the renewals.

use super::{CALL_TIMEOUT, Election};
use crate::core::effects::Effects;
use crate::core::{LeaseKeepAlive, Target};
use crate::types::{FencingToken, Time, TimeSpan};

/// How long the driver renews the lease unless the leader extends the keep-alive.
const KEEP_ALIVE_DURATION: TimeSpan = TimeSpan::millis(10_000);

/// The keep-alive is extended once this share of its duration has passed.
const EXTEND_AFTER_SHARE: f64 = 0.25;

/// Maximum time between renewals: their replies also show whether the key-value store
/// answers the leader.
const MAX_RENEWAL_PERIOD: TimeSpan = TimeSpan::millis(250);

/// Time between renewals, as a share of the lease's time to live.
const RENEWAL_SHARE_OF_TTL: f64 = 0.25;

impl Election {
    /// Has the driver keep the leader's lease alive, as long as this is called at least
    /// every few seconds. A leader that is merely behind must not lose leadership, since
    /// a successor would have as much work to do; a leader that is stuck must lose it.
    pub fn keep_lease_alive(&mut self, effects: &mut Effects, lease: u64, token: FencingToken) {
        let now = effects.now.time;
        if now < self.keep_alive_due {
            return;
        }
        self.keep_alive_due = now + KEEP_ALIVE_DURATION.scaled(EXTEND_AFTER_SHARE);
        let period = self.lease_ttl.scaled(RENEWAL_SHARE_OF_TTL);
        effects.keep_lease_alive(LeaseKeepAlive {
            lease,
            period: period.min(MAX_RENEWAL_PERIOD),
            until: now + KEEP_ALIVE_DURATION,
            token,
        });
    }

    /// Makes the next call of [`Election::keep_lease_alive`] take effect immediately,
    /// because the lease has changed.
    pub fn restart_keep_alive(&mut self) {
        self.keep_alive_due = Time(0);
    }

    /// Revokes the lease of a leader that stepped down, and ends the renewals: if the
    /// revocation is lost, renewals would keep the key from every other controller.
    pub fn release_lease(&mut self, effects: &mut Effects, lease: u64, token: FencingToken) {
        effects.keep_lease_alive(LeaseKeepAlive {
            lease,
            period: MAX_RENEWAL_PERIOD,
            until: effects.now.time,
            token,
        });
        self.revoke_lease(effects, lease);
    }

    /// Revokes a lease to which no key is to be bound any more. The reply is ignored.
    pub(super) fn revoke_lease(&self, effects: &mut Effects, lease: u64) {
        let path = format!("/leases/{lease}");
        effects.call(Target::Store, "DELETE", path, Vec::new(), CALL_TIMEOUT);
    }
}
