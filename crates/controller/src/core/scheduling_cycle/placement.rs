//! Places the tasks of one request: for an array as many as fit, for a gang all or
//! none. The eligible machines are determined in `candidates`.

use super::candidates::{PlacementScope, RowsWithRoom};
use super::request::PlacementRequest;
use super::{SchedulingCycle, StartDecision};
use crate::types::{Resources, TimeSpan, Zone};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Number of tasks to assign to one row.
struct RowAllocation {
    row: usize,
    tasks: u32,
}

/// Result of a trial placement of a request in one zone. The smallest trial is chosen,
/// comparing these fields from first to last: for arrays the zone with room for the most
/// tasks, then the zone in which the slowest fetch ends first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneTrial<'z> {
    tasks: Reverse<usize>,
    slowest_fetch: TimeSpan,
    zone: &'z Zone,
    candidates: Vec<usize>,
}

impl SchedulingCycle<'_> {
    /// Places as many tasks of an array as fit, and of a gang all or none.
    pub(super) fn place(&mut self, request: &mut PlacementRequest, scope: PlacementScope) {
        if request.tasks.is_empty() {
            return;
        }
        let room_index = self.find_rows_with_room(request.need);
        if !self.rows_with_room[room_index].may_fit(request) {
            return;
        }
        let quota_room = self.quota_room(request);
        if request.gang && (quota_room as usize) < request.tasks.len() {
            return;
        }
        let candidates = if request.one_zone {
            self.candidates_in_best_zone(request, room_index, scope, quota_room)
        } else {
            Some(self.candidates(request, room_index, scope, None))
        };
        if let Some(candidates) = candidates {
            self.assign_to_candidates(request, &candidates, quota_room);
        }
    }

    /// The candidates of the best zone for a request; `None` if no zone can place it.
    fn candidates_in_best_zone(
        &self,
        request: &PlacementRequest,
        room_index: usize,
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
            .filter_map(|zone| self.try_zone(request, room_index, scope, quota_room, zone))
            .min();
        best.map(|trial| trial.candidates)
    }

    fn try_zone<'z>(
        &self,
        request: &PlacementRequest,
        room_index: usize,
        scope: PlacementScope,
        quota_room: u32,
        zone: &'z Zone,
    ) -> Option<ZoneTrial<'z>> {
        let candidates = self.candidates(request, room_index, scope, Some(zone));
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

    /// Number of the request's tasks that fit within its team's maximum quota.
    pub(super) fn quota_room(&self, request: &PlacementRequest) -> u32 {
        let Some(team) = self.teams.get(&request.team) else {
            return 0;
        };
        let unused = |maximum: Option<f64>, used: f64| maximum.map_or(f64::INFINITY, |m| m - used);
        let room = Resources {
            cpus: unused(team.share.cpus_max, team.used.cpus),
            gpus: unused(team.share.gpus_max, team.used.gpus),
            memory_gb: f64::INFINITY,
        };
        request.need.max_count_in(&room, request.tasks.len() as u32)
    }

    /// Distributes at most `limit` tasks over the candidates: each row receives as many
    /// tasks as fit before the next row is used.
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
            // All tasks of a gang wait for its slowest fetch, so the difference between
            // fetch times is limited.
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
            let tasks = request
                .need
                .max_count_in(&usable, tasks_left.min(zone_room));
            if tasks > 0 {
                *in_zone += tasks;
                tasks_left -= tasks;
                allocations.push(RowAllocation { row: index, tasks });
            }
        }
        allocations
    }

    /// Assigns at most `limit` tasks to the candidates, best first; of a gang all or none.
    fn assign_to_candidates(
        &mut self,
        request: &mut PlacementRequest,
        candidates: &[usize],
        limit: u32,
    ) {
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

    /// Decides the start of a task on a row and records it in the tables, so that the
    /// rest of the cycle counts its resources as used and its image as being fetched.
    pub fn assign(&mut self, request: &mut PlacementRequest, task: u32, row: usize) {
        let now = self.parameters.now;
        let fetch_time = self.fetch_time(request, &self.rows[row]);
        self.consume_spare(request, row);
        let machine = &mut self.rows[row];
        machine.free -= request.need;
        if let Some(trial) = &mut machine.trial {
            trial.job = Some(request.job.clone());
        }
        match request.run_time {
            Some(run_time) => {
                let ends_at = now + fetch_time + run_time;
                machine.available_at = machine.available_at.max(ends_at);
            }
            None => machine.reservable -= request.need,
        }
        self.rows_by_availability.clear();
        if machine
            .cache
            .remaining_fetch_time(&request.image, now)
            .is_none()
        {
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
    /// Whether these rows may have room for a request. When little room is free, this
    /// check avoids a placement attempt for most gangs.
    fn may_fit(&self, request: &PlacementRequest) -> bool {
        let max_tasks = match request.one_zone {
            true => self.max_tasks_in_one_zone,
            false => self.max_tasks,
        };
        !self.rows.is_empty() && (!request.gang || max_tasks >= request.tasks.len() as u64)
    }
}
