#![doc = include_str!("../README.md")]
//! # Contents
//!
//! pebblefold is a cluster scheduler that prefers machines which hold a task's image and
//! tolerates failures of machines, networks and controllers.
//!
//! The controller's logic is [`core`], a state machine without I/O. The [`driver`] runs
//! the state machine on sockets and timers.

pub mod cli;
pub mod core;
pub mod driver;
pub mod logging;
pub mod policy;
pub mod settings;

pub use pebblefold_wire as wire;
pub use pebblefold_wire::{http, types};

#[cfg(test)]
mod testing;
