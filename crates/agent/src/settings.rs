//! The settings of an agent: one TOML file, validated as a whole.

use crate::worker::Machine;
use pebblefold_wire::types::{NodeId, Resources};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// The file isn't TOML of this form; the text names line and field.
    #[error("{0}: {1}")]
    Parse(PathBuf, Box<toml::de::Error>),
    /// A value is out of its range.
    #[error("{file}: {field}: {reason}")]
    InvalidValue {
        /// The settings file.
        file: PathBuf,
        /// The field, with its section.
        field: &'static str,
        /// Which values are valid.
        reason: String,
    },
}

/// The machine, as the cloud lists it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// The machine's id.
    pub id: String,
    /// The address that the agent listens on for direct commands.
    pub addr: SocketAddrV4,
    /// The machine type.
    pub kind: String,
    /// The zone that the machine is in.
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub spot: bool,
    /// Processors that tasks may use.
    pub cpus: f64,
    /// GPUs that tasks may use.
    #[serde(default)]
    pub gpus: f64,
    /// Memory that tasks may use, in GB.
    pub memory_gb: f64,
}

/// One of the controllers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Controller {
    /// The controller's id, as the other controllers refer to it.
    pub label: String,
    /// The address of the controller's HTTP interface, for users and agents.
    pub addr: SocketAddrV4,
}

/// Times in seconds; the same as in the controllers' settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Interval between heartbeats.
    pub report_s: f64,
    /// Duration of the lease; at least twice the interval.
    pub lease_s: f64,
    /// How long a gang's tasks wait for one another.
    pub gang_wait_s: f64,
    /// How long a gang's task may be silent before the others count it as lost.
    pub gang_peer_s: f64,
}

/// Limits for every task.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskLimits {
    /// How much of a task's output is kept, in MiB.
    pub output_mb: u64,
    /// Maximum number of open files of one process; `None`: the agent's own limit.
    pub files: Option<u64>,
    /// Whether the memory that a task requests limits each of its processes.
    pub memory: bool,
}

impl Default for TaskLimits {
    fn default() -> Self {
        TaskLimits {
            output_mb: 4,
            files: None,
            memory: false,
        }
    }
}

/// All settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The agent's directory, for journal, attempts and lease.
    pub dir: PathBuf,
    /// The directory with the users' jobs: descriptions in `jobs/ID`, commands in
    /// `commands/ID`.
    pub jobs: PathBuf,
    /// The directory that all machines share: results, checkpoints and gangs' presence.
    pub store: PathBuf,
    /// The machine that the agent runs on.
    pub machine: MachineSettings,
    /// The controllers that the agent may send heartbeats to.
    pub controllers: Vec<Controller>,
    /// Intervals and time limits.
    pub times: TimeSettings,
    /// Limits for every task.
    #[serde(default)]
    pub limits: TaskLimits,
}

impl Settings {
    /// Reads a settings file and validates it.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        let text =
            std::fs::read_to_string(file).map_err(|e| SettingsError::Read(file.into(), e))?;
        let s: Settings =
            toml::from_str(&text).map_err(|e| SettingsError::Parse(file.into(), Box::new(e)))?;
        let invalid = |field, reason: &str| {
            Err(SettingsError::InvalidValue {
                file: file.into(),
                field,
                reason: reason.into(),
            })
        };
        let seconds = |s: f64| s.is_finite() && (0.1..=86_400.0).contains(&s);
        let amount = |a: f64| a.is_finite() && (0.0..=1e6).contains(&a);
        let t = s.times;
        if s.controllers.is_empty() {
            return invalid("controllers", "at least one controller is required");
        }
        for (field, v) in [
            ("times.report_s", t.report_s),
            ("times.lease_s", t.lease_s),
            ("times.gang_wait_s", t.gang_wait_s),
            ("times.gang_peer_s", t.gang_peer_s),
        ] {
            if !seconds(v) {
                return invalid(field, "must be 0.1 to 86400 seconds");
            }
        }
        if t.lease_s < 2.0 * t.report_s {
            return invalid("times.lease_s", "must be at least twice report_s");
        }
        let m = &s.machine;
        if m.id.is_empty() {
            return invalid("machine.id", "a name is required");
        }
        if ![m.cpus, m.gpus, m.memory_gb].into_iter().all(amount) {
            return invalid("machine", "cpus, gpus and memory_gb must be 0 to 1000000");
        }
        Ok(s)
    }

    /// The machine as heartbeats describe it.
    pub fn machine(&self) -> Machine {
        let m = &self.machine;
        Machine {
            id: m.id.as_str().into(),
            addr: m.addr.to_string(),
            machine_type: m.kind.as_str().into(),
            zone: m.zone.as_str().into(),
            spot: m.spot,
            capacity: Resources {
                cpus: m.cpus,
                gpus: m.gpus,
                memory_gb: m.memory_gb,
            },
        }
    }

    /// The controllers' ids, in the order of the settings.
    pub fn controller_ids(&self) -> Vec<NodeId> {
        self.controllers
            .iter()
            .map(|c| c.label.as_str().into())
            .collect()
    }
}
