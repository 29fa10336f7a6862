//! The elected leader. It owns the components that load the stored records, follow their
//! changes, place tasks in each scheduling cycle, and store decisions before sending
//! them, and it routes each input to the component concerned. It makes no decisions
//! itself.

mod arrival_recorder;
mod assignment_log;
mod autoscaling;
mod capacity_planning;
mod cluster_state;
mod command_dispatch;
mod commit_effects;
mod commit_pipeline;
mod cycle_inputs;
mod fleet_health;
mod heartbeat_reconciliation;
mod inherited_starts;
mod inspection;
mod job_objectives;
mod machine_failures;
mod outcome;
mod oversized_records;
mod pending_call;
mod placement_requests;
mod preemption_search;
mod record_load;
mod record_rewrite;
mod record_watch;
mod refused_writes;
mod scheduler;
mod service_levels;
mod status_broadcast;
mod task_completion;
mod task_lifecycle;
mod task_reconciliation;
mod transaction_contents;

use self::arrival_recorder::ArrivalRecorder;
use self::autoscaling::CloudContext;
use self::cluster_state::ClusterState;
use self::command_dispatch::CommandDispatcher;
use self::commit_pipeline::{TransactionWriter, WriteContext};
use self::heartbeat_reconciliation::{HeartbeatContext, HeartbeatReconciler};
use self::inspection::Inspection;
pub use self::outcome::LeadershipOutcome;
use self::oversized_records::replace_oversized_records;
pub use self::pending_call::PendingCall;
use self::record_load::RecordContext;
use self::record_watch::RecordWatcher;
use self::scheduler::Scheduler;
use self::status_broadcast::StatusBroadcaster;
pub use self::status_broadcast::TaskCounts;
use self::task_completion::QuarantineRecorder;
use super::autoscaler::state::{Autoscaler, CloudCall};
use super::effects::{Effects, PendingCalls};
use super::format_version::{FormatVersion, WITH_HISTORY};
use super::leader_authority::{AuthorityBounds, LeaderAuthority};
use super::quarantine::Quarantine;
use super::{Now, Reply, RequestId};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{FencingToken, Image, JobId, MachineId, NodeId, Time, TimeSpan};
use crate::wire::cloud::MachineTypes;
use crate::wire::kvstore::{Operation, WatchEvent};
use crate::wire::workers::Heartbeat;
use std::rc::Rc;

/// Time between checks for machines whose lease has expired or that no longer exist.
const HEALTH_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(200);

/// The election result on which a leader's term rests.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTerm {
    /// The leader key. Its version is the fencing token.
    pub leader_key: &'static str,
    /// The fencing token: a later leader's token is higher.
    pub token: FencingToken,
    /// The lease of the key-value store to which the leader key is attached.
    pub lease_id: u64,
    /// The format version in force at the election.
    pub format_version: FormatVersion,
}

/// The leader: the basis of its term, and the components that do its work.
#[derive(Debug)]
pub struct Leader {
    /// The fencing token of this term.
    pub token: FencingToken,
    /// The leader key. Its version is the fencing token.
    pub leader_key: &'static str,
    /// The format version in force. Records are written in its format.
    pub format_version: FormatVersion,
    /// Changes of the leader and format-version keys that the load or the watch showed
    /// and the controller has not processed yet.
    pub version_events: Vec<WatchEvent>,
    /// The lease of the key-value store to which the leader key is attached.
    pub lease_id: u64,
    /// Calls to the key-value store and the cloud that have no reply yet.
    pub pending_calls: PendingCalls<PendingCall>,
    /// When this leader's term began.
    pub leading_since: Time,
    /// Until when the leader may answer heartbeats and start tasks.
    pub authority: LeaderAuthority,
    /// When machine leases and removals are next checked.
    next_health_check: Time,
    /// Jobs and machines, with their changes that are not stored or sent yet.
    pub(super) cluster: ClusterState,
    /// Loads the stored records, then watches their changes.
    records: RecordWatcher,
    /// Stores changes, one transaction at a time.
    pub(super) writer: TransactionWriter,
    /// Runs the scheduling cycles.
    pub(super) scheduler: Scheduler,
    /// Processes heartbeats and defers answers to them.
    pub(super) heartbeats: HeartbeatReconciler,
    /// Builds the commands for agents.
    pub(super) commands: CommandDispatcher,
    /// Provisions and terminates machines.
    pub(super) autoscaler: Autoscaler,
    /// The stored records of machines that failed.
    pub(super) quarantine: Quarantine,
    /// Records arrivals of jobs, from which reserve capacity and fair shares are
    /// computed.
    pub(super) arrivals: ArrivalRecorder,
    /// Collects the status changes that heartbeats to peers carry.
    pub(super) status: StatusBroadcaster,
}

impl Leader {
    /// A leader that has just been elected and has loaded nothing yet.
    pub fn new(
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        term: LeaderTerm,
        now: Time,
        machine_types: &MachineTypes,
    ) -> Leader {
        let LeaderTerm {
            leader_key,
            token,
            lease_id,
            format_version,
        } = term;
        let mut leader = Leader {
            token,
            leader_key,
            format_version,
            version_events: Vec::new(),
            lease_id,
            pending_calls: PendingCalls::default(),
            leading_since: now,
            authority: LeaderAuthority::new(AuthorityBounds::new(&settings.workers), now),
            next_health_check: now,
            records: RecordWatcher::new(now),
            writer: TransactionWriter::new(leader_key, token, settings.state_limits.write_rps, now),
            scheduler: Scheduler::new(now),
            heartbeats: HeartbeatReconciler::new(now),
            commands: CommandDispatcher::new(token, now, settings.workers.report),
            autoscaler: Autoscaler::new(&settings, token, now),
            quarantine: Quarantine::default(),
            arrivals: ArrivalRecorder::new(now),
            status: StatusBroadcaster::default(),
            cluster: ClusterState::new(settings, policy),
        };
        leader.set_machine_types(machine_types);
        leader
    }

    /// Adds or replaces machine types read from the cloud or the key-value store.
    pub fn set_machine_types(&mut self, machine_types: &MachineTypes) {
        self.cluster.set_machine_types(machine_types);
    }

    /// Whether all stored records have been read.
    pub fn is_loaded(&self) -> bool {
        self.authority.is_loaded()
    }

    /// Whether heartbeats may be answered: everything is loaded, and the last contact
    /// with the key-value store is recent enough.
    pub fn may_answer_heartbeats(&self, now: Time) -> bool {
        self.authority.may_answer_heartbeats(now)
    }

    /// Whether tasks may be started: everything is loaded, and the last contact with the
    /// key-value store is recent enough.
    pub fn may_start_tasks(&self, now: Time) -> bool {
        self.authority.may_start_tasks(now)
    }

    /// The number of machines that this leader has a record of, and the number of those
    /// that have sent a heartbeat with its token.
    pub fn count_reporting_machines(&self) -> (usize, usize) {
        let machines = self.cluster.machines.values();
        let reporting = machines.filter(|machine| machine.current_token_since.is_some());
        (self.cluster.machines.len(), reporting.count())
    }

    /// The number of starts of earlier leaders that were withdrawn because of their team's
    /// limit.
    pub fn starts_withdrawn_for_quota(&self) -> u64 {
        self.cluster.assignment_log.totals.withdrawn_for_quota
    }

    /// Whether the leader has a record of a machine.
    pub fn tracks_machine(&self, machine: &MachineId) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Whether another controller may hold this token, judged by how many changes the
    /// key-value store can have taken since the last contact.
    pub fn may_have_been_issued(&self, now: Time, token: FencingToken) -> bool {
        let since_contact = self.authority.age(now);
        let write_rps = self.cluster.settings.state_limits.write_rps;
        self.records
            .may_have_been_issued(token, since_contact, write_rps)
    }

    /// Performs the actions that are due by time, such as reads, health checks and calls
    /// to the cloud.
    pub fn tick(&mut self, effects: &mut Effects) {
        self.records
            .read_next(effects, &self.authority, &mut self.pending_calls);
        if !self.is_loaded() {
            return;
        }
        let at = effects.now;
        if at.time >= self.next_health_check {
            self.next_health_check = at.time + HEALTH_CHECK_INTERVAL;
            self.check_machine_health(at);
        }
        let value_bytes = effects.store_limits.value_bytes();
        self.autoscaler.intents.set_value_bytes(value_bytes);
        self.call_cloud(effects);
        self.commands.send_announcements(effects, &self.cluster);
        self.queue_outdated_chunks(at.time);
        self.store_arrivals(at, value_bytes);
    }

    /// Performs the actions that any input may have made due. Called after every input.
    pub fn advance(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        self.scheduler.adjust_pace(now);
        if self.scheduler.is_cycle_due(now) && self.may_start_tasks(now) {
            self.run_cycle(effects.now);
        }
        self.submit_next_transaction(effects);
        self.commands.send_direct_stops(effects, &mut self.cluster);
        self.heartbeats.answer_deferred(
            effects,
            &mut self.cluster,
            &mut self.commands,
            &self.authority,
            self.scheduler.cycles,
        );
        self.cluster.log_assignment_changes(self.token);
    }

    /// Processes a reply to one of this leader's calls.
    pub fn handle_reply(
        &mut self,
        effects: &mut Effects,
        call: PendingCall,
        reply: Reply,
    ) -> LeadershipOutcome {
        match call {
            PendingCall::Read { sent } => self.handle_read_reply(effects, sent, reply),
            PendingCall::Commit => self.handle_commit_reply(effects, reply),
            PendingCall::OwnWrite(op) => self.handle_own_write_read(&op, reply),
            PendingCall::Cloud(call, proxy) => self.handle_cloud_reply(effects, call, proxy, reply),
        }
    }

    /// Processes a reply to a read of records or changes that was sent at `sent`.
    pub fn handle_read_reply(
        &mut self,
        effects: &mut Effects,
        sent: Time,
        reply: Reply,
    ) -> LeadershipOutcome {
        let mut parts = self.record_parts();
        parts
            .records
            .handle_read_reply(effects, &mut parts.context, sent, reply)
    }

    /// Processes a reply of the cloud. `proxy` is the peer that made the call on the
    /// leader's behalf; `None`: the leader made it.
    pub fn handle_cloud_reply(
        &mut self,
        effects: &mut Effects,
        call: CloudCall,
        proxy: Option<NodeId>,
        reply: Reply,
    ) -> LeadershipOutcome {
        let mut context = CloudContext {
            cluster: &mut self.cluster,
            commands: &mut self.commands,
            heartbeats: &mut self.heartbeats,
        };
        self.autoscaler
            .handle_cloud_reply(effects, &mut context, call, proxy.as_ref(), reply)
    }

    /// Processes an agent's heartbeat. `may_defer`: its answer may wait until there is
    /// work for the machine.
    pub fn handle_heartbeat(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        heartbeat: Heartbeat,
        may_defer: bool,
    ) -> LeadershipOutcome {
        if heartbeat.token > self.token {
            effects.answer_status(request, 421);
            if self.may_have_been_issued(effects.now.time, heartbeat.token) {
                return LeadershipOutcome::Deposed(heartbeat.token);
            }
            tracing::error!(machine = %heartbeat.machine, token = %heartbeat.token, "ignoring heartbeat with a fencing token that was never issued");
            return LeadershipOutcome::Continue;
        }
        let mut context = HeartbeatContext {
            token: self.token,
            authority: &self.authority,
            cluster: &mut self.cluster,
            intents: &mut self.autoscaler.intents,
            quarantine: &mut self.quarantine,
            commands: &mut self.commands,
            scheduler: &mut self.scheduler,
        };
        self.heartbeats
            .handle_heartbeat(effects, &mut context, request, &heartbeat, may_defer);
        LeadershipOutcome::Continue
    }

    /// Answers all deferred heartbeats with 503 when leadership ends, so that their
    /// agents retry.
    pub fn drop_deferred_heartbeats(&mut self, effects: &mut Effects) {
        self.heartbeats.drop_deferred(effects);
    }

    /// A peer has confirmed to a user that a job is cancelled: its tasks must stop even
    /// while the key-value store cannot be read. No record is deleted on a peer's report.
    pub fn record_peer_cancellation(&mut self, now: Time, id: &JobId) {
        let job = self.cluster.jobs.get(id);
        let Some(job) = job.filter(|job| job.is_open()) else {
            return;
        };
        let tasks: Vec<u32> = job.assignments.keys().copied().collect();
        if self.authority.record_peer_cancellation(now, id) {
            tracing::info!(job = %id, tasks = tasks.len(), "job cancelled, as reported by a peer");
            let why = "a peer says that it is cancelled";
            self.cluster.stop_tasks(now, id, &tasks, 0.0, why);
        }
    }

    /// Task counts of a job, for its user; `None`: the job is not loaded.
    pub fn task_counts(&self, id: &JobId) -> Option<TaskCounts> {
        self.cluster.task_counts(id)
    }

    /// Counts of done and running tasks that changed since the last call, for at most
    /// `max_jobs` jobs.
    pub fn changed_counts(&mut self, max_jobs: usize) -> Vec<(JobId, u32, u32)> {
        self.status.changed_counts(&self.cluster, max_jobs)
    }

    /// Images cached on machines, with sizes in GB, where they changed since the last
    /// call.
    pub fn changed_caches(&mut self) -> Vec<(MachineId, Vec<(Image, f64)>)> {
        self.status.changed_caches(&self.cluster)
    }

    /// Image fetch times, in milliseconds, that changed since the last call.
    pub fn changed_fetch_times(&mut self) -> Vec<(Image, u64)> {
        self.status.changed_fetch_times(&self.cluster)
    }

    /// Broadcasts the whole status again, because a peer missed part of it.
    pub fn resend_everything(&mut self) {
        self.status.resend_everything();
    }

    /// Takes over the images of a machine, with sizes in GB, that the previous leader
    /// broadcast.
    pub fn inherit_cache(&mut self, now: Time, id: &MachineId, images: &[(Image, f64)]) {
        self.cluster.inherit_cache(now, id, images);
    }

    /// The state of this leader for operators, with the machines and jobs whose names
    /// begin with these prefixes.
    pub fn inspect(&self, at: Now, machine: &str, job: &str) -> serde_json::Value {
        let inspection = Inspection {
            at,
            token: self.token,
            leading_since: self.leading_since,
            authority: &self.authority,
            cluster: &self.cluster,
            scheduler: &self.scheduler,
            writer: &self.writer,
            autoscaler: &self.autoscaler,
            quarantine: &self.quarantine,
            arrivals: &self.arrivals,
        };
        inspection.report(machine, job)
    }

    /// Whether all stored records have the format in force.
    pub fn is_rewritten(&self) -> bool {
        self.writer.rewriter.is_complete(self.format_version)
    }

    fn run_cycle(&mut self, at: Now) {
        let interval = TimeSpan::secs(self.cluster.policy.cycle_s);
        self.scheduler.begin_cycle(at.time, interval);
        let (cluster, arrivals) = (&mut self.cluster, &self.arrivals);
        let result = self
            .scheduler
            .run_cycle(at, cluster, &self.authority, arrivals);
        self.autoscaler
            .plan_capacity(at, cluster, arrivals, self.leading_since, &result);
        self.scheduler.cycles += 1;
    }

    /// Removes the tasks of machines whose leases have expired, and decides which
    /// machines to terminate because they are of no use any more.
    fn check_machine_health(&mut self, at: Now) {
        self.expire_leases(at);
        self.evaluate_circuits(at);
        self.cluster
            .mark_unhealthy_machines(at.time, self.autoscaler.last_list);
        self.autoscaler
            .record_terminations(&self.cluster.machines, at.wall);
    }

    /// Makes the next call to the cloud, if one is due.
    fn call_cloud(&mut self, effects: &mut Effects) {
        let cluster = &self.cluster;
        self.autoscaler
            .settle_intents(effects.now, cluster, &mut self.quarantine);
        if self.may_start_tasks(effects.now.time) {
            self.autoscaler
                .make_next_call(effects, cluster, self.token, &mut self.pending_calls);
        }
    }

    /// Stores recent arrivals periodically, in a value of at most `value_bytes`, if the
    /// format in force includes them.
    fn store_arrivals(&mut self, at: Now, value_bytes: usize) {
        if self.format_version < WITH_HISTORY {
            return;
        }
        let window = TimeSpan::secs(self.cluster.policy.floor_window_s);
        let pending_writes = &mut self.autoscaler.intents.pending_writes;
        self.arrivals
            .store_if_due(at, window, value_bytes, pending_writes);
    }

    /// Removes the tasks of machines whose leases have expired.
    fn expire_leases(&mut self, at: Now) {
        let inherited_until = self.leading_since + self.authority.earlier_leader_window();
        let mut recorder = QuarantineRecorder {
            quarantine: &mut self.quarantine,
            pending_writes: &mut self.autoscaler.intents.pending_writes,
        };
        self.cluster
            .expire_leases(at, &mut recorder, inherited_until);
    }

    /// Opens and closes the circuit breakers of machines.
    fn evaluate_circuits(&mut self, at: Now) {
        let mut recorder = QuarantineRecorder {
            quarantine: &mut self.quarantine,
            pending_writes: &mut self.autoscaler.intents.pending_writes,
        };
        self.cluster.evaluate_circuits(at, &mut recorder);
    }

    fn record_parts(&mut self) -> RecordParts<'_> {
        RecordParts {
            records: &mut self.records,
            context: RecordContext {
                leader_key: self.leader_key,
                token: self.token,
                authority: &mut self.authority,
                version_events: &mut self.version_events,
                cluster: &mut self.cluster,
                writer: &mut self.writer,
                scheduler: &mut self.scheduler,
                intents: &mut self.autoscaler.intents,
                quarantine: &mut self.quarantine,
                arrivals: &mut self.arrivals,
            },
        }
    }

    fn writer_parts(&mut self) -> WriterParts<'_> {
        WriterParts {
            writer: &mut self.writer,
            pending_calls: &mut self.pending_calls,
            context: WriteContext {
                cluster: &mut self.cluster,
                intents: &mut self.autoscaler.intents,
                machines_with_stored_starts: &mut self.heartbeats.machines_with_stored_starts,
                status: &mut self.status,
                format: self.format_version,
            },
        }
    }

    /// Sends the next transaction, if there are unwritten changes and none is in flight.
    fn submit_next_transaction(&mut self, effects: &mut Effects) {
        let mut parts = self.writer_parts();
        parts
            .writer
            .submit_next_transaction(effects, &mut parts.context, parts.pending_calls);
        let intents = &mut self.autoscaler.intents;
        intents.set_value_bytes(effects.store_limits.value_bytes());
        replace_oversized_records(effects.now, intents, &mut self.arrivals);
    }

    /// Processes the reply to the transaction in flight, or the loss of the reply.
    pub fn handle_commit_reply(
        &mut self,
        effects: &mut Effects,
        reply: Reply,
    ) -> LeadershipOutcome {
        let mut parts = self.writer_parts();
        parts
            .writer
            .handle_commit_reply(effects, &mut parts.context, parts.pending_calls, reply)
    }

    fn handle_own_write_read(&mut self, op: &Operation, reply: Reply) -> LeadershipOutcome {
        let mut parts = self.writer_parts();
        parts
            .writer
            .handle_own_write_read(&mut parts.context, op, reply)
    }

    fn queue_outdated_chunks(&mut self, now: Time) {
        self.writer
            .queue_outdated_chunks(now, &mut self.cluster, self.format_version);
    }
}

/// The record watcher with the components that it updates.
struct RecordParts<'a> {
    records: &'a mut RecordWatcher,
    context: RecordContext<'a>,
}

/// The transaction writer with the components that it updates.
struct WriterParts<'a> {
    writer: &'a mut TransactionWriter,
    pending_calls: &'a mut PendingCalls<PendingCall>,
    context: WriteContext<'a>,
}

#[cfg(test)]
mod tests;
