//! One machine's row in the tables of a scheduling cycle.

use super::ImageCache;
use crate::core::circuit_breaker::TrialSlot;
use crate::types::{MachineId, MachineTypeName, Resources, Time, Zone};

/// One machine's row in the tables of a scheduling cycle. The leader builds the row
/// before the cycle; each start that the cycle decides updates it.
#[derive(Clone, Debug)]
pub struct MachineRow {
    /// The machine that this row describes.
    pub id: MachineId,
    /// The machine's type.
    pub machine_type: MachineTypeName,
    /// The zone that the machine is in.
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources that are free for new tasks now.
    pub free: Resources,
    /// Time at which all of `reservable` is predicted to be free.
    pub available_at: Time,
    /// Resources that are free once all tasks with a predictable end have ended.
    pub reservable: Resources,
    /// When high-priority work was last placed on the machine; `None` if never.
    pub last_high_priority_start: Option<Time>,
    /// The images on the machine.
    pub cache: ImageCache,
    /// Fetch rate of the machine's type, in gigabytes per second.
    pub fetch_rate: f64,
    /// Whether the machine is in quarantine: only overdue work may be placed on it.
    pub quarantined: bool,
    /// Which work the machine accepts as a trial; `None`: its circuit is closed, and it
    /// accepts any.
    pub trial: Option<TrialSlot>,
}

impl MachineRow {
    /// Whether earlier failures keep most work away from the machine.
    pub fn is_suspect(&self) -> bool {
        self.quarantined || self.trial.is_some()
    }
}
