//! Limits on reclaiming: how much of the work of a team or class may be stopped for
//! other work. Does not choose what is stopped.

use super::minimum_share::{MinimumShares, ShareGroup};
use super::usage::{QuotaUnits, QuotaUsage};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{Class, Resources, Team};
use std::collections::BTreeMap;

/// Work that may be stopped: a task, or a whole gang.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimCandidate<'a> {
    /// Its team.
    pub team: &'a Team,
    /// Its class.
    pub class: &'a Class,
    /// Resources of all its tasks together.
    pub resources: Resources,
    /// The same as a number of machines.
    pub machines: f64,
    /// Whether only a guaranteed quota is a reason to stop it, not a higher priority.
    pub for_guarantee: bool,
}

/// What one search has chosen to stop so far, before it is known whether it succeeds.
#[derive(Clone, Debug, Default)]
pub struct ReclaimUsage {
    teams: BTreeMap<Team, QuotaUnits>,
    /// Machines of each class and team.
    groups: BTreeMap<ShareGroup, f64>,
}

/// What all reclaims of a cycle together may take.
#[derive(Clone, Debug, Default)]
pub struct ReclaimLimits {
    /// What teams use of their quotas.
    pub usage: QuotaUsage,
    /// What classes and teams must be left.
    pub minimum_shares: MinimumShares,
}

impl ReclaimLimits {
    /// Whether this work may be stopped too, after all that was taken and `spent`: its
    /// team keeps its guaranteed quota, its class and team their minimum shares.
    pub fn allows(&self, spent: &ReclaimUsage, loss: &ReclaimCandidate<'_>) -> bool {
        if loss.for_guarantee
            && failpoints::enforced(SafetyCheck::ReclaimsAreBounded)
            && !self.keeps_guarantee(spent, loss)
        {
            return false;
        }
        let groups = ShareGroup::both(loss.class, loss.team);
        groups.iter().all(|group| {
            let before = spent.groups.get(group).copied().unwrap_or(0.0);
            self.minimum_shares
                .allows_loss(group, before + loss.machines)
        })
    }

    fn keeps_guarantee(&self, spent: &ReclaimUsage, loss: &ReclaimCandidate<'_>) -> bool {
        let before = spent.teams.get(loss.team).copied().unwrap_or_default();
        let after = before + QuotaUnits::of(&loss.resources);
        self.usage.keeps_guarantee(loss.team, after)
    }

    /// Counts work as chosen by a search that may yet fail.
    pub fn spend(&self, spent: &mut ReclaimUsage, loss: &ReclaimCandidate<'_>) {
        let team = spent.teams.entry(loss.team.clone()).or_default();
        *team = *team + QuotaUnits::of(&loss.resources);
        for group in ShareGroup::both(loss.class, loss.team) {
            *spent.groups.entry(group).or_default() += loss.machines;
        }
    }

    /// Counts work as stopped: later searches see that.
    pub fn take(&mut self, loss: &ReclaimCandidate<'_>) {
        self.usage
            .add_stopping(loss.team, QuotaUnits::of(&loss.resources));
        for group in ShareGroup::both(loss.class, loss.team) {
            self.minimum_shares.lose(&group, loss.machines);
        }
    }
}
