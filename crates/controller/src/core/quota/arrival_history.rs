//! The recent arrivals of each class and team, as they are stored for a successor: it
//! reads the jobs that are open, but not those that arrived and have ended, and without
//! them minimum shares and reserves would take a busy hour for a quiet one.

use crate::types::{Class, Team, TimeSpan, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The key under which it is stored.
pub const ARRIVAL_HISTORY_KEY: &str = "d/f";

/// Intervals into which the window looked back over is divided.
const INTERVALS_PER_WINDOW: u64 = 20;
/// No interval is shorter than this.
const MIN_INTERVAL: TimeSpan = TimeSpan::millis(1000);
/// Most jobs that one interval is read as, so that a damaged record costs little.
const MAX_JOBS_PER_INTERVAL: u32 = 200;

/// What arrived within one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredArrivals", into = "StoredArrivals")]
struct Arrivals {
    /// Machines that the work fills.
    machines: f64,
    /// The work in machine seconds.
    machine_seconds: f64,
    /// Number of jobs.
    jobs: u32,
}

/// [`Arrivals`] as they are stored: machines, machine seconds, jobs.
type StoredArrivals = (f64, f64, u32);

impl From<StoredArrivals> for Arrivals {
    fn from((machines, machine_seconds, jobs): StoredArrivals) -> Arrivals {
        Arrivals {
            machines,
            machine_seconds,
            jobs,
        }
    }
}

impl From<Arrivals> for StoredArrivals {
    fn from(arrivals: Arrivals) -> StoredArrivals {
        (arrivals.machines, arrivals.machine_seconds, arrivals.jobs)
    }
}

impl Arrivals {
    /// Rounded to hundredths of machines and whole seconds, which take fewer bytes.
    fn rounded(&self) -> Arrivals {
        Arrivals {
            machines: (self.machines * 100.0).round() / 100.0,
            machine_seconds: self.machine_seconds.round(),
            jobs: self.jobs,
        }
    }
}

/// A job that arrived, as far as a stored history tells.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingArrival {
    /// About when it arrived.
    pub at: WallTime,
    /// Its class.
    pub class: Class,
    /// Its team.
    pub team: Team,
    /// Machines that it filled.
    pub machines: f64,
    /// For how many seconds.
    pub run_s: f64,
}

/// A class, a team, and what arrived in each interval, as it is stored.
type StoredGroup = (Class, Team, Vec<(u64, Arrivals)>);

#[derive(Serialize, Deserialize)]
struct StoredHistory {
    /// Length of an interval.
    #[serde(rename = "t")]
    interval_ms: u64,
    #[serde(rename = "c")]
    groups: Vec<StoredGroup>,
}

/// What arrived, by class, team and interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ArrivalHistory {
    /// Length of an interval.
    interval: TimeSpan,
    arrivals: BTreeMap<(Class, Team), BTreeMap<u64, Arrivals>>,
}

impl ArrivalHistory {
    /// An empty history that looks back over `window`.
    pub fn new(window: TimeSpan) -> ArrivalHistory {
        ArrivalHistory {
            interval: TimeSpan(window.0 / INTERVALS_PER_WINDOW).max(MIN_INTERVAL),
            arrivals: BTreeMap::new(),
        }
    }

    /// The number of the interval that contains a time.
    fn interval_at(&self, at: WallTime) -> u64 {
        at.0 / self.interval.as_millis().max(1)
    }

    /// Counts a job that arrived: the machines it fills, and for how many seconds.
    pub fn record(&mut self, at: WallTime, class: &Class, team: &Team, machines: f64, run_s: f64) {
        let interval = self.interval_at(at);
        let group = (class.clone(), team.clone());
        let intervals = self.arrivals.entry(group).or_default();
        let arrivals = intervals.entry(interval).or_default();
        arrivals.machines += machines;
        arrivals.machine_seconds += machines * run_s;
        arrivals.jobs += 1;
    }

    /// The history as it is to be stored: of the window before `now`, in at most
    /// `max_bytes` bytes. The oldest intervals are left out if need be.
    pub fn store(&self, now: WallTime, max_bytes: usize) -> Value {
        let mut oldest = self.interval_at(now).saturating_sub(INTERVALS_PER_WINDOW);
        loop {
            let stored = self.since_interval(oldest);
            let is_empty = stored.groups.is_empty();
            let value = serde_json::to_value(stored).unwrap_or(Value::Null);
            if is_empty || value.to_string().len() <= max_bytes {
                return value;
            }
            oldest += 1;
        }
    }

    fn since_interval(&self, oldest: u64) -> StoredHistory {
        let groups = self.arrivals.iter().map(|((class, team), intervals)| {
            let recent = intervals.range(oldest..);
            let recent = recent.map(|(interval, arrivals)| (*interval, arrivals.rounded()));
            (class.clone(), team.clone(), recent.collect())
        });
        StoredHistory {
            interval_ms: self.interval.as_millis(),
            groups: groups
                .filter(|(_, _, intervals): &StoredGroup| !intervals.is_empty())
                .collect(),
        }
    }

    /// What a stored history contains beyond what is known here, as single jobs;
    /// `None` if it cannot be read. What is known here either is part of what was
    /// stored or came later, so of each interval only the excess counts.
    pub fn missing(&self, stored: &Value) -> Option<Vec<MissingArrival>> {
        let stored = StoredHistory::deserialize(stored).ok()?;
        let mut missing = Vec::new();
        for (class, team, intervals) in stored.groups {
            let known = self.arrivals.get(&(class.clone(), team.clone()));
            for (interval, arrivals) in intervals {
                // With another window the intervals differ: each is put where its
                // middle lies.
                let start_ms = interval.saturating_mul(stored.interval_ms);
                let middle = WallTime(start_ms + stored.interval_ms / 2);
                let known = known.and_then(|known| known.get(&self.interval_at(middle)));
                let known = known.copied().unwrap_or_default();
                let Some((job, count)) = excess(arrivals, known, middle, &class, &team) else {
                    continue;
                };
                missing.extend((0..count).map(|_| job.clone()));
            }
        }
        Some(missing)
    }
}

/// By how much the arrivals stored for an interval exceed those known: a job, and how
/// many like it.
fn excess(
    stored: Arrivals,
    known: Arrivals,
    at: WallTime,
    class: &Class,
    team: &Team,
) -> Option<(MissingArrival, u32)> {
    let machines = stored.machines - known.machines;
    let machine_seconds = stored.machine_seconds - known.machine_seconds;
    if machines <= 0.0 || machine_seconds <= 0.0 {
        return None;
    }
    // As many jobs as there were, so that none looks larger than it was.
    let jobs = stored.jobs.saturating_sub(known.jobs);
    let jobs = jobs.clamp(1, MAX_JOBS_PER_INTERVAL);
    let job = MissingArrival {
        at,
        class: class.clone(),
        team: team.clone(),
        machines: machines / f64::from(jobs),
        run_s: machine_seconds / machines,
    };
    Some((job, jobs))
}

#[cfg(test)]
mod tests;
