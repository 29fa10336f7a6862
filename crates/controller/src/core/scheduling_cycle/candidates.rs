//! Finds machines with room for a task and puts them in order, best first. Assigns
//! nothing.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::core::placement_tables::MachineRow;
use crate::types::{Resources, TimeSpan, Zone};
use std::collections::HashMap;

/// Rows with room for a need.
#[derive(Debug)]
pub(super) struct RowsWithRoom {
    pub(super) need: Resources,
    pub(super) rows: Vec<usize>,
    /// How many tasks they could take when they were searched: no more will fit.
    pub(super) max_tasks: u64,
    /// How many tasks those of the zone with most room could take.
    pub(super) max_tasks_in_one_zone: u64,
}

/// A fetch that ends within this time hardly delays a start.
const NEARLY_FETCHED: TimeSpan = TimeSpan::millis(3000);

/// Which machines a pass of the cycle may use.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementScope {
    /// Any machine.
    Any,
    /// Machines on which the image is, or will be within moments.
    Warm,
    /// Machines that hold the image or are fetching it.
    Holders,
    /// Holders, and machines without recent high-priority starts.
    Gated,
}

/// A row with room for a task. Candidates are preferred in the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    fetch_time: TimeSpan,
    /// What stays free, in thousandths of the machine.
    free_after: i64,
    /// Spot capacity is preferred: on-demand machines suit all work.
    is_on_demand: bool,
    row: usize,
}

impl SchedulingCycle<'_> {
    /// Searches all rows for those with room for the smallest of the requests.
    pub(super) fn find_open_rows(&mut self, requests: &[PlacementRequest]) {
        let needs = requests
            .iter()
            .filter(|request| !request.tasks.is_empty())
            .map(|request| request.need);
        let smallest_need = needs.reduce(|a, b| a.least(&b));
        self.rows_with_room.clear();
        self.open_rows = match smallest_need {
            Some(need) => (0..self.rows.len())
                .filter(|&row| need.fits(&self.rows[row].free))
                .collect(),
            None => Vec::new(),
        };
    }

    /// Index into `rows_with_room` of the rows with room for a need, which are
    /// searched among the open rows if that was not done yet.
    pub(super) fn find_rows_with_room(&mut self, need: Resources) -> usize {
        let known = self.rows_with_room.iter().position(|of| of.need == need);
        if let Some(index) = known {
            // Rows that have filled up since are not looked at again.
            let (rows, list) = (&self.rows, &mut self.rows_with_room[index].rows);
            list.retain(|&row| need.fits(&rows[row].free));
            return index;
        }
        let found = self.search_open_rows(need);
        self.rows_with_room.push(found);
        self.rows_with_room.len() - 1
    }

    fn search_open_rows(&self, need: Resources) -> RowsWithRoom {
        let open = self.open_rows.iter().copied();
        let rows: Vec<usize> = open
            .filter(|&row| need.fits(&self.rows[row].free))
            .collect();
        let mut tasks_by_zone: HashMap<&Zone, u64> = HashMap::new();
        for row in rows.iter().map(|&row| &self.rows[row]) {
            let tasks = need.count_in(&row.free, u32::MAX);
            *tasks_by_zone.entry(&row.zone).or_default() += u64::from(tasks);
        }
        RowsWithRoom {
            need,
            rows,
            max_tasks: tasks_by_zone.values().sum(),
            max_tasks_in_one_zone: tasks_by_zone.values().copied().max().unwrap_or(0),
        }
    }

    /// How long a task of this request would wait for its image on a row.
    pub fn fetch_time(&self, request: &PlacementRequest, row: &MachineRow) -> TimeSpan {
        row.cache
            .remaining(&request.image, self.parameters.now)
            .unwrap_or_else(|| {
                self.estimates
                    .estimate(&request.image, request.image_gb, Some(row.fetch_rate))
            })
    }

    /// Whether a pass of this scope may use a row for this request.
    fn is_in_scope(
        &self,
        request: &PlacementRequest,
        row: &MachineRow,
        scope: PlacementScope,
    ) -> bool {
        let is_holder = || {
            row.cache
                .remaining(&request.image, self.parameters.now)
                .is_some()
        };
        match scope {
            PlacementScope::Any => true,
            PlacementScope::Warm => self.fetch_time(request, row) <= NEARLY_FETCHED,
            PlacementScope::Holders => is_holder(),
            PlacementScope::Gated => {
                is_holder() || request.overdue || self.allows_cold_fetch(request, row)
            }
        }
    }

    /// Whether a row may fetch an image for work below high priority: it had no
    /// high-priority start for over half the fetch time (Algorithm 1, lines 23 to 31).
    fn allows_cold_fetch(&self, request: &PlacementRequest, row: &MachineRow) -> bool {
        let fetch_time = self.fetch_time(request, row);
        row.last_high_priority_start
            .is_none_or(|last| self.parameters.now.since(last) > TimeSpan(fetch_time.0 / 2))
    }

    /// Rows with room for a task, best first: the shortest fetch, then the tightest
    /// fit, so that whole machines stay free for gangs (bin packing).
    ///
    /// `room` is an index into `rows_with_room`; with `zone`, only rows of this zone.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest,
        room: usize,
        scope: PlacementScope,
        zone: Option<&Zone>,
    ) -> Vec<usize> {
        let mut candidates: Vec<Candidate> = self.rows_with_room[room]
            .rows
            .iter()
            .map(|&index| (index, &self.rows[index]))
            .filter(|(_, row)| zone.is_none_or(|zone| zone == &row.zone))
            .filter(|(_, row)| request.need.fits(&row.free) && request.allows(row))
            .filter(|(index, _)| request.need.fits(&self.usable(request, *index)))
            .filter(|(_, row)| self.is_in_scope(request, row, scope))
            .map(|(index, row)| {
                let free_after = (row.free - request.need).share_of(&row.capacity);
                Candidate {
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
