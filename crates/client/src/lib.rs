#![doc = include_str!("../README.md")]
//! # Contents
//!
//! - [`Attempts`]: the attempts and retries of one call as a state machine, without I/O.
//! - [`AnswerCache`]: jobs with their final stages, to detect stale answers.
//! - [`Client`]: applies both to calls over HTTP.

mod answer_cache;
mod attempts;
mod client;

pub use answer_cache::AnswerCache;
pub use attempts::{Action, Attempts, ReplyClass, RequestKind, RetryPolicy};
pub use client::{Client, ClientError};
