//! Whether a machine hears what it is answered. One that reports and hears nothing is
//! neither absent nor of use: its tasks stand until a proof, and nothing new goes
//! there.
//!
//! Its lease tells: it runs from the sending of the last report whose answer it took.
//! So a session that ends although reports of it were answered within a lease did not
//! hear those answers, and one that outlives a lease has heard one.

use crate::types::{Time, TimeSpan};
use std::collections::VecDeque;

/// Answers missed in a row after which a machine counts as deaf. One or two are lost on
/// the way, or written late by a controller that is behind.
const MISSED: u32 = 3;
/// Reports that a cut held back come all at once, each made long before the answer to
/// the one before it: only what lies apart by this counts as missed again.
const APART: TimeSpan = TimeSpan::millis(2000);
/// And only answers this old count against a session that ends.
const PATIENCE: TimeSpan = TimeSpan::millis(4000);
/// Answers remembered.
const MOST_ANSWERS: usize = 8;
/// For a worker's clock, and for a report on its way.
const SLACK: TimeSpan = TimeSpan::millis(1000);

/// What a report shows of the answers before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryEvidence {
    /// Nothing.
    None,
    /// It took one: our token is new to it, or a start is there.
    Took,
    /// A start that was sent is not there.
    Missed,
    /// It still has an older token than ours.
    OlderToken,
    /// Its session is another one than before.
    NewSession,
}

/// What is held of one machine's hearing.
#[derive(Clone, Debug, Default)]
pub struct DeliveryMonitor {
    /// When the last answers went out.
    answers: VecDeque<Time>,
    /// Signs in a row that they were missed, and when the last was counted.
    missed: u32,
    missed_at: Option<Time>,
    /// Since when it counts as deaf, and since when its session has lasted.
    deaf: Option<(Time, Time)>,
}

impl DeliveryMonitor {
    /// An answer that is to be taken went out.
    pub fn answered(&mut self, now: Time) {
        if self.answers.len() == MOST_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
    }

    /// A report came that is newer than all before it. True if the machine counts as
    /// deaf from now on.
    pub fn reported(&mut self, now: Time, lease: TimeSpan, sign: DeliveryEvidence) -> bool {
        let was = self.deaf.is_some();
        match sign {
            DeliveryEvidence::None => {}
            DeliveryEvidence::Took => (self.missed, self.deaf) = (0, None),
            DeliveryEvidence::Missed | DeliveryEvidence::OlderToken => {
                let again = self.missed_at.is_none_or(|t| now.since(t) >= APART);
                if again && !self.answers.is_empty() {
                    self.missed += 1;
                    self.missed_at = Some(now);
                }
                if self.missed >= MISSED {
                    self.deaf.get_or_insert((now, now));
                }
            }
            DeliveryEvidence::NewSession => {
                let unheard = |t: &&Time| {
                    let age = now.since(**t);
                    age >= PATIENCE && age + SLACK < lease
                };
                let unheard = self.answers.iter().filter(unheard).count() >= 2;
                self.deaf = match self.deaf {
                    Some((since, _)) => Some((since, now)),
                    None => unheard.then_some((now, now)),
                };
                self.missed = 0;
                self.answers.clear();
            }
        }
        let lasts = |(_, epoch): (Time, Time)| now.since(epoch) > lease.scaled(1.001) + SLACK;
        if self.deaf.is_some_and(lasts) {
            (self.missed, self.deaf) = (0, None);
        }
        !was && self.deaf.is_some()
    }

    /// Whether new work may go there.
    pub fn hears(&self) -> bool {
        self.deaf.is_none()
    }

    /// For how long it has counted as deaf.
    pub fn deaf_for(&self, now: Time) -> Option<TimeSpan> {
        self.deaf.map(|(since, _)| now.since(since))
    }
}

#[cfg(test)]
mod tests;
