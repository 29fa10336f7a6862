//! What teams use of their quotas, in exact units: what their tasks take or may take,
//! and what of that is being stopped. What may be reclaimed from a team for another
//! team's guaranteed quota is computed from this and from nothing else.

use crate::settings::TeamShare;
use crate::types::{Resources, Team};
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// CPUs and GPUs in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaUnits {
    /// Thousandths of a CPU.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
}

/// Bound on an amount in thousandths, so that sums of amounts can't overflow.
const MAX_THOUSANDTHS: f64 = 1e15;

fn thousandths(amount: f64) -> i64 {
    (amount * 1000.0)
        .round()
        .clamp(-MAX_THOUSANDTHS, MAX_THOUSANDTHS) as i64
}

impl QuotaUnits {
    /// Amounts in units; memory is not under quota.
    pub fn of(amounts: &Resources) -> QuotaUnits {
        QuotaUnits {
            cpus: thousandths(amounts.cpus),
            gpus: thousandths(amounts.gpus),
        }
    }

    /// These units `count` times.
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

/// What one team uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUsage {
    /// Its quota: guaranteed and maximum.
    pub share: TeamShare,
    /// What its tasks take or may take.
    pub used: QuotaUnits,
    /// What of that is being stopped.
    pub stopping: QuotaUnits,
}

impl TeamUsage {
    /// What it uses once all that is being stopped has ended.
    pub fn used_after_stops(&self) -> QuotaUnits {
        self.used - self.stopping
    }

    /// What it uses beyond its guaranteed quota; zero of a resource without one.
    pub fn beyond_guarantee(&self) -> QuotaUnits {
        let beyond = |guarantee: Option<f64>, stays: i64| {
            guarantee.map_or(0, |amount| (stays - thousandths(amount)).max(0))
        };
        let stays = self.used_after_stops();
        QuotaUnits {
            cpus: beyond(self.share.cpus, stays.cpus),
            gpus: beyond(self.share.gpus, stays.gpus),
        }
    }

    /// Whether it keeps its guaranteed quota when it loses `units`, besides what is
    /// being stopped already.
    fn covers(&self, units: QuotaUnits) -> bool {
        let rest = self.used_after_stops() - units;
        let kept = |guarantee: Option<f64>, rest: i64| {
            guarantee.is_none_or(|amount| rest >= thousandths(amount))
        };
        kept(self.share.cpus, rest.cpus) && kept(self.share.gpus, rest.gpus)
    }
}

/// What all teams use.
#[derive(Clone, Debug, Default)]
pub struct QuotaUsage {
    teams: BTreeMap<Team, TeamUsage>,
}

impl QuotaUsage {
    /// These teams, with nothing used yet.
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

    /// Adds `tasks` tasks of a team that take `each`, of which `stopping` are being
    /// stopped. Teams that this was not made for are not counted.
    pub fn add_tasks(&mut self, team: &Team, each: QuotaUnits, tasks: usize, stopping: usize) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.used = usage.used + each.times(tasks);
            usage.stopping = usage.stopping + each.times(stopping);
        }
    }

    /// Counts `units` more of a team as being stopped.
    pub fn add_stopping(&mut self, team: &Team, units: QuotaUnits) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.stopping = usage.stopping + units;
        }
    }

    /// Whether a team keeps its guaranteed quota when it loses `units`, besides what is
    /// being stopped already. False for a team that is not counted.
    pub fn keeps_guarantee(&self, team: &Team, units: QuotaUnits) -> bool {
        self.teams
            .get(team)
            .is_some_and(|usage| usage.covers(units))
    }

    /// The teams with what they use.
    pub fn teams(&self) -> impl Iterator<Item = (&Team, &TeamUsage)> {
        self.teams.iter()
    }
}
