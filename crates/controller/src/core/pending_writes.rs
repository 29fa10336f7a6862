//! Small records that wait to be written. They ride with the leader's commits,
//! which only the holder of the token gets through.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Records as they should be stored, as far as that is not so yet.
#[derive(Clone, Debug, Default)]
pub struct PendingWrites {
    puts: BTreeMap<String, Value>,
    deletes: BTreeSet<String>,
    /// Changes handed out to be written, for operators.
    pub written: u64,
}

impl PendingWrites {
    /// A record is to be stored.
    pub fn put(&mut self, key: String, value: Value) {
        self.deletes.remove(&key);
        self.puts.insert(key, value);
    }

    /// A record is to be deleted.
    pub fn delete(&mut self, key: String) {
        self.puts.remove(&key);
        self.deletes.insert(key);
    }

    /// Takes out up to `most` records to store: acts wait for them.
    pub fn take_puts(&mut self, most: usize) -> Vec<(String, Value)> {
        let keys: Vec<String> = self.puts.keys().take(most).cloned().collect();
        self.written += keys.len() as u64;
        let taken = keys.into_iter();
        taken.filter_map(|k| self.puts.remove_entry(&k)).collect()
    }

    /// Takes out up to `most` keys to delete: nothing waits for them.
    pub fn take_deletes(&mut self, most: usize) -> Vec<String> {
        let keys: Vec<String> = self.deletes.iter().take(most).cloned().collect();
        self.written += keys.len() as u64;
        for k in &keys {
            self.deletes.remove(k);
        }
        keys
    }

    /// What was taken out was not written. A later change goes before it.
    pub fn again(&mut self, key: String, value: Option<Value>) {
        if self.puts.contains_key(&key) || self.deletes.contains(&key) {
            return;
        }
        match value {
            Some(value) => self.puts.insert(key, value).map(drop),
            None => self.deletes.insert(key).then_some(()),
        };
    }

    /// How many changes wait.
    pub fn len(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
