//! Messages of the key-value store: reads, transactions, leases, watches. Values travel
//! as JSON-like data.

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

/// The response to a read of one key.
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
    /// The lease that it is bound to: it is deleted when that expires.
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

/// A precondition of a transaction: the key has this version; 0 stands for absent.
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
        /// The lease that it is bound to: it is deleted when that expires.
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

/// A compare-and-swap over several keys: all operations or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold, else nothing is carried out.
    #[serde(rename = "if")]
    pub conditions: Vec<Precondition>,
    /// What then happens.
    #[serde(rename = "apply")]
    pub ops: Vec<Operation>,
}

/// The response to a transaction, and to a read of a missing key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the store.
    #[serde(rename = "ledger_mark", default)]
    pub revision: Version,
    /// Keys whose precondition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Time to live, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// The response to a lease request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease's number.
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

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision of the store.
    #[serde(rename = "ledger_mark")]
    pub revision: Version,
    /// The changes, in order.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
