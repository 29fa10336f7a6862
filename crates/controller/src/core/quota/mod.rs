//! What teams and classes hold, are owed, and may lose. Plain values: the
//! leader tells what is so, and asks what may be stopped.

pub mod arrival_history;
pub mod minimum_share;
pub mod reclaim;
pub mod usage;

pub use reclaim::{Bounds, ReclaimCandidate, ReclaimUsage};
