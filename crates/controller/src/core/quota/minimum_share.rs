//! Minimum shares of the fleet for classes and teams: while more urgent work takes all
//! there is, a group that is served less than it should be goes first for a part of the
//! machines, and what it has of that part is not preempted.

use crate::types::{Class, Team};
use crate::wire::users::Priority;
use std::collections::BTreeMap;

/// Part of the fleet that the minimum shares of all classes, or of all teams, together
/// never exceed: more urgent work keeps the rest.
const MAX_PART_OF_FLEET: f64 = 0.5;

/// Whom a minimum share is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareGroup {
    /// A class of jobs.
    Class(Class),
    /// A team.
    Team(Team),
}

impl ShareGroup {
    /// Both groups that a job belongs to.
    pub fn both(class: &Class, team: &Team) -> [ShareGroup; 2] {
        [
            ShareGroup::Class(class.clone()),
            ShareGroup::Team(team.clone()),
        ]
    }

    fn is_team(&self) -> bool {
        matches!(self, ShareGroup::Team(_))
    }
}

/// How a group is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    /// Work that arrived within the window, in machine seconds.
    pub arrived: f64,
    /// Work that has waited too long, in machine seconds.
    pub overdue: f64,
    /// Machines that it uses.
    pub used: f64,
    /// The highest priority among what is overdue.
    pub priority: Option<Priority>,
}

impl Service {
    /// Adds what is known of a part of the group.
    pub fn add(&mut self, part: &Service) {
        self.arrived += part.arrived;
        self.overdue += part.overdue;
        self.used += part.used;
        self.priority = self.priority.max(part.priority);
    }

    /// The share, from 0 to 1, of the window's work that was served, as far as can be
    /// told from what is overdue.
    pub fn share(&self) -> f64 {
        if self.overdue <= 0.0 {
            return 1.0;
        }
        1.0 - self.overdue / self.arrived.max(self.overdue)
    }
}

/// A minimum share in force, in machines.
#[derive(Clone, Copy, Debug)]
struct MinimumShare {
    /// Machines that the group should have.
    least: f64,
    /// Machines that it has.
    used: f64,
}

/// The minimum shares in force.
#[derive(Clone, Debug, Default)]
pub struct MinimumShares {
    groups: BTreeMap<ShareGroup, MinimumShare>,
}

/// The largest amount that anyone gets when `total` is divided by max-min fairness:
/// nobody gets more than requested, and who gets less gets no less than anybody else.
fn largest_fair_amount(mut total: f64, mut requested: Vec<f64>) -> f64 {
    requested.sort_by(f64::total_cmp);
    let count = requested.len();
    let mut largest: f64 = 0.0;
    for (index, amount) in requested.into_iter().enumerate() {
        let granted = amount.min(total / (count - index) as f64);
        total -= granted;
        largest = largest.max(granted);
    }
    largest
}

impl MinimumShares {
    /// The minimum shares in a fleet of `fleet` machines, where a `share` (0 to 1) of
    /// the work that arrived within `window_s` seconds is to be served.
    pub fn new(
        services: &BTreeMap<ShareGroup, Service>,
        fleet: f64,
        share: f64,
        window_s: f64,
    ) -> MinimumShares {
        let mut shares = MinimumShares::default();
        if share <= 0.0 {
            return shares;
        }
        let (teams, classes): (Vec<_>, Vec<_>) = services
            .iter()
            .filter(|(_, service)| service.overdue > 0.0)
            .partition(|(group, _)| group.is_team());
        for overdue in [classes, teams] {
            let starved = starved_groups(overdue, share);
            let needed = |s: &Service| share * (s.arrived + s.overdue) / window_s;
            let requested = starved.iter().map(|(_, s)| needed(s)).collect();
            let largest = largest_fair_amount(fleet * MAX_PART_OF_FLEET, requested);
            for (group, service) in starved {
                let minimum = MinimumShare {
                    // The largest that anybody gets bounds those who requested more.
                    least: needed(service).min(largest),
                    used: service.used,
                };
                shares.groups.insert(group.clone(), minimum);
            }
        }
        shares
    }

    /// Machines that a group lacks to its minimum share.
    pub fn shortfall(&self, group: &ShareGroup) -> f64 {
        let minimum = self.groups.get(group);
        minimum.map_or(0.0, |share| (share.least - share.used).max(0.0))
    }

    /// Whether a group keeps its minimum share when it loses so many machines.
    pub fn allows_loss(&self, group: &ShareGroup, machines: f64) -> bool {
        let minimum = self.groups.get(group);
        minimum.is_none_or(|share| share.used - machines >= share.least)
    }

    /// Counts work of a group that was placed, in machines.
    pub fn gain(&mut self, group: &ShareGroup, machines: f64) {
        if let Some(share) = self.groups.get_mut(group) {
            share.used += machines;
        }
    }

    /// Counts work of a group that is stopped, in machines.
    pub fn lose(&mut self, group: &ShareGroup, machines: f64) {
        self.gain(group, -machines);
    }

    /// Whether no minimum share is in force.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// A group's minimum share in machines, if one is in force.
    pub fn of(&self, group: &ShareGroup) -> Option<f64> {
        self.groups.get(group).map(|share| share.least)
    }
}

/// Of groups with overdue work, those that are served less than `share`.
fn starved_groups<'a>(
    overdue: Vec<(&'a ShareGroup, &'a Service)>,
    share: f64,
) -> Vec<(&'a ShareGroup, &'a Service)> {
    // What goes first anyway needs no minimum share, unless all are of one priority.
    let highest = overdue.iter().filter_map(|(_, s)| s.priority).max();
    let all_alike = overdue.iter().all(|(_, s)| s.priority == highest);
    overdue
        .into_iter()
        .filter(|(_, s)| all_alike || s.priority < highest)
        .filter(|(_, s)| s.share() < share)
        .collect()
}

#[cfg(test)]
mod tests;
