//! Quarantine of machines: a machine whose lease expires repeatedly gets no work for a pause
//! that doubles each time, and a machine on which several jobs failed is drained. Both are
//! stored for a successor. Quarantine never stops running tasks.

use crate::core::keys::LEADER_RECORDS_PREFIX;
use crate::core::pending_writes::PendingWrites;
use crate::types::{MachineId, TimeSpan, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The pause after a machine's second missed lease; it doubles with each further one.
const INITIAL_PAUSE: TimeSpan = TimeSpan::millis(60_000);
/// The number of missed leases that results in the first pause: a single missed lease is no
/// sign of a fault.
const MISSES_BEFORE_PAUSE: u32 = 2;
/// Most times that the pause is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// How long after its last missed lease the record of a machine that is not drained is kept.
const RECORD_RETENTION: TimeSpan = TimeSpan::millis(3_600_000);

/// The failure record of a machine, in its stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct MachineRecord {
    /// How often the machine was silent for a whole lease.
    #[serde(rename = "n")]
    missed_leases: u32,
    /// When the machine last missed a lease; without a missed lease, when it was drained.
    #[serde(rename = "t")]
    last_missed: WallTime,
    /// Whether the machine is drained: it gets no more work, without a time limit.
    #[serde(rename = "d", default)]
    drained: bool,
}

impl MachineRecord {
    /// How long the machine gets no work after its last missed lease; `None`: there is no
    /// pause.
    fn pause(&self) -> Option<TimeSpan> {
        let doublings = self.missed_leases.checked_sub(MISSES_BEFORE_PAUSE)?;
        Some(TimeSpan(
            INITIAL_PAUSE.0 << doublings.min(MAX_PAUSE_DOUBLINGS),
        ))
    }

    /// Whether the record is written to the key-value store: a single missed lease is not.
    fn is_stored(&self) -> bool {
        self.drained || self.pause().is_some()
    }

    /// Whether the record is old enough to be removed.
    fn is_expired(&self, wall: WallTime) -> bool {
        wall.0 > self.last_missed.0 + RECORD_RETENTION.as_millis() && !self.drained
    }
}

/// The failure records of all machines that have one.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<MachineId, MachineRecord>,
}

fn record_key(machine: &MachineId) -> String {
    format!("{LEADER_RECORDS_PREFIX}m/{machine}")
}

fn store(pending_writes: &mut PendingWrites, machine: &MachineId, record: &MachineRecord) {
    if let Ok(value) = serde_json::to_value(record) {
        pending_writes.put(record_key(machine), value);
    }
}

impl Quarantine {
    /// Loads a record that an earlier leader stored. Returns the machine, and whether it is
    /// drained; `None` if `key` is not the key of such a record, or the record cannot be read.
    pub fn load(&mut self, key: &str, stored: &Value) -> Option<(MachineId, bool)> {
        let id = key
            .strip_prefix(LEADER_RECORDS_PREFIX)?
            .strip_prefix("m/")?;
        let record = MachineRecord::deserialize(stored).ok()?;
        let id = MachineId::from(id);
        let drained = record.drained;
        self.records.insert(id.clone(), record);
        Some((id, drained))
    }

    /// Records that a machine was silent for a whole lease. Returns the machine's new pause;
    /// `None`: the first missed lease is no sign of a fault, gives no pause and is not stored.
    pub fn record_missed_lease(
        &mut self,
        pending_writes: &mut PendingWrites,
        machine: &MachineId,
        wall: WallTime,
    ) -> Option<TimeSpan> {
        let new_record = MachineRecord {
            missed_leases: 0,
            last_missed: wall,
            drained: false,
        };
        let record = self.records.entry(machine.clone()).or_insert(new_record);
        record.missed_leases += 1;
        record.last_missed = wall;
        let pause = record.pause()?;
        store(pending_writes, machine, record);
        Some(pause)
    }

    /// Records that a machine is drained: it gets no more work.
    pub fn drain(
        &mut self,
        pending_writes: &mut PendingWrites,
        machine: &MachineId,
        wall: WallTime,
    ) {
        let new_record = MachineRecord {
            missed_leases: 0,
            last_missed: wall,
            drained: false,
        };
        let record = self.records.entry(machine.clone()).or_insert(new_record);
        record.drained = true;
        store(pending_writes, machine, record);
    }

    /// Whether a machine gets no work now, because of a pause or because it is drained.
    pub fn is_quarantined(&self, machine: &MachineId, wall: WallTime) -> bool {
        let is_drained = self.records.get(machine).is_some_and(|r| r.drained);
        is_drained || self.remaining_pause(machine, wall).is_some()
    }

    /// The remaining time of a machine's pause; `None`: it has no pause, or the pause is over.
    pub fn remaining_pause(&self, machine: &MachineId, wall: WallTime) -> Option<TimeSpan> {
        let record = self.records.get(machine)?;
        let until = record.last_missed.0 + record.pause()?.as_millis();
        let remaining = TimeSpan::millis(until.saturating_sub(wall.0));
        (remaining > TimeSpan::ZERO).then_some(remaining)
    }

    /// Removes the records of machines that no longer exist, and expired records. `exists`:
    /// whether a machine exists.
    pub fn forget_old(
        &mut self,
        pending_writes: &mut PendingWrites,
        wall: WallTime,
        exists: impl Fn(&MachineId) -> bool,
    ) {
        self.records.retain(|machine, record| {
            let keep = exists(machine) && !record.is_expired(wall);
            if !keep && record.is_stored() {
                pending_writes.delete(record_key(machine));
            }
            keep
        });
    }

    /// The number of machines that are quarantined or drained now.
    pub fn quarantined_count(&self, wall: WallTime) -> usize {
        let machines = self.records.keys();
        machines
            .filter(|machine| self.is_quarantined(machine, wall))
            .count()
    }
}

#[cfg(test)]
mod tests;
