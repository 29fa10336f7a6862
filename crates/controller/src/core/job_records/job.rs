//! A job in the leader's memory: which of its tasks are done, waiting, or assigned to
//! machines, and what of that is stored. What is written of it: `job_writes`.

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

/// What is known of one chunk's stored record.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunk {
    /// Version of the stored record; 0: none is stored.
    pub version: Version,
    /// Number of changes made in memory.
    pub change: u64,
    /// The last of these changes that is stored.
    pub stored: u64,
}

/// What only scheduling needs to know of a job. Not stored: lost on failover.
#[derive(Clone, Debug, Default)]
pub struct JobNotes {
    /// Failures in a row.
    pub failures: u32,
    /// Not to be placed before this time (backoff after failures).
    pub not_before: Time,
    /// Machines on which it failed.
    pub failed_on: BTreeSet<MachineId>,
    /// Since when it has tasks waiting.
    pub waiting_since: Option<Time>,
    /// The start that was first predicted for it, while machines are reserved for it.
    pub promised_start: Option<Time>,
    /// Since when the only room that it finds is reserved for others.
    pub held_back_since: Option<Time>,
    /// Why it waits, for operators.
    pub waiting_reason: &'static str,
    /// Whether it counts within its team's guaranteed quota.
    pub within_guarantee: bool,
    /// Why its tasks were last stopped, for operators.
    pub last_stop: Option<&'static str>,
}

/// A job in the leader's memory.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub spec: Rc<Submission>,
    /// When it was accepted.
    pub accepted_at: WallTime,
    /// Version of its header record while the job is open.
    pub header_version: Version,
    /// Number of parts of its stored submission.
    pub parts: u32,
    /// How it ended, if it has.
    pub outcome: Option<JobOutcome>,
    /// Tasks that are done.
    pub done: IndexRanges,
    /// Tasks that are neither done nor assigned.
    pub waiting: IndexRanges,
    /// Where tasks are or may be, by task number: at most one machine each.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Chunks that were changed or are stored, by chunk number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Done tasks whose completion is not stored yet, with the change of their chunk
    /// that records it.
    pub unstored_done: BTreeMap<u32, u64>,
    /// The highest attempt ever used by any of its tasks.
    pub attempt: Attempt,
    /// Whether one of its records cannot be read: the job is then left as it is.
    pub unreadable: bool,
    /// What scheduling notes about it.
    pub notes: JobNotes,
}

impl Job {
    /// A job just accepted, with all tasks waiting. `header_version` is that of its
    /// header, `parts` the number of parts of its submission.
    pub fn new(
        spec: Rc<Submission>,
        accepted_at: WallTime,
        header_version: Version,
        parts: u32,
    ) -> Job {
        let tasks = spec.tasks;
        Job {
            spec,
            accepted_at,
            header_version,
            parts,
            outcome: None,
            done: IndexRanges::default(),
            waiting: IndexRanges::below(tasks),
            assignments: BTreeMap::new(),
            chunks: BTreeMap::new(),
            unstored_done: BTreeMap::new(),
            attempt: Attempt(0),
            unreadable: false,
            notes: JobNotes::default(),
        }
    }

    /// Whether it is a service, which is never done.
    pub fn is_service(&self) -> bool {
        self.spec.shape == JobShape::Service
    }

    /// Whether it is a gang, whose tasks start together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == JobShape::Gang
    }

    /// Whether its tasks may still be started.
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Counts a change of a task's record; returns the change's number.
    pub fn record_change(&mut self, size: ChunkSize, task: u32) -> u64 {
        let chunk = self.chunks.entry(size.of(task)).or_default();
        chunk.change += 1;
        chunk.change
    }

    /// Whether change number `change` of a task's chunk is stored.
    pub fn is_stored(&self, size: ChunkSize, task: u32, change: u64) -> bool {
        self.chunks
            .get(&size.of(task))
            .is_some_and(|chunk| chunk.stored >= change)
    }

    /// Whether a done task may be cleared from its machine: its completion is stored.
    /// An agent that forgets it earlier would let it run again after a failover.
    pub fn done_is_stored(&self, task: u32) -> bool {
        let end_is_stored = matches!(
            self.outcome,
            Some(JobOutcome::Done { written: true } | JobOutcome::Cancelled)
        );
        self.done.contains(task) && (end_is_stored || !self.unstored_done.contains_key(&task))
    }

    /// Takes over a stored chunk of an earlier leader. One that cannot be read keeps
    /// the whole job from being started or written: what it says would be lost, and
    /// its tasks may run.
    ///
    /// # Errors
    /// The record is damaged, or of a later format version.
    pub fn load_chunk(
        &mut self,
        chunk: u32,
        version: Version,
        stored: &Value,
    ) -> Result<(), UnreadableRecord> {
        let loaded = Chunk {
            version,
            ..Chunk::default()
        };
        self.chunks.insert(chunk, loaded);
        let progress = self.read_progress(stored);
        self.unreadable |=
            progress.is_err() && failpoints::enforced(SafetyCheck::UnreadableIsLeftAlone);
        self.take_over_progress(progress?);
        Ok(())
    }

    fn read_progress(&self, stored: &Value) -> Result<ChunkProgress, UnreadableRecord> {
        let progress = ChunkProgress::read(stored)?;
        progress.check(self.spec.tasks)?;
        Ok(progress)
    }

    fn take_over_progress(&mut self, progress: ChunkProgress) {
        self.attempt = self.attempt.max(progress.attempt);
        for (start, end) in progress.done {
            for task in start..end.min(self.spec.tasks) {
                self.done.insert(task);
                self.waiting.remove(task);
            }
        }
        for (task, attempt, machine, epoch) in progress.assignments {
            self.waiting.remove(task);
            self.attempt = self.attempt.max(attempt);
            self.assignments
                .insert(task, Assignment::inherited(machine, epoch, attempt));
        }
        let stop = Stop {
            grace_s: self.spec.save_s,
            at: Time(0),
            change: None,
        };
        for (start, end) in progress.stops {
            for (_, assignment) in self.assignments.range_mut(start..end) {
                assignment.stop = Some(stop);
            }
        }
    }

    /// Number of tasks that may be on machines, for its team's quota usage: all, if one
    /// of its records cannot be read.
    pub fn tasks_possibly_running(&self) -> usize {
        match self.unreadable {
            true => self.spec.tasks as usize,
            false => self.assignments.len(),
        }
    }

    /// Whether a chunk has starts that are neither stored nor sent.
    pub fn starts_in(&self, size: ChunkSize, chunk: u32) -> bool {
        let stored = self.chunks.get(&chunk).map_or(0, |chunk| chunk.stored);
        self.assignments
            .range(size.tasks_of(chunk))
            .any(|(_, assignment)| assignment.is_unsent() && assignment.change > stored)
    }
}
