//! What came for each class and team of late, as it is stored for a successor: it
//! reads the jobs that are open, but not those that came and are over, and without
//! them floors and reserves would take a busy hour for a quiet one.

use crate::types::{Class, Team, TimeSpan, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Where it is stored.
pub const KEY: &str = "d/f";
/// Parts that the time looked back over is kept in.
const SUBMISSION_PARTS: u64 = 20;

/// What came within one part: machines that it fills, machine seconds, and jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Came(pub f64, pub f64, pub u32);

/// Most arrivals that one part is taken for.
const MOST_OF_PART: u32 = 200;

/// A job that came, as far as is remembered.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingArrival {
    /// About when.
    pub at: WallTime,
    /// Its class.
    pub class: Class,
    /// Its team.
    pub team: Team,
    /// Machines that it filled, and for how long.
    pub machines: f64,
    /// Seconds.
    pub run_s: f64,
}

/// A class, a team, and what came by part.
type Line = (Class, Team, Vec<(u64, Came)>);

#[derive(Serialize, Deserialize)]
struct Stored {
    /// Length of a part, in milliseconds.
    t: u64,
    c: Vec<Line>,
}

/// What came, by class, team and part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ArrivalHistory {
    part: TimeSpan,
    came: BTreeMap<(Class, Team), BTreeMap<u64, Came>>,
}

impl ArrivalHistory {
    /// Nothing yet, looking back over so much.
    pub fn new(window: TimeSpan) -> ArrivalHistory {
        let part = TimeSpan(window.0 / SUBMISSION_PARTS).max(TimeSpan::millis(1000));
        let came = BTreeMap::new();
        ArrivalHistory { part, came }
    }

    fn part_of(&self, at: WallTime) -> u64 {
        at.0 / self.part.as_millis().max(1)
    }

    /// A job came.
    pub fn note(&mut self, at: WallTime, class: &Class, team: &Team, machines: f64, run_s: f64) {
        let part = self.part_of(at);
        let group = (class.clone(), team.clone());
        let came = self.came.entry(group).or_default().entry(part).or_default();
        came.0 += machines;
        came.1 += machines * run_s;
        came.2 += 1;
    }

    /// As it is to be stored: no more than so many bytes, the oldest parts left out.
    pub fn store(&self, now: WallTime, bytes: usize) -> Value {
        let mut oldest = self.part_of(now).saturating_sub(SUBMISSION_PARTS);
        loop {
            let rounded = |c: &Came| Came((c.0 * 100.0).round() / 100.0, c.1.round(), c.2);
            let lines = self.came.iter().map(|((class, team), parts)| {
                let parts = parts.range(oldest..).map(|(p, c)| (*p, rounded(c)));
                (class.clone(), team.clone(), parts.collect())
            });
            let stored = Stored {
                t: self.part.as_millis(),
                c: lines.filter(|l: &Line| !l.2.is_empty()).collect(),
            };
            let empty = stored.c.is_empty();
            let value = serde_json::to_value(stored).unwrap_or(Value::Null);
            if empty || value.to_string().len() <= bytes {
                return value;
            }
            oldest += 1;
        }
    }

    /// What a stored one says beyond what is known here, as arrivals: when, class,
    /// team, machines, and for how long. Of each part the greater word counts: what
    /// is known here is part of what was stored, or came later.
    pub fn missing(&self, stored: &Value) -> Option<Vec<MissingArrival>> {
        let stored = Stored::deserialize(stored).ok()?;
        let mut out = Vec::new();
        for (class, team, parts) in stored.c {
            let known = self.came.get(&(class.clone(), team.clone()));
            for (part, came) in parts {
                // With another window the parts are others: each is put where it was.
                let middle = WallTime(part.saturating_mul(stored.t) + stored.t / 2);
                let here = known.and_then(|k| k.get(&self.part_of(middle)));
                let here = here.copied().unwrap_or_default();
                let (machines, work) = (came.0 - here.0, came.1 - here.1);
                if machines <= 0.0 || work <= 0.0 {
                    continue;
                }
                // As many jobs as there were, so that none looks larger than it was.
                let jobs = came.2.saturating_sub(here.2).clamp(1, MOST_OF_PART);
                let one = MissingArrival {
                    at: middle,
                    class: class.clone(),
                    team: team.clone(),
                    machines: machines / f64::from(jobs),
                    run_s: work / machines,
                };
                out.extend((0..jobs).map(|_| one.clone()));
            }
        }
        Some(out)
    }
}

#[cfg(test)]
mod tests;
