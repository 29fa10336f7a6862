//! Builds the writes of a job's records: its chunks, its end, and the deletion of its
//! records. The commit pipeline sends these writes.

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
    /// The record of a chunk in the format version `format`.
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

    /// The tasks of a range that are being stopped.
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

    /// The write that stores a chunk in the format version `format`.
    pub fn write_chunk(
        &self,
        size: ChunkSize,
        chunk: u32,
        format: FormatVersion,
    ) -> ConditionalWrite {
        let key = chunk_key(&self.spec.id, chunk);
        let mut preconditions = Vec::new();
        // A delayed transaction must not overwrite a newer record.
        if failpoints::enforced(SafetyCheck::RecordsCompareVersions) {
            preconditions.push(Precondition {
                key: key.clone(),
                version: self.stored_version(chunk),
            });
        }
        // No start may be stored after the job's end, even if this transaction is delayed
        // or this controller has not yet received the job's end.
        if self.starts_in(size, chunk) && failpoints::enforced(SafetyCheck::StartsNeedAnOpenJob) {
            preconditions.push(self.header_is_unchanged());
        }
        let value = self.chunk_value(size, chunk, format);
        ConditionalWrite {
            preconditions,
            operations: vec![put(key, value)],
        }
    }

    /// Version of a chunk's stored record; 0 if no record is stored.
    fn stored_version(&self, chunk: u32) -> Version {
        self.chunks
            .get(&chunk)
            .map_or(Version(0), |chunk| chunk.version)
    }

    /// The precondition that the job is neither done nor cancelled, since both change its
    /// header.
    fn header_is_unchanged(&self) -> Precondition {
        Precondition {
            key: job_header_key(&self.spec.id),
            version: self.header_version,
        }
    }

    /// Preconditions for marking the job as done. A job ends only once: a cancellation that
    /// this controller has not yet received must not be overwritten.
    fn done_preconditions(&self) -> Vec<Precondition> {
        match failpoints::enforced(SafetyCheck::OneOutcomeIsCommitted) {
            true => vec![self.header_is_unchanged()],
            false => Vec::new(),
        }
    }

    /// The write that marks the job as done and keeps all other records, for jobs with
    /// tasks that may still be running.
    pub fn write_done(&self) -> ConditionalWrite {
        let id = &self.spec.id;
        let header = job_header_value(HeaderStage::Done, self.spec.tasks);
        ConditionalWrite {
            preconditions: self.done_preconditions(),
            operations: vec![
                put(job_header_key(id), header.clone()),
                put(job_outcome_key(id), header),
            ],
        }
    }

    /// The write that marks the job as done and deletes all its other keys. For jobs
    /// without tasks on machines: the header then suffices for all later queries.
    pub fn write_done_and_delete(&self) -> ConditionalWrite {
        let id = &self.spec.id;
        let header = job_header_value(HeaderStage::Done, self.spec.tasks);
        let outcome = job_outcome_key(id);
        let obsolete = self.keys().into_iter().filter(|key| *key != outcome);
        let mut operations = vec![put(job_header_key(id), header)];
        operations.extend(obsolete.map(|key| Operation::Delete { key }));
        ConditionalWrite {
            preconditions: self.done_preconditions(),
            operations,
        }
    }

    /// The operations that delete at most `max_keys` keys of a job that has ended, and
    /// whether these are the last keys of the job.
    pub fn delete_records(&self, max_keys: usize) -> (Vec<Operation>, bool) {
        let keys = self.keys();
        let mut count = keys.len().min(max_keys);
        let is_last = count == keys.len();
        // A submission without its job's outcome appears open to the next leader, which
        // would start the job again. So both are deleted in the same transaction.
        let would_split_outcome_from_submission = count + 1 == keys.len();
        if would_split_outcome_from_submission
            && failpoints::enforced(SafetyCheck::OutcomeOutlivesSubmission)
        {
            count -= 1;
        }
        let deletes = keys
            .into_iter()
            .take(count)
            .map(|key| Operation::Delete { key });
        (deletes.collect(), is_last)
    }

    /// All keys to delete once no task of the job can be running any more. The outcome and
    /// the submission come last: the next leader must find neither records without a
    /// submission nor a submission without its outcome.
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
