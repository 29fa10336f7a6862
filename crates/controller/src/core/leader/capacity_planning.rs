//! How many machines of which kind to have: provisions for what found no room in a
//! cycle, and terminates idle machines that nothing needs. Makes no calls.

use super::arrival_recorder::{Arrival, ArrivalRecorder};
use super::cluster_state::ClusterState;
use super::scheduler::CycleResult;
use crate::core::Now;
use crate::core::autoscaler::intents::{CapacityPool, MAX_MACHINES_PER_PROVISION};
use crate::core::autoscaler::state::Autoscaler;
use crate::core::machine::MachineLifecycle;
use crate::core::placement_tables::{ImageCache, MachineRow};
use crate::core::scheduling_cycle::{CycleParameters, PlacementRequest, SchedulingCycle, TeamUse};
use crate::settings::ObjectiveKind;
use crate::types::{Class, MachineId, Team, Time, TimeSpan, WallTime, Zone};
use crate::wire::cloud::{MachineType, ProvisionRequest};
use std::collections::{BTreeMap, HashMap};

/// Machines in each zone.
type ZoneCounts = HashMap<Zone, u32>;

/// Machines to provision, by pool.
type Orders = BTreeMap<CapacityPool, f64>;

/// What each machine in a zone adds to the price of further ones there: just enough
/// to even out where new machines go.
const CROWDING_COST: f64 = 1e-6;
/// Arrivals that the reserve is computed from are no older than this, in milliseconds.
const RESERVE_WINDOW_MS: u64 = 240_000;
/// And taken to be spread over at least this, in seconds.
const SHORTEST_RESERVE_SPAN_S: f64 = 60.0;
/// An objective about starting within so many boot times needs machines in reserve.
const RESERVE_BOOT_TIMES: f64 = 2.0;
/// Most tasks of a machine that are counted.
const MAX_TASKS_PER_MACHINE: u32 = 100_000;
/// By how much idle machines are returned sooner when no job is open.
const QUIET_IDLE_FACTOR: f64 = 0.25;
/// After how many idle times even a machine goes that waiting work could use.
const WANTED_IDLE_FACTOR: f64 = 3.0;
/// When every worker has had time to send a heartbeat: in intervals, and a margin.
const FIRST_HEARTBEATS: f64 = 1.5;
const FIRST_HEARTBEAT_SLACK: TimeSpan = TimeSpan::millis(1000);

/// Where to provision, and how many tasks a machine there takes.
struct PoolChoice {
    cost: f64,
    pool: CapacityPool,
    tasks_per_machine: u32,
}

/// A machine without tasks.
struct IdleMachine {
    id: MachineId,
    price: f64,
    /// Whether it has been idle for so long that it may go.
    may_go: bool,
}

impl Autoscaler {
    /// After a cycle: provisions machines for what found no room, and terminates
    /// idle ones that nothing needs. `leading_since` is when this leader began.
    pub(in crate::core) fn plan_capacity(
        &mut self,
        at: Now,
        cluster: &mut ClusterState,
        arrivals: &ArrivalRecorder,
        leading_since: Time,
        cycle: &CycleResult,
    ) {
        let mut coming = self.coming_machines(at.time, cluster);
        let may_boot = cluster.policy.most_booting as u32;
        let room = may_boot.saturating_sub(coming.len() as u32);
        let mut teams = cluster.team_use();
        let unplaced = unplaced_beyond(at.time, cluster, &cycle.unplaced, &mut coming, &mut teams);
        self.paused_pools.retain(|_, until| *until > at.time);
        if self.intents.may_provision() && self.knows_fleet(at.time, cluster, leading_since) {
            let zones = cluster.machines_per_zone();
            let mut orders = self.orders_for(cluster, &unplaced, &teams, &zones);
            let idle = idle_rows(&cycle.rows) + coming.iter().filter(|r| is_empty(r)).count();
            let reserve = cluster.reserve_machines(at.wall, arrivals) as usize;
            if idle < reserve
                && let Some(pool) = self.cheapest_pool(cluster, &zones)
            {
                *orders.entry(pool).or_default() += (reserve - idle) as f64;
            }
            self.provision(at.wall, orders, room);
        }
        cluster.return_idle_machines(at, arrivals, &unplaced, &cycle.rows);
    }

    /// The machines that are booting or asked for, as rows.
    fn coming_machines(&self, now: Time, cluster: &ClusterState) -> Vec<MachineRow> {
        let booting = cluster.machines.iter().filter(|(_, machine)| {
            machine.last_heartbeat.is_none()
                && machine.lifecycle == MachineLifecycle::InService
                && !machine.listed_as_failed()
        });
        let booting = booting.filter_map(|(id, machine)| cluster.machine_row(now, id, machine));
        let asked_for = self.intents.outstanding_provisions();
        let asked_for = asked_for.flat_map(|request| cluster.expected_machines(now, request));
        booting.chain(asked_for).collect()
    }

    /// Whether a new leader can tell what is missing from what it has not heard
    /// of yet: once it has a whole list, or every worker has had time to send a
    /// heartbeat.
    fn knows_fleet(&self, now: Time, cluster: &ClusterState, leading_since: Time) -> bool {
        let interval = cluster.settings.workers.report;
        let heartbeats = interval.scaled(FIRST_HEARTBEATS) + FIRST_HEARTBEAT_SLACK;
        self.last_list.is_some() || now.since(leading_since) > heartbeats
    }

    /// The machines that requests need, by the pool that is cheapest for each.
    fn orders_for(
        &self,
        cluster: &ClusterState,
        unplaced: &[PlacementRequest],
        teams: &BTreeMap<Team, TeamUse>,
        zones: &ZoneCounts,
    ) -> Orders {
        let mut orders = Orders::new();
        for request in unplaced {
            let at_once = if request.gang {
                request.tasks.len() as f64
            } else {
                1.0
            };
            let is_within_quota = teams.get(&request.team).is_some_and(|team| {
                let used = team.used + request.need.times(at_once);
                team.share.allows(&used)
            });
            if !is_within_quota {
                continue;
            }
            if let Some(choice) = self.pool_for(cluster, request, zones) {
                let machines = request.tasks.len() as f64 / f64::from(choice.tasks_per_machine);
                *orders.entry(choice.pool).or_default() += machines;
            }
        }
        orders
    }

    /// Writes down what is to be provisioned, at most `room` machines.
    fn provision(&mut self, wall: WallTime, orders: Orders, mut room: u32) {
        for (pool, machines) in orders {
            let mut left = (machines.ceil() as u32).min(room);
            room -= left;
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_PROVISION);
                left -= count;
                self.intents.provision(pool.clone(), count, wall);
            }
        }
    }

    /// Where to provision for a request: the cheapest per task that is not paused.
    fn pool_for(
        &self,
        cluster: &ClusterState,
        request: &PlacementRequest,
        zones: &ZoneCounts,
    ) -> Option<PoolChoice> {
        let mut best: Option<PoolChoice> = None;
        for machine_type in cluster.machine_types.values() {
            let tasks = request
                .need
                .count_in(&machine_type.has(), MAX_TASKS_PER_MACHINE);
            let allowed = request.machine_types.as_ref();
            if tasks == 0 || allowed.is_some_and(|allowed| !allowed.contains(&machine_type.name)) {
                continue;
            }
            for zone in &machine_type.zones {
                if !may_use_zone(request, zone) {
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

    /// The cheapest pool at all that is not paused.
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
    /// The machines that a provision request will bring, as rows: what they will take
    /// needs no further ones.
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
        };
        (0..request.count).map(row).collect()
    }

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

    /// How many idle machines to keep for classes whose starts are wanted
    /// sooner than a machine boots.
    fn reserve_machines(&self, wall: WallTime, arrivals: &ArrivalRecorder) -> u32 {
        let types = self.machine_types.values();
        let boot_s = types.map(|t| t.boot_s).fold(0.0, f64::max);
        let mut machines = 0.0;
        let mut largest: f64 = 0.0;
        for (class, arrivals) in &arrivals.by_class {
            if !self.starts_before_boot(class, boot_s) {
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
                age_s.max(SHORTEST_RESERVE_SPAN_S)
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

    /// Whether a class has an objective about starting that new machines are too slow for.
    fn starts_before_boot(&self, class: &Class, boot_s: f64) -> bool {
        self.settings.objectives.iter().any(|objective| {
            let within = objective.within;
            objective.kind == ObjectiveKind::Wait
                && objective.class.as_ref() == Some(class)
                && within.is_some_and(|within| within.as_secs() < boot_s * RESERVE_BOOT_TIMES)
        })
    }

    /// Terminates machines that have been idle for long and that nothing waiting
    /// could use. What waits for several machines at once may never get them
    /// while idle ones elsewhere use up the cloud's room, so even a machine
    /// that it could use goes in the end.
    fn return_idle_machines(
        &mut self,
        at: Now,
        arrivals: &ArrivalRecorder,
        unplaced: &[PlacementRequest],
        rows: &[MachineRow],
    ) {
        let mut idle = self.idle_machines(at.time, unplaced, rows);
        let reserve = self.reserve_machines(at.wall, arrivals) as usize;
        let spare = idle.len().saturating_sub(reserve);
        idle.sort_by(|a, b| b.price.total_cmp(&a.price).then(a.id.cmp(&b.id)));
        let may_go = idle.into_iter().filter(|machine| machine.may_go);
        for IdleMachine { id, .. } in may_go.take(spare) {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, "idle machine terminated");
                machine.mark_for_termination("idle");
            }
        }
    }

    /// The idle machines of these rows. What is quarantined goes by its own rule.
    fn idle_machines(
        &mut self,
        now: Time,
        unplaced: &[PlacementRequest],
        rows: &[MachineRow],
    ) -> Vec<IdleMachine> {
        // With no job left at all there is little to be ready for.
        let is_quiet = self.jobs.values().all(|job| !job.is_open());
        let factor = if is_quiet { QUIET_IDLE_FACTOR } else { 1.0 };
        let idle_limit = TimeSpan::secs(self.policy.idle_s).scaled(factor);
        let mut idle = Vec::new();
        for row in rows.iter().filter(|row| !row.quarantined) {
            let Some(machine) = self.machines.get_mut(&row.id) else {
                continue;
            };
            if !machine.tasks.is_empty() {
                continue;
            }
            let idle_for = now.since(*machine.idle_since.get_or_insert(now));
            let is_wanted = || {
                let mut requests = unplaced.iter();
                requests.any(|request| request.allows(row) && request.need.fits(&row.capacity))
            };
            let is_overdue = idle_for >= idle_limit.scaled(WANTED_IDLE_FACTOR);
            let may_go = idle_for >= idle_limit && (is_overdue || !is_wanted());
            let machine_type = self.machine_types.get(&row.machine_type);
            idle.push(IdleMachine {
                id: row.id.clone(),
                price: machine_type.map_or(0.0, |t| price_of(t, row.spot)),
                may_go,
            });
        }
        idle
    }
}

/// The requests that have waited for long enough, without what the machines on their
/// way will take; what teams will use then is noted.
fn unplaced_beyond(
    now: Time,
    cluster: &ClusterState,
    unplaced: &[PlacementRequest],
    coming: &mut [MachineRow],
    teams: &mut BTreeMap<Team, TeamUse>,
) -> Vec<PlacementRequest> {
    let provision_after = TimeSpan::secs(cluster.policy.rent_after_s);
    let has_waited = |request: &&PlacementRequest| {
        let job = cluster.jobs.get(&request.job);
        let since = job.and_then(|job| job.notes.waiting_since);
        since.is_some_and(|since| now.since(since) >= provision_after)
    };
    let mut left: Vec<PlacementRequest> = unplaced.iter().filter(has_waited).cloned().collect();
    let estimates = cluster.fetch_estimates.clone();
    let parameters = CycleParameters {
        now,
        max_fetch_skew: TimeSpan::secs(1e6),
        backfill_margin: cluster.policy.backfill_margin,
    };
    SchedulingCycle::new(parameters, coming, teams, &estimates).run(&mut left);
    left.retain(|request| !request.tasks.is_empty());
    left
}

/// Whether a request's rules allow machines in a zone.
fn may_use_zone(request: &PlacementRequest, zone: &Zone) -> bool {
    let mut in_zones = request.tasks_in_zones.iter();
    let taken = in_zones.find(|(_, count)| **count > 0);
    let is_elsewhere = taken.is_some_and(|(taken, _)| taken != zone);
    request.zone.as_ref().is_none_or(|wanted| wanted == zone)
        && !(request.one_zone && is_elsewhere)
        && request.zone_room(zone) > 0
}

fn idle_rows(rows: &[MachineRow]) -> usize {
    let usable = rows.iter().filter(|row| !row.quarantined);
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
