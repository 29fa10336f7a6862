//! The leading controller: loads what is recorded, follows changes, places
//! work every cycle and writes its decisions ahead of sending them.

mod arrival_recorder;
mod autoscaling;
mod cluster_state;
mod command_dispatch;
mod commit_pipeline;
mod cycle_inputs;
mod heartbeat_reconciliation;
mod job_objectives;
mod outcome;
mod pending_call;
mod placement_requests;
mod preemption_search;
mod record_watch;
mod scheduler;
mod service_levels;
mod status_broadcast;
mod task_completion;
mod task_lifecycle;
mod task_reconciliation;

use self::arrival_recorder::{Arrival, ArrivalRecorder};
use self::cluster_state::ClusterState;
use self::command_dispatch::CommandDispatcher;
use self::commit_pipeline::{TransactionWriter, WriteContext};
use self::heartbeat_reconciliation::{HeartbeatContext, HeartbeatReconciler};
pub use self::outcome::LeadershipOutcome;
pub use self::pending_call::PendingCall;
use self::record_watch::{LoadPhase, RecordWatcher};
use self::scheduler::Scheduler;
use self::status_broadcast::StatusBroadcaster;
pub use self::status_broadcast::TaskCounts;
use self::task_completion::QuarantineRecorder;
use super::autoscaler::state::Autoscaler;
use super::effects::{Effects, PendingCalls};
use super::failpoints::{self, SafetyCheck};
use super::format_version::chunk_progress::ChunkProgress;
use super::format_version::{FormatVersion, WITH_HISTORY};
use super::job_records::{self, HeaderStage, Job, JobOutcome, Watched};
use super::leader_authority::{Bounds, LeaderAuthority};
use super::machine::{Machine, MachineLifecycle};
use super::quarantine::Quarantine;
use super::quota::arrival_history::{self, ArrivalHistory};
use super::{Reply, RequestId, Target};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{FencingToken, JobId, MachineId, TaskId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::cloud::MachineTypes;
use crate::wire::kvstore::{Entry, EntryPage, Operation, WatchEvent, WatchResponse};
use crate::wire::workers::Heartbeat;
use std::rc::Rc;

/// Time between looks for machines that fell silent or are gone.
const LOOK_EVERY: TimeSpan = TimeSpan::millis(200);
/// Changes of the state service that no rate bounds, as when leases end.
const MOST_AT_ONCE: u64 = 10_000;
/// Time between two times at which what came of late is stored.
const MEMORY_EVERY: TimeSpan = TimeSpan::millis(30_000);
/// Arrivals kept per class.
const MOST_ARRIVALS: usize = 2048;

/// The leader: what its term rests on, and the parts that do its work.
#[derive(Debug)]
pub struct Leader {
    /// The fencing token.
    pub token: FencingToken,
    /// The key whose version is the token.
    pub holder: &'static str,
    /// The format version in force.
    pub level: FormatVersion,
    /// Changes of leader and format-version keys that the watch showed.
    pub news: Vec<WatchEvent>,
    /// The lease that the token hangs on.
    pub lease: u64,
    /// Calls under way.
    pub pending_calls: PendingCalls<PendingCall>,
    /// When it began to lead.
    pub office: Time,
    /// Until when it may answer heartbeats and start tasks.
    pub authority: LeaderAuthority,
    next_health_check: Time,
    pub(super) cluster: ClusterState,
    records: RecordWatcher,
    pub(super) writer: TransactionWriter,
    pub(super) scheduler: Scheduler,
    pub(super) heartbeats: HeartbeatReconciler,
    pub(super) commands: CommandDispatcher,
    pub(super) autoscaler: Autoscaler,
    pub(super) quarantine: Quarantine,
    pub(super) arrivals: ArrivalRecorder,
    pub(super) status: StatusBroadcaster,
}

impl Leader {
    /// A leader that has just got its token.
    pub fn new(
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        (holder, token, lease): (&'static str, FencingToken, u64),
        level: FormatVersion,
        now: Time,
        types: &MachineTypes,
    ) -> Leader {
        let mut leader = Leader {
            token,
            holder,
            level,
            news: Vec::new(),
            lease,
            pending_calls: PendingCalls::default(),
            office: now,
            authority: LeaderAuthority::new(Bounds::new(&settings.workers), now),
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
        leader.set_types(types);
        leader
    }

    /// Takes over machine types read from the cloud or the state service.
    pub fn set_types(&mut self, types: &MachineTypes) {
        self.cluster.set_machine_types(types);
    }

    /// Whether everything recorded has been read.
    pub fn is_loaded(&self) -> bool {
        self.authority.is_loaded()
    }

    /// Whether reports may be answered.
    pub fn may_answer(&self, now: Time) -> bool {
        self.authority.may_answer(now)
    }

    /// Whether tasks may be started.
    pub fn may_start(&self, now: Time) -> bool {
        self.authority.may_start(now)
    }

    /// Machines that it knows of, and those that have reported under its token.
    pub fn machines_heard(&self) -> (usize, usize) {
        let heard = self
            .cluster
            .machines
            .values()
            .filter(|m| m.our_token_since.is_some());
        (self.cluster.machines.len(), heard.count())
    }

    /// Whether it knows of a machine.
    pub fn knows(&self, machine: &MachineId) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Does what is due as time passes.
    pub fn tick(&mut self, effects: &mut Effects) {
        if !self.records.reading && effects.now.time >= self.records.next_read {
            self.read_on(effects);
        }
        if self.is_loaded() {
            if effects.now.time >= self.next_health_check {
                self.next_health_check = effects.now.time + LOOK_EVERY;
                self.expire_leases(effects.now);
                self.give_up_machines(effects.now.time);
                self.mean_releases(effects.now.wall);
            }
            self.rental_tick(effects);
            self.commands.send_announcements(effects, &self.cluster);
            self.queue_outdated_chunks(effects.now.time);
            self.store_memory(effects.now);
        }
    }

    /// Does what any input may have made due.
    pub fn advance(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        self.scheduler.adjust_pace(now);
        if self.scheduler.is_cycle_due(now) && self.may_start(now) {
            let interval = TimeSpan::secs(self.cluster.policy.cycle_s);
            self.scheduler.begin_cycle(now, interval);
            let result = self.scheduler.run_cycle(
                effects.now,
                &mut self.cluster,
                &self.authority,
                &self.arrivals,
            );
            self.plan_rental(effects, &result.unplaced, &result.rows);
            self.scheduler.cycles += 1;
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

    fn read_on(&mut self, effects: &mut Effects) {
        let (path, timeout) = match &self.records.load {
            LoadPhase::Watched(got) => (page(job_records::WATCHED, got), TimeSpan::secs(3.0)),
            LoadPhase::ProgressRecords(got) => (
                page(job_records::PROGRESS_RECORDS, got),
                TimeSpan::secs(3.0),
            ),
            LoadPhase::LeaderRecords(got) => {
                (page(super::keys::LEADER_RECORDS, got), TimeSpan::secs(3.0))
            }
            LoadPhase::Done => {
                let hold = self.authority.watch(effects.now.time);
                (
                    format!(
                        "/changes?starts={}&since={}&hold_ms={}",
                        job_records::WATCHED,
                        self.records.revision,
                        hold.as_millis()
                    ),
                    hold + TimeSpan::secs(3.0),
                )
            }
        };
        self.records.reading = true;
        let sent = effects.now.time;
        let id = effects.call(Target::State, "GET", path, Vec::new(), timeout);
        self.pending_calls.add(id, PendingCall::Read { sent });
    }

    /// Takes a reply to one of its calls.
    pub fn on_reply(
        &mut self,
        effects: &mut Effects,
        what: PendingCall,
        reply: Reply,
    ) -> LeadershipOutcome {
        match what {
            PendingCall::Read { sent } => self.on_read(effects, sent, reply),
            PendingCall::Commit => self.on_commit(effects, reply),
            PendingCall::Written(op) => self.on_written(&op, reply),
            PendingCall::Cloud(call, by) => self.on_cloud(effects, call, by, reply),
        }
    }

    /// A read of the records or of changes was answered, or not.
    pub fn on_read(
        &mut self,
        effects: &mut Effects,
        sent: Time,
        reply: Reply,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        self.records.reading = false;
        let (status, body) = match reply {
            Reply::Answer(status, body) => (status, body),
            Reply::NotSent | Reply::Lost => (0, Vec::new()),
        };
        if status == 410 {
            // Fell behind by more than the service keeps: start over.
            return LeadershipOutcome::StepDown("changes were missed");
        }
        if status != 200 {
            let jitter = effects.jitter();
            self.records.next_read = now
                + self
                    .records
                    .backoff
                    .failed(TimeSpan::millis(150), TimeSpan::secs(1.0), jitter);
            return LeadershipOutcome::Continue;
        }
        self.records.backoff.succeeded();
        self.records.next_read = now;
        if !self.is_loaded() {
            return self.on_page(effects.now, sent, &body);
        }
        let Some(changes) = wire::decode::<WatchResponse>(&body) else {
            return LeadershipOutcome::StepDown("changes could not be read");
        };
        let fate = self.apply(effects, changes);
        self.authority.showed(sent);
        for id in self.authority.refuted() {
            if self.cluster.jobs.get(&id).is_some_and(Job::is_open) {
                tracing::error!(job = %id, "said to be cancelled by a peer, and is not; it goes on");
            }
        }
        fate
    }

    fn on_page(&mut self, now: super::Now, sent: Time, body: &[u8]) -> LeadershipOutcome {
        let Some(page) = wire::decode::<EntryPage>(body) else {
            return LeadershipOutcome::StepDown("records could not be read");
        };
        let more = page.more;
        // Changes are followed from the first page on; what a later page
        // already shows is applied twice without harm.
        let revision = *self
            .records
            .first_page_revision
            .get_or_insert(page.revision);
        self.authority.page(sent);
        match &mut self.records.load {
            LoadPhase::Watched(got) => {
                got.extend(page.items);
                if !more {
                    self.records.revision = revision;
                    let got = std::mem::take(got);
                    if let Some(fate) = self.load_watched(got) {
                        return fate;
                    }
                    self.records.load = LoadPhase::ProgressRecords(Vec::new());
                }
            }
            LoadPhase::ProgressRecords(got) => {
                got.extend(page.items);
                if !more {
                    let got = std::mem::take(got);
                    self.load_records(now.time, got);
                    self.records.load = LoadPhase::LeaderRecords(Vec::new());
                }
            }
            LoadPhase::LeaderRecords(got) => {
                got.extend(page.items);
                if !more {
                    let got = std::mem::take(got);
                    self.load_duties(now, got);
                    if !failpoints::enforced(SafetyCheck::FollowsFromTheFirstPage) {
                        self.records.revision = page.revision;
                    }
                    self.records.load = LoadPhase::Done;
                    self.authority.loaded(sent);
                    tracing::info!(token = %self.token, jobs = self.cluster.jobs.len(), machines = self.cluster.machines.len(), "leading");
                }
            }
            LoadPhase::Done => {}
        }
        LeadershipOutcome::Continue
    }

    fn load_watched(&mut self, entries: Vec<Entry>) -> Option<LeadershipOutcome> {
        let mut holds = false;
        for e in &entries {
            match job_records::watched(&e.key) {
                Watched::Office => {
                    holds |= e.key == self.holder && e.version.0 == self.token.0;
                    self.news.push(WatchEvent {
                        put: Some(e.key.clone()),
                        delete: None,
                        value: e.value.clone(),
                        version: e.version,
                    });
                }
                Watched::Part(id, n) => self.records.assembler.part(id, n, &e.value),
                _ => {}
            }
        }
        if !holds {
            return Some(LeadershipOutcome::StepDown(
                "the lease ran out while loading",
            ));
        }
        let submitted = entries
            .iter()
            .filter_map(|e| match job_records::watched(&e.key) {
                Watched::Job(id) => Some(id),
                _ => None,
            });
        self.records.submitted = submitted.collect();
        for e in &entries {
            let there = |id: &JobId| self.records.submitted.contains(id);
            self.writer.garbage_collector.look(&e.key, e.version, there);
        }
        for e in &entries {
            if let Watched::Job(id) = job_records::watched(&e.key) {
                self.add_job(&id, e.version, &e.value);
            }
        }
        for e in &entries {
            if let Watched::JobOutcome(id) = job_records::watched(&e.key)
                && let Some(job) = self.cluster.jobs.get_mut(&id)
            {
                job.end = Some(
                    match job_records::read::<job_records::JobHeader>(&e.value) {
                        Some(h) if h.s == HeaderStage::Done => JobOutcome::Done { written: true },
                        _ => JobOutcome::Cancelled,
                    },
                );
            }
        }
        None
    }

    fn add_job(&mut self, id: &JobId, version: Version, value: &serde_json::Value) {
        if self.cluster.jobs.contains_key(id) {
            return;
        }
        match self.records.assembler.job(id, version, value) {
            Some(job) => {
                self.note_arrival(&job);
                // A new leader reads all open jobs at once: that is no news.
                if self.is_loaded() {
                    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, tasks = job.spec.tasks, image = %job.spec.image, "accepted");
                }
                self.cluster.jobs.insert(id.clone(), job);
            }
            None => tracing::error!(job = %id, "record of the submission cannot be read"),
        }
    }

    fn note_arrival(&mut self, job: &Job) {
        let needs = job.spec.needs();
        let per_machine = self
            .cluster
            .machine_types
            .values()
            .map(|t| needs.count_in(&t.has(), u32::MAX))
            .max()
            .unwrap_or(1)
            .max(1);
        let machines = f64::from(job.spec.tasks) / f64::from(per_machine);
        let all = self
            .arrivals
            .by_class
            .entry(job.spec.class.clone())
            .or_default();
        all.push_back(Arrival {
            at: job.at,
            team: job.spec.team.clone(),
            machines,
            run_s: job.spec.estimate_s,
        });
        if all.len() > MOST_ARRIVALS {
            all.pop_front();
        }
    }

    fn memory(&self) -> ArrivalHistory {
        let mut memory = ArrivalHistory::new(TimeSpan::secs(self.cluster.policy.floor_window_s));
        for (class, arrivals) in &self.arrivals.by_class {
            for a in arrivals {
                memory.note(a.at, class, &a.team, a.machines, a.run_s);
            }
        }
        memory
    }

    /// Stores what came of late now and then, if the level in force has it.
    fn store_memory(&mut self, at: super::Now) {
        if self.level < WITH_HISTORY || at.time < self.arrivals.store_due {
            return;
        }
        self.arrivals.store_due = at.time + MEMORY_EVERY;
        let bytes = self.cluster.settings.state_limits.value_bytes;
        let value = self.memory().store(at.wall, bytes);
        if value != self.arrivals.stored {
            self.arrivals.stored = value.clone();
            self.autoscaler
                .intents
                .pending_writes
                .put(arrival_history::KEY.into(), value);
        }
    }

    /// Takes over what an earlier leader saw come, and that is over by now.
    fn recall(&mut self, stored: &serde_json::Value) {
        let Some(missing) = self.memory().missing(stored) else {
            tracing::error!(
                key = arrival_history::KEY,
                "cannot be read; floors begin anew"
            );
            return;
        };
        for m in missing {
            let all = self.arrivals.by_class.entry(m.class).or_default();
            let place = all.partition_point(|a| a.at < m.at);
            let arrival = Arrival {
                at: m.at,
                team: m.team,
                machines: m.machines,
                run_s: m.run_s,
            };
            all.insert(place, arrival);
            if all.len() > MOST_ARRIVALS {
                all.pop_front();
            }
        }
    }

    fn load_records(&mut self, now: Time, entries: Vec<Entry>) {
        let submitted = std::mem::take(&mut self.records.submitted);
        for e in entries {
            let Some((id, chunk)) = job_records::record(&e.key) else {
                continue;
            };
            // Without its submission a record is a remnant of an ended job.
            self.writer
                .garbage_collector
                .look(&e.key, e.version, |id| submitted.contains(id));
            let Some(job) = self.cluster.jobs.get_mut(&id) else {
                continue;
            };
            if !ChunkProgress::is_of(&e.value, WITH_HISTORY) {
                self.writer.outdated_chunks.insert((id.clone(), chunk));
            }
            if let Err(why) = job.load_chunk(chunk, e.version, &e.value) {
                tracing::error!(job = %id, key = e.key, %why, "a record cannot be read; its job is left as it is");
            }
        }
        let mut stop = Vec::new();
        for (id, job) in &mut self.cluster.jobs {
            for (&index, p) in &mut job.assignments {
                p.placed = now;
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                self.cluster
                    .machines
                    .entry(p.machine.clone())
                    .or_insert_with(|| Machine::new(now))
                    .take(task, job.spec.needs());
            }
            if job.end.is_none() && !job.is_service() && job.done.len() == job.spec.tasks {
                job.end = Some(JobOutcome::Done { written: false });
                self.cluster.unwritten.finished_jobs.insert(id.clone());
            }
            if !job.is_open() {
                if job.assignments.is_empty() {
                    self.cluster.unwritten.jobs_to_delete.insert(id.clone());
                } else {
                    stop.push(id.clone());
                }
            }
        }
        for id in stop {
            self.cluster.stop_ended_job(now, &id, "its job is over");
        }
    }

    /// Takes over what earlier leaders meant to have done.
    pub(super) fn load_duties(&mut self, now: super::Now, entries: Vec<Entry>) {
        for e in entries {
            if e.key == arrival_history::KEY {
                self.recall(&e.value);
                self.arrivals.stored = e.value;
                continue;
            }
            let go = self.autoscaler.intents.load(&e.key, &e.value, now.wall);
            for id in go {
                self.cluster
                    .register_machine(now.time, &id, &self.autoscaler.intents)
                    .mark_for_termination("an earlier leader meant to release it");
            }
            if let Some((id, drained)) = self.quarantine.load(&e.key, &e.value) {
                let left = self.quarantine.pause_left(&id, now.wall);
                let m = self
                    .cluster
                    .register_machine(now.time, &id, &self.autoscaler.intents);
                m.aside = left.map(|left| now.time + left);
                if drained && m.lifecycle == MachineLifecycle::InService {
                    m.lifecycle = MachineLifecycle::Draining;
                }
            }
        }
        let [provisions, releases, going] = self.autoscaler.intents.open();
        if provisions + releases > 0 {
            tracing::info!(
                provisions,
                releases,
                machines = going,
                "finishing what earlier leaders meant"
            );
        }
    }

    fn apply(&mut self, effects: &mut Effects, changes: WatchResponse) -> LeadershipOutcome {
        let now = effects.now.time;
        for e in &changes.events {
            if let Some(Watched::Part(id, n)) = e.put.as_deref().map(job_records::watched) {
                self.records.assembler.part(id, n, &e.value);
            }
        }
        for e in &changes.events {
            if let Some(key) = &e.delete {
                if key == self.holder {
                    return LeadershipOutcome::StepDown("the lease ran out");
                }
                continue;
            }
            match e.put.as_deref().map(job_records::watched) {
                Some(Watched::Office) => {
                    self.news.push(e.clone());
                    let key = e.put.as_deref() == Some(self.holder);
                    if key && e.version.0 != self.token.0 {
                        return LeadershipOutcome::Deposed(FencingToken(e.version.0));
                    }
                }
                Some(Watched::Job(id)) => {
                    self.add_job(&id, e.version, &e.value);
                    self.scheduler
                        .request_cycle(now, self.cluster.machines.len());
                }
                Some(Watched::JobOutcome(id)) => {
                    let cancelled = job_records::read::<job_records::JobHeader>(&e.value)
                        .is_some_and(|h| h.s == HeaderStage::Cancelled);
                    if cancelled {
                        self.cancelled(now, &id);
                    }
                }
                _ => {}
            }
        }
        self.records.revision = self.records.revision.max(changes.revision);
        LeadershipOutcome::Continue
    }

    fn cancelled(&mut self, now: Time, id: &JobId) {
        if let Some(job) = self.cluster.jobs.get(id) {
            tracing::info!(job = %id, team = %job.spec.team, "cancelled by its user");
            self.cluster.cancel_job(now, id, "its user cancelled it");
        }
    }

    /// A peer told a job's user that it is cancelled: nothing of it is wanted any more,
    /// whether or not the state service can be read. Nothing is deleted on a word.
    pub fn hear_cancelled(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.cluster.jobs.get(id).filter(|j| j.is_open()) else {
            return;
        };
        let tasks: Vec<u32> = job.assignments.keys().copied().collect();
        if self.authority.told(now, id) {
            tracing::info!(job = %id, tasks = tasks.len(), "cancelled, as a peer says");
            self.cluster
                .stop_tasks(now, id, &tasks, 0.0, "a peer says that it is cancelled");
        }
    }

    /// Whether somebody may hold this token: one that was given before what is known
    /// by now would be known too, and so many changes there cannot be since.
    pub fn may_be(&self, now: Time, token: FencingToken) -> bool {
        let rate = self.cluster.settings.state_limits.write_rps * 2.0;
        let since = (self.authority.age(now).as_secs() * rate) as u64;
        let most = self.records.revision.0.saturating_add(since + MOST_AT_ONCE);
        (self.records.revision.0 + 1..=most).contains(&token.0)
    }

    /// Handles a worker's heartbeat; `may_defer`: its answer may wait for work.
    pub fn on_report(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        heartbeat: Heartbeat,
        may_defer: bool,
    ) -> LeadershipOutcome {
        if heartbeat.token > self.token {
            effects.answer_status(request, 421);
            if self.may_be(effects.now.time, heartbeat.token) {
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
    pub fn drop_held(&mut self, effects: &mut Effects) {
        self.heartbeats.drop_deferred(effects);
    }

    /// Writes off machines whose leases have expired.
    fn expire_leases(&mut self, at: super::Now) {
        let inherited_until = self.office + self.authority.inherited();
        let mut recorder = QuarantineRecorder {
            quarantine: &mut self.quarantine,
            pending_writes: &mut self.autoscaler.intents.pending_writes,
        };
        self.cluster
            .expire_leases(at, &mut recorder, inherited_until);
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
                format: self.level,
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
    pub fn on_commit(&mut self, effects: &mut Effects, reply: Reply) -> LeadershipOutcome {
        let mut parts = self.writer();
        parts
            .writer
            .handle_commit_reply(effects, &mut parts.context, parts.pending_calls, reply)
    }

    fn on_written(&mut self, op: &Operation, reply: Reply) -> LeadershipOutcome {
        let mut parts = self.writer();
        parts
            .writer
            .handle_own_write_read(&mut parts.context, op, reply)
    }

    fn queue_outdated_chunks(&mut self, now: Time) {
        self.writer
            .queue_outdated_chunks(now, &mut self.cluster, self.level);
    }

    /// Whether all that is stored has the format in force.
    pub fn is_rewritten(&self) -> bool {
        self.writer.is_rewritten(self.level)
    }
}

/// The transaction writer with everything that it acts on.
struct WriterParts<'a> {
    writer: &'a mut TransactionWriter,
    pending_calls: &'a mut PendingCalls<PendingCall>,
    context: WriteContext<'a>,
}

/// Path of the next page of keys below a prefix.
fn page(prefix: &str, got: &[Entry]) -> String {
    match got.last() {
        Some(e) => format!("/keys?starts={prefix}&since={}&most=500", e.key),
        None => format!("/keys?starts={prefix}&most=500"),
    }
}

#[cfg(test)]
mod tests;
