//! Snapshots: the whole store in one file, a `tar` of parts compressed with
//! `zstd`. The manifest comes last and holds each part's length and checksum,
//! so a snapshot that was cut off has none, and one that was damaged does not
//! match it. Nothing is restored from a snapshot that is not whole.

use crate::persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey};
use crate::storage::{Batch, Storage, StorageError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

/// The version of the snapshot's format; another one is refused.
const FORMAT_VERSION: u32 = 1;
/// Records in one part: a part is read into memory whole.
const MAX_PART_RECORDS: usize = 50_000;
/// Records restored in one batch.
const RESTORE_BATCH_RECORDS: usize = 20_000;
/// The file that lists the parts.
const MANIFEST: &str = "manifest.json";
/// Longest part or manifest that is read, in bytes.
const MAX_PART_BYTES: u64 = 1 << 30;
/// zstd's level: a higher one costs more time than it saves space.
const COMPRESSION_LEVEL: i32 = 3;
/// How far versions and lease numbers are moved on by a restore: more than can
/// have been given out since any snapshot.
pub const RESTORE_GAP: u64 = 1 << 32;

/// Why a snapshot could not be saved or restored.
#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// The snapshot is not whole.
    #[error("{file}: {what}; nothing was restored, use another snapshot")]
    Damaged {
        /// The snapshot.
        file: PathBuf,
        /// What is wrong, and where.
        what: String,
    },
    /// The store to restore into could not be written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// There is something where the store should go.
    #[error("{0}: exists; move it away first, or name another place")]
    Exists(PathBuf),
}

/// A part as the manifest lists it.
#[derive(Serialize, Deserialize)]
struct PartEntry {
    name: String,
    bytes: u64,
    crc32: u32,
    records: u64,
}

/// The list of parts, written last.
#[derive(Serialize, Deserialize)]
struct Manifest {
    format: u32,
    #[serde(rename = "marks")]
    counters: Counters,
    parts: Vec<PartEntry>,
}

/// What a snapshot holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackupSummary {
    /// Revision of the store.
    pub revision: u64,
    /// Keys.
    pub keys: u64,
    /// Leases.
    pub leases: u64,
    /// Changes kept for watches.
    pub changes: u64,
}

impl BackupSummary {
    /// What a state holds.
    pub fn of(state: &PersistedState) -> BackupSummary {
        BackupSummary {
            revision: state.counters.revision,
            keys: state.keys.len() as u64,
            leases: state.leases.len() as u64,
            changes: state.changes.len() as u64,
        }
    }
}

/// Saves a state, first beside `path` and then in its place.
///
/// # Errors
/// The file cannot be written; what was there before stays.
pub fn save(state: &PersistedState, path: &Path) -> Result<BackupSummary, BackupError> {
    let io = |e| BackupError::Io(path.into(), e);
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let file = File::create(&beside).map_err(io)?;
    let packed = zstd::Encoder::new(BufWriter::new(file), COMPRESSION_LEVEL).map_err(io)?;
    let mut tar = tar::Builder::new(packed);
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
    let text = serde_json::to_vec_pretty(&manifest).map_err(|e| io(e.into()))?;
    append(&mut tar, MANIFEST, &text).map_err(io)?;
    let packed = tar.into_inner().map_err(io)?;
    let file = packed.finish().map_err(io)?;
    let file = file.into_inner().map_err(|e| io(e.into_error()))?;
    file.sync_all().map_err(io)?;
    std::fs::rename(&beside, path).map_err(io)?;
    Ok(BackupSummary::of(state))
}

/// Writes one file of the archive.
fn append<W: Write>(tar: &mut tar::Builder<W>, name: &str, data: &[u8]) -> std::io::Result<()> {
    let mut header = tar::Header::new_gnu();
    header.set_size(data.len() as u64);
    header.set_mode(0o600);
    header.set_cksum();
    tar.append_data(&mut header, name, data)
}

/// Writes records in parts and notes each for the manifest.
fn add_table<W: Write, T: Serialize>(
    tar: &mut tar::Builder<W>,
    parts: &mut Vec<PartEntry>,
    table: &str,
    records: &[T],
) -> std::io::Result<()> {
    for (i, some) in records.chunks(MAX_PART_RECORDS).enumerate() {
        let name = format!("{table}/{i:06}");
        let data = rmp_serde::to_vec(some).map_err(std::io::Error::other)?;
        append(tar, &name, &data)?;
        parts.push(PartEntry {
            name,
            bytes: data.len() as u64,
            crc32: crc32fast::hash(&data),
            records: some.len() as u64,
        });
    }
    Ok(())
}

/// What was read of a snapshot file, before it is checked against its manifest.
#[derive(Default)]
struct Contents {
    state: PersistedState,
    parts: Vec<PartEntry>,
    manifest: Option<Manifest>,
}

impl Contents {
    /// Names the last part that was read whole, for texts about what follows it.
    fn position(&self) -> String {
        match self.parts.last() {
            Some(part) => format!("after {}", part.name),
            None => "at the beginning".into(),
        }
    }

    /// Takes over one file of the archive; the error says what is wrong with it.
    fn add(&mut self, name: String, data: &[u8]) -> Result<(), String> {
        if name == MANIFEST {
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

    /// Compares what was read with the manifest; the error says what differs.
    fn check(self) -> Result<PersistedState, String> {
        let position = self.position();
        let manifest = self
            .manifest
            .ok_or_else(|| format!("cut off {position}: no {MANIFEST}"))?;
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
        let listed = |part: &&PartEntry| manifest.parts.iter().all(|p| p.name != part.name);
        if let Some(extra) = self.parts.iter().find(listed) {
            return Err(format!("{}: not in the manifest", extra.name));
        }
        Ok(PersistedState {
            counters: manifest.counters,
            ..self.state
        })
    }
}

/// Reads a snapshot and checks all of it.
///
/// # Errors
/// It cannot be read, or is not whole; the text says which part is wrong.
pub fn read(path: &Path) -> Result<PersistedState, BackupError> {
    let damaged = |what: String| BackupError::Damaged {
        file: path.into(),
        what,
    };
    let file = File::open(path).map_err(|e| BackupError::Io(path.into(), e))?;
    let unpacked = zstd::Decoder::new(BufReader::new(file))
        .map_err(|e| damaged(format!("not a snapshot: {e}")))?;
    let mut tar = tar::Archive::new(unpacked);
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

/// Adds the records of one part to `state`; returns how many there were.
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

/// Restores a snapshot into an empty place. The snapshot is read and checked
/// whole before anything is written.
///
/// What was written after the snapshot is gone, but versions must not come a
/// second time: workers drop commands whose token, a version, is lower than one
/// they have seen, and a node could take an old watch for unbroken. So versions
/// and lease numbers go on [`RESTORE_GAP`] later, and every watch has to read again.
///
/// # Errors
/// The snapshot is not whole, there is something at `path`, or it cannot be
/// written.
pub fn restore(archive: &Path, path: &Path) -> Result<BackupSummary, BackupError> {
    let mut state = read(archive)?;
    state.counters.revision += RESTORE_GAP;
    state.counters.lease += RESTORE_GAP;
    state.counters.compacted_revision = state.counters.revision;
    state.changes.clear();
    if path.exists() {
        return Err(BackupError::Exists(path.into()));
    }
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let io = |e| BackupError::Io(beside.clone(), e);
    if beside.exists() {
        std::fs::remove_file(&beside).map_err(io)?;
    }
    let mut disk = crate::Disk::at(&beside);
    disk.load()?;
    write_state(&mut disk, &state)?;
    drop(disk);
    std::fs::rename(&beside, path).map_err(|e| BackupError::Io(path.into(), e))?;
    Ok(BackupSummary::of(&state))
}

/// Writes a whole state into empty storage.
///
/// # Errors
/// The storage refuses.
pub fn write_state(storage: &mut impl Storage, state: &PersistedState) -> Result<(), StorageError> {
    let keys: Vec<_> = state.keys.iter().collect();
    let changes: Vec<_> = state.changes.iter().collect();
    let mut counters = state.counters;
    let mut batch = |part: Batch| {
        counters.batch += 1;
        let counters = counters;
        storage.write(&Batch { counters, ..part })
    };
    batch(Batch {
        leases: state.leases.iter().map(|(&i, &ms)| (i, Some(ms))).collect(),
        ..Batch::default()
    })?;
    for some in keys.chunks(RESTORE_BATCH_RECORDS) {
        batch(Batch {
            keys: some
                .iter()
                .map(|(n, k)| ((*n).clone(), Some((*k).clone())))
                .collect(),
            ..Batch::default()
        })?;
    }
    for some in changes.chunks(RESTORE_BATCH_RECORDS) {
        batch(Batch {
            changes: some.iter().map(|c| (*c).clone()).collect(),
            ..Batch::default()
        })?;
    }
    Ok(())
}
