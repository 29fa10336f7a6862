//! Reads the stored records: all of them, page by page, when a leader starts, and after
//! that their changes, by long polls. How records are applied is in `record_load`.

use super::outcome::LeadershipOutcome;
use super::pending_call::PendingCall;
use super::record_load::RecordContext;
use crate::core::effects::{Effects, PendingCalls};
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{self, HeaderStage, Job, SubmissionAssembler, WatchedKey};
use crate::core::leader_authority::LeaderAuthority;
use crate::core::{Now, Reply, Target, keys};
use crate::types::{FencingToken, JobId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::{Entry, EntryPage, WatchEvent, WatchResponse};
use std::collections::BTreeSet;

/// How long a read may take, in addition to the time for which a watch is held.
const READ_TIMEOUT: TimeSpan = TimeSpan::millis(3000);
/// Shortest and longest pause after a failed read.
const SHORTEST_BACKOFF: TimeSpan = TimeSpan::millis(150);
const LONGEST_BACKOFF: TimeSpan = TimeSpan::millis(1000);
/// Most changes of the key-value store that are not subject to its write rate, such as
/// the expiry of leases.
const MAX_RATE_EXEMPT_CHANGES: u64 = 10_000;
/// By which factor the key-value store may exceed its write rate limit.
const MAX_RATE_EXCESS_FACTOR: f64 = 2.0;

/// Which records are being loaded, with the entries read so far.
#[derive(Debug)]
enum LoadPhase {
    /// Leader keys, format versions, submissions and outcomes.
    Watched(Vec<Entry>),
    /// Progress records of jobs.
    ProgressRecords(Vec<Entry>),
    /// The leader's records: intents, quarantine, arrival history.
    LeaderRecords(Vec<Entry>),
    /// All records are loaded; changes are watched.
    Done,
}

/// Reads records or changes for the leader, with one read in flight at a time.
#[derive(Debug)]
pub(in crate::core) struct RecordWatcher {
    /// How far the load has come.
    phase: LoadPhase,
    /// The revision of the load's first page, from which changes are watched.
    first_page_revision: Option<Version>,
    /// Assembles submissions from their stored parts.
    pub assembler: SubmissionAssembler,
    /// All changes up to this revision have been applied.
    revision: Version,
    /// Whether a read is in flight.
    read_in_flight: bool,
    /// Earliest time of the next read.
    next_read: Time,
    /// Pause after failed reads.
    backoff: Backoff,
    /// Jobs whose submissions were read, whether or not they could be decoded.
    pub submitted: BTreeSet<JobId>,
}

impl RecordWatcher {
    /// A watcher that has read nothing yet.
    pub fn new(now: Time) -> RecordWatcher {
        RecordWatcher {
            phase: LoadPhase::Watched(Vec::new()),
            first_page_revision: None,
            assembler: SubmissionAssembler::default(),
            revision: Version(0),
            read_in_flight: false,
            next_read: now,
            backoff: Backoff::default(),
            submitted: BTreeSet::new(),
        }
    }

    /// Whether another controller may hold this token. The watch would have shown a token
    /// issued up to the current revision, and since the last contact, at `write_rps`
    /// changes a second, the store's revision can only have grown by a bounded number.
    pub fn may_have_been_issued(
        &self,
        token: FencingToken,
        since_contact: TimeSpan,
        write_rps: f64,
    ) -> bool {
        let rate = write_rps * MAX_RATE_EXCESS_FACTOR;
        let changes = (since_contact.as_secs() * rate) as u64;
        let latest = self
            .revision
            .0
            .saturating_add(changes + MAX_RATE_EXEMPT_CHANGES);
        (self.revision.0 + 1..=latest).contains(&token.0)
    }

    /// Sends the next read, if none is in flight and the pause after a failed read is
    /// over.
    pub fn read_next(
        &mut self,
        effects: &mut Effects,
        authority: &LeaderAuthority,
        pending_calls: &mut PendingCalls<PendingCall>,
    ) {
        let sent = effects.now.time;
        if self.read_in_flight || sent < self.next_read {
            return;
        }
        let (path, timeout) = match &self.phase {
            LoadPhase::Watched(read) => {
                (page_path(job_records::WATCHED_PREFIX, read), READ_TIMEOUT)
            }
            LoadPhase::ProgressRecords(read) => (
                page_path(job_records::PROGRESS_RECORDS_PREFIX, read),
                READ_TIMEOUT,
            ),
            LoadPhase::LeaderRecords(read) => {
                (page_path(keys::LEADER_RECORDS_PREFIX, read), READ_TIMEOUT)
            }
            LoadPhase::Done => {
                let hold = authority.next_watch_hold(sent);
                (self.changes_path(hold), hold + READ_TIMEOUT)
            }
        };
        self.read_in_flight = true;
        let call = effects.call(Target::Store, "GET", path, Vec::new(), timeout);
        pending_calls.add(call, PendingCall::Read { sent });
    }

    fn changes_path(&self, hold: TimeSpan) -> String {
        format!(
            "/changes?starts={}&since={}&hold_ms={}",
            job_records::WATCHED_PREFIX,
            self.revision,
            hold.as_millis()
        )
    }

    /// Processes the reply to the read sent at `sent`, or the loss of the reply.
    pub fn handle_read_reply(
        &mut self,
        effects: &mut Effects,
        context: &mut RecordContext<'_>,
        sent: Time,
        reply: Reply,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        self.read_in_flight = false;
        let body = match reply {
            Reply::Answer(200, body) => body,
            // The watcher is behind by more changes than the store keeps: the leader must
            // load everything again.
            Reply::Answer(410, _) => return LeadershipOutcome::StepDown("changes were missed"),
            Reply::Answer(..) | Reply::NotSent | Reply::OutcomeUnknown => {
                let jitter = effects.jitter();
                let pause = self
                    .backoff
                    .next_pause(SHORTEST_BACKOFF, LONGEST_BACKOFF, jitter);
                self.next_read = now + pause;
                return LeadershipOutcome::Continue;
            }
        };
        self.backoff.succeeded();
        self.next_read = now;
        if !context.authority.is_loaded() {
            return self.handle_page(effects.now, context, sent, &body);
        }
        let Some(changes) = wire::decode::<WatchResponse>(&body) else {
            return LeadershipOutcome::StepDown("changes could not be decoded");
        };
        let outcome = self.apply_changes(now, context, changes);
        context.authority.record_read(sent);
        for id in context.authority.take_outdated_reports() {
            if context.cluster.jobs.get(&id).is_some_and(Job::is_open) {
                tracing::error!(job = %id, "job that a peer reported as cancelled is not cancelled; it continues");
            }
        }
        outcome
    }

    /// Processes a page of the load.
    fn handle_page(
        &mut self,
        at: Now,
        context: &mut RecordContext<'_>,
        sent: Time,
        body: &[u8],
    ) -> LeadershipOutcome {
        let Some(page) = wire::decode::<EntryPage>(body) else {
            return LeadershipOutcome::StepDown("records could not be decoded");
        };
        // Changes are watched from the first page's revision on. A change that a later
        // page already shows is applied twice, which does no harm.
        let first_revision = *self.first_page_revision.get_or_insert(page.revision);
        context.authority.record_load_page(sent);
        let read = match &mut self.phase {
            LoadPhase::Watched(read)
            | LoadPhase::ProgressRecords(read)
            | LoadPhase::LeaderRecords(read) => read,
            LoadPhase::Done => return LeadershipOutcome::Continue,
        };
        read.extend(page.items);
        if page.more {
            return LeadershipOutcome::Continue;
        }
        match std::mem::replace(&mut self.phase, LoadPhase::Done) {
            LoadPhase::Watched(entries) => {
                self.revision = first_revision;
                if !context.load_watched(self, &entries) {
                    self.phase = LoadPhase::Watched(Vec::new());
                    return LeadershipOutcome::StepDown("the lease expired while loading");
                }
                self.phase = LoadPhase::ProgressRecords(Vec::new());
            }
            LoadPhase::ProgressRecords(entries) => {
                let submitted = std::mem::take(&mut self.submitted);
                context.load_progress_records(at.time, &submitted, entries);
                self.phase = LoadPhase::LeaderRecords(Vec::new());
            }
            LoadPhase::LeaderRecords(entries) => {
                context.load_leader_records(at, entries);
                self.finish_load(context, sent, page.revision);
            }
            LoadPhase::Done => {}
        }
        LeadershipOutcome::Continue
    }

    /// Completes the load once its last page, requested at `sent`, has been applied.
    fn finish_load(&mut self, context: &mut RecordContext<'_>, sent: Time, last_revision: Version) {
        if !failpoints::enforced(SafetyCheck::WatchStartsAtFirstPage) {
            self.revision = last_revision;
        }
        context.authority.record_load_complete(sent);
        let cluster = &context.cluster;
        tracing::info!(token = %context.token, revision = %self.revision, jobs = cluster.jobs.len(), machines = cluster.machines.len(), "records loaded, leading");
        cluster.log_loaded_usage(context.token);
    }

    /// Applies the changes that the watch shows.
    fn apply_changes(
        &mut self,
        now: Time,
        context: &mut RecordContext<'_>,
        changes: WatchResponse,
    ) -> LeadershipOutcome {
        for event in &changes.events {
            let written = event.put.as_deref().map(job_records::parse_watched_key);
            if let Some(WatchedKey::SubmissionPart(id, number)) = written {
                self.assembler.add_part(id, number, &event.value);
            }
        }
        for event in &changes.events {
            let outcome = self.apply_change(now, context, event);
            if outcome != LeadershipOutcome::Continue {
                return outcome;
            }
        }
        self.revision = self.revision.max(changes.revision);
        LeadershipOutcome::Continue
    }

    fn apply_change(
        &mut self,
        now: Time,
        context: &mut RecordContext<'_>,
        event: &WatchEvent,
    ) -> LeadershipOutcome {
        if let Some(key) = &event.delete {
            if key == context.leader_key {
                return LeadershipOutcome::StepDown("the lease expired");
            }
            return LeadershipOutcome::Continue;
        }
        let Some(key) = event.put.as_deref() else {
            return LeadershipOutcome::Continue;
        };
        match job_records::parse_watched_key(key) {
            WatchedKey::Leadership => {
                context.version_events.push(event.clone());
                if key == context.leader_key && event.version.0 != context.token.0 {
                    return LeadershipOutcome::Deposed(FencingToken(event.version.0));
                }
            }
            WatchedKey::Submission(id) => {
                context.add_job(&mut self.assembler, &id, event.version, &event.value);
                let machines = context.cluster.machines.len();
                context.scheduler.request_cycle(now, machines);
            }
            WatchedKey::JobOutcome(id) => {
                let header = job_records::read_record::<job_records::JobHeader>(&event.value);
                if header.is_some_and(|header| header.stage == HeaderStage::Cancelled) {
                    context.cancel_job(now, &id);
                }
            }
            _ => {}
        }
        LeadershipOutcome::Continue
    }
}

/// Path of the next page of keys with this prefix, after the entries read so far.
fn page_path(prefix: &str, read: &[Entry]) -> String {
    match read.last() {
        Some(last) => format!("/keys?starts={prefix}&since={}&most=500", last.key),
        None => format!("/keys?starts={prefix}&most=500"),
    }
}
