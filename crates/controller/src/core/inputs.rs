//! The inputs of the state machine: an input, the time at which it arrives, and the
//! identifiers that match answers to requests and replies to calls.

use crate::types::{Time, TimeSpan, WallTime};
use crate::wire;
use serde::de::DeserializeOwned;

/// The time at which an input arrives, on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The monotonic clock.
    pub time: Time,
    /// The time of day.
    pub wall: WallTime,
}

/// Identifies a received request until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a call made until its reply arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The listener on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// For users, agents and health checks.
    Api,
    /// For the other controllers and for operators.
    Internal,
}

/// One input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// The periodic tick of the driver.
    Tick,
    /// A request arrived.
    Request(RequestId, Listener, crate::http::Request),
    /// A call was answered or failed.
    Reply(CallId, Reply),
    /// The lease with this id, which the driver was to keep alive, has expired.
    LeaseExpired(u64),
    /// The calibration workload, a fixed amount of work, took this long on this machine.
    Calibration(TimeSpan),
    /// The process is to shut down. A leader transfers leadership first.
    Shutdown,
}

/// How a call ended.
#[derive(Debug)]
pub enum Reply {
    /// The call was answered with this HTTP status and body.
    Answer(u16, Vec<u8>),
    /// The call certainly never reached the other side.
    NotSent,
    /// The outcome is unknown: the other side may have executed the call, or may execute
    /// it later.
    OutcomeUnknown,
}

impl Reply {
    /// The decoded body of an answer with status 200; `None` for any other reply, or if
    /// the body cannot be decoded.
    pub fn decode_success<T: DeserializeOwned>(&self) -> Option<T> {
        match self {
            Reply::Answer(200, body) => wire::decode(body),
            _ => None,
        }
    }
}
