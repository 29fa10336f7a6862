//! The core's hands: what its parts need from below to act. Each part keeps
//! what it waits for in a [`PendingCalls`] of its own, so nothing here knows them.

use super::{Answer, Call, CallId, Now, Output, RequestId, Target};
use crate::settings::Settings;
use crate::types::{AgentEpoch, FencingToken, Time, TimeSpan, Version, WallTime};
use crate::wire;
use crate::wire::cloud::MachineTypes;
use crate::wire::rate_limit::TokenBucket;
use crate::wire::workers::{Command, DirectCommands};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddrV4;

/// The calls that a part waits for, each with what its reply is for. A reply
/// that no part waits for is void: a part that is gone takes its calls along.
#[derive(Debug)]
pub struct PendingCalls<T>(HashMap<CallId, T>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls(HashMap::new())
    }
}

impl<T> PendingCalls<T> {
    /// Notes what a call's reply is for.
    pub fn add(&mut self, call: CallId, what: T) {
        self.0.insert(call, what);
    }

    /// What a reply is for, if this part waits for it; once.
    pub fn take(&mut self, call: CallId) -> Option<T> {
        self.0.remove(&call)
    }
}

/// Kinds of requests whose times are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// A submission.
    Submit,
    /// A poll.
    Poll,
    /// A cancellation.
    Cancel,
    /// A worker's report.
    Report,
}

impl fmt::Display for RequestKind {
    /// The spelling in `/inspect`, whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestKind::Submit => "submit",
            RequestKind::Poll => "poll",
            RequestKind::Cancel => "cancel",
            RequestKind::Report => "report",
        })
    }
}

/// Collects outputs, names calls, and keeps the rates that the parts share.
#[derive(Debug)]
pub struct Effects {
    /// The time of the input at hand.
    pub now: Now,
    /// Random numbers.
    pub rng: StdRng,
    /// Calls to the state service that users may cause.
    pub user_calls: TokenBucket,
    /// Conditions that one transaction may have.
    pub most_conditions: usize,
    /// Writes to the state service that users may cause.
    pub user_writes: TokenBucket,
    /// Calls of the leader's writing lane.
    pub state_calls: TokenBucket,
    /// The version of the level's key, for writes whose form depends on the level.
    pub level: Option<Version>,
    /// Machine types the cloud has just told.
    pub learned_types: Option<MachineTypes>,
    out: Vec<Output>,
    next_call: u64,
    timed: HashMap<RequestId, (RequestKind, Time)>,
    times: BTreeMap<RequestKind, Histogram<u64>>,
}

/// Most requests waiting at once; more are told to come back.
const MOST_WAITING: usize = 600;
/// How long a request is remembered whose connection may have been given up.
const TIMED_KEPT: TimeSpan = TimeSpan::millis(30_000);

impl Effects {
    /// Hands that have done nothing yet.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Effects {
        let limits = settings.state_limits;
        let nodes = f64::from(settings.size);
        let per_node = |all: f64, share: f64| (all * share / nodes).max(1.0);
        let bucket = |rate: f64| TokenBucket::new(rate, rate);
        Effects {
            now: Now {
                time: Time(0),
                wall: WallTime(0),
            },
            rng: StdRng::seed_from_u64(seed),
            user_calls: bucket(per_node(limits.rps, 0.75)),
            most_conditions: limits.txn_ops * 4,
            user_writes: bucket(per_node(limits.write_rps, 0.6).max(4.0)),
            state_calls: bucket((limits.rps * 0.12).max(2.0)),
            level: None,
            learned_types: None,
            out: Vec::new(),
            next_call: 1,
            timed: HashMap::new(),
            times: BTreeMap::new(),
        }
    }

    /// What is to be done, as collected so far.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// A random number in 0..1.
    pub fn jitter(&mut self) -> f64 {
        self.rng.random()
    }

    /// Makes a call. Whoever wants the reply notes the name in its [`PendingCalls`].
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: TimeSpan,
    ) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.out.push(Output::Call(Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        }));
        id
    }

    /// Has a lease kept alive.
    pub fn keep(&mut self, keep: super::LeaseKeepAlive) {
        self.out.push(Output::LeaseKeepAlive(keep));
    }

    /// Notes when a request came; false if too many wait already. Reports are
    /// always taken: a worker that is not answered loses its lease.
    pub fn begin(&mut self, request: RequestId, kind: RequestKind) -> bool {
        if self.timed.len() >= MOST_WAITING && kind != RequestKind::Report {
            return false;
        }
        self.timed.insert(request, (kind, self.now.time));
        true
    }

    /// Forgets requests whose connection was given up.
    pub fn forget_given_up(&mut self) {
        let now = self.now.time;
        self.timed
            .retain(|_, (_, since)| now.since(*since) < TIMED_KEPT);
    }

    /// Times of users' requests and reports, as quantiles in milliseconds.
    pub fn quantiles(&self) -> serde_json::Map<String, serde_json::Value> {
        let one = |h: &Histogram<u64>| {
            let q = |p: f64| h.value_at_quantile(p);
            serde_json::json!({
                "count": h.len(), "ms_50": q(0.5), "ms_95": q(0.95), "ms_99": q(0.99), "ms_max": h.max(),
            })
        };
        let times = self.times.iter();
        times.map(|(k, h)| (k.to_string(), one(h))).collect()
    }

    /// Answers a request.
    pub fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some((kind, since)) = self.timed.remove(&request) {
            let ms = self.now.time.since(since).as_millis();
            self.times
                .entry(kind)
                .or_insert_with(|| {
                    Histogram::new_with_bounds(1, 60_000, 2).expect("fixed bounds are valid")
                })
                .saturating_record(ms.max(1));
        }
        self.out.push(Output::Answer(request, answer));
    }

    /// Answers 200 with a body.
    pub fn answer_body(&mut self, request: RequestId, body: Vec<u8>) {
        let answer = Answer {
            status: 200,
            retry_after: None,
            body,
        };
        self.answer(request, answer);
    }

    /// Answers with a bare status.
    pub fn answer_status(&mut self, request: RequestId, status: u16) {
        self.answer(
            request,
            Answer {
                status,
                ..Default::default()
            },
        );
    }

    /// Answers with a status and when to come back.
    pub fn answer_later(&mut self, request: RequestId, status: u16, seconds: u32) {
        self.answer(
            request,
            Answer {
                status,
                retry_after: Some(seconds),
                body: Vec::new(),
            },
        );
    }

    /// Sends commands straight to a worker; nobody waits for the answer.
    pub fn direct(
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
        self.call(
            Target::Host(addr),
            "POST",
            "/commands".into(),
            body,
            TimeSpan::secs(4.0),
        );
    }
}
