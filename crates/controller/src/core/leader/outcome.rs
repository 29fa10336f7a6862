//! What an input means for the leadership itself.

use crate::types::FencingToken;

/// What is to become of this leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipOutcome {
    /// It goes on.
    Continue,
    /// Another node holds a higher fencing token.
    Deposed(FencingToken),
    /// It steps down, for this reason, to start over from what is recorded.
    StepDown(&'static str),
}
