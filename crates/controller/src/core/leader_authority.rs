//! Until when a leader may act on what it knows: how old its knowledge of cancellations
//! and of later leaders is, and until when it may answer heartbeats and start tasks on
//! it. `docs/design.md`, "The gap", derives the rules step by step.
//!
//! The bound: a cancellation that this node cannot know of was confirmed to its user
//! after `last_contact`; until `last_contact + H` heartbeats are answered; an agent's
//! lease counts from the sending of a heartbeat answered by then. So what runs of that
//! job has ended by `last_contact + H + lease`, which is no later than `cancel` after
//! the confirmation.

use super::failpoints::{self, SafetyCheck};
use crate::settings::WorkerTimes;
use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Allowance for the clocks' drift, and for an agent to end its tasks.
const MARGIN: TimeSpan = TimeSpan::millis(2000);
/// By how much an agent's clock may run slow: its lease may last that much longer.
const CLOCK_DRIFT: f64 = 1.001;
/// A shorter H than this is of no use: it is over by the time that one read is answered.
const MIN_HOLD: TimeSpan = TimeSpan::millis(500);
/// How long heartbeats are answered without contact where the settings leave no H.
const HOLD_WITHOUT_BOUND: TimeSpan = TimeSpan::millis(1500);
/// The longest time that the leader's watch is held.
const MAX_WATCH: TimeSpan = TimeSpan::millis(1000);
/// Part of H for which the leader's watch may be held.
const WATCH_PART_OF_HOLD: f64 = 0.25;
/// Without contact for this long, no task is started.
const MAX_AGE_TO_START: TimeSpan = TimeSpan::millis(4000);
/// Most cancellations reported by peers, and not confirmed by a read, that are kept.
const MAX_REPORTED_CANCELLATIONS: usize = 1000;

fn saturating_difference(a: TimeSpan, b: TimeSpan) -> TimeSpan {
    TimeSpan(a.0.saturating_sub(b.0))
}

/// The bounds that the settings give a leader without contact to the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityBounds {
    hold: TimeSpan,
    /// The longest that an agent's lease may last, by our clock.
    lease: TimeSpan,
    /// By how much a cancelled task may outlive `cancel`.
    cancel_overrun: TimeSpan,
}

impl AuthorityBounds {
    /// The bounds for agents with these times.
    pub fn new(times: &WorkerTimes) -> AuthorityBounds {
        let lease = times.lease.scaled(CLOCK_DRIFT) + MARGIN;
        let hold = saturating_difference(times.cancel, lease);
        if hold >= MIN_HOLD {
            let over = TimeSpan::ZERO;
            return AuthorityBounds {
                hold,
                lease,
                cancel_overrun: over,
            };
        }
        let hold = HOLD_WITHOUT_BOUND;
        let over = saturating_difference(hold + lease, times.cancel);
        AuthorityBounds {
            hold,
            lease,
            cancel_overrun: over,
        }
    }

    /// H: for how long after contact heartbeats may be answered.
    pub fn hold(&self) -> TimeSpan {
        self.hold
    }

    /// By how much a task of a cancelled job may outlive `cancel` on a machine that
    /// is out of reach. Zero unless `cancel` is too short for the lease.
    pub fn cancel_overrun(&self) -> TimeSpan {
        self.cancel_overrun
    }

    /// For how long after a failover the answers of an earlier leader may keep alive
    /// what runs on a machine that is silent.
    pub fn earlier_leader_window(&self) -> TimeSpan {
        match failpoints::enforced(SafetyCheck::EarlierLeadersAnswersCount) {
            true => self.hold + self.lease,
            false => TimeSpan::ZERO,
        }
    }

    /// How long the leader's watch may be held: contact has to be younger than H for
    /// most of the time, or heartbeats are refused while the key-value store is well.
    pub fn watch(&self) -> TimeSpan {
        self.hold.scaled(WATCH_PART_OF_HOLD).min(MAX_WATCH)
    }
}

/// How recent a leader's knowledge is, and what it may therefore do.
#[derive(Clone, Debug)]
pub struct LeaderAuthority {
    bounds: AuthorityBounds,
    /// When the first page of the load was requested.
    load_began: Option<Time>,
    loaded: bool,
    /// When the last read was sent that would have shown whatever was stored before
    /// it, and whose answer was processed.
    last_contact: Time,
    /// Jobs that peers report as cancelled, by when they did.
    reported_cancelled: BTreeMap<JobId, Time>,
}

impl LeaderAuthority {
    /// The authority of a leader that has read nothing yet.
    pub fn new(bounds: AuthorityBounds, now: Time) -> LeaderAuthority {
        LeaderAuthority {
            bounds,
            load_began: None,
            loaded: false,
            last_contact: now,
            reported_cancelled: BTreeMap::new(),
        }
    }

    /// Records that a page of the load, requested at `sent`, was answered. It is no
    /// contact: what the pages to come hold is not known yet.
    pub fn record_load_page(&mut self, sent: Time) {
        self.load_began.get_or_insert(sent);
    }

    /// Records that the last page was processed. A cancellation, or another leader,
    /// since the first page may not have been seen, however new the last one is.
    pub fn record_load_complete(&mut self, sent: Time) {
        self.loaded = true;
        self.last_contact = match failpoints::enforced(SafetyCheck::LoadIsAsOldAsItsFirstRead) {
            true => self.load_began.unwrap_or(sent),
            false => sent,
        };
    }

    /// Records that a read, sent at `sent`, of all changes since the last one was
    /// answered and processed. Nothing else is contact: a lease renewed, a commit
    /// accepted and a comparison of other keys show no cancellation, an open watch has
    /// shown none yet, and a peer's report is about the peer.
    pub fn record_read(&mut self, sent: Time) {
        if self.loaded {
            self.last_contact = self.last_contact.max(sent);
        }
    }

    /// Whether everything stored was read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// When the last read that counts as contact was sent.
    pub fn last_contact(&self) -> Time {
        self.last_contact
    }

    /// How old the leader's knowledge is.
    pub fn age(&self, now: Time) -> TimeSpan {
        now.since(self.last_contact)
    }

    /// Whether heartbeats may be answered.
    pub fn may_answer(&self, now: Time) -> bool {
        let within_hold =
            self.age(now) < self.bounds.hold || !failpoints::enforced(SafetyCheck::BoundedHold);
        self.loaded && within_hold
    }

    /// Whether tasks may be started.
    pub fn may_start(&self, now: Time) -> bool {
        self.loaded && self.age(now) < MAX_AGE_TO_START
    }

    /// How long the next read may be held. Without contact, what has changed is
    /// wanted at once.
    pub fn watch(&self, now: Time) -> TimeSpan {
        match self.may_start(now) {
            true => self.bounds.watch(),
            false => TimeSpan::ZERO,
        }
    }

    /// For how long after a failover the answers of earlier leaders count.
    pub fn inherited(&self) -> TimeSpan {
        self.bounds.earlier_leader_window()
    }

    /// Records that a peer reports a job as cancelled; true if that is news. Its tasks
    /// may be stopped on that, which only helps: reports may be late or never come, so
    /// nothing follows from there being none, and nothing is deleted on one.
    pub fn record_peer_cancellation(&mut self, now: Time, job: &JobId) -> bool {
        let reported = &mut self.reported_cancelled;
        let is_news = reported.len() < MAX_REPORTED_CANCELLATIONS && !reported.contains_key(job);
        if is_news {
            reported.insert(job.clone(), now);
        }
        is_news
    }

    /// Whether a peer reports that a job is cancelled.
    pub fn is_reported_cancelled(&self, job: &JobId) -> bool {
        self.reported_cancelled.contains_key(job)
    }

    /// Removes the reports that are older than the last read, and returns their jobs.
    /// What is true of them has been read by now.
    pub fn take_outdated_reports(&mut self) -> Vec<JobId> {
        let last_contact = self.last_contact;
        let outdated: Vec<JobId> = self
            .reported_cancelled
            .iter()
            .filter(|(_, reported_at)| **reported_at < last_contact)
            .map(|(job, _)| job.clone())
            .collect();
        for job in &outdated {
            self.reported_cancelled.remove(job);
        }
        outdated
    }
}

#[cfg(test)]
mod tests;
