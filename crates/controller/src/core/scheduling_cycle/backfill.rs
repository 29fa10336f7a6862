//! Backfill: which resources of a machine that is reserved for a gang other work may
//! use. Reservations are made in `reservation`.
//!
//! The rule is that of EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System",
//! 1995): work may start ahead of a reservation if its estimated end lies before the
//! reserved start, or if it uses only resources that the gang does not need.

use super::SchedulingCycle;
use super::candidates::PlacementScope;
use super::request::PlacementRequest;
use crate::types::{JobId, Resources, Time, TimeSpan};

/// A machine that is reserved for a gang.
#[derive(Clone, Debug)]
pub struct ReservedRow {
    /// Job of the gang that holds the reservation.
    pub holder: JobId,
    /// Predicted start of the whole gang.
    pub starts_at: Time,
    /// Latest end of backfilled work: the predicted start, but never later than the
    /// start that was predicted first. Work that exceeds its estimate delays the gang
    /// once; the later prediction that results admits no further work.
    pub backfill_until: Time,
    /// Resources of the machine that the gang leaves free once it runs.
    pub spare: Resources,
}

impl SchedulingCycle<'_> {
    /// Whether a row is free of reservations for jobs other than `job`.
    pub fn may_use(&self, row: usize, job: &JobId) -> bool {
        self.reservations
            .get(&row)
            .is_none_or(|reserved| reserved.holder == *job)
    }

    /// Resources of a row that a request may use now.
    pub(super) fn usable(&self, request: &PlacementRequest, row: usize) -> Resources {
        let free = self.rows[row].free;
        match self.reservations.get(&row) {
            Some(reserved) if self.would_delay(request, row, reserved) => {
                free.component_min(&reserved.spare)
            }
            _ => free,
        }
    }

    /// Subtracts a task's need from the spare resources of a reserved row, if the task
    /// could still run there when the reservation's holder starts.
    pub(super) fn consume_spare(&mut self, request: &PlacementRequest, row: usize) {
        let delays = self
            .reservations
            .get(&row)
            .is_some_and(|reserved| self.would_delay(request, row, reserved));
        if let Some(reserved) = self.reservations.get_mut(&row).filter(|_| delays) {
            reserved.spare -= request.need;
        }
    }

    /// Whether a task of a request could still run on a row at the end of its backfill
    /// period, and so delay the holder of the reservation.
    fn would_delay(&self, request: &PlacementRequest, row: usize, reserved: &ReservedRow) -> bool {
        if reserved.holder == request.job {
            return false;
        }
        let Some(run_time) = request.run_time else {
            return true;
        };
        // The tasks of a gang start together with the last one.
        let gang_wait = match request.gang {
            true => self.parameters.max_fetch_skew,
            false => TimeSpan::ZERO,
        };
        let fetch = self.fetch_time(request, &self.rows[row]);
        let run_time = run_time.scaled(self.parameters.backfill_margin);
        let ends_at = self.parameters.now + fetch + gang_wait + run_time;
        ends_at > reserved.backfill_until
    }

    /// Adds the request's job to `jobs_held_back` if the only room for it is reserved for
    /// other jobs. Gangs that have waited long are excluded, since machines are reserved
    /// for them too.
    pub(super) fn note_held_back(&mut self, request: &PlacementRequest, room_index: usize) {
        if request.gang && request.reservation_due {
            return;
        }
        let is_reserved_room = |&row: &usize| {
            request.need.fits_within(&self.rows[row].free)
                && request.allows(&self.rows[row])
                && request.zone_room(&self.rows[row].zone) > 0
                && !request.need.fits_within(&self.usable(request, row))
        };
        if self.rows_with_room[room_index]
            .rows
            .iter()
            .any(is_reserved_room)
        {
            self.jobs_held_back.insert(request.job.clone());
        }
    }

    /// Places work that has been held back for too long, regardless of reservations: one
    /// task of each job, or a whole gang. So no job starves while free room is reserved
    /// for others, and a reservation is delayed only a little.
    pub(super) fn place_held_back(&mut self, requests: &mut [PlacementRequest]) {
        let reservations = std::mem::take(&mut self.reservations);
        for request in requests.iter_mut() {
            if !request.held_back_too_long || !self.jobs_held_back.contains(&request.job) {
                continue;
            }
            let tasks = if request.gang { request.tasks.len() } else { 1 };
            let remaining = request.tasks.split_off(tasks.min(request.tasks.len()));
            self.place(request, PlacementScope::Gated);
            request.tasks.extend(remaining);
        }
        self.reservations = reservations;
    }
}
