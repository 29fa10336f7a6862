//! The settings file, which the platform writes; it is checked once, when the process starts.

mod error;
mod raw;
mod validate;

pub use error::{InvalidValue, SettingsError};

use crate::types::{Class, NodeId, Resources, Team, TimeSpan, Zone};
use raw::RawFile;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;

/// Sums of resources may exceed a limit by this many CPUs or GPUs, as sums of floating-point
/// numbers are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// One of the other controllers.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The peer's id.
    pub node_id: NodeId,
    /// The peer's zone.
    pub zone: Zone,
    /// The address of the peer's internal listener.
    pub addr: SocketAddrV4,
}

/// A team's quota: the guaranteed and the maximum amounts. `None`: no amount is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamShare {
    /// Guaranteed CPUs.
    pub cpus: Option<f64>,
    /// Guaranteed GPUs.
    pub gpus: Option<f64>,
    /// Maximum CPUs in use at any time.
    pub cpus_max: Option<f64>,
    /// Maximum GPUs in use at any time.
    pub gpus_max: Option<f64>,
}

impl TeamShare {
    /// Whether this usage is within the team's maximum quota.
    pub fn allows(&self, used: &Resources) -> bool {
        self.cpus_max
            .is_none_or(|max| used.cpus <= max + ROUNDING_TOLERANCE)
            && self
                .gpus_max
                .is_none_or(|max| used.gpus <= max + ROUNDING_TOLERANCE)
    }

    /// Whether the team has a guaranteed quota and this usage is within it.
    pub fn guarantees(&self, used: &Resources) -> bool {
        (self.cpus.is_some() || self.gpus.is_some())
            && self
                .cpus
                .is_none_or(|min| used.cpus <= min + ROUNDING_TOLERANCE)
            && self
                .gpus
                .is_none_or(|min| used.gpus <= min + ROUNDING_TOLERANCE)
    }
}

/// What an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time from the submission until the tasks of a class start.
    Wait,
    /// Time from the submission until the jobs of a class complete.
    Finished,
    /// Completion of jobs by their deadline.
    Deadline,
    /// Time until work within a guaranteed quota starts.
    Guarantee,
    /// An objective that this version does not support; it is ignored.
    Other,
}

/// A service level objective of the deployment.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What the objective measures.
    pub kind: ObjectiveKind,
    /// The class of jobs to which the objective applies; `None` if it names none.
    pub class: Option<Class>,
    /// The time within which the objective is met; `None` if it names none.
    pub within: Option<TimeSpan>,
    /// For deadlines: the allowed time as a multiple of the deadline; 1 by default.
    pub times: f64,
}

/// Intervals and time limits of agents and their tasks.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTimes {
    /// Time between two heartbeats of an agent; less than `lease`.
    pub report: TimeSpan,
    /// Time to live of an agent's lease.
    pub lease: TimeSpan,
    /// How long a task of a gang waits for the gang's other tasks to start.
    pub gang_wait: TimeSpan,
    /// Time within which the tasks of a gang notice that one of them is missing.
    pub gang_peer: TimeSpan,
    /// Time after a cancellation within which the job's tasks must have ended.
    pub cancel: TimeSpan,
}

/// Limits of the key-value store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Maximum requests per second of all controllers together.
    pub rps: f64,
    /// Maximum puts and deletes per second of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in bytes of JSON.
    pub value_bytes: usize,
    /// Maximum puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// The checked settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's id.
    pub node_id: NodeId,
    /// This controller's zone.
    pub zone: Zone,
    /// The address on which users and agents reach this controller.
    pub api_addr: SocketAddrV4,
    /// The address on which the other controllers reach this one.
    pub internal_addr: SocketAddrV4,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The key-value store's address.
    pub state: SocketAddrV4,
    /// Number of controllers, this one included.
    pub size: u32,
    /// The zones of the deployment.
    pub zones: Vec<Zone>,
    /// The quotas of all teams.
    pub teams: BTreeMap<Team, TeamShare>,
    /// The service level objectives.
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of agents and their tasks.
    pub workers: WorkerTimes,
    /// The key-value store's limits.
    pub state_limits: StateLimits,
    /// Limits that the key-value store will have from an unknown time on; `None`: no
    /// change is announced.
    pub next_state_limits: Option<StateLimits>,
    /// Calls per second that the cloud allows.
    pub cloud_rps: f64,
    /// Maximum age of the data in the cloud's list of machines.
    pub list_lag: TimeSpan,
    /// Maximum number of sockets that this process may have open.
    pub max_sockets: u32,
    /// Maximum error of the wall clock.
    pub clock_error: TimeSpan,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, is not JSON of the expected structure, or has a field with
    /// an invalid value.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Read(path.display().to_string(), e))?;
        Settings::parse(&text)
    }

    /// Parses and checks the JSON text of a settings file.
    ///
    /// # Errors
    /// The text is not JSON of the expected structure, or a field has an invalid value.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let raw: RawFile = serde_json::from_str(text)?;
        Settings::try_from(raw)
    }
}
