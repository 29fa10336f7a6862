//! Storage in a file, by the embedded store `redb`: copy-on-write pages, a
//! commit slot with checksums, one sync a batch. A torn or unsynced write is
//! found by checksum when the file is opened and the commit before it stands.

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

/// Pages that redb may keep; the service holds everything in memory itself.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

type Open = Box<dyn FnMut() -> Result<Database, DatabaseError>>;

/// A file with everything in it.
pub struct Disk {
    name: String,
    open: Open,
    database: Option<Database>,
}

impl std::fmt::Debug for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Disk").field(&self.name).finish()
    }
}

fn store(e: impl std::fmt::Display) -> StorageError {
    StorageError::Store(e.to_string())
}

fn pack<T: Serialize>(v: &T) -> Vec<u8> {
    // Positions, not names: a key's name is most of a small record otherwise.
    rmp_serde::to_vec(v).unwrap_or_default()
}

fn unpack<T: DeserializeOwned>(
    table: &'static str,
    key: impl std::fmt::Display,
    bytes: &[u8],
) -> Result<T, StorageError> {
    rmp_serde::from_slice(bytes).map_err(|e| StorageError::Damaged {
        table,
        key: key.to_string(),
        why: e.to_string(),
    })
}

/// Opens a store. A new one is made beside its place and moved there whole: a
/// file whose making was cut off by a power loss would be refused for ever.
fn open_file(path: &Path) -> Result<Database, DatabaseError> {
    let builder = || {
        let mut b = Database::builder();
        b.set_cache_size(CACHE_BYTES);
        b
    };
    if !path.exists() {
        let io = |e: std::io::Error| DatabaseError::Storage(StorageFailure::Io(e));
        let mut beside = path.as_os_str().to_owned();
        beside.push(".new");
        let beside = PathBuf::from(beside);
        match std::fs::remove_file(&beside) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(io(e)),
            _ => {}
        }
        drop(builder().create(&beside)?);
        std::fs::rename(&beside, path).map_err(io)?;
        if let Some(dir) = path.parent().filter(|d| !d.as_os_str().is_empty()) {
            File::open(dir).and_then(|d| d.sync_all()).map_err(io)?;
        }
    }
    builder().open(path)
}

impl Disk {
    /// Storage in a file, which is made if it does not exist. It is opened by
    /// the first load.
    pub fn at(path: impl Into<PathBuf>) -> Disk {
        let path = path.into();
        Disk {
            name: path.display().to_string(),
            open: Box::new(move || open_file(&path)),
            database: None,
        }
    }

    /// Storage on what `backend` gives anew at each opening.
    pub fn on<B: StorageBackend>(mut backend: impl FnMut() -> B + 'static) -> Disk {
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
                other => store(other),
            })?;
            self.database = Some(opened);
        }
        self.database.as_ref().ok_or_else(|| store("not open"))
    }

    fn try_write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let txn = self.database()?.begin_write().map_err(store)?;
        {
            let mut counters = txn.open_table(COUNTERS).map_err(store)?;
            counters
                .insert(0, pack(&batch.counters).as_slice())
                .map_err(store)?;
            let mut keys = txn.open_table(KEYS).map_err(store)?;
            for (name, key) in &batch.keys {
                match key {
                    Some(k) => keys.insert(name.as_str(), pack(k).as_slice()).map(drop),
                    None => keys.remove(name.as_str()).map(drop),
                }
                .map_err(store)?;
            }
            let mut leases = txn.open_table(LEASES).map_err(store)?;
            for (id, life) in &batch.leases {
                match life {
                    Some(ms) => leases.insert(id, ms).map(drop),
                    None => leases.remove(id).map(drop),
                }
                .map_err(store)?;
            }
            let mut changes = txn.open_table(CHANGES).map_err(store)?;
            for (at, change) in &batch.changes {
                changes.insert(at, pack(change).as_slice()).map_err(store)?;
            }
            for at in &batch.forgotten {
                changes.remove(at).map_err(store)?;
            }
        }
        txn.commit().map_err(store)
    }

    fn try_load(&mut self) -> Result<PersistedState, StorageError> {
        let database = self.database()?;
        // Tables come into being with the first write.
        let txn = database.begin_write().map_err(store)?;
        txn.open_table(COUNTERS).map_err(store)?;
        txn.open_table(KEYS).map_err(store)?;
        txn.open_table(LEASES).map_err(store)?;
        txn.open_table(CHANGES).map_err(store)?;
        txn.commit().map_err(store)?;
        let txn = database.begin_read().map_err(store)?;
        let mut state = PersistedState::default();
        if let Some(m) = txn
            .open_table(COUNTERS)
            .map_err(store)?
            .get(0)
            .map_err(store)?
        {
            state.counters = unpack::<Counters>("marks", 0, m.value())?;
        }
        for entry in txn.open_table(KEYS).map_err(store)?.iter().map_err(store)? {
            let (name, key) = entry.map_err(store)?;
            let name = name.value();
            state
                .keys
                .insert(name.into(), unpack::<StoredKey>("keys", name, key.value())?);
        }
        for entry in txn
            .open_table(LEASES)
            .map_err(store)?
            .iter()
            .map_err(store)?
        {
            let (id, life) = entry.map_err(store)?;
            state.leases.insert(id.value(), life.value());
        }
        for entry in txn
            .open_table(CHANGES)
            .map_err(store)?
            .iter()
            .map_err(store)?
        {
            let (at, change) = entry.map_err(store)?;
            let at = at.value();
            let change = unpack::<ChangeRecord>("changes", at.0, change.value())?;
            state.changes.push_back((at, change));
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
            // The store refuses everything after a failed write; it is opened
            // anew, which goes back to the last whole commit.
            self.database = None;
        }
        written
    }
}
