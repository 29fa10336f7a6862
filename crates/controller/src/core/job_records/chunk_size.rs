//! The number of tasks of a job that share one stored record, called a chunk. The number
//! stays constant during a leader's term, since the chunk number is part of a record's
//! key.

/// Number of tasks in one chunk of a job, at least 1.
#[derive(Clone, Copy, Debug)]
pub struct ChunkSize(pub u32);

/// Bytes of a value reserved for the fields that occur once per chunk.
const FIXED_FIELDS_BYTES: usize = 256;
/// Maximum bytes per task: an assignment needs up to about 100, and a range of completed
/// tasks about 16.
const MAX_BYTES_PER_TASK: usize = 112;
/// Maximum number of tasks in a chunk. Each change of a task rewrites its whole chunk, so
/// larger chunks would make writes too large.
const MAX_TASKS_PER_CHUNK: usize = 64;

impl ChunkSize {
    /// The largest chunk size that always fits into a value of `bytes` bytes.
    pub fn for_value(bytes: usize) -> ChunkSize {
        let tasks = bytes.saturating_sub(FIXED_FIELDS_BYTES) / MAX_BYTES_PER_TASK;
        ChunkSize(tasks.clamp(1, MAX_TASKS_PER_CHUNK) as u32)
    }

    /// Number of the chunk that contains a task, from 0.
    pub fn of(self, task: u32) -> u32 {
        task / self.0
    }

    /// Numbers of the tasks in a chunk. The range of the last chunk can extend beyond the
    /// job's last task.
    pub(super) fn tasks_of(self, chunk: u32) -> std::ops::Range<u32> {
        let first = chunk * self.0;
        first..first + self.0
    }
}

#[cfg(test)]
mod tests;
