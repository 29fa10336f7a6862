//! Backfill: what other work may use of a machine that is reserved for a gang. Changes
//! no reservation.
//!
//! The rule is that of EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System",
//! 1995): work may go ahead of a reservation if by its estimate it is over before the
//! reserved start, or if it takes only what the gang leaves.

use super::SchedulingCycle;
use super::candidates::PlacementScope;
use super::request::PlacementRequest;
use crate::types::{JobId, Resources, Time, TimeSpan};

/// A machine that is reserved for a gang.
#[derive(Clone, Debug)]
pub struct ReservedRow {
    /// The gang's job.
    pub holder: JobId,
    /// When the whole gang is predicted to begin.
    pub starts_at: Time,
    /// By when other work has to be over: the predicted start, but never later than the
    /// one that was predicted first. Work that outlasts its estimate delays the gang
    /// once; what is predicted anew after that lets no further work in.
    pub backfill_until: Time,
    /// What the gang leaves of the machine once it has begun.
    pub spare: Resources,
}

impl SchedulingCycle<'_> {
    /// Whether a row is not reserved for another job.
    pub fn may_use(&self, row: usize, job: &JobId) -> bool {
        self.reservations
            .get(&row)
            .is_none_or(|reserved| reserved.holder == *job)
    }

    /// What a request may use of a row now.
    pub(super) fn usable(&self, request: &PlacementRequest, row: usize) -> Resources {
        let free = self.rows[row].free;
        match self.reservations.get(&row) {
            Some(reserved) if self.would_delay(request, row, reserved) => {
                free.least(&reserved.spare)
            }
            _ => free,
        }
    }

    /// Takes what a task of a request uses of a reserved row from what is spare there.
    pub(super) fn take_spare(&mut self, request: &PlacementRequest, row: usize) {
        let delays = self
            .reservations
            .get(&row)
            .is_some_and(|reserved| self.would_delay(request, row, reserved));
        if let Some(reserved) = self.reservations.get_mut(&row).filter(|_| delays) {
            reserved.spare -= request.need;
        }
    }

    /// Whether a task of a request could still be there when the row's holder begins.
    fn would_delay(&self, request: &PlacementRequest, row: usize, reserved: &ReservedRow) -> bool {
        if reserved.holder == request.job {
            return false;
        }
        let Some(run_time) = request.run_time else {
            return true;
        };
        // The tasks of a gang begin with the last of them.
        let gang_wait = match request.gang {
            true => self.parameters.max_fetch_skew,
            false => TimeSpan::ZERO,
        };
        let fetch = self.fetch_time(request, &self.rows[row]);
        let run_time = run_time.scaled(self.parameters.backfill_margin);
        let over_at = self.parameters.now + fetch + gang_wait + run_time;
        over_at > reserved.backfill_until
    }

    /// Notes a request that finds no room but what is reserved for others. Gangs that
    /// reserve machines themselves wait their turn.
    pub(super) fn note_held_back(&mut self, request: &PlacementRequest, room: usize) {
        if request.gang && request.aged {
            return;
        }
        let is_reserved_room = |&row: &usize| {
            request.need.fits(&self.rows[row].free)
                && request.allows(&self.rows[row])
                && request.zone_room(&self.rows[row].zone) > 0
                && !request.need.fits(&self.usable(request, row))
        };
        if self.rows_with_room[room].rows.iter().any(is_reserved_room) {
            self.held_back.insert(request.job.clone());
        }
    }

    /// Places work that has been held back for too long beside reserved room: of each
    /// job one task, or a whole gang. So nobody waits without end beside room that is
    /// free, and a gang is delayed by little.
    pub(super) fn place_held_back(&mut self, requests: &mut [PlacementRequest]) {
        let reservations = std::mem::take(&mut self.reservations);
        for request in requests.iter_mut() {
            if !request.held_back_too_long || !self.held_back.contains(&request.job) {
                continue;
            }
            let tasks = if request.gang { request.tasks.len() } else { 1 };
            let later = request.tasks.split_off(tasks.min(request.tasks.len()));
            self.place(request, PlacementScope::Gated);
            request.tasks.extend(later);
        }
        self.reservations = reservations;
    }
}
