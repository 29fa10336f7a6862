//! The record of a chunk of tasks, in the form of every format version.
//!
//! | form | value |
//! | --- | --- |
//! | by task, up to version 1 | `{"n": highest attempt, "d": [[from, to], ..] done, "p": [[task, attempt, machine, epoch], ..], "x": [[from, to], ..] being stopped}` |
//! | by machine, from version 2 on | `{"n": .., "d": [from, to, from, to, ..], "m": [[machine, epoch, n - attempt, [task, task - previous task, ..]], ..], "x": [from, to, ..]}` |
//!
//! Neither form can be read as the other. A record with further fields has the form of
//! a later version and is rejected: those fields would be lost when it is rewritten.

use super::{FormatVersion, WITH_HISTORY};
use crate::types::{AgentEpoch, Attempt, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Half-open ranges `[from, to)` of task numbers, ascending.
pub type TaskRanges = Vec<(u32, u32)>;

/// An assigned task: its number, attempt, machine and agent epoch.
pub type StoredAssignment = (u32, Attempt, MachineId, AgentEpoch);

/// The contents of a chunk's record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkProgress {
    /// The highest attempt of any task in the chunk.
    pub attempt: Attempt,
    /// Tasks that are done.
    pub done: TaskRanges,
    /// Tasks that are assigned to a machine, in the order of their numbers.
    pub assignments: Vec<StoredAssignment>,
    /// Tasks that are being stopped with time for a checkpoint.
    pub stops: TaskRanges,
}

/// Why a record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not in the form of any level up to {newest}: {why}", newest = super::SupportedVersions::SUPPORTED.high)]
pub struct UnreadableRecord {
    why: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ByTaskEncoding {
    n: u64,
    d: TaskRanges,
    p: Vec<(u32, u64, MachineId, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    x: TaskRanges,
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

fn flatten_ranges(ranges: &TaskRanges) -> Vec<u32> {
    ranges.iter().flat_map(|&(a, b)| [a, b]).collect()
}

fn parse_ranges(flat: &[u32]) -> Result<TaskRanges, UnreadableRecord> {
    let (pairs, rest) = flat.as_chunks::<2>();
    let is_valid = rest.is_empty() && pairs.iter().all(|[a, b]| a < b);
    let why = || "fields d, x: not pairs of task numbers".to_string();
    is_valid
        .then(|| pairs.iter().map(|&[a, b]| (a, b)).collect())
        .ok_or_else(|| UnreadableRecord { why: why() })
}

impl ChunkProgress {
    /// Rejects a record that no controller can have written for a job of this many
    /// tasks: such a record proves nothing and is treated as unreadable.
    ///
    /// # Errors
    /// The record names a task that the job does not have, an attempt that was never
    /// assigned, or an agent epoch that no agent has.
    pub fn check(&self, tasks: u32) -> Result<(), UnreadableRecord> {
        let ranges = self.done.iter().chain(&self.stops);
        let range_exceeds_tasks = ranges.map(|(_, b)| *b).any(|b| b > tasks);
        let task_exceeds_tasks = |p: &StoredAssignment| p.0 >= tasks;
        let attempt_is_invalid = |p: &StoredAssignment| p.1 == Attempt(0) || p.1 > self.attempt;
        let why = match () {
            () if range_exceeds_tasks || self.assignments.iter().any(task_exceeds_tasks) => {
                "a task that the job does not have"
            }
            () if self.assignments.iter().any(attempt_is_invalid) => {
                "an attempt that was never assigned"
            }
            () if self.assignments.iter().any(|p| p.3 == AgentEpoch(0)) => "an agent epoch of 0",
            () => return Ok(()),
        };
        let why = why.to_string();
        Err(UnreadableRecord { why })
    }

    /// The record in the form to be stored while this format version is active.
    pub fn write(&self, version: FormatVersion) -> Value {
        let value = if version >= WITH_HISTORY {
            serde_json::to_value(self.by_machine())
        } else {
            let place = |(i, a, m, e): &StoredAssignment| (*i, a.0, m.clone(), e.0);
            serde_json::to_value(ByTaskEncoding {
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
        let encode =
            |((machine, epoch, attempt), mut tasks): ((&MachineId, _, Attempt), Vec<u32>)| {
                for i in (1..tasks.len()).rev() {
                    tasks[i] -= tasks[i - 1];
                }
                let epoch: AgentEpoch = epoch;
                let attempts_back = self.attempt.0.saturating_sub(attempt.0);
                (machine.clone(), epoch.0, attempts_back, tasks)
            };
        ByMachineEncoding {
            n: self.attempt.0,
            d: flatten_ranges(&self.done),
            m: machines.into_iter().map(encode).collect(),
            x: flatten_ranges(&self.stops),
        }
    }

    /// Reads a record in any form that this build supports.
    ///
    /// # Errors
    /// The record has none of these forms, or has further fields.
    pub fn read(stored: &Value) -> Result<ChunkProgress, UnreadableRecord> {
        if stored.get("p").is_some() {
            let v = ByTaskEncoding::deserialize(stored).map_err(unreadable)?;
            let place = |(i, a, m, e)| (i, Attempt(a), m, AgentEpoch(e));
            return Ok(ChunkProgress {
                attempt: Attempt(v.n),
                done: v.d,
                assignments: v.p.into_iter().map(place).collect(),
                stops: v.x,
            });
        }
        let v = ByMachineEncoding::deserialize(stored).map_err(unreadable)?;
        let mut assignments = Vec::new();
        for (machine, epoch, attempts_back, tasks) in v.m {
            let attempt = v.n.checked_sub(attempts_back).map(Attempt);
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
            done: parse_ranges(&v.d)?,
            assignments,
            stops: parse_ranges(&v.x)?,
        })
    }

    /// Whether a stored record has the form that this format version writes.
    pub fn has_form_of(stored: &Value, version: FormatVersion) -> bool {
        stored.get("m").is_some() == (version >= WITH_HISTORY)
    }
}

fn unreadable(e: serde_json::Error) -> UnreadableRecord {
    UnreadableRecord { why: e.to_string() }
}

#[cfg(test)]
mod tests;
