//! Polls of jobs that this node has seen open. Every answer that is not final
//! rests on a fresh read; polls that come close together share one: a
//! transaction that only compares the versions of their jobs' heads. A head
//! that is unchanged is still open.

use super::job_records::{self, JobHeader};
use super::{Reply, RequestId};
use crate::types::{JobId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Precondition, Transaction, TransactionResponse};
use std::collections::{BTreeMap, BTreeSet};

/// A poll that waits for the next comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRead {
    /// The request.
    pub request: RequestId,
    /// The job.
    pub id: JobId,
    /// When it came.
    pub since: Time,
}

/// A comparison under way.
#[derive(Clone, Debug)]
pub struct VersionComparison {
    /// The polls it is for.
    asked: Vec<WaitingRead>,
    /// What it compares: only that is vouched for by its answer, whatever has been read
    /// or forgotten since it was sent.
    heads: BTreeMap<JobId, JobHeader>,
    sent: Time,
}

/// Open heads remembered.
const MOST_OPEN: usize = 8000;
/// Comparisons under way at the most.
const MOST_UNDER_WAY: usize = 4;
/// The next one does not wait for an answer that takes longer than this.
const SLOW: TimeSpan = TimeSpan::millis(100);
/// A poll whose comparison was lost joins another one if it is younger than this: its user
/// waits for 2 s.
const ANOTHER: TimeSpan = TimeSpan::millis(1000);
/// A poll that has waited for so long is refused: asked again, it may do better.
const LONGEST: TimeSpan = TimeSpan::millis(1500);

/// Open heads and the polls that ask for them.
#[derive(Debug, Default)]
pub struct ReadCoalescer {
    open: BTreeMap<JobId, (JobHeader, Version)>,
    waiting: Vec<WaitingRead>,
    /// When the comparisons under way were sent.
    under_way: Vec<Time>,
    not_before: Time,
}

/// What a comparison says of the polls that waited for it.
#[derive(Debug, Default, PartialEq)]
pub struct ComparisonResult {
    /// Their jobs are open.
    pub open: Vec<(RequestId, JobId, JobHeader)>,
    /// Their jobs changed: to be read one by one.
    pub changed: Vec<WaitingRead>,
    /// Nothing is known.
    pub failed: Vec<WaitingRead>,
}

impl ReadCoalescer {
    /// Remembers a head read or written as open.
    pub fn remember(&mut self, id: &JobId, head: JobHeader, version: Version) {
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
    pub fn take(&mut self, now: Time, request: RequestId, id: &JobId) -> bool {
        let known = self.open.contains_key(id);
        if known {
            let (id, since) = (id.clone(), now);
            self.waiting.push(WaitingRead { request, id, since });
        }
        known
    }

    /// Polls that have waited for too long for a comparison.
    pub fn overdue(&mut self, now: Time) -> Vec<WaitingRead> {
        let waiting = std::mem::take(&mut self.waiting);
        let late = |a: &WaitingRead| now.since(a.since) >= LONGEST;
        let (late, waiting) = waiting.into_iter().partition(late);
        self.waiting = waiting;
        late
    }

    /// The next comparison, if one is due, and the polls it is for; at most
    /// `most` jobs.
    pub fn next(&mut self, now: Time, most: usize) -> Option<(Transaction, VersionComparison)> {
        let slow = |sent: &Time| now.since(*sent) >= SLOW;
        let busy = self.under_way.len() >= MOST_UNDER_WAY || !self.under_way.iter().all(slow);
        if busy || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let mut asked = Vec::new();
        for a in std::mem::take(&mut self.waiting) {
            if jobs.len() < most || jobs.contains(&a.id) {
                jobs.insert(a.id.clone());
                asked.push(a);
            } else {
                self.waiting.push(a);
            }
        }
        let mut heads = BTreeMap::new();
        let mut conditions = Vec::new();
        for id in jobs {
            // One forgotten meanwhile is not compared.
            if let Some((head, version)) = self.open.get(&id).copied() {
                let key = job_records::job_header_key(&id);
                conditions.push(Precondition { key, version });
                heads.insert(id, head);
            }
        }
        self.under_way.push(now);
        let (ops, sent) = (Vec::new(), now);
        Some((
            Transaction { conditions, ops },
            VersionComparison { asked, heads, sent },
        ))
    }

    /// A comparison was answered, or not; the next follows after `pause`.
    pub fn answered(
        &mut self,
        now: Time,
        pause: TimeSpan,
        comparison: VersionComparison,
        reply: &Reply,
    ) -> ComparisonResult {
        let VersionComparison { asked, heads, sent } = comparison;
        if let Some(n) = self.under_way.iter().position(|t| *t == sent) {
            self.under_way.swap_remove(n);
        }
        self.not_before = now + pause;
        let mut out = ComparisonResult::default();
        match reply {
            Reply::Answer(200, _) => {
                for a in asked {
                    match heads.get(&a.id) {
                        Some(head) => out.open.push((a.request, a.id, *head)),
                        None => out.changed.push(a),
                    }
                }
            }
            Reply::Answer(409, body) => {
                let failed = wire::decode::<TransactionResponse>(body)
                    .unwrap_or_default()
                    .failed;
                for a in asked {
                    if failed.is_empty() || failed.contains(&job_records::job_header_key(&a.id)) {
                        self.open.remove(&a.id);
                        out.changed.push(a);
                    } else {
                        // Not named as changed does not say unchanged.
                        self.waiting.push(a);
                    }
                }
            }
            // One lost answer is no reason to leave all who shared it, and those who came
            // after them, without one.
            Reply::Lost => {
                let young = |a: &WaitingRead| now.since(a.since) < ANOTHER;
                let (young, old): (Vec<WaitingRead>, _) = asked.into_iter().partition(young);
                self.waiting.extend(young);
                out.failed = old;
            }
            // Refused: whoever waits for the next one would be refused as well.
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
