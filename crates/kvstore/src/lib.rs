#![doc = include_str!("../README.md")]
//! # Contents
//!
//! A key-value store for one machine: the small consistent store that controller
//! nodes keep everything in, by the users' protocol ("Controller nodes ->
//! state service").
//!
//! - [`Service`] is the protocol as a state machine: requests and time go in,
//!   replies and records to store come out. It does no I/O of its own.
//! - [`Storage`] is what it stands on: [`Memory`], or [`Disk`], an embedded
//!   store that survives power loss.
//! - [`driver`] serves it on sockets.
//! - [`backup`] saves everything to one file and restores it.
//! - [`faulty_disk`] is a disk in memory whose power fails at a numbered write.

pub mod backup;
mod disk;
pub mod driver;
pub mod faulty_disk;
mod persisted_state;
mod service;
mod storage;

pub use disk::Disk;
pub use persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey, StoredValue};
pub use service::{ClientId, Limits, Reply, RequestId, RequestOutcome, Service};
pub use storage::{Batch, Memory, Storage, StorageError};
