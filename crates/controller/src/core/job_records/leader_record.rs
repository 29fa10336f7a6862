//! The record of who leads. Its version in the key-value store is the fencing token.

use super::value::to_value;
use crate::types::NodeId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The stored claim of a leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that leads.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Distinguishes this claim from every other one, also of the same node.
    pub nonce: u64,
}

/// The record as a value to be written.
pub fn leader_record(record: &LeaderRecord) -> Value {
    to_value(record)
}
