//! The attempts of one call: which controller each one is sent to, when it is sent, and
//! when the call ends. No I/O; the caller passes the time.

use pebblefold_wire::backoff::Backoff;
use pebblefold_wire::types::{Time, TimeSpan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Upper bound, in seconds, of `Retry-After`; a larger value is reduced to it.
const MAX_RETRY_AFTER_S: u32 = 30;

/// The request that a call makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// `POST /submissions`
    Submit,
    /// `GET /submissions/{id}`
    Poll,
    /// `POST /submissions/{id}/cancel`
    Cancel,
}

/// Deadline, timeouts and backoff of a call.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Time after the start of a call at which it ends, with an answer or with an error.
    pub deadline: TimeSpan,
    /// How long one attempt waits for its response.
    pub attempt_timeout: TimeSpan,
    /// How long a poll waits for its response before it is also sent to another
    /// controller.
    pub hedge_after: TimeSpan,
    /// Pause after the first of several consecutive failures; it doubles with each
    /// further failure. Jitter shortens a pause by up to half.
    pub first_pause: TimeSpan,
    /// Upper bound of the doubled pause; a longer `Retry-After` takes precedence.
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

/// What a controller's response means for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyClass {
    /// The response ends the call.
    Final,
    /// The request has to be sent again, later or to another controller.
    Retry {
        /// `Retry-After` of the response, in seconds.
        retry_after_s: Option<u32>,
    },
}

impl ReplyClass {
    /// Classifies a response by its status, as the users' protocol defines it: every
    /// status but that of an answer (200, 201, 404) or of a permanent rejection (400,
    /// 422) is retried.
    pub fn of(status: u16, retry_after_s: Option<u32>) -> ReplyClass {
        match status {
            200 | 201 | 400 | 404 | 422 => ReplyClass::Final,
            _ => ReplyClass::Retry { retry_after_s },
        }
    }
}

/// What the caller of [`Attempts::next`] has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request.
    Send {
        /// Index of the controller to send it to.
        node: usize,
        /// Number of the attempt within the call, from 0.
        attempt: u32,
    },
    /// Do nothing until this time, unless a response arrives earlier.
    Wait(Time),
    /// End the call without an answer: the deadline has passed, or the retry budget is
    /// used up.
    Abandon,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    attempt: u32,
    node: usize,
    sent_at: Time,
}

/// The attempts of one call, as a state machine: [`Attempts::next`] returns what to do,
/// [`Attempts::record_failure`] records an attempt that has to be repeated.
#[derive(Debug)]
pub struct Attempts {
    kind: RequestKind,
    /// Number of controllers.
    nodes: usize,
    policy: RetryPolicy,
    started: Time,
    rng: StdRng,
    backoff: Backoff,
    /// Attempts that have neither failed nor timed out.
    in_flight: Vec<Attempt>,
    attempts_made: u32,
    next_node: usize,
    /// Earliest time of the next retry.
    pause_until: Time,
    /// Whether the current attempt was already sent to a second controller.
    hedged: bool,
}

impl Attempts {
    /// Starts a call at `now`, with `nodes` controllers to send it to. `seed` determines
    /// the first controller and the jitter.
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
            // A random first controller spreads the load of calls that start together.
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
            sent_at: now,
        });
        Action::Send { node, attempt }
    }

    /// Returns what to do now. Before each attempt but the first, `budget` is called
    /// and returns whether one more attempt is allowed.
    pub fn next(&mut self, now: Time, budget: &mut dyn FnMut(Time) -> bool) -> Vec<Action> {
        let call_end = self.started + self.policy.deadline;
        if now >= call_end {
            return vec![Action::Abandon];
        }
        let attempt_timeout = self.policy.attempt_timeout;
        let timed_out: Vec<u32> = self
            .in_flight
            .iter()
            .filter(|a| now.since(a.sent_at) >= attempt_timeout)
            .map(|a| a.attempt)
            .collect();
        for attempt in timed_out {
            self.record_failure(now, attempt, None);
        }
        let mut actions = Vec::new();
        if self.in_flight.is_empty() && now >= self.pause_until {
            if self.attempts_made > 0 && !budget(now) {
                return vec![Action::Abandon];
            }
            self.hedged = false;
            actions.push(self.send(now));
        }
        // A hedged request costs one more request and avoids the wait for a slow
        // controller. Each attempt is hedged at most once, and only polls are, since
        // they change nothing.
        if let [single] = self.in_flight.as_slice()
            && self.kind == RequestKind::Poll
            && self.nodes > 1
            && !self.hedged
            && now.since(single.sent_at) >= self.policy.hedge_after
        {
            self.hedged = true;
            if budget(now) {
                actions.push(self.send(now));
            }
        }
        if actions.is_empty() {
            actions.push(Action::Wait(self.next_wakeup(call_end)));
        }
        actions
    }

    /// Earliest time at which [`Attempts::next`] may return something other than a wait.
    fn next_wakeup(&self, call_end: Time) -> Time {
        let timeouts = self
            .in_flight
            .iter()
            .map(|a| a.sent_at + self.policy.attempt_timeout);
        let hedge = match self.in_flight.as_slice() {
            [single] if self.kind == RequestKind::Poll && self.nodes > 1 && !self.hedged => {
                Some(single.sent_at + self.policy.hedge_after)
            }
            _ => None,
        };
        let pause = self.in_flight.is_empty().then_some(self.pause_until);
        let wakeups = timeouts.chain(hedge).chain(pause);
        wakeups.min().unwrap_or(call_end).min(call_end)
    }

    /// Records that an attempt failed or that its response requires a retry. The next
    /// attempt waits for the backoff or for `Retry-After`, whichever is longer, and is
    /// sent to another controller. An attempt that is no longer in flight is ignored.
    pub fn record_failure(&mut self, now: Time, attempt: u32, retry_after_s: Option<u32>) {
        let Some(i) = self.in_flight.iter().position(|a| a.attempt == attempt) else {
            return;
        };
        let node = self.in_flight.remove(i).node;
        if self.next_node == node {
            self.next_node = (node + 1) % self.nodes;
        }
        let jitter = self.rng.random();
        let (initial, limit) = (self.policy.first_pause, self.policy.max_pause);
        let backoff_pause = self.backoff.next_pause(initial, limit, jitter);
        // Jitter of up to a quarter spreads the retries of many clients that received
        // the same `Retry-After`; none of them retries earlier.
        let requested_pause = retry_after_s.map_or(TimeSpan::ZERO, |s| {
            TimeSpan::secs(f64::from(s.min(MAX_RETRY_AFTER_S)) * (1.0 + jitter / 4.0))
        });
        self.pause_until = self
            .pause_until
            .max(now + TimeSpan(backoff_pause.0.max(requested_pause.0)));
    }

    /// Earliest time at which the caller may repeat a call that has ended, by the
    /// backoff and the last `Retry-After`.
    pub fn retry_not_before(&self) -> Time {
        self.pause_until
    }

    /// Number of attempts made, timed out and hedged ones included.
    pub fn attempts_made(&self) -> u32 {
        self.attempts_made
    }
}
