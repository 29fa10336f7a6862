#![doc = include_str!("../README.md")]
//! # Contents
//!
//! Everything that travels between the processes of a pebblefold cluster: ids,
//! amounts and times as small types, the messages, and a small HTTP/1.1.
//! Nothing here does I/O. Field spellings of the platform appear here only, as
//! serde renames; everything else speaks the field's own words.

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

/// Writes a message: MessagePack maps keyed by text.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Reads a message; anything after it makes it malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut rest = bytes;
    let message = rmp_serde::from_read(&mut rest).ok()?;
    rest.is_empty().then_some(message)
}
