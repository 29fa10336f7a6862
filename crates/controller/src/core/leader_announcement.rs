//! Announcement of a new leader to agents, those first whose tasks can wait least.
//!
//! An agent with tasks sends a heartbeat every few seconds, and if its controller is
//! gone it notices only then. One that learns of a higher token sends a heartbeat at
//! once, so it finds its way to the successor that much sooner. The announcement
//! carries a token and nothing else: it neither starts nor stops anything, and
//! renews no lease.

use crate::types::{MachineId, Time, TimeSpan};
use std::collections::BTreeSet;

/// All agents get the announcement within this time, in seconds, if there are neither
/// few nor many.
const TARGET_S: f64 = 4.0;
/// Least and most agents a second: each costs a connection.
const MIN_PER_SECOND: f64 = 20.0;
const MAX_PER_SECOND: f64 = 250.0;
/// Largest burst, as a share of the agents of one second.
const BURST_SHARE: f64 = 0.1;
/// Where heartbeats come at least this often, an announcement gains nothing.
const FREQUENT_HEARTBEATS: TimeSpan = TimeSpan::millis(2000);
/// Announcements end after this many heartbeat periods: by then all agents have
/// come by themselves.
const HEARTBEAT_PERIODS: f64 = 1.25;

/// How little a machine's tasks can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnnouncementPriority {
    /// A task on it is being stopped, for another task or for good.
    Stopping,
    /// A task of high priority is on it.
    Urgent,
    /// Another task is on it.
    Busy,
}

/// The agents that are still to get the announcement of a new leader.
#[derive(Debug)]
pub struct LeaderAnnouncer {
    waiting: BTreeSet<(AnnouncementPriority, MachineId)>,
    /// Announcements that may be sent now, as of `credit_at`.
    credit: f64,
    credit_at: Time,
    /// When announcements end.
    ends_at: Time,
    /// Announcements sent so far.
    pub announced: u64,
}

impl LeaderAnnouncer {
    /// For a leader that was just elected; `heartbeat_period` is that of its agents.
    pub fn new(now: Time, heartbeat_period: TimeSpan) -> LeaderAnnouncer {
        let ends_at = if heartbeat_period > FREQUENT_HEARTBEATS {
            now + heartbeat_period.scaled(HEARTBEAT_PERIODS)
        } else {
            now
        };
        LeaderAnnouncer {
            waiting: BTreeSet::new(),
            credit: 0.0,
            credit_at: now,
            ends_at,
            announced: 0,
        }
    }

    /// Whether announcements are still sent.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.ends_at
    }

    /// Adds a machine with tasks whose agent has sent this leader no heartbeat yet.
    pub fn add(&mut self, now: Time, priority: AnnouncementPriority, machine: MachineId) {
        if self.is_active(now) {
            self.waiting.insert((priority, machine));
        }
    }

    /// The machines whose agents get the announcement now, where the leader knows of
    /// this many machines in all.
    pub fn take_due(&mut self, now: Time, machines: usize) -> Vec<MachineId> {
        let rate = (machines as f64 / TARGET_S).clamp(MIN_PER_SECOND, MAX_PER_SECOND);
        let elapsed = now.since(self.credit_at).as_secs();
        self.credit_at = now;
        // Unused credit is not saved up: it would make a burst.
        let credit = self.credit + elapsed * rate;
        self.credit = credit.min(rate * BURST_SHARE).max(1.0);
        if !self.is_active(now) {
            self.waiting.clear();
        }
        let mut due = Vec::new();
        while self.credit >= 1.0
            && let Some((_, machine)) = self.waiting.pop_first()
        {
            self.credit -= 1.0;
            due.push(machine);
        }
        self.announced += due.len() as u64;
        due
    }
}

#[cfg(test)]
mod tests;
