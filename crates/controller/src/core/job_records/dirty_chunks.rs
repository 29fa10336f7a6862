//! Chunks that differ from what is stored.

use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Chunks that differ from what is stored. Those with starts go first, as a
/// start waits for its record; the others wait a little, since a task's end is
/// often soon followed by the next, or by its job's, and then needs no write
/// of its own.
#[derive(Debug, Default)]
pub struct DirtyChunks {
    chunks: BTreeMap<(JobId, u32), (Time, bool)>,
}

/// How long a chunk without starts waits for further changes.
const SETTLES: TimeSpan = TimeSpan::millis(1000);

impl DirtyChunks {
    /// Notes a change; `start`: of a task that is to be started.
    pub fn note(&mut self, chunk: (JobId, u32), now: Time, start: bool) {
        let (_, starts) = self.chunks.entry(chunk).or_insert((now, false));
        *starts |= start;
    }

    /// At most so many chunks to write now, most pressing first, oldest first
    /// among equals. In a rush thousands wait, and this is asked for many times
    /// a second.
    pub fn due(&self, now: Time, most: usize) -> Vec<(JobId, u32)> {
        let mut due: Vec<_> = self
            .chunks
            .iter()
            .filter(|(_, (since, start))| *start || now.since(*since) >= SETTLES)
            .map(|(chunk, (since, start))| (!start, *since, chunk))
            .collect();
        if most < due.len() {
            due.select_nth_unstable(most);
            due.truncate(most);
        }
        due.sort_unstable();
        due.into_iter().map(|(_, _, chunk)| chunk.clone()).collect()
    }

    /// It is being written, or needs no writing.
    pub fn forget(&mut self, chunk: &(JobId, u32)) {
        self.chunks.remove(chunk);
    }
}
