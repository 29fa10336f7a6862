//! The effects of stored records: starts and stops in them may be sent, and ended jobs
//! may be deleted. Nothing is sent here.

use super::cluster_state::ClusterState;
use super::commit_pipeline::WriteContext;
use crate::core::job_records::{self, Job, JobOutcome};
use crate::types::{JobId, TaskId, Version};
use crate::wire::kvstore::{Operation, Transaction};

/// Records that a chunk is stored up to its change number `change`: starts and stops up
/// to that change may now be sent.
pub(super) fn apply_stored_chunk(
    context: &mut WriteContext<'_>,
    id: &JobId,
    chunk: u32,
    change: u64,
    revision: Version,
) {
    let size = context.cluster.chunk_size;
    let Some(job) = context.cluster.jobs.get_mut(id) else {
        return;
    };
    let mut stored_before = change;
    if let Some(stored) = job.chunks.get_mut(&chunk) {
        stored_before = stored.last_stored_change;
        stored.version = revision;
        stored.last_stored_change = stored.last_stored_change.max(change);
    }
    let first = chunk * size.0;
    let assignments = job.assignments.range(first..first + size.0);
    let is_newly_stored = |c: u64| stored_before < c && c <= change;
    for (&index, assignment) in assignments.clone() {
        let stop_change = assignment.stop.and_then(|stop| stop.change);
        if stop_change.is_some_and(is_newly_stored) {
            let machine = assignment.machine.clone();
            let stops = context.cluster.direct_stops.entry(machine).or_default();
            let job = id.clone();
            stops.push(TaskId { job, index });
        }
    }
    let starts = assignments.filter(|(_, start)| start.is_unsent() && start.change <= change);
    context
        .machines_with_stored_starts
        .extend(starts.map(|(_, start)| start.machine.clone()));
    job.unstored_done
        .retain(|&task, done_change| size.of(task) != chunk || *done_change > change);
}

/// Records that a job's header is stored as done: the job's keys may now be deleted.
pub(super) fn apply_stored_outcome(cluster: &mut ClusterState, id: JobId) {
    let Some(job) = cluster.jobs.get_mut(&id) else {
        return;
    };
    if job.outcome != Some(JobOutcome::Done { written: false }) {
        return;
    }
    job.outcome = Some(JobOutcome::Done { written: true });
    job.unstored_done.clear();
    log_job_done(&id, job);
    cluster.unwritten.jobs_to_delete.insert(id);
}

/// Removes from memory the chunks of an ended job that this transaction has deleted.
/// Other records of the job are still stored.
pub(super) fn forget_deleted_chunks(
    cluster: &mut ClusterState,
    id: &JobId,
    transaction: &Transaction,
) {
    let Some(job) = cluster.jobs.get_mut(id) else {
        return;
    };
    job.chunks.retain(|&chunk, _| {
        let chunk_key = job_records::chunk_key(id, chunk);
        let mut ops = transaction.ops.iter();
        !ops.any(|op| matches!(op, Operation::Delete { key } if *key == chunk_key))
    });
}

pub(super) fn log_job_done(id: &JobId, job: &Job) {
    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, "job done");
}
