//! The attempts of one call: which node, when, and when to stop. No I/O, no clock.

use pebblefold_wire::backoff::Backoff;
use pebblefold_wire::types::{Time, TimeSpan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Longest pause, in seconds, that a node may ask for by Retry-After.
const MAX_RETRY_AFTER_S: u32 = 30;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// `POST /submissions`
    Submit,
    /// `GET /submissions/{id}`
    Poll,
    /// `POST /submissions/{id}/cancel`
    Cancel,
}

/// Deadlines, timeouts and backoff of a call.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// After this a call ends, answered or not.
    pub deadline: TimeSpan,
    /// How long one attempt waits for its answer.
    pub attempt_timeout: TimeSpan,
    /// A poll that is not answered by then is asked of another node as well.
    pub hedge_after: TimeSpan,
    /// Pause after the first failure in a row; it doubles, with jitter.
    pub first_pause: TimeSpan,
    /// Longest pause, unless a node asks for more.
    pub max_pause: TimeSpan,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            deadline: TimeSpan::millis(30_000),
            attempt_timeout: TimeSpan::millis(5000),
            hedge_after: TimeSpan::millis(500),
            first_pause: TimeSpan::millis(100),
            max_pause: TimeSpan::millis(2000),
        }
    }
}

/// What a node's answer means for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyClass {
    /// It is the answer.
    Final,
    /// Not now: another node, or later.
    Retry {
        /// The node's word on when, in seconds.
        after: Option<u32>,
    },
}

impl ReplyClass {
    /// By the users' protocol; everything but an answer or a refusal for good is
    /// tried again.
    pub fn of(status: u16, after: Option<u32>) -> ReplyClass {
        match status {
            200 | 201 | 400 | 404 | 422 => ReplyClass::Final,
            _ => ReplyClass::Retry { after },
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request.
    Send {
        /// To this node.
        node: usize,
        /// Numbers the attempt.
        attempt: u32,
    },
    /// Nothing before this time, unless an answer comes.
    Wait(Time),
    /// The deadline is over, or no retry is left in the budget.
    GiveUp,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    attempt: u32,
    node: usize,
    sent: Time,
}

/// The attempts of one call, as a state machine.
#[derive(Debug)]
pub struct Attempts {
    kind: RequestKind,
    nodes: usize,
    policy: RetryPolicy,
    started: Time,
    rng: StdRng,
    backoff: Backoff,
    /// Attempts under way.
    in_flight: Vec<Attempt>,
    attempts_made: u32,
    next_node: usize,
    /// No further attempt before this time.
    pause_until: Time,
    hedged: bool,
}

impl Attempts {
    /// A call of this kind at so many nodes that begins now.
    pub fn new(
        kind: RequestKind,
        nodes: usize,
        policy: RetryPolicy,
        now: Time,
        seed: u64,
    ) -> Attempts {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = nodes.max(1);
        Attempts {
            kind,
            nodes,
            policy,
            started: now,
            // Callers that begin together begin at different nodes.
            next_node: rng.random_range(0..nodes),
            rng,
            backoff: Backoff::default(),
            in_flight: Vec::new(),
            attempts_made: 0,
            pause_until: now,
            hedged: false,
        }
    }

    fn send(&mut self, now: Time) -> Action {
        let (node, attempt) = (self.next_node, self.attempts_made);
        self.next_node = (node + 1) % self.nodes;
        self.attempts_made += 1;
        self.in_flight.push(Attempt {
            attempt,
            node,
            sent: now,
        });
        Action::Send { node, attempt }
    }

    /// What to do now. `budget` is asked before each try but the first whether
    /// one more is allowed.
    pub fn next(&mut self, now: Time, budget: &mut dyn FnMut(Time) -> bool) -> Vec<Action> {
        let end = self.started + self.policy.deadline;
        if now >= end {
            return vec![Action::GiveUp];
        }
        let attempt_timeout = self.policy.attempt_timeout;
        let late: Vec<u32> = self
            .in_flight
            .iter()
            .filter(|t| now.since(t.sent) >= attempt_timeout)
            .map(|t| t.attempt)
            .collect();
        for attempt in late {
            self.failed(now, attempt, None);
        }
        let mut out = Vec::new();
        if self.in_flight.is_empty() && now >= self.pause_until {
            if self.attempts_made > 0 && !budget(now) {
                return vec![Action::GiveUp];
            }
            self.hedged = false;
            out.push(self.send(now));
        }
        // A second node costs one request and saves the wait for a slow one; it
        // is asked once a try, and only where nothing can be changed by it.
        if let [only] = self.in_flight.as_slice()
            && self.kind == RequestKind::Poll
            && self.nodes > 1
            && !self.hedged
            && now.since(only.sent) >= self.policy.hedge_after
        {
            self.hedged = true;
            if budget(now) {
                out.push(self.send(now));
            }
        }
        if out.is_empty() {
            out.push(Action::Wait(self.next_wakeup(end)));
        }
        out
    }

    fn next_wakeup(&self, end: Time) -> Time {
        let tries = self
            .in_flight
            .iter()
            .map(|t| t.sent + self.policy.attempt_timeout);
        let hedge = match self.in_flight.as_slice() {
            [only] if self.kind == RequestKind::Poll && self.nodes > 1 && !self.hedged => {
                Some(only.sent + self.policy.hedge_after)
            }
            _ => None,
        };
        let pause = self.in_flight.is_empty().then_some(self.pause_until);
        let all = tries.chain(hedge).chain(pause);
        all.min().unwrap_or(end).min(end)
    }

    /// An attempt failed, or was answered with "not now": the next one waits, as long
    /// as the node asks or a little, and goes to another node.
    pub fn failed(&mut self, now: Time, attempt: u32, after: Option<u32>) {
        let Some(i) = self.in_flight.iter().position(|t| t.attempt == attempt) else {
            return;
        };
        let node = self.in_flight.remove(i).node;
        if self.next_node == node {
            self.next_node = (node + 1) % self.nodes;
        }
        let jitter = self.rng.random();
        let (first, most) = (self.policy.first_pause, self.policy.max_pause);
        let own = self.backoff.failed(first, most, jitter);
        // The node's word spreads the return of many: never earlier, and not all
        // at the same moment.
        let asked = after.map_or(TimeSpan::ZERO, |s| {
            TimeSpan::secs(f64::from(s.min(MAX_RETRY_AFTER_S)) * (1.0 + jitter / 4.0))
        });
        self.pause_until = self.pause_until.max(now + TimeSpan(own.0.max(asked.0)));
    }

    /// When an ended call may be made again at the earliest, by what nodes said.
    pub fn retry_not_before(&self) -> Time {
        self.pause_until
    }

    /// Attempts made.
    pub fn attempts_made(&self) -> u32 {
        self.attempts_made
    }
}
