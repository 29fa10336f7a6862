#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`link`]: reports, tokens, sessions and leases, as a state machine.
//! - [`attempts`]: what is on the machine, as a state machine: commands and what
//!   became of processes go in, records and effects come out.
//! - [`journal`]: what must survive power loss, in an embedded store.
//! - [`shim`]: one task's processes, and its result, whatever becomes of the agent.
//! - [`process`]: processes by id and start time, and the proof that they are gone.
//! - [`worker`]: the two together, a machine's whole side of the protocol.
//! - [`resume`]: whether an agent that starts goes on with the epoch that it finds.
//! - [`store`]: results, saves and gangs' meetings, outside the machine.
//! - [`settings`], [`driver`]: what an operator says; sockets, clock and files.
//!
//! [`link`], [`attempts`], [`worker`] and [`resume`] touch neither clock, file nor process.

pub mod attempts;
pub mod driver;
pub mod journal;
pub mod link;
pub mod process;
pub mod resume;
pub mod settings;
pub mod shim;
pub mod store;
pub mod worker;
