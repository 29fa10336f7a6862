//! Reserves machines for gangs that have waited for long: those that should soonest be
//! free together. A reservation lasts for one cycle and starts nothing. It rests only on
//! ends that can be predicted: what services hold, or tasks that have run far past
//! their estimate, counts as taken.

use super::SchedulingCycle;
use super::backfill::ReservedRow;
use super::request::PlacementRequest;
use crate::types::{Resources, Time, Zone};
use std::collections::BTreeMap;

/// Rows of one zone, or of all, those that should be free soonest first.
#[derive(Debug)]
pub(super) struct RowsByAvailability {
    /// `None`: of all zones.
    zone: Option<Zone>,
    rows: Vec<usize>,
    /// All rows before this position are reserved.
    first_free: usize,
}

/// Rows that could be reserved for a gang together.
struct Reservation {
    /// When the last of the rows should be free.
    available_at: Time,
    /// The rows, each with what the gang leaves of it.
    rows: Vec<(usize, Resources)>,
}

impl SchedulingCycle<'_> {
    /// Whether a reservation should be tried for a request, given those for which it
    /// failed in this cycle. None is for a gang whose team is at its limit: when that
    /// ends cannot be predicted, and no machine's end brings it about.
    pub(super) fn may_reserve(
        &self,
        request: &PlacementRequest,
        without_reservation: &[PlacementRequest],
    ) -> bool {
        let needs_no_less = |failed: &PlacementRequest| {
            request.tasks.len() >= failed.tasks.len() && request.is_like(failed)
        };
        request.gang
            && !request.tasks.is_empty()
            && self.reservations.len() < self.rows.len()
            && !without_reservation.iter().any(needs_no_less)
            && self.quota_room(request) as usize >= request.tasks.len()
    }

    /// Reserves the machines that should soonest be free together; false if there are
    /// not enough.
    pub(super) fn reserve(&mut self, request: &PlacementRequest) -> bool {
        let mut best: Option<Reservation> = None;
        for list in self.availability_lists_for(request) {
            let Some(found) = self.find_reservation(request, &self.rows_by_availability[list])
            else {
                continue;
            };
            let is_sooner = |best: &Reservation| found.available_at < best.available_at;
            if best.as_ref().is_none_or(is_sooner) {
                best = Some(found);
            }
        }
        let Some(reservation) = best else {
            return false;
        };
        tracing::debug!(
            job = %request.job,
            machines = reservation.rows.len(),
            starts_in_s = reservation.available_at.since(self.parameters.now).as_secs(),
            "machines reserved"
        );
        let promised = request.promised_start.unwrap_or(reservation.available_at);
        for (row, spare) in reservation.rows {
            let reserved = ReservedRow {
                holder: request.job.clone(),
                starts_at: reservation.available_at,
                backfill_until: promised.min(reservation.available_at),
                spare,
            };
            self.reservations.insert(row, reserved);
        }
        true
    }

    /// The first rows of a list that are enough for all tasks of a request.
    fn find_reservation(
        &self,
        request: &PlacementRequest,
        list: &RowsByAvailability,
    ) -> Option<Reservation> {
        let mut tasks_left = request.tasks.len() as u32;
        let mut tasks_in_zones: BTreeMap<&Zone, u32> = BTreeMap::new();
        let mut reservation = Reservation {
            available_at: self.parameters.now,
            rows: Vec::new(),
        };
        for &index in &list.rows[list.first_free..] {
            if tasks_left == 0 {
                break;
            }
            let row = &self.rows[index];
            if !self.may_use(index, &request.job) || !request.allows(row) {
                continue;
            }
            let in_zone = tasks_in_zones.entry(&row.zone).or_default();
            let zone_room = request.zone_room(&row.zone).saturating_sub(*in_zone);
            let tasks = request
                .need
                .count_in(&row.reservable, tasks_left.min(zone_room));
            if tasks > 0 {
                *in_zone += tasks;
                tasks_left -= tasks;
                reservation.available_at = reservation.available_at.max(row.available_at);
                let spare = row.reservable - request.need.times(f64::from(tasks));
                reservation.rows.push((index, spare));
            }
        }
        (tasks_left == 0).then_some(reservation)
    }

    /// Indices of the lists from which rows are reserved for a request: one for each
    /// zone if all its tasks must be in one, otherwise the list of all rows.
    fn availability_lists_for(&mut self, request: &PlacementRequest) -> Vec<usize> {
        // In a rush hundreds of gangs look for rows to reserve, so the rows are put in
        // order once for all of them.
        if self.rows_by_availability.is_empty() {
            self.rows_by_availability = self.sort_by_availability();
        }
        let held = &self.reservations;
        let mut selected = Vec::new();
        for (index, list) in self.rows_by_availability.iter_mut().enumerate() {
            if list.zone.is_some() == request.one_zone {
                let rest = &list.rows[list.first_free..];
                list.first_free += rest.iter().take_while(|row| held.contains_key(row)).count();
                selected.push(index);
            }
        }
        selected
    }

    /// One list for each zone, and one of all rows.
    fn sort_by_availability(&self) -> Vec<RowsByAvailability> {
        let mut all: Vec<usize> = (0..self.rows.len()).collect();
        all.sort_by_key(|&row| (self.rows[row].available_at, row));
        let zones = self.zones.iter().cloned().map(Some);
        zones
            .chain([None])
            .map(|zone| {
                let is_in_zone =
                    |row: &usize| zone.as_ref().is_none_or(|z| *z == self.rows[*row].zone);
                let rows = all.iter().copied().filter(is_in_zone).collect();
                RowsByAvailability {
                    zone,
                    rows,
                    first_free: 0,
                }
            })
            .collect()
    }
}
