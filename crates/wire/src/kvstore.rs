//! The state service's messages. Values travel as JSON-like data.

use crate::types::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(default)]
    pub value: Value,
    /// Its version.
    #[serde(rename = "touched")]
    pub version: Version,
}

/// The answer about one key: as an entry, with its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyResponse {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(default)]
    pub value: Value,
    /// Its version.
    #[serde(rename = "touched")]
    pub version: Version,
    /// The lease it hangs on.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryPage {
    /// The keys, in order.
    #[serde(rename = "entries")]
    pub items: Vec<Entry>,
    /// Whether more follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// Revision of the store.
    #[serde(rename = "ledger_mark")]
    pub revision: Version,
}

/// A condition: the key has this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The version it must have.
    #[serde(rename = "touched")]
    pub version: Version,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Write a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        value: Value,
        /// The lease it hangs on.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Operation {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Operation::Put { key, .. } | Operation::Delete { key } => key,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Precondition>,
    /// What then happens.
    #[serde(rename = "apply")]
    pub ops: Vec<Operation>,
}

/// Answer to a transaction, and of a missing key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the store.
    #[serde(rename = "ledger_mark", default)]
    pub revision: Version,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Its life.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Its number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, when written.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, when deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The new value.
    #[serde(default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "touched")]
    pub version: Version,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision of the store.
    #[serde(rename = "ledger_mark")]
    pub revision: Version,
    /// The changes, in order.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
