//! Duties that only one controller may do, as plain values: what the holder
//! means to have done stands in the state service before it is done, so that a
//! successor finishes it. Nothing here knows the leader; it is told what is
//! so, and says what to write and what to ask for.

pub mod aside;
pub mod book;
pub mod hands;
pub mod intents;
pub mod pulse;
pub mod renting;
pub mod sweep;

/// Where the duties' records stand.
pub const PREFIX: &str = "d/";
