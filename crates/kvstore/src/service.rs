//! The protocol as a state machine.
//!
//! Requests are handled one after the other in memory; what they change is
//! gathered into a batch. [`Service::flush`] stores the batch with a single
//! sync and only then lets the answers out, those of reads included: nobody
//! hears of what a power loss could take back.

use crate::persisted_state::{Change, Image, Key, Value};
use crate::storage::{Batch, Storage, StorageError};
use pebblefold_wire::http::Request;
use pebblefold_wire::kvstore as wire;
use pebblefold_wire::rate_limit::TokenBucket;
use pebblefold_wire::types::{Time, TimeSpan, Version};
use pebblefold_wire::{decode, encode};
use std::collections::{BTreeMap, BTreeSet};

/// Changes that are kept for watches.
pub const KEPT_CHANGES: usize = 10_000;
/// Most keys in one page.
const MOST_ITEMS: usize = 1000;
/// Most JSON bytes in one page.
const MOST_PAGE: usize = 512 * 1024;
/// Most JSON bytes in one transaction.
const MOST_TXN: usize = 64 * 1024;
/// Longest key, in bytes.
const MOST_KEY: usize = 200;
/// Lives that a lease may have, in milliseconds.
const LIVES: std::ops::RangeInclusive<u64> = 100..=600_000;
/// Longest wait of a watch, in milliseconds.
const MOST_HOLD: u64 = 60_000;
/// Pause between tries to write after a failure: the first, and the longest.
const RETRY: (TimeSpan, TimeSpan) = (TimeSpan::millis(200), TimeSpan::millis(2000));

/// Limits of the service; over all who ask.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests a second; watches when opened and renewals count.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// JSON bytes of one value.
    pub value_bytes: usize,
    /// Puts and deletes in one transaction; four times as many conditions.
    pub txn_ops: usize,
}

/// Who asks. The service serves all alike, but can be told to refuse one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Asker(pub u32);

/// Names a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is answered.
    Answer(Answer),
    /// Nobody knows whether it was executed: the connection ends unanswered.
    Silence,
}

#[derive(Debug)]
struct Lease {
    life: TimeSpan,
    ends: Time,
    keys: BTreeSet<String>,
}

#[derive(Debug)]
struct Watch {
    ticket: Ticket,
    asker: Asker,
    starts: String,
    since: u64,
    until: Time,
}

/// A failure to store, and when to try again.
#[derive(Debug)]
struct Failing {
    retry: Time,
    pause: TimeSpan,
    /// Whether memory shows what is stored.
    loaded: bool,
}

/// The state service.
#[derive(Debug)]
pub struct Service<S> {
    storage: S,
    limits: Limits,
    image: Image,
    leases: BTreeMap<u64, Lease>,
    watches: Vec<Watch>,
    batch: Batch,
    /// Answers that wait for the batch, and whether each changes something.
    held: Vec<(Ticket, Outcome, bool)>,
    /// Keys changed since watches were last looked through.
    changed: bool,
    requests: TokenBucket,
    writes: TokenBucket,
    out: bool,
    refused: BTreeSet<Asker>,
    failing: Option<Failing>,
}

/// Counts bytes of JSON without keeping them.
struct Length(usize);

impl std::io::Write for Length {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn json_len<T: serde::Serialize>(v: &T) -> usize {
    let mut n = Length(0);
    serde_json::to_writer(&mut n, v).map_or(usize::MAX, |()| n.0)
}

fn answer<T: serde::Serialize>(status: u16, body: &T) -> Answer {
    let body = encode(body);
    Answer { status, body }
}

fn error(status: u16, reason: impl Into<String>) -> Answer {
    let error = reason.into();
    answer(status, &pebblefold_wire::users::ErrorResponse { error })
}

fn bare(status: u16) -> Answer {
    let body = Vec::new();
    Answer { status, body }
}

fn params(query: &str) -> Result<BTreeMap<&str, &str>, Answer> {
    let pairs = query.split('&').filter(|p| !p.is_empty());
    pairs
        .map(|p| {
            p.split_once('=')
                .ok_or_else(|| error(400, format!("parameter {p}: has no value")))
        })
        .collect()
}

fn number(params: &BTreeMap<&str, &str>, name: &str, default: u64) -> Result<u64, Answer> {
    match params.get(name) {
        None => Ok(default),
        Some(v) => v
            .parse()
            .map_err(|_| error(400, format!("{name}: {v} is not a number"))),
    }
}

fn good_key(key: &str) -> Result<(), Answer> {
    let fits = (1..=MOST_KEY).contains(&key.len());
    if fits && !key.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Ok(());
    }
    Err(error(
        400,
        format!("key {key:?}: has to be 1 to {MOST_KEY} bytes with no spaces"),
    ))
}

fn shown(value: &Value) -> serde_json::Value {
    decode(&value.0).unwrap_or_default()
}

impl<S: Storage> Service<S> {
    /// A service on what `storage` holds; every lease has its full time.
    ///
    /// # Errors
    /// The storage cannot be read.
    pub fn open(mut storage: S, limits: Limits, now: Time) -> Result<Service<S>, StorageError> {
        let image = storage.load()?;
        let mut service = Service {
            storage,
            limits,
            image,
            leases: BTreeMap::new(),
            watches: Vec::new(),
            batch: Batch::default(),
            held: Vec::new(),
            changed: false,
            requests: TokenBucket::new(limits.rps, limits.rps),
            writes: TokenBucket::new(limits.write_rps, limits.write_rps),
            out: false,
            refused: BTreeSet::new(),
            failing: None,
        };
        service.count_leases(now);
        Ok(service)
    }

    fn count_leases(&mut self, now: Time) {
        let lease = |(&id, &ms): (&u64, &u64)| {
            let life = TimeSpan::millis(ms);
            let (ends, keys) = (now + life, BTreeSet::new());
            (id, Lease { life, ends, keys })
        };
        self.leases = self.image.leases.iter().map(lease).collect();
        for (name, key) in &self.image.keys {
            if let Some(lease) = key.lease.and_then(|l| self.leases.get_mut(&l)) {
                lease.keys.insert(name.clone());
            }
        }
    }

    fn full_time(&mut self, now: Time) {
        for l in self.leases.values_mut() {
            l.ends = now + l.life;
        }
    }

    /// Begins or ends an outage: everybody gets 503, open watches stay open,
    /// and leases have their full time when it ends.
    pub fn set_out(&mut self, now: Time, out: bool) {
        if self.out && !out {
            self.full_time(now);
        }
        self.out = out;
        self.changed = true;
    }

    /// Refuses one asker with 503, or not any more. Its leases run on.
    pub fn refuse(&mut self, asker: Asker, refused: bool) {
        if refused {
            self.refused.insert(asker);
        } else {
            self.refused.remove(&asker);
        }
        self.changed = true;
    }

    /// The store as it is now, to be saved while service goes on.
    pub fn image(&self) -> Image {
        self.image.clone()
    }

    /// The store's revision and the number of its keys.
    pub fn size(&self) -> (Version, usize) {
        (Version(self.image.marks.revision), self.image.keys.len())
    }

    /// Keys that begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let from = self.image.keys.range(prefix.to_string()..);
        from.take_while(|(k, _)| k.starts_with(prefix)).count()
    }

    /// What storage the service stands on.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// Takes a request. Its answer comes out of a later [`Service::flush`].
    pub fn handle(&mut self, now: Time, asker: Asker, ticket: Ticket, request: &Request) {
        let before = self.batch.marks;
        let answered = if self.out || self.failing.is_some() || self.refused.contains(&asker) {
            Some(bare(503))
        } else if !self.requests.take(now, 1.0) {
            Some(bare(429))
        } else {
            self.route(now, asker, ticket, request).unwrap_or_else(Some)
        };
        if let Some(a) = answered {
            let changes = self.batch.marks != before;
            self.held.push((ticket, Outcome::Answer(a), changes));
        }
    }

    /// `Ok(None)`: a watch that waits.
    fn route(
        &mut self,
        now: Time,
        asker: Asker,
        ticket: Ticket,
        r: &Request,
    ) -> Result<Option<Answer>, Answer> {
        let parts: Vec<&str> = r.path.splitn(3, '/').skip(1).collect();
        let answer = match (r.method.as_str(), parts.as_slice()) {
            ("GET", ["keys", key]) => self.get(key)?,
            ("GET", ["keys"]) => self.page(&r.query)?,
            ("GET", ["changes"]) => return self.watch(now, asker, ticket, &r.query),
            ("POST", ["commit"]) => self.commit(now, &r.body)?,
            ("POST", ["leases"]) => self.grant(now, &r.body)?,
            ("POST", ["leases", rest]) => {
                let id = rest.strip_suffix("/touch").and_then(|i| i.parse().ok());
                match id.and_then(|i: u64| self.leases.get_mut(&i)) {
                    Some(l) => {
                        l.ends = now + l.life;
                        bare(200)
                    }
                    None => error(404, "no such lease"),
                }
            }
            ("DELETE", ["leases", id]) => match id.parse() {
                Ok(id) if self.leases.contains_key(&id) => {
                    self.end_lease(id);
                    bare(200)
                }
                _ => error(404, "no such lease"),
            },
            (method, _) => error(400, format!("{method} {}: unknown", r.path)),
        };
        Ok(Some(answer))
    }

    fn mark(&self, failed: Vec<String>) -> wire::TransactionResponse {
        let revision = Version(self.image.marks.revision);
        wire::TransactionResponse { revision, failed }
    }

    fn get(&self, key: &str) -> Result<Answer, Answer> {
        good_key(key)?;
        Ok(match self.image.keys.get(key) {
            Some(k) => answer(
                200,
                &wire::KeyResponse {
                    key: key.to_string(),
                    value: shown(&k.value),
                    version: k.version,
                    lease: k.lease,
                },
            ),
            None => answer(404, &self.mark(Vec::new())),
        })
    }

    fn page(&self, query: &str) -> Result<Answer, Answer> {
        let params = params(query)?;
        let starts = params.get("starts").copied().unwrap_or("");
        let since = params.get("since").copied().unwrap_or("");
        let most = number(&params, "most", MOST_ITEMS as u64)?.clamp(1, MOST_ITEMS as u64);
        let first = starts.max(since);
        let keys = self.image.keys.range(first.to_string()..);
        let keys = keys.take_while(|(k, _)| k.starts_with(starts));
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (name, key) in keys.filter(|(k, _)| k.as_str() > since || since.is_empty()) {
            let entry = wire::Entry {
                key: name.clone(),
                value: shown(&key.value),
                version: key.version,
            };
            bytes += json_len(&entry) + 1;
            // One entry always fits: a value is far below a page.
            if items.len() as u64 >= most || (bytes > MOST_PAGE && !items.is_empty()) {
                more = true;
                break;
            }
            items.push(entry);
        }
        let revision = Version(self.image.marks.revision);
        Ok(answer(
            200,
            &wire::EntryPage {
                items,
                more,
                revision,
            },
        ))
    }

    fn watch(
        &mut self,
        now: Time,
        asker: Asker,
        ticket: Ticket,
        query: &str,
    ) -> Result<Option<Answer>, Answer> {
        let params = params(query)?;
        let watch = Watch {
            ticket,
            asker,
            starts: params.get("starts").copied().unwrap_or("").into(),
            since: number(&params, "since", 0)?,
            until: now + TimeSpan::millis(number(&params, "hold_ms", 0)?.min(MOST_HOLD)),
        };
        let seen = self.seen(&watch, now);
        if seen.is_none() {
            self.watches.push(watch);
        }
        Ok(seen)
    }

    /// What a watch is answered now, if it is.
    fn seen(&self, w: &Watch, now: Time) -> Option<Answer> {
        if w.since < self.image.marks.dropped {
            return Some(error(410, "changes since then are no longer kept"));
        }
        let log = &self.image.changes;
        let from = log.partition_point(|(at, _)| at.0 <= w.since);
        let events: Vec<wire::WatchEvent> = log
            .range(from..)
            .filter(|(_, c)| c.key.starts_with(&w.starts))
            .map(|(at, c)| {
                let (put, delete) = match c.value {
                    Some(_) => (Some(c.key.clone()), None),
                    None => (None, Some(c.key.clone())),
                };
                wire::WatchEvent {
                    put,
                    delete,
                    value: c.value.as_ref().map(shown).unwrap_or_default(),
                    version: Version(at.0),
                }
            })
            .collect();
        let revision = Version(self.image.marks.revision);
        (!events.is_empty() || now >= w.until)
            .then(|| answer(200, &wire::WatchResponse { revision, events }))
    }

    fn commit(&mut self, now: Time, body: &[u8]) -> Result<Answer, Answer> {
        let txn: wire::Transaction =
            decode(body).ok_or_else(|| error(400, "not a transaction in MessagePack"))?;
        let most = self.limits;
        let over = |what: &str, n: usize, limit: usize| {
            Err(error(400, format!("{what}: {n}, at most {limit}")))
        };
        if txn.ops.len() > most.txn_ops {
            return over("apply", txn.ops.len(), most.txn_ops);
        }
        if txn.conditions.len() > most.txn_ops * 4 {
            return over("if", txn.conditions.len(), most.txn_ops * 4);
        }
        let length = json_len(&txn);
        if length > MOST_TXN {
            return over("transaction bytes", length, MOST_TXN);
        }
        for c in &txn.conditions {
            good_key(&c.key)?;
        }
        for op in &txn.ops {
            match op {
                wire::Operation::Delete { key } => good_key(key)?,
                wire::Operation::Put { key, value, lease } => {
                    good_key(key)?;
                    let length = json_len(value);
                    if length > most.value_bytes {
                        return over(&format!("{key}: value bytes"), length, most.value_bytes);
                    }
                    if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
                        return Err(error(400, "no such lease"));
                    }
                }
            }
        }
        if !self.writes.take(now, txn.ops.len() as f64) {
            return Err(bare(429));
        }
        let version = |key: &str| self.image.keys.get(key).map_or(0, |k| k.version.0);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version.0)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Ok(answer(409, &self.mark(failed)));
        }
        if !txn.ops.is_empty() {
            self.begin_change();
        }
        for op in txn.ops {
            match op {
                wire::Operation::Put { key, value, lease } => {
                    let value = Value(encode(&value).into());
                    self.put(key, value, lease);
                }
                wire::Operation::Delete { key } => self.delete(key),
            }
        }
        Ok(answer(200, &self.mark(Vec::new())))
    }

    fn grant(&mut self, now: Time, body: &[u8]) -> Result<Answer, Answer> {
        let asked: wire::LeaseGrantRequest =
            decode(body).ok_or_else(|| error(400, "life_ms: missing or not a number"))?;
        if !LIVES.contains(&asked.ttl_ms) {
            return Err(error(
                400,
                format!("life_ms: {}, has to be 100 to 600000", asked.ttl_ms),
            ));
        }
        self.image.marks.lease += 1;
        let id = self.image.marks.lease;
        let life = TimeSpan::millis(asked.ttl_ms);
        let (ends, keys) = (now + life, BTreeSet::new());
        self.leases.insert(id, Lease { life, ends, keys });
        self.image.leases.insert(id, asked.ttl_ms);
        self.batch.leases.push((id, Some(asked.ttl_ms)));
        self.batch.marks = self.image.marks;
        Ok(answer(200, &wire::LeaseGrant { lease: id }))
    }

    // ---- changes ----

    fn begin_change(&mut self) {
        self.image.marks.revision += 1;
        self.batch.marks = self.image.marks;
        self.changed = true;
    }

    fn detach(&mut self, name: &str) {
        let lease = self.image.keys.get(name).and_then(|k| k.lease);
        if let Some(l) = lease.and_then(|l| self.leases.get_mut(&l)) {
            l.keys.remove(name);
        }
    }

    fn put(&mut self, name: String, value: Value, lease: Option<u64>) {
        self.detach(&name);
        if let Some(l) = lease.and_then(|l| self.leases.get_mut(&l)) {
            l.keys.insert(name.clone());
        }
        let version = Version(self.image.marks.revision);
        let key = Key {
            value: value.clone(),
            version,
            lease,
        };
        self.batch.keys.push((name.clone(), Some(key.clone())));
        self.image.keys.insert(name.clone(), key);
        let value = Some(value);
        self.log(Change { key: name, value });
    }

    fn delete(&mut self, name: String) {
        self.detach(&name);
        if self.image.keys.remove(&name).is_some() {
            self.batch.keys.push((name.clone(), None));
            let value = None;
            self.log(Change { key: name, value });
        }
    }

    fn log(&mut self, change: Change) {
        let revision = self.image.marks.revision;
        let place = match self.image.changes.back() {
            Some(((last, place), _)) if *last == revision => place + 1,
            _ => 0,
        };
        let at = (revision, place);
        self.batch.changes.push((at, change.clone()));
        self.image.changes.push_back((at, change));
        while self.image.changes.len() > KEPT_CHANGES
            && let Some((old, _)) = self.image.changes.pop_front()
        {
            self.batch.forgotten.push(old);
            self.image.marks.dropped = old.0;
            self.batch.marks = self.image.marks;
        }
    }

    fn end_lease(&mut self, id: u64) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        self.image.leases.remove(&id);
        self.batch.leases.push((id, None));
        self.batch.marks = self.image.marks;
        if !lease.keys.is_empty() {
            self.begin_change();
        }
        for key in lease.keys {
            self.delete(key);
        }
    }

    // ---- time and storage ----

    /// Lets time pass: leases end, watches are answered, a storage that failed
    /// is tried again. To be called at least every 50 ms, since a lease may
    /// end at most 100 ms late.
    pub fn tick(&mut self, now: Time) {
        if self.failing.is_some() {
            self.recover(now);
        }
        if self.out || self.failing.is_some() {
            return;
        }
        let over = |(&id, l): (&u64, &Lease)| (now > l.ends).then_some(id);
        let over: Vec<u64> = self.leases.iter().filter_map(over).collect();
        for id in over {
            self.end_lease(id);
        }
        if self.changed || self.watches.iter().any(|w| now >= w.until) {
            self.look_at_watches(now);
        }
    }

    fn look_at_watches(&mut self, now: Time) {
        self.changed = false;
        if self.out || self.failing.is_some() {
            return;
        }
        for w in std::mem::take(&mut self.watches) {
            // A node that is refused hears nothing, as in an outage.
            let seen = if self.refused.contains(&w.asker) {
                None
            } else {
                self.seen(&w, now)
            };
            match seen {
                Some(a) => self.held.push((w.ticket, Outcome::Answer(a), false)),
                None => self.watches.push(w),
            }
        }
    }

    /// Forgets watches whose connection is gone.
    pub fn forget_watches(&mut self, gone: &BTreeSet<Ticket>) {
        self.watches.retain(|w| !gone.contains(&w.ticket));
    }

    /// Stores what has gathered, with one sync, and returns the answers that
    /// may go out now.
    pub fn flush(&mut self, now: Time) -> Vec<(Ticket, Outcome)> {
        if self.changed {
            self.look_at_watches(now);
        }
        let mut held = std::mem::take(&mut self.held);
        if !self.batch.is_empty() {
            let mut batch = std::mem::take(&mut self.batch);
            self.image.marks.batch += 1;
            batch.marks = self.image.marks;
            if let Err(e) = self.storage.write(&batch) {
                tracing::error!(error = %e, "cannot store; refusing until it can");
                self.failed(now, &batch, &mut held);
            }
        }
        held.into_iter().map(|(t, o, _)| (t, o)).collect()
    }

    /// Whether the batch got there can be told only by reading: if so its
    /// answers stand, if not nothing of it happened, and if nothing can be read
    /// nobody can say.
    fn failed(&mut self, now: Time, batch: &Batch, held: &mut Vec<(Ticket, Outcome, bool)>) {
        let loaded = self.reload(now);
        let stored = loaded && self.image.marks.batch == batch.marks.batch;
        if !stored {
            for (_, outcome, changes) in held {
                *outcome = if loaded || !*changes {
                    Outcome::Answer(bare(503))
                } else {
                    Outcome::Silence
                };
            }
        }
        let pause = RETRY.0;
        self.failing = Some(Failing {
            retry: now + pause,
            pause,
            loaded,
        });
    }

    fn reload(&mut self, now: Time) -> bool {
        match self.storage.load() {
            Ok(image) => {
                self.image = image;
                self.count_leases(now);
                true
            }
            Err(e) => {
                tracing::error!(error = %e, "cannot read what is stored");
                false
            }
        }
    }

    /// Tries to write the marks, which changes nothing; service goes on once
    /// that succeeds.
    fn recover(&mut self, now: Time) {
        let Some(f) = &self.failing else { return };
        if now < f.retry {
            return;
        }
        let (pause, was_loaded) = (f.pause, f.loaded);
        let mut loaded = was_loaded || self.reload(now);
        if loaded {
            self.image.marks.batch += 1;
            let marks = self.image.marks;
            let probe = Batch {
                marks,
                ..Batch::default()
            };
            if self.storage.write(&probe).is_ok() {
                tracing::info!("stores again");
                self.failing = None;
                self.full_time(now);
                self.changed = true;
                return;
            }
            loaded = false;
        }
        let pause = (pause + pause).min(RETRY.1);
        self.failing = Some(Failing {
            retry: now + pause,
            pause,
            loaded,
        });
    }
}
