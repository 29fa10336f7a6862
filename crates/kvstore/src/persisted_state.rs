//! Everything that the service keeps, as it is stored.

use pebblefold_wire::types::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A value as it is kept: MessagePack, shared between keys and changes.
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
    /// Its value.
    pub value: StoredValue,
    /// The revision of its last change.
    pub version: Version,
    /// The lease it hangs on.
    pub lease: Option<u64>,
}

/// A change as watches see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The key.
    pub key: String,
    /// Its new value; `None`: deleted.
    pub value: Option<StoredValue>,
}

/// Numbers that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Number of the last batch written; tells after a failure whether it is there.
    pub batch: u64,
    /// Revision of the store.
    pub revision: u64,
    /// The last lease given out.
    pub lease: u64,
    /// The newest revision of which a change is kept no longer.
    #[serde(rename = "dropped")]
    pub compacted_revision: u64,
}

/// The whole store at one moment. Cloning it is cheap per key: values are
/// shared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// The counters.
    pub counters: Counters,
    /// All keys.
    pub keys: BTreeMap<String, StoredKey>,
    /// Lives of the leases, in milliseconds. When they end is not kept: after
    /// an outage each has its full time again.
    pub leases: BTreeMap<u64, u64>,
    /// The last changes, by revision and place within it.
    pub changes: VecDeque<((u64, u32), ChangeRecord)>,
}
