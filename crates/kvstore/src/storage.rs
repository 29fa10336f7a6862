//! What the service stands on.

use crate::persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey};

/// Why storage failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The embedded store or the disk below it refused.
    #[error("state store: {0}")]
    Store(String),
    /// A record cannot be read.
    #[error("state store: {table} {key}: cannot be read ({why}); restore from a snapshot")]
    Damaged {
        /// The table.
        table: &'static str,
        /// The record.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// Another process has the file open.
    #[error("state store: {0}: in use by another process; end that one first")]
    InUse(String),
}

/// Records that are written together or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The counters after it.
    pub counters: Counters,
    /// Keys written or, with `None`, deleted; the last word on a key counts.
    pub keys: Vec<(String, Option<StoredKey>)>,
    /// Leases given or, with `None`, ended.
    pub leases: Vec<(u64, Option<u64>)>,
    /// Changes to keep.
    pub changes: Vec<((u64, u32), ChangeRecord)>,
    /// Changes to forget.
    pub forgotten: Vec<(u64, u32)>,
}

impl Batch {
    /// Whether it holds nothing to write.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.leases.is_empty() && self.changes.is_empty()
    }
}

/// A place where batches last.
pub trait Storage {
    /// Reads everything, opening what has to be opened.
    ///
    /// # Errors
    /// Nothing can be read, or what is there is damaged.
    fn load(&mut self) -> Result<PersistedState, StorageError>;

    /// Writes a batch, whole, and returns once it would survive a power loss.
    ///
    /// # Errors
    /// The batch may be there or not. [`Storage::load`] tells, and has to
    /// succeed before the next write.
    fn write(&mut self, batch: &Batch) -> Result<(), StorageError>;
}

/// Storage that ends with the process.
#[derive(Debug, Default)]
pub struct Memory(PersistedState);

impl Memory {
    /// Memory that begins with a state.
    pub fn with(state: PersistedState) -> Memory {
        Memory(state)
    }
}

impl Storage for Memory {
    fn load(&mut self) -> Result<PersistedState, StorageError> {
        Ok(self.0.clone())
    }

    /// Nothing to do: the service itself holds everything in memory, and a
    /// second copy would only cost.
    fn write(&mut self, _: &Batch) -> Result<(), StorageError> {
        Ok(())
    }
}
