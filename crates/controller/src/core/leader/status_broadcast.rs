//! What the leader tells peers and operators.

use crate::core::Now;
use crate::core::assignment::AssignmentPhase;
use crate::core::leader::Leader;
use crate::core::machine::{Machine, MachineLifecycle};
use crate::core::quota::minimum_share::{MinimumShares, ShareGroup};
use crate::core::quota::usage::QuotaUnits;
use crate::types::{Image, JobId, MachineId, Time, Zone};
use crate::wire::workers::TaskState;
use std::collections::BTreeMap;

/// How many of a job's tasks are done, and how many run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Done tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// Machines, and jobs, that one answer to an operator shows.
const MOST_SHOWN: usize = 200;
/// Fetch times told to peers at once.
const MOST_FETCHES: usize = 200;
/// Machines whose images are told to peers at once.
const MOST_CACHES: usize = 100;

/// What the peers were last told, so that only changes are sent.
#[derive(Debug, Default)]
pub(in crate::core) struct StatusBroadcaster {
    /// Task counts of jobs.
    pub sent_counts: BTreeMap<JobId, TaskCounts>,
    /// Images of machines, with their sizes in GB.
    pub sent_caches: BTreeMap<MachineId, Vec<(Image, f64)>>,
    /// Fetch times of images, in milliseconds.
    pub sent_fetch_times: BTreeMap<Image, u64>,
}

impl StatusBroadcaster {
    /// A job is deleted.
    pub fn forget_job(&mut self, id: &JobId) {
        self.sent_counts.remove(id);
    }
}

impl Leader {
    /// Task counts of a job, for display: done and running.
    pub fn counts(&self, id: &JobId) -> Option<TaskCounts> {
        let job = self.cluster.jobs.get(id)?;
        let running = job
            .assignments
            .values()
            .filter(|p| p.phase == AssignmentPhase::Seen(TaskState::Running))
            .count();
        Some(TaskCounts {
            done: job.done.len(),
            running: running as u32,
        })
    }

    /// Counts that changed since the last call, at most `most`.
    pub fn changed_counts(&mut self, most: usize) -> Vec<(JobId, u32, u32)> {
        let ids: Vec<JobId> = self.cluster.jobs.keys().cloned().collect();
        let mut out = Vec::new();
        for id in ids {
            let Some(now) = self.counts(&id) else {
                continue;
            };
            if out.len() < most && self.status.sent_counts.get(&id) != Some(&now) {
                self.status.sent_counts.insert(id.clone(), now);
                out.push((id, now.done, now.running));
            }
        }
        out
    }

    /// Images of machines where they changed since the last call.
    pub fn changed_caches(&mut self) -> Vec<(MachineId, Vec<(Image, f64)>)> {
        self.status
            .sent_caches
            .retain(|id, _| self.cluster.machines.contains_key(id));
        let mut out = Vec::new();
        for (id, m) in &self.cluster.machines {
            let now: Vec<(Image, f64)> = m.cache.images().map(|(i, gb)| (i.clone(), gb)).collect();
            if out.len() < MOST_CACHES && self.status.sent_caches.get(id) != Some(&now) {
                self.status.sent_caches.insert(id.clone(), now.clone());
                out.push((id.clone(), now));
            }
        }
        out
    }

    /// Fetch times that changed since the last call.
    pub fn changed_fetches(&mut self) -> Vec<(Image, u64)> {
        let told = &mut self.status.sent_fetch_times;
        let changed = self
            .cluster
            .fetch_estimates
            .all()
            .filter_map(|(image, took)| {
                let ms = took.as_millis();
                let news = told.get(image) != Some(&ms);
                news.then(|| (image.clone(), ms))
            });
        let changed: Vec<(Image, u64)> = changed.take(MOST_FETCHES).collect();
        told.extend(changed.iter().cloned());
        changed
    }

    /// A peer missed what was told: tells everything once more.
    pub fn tell_again(&mut self) {
        self.status.sent_counts.clear();
        self.status.sent_caches.clear();
        self.status.sent_fetch_times.clear();
    }

    /// Takes over what the last leader told of a machine's images.
    pub fn inherit_cache(&mut self, now: Time, id: &MachineId, images: &[(Image, f64)]) {
        let m = self
            .cluster
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(now));
        for (image, gb) in images {
            // What is known of it since is newer.
            if m.cache.remaining(image, now).is_none() {
                m.cache.fetched(image, *gb, now, f64::INFINITY);
            }
        }
    }

    /// Who does what only one may do, since when and how far, for operators.
    fn duties(&self, at: Now) -> serde_json::Value {
        let now = at.time;
        let age = |t: Option<Time>| t.map(|t| now.since(t).as_secs());
        let hands = self.autoscaler.hands.peer(now);
        let [provisions, releases, going] = self.autoscaler.intents.open();
        let duty = |name: &str, progress: Option<Time>, open: serde_json::Value| {
            serde_json::json!({
                "duty": name, "fence": self.token, "held_s": now.since(self.office).as_secs(),
                "progress_s_ago": age(progress), "open": open,
            })
        };
        let renting = serde_json::json!({
            "hires": provisions, "releases": releases, "machines_going": going,
            "by": hands.map_or("itself", |l| l.as_str()),
            "hands_changed": self.autoscaler.hands.changes,
        });
        let reclaiming = serde_json::json!({
            "stopping": self.cluster.jobs.values().flat_map(|j| j.assignments.values())
                .filter(|p| p.stop.is_some()).count(),
            "put_aside": self.quarantine.count(at.wall),
        });
        let cleaning = serde_json::json!({
            "orphans_left": self.writer.garbage_collector.left(), "orphans_deleted": self.writer.garbage_collector.deleted,
            "jobs_to_drop": self.cluster.unwritten.jobs_to_delete.len(), "records_to_write": self.autoscaler.intents.pending_writes.len(),
            "records_written": self.autoscaler.intents.pending_writes.written,
        });
        serde_json::json!([
            duty(
                "placing",
                Some(self.scheduler.last_cycle).filter(|_| self.scheduler.cycles > 0),
                serde_json::json!({})
            ),
            duty("renting", self.autoscaler.hands.progress, renting),
            duty("reclaiming", self.scheduler.last_preemption, reclaiming),
            duty("cleaning", self.writer.pipeline.committed, cleaning),
        ])
    }

    /// What teams hold, and how teams and classes are served, for operators.
    fn teams(&self, at: Now) -> serde_json::Value {
        let services = self.cluster.service_levels(at.wall, &self.arrivals);
        let machines = self.cluster.machine_rows(at.time).len() as f64;
        let (share, window) = (
            self.cluster.policy.floor_share,
            self.cluster.policy.floor_window_s,
        );
        let floors = MinimumShares::new(&services, machines, share, window);
        let served = |g: &ShareGroup| services.get(g).map_or(1.0, |s| s.share());
        let gpus = |u: QuotaUnits| u.gpus as f64 / 1000.0;
        let cpus = |u: QuotaUnits| u.cpus as f64 / 1000.0;
        let account = self.cluster.quota_usage();
        let teams: Vec<_> = account
            .teams()
            .map(|(team, h)| {
                let g = ShareGroup::Team(team.clone());
                serde_json::json!({
                    "team": team, "guaranteed": {"cpus": h.share.cpus, "gpus": h.share.gpus},
                    "limit": {"cpus": h.share.cpus_max, "gpus": h.share.gpus_max},
                    "used": {"cpus": cpus(h.used), "gpus": gpus(h.used)},
                    "stopping": {"cpus": cpus(h.stopping), "gpus": gpus(h.stopping)},
                    "lent": {"cpus": cpus(h.lent()), "gpus": gpus(h.lent())},
                    "served": served(&g), "floor_machines": floors.of(&g),
                })
            })
            .collect();
        let classes: Vec<_> = self
            .arrivals
            .by_class
            .keys()
            .map(|class| {
                let g = ShareGroup::Class(class.clone());
                serde_json::json!({
                    "class": class, "served": served(&g), "floor_machines": floors.of(&g),
                })
            })
            .collect();
        serde_json::json!({ "teams": teams, "classes": classes })
    }

    /// Everything an operator may ask for, of machines and jobs whose names
    /// begin like this; of each at most `MOST_SHOWN`, after the totals.
    pub fn inspect(&self, at: Now, machine: &str, job: &str) -> serde_json::Value {
        let now = at.time;
        let age = |t: Option<Time>| t.map(|t| now.since(t).as_secs());
        let machines: Vec<_> = self
            .cluster.machines
            .iter()
            .filter(|(id, _)| id.as_str().starts_with(machine))
            .take(MOST_SHOWN)
            .map(|(id, m)| {
                serde_json::json!({
                    "machine": id, "kind": m.kind, "zone": m.zone, "spot": m.spot,
                    "session": m.epoch, "reported_s_ago": age(m.reported),
                    "usable": m.is_schedulable(now, self.cluster.max_silence()), "lost": m.lost,
                    "deaf_s": m.delivery.deaf_for(now).map(|t| t.as_secs()),
                    "leaving": m.lifecycle != MachineLifecycle::InService, "taken_in_s": m.termination_notice_at.map(|t| t.since(now).as_secs()),
                    "images": m.cache.images().map(|(i, _)| i).collect::<Vec<_>>(),
                    "tasks": m.tasks.iter().map(|t| {
                        let job = self.cluster.jobs.get(&t.job);
                        let p = job.and_then(|j| j.assignments.get(&t.index));
                        serde_json::json!({
                            "task": t.to_string(), "owner": job.map(|j| &j.spec.team),
                            "attempt": p.map(|p| p.attempt),
                            "phase": p.map(|p| p.phase.to_string()),
                            "stopping": p.is_some_and(|p| p.stop.is_some()),
                        })
                    }).collect::<Vec<_>>(),
                })
            })
            .collect();
        let jobs: Vec<_> = self
            .cluster
            .jobs
            .iter()
            .filter(|(id, _)| id.as_str().starts_with(job))
            .take(MOST_SHOWN)
            .map(|(id, j)| {
                serde_json::json!({
                    "job": id, "owner": j.spec.team, "class": j.spec.class,
                    "priority": j.spec.priority, "tasks": j.spec.tasks, "done": j.done.len(),
                    "placed": j.assignments.len(), "waiting": j.waiting.len(),
                    "waits_s": age(j.notes.waiting_since), "why": j.notes.why,
                    "within_guarantee": j.notes.entitled, "last_stop": j.notes.last_stop,
                    "end": j.end.map(|e| e.to_string()),
                })
            })
            .collect();
        // Totals over all machines, shown or not.
        let mut zones: BTreeMap<&str, [usize; 4]> = BTreeMap::new();
        for m in self.cluster.machines.values() {
            let z = zones.entry(m.zone.as_ref().map_or("", Zone::as_str));
            let z = z.or_default();
            z[0] += 1;
            z[1] += usize::from(m.is_schedulable(now, self.cluster.max_silence()));
            z[2] += usize::from(m.spot);
            z[3] += m.tasks.len();
        }
        let zones: Vec<_> = zones
            .into_iter()
            .map(|(zone, [machines, is_schedulable, spot, tasks])| {
                serde_json::json!({
                    "zone": zone, "machines": machines, "usable": is_schedulable,
                    "spot": spot, "tasks": tasks,
                })
            })
            .collect();
        serde_json::json!({
            "token": self.token, "in_office_s": now.since(self.office).as_secs(),
            "contact_s_ago": self.authority.age(now).as_secs(), "loaded": self.is_loaded(),
            "cycles": self.scheduler.cycles, "duties": self.duties(at),
            "shares": self.teams(at),
            "totals": {"machines": self.cluster.machines.len(), "jobs": self.cluster.jobs.len()},
            "zones": zones, "machines": machines, "jobs": jobs,
        })
    }
}
