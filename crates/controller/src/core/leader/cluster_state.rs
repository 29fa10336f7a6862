//! The leader's tables of jobs and machines, which all of its parts read, and the
//! changes to them that still have to be written or sent. Makes no calls itself.

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

/// Changes to jobs that no transaction has picked up yet.
#[derive(Debug, Default)]
pub(in crate::core) struct UnwrittenChanges {
    /// Chunks whose stored record is out of date.
    pub dirty_chunks: DirtyChunks,
    /// Jobs whose header is to say that they are done.
    pub finished_jobs: BTreeSet<JobId>,
    /// Ended jobs whose keys are to be deleted.
    pub jobs_to_delete: BTreeSet<JobId>,
}

/// How far the starts are stored that a machine has not been sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum UnsentStarts {
    /// There are none.
    None,
    /// Some are not stored yet, so must not be sent.
    WaitForStorage,
    /// All of them are stored and can be sent.
    Sendable,
}

/// Heartbeat intervals after which a silent machine gets no more work.
const MISSED_HEARTBEATS: f64 = 2.5;
/// Added to them, for delays on the way.
const HEARTBEAT_SLACK: TimeSpan = TimeSpan::millis(1000);

/// A task that has run this many times as long as estimated, and `MIN_PREDICTABLE_RUN`
/// more, has no end that could be predicted.
const PREDICTABLE_OVERRUN: f64 = 3.0;
/// Estimates of seconds are often those of users who had none.
const MIN_PREDICTABLE_RUN: TimeSpan = TimeSpan::millis(60_000);

/// Jobs, machines, and what is known of both.
#[derive(Debug)]
pub(in crate::core) struct ClusterState {
    /// The node's settings.
    pub settings: Rc<Settings>,
    /// The scheduling policy.
    pub policy: Rc<Policy>,
    /// All jobs that have a record.
    pub jobs: BTreeMap<JobId, Job>,
    /// All machines heard of and not known to be gone.
    pub machines: BTreeMap<MachineId, Machine>,
    /// What machines of each type offer and cost.
    pub machine_types: BTreeMap<MachineTypeName, MachineType>,
    /// How long fetching each image takes.
    pub fetch_estimates: FetchEstimates,
    /// Tasks per stored record.
    pub chunk_size: ChunkSize,
    /// What the next transactions write.
    pub unwritten: UnwrittenChanges,
    /// Stops to send straight to each machine, ahead of its next heartbeat.
    pub direct_stops: BTreeMap<MachineId, Vec<TaskId>>,
}

impl ClusterState {
    /// Without jobs and machines.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>) -> ClusterState {
        ClusterState {
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machine_types: BTreeMap::new(),
            fetch_estimates: FetchEstimates::new(TimeSpan::secs(policy.first_fetch_s)),
            chunk_size: ChunkSize::for_value(settings.state_limits.value_bytes),
            unwritten: UnwrittenChanges::default(),
            direct_stops: BTreeMap::new(),
            settings,
            policy,
        }
    }

    /// Adds or replaces machine types read from the cloud or the state service.
    pub fn set_machine_types(&mut self, types: &MachineTypes) {
        for machine_type in &types.kinds {
            let name = machine_type.name.clone();
            self.machine_types.insert(name, machine_type.clone());
        }
    }

    /// The type of a machine, if both are known.
    pub fn type_of(&self, machine: &Machine) -> Option<&MachineType> {
        self.machine_types.get(machine.machine_type.as_ref()?)
    }

    /// How long a machine may be silent and still get work.
    pub fn max_silence(&self) -> TimeSpan {
        self.settings.workers.report.scaled(MISSED_HEARTBEATS) + HEARTBEAT_SLACK
    }

    /// The record of a machine that was heard of, new or not. One that is being
    /// terminated stays so, whoever decided it and whatever brought it up again.
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

    /// Room for images on a machine, in GB; zero while its type is unknown.
    pub fn cache_room_gb(&self, id: &MachineId) -> f64 {
        self.machines
            .get(id)
            .and_then(|machine| self.type_of(machine))
            .map_or(0.0, |machine_type| machine_type.cache_gb)
    }

    /// Expected remaining time of a task on its machine.
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

    /// In what time a task's machine is predicted to have its room again; `None`: no end
    /// can be predicted. A task that is late is expected to run on for as long as it is
    /// late already.
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
        let ran = assignment
            .running_since
            .map_or(TimeSpan::ZERO, |started| now.since(started));
        if ran <= estimate {
            return Some(self.remaining_time(now, job, assignment));
        }
        let most = estimate.scaled(PREDICTABLE_OVERRUN) + MIN_PREDICTABLE_RUN;
        (ran <= most).then(|| TimeSpan(ran.0 - estimate.0))
    }

    /// Whether any open job has tasks that wait for room.
    pub fn has_waiting_tasks(&self) -> bool {
        self.jobs
            .values()
            .any(|job| job.is_open() && !job.waiting.is_empty())
    }

    /// How far the unsent starts of a machine are stored.
    pub fn unsent_starts(&self, id: &MachineId) -> UnsentStarts {
        let (mut stored, mut unstored) = (false, false);
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
                stored = true;
            } else {
                unstored = true;
            }
        }
        match (stored, unstored) {
            (_, true) => UnsentStarts::WaitForStorage,
            (true, false) => UnsentStarts::Sendable,
            (false, false) => UnsentStarts::None,
        }
    }
}
