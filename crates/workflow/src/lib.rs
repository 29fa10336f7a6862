#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`load`]: from a file to a checked [`document::Process`].
//! - [`node`]: YAML and JSON in which everything knows its place, bounded.
//! - [`types`]: CWL's types and what may flow where.
//! - [`expression`]: parameter references, and JavaScript within limits.
//! - [`engine`]: a running workflow as a state machine.
//! - [`needs`]: what requirements and hints ask for.
//! - [`bindings`], [`tool`]: command lines and outputs.
//! - [`plan`]: a step's job, what it may ask for, and when it is run again.
//! - [`problem`]: what is wrong, by file, line and column.
//!
//! - [`graph`]: its steps and links as a picture.
//! - [`records`]: outcomes that last, in the state service.
//! - [`files`]: files as values, staged, listed and hashed.
//! - [`cache`]: finished steps used again.
//! - [`runner`]: a workflow on a cluster, by the users' protocol alone.
//!
//! Nothing here runs a command. Only [`runner`] and [`records`] touch sockets, and
//! only [`runner`], [`files`] and [`cache`] touch files; documents are read through
//! [`load::Files`].

pub mod bindings;
pub mod cache;
mod check;
pub mod document;
pub mod engine;
pub mod expression;
pub mod files;
pub mod graph;
pub mod load;
pub mod needs;
pub mod node;
pub mod plan;
pub mod problem;
pub mod records;
pub mod runner;
pub mod tool;
pub mod types;
