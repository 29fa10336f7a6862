//! Quotas of teams and minimum shares of classes and teams: usage, guarantees, and the
//! work that may be stopped. The types hold plain values: the leader fills in usage, and
//! queries which work may be stopped.

pub mod arrival_history;
pub mod minimum_share;
pub mod reclaim;
pub mod usage;

pub use reclaim::{ReclaimCandidate, ReclaimLimits, ReclaimUsage};
