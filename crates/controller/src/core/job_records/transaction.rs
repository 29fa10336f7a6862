//! Building the leader's transactions: the contents of each transaction, and the limits
//! on its size. Every transaction is conditional on the fencing token. The commit
//! pipeline of the leader sends the transactions.

use super::value::json_len;
use crate::core::garbage_collection::OrphanedKey;
use crate::types::{FencingToken, JobId, Time, Version};
use crate::wire::kvstore::{Operation, Precondition, Transaction};
use serde_json::Value;

/// Limits of the key-value store on one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Maximum number of puts and deletes together.
    pub ops: usize,
    /// Maximum size of one value, in bytes.
    pub value_bytes: usize,
}

/// Maximum size of one transaction, in bytes. The limit is below the maximum that the
/// key-value store accepts, which leaves room for preconditions and framing.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Bytes of a put in addition to its key and value.
const PUT_FRAMING_BYTES: usize = 40;
/// Bytes of a delete in addition to its key.
const DELETE_FRAMING_BYTES: usize = 20;
/// Bytes of a precondition in addition to its key.
const PRECONDITION_FRAMING_BYTES: usize = 40;

/// An upper estimate of the bytes of an operation within a transaction.
pub(super) fn operation_bytes(operation: &Operation) -> usize {
    match operation {
        Operation::Put { key, value, .. } => key.len() + json_len(value) + PUT_FRAMING_BYTES,
        Operation::Delete { key } => key.len() + DELETE_FRAMING_BYTES,
    }
}

/// Bytes of an operation's value, given those of the whole operation.
fn value_bytes(operation: &Operation, operation_bytes: usize) -> usize {
    match operation {
        Operation::Put { key, .. } => operation_bytes - key.len() - PUT_FRAMING_BYTES,
        Operation::Delete { .. } => 0,
    }
}

fn precondition_bytes(precondition: &Precondition) -> usize {
    precondition.key.len() + PRECONDITION_FRAMING_BYTES
}

/// One part of a transaction: preconditions and operations.
#[derive(Clone, Debug)]
pub struct ConditionalWrite {
    /// Conditions that must hold for the whole transaction to be committed.
    pub preconditions: Vec<Precondition>,
    /// Puts and deletes to apply.
    pub operations: Vec<Operation>,
}

impl From<Vec<Operation>> for ConditionalWrite {
    /// Creates a write without preconditions.
    fn from(operations: Vec<Operation>) -> ConditionalWrite {
        ConditionalWrite {
            preconditions: Vec::new(),
            operations,
        }
    }
}

/// An item of a transaction in flight, which is processed once the transaction's outcome
/// is known.
#[derive(Clone, Debug)]
pub enum CommitItem {
    /// A chunk of a job that is stored.
    Chunk {
        /// The job that the chunk belongs to.
        job: JobId,
        /// The chunk's number within the job.
        chunk: u32,
        /// Number of the last change that the write contains.
        change: u64,
    },
    /// A job's header that marks it as done.
    Finish(JobId),
    /// A job's header that marks it as done, with all its other keys deleted.
    FinishAndDelete(JobId),
    /// Deletion of keys of an ended job. The flag tells whether they are the job's last
    /// keys.
    DeleteRecords(JobId, bool),
    /// A record of the leader that is stored or deleted: its key, and its value or `None`
    /// for a deletion.
    LeaderRecord(String, Option<Value>),
    /// Deletion of a key whose job no longer exists.
    DeleteOrphan(OrphanedKey),
}

/// A transaction with its items.
#[derive(Clone, Debug)]
pub struct BuiltTransaction {
    /// The request to the key-value store.
    pub transaction: Transaction,
    /// The items that the operations belong to, in the order of the operations.
    pub items: Vec<CommitItem>,
}

/// State of the leader's commit pipeline. All writes of the leader pass through the
/// pipeline, one transaction at a time, so that the order of writes is always known.
#[derive(Debug, Default)]
pub struct CommitPipeline {
    /// The transaction in flight; `None` if none is.
    pub in_flight: Option<BuiltTransaction>,
    /// Whether an answer for the transaction in flight was lost, so that the transaction
    /// may be committed already.
    pub outcome_unknown: bool,
    /// Whether a call for the transaction in flight is outstanding.
    pub call_outstanding: bool,
    /// Earliest time of the next call.
    pub not_before: Time,
    /// Time at which a transaction was last committed; `None` if none was.
    pub last_committed: Option<Time>,
}

/// Why a write cannot be added to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddError {
    /// The transaction has no room for the write; a later one may have.
    #[error("the transaction is full")]
    Full,
    /// A value of the write is larger than the store accepts in any transaction.
    #[error("a value is larger than the key-value store accepts")]
    ValueTooLarge,
}

/// Collects writes up to the limits of one transaction.
#[derive(Debug)]
pub struct TransactionBuilder {
    transaction: Transaction,
    items: Vec<CommitItem>,
    /// Estimated size of all added writes, in bytes.
    bytes: usize,
    limits: TransactionLimits,
    /// Maximum number of items.
    max_items: usize,
}

impl TransactionBuilder {
    /// Creates an empty transaction that is only committed while `leader_key` has the
    /// version `token`, that is, while the leader with this fencing token leads.
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
            max_items: usize::MAX,
        }
    }

    /// Limits the transaction to one item, to find out which item the store refuses.
    pub fn allow_one_item(&mut self) {
        self.max_items = 1;
    }

    /// Whether no operation has been added yet.
    pub fn is_empty(&self) -> bool {
        self.transaction.ops.is_empty()
    }

    /// Maximum size of a value, in bytes.
    pub fn max_value_bytes(&self) -> usize {
        self.limits.value_bytes
    }

    /// Number of further operations that the limits allow.
    pub fn remaining_operations(&self) -> usize {
        self.limits.ops - self.transaction.ops.len()
    }

    /// Adds an item with its whole write.
    ///
    /// # Errors
    /// The write does not fit; nothing is added.
    pub fn add(&mut self, item: CommitItem, write: ConditionalWrite) -> Result<(), AddError> {
        let mut bytes = self.bytes;
        for operation in &write.operations {
            let operation_bytes = operation_bytes(operation);
            if value_bytes(operation, operation_bytes) > self.limits.value_bytes {
                return Err(AddError::ValueTooLarge);
            }
            bytes += operation_bytes;
        }
        bytes += write
            .preconditions
            .iter()
            .map(precondition_bytes)
            .sum::<usize>();
        if self.items.len() >= self.max_items
            || write.operations.len() > self.remaining_operations()
            || bytes > MAX_TRANSACTION_BYTES
        {
            return Err(AddError::Full);
        }
        self.bytes = bytes;
        self.transaction.conditions.extend(write.preconditions);
        self.transaction.ops.extend(write.operations);
        self.items.push(item);
        Ok(())
    }

    /// Returns the transaction with its items; `None` if there are no operations.
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
