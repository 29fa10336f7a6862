//! Rewriting of progress records in the format version in force, in the background. The
//! records are queued here; the commit pipeline writes them.

use super::cluster_state::ClusterState;
use crate::core::format_version::chunk_progress::ChunkProgress;
use crate::core::format_version::{FormatVersion, WITH_HISTORY};
use crate::core::job_records::{self, Job};
use crate::types::{JobId, Time, TimeSpan};
use crate::wire::kvstore::{Operation, Transaction};
use std::collections::BTreeSet;

/// Most records queued at a time, and the time between two times.
const MAX_REWRITTEN_CHUNKS: usize = 4;
const REWRITE_INTERVAL: TimeSpan = TimeSpan::millis(250);

/// The records that are stored in an older format than the one in force writes.
#[derive(Debug)]
pub(in crate::core) struct RecordRewriter {
    /// Chunks whose record has an older format.
    pub outdated_chunks: BTreeSet<(JobId, u32)>,
    /// When the next outdated chunks may be queued for rewriting.
    rewrite_due: Time,
}

impl RecordRewriter {
    /// A rewriter that knows of no outdated record.
    pub fn new(now: Time) -> RecordRewriter {
        RecordRewriter {
            outdated_chunks: BTreeSet::new(),
            rewrite_due: now,
        }
    }

    /// Whether the next records are to be queued now.
    pub fn is_due(&self, now: Time, format: FormatVersion) -> bool {
        format >= WITH_HISTORY && now >= self.rewrite_due && !self.outdated_chunks.is_empty()
    }

    /// Queues the next records for rewriting in the format in force: a few at a time, and
    /// only if `has_spare_writes`.
    pub fn queue_next(&mut self, now: Time, cluster: &mut ClusterState, has_spare_writes: bool) {
        self.rewrite_due = now + REWRITE_INTERVAL;
        if !has_spare_writes {
            return;
        }
        let jobs = &cluster.jobs;
        // Records of ended jobs are deleted, so they need no rewriting.
        self.outdated_chunks
            .retain(|(id, _)| jobs.get(id).is_some_and(Job::is_open));
        let is_writable = |(id, _): &&(JobId, u32)| {
            jobs.get(id)
                .is_some_and(|job| job.is_open() && !job.unreadable)
        };
        let next = self.outdated_chunks.iter().filter(is_writable);
        let next: Vec<(JobId, u32)> = next.take(MAX_REWRITTEN_CHUNKS).cloned().collect();
        for chunk in next {
            cluster.unwritten.dirty_chunks.mark(chunk, now, false);
        }
    }

    /// Whether all stored records have the format in force.
    pub fn is_complete(&self, format: FormatVersion) -> bool {
        format < WITH_HISTORY || self.outdated_chunks.is_empty()
    }

    /// Records whether a chunk that this transaction stored has the format in force.
    pub fn record_stored_chunk(&mut self, id: &JobId, chunk: u32, transaction: &Transaction) {
        let chunk_key = job_records::chunk_key(id, chunk);
        let value = transaction.ops.iter().find_map(|op| match op {
            Operation::Put { key, value, .. } if *key == chunk_key => Some(value),
            _ => None,
        });
        let chunk = (id.clone(), chunk);
        if value.is_some_and(|value| ChunkProgress::has_form_of(value, WITH_HISTORY)) {
            self.outdated_chunks.remove(&chunk);
        } else {
            self.outdated_chunks.insert(chunk);
        }
    }

    /// Removes the chunks of a job that has no records any more. Where a format version is
    /// held back for weeks the list would otherwise grow without bound.
    pub fn forget_job(&mut self, id: &JobId, job: &Job) {
        for chunk in job.chunks.keys() {
            self.outdated_chunks.remove(&(id.clone(), *chunk));
        }
    }
}
