//! The queue of chunks that differ from what is stored. It decides which are written
//! next, never what is written.

use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// How long a chunk without starts waits for further changes.
const SETTLE_TIME: TimeSpan = TimeSpan::millis(1000);

/// Names a chunk: its job and its number.
type ChunkId = (JobId, u32);

/// Why a chunk waits to be written, and since when.
#[derive(Clone, Copy, Debug)]
struct DirtyChunk {
    since: Time,
    has_starts: bool,
}

impl DirtyChunk {
    fn is_due(&self, now: Time) -> bool {
        self.has_starts || now.since(self.since) >= SETTLE_TIME
    }
}

/// Chunks that differ from what is stored. Those with task starts go first, as a
/// start waits for its record; the others wait a little, since the completion of a
/// task is often soon followed by the next one, or by its job's, and then needs no
/// write of its own.
#[derive(Debug, Default)]
pub struct DirtyChunks {
    chunks: BTreeMap<ChunkId, DirtyChunk>,
}

impl DirtyChunks {
    /// Records a change at `now`; `start`: of a task that is to be started.
    pub fn mark(&mut self, chunk: (JobId, u32), now: Time, start: bool) {
        let dirty = self.chunks.entry(chunk).or_insert(DirtyChunk {
            since: now,
            has_starts: false,
        });
        dirty.has_starts |= start;
    }

    /// At most `limit` chunks to write now: those with starts first, the oldest first
    /// among equals. In a rush thousands wait and this is called many times a second,
    /// so only the chosen ones are sorted.
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

    /// Removes a chunk that is being written, or needs no writing.
    pub fn forget(&mut self, chunk: &(JobId, u32)) {
        self.chunks.remove(chunk);
    }
}
