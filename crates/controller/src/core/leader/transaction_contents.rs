//! Fills a transaction with changes, the most urgent first, as far as they fit. Nothing
//! is sent here, and changes that were not committed are queued again by the writer.

use super::cluster_state::ClusterState;
use crate::core::format_version::FormatVersion;
use crate::core::job_records::{CommitItem, JobOutcome, TransactionBuilder};
use crate::core::pending_writes::PendingWrites;
use crate::types::Time;
use crate::wire::kvstore::Operation;

/// Most settled intents deleted in one transaction.
const MAX_SETTLED_INTENT_DELETES: usize = 8;

/// Adds write-ahead intents and other small records. They go first because calls to the
/// cloud wait for them, and they are few.
pub(super) fn add_pending_puts(
    builder: &mut TransactionBuilder,
    pending_writes: &mut PendingWrites,
) {
    for (key, value) in pending_writes.take_puts(builder.remaining_operations() / 2) {
        let op = Operation::Put {
            key: key.clone(),
            value: value.clone(),
            lease: None,
        };
        let item = CommitItem::LeaderRecord(key.clone(), Some(value.clone()));
        if !builder.add(item, vec![op].into()) {
            pending_writes.put_back(key, Some(value));
        }
    }
}

/// Adds the outcomes of jobs whose tasks are all done.
pub(super) fn add_finished_jobs(builder: &mut TransactionBuilder, cluster: &mut ClusterState) {
    for id in std::mem::take(&mut cluster.unwritten.finished_jobs) {
        let Some(job) = cluster.jobs.get(&id) else {
            continue;
        };
        if job.outcome != Some(JobOutcome::Done { written: false }) {
            continue;
        }
        // A job none of whose tasks may still be on a machine is marked as done and
        // deleted in the same transaction.
        if job.assignments.is_empty() {
            let write = job.write_done_and_delete();
            if builder.add(CommitItem::FinishAndDelete(id.clone()), write) {
                continue;
            }
        }
        let write = job.write_done();
        if !builder.add(CommitItem::Finish(id.clone()), write) {
            cluster.unwritten.finished_jobs.insert(id);
        }
    }
}

/// Adds the progress records that are out of date, the most urgent first.
pub(super) fn add_dirty_chunks(
    builder: &mut TransactionBuilder,
    now: Time,
    cluster: &mut ClusterState,
    format: FormatVersion,
) {
    let dirty_chunks = &mut cluster.unwritten.dirty_chunks;
    // Some chunks need no writing any more, so twice as many as fit are examined.
    for due in dirty_chunks.due(now, builder.remaining_operations() * 2) {
        if builder.remaining_operations() == 0 {
            break;
        }
        let (id, chunk) = due.clone();
        // Records of an ended job are only ever deleted. Records of a job with an
        // unreadable record are not written.
        let job = cluster.jobs.get(&id);
        let job = job.filter(|job| job.is_open() && !job.unreadable);
        let state = job.and_then(|job| Some((job, job.chunks.get(&chunk)?.last_change)));
        let Some((job, change)) = state else {
            dirty_chunks.remove(&due);
            continue;
        };
        let write = job.write_chunk(cluster.chunk_size, chunk, format);
        let item = CommitItem::Chunk {
            job: id,
            chunk,
            change,
        };
        if !builder.add(item, write) {
            break;
        }
        dirty_chunks.remove(&due);
    }
}

/// Adds the deletion of ended jobs. At peak load hundreds of them wait, so only as many
/// as fit are examined.
pub(super) fn add_job_deletions(builder: &mut TransactionBuilder, cluster: &mut ClusterState) {
    let mut postponed = None;
    while builder.remaining_operations() > 1
        && let Some(id) = cluster.unwritten.jobs_to_delete.pop_first()
    {
        let Some(job) = cluster.jobs.get(&id) else {
            continue;
        };
        // The job is queued again once its outcome is stored, or its last task is
        // removed.
        let is_outcome_stored = matches!(
            job.outcome,
            Some(JobOutcome::Cancelled | JobOutcome::Done { written: true })
        );
        if !is_outcome_stored || !job.assignments.is_empty() {
            continue;
        }
        let (ops, is_last) = job.delete_records(builder.remaining_operations());
        let item = CommitItem::DeleteRecords(id.clone(), is_last);
        if ops.is_empty() || !builder.add(item, ops.into()) {
            postponed = Some(id);
            break;
        }
    }
    cluster.unwritten.jobs_to_delete.extend(postponed);
}

/// Adds the deletion of settled intents.
pub(super) fn add_pending_deletes(
    builder: &mut TransactionBuilder,
    pending_writes: &mut PendingWrites,
) {
    for key in pending_writes.take_deletes(
        builder
            .remaining_operations()
            .min(MAX_SETTLED_INTENT_DELETES),
    ) {
        let op = Operation::Delete { key: key.clone() };
        builder.add(CommitItem::LeaderRecord(key, None), vec![op].into());
    }
}
