//! What goes into the state machine: an input, the time it arrives at, and the
//! identifiers that tie requests and replies to what was asked. Never decides
//! anything.

use crate::types::{Time, TimeSpan, WallTime};
use crate::wire;
use serde::de::DeserializeOwned;

/// The moment at which an input arrives, on both clocks.
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
    /// Time has passed.
    Tick,
    /// A request arrived.
    Request(RequestId, Listener, crate::http::Request),
    /// A call was answered or failed.
    Reply(CallId, Reply),
    /// A lease that was to be kept alive has expired.
    LeaseExpired(u64),
    /// The calibration workload, a fixed piece of work, took this long here.
    Calibration(TimeSpan),
    /// The process is to shut down: leadership is transferred first.
    Shutdown,
}

/// How a call ended.
#[derive(Debug)]
pub enum Reply {
    /// It was answered with this HTTP status and body.
    Answer(u16, Vec<u8>),
    /// It certainly never reached the other side.
    NotSent,
    /// Its outcome is unknown: it may have been carried out, or may yet be.
    Lost,
}

impl Reply {
    /// The message in a reply with status 200, if there is one.
    pub fn decode_success<T: DeserializeOwned>(&self) -> Option<T> {
        match self {
            Reply::Answer(200, body) => wire::decode(body),
            _ => None,
        }
    }
}
