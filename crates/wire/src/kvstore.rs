//! Messages of the key-value store: reads, transactions, leases, watches. Values are
//! JSON-like data.

use crate::types::Version;
use crate::users::ErrorResponse;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One key with its value, in a page of a range read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The full name of the key.
    pub key: String,
    /// The value that was last written to the key.
    #[serde(default)]
    pub value: Value,
    /// Revision of the store at which the key was last written.
    #[serde(rename = "touched")]
    pub version: Version,
}

/// The response to a read of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyResponse {
    /// The full name of the key.
    pub key: String,
    /// The value that was last written to the key.
    #[serde(default)]
    pub value: Value,
    /// Revision of the store at which the key was last written.
    #[serde(rename = "touched")]
    pub version: Version,
    /// The lease that the key is bound to: the key is deleted when the lease ends. `None`:
    /// the key is bound to no lease.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of a range read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryPage {
    /// The keys of this page, in the order of their names.
    #[serde(rename = "entries")]
    pub items: Vec<Entry>,
    /// Whether further keys follow after this page.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// Revision of the store at the time of the read.
    #[serde(rename = "ledger_mark")]
    pub revision: Version,
}

/// A precondition of a transaction: the key has this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The full name of the key.
    pub key: String,
    /// The version that the key must have; 0: the key must not exist.
    #[serde(rename = "touched")]
    pub version: Version,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// The full name of the key.
        #[serde(rename = "write")]
        key: String,
        /// The value, which replaces the old one.
        value: Value,
        /// The lease to bind the key to: the key is deleted when the lease ends. `None`: the
        /// key is bound to no lease.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The full name of the key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Operation {
    /// The key that the operation writes or deletes.
    pub fn key(&self) -> &str {
        match self {
            Operation::Put { key, .. } | Operation::Delete { key } => key,
        }
    }
}

/// A compare-and-swap over several keys: the store applies all operations or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions; if one of them fails, no operation is applied.
    #[serde(rename = "if")]
    pub conditions: Vec<Precondition>,
    /// The operations, applied in order.
    #[serde(rename = "apply")]
    pub ops: Vec<Operation>,
}

/// The response to a transaction, and to a read of a key that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the store after the request; 0 if absent.
    #[serde(rename = "ledger_mark", default)]
    pub revision: Version,
    /// Keys whose preconditions failed; empty if the operations were applied.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Time to live in milliseconds: the lease expires when it is not renewed for so long.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// The response to a lease request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of the lease, never reused.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// One change of a watched key. Either `put` or `delete` is present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The new value; null if the key was deleted.
    #[serde(default)]
    pub value: Value,
    /// Revision of the store at which the change was made.
    #[serde(rename = "touched")]
    pub version: Version,
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the response contains all changes; the next watch starts there.
    #[serde(rename = "ledger_mark")]
    pub revision: Version,
    /// The changes, in the order in which they were made; empty if the watch timed out.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// The text of a refusal, for operators; empty if the body has none.
pub fn error_text(body: &[u8]) -> String {
    crate::decode::<ErrorResponse>(body).map_or_else(String::new, |response| response.error)
}
