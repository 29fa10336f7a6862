#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`Attempts`]: one call's attempts and retries as a state machine, without I/O.
//! - [`AnswerCache`]: what was answered before, so that no answer is older.
//! - [`Client`]: both on sockets.

mod answer_cache;
mod attempts;
mod client;

pub use answer_cache::AnswerCache;
pub use attempts::{Action, Attempts, ReplyClass, RequestKind, RetryPolicy};
pub use client::{Client, ClientError};
