//! Records that last, in the state service: a head that says what a workflow is
//! and how it ended, lists of short entries that say which tasks are over, and the
//! claims of the runners at work. Each is written on condition that nobody wrote
//! it meanwhile. What a step brought forth stands beside its files.

use crate::engine::TaskPath;
use pebblefold_net::{Client, SentFlag};
use pebblefold_wire::kvstore::{
    EntryPage, LeaseGrant, LeaseGrantRequest, Operation, Precondition, Transaction,
    TransactionResponse, error_text,
};
use pebblefold_wire::types::Version;
use pebblefold_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// The format of the head; a newer one is left alone.
const FORMAT: u32 = 1;
/// Maximum size of one list, in bytes of JSON, while the state service accepts 8 KiB.
const MOST_LIST: usize = 6 * 1024;
/// Least limit on the size of a list that is tried when the state service refuses larger
/// ones. One entry fits.
const LEAST_LIST: usize = 1024;
/// Longest reason that is kept, in bytes.
const MOST_REASON: usize = 400;
/// How long one request waits.
const PATIENCE: Duration = Duration::from_secs(5);
/// Pause between tries while the state service does not answer.
const PAUSE: Duration = Duration::from_millis(500);
/// Tries before it is given up: while nothing has begun, and later.
const TRIES: (u32, u32) = (6, 120);
/// Least time between two transactions of one runner: the state service is shared
/// with the controllers, and their writes go first.
const BETWEEN: Duration = Duration::from_millis(200);
/// How long a claim lasts unless it is renewed.
pub const CLAIM: Duration = Duration::from_secs(10);

/// How a task is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Done; its outputs stand beside its files.
    #[serde(rename = "d")]
    Done,
    /// Failed, for this reason.
    #[serde(rename = "f")]
    Failed(String),
}

/// How a workflow ended; written once in each round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With its outputs.
    Done,
    /// For this reason.
    Failed(String),
    /// By this person.
    Cancelled(String),
}

/// What a workflow is, and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The format.
    pub v: u32,
    /// Tells its document with its inputs from every other.
    pub fingerprint: String,
    /// Who began it.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub began_ms: u64,
    /// How often it was taken up again after it had failed.
    pub round: u32,
    /// Who asked to cancel it.
    pub stop: Option<String>,
    /// How it ended.
    pub end: Option<End>,
}

/// Why records cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The state service does not answer.
    #[error(
        "the state service at {0} does not answer: {1}; run the same command again, it goes on"
    )]
    Unreachable(SocketAddrV4, String),
    /// It refuses what is asked.
    #[error("the state service refuses: {0}")]
    Refused(String),
    /// Another workflow has this name.
    #[error(
        "the name {0} is taken by a workflow with another document or other inputs; give another --name"
    )]
    Taken(String),
    /// There is none of this name.
    #[error("no workflow {0}; its name is the --name that it was run under")]
    None(String),
    /// It was written by a newer program.
    #[error(
        "workflow {0} is recorded in format {1}, this program knows up to {FORMAT}; use a newer pebblectl"
    )]
    Newer(String, u32),
}

type List = BTreeMap<String, Entry>;

/// The records of one workflow.
#[derive(Debug)]
pub struct Records {
    addr: SocketAddrV4,
    name: String,
    net: Client,
    tries: u32,
    head: (Head, Version),
    lists: Vec<(List, Version)>,
    /// Maximum size of a list that is written, in bytes of JSON.
    max_list_bytes: usize,
    last: Cell<Option<Instant>>,
    /// Transactions sent.
    writes: Cell<u64>,
}

fn key(name: &str, i: usize) -> String {
    format!("flow/{name}/{i:06}")
}

fn length(list: &List) -> usize {
    serde_json::to_vec(list).map_or(usize::MAX, |b| b.len())
}

/// Divides a list into lists of at most `max_bytes`, or of one entry. There is at least one.
fn divide(list: List, max_bytes: usize) -> Vec<List> {
    let mut parts = vec![List::new()];
    for (path, entry) in list {
        let Some(part) = parts.last_mut() else {
            break;
        };
        part.insert(path.clone(), entry.clone());
        if part.len() > 1 && length(part) > max_bytes {
            part.remove(&path);
            parts.push(List::from([(path, entry)]));
        }
    }
    parts
}

/// A text with so many bytes at most.
fn cut(text: &str, most: usize) -> String {
    let end = (0..=most.min(text.len())).rev();
    let end = end.into_iter().find(|i| text.is_char_boundary(*i));
    text[..end.unwrap_or(0)].to_string()
}

fn put(key: String, value: impl Serialize, lease: Option<u64>) -> Operation {
    let value = serde_json::to_value(value).unwrap_or_default();
    Operation::Put { key, value, lease }
}

impl Records {
    /// Opens a workflow's records; `fingerprint` tells it from another of the
    /// same name.
    ///
    /// # Errors
    /// The state service does not answer, or the name is taken.
    pub async fn open(
        addr: SocketAddrV4,
        name: &str,
        fingerprint: &str,
        by: &str,
        now_ms: u64,
    ) -> Result<Records, RecordError> {
        let head = Head {
            v: FORMAT,
            fingerprint: fingerprint.into(),
            by: by.into(),
            began_ms: now_ms,
            round: 0,
            stop: None,
            end: None,
        };
        let mut r = Records::empty(addr, name, head);
        let key = r.head_key();
        // A lost answer is no matter: what stands there afterwards decides.
        let value = put(key.clone(), &r.head.0, None);
        r.commit(vec![(key, Version(0))], vec![value]).await?;
        r.refresh().await?;
        if r.head.0.fingerprint != fingerprint {
            return Err(RecordError::Taken(name.into()));
        }
        r.load().await?;
        r.tries = TRIES.1;
        Ok(r)
    }

    /// Opens the records of a workflow that was begun.
    ///
    /// # Errors
    /// The state service does not answer, or there is none of this name.
    pub async fn existing(addr: SocketAddrV4, name: &str) -> Result<Records, RecordError> {
        let head = Head {
            v: FORMAT,
            fingerprint: String::new(),
            by: String::new(),
            began_ms: 0,
            round: 0,
            stop: None,
            end: None,
        };
        let mut r = Records::empty(addr, name, head);
        r.refresh().await?;
        r.load().await?;
        Ok(r)
    }

    fn empty(addr: SocketAddrV4, name: &str, head: Head) -> Records {
        Records {
            addr,
            name: name.into(),
            net: Client::default(),
            tries: TRIES.0,
            head: (head, Version(0)),
            lists: Vec::new(),
            max_list_bytes: MOST_LIST,
            last: Cell::new(None),
            writes: Cell::new(0),
        }
    }

    fn head_key(&self) -> String {
        format!("flow/{}", self.name)
    }

    /// What stood in the head when it was read last.
    pub fn head(&self) -> &Head {
        &self.head.0
    }

    /// Transactions sent.
    pub fn writes(&self) -> u64 {
        self.writes.get()
    }

    /// Reads the head.
    ///
    /// # Errors
    /// The state service does not answer, or there is no head.
    pub async fn refresh(&mut self) -> Result<(), RecordError> {
        let path = format!("/keys/{}", self.head_key());
        let (status, body) = self.ask("GET", &path, &[]).await?;
        let stands: Option<pebblefold_wire::kvstore::Entry> =
            decode(&body).filter(|_| status == 200);
        let stands = stands.ok_or_else(|| RecordError::None(self.name.clone()))?;
        if let Some(v) = stands.value["v"]
            .as_u64()
            .filter(|v| *v > u64::from(FORMAT))
        {
            return Err(RecordError::Newer(self.name.clone(), v as u32));
        }
        let head = serde_json::from_value(stands.value)
            .map_err(|e| RecordError::Refused(format!("{}: {e}", self.head_key())))?;
        self.head = (head, stands.version);
        Ok(())
    }

    /// Changes the head; `change` is asked again if somebody else was faster, and
    /// makes nothing if there is nothing to change any more.
    ///
    /// # Errors
    /// The state service does not answer.
    pub async fn change(
        &mut self,
        mut change: impl FnMut(&Head) -> Option<Head>,
    ) -> Result<(), RecordError> {
        loop {
            let Some(new) = change(&self.head.0) else {
                return Ok(());
            };
            let key = self.head_key();
            let value = put(key.clone(), &new, None);
            self.commit(vec![(key, self.head.1)], vec![value]).await?;
            self.refresh().await?;
        }
    }

    /// Records how it ended, unless that is decided: a cancellation that was asked
    /// for goes first. Returns how it did end.
    ///
    /// # Errors
    /// The state service does not answer.
    pub async fn end(&mut self, end: &End) -> Result<End, RecordError> {
        self.refresh().await?;
        self.change(|h| {
            let end = match (&h.end, &h.stop) {
                (Some(_), _) => return None,
                (None, Some(by)) => End::Cancelled(by.clone()),
                (None, None) => match end {
                    End::Failed(why) => End::Failed(cut(why, MOST_REASON)),
                    other => other.clone(),
                },
            };
            Some(Head {
                end: Some(end),
                ..h.clone()
            })
        })
        .await?;
        let ended = self.head.0.end.clone();
        ended.ok_or_else(|| RecordError::Refused("its end is not recorded".into()))
    }

    /// Takes a workflow that failed up again: what failed is forgotten, what is
    /// done stays.
    ///
    /// # Errors
    /// The state service does not answer.
    pub async fn take_up(&mut self) -> Result<(), RecordError> {
        // What failed goes first: a workflow in a new round has no failures.
        for i in 0..self.lists.len() {
            loop {
                let (list, version) = self.lists[i].clone();
                let left: List = list
                    .iter()
                    .filter(|(_, e)| **e == Entry::Done)
                    .map(|(p, e)| (p.clone(), e.clone()))
                    .collect();
                if left.len() == list.len() {
                    break;
                }
                let (conditions, ops) = self.replacement(i, version, left);
                let replaced = self.commit(conditions, ops).await;
                self.retry_if_too_large(replaced)?;
                self.load().await?;
            }
        }
        self.change(|h| {
            matches!(h.end, Some(End::Failed(_))).then(|| Head {
                round: h.round + 1,
                end: None,
                ..h.clone()
            })
        })
        .await
    }

    /// The transaction that replaces a list, which becomes several if it is too large.
    fn replacement(
        &self,
        i: usize,
        version: Version,
        list: List,
    ) -> (Vec<(String, Version)>, Vec<Operation>) {
        let new_lists = (self.lists.len()..).map(|new| (new, Version(0)));
        let places = std::iter::once((i, version)).chain(new_lists);
        let parts = divide(list, self.max_list_bytes);
        places
            .zip(&parts)
            .map(|((i, version), part)| {
                let key = key(&self.name, i);
                ((key.clone(), version), put(key, part, None))
            })
            .unzip()
    }

    /// Passes on the result of a commit. `None` also if it was refused and smaller lists
    /// may be accepted: the state service may have lowered its limits.
    ///
    /// # Errors
    /// The error of the commit, if smaller lists cannot help.
    fn retry_if_too_large(
        &mut self,
        result: Result<Option<Version>, RecordError>,
    ) -> Result<Option<Version>, RecordError> {
        match result {
            Err(RecordError::Refused(_)) if self.max_list_bytes > LEAST_LIST => {
                self.max_list_bytes = (self.max_list_bytes / 2).max(LEAST_LIST);
                Ok(None)
            }
            result => result,
        }
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), RecordError> {
        let mut last = String::new();
        for _ in 0..self.tries {
            let sent = SentFlag::default();
            let asked = self.net.exchange(self.addr, method, path, body, &sent);
            match timeout(PATIENCE, asked).await {
                Ok(Ok(r)) if matches!(r.status, 200 | 404 | 409) => return Ok((r.status, r.body)),
                Ok(Ok(r)) if r.status == 400 => {
                    let why = error_text(&r.body);
                    return Err(RecordError::Refused(format!("{method} {path}: {why}")));
                }
                Ok(Ok(r)) => last = format!("status {}", r.status),
                Ok(Err(e)) => last = e.to_string(),
                Err(_) => last = "no answer in time".into(),
            }
            sleep(PAUSE).await;
        }
        Err(RecordError::Unreachable(self.addr, last))
    }

    /// One transaction; its revision if it was carried out.
    async fn commit(
        &self,
        conditions: Vec<(String, Version)>,
        ops: Vec<Operation>,
    ) -> Result<Option<Version>, RecordError> {
        if let Some(last) = self.last.get() {
            sleep((last + BETWEEN).saturating_duration_since(Instant::now())).await;
        }
        let conditions = conditions
            .into_iter()
            .map(|(key, version)| Precondition { key, version })
            .collect();
        let body = encode(&Transaction { conditions, ops });
        self.writes.set(self.writes.get() + 1);
        let (status, body) = self.ask("POST", "/commit", &body).await?;
        self.last.set(Some(Instant::now()));
        let revision = decode::<TransactionResponse>(&body).map(|r| r.revision);
        Ok(revision.filter(|_| status == 200))
    }

    async fn load(&mut self) -> Result<(), RecordError> {
        self.lists.clear();
        let mut since = String::new();
        loop {
            let path = format!("/keys?starts=flow/{}/&since={since}&most=1000", self.name);
            let (_, body) = self.ask("GET", &path, &[]).await?;
            let page: EntryPage = decode(&body)
                .ok_or_else(|| RecordError::Refused("a page cannot be read".into()))?;
            for e in page.items {
                since.clone_from(&e.key);
                let list = serde_json::from_value(e.value)
                    .map_err(|x| RecordError::Refused(format!("{}: {x}", e.key)))?;
                self.lists.push((list, e.version));
            }
            if !page.more {
                return Ok(());
            }
        }
    }

    /// Everything that is recorded.
    pub fn all(&self) -> impl Iterator<Item = (TaskPath, &Entry)> {
        let entries = self.lists.iter().flat_map(|(l, _)| l);
        entries.map(|(p, e)| (TaskPath::from(p.as_str()), e))
    }

    fn has(&self, path: &str) -> bool {
        self.lists.iter().any(|(l, _)| l.contains_key(path))
    }

    /// Records outcomes, together; what is recorded already stays as it is, also
    /// if another runner did it. Returns once they would survive.
    ///
    /// # Errors
    /// The state service does not answer; the same call may be repeated.
    pub async fn add(&mut self, entries: &[(TaskPath, Entry)]) -> Result<(), RecordError> {
        loop {
            let new: Vec<_> = entries
                .iter()
                .filter(|(p, _)| !self.has(p.as_str()))
                .collect();
            if new.is_empty() {
                return Ok(());
            }
            // Only lists that are touched are copied: there may be many.
            let mut fresh: Vec<(usize, List, Version)> = Vec::new();
            let last = self.lists.len().saturating_sub(1);
            fresh.extend(self.lists.last().map(|(l, v)| (last, l.clone(), *v)));
            let mut touched = BTreeSet::new();
            let max_bytes = self.max_list_bytes;
            for (path, entry) in new {
                let entry = match entry {
                    Entry::Failed(reason) => Entry::Failed(cut(reason, MOST_REASON)),
                    Entry::Done => Entry::Done,
                };
                let room = |l: &List| length(l) + path.as_str().len() + MOST_REASON <= max_bytes;
                if !fresh.last().is_some_and(|(_, l, _)| room(l)) {
                    let next = fresh.last().map_or(0, |(i, _, _)| i + 1);
                    // One transaction holds 48 changes and 64 KiB.
                    if touched.len() >= 8 {
                        break;
                    }
                    fresh.push((next, List::new(), Version(0)));
                }
                if let Some((i, list, _)) = fresh.last_mut() {
                    list.insert(path.as_str().into(), entry);
                    touched.insert(*i);
                }
            }
            fresh.retain(|(i, _, _)| touched.contains(i));
            let conditions = fresh.iter().map(|(i, _, v)| (key(&self.name, *i), *v));
            let ops = fresh
                .iter()
                .map(|(i, l, _)| put(key(&self.name, *i), l, None));
            let (conditions, ops) = (conditions.collect(), ops.collect());
            let done = self.commit(conditions, ops).await;
            match self.retry_if_too_large(done)? {
                Some(v) => {
                    for (i, list, _) in fresh {
                        self.lists.truncate(i);
                        self.lists.push((list, v));
                    }
                }
                // Somebody else wrote, or our own write whose answer was lost, or the lists
                // were too large.
                None => self.load().await?,
            }
        }
    }

    // ---- claims ----

    fn claims_key(&self) -> String {
        format!("flow-runs/{}/", self.name)
    }

    /// How many runners are at work, as far as their claims say.
    ///
    /// # Errors
    /// The state service does not answer.
    pub async fn claims(&self) -> Result<usize, RecordError> {
        let path = format!("/keys?starts={}&most=1000", self.claims_key());
        let (_, body) = self.ask("GET", &path, &[]).await?;
        let page: EntryPage =
            decode(&body).ok_or_else(|| RecordError::Refused("a page cannot be read".into()))?;
        Ok(page.items.len())
    }
}

/// A runner's word that it is at work: for as long as it stands, nobody may think
/// that nothing more is submitted.
#[derive(Debug)]
pub struct Claim {
    records: Records,
    key: String,
    lease: Option<u64>,
    /// No longer than until then.
    until: Instant,
}

impl Claim {
    /// A claim on a workflow, not made yet; `id` tells the runner from others.
    ///
    /// # Errors
    /// The state service does not answer, or there is no such workflow.
    pub async fn new(addr: SocketAddrV4, name: &str, id: &str) -> Result<Claim, RecordError> {
        let mut records = Records::existing(addr, name).await?;
        // It is asked for again before long.
        records.tries = 1;
        let key = format!("{}{id}", records.claims_key());
        Ok(Claim {
            records,
            key,
            lease: None,
            until: Instant::now(),
        })
    }

    /// Makes or renews it, then reads the head: in this order, whoever asks to
    /// cancel and sees no claim is seen by the next submission. Returns the head
    /// and until when the claim stands.
    ///
    /// # Errors
    /// The state service does not answer.
    pub async fn renew(&mut self) -> Result<(Head, Instant), RecordError> {
        let begun = Instant::now();
        if let Some(lease) = self.lease {
            let path = format!("/leases/{lease}/touch");
            let (status, _) = self.records.ask("POST", &path, &[]).await?;
            if status != 200 {
                self.lease = None;
            }
        }
        if self.lease.is_none() {
            let ttl_ms = CLAIM.as_millis() as u64;
            let asked = encode(&LeaseGrantRequest { ttl_ms });
            let (_, body) = self.records.ask("POST", "/leases", &asked).await?;
            let lease = decode::<LeaseGrant>(&body).map(|l| l.lease);
            let lease = lease.ok_or_else(|| RecordError::Refused("a lease".into()))?;
            let op = put(self.key.clone(), &self.records.name, Some(lease));
            if self.records.commit(Vec::new(), vec![op]).await?.is_some() {
                self.lease = Some(lease);
            }
        }
        self.records.refresh().await?;
        if self.lease.is_some() {
            self.until = begun + CLAIM;
        }
        Ok((self.records.head().clone(), self.until))
    }

    /// Gives it up at once.
    pub async fn drop_it(&mut self) {
        if let Some(lease) = self.lease.take() {
            // If it is not heard, it ends by itself.
            let _ = self
                .records
                .ask("DELETE", &format!("/leases/{lease}"), &[])
                .await;
        }
    }
}
