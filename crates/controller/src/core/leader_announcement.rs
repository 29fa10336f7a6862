//! Machines that are told who leads now, those first whose tasks can wait least.
//!
//! A worker with tasks reports every few seconds, and if its controller is gone it
//! learns that only then. One that is told of a higher token reports at once, so it
//! finds its way to the successor that much sooner. What it is told is a token and
//! nothing else: it neither starts nor stops anything, and renews no lease.

use crate::types::{MachineId, Time, TimeSpan};
use std::collections::BTreeSet;

/// All machines are told within this time, if there are neither few nor many.
const WITHIN_S: f64 = 4.0;
/// Least and most of them in a second: each costs a connection.
const LEAST: f64 = 20.0;
const MOST: f64 = 250.0;
/// Where workers report as often as this, nothing is gained.
const OFTEN: TimeSpan = TimeSpan::millis(2000);

/// How little a machine's tasks can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnnouncementPriority {
    /// Something on it is being stopped, for other work or for good.
    Stopping,
    /// Urgent work is on it.
    Urgent,
    /// Other work is.
    Busy,
}

/// Those that are still to be told.
#[derive(Debug)]
pub struct LeaderAnnouncer {
    waiting: BTreeSet<(AnnouncementPriority, MachineId)>,
    /// Machines that may be told now, and when that was reckoned.
    credit: f64,
    at: Time,
    /// Until when machines are told: later all have reported by themselves.
    until: Time,
    /// Machines told so far.
    pub told: u64,
}

impl LeaderAnnouncer {
    /// For a leader that takes office, whose workers report so often.
    pub fn new(now: Time, report: TimeSpan) -> LeaderAnnouncer {
        let until = if report > OFTEN {
            now + report.scaled(1.25)
        } else {
            now
        };
        LeaderAnnouncer {
            waiting: BTreeSet::new(),
            credit: 0.0,
            at: now,
            until,
            told: 0,
        }
    }

    /// Whether machines are still told.
    pub fn goes_on(&self, now: Time) -> bool {
        now < self.until
    }

    /// A machine with tasks that has not reported to this leader yet.
    pub fn note(&mut self, now: Time, need: AnnouncementPriority, machine: MachineId) {
        if self.goes_on(now) {
            self.waiting.insert((need, machine));
        }
    }

    /// Those whose turn has come, where a leader knows of so many in all.
    pub fn next(&mut self, now: Time, machines: usize) -> Vec<MachineId> {
        let rate = (machines as f64 / WITHIN_S).clamp(LEAST, MOST);
        let passed = now.since(self.at).as_secs();
        self.at = now;
        // What was not used is not saved up: it would make a herd.
        self.credit = (self.credit + passed * rate).min(rate * 0.1).max(1.0);
        if !self.goes_on(now) {
            self.waiting.clear();
        }
        let mut out = Vec::new();
        while self.credit >= 1.0
            && let Some((_, machine)) = self.waiting.pop_first()
        {
            self.credit -= 1.0;
            out.push(machine);
        }
        self.told += out.len() as u64;
        out
    }
}

#[cfg(test)]
mod tests;
