//! Messages between controllers: heartbeats, leadership transfer, and the votes by which a
//! quorum decides that a leader has failed.

use crate::types::{FencingToken, Image, JobId, MachineId, NodeId};
use serde::{Deserialize, Serialize};

/// The leader's heartbeat, sent to each peer several times per second. A separate thread
/// sends it, so that a busy event loop does not delay it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Name of the leader.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// The leader's fencing token.
    pub token: FencingToken,
    /// Milliseconds since the key-value store last answered the leader.
    #[serde(rename = "state_ms")]
    pub store_contact_age_ms: u64,
    /// Milliseconds since the leader's event loop last ran.
    #[serde(rename = "late_ms")]
    pub event_loop_delay_ms: u64,
}

/// Request of a leader that shuts down: the receiving peer is to take over the leader key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeadershipTransfer {
    /// Fencing token of the leader that shuts down.
    pub token: FencingToken,
}

/// Request for a peer's vote on a leader that the sender suspects to have failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionQuery {
    /// The suspected leader's fencing token.
    pub token: FencingToken,
    /// The reason of the suspicion. True: the leader is up, but the key-value store does not
    /// answer it. False: the leader itself is silent.
    #[serde(rename = "no_state")]
    pub store_unreachable: bool,
}

/// A peer's vote on a suspected leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionVote {
    /// Name of the peer that votes.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// The suspected leader's fencing token, from the query.
    pub token: FencingToken,
    /// Whether the peer confirms the suspicion.
    pub agrees: bool,
    /// Number of agents that recently switched from the suspected leader to this peer,
    /// counted only as far as the decision needs the number.
    #[serde(rename = "came", default)]
    pub recent_agent_migrations: u32,
}

/// The build that a controller runs and the format versions that the build supports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BuildInfo {
    /// Oldest supported format version.
    pub low: u32,
    /// Newest supported format version.
    pub high: u32,
    /// Name of the build, such as "0.2.0".
    pub build: String,
    /// Random number that identifies this run of the process.
    pub life: u64,
}

fn yes() -> bool {
    true
}

/// A controller's heartbeat, sent to each peer about once per second. The peer answers with
/// a heartbeat as well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Highest fencing token that the sender has seen.
    pub token: FencingToken,
    /// Whether the sender is the leader with that token.
    pub leads: bool,
    /// Whether the leader, as far as the sender can tell, has loaded all records and answers
    /// agents. If the field is absent, as in older builds, it counts as true.
    #[serde(default = "yes")]
    pub loaded: bool,
    /// Whether the key-value store answers the sender.
    pub state_ok: bool,
    /// Whether the sender is overloaded or shutting down.
    #[serde(rename = "strained", default)]
    pub is_overloaded: bool,
    /// Microseconds that a fixed piece of work takes on the sender's processor; 0: not
    /// measured.
    #[serde(default)]
    pub effort_us: u64,
    /// The sender's build; `None`: a build without format versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<BuildInfo>,
    /// Jobs whose cancellation the sender recently confirmed to users.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cancelled: Vec<JobId>,
    /// From the leader: (job, tasks done, tasks running) of jobs for which these numbers
    /// changed, for display.
    #[serde(default)]
    pub counts: Vec<(JobId, u32, u32)>,
    /// From the leader: cached images and their sizes in GB, of machines whose caches
    /// changed, as hints for the next leader. To the leader: hints from earlier leaders.
    #[serde(default)]
    pub caches: Vec<(MachineId, Vec<(Image, f64)>)>,
    /// From the leader, and to it together with `caches`: milliseconds that fetching each
    /// image last took.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fetches: Vec<(Image, u64)>,
}
