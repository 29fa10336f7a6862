//! The record of who leads.

use super::value::value;
use crate::types::NodeId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Tells this claim from every other one.
    pub nonce: u64,
}

/// The leader's value, to be written.
pub fn leader_record(v: &LeaderRecord) -> Value {
    value(v)
}
