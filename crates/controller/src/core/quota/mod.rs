//! Quotas of teams and minimum shares of classes and teams: what they use, are
//! guaranteed, and may lose. Plain values: the leader passes in what it knows, and asks
//! what may be stopped.

pub mod arrival_history;
pub mod minimum_share;
pub mod reclaim;
pub mod usage;

pub use reclaim::{ReclaimCandidate, ReclaimLimits, ReclaimUsage};
