//! The leader's tables of jobs and machines, which all of its parts read, and the
//! changes to them that still have to be written or sent. Makes no calls itself.

use crate::core::job_records::{ChunkSize, DirtyChunks, Job};
use crate::core::machine::Machine;
use crate::core::placement_tables::FetchEstimates;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{JobId, MachineId, MachineTypeName, TaskId, TimeSpan};
use crate::wire::cloud::MachineType;
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
}
