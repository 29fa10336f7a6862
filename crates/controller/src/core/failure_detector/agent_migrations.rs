//! Agents that recently sent their heartbeats here instead of to the leader. They
//! tell a leader that is gone from one whose port merely refuses connections.

use crate::types::{MachineId, Time, TimeSpan};
use std::collections::BTreeMap;

/// A refused connection says nothing alone: a controller without free sockets
/// refuses, and so does a packet filter. But agents that leave a leader did not
/// reach it either: this many of them, at all controllers that confirm a suspicion
/// together, tell the two apart.
pub(super) const MIGRATIONS_TO_CONFIRM: u32 = 3;

/// An agent counts for this long after its last heartbeat here.
const RECENT: TimeSpan = TimeSpan::millis(1500);

/// When each agent that left the leader last sent a heartbeat here.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentMigrations {
    last_seen: BTreeMap<MachineId, Time>,
}

impl AgentMigrations {
    /// Records a heartbeat of an agent that follows the leader.
    pub(super) fn record(&mut self, now: Time, machine: &MachineId) {
        let is_full = self.last_seen.len() >= MIGRATIONS_TO_CONFIRM as usize;
        if is_full && !self.last_seen.contains_key(machine) {
            self.last_seen.retain(|_, seen| now.since(*seen) <= RECENT);
        }
        self.last_seen.insert(machine.clone(), now);
    }

    /// How many agents migrated recently, up to [`MIGRATIONS_TO_CONFIRM`].
    pub(super) fn recent(&self, now: Time) -> u32 {
        let is_recent = |seen: &&Time| now.since(**seen) <= RECENT;
        let recent = self.last_seen.values().filter(is_recent).count();
        recent.min(MIGRATIONS_TO_CONFIRM as usize) as u32
    }

    pub(super) fn clear(&mut self) {
        self.last_seen.clear();
    }
}
