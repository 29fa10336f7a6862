//! The part of [`Intents`] for terminations: from the decision until no old list or heartbeat
//! can name the terminated machines any more. Makes no requests itself.

use super::Intents;
use super::records::{IntentKey, TerminationRecord, to_value};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{MachineId, Time, TimeSpan, WallTime};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::iter::Peekable;

/// Most machines named in one call to terminate.
pub const MAX_MACHINES_PER_TERMINATION: usize = 100;

/// Most decided and not yet requested terminations where work waits for the proof that its
/// machine is gone.
const MAX_UNREQUESTED_URGENT: usize = 4;

/// Most decided and not yet requested terminations where no work waits.
const MAX_UNREQUESTED: usize = 1;

/// Bytes of a termination record besides its reasons and machines.
const RECORD_FRAMING_BYTES: usize = 64;

/// Bytes of a reason in a termination record besides its text.
const REASON_FRAMING_BYTES: usize = 8;

/// Bytes of a machine in a termination record besides its name.
const MACHINE_FRAMING_BYTES: usize = 4;

/// The intent to terminate machines.
#[derive(Clone, Debug)]
pub(super) struct TerminationIntent {
    pub(super) machines: Vec<MachineId>,
    /// Whether the record is stored, so that the termination may be requested.
    pub(super) stored: bool,
    /// Whether a call to terminate some of the machines was made.
    requested: bool,
    /// When all its machines were confirmed as gone; `None`: not yet.
    pub(super) confirmed_at: Option<Time>,
}

impl Intents {
    /// Loads an earlier leader's intent to terminate, which that leader may have requested.
    /// Returns the intent's machines.
    pub(super) fn load_termination(&mut self, name: &str, stored: &Value) -> Vec<MachineId> {
        let Ok(record) = TerminationRecord::deserialize(stored) else {
            return Vec::new();
        };
        let by_reason = record.machines_by_reason.into_values();
        let machines: Vec<MachineId> = by_reason.flatten().collect();
        for machine in &machines {
            self.terminating.insert(machine.clone(), None);
        }
        let intent = TerminationIntent {
            machines: machines.clone(),
            stored: true,
            requested: true,
            confirmed_at: None,
        };
        self.terminations.insert(name.into(), intent);
        machines
    }

    /// Whether one more termination may be decided: only once all existing ones have been
    /// requested. Calls and writes are scarce, so machines to terminate meanwhile are
    /// grouped. `is_urgent`: work waits for the proof that its machine is gone; then a few
    /// more terminations may be decided.
    pub fn may_terminate(&self, is_urgent: bool) -> bool {
        let unrequested = self.terminations.values().filter(|i| !i.requested);
        let limit = match is_urgent {
            true => MAX_UNREQUESTED_URGENT,
            false => MAX_UNREQUESTED,
        };
        unrequested.count() < limit
    }

    /// Records that the termination of these machines is being requested.
    pub fn mark_termination_requested(&mut self, machines: &[MachineId]) {
        for intent in self.terminations.values_mut() {
            intent.requested |= intent.machines.iter().any(|m| machines.contains(m));
        }
    }

    /// Adds an intent to terminate machines, each with its reason, and queues the intent's
    /// record. Takes as many machines as fit into one record. The decision is final.
    pub fn terminate(
        &mut self,
        machines: impl Iterator<Item = (MachineId, &'static str)>,
        wall: WallTime,
    ) {
        let machines = machines.map(|(machine, reason)| (machine, reason.to_string()));
        self.add_termination(&mut machines.peekable(), wall);
    }

    /// Replaces an intent that is neither stored nor requested, and whose record `stored`
    /// under `key` is too large, by intents with smaller records. Returns whether `key` is
    /// a termination intent's.
    pub fn divide_termination(&mut self, key: &str, stored: &Value) -> bool {
        let Some(IntentKey::Termination(name)) = IntentKey::parse(key) else {
            return false;
        };
        let Ok(record) = TerminationRecord::deserialize(stored) else {
            return false;
        };
        self.terminations.remove(name);
        let by_reason = record.machines_by_reason.into_iter();
        let mut machines = by_reason
            .flat_map(|(reason, machines)| machines.into_iter().map(move |m| (m, reason.clone())))
            .peekable();
        while machines.peek().is_some() {
            self.add_termination(&mut machines, record.decided_at);
        }
        true
    }

    /// Adds an intent to terminate the next of these machines, as many as fit into one
    /// record and at least one.
    fn add_termination(
        &mut self,
        machines: &mut Peekable<impl Iterator<Item = (MachineId, String)>>,
        wall: WallTime,
    ) {
        let mut machines_by_reason: BTreeMap<String, Vec<MachineId>> = BTreeMap::new();
        let mut chosen: Vec<MachineId> = Vec::new();
        let mut bytes = RECORD_FRAMING_BYTES;
        while let Some((machine, reason)) = machines.next_if(|(machine, reason)| {
            bytes += machine.as_str().len() + MACHINE_FRAMING_BYTES;
            if !machines_by_reason.contains_key(reason) {
                bytes += reason.len() + REASON_FRAMING_BYTES;
            }
            let has_room = chosen.len() < MAX_MACHINES_PER_TERMINATION && bytes <= self.value_bytes;
            has_room || chosen.is_empty()
        }) {
            self.terminating.insert(machine.clone(), None);
            chosen.push(machine.clone());
            machines_by_reason.entry(reason).or_default().push(machine);
        }
        if chosen.is_empty() {
            return;
        }
        let name = self.next_name();
        let record = TerminationRecord {
            decided_at: wall,
            machines_by_reason,
        };
        let key = IntentKey::Termination(&name).to_key();
        self.pending_writes.put(key, to_value(&record));
        let intent = TerminationIntent {
            machines: chosen,
            stored: false,
            requested: false,
            confirmed_at: None,
        };
        self.terminations.insert(name, intent);
    }

    /// The machines to name in the next call to terminate, at most
    /// [`MAX_MACHINES_PER_TERMINATION`]; empty if there are none.
    pub fn next_termination(&self) -> Vec<MachineId> {
        let is_ready = |intent: &&TerminationIntent| {
            intent.confirmed_at.is_none()
                && (intent.stored || !failpoints::enforced(SafetyCheck::IntentBeforeAct))
        };
        self.terminations
            .values()
            .filter(is_ready)
            .flat_map(|intent| &intent.machines)
            .filter(|machine| !self.is_terminated(machine))
            .take(MAX_MACHINES_PER_TERMINATION)
            .cloned()
            .collect()
    }

    /// Records that the cloud confirmed the termination of these machines.
    pub fn mark_terminated(&mut self, machines: &[MachineId], now: Time) {
        for machine in machines {
            self.terminating.insert(machine.clone(), Some(now));
        }
        let terminating = &self.terminating;
        let is_terminated = |machine: &MachineId| matches!(terminating.get(machine), Some(Some(_)));
        for intent in self.terminations.values_mut() {
            if intent.confirmed_at.is_none() && intent.machines.iter().all(is_terminated) {
                intent.confirmed_at = Some(now);
            }
        }
    }

    /// Whether a termination of a machine was decided, by this leader or an earlier one,
    /// confirmed or not.
    pub fn is_terminating(&self, machine: &MachineId) -> bool {
        self.terminating.contains_key(machine)
    }

    /// Whether the termination of a machine was confirmed recently, so that a list or heartbeat
    /// that names the machine is old.
    pub fn is_terminated(&self, machine: &MachineId) -> bool {
        matches!(self.terminating.get(machine), Some(Some(_)))
    }

    /// Removes terminations that were confirmed longer than `retention` ago.
    pub(super) fn settle_terminations(&mut self, now: Time, retention: TimeSpan) {
        let is_old = |confirmed_at: Time| now.since(confirmed_at) > retention;
        let settled: Vec<String> = self
            .terminations
            .iter()
            .filter(|(_, intent)| intent.confirmed_at.is_some_and(is_old))
            .map(|(name, _)| name.clone())
            .collect();
        for name in settled {
            let intent = self.terminations.remove(&name);
            for machine in intent.into_iter().flat_map(|intent| intent.machines) {
                self.terminating.remove(&machine);
            }
            let key = IntentKey::Termination(&name).to_key();
            self.pending_writes.delete(key);
        }
    }
}
