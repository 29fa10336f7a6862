//! One scheduling cycle: decides which waiting tasks start on which machines. Pure: it
//! works on tables made for this cycle, and neither sends nor stores anything.
//!
//! The algorithm is that of *A Job Scheduling Design for Visualization Services using
//! GPU Clusters* (Hsu, Wang, Ma, Yu, Chen), Algorithm 1, with the changes listed in
//! `docs/design.md`:
//!
//! 1. High-priority work first, grouped by image: groups whose image some machine
//!    holds ahead of cold ones, cold ones by fetch estimate (lines 8 to 15).
//! 2. Then, priority by priority, other work on machines that hold its image
//!    (lines 16 to 22).
//! 3. Then cold images, those with the fewest holders first, but only on machines
//!    that had no high-priority start for over half the image's estimate
//!    (lines 23 to 31).

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
    /// The job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// Index of the machine's row.
    pub row: usize,
}

/// What a team uses, and may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUse {
    /// Everything its tasks take or may take.
    pub used: Resources,
    /// Its quota: guaranteed and maximum.
    pub share: TeamShare,
}

/// What does not change within a cycle.
#[derive(Clone, Copy, Debug)]
pub struct CycleParameters {
    /// The time of the cycle.
    pub now: Time,
    /// By how much the fetch times of one gang's machines may differ: its first task
    /// waits for its last.
    pub max_fetch_skew: TimeSpan,
    /// By how many times its estimate a task counts with that would run beside a
    /// reservation: estimates are often wrong by half.
    pub backfill_margin: f64,
}

/// The state of a cycle.
#[derive(Debug)]
pub struct SchedulingCycle<'a> {
    /// What does not change within the cycle.
    pub parameters: CycleParameters,
    /// The machines.
    pub rows: &'a mut [MachineRow],
    /// The teams.
    pub teams: &'a mut BTreeMap<Team, TeamUse>,
    /// Fetch estimates.
    pub estimates: &'a FetchEstimates,
    /// Decisions so far.
    pub starts: Vec<StartDecision>,
    /// Rows reserved for gangs that have waited long.
    pub reservations: BTreeMap<usize, ReservedRow>,
    /// Jobs that found no room but what is reserved for others.
    pub held_back: BTreeSet<JobId>,
    /// Rows that had room for the smallest request when last searched. Where most
    /// machines are full, looking at the others is what a cycle costs.
    open_rows: Vec<usize>,
    /// Of these, the ones with room for each need that was searched for: rows only
    /// lose room until the next search, and there are few different needs.
    rows_with_room: Vec<RowsWithRoom>,
    /// Rows by the time they should be free, of each zone and of all, for
    /// reservations: made when first needed, cleared once a row's time changes.
    rows_by_availability: Vec<RowsByAvailability>,
    /// Zones with machines.
    zones: BTreeSet<Zone>,
    /// How many rows hold each image, or are fetching it.
    holder_counts: HashMap<Image, usize>,
}

/// High-priority requests for one image. Groups are placed in the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ImageGroup {
    priority: Reverse<Priority>,
    /// Whether no machine holds the image.
    is_cold: bool,
    /// Estimate for a cold image, otherwise zero.
    fetch_cost: TimeSpan,
    order: i64,
    /// Indices of the requests, in their order.
    members: Vec<usize>,
}

/// How many rows hold each image, or are fetching it.
fn count_holders(rows: &[MachineRow]) -> HashMap<Image, usize> {
    let mut counts: HashMap<Image, usize> = HashMap::new();
    for image in rows.iter().flat_map(|row| row.cache.known()) {
        // An image is cloned once, not for each row: there are many rows.
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
    /// A cycle over these tables, with nothing placed yet.
    pub fn new(
        pace: CycleParameters,
        rows: &'a mut [MachineRow],
        teams: &'a mut BTreeMap<Team, TeamUse>,
        estimates: &'a FetchEstimates,
    ) -> SchedulingCycle<'a> {
        SchedulingCycle {
            parameters: pace,
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
            held_back: BTreeSet::new(),
        }
    }

    /// Zones with machines.
    pub fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    /// Runs the whole cycle; tasks that were placed are removed from `requests`.
    pub fn run(&mut self, requests: &mut [PlacementRequest]) {
        self.place_warm_high_priority(requests);
        self.place_remaining(requests);
    }

    /// The cycle's first part: high-priority work where its image is, or nearly is.
    /// Between the parts the caller may preempt tasks on machines that hold an image,
    /// which often lets work start sooner than a fetch elsewhere.
    pub fn place_warm_high_priority(&mut self, requests: &mut [PlacementRequest]) {
        requests.sort_by_cached_key(PlacementRequest::rank);
        self.find_open_rows(requests);
        self.place_high_priority(requests, PlacementScope::Warm);
    }

    /// Before the cycle: places work of classes and teams below their minimum share,
    /// up to it.
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
        let Some(largest_machine) = sizes.reduce(|a, b| a.most(&b)) else {
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
        let groups = ShareGroup::both(&request.class, &request.team);
        let lacking = groups
            .iter()
            .map(|g| shares.shortfall(g))
            .fold(0.0, f64::max);
        if lacking <= 0.0 {
            return;
        }
        let machines_per_task = request.need.share_of(largest_machine);
        // The last task may exceed the minimum share a little, a gang by its size.
        let limit = match request.gang {
            true => request.tasks.len(),
            false => ((lacking / machines_per_task).ceil() as usize).min(request.tasks.len()),
        };
        let beyond_limit = request.tasks.split_off(limit);
        self.place(request, PlacementScope::Any);
        let placed = (limit - request.tasks.len()) as f64 * machines_per_task;
        request.tasks.extend(beyond_limit);
        groups.iter().for_each(|group| shares.gain(group, placed));
    }

    /// The cycle's second part: everything that was not placed yet.
    pub fn place_remaining(&mut self, requests: &mut [PlacementRequest]) {
        self.find_open_rows(requests);
        self.place_high_priority(requests, PlacementScope::Any);
        self.place_aged(requests);
        for priority in [Priority::Normal, Priority::Low] {
            self.place_of_priority(requests, priority);
        }
        self.place_held_back(requests);
    }

    /// Places high-priority work, grouped by image (Algorithm 1, lines 8 to 15).
    fn place_high_priority(&mut self, requests: &mut [PlacementRequest], scope: PlacementScope) {
        for group in self.groups_by_image(requests) {
            for member in group.members {
                self.place(&mut requests[member], scope);
            }
        }
    }

    /// The high-priority requests by image, in the order in which they are placed.
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

    /// Places work that has waited for long, and reserves machines for gangs that
    /// still find no room. Otherwise a gang that needs several machines at once would
    /// wait for ever behind smaller work that takes each one as it comes free.
    fn place_aged(&mut self, requests: &mut [PlacementRequest]) {
        // A request that finds too few machines to reserve leaves none to a larger
        // one like it: in a rush there are hundreds.
        let mut without_reservation: Vec<PlacementRequest> = Vec::new();
        for request in requests.iter_mut().filter(|r| r.aged) {
            self.place(request, PlacementScope::Any);
            if self.may_reserve(request, &without_reservation) && !self.reserve(request) {
                without_reservation.push(request.clone());
            }
        }
    }

    /// Places the work of one priority below high: on holders of its image
    /// (Algorithm 1, lines 16 to 22), then cold (lines 23 to 31).
    fn place_of_priority(&mut self, requests: &mut [PlacementRequest], priority: Priority) {
        let mut batch: Vec<usize> = (0..requests.len())
            .filter(|&index| requests[index].priority == priority)
            .collect();
        for &index in &batch {
            self.place(&mut requests[index], PlacementScope::Holders);
        }
        // Fewest holders first: the rarest image gains most from a fetch.
        batch.sort_by_cached_key(|&index| {
            let request = &requests[index];
            let holders = self.holder_count(&request.image);
            (Reverse(request.within_guarantee), holders, request.order)
        });
        for &index in &batch {
            self.place(&mut requests[index], PlacementScope::Gated);
            if !self.reservations.is_empty() && !requests[index].tasks.is_empty() {
                let room = self.find_rows_with_room(requests[index].need);
                self.note_held_back(&requests[index], room);
            }
        }
    }

    /// How many rows hold an image, or are fetching it.
    fn holder_count(&self, image: &Image) -> usize {
        self.holder_counts.get(image).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod reservation_tests;
#[cfg(test)]
mod tests;
