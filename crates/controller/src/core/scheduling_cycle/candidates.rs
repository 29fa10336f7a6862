//! Finds machines with room for a task and sorts them, best first. Assignment of tasks
//! is done in `placement`.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::core::placement_tables::MachineRow;
use crate::types::{Resources, TimeSpan, Zone};
use std::collections::HashMap;

/// The rows that have room for a task with certain resource needs.
#[derive(Debug)]
pub(super) struct RowsWithRoom {
    pub(super) need: Resources,
    pub(super) rows: Vec<usize>,
    /// Number of tasks that fitted on all rows together at the time of the search: an
    /// upper bound, since rows only lose room afterwards.
    pub(super) max_tasks: u64,
    /// Number of tasks that fitted in the zone with the most room at the time of the
    /// search.
    pub(super) max_tasks_in_one_zone: u64,
}

/// An image whose fetch ends within this time counts as warm, since the fetch hardly
/// delays a start.
const MAX_WARM_FETCH_TIME: TimeSpan = TimeSpan::millis(3000);

/// Which machines a pass of the cycle may use.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementScope {
    /// Any machine.
    Any,
    /// Machines that hold the image or finish fetching it within
    /// [`MAX_WARM_FETCH_TIME`].
    Warm,
    /// Machines that hold or are fetching the image.
    Holders,
    /// Holders, and machines without recent high-priority starts. For overdue requests
    /// all machines.
    Gated,
}

/// A row with room for a task. Candidates are used in ascending order of these fields,
/// compared from first to last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether the row is used only if no other has room.
    is_last_resort: bool,
    fetch_time: TimeSpan,
    /// Part of the machine that stays free, in thousandths.
    free_after: i64,
    /// Spot machines come first, because on-demand machines suit all work.
    is_on_demand: bool,
    row: usize,
}

impl SchedulingCycle<'_> {
    /// Searches all rows for open rows: those with room for the component-wise minimum of
    /// the needs of all requests.
    pub(super) fn find_open_rows(&mut self, requests: &[PlacementRequest]) {
        let needs = requests
            .iter()
            .filter(|request| !request.tasks.is_empty())
            .map(|request| request.need);
        let smallest_need = needs.reduce(|a, b| a.component_min(&b));
        self.rows_with_room.clear();
        self.open_rows = match smallest_need {
            Some(need) => (0..self.rows.len())
                .filter(|&row| need.fits_within(&self.rows[row].free))
                .collect(),
            None => Vec::new(),
        };
    }

    /// Returns the index into `rows_with_room` of the rows with room for `need`. The
    /// first call for a need searches the open rows.
    pub(super) fn find_rows_with_room(&mut self, need: Resources) -> usize {
        let known_index = self
            .rows_with_room
            .iter()
            .position(|searched| searched.need == need);
        if let Some(index) = known_index {
            // Removes rows that have filled up since the search.
            let (rows, list) = (&self.rows, &mut self.rows_with_room[index].rows);
            list.retain(|&row| need.fits_within(&rows[row].free));
            return index;
        }
        let found = self.search_open_rows(need);
        self.rows_with_room.push(found);
        self.rows_with_room.len() - 1
    }

    fn search_open_rows(&self, need: Resources) -> RowsWithRoom {
        let open = self.open_rows.iter().copied();
        let rows: Vec<usize> = open
            .filter(|&row| need.fits_within(&self.rows[row].free))
            .collect();
        let mut tasks_by_zone: HashMap<&Zone, u64> = HashMap::new();
        for row in rows.iter().map(|&row| &self.rows[row]) {
            let tasks = need.max_count_in(&row.free, u32::MAX);
            *tasks_by_zone.entry(&row.zone).or_default() += u64::from(tasks);
        }
        RowsWithRoom {
            need,
            rows,
            max_tasks: tasks_by_zone.values().sum(),
            max_tasks_in_one_zone: tasks_by_zone.values().copied().max().unwrap_or(0),
        }
    }

    /// Time that a task of this request would wait for its image on a row.
    pub fn fetch_time(&self, request: &PlacementRequest, row: &MachineRow) -> TimeSpan {
        row.cache
            .remaining_fetch_time(&request.image, self.parameters.now)
            .unwrap_or_else(|| {
                self.estimates
                    .estimate(&request.image, request.image_gb, Some(row.fetch_rate))
            })
    }

    /// Whether a pass with this scope may use a row for this request.
    fn is_in_scope(
        &self,
        request: &PlacementRequest,
        row: &MachineRow,
        scope: PlacementScope,
    ) -> bool {
        let is_holder = || {
            row.cache
                .remaining_fetch_time(&request.image, self.parameters.now)
                .is_some()
        };
        match scope {
            PlacementScope::Any => true,
            PlacementScope::Warm => self.fetch_time(request, row) <= MAX_WARM_FETCH_TIME,
            PlacementScope::Holders => is_holder(),
            PlacementScope::Gated => {
                is_holder() || request.overdue || self.allows_cold_fetch(request, row)
            }
        }
    }

    /// Whether a row may fetch an image for work below high priority: the row had no
    /// high-priority start for over half the fetch time (Algorithm 1, lines 23 to 31).
    fn allows_cold_fetch(&self, request: &PlacementRequest, row: &MachineRow) -> bool {
        let fetch_time = self.fetch_time(request, row);
        row.last_high_priority_start
            .is_none_or(|last| self.parameters.now.since(last) > TimeSpan(fetch_time.0 / 2))
    }

    /// Returns the rows with room for a task, best first: rows that are no last resort, the
    /// shortest fetch, then the tightest fit, so that whole machines stay free for gangs (bin
    /// packing).
    ///
    /// `room_index` is an index into `rows_with_room`. With `zone`, only rows of this
    /// zone are returned.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest,
        room_index: usize,
        scope: PlacementScope,
        zone: Option<&Zone>,
    ) -> Vec<usize> {
        let mut candidates: Vec<Candidate> = self.rows_with_room[room_index]
            .rows
            .iter()
            .map(|&index| (index, &self.rows[index]))
            .filter(|(_, row)| zone.is_none_or(|zone| zone == &row.zone))
            .filter(|(_, row)| request.need.fits_within(&row.free) && request.allows(row))
            .filter(|(index, _)| request.need.fits_within(&self.usable(request, *index)))
            .filter(|(_, row)| self.is_in_scope(request, row, scope))
            .map(|(index, row)| {
                let free_after = (row.free - request.need).share_of(&row.capacity);
                Candidate {
                    is_last_resort: request.is_last_resort(row),
                    fetch_time: self.fetch_time(request, row),
                    free_after: (free_after * 1000.0) as i64,
                    is_on_demand: !row.spot,
                    row: index,
                }
            })
            .collect();
        candidates.sort();
        candidates.into_iter().map(|c| c.row).collect()
    }
}
