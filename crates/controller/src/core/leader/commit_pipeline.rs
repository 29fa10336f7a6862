//! The leader's lane of writes: what changed goes out in conditional
//! transactions, one at a time, ahead of what depends on it.

use crate::core::effects::Effects;
use crate::core::format_version::WITH_HISTORY;
use crate::core::format_version::chunk_progress::ChunkProgress;
use crate::core::garbage_collection::GarbageCollector;
use crate::core::job_records::{
    self, CommitItem, CommitPipeline, Job, JobOutcome, TransactionBuilder, TransactionLimits,
};
use crate::core::leader::{Leader, LeadershipOutcome, PendingCall};
use crate::core::{Reply, Target};
use crate::types::{JobId, TaskId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::{Entry, Operation, Transaction, TransactionResponse};
use crate::wire::rate_limit::TokenBucket;
use std::collections::BTreeSet;

/// Settled intents deleted in one transaction.
const MOST_SETTLED: usize = 8;
/// Records that get another form at once, and time between two such steps.
const MOST_REWRITTEN: usize = 4;
const REWRITE_EVERY: TimeSpan = TimeSpan::millis(250);
/// Least time between two commits.
const COMMIT_GAP: TimeSpan = TimeSpan::millis(40);

/// Share of the store's write rate that the leader uses; the rest is users'.
const WRITE_SHARE: f64 = 0.7;

/// Writes the leader's changes, one transaction at a time.
#[derive(Debug)]
pub(in crate::core) struct TransactionWriter {
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
    pub fn new(write_rps: f64, now: Time) -> TransactionWriter {
        let rate = write_rps * WRITE_SHARE;
        TransactionWriter {
            pipeline: CommitPipeline::default(),
            backoff: Backoff::default(),
            write_tokens: TokenBucket::new(rate, rate),
            outdated_chunks: BTreeSet::new(),
            rewrite_due: now,
            garbage_collector: GarbageCollector::default(),
        }
    }
}

impl Leader {
    /// Sends the next transaction, if there is anything to write.
    pub(super) fn pump(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        if self.writer.pipeline.calling || now < self.writer.pipeline.not_before {
            return;
        }
        if self.writer.pipeline.flight.is_none() {
            self.writer.pipeline.flight = self.gather(now);
            self.writer.pipeline.outcome_unknown = false;
        }
        let Some((txn, _)) = &self.writer.pipeline.flight else {
            return;
        };
        if !effects.state_calls.take(now, 1.0) {
            self.writer.pipeline.not_before = now + TimeSpan::millis(50);
            return;
        }
        self.writer.pipeline.calling = true;
        let body = wire::encode(txn);
        let id = effects.call(
            Target::State,
            "POST",
            "/commit".into(),
            body,
            TimeSpan::secs(1.0),
        );
        self.pending_calls.add(id, PendingCall::Commit);
    }

    fn gather(&mut self, now: Time) -> Option<(Transaction, Vec<CommitItem>)> {
        let limits = self.cluster.settings.state_limits;
        let level = self.writer.write_tokens.level(now) as usize;
        let ops = limits.txn_ops.min(level);
        if ops < 4 {
            return None;
        }
        let mut b = TransactionBuilder::new(
            self.holder,
            self.token,
            TransactionLimits {
                ops,
                value_bytes: limits.value_bytes,
            },
        );
        // Acts wait for these; they are few.
        for (key, value) in self
            .autoscaler
            .intents
            .pending_writes
            .take_puts(b.room() / 2)
        {
            let op = Operation::Put {
                key: key.clone(),
                value: value.clone(),
                lease: None,
            };
            if !b.add(
                CommitItem::Note(key.clone(), Some(value.clone())),
                Vec::new(),
                vec![op],
            ) {
                self.autoscaler
                    .intents
                    .pending_writes
                    .again(key, Some(value));
            }
        }
        for id in std::mem::take(&mut self.cluster.unwritten.finished_jobs) {
            let Some(job) = self.cluster.jobs.get(&id) else {
                continue;
            };
            if job.end != Some(JobOutcome::Done { written: false }) {
                continue;
            }
            // If nothing of it is anywhere any more, it ends and goes at once.
            if job.assignments.is_empty() {
                let (conditions, ops) = job.close_write();
                if b.add(CommitItem::Close(id.clone()), conditions, ops) {
                    continue;
                }
            }
            let (conditions, ops) = job.finish_write();
            if !b.add(CommitItem::Finish(id.clone()), conditions, ops) {
                self.cluster.unwritten.finished_jobs.insert(id);
            }
        }
        // Some need no writing any more, so a few more are looked at.
        for due in self.cluster.unwritten.dirty_chunks.due(now, b.room() * 2) {
            if b.room() == 0 {
                break;
            }
            let (id, chunk) = due.clone();
            // Records of an ended job are only ever deleted, and those of one with
            // a record that cannot be read stay as they are.
            let job = self.cluster.jobs.get(&id);
            let job = job.filter(|j| j.is_open() && !j.unreadable);
            let Some((job, c)) = job.and_then(|j| Some((j, j.chunks.get(&chunk)?))) else {
                self.cluster.unwritten.dirty_chunks.forget(&due);
                continue;
            };
            let (conditions, ops) = job.chunk_write(self.cluster.chunk_size, chunk, self.level);
            let change = c.change;
            if !b.add(CommitItem::Chunk(id, chunk, change), conditions, ops) {
                break;
            }
            self.cluster.unwritten.dirty_chunks.forget(&due);
        }
        // In a rush hundreds of ended jobs wait to be deleted: only those that
        // there is room for are looked at.
        let mut again = Vec::new();
        while b.room() > 1
            && let Some(id) = self.cluster.unwritten.jobs_to_delete.pop_first()
        {
            let Some(job) = self.cluster.jobs.get(&id) else {
                continue;
            };
            // It comes back here once its end is stored, or its last task gone.
            let over = matches!(
                job.end,
                Some(JobOutcome::Cancelled | JobOutcome::Done { written: true })
            );
            if !over || !job.assignments.is_empty() {
                continue;
            }
            let (ops, last) = job.drop_write(b.room());
            if ops.is_empty() || !b.add(CommitItem::Drop(id.clone(), last), Vec::new(), ops) {
                again.push(id);
                break;
            }
        }
        self.cluster.unwritten.jobs_to_delete.extend(again);
        for key in self
            .autoscaler
            .intents
            .pending_writes
            .take_deletes(b.room().min(MOST_SETTLED))
        {
            let op = Operation::Delete { key: key.clone() };
            b.add(CommitItem::Note(key, None), Vec::new(), vec![op]);
        }
        if b.is_empty() {
            // Nothing else is to be written: time to clean up.
            for (orphan, conditions, op) in self.writer.garbage_collector.next(b.room()) {
                b.add(CommitItem::GarbageCollector(orphan), conditions, vec![op]);
            }
        }
        let built = b.finish()?;
        self.writer.write_tokens.take(now, built.0.ops.len() as f64);
        Some(built)
    }

    /// A transaction was answered, or not.
    pub fn on_commit(&mut self, effects: &mut Effects, reply: Reply) -> LeadershipOutcome {
        let now = effects.now.time;
        self.writer.pipeline.calling = false;
        let Some((txn, items)) = self.writer.pipeline.flight.take() else {
            return LeadershipOutcome::Continue;
        };
        let pause = self.writer.backoff.failed(
            TimeSpan::millis(100),
            TimeSpan::secs(1.0),
            effects.jitter(),
        );
        match reply {
            Reply::Answer(200, body) => {
                self.writer.backoff.succeeded();
                self.writer.pipeline.not_before = now + COMMIT_GAP;
                self.writer.pipeline.committed = Some(now);
                let Some(answer) = wire::decode::<TransactionResponse>(&body) else {
                    return LeadershipOutcome::StepDown("a commit's answer could not be read");
                };
                for item in items {
                    self.committed(item, &txn, answer.revision);
                }
                LeadershipOutcome::Continue
            }
            Reply::Answer(409, body) if self.writer.pipeline.outcome_unknown => {
                // Either the lost first try went through or something else changed.
                // What is recorded decides.
                let failed = wire::decode::<TransactionResponse>(&body)
                    .unwrap_or_default()
                    .failed;
                let compared = |k: &str| txn.conditions.iter().any(|c| c.key == k);
                let own = txn.ops.iter().find(
                    |op| matches!(op, Operation::Put { key, .. } if compared(key) && failed.contains(key)),
                );
                match own.cloned() {
                    Some(op) if failed.iter().all(|k| k != self.holder) => {
                        let key = op.key().to_string();
                        self.writer.pipeline.flight = Some((txn, items));
                        self.writer.pipeline.calling = true;
                        let path = format!("/keys/{key}");
                        let id = effects.call(
                            Target::State,
                            "GET",
                            path,
                            Vec::new(),
                            TimeSpan::secs(2.0),
                        );
                        self.pending_calls.add(id, PendingCall::Written(op));
                        LeadershipOutcome::Continue
                    }
                    _ => LeadershipOutcome::StepDown("a write's fate is unknown"),
                }
            }
            Reply::Answer(409, body) => {
                self.writer.pipeline.not_before = now + COMMIT_GAP;
                let failed = wire::decode::<TransactionResponse>(&body)
                    .unwrap_or_default()
                    .failed;
                if failed.iter().any(|k| k == self.holder) {
                    return LeadershipOutcome::StepDown("a commit found another leader");
                }
                let swept = items
                    .iter()
                    .any(|i| matches!(i, CommitItem::GarbageCollector(_)));
                if !swept
                    && failed
                        .iter()
                        .any(|k| k.starts_with(job_records::PROGRESS_RECORDS))
                {
                    return LeadershipOutcome::StepDown("a record was changed by somebody else");
                }
                let over = |id: &JobId| failed.contains(&job_records::job_header_key(id));
                for item in items {
                    // Nothing of a job that is over is started, whether or not
                    // the watch has told of its end yet.
                    if let CommitItem::Chunk(id, ..) = &item
                        && over(id)
                    {
                        self.cluster.cancel_job_ended_elsewhere(now, id);
                        continue;
                    }
                    // A job cancelled in the meantime is told by the watch. An
                    // orphan that is none after all, or has changed, stays.
                    let raced = matches!(&item, CommitItem::Finish(id) | CommitItem::Close(id) if over(id))
                        || matches!(&item, CommitItem::GarbageCollector(_));
                    if !raced {
                        self.again(now, item);
                    }
                }
                LeadershipOutcome::Continue
            }
            Reply::Answer(400, _) => LeadershipOutcome::StepDown("a commit was malformed"),
            Reply::Answer(..) | Reply::NotSent if !self.writer.pipeline.outcome_unknown => {
                for item in items {
                    self.again(now, item);
                }
                self.writer.pipeline.not_before = now + pause;
                LeadershipOutcome::Continue
            }
            Reply::Answer(..) | Reply::NotSent | Reply::Lost => {
                self.writer.pipeline.outcome_unknown |= matches!(reply, Reply::Lost);
                self.writer.pipeline.flight = Some((txn, items));
                self.writer.pipeline.not_before = now + pause;
                LeadershipOutcome::Continue
            }
        }
    }

    /// A record that the transaction in flight writes was read, after a repeat found it
    /// changed. Only the holder of this token writes it, one transaction at a time, and
    /// all before this one are settled: if it is newer than what was compared, and as this
    /// one would write it, the first try went through, whole, at its version. Else
    /// everything is started over from what is recorded.
    pub(super) fn on_written(&mut self, op: &Operation, reply: Reply) -> LeadershipOutcome {
        self.writer.pipeline.calling = false;
        let unknown = LeadershipOutcome::StepDown("a write's fate is unknown");
        let Some((txn, items)) = self.writer.pipeline.flight.take() else {
            return unknown;
        };
        let Reply::Answer(200, body) = reply else {
            return unknown;
        };
        let before = txn.conditions.iter().find(|c| c.key == op.key());
        let found = wire::decode::<Entry>(&body);
        let (Some(before), Some(found), Operation::Put { value, .. }) = (before, found, op) else {
            return unknown;
        };
        if found.version <= before.version || found.value != *value {
            return unknown;
        }
        self.writer.backoff.succeeded();
        for item in items {
            self.committed(item, &txn, found.version);
        }
        LeadershipOutcome::Continue
    }

    /// Nothing of a job is left, here or stored. What is noted of its records goes
    /// too: where a level is held back for weeks it would pile up.
    fn forget(&mut self, id: &JobId) {
        let job = self.cluster.jobs.remove(id);
        for chunk in job.iter().flat_map(|j| j.chunks.keys()) {
            self.writer.outdated_chunks.remove(&(id.clone(), *chunk));
        }
        self.status.sent_counts.remove(id);
    }

    /// Notes whether a chunk that was stored has the form of the level in force.
    fn note_form(&mut self, id: &JobId, chunk: u32, txn: &Transaction) {
        let key = job_records::chunk_key(id, chunk);
        let value = txn.ops.iter().find_map(|op| match op {
            Operation::Put { key: k, value, .. } if *k == key => Some(value),
            _ => None,
        });
        let of = (id.clone(), chunk);
        if value.is_some_and(|v| ChunkProgress::is_of(v, WITH_HISTORY)) {
            self.writer.outdated_chunks.remove(&of);
        } else {
            self.writer.outdated_chunks.insert(of);
        }
    }

    /// Gives the next records the form of the level in force: a few at a time, and
    /// only while less than half of what may be written is.
    pub(super) fn rewrite(&mut self, now: Time) {
        if self.level < WITH_HISTORY
            || now < self.writer.rewrite_due
            || self.writer.outdated_chunks.is_empty()
        {
            return;
        }
        self.writer.rewrite_due = now + REWRITE_EVERY;
        if self.writer.write_tokens.level(now) < self.writer.write_tokens.burst() / 2.0 {
            return;
        }
        let jobs = &self.cluster.jobs;
        let writable =
            |(id, _): &(JobId, u32)| jobs.get(id).is_some_and(|j| j.is_open() && !j.unreadable);
        // What is over is deleted, and needs no form.
        self.writer
            .outdated_chunks
            .retain(|c| jobs.get(&c.0).is_some_and(Job::is_open));
        let next = self.writer.outdated_chunks.iter().filter(|c| writable(c));
        let next: Vec<(JobId, u32)> = next.take(MOST_REWRITTEN).cloned().collect();
        for chunk in next {
            self.cluster.unwritten.dirty_chunks.note(chunk, now, false);
        }
    }

    /// Whether all that is stored has the form of the level in force.
    pub fn is_rewritten(&self) -> bool {
        self.level < WITH_HISTORY || self.writer.outdated_chunks.is_empty()
    }

    fn again(&mut self, now: Time, item: CommitItem) {
        match item {
            CommitItem::Chunk(id, chunk, _) => {
                self.cluster
                    .unwritten
                    .dirty_chunks
                    .note((id, chunk), now, true)
            }
            CommitItem::Finish(id) | CommitItem::Close(id) => {
                self.cluster.unwritten.finished_jobs.insert(id);
            }
            CommitItem::Drop(id, _) => {
                self.cluster.unwritten.jobs_to_delete.insert(id);
            }
            CommitItem::Note(key, value) => {
                self.autoscaler.intents.pending_writes.again(key, value)
            }
            CommitItem::GarbageCollector(orphan) => self.writer.garbage_collector.again(orphan),
        }
    }

    fn committed(&mut self, item: CommitItem, txn: &Transaction, revision: Version) {
        match item {
            CommitItem::Chunk(id, chunk, change) => {
                self.note_form(&id, chunk, txn);
                if let Some(job) = self.cluster.jobs.get_mut(&id) {
                    let mut before = change;
                    if let Some(c) = job.chunks.get_mut(&chunk) {
                        before = c.stored;
                        c.version = revision;
                        c.stored = c.stored.max(change);
                    }
                    let size = self.cluster.chunk_size;
                    let low = chunk * size.0;
                    let here = job.assignments.range(low..low + size.0);
                    let now_stored = |c: u64| before < c && c <= change;
                    for (&index, p) in here.clone() {
                        if p.stop.and_then(|s| s.change).is_some_and(now_stored) {
                            let job = id.clone();
                            let stopped = self
                                .cluster
                                .direct_stops
                                .entry(p.machine.clone())
                                .or_default();
                            stopped.push(TaskId { job, index });
                        }
                    }
                    let unsent = here.filter(|(_, p)| p.unsent() && p.change <= change);
                    self.heartbeats
                        .machines_with_stored_starts
                        .extend(unsent.map(|(_, p)| p.machine.clone()));
                    job.done_not_stored
                        .retain(|&t, n| size.of(t) != chunk || *n > change);
                }
            }
            CommitItem::Finish(id) => {
                if let Some(job) = self.cluster.jobs.get_mut(&id)
                    && job.end == Some(JobOutcome::Done { written: false })
                {
                    job.end = Some(JobOutcome::Done { written: true });
                    job.done_not_stored.clear();
                    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, "done");
                    self.cluster.unwritten.jobs_to_delete.insert(id);
                }
            }
            CommitItem::Close(id) => {
                if let Some(job) = self.cluster.jobs.get(&id) {
                    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, "done");
                }
                self.forget(&id);
            }
            CommitItem::Note(key, Some(_)) => self.autoscaler.intents.stored(&key),
            CommitItem::Note(_, None) => {}
            CommitItem::GarbageCollector(_) => self.writer.garbage_collector.deleted += 1,
            CommitItem::Drop(id, true) => self.forget(&id),
            CommitItem::Drop(id, false) => {
                if let Some(job) = self.cluster.jobs.get_mut(&id) {
                    job.chunks.retain(|&c, _| {
                        let key = job_records::chunk_key(&id, c);
                        !txn.ops
                            .iter()
                            .any(|op| matches!(op, Operation::Delete { key: k } if *k == key))
                    });
                }
                self.cluster.unwritten.jobs_to_delete.insert(id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
