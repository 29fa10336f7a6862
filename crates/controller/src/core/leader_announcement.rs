//! Announcement of a new leader to agents, in the order of the urgency of their tasks.
//!
//! An agent with tasks sends a heartbeat every few seconds, and detects only then that
//! its controller is gone. An agent that learns of a higher fencing token sends a
//! heartbeat immediately, so it reaches the successor earlier. The announcement carries a
//! token and nothing else: it neither starts nor stops any task, and renews no lease.

use crate::types::{MachineId, Time, TimeSpan};
use std::collections::BTreeSet;

/// Time within which all agents get the announcement, in seconds, unless
/// [`MIN_PER_SECOND`] or [`MAX_PER_SECOND`] applies.
const TARGET_DURATION_S: f64 = 4.0;
/// Lower and upper limit of announcements per second: each costs a connection.
const MIN_PER_SECOND: f64 = 20.0;
const MAX_PER_SECOND: f64 = 250.0;
/// Largest burst, as a share of the announcements of one second.
const MAX_BURST_SHARE: f64 = 0.1;
/// Longest heartbeat period for which announcements are not sent: agents that send
/// heartbeats this often find the new leader as fast without one.
const MAX_PERIOD_WITHOUT_ANNOUNCEMENTS: TimeSpan = TimeSpan::millis(2000);
/// Announcements end after this many heartbeat periods: by then all agents have sent a
/// heartbeat without one.
const MAX_HEARTBEAT_PERIODS: f64 = 1.25;

/// How urgently a machine's tasks need the new leader; the most urgent is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnnouncementPriority {
    /// A task on the machine is being stopped, in favour of another task or permanently.
    Stopping,
    /// A task of high priority is on the machine.
    Urgent,
    /// Only other tasks are on the machine.
    Busy,
}

/// Rate-limited announcements of a new leader to agents.
#[derive(Debug)]
pub struct LeaderAnnouncer {
    /// Agents that have not got the announcement yet.
    pending: BTreeSet<(AnnouncementPriority, MachineId)>,
    /// Number of announcements that may be sent now, as of `credit_at`.
    credit: f64,
    credit_at: Time,
    /// When announcements end.
    ends_at: Time,
    /// Announcements sent so far.
    pub announced_total: u64,
}

impl LeaderAnnouncer {
    /// Creates the announcer of a leader that was just elected; `heartbeat_period` is the
    /// period of its agents' heartbeats.
    pub fn new(now: Time, heartbeat_period: TimeSpan) -> LeaderAnnouncer {
        let ends_at = if heartbeat_period > MAX_PERIOD_WITHOUT_ANNOUNCEMENTS {
            now + heartbeat_period.scaled(MAX_HEARTBEAT_PERIODS)
        } else {
            now
        };
        LeaderAnnouncer {
            pending: BTreeSet::new(),
            credit: 0.0,
            credit_at: now,
            ends_at,
            announced_total: 0,
        }
    }

    /// Whether the time for announcements has not ended yet.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.ends_at
    }

    /// Adds a machine with tasks whose agent has sent this leader no heartbeat yet.
    pub fn add(&mut self, now: Time, priority: AnnouncementPriority, machine: MachineId) {
        if self.is_active(now) {
            self.pending.insert((priority, machine));
        }
    }

    /// Removes and returns the machines whose agents get the announcement now.
    /// `machine_count` is the number of all machines that the leader tracks, which sets the
    /// rate.
    pub fn take_due(&mut self, now: Time, machine_count: usize) -> Vec<MachineId> {
        let rate = (machine_count as f64 / TARGET_DURATION_S).clamp(MIN_PER_SECOND, MAX_PER_SECOND);
        let elapsed = now.since(self.credit_at).as_secs();
        self.credit_at = now;
        // Credit is capped, since accumulated credit would allow a large burst.
        let credit = self.credit + elapsed * rate;
        self.credit = credit.min(rate * MAX_BURST_SHARE).max(1.0);
        if !self.is_active(now) {
            self.pending.clear();
        }
        let mut due = Vec::new();
        while self.credit >= 1.0
            && let Some((_, machine)) = self.pending.pop_first()
        {
            self.credit -= 1.0;
            due.push(machine);
        }
        self.announced_total += due.len() as u64;
        due
    }
}

#[cfg(test)]
mod tests;
