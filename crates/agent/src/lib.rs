#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`link`]: reports, tokens, sessions and leases, as a state machine.
//! - [`attempts`]: what is on the machine, as a state machine: commands and what
//!   became of processes go in, records and effects come out.
//! - [`journal`]: what must survive power loss, in an embedded store.
//! - [`shim`]: one task's processes, and its result, whatever becomes of the agent.
//! - [`process`]: processes by id and start time, and the proof that they are gone.
//!
//! [`link`] and [`attempts`] touch neither clock, file nor process.

pub mod attempts;
pub mod journal;
pub mod link;
pub mod process;
pub mod shim;
