//! Writing what changed: conditional transactions on the key-value store, one at a
//! time, ahead of everything that depends on them. Decides nothing about the content.

use super::cluster_state::ClusterState;
use super::commit_effects::{
    apply_stored_chunk, apply_stored_outcome, forget_deleted_chunks, log_done,
};
use super::outcome::LeadershipOutcome;
use super::pending_call::PendingCall;
use super::status_broadcast::StatusBroadcaster;
use super::transaction_contents::{
    add_dirty_chunks, add_finished_jobs, add_job_deletions, add_pending_deletes, add_pending_puts,
};
use crate::core::autoscaler::intents::Intents;
use crate::core::effects::{Effects, PendingCalls};
use crate::core::format_version::chunk_progress::ChunkProgress;
use crate::core::format_version::{FormatVersion, WITH_HISTORY};
use crate::core::garbage_collection::GarbageCollector;
use crate::core::job_records::{
    self, BuiltTransaction, CommitItem, CommitPipeline, ConditionalWrite, Job, TransactionBuilder,
    TransactionLimits,
};
use crate::core::{Reply, Target};
use crate::types::{FencingToken, JobId, MachineId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::{Entry, Operation, Transaction, TransactionResponse};
use crate::wire::rate_limit::TokenBucket;
use std::collections::BTreeSet;

/// Records rewritten in a newer format at once, and time between two such steps.
const MAX_REWRITTEN: usize = 4;
const REWRITE_INTERVAL: TimeSpan = TimeSpan::millis(250);
/// Least time between two commits.
const COMMIT_GAP: TimeSpan = TimeSpan::millis(40);
/// Pause where the rate limit of calls lets no commit through.
const RATE_LIMITED_PAUSE: TimeSpan = TimeSpan::millis(50);
/// How long a commit, and the read of a record it wrote, may take.
const COMMIT_TIMEOUT: TimeSpan = TimeSpan::millis(1000);
const READ_TIMEOUT: TimeSpan = TimeSpan::millis(2000);
/// Pauses after commits that failed.
const SHORTEST_BACKOFF: TimeSpan = TimeSpan::millis(100);
const LONGEST_BACKOFF: TimeSpan = TimeSpan::millis(1000);
/// Operations that the rate limit must allow for a transaction to be built.
const LEAST_OPERATIONS: usize = 4;
/// Share of the store's write rate that the leader uses.
const WRITE_SHARE: f64 = 0.7;

/// Writes the leader's changes, one transaction at a time.
#[derive(Debug)]
pub(in crate::core) struct TransactionWriter {
    /// The key whose version is the fencing token.
    holder: &'static str,
    /// The fencing token that every transaction compares.
    token: FencingToken,
    /// The transaction in flight.
    pub pipeline: CommitPipeline,
    /// Pause after a commit that failed.
    pub backoff: Backoff,
    /// Operations that may be written now.
    pub write_tokens: TokenBucket,
    /// Chunks whose record has an older format than the version in force writes.
    pub outdated_chunks: BTreeSet<(JobId, u32)>,
    /// When the next of them are rewritten.
    pub rewrite_due: Time,
    /// Deletes keys that belong to no job.
    pub garbage_collector: GarbageCollector,
}

impl TransactionWriter {
    /// Nothing to write; the store takes `write_rps` operations a second in all.
    pub fn new(
        holder: &'static str,
        token: FencingToken,
        write_rps: f64,
        now: Time,
    ) -> TransactionWriter {
        let rate = write_rps * WRITE_SHARE;
        TransactionWriter {
            holder,
            token,
            pipeline: CommitPipeline::default(),
            backoff: Backoff::default(),
            write_tokens: TokenBucket::new(rate, rate),
            outdated_chunks: BTreeSet::new(),
            rewrite_due: now,
            garbage_collector: GarbageCollector::default(),
        }
    }
}

/// The parts whose changes a transaction carries, and that act on what is stored.
pub(in crate::core) struct WriteContext<'a> {
    /// The tables and their unwritten changes.
    pub cluster: &'a mut ClusterState,
    /// What the cloud is to do, and the small records that ride along.
    pub intents: &'a mut Intents,
    /// Machines whose deferred heartbeats may be answered now.
    pub machines_with_stored_starts: &'a mut BTreeSet<MachineId>,
    /// Forgets jobs that are deleted.
    pub status: &'a mut StatusBroadcaster,
    /// The format version in force.
    pub format: FormatVersion,
}

impl TransactionWriter {
    /// Sends the next transaction, if there is anything to write.
    pub fn submit_next_transaction(
        &mut self,
        effects: &mut Effects,
        context: &mut WriteContext<'_>,
        pending_calls: &mut PendingCalls<PendingCall>,
    ) {
        let now = effects.now.time;
        if self.pipeline.call_outstanding || now < self.pipeline.not_before {
            return;
        }
        if self.pipeline.in_flight.is_none() {
            self.pipeline.in_flight = self.build_transaction(now, context);
            self.pipeline.outcome_unknown = false;
        }
        let Some(BuiltTransaction { transaction, .. }) = &self.pipeline.in_flight else {
            return;
        };
        if !effects.leader_calls.take(now, 1.0) {
            self.pipeline.not_before = now + RATE_LIMITED_PAUSE;
            return;
        }
        self.pipeline.call_outstanding = true;
        let body = wire::encode(transaction);
        let path = "/commit".to_string();
        let call = effects.call(Target::Store, "POST", path, body, COMMIT_TIMEOUT);
        pending_calls.add(call, PendingCall::Commit);
    }

    /// Collects the most urgent changes into a transaction, up to its limits and the
    /// rate limit.
    pub fn build_transaction(
        &mut self,
        now: Time,
        context: &mut WriteContext<'_>,
    ) -> Option<BuiltTransaction> {
        let limits = context.cluster.settings.state_limits;
        let ops = limits.txn_ops.min(self.write_tokens.level(now) as usize);
        if ops < LEAST_OPERATIONS {
            return None;
        }
        let limits = TransactionLimits {
            ops,
            value_bytes: limits.value_bytes,
        };
        let mut builder = TransactionBuilder::new(self.holder, self.token, limits);
        add_pending_puts(&mut builder, &mut context.intents.pending_writes);
        add_finished_jobs(&mut builder, context.cluster);
        add_dirty_chunks(&mut builder, now, context.cluster, context.format);
        add_job_deletions(&mut builder, context.cluster);
        add_pending_deletes(&mut builder, &mut context.intents.pending_writes);
        if builder.is_empty() {
            // Nothing else is to be written: time to clean up.
            for (orphan, conditions, op) in self.garbage_collector.take_next(builder.room()) {
                let write = ConditionalWrite {
                    preconditions: conditions,
                    operations: vec![op],
                };
                builder.add(CommitItem::DeleteOrphan(orphan), write);
            }
        }
        let built = builder.finish()?;
        self.write_tokens
            .take(now, built.transaction.ops.len() as f64);
        Some(built)
    }

    /// A transaction was answered, or not.
    pub fn handle_commit_reply(
        &mut self,
        effects: &mut Effects,
        context: &mut WriteContext<'_>,
        pending_calls: &mut PendingCalls<PendingCall>,
        reply: Reply,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        self.pipeline.call_outstanding = false;
        let Some(BuiltTransaction { transaction, items }) = self.pipeline.in_flight.take() else {
            return LeadershipOutcome::Continue;
        };
        let pause = self
            .backoff
            .failed(SHORTEST_BACKOFF, LONGEST_BACKOFF, effects.jitter());
        match reply {
            Reply::Answer(200, body) => {
                self.handle_committed(now, context, &transaction, items, &body)
            }
            Reply::Answer(409, body) if self.pipeline.outcome_unknown => {
                self.check_own_write(effects, pending_calls, transaction, items, &body)
            }
            Reply::Answer(409, body) => self.handle_conflict(now, context, items, &body),
            Reply::Answer(400, _) => LeadershipOutcome::StepDown("a commit was malformed"),
            Reply::Answer(..) | Reply::NotSent if !self.pipeline.outcome_unknown => {
                for item in items {
                    self.requeue(now, context, item);
                }
                self.pipeline.not_before = now + pause;
                LeadershipOutcome::Continue
            }
            Reply::Answer(..) | Reply::NotSent | Reply::Lost => {
                self.pipeline.outcome_unknown |= matches!(reply, Reply::Lost);
                self.pipeline.in_flight = Some(BuiltTransaction { transaction, items });
                self.pipeline.not_before = now + pause;
                LeadershipOutcome::Continue
            }
        }
    }

    /// A transaction went through.
    fn handle_committed(
        &mut self,
        now: Time,
        context: &mut WriteContext<'_>,
        transaction: &Transaction,
        items: Vec<CommitItem>,
        body: &[u8],
    ) -> LeadershipOutcome {
        self.backoff.succeeded();
        self.pipeline.not_before = now + COMMIT_GAP;
        self.pipeline.last_committed = Some(now);
        let Some(answer) = wire::decode::<TransactionResponse>(body) else {
            return LeadershipOutcome::StepDown("a commit's answer could not be read");
        };
        for item in items {
            self.apply_committed(context, item, transaction, answer.revision);
        }
        LeadershipOutcome::Continue
    }

    /// A repeat found a precondition failed. Either the first try, whose answer was
    /// lost, went through, or something else changed: what is recorded decides.
    fn check_own_write(
        &mut self,
        effects: &mut Effects,
        pending_calls: &mut PendingCalls<PendingCall>,
        transaction: Transaction,
        items: Vec<CommitItem>,
        body: &[u8],
    ) -> LeadershipOutcome {
        let failed = failed_keys(body);
        let is_compared = |key: &str| transaction.conditions.iter().any(|c| c.key == key);
        let own = transaction.ops.iter().find(
            |op| matches!(op, Operation::Put { key, .. } if is_compared(key) && failed.contains(key)),
        );
        let own = own.cloned();
        let Some(op) = own.filter(|_| failed.iter().all(|key| key != self.holder)) else {
            return LeadershipOutcome::StepDown("a write's fate is unknown");
        };
        let path = format!("/keys/{}", op.key());
        self.pipeline.in_flight = Some(BuiltTransaction { transaction, items });
        self.pipeline.call_outstanding = true;
        let call = effects.call(Target::Store, "GET", path, Vec::new(), READ_TIMEOUT);
        pending_calls.add(call, PendingCall::Written(op));
        LeadershipOutcome::Continue
    }

    /// A precondition failed, and no answer to this transaction was lost.
    fn handle_conflict(
        &mut self,
        now: Time,
        context: &mut WriteContext<'_>,
        items: Vec<CommitItem>,
        body: &[u8],
    ) -> LeadershipOutcome {
        self.pipeline.not_before = now + COMMIT_GAP;
        let failed = failed_keys(body);
        if failed.iter().any(|key| key == self.holder) {
            return LeadershipOutcome::StepDown("a commit found another leader");
        }
        let is_cleanup = items
            .iter()
            .any(|item| matches!(item, CommitItem::DeleteOrphan(_)));
        let is_progress = |key: &String| key.starts_with(job_records::PROGRESS_RECORDS);
        if !is_cleanup && failed.iter().any(is_progress) {
            return LeadershipOutcome::StepDown("a record was changed by somebody else");
        }
        let is_over = |id: &JobId| failed.contains(&job_records::job_header_key(id));
        for item in items {
            match &item {
                // Nothing of a job that is over is started, whether or not the watch
                // has shown its end yet.
                CommitItem::Chunk { job, .. } if is_over(job) => {
                    context.cluster.cancel_job_ended_elsewhere(now, job);
                }
                // The watch shows a job cancelled in the meantime.
                CommitItem::Finish(id) | CommitItem::FinishAndDelete(id) if is_over(id) => {}
                // An orphan that is none after all, or has changed, stays.
                CommitItem::DeleteOrphan(_) => {}
                _ => self.requeue(now, context, item),
            }
        }
        LeadershipOutcome::Continue
    }

    /// A record that the transaction in flight writes was read, after a repeat found it
    /// changed. Only the holder of this token writes it, one transaction at a time, and
    /// all before this one are settled: if it is newer than what was compared, and as this
    /// one would write it, the first try went through, whole, at its version. Else
    /// everything is started over from what is recorded.
    pub fn handle_own_write_read(
        &mut self,
        context: &mut WriteContext<'_>,
        op: &Operation,
        reply: Reply,
    ) -> LeadershipOutcome {
        self.pipeline.call_outstanding = false;
        let unknown = LeadershipOutcome::StepDown("a write's fate is unknown");
        let Some(BuiltTransaction { transaction, items }) = self.pipeline.in_flight.take() else {
            return unknown;
        };
        let Reply::Answer(200, body) = reply else {
            return unknown;
        };
        let compared = transaction.conditions.iter().find(|c| c.key == op.key());
        let found = wire::decode::<Entry>(&body);
        let (Some(compared), Some(found), Operation::Put { value, .. }) = (compared, found, op)
        else {
            return unknown;
        };
        if found.version <= compared.version || found.value != *value {
            return unknown;
        }
        self.backoff.succeeded();
        for item in items {
            self.apply_committed(context, item, &transaction, found.version);
        }
        LeadershipOutcome::Continue
    }

    /// Has the next records written in the format in force: a few at a time, and
    /// only while less than half of the write rate is used.
    pub fn queue_outdated_chunks(
        &mut self,
        now: Time,
        cluster: &mut ClusterState,
        format: FormatVersion,
    ) {
        if format < WITH_HISTORY || now < self.rewrite_due || self.outdated_chunks.is_empty() {
            return;
        }
        self.rewrite_due = now + REWRITE_INTERVAL;
        if self.write_tokens.level(now) < self.write_tokens.burst() / 2.0 {
            return;
        }
        let jobs = &cluster.jobs;
        // What is over is deleted, and needs no rewriting.
        self.outdated_chunks
            .retain(|(id, _)| jobs.get(id).is_some_and(Job::is_open));
        let is_writable = |(id, _): &&(JobId, u32)| {
            jobs.get(id)
                .is_some_and(|job| job.is_open() && !job.unreadable)
        };
        let next = self.outdated_chunks.iter().filter(is_writable);
        let next: Vec<(JobId, u32)> = next.take(MAX_REWRITTEN).cloned().collect();
        for chunk in next {
            cluster.unwritten.dirty_chunks.mark(chunk, now, false);
        }
    }

    /// Whether all that is stored has the format in force.
    pub fn is_rewritten(&self, format: FormatVersion) -> bool {
        format < WITH_HISTORY || self.outdated_chunks.is_empty()
    }

    /// An item was not written: it goes with a later transaction.
    fn requeue(&mut self, now: Time, context: &mut WriteContext<'_>, item: CommitItem) {
        let unwritten = &mut context.cluster.unwritten;
        match item {
            CommitItem::Chunk { job, chunk, .. } => {
                unwritten.dirty_chunks.mark((job, chunk), now, true);
            }
            CommitItem::Finish(id) | CommitItem::FinishAndDelete(id) => {
                unwritten.finished_jobs.insert(id);
            }
            CommitItem::DeleteRecords(id, _) => {
                unwritten.jobs_to_delete.insert(id);
            }
            CommitItem::LeaderRecord(key, value) => {
                context.intents.pending_writes.put_back(key, value);
            }
            CommitItem::DeleteOrphan(orphan) => self.garbage_collector.put_back(orphan),
        }
    }

    /// An item is stored, by this transaction at this revision.
    pub fn apply_committed(
        &mut self,
        context: &mut WriteContext<'_>,
        item: CommitItem,
        transaction: &Transaction,
        revision: Version,
    ) {
        match item {
            CommitItem::Chunk { job, chunk, change } => {
                self.record_chunk_format(&job, chunk, transaction);
                apply_stored_chunk(context, &job, chunk, change, revision);
            }
            CommitItem::Finish(id) => apply_stored_outcome(context.cluster, id),
            CommitItem::FinishAndDelete(id) => {
                if let Some(job) = context.cluster.jobs.get(&id) {
                    log_done(&id, job);
                }
                self.forget_job(context, &id);
            }
            CommitItem::LeaderRecord(key, Some(_)) => context.intents.mark_stored(&key),
            CommitItem::LeaderRecord(_, None) => {}
            CommitItem::DeleteOrphan(_) => self.garbage_collector.deleted += 1,
            CommitItem::DeleteRecords(id, true) => self.forget_job(context, &id),
            CommitItem::DeleteRecords(id, false) => {
                forget_deleted_chunks(context.cluster, &id, transaction);
                context.cluster.unwritten.jobs_to_delete.insert(id);
            }
        }
    }

    /// Nothing of a job is left, here or stored. What is noted of its records goes
    /// too: where a format version is held back for weeks it would pile up.
    fn forget_job(&mut self, context: &mut WriteContext<'_>, id: &JobId) {
        let job = context.cluster.jobs.remove(id);
        for chunk in job.iter().flat_map(|job| job.chunks.keys()) {
            self.outdated_chunks.remove(&(id.clone(), *chunk));
        }
        context.status.forget_job(id);
    }

    /// Records whether a chunk that was stored has the format in force.
    fn record_chunk_format(&mut self, id: &JobId, chunk: u32, transaction: &Transaction) {
        let chunk_key = job_records::chunk_key(id, chunk);
        let value = transaction.ops.iter().find_map(|op| match op {
            Operation::Put { key, value, .. } if *key == chunk_key => Some(value),
            _ => None,
        });
        let chunk = (id.clone(), chunk);
        if value.is_some_and(|value| ChunkProgress::is_of(value, WITH_HISTORY)) {
            self.outdated_chunks.remove(&chunk);
        } else {
            self.outdated_chunks.insert(chunk);
        }
    }
}

/// The keys whose precondition failed, by the answer to a transaction.
fn failed_keys(body: &[u8]) -> Vec<String> {
    wire::decode::<TransactionResponse>(body)
        .unwrap_or_default()
        .failed
}

#[cfg(test)]
mod tests;
