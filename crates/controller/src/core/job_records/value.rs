//! Stored values as JSON.

use crate::wire::kvstore::Operation;
use serde::Serialize;
use serde_json::Value;

pub(super) fn value<T: Serialize>(v: &T) -> Value {
    serde_json::to_value(v).unwrap_or(Value::Null)
}

/// Length of a value as the state service counts it.
pub fn json_len(v: &Value) -> usize {
    serde_json::to_vec(v).map_or(usize::MAX, |b| b.len())
}

/// Reads any value of ours.
pub fn read<T: serde::de::DeserializeOwned>(v: &Value) -> Option<T> {
    T::deserialize(v).ok()
}

pub(super) fn put(key: String, value: Value) -> Operation {
    let lease = None;
    Operation::Put { key, value, lease }
}
