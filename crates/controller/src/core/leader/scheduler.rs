//! The scheduler: decides when scheduling cycles run, and runs them. A cycle reads the
//! cluster's tables and waiting tasks, assigns tasks to machines and orders preemptions.

use super::arrival_recorder::ArrivalRecorder;
use super::assignment_log::StartOrigin;
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
    /// When the last cycle began.
    pub last_cycle: Time,
    /// Whether a cycle ran while the last input was handled.
    pub cycle_just_ran: bool,
    /// Least time from the start of a cycle to the start of the next, derived from the
    /// duration of the last cycle; zero unless that cycle was long.
    pub minimum_gap: TimeSpan,
    /// Number of cycles that have run.
    pub cycles: u64,
    /// When a cycle last preempted a task; `None`: none has.
    pub last_preemption: Option<Time>,
}

/// Least time between the starts of two cycles, without machines.
const MIN_CYCLE_GAP: TimeSpan = TimeSpan::millis(80);
/// Added to `MIN_CYCLE_GAP` for each machine, in microseconds: a cycle over more machines
/// takes longer, so cycles must run less often.
const CYCLE_GAP_PER_MACHINE: TimeSpan = TimeSpan(150);
/// Only longer cycles set a minimum gap. A cycle's duration is measured until the next
/// input, so a shorter one may be mostly idle time.
const LONG_CYCLE_THRESHOLD: TimeSpan = TimeSpan::millis(80);
/// Minimum gap after a long cycle, start to start, as a multiple of the cycle's duration.
const GAP_TO_DURATION_RATIO: f64 = 3.0;
/// Upper limit of the minimum gap after a long cycle.
const MAX_CYCLE_GAP: TimeSpan = TimeSpan::millis(4000);

impl Scheduler {
    /// A scheduler whose first cycle is due immediately.
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

    /// Schedules the next cycle as early as the gap for this number of machines allows.
    pub fn request_cycle(&mut self, now: Time, machines: usize) {
        let gap = MIN_CYCLE_GAP + TimeSpan(CYCLE_GAP_PER_MACHINE.0 * machines as u64);
        let gap = gap.max(self.minimum_gap);
        let earliest = now.max(self.last_cycle + gap);
        self.next_cycle = self.next_cycle.min(earliest);
    }

    /// Updates the minimum gap; called on each input. If the previous input ran a cycle,
    /// the time since that cycle began is an upper bound of its duration. A duration
    /// depends on the waiting work and on the share of the processor, so the gap is a
    /// multiple of the measured duration: most of the time is left to other work.
    pub fn adjust_pace(&mut self, now: Time) {
        if !std::mem::take(&mut self.cycle_just_ran) {
            return;
        }
        let duration = now.since(self.last_cycle);
        self.minimum_gap = if duration > LONG_CYCLE_THRESHOLD {
            duration.scaled(GAP_TO_DURATION_RATIO).min(MAX_CYCLE_GAP)
        } else {
            TimeSpan::ZERO
        };
        self.next_cycle = self.next_cycle.max(self.last_cycle + self.minimum_gap);
    }

    /// Whether a cycle is due.
    pub fn is_cycle_due(&self, now: Time) -> bool {
        now >= self.next_cycle
    }

    /// Records that a cycle begins. The next cycle is due after `interval`, or earlier if
    /// `request_cycle` is called.
    pub fn begin_cycle(&mut self, now: Time, interval: TimeSpan) {
        self.last_cycle = now;
        self.cycle_just_ran = true;
        self.next_cycle = now + interval;
    }

    /// Runs one cycle: assigns waiting tasks to machines and orders preemptions. The
    /// result is the input of capacity planning.
    pub fn run_cycle(
        &mut self,
        at: Now,
        cluster: &mut ClusterState,
        authority: &LeaderAuthority,
        arrivals: &ArrivalRecorder,
    ) -> CycleResult {
        let mut requests = cluster.placement_requests(at, authority);
        let mut rows = cluster.machine_rows(at.time);
        if requests
            .iter()
            .any(|request| request.reservation_due && request.gang)
        {
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
        let mut limits = reclaim_limits(at, cluster, arrivals, cycle.rows.len());
        cycle.place_up_to_minimum_shares(&mut requests, &mut limits.minimum_shares);
        cycle.place_warm_high_priority(&mut requests);
        let mut preemption = PreemptionSearch::new(limits);
        preemption.make_room(cluster, &mut cycle, &mut requests, Priority::High);
        cycle.place_remaining(&mut requests);
        preemption.make_room(cluster, &mut cycle, &mut requests, Priority::Low);
        let starts = std::mem::take(&mut cycle.starts);
        let reservations = std::mem::take(&mut cycle.reservations);
        let held_back = std::mem::take(&mut cycle.jobs_held_back);
        record_promised_starts(at.time, cluster, &requests, &reservations);
        record_held_back(at.time, cluster, &requests, &starts, &held_back);
        assign_starts(at.time, cluster, starts, &rows);
        self.preempt(at.time, cluster, preemption.into_stops());
        clear_waiting_notes(cluster);
        requests.retain(|request| !request.tasks.is_empty());
        CycleResult {
            unplaced: requests,
            rows,
        }
    }

    /// Orders the preempted tasks to stop; each may save a checkpoint first.
    fn preempt(&mut self, now: Time, cluster: &mut ClusterState, stops: BTreeMap<JobId, Vec<u32>>) {
        for (id, tasks) in stops {
            let Some(job) = cluster.jobs.get(&id) else {
                continue;
            };
            let grace_s = job.spec.save_s;
            tracing::info!(job = %id, team = %job.spec.team, tasks = tasks.len(), "tasks preempted");
            let reason = "stopped for more urgent work";
            self.last_preemption = Some(now);
            let durability = StopDurability::StoredBeforeSent;
            cluster.order_stops(now, &id, &tasks, grace_s, reason, durability);
        }
    }
}

/// The outcome of a cycle, for capacity planning.
#[derive(Debug)]
pub(in crate::core) struct CycleResult {
    /// Requests with tasks that were not placed; each holds only those tasks.
    pub unplaced: Vec<PlacementRequest>,
    /// The machines, with the free resources that the cycle's starts and preemptions leave.
    pub rows: Vec<MachineRow>,
}

/// The limits on what a cycle may preempt from each team and class. `machines`: the number
/// of machines in the cycle, of which minimum shares are fractions.
fn reclaim_limits(
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

/// Records the first predicted start of each gang with reserved machines. A later prediction
/// replaces it only once it has expired.
fn record_promised_starts(
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
        if promised.is_some() && job.scheduling.promised_start != promised {
            let in_s = start.map(|start| start.since(now).as_secs());
            tracing::info!(job = %request.job, in_s, "machines reserved for a gang");
        }
        job.scheduling.promised_start = promised;
    }
}

/// Records which jobs found only room that is reserved for other jobs, and since when. The
/// start of one of the job's tasks resets that time. A cycle without any room does not:
/// otherwise the time of the jobs that wait longest would be reset repeatedly.
fn record_held_back(
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
            job.scheduling.held_back_since = None;
        }
        if held_back.contains(&request.job) && !request.tasks.is_empty() {
            job.scheduling.waiting_reason = "the room is reserved for a gang that has waited long";
            job.scheduling.held_back_since.get_or_insert(now);
        }
    }
}

/// Assigns tasks to the machines that the cycle chose. All tasks of one job that start in
/// the same cycle get the same attempt number.
fn assign_starts(
    now: Time,
    cluster: &mut ClusterState,
    starts: Vec<StartDecision>,
    rows: &[MachineRow],
) {
    let mut attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
    for start in starts {
        let last_attempt = |job: &JobId| cluster.jobs.get(job).map_or(0, |job| job.attempt.0);
        let attempt = attempts
            .entry(start.job.clone())
            .or_insert_with(|| Attempt(last_attempt(&start.job) + 1));
        let task = TaskId {
            job: start.job,
            index: start.task,
        };
        let machine = rows[start.row].id.clone();
        let fetch_s = cluster.machines.get(&machine).map(|machine| {
            let image = &cluster.jobs[&task.job].spec.image;
            machine
                .cache
                .remaining_fetch_time(image, now)
                .map(TimeSpan::as_secs)
        });
        tracing::debug!(task = %task, %machine, ?fetch_s, "task placed");
        cluster.place_task(now, &task, &machine, *attempt, StartOrigin::Cycle);
    }
}

/// Clears the notes about waiting of jobs without waiting tasks.
fn clear_waiting_notes(cluster: &mut ClusterState) {
    let jobs = cluster.jobs.values_mut();
    for job in jobs.filter(|job| job.waiting.is_empty()) {
        job.scheduling.waiting_since = None;
        job.scheduling.promised_start = None;
        job.scheduling.held_back_since = None;
        job.scheduling.waiting_reason = "";
    }
}
