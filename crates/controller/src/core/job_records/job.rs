//! A job in the leader's memory: which of its tasks are done, waiting, or assigned to
//! machines, and which of these changes are stored. The writes of a job's records are
//! built in `job_writes`.

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

/// Versions of one chunk, in memory and in the key-value store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunk {
    /// Version of the stored record; 0 if no record is stored.
    pub version: Version,
    /// Number of changes made in memory. The changes are numbered from 1.
    pub last_change: u64,
    /// Number of the last change that is stored; 0 if none of them is.
    pub last_stored_change: u64,
}

/// Scheduling state of a job that is kept in memory only and is lost on failover.
#[derive(Clone, Debug, Default)]
pub struct SchedulingState {
    /// Number of consecutive failures of the job's tasks.
    pub failures: u32,
    /// Earliest time at which tasks are placed (backoff after failures).
    pub not_before: Time,
    /// Machines on which tasks of the job failed lately. They are avoided while another
    /// machine fits.
    pub failed_on: BTreeSet<MachineId>,
    /// Whether tasks of the job failed on several machines: unless other tasks of it run,
    /// the job is at fault and not the machines.
    pub failed_on_several: bool,
    /// Time at which a task of the job was last placed; `None` if none was.
    pub last_placed: Option<Time>,
    /// Time since which the job has waiting tasks; `None` if no task waits.
    pub waiting_since: Option<Time>,
    /// Start time that was first predicted for the job while machines are reserved for
    /// it; `None` without a reservation.
    pub promised_start: Option<Time>,
    /// Time since which the only room for the job is reserved for other jobs; `None` if
    /// the job is not held back.
    pub held_back_since: Option<Time>,
    /// Reason why the job waits, shown to operators.
    pub waiting_reason: &'static str,
    /// Whether the job lies within its team's guaranteed quota.
    pub within_guarantee: bool,
    /// Reason why tasks of the job were last stopped, shown to operators; `None` if none
    /// was.
    pub last_stop: Option<&'static str>,
}

/// A job in the leader's memory.
#[derive(Clone, Debug)]
pub struct Job {
    /// The submission as its user sent it.
    pub spec: Rc<Submission>,
    /// Time at which the job was accepted.
    pub accepted_at: WallTime,
    /// Version of the stored header record while the job is open.
    pub header_version: Version,
    /// Number of parts in which the submission is stored.
    pub parts: u32,
    /// How the job ended; `None` while the job is open.
    pub outcome: Option<JobOutcome>,
    /// Numbers of the tasks that are done.
    pub done: IndexRanges,
    /// Numbers of the tasks that are neither done nor assigned.
    pub waiting: IndexRanges,
    /// Machines on which tasks are or may be running, by task number: at most one machine
    /// per task.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Chunks that have changed or are stored, by chunk number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Done tasks whose completion is not stored yet, each with the number of the change
    /// of its chunk that records the completion.
    pub unstored_done: BTreeMap<u32, u64>,
    /// Highest attempt number ever used by any task of the job.
    pub attempt: Attempt,
    /// Whether one of the job's records cannot be read. No task of such a job is started
    /// and none of its records is written.
    pub unreadable: bool,
    /// Scheduling state that is kept in memory only.
    pub scheduling: SchedulingState,
}

impl Job {
    /// Creates a job with all tasks waiting. `header_version` is the version of the stored
    /// header, and `parts` the number of parts in which the submission is stored.
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
            scheduling: SchedulingState::default(),
        }
    }

    /// Whether the job is a service, which is never done.
    pub fn is_service(&self) -> bool {
        self.spec.shape == JobShape::Service
    }

    /// Whether the job is a gang, whose tasks start all together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == JobShape::Gang
    }

    /// Whether the job is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Counts a change of the chunk that contains a task. Returns the change's number.
    pub fn record_change(&mut self, size: ChunkSize, task: u32) -> u64 {
        let chunk = self.chunks.entry(size.of(task)).or_default();
        chunk.last_change += 1;
        chunk.last_change
    }

    /// Whether change number `change` of a task's chunk is stored.
    pub fn is_stored(&self, size: ChunkSize, task: u32, change: u64) -> bool {
        self.chunks
            .get(&size.of(task))
            .is_some_and(|chunk| chunk.last_stored_change >= change)
    }

    /// Whether the completion of a done task is stored, so that its agent may delete the
    /// task. If the agent deleted the task earlier, the task would run again after a
    /// failover.
    pub fn done_is_stored(&self, task: u32) -> bool {
        let end_is_stored = matches!(
            self.outcome,
            Some(JobOutcome::Done { written: true } | JobOutcome::Cancelled)
        );
        self.done.contains(task) && (end_is_stored || !self.unstored_done.contains_key(&task))
    }

    /// Loads a chunk that an earlier leader stored. If the chunk cannot be read, no task
    /// of the job is started and none of its records is written: a write would destroy
    /// the chunk's contents, and the chunk's tasks may be running.
    ///
    /// # Errors
    /// Returns an error if the record is damaged or has a later format version.
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
            progress.is_err() && failpoints::enforced(SafetyCheck::UnreadableJobIsNotWritten);
        self.apply_progress(progress?);
        Ok(())
    }

    fn read_progress(&self, stored: &Value) -> Result<ChunkProgress, UnreadableRecord> {
        let progress = ChunkProgress::read(stored)?;
        progress.check(self.spec.tasks)?;
        Ok(progress)
    }

    fn apply_progress(&mut self, progress: ChunkProgress) {
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
            decided_at: Time(0),
            change: None,
        };
        for (start, end) in progress.stops {
            for (_, assignment) in self.assignments.range_mut(start..end) {
                assignment.stop = Some(stop);
            }
        }
    }

    /// Number of tasks that may be running, which count towards the team's quota usage.
    /// If one of the job's records cannot be read, all tasks count.
    pub fn tasks_possibly_running(&self) -> usize {
        match self.unreadable {
            true => self.spec.tasks as usize,
            false => self.assignments.len(),
        }
    }

    /// Whether a chunk contains task starts that are neither stored nor sent.
    pub fn starts_in(&self, size: ChunkSize, chunk: u32) -> bool {
        self.last_start_in(size, chunk).is_some()
    }

    /// The highest task of a chunk whose start is neither stored nor sent.
    pub fn last_start_in(&self, size: ChunkSize, chunk: u32) -> Option<u32> {
        let stored = self
            .chunks
            .get(&chunk)
            .map_or(0, |chunk| chunk.last_stored_change);
        self.assignments
            .range(size.tasks_of(chunk))
            .rfind(|(_, assignment)| assignment.is_unsent() && assignment.change > stored)
            .map(|(&task, _)| task)
    }
}
