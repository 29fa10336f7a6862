//! What is to be placed of a job: its waiting tasks, what they need, and where they
//! may go. Says nothing about which machines have room.

use crate::core::placement_tables::MachineRow;
use crate::types::{
    Class, Image, JobId, MachineId, MachineTypeName, Resources, Team, Time, TimeSpan, Zone,
};
use crate::wire::users::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The waiting tasks of a job.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The job.
    pub job: JobId,
    /// The job's team.
    pub team: Team,
    /// The job's class.
    pub class: Class,
    /// The image its tasks run.
    pub image: Image,
    /// The image's size in gigabytes.
    pub image_gb: f64,
    /// What each task takes.
    pub need: Resources,
    /// The tasks that wait, by number.
    pub tasks: Vec<u32>,
    /// Whether all of them start together or none (gang scheduling).
    pub gang: bool,
    /// The job's priority.
    pub priority: Priority,
    /// Whether it lies within its team's guaranteed quota.
    pub within_guarantee: bool,
    /// Smaller goes first among equals.
    pub order: i64,
    /// Allowed machine types; `None`: all.
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The only allowed zone, if any.
    pub zone: Option<Zone>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone, if limited.
    pub max_per_zone: Option<u32>,
    /// Number of tasks that are or may be in each zone.
    pub tasks_in_zones: BTreeMap<Zone, u32>,
    /// Whether it may use spot capacity.
    pub spot: bool,
    /// Expected run time of a task; `None`: it ends when its user ends it, as services do.
    pub run_time: Option<TimeSpan>,
    /// Latest start that still meets its next objective, if it has one.
    pub start_by: Option<Time>,
    /// Whether it has waited so long that machines are reserved for it.
    pub aged: bool,
    /// Whether it has waited so long that rules which only make work wait for a better
    /// machine no longer apply: the limit on cold fetches beside high-priority work,
    /// and the quarantine of machines.
    pub overdue: bool,
    /// The start that was first predicted for a gang with reserved machines.
    pub promised_start: Option<Time>,
    /// Whether it has waited too long beside room that is reserved for others.
    pub held_back_too_long: bool,
    /// Machines to avoid.
    pub avoid: BTreeSet<MachineId>,
}

/// The order in which requests are placed: that of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementRank {
    priority: Reverse<Priority>,
    within_guarantee: Reverse<bool>,
    order: i64,
    job: JobId,
}

impl PlacementRequest {
    /// Whether a task of this job may be on this machine at all, room apart.
    pub fn allows(&self, row: &MachineRow) -> bool {
        (self.spot || !row.spot)
            && self.zone.as_ref().is_none_or(|zone| zone == &row.zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|kinds| kinds.contains(&row.machine_type))
            && !self.avoid.contains(&row.id)
            && (self.overdue || !row.quarantined)
    }

    /// How many more tasks may go to a zone.
    pub fn zone_room(&self, zone: &Zone) -> u32 {
        let in_zone = self.tasks_in_zones.get(zone).copied().unwrap_or(0);
        let is_elsewhere = self
            .tasks_in_zones
            .iter()
            .any(|(other, &tasks)| other != zone && tasks > 0);
        if self.one_zone && is_elsewhere {
            return 0;
        }
        self.max_per_zone
            .map_or(u32::MAX, |most| most.saturating_sub(in_zone))
    }

    /// The place of this request among all that are placed.
    pub(super) fn rank(&self) -> PlacementRank {
        PlacementRank {
            priority: Reverse(self.priority),
            within_guarantee: Reverse(self.within_guarantee),
            order: self.order,
            job: self.job.clone(),
        }
    }

    /// Whether a placement that is possible for this request is possible for `other`
    /// and the reverse, apart from the image and the number of tasks.
    pub fn is_like(&self, other: &PlacementRequest) -> bool {
        self.priority == other.priority
            && self.within_guarantee == other.within_guarantee
            && self.gang == other.gang
            && self.spot == other.spot
            && self.one_zone == other.one_zone
            && self.max_per_zone == other.max_per_zone
            && self.need == other.need
            && self.team == other.team
            && self.zone == other.zone
            && self.machine_types == other.machine_types
            && self.tasks_in_zones == other.tasks_in_zones
            && self.avoid == other.avoid
    }

    /// Whether it is interactive work in the sense of the paper.
    pub(super) fn is_high(&self) -> bool {
        self.priority >= Priority::High
    }
}
