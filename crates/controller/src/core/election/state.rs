//! The states of an election, as one controller sees it.

use crate::types::Version;
use std::fmt;

/// What a controller knows of the leader's key, and what it is about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionState {
    /// It has not read the key yet.
    Unknown,
    /// Another controller holds the key, at this version.
    Following(Version),
    /// Nobody holds the key, or an earlier life of this controller does; a claim
    /// compares this version.
    Vacant(Version),
    /// It has requested a lease, to claim the key at this version.
    Leasing(Version),
    /// It has claimed the key under this lease.
    Claiming(u64),
    /// It leads.
    Leading,
    /// It leads, and has requested a lease to claim the key anew, which activates
    /// the first fenced format version.
    Activating,
}

impl fmt::Display for ElectionState {
    /// The text in `/inspect`, which stays whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ElectionState::Unknown => f.write_str("Unknown"),
            ElectionState::Following(version) => write!(f, "Following(Version({version}))"),
            ElectionState::Vacant(version) => write!(f, "Vacant(Version({version}))"),
            ElectionState::Leasing(version) => write!(f, "Leasing(Version({version}))"),
            ElectionState::Claiming(lease) => write!(f, "Claiming({lease})"),
            ElectionState::Leading => f.write_str("Leading"),
            ElectionState::Activating => f.write_str("Rising"),
        }
    }
}
