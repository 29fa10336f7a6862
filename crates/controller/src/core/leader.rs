//! The leading controller: owns the parts that load what is recorded, follow changes,
//! place work every cycle and write decisions ahead of sending them, and passes each
//! input to the part that it concerns. Decides nothing itself.

mod arrival_recorder;
mod autoscaling;
mod capacity_planning;
mod cluster_state;
mod command_dispatch;
mod commit_effects;
mod commit_pipeline;
mod cycle_inputs;
mod fleet_health;
mod heartbeat_reconciliation;
mod inspection;
mod job_objectives;
mod outcome;
mod pending_call;
mod placement_requests;
mod preemption_search;
mod record_load;
mod record_watch;
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

/// Time between checks for machines that fell silent or are gone.
const HEALTH_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(200);

/// What a leader's term begins with.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTerm {
    /// The key whose version is the fencing token.
    pub holder: &'static str,
    /// The fencing token.
    pub token: FencingToken,
    /// The lease that the token hangs on.
    pub lease: u64,
    /// The format version in force.
    pub format_version: FormatVersion,
}

/// The leader: what its term rests on, and the parts that do its work.
#[derive(Debug)]
pub struct Leader {
    /// The fencing token.
    pub token: FencingToken,
    /// The key whose version is the token.
    pub holder: &'static str,
    /// The format version in force.
    pub format_version: FormatVersion,
    /// Changes of leader and format-version keys that the watch showed.
    pub version_events: Vec<WatchEvent>,
    /// The lease that the token hangs on.
    pub lease: u64,
    /// Calls under way.
    pub pending_calls: PendingCalls<PendingCall>,
    /// When it began to lead.
    pub leading_since: Time,
    /// Until when it may answer heartbeats and start tasks.
    pub authority: LeaderAuthority,
    /// When machines are next checked for being silent or gone.
    next_health_check: Time,
    /// Jobs, machines, and their changes to write.
    pub(super) cluster: ClusterState,
    /// Reads records and changes.
    records: RecordWatcher,
    /// Writes changes.
    pub(super) writer: TransactionWriter,
    /// Runs cycles.
    pub(super) scheduler: Scheduler,
    /// Answers heartbeats.
    pub(super) heartbeats: HeartbeatReconciler,
    /// Builds the commands for agents.
    pub(super) commands: CommandDispatcher,
    /// Provisions and terminates machines.
    pub(super) autoscaler: Autoscaler,
    /// Knows machines that failed.
    pub(super) quarantine: Quarantine,
    /// Records arrivals of jobs.
    pub(super) arrivals: ArrivalRecorder,
    /// Tells peers what changed.
    pub(super) status: StatusBroadcaster,
}

impl Leader {
    /// A leader that has just got its token.
    pub fn new(
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        term: LeaderTerm,
        now: Time,
        machine_types: &MachineTypes,
    ) -> Leader {
        let LeaderTerm {
            holder,
            token,
            lease,
            format_version,
        } = term;
        let mut leader = Leader {
            token,
            holder,
            format_version,
            version_events: Vec::new(),
            lease,
            pending_calls: PendingCalls::default(),
            leading_since: now,
            authority: LeaderAuthority::new(AuthorityBounds::new(&settings.workers), now),
            next_health_check: now,
            records: RecordWatcher::new(now),
            writer: TransactionWriter::new(holder, token, settings.state_limits.write_rps, now),
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

    /// Takes over machine types read from the cloud or the state service.
    pub fn set_machine_types(&mut self, machine_types: &MachineTypes) {
        self.cluster.set_machine_types(machine_types);
    }

    /// Whether everything recorded has been read.
    pub fn is_loaded(&self) -> bool {
        self.authority.is_loaded()
    }

    /// Whether heartbeats may be answered.
    pub fn may_answer(&self, now: Time) -> bool {
        self.authority.may_answer(now)
    }

    /// Whether tasks may be started.
    pub fn may_start(&self, now: Time) -> bool {
        self.authority.may_start(now)
    }

    /// Machines that it knows of, and those that have sent a heartbeat under its token.
    pub fn count_reporting_machines(&self) -> (usize, usize) {
        let machines = self.cluster.machines.values();
        let reporting = machines.filter(|machine| machine.our_token_since.is_some());
        (self.cluster.machines.len(), reporting.count())
    }

    /// Whether it knows of a machine.
    pub fn knows(&self, machine: &MachineId) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Whether another node may hold this token.
    pub fn may_be_replaced_by(&self, now: Time, token: FencingToken) -> bool {
        let since_contact = self.authority.age(now);
        let write_rps = self.cluster.settings.state_limits.write_rps;
        self.records
            .may_have_been_issued(token, since_contact, write_rps)
    }

    /// Does what is due as time passes.
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
        self.call_cloud(effects);
        self.commands.send_announcements(effects, &self.cluster);
        self.queue_outdated_chunks(at.time);
        self.store_arrivals(at);
    }

    /// Does what any input may have made due.
    pub fn advance(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        self.scheduler.adjust_pace(now);
        if self.scheduler.is_cycle_due(now) && self.may_start(now) {
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
    }

    /// Takes a reply to one of its calls.
    pub fn handle_reply(
        &mut self,
        effects: &mut Effects,
        call: PendingCall,
        reply: Reply,
    ) -> LeadershipOutcome {
        match call {
            PendingCall::Read { sent } => self.handle_read_reply(effects, sent, reply),
            PendingCall::Commit => self.handle_commit_reply(effects, reply),
            PendingCall::Written(op) => self.handle_own_write_read(&op, reply),
            PendingCall::Cloud(call, by) => self.handle_cloud_reply(effects, call, by, reply),
        }
    }

    /// A read of the records or of changes was answered, or not.
    pub fn handle_read_reply(
        &mut self,
        effects: &mut Effects,
        sent: Time,
        reply: Reply,
    ) -> LeadershipOutcome {
        let mut parts = self.records();
        parts
            .records
            .handle_read_reply(effects, &mut parts.context, sent, reply)
    }

    /// The cloud answered, or not; `by` is the peer that made the call, if one did.
    pub fn handle_cloud_reply(
        &mut self,
        effects: &mut Effects,
        call: CloudCall,
        by: Option<NodeId>,
        reply: Reply,
    ) -> LeadershipOutcome {
        let mut context = CloudContext {
            cluster: &mut self.cluster,
            commands: &mut self.commands,
            heartbeats: &mut self.heartbeats,
        };
        self.autoscaler
            .handle_cloud_reply(effects, &mut context, call, by.as_ref(), reply)
    }

    /// Handles a worker's heartbeat; `may_defer`: its answer may wait for work.
    pub fn handle_heartbeat(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        heartbeat: Heartbeat,
        may_defer: bool,
    ) -> LeadershipOutcome {
        if heartbeat.token > self.token {
            effects.answer_status(request, 421);
            if self.may_be_replaced_by(effects.now.time, heartbeat.token) {
                return LeadershipOutcome::Deposed(heartbeat.token);
            }
            tracing::error!(machine = %heartbeat.machine, token = %heartbeat.token, "heartbeat with a token that nobody was given ignored");
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

    /// Gives up deferred heartbeats, when leadership ends.
    pub fn drop_deferred_heartbeats(&mut self, effects: &mut Effects) {
        self.heartbeats.drop_deferred(effects);
    }

    /// A peer confirmed to a user that this job is cancelled: none of it is to run any
    /// more, whether or not the key-value store can be read. Nothing is deleted for it.
    pub fn record_announced_cancellation(&mut self, now: Time, id: &JobId) {
        let job = self.cluster.jobs.get(id);
        let Some(job) = job.filter(|job| job.is_open()) else {
            return;
        };
        let tasks: Vec<u32> = job.assignments.keys().copied().collect();
        if self.authority.record_peer_cancellation(now, id) {
            tracing::info!(job = %id, tasks = tasks.len(), "job cancelled, as a peer says");
            let why = "a peer says that it is cancelled";
            self.cluster.stop_tasks(now, id, &tasks, 0.0, why);
        }
    }

    /// Task counts of a job, for display.
    pub fn counts(&self, id: &JobId) -> Option<TaskCounts> {
        self.cluster.task_counts(id)
    }

    /// Counts of done and running tasks that changed since the last call, at most
    /// `most`.
    pub fn changed_counts(&mut self, most: usize) -> Vec<(JobId, u32, u32)> {
        self.status.changed_counts(&self.cluster, most)
    }

    /// Images of machines, with sizes in GB, where they changed since the last call.
    pub fn changed_caches(&mut self) -> Vec<(MachineId, Vec<(Image, f64)>)> {
        self.status.changed_caches(&self.cluster)
    }

    /// Fetch times, in milliseconds, that changed since the last call.
    pub fn changed_fetches(&mut self) -> Vec<(Image, u64)> {
        self.status.changed_fetch_times(&self.cluster)
    }

    /// A peer missed what was sent: everything is sent once more.
    pub fn restart_broadcast(&mut self) {
        self.status.resend_everything();
    }

    /// Takes over what the last leader sent of a machine's images.
    pub fn inherit_cache(&mut self, now: Time, id: &MachineId, images: &[(Image, f64)]) {
        self.cluster.inherit_cache(now, id, images);
    }

    /// Everything an operator may ask for, of machines and jobs whose names
    /// begin like this.
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

    /// Whether all that is stored has the format in force.
    pub fn is_rewritten(&self) -> bool {
        self.writer.is_rewritten(self.format_version)
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

    /// Writes off machines whose leases have expired, and has those terminated that are
    /// of no use any more.
    fn check_machine_health(&mut self, at: Now) {
        self.expire_leases(at);
        self.cluster
            .retire_machines(at.time, self.autoscaler.last_list);
        self.autoscaler
            .record_releases(&self.cluster.machines, at.wall);
    }

    /// Makes the next call to the cloud, if one is due.
    fn call_cloud(&mut self, effects: &mut Effects) {
        let cluster = &self.cluster;
        self.autoscaler
            .settle_intents(effects.now, cluster, &mut self.quarantine);
        if self.may_start(effects.now.time) {
            self.autoscaler
                .make_next_call(effects, cluster, self.token, &mut self.pending_calls);
        }
    }

    /// Stores recent arrivals now and then, if the format in force has them.
    fn store_arrivals(&mut self, at: Now) {
        if self.format_version < WITH_HISTORY {
            return;
        }
        let window = TimeSpan::secs(self.cluster.policy.floor_window_s);
        let value_bytes = self.cluster.settings.state_limits.value_bytes;
        let pending_writes = &mut self.autoscaler.intents.pending_writes;
        self.arrivals
            .store_if_due(at, window, value_bytes, pending_writes);
    }

    /// Writes off machines whose leases have expired.
    fn expire_leases(&mut self, at: Now) {
        let inherited_until = self.leading_since + self.authority.inherited();
        let mut recorder = QuarantineRecorder {
            quarantine: &mut self.quarantine,
            pending_writes: &mut self.autoscaler.intents.pending_writes,
        };
        self.cluster
            .expire_leases(at, &mut recorder, inherited_until);
    }

    fn records(&mut self) -> RecordParts<'_> {
        RecordParts {
            records: &mut self.records,
            context: RecordContext {
                holder: self.holder,
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

    fn writer(&mut self) -> WriterParts<'_> {
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

    /// Sends the next transaction, if there is anything to write.
    fn submit_next_transaction(&mut self, effects: &mut Effects) {
        let mut parts = self.writer();
        parts
            .writer
            .submit_next_transaction(effects, &mut parts.context, parts.pending_calls);
    }

    /// A transaction was answered, or not.
    pub fn handle_commit_reply(
        &mut self,
        effects: &mut Effects,
        reply: Reply,
    ) -> LeadershipOutcome {
        let mut parts = self.writer();
        parts
            .writer
            .handle_commit_reply(effects, &mut parts.context, parts.pending_calls, reply)
    }

    fn handle_own_write_read(&mut self, op: &Operation, reply: Reply) -> LeadershipOutcome {
        let mut parts = self.writer();
        parts
            .writer
            .handle_own_write_read(&mut parts.context, op, reply)
    }

    fn queue_outdated_chunks(&mut self, now: Time) {
        self.writer
            .queue_outdated_chunks(now, &mut self.cluster, self.format_version);
    }
}

/// The reader of records with everything that it acts on.
struct RecordParts<'a> {
    records: &'a mut RecordWatcher,
    context: RecordContext<'a>,
}

/// The transaction writer with everything that it acts on.
struct WriterParts<'a> {
    writer: &'a mut TransactionWriter,
    pending_calls: &'a mut PendingCalls<PendingCall>,
    context: WriteContext<'a>,
}

#[cfg(test)]
mod tests;
