//! The leader's lease: keeping it alive while this controller leads, and giving it
//! up afterwards. Renewals themselves are made by the driver.

use super::{CALL_TIMEOUT, Election};
use crate::core::effects::Effects;
use crate::core::{LeaseKeepAlive, Target};
use crate::types::{FencingToken, Time, TimeSpan};

/// How long the driver renews the lease of a leader that does not extend this.
const KEEP_ALIVE_FOR: TimeSpan = TimeSpan::millis(10_000);

/// The keep-alive is extended once this share of it has passed.
const EXTEND_AFTER: f64 = 0.25;

/// Longest time between renewals: they also show whether the key-value store
/// answers the leader.
const MAX_RENEWAL_PERIOD: TimeSpan = TimeSpan::millis(250);

/// The lease is renewed this often within its time to live.
const RENEWAL_SHARE_OF_TTL: f64 = 0.25;

impl Election {
    /// Has the leader's lease kept alive for as long as this is called at least
    /// every few seconds: a leader that is behind must not lose leadership for it,
    /// as its successor would have as much to do; one that is stuck must.
    pub fn keep_lease_alive(&mut self, effects: &mut Effects, lease: u64, token: FencingToken) {
        let now = effects.now.time;
        if now < self.keep_alive_due {
            return;
        }
        self.keep_alive_due = now + KEEP_ALIVE_FOR.scaled(EXTEND_AFTER);
        let period = self.lease_ttl.scaled(RENEWAL_SHARE_OF_TTL);
        effects.keep_lease_alive(LeaseKeepAlive {
            lease,
            period: period.min(MAX_RENEWAL_PERIOD),
            until: now + KEEP_ALIVE_FOR,
            token,
        });
    }

    /// The next call of [`Election::keep_lease_alive`] takes effect at once, as the
    /// lease is another one.
    pub fn restart_keep_alive(&mut self) {
        self.keep_alive_due = Time(0);
    }

    /// Revokes the lease of a leader that stepped down, and ends its renewals: were
    /// the revocation lost, they would keep the key from everybody.
    pub fn release_lease(&mut self, effects: &mut Effects, lease: u64, token: FencingToken) {
        effects.keep_lease_alive(LeaseKeepAlive {
            lease,
            period: MAX_RENEWAL_PERIOD,
            until: effects.now.time,
            token,
        });
        self.revoke_lease(effects, lease);
    }

    /// Revokes a lease that is of no use any more.
    pub(super) fn revoke_lease(&self, effects: &mut Effects, lease: u64) {
        let path = format!("/leases/{lease}");
        effects.call(Target::Store, "DELETE", path, Vec::new(), CALL_TIMEOUT);
    }
}
