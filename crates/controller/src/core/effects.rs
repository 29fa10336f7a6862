//! The shared means of a controller's modules to act: collected outputs, ids of calls,
//! and shared rate limits. Each module keeps the calls whose replies it awaits in a
//! [`PendingCalls`], so this module does not depend on any of them.

mod pending_calls;
mod response_times;

pub use pending_calls::PendingCalls;
pub use response_times::RequestKind;

use super::store_limits::{Division, RefusalCause, StoreLimits, TransactionSize};
use super::{Answer, Call, CallId, LeaseKeepAlive, Now, Output, Reply, RequestId, Target};
use crate::settings::Settings;
use crate::types::{AgentEpoch, FencingToken, Time, TimeSpan, Version, WallTime};
use crate::wire;
use crate::wire::cloud::MachineTypes;
use crate::wire::rate_limit::TokenBucket;
use crate::wire::workers::{Command, DirectCommands};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use response_times::ResponseTimes;
use std::net::SocketAddrV4;

/// The share of the key-value store's request rate that users' requests may cause, at
/// all controllers together.
const USER_CALL_SHARE: f64 = 0.75;
/// The share of the store's write rate that users' requests may cause.
const USER_WRITE_SHARE: f64 = 0.6;
/// Minimum rate limit of writes that users' requests cause, at each controller.
const MIN_USER_WRITES_PER_S: f64 = 4.0;
/// The share of the store's request rate that the leader's commits may take.
const LEADER_CALL_SHARE: f64 = 0.12;
/// Minimum rate limit of the leader's commits.
const MIN_LEADER_CALLS_PER_S: f64 = 2.0;
/// Timeout of commands pushed to an agent.
const COMMANDS_TIMEOUT: TimeSpan = TimeSpan::millis(4000);

/// Collects outputs, assigns ids to calls, and holds the rate limits that the modules of
/// a controller share.
#[derive(Debug)]
pub struct Effects {
    /// The time of the input being processed.
    pub now: Now,
    /// The source of all random numbers, seeded so that runs can be repeated.
    pub rng: StdRng,
    /// Rate limit of calls to the key-value store that users' requests cause.
    pub user_calls: TokenBucket,
    /// The key-value store's limits on transactions, values and writes.
    pub store_limits: StoreLimits,
    /// Rate limit of writes to the key-value store that users' requests cause.
    pub user_writes: TokenBucket,
    /// Rate limit of the leader's commits.
    pub leader_calls: TokenBucket,
    /// The version of the active format version's key. Writes whose form depends on the
    /// active format version compare it; `None`: they need not.
    pub version_fence: Option<Version>,
    /// Machine types that the leader has just read from the cloud; `node` takes them and
    /// stores them.
    pub listed_machine_types: Option<MachineTypes>,
    outputs: Vec<Output>,
    next_call_id: u64,
    response_times: ResponseTimes,
    /// Number of controllers, which share the store's rates.
    controllers: u32,
}

/// This controller's part of a rate that all controllers share, in 1/s.
fn per_controller(controllers: u32, rate: f64) -> f64 {
    (rate / f64::from(controllers)).max(1.0)
}

/// This controller's rate limit of writes that users' requests cause, in operations per
/// second.
fn user_write_rate(controllers: u32, write_rps: f64) -> f64 {
    per_controller(controllers, write_rps * USER_WRITE_SHARE).max(MIN_USER_WRITES_PER_S)
}

impl Effects {
    /// Effects without outputs, and with full token buckets.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Effects {
        let limits = settings.state_limits;
        let controllers = settings.size;
        let user_calls = per_controller(controllers, limits.rps * USER_CALL_SHARE);
        let user_writes = user_write_rate(controllers, limits.write_rps);
        let leader_calls = (limits.rps * LEADER_CALL_SHARE).max(MIN_LEADER_CALLS_PER_S);
        Effects {
            now: Now {
                time: Time(0),
                wall: WallTime(0),
            },
            rng: StdRng::seed_from_u64(seed),
            user_calls: TokenBucket::new(user_calls, user_calls),
            store_limits: StoreLimits::new(settings),
            user_writes: TokenBucket::new(user_writes, user_writes),
            leader_calls: TokenBucket::new(leader_calls, leader_calls),
            version_fence: None,
            listed_machine_types: None,
            outputs: Vec::new(),
            next_call_id: 1,
            response_times: ResponseTimes::default(),
            controllers,
        }
    }

    /// Takes the outputs collected so far.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// A random number from 0 up to but not including 1.
    pub fn jitter(&mut self) -> f64 {
        self.rng.random()
    }

    /// Outputs a lease that the driver is to keep alive, in place of any earlier one.
    pub fn keep_lease_alive(&mut self, keep_alive: LeaseKeepAlive) {
        self.outputs.push(Output::LeaseKeepAlive(keep_alive));
    }
}

/// Limits of the key-value store.
impl Effects {
    /// Records that the store refused a transaction of this size with status 400.
    pub fn record_store_refusal(
        &mut self,
        size: TransactionSize,
        division: Division,
    ) -> RefusalCause {
        let now = self.now.time;
        let cause = self.store_limits.record_refusal(now, size, division);
        self.apply_write_rate();
        cause
    }

    /// Records what the reply to a commit of the leader, with this many operations, shows
    /// of the store's rate limits.
    pub fn record_commit_reply(&mut self, operations: usize, reply: &Reply) {
        match reply {
            Reply::Answer(200 | 409, _) => self.store_limits.record_committed(),
            Reply::Answer(429, _) => {
                let now = self.now.time;
                self.store_limits.record_rate_refusal(now, operations);
                self.apply_write_rate();
            }
            _ => {}
        }
    }

    /// Tries higher limits of the store again, if it is time.
    pub fn raise_store_limits_if_due(&mut self) {
        self.store_limits.raise_if_due(self.now.time);
        self.apply_write_rate();
    }

    fn apply_write_rate(&mut self) {
        let rate = user_write_rate(self.controllers, self.store_limits.write_rps());
        if rate != self.user_writes.burst() {
            self.user_writes.set_rate(self.now.time, rate, rate);
        }
    }
}

/// Calls.
impl Effects {
    /// Outputs a call. A caller that needs the reply adds the id to its [`PendingCalls`].
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: TimeSpan,
    ) -> CallId {
        let id = CallId(self.next_call_id);
        self.next_call_id += 1;
        self.outputs.push(Output::Call(Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        }));
        id
    }

    /// Outputs commands to an agent. The reply is ignored.
    pub fn push_commands(
        &mut self,
        addr: SocketAddrV4,
        token: FencingToken,
        epoch: AgentEpoch,
        commands: Vec<Command>,
    ) {
        let body = wire::encode(&DirectCommands {
            token,
            epoch,
            commands,
        });
        let path = "/commands".into();
        self.call(Target::Host(addr), "POST", path, body, COMMANDS_TIMEOUT);
    }
}

/// Requests and their answers.
impl Effects {
    /// Records that a request arrived now. False, without recording the request, if too
    /// many requests wait already.
    #[must_use]
    pub fn start_request(&mut self, request: RequestId, kind: RequestKind) -> bool {
        self.response_times.start(self.now.time, request, kind)
    }

    /// Drops waiting requests so old that their connection is presumed closed.
    pub fn drop_abandoned_requests(&mut self) {
        self.response_times.drop_abandoned(self.now.time);
    }

    /// Response times of users' requests and agents' heartbeats, as quantiles in
    /// milliseconds.
    pub fn response_times(&self) -> serde_json::Map<String, serde_json::Value> {
        self.response_times.quantiles()
    }

    /// Answers a request.
    pub fn answer(&mut self, request: RequestId, answer: Answer) {
        self.response_times.finish(self.now.time, request);
        self.outputs.push(Output::Answer(request, answer));
    }

    /// Answers with status 200 and a body.
    pub fn answer_body(&mut self, request: RequestId, body: Vec<u8>) {
        let answer = Answer {
            status: 200,
            retry_after: None,
            body,
        };
        self.answer(request, answer);
    }

    /// Answers with a status and an empty body.
    pub fn answer_status(&mut self, request: RequestId, status: u16) {
        let answer = Answer {
            status,
            ..Default::default()
        };
        self.answer(request, answer);
    }

    /// Answers with a status and the delay after which the caller is to retry.
    pub fn answer_retry_after(&mut self, request: RequestId, status: u16, seconds: u32) {
        let answer = Answer {
            status,
            retry_after: Some(seconds),
            body: Vec::new(),
        };
        self.answer(request, answer);
    }
}
