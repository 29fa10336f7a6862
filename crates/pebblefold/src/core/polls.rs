//! Polls of jobs that this node has seen open. Every answer that is not final
//! rests on a fresh read; polls that come close together share one: a
//! transaction that only compares the versions of their jobs' heads. A head
//! that is unchanged is still open.

use super::ledger::{self, Head};
use super::{Reply, RequestId};
use crate::types::{JobId, Span, Time, Version};
use crate::wire;
use crate::wire::state::{Condition, Revision, Txn};
use std::collections::{BTreeMap, BTreeSet};

/// A poll that waits for the next comparison.
pub type Asked = (RequestId, JobId);

/// Open heads remembered.
const MOST_OPEN: usize = 8000;

/// Open heads and the polls that ask for them.
#[derive(Debug, Default)]
pub struct Polls {
    open: BTreeMap<JobId, (Head, Version)>,
    waiting: Vec<Asked>,
    /// What the comparison under way compares: only that is vouched for by its answer,
    /// whatever has been read or forgotten since it was sent.
    comparing: Option<BTreeMap<JobId, Head>>,
    not_before: Time,
}

/// What a comparison says of the polls that waited for it.
#[derive(Debug, Default, PartialEq)]
pub struct Compared {
    /// Their jobs are open.
    pub open: Vec<(RequestId, JobId, Head)>,
    /// Their jobs changed: to be read one by one.
    pub changed: Vec<Asked>,
    /// Nothing is known.
    pub failed: Vec<Asked>,
}

impl Polls {
    /// Remembers a head read or written as open.
    pub fn remember(&mut self, id: &JobId, head: Head, version: Version) {
        if self.open.len() >= MOST_OPEN && !self.open.contains_key(id) {
            // Any will do: it is read again when asked for.
            self.open.pop_first();
        }
        self.open.insert(id.clone(), (head, version));
    }

    /// Forgets a job that is over.
    pub fn forget(&mut self, id: &JobId) {
        self.open.remove(id);
    }

    /// Whether a job was seen open here.
    pub fn is_open(&self, id: &JobId) -> bool {
        self.open.contains_key(id)
    }

    /// Takes a poll in if its job was seen open.
    pub fn take(&mut self, request: RequestId, id: &JobId) -> bool {
        let known = self.open.contains_key(id);
        if known {
            self.waiting.push((request, id.clone()));
        }
        known
    }

    /// The next comparison, if one is due, and the polls it is for; at most
    /// `most` jobs.
    pub fn next(&mut self, now: Time, most: usize) -> Option<(Txn, Vec<Asked>)> {
        if self.comparing.is_some() || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let mut asked = Vec::new();
        for (request, id) in std::mem::take(&mut self.waiting) {
            if jobs.len() < most || jobs.contains(&id) {
                jobs.insert(id.clone());
                asked.push((request, id));
            } else {
                self.waiting.push((request, id));
            }
        }
        let mut compared = BTreeMap::new();
        let mut conditions = Vec::new();
        for id in jobs {
            // One forgotten meanwhile is not compared.
            if let Some((head, version)) = self.open.get(&id).copied() {
                let key = ledger::head_key(&id);
                conditions.push(Condition { key, version });
                compared.insert(id, head);
            }
        }
        self.comparing = Some(compared);
        let ops = Vec::new();
        Some((Txn { conditions, ops }, asked))
    }

    /// A comparison was answered, or not; the next follows after `pause`.
    pub fn answered(
        &mut self,
        now: Time,
        pause: Span,
        asked: Vec<Asked>,
        reply: &Reply,
    ) -> Compared {
        let compared = self.comparing.take().unwrap_or_default();
        self.not_before = now + pause;
        let mut out = Compared::default();
        match reply {
            Reply::Answer(200, _) => {
                for (request, id) in asked {
                    match compared.get(&id) {
                        Some(head) => out.open.push((request, id, *head)),
                        None => out.changed.push((request, id)),
                    }
                }
            }
            Reply::Answer(409, body) => {
                let failed = wire::decode::<Revision>(body).unwrap_or_default().failed;
                for (request, id) in asked {
                    if failed.is_empty() || failed.contains(&ledger::head_key(&id)) {
                        self.open.remove(&id);
                        out.changed.push((request, id));
                    } else {
                        // Not named as changed does not say unchanged.
                        self.waiting.push((request, id));
                    }
                }
            }
            _ => {
                out.failed = asked;
                out.failed.append(&mut self.waiting);
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
