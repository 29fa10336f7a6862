//! Stored submissions: the transactions that accept and cancel a job, and reading a
//! submission back. A submission longer than one value is stored in several parts.

use super::header::{HeaderStage, JobHeader, job_header_value};
use super::job::Job;
use super::transaction::{MAX_TRANSACTION_BYTES, TransactionLimits, operation_bytes};
use super::value::{put, read_record, to_value};
use crate::core::keys::{job_header_key, job_outcome_key, submission_key, submission_part_key};
use crate::types::{JobId, Version, WallTime};
use crate::wire::kvstore::{Operation, Precondition, Transaction};
use crate::wire::users::Submission;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes of a value reserved for the fields of [`SubmissionRecord`].
const RECORD_FIELDS_BYTES: usize = 128;
/// Minimum of the limit on the size of one part, however small the limit on values is.
const MIN_PART_BYTES: usize = 64;

/// The first part of a stored submission. Further parts are stored as JSON strings.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SubmissionRecord {
    /// Time at which the job was accepted.
    #[serde(rename = "at")]
    accepted_at: WallTime,
    /// Number of parts, including the first one.
    #[serde(rename = "n")]
    parts: u32,
    /// The first part of the submission's JSON text.
    #[serde(rename = "s")]
    text: String,
}

/// The transaction that accepts a job. The transaction fails if a job with the same ID was
/// accepted before. Returns `None` if the submission is too large to be stored.
pub fn accept_transaction(
    job: &Submission,
    at: WallTime,
    limits: TransactionLimits,
) -> Option<Transaction> {
    let text = serde_json::to_string(job).ok()?;
    let parts = split_into_parts(&text, max_part_bytes(limits));
    let header = job_header_value(HeaderStage::Open, job.tasks);
    let mut operations = vec![put(job_header_key(&job.id), header)];
    operations.extend(part_writes(&job.id, at, parts));
    let bytes: usize = operations.iter().map(operation_bytes).sum();
    if operations.len() > limits.ops || bytes > MAX_TRANSACTION_BYTES {
        return None;
    }
    Some(Transaction {
        conditions: vec![Precondition {
            key: job_header_key(&job.id),
            version: Version(0),
        }],
        ops: operations,
    })
}

/// Maximum bytes of submission text in one part, counted as an escaped JSON string.
fn max_part_bytes(limits: TransactionLimits) -> usize {
    // Quotes are escaped when JSON text becomes a JSON string. A third of the value is
    // ample for the escapes of the field names, and the caller checks the total size.
    (limits.value_bytes * 2 / 3)
        .saturating_sub(RECORD_FIELDS_BYTES)
        .max(MIN_PART_BYTES)
}

/// Splits a text into parts of `max_bytes` bytes, counted as an escaped JSON string. There
/// is at least one part, and every part but the last may exceed the limit by one
/// character.
fn split_into_parts(text: &str, max_bytes: usize) -> Vec<String> {
    let mut parts = Vec::new();
    let mut part = String::new();
    let mut part_bytes = 0;
    for character in text.chars() {
        part_bytes += escaped_bytes(character);
        part.push(character);
        if part_bytes >= max_bytes {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
    }
    if !part.is_empty() || parts.is_empty() {
        parts.push(part);
    }
    parts
}

/// Number of bytes of a character in a JSON string, escapes included.
fn escaped_bytes(character: char) -> usize {
    match character {
        '"' | '\\' => 2,
        control if (control as u32) < 0x20 => 6,
        other => other.len_utf8(),
    }
}

/// The operations that store the parts of a submission.
fn part_writes(
    id: &JobId,
    accepted_at: WallTime,
    parts: Vec<String>,
) -> impl Iterator<Item = Operation> + '_ {
    let count = parts.len() as u32;
    parts.into_iter().enumerate().map(move |(number, text)| {
        if number > 0 {
            let key = submission_part_key(id, number as u32);
            return put(key, Value::String(text));
        }
        let record = SubmissionRecord {
            accepted_at,
            parts: count,
            text,
        };
        put(submission_key(id), to_value(&record))
    })
}

/// The transaction that cancels a job whose header was read as open at `version`. The
/// transaction that marks the job as done has the same version as its precondition, so
/// only one of the two transactions is committed.
pub fn cancel_transaction(id: &JobId, header: JobHeader, version: Version) -> Transaction {
    let value = job_header_value(HeaderStage::Cancelled, header.task_count);
    let key = job_header_key(id);
    Transaction {
        conditions: vec![Precondition { key, version }],
        ops: vec![
            put(job_header_key(id), value.clone()),
            put(job_outcome_key(id), value),
        ],
    }
}

/// Assembles stored submissions from their parts.
#[derive(Debug, Default)]
pub struct SubmissionAssembler {
    /// Further parts by job and part number, kept until the first part is read.
    parts: BTreeMap<(JobId, u32), String>,
}

impl SubmissionAssembler {
    /// Keeps a further part until the first part is read. A value other than a string is
    /// ignored, and the submission then stays incomplete.
    pub fn add_part(&mut self, id: JobId, part: u32, value: &Value) {
        if let Value::String(text) = value {
            self.parts.insert((id, part), text.clone());
        }
    }

    /// Creates the job of a submission whose first part is `value`, stored at `version`.
    /// Returns `None` if a part is missing or the assembled text is not a submission.
    pub fn assemble(&mut self, id: &JobId, version: Version, value: &Value) -> Option<Job> {
        let record: SubmissionRecord = read_record(value)?;
        let mut text = record.text;
        for part in 1..record.parts {
            text.push_str(&self.parts.remove(&(id.clone(), part))?);
        }
        let submission: Submission = serde_json::from_str(&text).ok()?;
        Some(Job::new(
            Rc::new(submission),
            record.accepted_at,
            version,
            record.parts,
        ))
    }
}

#[cfg(test)]
mod tests;
