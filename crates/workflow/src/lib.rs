#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`load`]: from a file to a checked [`document::Process`].
//! - [`node`]: YAML and JSON in which everything knows its place, bounded.
//! - [`types`]: CWL's types and what may flow where.
//! - [`expression`]: parameter references, and JavaScript within limits.
//! - [`engine`]: a running workflow as a state machine.
//! - [`tool`]: command lines and outputs.
//! - [`problem`]: what is wrong, by file, line and column.
//!
//! - [`records`]: outcomes that last, in the state service.
//! - [`runner`]: a workflow on a cluster, by the users' protocol alone.
//!
//! Nothing here runs a command, and only [`runner`] and [`records`] touch sockets
//! and files; documents are read through [`load::Files`].

mod check;
pub mod document;
pub mod engine;
pub mod expression;
pub mod load;
pub mod node;
pub mod problem;
pub mod records;
pub mod runner;
pub mod tool;
pub mod types;
