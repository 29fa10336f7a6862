//! A disk in memory whose power can fail at a numbered operation, for tests
//! and rehearsals. What was synced is there afterwards; of what was not,
//! nothing, all, or any torn part.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that a disk writes whole or not at all.
const SECTOR: usize = 512;

/// What is left of writes that were not synced when the power fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Nothing.
    Nothing,
    /// Everything.
    Everything,
    /// Any of their sectors, chosen by this seed.
    Torn(u64),
}

#[derive(Debug)]
enum Pending {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct Inner {
    synced: Vec<u8>,
    seen: Vec<u8>,
    pending: Vec<Pending>,
    operations: u64,
    cut_at: Option<(u64, Left)>,
    life: u64,
    dead: bool,
    /// No power: nothing works until it is back.
    off: bool,
    full: bool,
}

/// The disk. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct CutDisk(Arc<Mutex<Inner>>);

/// The disk as one process has it open; of no use once the power failed.
#[derive(Debug)]
pub struct Opened {
    disk: CutDisk,
    life: u64,
}

fn apply(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}

impl Inner {
    fn cut(&mut self, left: Left) {
        self.dead = true;
        // A small generator of its own: one seed, one outcome.
        let mut word = match left {
            Left::Torn(seed) => seed | 1,
            _ => 0,
        };
        let mut survives = || match left {
            Left::Nothing => false,
            Left::Everything => true,
            Left::Torn(_) => {
                word ^= word << 13;
                word ^= word >> 7;
                word ^= word << 17;
                word & 1 == 1
            }
        };
        for p in std::mem::take(&mut self.pending) {
            match p {
                Pending::Length(n) if survives() => self.synced.resize(n as usize, 0),
                Pending::Length(_) => {}
                Pending::Write(offset, data) => {
                    for (i, sector) in data.chunks(SECTOR).enumerate() {
                        if survives() {
                            apply(&mut self.synced, offset + (i * SECTOR) as u64, sector);
                        }
                    }
                }
            }
        }
    }

    /// Counts an operation; an error if it is the one at which power fails.
    fn step(&mut self, life: u64) -> Result<()> {
        self.alive(life)?;
        self.operations += 1;
        if let Some((at, left)) = self.cut_at
            && self.operations >= at
        {
            self.cut(left);
            self.off = true;
            self.cut_at = None;
        }
        self.alive(life)
    }

    fn alive(&self, life: u64) -> Result<()> {
        if self.dead || life != self.life {
            return Err(Error::new(ErrorKind::BrokenPipe, "the power is gone"));
        }
        Ok(())
    }
}

impl CutDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        // A panicking test must not hide behind a poisoned lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the disk; what an earlier life had open is cut off. Without power
    /// everything fails until [`CutDisk::power_on`].
    pub fn open(&self) -> Opened {
        let mut d = self.inner();
        if d.off {
            let (disk, life) = (self.clone(), 0);
            return Opened { disk, life };
        }
        if !d.dead {
            let unsynced = !d.pending.is_empty();
            d.cut(if unsynced {
                Left::Everything
            } else {
                Left::Nothing
            });
        }
        d.dead = false;
        d.life += 1;
        d.seen = d.synced.clone();
        Opened {
            disk: self.clone(),
            life: d.life,
        }
    }

    /// Lets the power fail at the operation of this number (writes, syncs and
    /// changes of length count, from 1 over the disk's life). Until then there
    /// is power.
    pub fn cut_at(&self, operation: u64, left: Left) {
        let mut d = self.inner();
        d.off = false;
        d.cut_at = Some((operation, left));
    }

    /// The power is back, and nothing is cut from here on.
    pub fn power_on(&self) {
        let mut d = self.inner();
        d.off = false;
        d.cut_at = None;
    }

    /// Whether the power has failed.
    pub fn is_off(&self) -> bool {
        self.inner().off
    }

    /// Operations so far.
    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    /// Lets every write fail for lack of room, or not.
    pub fn set_full(&self, full: bool) {
        self.inner().full = full;
    }
}

impl redb::StorageBackend for Opened {
    fn len(&self) -> Result<u64> {
        let d = self.disk.inner();
        d.alive(self.life)?;
        Ok(d.seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let d = self.disk.inner();
        d.alive(self.life)?;
        let from = offset as usize;
        let bytes = d
            .seen
            .get(from..from + out.len())
            .ok_or(ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        let mut d = self.disk.inner();
        d.step(self.life)?;
        if d.full && len as usize > d.seen.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        d.seen.resize(len as usize, 0);
        d.pending.push(Pending::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> Result<()> {
        let mut d = self.disk.inner();
        d.step(self.life)?;
        d.pending.clear();
        d.synced = d.seen.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let mut d = self.disk.inner();
        d.step(self.life)?;
        if d.full {
            return Err(ErrorKind::StorageFull.into());
        }
        apply(&mut d.seen, offset, data);
        d.pending.push(Pending::Write(offset, data.to_vec()));
        Ok(())
    }
}
