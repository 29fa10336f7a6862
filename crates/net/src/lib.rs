#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`Client`]: an HTTP client that reuses connections. [`SentFlag`] states whether a request
//!   may have reached the server.
//! - [`next_request`], [`sender_has_closed`]: the server's side of one connection.
//! - [`answer_connections`]: a server for many connections.
//!
//! Everything runs on the caller's thread. Time limits that depend on the request are set by
//! the caller; the others are constants of this package.

mod client;
mod server;

pub use client::{Client, SentFlag};
pub use server::{NextRequest, answer_connections, next_request, sender_has_closed};
