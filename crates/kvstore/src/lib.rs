#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`Service`] is the protocol as a state machine without I/O: requests and time
//!   are its input, replies and batches of records are its output.
//! - [`Storage`] makes batches durable: [`Disk`] stores them in an embedded database that
//!   survives power loss; [`Memory`] keeps nothing beyond the process.
//! - [`driver`] serves a [`Service`] on sockets.
//! - [`snapshot`] writes the whole store to one snapshot file and restores it.
//! - [`faulty_disk`] is a simulated disk whose power fails at a numbered operation.

mod disk;
pub mod driver;
pub mod faulty_disk;
mod persisted_state;
mod service;
pub mod snapshot;
mod storage;

pub use disk::Disk;
pub use persisted_state::{ChangeRecord, Counters, PersistedState, StoredKey, StoredValue};
pub use service::{ClientId, Limits, Reply, RequestId, RequestOutcome, Service};
pub use storage::{Batch, Memory, Storage, StorageError};
