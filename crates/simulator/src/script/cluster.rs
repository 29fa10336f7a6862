//! The cluster of a script: controllers, machines, teams, and the services around it.

use pebblefold_controller::types::Resources;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The zones, also called sites.
    pub zones: Vec<String>,
    /// The zone of each controller.
    pub controllers: Vec<String>,
    /// The build that they begin with; none: this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<String>,
    /// How workers behave.
    #[serde(default)]
    pub workers: Workers,
    /// Limits of the state service.
    #[serde(default)]
    pub state: StateLimits,
    /// The cloud's interface.
    #[serde(default)]
    pub cloud: CloudLimits,
    /// Machine types.
    pub kinds: Vec<Kind>,
    /// How many machines the cloud has, and which are up at the start.
    pub machines: Vec<Machines>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims, as the platform's settings state them.
    #[serde(default)]
    pub aims: Vec<Aim>,
}

/// Times of the workers, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    /// Between reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// How long a gang's tasks wait for one another.
    pub gang_wait_s: f64,
    /// How soon they notice a missing one.
    pub gang_peer_s: f64,
    /// Within which a cancelled job's tasks are gone.
    pub cancel_s: f64,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            report_s: 1.0,
            lease_s: 10.0,
            gang_wait_s: 30.0,
            gang_peer_s: 8.0,
            cancel_s: 40.0,
        }
    }
}

/// Limits of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Limits that the controllers' settings announce.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextStateLimits>,
}

impl Default for StateLimits {
    fn default() -> Self {
        StateLimits {
            rps: 200.0,
            write_rps: 80.0,
            next: None,
        }
    }
}

/// Limits that the state service will have from an unknown time on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NextStateLimits {
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum puts and deletes in one transaction.
    pub txn_ops: u32,
    /// Maximum puts and deletes per second.
    pub write_rps: f64,
}

/// The cloud's interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// By how much lists lag, in seconds; sometimes by up to twice that.
    pub list_lag_s: f64,
    /// Share of machines that never come up.
    pub never_up: f64,
    /// Share of machines that take four times as long to boot.
    pub slow_boot: f64,
}

impl Default for CloudLimits {
    fn default() -> Self {
        CloudLimits {
            rps: 4.0,
            list_lag_s: 4.0,
            never_up: 0.02,
            slow_boot: 0.05,
        }
    }
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Room for images in GB.
    pub cache_gb: f64,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    pub price: f64,
    /// Usual price an hour as a spot machine.
    pub spot_price: f64,
    /// Usual boot time.
    pub boot_s: f64,
}

/// Machines of one type, zone and kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Machines {
    /// Their type.
    pub kind: String,
    /// Their zone.
    pub zone: String,
    /// Spot or ordinary.
    #[serde(default)]
    pub spot: bool,
    /// How many the cloud has.
    pub capacity: u32,
    /// How many of them are up at the start.
    #[serde(default)]
    pub up: u32,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed graphics processors; 0: none.
    #[serde(default)]
    pub gpus: f64,
    /// Most graphics processors; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
    /// Guaranteed processors; 0: none.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
}

/// An aim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Aim {
    /// `wait`, `finished`, `deadline` or `guarantee`.
    pub kind: String,
    /// The class it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Within how many seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// For deadlines: how many times the deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// The share that should meet it.
    #[serde(default)]
    pub share: f64,
}

impl Kind {
    /// What a machine of this type has.
    pub fn has(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}
