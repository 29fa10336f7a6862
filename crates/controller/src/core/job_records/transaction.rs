//! Transactions within their limits.

use super::value::json_len;
use crate::core::garbage_collection::OrphanedKey;
use crate::types::{FencingToken, JobId, Time, Version};
use crate::wire::kvstore::{Operation, Precondition, Transaction};
use serde_json::Value;

/// Limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Puts and deletes.
    pub ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

/// Bytes of one transaction, with room left for conditions and framing.
pub(super) const TXN_BYTES: usize = 56 * 1024;

/// What a write compares, and what it changes.
pub type Write = (Vec<Precondition>, Vec<Operation>);

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
