//! How many tasks of a job share one stored record. Never changes during a leader's
//! term, since the chunk number is part of a record's key.

/// Tasks in one chunk of a job.
#[derive(Clone, Copy, Debug)]
pub struct ChunkSize(pub u32);

/// Bytes of a value kept free for the fields that a chunk has once.
const FIXED_BYTES: usize = 256;
/// Bytes one task may need: an assignment takes up to about 100, and a range of
/// completed tasks about 16.
const BYTES_PER_TASK: usize = 112;
/// More tasks in a chunk would make each change rewrite too much.
const MAX_TASKS: usize = 64;

impl ChunkSize {
    /// As many tasks as surely fit into a value of `bytes` bytes.
    pub fn for_value(bytes: usize) -> ChunkSize {
        let tasks = bytes.saturating_sub(FIXED_BYTES) / BYTES_PER_TASK;
        ChunkSize(tasks.clamp(1, MAX_TASKS) as u32)
    }

    /// The number of the chunk that holds a task.
    pub fn of(self, task: u32) -> u32 {
        task / self.0
    }

    /// The tasks of a chunk, the last chunk's may go beyond the job's last task.
    pub(super) fn tasks_of(self, chunk: u32) -> std::ops::Range<u32> {
        let first = chunk * self.0;
        first..first + self.0
    }
}

#[cfg(test)]
mod tests;
