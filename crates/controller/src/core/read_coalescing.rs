//! Coalesced reads of the headers of jobs that this controller has seen open. Every
//! answer that is not final rests on a fresh read; polls that arrive close together share
//! one: a transaction that only compares the versions of their jobs' headers. A header
//! that is unchanged is still open. This module never sends anything.

use super::job_records::{self, JobHeader};
use super::store_limits::TransactionSize;
use super::{Reply, RequestId};
use crate::types::{JobId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Precondition, Transaction, TransactionResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Most open headers in the cache.
const MAX_OPEN_HEADERS: usize = 8000;
/// Most comparisons in flight.
const MAX_COMPARISONS_IN_FLIGHT: usize = 4;
/// The next comparison is sent without waiting for a reply that takes longer than this.
const SLOW_REPLY: TimeSpan = TimeSpan::millis(100);
/// Maximum age of a poll that joins another comparison after its own was lost: the poll's
/// user waits for 2 s.
const MAX_AGE_TO_REQUEUE: TimeSpan = TimeSpan::millis(1000);
/// How long a poll waits for a comparison before it is refused: a repeat of the poll may
/// succeed.
const MAX_WAIT: TimeSpan = TimeSpan::millis(1500);

/// A poll that waits for a comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRead {
    /// The user's request.
    pub request: RequestId,
    /// The polled job.
    pub id: JobId,
    /// When the poll arrived.
    pub since: Time,
}

/// A poll of a job that is still open.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRead {
    /// The user's request.
    pub request: RequestId,
    /// The polled job.
    pub id: JobId,
    /// The job's header.
    pub header: JobHeader,
}

/// A comparison in flight.
#[derive(Clone, Debug)]
pub struct VersionComparison {
    /// The polls that the comparison answers.
    reads: Vec<WaitingRead>,
    /// The headers that the comparison covers. The reply confirms these alone, whatever
    /// has been read or removed since the comparison was sent.
    headers: BTreeMap<JobId, JobHeader>,
    sent: Time,
}

impl VersionComparison {
    /// The size of the comparison's transaction.
    pub fn size(&self) -> TransactionSize {
        TransactionSize {
            preconditions: self.headers.len(),
            ..TransactionSize::default()
        }
    }
}

/// The polls of a comparison, grouped by what its reply proves.
#[derive(Debug, Default, PartialEq)]
pub struct ComparisonResult {
    /// Polls whose jobs are still open.
    pub open: Vec<OpenRead>,
    /// Polls whose jobs changed or were not compared; their headers are to be read one by
    /// one.
    pub changed: Vec<WaitingRead>,
    /// Polls that are to be refused, as the comparison proved nothing.
    pub failed: Vec<WaitingRead>,
}

/// A header that was read or written as open, with the version of its key.
#[derive(Clone, Copy, Debug)]
struct OpenHeader {
    header: JobHeader,
    version: Version,
}

/// A cache of open headers, and the polls that wait for a comparison of them.
#[derive(Debug, Default)]
pub struct ReadCoalescer {
    open: BTreeMap<JobId, OpenHeader>,
    waiting: Vec<WaitingRead>,
    /// Sending times of the comparisons in flight.
    in_flight: Vec<Time>,
    /// The earliest time of the next comparison.
    not_before: Time,
}

impl ReadCoalescer {
    /// Caches a header that was read or written as open.
    pub fn cache_header(&mut self, id: &JobId, header: JobHeader, version: Version) {
        if self.open.len() >= MAX_OPEN_HEADERS && !self.open.contains_key(id) {
            // Any header may be evicted: an evicted one is read again when its job is
            // polled.
            self.open.pop_first();
        }
        self.open.insert(id.clone(), OpenHeader { header, version });
    }

    /// Removes the header of a job that has finished.
    pub fn evict_header(&mut self, id: &JobId) {
        self.open.remove(id);
    }

    /// Whether the cache holds an open header of the job.
    pub fn is_open(&self, id: &JobId) -> bool {
        self.open.contains_key(id)
    }

    /// Enqueues a poll if its job was seen open; returns whether it did.
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

    /// Removes and returns the polls that have waited too long for a comparison.
    pub fn take_overdue(&mut self, now: Time) -> Vec<WaitingRead> {
        let waiting = std::mem::take(&mut self.waiting);
        let is_overdue = |read: &WaitingRead| now.since(read.since) >= MAX_WAIT;
        let (overdue, waiting) = waiting.into_iter().partition(is_overdue);
        self.waiting = waiting;
        overdue
    }

    /// The next comparison if one is due, with its transaction. It covers at most
    /// `max_jobs` jobs.
    pub fn next_comparison(
        &mut self,
        now: Time,
        max_jobs: usize,
    ) -> Option<(Transaction, VersionComparison)> {
        let is_slow = |sent: &Time| now.since(*sent) >= SLOW_REPLY;
        let is_busy = self.in_flight.len() >= MAX_COMPARISONS_IN_FLIGHT
            || !self.in_flight.iter().all(is_slow);
        if is_busy || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        let (jobs, reads) = self.take_waiting(max_jobs);
        let mut headers = BTreeMap::new();
        let mut conditions = Vec::new();
        for id in jobs {
            // A header that was removed while its poll waited is not compared.
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

    /// Removes and returns the waiting polls of the first `max_jobs` polled jobs, and
    /// those jobs.
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

    /// Handles the reply to a comparison. No further comparison is sent for the duration
    /// of `pause`.
    pub fn handle_reply(
        &mut self,
        now: Time,
        pause: TimeSpan,
        comparison: VersionComparison,
        reply: &Reply,
    ) -> ComparisonResult {
        self.end_call(now, pause, &comparison);
        match reply {
            Reply::Answer(200, _) => confirm_open(comparison),
            Reply::Answer(409, body) => self.split_by_change(comparison, body),
            Reply::Answer(400, _) => ComparisonResult {
                changed: comparison.reads,
                ..ComparisonResult::default()
            },
            Reply::OutcomeUnknown => self.requeue_recent(now, comparison),
            // The store refused the comparison, and would refuse one for the waiting
            // polls too.
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

    /// Handles the refusal of a comparison as too large: its polls wait for the next ones,
    /// which cover fewer jobs. No further comparison is sent for the duration of `pause`.
    pub fn retry_with_fewer_jobs(
        &mut self,
        now: Time,
        pause: TimeSpan,
        comparison: VersionComparison,
    ) -> ComparisonResult {
        self.end_call(now, pause, &comparison);
        self.requeue_recent(now, comparison)
    }

    fn end_call(&mut self, now: Time, pause: TimeSpan, comparison: &VersionComparison) {
        let sent = comparison.sent;
        if let Some(index) = self.in_flight.iter().position(|other| *other == sent) {
            self.in_flight.swap_remove(index);
        }
        self.not_before = now + pause;
    }

    fn split_by_change(&mut self, comparison: VersionComparison, body: &[u8]) -> ComparisonResult {
        let mut result = ComparisonResult::default();
        let response = wire::decode::<TransactionResponse>(body).unwrap_or_default();
        let failed = response.failed;
        for read in comparison.reads {
            if failed.is_empty() || failed.contains(&job_records::job_header_key(&read.id)) {
                self.open.remove(&read.id);
                result.changed.push(read);
            } else {
                // The store may not name every changed header, so this one is compared
                // again.
                self.waiting.push(read);
            }
        }
        result
    }

    /// Requeues the recent polls of a comparison whose reply was lost, or that was refused as
    /// too large, so that these polls, and those that arrived later, are still answered.
    fn requeue_recent(&mut self, now: Time, comparison: VersionComparison) -> ComparisonResult {
        let is_recent = |read: &WaitingRead| now.since(read.since) < MAX_AGE_TO_REQUEUE;
        let reads = comparison.reads.into_iter();
        let (recent, expired): (Vec<WaitingRead>, _) = reads.partition(is_recent);
        self.waiting.extend(recent);
        ComparisonResult {
            failed: expired,
            ..ComparisonResult::default()
        }
    }
}

/// Handles a reply that says all compared headers are unchanged: polls of compared
/// headers found their jobs open, and the others are to be read one by one.
fn confirm_open(comparison: VersionComparison) -> ComparisonResult {
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
