//! The service's persisted state and the types of its records.

use pebblefold_wire::types::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A value as MessagePack. The bytes are shared between the key and its change record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoredValue(#[serde(with = "bytes")] pub Arc<[u8]>);

mod bytes {
    use serde::{Deserializer, Serializer, de};
    use std::sync::Arc;

    pub(super) fn serialize<S: Serializer>(v: &Arc<[u8]>, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(v)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Arc<[u8]>, D::Error> {
        struct Bytes;
        impl de::Visitor<'_> for Bytes {
            type Value = Arc<[u8]>;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Self::Value, E> {
                Ok(v.into())
            }
        }
        d.deserialize_bytes(Bytes)
    }
}

/// A key's value, version and lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredKey {
    /// The current value.
    pub value: StoredValue,
    /// The store's revision at the last put of this key.
    pub version: Version,
    /// The lease that the key is bound to; `None`: the key stays until it is deleted.
    pub lease: Option<u64>,
}

/// A put or a delete, kept in the change log for watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The key that changed.
    pub key: String,
    /// The new value; `None`: the key was deleted.
    pub value: Option<StoredValue>,
}

/// Monotonic counters of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Number of the last batch. After a failed write, the stored number shows whether
    /// the batch was stored.
    pub batch: u64,
    /// Revision of the store. Each transaction with operations increments it, and so
    /// does the end of a lease that keys are bound to.
    pub revision: u64,
    /// Id of the last lease granted; 0 if none was.
    pub lease: u64,
    /// The newest revision of which a change was dropped from the change log; a watch
    /// from an earlier revision gets 410.
    #[serde(rename = "dropped")]
    pub compacted_revision: u64,
}

/// The whole store at one revision. A clone copies the keys but shares the values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Batch, revision and lease counters.
    pub counters: Counters,
    /// All keys, in order.
    pub keys: BTreeMap<String, StoredKey>,
    /// Time to live of each lease in milliseconds, by lease id. Expiry times are not
    /// stored: after a restart or an outage each lease has its full time to live again.
    pub leases: BTreeMap<u64, u64>,
    /// The change log, oldest first: revision, position within the revision, change.
    pub changes: VecDeque<((u64, u32), ChangeRecord)>,
}
