//! The states of the election state machine of one controller.

use crate::types::Version;
use std::fmt;

/// What a controller has read of the leader's key, and how far its own claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionState {
    /// The controller has not read the key yet.
    Unknown,
    /// Another controller holds the key, at this version.
    Following(Version),
    /// This controller may claim the key. A claim compares the key's version with this
    /// one: 0 if the key does not exist; otherwise an earlier process of this controller
    /// wrote the key, or its holder is to be replaced.
    Vacant(Version),
    /// The controller has requested a lease, to claim the key at this version.
    Leasing(Version),
    /// The controller has sent a claim that binds the key to this lease.
    Claiming(u64),
    /// The controller leads.
    Leading,
    /// The controller leads, and has requested a lease for a second claim, which
    /// activates the first fenced format version.
    Activating,
}

impl fmt::Display for ElectionState {
    /// The text in `/inspect`. It stays the same if a variant is renamed.
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
