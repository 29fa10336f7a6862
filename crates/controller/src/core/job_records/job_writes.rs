//! What is written of a job: its chunks, its end, and the deletion of its records.
//! Only makes up writes; the commit pipeline sends them.

use super::chunk_size::ChunkSize;
use super::header::{HeaderStage, job_header_value};
use super::index_ranges::IndexRanges;
use super::job::Job;
use super::transaction::ConditionalWrite;
use super::value::put;
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
    /// The record of a chunk as it should be stored in the format version `format`.
    pub fn chunk_value(&self, size: ChunkSize, chunk: u32, format: FormatVersion) -> Value {
        let tasks = size.tasks_of(chunk);
        let assignments = self
            .assignments
            .range(tasks.clone())
            .map(|(&task, a)| (task, a.attempt, a.machine.clone(), a.epoch));
        let progress = ChunkProgress {
            attempt: self.attempt,
            done: self.done.within(tasks.start, tasks.end),
            assignments: assignments.collect(),
            stops: self.stopping(tasks.clone()).within(tasks.start, tasks.end),
        };
        progress.write(format)
    }

    /// Those of these tasks that are being stopped.
    fn stopping(&self, tasks: std::ops::Range<u32>) -> IndexRanges {
        let mut stopping = IndexRanges::default();
        if failpoints::enforced(SafetyCheck::StopsAreStored) {
            for (&task, assignment) in self.assignments.range(tasks) {
                if assignment.stop.is_some() {
                    stopping.insert(task);
                }
            }
        }
        stopping
    }

    /// Stores a chunk.
    pub fn write_chunk(
        &self,
        size: ChunkSize,
        chunk: u32,
        format: FormatVersion,
    ) -> ConditionalWrite {
        let key = chunk_key(&self.spec.id, chunk);
        let mut preconditions = Vec::new();
        // However late this transaction is carried out, it overwrites no newer record.
        if failpoints::enforced(SafetyCheck::RecordsCompareVersions) {
            preconditions.push(Precondition {
                key: key.clone(),
                version: self.stored_version(chunk),
            });
        }
        // No start is stored once the job's end is, however late this transaction is
        // carried out and whatever this node does not know yet.
        if self.starts_in(size, chunk) && failpoints::enforced(SafetyCheck::StartsNeedAnOpenJob) {
            preconditions.push(self.header_is_unchanged());
        }
        let value = self.chunk_value(size, chunk, format);
        ConditionalWrite {
            preconditions,
            operations: vec![put(key, value)],
        }
    }

    fn stored_version(&self, chunk: u32) -> Version {
        self.chunks
            .get(&chunk)
            .map_or(Version(0), |chunk| chunk.version)
    }

    /// That the job is neither done nor cancelled: both change its header.
    fn header_is_unchanged(&self) -> Precondition {
        Precondition {
            key: job_header_key(&self.spec.id),
            version: self.header_version,
        }
    }

    /// What must hold to mark the job as done. A job ends once: whatever this node
    /// does not know yet, a cancellation is not overwritten.
    fn preconditions_of_end(&self) -> Vec<Precondition> {
        match failpoints::enforced(SafetyCheck::OneOutcomeIsCommitted) {
            true => vec![self.header_is_unchanged()],
            false => Vec::new(),
        }
    }

    /// Marks the job as done; the records of tasks that may still run are kept.
    pub fn write_done(&self) -> ConditionalWrite {
        let id = &self.spec.id;
        let header = job_header_value(HeaderStage::Done, self.spec.tasks);
        ConditionalWrite {
            preconditions: self.preconditions_of_end(),
            operations: vec![
                put(job_header_key(id), header.clone()),
                put(job_outcome_key(id), header),
            ],
        }
    }

    /// Marks the job as done and deletes all its other keys: where none of its tasks
    /// can be on a machine, the header answers all that can still be asked.
    pub fn write_done_and_delete(&self) -> ConditionalWrite {
        let id = &self.spec.id;
        let header = job_header_value(HeaderStage::Done, self.spec.tasks);
        let outcome = job_outcome_key(id);
        let obsolete = self.keys().into_iter().filter(|key| *key != outcome);
        let mut operations = vec![put(job_header_key(id), header)];
        operations.extend(obsolete.map(|key| Operation::Delete { key }));
        ConditionalWrite {
            preconditions: self.preconditions_of_end(),
            operations,
        }
    }

    /// Deletes the keys of a job that has ended, at most `room` of them in this
    /// transaction; whether these are the last.
    pub fn delete_records(&self, room: usize) -> (Vec<Operation>, bool) {
        let keys = self.keys();
        let mut count = keys.len().min(room);
        let is_last = count == keys.len();
        // A submission without its job's outcome looks open to a successor, which would
        // start it again: both are deleted together, or neither yet.
        let would_split_them = count + 1 == keys.len();
        if would_split_them && failpoints::enforced(SafetyCheck::OutcomeOutlivesSubmission) {
            count -= 1;
        }
        let deletes = keys
            .into_iter()
            .take(count)
            .map(|key| Operation::Delete { key });
        (deletes.collect(), is_last)
    }

    /// All keys to delete once nothing of the job can run any more. The outcome and
    /// the submission come last: a successor must find neither records without
    /// a submission, nor a submission without its outcome.
    pub fn keys(&self) -> Vec<String> {
        let id = &self.spec.id;
        let chunks = self
            .chunks
            .iter()
            .filter(|(_, chunk)| chunk.version != Version(0))
            .map(|(&number, _)| chunk_key(id, number));
        let parts = (1..self.parts).map(|part| submission_part_key(id, part));
        chunks
            .chain(parts)
            .chain([job_outcome_key(id), submission_key(id)])
            .collect()
    }
}
