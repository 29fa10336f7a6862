//! Snapshots: the whole store in one file, a `tar` of parts compressed with
//! `zstd`. The manifest comes last and holds each part's length and checksum,
//! so an archive that was cut off has none, and one that was damaged does not
//! match it. Nothing is restored from an archive that is not whole.

use crate::persisted_state::{Change, Image, Key, Marks};
use crate::storage::{Batch, Storage, StorageError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

/// The format's number.
const FORMAT: u32 = 1;
/// Records in one part.
const PART: usize = 50_000;
/// Records restored in one batch.
const GROUP: usize = 20_000;
const MANIFEST: &str = "manifest.json";
/// Longest part or manifest that is read, in bytes.
const MOST_PART: u64 = 1 << 30;
const LEVEL: i32 = 3;
/// How far versions and lease numbers are moved on by a restore: more than can
/// have been given out since any snapshot.
pub const GAP: u64 = 1 << 32;

/// Why a snapshot could not be saved or restored.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// The archive is not whole.
    #[error("{file}: {what}; nothing was restored, use another snapshot")]
    Damaged {
        /// The archive.
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

#[derive(Serialize, Deserialize)]
struct Part {
    name: String,
    bytes: u64,
    crc32: u32,
    records: u64,
}

#[derive(Serialize, Deserialize)]
struct Manifest {
    format: u32,
    marks: Marks,
    parts: Vec<Part>,
}

/// What a snapshot holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Revision of the store.
    pub revision: u64,
    /// Keys.
    pub keys: u64,
    /// Leases.
    pub leases: u64,
    /// Changes kept for watches.
    pub changes: u64,
}

impl Summary {
    /// What an image holds.
    pub fn of(image: &Image) -> Summary {
        Summary {
            revision: image.marks.revision,
            keys: image.keys.len() as u64,
            leases: image.leases.len() as u64,
            changes: image.changes.len() as u64,
        }
    }
}

/// Saves an image, first beside `path` and then in its place.
///
/// # Errors
/// The file cannot be written; what was there before stays.
pub fn save(image: &Image, path: &Path) -> Result<Summary, ArchiveError> {
    let io = |e| ArchiveError::Io(path.into(), e);
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let file = File::create(&beside).map_err(io)?;
    let packed = zstd::Encoder::new(BufWriter::new(file), LEVEL).map_err(io)?;
    let mut tar = tar::Builder::new(packed);
    let mut parts = Vec::new();
    let keys: Vec<_> = image.keys.iter().collect();
    let leases: Vec<_> = image.leases.iter().collect();
    let changes: Vec<_> = image.changes.iter().collect();
    add(&mut tar, &mut parts, "keys", &keys).map_err(io)?;
    add(&mut tar, &mut parts, "leases", &leases).map_err(io)?;
    add(&mut tar, &mut parts, "changes", &changes).map_err(io)?;
    let manifest = Manifest {
        format: FORMAT,
        marks: image.marks,
        parts,
    };
    let text = serde_json::to_vec_pretty(&manifest).map_err(|e| io(e.into()))?;
    append(&mut tar, MANIFEST, &text).map_err(io)?;
    let packed = tar.into_inner().map_err(io)?;
    let file = packed.finish().map_err(io)?;
    let file = file.into_inner().map_err(|e| io(e.into_error()))?;
    file.sync_all().map_err(io)?;
    std::fs::rename(&beside, path).map_err(io)?;
    Ok(Summary::of(image))
}

fn append<W: Write>(tar: &mut tar::Builder<W>, name: &str, data: &[u8]) -> std::io::Result<()> {
    let mut header = tar::Header::new_gnu();
    header.set_size(data.len() as u64);
    header.set_mode(0o600);
    header.set_cksum();
    tar.append_data(&mut header, name, data)
}

fn add<W: Write, T: Serialize>(
    tar: &mut tar::Builder<W>,
    parts: &mut Vec<Part>,
    table: &str,
    records: &[T],
) -> std::io::Result<()> {
    for (i, some) in records.chunks(PART).enumerate() {
        let name = format!("{table}/{i:06}");
        let data = rmp_serde::to_vec(some).map_err(std::io::Error::other)?;
        append(tar, &name, &data)?;
        parts.push(Part {
            name,
            bytes: data.len() as u64,
            crc32: crc32fast::hash(&data),
            records: some.len() as u64,
        });
    }
    Ok(())
}

/// Reads an archive and checks all of it.
///
/// # Errors
/// It cannot be read, or is not whole; the text says which part is wrong.
pub fn read(path: &Path) -> Result<Image, ArchiveError> {
    let damaged = |what: String| ArchiveError::Damaged {
        file: path.into(),
        what,
    };
    let file = File::open(path).map_err(|e| ArchiveError::Io(path.into(), e))?;
    let unpacked = zstd::Decoder::new(BufReader::new(file))
        .map_err(|e| damaged(format!("not a snapshot: {e}")))?;
    let mut tar = tar::Archive::new(unpacked);
    let mut image = Image::default();
    let mut found: Vec<Part> = Vec::new();
    let mut manifest: Option<Manifest> = None;
    let after = |found: &[Part]| match found.last() {
        Some(p) => format!("after {}", p.name),
        None => "at the beginning".into(),
    };
    let entries = tar.entries().map_err(|e| damaged(e.to_string()))?;
    for entry in entries {
        let mut entry =
            entry.map_err(|e| damaged(format!("cut off or damaged {}: {e}", after(&found))))?;
        let name = entry
            .path()
            .map_err(|e| damaged(format!("{}: {e}", after(&found))))?
            .display()
            .to_string();
        if entry.size() > MOST_PART {
            return Err(damaged(format!(
                "{name}: {} bytes, too large",
                entry.size()
            )));
        }
        let mut data = Vec::new();
        entry
            .read_to_end(&mut data)
            .map_err(|e| damaged(format!("{name}: cut off or damaged ({e})")))?;
        if name == MANIFEST {
            let read = serde_json::from_slice(&data);
            manifest = Some(read.map_err(|e| damaged(format!("{name}: {e}")))?);
            continue;
        }
        let records = take(&mut image, &name, &data).map_err(damaged)?;
        found.push(Part {
            bytes: data.len() as u64,
            crc32: crc32fast::hash(&data),
            records,
            name,
        });
    }
    let manifest =
        manifest.ok_or_else(|| damaged(format!("cut off {}: no {MANIFEST}", after(&found))))?;
    if manifest.format != FORMAT {
        return Err(damaged(format!(
            "format {}, this version reads {FORMAT}",
            manifest.format
        )));
    }
    for wanted in &manifest.parts {
        match found.iter().find(|f| f.name == wanted.name) {
            None => return Err(damaged(format!("{}: missing", wanted.name))),
            Some(f) if f.crc32 != wanted.crc32 || f.bytes != wanted.bytes => {
                return Err(damaged(format!("{}: checksum does not match", wanted.name)));
            }
            Some(_) => {}
        }
    }
    if let Some(extra) = found
        .iter()
        .find(|f| manifest.parts.iter().all(|p| p.name != f.name))
    {
        return Err(damaged(format!("{}: not in the manifest", extra.name)));
    }
    image.marks = manifest.marks;
    Ok(image)
}

fn take(image: &mut Image, name: &str, data: &[u8]) -> Result<u64, String> {
    fn records<T: DeserializeOwned>(name: &str, data: &[u8]) -> Result<Vec<T>, String> {
        rmp_serde::from_slice(data).map_err(|e| format!("{name}: {e}"))
    }
    let table = name.split('/').next().unwrap_or_default();
    Ok(match table {
        "keys" => {
            let some = records::<(String, Key)>(name, data)?;
            let n = some.len() as u64;
            image.keys.extend(some);
            n
        }
        "leases" => {
            let some = records::<(u64, u64)>(name, data)?;
            let n = some.len() as u64;
            image.leases.extend(some);
            n
        }
        "changes" => {
            let some = records::<((u64, u32), Change)>(name, data)?;
            let n = some.len() as u64;
            image.changes.extend(some);
            n
        }
        _ => return Err(format!("{name}: not a part of a snapshot")),
    })
}

/// Restores an archive into an empty place. The archive is read and checked
/// whole before anything is written.
///
/// What was written after the snapshot is gone, but versions must not come a
/// second time: workers drop commands whose token, a version, is lower than one
/// they have seen, and a node could take an old watch for unbroken. So versions
/// and lease numbers go on [`GAP`] later, and every watch has to read again.
///
/// # Errors
/// The archive is not whole, there is something at `path`, or it cannot be
/// written.
pub fn restore(archive: &Path, path: &Path) -> Result<Summary, ArchiveError> {
    let mut image = read(archive)?;
    image.marks.revision += GAP;
    image.marks.lease += GAP;
    image.marks.dropped = image.marks.revision;
    image.changes.clear();
    if path.exists() {
        return Err(ArchiveError::Exists(path.into()));
    }
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let io = |e| ArchiveError::Io(beside.clone(), e);
    if beside.exists() {
        std::fs::remove_file(&beside).map_err(io)?;
    }
    let mut disk = crate::Disk::at(&beside);
    disk.load()?;
    write_image(&mut disk, &image)?;
    drop(disk);
    std::fs::rename(&beside, path).map_err(|e| ArchiveError::Io(path.into(), e))?;
    Ok(Summary::of(&image))
}

/// Writes a whole image into empty storage.
///
/// # Errors
/// The storage refuses.
pub fn write_image(storage: &mut impl Storage, image: &Image) -> Result<(), StorageError> {
    let keys: Vec<_> = image.keys.iter().collect();
    let changes: Vec<_> = image.changes.iter().collect();
    let mut marks = image.marks;
    let mut batch = |part: Batch| {
        marks.batch += 1;
        let marks = marks;
        storage.write(&Batch { marks, ..part })
    };
    batch(Batch {
        leases: image.leases.iter().map(|(&i, &ms)| (i, Some(ms))).collect(),
        ..Batch::default()
    })?;
    for some in keys.chunks(GROUP) {
        batch(Batch {
            keys: some
                .iter()
                .map(|(n, k)| ((*n).clone(), Some((*k).clone())))
                .collect(),
            ..Batch::default()
        })?;
    }
    for some in changes.chunks(GROUP) {
        batch(Batch {
            changes: some.iter().map(|c| (*c).clone()).collect(),
            ..Batch::default()
        })?;
    }
    Ok(())
}
