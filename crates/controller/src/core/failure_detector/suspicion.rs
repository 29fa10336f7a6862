//! The plain types of the failure detector: what the leader is suspected of, what
//! a probe of it shows, and what is to be done. Nothing here decides anything.

use crate::types::FencingToken;
use std::fmt;

/// What the leader is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Its heartbeats do not arrive.
    Silent,
    /// The key-value store does not answer it.
    StoreUnreachable,
}

impl fmt::Display for Suspicion {
    /// The text in `/inspect`, which stays whatever the variants are called.
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
    /// It answered.
    Answered,
    /// The connection was refused, which alone proves nothing.
    ConnectionRefused,
    /// No answer arrived in time.
    TimedOut,
}

/// What is to be done about the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Nothing.
    None,
    /// Probe the leader, and ask the peers and the key-value store.
    Investigate(Suspicion),
    /// Claim the leader's key from the holder of this token.
    ReplaceLeader(FencingToken, Suspicion),
}
