//! Reserves machines for gangs that have waited long: the set of machines with the
//! earliest predicted time at which all are free. A reservation lasts for one cycle and
//! starts no task. Only predictable ends of tasks count: resources of services, and of
//! tasks that have run far past their estimate, count as occupied.

use super::SchedulingCycle;
use super::backfill::ReservedRow;
use super::request::PlacementRequest;
use crate::types::{Resources, Time, Zone};
use std::collections::BTreeMap;

/// Rows of one zone or of all zones, in ascending order of `available_at`.
#[derive(Debug)]
pub(super) struct RowsByAvailability {
    /// The zone of the rows; `None` for the list of all zones.
    zone: Option<Zone>,
    rows: Vec<usize>,
    /// All rows before this position in `rows` are reserved.
    first_free: usize,
}

/// A set of rows that could be reserved for a gang.
struct Reservation {
    /// Predicted time at which all of the rows are free.
    available_at: Time,
    /// The rows, each with the resources that the gang leaves free on it.
    rows: Vec<(usize, Resources)>,
}

impl SchedulingCycle<'_> {
    /// Whether a reservation should be tried for a request, given the requests for which
    /// one failed in this cycle. A gang whose team has no room in its maximum quota gets
    /// none: when the quota becomes free cannot be predicted, and does not depend on
    /// when a particular machine becomes free.
    pub(super) fn may_reserve(
        &self,
        request: &PlacementRequest,
        without_reservation: &[PlacementRequest],
    ) -> bool {
        let is_at_least_as_large = |failed: &PlacementRequest| {
            request.tasks.len() >= failed.tasks.len() && request.is_equivalent_to(failed)
        };
        request.gang
            && !request.tasks.is_empty()
            && self.reservations.len() < self.rows.len()
            && !without_reservation.iter().any(is_at_least_as_large)
            && self.quota_room(request) as usize >= request.tasks.len()
    }

    /// Reserves the set of machines that is predicted to be free earliest. Returns false
    /// if too few machines can be reserved.
    pub(super) fn reserve(&mut self, request: &PlacementRequest) -> bool {
        let mut best: Option<Reservation> = None;
        for list in self.availability_lists_for(request) {
            let Some(found) = self.find_reservation(request, &self.rows_by_availability[list])
            else {
                continue;
            };
            let is_earlier = |best: &Reservation| found.available_at < best.available_at;
            if best.as_ref().is_none_or(is_earlier) {
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

    /// The first rows of a list that together have room for all tasks of a request;
    /// `None` if the whole list has too little room.
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
                .max_count_in(&row.reservable, tasks_left.min(zone_room));
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
        // Under load hundreds of gangs search for rows to reserve, so the rows are sorted
        // once for all of them.
        if self.rows_by_availability.is_empty() {
            self.rows_by_availability = self.sort_by_availability();
        }
        let reserved_rows = &self.reservations;
        let mut selected = Vec::new();
        for (index, list) in self.rows_by_availability.iter_mut().enumerate() {
            if list.zone.is_some() == request.one_zone {
                let unchecked = &list.rows[list.first_free..];
                list.first_free += unchecked
                    .iter()
                    .take_while(|row| reserved_rows.contains_key(row))
                    .count();
                selected.push(index);
            }
        }
        selected
    }

    /// Builds one list for each zone and one of all rows.
    fn sort_by_availability(&self) -> Vec<RowsByAvailability> {
        let mut all_rows: Vec<usize> = (0..self.rows.len()).collect();
        all_rows.sort_by_key(|&row| (self.rows[row].available_at, row));
        let zones = self.zones.iter().cloned().map(Some);
        zones
            .chain([None])
            .map(|zone| {
                let is_in_zone =
                    |row: &usize| zone.as_ref().is_none_or(|z| *z == self.rows[*row].zone);
                let rows = all_rows.iter().copied().filter(is_in_zone).collect();
                RowsByAvailability {
                    zone,
                    rows,
                    first_free: 0,
                }
            })
            .collect()
    }
}
