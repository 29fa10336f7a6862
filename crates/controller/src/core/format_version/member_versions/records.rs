//! The stored records of format versions, and their keys.

use crate::core::format_version::{FENCED, FormatVersion, SupportedVersions};
use crate::types::{NodeId, Version};
use crate::wire::kvstore::{Operation, Precondition};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The prefix of all of these keys.
pub const PREFIX: &str = "w/leader";
/// The leader's key before [`FENCED`]; it holds a tombstone from then on.
pub const LEGACY_LEADER_KEY: &str = "w/leader";
/// The leader's key from [`FENCED`] on.
pub const LEADER_KEY: &str = "w/leader/holder";
/// The key of the active format version.
pub const ACTIVE_VERSION_KEY: &str = "w/leader/level";
/// The key of the version up to which all stored records were rewritten.
pub const REWRITTEN_VERSION_KEY: &str = "w/leader/done";
pub(super) const MEMBER_PREFIX: &str = "w/leader/at/";

/// The build of this program: `PEBBLEFOLD_BUILD` at compile time, else the package
/// version.
pub const BUILD: &str = match option_env!("PEBBLEFOLD_BUILD") {
    Some(build) => build,
    None => env!("CARGO_PKG_VERSION"),
};

/// The value under [`ACTIVE_VERSION_KEY`] and [`REWRITTEN_VERSION_KEY`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct VersionRecord {
    #[serde(rename = "level")]
    version: FormatVersion,
}

/// The record that a controller stores about its own build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The format versions that the build supports.
    pub levels: SupportedVersions,
    /// The build, as in [`BUILD`].
    pub build: String,
    /// The settings in which the controller's policy differs from the default.
    #[serde(default)]
    pub policy: BTreeMap<String, f64>,
    /// Identifies one process among those that run under the same node id. Each process
    /// stores a new record. A process that accepted an equal record of an earlier process
    /// could lose that record to a late write of the earlier process, and an activation
    /// could then overlook it.
    #[serde(default)]
    pub life: u64,
}

/// The key of a controller's member record.
pub(super) fn member_key(node_id: &NodeId) -> String {
    format!("{MEMBER_PREFIX}{node_id}")
}

/// A record as a stored value.
pub(super) fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or(Value::Null)
}

/// The version in a stored record; `None` if the record cannot be decoded.
pub(super) fn decode_version(value: &Value) -> Option<FormatVersion> {
    let record = VersionRecord::deserialize(value).ok()?;
    Some(record.version)
}

/// The operation that writes a permanent key.
pub(super) fn put(key: String, value: Value) -> Operation {
    Operation::Put {
        key,
        value,
        lease: None,
    }
}

/// The operation that writes a version record.
pub(super) fn put_version(key: &str, version: FormatVersion) -> Operation {
    put(key.into(), to_value(&VersionRecord { version }))
}

/// The precondition that the active format version is unchanged since its key had
/// this version.
pub fn version_precondition(version: Version) -> Precondition {
    Precondition {
        key: ACTIVE_VERSION_KEY.into(),
        version,
    }
}

/// The value of [`LEGACY_LEADER_KEY`] from [`FENCED`] on. It names no leader, and is
/// permanent, so builds without format versions follow it forever and never claim.
pub fn legacy_leader_tombstone() -> Value {
    serde_json::json!({ "since": FENCED, "see": LEADER_KEY })
}
