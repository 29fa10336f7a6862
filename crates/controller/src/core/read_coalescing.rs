//! Coalesced reads of jobs that this controller has seen open. Every answer that
//! is not final rests on a fresh read; polls that come close together share one: a
//! transaction that only compares the versions of their jobs' headers. A header
//! that is unchanged is still open. Never sends anything itself.

use super::job_records::{self, JobHeader};
use super::{Reply, RequestId};
use crate::types::{JobId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Precondition, Transaction, TransactionResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Most open headers remembered.
const MAX_OPEN: usize = 8000;
/// Most comparisons under way.
const MAX_IN_FLIGHT: usize = 4;
/// The next comparison does not wait for a reply that takes longer than this.
const SLOW_REPLY: TimeSpan = TimeSpan::millis(100);
/// A poll whose comparison was lost joins another one if it is younger than this: its
/// user waits for 2 s.
const MAX_AGE_TO_REPEAT: TimeSpan = TimeSpan::millis(1000);
/// A poll that has waited this long is refused: asked again, it may do better.
const MAX_WAIT: TimeSpan = TimeSpan::millis(1500);

/// A poll that waits for a comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRead {
    /// The request.
    pub request: RequestId,
    /// The job.
    pub id: JobId,
    /// When the poll came.
    pub since: Time,
}

/// A poll of a job that is still open.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRead {
    /// The request.
    pub request: RequestId,
    /// The job.
    pub id: JobId,
    /// The job's header.
    pub header: JobHeader,
}

/// A comparison under way.
#[derive(Clone, Debug)]
pub struct VersionComparison {
    /// The polls it is for.
    reads: Vec<WaitingRead>,
    /// The headers it compares: its reply vouches for these alone, whatever has been
    /// read or forgotten since it was sent.
    headers: BTreeMap<JobId, JobHeader>,
    sent: Time,
}

/// What a comparison says of the polls that shared it.
#[derive(Debug, Default, PartialEq)]
pub struct ComparisonResult {
    /// Their jobs are open.
    pub open: Vec<OpenRead>,
    /// Their jobs changed: to be read one by one.
    pub changed: Vec<WaitingRead>,
    /// Nothing is known.
    pub failed: Vec<WaitingRead>,
}

/// A header that was seen open.
#[derive(Clone, Copy, Debug)]
struct OpenHeader {
    header: JobHeader,
    version: Version,
}

/// Open headers, and the polls that ask for them.
#[derive(Debug, Default)]
pub struct ReadCoalescer {
    open: BTreeMap<JobId, OpenHeader>,
    waiting: Vec<WaitingRead>,
    /// When the comparisons under way were sent.
    in_flight: Vec<Time>,
    /// No comparison is sent before this.
    not_before: Time,
}

impl ReadCoalescer {
    /// Remembers a header read or written as open.
    pub fn remember(&mut self, id: &JobId, header: JobHeader, version: Version) {
        if self.open.len() >= MAX_OPEN && !self.open.contains_key(id) {
            // Any will do: it is read again when asked for.
            self.open.pop_first();
        }
        self.open.insert(id.clone(), OpenHeader { header, version });
    }

    /// Forgets a job that is over.
    pub fn forget(&mut self, id: &JobId) {
        self.open.remove(id);
    }

    /// Whether a job was seen open here.
    pub fn is_open(&self, id: &JobId) -> bool {
        self.open.contains_key(id)
    }

    /// Enqueues a poll if its job was seen open; whether it did.
    #[must_use]
    pub fn enqueue(&mut self, now: Time, request: RequestId, id: &JobId) -> bool {
        if !self.is_open(id) {
            return false;
        }
        self.waiting.push(WaitingRead {
            request,
            id: id.clone(),
            since: now,
        });
        true
    }

    /// Takes the polls that have waited too long for a comparison.
    pub fn take_overdue(&mut self, now: Time) -> Vec<WaitingRead> {
        let waiting = std::mem::take(&mut self.waiting);
        let is_overdue = |read: &WaitingRead| now.since(read.since) >= MAX_WAIT;
        let (overdue, waiting) = waiting.into_iter().partition(is_overdue);
        self.waiting = waiting;
        overdue
    }

    /// The next comparison, if one is due, of at most `max_jobs` jobs.
    pub fn next_comparison(
        &mut self,
        now: Time,
        max_jobs: usize,
    ) -> Option<(Transaction, VersionComparison)> {
        let is_slow = |sent: &Time| now.since(*sent) >= SLOW_REPLY;
        let is_busy = self.in_flight.len() >= MAX_IN_FLIGHT || !self.in_flight.iter().all(is_slow);
        if is_busy || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        let (jobs, reads) = self.take_waiting(max_jobs);
        let mut headers = BTreeMap::new();
        let mut conditions = Vec::new();
        for id in jobs {
            // One forgotten meanwhile is not compared.
            if let Some(OpenHeader { header, version }) = self.open.get(&id).copied() {
                let key = job_records::job_header_key(&id);
                conditions.push(Precondition { key, version });
                headers.insert(id, header);
            }
        }
        self.in_flight.push(now);
        let txn = Transaction {
            conditions,
            ops: Vec::new(),
        };
        let comparison = VersionComparison {
            reads,
            headers,
            sent: now,
        };
        Some((txn, comparison))
    }

    /// Takes the polls of the first `max_jobs` jobs that are waited for.
    fn take_waiting(&mut self, max_jobs: usize) -> (BTreeSet<JobId>, Vec<WaitingRead>) {
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let mut reads = Vec::new();
        for read in std::mem::take(&mut self.waiting) {
            if jobs.len() < max_jobs || jobs.contains(&read.id) {
                jobs.insert(read.id.clone());
                reads.push(read);
            } else {
                self.waiting.push(read);
            }
        }
        (jobs, reads)
    }

    /// Takes the reply to a comparison; the next one follows after `pause`.
    pub fn handle_reply(
        &mut self,
        now: Time,
        pause: TimeSpan,
        comparison: VersionComparison,
        reply: &Reply,
    ) -> ComparisonResult {
        let sent = comparison.sent;
        if let Some(index) = self.in_flight.iter().position(|other| *other == sent) {
            self.in_flight.swap_remove(index);
        }
        self.not_before = now + pause;
        match reply {
            Reply::Answer(200, _) => all_unchanged(comparison),
            Reply::Answer(409, body) => self.some_changed(comparison, body),
            Reply::Lost => self.repeat_young(now, comparison),
            // Refused: whoever waits for the next one would be refused as well.
            Reply::Answer(..) | Reply::NotSent => {
                let mut failed = comparison.reads;
                failed.append(&mut self.waiting);
                ComparisonResult {
                    failed,
                    ..ComparisonResult::default()
                }
            }
        }
    }

    fn some_changed(&mut self, comparison: VersionComparison, body: &[u8]) -> ComparisonResult {
        let mut result = ComparisonResult::default();
        let response = wire::decode::<TransactionResponse>(body).unwrap_or_default();
        let failed = response.failed;
        for read in comparison.reads {
            if failed.is_empty() || failed.contains(&job_records::job_header_key(&read.id)) {
                self.open.remove(&read.id);
                result.changed.push(read);
            } else {
                // Not named as changed does not say unchanged.
                self.waiting.push(read);
            }
        }
        result
    }

    /// One lost reply is no reason to leave all who shared it, and those who came after
    /// them, without an answer.
    fn repeat_young(&mut self, now: Time, comparison: VersionComparison) -> ComparisonResult {
        let is_young = |read: &WaitingRead| now.since(read.since) < MAX_AGE_TO_REPEAT;
        let reads = comparison.reads.into_iter();
        let (young, old): (Vec<WaitingRead>, _) = reads.partition(is_young);
        self.waiting.extend(young);
        ComparisonResult {
            failed: old,
            ..ComparisonResult::default()
        }
    }
}

/// Polls of headers that were compared found them open; the others are read one by
/// one.
fn all_unchanged(comparison: VersionComparison) -> ComparisonResult {
    let mut result = ComparisonResult::default();
    for read in comparison.reads {
        match comparison.headers.get(&read.id) {
            Some(header) => result.open.push(OpenRead {
                request: read.request,
                id: read.id,
                header: *header,
            }),
            None => result.changed.push(read),
        }
    }
    result
}

#[cfg(test)]
mod tests;
