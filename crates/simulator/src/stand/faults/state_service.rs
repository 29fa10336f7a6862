//! Faults of the state service: outages, limits, a full disk, lost power.

use super::{Heal, Stand, Store};
use crate::script::LastWrite;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_kvstore::faulty_disk::UnsyncedWrites;
use pebblefold_kvstore::{ClientId, Limits};
use rand::RngExt;

impl Stand {
    pub(super) fn set_state_limits(&mut self, now: Time, limits: Limits) {
        self.state_limits = limits;
        if let Some(state) = &mut self.state {
            state.set_limits(now, limits);
        }
    }

    pub(super) fn state_out(&mut self, now: Time, for_s: f64, heal: Heal) {
        if let Some(s) = &mut self.state {
            s.set_outage(now, true);
        }
        self.heal_at(now + TimeSpan::secs(for_s), heal);
    }

    /// The disk is full for a while. A real disk is not filled for a rehearsal: the
    /// service does what it would do.
    pub(super) fn fill_state_disk(&mut self, now: Time, for_s: f64) {
        match &self.store {
            Store::Memory(disk) => {
                disk.set_full(true);
                self.heal_at(now + TimeSpan::secs(for_s), Heal::StateFull);
            }
            Store::File(_) => self.state_out(now, for_s, Heal::StateOut),
        }
    }

    /// Ends the service: at once, or on a disk in memory at one of its next operations if
    /// something of its last write stays.
    pub(super) fn kill_state(&mut self, now: Time, down: TimeSpan, last_write: LastWrite) {
        let Store::Memory(disk) = &self.store else {
            return self.end_state(now, down);
        };
        let left = match last_write {
            LastWrite::Nothing => return self.end_state(now, down),
            LastWrite::Everything => UnsyncedWrites::Kept,
            LastWrite::Torn => UnsyncedWrites::Torn(self.rng.random()),
        };
        let operation = disk.operation_count() + self.rng.random_range(1..6);
        disk.schedule_power_failure(operation, left);
        self.dying = Some(down);
    }

    /// Makes the service refuse these controllers, or serve them again.
    pub(super) fn set_refused(&mut self, nodes: &[usize], refused: bool) {
        let Some(state) = &mut self.state else {
            return;
        };
        for node in nodes {
            state.set_client_refused(ClientId(*node as u32), refused);
        }
    }
}
