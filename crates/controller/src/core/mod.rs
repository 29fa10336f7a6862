//! The controller as a state machine: inputs with a time go in, what to send,
//! write and answer comes out. Nothing here does I/O or reads a clock.

pub mod assignment;
pub mod autoscaler;
pub mod cache_hints;
pub mod delivery;
pub mod effects;
pub mod election;
pub mod failpoints;
pub mod failure_detector;
pub mod format_version;
pub mod garbage_collection;
pub mod job_api;
pub mod job_records;
pub mod keys;
pub mod leader;
pub mod leader_announcement;
pub mod leader_authority;
pub mod machine;
pub mod node;
pub mod pending_writes;
pub mod placement_tables;
pub mod preemption;
pub mod quarantine;
pub mod quota;
pub mod read_coalescing;
pub mod scheduling_cycle;
pub mod self_health;

use crate::types::{FencingToken, NodeId, Time, TimeSpan, WallTime};
use crate::wire::peers::LeaderHeartbeat;
use std::net::SocketAddrV4;

/// The time an input arrives at, on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The steady clock.
    pub time: Time,
    /// The time of day.
    pub wall: WallTime,
}

/// Names a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Names a call that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Which listener a request came in by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Users, workers and health checks.
    Api,
    /// The other nodes and operators.
    Internal,
}

/// An input.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Somebody asks.
    Request(RequestId, Listener, crate::http::Request),
    /// A call was answered or failed.
    Reply(CallId, Reply),
    /// A lease that was to be kept is over.
    LeaseExpired(u64),
    /// A fixed piece of work took so long here.
    SpeedSample(TimeSpan),
    /// The process is to end: what it holds goes to others first.
    Stop,
}

/// What became of a call.
#[derive(Debug)]
pub enum Reply {
    /// It was answered.
    Answer(u16, Vec<u8>),
    /// It certainly never reached the other side.
    NotSent,
    /// It may have been carried out, or may yet be.
    Lost,
}

/// Whom a call goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Another node or a worker.
    Host(SocketAddrV4),
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its name.
    pub id: CallId,
    /// Whom it goes to.
    pub target: Target,
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// When to give it up.
    pub timeout: TimeSpan,
}

/// An answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// When to come back, in seconds.
    pub retry_after: Option<u32>,
    /// The body.
    pub body: Vec<u8>,
}

/// An output.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer(RequestId, Answer),
    /// Make a call.
    Call(Call),
    /// Keep a lease of the state service alive, in place of any before it.
    LeaseKeepAlive(LeaseKeepAlive),
}

/// A lease to be renewed beside everything else, however much there is to do,
/// as long as the core says so from time to time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseKeepAlive {
    /// The lease.
    pub lease: u64,
    /// Time between renewals.
    pub every: TimeSpan,
    /// Until when, if nothing else is said.
    pub until: Time,
    /// The token that hangs on it, which the beats to the peers carry.
    pub token: FencingToken,
}

impl LeaseKeepAlive {
    /// The call that renews it.
    pub fn path(&self) -> String {
        format!("/leases/{}/touch", self.lease)
    }

    /// What tells a peer that the leader is there: how long ago the state service
    /// last renewed the lease, and how long ago the core had time.
    pub fn beat(&self, node_id: &NodeId, state: TimeSpan, late: TimeSpan) -> LeaderHeartbeat {
        LeaderHeartbeat {
            node_id: node_id.clone(),
            token: self.token,
            state_ms: state.as_millis(),
            late_ms: late.as_millis(),
        }
    }

    /// How long one may take.
    pub fn timeout(&self) -> TimeSpan {
        self.every.scaled(1.6).max(TimeSpan::millis(500))
    }

    /// When to renew after one that was answered, or was not.
    pub fn pause(&self, answered: bool) -> TimeSpan {
        if answered {
            self.every
        } else {
            TimeSpan::millis(150)
        }
    }
}
