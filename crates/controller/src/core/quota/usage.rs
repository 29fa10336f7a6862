//! One account of what teams hold, in exact units: what their tasks take or
//! may take, and what of that is being stopped. What a guarantee may take back
//! from a team is read from here and from nowhere else.

use crate::settings::TeamShare;
use crate::types::{Resources, Team};
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// Processors and graphics processors in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaUnits {
    /// Thousandths of processors.
    pub cpus: i64,
    /// Thousandths of graphics processors.
    pub gpus: i64,
}

fn thousandths(amount: f64) -> i64 {
    (amount * 1000.0).round().clamp(-1e15, 1e15) as i64
}

impl QuotaUnits {
    /// Amounts in units.
    pub fn of(a: &Resources) -> QuotaUnits {
        QuotaUnits {
            cpus: thousandths(a.cpus),
            gpus: thousandths(a.gpus),
        }
    }

    /// These units `n` times.
    pub fn times(self, n: usize) -> QuotaUnits {
        QuotaUnits {
            cpus: self.cpus * n as i64,
            gpus: self.gpus * n as i64,
        }
    }
}

impl Add for QuotaUnits {
    type Output = QuotaUnits;
    fn add(self, o: QuotaUnits) -> QuotaUnits {
        QuotaUnits {
            cpus: self.cpus + o.cpus,
            gpus: self.gpus + o.gpus,
        }
    }
}

impl Sub for QuotaUnits {
    type Output = QuotaUnits;
    fn sub(self, o: QuotaUnits) -> QuotaUnits {
        QuotaUnits {
            cpus: self.cpus - o.cpus,
            gpus: self.gpus - o.gpus,
        }
    }
}

/// What one team holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUsage {
    /// Its guarantee and limit.
    pub share: TeamShare,
    /// What its tasks take or may take.
    pub used: QuotaUnits,
    /// What of that is being stopped.
    pub stopping: QuotaUnits,
}

impl TeamUsage {
    /// What is left when all that is being stopped is gone.
    pub fn stays(&self) -> QuotaUnits {
        self.used - self.stopping
    }

    /// What it runs beyond its guarantee, of each that is guaranteed.
    pub fn lent(&self) -> QuotaUnits {
        let beyond = |guarantee: Option<f64>, stays: i64| {
            guarantee.map_or(0, |g| (stays - thousandths(g)).max(0))
        };
        let stays = self.stays();
        QuotaUnits {
            cpus: beyond(self.share.cpus, stays.cpus),
            gpus: beyond(self.share.gpus, stays.gpus),
        }
    }
}

/// What all teams hold.
#[derive(Clone, Debug, Default)]
pub struct QuotaUsage {
    teams: BTreeMap<Team, TeamUsage>,
}

impl QuotaUsage {
    /// Nothing held yet by these teams.
    pub fn new(shares: &BTreeMap<Team, TeamShare>) -> QuotaUsage {
        let one = |(team, share): (&Team, &TeamShare)| {
            let holding = TeamUsage {
                share: *share,
                ..TeamUsage::default()
            };
            (team.clone(), holding)
        };
        QuotaUsage {
            teams: shares.iter().map(one).collect(),
        }
    }

    /// A team holds `tasks` tasks that take so much each, `stopping` of them
    /// on their way out.
    pub fn hold(&mut self, team: &Team, each: QuotaUnits, tasks: usize, stopping: usize) {
        if let Some(t) = self.teams.get_mut(team) {
            t.used = t.used + each.times(tasks);
            t.stopping = t.stopping + each.times(stopping);
        }
    }

    /// So much more of a team is being stopped.
    pub fn take(&mut self, team: &Team, units: QuotaUnits) {
        if let Some(t) = self.teams.get_mut(team) {
            t.stopping = t.stopping + units;
        }
    }

    /// Whether a team that loses so much, beside what it is losing already,
    /// keeps its guarantee.
    pub fn covers(&self, team: &Team, units: QuotaUnits) -> bool {
        self.teams.get(team).is_some_and(|t| {
            let rest = t.stays() - units;
            let kept = |guarantee: Option<f64>, rest: i64| {
                guarantee.is_none_or(|g| rest >= thousandths(g))
            };
            kept(t.share.cpus, rest.cpus) && kept(t.share.gpus, rest.gpus)
        })
    }

    /// The teams.
    pub fn teams(&self) -> impl Iterator<Item = (&Team, &TeamUsage)> {
        self.teams.iter()
    }
}
