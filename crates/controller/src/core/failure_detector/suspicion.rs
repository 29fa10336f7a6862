//! The data types of the failure detector: the kind of suspicion, the outcome of a
//! probe of the leader, and the action to take.

use crate::types::FencingToken;
use std::fmt;

/// The failure that the leader is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The leader's heartbeats do not arrive.
    Silent,
    /// The key-value store does not answer the leader.
    StoreUnreachable,
}

impl fmt::Display for Suspicion {
    /// The text in `/inspect`. It stays the same if a variant is renamed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Suspicion::Silent => "Silent",
            Suspicion::StoreUnreachable => "NoState",
        })
    }
}

/// How a direct probe of the leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The leader answered.
    Answered,
    /// The connection was refused, which alone proves nothing.
    ConnectionRefused,
    /// No answer arrived in time.
    TimedOut,
}

/// The action that the failure detector requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// No action.
    None,
    /// Probe the leader, and query the peers and the key-value store.
    Investigate(Suspicion),
    /// Claim the leader's key from the holder of this token.
    ReplaceLeader(FencingToken, Suspicion),
}
