//! What may be stopped.

use super::minimum_share::{MinimumShares, ShareGroup};
use super::usage::{QuotaUnits, QuotaUsage};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{Class, Resources, Team};
use std::collections::BTreeMap;

/// Work that may be stopped: a task, or a gang whole.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimCandidate<'a> {
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
pub struct ReclaimUsage {
    teams: BTreeMap<Team, QuotaUnits>,
    groups: BTreeMap<ShareGroup, f64>,
}

/// What claims may take, all of them together.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// What teams hold.
    pub account: QuotaUsage,
    /// What classes and teams must be left.
    pub floors: MinimumShares,
}

impl Bounds {
    /// Whether this may be stopped too, after all that was taken and spent.
    pub fn allows(&self, spent: &ReclaimUsage, loss: &ReclaimCandidate<'_>) -> bool {
        if loss.for_guarantee && failpoints::enforced(SafetyCheck::ClaimsAreBounded) {
            let before = spent.teams.get(loss.team).copied().unwrap_or_default();
            if !self
                .account
                .covers(loss.team, before + QuotaUnits::of(&loss.takes))
            {
                return false;
            }
        }
        ShareGroup::both(loss.class, loss.team).iter().all(|g| {
            let before = spent.groups.get(g).copied().unwrap_or(0.0);
            self.floors.spares(g, before + loss.machines)
        })
    }

    /// Notes it as spent by a claim that may yet come to nothing.
    pub fn spend(&self, spent: &mut ReclaimUsage, loss: &ReclaimCandidate<'_>) {
        let team = spent.teams.entry(loss.team.clone()).or_default();
        *team = *team + QuotaUnits::of(&loss.takes);
        for g in ShareGroup::both(loss.class, loss.team) {
            *spent.groups.entry(g).or_default() += loss.machines;
        }
    }

    /// It is stopped: a later claim sees that.
    pub fn take(&mut self, loss: &ReclaimCandidate<'_>) {
        self.account.take(loss.team, QuotaUnits::of(&loss.takes));
        for g in ShareGroup::both(loss.class, loss.team) {
            self.floors.lose(&g, loss.machines);
        }
    }
}
