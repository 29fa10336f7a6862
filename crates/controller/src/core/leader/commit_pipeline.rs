//! The leader's lane of writes: what changed goes out in conditional
//! transactions, one at a time, ahead of what depends on it.

use crate::core::effects::Io;
use crate::core::format_version::REMEMBERED;
use crate::core::format_version::chunk_progress::Progress;
use crate::core::job_records::{self, End, Item, Job, TransactionBuilder, TransactionLimits};
use crate::core::leader::{Awaits, Fate, Leader};
use crate::core::{Reply, Target};
use crate::types::{JobId, TaskId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Entry, Operation, Transaction, TransactionResponse};

/// Settled intents deleted in one transaction.
const MOST_SETTLED: usize = 8;
/// Records that get another form at once, and time between two such steps.
const MOST_REWRITTEN: usize = 4;
const REWRITE_EVERY: TimeSpan = TimeSpan::millis(250);
/// Least time between two commits.
const COMMIT_GAP: TimeSpan = TimeSpan::millis(40);

impl Leader {
    /// Sends the next transaction, if there is anything to write.
    pub(super) fn pump(&mut self, io: &mut Io) {
        let now = io.now.time;
        if self.lane.calling || now < self.lane.not_before {
            return;
        }
        if self.lane.flight.is_none() {
            self.lane.flight = self.gather(now);
            self.lane.doubtful = false;
        }
        let Some((txn, _)) = &self.lane.flight else {
            return;
        };
        if !io.state_calls.take(now, 1.0) {
            self.lane.not_before = now + TimeSpan::millis(50);
            return;
        }
        self.lane.calling = true;
        let body = wire::encode(txn);
        let id = io.call(
            Target::State,
            "POST",
            "/commit".into(),
            body,
            TimeSpan::secs(1.0),
        );
        self.waits.add(id, Awaits::Commit);
    }

    fn gather(&mut self, now: Time) -> Option<(Transaction, Vec<Item>)> {
        let limits = self.settings.state_limits;
        let level = self.writes.level(now) as usize;
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
        for (key, value) in self.rental.intents.book.take_puts(b.room() / 2) {
            let op = Operation::Put {
                key: key.clone(),
                value: value.clone(),
                lease: None,
            };
            if !b.add(
                Item::Note(key.clone(), Some(value.clone())),
                Vec::new(),
                vec![op],
            ) {
                self.rental.intents.book.again(key, Some(value));
            }
        }
        for id in std::mem::take(&mut self.finishing) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.end != Some(End::Done { written: false }) {
                continue;
            }
            // If nothing of it is anywhere any more, it ends and goes at once.
            if job.places.is_empty() {
                let (conditions, ops) = job.close_write();
                if b.add(Item::Close(id.clone()), conditions, ops) {
                    continue;
                }
            }
            let (conditions, ops) = job.finish_write();
            if !b.add(Item::Finish(id.clone()), conditions, ops) {
                self.finishing.insert(id);
            }
        }
        // Some need no writing any more, so a few more are looked at.
        for due in self.dirty.due(now, b.room() * 2) {
            if b.room() == 0 {
                break;
            }
            let (id, chunk) = due.clone();
            // Records of an ended job are only ever deleted, and those of one with
            // a record that cannot be read stay as they are.
            let job = self.jobs.get(&id);
            let job = job.filter(|j| j.is_open() && !j.unreadable);
            let Some((job, c)) = job.and_then(|j| Some((j, j.chunks.get(&chunk)?))) else {
                self.dirty.forget(&due);
                continue;
            };
            let (conditions, ops) = job.chunk_write(self.chunk_size, chunk, self.level);
            let change = c.change;
            if !b.add(Item::Chunk(id, chunk, change), conditions, ops) {
                break;
            }
            self.dirty.forget(&due);
        }
        // In a rush hundreds of ended jobs wait to be deleted: only those that
        // there is room for are looked at.
        let mut again = Vec::new();
        while b.room() > 1
            && let Some(id) = self.dropping.pop_first()
        {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            // It comes back here once its end is stored, or its last task gone.
            let over = matches!(job.end, Some(End::Cancelled | End::Done { written: true }));
            if !over || !job.places.is_empty() {
                continue;
            }
            let (ops, last) = job.drop_write(b.room());
            if ops.is_empty() || !b.add(Item::Drop(id.clone(), last), Vec::new(), ops) {
                again.push(id);
                break;
            }
        }
        self.dropping.extend(again);
        for key in self
            .rental
            .intents
            .book
            .take_deletes(b.room().min(MOST_SETTLED))
        {
            let op = Operation::Delete { key: key.clone() };
            b.add(Item::Note(key, None), Vec::new(), vec![op]);
        }
        if b.is_empty() {
            // Nothing else is to be written: time to clean up.
            for (orphan, conditions, op) in self.sweep.next(b.room()) {
                b.add(Item::Sweep(orphan), conditions, vec![op]);
            }
        }
        let built = b.finish()?;
        self.writes.take(now, built.0.ops.len() as f64);
        Some(built)
    }

    /// A transaction was answered, or not.
    pub fn on_commit(&mut self, io: &mut Io, reply: Reply) -> Fate {
        let now = io.now.time;
        self.lane.calling = false;
        let Some((txn, items)) = self.lane.flight.take() else {
            return Fate::Stay;
        };
        let pause =
            self.lane_backoff
                .failed(TimeSpan::millis(100), TimeSpan::secs(1.0), io.jitter());
        match reply {
            Reply::Answer(200, body) => {
                self.lane_backoff.succeeded();
                self.lane.not_before = now + COMMIT_GAP;
                self.lane.committed = Some(now);
                let Some(answer) = wire::decode::<TransactionResponse>(&body) else {
                    return Fate::StepDown("a commit's answer could not be read");
                };
                for item in items {
                    self.committed(item, &txn, answer.revision);
                }
                Fate::Stay
            }
            Reply::Answer(409, body) if self.lane.doubtful => {
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
                        self.lane.flight = Some((txn, items));
                        self.lane.calling = true;
                        let path = format!("/keys/{key}");
                        let id =
                            io.call(Target::State, "GET", path, Vec::new(), TimeSpan::secs(2.0));
                        self.waits.add(id, Awaits::Written(op));
                        Fate::Stay
                    }
                    _ => Fate::StepDown("a write's fate is unknown"),
                }
            }
            Reply::Answer(409, body) => {
                self.lane.not_before = now + COMMIT_GAP;
                let failed = wire::decode::<TransactionResponse>(&body)
                    .unwrap_or_default()
                    .failed;
                if failed.iter().any(|k| k == self.holder) {
                    return Fate::StepDown("a commit found another leader");
                }
                let swept = items.iter().any(|i| matches!(i, Item::Sweep(_)));
                if !swept && failed.iter().any(|k| k.starts_with(job_records::RECORDS)) {
                    return Fate::StepDown("a record was changed by somebody else");
                }
                let over = |id: &JobId| failed.contains(&job_records::head_key(id));
                for item in items {
                    // Nothing of a job that is over is started, whether or not
                    // the watch has told of its end yet.
                    if let Item::Chunk(id, ..) = &item
                        && over(id)
                    {
                        self.ended_elsewhere(now, id);
                        continue;
                    }
                    // A job cancelled in the meantime is told by the watch. An
                    // orphan that is none after all, or has changed, stays.
                    let raced = matches!(&item, Item::Finish(id) | Item::Close(id) if over(id))
                        || matches!(&item, Item::Sweep(_));
                    if !raced {
                        self.again(now, item);
                    }
                }
                Fate::Stay
            }
            Reply::Answer(400, _) => Fate::StepDown("a commit was malformed"),
            Reply::Answer(..) | Reply::NotSent if !self.lane.doubtful => {
                for item in items {
                    self.again(now, item);
                }
                self.lane.not_before = now + pause;
                Fate::Stay
            }
            Reply::Answer(..) | Reply::NotSent | Reply::Lost => {
                self.lane.doubtful |= matches!(reply, Reply::Lost);
                self.lane.flight = Some((txn, items));
                self.lane.not_before = now + pause;
                Fate::Stay
            }
        }
    }

    /// A record that the transaction in flight writes was read, after a repeat found it
    /// changed. Only the holder of this token writes it, one transaction at a time, and
    /// all before this one are settled: if it is newer than what was compared, and as this
    /// one would write it, the first try went through, whole, at its version. Else
    /// everything is started over from what is recorded.
    pub(super) fn on_written(&mut self, op: &Operation, reply: Reply) -> Fate {
        self.lane.calling = false;
        let unknown = Fate::StepDown("a write's fate is unknown");
        let Some((txn, items)) = self.lane.flight.take() else {
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
        self.lane_backoff.succeeded();
        for item in items {
            self.committed(item, &txn, found.version);
        }
        Fate::Stay
    }

    /// Nothing of a job is left, here or stored. What is noted of its records goes
    /// too: where a level is held back for weeks it would pile up.
    fn forget(&mut self, id: &JobId) {
        let job = self.jobs.remove(id);
        for chunk in job.iter().flat_map(|j| j.chunks.keys()) {
            self.older.remove(&(id.clone(), *chunk));
        }
        self.told.remove(id);
    }

    /// Notes whether a chunk that was stored has the form of the level in force.
    fn note_form(&mut self, id: &JobId, chunk: u32, txn: &Transaction) {
        let key = job_records::chunk_key(id, chunk);
        let value = txn.ops.iter().find_map(|op| match op {
            Operation::Put { key: k, value, .. } if *k == key => Some(value),
            _ => None,
        });
        let of = (id.clone(), chunk);
        if value.is_some_and(|v| Progress::is_of(v, REMEMBERED)) {
            self.older.remove(&of);
        } else {
            self.older.insert(of);
        }
    }

    /// Gives the next records the form of the level in force: a few at a time, and
    /// only while less than half of what may be written is.
    pub(super) fn rewrite(&mut self, now: Time) {
        if self.level < REMEMBERED || now < self.rewrite_due || self.older.is_empty() {
            return;
        }
        self.rewrite_due = now + REWRITE_EVERY;
        if self.writes.level(now) < self.writes.burst() / 2.0 {
            return;
        }
        let jobs = &self.jobs;
        let writable =
            |(id, _): &(JobId, u32)| jobs.get(id).is_some_and(|j| j.is_open() && !j.unreadable);
        // What is over is deleted, and needs no form.
        self.older
            .retain(|c| jobs.get(&c.0).is_some_and(Job::is_open));
        let next = self.older.iter().filter(|c| writable(c));
        let next: Vec<(JobId, u32)> = next.take(MOST_REWRITTEN).cloned().collect();
        for chunk in next {
            self.dirty.note(chunk, now, false);
        }
    }

    /// Whether all that is stored has the form of the level in force.
    pub fn is_rewritten(&self) -> bool {
        self.level < REMEMBERED || self.older.is_empty()
    }

    fn again(&mut self, now: Time, item: Item) {
        match item {
            Item::Chunk(id, chunk, _) => self.dirty.note((id, chunk), now, true),
            Item::Finish(id) | Item::Close(id) => {
                self.finishing.insert(id);
            }
            Item::Drop(id, _) => {
                self.dropping.insert(id);
            }
            Item::Note(key, value) => self.rental.intents.book.again(key, value),
            Item::Sweep(orphan) => self.sweep.again(orphan),
        }
    }

    fn committed(&mut self, item: Item, txn: &Transaction, revision: Version) {
        match item {
            Item::Chunk(id, chunk, change) => {
                self.note_form(&id, chunk, txn);
                if let Some(job) = self.jobs.get_mut(&id) {
                    let mut before = change;
                    if let Some(c) = job.chunks.get_mut(&chunk) {
                        before = c.stored;
                        c.version = revision;
                        c.stored = c.stored.max(change);
                    }
                    let size = self.chunk_size;
                    let low = chunk * size.0;
                    let here = job.places.range(low..low + size.0);
                    let now_stored = |c: u64| before < c && c <= change;
                    for (&index, p) in here.clone() {
                        if p.stop.and_then(|s| s.change).is_some_and(now_stored) {
                            let job = id.clone();
                            let stopped = self.direct.entry(p.machine.clone()).or_default();
                            stopped.push(TaskId { job, index });
                        }
                    }
                    let unsent = here.filter(|(_, p)| p.unsent() && p.change <= change);
                    self.stored.extend(unsent.map(|(_, p)| p.machine.clone()));
                    job.unsaved
                        .retain(|&t, n| size.of(t) != chunk || *n > change);
                }
            }
            Item::Finish(id) => {
                if let Some(job) = self.jobs.get_mut(&id)
                    && job.end == Some(End::Done { written: false })
                {
                    job.end = Some(End::Done { written: true });
                    job.unsaved.clear();
                    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, "done");
                    self.dropping.insert(id);
                }
            }
            Item::Close(id) => {
                if let Some(job) = self.jobs.get(&id) {
                    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, "done");
                }
                self.forget(&id);
            }
            Item::Note(key, Some(_)) => self.rental.intents.stored(&key),
            Item::Note(_, None) => {}
            Item::Sweep(_) => self.sweep.deleted += 1,
            Item::Drop(id, true) => self.forget(&id),
            Item::Drop(id, false) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.chunks.retain(|&c, _| {
                        let key = job_records::chunk_key(&id, c);
                        !txn.ops
                            .iter()
                            .any(|op| matches!(op, Operation::Delete { key: k } if *k == key))
                    });
                }
                self.dropping.insert(id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
