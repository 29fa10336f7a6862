//! A job in the leader's memory.

use super::chunk_size::ChunkSize;
use super::header::JobOutcome;
use super::index_ranges::IndexRanges;
use crate::core::assignment::{Assignment, Stop};
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::format_version::chunk_progress::{ChunkProgress, UnreadableRecord};
use crate::types::{Attempt, MachineId, Time, Version, WallTime};
use crate::wire::users::{JobShape, Submission};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// One chunk of a job's tasks as it is stored.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunk {
    /// Version of the stored record; 0: none.
    pub version: Version,
    /// Counts changes in memory.
    pub change: u64,
    /// The last change that is stored.
    pub stored: u64,
}

/// Notes on a job that only scheduling needs.
#[derive(Clone, Debug, Default)]
pub struct JobNotes {
    /// Failures in a row.
    pub failures: u32,
    /// Not to be placed before this time.
    pub not_before: Time,
    /// Machines on which it failed.
    pub failed_on: BTreeSet<MachineId>,
    /// Since when it has tasks waiting.
    pub waiting_since: Option<Time>,
    /// Why it waits, for operators.
    pub why: &'static str,
    /// Whether it counts within its team's guarantee.
    pub entitled: bool,
    /// Why its tasks were last stopped, for operators.
    pub last_stop: Option<&'static str>,
}

/// A job in the leader's memory.
#[derive(Clone, Debug)]
pub struct Job {
    /// As submitted.
    pub spec: Rc<Submission>,
    /// When it was accepted.
    pub at: WallTime,
    /// Version of its head while open.
    pub version: Version,
    /// Further keys of its submission.
    pub parts: u32,
    /// How it ended, if it has.
    pub end: Option<JobOutcome>,
    /// Tasks that are done.
    pub done: IndexRanges,
    /// Tasks that are neither done nor placed.
    pub waiting: IndexRanges,
    /// Where tasks are or may be: at most one place each.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Stored chunks.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Done tasks that are not stored yet, with their chunk's change.
    pub done_not_stored: BTreeMap<u32, u64>,
    /// Highest attempt ever used.
    pub attempt: Attempt,
    /// Whether one of its records cannot be read: it is left as it is.
    pub unreadable: bool,
    /// Scheduling notes, lost with the leader.
    pub notes: JobNotes,
}

impl Job {
    /// A job just accepted.
    pub fn new(spec: Rc<Submission>, at: WallTime, version: Version, parts: u32) -> Job {
        let tasks = spec.tasks;
        Job {
            spec,
            at,
            version,
            parts,
            end: None,
            done: IndexRanges::default(),
            waiting: IndexRanges::below(tasks),
            assignments: BTreeMap::new(),
            chunks: BTreeMap::new(),
            done_not_stored: BTreeMap::new(),
            attempt: Attempt(0),
            unreadable: false,
            notes: Default::default(),
        }
    }

    /// Whether it is a service, which is never done.
    pub fn is_service(&self) -> bool {
        self.spec.shape == JobShape::Service
    }

    /// Whether it is a gang.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == JobShape::Gang
    }

    /// Whether its tasks may still be started.
    pub fn is_open(&self) -> bool {
        self.end.is_none()
    }

    /// Notes a change of a task's record; returns the change's number.
    pub fn touch(&mut self, size: ChunkSize, task: u32) -> u64 {
        let chunk = self.chunks.entry(size.of(task)).or_default();
        chunk.change += 1;
        chunk.change
    }

    /// Whether change `n` of a task's chunk is stored.
    pub fn is_stored(&self, size: ChunkSize, task: u32, n: u64) -> bool {
        self.chunks
            .get(&size.of(task))
            .is_some_and(|c| c.stored >= n)
    }

    /// Whether a done task may be cleared from its machine: its being done is
    /// stored. A worker that forgets it earlier would let it run again after
    /// a change of leader.
    pub fn done_is_stored(&self, task: u32) -> bool {
        self.done.contains(task)
            && (self.end == Some(JobOutcome::Done { written: true })
                || self.end == Some(JobOutcome::Cancelled)
                || !self.done_not_stored.contains_key(&task))
    }

    /// Takes over a stored record. One that cannot be read keeps the whole job from
    /// being started or written: what it says would be lost, and its tasks may run.
    ///
    /// # Errors
    /// It is damaged, or from a later level.
    pub fn load_chunk(
        &mut self,
        chunk: u32,
        version: Version,
        stored: &Value,
    ) -> Result<(), UnreadableRecord> {
        let there = Chunk {
            version,
            ..Chunk::default()
        };
        self.chunks.insert(chunk, there);
        let read = ChunkProgress::read(stored);
        let read = read.and_then(|v| v.check(self.spec.tasks).map(|()| v));
        self.unreadable |=
            read.is_err() && failpoints::enforced(SafetyCheck::UnreadableIsLeftAlone);
        let v = read?;
        self.attempt = self.attempt.max(v.attempt);
        for (a, b) in v.done {
            for i in a..b.min(self.spec.tasks) {
                self.done.insert(i);
                self.waiting.remove(i);
            }
        }
        for (i, attempt, machine, epoch) in v.assignments {
            self.waiting.remove(i);
            self.attempt = self.attempt.max(attempt);
            self.assignments
                .insert(i, Assignment::inherited(machine, epoch, attempt));
        }
        let grace_s = self.spec.save_s;
        for (a, b) in v.stops {
            for (_, p) in self.assignments.range_mut(a..b) {
                p.stop = Some(Stop {
                    grace_s,
                    at: Time(0),
                    change: None,
                });
            }
        }
        Ok(())
    }

    /// Tasks that may be on machines, for what teams hold: of a job with a record
    /// that cannot be read, all.
    pub fn held(&self) -> usize {
        match self.unreadable {
            true => self.spec.tasks as usize,
            false => self.assignments.len(),
        }
    }

    /// Whether a chunk has starts that are neither stored nor sent.
    pub fn starts_in(&self, size: ChunkSize, chunk: u32) -> bool {
        let stored = self.chunks.get(&chunk).map_or(0, |c| c.stored);
        let low = chunk * size.0;
        let mut here = self.assignments.range(low..low + size.0);
        here.any(|(_, p)| p.unsent() && p.change > stored)
    }
}
