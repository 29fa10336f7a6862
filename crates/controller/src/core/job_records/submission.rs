//! Submissions as they are stored.

use super::header::{HeaderStage, JobHeader, job_header_value};
use super::job::Job;
use super::transaction::{TXN_BYTES, TransactionLimits};
use super::value::{json_len, put, read, value};
use crate::core::keys::{job_header_key, job_outcome_key, submission_key, submission_part_key};
use crate::types::{JobId, Version, WallTime};
use crate::wire::kvstore::{Operation, Precondition, Transaction};
use crate::wire::users::Submission;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct SubmissionRecord {
    at: WallTime,
    n: u32,
    s: String,
}

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

#[cfg(test)]
mod tests;
