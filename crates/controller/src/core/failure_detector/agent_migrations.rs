//! Agents that recently sent their heartbeats to this controller instead of to the
//! leader. Their number distinguishes a leader that has stopped from a leader whose port
//! merely refuses connections.

use crate::types::{MachineId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Migrated agents that confirm a suspicion after a refused connection, counted at all
/// controllers that confirm the suspicion together. A refused connection alone proves
/// nothing: a controller without free sockets refuses connections, and so does a packet
/// filter. An agent migrates only if it did not reach the leader either.
pub(super) const MIGRATIONS_TO_CONFIRM: u32 = 3;

/// An agent counts as migrated for this long after its last heartbeat here.
const MIGRATION_WINDOW: TimeSpan = TimeSpan::millis(1500);

/// When each migrated agent last sent a heartbeat to this controller.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentMigrations {
    last_seen: BTreeMap<MachineId, Time>,
}

impl AgentMigrations {
    /// Records a heartbeat of an agent whose leader is the observed one.
    pub(super) fn record(&mut self, now: Time, machine: &MachineId) {
        let is_full = self.last_seen.len() >= MIGRATIONS_TO_CONFIRM as usize;
        if is_full && !self.last_seen.contains_key(machine) {
            self.last_seen
                .retain(|_, seen| now.since(*seen) <= MIGRATION_WINDOW);
        }
        self.last_seen.insert(machine.clone(), now);
    }

    /// How many agents migrated recently, up to [`MIGRATIONS_TO_CONFIRM`].
    pub(super) fn recent(&self, now: Time) -> u32 {
        let is_recent = |seen: &&Time| now.since(**seen) <= MIGRATION_WINDOW;
        let recent = self.last_seen.values().filter(is_recent).count();
        recent.min(MIGRATIONS_TO_CONFIRM as usize) as u32
    }

    pub(super) fn clear(&mut self) {
        self.last_seen.clear();
    }
}
