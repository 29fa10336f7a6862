//! Small records whose writes are pending. The leader adds them to its transactions,
//! which only the holder of the fencing token can commit. This module writes nothing to
//! the store.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Changes of records that are not stored yet, at most one for each key.
#[derive(Clone, Debug, Default)]
pub struct PendingWrites {
    puts: BTreeMap<String, Value>,
    deletes: BTreeSet<String>,
    /// Records whose values are larger than the key-value store accepts.
    oversized: BTreeMap<String, Value>,
    /// Number of changes taken out for a transaction so far, including any that were put
    /// back later. `/inspect` shows it.
    pub taken_total: u64,
}

impl PendingWrites {
    /// Adds a record to store. Replaces an earlier change of the same key.
    pub fn put(&mut self, key: String, value: Value) {
        self.deletes.remove(&key);
        self.puts.insert(key, value);
    }

    /// Adds a record to delete. Replaces an earlier change of the same key.
    pub fn delete(&mut self, key: String) {
        self.puts.remove(&key);
        self.deletes.insert(key);
    }

    /// Takes out at most `limit` records to store. The caller takes them before the
    /// deletions, since actions wait until these records are stored.
    pub fn take_puts(&mut self, limit: usize) -> Vec<(String, Value)> {
        let keys: Vec<String> = self.puts.keys().take(limit).cloned().collect();
        self.taken_total += keys.len() as u64;
        keys.into_iter()
            .filter_map(|key| self.puts.remove_entry(&key))
            .collect()
    }

    /// Takes out at most `limit` keys to delete. No action waits for a deletion.
    pub fn take_deletes(&mut self, limit: usize) -> Vec<String> {
        let keys: Vec<String> = self.deletes.iter().take(limit).cloned().collect();
        self.taken_total += keys.len() as u64;
        for key in &keys {
            self.deletes.remove(key);
        }
        keys
    }

    /// Restores a change that was taken out and not committed; `value` is `None` for a
    /// deletion. A later change of the same key takes precedence.
    pub fn put_back(&mut self, key: String, value: Option<Value>) {
        if self.puts.contains_key(&key) || self.deletes.contains(&key) {
            return;
        }
        match value {
            Some(value) => {
                self.puts.insert(key, value);
            }
            None => {
                self.deletes.insert(key);
            }
        }
    }

    /// Sets aside a record that was taken out and whose value is larger than the key-value
    /// store accepts, until it is replaced by smaller ones.
    pub fn set_oversized(&mut self, key: String, value: Value) {
        self.oversized.insert(key, value);
    }

    /// Takes out the records whose values are too large.
    pub fn take_oversized(&mut self) -> BTreeMap<String, Value> {
        std::mem::take(&mut self.oversized)
    }

    /// The number of pending changes.
    pub fn len(&self) -> usize {
        self.puts.len() + self.deletes.len() + self.oversized.len()
    }

    /// Whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
