//! How a node notices that the leader has failed: suspicion before verdict.
//! Observations and time go in, opinions come out; nothing here sends anything.

pub mod accrual;
pub mod detector;
