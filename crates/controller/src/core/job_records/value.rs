//! Conversions between records and the JSON values of the key-value store.

use crate::wire::kvstore::Operation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Converts a record to JSON. The conversion of the stored records cannot fail, since they
/// have string keys only.
pub(super) fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or(Value::Null)
}

/// Length of a value as JSON text in bytes, which the key-value store limits.
pub fn json_len(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}

/// Reads a record; `None` if the value does not have the record's type.
pub fn read_record<T: DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}

/// The operation that stores `value` under `key` without a lease.
pub(super) fn put(key: String, value: Value) -> Operation {
    Operation::Put {
        key,
        value,
        lease: None,
    }
}
