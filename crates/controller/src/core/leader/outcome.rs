//! What an input means for the leader's term.

use crate::types::FencingToken;

/// Whether this leader's term continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipOutcome {
    /// The term continues.
    Continue,
    /// Another controller holds this higher fencing token.
    Deposed(FencingToken),
    /// The leader steps down, for this reason, to start over from the stored records.
    StepDown(&'static str),
}
