//! What the controller nodes tell one another.

use crate::types::{Image, JobId, Label, MachineId, Token};
use serde::{Deserialize, Serialize};

/// A node's word about itself, sent to each peer about once a second and
/// answered in kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// Who speaks.
    pub label: Label,
    /// Highest token it knows of.
    pub token: Token,
    /// Whether it holds that token itself.
    pub leads: bool,
    /// Whether the state service answers it.
    pub state_ok: bool,
    /// From the leader: task counts that changed, for display.
    #[serde(default)]
    pub counts: Vec<(JobId, u32, u32)>,
    /// From the leader: images and their sizes on machines where they changed,
    /// so that a successor need not learn them anew.
    #[serde(default)]
    pub caches: Vec<(MachineId, Vec<(Image, f64)>)>,
}
