//! The cloud's messages.

use crate::types::{MachineId, MachineTypeName, Resources, Zone};
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: MachineTypeName,
    /// Processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Graphics processors.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Room for images.
    pub cache_gb: f64,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Current price an hour as a spot machine.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Where it can be had.
    #[serde(rename = "yards")]
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// What a machine of this type has.
    pub fn has(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// All machine types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "kinds_of_box")]
    pub kinds: Vec<MachineType>,
}

/// A request for machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// The request's name, never reused.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "box_kind")]
    pub kind: MachineTypeName,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Spot or ordinary.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Names of machines: rented ones, or ones to release.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineStage {
    /// Not up yet.
    #[serde(rename = "booting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped on its own.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub id: MachineId,
    /// Its worker's address.
    pub addr: String,
    /// Its type.
    #[serde(rename = "box_kind")]
    pub kind: MachineTypeName,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Spot or ordinary.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Its state.
    pub stage: MachineStage,
    /// Age since the request.
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "boxes")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
