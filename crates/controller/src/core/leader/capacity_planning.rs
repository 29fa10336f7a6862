//! Capacity planning: after each cycle, decides which machines to provision for requests that
//! found no room, and which idle machines to terminate. Makes no calls.

use super::arrival_recorder::{Arrival, ArrivalRecorder};
use super::cluster_state::ClusterState;
use super::scheduler::CycleResult;
use crate::core::Now;
use crate::core::autoscaler::intents::{CapacityPool, MAX_MACHINES_PER_PROVISION};
use crate::core::autoscaler::state::Autoscaler;
use crate::core::machine::MachineLifecycle;
use crate::core::placement_tables::{ImageCache, MachineRow};
use crate::core::scheduling_cycle::{
    CycleParameters, PlacementRequest, SchedulingCycle, TeamQuotaState,
};
use crate::settings::ObjectiveKind;
use crate::types::{Class, MachineId, Team, Time, TimeSpan, WallTime, Zone};
use crate::wire::cloud::{MachineType, ProvisionRequest};
use std::collections::{BTreeMap, HashMap};

/// The number of machines in each zone.
type ZoneCounts = HashMap<Zone, u32>;

/// Machines needed in each pool; a fraction where tasks do not fill a whole machine.
type PoolDemand = BTreeMap<CapacityPool, f64>;

/// Added to the price of a machine for each machine in the same zone: only enough to spread
/// new machines over zones of equal price.
const CROWDING_COST: f64 = 1e-6;
/// The reserve is computed from arrivals of the last `RESERVE_WINDOW_MS` milliseconds.
const RESERVE_WINDOW_MS: u64 = 240_000;
/// Least time, in seconds, over which these arrivals are assumed to be spread.
const MIN_RESERVE_SPAN_S: f64 = 60.0;
/// An objective to start within fewer boot times than this needs reserve machines.
const MAX_RESERVE_BOOT_TIMES: f64 = 2.0;
/// Upper limit of the computed number of tasks on one machine.
const MAX_TASKS_PER_MACHINE: u32 = 100_000;
/// Multiplies the idle time limit while no job is open.
const QUIET_IDLE_FACTOR: f64 = 0.25;
/// After how many times the idle limit a machine is terminated even if unplaced work could use
/// it.
const USABLE_IDLE_FACTOR: f64 = 3.0;
/// Heartbeat intervals, and a margin, after which every agent has had time to send a new
/// leader its first heartbeat.
const FIRST_HEARTBEAT_INTERVALS: f64 = 1.5;
const FIRST_HEARTBEAT_SLACK: TimeSpan = TimeSpan::millis(1000);

/// A pool to provision from for a request.
struct PoolChoice {
    /// Price of a machine per task, plus the crowding cost of the zone.
    cost: f64,
    pool: CapacityPool,
    /// How many tasks of the request one machine takes.
    tasks_per_machine: u32,
}

/// A machine without tasks.
struct IdleMachine {
    id: MachineId,
    price: f64,
    /// Whether it has been idle for long enough to be terminated.
    may_terminate: bool,
}

impl Autoscaler {
    /// Called after each cycle: decides to provision machines for requests that found no room,
    /// and marks idle machines that are not needed for termination. `leading_since`: when
    /// this leader began to lead.
    pub(in crate::core) fn plan_capacity(
        &mut self,
        at: Now,
        cluster: &mut ClusterState,
        arrivals: &ArrivalRecorder,
        leading_since: Time,
        cycle: &CycleResult,
    ) {
        let mut pending = self.pending_machines(at.time, cluster);
        let max_pending = cluster.policy.most_booting as u32;
        let max_new_machines = max_pending.saturating_sub(pending.len() as u32);
        let mut teams = cluster.team_use();
        let unplaced =
            remaining_unplaced(at.time, cluster, &cycle.unplaced, &mut pending, &mut teams);
        self.paused_pools.retain(|_, until| *until > at.time);
        if self.intents.may_provision() && self.has_fleet_view(at.time, cluster, leading_since) {
            let zones = cluster.machines_per_zone();
            let mut demand = self.demand_by_pool(cluster, &unplaced, &teams, &zones);
            let idle =
                count_idle_rows(&cycle.rows) + pending.iter().filter(|r| is_empty(r)).count();
            let reserve = cluster.reserve_machine_count(at.wall, arrivals) as usize;
            if idle < reserve
                && let Some(pool) = self.cheapest_pool(cluster, &zones)
            {
                *demand.entry(pool).or_default() += (reserve - idle) as f64;
            }
            self.provision(at.wall, demand, max_new_machines);
        }
        cluster.terminate_idle_machines(at, arrivals, &unplaced, &cycle.rows);
    }

    /// The machines that are booting or requested, as rows.
    fn pending_machines(&self, now: Time, cluster: &ClusterState) -> Vec<MachineRow> {
        let booting = cluster.machines.iter().filter(|(_, machine)| {
            machine.last_heartbeat.is_none()
                && machine.lifecycle == MachineLifecycle::InService
                && !machine.listed_as_failed()
        });
        let booting = booting.filter_map(|(id, machine)| cluster.machine_row(now, id, machine));
        let requested = self.intents.outstanding_provisions();
        let requested = requested.flat_map(|request| cluster.expected_machines(now, request));
        booting.chain(requested).collect()
    }

    /// Whether the leader's tables name all machines: once a complete list was read, or every
    /// agent has had time to send a heartbeat. Before that, a new leader cannot distinguish
    /// missing machines from machines that it has not seen yet.
    fn has_fleet_view(&self, now: Time, cluster: &ClusterState, leading_since: Time) -> bool {
        let interval = cluster.settings.workers.report;
        let first_heartbeats = interval.scaled(FIRST_HEARTBEAT_INTERVALS) + FIRST_HEARTBEAT_SLACK;
        self.last_list.is_some() || now.since(leading_since) > first_heartbeats
    }

    /// The machines that the requests need, each from the pool that is cheapest for it.
    /// Requests beyond their team's quota are left out.
    fn demand_by_pool(
        &self,
        cluster: &ClusterState,
        unplaced: &[PlacementRequest],
        teams: &BTreeMap<Team, TeamQuotaState>,
        zones: &ZoneCounts,
    ) -> PoolDemand {
        let mut demand = PoolDemand::new();
        for request in unplaced {
            let least_tasks = if request.gang {
                request.tasks.len() as f64
            } else {
                1.0
            };
            let is_within_quota = teams.get(&request.team).is_some_and(|team| {
                let used = team.used + request.need.times(least_tasks);
                team.share.allows(&used)
            });
            if !is_within_quota {
                continue;
            }
            if let Some(choice) = self.cheapest_pool_for(cluster, request, zones) {
                let machines = request.tasks.len() as f64 / f64::from(choice.tasks_per_machine);
                *demand.entry(choice.pool).or_default() += machines;
            }
        }
        demand
    }

    /// Records provision intents for the demand, for at most `max_new_machines` machines.
    fn provision(&mut self, wall: WallTime, demand: PoolDemand, mut max_new_machines: u32) {
        for (pool, machines) in demand {
            let mut remaining = (machines.ceil() as u32).min(max_new_machines);
            max_new_machines -= remaining;
            while remaining > 0 {
                let count = remaining.min(MAX_MACHINES_PER_PROVISION);
                remaining -= count;
                self.intents.provision(pool.clone(), count, wall);
            }
        }
    }

    /// The pool with the lowest price per task that a request may use and that is not paused.
    fn cheapest_pool_for(
        &self,
        cluster: &ClusterState,
        request: &PlacementRequest,
        zones: &ZoneCounts,
    ) -> Option<PoolChoice> {
        let mut best: Option<PoolChoice> = None;
        for machine_type in cluster.machine_types.values() {
            let tasks = request
                .need
                .max_count_in(&machine_type.has(), MAX_TASKS_PER_MACHINE);
            let allowed = request.machine_types.as_ref();
            if tasks == 0 || allowed.is_some_and(|allowed| !allowed.contains(&machine_type.name)) {
                continue;
            }
            for zone in &machine_type.zones {
                if !allows_zone(request, zone) {
                    continue;
                }
                for spot in [true, false] {
                    let pool = CapacityPool {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if (spot && !request.spot) || self.paused_pools.contains_key(&pool) {
                        continue;
                    }
                    let price = price_of(machine_type, spot) / f64::from(tasks);
                    let cost = price + crowding_cost(zones, zone);
                    if best.as_ref().is_none_or(|best| cost < best.cost) {
                        best = Some(PoolChoice {
                            cost,
                            pool,
                            tasks_per_machine: tasks,
                        });
                    }
                }
            }
        }
        best
    }

    /// The pool with the lowest price per machine that is not paused.
    fn cheapest_pool(&self, cluster: &ClusterState, zones: &ZoneCounts) -> Option<CapacityPool> {
        let mut best: Option<(f64, CapacityPool)> = None;
        for machine_type in cluster.machine_types.values() {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let pool = CapacityPool {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if self.paused_pools.contains_key(&pool) {
                        continue;
                    }
                    let cost = price_of(machine_type, spot) + crowding_cost(zones, zone);
                    if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                        best = Some((cost, pool));
                    }
                }
            }
        }
        best.map(|(_, pool)| pool)
    }
}

impl ClusterState {
    /// The machines that a provision request will add, as rows, so that work which fits on
    /// them is not provisioned for again.
    fn expected_machines(&self, now: Time, request: &ProvisionRequest) -> Vec<MachineRow> {
        let Some(machine_type) = self.machine_types.get(&request.kind) else {
            return Vec::new();
        };
        let row = |number: u32| MachineRow {
            id: format!("{}#{number}", request.request).into(),
            machine_type: request.kind.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            capacity: machine_type.has(),
            free: machine_type.has(),
            available_at: now,
            reservable: machine_type.has(),
            last_high_priority_start: None,
            cache: ImageCache::default(),
            fetch_rate: machine_type.fetch_gb_per_s,
            quarantined: false,
            trial: None,
        };
        (0..request.count).map(row).collect()
    }

    /// The number of machines in each zone; a machine without a known zone is not counted.
    fn machines_per_zone(&self) -> ZoneCounts {
        let mut zones = ZoneCounts::new();
        let machines = self.machines.values();
        for zone in machines.filter_map(|machine| machine.zone.as_ref()) {
            match zones.get_mut(zone) {
                Some(count) => *count += 1,
                None => {
                    zones.insert(zone.clone(), 1);
                }
            }
        }
        zones
    }

    /// How many idle machines to keep for classes with an objective that bounds the time to
    /// start to less than new machines need: the machines for the work that arrives during a
    /// boot, times the policy's `reserve`, but at least the largest recent job's.
    fn reserve_machine_count(&self, wall: WallTime, arrivals: &ArrivalRecorder) -> u32 {
        let types = self.machine_types.values();
        let boot_s = types.map(|t| t.boot_s).fold(0.0, f64::max);
        let mut machines = 0.0;
        let mut largest: f64 = 0.0;
        for (class, arrivals) in &arrivals.by_class {
            if !self.needs_reserve(class, boot_s) {
                continue;
            }
            let age_ms = |arrival: &Arrival| wall.0.saturating_sub(arrival.at.0);
            let recent: Vec<&Arrival> = arrivals
                .iter()
                .filter(|arrival| age_ms(arrival) < RESERVE_WINDOW_MS)
                .collect();
            let oldest = recent.iter().map(|arrival| arrival.at.0).min();
            let span_s = oldest.map_or(1.0, |oldest| {
                let age_s = wall.0.saturating_sub(oldest) as f64 / 1000.0;
                age_s.max(MIN_RESERVE_SPAN_S)
            });
            let sum: f64 = recent.iter().map(|arrival| arrival.machines).sum();
            machines += sum / span_s * boot_s;
            let sizes = recent.iter().map(|arrival| arrival.machines);
            largest = sizes.fold(largest, f64::max);
        }
        (machines * self.policy.reserve)
            .max(largest)
            .min(self.policy.most_reserve)
            .ceil() as u32
    }

    /// Whether a class has an objective to start in less time than new machines need to boot.
    fn needs_reserve(&self, class: &Class, boot_s: f64) -> bool {
        self.settings.objectives.iter().any(|objective| {
            let within = objective.within;
            objective.kind == ObjectiveKind::Wait
                && objective.class.as_ref() == Some(class)
                && within.is_some_and(|within| within.as_secs() < boot_s * MAX_RESERVE_BOOT_TIMES)
        })
    }

    /// Marks machines for termination that have been idle for long and that no unplaced request
    /// could use, the most expensive first, beyond the reserve. A machine that a request could
    /// use is also terminated, only later: a request for several machines at the same time may
    /// never get them while idle machines elsewhere use up the cloud's capacity.
    fn terminate_idle_machines(
        &mut self,
        at: Now,
        arrivals: &ArrivalRecorder,
        unplaced: &[PlacementRequest],
        rows: &[MachineRow],
    ) {
        let mut idle = self.idle_machines(at.time, unplaced, rows);
        let reserve = self.reserve_machine_count(at.wall, arrivals) as usize;
        let surplus = idle.len().saturating_sub(reserve);
        idle.sort_by(|a, b| b.price.total_cmp(&a.price).then(a.id.cmp(&b.id)));
        let candidates = idle.into_iter().filter(|machine| machine.may_terminate);
        for IdleMachine { id, .. } in candidates.take(surplus) {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, "idle machine terminated");
                machine.mark_for_termination("idle");
            }
        }
    }

    /// The idle machines of these rows, without suspect ones: `fleet_health` decides about
    /// those. Sets `idle_since` of machines that have just become idle.
    fn idle_machines(
        &mut self,
        now: Time,
        unplaced: &[PlacementRequest],
        rows: &[MachineRow],
    ) -> Vec<IdleMachine> {
        // While no job is open, idle machines are less likely to be needed.
        let is_quiet = self.jobs.values().all(|job| !job.is_open());
        let idle_factor = if is_quiet { QUIET_IDLE_FACTOR } else { 1.0 };
        let idle_limit = TimeSpan::secs(self.policy.idle_s).scaled(idle_factor);
        let mut idle = Vec::new();
        for row in rows.iter().filter(|row| !row.is_suspect()) {
            let Some(machine) = self.machines.get_mut(&row.id) else {
                continue;
            };
            if !machine.tasks.is_empty() {
                continue;
            }
            let idle_for = now.since(*machine.idle_since.get_or_insert(now));
            let is_usable = || {
                let mut requests = unplaced.iter();
                requests
                    .any(|request| request.allows(row) && request.need.fits_within(&row.capacity))
            };
            let is_overdue = idle_for >= idle_limit.scaled(USABLE_IDLE_FACTOR);
            let may_terminate = idle_for >= idle_limit && (is_overdue || !is_usable());
            let machine_type = self.machine_types.get(&row.machine_type);
            idle.push(IdleMachine {
                id: row.id.clone(),
                price: machine_type.map_or(0.0, |t| price_of(t, row.spot)),
                may_terminate,
            });
        }
        idle
    }
}

/// The requests that have waited for long enough, without the tasks that fit on pending
/// machines. Adds the usage of those tasks to `teams`.
fn remaining_unplaced(
    now: Time,
    cluster: &ClusterState,
    unplaced: &[PlacementRequest],
    pending: &mut [MachineRow],
    teams: &mut BTreeMap<Team, TeamQuotaState>,
) -> Vec<PlacementRequest> {
    let provision_after = TimeSpan::secs(cluster.policy.rent_after_s);
    let has_waited_enough = |request: &&PlacementRequest| {
        let job = cluster.jobs.get(&request.job);
        let since = job.and_then(|job| job.scheduling.waiting_since);
        since.is_some_and(|since| now.since(since) >= provision_after)
    };
    let mut remaining: Vec<PlacementRequest> =
        unplaced.iter().filter(has_waited_enough).cloned().collect();
    let estimates = cluster.fetch_estimates.clone();
    let parameters = CycleParameters {
        now,
        max_fetch_skew: TimeSpan::secs(1e6),
        backfill_margin: cluster.policy.backfill_margin,
    };
    SchedulingCycle::new(parameters, pending, teams, &estimates).run(&mut remaining);
    remaining.retain(|request| !request.tasks.is_empty());
    remaining
}

/// Whether a request's placement rules allow machines in a zone.
fn allows_zone(request: &PlacementRequest, zone: &Zone) -> bool {
    let mut in_zones = request.tasks_in_zones.iter();
    let occupied = in_zones.find(|(_, count)| **count > 0);
    let is_elsewhere = occupied.is_some_and(|(occupied, _)| occupied != zone);
    request
        .zone
        .as_ref()
        .is_none_or(|required| required == zone)
        && !(request.one_zone && is_elsewhere)
        && request.zone_room(zone) > 0
}

/// The number of machines without tasks, except suspect ones.
fn count_idle_rows(rows: &[MachineRow]) -> usize {
    let usable = rows.iter().filter(|row| !row.is_suspect());
    usable.filter(|row| is_empty(row)).count()
}

fn is_empty(row: &MachineRow) -> bool {
    row.free == row.capacity
}

fn price_of(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

fn crowding_cost(zones: &ZoneCounts, zone: &Zone) -> f64 {
    f64::from(zones.get(zone).copied().unwrap_or(0)) * CROWDING_COST
}
