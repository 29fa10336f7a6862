//! The settings file that the platform hands over, checked once at start.

mod error;
mod raw;
mod validate;

pub use error::{InvalidValue, SettingsError};

use crate::types::{Class, NodeId, Resources, Team, TimeSpan, Zone};
use raw::RawFile;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;

/// Sums of resources may exceed a limit by this much, as they are rounded.
const ROUNDING_SLACK: f64 = 1e-6;

/// Another controller.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its id.
    pub node_id: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// The address of its internal listener.
    pub addr: SocketAddrV4,
}

/// A team's quota: what it is guaranteed, and its maximum. `None`: there is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamShare {
    /// Guaranteed CPUs.
    pub cpus: Option<f64>,
    /// Guaranteed GPUs.
    pub gpus: Option<f64>,
    /// Most CPUs at any time.
    pub cpus_max: Option<f64>,
    /// Most GPUs at any time.
    pub gpus_max: Option<f64>,
}

impl TeamShare {
    /// Whether this use stays within the team's maximum.
    pub fn allows(&self, used: &Resources) -> bool {
        self.cpus_max
            .is_none_or(|max| used.cpus <= max + ROUNDING_SLACK)
            && self
                .gpus_max
                .is_none_or(|max| used.gpus <= max + ROUNDING_SLACK)
    }

    /// Whether this use lies within the team's guarantee.
    pub fn guarantees(&self, used: &Resources) -> bool {
        (self.cpus.is_some() || self.gpus.is_some())
            && self
                .cpus
                .is_none_or(|min| used.cpus <= min + ROUNDING_SLACK)
            && self
                .gpus
                .is_none_or(|min| used.gpus <= min + ROUNDING_SLACK)
    }
}

/// What an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time until a class's tasks start.
    Wait,
    /// Time until a class's jobs complete.
    Finished,
    /// Completion by the deadline.
    Deadline,
    /// Time until work within a guarantee starts.
    Guarantee,
    /// One this version does not know.
    Other,
}

/// A service level objective of the deployment.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What it measures.
    pub kind: ObjectiveKind,
    /// The class of jobs, where it is about one.
    pub class: Option<Class>,
    /// The time it asks for.
    pub within: Option<TimeSpan>,
    /// For deadlines: how many times the deadline it allows.
    pub times: f64,
}

/// Time limits and periods of agents.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTimes {
    /// Time between heartbeats.
    pub report: TimeSpan,
    /// Time to live of an agent's lease.
    pub lease: TimeSpan,
    /// How long a gang's tasks wait for the others to start.
    pub gang_wait: TimeSpan,
    /// How soon a gang's tasks notice a missing one.
    pub gang_peer: TimeSpan,
    /// Within what time a cancelled job's tasks must be gone.
    pub cancel: TimeSpan,
}

/// Limits of the key-value store.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Requests a second, all controllers together.
    pub rps: f64,
    /// Puts and deletes a second, all controllers together.
    pub write_rps: f64,
    /// Largest value in bytes of JSON.
    pub value_bytes: usize,
    /// Most puts and deletes of one transaction.
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
    /// Number of controllers.
    pub size: u32,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The quotas of all teams.
    pub teams: BTreeMap<Team, TeamShare>,
    /// The service level objectives.
    pub objectives: Vec<Objective>,
    /// Agents' time limits and periods.
    pub workers: WorkerTimes,
    /// The key-value store's limits.
    pub state_limits: StateLimits,
    /// Calls a second that the cloud allows.
    pub cloud_rps: f64,
    /// How old the cloud's list of machines may be.
    pub list_lag: TimeSpan,
    /// Most sockets this process may hold.
    pub max_sockets: u32,
    /// Bound on the wall clock's error.
    pub clock_error: TimeSpan,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, or a field cannot be used.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Read(path.display().to_string(), e))?;
        Settings::parse(&text)
    }

    /// Checks settings given as JSON.
    ///
    /// # Errors
    /// The text is not JSON of the right form, or a field cannot be used.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let raw: RawFile = serde_json::from_str(text)?;
        Settings::try_from(raw)
    }
}
