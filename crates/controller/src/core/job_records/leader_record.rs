//! The record of the leader. The record's version in the key-value store is the fencing
//! token.

use super::value::to_value;
use crate::types::NodeId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The record that a controller stores to become leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller that leads.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Distinguishes this record from every other leader record, including those of the
    /// same controller.
    pub nonce: u64,
}

/// The record as the value to write.
pub fn leader_record_value(record: &LeaderRecord) -> Value {
    to_value(record)
}
