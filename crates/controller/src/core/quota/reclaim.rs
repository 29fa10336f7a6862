//! Limits on reclaiming: how much of the work of a team or class may be stopped for
//! other work. The tasks to stop are chosen in `preemption`.

use super::minimum_share::{MinimumShares, ShareGroup};
use super::usage::{QuotaUnits, QuotaUsage};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{Class, Resources, Team};
use std::collections::BTreeMap;

/// Work whose preemption is to be checked: a task, or a whole gang.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimCandidate<'a> {
    /// The team that loses the work.
    pub team: &'a Team,
    /// The class that loses the work.
    pub class: &'a Class,
    /// Total resources of the task or of all tasks of the gang.
    pub resources: Resources,
    /// The same resources as a number of machines.
    pub machines: f64,
    /// Whether a guaranteed quota is the only reason to stop the work, and not a higher
    /// priority.
    pub for_guarantee: bool,
}

/// Work that one search has chosen to stop so far, while the search can still fail.
#[derive(Clone, Debug, Default)]
pub struct ReclaimUsage {
    /// Quota units that each team loses.
    teams: BTreeMap<Team, QuotaUnits>,
    /// Number of machines that each class and team loses.
    groups: BTreeMap<ShareGroup, f64>,
}

/// Limits on all work that the preemptions of one cycle may stop together.
#[derive(Clone, Debug, Default)]
pub struct ReclaimLimits {
    /// Quota usage of each team.
    pub usage: QuotaUsage,
    /// Minimum shares that classes and teams keep.
    pub minimum_shares: MinimumShares,
}

impl ReclaimLimits {
    /// Whether the work `loss` may be stopped in addition to all stopped work and to
    /// `reclaimed`: its team keeps its guaranteed quota, and its class and team keep their
    /// minimum shares.
    pub fn allows(&self, reclaimed: &ReclaimUsage, loss: &ReclaimCandidate<'_>) -> bool {
        if loss.for_guarantee
            && failpoints::enforced(SafetyCheck::ReclaimsAreBounded)
            && !self.keeps_guarantee(reclaimed, loss)
        {
            return false;
        }
        let groups = ShareGroup::of_job(loss.class, loss.team);
        groups.iter().all(|group| {
            let before = reclaimed.groups.get(group).copied().unwrap_or(0.0);
            self.minimum_shares
                .allows_loss(group, before + loss.machines)
        })
    }

    fn keeps_guarantee(&self, reclaimed: &ReclaimUsage, loss: &ReclaimCandidate<'_>) -> bool {
        let before = reclaimed.teams.get(loss.team).copied().unwrap_or_default();
        let after = before + QuotaUnits::of(&loss.resources);
        self.usage.keeps_guarantee(loss.team, after)
    }

    /// Adds work to `reclaimed`, the choice of a search that can still fail.
    pub fn count_reclaimed(&self, reclaimed: &mut ReclaimUsage, loss: &ReclaimCandidate<'_>) {
        let team = reclaimed.teams.entry(loss.team.clone()).or_default();
        *team = *team + QuotaUnits::of(&loss.resources);
        for group in ShareGroup::of_job(loss.class, loss.team) {
            *reclaimed.groups.entry(group).or_default() += loss.machines;
        }
    }

    /// Counts work as being stopped, for all later searches.
    pub fn record_stopping(&mut self, loss: &ReclaimCandidate<'_>) {
        self.usage
            .add_stopping(loss.team, QuotaUnits::of(&loss.resources));
        for group in ShareGroup::of_job(loss.class, loss.team) {
            self.minimum_shares.subtract_used(&group, loss.machines);
        }
    }
}
