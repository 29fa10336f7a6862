//! What an agent is told by its operator: one TOML file, checked whole.

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
    /// It is not of this form; the text names line and field.
    #[error("{0}: {1}")]
    Form(PathBuf, Box<toml::de::Error>),
    /// A value makes no sense.
    #[error("{file}: {field}: {reason}")]
    Value {
        /// The file.
        file: PathBuf,
        /// The field.
        field: &'static str,
        /// What would be right.
        reason: String,
    },
}

/// The machine, as the cloud lists it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// Its name.
    pub id: String,
    /// Where it listens for direct commands.
    pub addr: SocketAddrV4,
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub spot: bool,
    /// Processors that tasks may take.
    pub cpus: f64,
    /// Graphics processors that tasks may take.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB that tasks may take.
    pub memory_gb: f64,
}

/// A controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Controller {
    /// Its name, as others say it.
    pub label: String,
    /// Its users' and workers' interface.
    pub addr: SocketAddrV4,
}

/// Times, in seconds, as the controllers have them.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Between reports.
    pub report_s: f64,
    /// The lease.
    pub lease_s: f64,
    /// How long a gang's tasks wait for one another.
    pub gang_wait_s: f64,
    /// How soon they notice a missing one.
    pub gang_peer_s: f64,
}

/// Limits of every task.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskLimits {
    /// Megabytes of output that are kept of a task.
    pub output_mb: u64,
    /// Open files of one process; none: as the agent's own.
    pub files: Option<u64>,
    /// Whether a process may hold no more memory than its task asks for.
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

/// An agent's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its own directory: journal, tasks, lease.
    pub dir: PathBuf,
    /// Where users put jobs: `jobs/ID`, and their commands, `commands/ID`.
    pub jobs: PathBuf,
    /// What stands outside the machine: results, saves, gangs.
    pub store: PathBuf,
    /// The machine.
    pub machine: MachineSettings,
    /// The controllers.
    pub controllers: Vec<Controller>,
    /// Times.
    pub times: TimeSettings,
    /// Limits of tasks.
    #[serde(default)]
    pub limits: TaskLimits,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        let text =
            std::fs::read_to_string(file).map_err(|e| SettingsError::Read(file.into(), e))?;
        let s: Settings =
            toml::from_str(&text).map_err(|e| SettingsError::Form(file.into(), Box::new(e)))?;
        let wrong = |field, reason: &str| {
            Err(SettingsError::Value {
                file: file.into(),
                field,
                reason: reason.into(),
            })
        };
        let seconds = |s: f64| s.is_finite() && (0.1..=86_400.0).contains(&s);
        let amount = |a: f64| a.is_finite() && (0.0..=1e6).contains(&a);
        let t = s.times;
        if s.controllers.is_empty() {
            return wrong("controllers", "at least one is wanted");
        }
        for (field, v) in [
            ("times.report_s", t.report_s),
            ("times.lease_s", t.lease_s),
            ("times.gang_wait_s", t.gang_wait_s),
            ("times.gang_peer_s", t.gang_peer_s),
        ] {
            if !seconds(v) {
                return wrong(field, "has to be 0.1 to 86400 seconds");
            }
        }
        if t.lease_s < 2.0 * t.report_s {
            return wrong("times.lease_s", "has to be at least twice report_s");
        }
        let m = &s.machine;
        if m.id.is_empty() {
            return wrong("machine.id", "a name is wanted");
        }
        if ![m.cpus, m.gpus, m.memory_gb].into_iter().all(amount) {
            return wrong("machine", "cpus, gpus and memory_gb have to be 0 or more");
        }
        Ok(s)
    }

    /// The machine as reports name it.
    pub fn machine(&self) -> Machine {
        let m = &self.machine;
        Machine {
            id: m.id.as_str().into(),
            addr: m.addr.to_string(),
            kind: m.kind.as_str().into(),
            zone: m.zone.as_str().into(),
            spot: m.spot,
            has: Resources {
                cpus: m.cpus,
                gpus: m.gpus,
                memory_gb: m.memory_gb,
            },
        }
    }

    /// Names of the controllers, in order.
    pub fn labels(&self) -> Vec<NodeId> {
        self.controllers
            .iter()
            .map(|c| c.label.as_str().into())
            .collect()
    }
}
