#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`link`]: heartbeats, fencing tokens, agent epochs and the lease, as a state machine.
//! - [`attempts`]: the task attempts on the machine, as a state machine: commands and exits
//!   of processes are its inputs, records and effects its outputs.
//! - [`worker`]: these two together, a machine's whole side of the protocol.
//! - [`journal`]: the state that must survive a loss of power, in an embedded database.
//! - [`resume`]: whether a starting agent resumes the epoch that it finds on disk.
//! - [`shim`]: the processes and the exit of one attempt, whatever becomes of the agent.
//! - [`process`]: processes by id and start time, and the proof that they are gone.
//! - [`store`]: results, checkpoints and gangs' presence, in a directory that machines share.
//! - [`settings`]: the agent's settings file.
//! - [`driver`]: the agent's process, with its sockets, clock and files.
//!
//! [`link`], [`attempts`], [`worker`] and [`resume`] use no clock, file or process.

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
