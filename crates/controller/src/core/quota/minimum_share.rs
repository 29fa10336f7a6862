//! A floor for every class and team: while more urgent work takes all there
//! is, one that is served less than it should be goes first for a part of the
//! machines, and what it has of that part is not stopped for priority.

use crate::types::{Class, Team};
use crate::wire::users::Priority;
use std::collections::BTreeMap;

/// Floors together never take more of the fleet than this.
const MOST_OF_FLEET: f64 = 0.5;
/// Served less than this much above the share asked for, a floor begins.
const BEGINS_ABOVE: f64 = 0.0;

/// Whom a floor is for.
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
}

/// What is known of a group's service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    /// Work that came within the window, in machine seconds.
    pub arrived: f64,
    /// Work that has waited too long, in machine seconds.
    pub overdue: f64,
    /// Machines that it has.
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

    /// The share of the window's work that was served, as far as can be told.
    pub fn share(&self) -> f64 {
        if self.overdue <= 0.0 {
            return 1.0;
        }
        1.0 - self.overdue / self.arrived.max(self.overdue)
    }
}

#[derive(Clone, Copy, Debug)]
struct MinimumShare {
    least: f64,
    used: f64,
}

/// The floors in force.
#[derive(Clone, Debug, Default)]
pub struct MinimumShares {
    groups: BTreeMap<ShareGroup, MinimumShare>,
}

/// Divides `total` so that nobody gets more than asked for, and who gets less
/// gets no less than anybody else.
fn divide(mut total: f64, asked: &mut [(f64, f64)]) {
    asked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let n = asked.len();
    for (i, (want, gets)) in asked.iter_mut().enumerate() {
        *gets = want.min(total / (n - i) as f64);
        total -= *gets;
    }
}

impl MinimumShares {
    /// The floors that a fleet of so many machines gives, where a `share` of
    /// what came within `window_s` seconds is to be served.
    pub fn new(
        services: &BTreeMap<ShareGroup, Service>,
        fleet: f64,
        share: f64,
        window_s: f64,
    ) -> MinimumShares {
        let mut floors = MinimumShares::default();
        if share <= 0.0 {
            return floors;
        }
        for of_teams in [false, true] {
            let of: Vec<_> = services
                .iter()
                .filter(|(g, _)| matches!(g, ShareGroup::Team(_)) == of_teams)
                .filter(|(_, s)| s.overdue > 0.0)
                .collect();
            // What goes first anyway needs no floor, unless all are alike.
            let top = of.iter().filter_map(|(_, s)| s.priority).max();
            let alike = of.iter().all(|(_, s)| s.priority == top);
            let starved: Vec<_> = of
                .into_iter()
                .filter(|(_, s)| alike || s.priority < top)
                .filter(|(_, s)| s.share() < share + BEGINS_ABOVE)
                .collect();
            let need = |s: &Service| share * (s.arrived + s.overdue) / window_s;
            let mut asked: Vec<(f64, f64)> = starved.iter().map(|(_, s)| (need(s), 0.0)).collect();
            divide(fleet * MOST_OF_FLEET, &mut asked);
            // The largest that anybody gets bounds those who asked for more.
            let most = asked.iter().map(|(_, gets)| *gets).fold(0.0, f64::max);
            for (group, s) in starved {
                let floor = MinimumShare {
                    least: need(s).min(most),
                    used: s.used,
                };
                floors.groups.insert(group.clone(), floor);
            }
        }
        floors
    }

    /// Machines that a group lacks to its floor.
    pub fn lacks(&self, group: &ShareGroup) -> f64 {
        let floor = self.groups.get(group);
        floor.map_or(0.0, |f| (f.least - f.used).max(0.0))
    }

    /// Whether a group keeps its floor when it loses so many machines.
    pub fn spares(&self, group: &ShareGroup, machines: f64) -> bool {
        let floor = self.groups.get(group);
        floor.is_none_or(|f| f.used - machines >= f.least)
    }

    /// Work of a group was placed.
    pub fn gain(&mut self, group: &ShareGroup, machines: f64) {
        if let Some(f) = self.groups.get_mut(group) {
            f.used += machines;
        }
    }

    /// Work of a group is stopped.
    pub fn lose(&mut self, group: &ShareGroup, machines: f64) {
        self.gain(group, -machines);
    }

    /// Whether none is in force.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// A group's floor in machines, if one is in force.
    pub fn of(&self, group: &ShareGroup) -> Option<f64> {
        self.groups.get(group).map(|f| f.least)
    }
}

#[cfg(test)]
mod tests;
