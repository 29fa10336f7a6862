//! How a successor gets hold of what its predecessor held, as plain values: nothing
//! here knows the leader, or any other part.

pub mod heralds;
pub mod keepsake;
