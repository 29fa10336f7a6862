//! Detects machines whose heartbeats arrive while the answers to them are lost. Such a
//! machine is neither absent nor of use: its tasks stay assigned until there is proof,
//! and nothing new goes there.
//!
//! Its lease gives evidence: it runs from the sending of the last heartbeat whose answer
//! the agent received. So an agent epoch that ends although heartbeats of it were
//! answered within a lease did not receive those answers, and one that outlives a lease
//! has received one.

use crate::types::{Time, TimeSpan};
use std::collections::VecDeque;

/// Missed answers in a row after which answers count as lost. One or two are lost on
/// the way, or sent late by a controller that is behind.
const MAX_MISSED: u32 = 3;
/// Heartbeats that a network partition held back arrive all at once, each made long
/// before the answer to the one before it: only those that arrive this far apart count
/// as further misses.
const MIN_TIME_BETWEEN_MISSES: TimeSpan = TimeSpan::millis(2000);
/// Only answers at least this old count as missed by an epoch that ends.
const MIN_ANSWER_AGE: TimeSpan = TimeSpan::millis(4000);
/// How many answers of this age an epoch that ends must have missed.
const MIN_ANSWERS_MISSED: usize = 2;
/// Answers remembered.
const MAX_ANSWERS: usize = 8;
/// Allowance for the agent's clock, and for a heartbeat on its way.
const SLACK: TimeSpan = TimeSpan::millis(1000);
/// By how much an agent's clock may run slow: its lease may last that much longer.
const CLOCK_DRIFT: f64 = 1.001;

/// What a heartbeat shows of the answers before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryEvidence {
    /// Nothing.
    None,
    /// An answer was received: the heartbeat carries our fencing token for the first
    /// time, or a start has arrived.
    Received,
    /// A start that was sent has not arrived.
    Missed,
    /// The agent still has an older fencing token than ours.
    OlderToken,
    /// The agent epoch is another one than before.
    NewEpoch,
}

/// An ongoing loss of answers.
#[derive(Clone, Copy, Debug)]
struct LostDelivery {
    /// When it was detected.
    since: Time,
    /// When the current agent epoch was first seen, as far as it is known.
    epoch_since: Time,
}

/// Whether the answers to one machine's heartbeats arrive.
#[derive(Clone, Debug, Default)]
pub struct DeliveryMonitor {
    /// When the last answers were sent.
    answers: VecDeque<Time>,
    /// Signs in a row that answers were missed.
    missed: u32,
    /// When the last of them was counted.
    last_missed: Option<Time>,
    /// Set while answers count as lost.
    lost: Option<LostDelivery>,
}

impl DeliveryMonitor {
    /// Records that an answer was sent.
    pub fn record_answer(&mut self, now: Time) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
    }

    /// Records a heartbeat that is newer than all before it. True if answers to the
    /// machine count as lost from now on.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        lease: TimeSpan,
        evidence: DeliveryEvidence,
    ) -> bool {
        let was_lost = self.lost.is_some();
        match evidence {
            DeliveryEvidence::None => {}
            DeliveryEvidence::Received => self.mark_delivered(),
            DeliveryEvidence::Missed | DeliveryEvidence::OlderToken => self.count_missed(now),
            DeliveryEvidence::NewEpoch => self.start_epoch(now, lease),
        }
        if self.epoch_outlived_lease(now, lease) {
            self.mark_delivered();
        }
        !was_lost && self.lost.is_some()
    }

    fn mark_delivered(&mut self) {
        self.missed = 0;
        self.lost = None;
    }

    fn count_missed(&mut self, now: Time) {
        let is_further = self
            .last_missed
            .is_none_or(|last| now.since(last) >= MIN_TIME_BETWEEN_MISSES);
        if is_further && !self.answers.is_empty() {
            self.missed += 1;
            self.last_missed = Some(now);
        }
        if self.missed >= MAX_MISSED {
            self.lost.get_or_insert(LostDelivery {
                since: now,
                epoch_since: now,
            });
        }
    }

    /// The agent's epoch has ended and another one begun.
    fn start_epoch(&mut self, now: Time, lease: TimeSpan) {
        let since = match self.lost {
            Some(lost) => Some(lost.since),
            None => self.epoch_missed_answers(now, lease).then_some(now),
        };
        self.lost = since.map(|since| LostDelivery {
            since,
            epoch_since: now,
        });
        self.missed = 0;
        self.answers.clear();
    }

    /// Whether the epoch that ended did not receive answers sent within a lease: had it
    /// received them, its lease would still run.
    fn epoch_missed_answers(&self, now: Time, lease: TimeSpan) -> bool {
        let is_missed = |sent: &&Time| {
            let age = now.since(**sent);
            age >= MIN_ANSWER_AGE && age + SLACK < lease
        };
        self.answers.iter().filter(is_missed).count() >= MIN_ANSWERS_MISSED
    }

    /// Whether the current epoch has lasted for longer than a lease, so that it has
    /// received an answer.
    fn epoch_outlived_lease(&self, now: Time, lease: TimeSpan) -> bool {
        let longest = lease.scaled(CLOCK_DRIFT) + SLACK;
        self.lost
            .is_some_and(|lost| now.since(lost.epoch_since) > longest)
    }

    /// Whether answers arrive, so that new work may go to the machine.
    pub fn answers_arrive(&self) -> bool {
        self.lost.is_none()
    }

    /// For how long answers have counted as lost.
    pub fn loss_duration(&self, now: Time) -> Option<TimeSpan> {
        self.lost.map(|lost| now.since(lost.since))
    }
}

#[cfg(test)]
mod tests;
