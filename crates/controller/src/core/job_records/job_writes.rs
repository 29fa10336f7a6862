//! What is written of a job.

use super::chunk_size::ChunkSize;
use super::header::{HeaderStage, job_header_value};
use super::index_ranges::IndexRanges;
use super::job::Job;
use super::transaction::Write;
use super::value::put;
use crate::core::assignment::Assignment;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::format_version::FormatVersion;
use crate::core::format_version::chunk_progress::ChunkProgress;
use crate::core::keys::{
    chunk_key, job_header_key, job_outcome_key, submission_key, submission_part_key,
};
use crate::types::Version;
use crate::wire::kvstore::{Operation, Precondition};
use serde_json::Value;

impl Job {
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
