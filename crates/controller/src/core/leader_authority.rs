//! Until when a leader's word about what runs counts, in one place: how old what it
//! knows of cancellations and of later leaders is, and until when it may answer
//! reports and start tasks on it. `docs/design.md`, "The gap", argues it step by step.
//!
//! The bound: a cancellation that this node cannot know of was told to its user after
//! `shown`; until `shown + H` reports are answered; a worker's lease counts from the
//! sending of a report answered by then. So what runs of that job is gone by
//! `shown + H + lease`, which is no later than `cancel` after its user was told.

use super::failpoints::{self, SafetyCheck};
use crate::settings::WorkerTimes;
use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// For the clocks' drift, and for a worker to end its tasks.
const MARGIN: TimeSpan = TimeSpan::millis(2000);
/// A shorter H than this is none: by the time that one read is answered it is over.
const SHORTEST: TimeSpan = TimeSpan::millis(500);
/// How long reports are answered without contact where the settings leave no H.
const WITHOUT: TimeSpan = TimeSpan::millis(1500);
/// Longest hold of the leader's watch.
const LONGEST_WATCH: TimeSpan = TimeSpan::millis(1000);
/// Without contact for this long, nothing is started.
const START: TimeSpan = TimeSpan::millis(4000);
/// Cancellations that peers told and no read has shown yet.
const MOST_TOLD: usize = 1000;

fn less(a: TimeSpan, b: TimeSpan) -> TimeSpan {
    TimeSpan(a.0.saturating_sub(b.0))
}

/// What the settings leave a leader without contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    hold: TimeSpan,
    lease: TimeSpan,
    /// By how much a cancelled task may outlive `cancel`.
    over: TimeSpan,
}

impl Bounds {
    /// Of workers with these times.
    pub fn new(times: &WorkerTimes) -> Bounds {
        let lease = times.lease.scaled(1.001) + MARGIN;
        let hold = less(times.cancel, lease);
        if hold >= SHORTEST {
            let over = TimeSpan::ZERO;
            return Bounds { hold, lease, over };
        }
        let over = less(WITHOUT + lease, times.cancel);
        let hold = WITHOUT;
        Bounds { hold, lease, over }
    }

    /// H: for how long after contact reports may be answered.
    pub fn hold(&self) -> TimeSpan {
        self.hold
    }

    /// By how much a task of a cancelled job may outlive `cancel` on a machine that
    /// is out of reach. Zero unless `cancel` is too short for the lease.
    pub fn over(&self) -> TimeSpan {
        self.over
    }

    /// For how long after a leader took office an earlier one's answers may keep
    /// alive what runs on a machine that is silent.
    pub fn inherited(&self) -> TimeSpan {
        match failpoints::enforced(SafetyCheck::OldLeadersAnswersCount) {
            true => self.hold + self.lease,
            false => TimeSpan::ZERO,
        }
    }

    /// How long the leader's watch may be held: contact has to be younger than H for
    /// most of the time, or reports are refused with the state service well.
    pub fn watch(&self) -> TimeSpan {
        self.hold.scaled(0.25).min(LONGEST_WATCH)
    }
}

/// What a leader's word rests on.
#[derive(Clone, Debug)]
pub struct LeaderAuthority {
    bounds: Bounds,
    /// When the first page of the load was asked for.
    began: Option<Time>,
    loaded: bool,
    /// When the last read was sent that would have shown whatever was stored before
    /// it, and whose answer was taken in.
    shown: Time,
    /// Jobs that peers say are cancelled, by when they said so.
    told: BTreeMap<JobId, Time>,
}

impl LeaderAuthority {
    /// Of a leader that has read nothing yet.
    pub fn new(bounds: Bounds, now: Time) -> LeaderAuthority {
        LeaderAuthority {
            bounds,
            began: None,
            loaded: false,
            shown: now,
            told: BTreeMap::new(),
        }
    }

    /// A page of the load was answered. It is no contact: what the pages to come
    /// hold is not known yet.
    pub fn page(&mut self, sent: Time) {
        self.began.get_or_insert(sent);
    }

    /// The last page was taken in. A cancellation, or another leader, since the
    /// first page may not have been seen, however new the last one is.
    pub fn loaded(&mut self, sent: Time) {
        self.loaded = true;
        self.shown = match failpoints::enforced(SafetyCheck::LoadIsAsOldAsItsFirstRead) {
            true => self.began.unwrap_or(sent),
            false => sent,
        };
    }

    /// A read of all changes since the last one was answered and taken in. Nothing
    /// else is contact: a lease renewed, a commit accepted and a comparison of other
    /// keys show no cancellation, an open watch has shown none yet, and a peer's word
    /// is about the peer.
    pub fn showed(&mut self, sent: Time) {
        if self.loaded {
            self.shown = self.shown.max(sent);
        }
    }

    /// Whether everything recorded was read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// When the last read that counts was sent.
    pub fn shown(&self) -> Time {
        self.shown
    }

    /// How old what is known is.
    pub fn age(&self, now: Time) -> TimeSpan {
        now.since(self.shown)
    }

    /// Whether reports may be answered.
    pub fn may_answer(&self, now: Time) -> bool {
        let held =
            self.age(now) < self.bounds.hold || !failpoints::enforced(SafetyCheck::BoundedHold);
        self.loaded && held
    }

    /// Whether tasks may be started.
    pub fn may_start(&self, now: Time) -> bool {
        self.loaded && self.age(now) < START
    }

    /// How long the next read may be held. Without contact, what has changed is
    /// wanted at once.
    pub fn watch(&self, now: Time) -> TimeSpan {
        match self.may_start(now) {
            true => self.bounds.watch(),
            false => TimeSpan::ZERO,
        }
    }

    /// For how long after taking office older leaders' answers count.
    pub fn inherited(&self) -> TimeSpan {
        self.bounds.inherited()
    }

    /// A peer says that a job's user was told that it is cancelled; true if that is
    /// news. Its tasks may be stopped on it, which is help: the word may come late or
    /// never, so nothing that is not said is known, and nothing is deleted on it.
    pub fn told(&mut self, now: Time, job: &JobId) -> bool {
        let news = self.told.len() < MOST_TOLD && !self.told.contains_key(job);
        if news {
            self.told.insert(job.clone(), now);
        }
        news
    }

    /// Whether a peer says that a job is cancelled.
    pub fn is_told(&self, job: &JobId) -> bool {
        self.told.contains_key(job)
    }

    /// Jobs of which peers said more than reads sent since have shown. What is true
    /// of it has been taken in by now.
    pub fn refuted(&mut self) -> Vec<JobId> {
        let shown = self.shown;
        let over = self.told.iter().filter(|(_, at)| **at < shown);
        let over: Vec<JobId> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.told.remove(id);
        }
        over
    }
}

#[cfg(test)]
mod tests;
