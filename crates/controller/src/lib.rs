#![doc = include_str!("../README.md")]
//! # Contents
//!
//! pebblefold: a cluster scheduler that places tasks next to their images and
//! tolerates failures of machines, networks and controllers.
//!
//! The controller's logic is [`core`], a state machine without I/O; the
//! [`driver`] runs it on sockets and timers.

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
