//! A machine as a cycle sees it.

use super::ImageCache;
use crate::types::{MachineId, MachineTypeName, Resources, Time, Zone};

/// A machine as a cycle sees it.
#[derive(Clone, Debug)]
pub struct MachineRow {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    pub kind: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it has.
    pub whole: Resources,
    /// What is free for new tasks.
    pub free: Resources,
    /// When it is predicted to be free altogether.
    pub available: Time,
    /// When high-priority work was last placed here.
    pub last_high: Option<Time>,
    /// Its images.
    pub cache: ImageCache,
    /// Fetch rate of its type.
    pub fetch_rate: f64,
    /// Whether it is put aside: only work that has waited for long may go there.
    pub aside: bool,
}
