//! One scheduling cycle: decides which waiting tasks start on which machines. The cycle
//! works on tables that the caller builds for it, and neither sends nor stores anything.
//!
//! The algorithm is that of *A Job Scheduling Design for Visualization Services using
//! GPU Clusters* (Hsu, Wang, Ma, Yu, Chen), Algorithm 1, with the changes listed in
//! `docs/design.md`:
//!
//! 1. High-priority work first, grouped by image. Groups whose image some machine
//!    holds (warm) precede groups whose image no machine holds (cold). Cold groups are
//!    ordered by fetch estimate (lines 8 to 15).
//! 2. Then, priority by priority, other work on machines that hold its image
//!    (lines 16 to 22).
//! 3. Then work that needs a fetch, images with the fewest holders first, but only on
//!    machines that had no high-priority start for over half the image's fetch
//!    estimate (lines 23 to 31).

mod backfill;
mod candidates;
mod placement;
mod request;
mod reservation;

pub use backfill::ReservedRow;
pub use request::PlacementRequest;

use super::placement_tables::{FetchEstimates, MachineRow};
use super::quota::minimum_share::{MinimumShares, ShareGroup};
use crate::settings::TeamShare;
use crate::types::{Image, JobId, Resources, Team, Time, TimeSpan, Zone};
use crate::wire::users::Priority;
use candidates::{PlacementScope, RowsWithRoom};
use reservation::RowsByAvailability;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A decision to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartDecision {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's number within the job, from 0.
    pub task: u32,
    /// Index of the machine's row in [`SchedulingCycle::rows`].
    pub row: usize,
}

/// A team's resource usage and quota within one cycle.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamQuotaState {
    /// Resources of all assigned tasks of the team, whether or not a task is confirmed
    /// to be running.
    pub used: Resources,
    /// The team's guaranteed and maximum quota.
    pub share: TeamShare,
}

/// Parameters that stay constant within a cycle.
#[derive(Clone, Copy, Debug)]
pub struct CycleParameters {
    /// The time at which the cycle runs.
    pub now: Time,
    /// Maximum difference between the fetch times of the machines of one gang. The
    /// first task of a gang waits for the last one.
    pub max_fetch_skew: TimeSpan,
    /// Factor by which the estimated run time of a backfilled task is multiplied.
    /// Estimates are often wrong by half.
    pub backfill_margin: f64,
}

/// The state of a cycle.
#[derive(Debug)]
pub struct SchedulingCycle<'a> {
    /// Parameters that stay constant within the cycle.
    pub parameters: CycleParameters,
    /// One row per machine. Each start that the cycle decides updates its row.
    pub rows: &'a mut [MachineRow],
    /// Usage and quota of each team. A cycle places no task of
    /// a team that is missing here.
    pub teams: &'a mut BTreeMap<Team, TeamQuotaState>,
    /// Estimated fetch times of images.
    pub estimates: &'a FetchEstimates,
    /// The starts decided so far, in the order of the decisions.
    pub starts: Vec<StartDecision>,
    /// Rows reserved for gangs that have waited long, by row index.
    pub reservations: BTreeMap<usize, ReservedRow>,
    /// Jobs that found room only on rows reserved for other jobs.
    pub jobs_held_back: BTreeSet<JobId>,
    /// Rows that had room for the smallest request at the last search. Where most
    /// machines are full, scanning the full ones would be the main cost of a cycle.
    open_rows: Vec<usize>,
    /// For each resource need searched so far, the open rows with room for that need.
    /// Until the next search of all rows, rows only lose room. A cycle sees few
    /// distinct needs.
    rows_with_room: Vec<RowsWithRoom>,
    /// Rows by predicted availability, one list per zone and one of all rows. Built
    /// when the first reservation is tried; cleared when a row's `available_at` changes.
    rows_by_availability: Vec<RowsByAvailability>,
    /// Zones with at least one machine.
    zones: BTreeSet<Zone>,
    /// Number of rows that hold or are fetching each image.
    holder_counts: HashMap<Image, usize>,
}

/// High-priority requests for one image. Groups are placed in ascending order of these
/// fields, compared from first to last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ImageGroup {
    priority: Reverse<Priority>,
    /// Whether no machine holds or is fetching the image.
    is_cold: bool,
    /// Estimated fetch time of a cold image, zero for a warm one.
    fetch_cost: TimeSpan,
    /// `order` of the first request.
    order: i64,
    /// Indices of the requests, in rank order.
    members: Vec<usize>,
}

/// Counts the rows that hold or are fetching each image.
fn count_holders(rows: &[MachineRow]) -> HashMap<Image, usize> {
    let mut counts: HashMap<Image, usize> = HashMap::new();
    for image in rows.iter().flat_map(|row| row.cache.cached_or_fetching()) {
        // Clones each image once instead of once per row, since there are many rows.
        match counts.get_mut(image) {
            Some(count) => *count += 1,
            None => {
                counts.insert(image.clone(), 1);
            }
        }
    }
    counts
}

impl<'a> SchedulingCycle<'a> {
    /// Creates a cycle over these tables that has placed nothing yet.
    pub fn new(
        parameters: CycleParameters,
        rows: &'a mut [MachineRow],
        teams: &'a mut BTreeMap<Team, TeamQuotaState>,
        estimates: &'a FetchEstimates,
    ) -> SchedulingCycle<'a> {
        SchedulingCycle {
            parameters,
            zones: rows.iter().map(|row| row.zone.clone()).collect(),
            open_rows: Vec::new(),
            rows_with_room: Vec::new(),
            rows_by_availability: Vec::new(),
            holder_counts: count_holders(rows),
            rows,
            teams,
            estimates,
            starts: Vec::new(),
            reservations: BTreeMap::new(),
            jobs_held_back: BTreeSet::new(),
        }
    }

    /// Zones with at least one machine.
    pub fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    /// Runs the whole cycle. Placed tasks are removed from `requests`.
    pub fn run(&mut self, requests: &mut [PlacementRequest]) {
        self.place_warm_high_priority(requests);
        self.place_remaining(requests);
    }

    /// First part of the cycle: places high-priority work on machines that hold its
    /// image or finish fetching it within 3 s. Between the two parts the caller may
    /// preempt tasks on machines that hold an image, which often lets work start sooner
    /// than a fetch on another machine.
    pub fn place_warm_high_priority(&mut self, requests: &mut [PlacementRequest]) {
        requests.sort_by_cached_key(PlacementRequest::rank);
        self.find_open_rows(requests);
        self.place_high_priority(requests, PlacementScope::Warm);
    }

    /// Places work of classes and teams below their minimum share, until each reaches
    /// that share. Called before the cycle itself.
    pub fn place_up_to_minimum_shares(
        &mut self,
        requests: &mut [PlacementRequest],
        shares: &mut MinimumShares,
    ) {
        if shares.is_empty() {
            return;
        }
        requests.sort_by_cached_key(PlacementRequest::rank);
        self.find_open_rows(requests);
        let sizes = self.rows.iter().map(|row| row.capacity);
        let Some(largest_machine) = sizes.reduce(|a, b| a.component_max(&b)) else {
            return;
        };
        for request in requests.iter_mut().filter(|r| !r.tasks.is_empty()) {
            self.place_up_to_minimum_share(request, shares, &largest_machine);
        }
    }

    fn place_up_to_minimum_share(
        &mut self,
        request: &mut PlacementRequest,
        shares: &mut MinimumShares,
        largest_machine: &Resources,
    ) {
        let groups = ShareGroup::of_job(&request.class, &request.team);
        let shortfall_machines = groups
            .iter()
            .map(|g| shares.shortfall(g))
            .fold(0.0, f64::max);
        if shortfall_machines <= 0.0 {
            return;
        }
        let machines_per_task = request.need.share_of(largest_machine);
        // The last task of an array may exceed the minimum share by part of a task, a
        // gang by up to its whole size.
        let limit = match request.gang {
            true => request.tasks.len(),
            false => {
                ((shortfall_machines / machines_per_task).ceil() as usize).min(request.tasks.len())
            }
        };
        let beyond_limit = request.tasks.split_off(limit);
        self.place(request, PlacementScope::Any);
        let placed = (limit - request.tasks.len()) as f64 * machines_per_task;
        request.tasks.extend(beyond_limit);
        groups
            .iter()
            .for_each(|group| shares.add_used(group, placed));
    }

    /// Second part of the cycle: places all remaining requests.
    pub fn place_remaining(&mut self, requests: &mut [PlacementRequest]) {
        self.find_open_rows(requests);
        self.place_high_priority(requests, PlacementScope::Any);
        self.place_aged(requests);
        for priority in [Priority::Normal, Priority::Low] {
            self.place_of_priority(requests, priority);
        }
        self.place_held_back(requests);
    }

    /// Places high-priority work grouped by image (Algorithm 1, lines 8 to 15).
    fn place_high_priority(&mut self, requests: &mut [PlacementRequest], scope: PlacementScope) {
        for group in self.groups_by_image(requests) {
            for member in group.members {
                self.place(&mut requests[member], scope);
            }
        }
    }

    /// Groups the high-priority requests by image, in placement order.
    fn groups_by_image(&self, requests: &[PlacementRequest]) -> Vec<ImageGroup> {
        let mut members_by_image: BTreeMap<Image, Vec<usize>> = BTreeMap::new();
        for (index, request) in requests.iter().enumerate().filter(|(_, r)| r.is_high()) {
            let members = members_by_image.entry(request.image.clone()).or_default();
            members.push(index);
        }
        let mut groups: Vec<ImageGroup> = members_by_image
            .into_iter()
            .map(|(image, members)| {
                let first = &requests[members[0]];
                let is_cold = self.holder_count(&image) == 0;
                let fetch_cost = match is_cold {
                    true => self.estimates.estimate(&image, first.image_gb, None),
                    false => TimeSpan::ZERO,
                };
                ImageGroup {
                    priority: Reverse(first.priority),
                    is_cold,
                    fetch_cost,
                    order: first.order,
                    members,
                }
            })
            .collect();
        groups.sort();
        groups
    }

    /// Places work that has waited long, and reserves machines for gangs that still
    /// find no room. Without reservations a gang that needs several machines at the
    /// same time would starve, as smaller work occupies each machine that becomes free.
    fn place_aged(&mut self, requests: &mut [PlacementRequest]) {
        // When a request finds too few machines to reserve, an equivalent request of
        // the same size or larger fails too and is skipped. Under load hundreds of such
        // requests wait.
        let mut without_reservation: Vec<PlacementRequest> = Vec::new();
        for request in requests.iter_mut().filter(|r| r.reservation_due) {
            self.place(request, PlacementScope::Any);
            if self.may_reserve(request, &without_reservation) && !self.reserve(request) {
                without_reservation.push(request.clone());
            }
        }
    }

    /// Places the work of one priority below high: first on machines that hold its
    /// image (Algorithm 1, lines 16 to 22), then on machines that have to fetch it
    /// (lines 23 to 31).
    fn place_of_priority(&mut self, requests: &mut [PlacementRequest], priority: Priority) {
        let mut batch: Vec<usize> = (0..requests.len())
            .filter(|&index| requests[index].priority == priority)
            .collect();
        for &index in &batch {
            self.place(&mut requests[index], PlacementScope::Holders);
        }
        // Images with the fewest holders come first, as a rare image gains most from
        // another fetch.
        batch.sort_by_cached_key(|&index| {
            let request = &requests[index];
            let holders = self.holder_count(&request.image);
            (Reverse(request.within_guarantee), holders, request.order)
        });
        for &index in &batch {
            self.place(&mut requests[index], PlacementScope::Gated);
            if !self.reservations.is_empty() && !requests[index].tasks.is_empty() {
                let room_index = self.find_rows_with_room(requests[index].need);
                self.note_held_back(&requests[index], room_index);
            }
        }
    }

    /// Number of rows that hold or are fetching an image.
    fn holder_count(&self, image: &Image) -> usize {
        self.holder_counts.get(image).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod reservation_tests;
#[cfg(test)]
mod tests;
