//! A worker's side of its talk with the controllers, as a state machine: heartbeats
//! at their pace and on change, one in flight, the rotation among controllers and
//! its pauses, fencing tokens, epochs, and the lease by the steady clock. Agents and
//! the simulated workers run this same code.
//!
//! Whatever acts in an epoch asks here, with the time of that instant, and an epoch
//! whose lease is over acts no more: it begins no heartbeat, no answer renews it and
//! no command counts in it. That holds whatever was looked at earlier in the same
//! step, as a process may stand still between any two of its instructions. Only
//! [`Link::renewed`] leads out of it, into the next epoch.

use pebblefold_wire::types::{AgentEpoch, FencingToken, HeartbeatSequence, Time, TimeSpan};
use rand::{Rng, RngExt};

/// Least time between two reports, whatever changes.
const LEAST_BETWEEN: TimeSpan = TimeSpan::millis(500);
/// How long a worker waits for an answer.
pub const PATIENCE: TimeSpan = TimeSpan::millis(4000);
/// How long it waits before it tries the next node.
const NEXT_NODE: TimeSpan = TimeSpan::millis(1000);

/// The times that a deployment gives its workers.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Between reports.
    pub report: TimeSpan,
    /// The lease.
    pub lease: TimeSpan,
}

/// What a worker that is started again knows from before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkState {
    /// Its epoch.
    pub epoch: AgentEpoch,
    /// The highest token that it has seen.
    pub token: FencingToken,
    /// From when its lease counts.
    pub leased: Time,
    /// No message of this epoch has had a greater number.
    pub sequence: HeartbeatSequence,
}

/// The talk with the controllers.
#[derive(Debug)]
pub struct Link {
    pace: Pace,
    epoch: u64,
    sequence: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    leased: Time,
    token_counted: Option<Time>,
    node: usize,
    nodes: usize,
    /// The report in flight: its ticket and when it was sent.
    flight: Option<(u64, Time)>,
    next: Time,
    last: Option<Time>,
    changed: bool,
}

impl Link {
    /// A new worker's link to so many controllers, beginning at any of them.
    pub fn new(pace: Pace, nodes: usize, now: Time, rng: &mut impl Rng) -> Link {
        let state = LinkState {
            epoch: AgentEpoch(1),
            token: FencingToken(0),
            leased: now,
            sequence: HeartbeatSequence(0),
        };
        Link::resumed(pace, nodes, now, state, rng)
    }

    /// The link of a worker that was started again.
    pub fn resumed(
        pace: Pace,
        nodes: usize,
        now: Time,
        state: LinkState,
        rng: &mut impl Rng,
    ) -> Link {
        Link {
            pace,
            epoch: state.epoch.0,
            sequence: state.sequence.0,
            token: state.token.0,
            leased: state.leased,
            token_counted: None,
            node: rng.random_range(0..nodes.max(1)),
            nodes: nodes.max(1),
            flight: None,
            next: now,
            last: None,
            changed: false,
        }
    }

    /// The session.
    pub fn epoch(&self) -> AgentEpoch {
        AgentEpoch(self.epoch)
    }

    /// The highest token seen.
    pub fn token(&self) -> FencingToken {
        FencingToken(self.token)
    }

    /// The number of the next message.
    pub fn count(&mut self) -> HeartbeatSequence {
        self.sequence += 1;
        HeartbeatSequence(self.sequence)
    }

    /// The controller that is reported to.
    pub fn node(&self) -> usize {
        self.node
    }

    /// Notes that something changed that is worth a report.
    pub fn touch(&mut self) {
        self.changed = true;
    }

    /// Whether nothing is to be said before the next report is due.
    pub fn idles(&self, now: Time) -> bool {
        self.flight.is_none() && !self.changed && now < self.next
    }

    /// When the lease is over unless it is renewed.
    pub fn until(&self) -> Time {
        self.leased + self.pace.lease
    }

    /// Whether the lease is over.
    pub fn expired(&self, now: Time) -> bool {
        now.since(self.leased) > self.pace.lease
    }

    /// Begins a heartbeat under this ticket, if one is due. None is while the lease is
    /// over: the next one is that of the next epoch.
    pub fn due(&mut self, now: Time, ticket: u64, rng: &mut impl Rng) -> bool {
        if self.expired(now) {
            return false;
        }
        if let Some((_, sent)) = self.flight {
            if now.since(sent) < PATIENCE {
                return false;
            }
            self.try_next(now);
        }
        let rested = self.last.is_none_or(|t| now.since(t) >= LEAST_BETWEEN);
        let soon = self.next.since(now) < self.pace.report.scaled(1.25);
        if now < self.next && !(self.changed && rested && soon) {
            return false;
        }
        self.changed = false;
        self.last = Some(now);
        self.next = now + self.pace.report.scaled(rng.random_range(0.75..1.25));
        self.flight = Some((ticket, now));
        true
    }

    fn try_next(&mut self, now: Time) {
        self.flight = None;
        self.node = (self.node + 1) % self.nodes;
        self.next = now + NEXT_NODE;
        self.changed = false;
    }

    /// Whether this ticket's report is the one in flight.
    pub fn awaits(&self, ticket: u64) -> bool {
        self.flight.is_some_and(|(t, _)| t == ticket)
    }

    /// An answer to the heartbeat in flight; true if it counts: its commands are to
    /// be executed, and the lease is renewed. One that is handled after the lease was
    /// over does not, however early it was sent.
    pub fn answered(&mut self, now: Time, token: FencingToken) -> bool {
        let Some((_, sent)) = self.flight.take() else {
            return false;
        };
        if token.0 < self.token || self.expired(now) {
            return false;
        }
        self.see_token(now, token.0);
        self.leased = sent;
        true
    }

    fn see_token(&mut self, now: Time, token: u64) {
        if token > self.token {
            self.token = token;
            let half = self.pace.lease.scaled(0.5);
            if self.token_counted.is_none_or(|t| now.since(t) > half) {
                self.token_counted = Some(now);
                self.changed = true;
            }
        }
    }

    /// It is told to report to another node, or the node cannot help.
    pub fn sent_away(&mut self, now: Time, to: Option<usize>, rng: &mut impl Rng) {
        match to {
            Some(n) if n != self.node && n < self.nodes => {
                self.flight = None;
                self.node = n;
                self.next = now + TimeSpan::millis(rng.random_range(0..500));
            }
            _ => self.try_next(now),
        }
    }

    /// Whether direct commands count, by their token, their epoch and the lease.
    pub fn takes(&mut self, now: Time, token: FencingToken, epoch: AgentEpoch) -> bool {
        let ok = token.0 >= self.token && epoch.0 == self.epoch && !self.expired(now);
        if ok {
            self.see_token(now, token.0);
        }
        ok
    }

    /// Begins the next session if the lease is over; true if it did: everything
    /// on the machine has to be killed and forgotten.
    pub fn renewed(&mut self, now: Time) -> bool {
        if !self.expired(now) {
            return false;
        }
        self.epoch += 1;
        self.leased = now;
        self.flight = None;
        self.changed = true;
        true
    }
}
