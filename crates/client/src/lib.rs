#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`Attempts`]: one call's tries as a state machine, without I/O.
//! - [`Seen`]: what was answered before, so that no answer is older.
//! - [`Client`]: both on sockets.

mod attempts;
mod client;
mod seen;

pub use attempts::{Attempts, Kind, Policy, Step, Verdict};
pub use client::{Client, ClientError};
pub use seen::Seen;
