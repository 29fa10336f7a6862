//! Quarantine of machines: a machine whose lease expires repeatedly gets no work for a pause
//! that doubles each time. It is stored for a successor, as is the state of machines' open
//! circuit breakers. Quarantine never stops running tasks.

use crate::core::circuit_breaker::CircuitState;
use crate::core::keys::LEADER_RECORDS_PREFIX;
use crate::core::pending_writes::PendingWrites;
use crate::types::{JobId, MachineId, TimeSpan, WallTime};
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
/// How long after its last missed lease the record of a machine without an open circuit is
/// kept.
const RECORD_RETENTION: TimeSpan = TimeSpan::millis(3_600_000);
/// Most jobs that are stored with an open circuit: a value of the store is limited.
const MAX_STORED_JOBS: usize = 16;

/// The failure record of a machine, in its stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct MachineRecord {
    /// How often the machine was silent for a whole lease.
    #[serde(rename = "n")]
    missed_leases: u32,
    /// When the machine last missed a lease; without a missed lease, when its circuit was
    /// last opened.
    #[serde(rename = "t")]
    last_missed: WallTime,
    /// Whether an earlier build drained the machine, without a time limit. Read as a circuit
    /// that opened at `last_missed`; written as false, since such a build would not end it.
    #[serde(rename = "d", default)]
    drained: bool,
    /// The machine's open circuit; `None`: its circuit is closed.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    circuit: Option<StoredCircuit>,
}

/// An open circuit, in its stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredCircuit {
    /// How often in a row the circuit was opened or a trial failed.
    #[serde(rename = "n")]
    openings: u32,
    /// When a task last failed on the machine.
    #[serde(rename = "t")]
    last_failure: WallTime,
    /// Jobs whose failures count against the machine.
    #[serde(rename = "j")]
    failed_jobs: Vec<JobId>,
}

/// What an earlier leader stored about a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedRecord {
    /// The machine.
    pub machine: MachineId,
    /// The machine's open circuit; `None`: its circuit was closed.
    pub circuit: Option<CircuitState>,
}

impl MachineRecord {
    /// A record without failures.
    fn new(wall: WallTime) -> MachineRecord {
        MachineRecord {
            missed_leases: 0,
            last_missed: wall,
            drained: false,
            circuit: None,
        }
    }

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
        self.circuit.is_some() || self.pause().is_some()
    }

    /// Whether the record is old enough to be removed.
    fn is_expired(&self, wall: WallTime) -> bool {
        wall.0 > self.last_missed.0 + RECORD_RETENTION.as_millis() && self.circuit.is_none()
    }

    /// The open circuit, also one that an earlier build stored as a drained machine.
    fn circuit_state(&self, wall: WallTime) -> Option<CircuitState> {
        let since = |at: WallTime| TimeSpan::millis(wall.0.saturating_sub(at.0));
        if let Some(circuit) = &self.circuit {
            return Some(CircuitState {
                openings: circuit.openings,
                since_last_failure: since(circuit.last_failure),
                failed_jobs: circuit.failed_jobs.clone(),
            });
        }
        self.drained.then(|| CircuitState {
            openings: 1,
            since_last_failure: since(self.last_missed),
            failed_jobs: Vec::new(),
        })
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

fn stored_circuit(state: &CircuitState, wall: WallTime) -> StoredCircuit {
    let jobs = state.failed_jobs.iter().take(MAX_STORED_JOBS);
    StoredCircuit {
        openings: state.openings,
        last_failure: WallTime(wall.0.saturating_sub(state.since_last_failure.as_millis())),
        failed_jobs: jobs.cloned().collect(),
    }
}

impl Quarantine {
    /// Loads a record that an earlier leader stored; `None` if `key` is not the key of such a
    /// record, or the record cannot be read.
    pub fn load(&mut self, key: &str, stored: &Value, wall: WallTime) -> Option<LoadedRecord> {
        let id = key
            .strip_prefix(LEADER_RECORDS_PREFIX)?
            .strip_prefix("m/")?;
        let mut record = MachineRecord::deserialize(stored).ok()?;
        let machine = MachineId::from(id);
        let circuit = record.circuit_state(wall);
        record.circuit = circuit.as_ref().map(|state| stored_circuit(state, wall));
        record.drained = false;
        self.records.insert(machine.clone(), record);
        Some(LoadedRecord { machine, circuit })
    }

    /// Records that a machine was silent for a whole lease. Returns the machine's new pause;
    /// `None`: the first missed lease is no sign of a fault, gives no pause and is not stored.
    pub fn record_missed_lease(
        &mut self,
        pending_writes: &mut PendingWrites,
        machine: &MachineId,
        wall: WallTime,
    ) -> Option<TimeSpan> {
        let new_record = MachineRecord::new(wall);
        let record = self.records.entry(machine.clone()).or_insert(new_record);
        record.missed_leases += 1;
        record.last_missed = wall;
        let pause = record.pause()?;
        store(pending_writes, machine, record);
        Some(pause)
    }

    /// Stores the state of a machine's circuit; `None`: it is closed.
    pub fn store_circuit(
        &mut self,
        pending_writes: &mut PendingWrites,
        machine: &MachineId,
        circuit: Option<&CircuitState>,
        wall: WallTime,
    ) {
        let new_record = MachineRecord::new(wall);
        let record = self.records.entry(machine.clone()).or_insert(new_record);
        record.circuit = circuit.map(|state| stored_circuit(state, wall));
        if record.is_stored() {
            store(pending_writes, machine, record);
        } else {
            pending_writes.delete(record_key(machine));
        }
    }

    /// Whether a machine gets no work now: because of a pause, or since its circuit is open.
    pub fn is_quarantined(&self, machine: &MachineId, wall: WallTime) -> bool {
        let has_open_circuit = self
            .records
            .get(machine)
            .is_some_and(|record| record.circuit.is_some());
        has_open_circuit || self.remaining_pause(machine, wall).is_some()
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

    /// The number of machines that have a pause or an open circuit now.
    pub fn quarantined_count(&self, wall: WallTime) -> usize {
        let machines = self.records.keys();
        machines
            .filter(|machine| self.is_quarantined(machine, wall))
            .count()
    }
}

#[cfg(test)]
mod tests;
