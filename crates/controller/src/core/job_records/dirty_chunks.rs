//! The queue of chunks that differ from their stored records. The queue decides which
//! chunks are written next; the contents of each write come from `job_writes`.

use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Time that a chunk without starts waits for further changes before it is written.
const SETTLE_TIME: TimeSpan = TimeSpan::millis(1000);

/// A chunk's job and its number within the job.
type ChunkId = (JobId, u32);

/// A chunk that waits to be written.
#[derive(Clone, Copy, Debug)]
struct DirtyChunk {
    /// Time of the oldest change that is not yet written.
    since: Time,
    /// Whether the changes include the start of a task.
    has_starts: bool,
    /// Earliest time of the next write.
    not_before: Time,
}

impl DirtyChunk {
    fn is_due(&self, now: Time) -> bool {
        now >= self.not_before && (self.has_starts || now.since(self.since) >= SETTLE_TIME)
    }
}

/// Chunks that differ from their stored records. Chunks with task starts are written
/// first, because a start is sent only once its record is stored. Other chunks wait for
/// 1 s (`SETTLE_TIME`): the completion of a task is often soon followed by the completion of
/// another task or of the job, and one write then covers both.
#[derive(Debug, Default)]
pub struct DirtyChunks {
    chunks: BTreeMap<ChunkId, DirtyChunk>,
}

impl DirtyChunks {
    /// Records a change of a chunk at `now`. `start` tells whether the change is the start
    /// of a task.
    pub fn mark(&mut self, chunk: (JobId, u32), now: Time, start: bool) {
        let dirty = self.chunks.entry(chunk).or_insert(DirtyChunk {
            since: now,
            has_starts: false,
            not_before: now,
        });
        dirty.has_starts |= start;
    }

    /// Returns at most `limit` chunks to write now: chunks with starts first, then by age,
    /// oldest first. Under load thousands of chunks wait and this method is called many
    /// times a second, so only the returned chunks are sorted.
    pub fn due(&self, now: Time, limit: usize) -> Vec<(JobId, u32)> {
        let mut due: Vec<_> = self
            .chunks
            .iter()
            .filter(|(_, dirty)| dirty.is_due(now))
            .map(|(chunk, dirty)| (!dirty.has_starts, dirty.since, chunk))
            .collect();
        if limit < due.len() {
            due.select_nth_unstable(limit);
            due.truncate(limit);
        }
        due.sort_unstable();
        due.into_iter().map(|(_, _, chunk)| chunk.clone()).collect()
    }

    /// Postpones the write of a chunk that cannot be stored now.
    pub fn postpone(&mut self, chunk: &(JobId, u32), until: Time) {
        if let Some(dirty) = self.chunks.get_mut(chunk) {
            dirty.not_before = until;
        }
    }

    /// Removes a chunk that is being written or no longer needs to be written.
    pub fn remove(&mut self, chunk: &(JobId, u32)) {
        self.chunks.remove(chunk);
    }
}
