//! Leases: when a lease expires or is revoked, the keys bound to it are deleted.

use super::Service;
use super::reply::Reply;
use crate::storage::Storage;
use pebblefold_wire::decode;
use pebblefold_wire::kvstore as wire;
use pebblefold_wire::types::{Time, TimeSpan};
use std::collections::BTreeSet;

/// Times to live that a client may request for a lease.
const LEASE_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// A lease in memory. Only the time to live is stored, not the expiry time: after a
/// restart or an outage each lease has its full time to live again.
#[derive(Debug)]
pub(super) struct Lease {
    ttl: TimeSpan,
    expires_at: Time,
    /// Keys that are deleted when the lease ends.
    pub(super) keys: BTreeSet<String>,
}

impl Lease {
    fn new(now: Time, ttl: TimeSpan) -> Lease {
        Lease {
            ttl,
            expires_at: now + ttl,
            keys: BTreeSet::new(),
        }
    }

    fn renew(&mut self, now: Time) {
        self.expires_at = now + self.ttl;
    }
}

impl<S: Storage> Service<S> {
    /// Builds the in-memory leases from the loaded state, each with its full time to
    /// live and the keys bound to it.
    pub(super) fn restore_leases(&mut self, now: Time) {
        let restored =
            |(&id, &ttl_ms): (&u64, &u64)| (id, Lease::new(now, TimeSpan::millis(ttl_ms)));
        self.leases = self.state.leases.iter().map(restored).collect();
        for (name, key) in &self.state.keys {
            if let Some(lease) = key.lease.and_then(|id| self.leases.get_mut(&id)) {
                lease.keys.insert(name.clone());
            }
        }
    }

    /// Restarts every lease's time to live, after a time in which clients could not
    /// renew.
    pub(super) fn renew_all_leases(&mut self, now: Time) {
        for lease in self.leases.values_mut() {
            lease.renew(now);
        }
    }

    /// Grants a lease. Its id has never been used before.
    pub(super) fn grant_lease(&mut self, now: Time, body: &[u8]) -> Result<Reply, Reply> {
        let request: wire::LeaseGrantRequest =
            decode(body).ok_or_else(|| Reply::error(400, "life_ms: missing or not a number"))?;
        if !LEASE_TTL_RANGE_MS.contains(&request.ttl_ms) {
            return Err(Reply::error(
                400,
                format!("life_ms: {}, has to be 100 to 600000", request.ttl_ms),
            ));
        }
        self.state.counters.lease += 1;
        let id = self.state.counters.lease;
        let lease = Lease::new(now, TimeSpan::millis(request.ttl_ms));
        self.leases.insert(id, lease);
        self.state.leases.insert(id, request.ttl_ms);
        self.batch.leases.push((id, Some(request.ttl_ms)));
        self.batch.counters = self.state.counters;
        Ok(Reply::message(200, &wire::LeaseGrant { lease: id }))
    }

    /// Renews a lease; `path` is the part of the path after `/leases/`.
    pub(super) fn renew_lease(&mut self, now: Time, path: &str) -> Reply {
        let id = path.strip_suffix("/touch").and_then(|id| id.parse().ok());
        match id.and_then(|id: u64| self.leases.get_mut(&id)) {
            Some(lease) => {
                lease.renew(now);
                Reply::empty(200)
            }
            None => Reply::error(404, "no such lease"),
        }
    }

    /// Ends a lease at a client's request.
    pub(super) fn revoke_lease(&mut self, id: &str) -> Reply {
        match id.parse() {
            Ok(id) if self.leases.contains_key(&id) => {
                self.end_lease(id);
                Reply::empty(200)
            }
            _ => Reply::error(404, "no such lease"),
        }
    }

    /// Ends the leases whose time to live has passed since the last renewal.
    pub(super) fn expire_leases(&mut self, now: Time) {
        let expired = |(&id, lease): (&u64, &Lease)| (now > lease.expires_at).then_some(id);
        let expired: Vec<u64> = self.leases.iter().filter_map(expired).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        self.state.leases.remove(&id);
        self.batch.leases.push((id, None));
        self.batch.counters = self.state.counters;
        if !lease.keys.is_empty() {
            self.begin_revision();
        }
        for key in lease.keys {
            self.delete(key);
        }
    }
}
