//! The status that the leader sends its peers, so that a successor starts with it: task counts
//! of jobs, images on machines, fetch times. Only changes since the last call are sent.

use super::cluster_state::ClusterState;
use crate::core::assignment::AssignmentPhase;
use crate::core::machine::Machine;
use crate::types::{Image, JobId, MachineId, Time};
use crate::wire::workers::TaskState;
use std::collections::BTreeMap;

/// Most fetch times returned by one call.
const MAX_FETCH_TIMES_PER_CALL: usize = 200;
/// Most machines whose images are returned by one call.
const MAX_CACHES_PER_CALL: usize = 100;

/// The numbers of done and of running tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// The number of done tasks.
    pub done: u32,
    /// The number of tasks that their machine reports as running.
    pub running: u32,
}

/// The status that was last sent to the peers, so that only changes are sent.
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
    /// Jobs whose numbers of done and of running tasks changed since the last call, with both
    /// numbers; at most `max_jobs` jobs.
    pub fn changed_counts(
        &mut self,
        cluster: &ClusterState,
        max_jobs: usize,
    ) -> Vec<(JobId, u32, u32)> {
        let mut changed = Vec::new();
        for id in cluster.jobs.keys() {
            if changed.len() >= max_jobs {
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

    /// Machines whose images changed since the last call, with all their images and the sizes
    /// in GB.
    pub fn changed_caches(
        &mut self,
        cluster: &ClusterState,
    ) -> Vec<(MachineId, Vec<(Image, f64)>)> {
        self.sent_caches
            .retain(|id, _| cluster.machines.contains_key(id));
        let mut changed = Vec::new();
        for (id, machine) in &cluster.machines {
            if changed.len() >= MAX_CACHES_PER_CALL {
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

    /// Images whose fetch time changed since the last call, with that time in milliseconds.
    pub fn changed_fetch_times(&mut self, cluster: &ClusterState) -> Vec<(Image, u64)> {
        let sent = &mut self.sent_fetch_times;
        let changed = cluster
            .fetch_estimates
            .recorded()
            .filter_map(|(image, took)| {
                let took_ms = took.as_millis();
                let is_changed = sent.get(image) != Some(&took_ms);
                is_changed.then(|| (image.clone(), took_ms))
            });
        let changed: Vec<(Image, u64)> = changed.take(MAX_FETCH_TIMES_PER_CALL).collect();
        sent.extend(changed.iter().cloned());
        changed
    }

    /// Has everything sent again, after a peer missed a message.
    pub fn resend_everything(&mut self) {
        self.sent_counts.clear();
        self.sent_caches.clear();
        self.sent_fetch_times.clear();
    }

    /// Removes a deleted job.
    pub fn forget_job(&mut self, id: &JobId) {
        self.sent_counts.remove(id);
    }
}

impl ClusterState {
    /// Task counts of a job; `None` if the leader has no such job.
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

    /// Adds the images of a machine that the previous leader sent, with their sizes in GB.
    pub fn inherit_cache(&mut self, now: Time, id: &MachineId, images: &[(Image, f64)]) {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(now));
        for (image, gb) in images {
            // An entry that this leader already has is newer.
            if machine.cache.remaining_fetch_time(image, now).is_none() {
                machine.cache.record_fetched(image, *gb, now, f64::INFINITY);
            }
        }
    }
}
