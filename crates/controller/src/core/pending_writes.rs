//! Small records that wait to be written. They are added to the leader's transactions,
//! which only the holder of the fencing token can commit. Nothing here writes them.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Changes to records that are not stored yet, at most one for each key.
#[derive(Clone, Debug, Default)]
pub struct PendingWrites {
    puts: BTreeMap<String, Value>,
    deletes: BTreeSet<String>,
    /// Changes taken out to be written, for operators.
    pub written: u64,
}

impl PendingWrites {
    /// A record is to be stored. Replaces an earlier change of its key.
    pub fn put(&mut self, key: String, value: Value) {
        self.deletes.remove(&key);
        self.puts.insert(key, value);
    }

    /// A record is to be deleted. Replaces an earlier change of its key.
    pub fn delete(&mut self, key: String) {
        self.puts.remove(&key);
        self.deletes.insert(key);
    }

    /// Takes out at most `limit` records to store. They go before deletions, as
    /// actions wait for them.
    pub fn take_puts(&mut self, limit: usize) -> Vec<(String, Value)> {
        let keys: Vec<String> = self.puts.keys().take(limit).cloned().collect();
        self.written += keys.len() as u64;
        keys.into_iter()
            .filter_map(|key| self.puts.remove_entry(&key))
            .collect()
    }

    /// Takes out at most `limit` keys to delete. Nothing waits for them.
    pub fn take_deletes(&mut self, limit: usize) -> Vec<String> {
        let keys: Vec<String> = self.deletes.iter().take(limit).cloned().collect();
        self.written += keys.len() as u64;
        for key in &keys {
            self.deletes.remove(key);
        }
        keys
    }

    /// Puts back a change that was taken out and not written; `value` is `None` for a
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

    /// How many changes wait.
    pub fn len(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }

    /// Whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
