//! Machines put aside: one that falls silent with its lease again and again
//! gets no work for a pause that doubles, and one on which several jobs failed
//! gets none at all. A successor remembers both.

use crate::core::keys::LEADER_RECORDS;
use crate::core::pending_writes::PendingWrites;
use crate::types::{MachineId, TimeSpan, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The pause after a machine's second strike; it doubles with each further one.
const PAUSE: TimeSpan = TimeSpan::millis(60_000);
/// Most doublings.
const MOST_DOUBLINGS: u32 = 5;
/// Strikes older than this are forgotten.
const FORGOTTEN: TimeSpan = TimeSpan::millis(3_600_000);

/// What is remembered of a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Mark {
    /// Times it fell silent for as long as its lease.
    n: u32,
    /// When it last did.
    t: WallTime,
    /// Whether it is to get no work at all.
    #[serde(default)]
    d: bool,
}

/// The machines that are remembered.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    marks: BTreeMap<MachineId, Mark>,
}

fn key(m: &MachineId) -> String {
    format!("{LEADER_RECORDS}m/{m}")
}

fn store(pending_writes: &mut PendingWrites, m: &MachineId, mark: &Mark) {
    if let Ok(value) = serde_json::to_value(mark) {
        pending_writes.put(key(m), value);
    }
}

impl Quarantine {
    /// Takes over a stored mark. Returns the machine, and whether it is to get
    /// no work at all.
    pub fn load(&mut self, at: &str, stored: &Value) -> Option<(MachineId, bool)> {
        let id = at.strip_prefix(LEADER_RECORDS)?.strip_prefix("m/")?;
        let mark = Mark::deserialize(stored).ok()?;
        let id = MachineId::from(id);
        let drained = mark.d;
        self.marks.insert(id.clone(), mark);
        Some((id, drained))
    }

    /// A machine was silent for as long as its lease. Returns its pause. A
    /// first time is no sign, and is not stored.
    pub fn strike(
        &mut self,
        pending_writes: &mut PendingWrites,
        m: &MachineId,
        wall: WallTime,
    ) -> Option<TimeSpan> {
        let mark = self.marks.entry(m.clone()).or_insert(Mark {
            n: 0,
            t: wall,
            d: false,
        });
        (mark.n, mark.t) = (mark.n + 1, wall);
        let pause = mark.pause()?;
        store(pending_writes, m, mark);
        Some(pause)
    }

    /// A machine is to get no work any more.
    pub fn drain(&mut self, pending_writes: &mut PendingWrites, m: &MachineId, wall: WallTime) {
        let mark = self.marks.entry(m.clone()).or_insert(Mark {
            n: 0,
            t: wall,
            d: true,
        });
        mark.d = true;
        store(pending_writes, m, mark);
    }

    /// Whether a machine gets no work now.
    pub fn is_quarantined(&self, m: &MachineId, wall: WallTime) -> bool {
        self.marks.get(m).is_some_and(|k| k.d) || self.pause_left(m, wall).is_some()
    }

    /// What is left of a machine's pause.
    pub fn pause_left(&self, m: &MachineId, wall: WallTime) -> Option<TimeSpan> {
        let mark = self.marks.get(m)?;
        let until = mark.t.0 + mark.pause()?.as_millis();
        let left = TimeSpan::millis(until.saturating_sub(wall.0));
        (left > TimeSpan::ZERO).then_some(left)
    }

    /// Forgets machines that are not there any more, and old strikes.
    pub fn tend(
        &mut self,
        pending_writes: &mut PendingWrites,
        wall: WallTime,
        there: impl Fn(&MachineId) -> bool,
    ) {
        self.marks.retain(|m, k| {
            let old = wall.0 > k.t.0 + FORGOTTEN.as_millis() && !k.d;
            let keep = there(m) && !old;
            if !keep && (k.d || k.pause().is_some()) {
                pending_writes.delete(key(m));
            }
            keep
        });
    }

    /// How many machines get no work now.
    pub fn count(&self, wall: WallTime) -> usize {
        let all = self.marks.keys();
        all.filter(|m| self.is_quarantined(m, wall)).count()
    }
}

impl Mark {
    fn pause(&self) -> Option<TimeSpan> {
        let doublings = self.n.checked_sub(2)?.min(MOST_DOUBLINGS);
        Some(TimeSpan(PAUSE.0 << doublings))
    }
}

#[cfg(test)]
mod tests;
