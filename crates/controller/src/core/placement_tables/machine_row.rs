//! A machine as a scheduling cycle sees it.

use super::ImageCache;
use crate::types::{MachineId, MachineTypeName, Resources, Time, Zone};

/// A machine as a scheduling cycle sees it.
#[derive(Clone, Debug)]
pub struct MachineRow {
    /// The machine.
    pub id: MachineId,
    /// Its machine type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is spot capacity.
    pub spot: bool,
    /// All resources it has.
    pub capacity: Resources,
    /// What is free for new tasks.
    pub free: Resources,
    /// When what is reservable is predicted to be free.
    pub available_at: Time,
    /// What is free once all tasks have ended whose end can be predicted.
    pub reservable: Resources,
    /// When high-priority work was last placed here.
    pub last_high_priority_start: Option<Time>,
    /// Its images.
    pub cache: ImageCache,
    /// Fetch rate of its type, in gigabytes per second.
    pub fetch_rate: f64,
    /// Whether it is in quarantine: only work that has waited for long may go there.
    pub quarantined: bool,
}
