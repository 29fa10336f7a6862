//! Messages to and from the cloud, which provisions and terminates machines.

use crate::types::{MachineId, MachineTypeName, Resources, Zone};
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type, as requests and heartbeats give it.
    #[serde(rename = "sku")]
    pub name: MachineTypeName,
    /// Number of processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of graphics processors.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    pub cache_gb: f64,
    /// Bandwidth at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "yards")]
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// Total resources of a machine of this type.
    pub fn has(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// The cloud's list of machine types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types that the cloud offers.
    #[serde(rename = "kinds_of_box")]
    pub kinds: Vec<MachineType>,
}

/// A request to provision machines of one type in one zone. The cloud answers with
/// [`MachineNames`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Unique id of the request, which makes it safe to repeat; never reused.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type to provision.
    #[serde(rename = "box_kind")]
    pub kind: MachineTypeName,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether to provision spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Names of machines: the answer to a [`ProvisionRequest`], or a request to terminate
/// these machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names that the cloud gave to the machines.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineStage {
    /// Provisioned, but not running yet.
    #[serde(rename = "booting")]
    Booting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Stopped without a request to terminate it.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub id: MachineId,
    /// Address of the agent on the machine.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "box_kind")]
    pub kind: MachineTypeName,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State of the machine.
    pub stage: MachineStage,
    /// Seconds since the machine was requested.
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "boxes")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
