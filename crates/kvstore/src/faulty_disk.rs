//! A disk in memory whose power can fail at a numbered operation, for tests
//! and rehearsals. What was synced is there afterwards; of what was not,
//! nothing, all, or any torn part.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that a disk writes whole or not at all.
const SECTOR: usize = 512;

/// What becomes of writes that were not synced when the power fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedWrites {
    /// They are lost.
    Lost,
    /// They got there all the same.
    Kept,
    /// Some of their sectors got there, chosen by this seed.
    Torn(u64),
}

#[derive(Debug)]
enum Pending {
    /// Bytes at an offset.
    Write(u64, Vec<u8>),
    /// A new length of the file.
    Length(u64),
}

#[derive(Debug, Default)]
struct DiskState {
    /// What a power failure cannot take back.
    synced: Vec<u8>,
    /// What the process that has it open reads.
    visible: Vec<u8>,
    /// Writes since the last sync, in order.
    pending: Vec<Pending>,
    /// Writes, syncs and changes of length so far.
    operations: u64,
    /// The operation at which the power fails.
    fail_at: Option<(u64, UnsyncedWrites)>,
    /// Counts openings; an older one is of no use.
    generation: u64,
    /// Whether the power failed since it was last opened.
    failed: bool,
    /// No power: nothing works until it is back.
    power_off: bool,
    /// Whether writes fail for lack of room.
    full: bool,
}

/// The disk. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

/// The disk as one process has it open; of no use once the power failed.
#[derive(Debug)]
pub struct OpenDisk {
    disk: FaultyDisk,
    generation: u64,
}

fn apply(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}

impl DiskState {
    fn fail(&mut self, left: UnsyncedWrites) {
        self.failed = true;
        // A small generator of its own: one seed, one outcome.
        let mut word = match left {
            UnsyncedWrites::Torn(seed) => seed | 1,
            _ => 0,
        };
        let mut survives = || match left {
            UnsyncedWrites::Lost => false,
            UnsyncedWrites::Kept => true,
            UnsyncedWrites::Torn(_) => {
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
    fn count_operation(&mut self, generation: u64) -> Result<()> {
        self.check_power(generation)?;
        self.operations += 1;
        if let Some((at, left)) = self.fail_at
            && self.operations >= at
        {
            self.fail(left);
            self.power_off = true;
            self.fail_at = None;
        }
        self.check_power(generation)
    }

    fn check_power(&self, generation: u64) -> Result<()> {
        if self.failed || generation != self.generation {
            return Err(Error::new(ErrorKind::BrokenPipe, "the power is gone"));
        }
        Ok(())
    }
}

impl FaultyDisk {
    fn inner(&self) -> MutexGuard<'_, DiskState> {
        // A panicking test must not hide behind a poisoned lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the disk; what an earlier life had open is cut off. Without power
    /// everything fails until [`FaultyDisk::power_on`].
    pub fn open(&self) -> OpenDisk {
        let mut d = self.inner();
        if d.power_off {
            let (disk, generation) = (self.clone(), 0);
            return OpenDisk { disk, generation };
        }
        if !d.failed {
            let unsynced = !d.pending.is_empty();
            d.fail(if unsynced {
                UnsyncedWrites::Kept
            } else {
                UnsyncedWrites::Lost
            });
        }
        d.failed = false;
        d.generation += 1;
        d.visible = d.synced.clone();
        OpenDisk {
            disk: self.clone(),
            generation: d.generation,
        }
    }

    /// Lets the power fail at the operation of this number (writes, syncs and
    /// changes of length count, from 1 over the disk's life). Until then there
    /// is power.
    pub fn fail_at(&self, operation: u64, left: UnsyncedWrites) {
        let mut d = self.inner();
        d.power_off = false;
        d.fail_at = Some((operation, left));
    }

    /// The power is back, and nothing is cut from here on.
    pub fn power_on(&self) {
        let mut d = self.inner();
        d.power_off = false;
        d.fail_at = None;
    }

    /// Whether the power has failed.
    pub fn is_off(&self) -> bool {
        self.inner().power_off
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

impl redb::StorageBackend for OpenDisk {
    fn len(&self) -> Result<u64> {
        let d = self.disk.inner();
        d.check_power(self.generation)?;
        Ok(d.visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let d = self.disk.inner();
        d.check_power(self.generation)?;
        let from = offset as usize;
        let bytes = d
            .visible
            .get(from..from + out.len())
            .ok_or(ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        let mut d = self.disk.inner();
        d.count_operation(self.generation)?;
        if d.full && len as usize > d.visible.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        d.visible.resize(len as usize, 0);
        d.pending.push(Pending::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> Result<()> {
        let mut d = self.disk.inner();
        d.count_operation(self.generation)?;
        d.pending.clear();
        d.synced = d.visible.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let mut d = self.disk.inner();
        d.count_operation(self.generation)?;
        if d.full {
            return Err(ErrorKind::StorageFull.into());
        }
        apply(&mut d.visible, offset, data);
        d.pending.push(Pending::Write(offset, data.to_vec()));
        Ok(())
    }
}
