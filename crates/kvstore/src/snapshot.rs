//! Snapshots: the whole store in one file, a `tar` archive of parts compressed with
//! `zstd`. The manifest is the last file of the archive and holds each part's length and
//! checksum, so that a truncated snapshot has no manifest and a damaged one does not match
//! its manifest. Nothing is restored from an incomplete or damaged snapshot.

use crate::persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey};
use crate::storage::{Batch, Storage, StorageError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

/// Version of the snapshot format; snapshots of other versions are refused.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of records in one part. A whole part is read into memory.
const MAX_PART_RECORDS: usize = 50_000;
/// Maximum number of records that a restore writes in one batch.
const MAX_RESTORE_BATCH_RECORDS: usize = 20_000;
/// Name of the manifest in the archive.
const MANIFEST_NAME: &str = "manifest.json";
/// Maximum length of a part or manifest; larger ones are refused as damage.
const MAX_PART_BYTES: u64 = 1 << 30;
/// Compression level of zstd; higher levels cost more time than the saved space is worth.
const COMPRESSION_LEVEL: i32 = 3;
/// A restore adds this number to the revision and to the last lease id. It is larger than
/// the number of revisions or leases that can have been issued since any snapshot.
pub const RESTORE_GAP: u64 = 1 << 32;

/// A failure to save, read or restore a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// An I/O error on the file at this path.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// The snapshot is incomplete or damaged.
    #[error("{file}: {reason}; nothing was restored, use another snapshot")]
    Damaged {
        /// Path of the snapshot.
        file: PathBuf,
        /// The damage, and the part it was found in or after.
        reason: String,
    },
    /// The store could not be written during a restore.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A file exists at the path of the store to be restored.
    #[error("{0}: exists; move it away first, or choose another path")]
    Exists(PathBuf),
}

/// An entry of the manifest: one part of the archive.
#[derive(Serialize, Deserialize)]
struct PartEntry {
    /// Table and number, such as `keys/000000`.
    name: String,
    bytes: u64,
    crc32: u32,
    records: u64,
}

/// The manifest, the last file of the archive.
#[derive(Serialize, Deserialize)]
struct Manifest {
    format: u32,
    #[serde(rename = "marks")]
    counters: Counters,
    parts: Vec<PartEntry>,
}

/// Contents of a snapshot, for the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SnapshotSummary {
    /// Revision of the store in the snapshot, or of the store after a restore.
    pub revision: u64,
    /// Number of keys.
    pub keys: u64,
    /// Number of leases.
    pub leases: u64,
    /// Number of changes in the change log.
    pub changes: u64,
}

impl SnapshotSummary {
    /// Counts the records of `state`.
    pub fn from_state(state: &PersistedState) -> SnapshotSummary {
        SnapshotSummary {
            revision: state.counters.revision,
            keys: state.keys.len() as u64,
            leases: state.leases.len() as u64,
            changes: state.changes.len() as u64,
        }
    }
}

/// Writes a snapshot to a temporary file next to `path` and then renames it to `path`.
///
/// # Errors
/// The file cannot be written; a file that existed at `path` is unchanged.
pub fn save(state: &PersistedState, path: &Path) -> Result<SnapshotSummary, SnapshotError> {
    let io = |e| SnapshotError::Io(path.into(), e);
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(".part");
    let temporary_path = PathBuf::from(temporary_path);
    let file = File::create(&temporary_path).map_err(io)?;
    let compressed = zstd::Encoder::new(BufWriter::new(file), COMPRESSION_LEVEL).map_err(io)?;
    let mut tar = tar::Builder::new(compressed);
    let mut parts = Vec::new();
    let keys: Vec<_> = state.keys.iter().collect();
    let leases: Vec<_> = state.leases.iter().collect();
    let changes: Vec<_> = state.changes.iter().collect();
    add_table(&mut tar, &mut parts, "keys", &keys).map_err(io)?;
    add_table(&mut tar, &mut parts, "leases", &leases).map_err(io)?;
    add_table(&mut tar, &mut parts, "changes", &changes).map_err(io)?;
    let manifest = Manifest {
        format: FORMAT_VERSION,
        counters: state.counters,
        parts,
    };
    let manifest_json = serde_json::to_vec_pretty(&manifest).map_err(|e| io(e.into()))?;
    append(&mut tar, MANIFEST_NAME, &manifest_json).map_err(io)?;
    let compressed = tar.into_inner().map_err(io)?;
    let file = compressed.finish().map_err(io)?;
    let file = file.into_inner().map_err(|e| io(e.into_error()))?;
    file.sync_all().map_err(io)?;
    std::fs::rename(&temporary_path, path).map_err(io)?;
    Ok(SnapshotSummary::from_state(state))
}

/// Appends one file to the archive.
fn append<W: Write>(tar: &mut tar::Builder<W>, name: &str, data: &[u8]) -> std::io::Result<()> {
    let mut header = tar::Header::new_gnu();
    header.set_size(data.len() as u64);
    header.set_mode(0o600);
    header.set_cksum();
    tar.append_data(&mut header, name, data)
}

/// Appends a table's records to the archive in parts and adds an entry for each part to
/// `parts`.
fn add_table<W: Write, T: Serialize>(
    tar: &mut tar::Builder<W>,
    parts: &mut Vec<PartEntry>,
    table: &str,
    records: &[T],
) -> std::io::Result<()> {
    for (i, chunk) in records.chunks(MAX_PART_RECORDS).enumerate() {
        let name = format!("{table}/{i:06}");
        let data = rmp_serde::to_vec(chunk).map_err(std::io::Error::other)?;
        append(tar, &name, &data)?;
        parts.push(PartEntry {
            name,
            bytes: data.len() as u64,
            crc32: crc32fast::hash(&data),
            records: chunk.len() as u64,
        });
    }
    Ok(())
}

/// Contents of a snapshot file as far as they have been read, not yet checked against the
/// manifest.
#[derive(Default)]
struct Contents {
    state: PersistedState,
    parts: Vec<PartEntry>,
    manifest: Option<Manifest>,
}

impl Contents {
    /// Describes the current position for error messages: after the last complete part.
    fn position(&self) -> String {
        match self.parts.last() {
            Some(part) => format!("after {}", part.name),
            None => "at the beginning".into(),
        }
    }

    /// Adds one file of the archive; the error describes damage in the file.
    fn add(&mut self, name: String, data: &[u8]) -> Result<(), String> {
        if name == MANIFEST_NAME {
            let manifest = serde_json::from_slice(data).map_err(|e| format!("{name}: {e}"))?;
            self.manifest = Some(manifest);
            return Ok(());
        }
        let records = add_records(&mut self.state, &name, data)?;
        self.parts.push(PartEntry {
            bytes: data.len() as u64,
            crc32: crc32fast::hash(data),
            records,
            name,
        });
        Ok(())
    }

    /// Compares the parts with the manifest; the error describes the first difference.
    fn check(self) -> Result<PersistedState, String> {
        let position = self.position();
        let manifest = self
            .manifest
            .ok_or_else(|| format!("cut off {position}: no {MANIFEST_NAME}"))?;
        if manifest.format != FORMAT_VERSION {
            let found = manifest.format;
            return Err(format!(
                "format {found}, this version reads {FORMAT_VERSION}"
            ));
        }
        for expected in &manifest.parts {
            match self.parts.iter().find(|p| p.name == expected.name) {
                None => return Err(format!("{}: missing", expected.name)),
                Some(p) if p.crc32 != expected.crc32 || p.bytes != expected.bytes => {
                    return Err(format!("{}: checksum does not match", expected.name));
                }
                Some(_) => {}
            }
        }
        let unlisted = |part: &&PartEntry| manifest.parts.iter().all(|p| p.name != part.name);
        if let Some(extra) = self.parts.iter().find(unlisted) {
            return Err(format!("{}: not in the manifest", extra.name));
        }
        Ok(PersistedState {
            counters: manifest.counters,
            ..self.state
        })
    }
}

/// Reads a snapshot and checks all its parts.
///
/// # Errors
/// The file cannot be read, or the snapshot is incomplete or damaged; the error names the
/// part.
pub fn read(path: &Path) -> Result<PersistedState, SnapshotError> {
    let damaged = |reason: String| SnapshotError::Damaged {
        file: path.into(),
        reason,
    };
    let file = File::open(path).map_err(|e| SnapshotError::Io(path.into(), e))?;
    let decompressed = zstd::Decoder::new(BufReader::new(file))
        .map_err(|e| damaged(format!("not a snapshot: {e}")))?;
    let mut tar = tar::Archive::new(decompressed);
    let mut contents = Contents::default();
    let entries = tar.entries().map_err(|e| damaged(e.to_string()))?;
    for entry in entries {
        let position = contents.position();
        let mut entry =
            entry.map_err(|e| damaged(format!("cut off or damaged {position}: {e}")))?;
        let name = entry
            .path()
            .map_err(|e| damaged(format!("{position}: {e}")))?
            .display()
            .to_string();
        let bytes = entry.size();
        if bytes > MAX_PART_BYTES {
            return Err(damaged(format!("{name}: {bytes} bytes, too large")));
        }
        let mut data = Vec::new();
        entry
            .read_to_end(&mut data)
            .map_err(|e| damaged(format!("{name}: cut off or damaged ({e})")))?;
        contents.add(name, &data).map_err(damaged)?;
    }
    contents.check().map_err(damaged)
}

/// Decodes one part, adds its records to `state` and returns their number.
fn add_records(state: &mut PersistedState, name: &str, data: &[u8]) -> Result<u64, String> {
    fn decode<T: DeserializeOwned>(name: &str, data: &[u8]) -> Result<Vec<T>, String> {
        rmp_serde::from_slice(data).map_err(|e| format!("{name}: {e}"))
    }
    let table = name.split('/').next().unwrap_or_default();
    let count = match table {
        "keys" => {
            let records = decode::<(String, StoredKey)>(name, data)?;
            let count = records.len();
            state.keys.extend(records);
            count
        }
        "leases" => {
            let records = decode::<(u64, u64)>(name, data)?;
            let count = records.len();
            state.leases.extend(records);
            count
        }
        "changes" => {
            let records = decode::<((u64, u32), ChangeRecord)>(name, data)?;
            let count = records.len();
            state.changes.extend(records);
            count
        }
        _ => return Err(format!("{name}: not a part of a snapshot")),
    };
    Ok(count as u64)
}

/// Restores a snapshot into a new store at `path`. The whole snapshot is read and checked
/// before anything is written.
///
/// Changes after the snapshot are lost, but versions must not be issued a second time:
/// agents drop commands whose fencing token, a version, is lower than one they have seen,
/// and a controller could mistake an old watch for one without gaps. So revision and
/// lease id continue [`RESTORE_GAP`] later, the change log starts empty, and every watch
/// from before gets 410 and has to read its keys again.
///
/// # Errors
/// The snapshot is incomplete or damaged, a file exists at `path`, or the store cannot be
/// written.
pub fn restore(snapshot: &Path, path: &Path) -> Result<SnapshotSummary, SnapshotError> {
    let mut state = read(snapshot)?;
    state.counters.revision += RESTORE_GAP;
    state.counters.lease += RESTORE_GAP;
    state.counters.compacted_revision = state.counters.revision;
    state.changes.clear();
    if path.exists() {
        return Err(SnapshotError::Exists(path.into()));
    }
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(".part");
    let temporary_path = PathBuf::from(temporary_path);
    let io = |e| SnapshotError::Io(temporary_path.clone(), e);
    if temporary_path.exists() {
        std::fs::remove_file(&temporary_path).map_err(io)?;
    }
    let mut disk = crate::Disk::in_file(&temporary_path);
    disk.load()?;
    write_state(&mut disk, &state)?;
    drop(disk);
    std::fs::rename(&temporary_path, path).map_err(|e| SnapshotError::Io(path.into(), e))?;
    Ok(SnapshotSummary::from_state(&state))
}

/// Writes a whole state into empty storage, in several batches.
///
/// # Errors
/// The storage returns an error; part of the state may be stored by then.
pub fn write_state(storage: &mut impl Storage, state: &PersistedState) -> Result<(), StorageError> {
    let keys: Vec<_> = state.keys.iter().collect();
    let changes: Vec<_> = state.changes.iter().collect();
    let mut counters = state.counters;
    let mut write_batch = |partial: Batch| {
        counters.batch += 1;
        let counters = counters;
        storage.write(&Batch {
            counters,
            ..partial
        })
    };
    write_batch(Batch {
        leases: state
            .leases
            .iter()
            .map(|(&id, &ttl_ms)| (id, Some(ttl_ms)))
            .collect(),
        ..Batch::default()
    })?;
    for chunk in keys.chunks(MAX_RESTORE_BATCH_RECORDS) {
        write_batch(Batch {
            keys: chunk
                .iter()
                .map(|(n, k)| ((*n).clone(), Some((*k).clone())))
                .collect(),
            ..Batch::default()
        })?;
    }
    for chunk in changes.chunks(MAX_RESTORE_BATCH_RECORDS) {
        write_batch(Batch {
            changes: chunk.iter().map(|c| (*c).clone()).collect(),
            ..Batch::default()
        })?;
    }
    Ok(())
}
