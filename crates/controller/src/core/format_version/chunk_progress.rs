//! The record of a chunk of tasks, in the form of every level.
//!
//! | form | value |
//! | --- | --- |
//! | before | `{"n": highest attempt, "d": [[from, to], ..] done, "p": [[task, attempt, machine, epoch], ..], "x": [[from, to], ..] being stopped}` |
//! | by machine, since level 2 | `{"n": .., "d": [from, to, from, to, ..], "m": [[machine, epoch, n - attempt, [task, task - the one before, ..]], ..], "x": [from, to, ..]}` |
//!
//! Neither reads as the other. A record with more in it is of a later level, and is
//! refused: what it says would be lost when it is written again.

use super::{FormatVersion, WITH_HISTORY};
use crate::types::{AgentEpoch, Attempt, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Ranges `[from, to)` of tasks.
pub type Spans = Vec<(u32, u32)>;

/// Where a task is: its number, attempt, machine and session.
pub type Place = (u32, Attempt, MachineId, AgentEpoch);

/// What a record says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkProgress {
    /// The highest attempt.
    pub attempt: Attempt,
    /// Tasks that are done.
    pub done: Spans,
    /// Where tasks are, in the order of their numbers.
    pub assignments: Vec<Place>,
    /// Tasks that are being stopped with time to save.
    pub stops: Spans,
}

/// Why a record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("in no form up to level {newest}: {why}", newest = super::SupportedVersions::SUPPORTED.high)]
pub struct UnreadableRecord {
    why: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Before {
    n: u64,
    d: Spans,
    p: Vec<(u32, u64, MachineId, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    x: Spans,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ByMachineEncoding {
    n: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    d: Vec<u32>,
    m: Vec<(MachineId, u64, u64, Vec<u32>)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    x: Vec<u32>,
}

fn flat(spans: &Spans) -> Vec<u32> {
    spans.iter().flat_map(|&(a, b)| [a, b]).collect()
}

fn pairs(flat: &[u32]) -> Result<Spans, UnreadableRecord> {
    let (pairs, rest) = flat.as_chunks::<2>();
    let good = rest.is_empty() && pairs.iter().all(|[a, b]| a < b);
    let why = || "fields d, x: not pairs of task numbers".to_string();
    good.then(|| pairs.iter().map(|&[a, b]| (a, b)).collect())
        .ok_or_else(|| UnreadableRecord { why: why() })
}

impl ChunkProgress {
    /// Refuses what no controller ever wrote of a job of so many tasks: such a record
    /// proves nothing, and says as little as one that cannot be read.
    ///
    /// # Errors
    /// It names tasks that the job does not have, attempts that were never given, or a
    /// session that no worker has.
    pub fn check(&self, tasks: u32) -> Result<(), UnreadableRecord> {
        let spans = self.done.iter().chain(&self.stops);
        let beyond = spans.map(|(_, b)| *b).any(|b| b > tasks);
        let task = |p: &Place| p.0 >= tasks;
        let attempt = |p: &Place| p.1 == Attempt(0) || p.1 > self.attempt;
        let why = match () {
            () if beyond || self.assignments.iter().any(task) => {
                "a task that the job does not have"
            }
            () if self.assignments.iter().any(attempt) => "an attempt that was never given",
            () if self.assignments.iter().any(|p| p.3 == AgentEpoch(0)) => "a session of 0",
            () => return Ok(()),
        };
        let why = why.to_string();
        Err(UnreadableRecord { why })
    }

    /// The record as it is to be stored while this level is in force.
    pub fn write(&self, level: FormatVersion) -> Value {
        let value = if level >= WITH_HISTORY {
            serde_json::to_value(self.by_machine())
        } else {
            let place = |(i, a, m, s): &Place| (*i, a.0, m.clone(), s.0);
            serde_json::to_value(Before {
                n: self.attempt.0,
                d: self.done.clone(),
                p: self.assignments.iter().map(place).collect(),
                x: self.stops.clone(),
            })
        };
        value.unwrap_or(Value::Null)
    }

    fn by_machine(&self) -> ByMachineEncoding {
        let mut machines: BTreeMap<(&MachineId, AgentEpoch, Attempt), Vec<u32>> = BTreeMap::new();
        for (task, attempt, machine, epoch) in &self.assignments {
            let tasks = machines.entry((machine, *epoch, *attempt)).or_default();
            tasks.push(*task);
        }
        let one = |((machine, epoch, attempt), mut tasks): ((&MachineId, _, Attempt), Vec<u32>)| {
            for i in (1..tasks.len()).rev() {
                tasks[i] -= tasks[i - 1];
            }
            let epoch: AgentEpoch = epoch;
            let back = self.attempt.0.saturating_sub(attempt.0);
            (machine.clone(), epoch.0, back, tasks)
        };
        ByMachineEncoding {
            n: self.attempt.0,
            d: flat(&self.done),
            m: machines.into_iter().map(one).collect(),
            x: flat(&self.stops),
        }
    }

    /// Reads a record in any form.
    ///
    /// # Errors
    /// It has none of them, or says more than they do.
    pub fn read(stored: &Value) -> Result<ChunkProgress, UnreadableRecord> {
        if stored.get("p").is_some() {
            let v = Before::deserialize(stored).map_err(unreadable)?;
            let place = |(i, a, m, s)| (i, Attempt(a), m, AgentEpoch(s));
            return Ok(ChunkProgress {
                attempt: Attempt(v.n),
                done: v.d,
                assignments: v.p.into_iter().map(place).collect(),
                stops: v.x,
            });
        }
        let v = ByMachineEncoding::deserialize(stored).map_err(unreadable)?;
        let mut assignments = Vec::new();
        for (machine, epoch, back, tasks) in v.m {
            let attempt = v.n.checked_sub(back).map(Attempt);
            let attempt = attempt.ok_or_else(|| UnreadableRecord {
                why: "field m: an attempt below 0".into(),
            })?;
            let mut task = 0u32;
            for (k, step) in tasks.into_iter().enumerate() {
                let next = task.checked_add(step).filter(|_| k == 0 || step > 0);
                task = next.ok_or_else(|| UnreadableRecord {
                    why: "field m: tasks out of order".into(),
                })?;
                assignments.push((task, attempt, machine.clone(), AgentEpoch(epoch)));
            }
        }
        assignments.sort_by_key(|p| p.0);
        Ok(ChunkProgress {
            attempt: Attempt(v.n),
            done: pairs(&v.d)?,
            assignments,
            stops: pairs(&v.x)?,
        })
    }

    /// Whether a record has the form that this level writes.
    pub fn is_of(stored: &Value, level: FormatVersion) -> bool {
        stored.get("m").is_some() == (level >= WITH_HISTORY)
    }
}

fn unreadable(e: serde_json::Error) -> UnreadableRecord {
    UnreadableRecord { why: e.to_string() }
}

#[cfg(test)]
mod tests;
