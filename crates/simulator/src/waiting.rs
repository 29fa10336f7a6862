//! Whether a job could start now: a simple, slow model that uses only jobs, machines and
//! teams. Once all faults are over, no job may stay pending while free capacity fits it.

use crate::script::Team;
use pebblefold_controller::types::Resources;
use pebblefold_controller::wire::users::{JobShape, Submission};
use std::collections::BTreeMap;

/// Free resources of a machine that is up and without a fault.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// Zone of the machine.
    pub zone: String,
    /// Machine type.
    pub kind: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Resources that no task occupies.
    pub free: Resources,
}

/// A job with pending tasks.
#[derive(Clone, Debug)]
pub struct PendingJob<'a> {
    /// The job as submitted.
    pub spec: &'a Submission,
    /// Number of the job's tasks that are neither done nor on a machine.
    pub tasks: u32,
    /// Number of the job's tasks on machines, by zone.
    pub in_zones: BTreeMap<String, u32>,
}

fn within_team_limits(team: &Team, used: &Resources) -> bool {
    let over = |limit: f64, used: f64| limit > 0.0 && used > limit + 1e-6;
    !over(team.gpus_max, used.gpus) && !over(team.cpus_max, used.cpus)
}

/// Whether the next task of an array or a service, or all tasks of a gang, could be placed
/// now: each on a machine of an allowed type, zone and market with enough free resources, as
/// `same_place` and `scatter` allow, with the team within its maximum. `used` is what the
/// team's tasks occupy now.
pub fn could_start(
    job: &PendingJob<'_>,
    machines: &[FreeCapacity],
    team: &Team,
    used: &Resources,
) -> bool {
    let spec = job.spec;
    let gang = spec.shape == JobShape::Gang;
    // A gang starts only once no task of an earlier attempt is on a machine.
    if job.tasks == 0 || gang && !job.in_zones.is_empty() {
        return false;
    }
    let tasks_to_place = if gang { spec.tasks } else { 1 };
    let need = spec.needs();
    let mut team_usage = *used;
    team_usage += need.times(f64::from(tasks_to_place));
    if !within_team_limits(team, &team_usage) {
        return false;
    }
    let allowed = |machine: &&FreeCapacity| {
        (spec.spot || !machine.spot)
            && spec
                .zone
                .as_ref()
                .is_none_or(|z| z.as_str() == machine.zone)
            && spec
                .kinds
                .as_ref()
                .is_none_or(|k| k.iter().any(|k| k.as_str() == machine.kind))
    };
    let mut slots_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in machines.iter().filter(allowed) {
        *slots_by_zone.entry(&machine.zone).or_default() +=
            need.max_count_in(&machine.free, u32::MAX);
    }
    let max_per_zone = if spec.spread {
        spec.tasks.div_ceil(2)
    } else {
        u32::MAX
    };
    let remaining =
        |zone: &str| max_per_zone.saturating_sub(job.in_zones.get(zone).copied().unwrap_or(0));
    let fits_in_zone = |zone: &str, n: u32| n.min(remaining(zone)) >= tasks_to_place;
    if spec.one_zone {
        let current_zone = job.in_zones.keys().next();
        return slots_by_zone
            .iter()
            .any(|(z, n)| current_zone.is_none_or(|b| b == z) && fits_in_zone(z, *n));
    }
    let slots: u64 = slots_by_zone
        .iter()
        .map(|(z, n)| u64::from((*n).min(remaining(z))))
        .sum();
    slots >= u64::from(tasks_to_place)
}
