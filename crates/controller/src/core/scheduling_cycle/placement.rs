//! Places the tasks of one request: for an array as many as fit, for a gang all or
//! none. Which machines come into question is for `candidates` to say.

use super::candidates::{PlacementScope, RowsWithRoom};
use super::request::PlacementRequest;
use super::{SchedulingCycle, StartDecision};
use crate::types::{Resources, TimeSpan, Zone};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that one row would take.
struct RowAllocation {
    row: usize,
    tasks: u32,
}

/// What placing a request in one zone would come to. The least in the order of the
/// fields is chosen: for arrays the zone that takes most tasks, then the zone where
/// the last image is fetched first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneTrial<'z> {
    tasks: Reverse<usize>,
    slowest_fetch: TimeSpan,
    zone: &'z Zone,
    candidates: Vec<usize>,
}

impl SchedulingCycle<'_> {
    /// Places as many tasks as fit, or for a gang all or none.
    pub(super) fn place(&mut self, request: &mut PlacementRequest, scope: PlacementScope) {
        if request.tasks.is_empty() {
            return;
        }
        let room = self.find_rows_with_room(request.need);
        if !self.rows_with_room[room].may_take(request) {
            return;
        }
        let quota_room = self.quota_room(request);
        if request.gang && (quota_room as usize) < request.tasks.len() {
            return;
        }
        let candidates = if request.one_zone {
            self.candidates_in_best_zone(request, room, scope, quota_room)
        } else {
            Some(self.candidates(request, room, scope, None))
        };
        if let Some(candidates) = candidates {
            self.fill(request, &candidates, quota_room);
        }
    }

    /// The candidates of the zone in which a request is best placed; `None` if it can
    /// be placed in none.
    fn candidates_in_best_zone(
        &self,
        request: &PlacementRequest,
        room: usize,
        scope: PlacementScope,
        quota_room: u32,
    ) -> Option<Vec<usize>> {
        let occupied = request.tasks_in_zones.iter().find(|(_, tasks)| **tasks > 0);
        let zones: BTreeSet<Zone> = match occupied {
            Some((zone, _)) => BTreeSet::from([zone.clone()]),
            None => self.zones.clone(),
        };
        let best = zones
            .iter()
            .filter_map(|zone| self.try_zone(request, room, scope, quota_room, zone))
            .min();
        best.map(|trial| trial.candidates)
    }

    fn try_zone<'z>(
        &self,
        request: &PlacementRequest,
        room: usize,
        scope: PlacementScope,
        quota_room: u32,
        zone: &'z Zone,
    ) -> Option<ZoneTrial<'z>> {
        let candidates = self.candidates(request, room, scope, Some(zone));
        let allocations = self.allocate(request, &candidates, quota_room);
        let tasks: usize = allocations.iter().map(|a| a.tasks as usize).sum();
        let is_enough = !request.gang || tasks == request.tasks.len();
        if tasks == 0 || !is_enough {
            return None;
        }
        let fetch_times = allocations
            .iter()
            .map(|a| self.fetch_time(request, &self.rows[a.row]));
        Some(ZoneTrial {
            tasks: Reverse(tasks),
            slowest_fetch: fetch_times.max().unwrap_or(TimeSpan::ZERO),
            zone,
            candidates,
        })
    }

    /// How many of its tasks the team's maximum quota leaves room for.
    pub(super) fn quota_room(&self, request: &PlacementRequest) -> u32 {
        let Some(team) = self.teams.get(&request.team) else {
            return 0;
        };
        let left = |maximum: Option<f64>, used: f64| maximum.map_or(f64::INFINITY, |m| m - used);
        let room = Resources {
            cpus: left(team.share.cpus_max, team.used.cpus),
            gpus: left(team.share.gpus_max, team.used.gpus),
            memory_gb: f64::INFINITY,
        };
        request.need.count_in(&room, request.tasks.len() as u32)
    }

    /// How the tasks would be spread over the candidates, at most `limit` of them: each
    /// row takes as many as fit before the next one.
    fn allocate(
        &self,
        request: &PlacementRequest,
        candidates: &[usize],
        limit: u32,
    ) -> Vec<RowAllocation> {
        let mut tasks_left = (request.tasks.len() as u32).min(limit);
        let mut tasks_in_zones: BTreeMap<&Zone, u32> = BTreeMap::new();
        let mut allocations = Vec::new();
        let mut shortest_fetch: Option<TimeSpan> = None;
        for &index in candidates {
            if tasks_left == 0 {
                break;
            }
            let row = &self.rows[index];
            // A gang's tasks wait for the slowest fetch, but only so long.
            if request.gang {
                let fetch_time = self.fetch_time(request, row);
                let shortest = *shortest_fetch.get_or_insert(fetch_time);
                if fetch_time.0 > shortest.0 + self.parameters.max_fetch_skew.0 {
                    continue;
                }
            }
            let in_zone = tasks_in_zones.entry(&row.zone).or_default();
            let zone_room = request.zone_room(&row.zone).saturating_sub(*in_zone);
            let usable = self.usable(request, index);
            let tasks = request.need.count_in(&usable, tasks_left.min(zone_room));
            if tasks > 0 {
                *in_zone += tasks;
                tasks_left -= tasks;
                allocations.push(RowAllocation { row: index, tasks });
            }
        }
        allocations
    }

    /// Assigns tasks to the candidates, best first; of a gang all or none.
    fn fill(&mut self, request: &mut PlacementRequest, candidates: &[usize], limit: u32) {
        let allocations = self.allocate(request, candidates, limit);
        let total: u32 = allocations.iter().map(|a| a.tasks).sum();
        if request.gang && (total as usize) < request.tasks.len() {
            return;
        }
        for RowAllocation { row, tasks } in allocations {
            for task in request.tasks.drain(..tasks as usize).collect::<Vec<_>>() {
                self.assign(request, task, row);
            }
        }
    }

    /// Records the start of a task in the tables, so that the rest of the cycle sees
    /// its room as taken and its image as being fetched.
    pub fn assign(&mut self, request: &mut PlacementRequest, task: u32, row: usize) {
        let now = self.parameters.now;
        let fetch_time = self.fetch_time(request, &self.rows[row]);
        self.take_spare(request, row);
        let machine = &mut self.rows[row];
        machine.free -= request.need;
        match request.run_time {
            Some(run_time) => {
                let ends_at = now + fetch_time + run_time;
                machine.available_at = machine.available_at.max(ends_at);
            }
            None => machine.reservable -= request.need,
        }
        self.rows_by_availability.clear();
        if machine.cache.remaining(&request.image, now).is_none() {
            *self.holder_counts.entry(request.image.clone()).or_default() += 1;
        }
        machine
            .cache
            .record_use(&request.image, request.image_gb, now, fetch_time);
        if request.is_high() {
            machine.last_high_priority_start = Some(now);
        }
        *request
            .tasks_in_zones
            .entry(machine.zone.clone())
            .or_default() += 1;
        if let Some(team) = self.teams.get_mut(&request.team) {
            team.used += request.need;
        }
        self.starts.push(StartDecision {
            job: request.job.clone(),
            task,
            row,
        });
    }
}

impl RowsWithRoom {
    /// Whether these rows may have room for a request. Where there is little room, most
    /// gangs need not be tried.
    fn may_take(&self, request: &PlacementRequest) -> bool {
        let max_tasks = match request.one_zone {
            true => self.max_tasks_in_one_zone,
            false => self.max_tasks,
        };
        !self.rows.is_empty() && (!request.gang || max_tasks >= request.tasks.len() as u64)
    }
}
