//! Fills a transaction with changes, the most urgent first, as far as they fit. Nothing
//! is sent here, and changes that were not committed are queued again by the writer.

use super::cluster_state::ClusterState;
use super::oversized_records::withdraw_oversized_starts;
use crate::core::format_version::FormatVersion;
use crate::core::garbage_collection::GarbageCollector;
use crate::core::job_records::{
    AddError, CommitItem, ConditionalWrite, JobOutcome, TransactionBuilder,
};
use crate::core::pending_writes::PendingWrites;
use crate::types::{JobId, Time, TimeSpan};
use crate::wire::kvstore::Operation;

/// Most settled intents deleted in one transaction.
const MAX_SETTLED_INTENT_DELETES: usize = 8;
/// Pause before a chunk is examined again whose record is too large to be stored.
const OVERSIZED_CHUNK_PAUSE: TimeSpan = TimeSpan::millis(1000);

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
        match builder.add(item, vec![op].into()) {
            Ok(()) => {}
            Err(AddError::Full) => pending_writes.put_back(key, Some(value)),
            Err(AddError::ValueTooLarge) => pending_writes.set_oversized(key, value),
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
            let item = CommitItem::FinishAndDelete(id.clone());
            if builder.add(item, write).is_ok() {
                continue;
            }
        }
        let write = job.write_done();
        let item = CommitItem::Finish(id.clone());
        if builder.add(item, write).is_err() {
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
    // Some chunks need no writing any more, so twice as many as fit are examined.
    let limit = builder.remaining_operations() * 2;
    for due in cluster.unwritten.dirty_chunks.due(now, limit) {
        if builder.remaining_operations() == 0 {
            break;
        }
        match add_or_shrink_chunk(builder, now, cluster, format, &due) {
            Ok(()) => cluster.unwritten.dirty_chunks.remove(&due),
            Err(AddError::Full) => break,
            Err(AddError::ValueTooLarge) => {
                let until = now + OVERSIZED_CHUNK_PAUSE;
                cluster.unwritten.dirty_chunks.postpone(&due, until);
            }
        }
    }
}

/// Adds a progress record. If it is too large for any transaction, starts are withdrawn
/// from it first.
fn add_or_shrink_chunk(
    builder: &mut TransactionBuilder,
    now: Time,
    cluster: &mut ClusterState,
    format: FormatVersion,
    due: &(JobId, u32),
) -> Result<(), AddError> {
    let result = add_chunk(builder, cluster, format, due);
    if result != Err(AddError::ValueTooLarge) {
        return result;
    }
    let max_bytes = builder.max_value_bytes();
    withdraw_oversized_starts(cluster, now, due, format, max_bytes);
    add_chunk(builder, cluster, format, due)
}

/// Adds a progress record, unless it needs no writing any more.
fn add_chunk(
    builder: &mut TransactionBuilder,
    cluster: &ClusterState,
    format: FormatVersion,
    (id, chunk): &(JobId, u32),
) -> Result<(), AddError> {
    // Records of an ended job are only ever deleted. Records of a job with an unreadable
    // record are not written.
    let job = cluster.jobs.get(id);
    let job = job.filter(|job| job.is_open() && !job.unreadable);
    let Some((job, state)) = job.and_then(|job| Some((job, job.chunks.get(chunk)?))) else {
        return Ok(());
    };
    let write = job.write_chunk(cluster.chunk_size, *chunk, format);
    let item = CommitItem::Chunk {
        job: id.clone(),
        chunk: *chunk,
        change: state.last_change,
    };
    builder.add(item, write)
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
        if ops.is_empty() || builder.add(item, ops.into()).is_err() {
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
        let item = CommitItem::LeaderRecord(key.clone(), None);
        if builder.add(item, vec![op].into()).is_err() {
            pending_writes.put_back(key, None);
        }
    }
}

/// Adds the deletion of orphaned keys, if there is nothing else to write.
pub(super) fn add_orphan_deletions(
    builder: &mut TransactionBuilder,
    garbage_collector: &mut GarbageCollector,
) {
    if !builder.is_empty() {
        return;
    }
    for (orphan, preconditions, operation) in
        garbage_collector.take_next(builder.remaining_operations())
    {
        let write = ConditionalWrite {
            preconditions,
            operations: vec![operation],
        };
        let item = CommitItem::DeleteOrphan(orphan.clone());
        if builder.add(item, write).is_err() {
            garbage_collector.put_back(orphan);
        }
    }
}
