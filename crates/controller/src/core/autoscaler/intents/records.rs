//! The keys and values under which intents are stored.

use crate::core::keys::LEADER_RECORDS_PREFIX;
use crate::types::{MachineId, WallTime};
use crate::wire::cloud::ProvisionRequest;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The stored intent to provision machines.
#[derive(Serialize, Deserialize)]
pub(super) struct ProvisionRecord {
    /// The request to the cloud.
    #[serde(rename = "r")]
    pub(super) request: ProvisionRequest,
    /// When it was decided.
    #[serde(rename = "t")]
    pub(super) decided_at: WallTime,
}

/// The stored intent to terminate machines.
#[derive(Serialize, Deserialize)]
pub(super) struct TerminationRecord {
    /// When it was decided.
    #[serde(rename = "t")]
    pub(super) decided_at: WallTime,
    /// The machines, by the reason for which they are terminated.
    #[serde(rename = "w")]
    pub(super) machines_by_reason: BTreeMap<String, Vec<MachineId>>,
}

/// The key of a stored intent, with the intent's name.
pub(super) enum IntentKey<'k> {
    Provision(&'k str),
    Termination(&'k str),
}

impl IntentKey<'_> {
    /// Parses a key; `None` if it is not the key of an intent.
    pub(super) fn parse(key: &str) -> Option<IntentKey<'_>> {
        match key.strip_prefix(LEADER_RECORDS_PREFIX)?.split_once('/')? {
            ("h", name) => Some(IntentKey::Provision(name)),
            ("x", name) => Some(IntentKey::Termination(name)),
            _ => None,
        }
    }

    /// The key under which the intent is stored.
    pub(super) fn to_key(&self) -> String {
        match self {
            IntentKey::Provision(name) => format!("{LEADER_RECORDS_PREFIX}h/{name}"),
            IntentKey::Termination(name) => format!("{LEADER_RECORDS_PREFIX}x/{name}"),
        }
    }
}

/// Converts a record to JSON. The conversion cannot fail, as the records' maps only have
/// string keys.
pub(super) fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or(Value::Null)
}
