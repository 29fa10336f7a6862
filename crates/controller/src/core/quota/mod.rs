//! What teams and classes hold, are owed, and may lose. Plain values: the
//! leader tells what is so, and asks what may be stopped.

pub mod arrival_history;
pub mod minimum_share;
pub mod usage;

use crate::core::failpoints::{self, Decision};
use crate::types::{Class, Resources, Team};
use minimum_share::{Floors, Group};
use std::collections::BTreeMap;
use usage::{Account, Units};

/// Work that may be stopped: a task, or a gang whole.
#[derive(Clone, Copy, Debug)]
pub struct Loss<'a> {
    /// Its team.
    pub team: &'a Team,
    /// Its class.
    pub class: &'a Class,
    /// What it takes altogether.
    pub takes: Resources,
    /// The machines that makes.
    pub machines: f64,
    /// Whether only a guarantee is a reason to stop it, not its priority.
    pub for_guarantee: bool,
}

/// What one claim has taken so far, before it is known whether it is made.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    teams: BTreeMap<Team, Units>,
    groups: BTreeMap<Group, f64>,
}

/// What claims may take, all of them together.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// What teams hold.
    pub account: Account,
    /// What classes and teams must be left.
    pub floors: Floors,
}

impl Bounds {
    /// Whether this may be stopped too, after all that was taken and spent.
    pub fn allows(&self, spent: &Spent, loss: &Loss<'_>) -> bool {
        if loss.for_guarantee && failpoints::holds(Decision::ClaimsAreBounded) {
            let before = spent.teams.get(loss.team).copied().unwrap_or_default();
            if !self
                .account
                .covers(loss.team, before + Units::of(&loss.takes))
            {
                return false;
            }
        }
        Group::both(loss.class, loss.team).iter().all(|g| {
            let before = spent.groups.get(g).copied().unwrap_or(0.0);
            self.floors.spares(g, before + loss.machines)
        })
    }

    /// Notes it as spent by a claim that may yet come to nothing.
    pub fn spend(&self, spent: &mut Spent, loss: &Loss<'_>) {
        let team = spent.teams.entry(loss.team.clone()).or_default();
        *team = *team + Units::of(&loss.takes);
        for g in Group::both(loss.class, loss.team) {
            *spent.groups.entry(g).or_default() += loss.machines;
        }
    }

    /// It is stopped: a later claim sees that.
    pub fn take(&mut self, loss: &Loss<'_>) {
        self.account.take(loss.team, Units::of(&loss.takes));
        for g in Group::both(loss.class, loss.team) {
            self.floors.lose(&g, loss.machines);
        }
    }
}
