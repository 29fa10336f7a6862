//! The outputs of the state machine: calls to make, answers to send, and the lease to
//! keep alive. The driver executes them; this module does no I/O.

use super::inputs::{CallId, RequestId};
use super::lease_keep_alive::LeaseKeepAlive;
use crate::types::TimeSpan;
use std::net::SocketAddrV4;

/// The destination of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// The key-value store.
    Store,
    /// The cloud provider's API.
    Cloud,
    /// Another controller or an agent.
    Host(SocketAddrV4),
}

/// An HTTP call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id that the reply carries.
    pub id: CallId,
    /// The destination.
    pub target: Target,
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The body of the HTTP request; may be empty.
    pub body: Vec<u8>,
    /// How long the driver waits for the reply.
    pub timeout: TimeSpan,
}

/// An answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `Retry-After` header, in seconds; `None`: the answer has no such header.
    pub retry_after: Option<u32>,
    /// The body of the HTTP response; may be empty.
    pub body: Vec<u8>,
}

/// One output of the state machine.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer(RequestId, Answer),
    /// Make a call.
    Call(Call),
    /// Keep a lease of the key-value store alive, in place of any earlier one.
    LeaseKeepAlive(LeaseKeepAlive),
}
