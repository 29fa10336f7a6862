//! The storage interface of the service, and storage in memory.

use crate::persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey};

/// A storage failure.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The embedded database or the disk below it returned an error.
    #[error("key-value store: {0}")]
    Store(String),
    /// A record cannot be decoded.
    #[error(
        "key-value store: {table} {key}: cannot be decoded ({reason}); restore from a snapshot"
    )]
    Damaged {
        /// Name of the record's table in the file.
        table: &'static str,
        /// Key of the record in the table.
        key: String,
        /// The decoder's error.
        reason: String,
    },
    /// Another process has the file open.
    #[error("key-value store: {0}: in use by another process; stop that process first")]
    InUse(String),
}

/// Records that are written atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The counters after this batch.
    pub counters: Counters,
    /// Keys put or, with `None`, deleted; of several entries for a key the last applies.
    pub keys: Vec<(String, Option<StoredKey>)>,
    /// Leases granted, with their time to live in milliseconds, or, with `None`, ended.
    pub leases: Vec<(u64, Option<u64>)>,
    /// Changes to append to the change log; a change's id is its revision and its position
    /// within the revision.
    pub changes: Vec<((u64, u32), ChangeRecord)>,
    /// Ids of the changes to remove from the change log.
    pub compacted_changes: Vec<(u64, u32)>,
}

impl Batch {
    /// Whether the batch has nothing to write. Compacted changes are not checked, since
    /// they occur only together with new changes.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.leases.is_empty() && self.changes.is_empty()
    }
}

/// Durable storage of batches.
pub trait Storage {
    /// Opens the storage if it is closed and loads the whole state.
    ///
    /// # Errors
    /// The storage cannot be opened or read, or a record is damaged.
    fn load(&mut self) -> Result<PersistedState, StorageError>;

    /// Writes a batch atomically and returns once the batch would survive a power loss.
    ///
    /// # Errors
    /// The batch may have been stored or not. [`Storage::load`] shows which, and has to
    /// succeed before the next write.
    fn write(&mut self, batch: &Batch) -> Result<(), StorageError>;
}

/// Storage that is lost when the process ends.
#[derive(Debug, Default)]
pub struct Memory(PersistedState);

impl Memory {
    /// Storage in memory whose loads return `state`.
    pub fn with_state(state: PersistedState) -> Memory {
        Memory(state)
    }
}

impl Storage for Memory {
    fn load(&mut self) -> Result<PersistedState, StorageError> {
        Ok(self.0.clone())
    }

    /// Does nothing: the service itself holds the state in memory, and a second copy
    /// would only cost time and memory.
    fn write(&mut self, _: &Batch) -> Result<(), StorageError> {
        Ok(())
    }
}
