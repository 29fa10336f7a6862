//! Durable records: what stands in the state service and how it is written.
//!
//! Its keys: [`super::keys`].

use super::assignment::{Assignment, Stop};
use super::failpoints::{self, SafetyCheck};
use super::format_version::FormatVersion;
use super::format_version::chunk_progress::{ChunkProgress, UnreadableRecord};
use super::garbage_collection::OrphanedKey;
pub use super::keys::*;
use crate::types::{
    Attempt, FencingToken, JobId, MachineId, NodeId, Time, TimeSpan, Version, WallTime,
};
use crate::wire::kvstore::{Operation, Precondition, Transaction};
use crate::wire::users::{JobShape, Submission};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Tells this claim from every other one.
    pub nonce: u64,
}

/// A job's lasting state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeaderStage {
    /// Accepted and not over.
    #[serde(rename = "p")]
    Open,
    /// Every task is done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// A job's head.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Its state.
    pub s: HeaderStage,
    /// Number of its tasks.
    pub n: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct SubmissionRecord {
    at: WallTime,
    n: u32,
    s: String,
}

fn value<T: Serialize>(v: &T) -> Value {
    serde_json::to_value(v).unwrap_or(Value::Null)
}

/// Length of a value as the state service counts it.
pub fn json_len(v: &Value) -> usize {
    serde_json::to_vec(v).map_or(usize::MAX, |b| b.len())
}

/// The leader's value, to be written.
pub fn leader_record(v: &LeaderRecord) -> Value {
    value(v)
}

/// The head of a job, to be written.
pub fn job_header_value(s: HeaderStage, n: u32) -> Value {
    value(&JobHeader { s, n })
}

/// Reads any value of ours.
pub fn read<T: serde::de::DeserializeOwned>(v: &Value) -> Option<T> {
    T::deserialize(v).ok()
}

/// Limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Puts and deletes.
    pub ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

/// Bytes of one transaction, with room left for conditions and framing.
const TXN_BYTES: usize = 56 * 1024;

/// The transaction that accepts a job. `None`: it is too large to be stored.
pub fn accept_txn(
    job: &Submission,
    at: WallTime,
    limits: TransactionLimits,
) -> Option<Transaction> {
    let text = serde_json::to_string(job).ok()?;
    // Quotes grow when JSON text becomes a JSON string; a third is ample for
    // our field names, and the sum is checked below.
    let room = (limits.value_bytes * 2 / 3).saturating_sub(128).max(64);
    let mut pieces: Vec<String> = Vec::new();
    let mut piece = String::new();
    let mut length = 0;
    for c in text.chars() {
        length += match c {
            '"' | '\\' => 2,
            c if (c as u32) < 0x20 => 6,
            c => c.len_utf8(),
        };
        piece.push(c);
        if length >= room {
            pieces.push(std::mem::take(&mut piece));
            length = 0;
        }
    }
    if !piece.is_empty() || pieces.is_empty() {
        pieces.push(piece);
    }
    let mut ops = vec![Operation::Put {
        key: job_header_key(&job.id),
        value: job_header_value(HeaderStage::Open, job.tasks),
        lease: None,
    }];
    let count = pieces.len() as u32;
    for (i, s) in pieces.into_iter().enumerate() {
        let (key, v) = if i == 0 {
            (
                submission_key(&job.id),
                value(&SubmissionRecord { at, n: count, s }),
            )
        } else {
            (submission_part_key(&job.id, i as u32), Value::String(s))
        };
        ops.push(Operation::Put {
            key,
            value: v,
            lease: None,
        });
    }
    let bytes: usize = ops
        .iter()
        .map(|op| match op {
            Operation::Put { key, value, .. } => key.len() + json_len(value) + 40,
            Operation::Delete { key } => key.len() + 20,
        })
        .sum();
    if ops.len() > limits.ops || bytes > TXN_BYTES {
        return None;
    }
    Some(Transaction {
        conditions: vec![Precondition {
            key: job_header_key(&job.id),
            version: Version(0),
        }],
        ops,
    })
}

/// What a write compares, and what it changes.
pub type Write = (Vec<Precondition>, Vec<Operation>);

fn put(key: String, value: Value) -> Operation {
    let lease = None;
    Operation::Put { key, value, lease }
}

/// The transaction that cancels a job whose head was read open at this version: of it
/// and the one that calls the job done, one comes through.
pub fn cancel_txn(id: &JobId, head: JobHeader, version: Version) -> Transaction {
    let value = job_header_value(HeaderStage::Cancelled, head.n);
    let key = job_header_key(id);
    Transaction {
        conditions: vec![Precondition { key, version }],
        ops: vec![
            put(job_header_key(id), value.clone()),
            put(job_outcome_key(id), value),
        ],
    }
}

/// A set of task numbers, kept as ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexRanges {
    spans: BTreeMap<u32, u32>,
    count: u32,
}

impl IndexRanges {
    /// All numbers below `n`.
    pub fn below(n: u32) -> IndexRanges {
        let mut r = IndexRanges::default();
        if n > 0 {
            r.spans.insert(0, n);
            r.count = n;
        }
        r
    }

    fn span_of(&self, i: u32) -> Option<(u32, u32)> {
        let (&a, &b) = self.spans.range(..=i).next_back()?;
        (i < b).then_some((a, b))
    }

    /// Whether `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        self.span_of(i).is_some()
    }

    /// Adds `i`; false if it was there.
    pub fn insert(&mut self, i: u32) -> bool {
        if self.contains(i) {
            return false;
        }
        let mut start = i;
        let mut end = i + 1;
        if let Some((&a, &b)) = self.spans.range(..i).next_back()
            && b == i
        {
            self.spans.remove(&a);
            start = a;
        }
        if let Some(b) = self.spans.remove(&end) {
            end = b;
        }
        self.spans.insert(start, end);
        self.count += 1;
        true
    }

    /// Takes `i` out; false if it was not there.
    pub fn remove(&mut self, i: u32) -> bool {
        let Some((a, b)) = self.span_of(i) else {
            return false;
        };
        self.spans.remove(&a);
        if a < i {
            self.spans.insert(a, i);
        }
        if i + 1 < b {
            self.spans.insert(i + 1, b);
        }
        self.count -= 1;
        true
    }

    /// How many there are.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.spans.iter().flat_map(|(&a, &b)| a..b)
    }

    /// The ranges `[a, b)` within `[low, high)`.
    pub fn within(&self, low: u32, high: u32) -> Vec<(u32, u32)> {
        let first = self.span_of(low).map_or(low, |(a, _)| a);
        self.spans
            .range(first..high)
            .map(|(&a, &b)| (a.max(low), b.min(high)))
            .filter(|(a, b)| a < b)
            .collect()
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks done; `written` once the head says so.
    Done {
        /// Whether the head says so.
        written: bool,
    },
    /// Cancelled by its user.
    Cancelled,
}

impl fmt::Display for JobOutcome {
    /// The spelling in `/inspect`, whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobOutcome::Done { written } => write!(f, "Done {{ written: {written} }}"),
            JobOutcome::Cancelled => f.write_str("Cancelled"),
        }
    }
}

/// One chunk of a job's tasks as it is stored.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunk {
    /// Version of the stored record; 0: none.
    pub version: Version,
    /// Counts changes in memory.
    pub change: u64,
    /// The last change that is stored.
    pub stored: u64,
}

/// Notes on a job that only scheduling needs.
#[derive(Clone, Debug, Default)]
pub struct JobNotes {
    /// Failures in a row.
    pub failures: u32,
    /// Not to be placed before this time.
    pub not_before: Time,
    /// Machines on which it failed.
    pub failed_on: BTreeSet<MachineId>,
    /// Since when it has tasks waiting.
    pub waiting_since: Option<Time>,
    /// Why it waits, for operators.
    pub why: &'static str,
    /// Whether it counts within its team's guarantee.
    pub entitled: bool,
    /// Why its tasks were last stopped, for operators.
    pub last_stop: Option<&'static str>,
}

/// A job in the leader's memory.
#[derive(Clone, Debug)]
pub struct Job {
    /// As submitted.
    pub spec: Rc<Submission>,
    /// When it was accepted.
    pub at: WallTime,
    /// Version of its head while open.
    pub version: Version,
    /// Further keys of its submission.
    pub parts: u32,
    /// How it ended, if it has.
    pub end: Option<JobOutcome>,
    /// Tasks that are done.
    pub done: IndexRanges,
    /// Tasks that are neither done nor placed.
    pub waiting: IndexRanges,
    /// Where tasks are or may be: at most one place each.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Stored chunks.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Done tasks that are not stored yet, with their chunk's change.
    pub done_not_stored: BTreeMap<u32, u64>,
    /// Highest attempt ever used.
    pub attempt: Attempt,
    /// Whether one of its records cannot be read: it is left as it is.
    pub unreadable: bool,
    /// Scheduling notes, lost with the leader.
    pub notes: JobNotes,
}

/// Tasks in one chunk.
#[derive(Clone, Copy, Debug)]
pub struct ChunkSize(pub u32);

impl ChunkSize {
    /// As many as surely fit into a value: a placement takes up to about 100
    /// bytes, a done range about 16.
    pub fn for_value(bytes: usize) -> ChunkSize {
        ChunkSize(((bytes.saturating_sub(256)) / 112).clamp(1, 64) as u32)
    }
    /// The chunk of a task.
    pub fn of(self, task: u32) -> u32 {
        task / self.0
    }
}

impl Job {
    /// A job just accepted.
    pub fn new(spec: Rc<Submission>, at: WallTime, version: Version, parts: u32) -> Job {
        let tasks = spec.tasks;
        Job {
            spec,
            at,
            version,
            parts,
            end: None,
            done: IndexRanges::default(),
            waiting: IndexRanges::below(tasks),
            assignments: BTreeMap::new(),
            chunks: BTreeMap::new(),
            done_not_stored: BTreeMap::new(),
            attempt: Attempt(0),
            unreadable: false,
            notes: Default::default(),
        }
    }

    /// Whether it is a service, which is never done.
    pub fn is_service(&self) -> bool {
        self.spec.shape == JobShape::Service
    }
    /// Whether it is a gang.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == JobShape::Gang
    }
    /// Whether its tasks may still be started.
    pub fn is_open(&self) -> bool {
        self.end.is_none()
    }

    /// Notes a change of a task's record; returns the change's number.
    pub fn touch(&mut self, size: ChunkSize, task: u32) -> u64 {
        let chunk = self.chunks.entry(size.of(task)).or_default();
        chunk.change += 1;
        chunk.change
    }

    /// Whether change `n` of a task's chunk is stored.
    pub fn is_stored(&self, size: ChunkSize, task: u32, n: u64) -> bool {
        self.chunks
            .get(&size.of(task))
            .is_some_and(|c| c.stored >= n)
    }

    /// Whether a done task may be cleared from its machine: its being done is
    /// stored. A worker that forgets it earlier would let it run again after
    /// a change of leader.
    pub fn done_is_stored(&self, task: u32) -> bool {
        self.done.contains(task)
            && (self.end == Some(JobOutcome::Done { written: true })
                || self.end == Some(JobOutcome::Cancelled)
                || !self.done_not_stored.contains_key(&task))
    }

    /// The record of a chunk as it should be stored while this level is in force.
    pub fn chunk_value(&self, size: ChunkSize, chunk: u32, level: FormatVersion) -> Value {
        let low = chunk * size.0;
        let high = low + size.0;
        let mut stops = IndexRanges::default();
        if failpoints::enforced(SafetyCheck::StopsAreStored) {
            let stopped = self.assignments.range(low..high);
            let stopped = stopped.filter(|(_, p)| p.stop.is_some());
            for (&i, _) in stopped {
                stops.insert(i);
            }
        }
        let place = |(&i, p): (&u32, &Assignment)| (i, p.attempt, p.machine.clone(), p.epoch);
        let progress = ChunkProgress {
            attempt: self.attempt,
            done: self.done.within(low, high),
            assignments: self.assignments.range(low..high).map(place).collect(),
            stops: stops.within(low, high),
        };
        progress.write(level)
    }

    /// Stores a chunk.
    pub fn chunk_write(&self, size: ChunkSize, chunk: u32, level: FormatVersion) -> Write {
        let key = chunk_key(&self.spec.id, chunk);
        let version = self.chunks.get(&chunk).map_or(Version(0), |c| c.version);
        let mut conditions = Vec::new();
        // However late this one is carried out, no newer record is written over.
        if failpoints::enforced(SafetyCheck::RecordsCompareVersions) {
            let key = key.clone();
            conditions.push(Precondition { key, version });
        }
        // Whatever this node has not heard of yet, and however late it is: no start is
        // stored once the job's end is.
        if self.starts_in(size, chunk) && failpoints::enforced(SafetyCheck::StartsNeedAnOpenJob) {
            conditions.push(self.is_still_open());
        }
        let value = self.chunk_value(size, chunk, level);
        (conditions, vec![put(key, value)])
    }

    fn is_still_open(&self) -> Precondition {
        Precondition {
            key: job_header_key(&self.spec.id),
            version: self.version,
        }
    }

    /// A job ends once: whatever this node has not heard of, done is not written over
    /// a cancellation.
    fn ends_once(&self) -> Vec<Precondition> {
        match failpoints::enforced(SafetyCheck::OneEndDecides) {
            true => vec![self.is_still_open()],
            false => Vec::new(),
        }
    }

    /// Calls it done; what may run of it stays on record.
    pub fn finish_write(&self) -> Write {
        let id = &self.spec.id;
        let head = job_header_value(HeaderStage::Done, self.spec.tasks);
        let ops = vec![
            put(job_header_key(id), head.clone()),
            put(job_outcome_key(id), head),
        ];
        (self.ends_once(), ops)
    }

    /// Calls it done and deletes all else: of a job of which nothing is anywhere, the
    /// head says all that is still asked for.
    pub fn close_write(&self) -> Write {
        let id = &self.spec.id;
        let head = job_header_value(HeaderStage::Done, self.spec.tasks);
        let gone = self
            .keys()
            .into_iter()
            .filter(|k| *k != job_outcome_key(id));
        let mut ops = vec![put(job_header_key(id), head)];
        ops.extend(gone.map(|key| Operation::Delete { key }));
        (self.ends_once(), ops)
    }

    /// Deletes what is stored of a job that is over, as far as there is room for so many
    /// changes; whether that is all.
    pub fn drop_write(&self, room: usize) -> (Vec<Operation>, bool) {
        let keys = self.keys();
        let mut n = keys.len().min(room);
        let last = n == keys.len();
        // A submission without its end looks open to a successor, which would start it
        // anew: they go together or not yet.
        if n + 1 == keys.len() && failpoints::enforced(SafetyCheck::EndOutlivesSubmission) {
            n -= 1;
        }
        let ops = keys.into_iter().take(n);
        (ops.map(|key| Operation::Delete { key }).collect(), last)
    }

    /// Takes over a stored record. One that cannot be read keeps the whole job from
    /// being started or written: what it says would be lost, and its tasks may run.
    ///
    /// # Errors
    /// It is damaged, or from a later level.
    pub fn load_chunk(
        &mut self,
        chunk: u32,
        version: Version,
        stored: &Value,
    ) -> Result<(), UnreadableRecord> {
        let there = Chunk {
            version,
            ..Chunk::default()
        };
        self.chunks.insert(chunk, there);
        let read = ChunkProgress::read(stored);
        let read = read.and_then(|v| v.check(self.spec.tasks).map(|()| v));
        self.unreadable |=
            read.is_err() && failpoints::enforced(SafetyCheck::UnreadableIsLeftAlone);
        let v = read?;
        self.attempt = self.attempt.max(v.attempt);
        for (a, b) in v.done {
            for i in a..b.min(self.spec.tasks) {
                self.done.insert(i);
                self.waiting.remove(i);
            }
        }
        for (i, attempt, machine, epoch) in v.assignments {
            self.waiting.remove(i);
            self.attempt = self.attempt.max(attempt);
            self.assignments
                .insert(i, Assignment::inherited(machine, epoch, attempt));
        }
        let grace_s = self.spec.save_s;
        for (a, b) in v.stops {
            for (_, p) in self.assignments.range_mut(a..b) {
                p.stop = Some(Stop {
                    grace_s,
                    at: Time(0),
                    change: None,
                });
            }
        }
        Ok(())
    }

    /// Tasks that may be on machines, for what teams hold: of a job with a record
    /// that cannot be read, all.
    pub fn held(&self) -> usize {
        match self.unreadable {
            true => self.spec.tasks as usize,
            false => self.assignments.len(),
        }
    }

    /// Whether a chunk has starts that are neither stored nor sent.
    pub fn starts_in(&self, size: ChunkSize, chunk: u32) -> bool {
        let stored = self.chunks.get(&chunk).map_or(0, |c| c.stored);
        let low = chunk * size.0;
        let mut here = self.assignments.range(low..low + size.0);
        here.any(|(_, p)| p.unsent() && p.change > stored)
    }

    /// All keys to delete once nothing of the job can run any more. The end and
    /// the submission come last: a successor must find neither records without
    /// a submission, nor a submission that lost its end.
    pub fn keys(&self) -> Vec<String> {
        let id = &self.spec.id;
        self.chunks
            .iter()
            .filter(|(_, c)| c.version != Version(0))
            .map(|(&c, _)| chunk_key(id, c))
            .chain((1..self.parts).map(|p| submission_part_key(id, p)))
            .chain([job_outcome_key(id), submission_key(id)])
            .collect()
    }
}

/// Puts submissions back together from their pieces.
#[derive(Debug, Default)]
pub struct SubmissionAssembler {
    parts: BTreeMap<(JobId, u32), String>,
}

impl SubmissionAssembler {
    /// Keeps a further piece until its submission is read.
    pub fn part(&mut self, id: JobId, part: u32, v: &Value) {
        if let Value::String(s) = v {
            self.parts.insert((id, part), s.clone());
        }
    }

    /// The job of a submission, if all its pieces are there.
    pub fn job(&mut self, id: &JobId, version: Version, v: &Value) -> Option<Job> {
        let v: SubmissionRecord = read(v)?;
        let mut text = v.s;
        for i in 1..v.n {
            text.push_str(&self.parts.remove(&(id.clone(), i))?);
        }
        let spec: Submission = serde_json::from_str(&text).ok()?;
        Some(Job::new(Rc::new(spec), v.at, version, v.n))
    }
}

/// Chunks that differ from what is stored. Those with starts go first, as a
/// start waits for its record; the others wait a little, since a task's end is
/// often soon followed by the next, or by its job's, and then needs no write
/// of its own.
#[derive(Debug, Default)]
pub struct DirtyChunks {
    chunks: BTreeMap<(JobId, u32), (Time, bool)>,
}

/// How long a chunk without starts waits for further changes.
const SETTLES: TimeSpan = TimeSpan::millis(1000);

impl DirtyChunks {
    /// Notes a change; `start`: of a task that is to be started.
    pub fn note(&mut self, chunk: (JobId, u32), now: Time, start: bool) {
        let (_, starts) = self.chunks.entry(chunk).or_insert((now, false));
        *starts |= start;
    }

    /// At most so many chunks to write now, most pressing first, oldest first
    /// among equals. In a rush thousands wait, and this is asked for many times
    /// a second.
    pub fn due(&self, now: Time, most: usize) -> Vec<(JobId, u32)> {
        let mut due: Vec<_> = self
            .chunks
            .iter()
            .filter(|(_, (since, start))| *start || now.since(*since) >= SETTLES)
            .map(|(chunk, (since, start))| (!start, *since, chunk))
            .collect();
        if most < due.len() {
            due.select_nth_unstable(most);
            due.truncate(most);
        }
        due.sort_unstable();
        due.into_iter().map(|(_, _, chunk)| chunk.clone()).collect()
    }

    /// It is being written, or needs no writing.
    pub fn forget(&mut self, chunk: &(JobId, u32)) {
        self.chunks.remove(chunk);
    }
}

/// What a transaction in flight carries.
#[derive(Clone, Debug)]
pub enum CommitItem {
    /// A chunk as it was at a change.
    Chunk(JobId, u32, u64),
    /// A job's head said to be done.
    Finish(JobId),
    /// Likewise, and all else of it deleted.
    Close(JobId),
    /// Keys of an ended job deleted; whether they were the last.
    Drop(JobId, bool),
    /// A duty's record stored, or deleted.
    Note(String, Option<Value>),
    /// A key without its job deleted.
    GarbageCollector(OrphanedKey),
}

/// The leader's only lane of writes: one transaction at a time, so that their
/// order is never in doubt.
#[derive(Debug, Default)]
pub struct CommitPipeline {
    /// The transaction in flight with what it carries.
    pub flight: Option<(Transaction, Vec<CommitItem>)>,
    /// Whether an answer to it was lost, so that it may be applied already.
    pub outcome_unknown: bool,
    /// Whether a call for it is out.
    pub calling: bool,
    /// Not before this time.
    pub not_before: Time,
    /// When a transaction last went through.
    pub committed: Option<Time>,
}

/// Collects changes up to the limits of one transaction.
#[derive(Debug)]
pub struct TransactionBuilder {
    txn: Transaction,
    items: Vec<CommitItem>,
    bytes: usize,
    limits: TransactionLimits,
}

impl TransactionBuilder {
    /// A transaction that only the holder of `token`, the version of this key, can
    /// commit.
    pub fn new(holder: &str, token: FencingToken, limits: TransactionLimits) -> TransactionBuilder {
        TransactionBuilder {
            txn: Transaction {
                conditions: vec![Precondition {
                    key: holder.into(),
                    version: Version(token.0),
                }],
                ops: Vec::new(),
            },
            items: Vec::new(),
            bytes: 0,
            limits,
        }
    }

    /// Whether it has nothing to do yet.
    pub fn is_empty(&self) -> bool {
        self.txn.ops.is_empty()
    }

    /// How many more changes fit.
    pub fn room(&self) -> usize {
        self.limits.ops - self.txn.ops.len()
    }

    /// Adds an item with its changes and conditions; false if it does not fit.
    pub fn add(
        &mut self,
        item: CommitItem,
        conditions: Vec<Precondition>,
        ops: Vec<Operation>,
    ) -> bool {
        let bytes: usize = ops
            .iter()
            .map(|op| match op {
                Operation::Put { key, value, .. } => key.len() + json_len(value) + 40,
                Operation::Delete { key } => key.len() + 20,
            })
            .sum::<usize>()
            + conditions.iter().map(|c| c.key.len() + 40).sum::<usize>();
        if ops.len() > self.room() || self.bytes + bytes > TXN_BYTES {
            return false;
        }
        self.bytes += bytes;
        self.txn.conditions.extend(conditions);
        self.txn.ops.extend(ops);
        self.items.push(item);
        true
    }

    /// The transaction, if it has anything to do.
    pub fn finish(self) -> Option<(Transaction, Vec<CommitItem>)> {
        (!self.txn.ops.is_empty()).then_some((self.txn, self.items))
    }
}

#[cfg(test)]
mod tests;
