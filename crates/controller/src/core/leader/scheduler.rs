//! The scheduler: when cycles run, and what one cycle does, from the tables and what
//! waits to starts and stops.

use super::arrival_recorder::ArrivalRecorder;
use super::cluster_state::ClusterState;
use super::preemption_search::PreemptionSearch;
use super::task_lifecycle::StopDurability;
use crate::core::Now;
use crate::core::leader_authority::LeaderAuthority;
use crate::core::placement_tables::MachineRow;
use crate::core::quota::ReclaimLimits;
use crate::core::quota::minimum_share::MinimumShares;
use crate::core::scheduling_cycle::{
    CycleParameters, PlacementRequest, ReservedRow, SchedulingCycle, StartDecision,
};
use crate::types::{Attempt, JobId, TaskId, Time, TimeSpan};
use crate::wire::users::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// When scheduling cycles run.
#[derive(Debug)]
pub(in crate::core) struct Scheduler {
    /// When the next cycle is due.
    pub next_cycle: Time,
    /// When the last one began.
    pub last_cycle: Time,
    /// Whether the last input ran a cycle.
    pub cycle_just_ran: bool,
    /// Least time from one cycle to the next, by how long the last one took.
    pub minimum_gap: TimeSpan,
    /// Cycles run.
    pub cycles: u64,
    /// When work was last preempted.
    pub last_preemption: Option<Time>,
}

/// Least time between two cycles.
const CYCLE_GAP: TimeSpan = TimeSpan::millis(80);
/// By how much each machine lengthens it: the more a cycle looks at, the rarer
/// cycles have to be.
const CYCLE_GAP_PER_MACHINE: TimeSpan = TimeSpan(150);
/// A cycle that seems to have taken less may have been followed by nothing to do.
const LONG_CYCLE: TimeSpan = TimeSpan::millis(80);
/// From the beginning of a cycle to the next, in times of what it took.
const GAP_PER_DURATION: f64 = 3.0;
/// And at most this.
const LONGEST_GAP: TimeSpan = TimeSpan::millis(4000);

impl Scheduler {
    /// Its first cycle is due at once.
    pub fn new(now: Time) -> Scheduler {
        Scheduler {
            next_cycle: now,
            last_cycle: now,
            cycle_just_ran: false,
            minimum_gap: TimeSpan::ZERO,
            cycles: 0,
            last_preemption: None,
        }
    }

    /// Has the next cycle run soon, where there are so many machines.
    pub fn request_cycle(&mut self, now: Time, machines: usize) {
        let gap = CYCLE_GAP + TimeSpan(CYCLE_GAP_PER_MACHINE.0 * machines as u64);
        let gap = gap.max(self.minimum_gap);
        let earliest = now.max(self.last_cycle + gap);
        self.next_cycle = self.next_cycle.min(earliest);
    }

    /// An input has come: the last cycle, if one ran since the one before, took
    /// no longer than until now. What a cycle takes depends on the work that
    /// waits and on the processor's share, so cycles leave most of the time to
    /// everything else whatever they take.
    pub fn adjust_pace(&mut self, now: Time) {
        if !std::mem::take(&mut self.cycle_just_ran) {
            return;
        }
        let took = now.since(self.last_cycle);
        self.minimum_gap = if took > LONG_CYCLE {
            took.scaled(GAP_PER_DURATION).min(LONGEST_GAP)
        } else {
            TimeSpan::ZERO
        };
        self.next_cycle = self.next_cycle.max(self.last_cycle + self.minimum_gap);
    }

    /// Whether a cycle is due.
    pub fn is_cycle_due(&self, now: Time) -> bool {
        now >= self.next_cycle
    }

    /// A cycle begins; the next one is due after the interval, if nothing asks for it.
    pub fn begin_cycle(&mut self, now: Time, interval: TimeSpan) {
        self.last_cycle = now;
        self.cycle_just_ran = true;
        self.next_cycle = now + interval;
    }

    /// Runs one cycle; what it leaves is what capacity is planned from.
    pub fn run_cycle(
        &mut self,
        at: Now,
        cluster: &mut ClusterState,
        authority: &LeaderAuthority,
        arrivals: &ArrivalRecorder,
    ) -> CycleResult {
        let mut requests = cluster.placement_requests(at, authority);
        let mut rows = cluster.machine_rows(at.time);
        if requests.iter().any(|request| request.aged && request.gang) {
            cluster.predict_availability(at.time, &mut rows);
        }
        let mut teams = cluster.team_use();
        let gang_wait = cluster.settings.workers.gang_wait;
        let parameters = CycleParameters {
            now: at.time,
            max_fetch_skew: TimeSpan(gang_wait.0 * 6 / 10),
            backfill_margin: cluster.policy.backfill_margin,
        };
        let estimates = cluster.fetch_estimates.clone();
        let mut cycle = SchedulingCycle::new(parameters, &mut rows, &mut teams, &estimates);
        let mut bounds = preemption_bounds(at, cluster, arrivals, cycle.rows.len());
        cycle.place_up_to_minimum_shares(&mut requests, &mut bounds.minimum_shares);
        cycle.place_warm_high_priority(&mut requests);
        let mut preemption = PreemptionSearch::new(bounds);
        preemption.make_room(cluster, &mut cycle, &mut requests, Priority::High);
        cycle.place_remaining(&mut requests);
        preemption.make_room(cluster, &mut cycle, &mut requests, Priority::Low);
        let starts = std::mem::take(&mut cycle.starts);
        let reservations = std::mem::take(&mut cycle.reservations);
        let held_back = std::mem::take(&mut cycle.held_back);
        note_reservations(at.time, cluster, &requests, &reservations);
        note_held_back(at.time, cluster, &requests, &starts, &held_back);
        place_starts(at.time, cluster, starts, &rows);
        self.preempt(at.time, cluster, preemption.into_stops());
        clear_waiting_notes(cluster);
        requests.retain(|request| !request.tasks.is_empty());
        CycleResult {
            unplaced: requests,
            rows,
        }
    }

    /// Orders the preempted tasks to stop.
    fn preempt(&mut self, now: Time, cluster: &mut ClusterState, stops: BTreeMap<JobId, Vec<u32>>) {
        for (id, tasks) in stops {
            let Some(job) = cluster.jobs.get(&id) else {
                continue;
            };
            let grace_s = job.spec.save_s;
            tracing::info!(job = %id, team = %job.spec.team, tasks = tasks.len(), "tasks preempted");
            let why = "stopped for more urgent work";
            self.last_preemption = Some(now);
            let durability = StopDurability::StoredBeforeSent;
            cluster.order_stops(now, &id, &tasks, grace_s, why, durability);
        }
    }
}

/// What a cycle leaves.
#[derive(Debug)]
pub(in crate::core) struct CycleResult {
    /// Requests that found no room for all of their tasks.
    pub unplaced: Vec<PlacementRequest>,
    /// The machines as they are after it.
    pub rows: Vec<MachineRow>,
}

/// How much may be taken from each team and class, where there are so many machines.
fn preemption_bounds(
    at: Now,
    cluster: &ClusterState,
    arrivals: &ArrivalRecorder,
    machines: usize,
) -> ReclaimLimits {
    let services = cluster.service_levels(at.wall, arrivals);
    let (share, window) = (cluster.policy.floor_share, cluster.policy.floor_window_s);
    ReclaimLimits {
        usage: cluster.quota_usage(),
        minimum_shares: MinimumShares::new(&services, machines as f64, share, window),
    }
}

/// Keeps the first predicted start of each gang that machines are reserved for.
fn note_reservations(
    now: Time,
    cluster: &mut ClusterState,
    requests: &[PlacementRequest],
    reservations: &BTreeMap<usize, ReservedRow>,
) {
    let starts: BTreeMap<&JobId, Time> = reservations
        .values()
        .map(|reserved| (&reserved.holder, reserved.starts_at))
        .collect();
    for request in requests.iter().filter(|request| request.gang) {
        let Some(job) = cluster.jobs.get_mut(&request.job) else {
            continue;
        };
        let start = starts.get(&request.job).copied();
        let promised = start.map(|start| request.promised_start.unwrap_or(start));
        if promised.is_some() && job.notes.promised_start != promised {
            let in_s = start.map(|start| start.since(now).as_secs());
            tracing::info!(job = %request.job, in_s, "machines reserved for a gang");
        }
        job.notes.promised_start = promised;
    }
}

/// Notes which jobs find only room that is reserved for others, and since when. The
/// start of a task begins their wait anew; a cycle in which there is no room at all does
/// not, or those who wait longest would begin again and again.
fn note_held_back(
    now: Time,
    cluster: &mut ClusterState,
    requests: &[PlacementRequest],
    starts: &[StartDecision],
    held_back: &BTreeSet<JobId>,
) {
    let started: BTreeSet<&JobId> = starts.iter().map(|start| &start.job).collect();
    for request in requests {
        let Some(job) = cluster.jobs.get_mut(&request.job) else {
            continue;
        };
        if started.contains(&request.job) {
            job.notes.held_back_since = None;
        }
        if held_back.contains(&request.job) && !request.tasks.is_empty() {
            job.notes.waiting_reason = "the room is reserved for a gang that has waited long";
            job.notes.held_back_since.get_or_insert(now);
        }
    }
}

/// Puts tasks where the cycle has placed them; tasks of one job get the same attempt.
fn place_starts(
    now: Time,
    cluster: &mut ClusterState,
    starts: Vec<StartDecision>,
    rows: &[MachineRow],
) {
    let mut attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
    for start in starts {
        let last = |job: &JobId| cluster.jobs.get(job).map_or(0, |job| job.attempt.0);
        let attempt = attempts
            .entry(start.job.clone())
            .or_insert_with(|| Attempt(last(&start.job) + 1));
        let task = TaskId {
            job: start.job,
            index: start.task,
        };
        let machine = rows[start.row].id.clone();
        let fetch_s = cluster.machines.get(&machine).map(|machine| {
            let image = &cluster.jobs[&task.job].spec.image;
            machine.cache.remaining(image, now).map(TimeSpan::as_secs)
        });
        tracing::debug!(task = %task, %machine, ?fetch_s, "task placed");
        cluster.place_task(now, &task, &machine, *attempt);
    }
}

/// Jobs whose tasks all have a place do not wait.
fn clear_waiting_notes(cluster: &mut ClusterState) {
    let jobs = cluster.jobs.values_mut();
    for job in jobs.filter(|job| job.waiting.is_empty()) {
        job.notes.waiting_since = None;
        job.notes.promised_start = None;
        job.notes.held_back_since = None;
        job.notes.waiting_reason = "";
    }
}
