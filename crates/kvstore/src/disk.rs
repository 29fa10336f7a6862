//! Storage in a file, by the embedded database `redb`: copy-on-write pages, commit
//! slots with checksums, one sync per batch. When the file is opened, checksums reveal a
//! torn or unsynced write, and the state of the commit before it is used.

use crate::persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey};
use crate::storage::{Batch, Storage, StorageError};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend,
    StorageError as StorageFailure, TableDefinition,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::File;
use std::path::{Path, PathBuf};

const COUNTERS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("marks");
const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
const LEASES: TableDefinition<'_, u64, u64> = TableDefinition::new("leases");
const CHANGES: TableDefinition<'_, (u64, u32), &[u8]> = TableDefinition::new("changes");

/// Size of redb's page cache. It is small because the service itself holds the whole state
/// in memory.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

type OpenDatabase = Box<dyn FnMut() -> Result<Database, DatabaseError>>;

/// Storage in one `redb` database, in a file or on another [`StorageBackend`].
pub struct Disk {
    /// The file's path, for error messages.
    name: String,
    open: OpenDatabase,
    /// `None` before the first load and after an error.
    database: Option<Database>,
}

impl std::fmt::Debug for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Disk").field(&self.name).finish()
    }
}

fn store_error(e: impl std::fmt::Display) -> StorageError {
    StorageError::Store(e.to_string())
}

fn encode_record<T: Serialize>(v: &T) -> Vec<u8> {
    // Fields are stored by position, because field names would make up most of a small
    // record.
    rmp_serde::to_vec(v).unwrap_or_default()
}

fn decode_record<T: DeserializeOwned>(
    table: &'static str,
    key: impl std::fmt::Display,
    bytes: &[u8],
) -> Result<T, StorageError> {
    rmp_serde::from_slice(bytes).map_err(|e| StorageError::Damaged {
        table,
        key: key.to_string(),
        reason: e.to_string(),
    })
}

/// Opens the database file at `path`. A new file is created under a temporary name and then
/// renamed, because redb refuses to open a file whose creation was interrupted by a
/// power loss.
fn open_file(path: &Path) -> Result<Database, DatabaseError> {
    let builder = || {
        let mut settings = Database::builder();
        settings.set_cache_size(CACHE_BYTES);
        settings
    };
    if !path.exists() {
        let io = |e: std::io::Error| DatabaseError::Storage(StorageFailure::Io(e));
        let mut temporary_path = path.as_os_str().to_owned();
        temporary_path.push(".new");
        let temporary_path = PathBuf::from(temporary_path);
        match std::fs::remove_file(&temporary_path) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(io(e)),
            _ => {}
        }
        drop(builder().create(&temporary_path)?);
        std::fs::rename(&temporary_path, path).map_err(io)?;
        if let Some(dir) = path.parent().filter(|d| !d.as_os_str().is_empty()) {
            File::open(dir).and_then(|d| d.sync_all()).map_err(io)?;
        }
    }
    builder().open(path)
}

impl Disk {
    /// Storage in the file at `path`. The first load opens the file, or creates it if it
    /// does not exist.
    pub fn in_file(path: impl Into<PathBuf>) -> Disk {
        let path = path.into();
        Disk {
            name: path.display().to_string(),
            open: Box::new(move || open_file(&path)),
            database: None,
        }
    }

    /// Storage on the backend that `backend` returns; it is called each time that the
    /// database is opened.
    pub fn on_backend<B: StorageBackend>(mut backend: impl FnMut() -> B + 'static) -> Disk {
        Disk {
            name: "backend".into(),
            open: Box::new(move || {
                Database::builder()
                    .set_cache_size(CACHE_BYTES)
                    .create_with_backend(backend())
            }),
            database: None,
        }
    }

    fn database(&mut self) -> Result<&Database, StorageError> {
        if self.database.is_none() {
            let opened = (self.open)().map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => StorageError::InUse(self.name.clone()),
                other => store_error(other),
            })?;
            self.database = Some(opened);
        }
        self.database
            .as_ref()
            .ok_or_else(|| store_error("not open"))
    }

    fn try_write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let txn = self.database()?.begin_write().map_err(store_error)?;
        {
            let mut counters = txn.open_table(COUNTERS).map_err(store_error)?;
            counters
                .insert(0, encode_record(&batch.counters).as_slice())
                .map_err(store_error)?;
            let mut keys = txn.open_table(KEYS).map_err(store_error)?;
            for (name, key) in &batch.keys {
                match key {
                    Some(k) => keys
                        .insert(name.as_str(), encode_record(k).as_slice())
                        .map(drop),
                    None => keys.remove(name.as_str()).map(drop),
                }
                .map_err(store_error)?;
            }
            let mut leases = txn.open_table(LEASES).map_err(store_error)?;
            for (id, ttl) in &batch.leases {
                match ttl {
                    Some(ms) => leases.insert(id, ms).map(drop),
                    None => leases.remove(id).map(drop),
                }
                .map_err(store_error)?;
            }
            let mut changes = txn.open_table(CHANGES).map_err(store_error)?;
            for (change_id, change) in &batch.changes {
                changes
                    .insert(change_id, encode_record(change).as_slice())
                    .map_err(store_error)?;
            }
            for change_id in &batch.compacted_changes {
                changes.remove(change_id).map_err(store_error)?;
            }
        }
        txn.commit().map_err(store_error)
    }

    fn try_load(&mut self) -> Result<PersistedState, StorageError> {
        let database = self.database()?;
        // Opening a table in a write transaction creates it if it does not exist yet.
        let txn = database.begin_write().map_err(store_error)?;
        txn.open_table(COUNTERS).map_err(store_error)?;
        txn.open_table(KEYS).map_err(store_error)?;
        txn.open_table(LEASES).map_err(store_error)?;
        txn.open_table(CHANGES).map_err(store_error)?;
        txn.commit().map_err(store_error)?;
        let txn = database.begin_read().map_err(store_error)?;
        let mut state = PersistedState::default();
        if let Some(record) = txn
            .open_table(COUNTERS)
            .map_err(store_error)?
            .get(0)
            .map_err(store_error)?
        {
            state.counters = decode_record::<Counters>("marks", 0, record.value())?;
        }
        for entry in txn
            .open_table(KEYS)
            .map_err(store_error)?
            .iter()
            .map_err(store_error)?
        {
            let (name, key) = entry.map_err(store_error)?;
            let name = name.value();
            state.keys.insert(
                name.into(),
                decode_record::<StoredKey>("keys", name, key.value())?,
            );
        }
        for entry in txn
            .open_table(LEASES)
            .map_err(store_error)?
            .iter()
            .map_err(store_error)?
        {
            let (id, ttl) = entry.map_err(store_error)?;
            state.leases.insert(id.value(), ttl.value());
        }
        for entry in txn
            .open_table(CHANGES)
            .map_err(store_error)?
            .iter()
            .map_err(store_error)?
        {
            let (change_id, change) = entry.map_err(store_error)?;
            let change_id = change_id.value();
            let change = decode_record::<ChangeRecord>("changes", change_id.0, change.value())?;
            state.changes.push_back((change_id, change));
        }
        Ok(state)
    }
}

impl Storage for Disk {
    fn load(&mut self) -> Result<PersistedState, StorageError> {
        let loaded = self.try_load();
        if loaded.is_err() {
            self.database = None;
        }
        loaded
    }

    fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let written = self.try_write(batch);
        if written.is_err() {
            // redb refuses all operations after a failed write. The next load opens the
            // database again, which returns to the last complete commit.
            self.database = None;
        }
        written
    }
}
