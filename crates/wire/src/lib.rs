#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`types`]: ids, versions, times and resources.
//! - [`users`], [`workers`], [`cloud`], [`kvstore`], [`peers`], [`command`]: the messages.
//! - [`http`]: parsing and serialization of HTTP/1.1 messages.
//! - [`backoff`], [`rate_limit`]: limits for calls.
//!
//! Nothing here does I/O. The field spellings of the platform's protocols appear only in
//! this package, as serde renames; the Rust names are the common terms of the field.

pub mod backoff;
pub mod cloud;
pub mod command;
pub mod http;
pub mod kvstore;
pub mod peers;
pub mod rate_limit;
pub mod types;
pub mod users;
pub mod workers;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Serializes a message as MessagePack, with structs as maps whose keys are the field
/// names. The result is empty if the message cannot be serialized.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Deserializes a MessagePack message. `None`: `bytes` are malformed, do not have the shape
/// of `T`, or continue after the message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut rest = bytes;
    let message = rmp_serde::from_read(&mut rest).ok()?;
    rest.is_empty().then_some(message)
}
