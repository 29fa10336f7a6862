//! What a job wants placed.

use crate::core::placement_tables::MachineRow;
use crate::types::{
    Class, Image, JobId, MachineId, MachineTypeName, Resources, Team, Time, TimeSpan, Zone,
};
use crate::wire::users::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// What a job wants placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: Team,
    /// Its class.
    pub class: Class,
    /// Its image.
    pub image: Image,
    /// The image's size.
    pub image_gb: f64,
    /// What each task takes.
    pub need: Resources,
    /// The tasks that wait.
    pub tasks: Vec<u32>,
    /// All of them or none.
    pub gang: bool,
    /// Its priority.
    pub priority: Priority,
    /// Whether it lies within its team's guarantee.
    pub entitled: bool,
    /// Smaller goes first among equals.
    pub order: i64,
    /// Allowed machine types.
    pub kinds: Option<Vec<MachineTypeName>>,
    /// The only allowed zone.
    pub zone: Option<Zone>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone.
    pub most_in_zone: Option<u32>,
    /// Tasks that are or may be in each zone.
    pub in_zones: BTreeMap<Zone, u32>,
    /// May use spot machines.
    pub spot: bool,
    /// Expected run time of a task.
    pub run: TimeSpan,
    /// When it must run for its next aim about starting to be met.
    pub start_by: Option<Time>,
    /// Whether it has waited so long that machines are held for it.
    pub aged: bool,
    /// Whether it has waited so long that nothing that only makes work wait for a better
    /// machine counts for it: not the gate of cold fetches beside high-priority work, nor
    /// that a machine is put aside.
    pub overdue: bool,
    /// Machines to stay away from.
    pub avoid: BTreeSet<MachineId>,
}

impl PlacementRequest {
    /// Whether a task of this job may be on this machine at all.
    pub fn allows(&self, row: &MachineRow) -> bool {
        (self.spot || !row.spot)
            && self.zone.as_ref().is_none_or(|z| z == &row.zone)
            && self.kinds.as_ref().is_none_or(|k| k.contains(&row.kind))
            && !self.avoid.contains(&row.id)
            && (self.overdue || !row.aside)
    }

    /// How many more tasks may go to a zone.
    pub fn zone_room(&self, zone: &Zone) -> u32 {
        let there = self.in_zones.get(zone).copied().unwrap_or(0);
        let elsewhere = self.in_zones.iter().any(|(z, &n)| z != zone && n > 0);
        if self.one_zone && elsewhere {
            return 0;
        }
        self.most_in_zone
            .map_or(u32::MAX, |m| m.saturating_sub(there))
    }

    pub(super) fn rank(
        &self,
    ) -> (
        std::cmp::Reverse<Priority>,
        std::cmp::Reverse<bool>,
        i64,
        JobId,
    ) {
        (
            std::cmp::Reverse(self.priority),
            std::cmp::Reverse(self.entitled),
            self.order,
            self.job.clone(),
        )
    }

    /// Whether what holds for placing this holds for placing `other`, image
    /// and number of tasks apart.
    pub fn is_like(&self, other: &PlacementRequest) -> bool {
        self.priority == other.priority
            && self.entitled == other.entitled
            && self.gang == other.gang
            && self.spot == other.spot
            && self.one_zone == other.one_zone
            && self.most_in_zone == other.most_in_zone
            && self.need == other.need
            && self.team == other.team
            && self.zone == other.zone
            && self.kinds == other.kinds
            && self.in_zones == other.in_zones
            && self.avoid == other.avoid
    }

    pub(super) fn is_high(&self) -> bool {
        self.priority >= Priority::High
    }
}
