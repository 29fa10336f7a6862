//! One placement cycle, pure: the paper's algorithm over the tables.
//!
//! High-priority work first, grouped by image, groups whose image some machine
//! holds ahead of cold ones, cold ones by estimate. Then, by priority, other
//! work: first on machines that hold its image, then cold ones, fewest holders
//! first, but only on machines without high-priority starts for over half the
//! image's estimate.

mod candidates;
mod placement;
mod request;
mod reservation;

pub use request::PlacementRequest;

use super::placement_tables::{FetchEstimates, MachineRow};
use super::quota::minimum_share::{MinimumShares, ShareGroup};
use crate::settings::TeamShare;
use crate::types::{Image, JobId, Resources, Team, Time, TimeSpan, Zone};
use crate::wire::users::Priority;
use candidates::{PlacementScope, RowsWithRoom};
use reservation::RowsByAvailability;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartDecision {
    /// The job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// Index of the machine's row.
    pub row: usize,
}

/// What a team uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUse {
    /// Everything its tasks take or may take.
    pub used: Resources,
    /// Its guarantee and limit.
    pub share: TeamShare,
}

/// Fixed facts of a cycle.
#[derive(Clone, Copy, Debug)]
pub struct CycleParameters {
    /// Now.
    pub now: Time,
    /// Most that the fetches of one gang may differ.
    pub most_skew: TimeSpan,
}

/// A cycle's state.
#[derive(Debug)]
pub struct SchedulingCycle<'a> {
    /// Fixed facts.
    pub pace: CycleParameters,
    /// The machines.
    pub rows: &'a mut [MachineRow],
    /// The teams.
    pub teams: &'a mut BTreeMap<Team, TeamUse>,
    /// Fetch estimates.
    pub estimates: &'a FetchEstimates,
    /// Decisions so far.
    pub starts: Vec<StartDecision>,
    /// Rows held for a gang that has waited long.
    pub held: BTreeMap<usize, JobId>,
    /// Rows that had room for the smallest want when last looked at. Where
    /// most machines are full, looking at the others is what a cycle costs.
    open: Vec<usize>,
    /// Of these, the ones with room for each need that was looked for: rows
    /// only lose room until the next look, and needs are few.
    roomy: Vec<RowsWithRoom>,
    /// Rows by when they should be free, all and of each zone, for holding:
    /// made when first asked for, void once a row's time changes.
    soonest: Vec<RowsByAvailability>,
    /// Zones with machines.
    zones: BTreeSet<Zone>,
    /// How many rows hold each image, or are fetching it.
    holders: HashMap<Image, usize>,
}

impl<'a> SchedulingCycle<'a> {
    /// A cycle over these tables, with nothing placed yet.
    pub fn new(
        pace: CycleParameters,
        rows: &'a mut [MachineRow],
        teams: &'a mut BTreeMap<Team, TeamUse>,
        estimates: &'a FetchEstimates,
    ) -> SchedulingCycle<'a> {
        let mut holders: HashMap<Image, usize> = HashMap::new();
        for image in rows.iter().flat_map(|r| r.cache.known()) {
            match holders.get_mut(image) {
                Some(n) => *n += 1,
                None => {
                    holders.insert(image.clone(), 1);
                }
            }
        }
        SchedulingCycle {
            pace,
            zones: rows.iter().map(|r| r.zone.clone()).collect(),
            open: Vec::new(),
            roomy: Vec::new(),
            soonest: Vec::new(),
            holders,
            rows,
            teams,
            estimates,
            starts: Vec::new(),
            held: BTreeMap::new(),
        }
    }

    /// Zones with machines.
    pub fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    /// Runs the cycle; what was placed leaves `wants`.
    pub fn run(&mut self, wants: &mut [PlacementRequest]) {
        self.run_warm(wants);
        self.run_rest(wants);
    }

    /// The cycle's first part: high-priority work where its image is, or
    /// nearly is. Between the parts room may be made where an image is held,
    /// which is often sooner than a fetch elsewhere.
    pub fn run_warm(&mut self, wants: &mut [PlacementRequest]) {
        wants.sort_by_cached_key(PlacementRequest::rank);
        self.look(wants);
        self.high(wants, PlacementScope::Warm);
    }

    /// Before the cycle: classes and teams below their floor, up to it.
    pub fn run_floors(&mut self, wants: &mut [PlacementRequest], floors: &mut MinimumShares) {
        if floors.is_empty() {
            return;
        }
        wants.sort_by_cached_key(PlacementRequest::rank);
        self.look(wants);
        let Some(whole) = self.rows.iter().map(|r| r.whole).reduce(|a, b| a.most(&b)) else {
            return;
        };
        for want in wants.iter_mut().filter(|w| !w.tasks.is_empty()) {
            let groups = ShareGroup::both(&want.class, &want.team);
            let lacks = groups.iter().map(|g| floors.lacks(g)).fold(0.0, f64::max);
            let each = want.need.share_of(&whole);
            // The last task may go a little above the floor, a gang whole.
            let most = if lacks <= 0.0 {
                continue;
            } else if want.gang {
                want.tasks.len()
            } else {
                ((lacks / each).ceil() as usize).min(want.tasks.len())
            };
            let rest = want.tasks.split_off(most);
            self.place(want, PlacementScope::Any);
            let placed = (most - want.tasks.len()) as f64 * each;
            want.tasks.extend(rest);
            groups.iter().for_each(|g| floors.gain(g, placed));
        }
    }

    /// The rest of the cycle.
    pub fn run_rest(&mut self, wants: &mut [PlacementRequest]) {
        self.look(wants);
        self.high(wants, PlacementScope::Any);
        // Without this a gang that needs several machines at once would wait
        // for ever behind smaller work that takes each one as it comes free.
        // What finds too few machines to hold leaves none to a larger one like
        // it: in a rush there are hundreds.
        let mut failed: Vec<PlacementRequest> = Vec::new();
        for want in wants.iter_mut().filter(|w| w.aged) {
            self.place(want, PlacementScope::Any);
            let hopeless =
                |f: &PlacementRequest| want.tasks.len() >= f.tasks.len() && want.is_like(f);
            if want.gang
                && !want.tasks.is_empty()
                && self.held.len() < self.rows.len()
                && !failed.iter().any(hopeless)
                && !self.hold(want)
            {
                failed.push(want.clone());
            }
        }
        for level in [Priority::Normal, Priority::Low] {
            let mut batch: Vec<usize> = (0..wants.len())
                .filter(|&i| wants[i].priority == level)
                .collect();
            for &i in &batch {
                self.place(&mut wants[i], PlacementScope::Holders);
            }
            // Fewest holders first: the rarest image gains most from a fetch.
            batch.sort_by_cached_key(|&i| {
                let w = &wants[i];
                (
                    std::cmp::Reverse(w.entitled),
                    self.holders(&w.image),
                    w.order,
                )
            });
            for &i in &batch {
                self.place(&mut wants[i], PlacementScope::Gated);
            }
        }
    }

    fn high(&mut self, wants: &mut [PlacementRequest], reach: PlacementScope) {
        let mut groups: BTreeMap<Image, Vec<usize>> = BTreeMap::new();
        for (i, w) in wants.iter().enumerate().filter(|(_, w)| w.is_high()) {
            groups.entry(w.image.clone()).or_default().push(i);
        }
        let mut order: Vec<_> = groups
            .into_iter()
            .map(|(image, members)| {
                let first = &wants[members[0]];
                let cold = self.holders(&image) == 0;
                let cost = if cold {
                    self.estimates.of(&image, first.image_gb, None)
                } else {
                    TimeSpan::ZERO
                };
                let key = (std::cmp::Reverse(first.priority), cold, cost, first.order);
                (key, members)
            })
            .collect();
        order.sort();
        for (_, members) in order {
            for i in members {
                self.place(&mut wants[i], reach);
            }
        }
    }

    fn holders(&self, image: &Image) -> usize {
        self.holders.get(image).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
