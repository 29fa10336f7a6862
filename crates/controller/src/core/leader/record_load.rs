//! Loads the stored records into a new leader: jobs, their progress, and the intents of
//! earlier leaders. Makes no calls.

use super::arrival_recorder::ArrivalRecorder;
use super::cluster_state::ClusterState;
use super::commit_pipeline::TransactionWriter;
use super::record_watch::RecordWatcher;
use super::scheduler::Scheduler;
use crate::core::Now;
use crate::core::autoscaler::intents::Intents;
use crate::core::circuit_breaker::CircuitBreaker;
use crate::core::format_version::WITH_HISTORY;
use crate::core::format_version::chunk_progress::ChunkProgress;
use crate::core::job_records::{
    self, HeaderStage, JobHeader, JobOutcome, SubmissionAssembler, WatchedKey,
};
use crate::core::leader_authority::LeaderAuthority;
use crate::core::machine::Machine;
use crate::core::quarantine::Quarantine;
use crate::core::quota::arrival_history;
use crate::types::{FencingToken, JobId, TaskId, Time, TimeSpan, Version};
use crate::wire::kvstore::{Entry, WatchEvent};
use std::collections::BTreeSet;

/// The components that records are loaded into.
pub(in crate::core) struct RecordContext<'a> {
    /// The leader key. Its version is the fencing token.
    pub leader_key: &'static str,
    /// The fencing token of this leader.
    pub token: FencingToken,
    /// Records which reads were answered, and when they were sent.
    pub authority: &'a mut LeaderAuthority,
    /// Receives changes of leader and format-version keys.
    pub version_events: &'a mut Vec<WatchEvent>,
    /// Jobs and machines.
    pub cluster: &'a mut ClusterState,
    /// Receives orphaned keys and outdated records.
    pub writer: &'a mut TransactionWriter,
    /// Runs a cycle soon after a job has arrived.
    pub scheduler: &'a mut Scheduler,
    /// Intents to provision and terminate machines.
    pub intents: &'a mut Intents,
    /// Machines that failed.
    pub quarantine: &'a mut Quarantine,
    /// Arrivals of jobs.
    pub arrivals: &'a mut ArrivalRecorder,
}

impl RecordContext<'_> {
    /// Loads leader keys, submissions and outcomes. Returns false if this leader does not
    /// hold the leader key any more.
    pub fn load_watched(&mut self, records: &mut RecordWatcher, entries: &[Entry]) -> bool {
        let mut holds_leader_key = false;
        for entry in entries {
            match job_records::parse_watched_key(&entry.key) {
                WatchedKey::Leadership => {
                    holds_leader_key |=
                        entry.key == self.leader_key && entry.version.0 == self.token.0;
                    self.version_events.push(to_watch_event(entry));
                }
                WatchedKey::SubmissionPart(id, number) => {
                    records.assembler.add_part(id, number, &entry.value);
                }
                _ => {}
            }
        }
        if !holds_leader_key {
            return false;
        }
        let submitted = |entry: &Entry| match job_records::parse_watched_key(&entry.key) {
            WatchedKey::Submission(id) => Some(id),
            _ => None,
        };
        records.submitted = entries.iter().filter_map(submitted).collect();
        for entry in entries {
            let is_submitted = |id: &JobId| records.submitted.contains(id);
            let collector = &mut self.writer.garbage_collector;
            collector.check_key(&entry.key, entry.version, is_submitted);
        }
        for entry in entries {
            if let WatchedKey::Submission(id) = job_records::parse_watched_key(&entry.key) {
                self.add_job(&mut records.assembler, &id, entry.version, &entry.value);
            }
        }
        for entry in entries {
            if let WatchedKey::JobOutcome(id) = job_records::parse_watched_key(&entry.key) {
                self.load_outcome(&id, &entry.value);
            }
        }
        true
    }

    /// Adds the job of a submission, unless it is loaded already.
    pub fn add_job(
        &mut self,
        assembler: &mut SubmissionAssembler,
        id: &JobId,
        version: Version,
        value: &serde_json::Value,
    ) {
        if self.cluster.jobs.contains_key(id) {
            return;
        }
        let Some(job) = assembler.assemble(id, version, value) else {
            tracing::error!(job = %id, "submission record cannot be read");
            return;
        };
        self.arrivals.record(&job, &self.cluster.machine_types);
        // While a new leader loads, it adds all open jobs, which earlier leaders have
        // logged.
        if self.authority.is_loaded() {
            tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, tasks = job.spec.tasks, image = %job.spec.image, "job accepted");
        }
        self.cluster.jobs.insert(id.clone(), job);
    }

    fn load_outcome(&mut self, id: &JobId, value: &serde_json::Value) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let header = job_records::read_record::<JobHeader>(value);
        job.outcome = Some(match header {
            Some(header) if header.stage == HeaderStage::Done => JobOutcome::Done { written: true },
            _ => JobOutcome::Cancelled,
        });
    }

    /// Cancels a job whose outcome the watch shows as cancelled by its user.
    pub fn cancel_job(&mut self, now: Time, id: &JobId) {
        if let Some(job) = self.cluster.jobs.get(id) {
            tracing::info!(job = %id, team = %job.spec.team, "job cancelled by its user");
            self.cluster.cancel_job(now, id, "its user cancelled it");
        }
    }

    /// Loads the progress records of jobs, then orders the remaining tasks of ended jobs
    /// to stop.
    pub fn load_progress_records(
        &mut self,
        now: Time,
        submitted: &BTreeSet<JobId>,
        entries: Vec<Entry>,
    ) {
        for entry in entries {
            self.load_progress_record(submitted, &entry);
        }
        let ended = self.cluster.inherit_assignments(now);
        for id in ended {
            self.cluster.stop_ended_job(now, &id, "its job is over");
        }
    }

    fn load_progress_record(&mut self, submitted: &BTreeSet<JobId>, entry: &Entry) {
        let Some((id, chunk)) = job_records::parse_chunk_key(&entry.key) else {
            return;
        };
        // A record without a submission is left over from an ended job.
        let collector = &mut self.writer.garbage_collector;
        collector.check_key(&entry.key, entry.version, |id| submitted.contains(id));
        let Some(job) = self.cluster.jobs.get_mut(&id) else {
            return;
        };
        if !ChunkProgress::has_form_of(&entry.value, WITH_HISTORY) {
            self.writer
                .rewriter
                .outdated_chunks
                .insert((id.clone(), chunk));
        }
        if let Err(error) = job.load_chunk(chunk, entry.version, &entry.value) {
            tracing::error!(job = %id, key = entry.key, %error, "a record cannot be read; its job is left as it is");
        }
    }

    /// Loads the intents of earlier leaders, and their records of failed machines and of
    /// arrivals.
    pub fn load_leader_records(&mut self, at: Now, entries: Vec<Entry>) {
        for entry in entries {
            if entry.key == arrival_history::ARRIVAL_HISTORY_KEY {
                let window = TimeSpan::secs(self.cluster.policy.floor_window_s);
                self.arrivals.load(entry.value, window);
                continue;
            }
            self.load_intent(at, &entry);
            self.load_quarantine(at, &entry);
        }
        let open = self.intents.open();
        if open.provisions + open.terminations > 0 {
            tracing::info!(
                provisions = open.provisions,
                terminations = open.terminations,
                machines = open.machines,
                "continuing what earlier leaders intended"
            );
        }
    }

    fn load_intent(&mut self, at: Now, entry: &Entry) {
        for id in self.intents.load(&entry.key, &entry.value, at.wall) {
            let machine = self.cluster.register_machine(at.time, &id, self.intents);
            machine.mark_for_termination("an earlier leader meant to release it");
        }
    }

    fn load_quarantine(&mut self, at: Now, entry: &Entry) {
        let Some(record) = self.quarantine.load(&entry.key, &entry.value, at.wall) else {
            return;
        };
        let id = record.machine;
        let remaining_pause = self.quarantine.remaining_pause(&id, at.wall);
        let machine = self.cluster.register_machine(at.time, &id, self.intents);
        machine.quarantined_until = remaining_pause.map(|pause| at.time + pause);
        if let Some(circuit) = record.circuit {
            machine.circuit_breaker = CircuitBreaker::inherited(at.time, circuit);
        }
    }
}

/// Converts a loaded entry to the event that the watch would have shown for it.
fn to_watch_event(entry: &Entry) -> WatchEvent {
    WatchEvent {
        put: Some(entry.key.clone()),
        delete: None,
        value: entry.value.clone(),
        version: entry.version,
    }
}

impl ClusterState {
    /// Assigns to machines, after a load, the tasks that the records place on them, and
    /// queues jobs that are done or can be deleted. Returns ended jobs some of whose
    /// tasks may still be on machines.
    fn inherit_assignments(&mut self, now: Time) -> Vec<JobId> {
        let mut ended_with_tasks = Vec::new();
        for (id, job) in &mut self.jobs {
            for (&index, assignment) in &mut job.assignments {
                assignment.assigned_at = now;
                let job_id = id.clone();
                let task = TaskId { job: job_id, index };
                self.machines
                    .entry(assignment.machine.clone())
                    .or_insert_with(|| Machine::new(now))
                    .assign(task, job.spec.needs());
            }
            if job.outcome.is_none() && !job.is_service() && job.done.len() == job.spec.tasks {
                job.outcome = Some(JobOutcome::Done { written: false });
                self.unwritten.finished_jobs.insert(id.clone());
            }
            if job.is_open() {
                continue;
            }
            if job.assignments.is_empty() {
                self.unwritten.jobs_to_delete.insert(id.clone());
            } else {
                ended_with_tasks.push(id.clone());
            }
        }
        ended_with_tasks
    }
}
