//! Messages between controller nodes: heartbeats, leadership transfer, and the votes
//! by which a quorum decides that a leader has failed.

use crate::types::{FencingToken, Image, JobId, MachineId, NodeId};
use serde::{Deserialize, Serialize};

/// The leader's heartbeat, sent to each peer a few times a second by a thread of its
/// own, so that much work does not delay it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// The leader.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// The fencing token under which it leads.
    pub token: FencingToken,
    /// Milliseconds since the key-value store last answered it.
    #[serde(rename = "state_ms")]
    pub store_contact_age_ms: u64,
    /// Milliseconds since its event loop last ran.
    #[serde(rename = "late_ms")]
    pub work_delay_ms: u64,
}

/// A leader that shuts down asks this peer to take over the leader key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeadershipTransfer {
    /// The leader's token.
    pub token: FencingToken,
}

/// Asks a peer whether it suspects the leader too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionQuery {
    /// The leader's token.
    pub token: FencingToken,
    /// True: the leader is up but the key-value store does not answer it. False: the
    /// leader itself is silent.
    #[serde(rename = "no_state")]
    pub store_unreachable: bool,
}

/// A peer's vote on a suspected leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// Who votes.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// The suspected leader's token.
    pub token: FencingToken,
    /// Whether it suspects that leader too.
    pub agrees: bool,
    /// Workers that lately switched from that leader to this node; counted only as far as
    /// the decision needs it.
    #[serde(default)]
    pub came: u32,
}

/// The build that a node runs and the format versions that it supports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BuildInfo {
    /// Oldest supported format version.
    pub low: u32,
    /// Newest supported format version.
    pub high: u32,
    /// Name of the build.
    pub build: String,
    /// Random number of this run of the process.
    pub life: u64,
}

fn yes() -> bool {
    true
}

/// A node's heartbeat, sent to each peer about once a second and answered with the
/// peer's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Highest fencing token that it has seen.
    pub token: FencingToken,
    /// Whether it leads under that token.
    pub leads: bool,
    /// Whether it has loaded all records and answers workers. Builds that do not send
    /// this field are taken to have.
    #[serde(default = "yes")]
    pub loaded: bool,
    /// Whether the key-value store answers it.
    pub state_ok: bool,
    /// Whether it is overloaded.
    #[serde(default)]
    pub strained: bool,
    /// Microseconds that a fixed piece of work takes on its processor; 0: not measured.
    #[serde(default)]
    pub effort_us: u64,
    /// Its build; absent from builds without format versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<BuildInfo>,
    /// Jobs whose cancellation it lately confirmed to users.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cancelled: Vec<JobId>,
    /// From the leader: (job, tasks done, tasks running) where they changed, for display.
    #[serde(default)]
    pub counts: Vec<(JobId, u32, u32)>,
    /// From the leader: cached images and their sizes in GB, of machines where they
    /// changed, as hints for a successor. To the leader: hints from earlier leaders.
    #[serde(default)]
    pub caches: Vec<(MachineId, Vec<(Image, f64)>)>,
    /// From the leader: milliseconds that fetching each image last took.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fetches: Vec<(Image, u64)>,
}
