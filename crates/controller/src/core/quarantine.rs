//! Quarantine of machines: one whose lease expires again and again gets no work for a
//! pause that doubles, and one on which several jobs failed is drained. A successor
//! remembers both. Never stops what runs on a machine.

use crate::core::keys::LEADER_RECORDS;
use crate::core::pending_writes::PendingWrites;
use crate::types::{MachineId, TimeSpan, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The pause after a machine's second missed lease; it doubles with each further one.
const INITIAL_PAUSE: TimeSpan = TimeSpan::millis(60_000);
/// The missed lease that gives the first pause: a single one is no sign of a fault.
const FIRST_PAUSED_MISS: u32 = 2;
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 5;
/// A machine whose last missed lease is older than this has a clean record again.
const FORGOTTEN_AFTER: TimeSpan = TimeSpan::millis(3_600_000);

/// What is remembered of a machine, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct MachineRecord {
    /// Times it was silent for as long as its lease.
    #[serde(rename = "n")]
    missed_leases: u32,
    /// When it last was, or when it was first drained.
    #[serde(rename = "t")]
    last_missed: WallTime,
    /// Whether it is to get no work at all.
    #[serde(rename = "d", default)]
    drained: bool,
}

impl MachineRecord {
    /// How long it gets no work after its last missed lease; `None`: not at all.
    fn pause(&self) -> Option<TimeSpan> {
        let doublings = self.missed_leases.checked_sub(FIRST_PAUSED_MISS)?;
        Some(TimeSpan(INITIAL_PAUSE.0 << doublings.min(MAX_DOUBLINGS)))
    }

    /// Whether it is in the key-value store.
    fn is_stored(&self) -> bool {
        self.drained || self.pause().is_some()
    }

    fn is_forgotten(&self, wall: WallTime) -> bool {
        wall.0 > self.last_missed.0 + FORGOTTEN_AFTER.as_millis() && !self.drained
    }
}

/// The machines that are remembered.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<MachineId, MachineRecord>,
}

fn record_key(machine: &MachineId) -> String {
    format!("{LEADER_RECORDS}m/{machine}")
}

fn store(pending_writes: &mut PendingWrites, machine: &MachineId, record: &MachineRecord) {
    if let Ok(value) = serde_json::to_value(record) {
        pending_writes.put(record_key(machine), value);
    }
}

impl Quarantine {
    /// Takes over a stored record. Returns the machine, and whether it is drained;
    /// `None` if `key` is no record of a machine or cannot be read.
    pub fn load(&mut self, key: &str, stored: &Value) -> Option<(MachineId, bool)> {
        let id = key.strip_prefix(LEADER_RECORDS)?.strip_prefix("m/")?;
        let record = MachineRecord::deserialize(stored).ok()?;
        let id = MachineId::from(id);
        let drained = record.drained;
        self.records.insert(id.clone(), record);
        Some((id, drained))
    }

    /// Records that a machine was silent for as long as its lease. Returns its pause.
    /// The first time is no sign of a fault, and is not stored.
    pub fn record_missed_lease(
        &mut self,
        pending_writes: &mut PendingWrites,
        machine: &MachineId,
        wall: WallTime,
    ) -> Option<TimeSpan> {
        let clean = MachineRecord {
            missed_leases: 0,
            last_missed: wall,
            drained: false,
        };
        let record = self.records.entry(machine.clone()).or_insert(clean);
        record.missed_leases += 1;
        record.last_missed = wall;
        let pause = record.pause()?;
        store(pending_writes, machine, record);
        Some(pause)
    }

    /// Records that a machine is to get no work any more.
    pub fn drain(
        &mut self,
        pending_writes: &mut PendingWrites,
        machine: &MachineId,
        wall: WallTime,
    ) {
        let clean = MachineRecord {
            missed_leases: 0,
            last_missed: wall,
            drained: false,
        };
        let record = self.records.entry(machine.clone()).or_insert(clean);
        record.drained = true;
        store(pending_writes, machine, record);
    }

    /// Whether a machine gets no work now.
    pub fn is_quarantined(&self, machine: &MachineId, wall: WallTime) -> bool {
        let is_drained = self.records.get(machine).is_some_and(|r| r.drained);
        is_drained || self.pause_left(machine, wall).is_some()
    }

    /// What is left of a machine's pause.
    pub fn pause_left(&self, machine: &MachineId, wall: WallTime) -> Option<TimeSpan> {
        let record = self.records.get(machine)?;
        let until = record.last_missed.0 + record.pause()?.as_millis();
        let left = TimeSpan::millis(until.saturating_sub(wall.0));
        (left > TimeSpan::ZERO).then_some(left)
    }

    /// Forgets machines that no longer exist, and old missed leases.
    pub fn forget_old(
        &mut self,
        pending_writes: &mut PendingWrites,
        wall: WallTime,
        exists: impl Fn(&MachineId) -> bool,
    ) {
        self.records.retain(|machine, record| {
            let keep = exists(machine) && !record.is_forgotten(wall);
            if !keep && record.is_stored() {
                pending_writes.delete(record_key(machine));
            }
            keep
        });
    }

    /// How many machines get no work now.
    pub fn quarantined_count(&self, wall: WallTime) -> usize {
        let machines = self.records.keys();
        machines
            .filter(|machine| self.is_quarantined(machine, wall))
            .count()
    }
}

#[cfg(test)]
mod tests;
