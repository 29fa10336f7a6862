//! Records that exceed the key-value store's limit on values, which the store may have
//! lowered since they were built: makes them smaller, or divides them. Nothing is sent
//! here.

use super::arrival_recorder::ArrivalRecorder;
use super::cluster_state::ClusterState;
use super::task_lifecycle::RemovalReason;
use crate::core::Now;
use crate::core::autoscaler::intents::Intents;
use crate::core::format_version::FormatVersion;
use crate::core::job_records::json_len;
use crate::core::quota::arrival_history;
use crate::types::{JobId, TaskId, Time, TimeSpan};

/// Pause before further tasks are placed of a job whose starts did not fit into a record.
const WITHDRAWN_STARTS_PAUSE: TimeSpan = TimeSpan::millis(2000);

/// Withdraws starts that are neither stored nor sent from a chunk, the highest tasks
/// first, until the chunk's record fits into a value of `max_bytes`. The tasks wait again.
/// The completion of tasks makes the record smaller, so it fits sooner or later; until
/// then agents keep reporting what it does not show yet.
pub(super) fn withdraw_oversized_starts(
    cluster: &mut ClusterState,
    now: Time,
    (id, chunk): &(JobId, u32),
    format: FormatVersion,
    max_bytes: usize,
) {
    let size = cluster.chunk_size;
    let mut withdrawn = 0;
    while let Some(job) = cluster.jobs.get(id) {
        if json_len(&job.chunk_value(size, *chunk, format)) <= max_bytes {
            break;
        }
        let Some(index) = job.last_start_in(size, *chunk) else {
            break;
        };
        let job = id.clone();
        let task = TaskId { job, index };
        cluster.record_task_gone(now, &task, RemovalReason::NeverSent);
        withdrawn += 1;
    }
    let Some(job) = cluster.jobs.get_mut(id) else {
        return;
    };
    if withdrawn > 0 {
        let not_before = now + WITHDRAWN_STARTS_PAUSE;
        job.scheduling.not_before = job.scheduling.not_before.max(not_before);
    }
    tracing::warn!(job = %id, chunk, withdrawn, max_bytes, "progress record exceeds the value limit of the key-value store; fewer tasks of its job start at once");
}

/// Replaces the leader's own records that are too large: the arrival history is stored
/// again with fewer intervals, and termination intents are divided.
pub(super) fn replace_oversized_records(
    at: Now,
    intents: &mut Intents,
    arrivals: &mut ArrivalRecorder,
) {
    for (key, value) in intents.pending_writes.take_oversized() {
        if key == arrival_history::ARRIVAL_HISTORY_KEY {
            arrivals.store_due = at.time;
        } else if !intents.divide_termination(&key, &value) {
            tracing::error!(
                key,
                "record exceeds the value limit of the key-value store and cannot be divided; raise settings.state.value_kb"
            );
            intents.pending_writes.put_back(key, Some(value));
        }
    }
}
