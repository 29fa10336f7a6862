//! A placement request: the waiting tasks of a job, the resources that each needs, and
//! the machines that are allowed for them. Which machines have room is determined in
//! `candidates`.

use crate::core::placement_tables::MachineRow;
use crate::types::{
    Class, Image, JobId, MachineId, MachineTypeName, Resources, Team, Time, TimeSpan, Zone,
};
use crate::wire::users::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The waiting tasks of a job, with the constraints on their placement.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The job whose tasks wait.
    pub job: JobId,
    /// The team whose quota the job counts against.
    pub team: Team,
    /// The job's class, which has its own objectives and minimum share.
    pub class: Class,
    /// The image that every task of the job runs.
    pub image: Image,
    /// The image's size in gigabytes.
    pub image_gb: f64,
    /// Resources that each task occupies.
    pub need: Resources,
    /// Numbers of the tasks that are still to be placed.
    pub tasks: Vec<u32>,
    /// Whether the tasks start all together or not at all (gang scheduling).
    pub gang: bool,
    /// The job's priority.
    pub priority: Priority,
    /// Whether the job lies within its team's guaranteed quota.
    pub within_guarantee: bool,
    /// Rank among requests of equal priority; the smallest value is placed first.
    pub order: i64,
    /// Allowed machine types; `None` allows all.
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The only allowed zone; `None` allows all.
    pub zone: Option<Zone>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Maximum number of tasks in one zone; `None` means no limit.
    pub max_per_zone: Option<u32>,
    /// Number of the job's tasks that are or may be running in each zone.
    pub tasks_in_zones: BTreeMap<Zone, u32>,
    /// Whether the job may run on spot machines.
    pub spot: bool,
    /// Expected run time of a task; `None` for tasks that run until their user ends
    /// them, as services do.
    pub run_time: Option<TimeSpan>,
    /// Latest start that still meets the job's next objective; `None` without one.
    pub start_by: Option<Time>,
    /// Whether the job has waited long enough for machines to be reserved for it.
    pub reservation_due: bool,
    /// Whether the job has waited so long that the rules which only delay work until a
    /// better machine is free no longer apply: the limit on cold fetches on machines
    /// with recent high-priority starts, and the quarantine of machines.
    pub overdue: bool,
    /// Start time that was first predicted for a gang with reserved machines.
    pub promised_start: Option<Time>,
    /// Whether the job has waited too long while the only free room was reserved for
    /// other jobs.
    pub held_back_too_long: bool,
    /// Whether tasks of the job wait, and none was placed for so long that the job may use
    /// machines which it avoids, and begin a trial on a machine with an open circuit.
    pub stalled: bool,
    /// Machines on which no task of the job is placed, unless the job is stalled.
    pub avoid: BTreeSet<MachineId>,
}

/// Sort key of requests: they are placed in ascending order of these fields, compared
/// from first to last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementRank {
    priority: Reverse<Priority>,
    within_guarantee: Reverse<bool>,
    order: i64,
    job: JobId,
}

impl PlacementRequest {
    /// Whether the constraints allow a task of this job on this machine, regardless of
    /// free resources.
    pub fn allows(&self, row: &MachineRow) -> bool {
        (self.spot || !row.spot)
            && self.zone.as_ref().is_none_or(|zone| zone == &row.zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&row.machine_type))
            && (self.stalled || !self.avoid.contains(&row.id))
            && (self.overdue || !row.quarantined)
            && row
                .trial
                .as_ref()
                .is_none_or(|trial| trial.admits(&self.job, self.stalled))
    }

    /// Whether tasks of this job are placed on this machine only if no other has room.
    pub fn is_last_resort(&self, row: &MachineRow) -> bool {
        row.is_suspect() || self.avoid.contains(&row.id)
    }

    /// Number of further tasks that the zone constraints allow in a zone.
    pub fn zone_room(&self, zone: &Zone) -> u32 {
        let in_zone = self.tasks_in_zones.get(zone).copied().unwrap_or(0);
        let has_tasks_elsewhere = self
            .tasks_in_zones
            .iter()
            .any(|(other, &tasks)| other != zone && tasks > 0);
        if self.one_zone && has_tasks_elsewhere {
            return 0;
        }
        self.max_per_zone
            .map_or(u32::MAX, |limit| limit.saturating_sub(in_zone))
    }

    /// Sort key of this request in the placement order.
    pub(super) fn rank(&self) -> PlacementRank {
        PlacementRank {
            priority: Reverse(self.priority),
            within_guarantee: Reverse(self.within_guarantee),
            order: self.order,
            job: self.job.clone(),
        }
    }

    /// Whether the two requests can be placed on the same machines, regardless of their
    /// images and numbers of tasks.
    pub fn is_equivalent_to(&self, other: &PlacementRequest) -> bool {
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
            && self.stalled == other.stalled
    }

    /// Whether the request counts as interactive work in the sense of the paper.
    pub(super) fn is_high(&self) -> bool {
        self.priority >= Priority::High
    }
}
