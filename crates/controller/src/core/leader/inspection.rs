//! The leader's part of `/inspect`: its duties, quotas, machines and jobs as JSON for operators.
//! Changes nothing. The JSON keys are part of the external interface and must not change.

use super::arrival_recorder::ArrivalRecorder;
use super::cluster_state::ClusterState;
use super::commit_pipeline::TransactionWriter;
use super::scheduler::Scheduler;
use crate::core::Now;
use crate::core::assignment::Assignment;
use crate::core::autoscaler::state::Autoscaler;
use crate::core::job_records::Job;
use crate::core::leader_authority::LeaderAuthority;
use crate::core::machine::{Machine, MachineLifecycle};
use crate::core::quarantine::Quarantine;
use crate::core::quota::minimum_share::{MinimumShares, ShareGroup};
use crate::core::quota::usage::QuotaUnits;
use crate::types::{FencingToken, JobId, MachineId, TaskId, Time, Zone};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Most machines, and most jobs, in one answer to an operator.
const MAX_SHOWN: usize = 200;

/// Totals over the machines of one zone.
#[derive(Default)]
struct ZoneTotals {
    machines: usize,
    schedulable: usize,
    spot: usize,
    tasks: usize,
}

/// The parts of the leader that an inspection reads, at one moment.
pub(super) struct Inspection<'a> {
    /// The time of the inspection.
    pub at: Now,
    /// The leader's fencing token.
    pub token: FencingToken,
    /// When this leader began to lead.
    pub leading_since: Time,
    /// How recent the contact with the key-value store is.
    pub authority: &'a LeaderAuthority,
    /// Jobs and machines.
    pub cluster: &'a ClusterState,
    /// Number and times of the scheduling cycles.
    pub scheduler: &'a Scheduler,
    /// The transactions written, and the garbage collection.
    pub writer: &'a TransactionWriter,
    /// The open provisions and terminations.
    pub autoscaler: &'a Autoscaler,
    /// The stored records of machines that failed.
    pub quarantine: &'a Quarantine,
    /// Recent arrivals; their classes are the classes shown.
    pub arrivals: &'a ArrivalRecorder,
}

impl Inspection<'_> {
    /// The whole answer: totals, and the machines and the jobs whose names begin with the
    /// prefixes, at most `MAX_SHOWN` of each.
    pub fn report(&self, machine_prefix: &str, job_prefix: &str) -> Value {
        let cluster = self.cluster;
        let machines = cluster.machines.iter();
        let machines = machines.filter(|(id, _)| id.as_str().starts_with(machine_prefix));
        let machines: Vec<Value> = machines
            .take(MAX_SHOWN)
            .map(|(id, machine)| self.machine(id, machine))
            .collect();
        let jobs = cluster.jobs.iter();
        let jobs = jobs.filter(|(id, _)| id.as_str().starts_with(job_prefix));
        let jobs: Vec<Value> = jobs
            .take(MAX_SHOWN)
            .map(|(id, job)| self.job(id, job))
            .collect();
        json!({
            "token": self.token, "in_office_s": self.seconds_leading(),
            "contact_s_ago": self.authority.age(self.at.time).as_secs(),
            "loaded": self.authority.is_loaded(),
            "cycles": self.scheduler.cycles, "duties": self.duties(),
            "shares": self.shares(), "starts": self.starts(),
            "totals": {"machines": cluster.machines.len(), "jobs": cluster.jobs.len()},
            "zones": self.zones(), "machines": machines, "jobs": jobs,
        })
    }

    fn seconds_leading(&self) -> f64 {
        self.at.time.since(self.leading_since).as_secs()
    }

    fn seconds_since(&self, time: Option<Time>) -> Option<f64> {
        time.map(|time| self.at.time.since(time).as_secs())
    }

    /// The duties that only one controller has at a time, with their last progress and open
    /// work.
    fn duties(&self) -> Value {
        let scheduler = self.scheduler;
        let last_cycle = Some(scheduler.last_cycle).filter(|_| scheduler.cycles > 0);
        let last_call = self.autoscaler.cloud_proxy.last_answered;
        let last_commit = self.writer.pipeline.last_committed;
        json!([
            self.duty("placing", last_cycle, json!({})),
            self.duty("renting", last_call, self.open_provisioning()),
            self.duty(
                "reclaiming",
                scheduler.last_preemption,
                self.open_preemption()
            ),
            self.duty("cleaning", last_commit, self.open_cleanup()),
        ])
    }

    fn duty(&self, name: &str, progress: Option<Time>, open: Value) -> Value {
        json!({
            "duty": name, "fence": self.token, "held_s": self.seconds_leading(),
            "progress_s_ago": self.seconds_since(progress), "open": open,
        })
    }

    /// The open work of provisioning and terminating machines.
    fn open_provisioning(&self) -> Value {
        let proxy = &self.autoscaler.cloud_proxy;
        let open = self.autoscaler.intents.open();
        let via = proxy.peer(self.at.time);
        json!({
            "hires": open.provisions, "releases": open.terminations,
            "machines_going": open.machines,
            "by": via.map_or("itself", |node| node.as_str()),
            "hands_changed": proxy.changes,
        })
    }

    /// The open work of preemption and quarantine.
    fn open_preemption(&self) -> Value {
        let jobs = self.cluster.jobs.values();
        let assignments = jobs.flat_map(|job| job.assignments.values());
        json!({
            "stopping": assignments.filter(|a| a.stop.is_some()).count(),
            "put_aside": self.quarantine.quarantined_count(self.at.wall),
        })
    }

    /// The open work of garbage collection and of small records.
    fn open_cleanup(&self) -> Value {
        let collector = &self.writer.garbage_collector;
        let pending_writes = &self.autoscaler.intents.pending_writes;
        json!({
            "orphans_left": collector.remaining(), "orphans_deleted": collector.deleted,
            "jobs_to_drop": self.cluster.unwritten.jobs_to_delete.len(),
            "records_to_write": pending_writes.len(),
            "records_written": pending_writes.taken_total,
        })
    }

    /// What became of the starts of earlier leaders, and running tasks without an
    /// assignment.
    fn starts(&self) -> Value {
        let totals = self.cluster.assignment_log.totals;
        json!({
            "resumed": totals.resumed, "withdrawn": totals.withdrawn,
            "withdrawn_for_quota": totals.withdrawn_for_quota, "unrecorded": totals.unrecorded,
        })
    }

    /// Quota usage of teams, and service levels of teams and classes.
    fn shares(&self) -> Value {
        let cluster = self.cluster;
        let services = cluster.service_levels(self.at.wall, self.arrivals);
        let machines = cluster.machine_rows(self.at.time).len() as f64;
        let (share, window) = (cluster.policy.floor_share, cluster.policy.floor_window_s);
        let minimum_shares = MinimumShares::new(&services, machines, share, window);
        let served = |group: &ShareGroup| services.get(group).map_or(1.0, |s| s.served_fraction());
        let usage = cluster.quota_usage();
        let teams: Vec<Value> = usage
            .teams()
            .map(|(team, held)| {
                let group = ShareGroup::Team(team.clone());
                json!({
                    "team": team,
                    "guaranteed": {"cpus": held.share.cpus, "gpus": held.share.gpus},
                    "limit": {"cpus": held.share.cpus_max, "gpus": held.share.gpus_max},
                    "used": quota_json(held.used), "stopping": quota_json(held.stopping),
                    "lent": quota_json(held.beyond_guarantee()),
                    "served": served(&group), "floor_machines": minimum_shares.machines_for(&group),
                })
            })
            .collect();
        let classes: Vec<Value> = self
            .arrivals
            .by_class
            .keys()
            .map(|class| {
                let group = ShareGroup::Class(class.clone());
                json!({
                    "class": class, "served": served(&group),
                    "floor_machines": minimum_shares.machines_for(&group),
                })
            })
            .collect();
        json!({ "teams": teams, "classes": classes })
    }

    fn machine(&self, id: &MachineId, machine: &Machine) -> Value {
        let now = self.at.time;
        let tasks: Vec<Value> = machine.tasks.iter().map(|task| self.task(task)).collect();
        let images: Vec<_> = machine.cache.images().map(|(image, _)| image).collect();
        let unreachable_for = machine.delivery.loss_duration(now);
        let notice = machine.termination_notice_at;
        json!({
            "machine": id, "kind": machine.machine_type, "zone": machine.zone, "spot": machine.spot,
            "session": machine.epoch, "reported_s_ago": self.seconds_since(machine.last_heartbeat),
            "usable": machine.is_schedulable(now, self.cluster.max_silence()),
            "lost": machine.presumed_dead,
            "deaf_s": unreachable_for.map(|span| span.as_secs()),
            "circuit": self.circuit(machine),
            "leaving": machine.lifecycle != MachineLifecycle::InService,
            "taken_in_s": notice.map(|at| at.since(now).as_secs()),
            "images": images, "tasks": tasks,
        })
    }

    /// The machine's open circuit; null: it is closed.
    fn circuit(&self, machine: &Machine) -> Value {
        let breaker = &machine.circuit_breaker;
        if !breaker.is_open() {
            return Value::Null;
        }
        let failed_jobs: Vec<_> = breaker.failed_jobs().collect();
        let pause = breaker.remaining_pause(self.at.time);
        json!({
            "failed_jobs": failed_jobs, "trial": breaker.trial(),
            "pause_s": pause.map(|span| span.as_secs()),
        })
    }

    fn task(&self, task: &TaskId) -> Value {
        let job = self.cluster.jobs.get(&task.job);
        let assignment: Option<&Assignment> = job.and_then(|job| job.assignments.get(&task.index));
        json!({
            "task": task.to_string(), "owner": job.map(|job| &job.spec.team),
            "attempt": assignment.map(|a| a.attempt),
            "phase": assignment.map(|a| a.phase.to_string()),
            "stopping": assignment.is_some_and(|a| a.stop.is_some()),
        })
    }

    fn job(&self, id: &JobId, job: &Job) -> Value {
        json!({
            "job": id, "owner": job.spec.team, "class": job.spec.class,
            "priority": job.spec.priority, "tasks": job.spec.tasks, "done": job.done.len(),
            "placed": job.assignments.len(), "waiting": job.waiting.len(),
            "waits_s": self.seconds_since(job.scheduling.waiting_since), "why": job.scheduling.waiting_reason,
            "within_guarantee": job.scheduling.within_guarantee, "last_stop": job.scheduling.last_stop,
            "end": job.outcome.map(|end| end.to_string()),
        })
    }

    /// Totals by zone over all machines, including those beyond `MAX_SHOWN`.
    fn zones(&self) -> Vec<Value> {
        let max_silence = self.cluster.max_silence();
        let mut zones: BTreeMap<&str, ZoneTotals> = BTreeMap::new();
        for machine in self.cluster.machines.values() {
            let zone = machine.zone.as_ref().map_or("", Zone::as_str);
            let totals = zones.entry(zone).or_default();
            totals.machines += 1;
            totals.schedulable += usize::from(machine.is_schedulable(self.at.time, max_silence));
            totals.spot += usize::from(machine.spot);
            totals.tasks += machine.tasks.len();
        }
        let zones = zones.into_iter().map(|(zone, totals)| {
            json!({
                "zone": zone, "machines": totals.machines, "usable": totals.schedulable,
                "spot": totals.spot, "tasks": totals.tasks,
            })
        });
        zones.collect()
    }
}

/// Quota units as CPUs and GPUs.
fn quota_json(held: QuotaUnits) -> Value {
    let amounts = held.amounts();
    json!({"cpus": amounts.cpus, "gpus": amounts.gpus})
}
