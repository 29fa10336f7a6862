//! A simulated disk in memory whose power can fail at a numbered operation, for tests
//! and rehearsals. Synced data survives a power failure; of the unsynced writes, none,
//! all, or a torn part survives.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Unit of atomic writes: a sector survives a power failure entirely or not at all.
const SECTOR_BYTES: usize = 512;

/// Outcome of the writes that were not synced when the power fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedWrites {
    /// All unsynced writes are lost.
    Lost,
    /// All unsynced writes survive.
    Kept,
    /// A pseudo-random half of the unsynced sectors survives; the value is the seed.
    Torn(u64),
}

/// An operation since the last sync.
#[derive(Debug)]
enum Pending {
    /// A write of bytes at an offset.
    Write(u64, Vec<u8>),
    /// A change to a new length of the file.
    Length(u64),
}

#[derive(Debug, Default)]
struct DiskState {
    /// Contents that survive a power failure.
    synced: Vec<u8>,
    /// Contents that the process reads, with unsynced writes.
    visible: Vec<u8>,
    /// Writes and changes of length since the last sync, in order.
    pending: Vec<Pending>,
    /// Number of writes, syncs and changes of length so far.
    operations: u64,
    /// Number of the operation at which the power fails, and the outcome of unsynced writes.
    fail_at: Option<(u64, UnsyncedWrites)>,
    /// Number of openings; operations through an earlier opening fail.
    generation: u64,
    /// Whether the power failed since the disk was last opened.
    failed: bool,
    /// Whether the disk is without power; all operations fail until the power is back.
    power_off: bool,
    /// Whether writes fail because the disk is full.
    full: bool,
}

/// The simulated disk. Clones refer to the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

/// One opening of the disk, as a storage backend of `redb`. All operations fail once the
/// power has failed or the disk has been opened again.
#[derive(Debug)]
pub struct OpenDisk {
    disk: FaultyDisk,
    generation: u64,
}

fn write_at(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}

impl DiskState {
    fn fail(&mut self, unsynced_writes: UnsyncedWrites) {
        self.failed = true;
        // A xorshift generator: the same seed always gives the same outcome.
        let mut rng_state = match unsynced_writes {
            UnsyncedWrites::Torn(seed) => seed | 1,
            _ => 0,
        };
        let mut survives = || match unsynced_writes {
            UnsyncedWrites::Lost => false,
            UnsyncedWrites::Kept => true,
            UnsyncedWrites::Torn(_) => {
                rng_state ^= rng_state << 13;
                rng_state ^= rng_state >> 7;
                rng_state ^= rng_state << 17;
                rng_state & 1 == 1
            }
        };
        for pending_operation in std::mem::take(&mut self.pending) {
            match pending_operation {
                Pending::Length(new_len) if survives() => self.synced.resize(new_len as usize, 0),
                Pending::Length(_) => {}
                Pending::Write(offset, data) => {
                    for (i, sector) in data.chunks(SECTOR_BYTES).enumerate() {
                        if survives() {
                            write_at(&mut self.synced, offset + (i * SECTOR_BYTES) as u64, sector);
                        }
                    }
                }
            }
        }
    }

    /// Counts an operation. Returns an error if the disk has no power, or if the power
    /// fails at this operation.
    fn count_operation(&mut self, generation: u64) -> Result<()> {
        self.check_power(generation)?;
        self.operations += 1;
        if let Some((at, unsynced_writes)) = self.fail_at
            && self.operations >= at
        {
            self.fail(unsynced_writes);
            self.power_off = true;
            self.fail_at = None;
        }
        self.check_power(generation)
    }

    fn check_power(&self, generation: u64) -> Result<()> {
        if self.failed || generation != self.generation {
            return Err(Error::new(ErrorKind::BrokenPipe, "simulated power failure"));
        }
        Ok(())
    }
}

impl FaultyDisk {
    fn inner(&self) -> MutexGuard<'_, DiskState> {
        // A poisoned lock must not hide the first panic of a test.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the disk; operations through an earlier opening fail from now on. Of writes
    /// that are unsynced at this time, all survive. Without power, all operations fail
    /// until [`FaultyDisk::restore_power`] and another opening.
    pub fn open(&self) -> OpenDisk {
        let mut state = self.inner();
        if state.power_off {
            let (disk, generation) = (self.clone(), 0);
            return OpenDisk { disk, generation };
        }
        if !state.failed {
            let has_unsynced_writes = !state.pending.is_empty();
            state.fail(if has_unsynced_writes {
                UnsyncedWrites::Kept
            } else {
                UnsyncedWrites::Lost
            });
        }
        state.failed = false;
        state.generation += 1;
        state.visible = state.synced.clone();
        OpenDisk {
            disk: self.clone(),
            generation: state.generation,
        }
    }

    /// Schedules a power failure at the operation of this number. Writes, syncs and
    /// changes of length count, from 1 at the disk's creation. The disk has power until
    /// then.
    pub fn schedule_power_failure(&self, operation: u64, unsynced_writes: UnsyncedWrites) {
        let mut state = self.inner();
        state.power_off = false;
        state.fail_at = Some((operation, unsynced_writes));
    }

    /// Restores the power and cancels a scheduled power failure.
    pub fn restore_power(&self) {
        let mut state = self.inner();
        state.power_off = false;
        state.fail_at = None;
    }

    /// Whether the power has failed and has not been restored.
    pub fn is_power_off(&self) -> bool {
        self.inner().power_off
    }

    /// Number of writes, syncs and changes of length so far.
    pub fn operation_count(&self) -> u64 {
        self.inner().operations
    }

    /// Sets whether the disk is full. On a full disk, writes and increases of the length
    /// fail.
    pub fn set_full(&self, full: bool) {
        self.inner().full = full;
    }
}

impl redb::StorageBackend for OpenDisk {
    fn len(&self) -> Result<u64> {
        let state = self.disk.inner();
        state.check_power(self.generation)?;
        Ok(state.visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let state = self.disk.inner();
        state.check_power(self.generation)?;
        let start = offset as usize;
        let bytes = state
            .visible
            .get(start..start + out.len())
            .ok_or(ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        let mut state = self.disk.inner();
        state.count_operation(self.generation)?;
        if state.full && len as usize > state.visible.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        state.visible.resize(len as usize, 0);
        state.pending.push(Pending::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> Result<()> {
        let mut state = self.disk.inner();
        state.count_operation(self.generation)?;
        state.pending.clear();
        state.synced = state.visible.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let mut state = self.disk.inner();
        state.count_operation(self.generation)?;
        if state.full {
            return Err(ErrorKind::StorageFull.into());
        }
        write_at(&mut state.visible, offset, data);
        state.pending.push(Pending::Write(offset, data.to_vec()));
        Ok(())
    }
}
