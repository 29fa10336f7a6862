//! The key-value store's protocol as a state machine; it does no I/O of its own.
//!
//! Requests are handled one after the other in memory; what they change is
//! gathered into a batch. [`Service::flush`] stores the batch with a single
//! sync and only then lets the replies out, those of reads included: nobody
//! sees what a power loss could take back.

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

/// Changes that are kept for watches; a watch that asks for older ones gets 410.
pub const RETAINED_CHANGES: usize = 10_000;

/// Limits of the service, over all clients together.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests a second; watches when opened and lease renewals count.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// JSON bytes of one value.
    pub value_bytes: usize,
    /// Puts and deletes in one transaction; four times as many preconditions.
    pub txn_ops: usize,
}

/// A client of the service. All are served alike, but one can be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u32);

/// Names a request that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It is answered.
    Reply(Reply),
    /// Nobody knows whether it was executed: the connection ends unanswered.
    Unanswered,
}

/// A reply that waits until what it rests on is stored.
#[derive(Debug)]
struct HeldReply {
    request_id: RequestId,
    outcome: RequestOutcome,
    /// Whether its request changed something.
    writes: bool,
}

/// The key-value store.
#[derive(Debug)]
pub struct Service<S> {
    storage: S,
    limits: Limits,
    state: PersistedState,
    leases: BTreeMap<u64, Lease>,
    watches: Vec<Watch>,
    /// Changes since the last flush.
    batch: Batch,
    /// Replies that wait for the batch.
    held: Vec<HeldReply>,
    /// Whether keys changed since watches were last answered.
    watches_outdated: bool,
    requests: TokenBucket,
    writes: TokenBucket,
    outage: bool,
    refused_clients: BTreeSet<ClientId>,
    storage_fault: Option<StorageFault>,
}

/// A stored value as it goes on the wire.
fn decode_value(value: &StoredValue) -> serde_json::Value {
    decode(&value.0).unwrap_or_default()
}

impl<S: Storage> Service<S> {
    /// A service on what `storage` holds; every lease has its full time.
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
            requests: TokenBucket::new(limits.rps, limits.rps),
            writes: TokenBucket::new(limits.write_rps, limits.write_rps),
            outage: false,
            refused_clients: BTreeSet::new(),
            storage_fault: None,
        };
        service.restore_leases(now);
        Ok(service)
    }

    /// Begins or ends an outage: everybody gets 503, open watches stay open,
    /// and leases have their full time when it ends.
    pub fn set_out(&mut self, now: Time, out: bool) {
        if self.outage && !out {
            self.renew_all_leases(now);
        }
        self.outage = out;
        self.watches_outdated = true;
    }

    /// Refuses one client with 503, or not any more. Its leases run on.
    pub fn refuse(&mut self, client: ClientId, refused: bool) {
        if refused {
            self.refused_clients.insert(client);
        } else {
            self.refused_clients.remove(&client);
        }
        self.watches_outdated = true;
    }

    /// The store as it is now, to be saved while service goes on.
    pub fn state(&self) -> PersistedState {
        self.state.clone()
    }

    /// The store's revision and the number of its keys.
    pub fn size(&self) -> (Version, usize) {
        (Version(self.state.counters.revision), self.state.keys.len())
    }

    /// How many keys begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let from = self.state.keys.range(prefix.to_string()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).count()
    }

    /// What storage the service stands on.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// Takes a request. Its reply comes out of a later [`Service::flush`].
    pub fn handle(
        &mut self,
        now: Time,
        client: ClientId,
        request_id: RequestId,
        request: &Request,
    ) {
        let before = self.batch.counters;
        let refused =
            self.outage || self.storage_fault.is_some() || self.refused_clients.contains(&client);
        let reply = if refused {
            Some(Reply::empty(503))
        } else if !self.requests.take(now, 1.0) {
            Some(Reply::empty(429))
        } else {
            self.route(now, client, request_id, request)
                .unwrap_or_else(Some)
        };
        if let Some(reply) = reply {
            let writes = self.batch.counters != before;
            self.hold(request_id, RequestOutcome::Reply(reply), writes);
        }
    }

    /// `Ok(None)`: a watch that waits. `Err`: the request is refused.
    fn route(
        &mut self,
        now: Time,
        client: ClientId,
        request_id: RequestId,
        request: &Request,
    ) -> Result<Option<Reply>, Reply> {
        let parts: Vec<&str> = request.path.splitn(3, '/').skip(1).collect();
        let reply = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["keys", key]) => self.read_key(key)?,
            ("GET", ["keys"]) => self.read_page(&request.query)?,
            ("GET", ["changes"]) => {
                return self.open_watch(now, client, request_id, &request.query);
            }
            ("POST", ["commit"]) => self.commit(now, &request.body)?,
            ("POST", ["leases"]) => self.grant_lease(now, &request.body)?,
            ("POST", ["leases", rest]) => self.renew_lease(now, rest),
            ("DELETE", ["leases", id]) => self.revoke_lease(id),
            (method, _) => Reply::error(400, format!("{method} {}: unknown", request.path)),
        };
        Ok(Some(reply))
    }

    fn hold(&mut self, request_id: RequestId, outcome: RequestOutcome, writes: bool) {
        self.held.push(HeldReply {
            request_id,
            outcome,
            writes,
        });
    }

    /// Lets time pass: leases expire, watches are answered, a storage that failed
    /// is tried again. To be called at least every 50 ms, since a lease may
    /// end at most 100 ms late.
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

    /// Stores what has gathered, with one sync, and returns the replies that
    /// may go out now.
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
                tracing::error!(error = %e, "cannot store; refusing until it can");
                self.handle_write_failure(now, &batch, &mut held);
            }
        }
        held.into_iter()
            .map(|reply| (reply.request_id, reply.outcome))
            .collect()
    }
}
