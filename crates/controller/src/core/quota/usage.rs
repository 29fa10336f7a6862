//! Quota usage of teams in exact units: the resources of a team's assigned tasks, and
//! the part of them that is being stopped. The amount that may be reclaimed from a team
//! for another team's guaranteed quota is computed from this usage alone.

use crate::settings::TeamShare;
use crate::types::{Resources, Team};
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// Amounts of CPUs and GPUs as integers in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaUnits {
    /// Number of CPUs, in thousandths of a CPU.
    pub cpus: i64,
    /// Number of GPUs, in thousandths of a GPU.
    pub gpus: i64,
}

/// Maximum absolute value of one amount in thousandths, so that sums cannot overflow.
const MAX_THOUSANDTHS: f64 = 1e15;

const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

fn thousandths(amount: f64) -> i64 {
    (amount * THOUSANDTHS_PER_UNIT)
        .round()
        .clamp(-MAX_THOUSANDTHS, MAX_THOUSANDTHS) as i64
}

impl QuotaUnits {
    /// Converts amounts to quota units. Memory has no quota and is left out.
    pub fn of(amounts: &Resources) -> QuotaUnits {
        QuotaUnits {
            cpus: thousandths(amounts.cpus),
            gpus: thousandths(amounts.gpus),
        }
    }

    /// The amounts in CPUs and GPUs; no memory.
    pub fn amounts(self) -> Resources {
        Resources {
            cpus: self.cpus as f64 / THOUSANDTHS_PER_UNIT,
            gpus: self.gpus as f64 / THOUSANDTHS_PER_UNIT,
            ..Resources::default()
        }
    }

    /// These units multiplied by `count`.
    #[must_use]
    pub fn times(self, count: usize) -> QuotaUnits {
        QuotaUnits {
            cpus: self.cpus * count as i64,
            gpus: self.gpus * count as i64,
        }
    }
}

impl Add for QuotaUnits {
    type Output = QuotaUnits;
    fn add(self, other: QuotaUnits) -> QuotaUnits {
        QuotaUnits {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
        }
    }
}

impl Sub for QuotaUnits {
    type Output = QuotaUnits;
    fn sub(self, other: QuotaUnits) -> QuotaUnits {
        QuotaUnits {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
        }
    }
}

/// Quota and usage of one team.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUsage {
    /// The team's guaranteed and maximum quota.
    pub share: TeamShare,
    /// Resources of all assigned tasks, whether or not a task is confirmed to be running.
    pub used: QuotaUnits,
    /// The part of `used` whose tasks are being stopped.
    pub stopping: QuotaUnits,
}

impl TeamUsage {
    /// Usage once all tasks that are being stopped have ended.
    pub fn used_after_stops(&self) -> QuotaUnits {
        self.used - self.stopping
    }

    /// Usage beyond the guaranteed quota once all tasks that are being stopped have ended;
    /// zero for a resource without a guaranteed quota.
    pub fn beyond_guarantee(&self) -> QuotaUnits {
        let beyond = |guarantee: Option<f64>, remaining: i64| {
            guarantee.map_or(0, |amount| (remaining - thousandths(amount)).max(0))
        };
        let remaining = self.used_after_stops();
        QuotaUnits {
            cpus: beyond(self.share.cpus, remaining.cpus),
            gpus: beyond(self.share.gpus, remaining.gpus),
        }
    }

    /// Whether the team keeps its guaranteed quota when it loses `units` in addition to
    /// the tasks that are being stopped already.
    fn can_lose(&self, units: QuotaUnits) -> bool {
        let after_loss = self.used_after_stops() - units;
        let is_kept = |guarantee: Option<f64>, after_loss: i64| {
            guarantee.is_none_or(|amount| after_loss >= thousandths(amount))
        };
        is_kept(self.share.cpus, after_loss.cpus) && is_kept(self.share.gpus, after_loss.gpus)
    }
}

/// Quota and usage of all teams.
#[derive(Clone, Debug, Default)]
pub struct QuotaUsage {
    teams: BTreeMap<Team, TeamUsage>,
}

impl QuotaUsage {
    /// Creates entries with zero usage for the teams in `shares`.
    pub fn new(shares: &BTreeMap<Team, TeamShare>) -> QuotaUsage {
        let unused = |(team, share): (&Team, &TeamShare)| {
            let usage = TeamUsage {
                share: *share,
                ..TeamUsage::default()
            };
            (team.clone(), usage)
        };
        QuotaUsage {
            teams: shares.iter().map(unused).collect(),
        }
    }

    /// Adds `tasks` tasks of a team that use `each` units each; `stopping` of these tasks
    /// are being stopped. Tasks of a team without an entry are ignored.
    pub fn add_tasks(&mut self, team: &Team, each: QuotaUnits, tasks: usize, stopping: usize) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.used = usage.used + each.times(tasks);
            usage.stopping = usage.stopping + each.times(stopping);
        }
    }

    /// Counts another `units` of a team's usage as being stopped.
    pub fn add_stopping(&mut self, team: &Team, units: QuotaUnits) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.stopping = usage.stopping + units;
        }
    }

    /// Whether a team keeps its guaranteed quota when it loses `units` in addition to the
    /// tasks that are being stopped already. False for a team without an entry.
    pub fn keeps_guarantee(&self, team: &Team, units: QuotaUnits) -> bool {
        self.teams
            .get(team)
            .is_some_and(|usage| usage.can_lose(units))
    }

    /// Quota and usage of one team; `None`: the team has no entry.
    pub fn team(&self, team: &Team) -> Option<&TeamUsage> {
        self.teams.get(team)
    }

    /// All teams with their quotas and usage.
    pub fn teams(&self) -> impl Iterator<Item = (&Team, &TeamUsage)> {
        self.teams.iter()
    }
}
