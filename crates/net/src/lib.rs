#![doc = include_str!("../README.md")]
//! # Contents
//!
//! The one place where pebblefold's HTTP meets sockets: a client that keeps
//! idle connections, and a server for one connection. Everything runs on the
//! caller's thread; limits on time are the caller's where they depend on the
//! request, and constants here where they do not.

mod client;
mod server;

pub use client::{Client, Sent};
pub use server::{Next, answer_connections, next_request, sender_is_gone};
