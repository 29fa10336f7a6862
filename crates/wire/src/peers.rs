//! What the controller nodes tell one another.

use crate::types::{FencingToken, Image, JobId, MachineId, NodeId};
use serde::{Deserialize, Serialize};

/// A leader's sign of life, sent to each peer a few times a second beside all
/// that it does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Who leads.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// By which token.
    pub token: FencingToken,
    /// How long ago, in milliseconds, the state service last answered it.
    pub state_ms: u64,
    /// How long ago it last had time for anything else.
    pub late_ms: u64,
}

/// A leader's word to its successor: take the key from me.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeadershipTransfer {
    /// The leader's token.
    pub token: FencingToken,
}

/// A node's question to another: does it doubt the leader too?
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionQuery {
    /// The leader's token.
    pub token: FencingToken,
    /// Whether it is the state service that does not answer the leader, rather
    /// than the leader that is silent.
    pub no_state: bool,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// Whose.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Of the holder of this token.
    pub token: FencingToken,
    /// Whether it does.
    pub agrees: bool,
    /// Workers that have lately come over to it from the leader, as far as that matters.
    #[serde(default)]
    pub came: u32,
}

/// What a node says of its build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BuildInfo {
    /// The oldest level that it serves.
    pub low: u32,
    /// The newest.
    pub high: u32,
    /// Its build.
    pub build: String,
    /// Tells this life of its process from every other one.
    pub life: u64,
}

fn yes() -> bool {
    true
}

/// A node's word about itself, sent to each peer about once a second and
/// answered in kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Who speaks.
    #[serde(rename = "label")]
    pub node_id: NodeId,
    /// Highest token it knows of.
    pub token: FencingToken,
    /// Whether it holds that token itself.
    pub leads: bool,
    /// Whether it has read everything recorded and answers workers; builds that do
    /// not say so are taken to.
    #[serde(default = "yes")]
    pub loaded: bool,
    /// Whether the state service answers it.
    pub state_ok: bool,
    /// Whether it has lately had more to do than it could.
    #[serde(default)]
    pub strained: bool,
    /// What a fixed piece of work takes it, in microseconds; 0: not known.
    #[serde(default)]
    pub effort_us: u64,
    /// Its build; none from builds that know no levels.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<BuildInfo>,
    /// Jobs whose users it lately told that they are cancelled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cancelled: Vec<JobId>,
    /// From the leader: task counts that changed, for display.
    #[serde(default)]
    pub counts: Vec<(JobId, u32, u32)>,
    /// From the leader: images and their sizes on machines where they changed,
    /// so that a successor need not learn them anew. To it: what earlier leaders told.
    #[serde(default)]
    pub caches: Vec<(MachineId, Vec<(Image, f64)>)>,
    /// From the leader: what fetching images last took, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fetches: Vec<(Image, u64)>,
}
