//! The leader's tables of jobs and machines, shared by all parts of the leader, and the
//! changes to them that are still to be written or sent. Makes no calls itself.

use super::assignment_log::AssignmentLog;
use crate::core::assignment::Assignment;
use crate::core::autoscaler::intents::Intents;
use crate::core::job_records::{ChunkSize, DirtyChunks, Job};
use crate::core::machine::{Machine, MachineLifecycle};
use crate::core::placement_tables::FetchEstimates;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{JobId, MachineId, MachineTypeName, TaskId, Time, TimeSpan};
use crate::wire::cloud::{MachineType, MachineTypes};
use crate::wire::users::JobShape;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Changes to jobs that are not part of any transaction yet.
#[derive(Debug, Default)]
pub(in crate::core) struct UnwrittenChanges {
    /// Chunks whose stored record is out of date.
    pub dirty_chunks: DirtyChunks,
    /// Jobs that are done and whose header is not updated yet.
    pub finished_jobs: BTreeSet<JobId>,
    /// Ended jobs whose keys are to be deleted.
    pub jobs_to_delete: BTreeSet<JobId>,
}

/// Whether the unsent starts of a machine are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum UnsentStarts {
    /// The machine has no unsent starts.
    None,
    /// At least one unsent start is not stored yet and must not be sent.
    WaitForStorage,
    /// All unsent starts are stored and may be sent.
    Sendable,
}

/// Heartbeat intervals after which a silent machine gets no new work.
const MAX_SILENT_INTERVALS: f64 = 2.5;
/// Added to these intervals, for network delays.
const HEARTBEAT_SLACK: TimeSpan = TimeSpan::millis(1000);

/// The end of a task is not predictable once the task has run for this many times its
/// estimate plus `MIN_PREDICTABLE_RUN`.
const MAX_PREDICTABLE_OVERRUN: f64 = 3.0;
/// Added to that limit: users who have no estimate often give a few seconds.
const MIN_PREDICTABLE_RUN: TimeSpan = TimeSpan::millis(60_000);

/// Jobs, machines, and the data derived from both.
#[derive(Debug)]
pub(in crate::core) struct ClusterState {
    /// The controller's settings.
    pub settings: Rc<Settings>,
    /// The scheduling policy.
    pub policy: Rc<Policy>,
    /// All jobs that have a record in the key-value store.
    pub jobs: BTreeMap<JobId, Job>,
    /// All machines that a heartbeat, a list or a record named and that are not known to be
    /// gone.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Resources, zones and price of each machine type, as read from the cloud.
    pub machine_types: BTreeMap<MachineTypeName, MachineType>,
    /// How long fetching each image takes.
    pub fetch_estimates: FetchEstimates,
    /// The number of tasks in one stored chunk record.
    pub chunk_size: ChunkSize,
    /// Changes to jobs that the next transactions write.
    pub unwritten: UnwrittenChanges,
    /// Tasks to stop by a direct command to their machine, ahead of the machine's next
    /// heartbeat.
    pub direct_stops: BTreeMap<MachineId, Vec<TaskId>>,
    /// Changes of assignments that are not logged yet.
    pub assignment_log: AssignmentLog,
}

impl ClusterState {
    /// A state without jobs and machines.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>) -> ClusterState {
        ClusterState {
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machine_types: BTreeMap::new(),
            fetch_estimates: FetchEstimates::new(TimeSpan::secs(policy.first_fetch_s)),
            chunk_size: ChunkSize::for_value(settings.state_limits.value_bytes),
            unwritten: UnwrittenChanges::default(),
            direct_stops: BTreeMap::new(),
            assignment_log: AssignmentLog::default(),
            settings,
            policy,
        }
    }

    /// Adds or replaces machine types read from the cloud or the key-value store.
    pub fn set_machine_types(&mut self, types: &MachineTypes) {
        for machine_type in &types.kinds {
            let name = machine_type.name.clone();
            self.machine_types.insert(name, machine_type.clone());
        }
    }

    /// The type of a machine; `None` if the machine's type name is not known or the name
    /// has no machine type.
    pub fn type_of(&self, machine: &Machine) -> Option<&MachineType> {
        self.machine_types.get(machine.machine_type.as_ref()?)
    }

    /// How long a machine may be silent and still get work.
    pub fn max_silence(&self) -> TimeSpan {
        self.settings.workers.report.scaled(MAX_SILENT_INTERVALS) + HEARTBEAT_SLACK
    }

    /// The entry of a machine that a heartbeat, a list or an answer named, created if
    /// missing. A machine with a termination intent, of this leader or an earlier one, is
    /// marked as terminating.
    pub fn register_machine(
        &mut self,
        now: Time,
        id: &MachineId,
        intents: &Intents,
    ) -> &mut Machine {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(now));
        if intents.is_terminating(id) {
            machine.lifecycle = MachineLifecycle::Terminating;
        }
        machine
    }

    /// The capacity of a machine's image cache, in GB; zero while the type is unknown.
    pub fn cache_capacity_gb(&self, id: &MachineId) -> f64 {
        self.machines
            .get(id)
            .and_then(|machine| self.type_of(machine))
            .map_or(0.0, |machine_type| machine_type.cache_gb)
    }

    /// Expected remaining time of a task on its machine: the rest of its estimate and, while
    /// the image is being fetched, the estimated fetch time. Zero for a task that exceeds its
    /// estimate.
    pub fn remaining_time(&self, now: Time, job: &Job, assignment: &Assignment) -> TimeSpan {
        let run = TimeSpan::secs(job.spec.estimate_s);
        if let Some(started) = assignment.running_since {
            return TimeSpan(run.0.saturating_sub(now.since(started).0));
        }
        let fetch = assignment.fetching_since.map_or(TimeSpan::ZERO, |_| {
            self.fetch_estimates
                .estimate(&job.spec.image, job.spec.image_gb, None)
        });
        run + fetch
    }

    /// Predicted time until a task frees its resources; `None`: its end is not predictable.
    /// A task that exceeds its estimate is expected to run for as long again as it has
    /// exceeded it so far.
    pub fn predicted_remaining(
        &self,
        now: Time,
        job: &Job,
        assignment: &Assignment,
    ) -> Option<TimeSpan> {
        if assignment.stop.is_some() {
            return Some(TimeSpan::secs(job.spec.save_s));
        }
        if job.spec.shape == JobShape::Service {
            return None;
        }
        let estimate = TimeSpan::secs(job.spec.estimate_s);
        let elapsed = assignment
            .running_since
            .map_or(TimeSpan::ZERO, |started| now.since(started));
        if elapsed <= estimate {
            return Some(self.remaining_time(now, job, assignment));
        }
        let limit = estimate.scaled(MAX_PREDICTABLE_OVERRUN) + MIN_PREDICTABLE_RUN;
        (elapsed <= limit).then(|| TimeSpan(elapsed.0 - estimate.0))
    }

    /// Whether any open job has tasks that are not placed.
    pub fn has_waiting_tasks(&self) -> bool {
        self.jobs
            .values()
            .any(|job| job.is_open() && !job.waiting.is_empty())
    }

    /// Whether the unsent starts of a machine are stored.
    pub fn unsent_starts(&self, id: &MachineId) -> UnsentStarts {
        let (mut has_stored, mut has_unstored) = (false, false);
        let tasks = self.machines.get(id).map(|machine| &machine.tasks);
        for task in tasks.into_iter().flatten() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let assignment = job.assignments.get(&task.index);
            let Some(unsent) = assignment.filter(|assignment| assignment.is_unsent()) else {
                continue;
            };
            if job.is_stored(self.chunk_size, task.index, unsent.change) {
                has_stored = true;
            } else {
                has_unstored = true;
            }
        }
        match (has_stored, has_unstored) {
            (_, true) => UnsentStarts::WaitForStorage,
            (true, false) => UnsentStarts::Sendable,
            (false, false) => UnsentStarts::None,
        }
    }
}
