//! An agent's connection to the controllers, as a state machine: heartbeats at an interval
//! and on change, at most one in flight; the rotation among controllers with its delays;
//! fencing tokens; agent epochs; and the lease by the steady clock. Agents and the
//! simulated workers run this same code.
//!
//! Everything that acts in an epoch checks the lease here, with the time of that instant.
//! An epoch whose lease has expired allows nothing more: it sends no heartbeat, no response
//! renews the lease and no command counts. That holds whatever was checked earlier in the
//! same step, as a process may be stopped between any two of its instructions. Only
//! [`Link::begin_epoch_if_expired`] leads out of such an epoch, into the next one.

use pebblefold_wire::types::{AgentEpoch, FencingToken, HeartbeatSequence, Time, TimeSpan};
use rand::{Rng, RngExt};

/// Minimum time between two heartbeats, whatever changes.
const MIN_HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::millis(500);
/// How long an agent waits for the response to a heartbeat.
pub const HEARTBEAT_TIMEOUT: TimeSpan = TimeSpan::millis(4000);
/// Delay before the next controller is tried.
const NEXT_CONTROLLER_DELAY: TimeSpan = TimeSpan::millis(1000);

/// The times that a deployment configures for its agents.
#[derive(Clone, Copy, Debug)]
pub struct LinkTimes {
    /// Interval between heartbeats; each one is 0.75 to 1.25 times as long, at random.
    pub heartbeat_interval: TimeSpan,
    /// Duration of the lease.
    pub lease_duration: TimeSpan,
}

/// The state that a link starts with, after a restart of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkState {
    /// The agent epoch.
    pub epoch: AgentEpoch,
    /// The highest fencing token received.
    pub token: FencingToken,
    /// The instant from which the lease is counted.
    pub lease_start: Time,
    /// No message of this epoch has had a greater sequence number.
    pub sequence: HeartbeatSequence,
}

/// The connection to the controllers.
#[derive(Debug)]
pub struct Link {
    link_times: LinkTimes,
    epoch: u64,
    sequence: u64,
    token: u64,
    /// When the last answered heartbeat was sent, or the epoch began.
    lease_start: Time,
    /// When a higher token last caused an early heartbeat: at most once in half a lease.
    last_early_heartbeat: Option<Time>,
    /// Index of the controller that heartbeats are sent to.
    controller: usize,
    controller_count: usize,
    /// The heartbeat in flight: its request id and when it was sent.
    in_flight: Option<(u64, Time)>,
    next_due: Time,
    last_sent: Option<Time>,
    changed: bool,
}

impl Link {
    /// The link of a new agent, to this number of controllers. The first one is chosen at
    /// random.
    pub fn new(
        link_times: LinkTimes,
        controller_count: usize,
        now: Time,
        rng: &mut impl Rng,
    ) -> Link {
        let state = LinkState {
            epoch: AgentEpoch(1),
            token: FencingToken(0),
            lease_start: now,
            sequence: HeartbeatSequence(0),
        };
        Link::resumed(link_times, controller_count, now, state, rng)
    }

    /// The link of a restarted agent.
    pub fn resumed(
        link_times: LinkTimes,
        controller_count: usize,
        now: Time,
        state: LinkState,
        rng: &mut impl Rng,
    ) -> Link {
        Link {
            link_times,
            epoch: state.epoch.0,
            sequence: state.sequence.0,
            token: state.token.0,
            lease_start: state.lease_start,
            last_early_heartbeat: None,
            controller: rng.random_range(0..controller_count.max(1)),
            controller_count: controller_count.max(1),
            in_flight: None,
            next_due: now,
            last_sent: None,
            changed: false,
        }
    }

    /// The agent epoch; the first is 1.
    pub fn epoch(&self) -> AgentEpoch {
        AgentEpoch(self.epoch)
    }

    /// The highest fencing token received.
    pub fn token(&self) -> FencingToken {
        FencingToken(self.token)
    }

    /// Increments the sequence number and returns the new one, for the next message.
    pub fn next_sequence(&mut self) -> HeartbeatSequence {
        self.sequence += 1;
        HeartbeatSequence(self.sequence)
    }

    /// The index of the controller that heartbeats are sent to.
    pub fn controller(&self) -> usize {
        self.controller
    }

    /// Notes a change that heartbeats report, so that the next one is sent early.
    pub fn note_change(&mut self) {
        self.changed = true;
    }

    /// Whether nothing has to be sent before the next regular heartbeat is due.
    pub fn is_idle(&self, now: Time) -> bool {
        self.in_flight.is_none() && !self.changed && now < self.next_due
    }

    /// When the lease expires, unless it is renewed.
    pub fn until(&self) -> Time {
        self.lease_start + self.link_times.lease_duration
    }

    /// Whether the lease has expired.
    pub fn expired(&self, now: Time) -> bool {
        now.since(self.lease_start) > self.link_times.lease_duration
    }

    /// Begins a heartbeat under this request id if one is due; true if it did. Nothing is
    /// due while the lease is expired: the next heartbeat is the next epoch's.
    pub fn begin_heartbeat(&mut self, now: Time, request_id: u64, rng: &mut impl Rng) -> bool {
        if self.expired(now) {
            return false;
        }
        if let Some((_, sent)) = self.in_flight {
            if now.since(sent) < HEARTBEAT_TIMEOUT {
                return false;
            }
            self.try_next_controller(now);
        }
        let interval_passed = self
            .last_sent
            .is_none_or(|t| now.since(t) >= MIN_HEARTBEAT_INTERVAL);
        let due_soon = self.next_due.since(now) < self.link_times.heartbeat_interval.scaled(1.25);
        if now < self.next_due && !(self.changed && interval_passed && due_soon) {
            return false;
        }
        self.changed = false;
        self.last_sent = Some(now);
        self.next_due = now
            + self
                .link_times
                .heartbeat_interval
                .scaled(rng.random_range(0.75..1.25));
        self.in_flight = Some((request_id, now));
        true
    }

    fn try_next_controller(&mut self, now: Time) {
        self.in_flight = None;
        self.controller = (self.controller + 1) % self.controller_count;
        self.next_due = now + NEXT_CONTROLLER_DELAY;
        self.changed = false;
    }

    /// Whether the heartbeat in flight has this request id.
    pub fn is_in_flight(&self, request_id: u64) -> bool {
        self.in_flight.is_some_and(|(t, _)| t == request_id)
    }

    /// Handles the response to the heartbeat in flight; true if it counts: then the lease
    /// is renewed from the instant of sending, and the caller executes the response's
    /// commands. A response that is handled after the lease has expired doesn't count,
    /// however early it was sent.
    pub fn handle_response(&mut self, now: Time, token: FencingToken) -> bool {
        let Some((_, sent)) = self.in_flight.take() else {
            return false;
        };
        if token.0 < self.token || self.expired(now) {
            return false;
        }
        self.raise_token(now, token.0);
        self.lease_start = sent;
        true
    }

    fn raise_token(&mut self, now: Time, token: u64) {
        if token > self.token {
            self.token = token;
            let half = self.link_times.lease_duration.scaled(0.5);
            if self
                .last_early_heartbeat
                .is_none_or(|t| now.since(t) > half)
            {
                self.last_early_heartbeat = Some(now);
                self.changed = true;
            }
        }
    }

    /// Handles a response that redirects to another controller; `None`: the controller
    /// cannot help or didn't respond, and the next one is tried.
    pub fn redirect(&mut self, now: Time, to: Option<usize>, rng: &mut impl Rng) {
        match to {
            Some(n) if n != self.controller && n < self.controller_count => {
                self.in_flight = None;
                self.controller = n;
                self.next_due = now + TimeSpan::millis(rng.random_range(0..500));
            }
            _ => self.try_next_controller(now),
        }
    }

    /// Whether direct commands count, by their token, their epoch and the lease.
    pub fn accepts_commands(&mut self, now: Time, token: FencingToken, epoch: AgentEpoch) -> bool {
        let accepted = token.0 >= self.token && epoch.0 == self.epoch && !self.expired(now);
        if accepted {
            self.raise_token(now, token.0);
        }
        accepted
    }

    /// Begins the next epoch if the lease has expired; true if it did: then the caller has
    /// to kill and forget everything on the machine.
    pub fn begin_epoch_if_expired(&mut self, now: Time) -> bool {
        if !self.expired(now) {
            return false;
        }
        self.epoch += 1;
        self.lease_start = now;
        self.in_flight = None;
        self.changed = true;
        true
    }
}
