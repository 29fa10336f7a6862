//! The recent arrivals of each class and team, stored for the next leader. The next
//! leader reads the open jobs, but not the jobs that have ended. Without the ended jobs,
//! minimum shares and reserves would be computed as if a busy hour had been quiet.

use crate::types::{Class, Team, TimeSpan, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The key of the stored history in the key-value store.
pub const ARRIVAL_HISTORY_KEY: &str = "d/f";

/// Number of intervals into which the window is divided.
const INTERVALS_PER_WINDOW: u64 = 20;
/// Minimum length of an interval.
const MIN_INTERVAL: TimeSpan = TimeSpan::millis(1000);
/// Maximum number of jobs read from one interval, which bounds the cost of a damaged
/// record.
const MAX_JOBS_PER_INTERVAL: u32 = 200;

/// The work that arrived within one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredArrivals", into = "StoredArrivals")]
struct Arrivals {
    /// Sum over all jobs of the number of machines that the job fills.
    machines: f64,
    /// Sum over all jobs of machines times run time, in machine seconds.
    machine_seconds: f64,
    /// Number of jobs that arrived.
    jobs: u32,
}

/// Stored form of [`Arrivals`]: machines, machine seconds, jobs.
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
    /// Rounds to hundredths of machines and whole machine seconds, which need fewer bytes.
    fn rounded(&self) -> Arrivals {
        Arrivals {
            machines: (self.machines * 100.0).round() / 100.0,
            machine_seconds: self.machine_seconds.round(),
            jobs: self.jobs,
        }
    }
}

/// A job reconstructed from a stored history.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingArrival {
    /// Approximate arrival time: the middle of the stored interval.
    pub at: WallTime,
    /// The job's class.
    pub class: Class,
    /// The job's team.
    pub team: Team,
    /// Number of machines that the job filled.
    pub machines: f64,
    /// Run time in seconds.
    pub run_s: f64,
}

/// Stored form of one group: class, team, and the arrivals by interval number.
type StoredGroup = (Class, Team, Vec<(u64, Arrivals)>);

#[derive(Serialize, Deserialize)]
struct StoredHistory {
    /// Length of an interval, in milliseconds.
    #[serde(rename = "t")]
    interval_ms: u64,
    #[serde(rename = "c")]
    groups: Vec<StoredGroup>,
}

/// Arrivals by class, team and interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ArrivalHistory {
    /// Length of an interval.
    interval: TimeSpan,
    /// Arrivals of each group by interval number.
    arrivals: BTreeMap<(Class, Team), BTreeMap<u64, Arrivals>>,
}

impl ArrivalHistory {
    /// Creates an empty history over the most recent `window`.
    pub fn new(window: TimeSpan) -> ArrivalHistory {
        ArrivalHistory {
            interval: TimeSpan(window.0 / INTERVALS_PER_WINDOW).max(MIN_INTERVAL),
            arrivals: BTreeMap::new(),
        }
    }

    /// Number of the interval that contains a time, counted from wall time 0.
    fn interval_at(&self, at: WallTime) -> u64 {
        at.0 / self.interval.as_millis().max(1)
    }

    /// Adds an arrived job that fills `machines` machines for `run_s` seconds.
    pub fn record(&mut self, at: WallTime, class: &Class, team: &Team, machines: f64, run_s: f64) {
        let interval = self.interval_at(at);
        let group = (class.clone(), team.clone());
        let intervals = self.arrivals.entry(group).or_default();
        let arrivals = intervals.entry(interval).or_default();
        arrivals.machines += machines;
        arrivals.machine_seconds += machines * run_s;
        arrivals.jobs += 1;
    }

    /// The stored form of the history over the window before `now`, in at most `max_bytes`
    /// bytes. The oldest intervals are left out until the size fits.
    pub fn to_stored(&self, now: WallTime, max_bytes: usize) -> Value {
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

    /// The stored form of all intervals from number `oldest` on.
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

    /// The arrivals of a stored history that are missing here, as single jobs; `None` if
    /// the stored history cannot be read. Each job recorded here either is part of the
    /// stored history or arrived later, so only the excess of each interval counts.
    pub fn arrivals_missing_here(&self, stored: &Value) -> Option<Vec<MissingArrival>> {
        let stored = StoredHistory::deserialize(stored).ok()?;
        let mut missing = Vec::new();
        for (class, team, intervals) in stored.groups {
            let recorded_intervals = self.arrivals.get(&(class.clone(), team.clone()));
            for (interval, arrivals) in intervals {
                // If the stored intervals have another length, each one is matched to the
                // interval here that contains its middle.
                let start_ms = interval.saturating_mul(stored.interval_ms);
                let middle = WallTime(start_ms + stored.interval_ms / 2);
                let recorded = recorded_intervals
                    .and_then(|by_number| by_number.get(&self.interval_at(middle)));
                let recorded = recorded.copied().unwrap_or_default();
                let Some((job, count)) = excess(arrivals, recorded, middle, &class, &team) else {
                    continue;
                };
                missing.extend((0..count).map(|_| job.clone()));
            }
        }
        Some(missing)
    }
}

/// The excess of the stored arrivals of an interval over the recorded ones: a job, and
/// the number of jobs like it. `None` without an excess.
fn excess(
    stored: Arrivals,
    recorded: Arrivals,
    at: WallTime,
    class: &Class,
    team: &Team,
) -> Option<(MissingArrival, u32)> {
    let machines = stored.machines - recorded.machines;
    let machine_seconds = stored.machine_seconds - recorded.machine_seconds;
    if machines <= 0.0 || machine_seconds <= 0.0 {
        return None;
    }
    // Keeps the number of jobs, so that no job appears larger than it was.
    let jobs = stored.jobs.saturating_sub(recorded.jobs);
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
