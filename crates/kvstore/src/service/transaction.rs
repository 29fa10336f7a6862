//! Transactions: puts and deletes that are applied atomically if all preconditions on
//! versions hold.

use super::reply::{Reply, check_key, json_length};
use super::{RETAINED_CHANGES, Service};
use crate::persisted_state::{ChangeRecord, StoredKey, StoredValue};
use crate::storage::Storage;
use pebblefold_wire::kvstore as wire;
use pebblefold_wire::types::{Time, Version};
use pebblefold_wire::{decode, encode};

/// Maximum length of one transaction, as JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of preconditions, as a multiple of the maximum number of operations.
const PRECONDITIONS_PER_OPERATION: usize = 4;

fn check_limit(what: &str, found: usize, limit: usize) -> Result<(), Reply> {
    if found <= limit {
        return Ok(());
    }
    Err(Reply::error(
        400,
        format!("{what}: {found}, at most {limit}"),
    ))
}

impl<S: Storage> Service<S> {
    /// Applies a transaction, or answers 409 with the keys whose version differs from
    /// the precondition's.
    pub(super) fn commit(&mut self, now: Time, body: &[u8]) -> Result<Reply, Reply> {
        let transaction: wire::Transaction =
            decode(body).ok_or_else(|| Reply::error(400, "not a transaction in MessagePack"))?;
        self.check_transaction(&transaction)?;
        if !self
            .write_limiter
            .try_take(now, transaction.ops.len() as f64)
        {
            return Err(Reply::empty(429));
        }
        let failed = self.failed_preconditions(&transaction);
        if !failed.is_empty() {
            return Ok(Reply::message(409, &self.transaction_response(failed)));
        }
        if !transaction.ops.is_empty() {
            self.begin_revision();
        }
        for operation in transaction.ops {
            match operation {
                wire::Operation::Put { key, value, lease } => {
                    self.put(key, StoredValue(encode(&value).into()), lease);
                }
                wire::Operation::Delete { key } => self.delete(key),
            }
        }
        Ok(Reply::message(200, &self.transaction_response(Vec::new())))
    }

    fn check_transaction(&self, transaction: &wire::Transaction) -> Result<(), Reply> {
        let operations = self.limits.txn_ops;
        let preconditions = operations * PRECONDITIONS_PER_OPERATION;
        check_limit("apply", transaction.ops.len(), operations)?;
        check_limit("if", transaction.conditions.len(), preconditions)?;
        let bytes = json_length(transaction);
        check_limit("transaction bytes", bytes, MAX_TRANSACTION_BYTES)?;
        for precondition in &transaction.conditions {
            check_key(&precondition.key)?;
        }
        for operation in &transaction.ops {
            self.check_operation(operation)?;
        }
        Ok(())
    }

    fn check_operation(&self, operation: &wire::Operation) -> Result<(), Reply> {
        check_key(operation.key())?;
        let wire::Operation::Put { key, value, lease } = operation else {
            return Ok(());
        };
        let what = format!("{key}: value bytes");
        check_limit(&what, json_length(value), self.limits.value_bytes)?;
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(Reply::error(400, "no such lease"));
        }
        Ok(())
    }

    /// Keys whose current version differs from the precondition's; an absent key has
    /// version 0.
    fn failed_preconditions(&self, transaction: &wire::Transaction) -> Vec<String> {
        let version = |key: &str| self.state.keys.get(key).map_or(0, |k| k.version.0);
        transaction
            .conditions
            .iter()
            .filter(|precondition| version(&precondition.key) != precondition.version.0)
            .map(|precondition| precondition.key.clone())
            .collect()
    }

    /// A response with the store's current revision and the keys whose precondition
    /// failed.
    pub(super) fn transaction_response(&self, failed: Vec<String>) -> wire::TransactionResponse {
        let revision = Version(self.state.counters.revision);
        wire::TransactionResponse { revision, failed }
    }

    /// Increments the store's revision; all changes until the next call get this
    /// revision.
    pub(super) fn begin_revision(&mut self) {
        self.state.counters.revision += 1;
        self.batch.counters = self.state.counters;
        self.watches_outdated = true;
    }

    fn detach_from_lease(&mut self, name: &str) {
        let lease = self.state.keys.get(name).and_then(|k| k.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(name);
        }
    }

    fn put(&mut self, name: String, value: StoredValue, lease: Option<u64>) {
        self.detach_from_lease(&name);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(name.clone());
        }
        let key = StoredKey {
            value: value.clone(),
            version: Version(self.state.counters.revision),
            lease,
        };
        self.batch.keys.push((name.clone(), Some(key.clone())));
        self.state.keys.insert(name.clone(), key);
        self.append_change(ChangeRecord {
            key: name,
            value: Some(value),
        });
    }

    pub(super) fn delete(&mut self, name: String) {
        self.detach_from_lease(&name);
        if self.state.keys.remove(&name).is_none() {
            return;
        }
        self.batch.keys.push((name.clone(), None));
        self.append_change(ChangeRecord {
            key: name,
            value: None,
        });
    }

    /// Appends to the change log that watches read and drops the oldest entries beyond
    /// [`RETAINED_CHANGES`].
    fn append_change(&mut self, change: ChangeRecord) {
        let revision = self.state.counters.revision;
        let position = match self.state.changes.back() {
            Some(((last, position), _)) if *last == revision => position + 1,
            _ => 0,
        };
        let change_id = (revision, position);
        self.batch.changes.push((change_id, change.clone()));
        self.state.changes.push_back((change_id, change));
        while self.state.changes.len() > RETAINED_CHANGES
            && let Some((oldest, _)) = self.state.changes.pop_front()
        {
            self.batch.compacted_changes.push(oldest);
            self.state.counters.compacted_revision = oldest.0;
            self.batch.counters = self.state.counters;
        }
    }
}
