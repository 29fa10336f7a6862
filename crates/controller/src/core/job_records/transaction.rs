//! Building the leader's transactions: what each carries, and how much fits into one.
//! Every one of them is conditional on the fencing token. Nothing here sends them.

use super::value::json_len;
use crate::core::garbage_collection::OrphanedKey;
use crate::types::{FencingToken, JobId, Time, Version};
use crate::wire::kvstore::{Operation, Precondition, Transaction};
use serde_json::Value;

/// Limits of the key-value store on one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Most puts and deletes.
    pub ops: usize,
    /// Most bytes of one value.
    pub value_bytes: usize,
}

/// Most bytes of one transaction, below what the key-value store accepts: room is
/// left for preconditions and framing.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Bytes of a put besides its key and value.
const PUT_FRAMING_BYTES: usize = 40;
/// Bytes of a delete besides its key.
const DELETE_FRAMING_BYTES: usize = 20;
/// Bytes of a precondition besides its key.
const PRECONDITION_FRAMING_BYTES: usize = 40;

/// An upper estimate of the bytes that an operation takes within a transaction.
pub(super) fn operation_bytes(operation: &Operation) -> usize {
    match operation {
        Operation::Put { key, value, .. } => key.len() + json_len(value) + PUT_FRAMING_BYTES,
        Operation::Delete { key } => key.len() + DELETE_FRAMING_BYTES,
    }
}

fn precondition_bytes(precondition: &Precondition) -> usize {
    precondition.key.len() + PRECONDITION_FRAMING_BYTES
}

/// One part of a transaction: what it compares, and what it changes.
#[derive(Clone, Debug)]
pub struct ConditionalWrite {
    /// What must hold for the whole transaction to be committed.
    pub preconditions: Vec<Precondition>,
    /// What is changed.
    pub operations: Vec<Operation>,
}

impl From<Vec<Operation>> for ConditionalWrite {
    /// Operations without preconditions of their own.
    fn from(operations: Vec<Operation>) -> ConditionalWrite {
        ConditionalWrite {
            preconditions: Vec::new(),
            operations,
        }
    }
}

/// What a transaction in flight carries, to act on once its outcome is known.
#[derive(Clone, Debug)]
pub enum CommitItem {
    /// A chunk of a job's progress.
    Chunk {
        /// The job.
        job: JobId,
        /// The chunk's number.
        chunk: u32,
        /// The change up to which it is written.
        change: u64,
    },
    /// A job's header that marks it as done.
    Finish(JobId),
    /// A job's header that marks it as done, with all its other keys deleted.
    FinishAndDelete(JobId),
    /// Keys of an ended job deleted; whether they were the last ones.
    DeleteRecords(JobId, bool),
    /// A record of the leader's stored, or deleted: its key and value.
    LeaderRecord(String, Option<Value>),
    /// A key whose job is gone, deleted.
    DeleteOrphan(OrphanedKey),
}

/// A transaction, with what it carries.
#[derive(Clone, Debug)]
pub struct BuiltTransaction {
    /// What is sent to the key-value store.
    pub transaction: Transaction,
    /// What its operations are about, in their order.
    pub items: Vec<CommitItem>,
}

/// The leader's only way to write: one transaction at a time, so that the order of
/// writes is always known.
#[derive(Debug, Default)]
pub struct CommitPipeline {
    /// The transaction in flight.
    pub in_flight: Option<BuiltTransaction>,
    /// Whether an answer to it was lost, so that it may be committed already.
    pub outcome_unknown: bool,
    /// Whether a call for it is outstanding.
    pub call_outstanding: bool,
    /// Earliest time of the next call.
    pub not_before: Time,
    /// When a transaction was last committed.
    pub last_committed: Option<Time>,
}

/// Collects changes up to the limits of one transaction.
#[derive(Debug)]
pub struct TransactionBuilder {
    transaction: Transaction,
    items: Vec<CommitItem>,
    /// Estimated bytes of all that was added.
    bytes: usize,
    limits: TransactionLimits,
}

impl TransactionBuilder {
    /// An empty transaction that is only committed while `leader_key` has the version
    /// `token`, that is, by the leader that holds this fencing token.
    pub fn new(
        leader_key: &str,
        token: FencingToken,
        limits: TransactionLimits,
    ) -> TransactionBuilder {
        TransactionBuilder {
            transaction: Transaction {
                conditions: vec![Precondition {
                    key: leader_key.into(),
                    version: Version(token.0),
                }],
                ops: Vec::new(),
            },
            items: Vec::new(),
            bytes: 0,
            limits,
        }
    }

    /// Whether no operation was added yet.
    pub fn is_empty(&self) -> bool {
        self.transaction.ops.is_empty()
    }

    /// How many more operations fit.
    pub fn room(&self) -> usize {
        self.limits.ops - self.transaction.ops.len()
    }

    /// Adds an item with its write, all or nothing; false if
    /// it does not fit.
    pub fn add(&mut self, item: CommitItem, write: ConditionalWrite) -> bool {
        let operations: usize = write.operations.iter().map(operation_bytes).sum();
        let preconditions: usize = write.preconditions.iter().map(precondition_bytes).sum();
        let bytes = self.bytes + operations + preconditions;
        if write.operations.len() > self.room() || bytes > MAX_TRANSACTION_BYTES {
            return false;
        }
        self.bytes = bytes;
        self.transaction.conditions.extend(write.preconditions);
        self.transaction.ops.extend(write.operations);
        self.items.push(item);
        true
    }

    /// The transaction and what it carries; `None` if it has no operations.
    pub fn finish(self) -> Option<BuiltTransaction> {
        if self.is_empty() {
            return None;
        }
        Some(BuiltTransaction {
            transaction: self.transaction,
            items: self.items,
        })
    }
}
