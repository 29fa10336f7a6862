//! Whether a job could start now: a slow plain model from jobs, machines and teams alone.
//! Nobody may be left waiting beside room that fits, once all troubles are over.

use crate::script::Team;
use pebblefold_controller::types::Resources;
use pebblefold_controller::wire::users::{JobShape, Submission};
use std::collections::BTreeMap;

/// What is free on a machine that is up and well.
#[derive(Clone, Debug)]
pub struct Room {
    /// The machine's zone.
    pub zone: String,
    /// Its type.
    pub kind: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// What is free.
    pub free: Resources,
}

/// A job of which tasks wait.
#[derive(Clone, Debug)]
pub struct Waiting<'a> {
    /// The job.
    pub spec: &'a Submission,
    /// How many of its tasks are neither done nor on a machine.
    pub tasks: u32,
    /// How many are on machines, by zone.
    pub in_zones: BTreeMap<String, u32>,
}

fn under(team: &Team, used: &Resources) -> bool {
    let over = |limit: f64, used: f64| limit > 0.0 && used > limit + 1e-6;
    !over(team.gpus_max, used.gpus) && !over(team.cpus_max, used.cpus)
}

/// Whether the next task of an array or a service, or all tasks of a gang, could be placed
/// now: each on a machine of an allowed type, zone and market with room, as `same_place`
/// and `scatter` allow, with the team, which uses so much, within its limit.
pub fn could_start(w: &Waiting<'_>, rooms: &[Room], team: &Team, used: &Resources) -> bool {
    let spec = w.spec;
    let gang = spec.shape == JobShape::Gang;
    // What is left of an earlier attempt has to go first.
    if w.tasks == 0 || gang && !w.in_zones.is_empty() {
        return false;
    }
    let wanted = if gang { spec.tasks } else { 1 };
    let need = spec.needs();
    let mut all = *used;
    all += need.times(f64::from(wanted));
    if !under(team, &all) {
        return false;
    }
    let allowed = |r: &&Room| {
        (spec.spot || !r.spot)
            && spec.zone.as_ref().is_none_or(|z| z.as_str() == r.zone)
            && spec
                .kinds
                .as_ref()
                .is_none_or(|k| k.iter().any(|k| k.as_str() == r.kind))
    };
    let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for r in rooms.iter().filter(allowed) {
        *by_zone.entry(&r.zone).or_default() += need.max_count_in(&r.free, u32::MAX);
    }
    let most = if spec.spread {
        spec.tasks.div_ceil(2)
    } else {
        u32::MAX
    };
    let left = |zone: &str| most.saturating_sub(w.in_zones.get(zone).copied().unwrap_or(0));
    let in_one = |zone: &str, n: u32| n.min(left(zone)) >= wanted;
    if spec.one_zone {
        let bound = w.in_zones.keys().next();
        return by_zone
            .iter()
            .any(|(z, n)| bound.is_none_or(|b| b == z) && in_one(z, *n));
    }
    let fits: u64 = by_zone
        .iter()
        .map(|(z, n)| u64::from((*n).min(left(z))))
        .sum();
    fits >= u64::from(wanted)
}
