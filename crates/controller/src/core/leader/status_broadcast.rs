//! What the leader tells its peers, for a successor to start with: task counts of
//! jobs, images on machines, fetch times. Only what changed since the last heartbeat.

use super::cluster_state::ClusterState;
use crate::core::assignment::AssignmentPhase;
use crate::core::machine::Machine;
use crate::types::{Image, JobId, MachineId, Time};
use crate::wire::workers::TaskState;
use std::collections::BTreeMap;

/// Fetch times sent to peers at once.
const MAX_FETCH_TIMES: usize = 200;
/// Machines whose images are sent to peers at once.
const MAX_CACHES: usize = 100;

/// How many of a job's tasks are done, and how many run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Done tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// What was last broadcast to the peers, so that only changes are sent.
#[derive(Debug, Default)]
pub(in crate::core) struct StatusBroadcaster {
    /// Task counts of jobs.
    sent_counts: BTreeMap<JobId, TaskCounts>,
    /// Images of machines, with their sizes in GB.
    sent_caches: BTreeMap<MachineId, Vec<(Image, f64)>>,
    /// Fetch times of images, in milliseconds.
    sent_fetch_times: BTreeMap<Image, u64>,
}

impl StatusBroadcaster {
    /// Counts of done and running tasks that changed since the last call, at most
    /// `most`.
    pub fn changed_counts(
        &mut self,
        cluster: &ClusterState,
        most: usize,
    ) -> Vec<(JobId, u32, u32)> {
        let mut changed = Vec::new();
        for id in cluster.jobs.keys() {
            if changed.len() >= most {
                break;
            }
            let Some(counts) = cluster.task_counts(id) else {
                continue;
            };
            if self.sent_counts.get(id) != Some(&counts) {
                self.sent_counts.insert(id.clone(), counts);
                changed.push((id.clone(), counts.done, counts.running));
            }
        }
        changed
    }

    /// Images of machines, with sizes in GB, where they changed since the last call.
    pub fn changed_caches(
        &mut self,
        cluster: &ClusterState,
    ) -> Vec<(MachineId, Vec<(Image, f64)>)> {
        self.sent_caches
            .retain(|id, _| cluster.machines.contains_key(id));
        let mut changed = Vec::new();
        for (id, machine) in &cluster.machines {
            if changed.len() >= MAX_CACHES {
                break;
            }
            let images = machine.cache.images();
            let images: Vec<(Image, f64)> = images.map(|(i, gb)| (i.clone(), gb)).collect();
            if self.sent_caches.get(id) != Some(&images) {
                self.sent_caches.insert(id.clone(), images.clone());
                changed.push((id.clone(), images));
            }
        }
        changed
    }

    /// Fetch times, in milliseconds, that changed since the last call.
    pub fn changed_fetch_times(&mut self, cluster: &ClusterState) -> Vec<(Image, u64)> {
        let sent = &mut self.sent_fetch_times;
        let changed = cluster.fetch_estimates.all().filter_map(|(image, took)| {
            let took_ms = took.as_millis();
            let is_new = sent.get(image) != Some(&took_ms);
            is_new.then(|| (image.clone(), took_ms))
        });
        let changed: Vec<(Image, u64)> = changed.take(MAX_FETCH_TIMES).collect();
        sent.extend(changed.iter().cloned());
        changed
    }

    /// A peer missed what was sent: everything is sent once more.
    pub fn resend_everything(&mut self) {
        self.sent_counts.clear();
        self.sent_caches.clear();
        self.sent_fetch_times.clear();
    }

    /// A job is deleted.
    pub fn forget_job(&mut self, id: &JobId) {
        self.sent_counts.remove(id);
    }
}

impl ClusterState {
    /// Task counts of a job.
    pub fn task_counts(&self, id: &JobId) -> Option<TaskCounts> {
        let job = self.jobs.get(id)?;
        let running = AssignmentPhase::Seen(TaskState::Running);
        let assignments = job.assignments.values();
        let running = assignments.filter(|a| a.phase == running).count();
        Some(TaskCounts {
            done: job.done.len(),
            running: running as u32,
        })
    }

    /// Takes over what the last leader sent of a machine's images.
    pub fn inherit_cache(&mut self, now: Time, id: &MachineId, images: &[(Image, f64)]) {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(now));
        for (image, gb) in images {
            // What is known of it since is newer.
            if machine.cache.remaining(image, now).is_none() {
                machine.cache.record_fetched(image, *gb, now, f64::INFINITY);
            }
        }
    }
}
