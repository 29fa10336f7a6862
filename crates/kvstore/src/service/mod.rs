//! The key-value store's protocol as a state machine without I/O.
//!
//! Requests are handled one after the other in memory; their changes are
//! collected in a batch. [`Service::flush`] writes the batch with a single sync
//! and only then releases the replies, those of reads included: no client
//! sees a change that a power loss could undo.

mod lease;
mod read;
mod reply;
mod storage_fault;
mod transaction;
mod watch;

use crate::persisted_state::{PersistedState, StoredValue};
use crate::storage::{Batch, Storage, StorageError};
use lease::Lease;
use pebblefold_wire::decode;
use pebblefold_wire::http::Request;
use pebblefold_wire::rate_limit::TokenBucket;
use pebblefold_wire::types::{Time, Version};
pub use reply::Reply;
use std::collections::{BTreeMap, BTreeSet};
use storage_fault::StorageFault;
use watch::Watch;

/// Number of changes that are kept for watches. A watch that starts at an older
/// revision gets 410.
pub const RETAINED_CHANGES: usize = 10_000;

/// Limits of the service; the rates apply to all clients together.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests per second. Opening a watch and renewing a lease count; answering
    /// a watch later does not. The burst is one second's worth.
    pub rps: f64,
    /// Puts and deletes per second, each operation of a transaction counted. The
    /// burst is one second's worth.
    pub write_rps: f64,
    /// Maximum length of one value in bytes, as JSON.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes in one transaction. A transaction may
    /// have four times as many preconditions.
    pub txn_ops: usize,
}

/// Identifies a client of the service. Only [`Service::set_client_refused`], which simulates a fault,
/// tells clients apart; all clients share the same limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u32);

/// Identifies a request until it is answered. The caller chooses it, unique among
/// its open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request is answered with this reply.
    Reply(Reply),
    /// It is unknown whether the request's changes were stored; the connection has
    /// to be closed without an answer.
    Unanswered,
}

/// A reply that is held until the changes that it depends on are stored.
#[derive(Debug)]
struct HeldReply {
    request_id: RequestId,
    outcome: RequestOutcome,
    /// Whether the request changed the store.
    writes: bool,
}

/// The key-value store's state machine: [`Service::handle`] accepts requests,
/// [`Service::flush`] returns the replies.
#[derive(Debug)]
pub struct Service<S> {
    storage: S,
    limits: Limits,
    state: PersistedState,
    leases: BTreeMap<u64, Lease>,
    watches: Vec<Watch>,
    /// Changes since the last flush.
    batch: Batch,
    /// Replies since the last flush.
    held: Vec<HeldReply>,
    /// Whether the watches have to be checked again: since the last check, keys
    /// changed, or an outage or a refusal began or ended.
    watches_outdated: bool,
    request_limiter: TokenBucket,
    write_limiter: TokenBucket,
    outage: bool,
    refused_clients: BTreeSet<ClientId>,
    storage_fault: Option<StorageFault>,
}

/// Decodes a stored value for a response; null if it cannot be decoded.
fn decode_value(value: &StoredValue) -> serde_json::Value {
    decode(&value.0).unwrap_or_default()
}

impl<S: Storage> Service<S> {
    /// Loads the service's state from `storage`. Each lease starts with its full
    /// time to live.
    ///
    /// # Errors
    /// The storage cannot be read.
    pub fn open(mut storage: S, limits: Limits, now: Time) -> Result<Service<S>, StorageError> {
        let state = storage.load()?;
        let mut service = Service {
            storage,
            limits,
            state,
            leases: BTreeMap::new(),
            watches: Vec::new(),
            batch: Batch::default(),
            held: Vec::new(),
            watches_outdated: false,
            request_limiter: TokenBucket::new(limits.rps, limits.rps),
            write_limiter: TokenBucket::new(limits.write_rps, limits.write_rps),
            outage: false,
            refused_clients: BTreeSet::new(),
            storage_fault: None,
        };
        service.restore_leases(now);
        Ok(service)
    }

    /// Begins or ends a simulated outage. During an outage all requests get 503, open
    /// watches stay open, and no lease expires; when it ends, each lease has its
    /// full time to live again.
    pub fn set_outage(&mut self, now: Time, unavailable: bool) {
        if self.outage && !unavailable {
            self.renew_all_leases(now);
        }
        self.outage = unavailable;
        self.watches_outdated = true;
    }

    /// Changes the limits from now on. Stored values that exceed them stay readable.
    pub fn set_limits(&mut self, now: Time, limits: Limits) {
        self.limits = limits;
        self.request_limiter.set_rate(now, limits.rps, limits.rps);
        self.write_limiter
            .set_rate(now, limits.write_rps, limits.write_rps);
    }

    /// Starts or stops refusing one client's requests with 503. Leases that the
    /// client has been granted expire as they otherwise would.
    pub fn set_client_refused(&mut self, client: ClientId, refused: bool) {
        if refused {
            self.refused_clients.insert(client);
        } else {
            self.refused_clients.remove(&client);
        }
        self.watches_outdated = true;
    }

    /// A copy of the whole state, for a snapshot that is written while the service
    /// continues. Changes that are not flushed yet are included.
    pub fn clone_state(&self) -> PersistedState {
        self.state.clone()
    }

    /// The store's current revision and its number of keys.
    pub fn revision_and_key_count(&self) -> (Version, usize) {
        (Version(self.state.counters.revision), self.state.keys.len())
    }

    /// The number of keys that begin with `prefix`.
    pub fn count_keys_with_prefix(&self, prefix: &str) -> usize {
        let candidates = self.state.keys.range(prefix.to_string()..);
        candidates
            .take_while(|(key, _)| key.starts_with(prefix))
            .count()
    }

    /// The storage that was passed to [`Service::open`].
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// Handles a request. A later [`Service::flush`] returns its reply.
    pub fn handle(
        &mut self,
        now: Time,
        client: ClientId,
        request_id: RequestId,
        request: &Request,
    ) {
        let counters_before = self.batch.counters;
        let refused =
            self.outage || self.storage_fault.is_some() || self.refused_clients.contains(&client);
        let reply = if refused {
            Some(Reply::empty(503))
        } else if !self.request_limiter.try_take(now, 1.0) {
            Some(Reply::empty(429))
        } else {
            self.route(now, client, request_id, request)
                .unwrap_or_else(Some)
        };
        if let Some(reply) = reply {
            let writes = self.batch.counters != counters_before;
            self.hold_reply(request_id, RequestOutcome::Reply(reply), writes);
        }
    }

    /// Executes a request by its method and path. `Ok(None)`: a watch stays open.
    /// `Err`: the reply to a request that is rejected.
    fn route(
        &mut self,
        now: Time,
        client: ClientId,
        request_id: RequestId,
        request: &Request,
    ) -> Result<Option<Reply>, Reply> {
        let segments: Vec<&str> = request.path.splitn(3, '/').skip(1).collect();
        let reply = match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["keys", key]) => self.read_key(key)?,
            ("GET", ["keys"]) => self.read_page(&request.query)?,
            ("GET", ["changes"]) => {
                return self.open_watch(now, client, request_id, &request.query);
            }
            ("POST", ["commit"]) => self.commit(now, &request.body)?,
            ("POST", ["leases"]) => self.grant_lease(now, &request.body)?,
            ("POST", ["leases", subpath]) => self.renew_lease(now, subpath),
            ("DELETE", ["leases", id]) => self.revoke_lease(id),
            (method, _) => Reply::error(400, format!("{method} {}: unknown", request.path)),
        };
        Ok(Some(reply))
    }

    fn hold_reply(&mut self, request_id: RequestId, outcome: RequestOutcome, writes: bool) {
        self.held.push(HeldReply {
            request_id,
            outcome,
            writes,
        });
    }

    /// Runs the timers: expires leases, answers watches that are due, and retries a
    /// storage that failed. The caller has to call it at least every 50 ms, since a
    /// lease may expire at most 100 ms late.
    pub fn tick(&mut self, now: Time) {
        if self.storage_fault.is_some() {
            self.retry_storage(now);
        }
        if self.outage || self.storage_fault.is_some() {
            return;
        }
        self.expire_leases(now);
        if self.watches_outdated || self.watches.iter().any(|watch| watch.is_due(now)) {
            self.answer_watches(now);
        }
    }

    /// Writes the batch with one sync and returns the replies that were held for it.
    /// If the write fails, `handle_write_failure` decides the replies.
    pub fn flush(&mut self, now: Time) -> Vec<(RequestId, RequestOutcome)> {
        if self.watches_outdated {
            self.answer_watches(now);
        }
        let mut held = std::mem::take(&mut self.held);
        if !self.batch.is_empty() {
            let mut batch = std::mem::take(&mut self.batch);
            self.state.counters.batch += 1;
            batch.counters = self.state.counters;
            if let Err(e) = self.storage.write(&batch) {
                tracing::error!(
                    error = %e,
                    "cannot write to storage; requests get 503 until a write succeeds"
                );
                self.handle_write_failure(now, &batch, &mut held);
            }
        }
        held.into_iter()
            .map(|reply| (reply.request_id, reply.outcome))
            .collect()
    }
}
