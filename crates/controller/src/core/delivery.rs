//! Detects machines whose heartbeats arrive while the answers to the heartbeats are lost.
//! The tasks of such a machine stay assigned until there is proof that they have stopped,
//! and no new tasks are placed on the machine.
//!
//! The agent's lease provides the evidence. A lease starts when the agent sends the last
//! heartbeat whose answer it received. So an agent epoch that ends although some of its
//! heartbeats were answered within a lease did not receive those answers, and an epoch
//! that lasts longer than a lease has received an answer.

use crate::types::{Time, TimeSpan};
use std::collections::VecDeque;

/// Consecutive missed answers after which answers count as lost. One or two may be lost
/// on the network, or sent late by a controller that is behind.
const MISSES_UNTIL_LOST: u32 = 3;
/// Minimum time between two heartbeats that both count as misses. Heartbeats that a
/// network partition held back arrive in a burst, and each was sent long before the
/// answer to the previous one.
const MIN_TIME_BETWEEN_MISSES: TimeSpan = TimeSpan::millis(2000);
/// Minimum age of an answer that an ending epoch counts as missed.
const MIN_ANSWER_AGE: TimeSpan = TimeSpan::millis(4000);
/// Minimum number of answers of [`MIN_ANSWER_AGE`] that an ending epoch must have missed
/// to count as evidence of loss.
const MIN_ANSWERS_MISSED: usize = 2;
/// Most answers whose sending times are kept.
const MAX_RECORDED_ANSWERS: usize = 8;
/// Allowance for the agent's clock, and for the transit time of a heartbeat.
const SLACK: TimeSpan = TimeSpan::millis(1000);
/// Factor by which an agent's slow clock may extend the duration of its lease.
const MAX_CLOCK_DRIFT_FACTOR: f64 = 1.001;

/// What a heartbeat proves about the delivery of the answers before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryEvidence {
    /// The heartbeat proves nothing.
    None,
    /// An answer was received: the heartbeat carries this leader's fencing token for the
    /// first time, or shows that a start command has arrived.
    Received,
    /// A start command that was sent has not arrived.
    Missed,
    /// The agent still has an older fencing token than this leader's.
    OlderToken,
    /// The agent is in another epoch than in the heartbeat before.
    NewEpoch,
}

/// An ongoing loss of answers.
#[derive(Clone, Copy, Debug)]
struct LostDelivery {
    /// When the loss was detected.
    since: Time,
    /// When the current agent epoch was first seen. If the loss was detected in the
    /// middle of an epoch, when the loss was detected.
    epoch_since: Time,
}

/// Tracks whether one agent receives the answers to its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct DeliveryMonitor {
    /// Sending times of the latest answers, oldest first.
    answers: VecDeque<Time>,
    /// Consecutive signs that answers were missed.
    missed: u32,
    /// When `missed` was last incremented.
    last_missed: Option<Time>,
    /// `Some` while answers count as lost.
    lost: Option<LostDelivery>,
}

impl DeliveryMonitor {
    /// Records that an answer was sent.
    pub fn record_answer(&mut self, now: Time) {
        if self.answers.len() == MAX_RECORDED_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
    }

    /// Records a heartbeat that is newer than all before it. `lease` is the duration of
    /// agents' leases. Returns true if answers were not counted as lost before and are
    /// from this heartbeat on.
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
        let counts_as_miss = self
            .last_missed
            .is_none_or(|last| now.since(last) >= MIN_TIME_BETWEEN_MISSES);
        if counts_as_miss && !self.answers.is_empty() {
            self.missed += 1;
            self.last_missed = Some(now);
        }
        if self.missed >= MISSES_UNTIL_LOST {
            self.lost.get_or_insert(LostDelivery {
                since: now,
                epoch_since: now,
            });
        }
    }

    /// Starts a new agent epoch. An ongoing loss continues; otherwise the ended epoch may
    /// prove a loss.
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

    /// Whether the ended epoch did not receive answers that were sent within a lease: if
    /// it had received them, its lease would not have expired yet.
    fn epoch_missed_answers(&self, now: Time, lease: TimeSpan) -> bool {
        let is_missed = |sent: &&Time| {
            let age = now.since(**sent);
            age >= MIN_ANSWER_AGE && age + SLACK < lease
        };
        self.answers.iter().filter(is_missed).count() >= MIN_ANSWERS_MISSED
    }

    /// Whether the current epoch has lasted longer than a lease, which proves that the
    /// agent received an answer.
    fn epoch_outlived_lease(&self, now: Time, lease: TimeSpan) -> bool {
        let max_lease = lease.scaled(MAX_CLOCK_DRIFT_FACTOR) + SLACK;
        self.lost
            .is_some_and(|lost| now.since(lost.epoch_since) > max_lease)
    }

    /// Whether answers arrive, so that new tasks may be placed on the machine.
    pub fn answers_arrive(&self) -> bool {
        self.lost.is_none()
    }

    /// For how long answers have counted as lost; `None` while answers arrive.
    pub fn loss_duration(&self, now: Time) -> Option<TimeSpan> {
        self.lost.map(|lost| now.since(lost.since))
    }
}

#[cfg(test)]
mod tests;
