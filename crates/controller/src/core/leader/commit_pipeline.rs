//! Stores the leader's changes by conditional transactions on the key-value store, one at
//! a time. Whatever depends on a change happens only once it is stored. The writer does
//! not decide what is written.

use super::cluster_state::ClusterState;
use super::commit_effects::{
    apply_stored_chunk, apply_stored_outcome, forget_deleted_chunks, log_job_done,
};
use super::outcome::LeadershipOutcome;
use super::pending_call::PendingCall;
use super::record_rewrite::RecordRewriter;
use super::refused_writes::RefusedWrites;
use super::status_broadcast::StatusBroadcaster;
use super::transaction_contents::{
    add_dirty_chunks, add_finished_jobs, add_job_deletions, add_orphan_deletions,
    add_pending_deletes, add_pending_puts,
};
use crate::core::autoscaler::intents::Intents;
use crate::core::effects::{Effects, PendingCalls};
use crate::core::format_version::FormatVersion;
use crate::core::garbage_collection::GarbageCollector;
use crate::core::job_records::{
    self, BuiltTransaction, CommitItem, CommitPipeline, TransactionBuilder, TransactionLimits,
};
use crate::core::store_limits::StoreLimits;
use crate::core::{Reply, Target};
use crate::types::{FencingToken, JobId, MachineId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::{Entry, Operation, Transaction, TransactionResponse};
use crate::wire::rate_limit::TokenBucket;
use std::collections::BTreeSet;

/// Least time between two commits.
const MIN_COMMIT_INTERVAL: TimeSpan = TimeSpan::millis(40);
/// Pause after the rate limit of calls has prevented a commit.
const RATE_LIMITED_PAUSE: TimeSpan = TimeSpan::millis(50);
/// How long a commit may take, and how long the read of a record that it wrote.
const COMMIT_TIMEOUT: TimeSpan = TimeSpan::millis(1000);
const READ_TIMEOUT: TimeSpan = TimeSpan::millis(2000);
/// Shortest and longest pause after a failed commit.
const SHORTEST_BACKOFF: TimeSpan = TimeSpan::millis(100);
const LONGEST_BACKOFF: TimeSpan = TimeSpan::millis(1000);
/// Least number of operations that the rate limit must allow for a transaction to be built.
const MIN_OPERATIONS: usize = 4;
/// Share of the key-value store's write rate that the leader uses.
const WRITE_SHARE: f64 = 0.7;

/// Stores the leader's changes, one transaction at a time.
#[derive(Debug)]
pub(in crate::core) struct TransactionWriter {
    /// The leader key. Its version is the fencing token.
    leader_key: &'static str,
    /// The fencing token: a precondition of every transaction.
    token: FencingToken,
    /// The transaction in flight and the state of its call.
    pub pipeline: CommitPipeline,
    /// Pause after a failed commit.
    pub backoff: Backoff,
    /// Rate limiter of written operations.
    pub write_tokens: TokenBucket,
    /// Rewrites records in the format version in force.
    pub rewriter: RecordRewriter,
    /// Deletes keys that belong to no job.
    pub garbage_collector: GarbageCollector,
    /// Writes that the store refuses for another reason than their size.
    refused: RefusedWrites,
}

impl TransactionWriter {
    /// A writer with nothing to write. The key-value store accepts `write_rps` operations
    /// a second from all clients together.
    pub fn new(
        leader_key: &'static str,
        token: FencingToken,
        write_rps: f64,
        now: Time,
    ) -> TransactionWriter {
        let rate = write_rps * WRITE_SHARE;
        TransactionWriter {
            leader_key,
            token,
            pipeline: CommitPipeline::default(),
            backoff: Backoff::default(),
            write_tokens: TokenBucket::new(rate, rate),
            rewriter: RecordRewriter::new(now),
            garbage_collector: GarbageCollector::default(),
            refused: RefusedWrites::default(),
        }
    }
}

/// The components whose changes a transaction carries, and those that act on stored
/// changes.
pub(in crate::core) struct WriteContext<'a> {
    /// Jobs and machines, with their unwritten changes.
    pub cluster: &'a mut ClusterState,
    /// Provision and termination intents, with other small records that are written in
    /// the same transactions.
    pub intents: &'a mut Intents,
    /// Machines for which starts were stored, so that their deferred heartbeats may be
    /// answered.
    pub machines_with_stored_starts: &'a mut BTreeSet<MachineId>,
    /// Removes deleted jobs from the status broadcast.
    pub status: &'a mut StatusBroadcaster,
    /// The format version in force, in which chunks are written.
    pub format: FormatVersion,
}

impl TransactionWriter {
    /// Sends the next transaction, if there are unwritten changes and none is in flight.
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
            while let Some(item) = self.refused.take_due(now) {
                self.requeue(now, context, item);
            }
            self.pipeline.in_flight = self.build_transaction(now, &effects.store_limits, context);
            self.pipeline.outcome_unknown = false;
        }
        let Some(BuiltTransaction { transaction, .. }) = &self.pipeline.in_flight else {
            return;
        };
        if !effects.leader_calls.try_take(now, 1.0) {
            self.pipeline.not_before = now + RATE_LIMITED_PAUSE;
            return;
        }
        self.pipeline.call_outstanding = true;
        let body = wire::encode(transaction);
        let path = "/commit".to_string();
        let call = effects.call(Target::Store, "POST", path, body, COMMIT_TIMEOUT);
        pending_calls.add(call, PendingCall::Commit);
    }

    /// Collects the most urgent changes into a transaction, within the store's limits and
    /// the rate limit. `None`: there is nothing to write, or the rate limit allows too
    /// little.
    pub fn build_transaction(
        &mut self,
        now: Time,
        limits: &StoreLimits,
        context: &mut WriteContext<'_>,
    ) -> Option<BuiltTransaction> {
        let rate = limits.write_rps() * WRITE_SHARE;
        if rate != self.write_tokens.burst() {
            self.write_tokens.set_rate(now, rate, rate);
        }
        let max_operations = limits.commit_operations();
        let ops = max_operations.min(self.write_tokens.level(now) as usize);
        if ops < MIN_OPERATIONS.min(max_operations) {
            return None;
        }
        let limits = TransactionLimits {
            ops,
            value_bytes: limits.value_bytes(),
        };
        let mut builder = TransactionBuilder::new(self.leader_key, self.token, limits);
        if self.refused.take_isolation() {
            builder.allow_one_item();
        }
        add_pending_puts(&mut builder, &mut context.intents.pending_writes);
        add_finished_jobs(&mut builder, context.cluster);
        add_dirty_chunks(&mut builder, now, context.cluster, context.format);
        add_job_deletions(&mut builder, context.cluster);
        add_pending_deletes(&mut builder, &mut context.intents.pending_writes);
        add_orphan_deletions(&mut builder, &mut self.garbage_collector);
        let built = builder.finish()?;
        self.write_tokens
            .try_take(now, built.transaction.ops.len() as f64);
        Some(built)
    }

    /// Processes the reply to the transaction in flight, or the loss of the reply.
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
            .next_pause(SHORTEST_BACKOFF, LONGEST_BACKOFF, effects.jitter());
        effects.record_commit_reply(transaction.ops.len(), &reply);
        match reply {
            Reply::Answer(200, body) => {
                self.handle_committed(now, context, &transaction, items, &body)
            }
            Reply::Answer(409, body) if self.pipeline.outcome_unknown => {
                self.check_own_write(effects, pending_calls, transaction, items, &body)
            }
            Reply::Answer(409, body) => self.handle_conflict(now, context, items, &body),
            Reply::Answer(400, body) => {
                let refused = BuiltTransaction { transaction, items };
                self.handle_refusal(effects, context, refused, &body)
            }
            Reply::Answer(..) | Reply::NotSent if !self.pipeline.outcome_unknown => {
                for item in items {
                    self.requeue(now, context, item);
                }
                self.pipeline.not_before = now + pause;
                LeadershipOutcome::Continue
            }
            Reply::Answer(..) | Reply::NotSent | Reply::OutcomeUnknown => {
                self.pipeline.outcome_unknown |= matches!(reply, Reply::OutcomeUnknown);
                self.pipeline.in_flight = Some(BuiltTransaction { transaction, items });
                self.pipeline.not_before = now + pause;
                LeadershipOutcome::Continue
            }
        }
    }

    /// Processes a committed transaction.
    fn handle_committed(
        &mut self,
        now: Time,
        context: &mut WriteContext<'_>,
        transaction: &Transaction,
        items: Vec<CommitItem>,
        body: &[u8],
    ) -> LeadershipOutcome {
        self.backoff.succeeded();
        self.pipeline.not_before = now + MIN_COMMIT_INTERVAL;
        self.pipeline.last_committed = Some(now);
        let Some(answer) = wire::decode::<TransactionResponse>(body) else {
            return LeadershipOutcome::StepDown("the answer to a commit could not be decoded");
        };
        for item in items {
            self.apply_committed(context, item, transaction, answer.revision);
        }
        LeadershipOutcome::Continue
    }

    /// Processes the refusal of a transaction as too large or malformed. Nothing of this
    /// attempt was executed, so its items are written again, in smaller transactions.
    fn handle_refusal(
        &mut self,
        effects: &mut Effects,
        context: &mut WriteContext<'_>,
        refused: BuiltTransaction,
        body: &[u8],
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        let items = self.refused.handle_refusal(effects, refused, body);
        if self.pipeline.outcome_unknown {
            // An earlier attempt may have been executed, or may be executed later. Only a
            // new fencing token rules the latter out, and the records show the former.
            return LeadershipOutcome::StepDown("a write's outcome is unknown");
        }
        self.backoff.succeeded();
        self.pipeline.not_before = now + MIN_COMMIT_INTERVAL;
        for item in items {
            self.requeue(now, context, item);
        }
        LeadershipOutcome::Continue
    }

    /// A retry found a failed precondition. Either the first attempt, whose answer was
    /// lost, was committed, or another writer changed a record. The stored record decides
    /// which.
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
        let own_put = transaction.ops.iter().find(
            |op| matches!(op, Operation::Put { key, .. } if is_compared(key) && failed.contains(key)),
        );
        let own_put = own_put.cloned();
        let Some(op) = own_put.filter(|_| failed.iter().all(|key| key != self.leader_key)) else {
            return LeadershipOutcome::StepDown("a write's outcome is unknown");
        };
        let path = format!("/keys/{}", op.key());
        self.pipeline.in_flight = Some(BuiltTransaction { transaction, items });
        self.pipeline.call_outstanding = true;
        let call = effects.call(Target::Store, "GET", path, Vec::new(), READ_TIMEOUT);
        pending_calls.add(call, PendingCall::OwnWrite(op));
        LeadershipOutcome::Continue
    }

    /// Processes a failed precondition of a transaction none of whose answers was lost.
    fn handle_conflict(
        &mut self,
        now: Time,
        context: &mut WriteContext<'_>,
        items: Vec<CommitItem>,
        body: &[u8],
    ) -> LeadershipOutcome {
        self.pipeline.not_before = now + MIN_COMMIT_INTERVAL;
        let failed = failed_keys(body);
        if failed.iter().any(|key| key == self.leader_key) {
            return LeadershipOutcome::StepDown("a commit found the leader key changed");
        }
        let is_cleanup = items
            .iter()
            .any(|item| matches!(item, CommitItem::DeleteOrphan(_)));
        let is_progress = |key: &String| key.starts_with(job_records::PROGRESS_RECORDS_PREFIX);
        if !is_cleanup && failed.iter().any(is_progress) {
            return LeadershipOutcome::StepDown("a record was changed by another writer");
        }
        let is_over = |id: &JobId| failed.contains(&job_records::job_header_key(id));
        for item in items {
            match &item {
                // No task of an ended job is started, even if the watch has not shown the
                // end of the job yet.
                CommitItem::Chunk { job, .. } if is_over(job) => {
                    context.cluster.cancel_job_ended_elsewhere(now, job);
                }
                // The watch will show that the job was cancelled in the meantime.
                CommitItem::Finish(id) | CommitItem::FinishAndDelete(id) if is_over(id) => {}
                // A key that is no longer orphaned, or that has changed, is kept.
                CommitItem::DeleteOrphan(_) => {}
                _ => self.requeue(now, context, item),
            }
        }
        LeadershipOutcome::Continue
    }

    /// Processes the read of a record that the transaction in flight writes, after a
    /// retry found the record changed. Only the holder of this token writes the record,
    /// one transaction at a time, and all earlier transactions are settled. So if the
    /// record is newer than the version compared, and has the value that this transaction
    /// writes, then the first attempt was committed as a whole, at the version found.
    /// Otherwise the leader steps down, to start over from the stored records.
    pub fn handle_own_write_read(
        &mut self,
        context: &mut WriteContext<'_>,
        op: &Operation,
        reply: Reply,
    ) -> LeadershipOutcome {
        self.pipeline.call_outstanding = false;
        let outcome_unclear = LeadershipOutcome::StepDown("a write's outcome is unknown");
        let Some(BuiltTransaction { transaction, items }) = self.pipeline.in_flight.take() else {
            return outcome_unclear;
        };
        let Reply::Answer(200, body) = reply else {
            return outcome_unclear;
        };
        let compared = transaction.conditions.iter().find(|c| c.key == op.key());
        let found = wire::decode::<Entry>(&body);
        let (Some(compared), Some(found), Operation::Put { value, .. }) = (compared, found, op)
        else {
            return outcome_unclear;
        };
        if found.version <= compared.version || found.value != *value {
            return outcome_unclear;
        }
        self.backoff.succeeded();
        for item in items {
            self.apply_committed(context, item, &transaction, found.version);
        }
        LeadershipOutcome::Continue
    }

    /// Queues the next records for rewriting in the format in force, if they are due and
    /// less than half of the write rate is used.
    pub fn queue_outdated_chunks(
        &mut self,
        now: Time,
        cluster: &mut ClusterState,
        format: FormatVersion,
    ) {
        if self.rewriter.is_due(now, format) {
            let has_spare_writes = self.write_tokens.level(now) >= self.write_tokens.burst() / 2.0;
            self.rewriter.queue_next(now, cluster, has_spare_writes);
        }
    }

    /// Queues an item that was not written for a later transaction.
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

    /// Applies the effects of an item that this transaction has stored at this revision.
    pub fn apply_committed(
        &mut self,
        context: &mut WriteContext<'_>,
        item: CommitItem,
        transaction: &Transaction,
        revision: Version,
    ) {
        match item {
            CommitItem::Chunk { job, chunk, change } => {
                self.rewriter.record_stored_chunk(&job, chunk, transaction);
                apply_stored_chunk(context, &job, chunk, change, revision);
            }
            CommitItem::Finish(id) => apply_stored_outcome(context.cluster, id),
            CommitItem::FinishAndDelete(id) => {
                if let Some(job) = context.cluster.jobs.get(&id) {
                    log_job_done(&id, job);
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

    /// Removes a job that has no records any more, in memory or stored.
    fn forget_job(&mut self, context: &mut WriteContext<'_>, id: &JobId) {
        if let Some(job) = context.cluster.jobs.remove(id) {
            self.rewriter.forget_job(id, &job);
        }
        context.status.forget_job(id);
    }
}

/// The keys whose precondition failed, according to the answer to a transaction.
fn failed_keys(body: &[u8]) -> Vec<String> {
    wire::decode::<TransactionResponse>(body)
        .unwrap_or_default()
        .failed
}

#[cfg(test)]
mod tests;
