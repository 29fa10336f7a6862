//! Minimum shares of the fleet for classes and teams. While work of higher priority would
//! occupy all machines, an underserved class or team is placed first on a part of the
//! fleet, and its work within that part is not preempted.

use crate::types::{Class, Team};
use crate::wire::users::Priority;
use std::collections::BTreeMap;

/// Maximum fraction of the fleet for the minimum shares of all classes together, and for
/// those of all teams together. Work of higher priority keeps the rest.
const MAX_FLEET_FRACTION: f64 = 0.5;

/// A class or team that can have a minimum share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareGroup {
    /// All jobs of a class.
    Class(Class),
    /// All jobs of a team.
    Team(Team),
}

impl ShareGroup {
    /// The two groups that a job belongs to.
    pub fn of_job(class: &Class, team: &Team) -> [ShareGroup; 2] {
        [
            ShareGroup::Class(class.clone()),
            ShareGroup::Team(team.clone()),
        ]
    }

    fn is_team(&self) -> bool {
        matches!(self, ShareGroup::Team(_))
    }
}

/// Demand, delay and usage of a group within the window of [`MinimumShares::new`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLevel {
    /// Work that arrived within the window, in machine seconds.
    pub arrived_machine_seconds: f64,
    /// Waiting work that is overdue, in machine seconds.
    pub overdue_machine_seconds: f64,
    /// Number of machines that the group's tasks occupy.
    pub used_machines: f64,
    /// Highest priority of the overdue work; `None` without overdue work.
    pub priority: Option<Priority>,
}

impl ServiceLevel {
    /// Adds the figures of a part of the group.
    pub fn add(&mut self, part: &ServiceLevel) {
        self.arrived_machine_seconds += part.arrived_machine_seconds;
        self.overdue_machine_seconds += part.overdue_machine_seconds;
        self.used_machines += part.used_machines;
        self.priority = self.priority.max(part.priority);
    }

    /// The fraction, from 0 to 1, of the window's work that was served, estimated from the
    /// overdue work.
    pub fn served_fraction(&self) -> f64 {
        if self.overdue_machine_seconds <= 0.0 {
            return 1.0;
        }
        1.0 - self.overdue_machine_seconds
            / self
                .arrived_machine_seconds
                .max(self.overdue_machine_seconds)
    }
}

/// A minimum share in force.
#[derive(Clone, Copy, Debug)]
struct MinimumShare {
    /// Number of machines that the group is entitled to.
    entitled_machines: f64,
    /// Number of machines that the group's tasks occupy.
    used: f64,
}

/// The minimum shares in force; a group without an entry has none.
#[derive(Clone, Debug, Default)]
pub struct MinimumShares {
    groups: BTreeMap<ShareGroup, MinimumShare>,
}

/// The largest single amount when `total` is divided by max-min fairness: no request
/// gets more than its amount, and a request that gets less than its amount gets at least
/// as much as every other request.
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
    /// Computes the minimum shares in a fleet of `fleet` machines. `share` is the fraction
    /// (0 to 1) of the work arriving within `window_s` seconds that is to be served; 0
    /// disables minimum shares.
    pub fn new(
        services: &BTreeMap<ShareGroup, ServiceLevel>,
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
            .filter(|(_, service)| service.overdue_machine_seconds > 0.0)
            .partition(|(group, _)| group.is_team());
        for overdue in [classes, teams] {
            let starved = starved_groups(overdue, share);
            let needed = |s: &ServiceLevel| {
                share * (s.arrived_machine_seconds + s.overdue_machine_seconds) / window_s
            };
            let requested = starved.iter().map(|(_, s)| needed(s)).collect();
            let largest = largest_fair_amount(fleet * MAX_FLEET_FRACTION, requested);
            for (group, service) in starved {
                let minimum = MinimumShare {
                    // The largest fair amount caps the groups that need more.
                    entitled_machines: needed(service).min(largest),
                    used: service.used_machines,
                };
                shares.groups.insert(group.clone(), minimum);
            }
        }
        shares
    }

    /// Number of machines that a group is short of its minimum share; zero for a group
    /// without one.
    pub fn shortfall(&self, group: &ShareGroup) -> f64 {
        let minimum = self.groups.get(group);
        minimum.map_or(0.0, |share| (share.entitled_machines - share.used).max(0.0))
    }

    /// Whether a group keeps its minimum share when it loses `machines` machines.
    pub fn allows_loss(&self, group: &ShareGroup, machines: f64) -> bool {
        let minimum = self.groups.get(group);
        minimum.is_none_or(|share| share.used - machines >= share.entitled_machines)
    }

    /// Adds placed work of a group, as a number of machines.
    pub fn add_used(&mut self, group: &ShareGroup, machines: f64) {
        if let Some(share) = self.groups.get_mut(group) {
            share.used += machines;
        }
    }

    /// Subtracts stopped work of a group, as a number of machines.
    pub fn subtract_used(&mut self, group: &ShareGroup, machines: f64) {
        self.add_used(group, -machines);
    }

    /// Whether no minimum share is in force.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// A group's minimum share as a number of machines; `None` if none is in force.
    pub fn machines_for(&self, group: &ShareGroup) -> Option<f64> {
        self.groups.get(group).map(|share| share.entitled_machines)
    }
}

/// The groups with overdue work whose served fraction is below `share`.
fn starved_groups<'a>(
    overdue: Vec<(&'a ShareGroup, &'a ServiceLevel)>,
    share: f64,
) -> Vec<(&'a ShareGroup, &'a ServiceLevel)> {
    // Groups of the highest priority are placed first anyway and need no minimum share,
    // unless all groups have the same priority.
    let highest = overdue.iter().filter_map(|(_, s)| s.priority).max();
    let same_priority = overdue.iter().all(|(_, s)| s.priority == highest);
    overdue
        .into_iter()
        .filter(|(_, s)| same_priority || s.priority < highest)
        .filter(|(_, s)| s.served_fraction() < share)
        .collect()
}

#[cfg(test)]
mod tests;
