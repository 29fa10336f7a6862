//! How many tasks one stored record covers.

/// Tasks in one chunk.
#[derive(Clone, Copy, Debug)]
pub struct ChunkSize(pub u32);

impl ChunkSize {
    /// As many as surely fit into a value: a placement takes up to about 100
    /// bytes, a done range about 16.
    pub fn for_value(bytes: usize) -> ChunkSize {
        ChunkSize(((bytes.saturating_sub(256)) / 112).clamp(1, 64) as u32)
    }
    /// The chunk of a task.
    pub fn of(self, task: u32) -> u32 {
        task / self.0
    }
}

#[cfg(test)]
mod tests;
