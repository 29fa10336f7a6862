//! Outcomes that last: lists of short entries in the state service, each list
//! written on condition that nobody wrote it meanwhile. What a step brought forth
//! stands beside its files; the record says only that it is over.

use crate::engine::TaskPath;
use pebblefold_net::{Client, Sent};
use pebblefold_wire::state::{Condition, Entries, Op, Revision, Txn};
use pebblefold_wire::types::Version;
use pebblefold_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// JSON bytes of one list; the state service takes 8 KiB.
const MOST_LIST: usize = 6 * 1024;
/// Longest reason that is kept, in bytes.
const MOST_REASON: usize = 400;
/// How long one request waits.
const PATIENCE: Duration = Duration::from_secs(5);
/// Pause between tries while the state service does not answer.
const PAUSE: Duration = Duration::from_millis(500);
/// Tries before it is given up: while nothing has begun, and later.
const TRIES: (u32, u32) = (6, 120);

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
}

type List = BTreeMap<String, Entry>;

/// The records of one workflow.
#[derive(Debug)]
pub struct Records {
    addr: SocketAddrV4,
    name: String,
    net: Client,
    tries: u32,
    lists: Vec<(List, Version)>,
    /// Transactions written.
    pub writes: u64,
}

fn key(name: &str, i: usize) -> String {
    format!("flow/{name}/{i:06}")
}

fn length(list: &List) -> usize {
    serde_json::to_vec(list).map_or(usize::MAX, |b| b.len())
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
    ) -> Result<Records, RecordError> {
        let mut r = Records {
            addr,
            name: name.into(),
            net: Client::default(),
            tries: TRIES.0,
            lists: Vec::new(),
            writes: 0,
        };
        let head = format!("flow/{name}");
        let condition = Condition {
            key: head.clone(),
            version: Version(0),
        };
        let put = Op::Put {
            key: head.clone(),
            value: fingerprint.into(),
            lease: None,
        };
        let txn = Txn {
            conditions: vec![condition],
            ops: vec![put],
        };
        // A lost answer is no matter: what stands there afterwards decides.
        r.ask("POST", "/commit", &encode(&txn)).await?;
        let (status, body) = r.ask("GET", &format!("/keys/{head}"), &[]).await?;
        let stands: Option<pebblefold_wire::state::Entry> = decode(&body).filter(|_| status == 200);
        if stands.is_none_or(|e| e.value != fingerprint) {
            return Err(RecordError::Taken(name.into()));
        }
        r.load().await?;
        r.tries = TRIES.1;
        Ok(r)
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), RecordError> {
        let mut last = String::new();
        for _ in 0..self.tries {
            let sent = Sent::default();
            let asked = self.net.exchange(self.addr, method, path, body, &sent);
            match timeout(PATIENCE, asked).await {
                Ok(Ok(r)) if matches!(r.status, 200 | 404 | 409) => return Ok((r.status, r.body)),
                Ok(Ok(r)) if r.status == 400 => {
                    return Err(RecordError::Refused(format!("{method} {path}")));
                }
                Ok(Ok(r)) => last = format!("status {}", r.status),
                Ok(Err(e)) => last = e.to_string(),
                Err(_) => last = "no answer in time".into(),
            }
            sleep(PAUSE).await;
        }
        Err(RecordError::Unreachable(self.addr, last))
    }

    async fn load(&mut self) -> Result<(), RecordError> {
        self.lists.clear();
        let mut since = String::new();
        loop {
            let path = format!("/keys?starts=flow/{}/&since={since}&most=1000", self.name);
            let (_, body) = self.ask("GET", &path, &[]).await?;
            let page: Entries = decode(&body)
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
            let mut touched: BTreeSet<usize> = BTreeSet::new();
            let mut lists = self.lists.clone();
            for (path, entry) in new {
                let mut entry = entry.clone();
                if let Entry::Failed(reason) = &mut entry {
                    let cut = (0..=MOST_REASON.min(reason.len()))
                        .rev()
                        .find(|i| reason.is_char_boundary(*i));
                    reason.truncate(cut.unwrap_or(0));
                }
                let full = lists
                    .last()
                    .is_none_or(|(l, _)| length(l) + path.as_str().len() + MOST_REASON > MOST_LIST);
                if full {
                    lists.push((List::new(), Version(0)));
                }
                if let Some((last, _)) = lists.last_mut() {
                    last.insert(path.as_str().into(), entry);
                    touched.insert(lists.len() - 1);
                }
                // One transaction holds 48 changes and 64 KiB.
                if touched.len() >= 8 {
                    break;
                }
            }
            let name = self.name.clone();
            let (mut conditions, mut ops) = (Vec::new(), Vec::new());
            for &i in &touched {
                let version = lists[i].1;
                conditions.push(Condition {
                    key: key(&name, i),
                    version,
                });
                ops.push(Op::Put {
                    key: key(&name, i),
                    value: serde_json::to_value(&lists[i].0).unwrap_or_default(),
                    lease: None,
                });
            }
            let (status, body) = self
                .ask("POST", "/commit", &encode(&Txn { conditions, ops }))
                .await?;
            self.writes += 1;
            let revision = decode::<Revision>(&body).map(|r| r.revision);
            match (status, revision) {
                (200, Some(v)) => {
                    for i in touched {
                        lists[i].1 = v;
                    }
                    self.lists = lists;
                }
                // Somebody else wrote, or our own write whose answer was lost.
                _ => self.load().await?,
            }
        }
    }
}
