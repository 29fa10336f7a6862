//! The tries of one call: which node, when, and when to stop.

use pebblefold_wire::backoff::Backoff;
use pebblefold_wire::types::{Time, TimeSpan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Longest pause taken on a node's word.
const MOST_RETRY_AFTER: u32 = 30;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `POST /submissions`
    Submit,
    /// `GET /submissions/{id}`
    Poll,
    /// `POST /submissions/{id}/cancel`
    Cancel,
}

/// How calls are tried.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// After this a call ends, answered or not.
    pub deadline: TimeSpan,
    /// How long one try waits for its answer.
    pub patience: TimeSpan,
    /// A poll that is not answered by then is asked of another node as well.
    pub hedge_after: TimeSpan,
    /// Pause after the first failure in a row; it doubles, with jitter.
    pub first_pause: TimeSpan,
    /// Longest pause, unless a node asks for more.
    pub most_pause: TimeSpan,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            deadline: TimeSpan::millis(30_000),
            patience: TimeSpan::millis(5000),
            hedge_after: TimeSpan::millis(500),
            first_pause: TimeSpan::millis(100),
            most_pause: TimeSpan::millis(2000),
        }
    }
}

/// What a node's answer means for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer.
    Final,
    /// Not now: another node, or later.
    Again {
        /// The node's word on when, in seconds.
        after: Option<u32>,
    },
}

impl Verdict {
    /// By the users' protocol; everything but an answer or a refusal for good is
    /// tried again.
    pub fn of(status: u16, after: Option<u32>) -> Verdict {
        match status {
            200 | 201 | 400 | 404 | 422 => Verdict::Final,
            _ => Verdict::Again { after },
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request.
    Send {
        /// To this node.
        node: usize,
        /// Names the try.
        attempt: u32,
    },
    /// Nothing before this time, unless an answer comes.
    Wait(Time),
    /// The deadline is over, or no retry is left in the budget.
    GiveUp,
}

#[derive(Clone, Copy, Debug)]
struct Try {
    attempt: u32,
    node: usize,
    sent: Time,
}

/// The tries of one call.
#[derive(Debug)]
pub struct Attempts {
    kind: Kind,
    nodes: usize,
    policy: Policy,
    begun: Time,
    rng: StdRng,
    backoff: Backoff,
    /// Tries under way.
    open: Vec<Try>,
    tried: u32,
    next_node: usize,
    /// No further try before this time.
    pause_until: Time,
    hedged: bool,
}

impl Attempts {
    /// A call of this kind at so many nodes that begins now.
    pub fn new(kind: Kind, nodes: usize, policy: Policy, now: Time, seed: u64) -> Attempts {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = nodes.max(1);
        Attempts {
            kind,
            nodes,
            policy,
            begun: now,
            // Callers that begin together begin at different nodes.
            next_node: rng.random_range(0..nodes),
            rng,
            backoff: Backoff::default(),
            open: Vec::new(),
            tried: 0,
            pause_until: now,
            hedged: false,
        }
    }

    fn send(&mut self, now: Time) -> Step {
        let (node, attempt) = (self.next_node, self.tried);
        self.next_node = (node + 1) % self.nodes;
        self.tried += 1;
        self.open.push(Try {
            attempt,
            node,
            sent: now,
        });
        Step::Send { node, attempt }
    }

    /// What to do now. `budget` is asked before each try but the first whether
    /// one more is allowed.
    pub fn next(&mut self, now: Time, budget: &mut dyn FnMut(Time) -> bool) -> Vec<Step> {
        let end = self.begun + self.policy.deadline;
        if now >= end {
            return vec![Step::GiveUp];
        }
        let patience = self.policy.patience;
        let late: Vec<u32> = self
            .open
            .iter()
            .filter(|t| now.since(t.sent) >= patience)
            .map(|t| t.attempt)
            .collect();
        for attempt in late {
            self.failed(now, attempt, None);
        }
        let mut out = Vec::new();
        if self.open.is_empty() && now >= self.pause_until {
            if self.tried > 0 && !budget(now) {
                return vec![Step::GiveUp];
            }
            self.hedged = false;
            out.push(self.send(now));
        }
        // A second node costs one request and saves the wait for a slow one; it
        // is asked once a try, and only where nothing can be changed by it.
        if let [only] = self.open.as_slice()
            && self.kind == Kind::Poll
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
            out.push(Step::Wait(self.wakes(end)));
        }
        out
    }

    fn wakes(&self, end: Time) -> Time {
        let tries = self.open.iter().map(|t| t.sent + self.policy.patience);
        let hedge = match self.open.as_slice() {
            [only] if self.kind == Kind::Poll && self.nodes > 1 && !self.hedged => {
                Some(only.sent + self.policy.hedge_after)
            }
            _ => None,
        };
        let pause = self.open.is_empty().then_some(self.pause_until);
        let all = tries.chain(hedge).chain(pause);
        all.min().unwrap_or(end).min(end)
    }

    /// A try failed, or was answered with "not now": the next one waits, as long
    /// as the node asks or a little, and goes to another node.
    pub fn failed(&mut self, now: Time, attempt: u32, after: Option<u32>) {
        let Some(i) = self.open.iter().position(|t| t.attempt == attempt) else {
            return;
        };
        let node = self.open.remove(i).node;
        if self.next_node == node {
            self.next_node = (node + 1) % self.nodes;
        }
        let jitter = self.rng.random();
        let (first, most) = (self.policy.first_pause, self.policy.most_pause);
        let own = self.backoff.failed(first, most, jitter);
        // The node's word spreads the return of many: never earlier, and not all
        // at the same moment.
        let asked = after.map_or(TimeSpan::ZERO, |s| {
            TimeSpan::secs(f64::from(s.min(MOST_RETRY_AFTER)) * (1.0 + jitter / 4.0))
        });
        self.pause_until = self.pause_until.max(now + TimeSpan(own.0.max(asked.0)));
    }

    /// When an ended call may be made again at the earliest, by what nodes said.
    pub fn earliest(&self) -> Time {
        self.pause_until
    }

    /// Tries made.
    pub fn tried(&self) -> u32 {
        self.tried
    }
}
