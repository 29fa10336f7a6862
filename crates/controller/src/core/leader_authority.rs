//! How long a leader may act on what it has read: how old its knowledge of cancellations
//! and of later leaders is, and until when it may answer heartbeats and start tasks on
//! the basis of that knowledge. `docs/design.md`, "The gap", derives the rules step by
//! step.
//!
//! The bound: a cancellation that this controller has not read was confirmed to its user
//! after `last_contact`. The leader answers heartbeats until `last_contact + H`, and an
//! agent's lease counts from when the agent sent a heartbeat that was answered by then.
//! So all tasks of that job have ended by `last_contact + H + lease`, which is no later
//! than `cancel` after the confirmation.

use super::failpoints::{self, SafetyCheck};
use crate::settings::WorkerTimes;
use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Allowance for clock drift, and for the time that an agent needs to end its tasks.
const LEASE_MARGIN: TimeSpan = TimeSpan::millis(2000);
/// The factor by which an agent's clock may run slow, and its lease last longer.
const MAX_CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// Minimum useful H: a shorter one ends before a single read is answered.
const MIN_HOLD: TimeSpan = TimeSpan::millis(500);
/// H where `cancel` is too short for the lease and leaves less than the minimum.
const FALLBACK_HOLD: TimeSpan = TimeSpan::millis(1500);
/// Maximum time for which the store holds the leader's watch open.
const MAX_WATCH: TimeSpan = TimeSpan::millis(1000);
/// The share of H for which the store may hold the leader's watch open.
const WATCH_SHARE_OF_HOLD: f64 = 0.25;
/// No task is started once contact is this old.
const MAX_CONTACT_AGE_TO_START: TimeSpan = TimeSpan::millis(4000);
/// Maximum number of cancellations kept that peers reported and no read has confirmed.
const MAX_REPORTED_CANCELLATIONS: usize = 1000;

fn saturating_difference(a: TimeSpan, b: TimeSpan) -> TimeSpan {
    TimeSpan(a.0.saturating_sub(b.0))
}

/// The time bounds that the settings impose on a leader without contact to the
/// key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityBounds {
    /// H: for how long after contact the leader may answer heartbeats.
    hold: TimeSpan,
    /// Maximum duration of an agent's lease by this controller's clock.
    lease: TimeSpan,
    /// By how much a cancelled task may outlive `cancel`.
    cancel_overrun: TimeSpan,
}

impl AuthorityBounds {
    /// The bounds for agents with these time settings.
    pub fn new(times: &WorkerTimes) -> AuthorityBounds {
        let lease = times.lease.scaled(MAX_CLOCK_DRIFT_FACTOR) + LEASE_MARGIN;
        let hold = saturating_difference(times.cancel, lease);
        if hold >= MIN_HOLD {
            let overrun = TimeSpan::ZERO;
            return AuthorityBounds {
                hold,
                lease,
                cancel_overrun: overrun,
            };
        }
        let hold = FALLBACK_HOLD;
        let overrun = saturating_difference(hold + lease, times.cancel);
        AuthorityBounds {
            hold,
            lease,
            cancel_overrun: overrun,
        }
    }

    /// H: for how long after contact the leader may answer heartbeats.
    pub fn hold(&self) -> TimeSpan {
        self.hold
    }

    /// By how much a task of a cancelled job may outlive `cancel` on an unreachable
    /// machine. Zero unless `cancel` is too short for the lease.
    pub fn cancel_overrun(&self) -> TimeSpan {
        self.cancel_overrun
    }

    /// For how long after a failover the answers of an earlier leader may keep alive
    /// the tasks on a machine that sends no heartbeats to this leader.
    pub fn earlier_leader_window(&self) -> TimeSpan {
        match failpoints::enforced(SafetyCheck::EarlierLeadersAnswersExtendLeases) {
            true => self.hold + self.lease,
            false => TimeSpan::ZERO,
        }
    }

    /// How long the store may hold the leader's watch open. Contact must be younger than
    /// H most of the time; otherwise the leader refuses heartbeats although the key-value
    /// store is healthy.
    pub fn max_watch_hold(&self) -> TimeSpan {
        self.hold.scaled(WATCH_SHARE_OF_HOLD).min(MAX_WATCH)
    }
}

/// How recent a leader's knowledge is, and what the leader may do on its basis.
#[derive(Clone, Debug)]
pub struct LeaderAuthority {
    bounds: AuthorityBounds,
    /// When the first page of the load was requested.
    load_started_at: Option<Time>,
    loaded: bool,
    /// When the last processed read was sent that shows all changes stored before it.
    last_contact: Time,
    /// Jobs that peers report as cancelled, with the time of the first report.
    reported_cancelled: BTreeMap<JobId, Time>,
}

impl LeaderAuthority {
    /// The authority of a leader that has not read any record yet.
    pub fn new(bounds: AuthorityBounds, now: Time) -> LeaderAuthority {
        LeaderAuthority {
            bounds,
            load_started_at: None,
            loaded: false,
            last_contact: now,
            reported_cancelled: BTreeMap::new(),
        }
    }

    /// Records that a page of the load, requested at `sent`, was answered. A page does
    /// not count as contact: the contents of the remaining pages are not known yet.
    pub fn record_load_page(&mut self, sent: Time) {
        self.load_started_at.get_or_insert(sent);
    }

    /// Records that the last page, requested at `sent`, was processed. Contact is as old
    /// as the first page: a cancellation or another leader since then may be in none of
    /// the pages, however recent the last page is.
    pub fn record_load_complete(&mut self, sent: Time) {
        self.loaded = true;
        self.last_contact = match failpoints::enforced(SafetyCheck::LoadAgeCountsFromFirstRead) {
            true => self.load_started_at.unwrap_or(sent),
            false => sent,
        };
    }

    /// Records that a read, sent at `sent`, of all changes since the previous one was
    /// answered and processed. Only such a read counts as contact: a lease renewal, an
    /// accepted commit and a comparison of other keys show no cancellation, an open watch
    /// has not shown one yet, and a peer's report shows only what that peer has read.
    pub fn record_read(&mut self, sent: Time) {
        if self.loaded {
            self.last_contact = self.last_contact.max(sent);
        }
    }

    /// Whether all stored records were read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// When the last read that counts as contact was sent.
    pub fn last_contact(&self) -> Time {
        self.last_contact
    }

    /// How old the leader's knowledge is: the time since the last contact.
    pub fn age(&self, now: Time) -> TimeSpan {
        now.since(self.last_contact)
    }

    /// Whether the leader may answer heartbeats.
    pub fn may_answer_heartbeats(&self, now: Time) -> bool {
        let within_hold =
            self.age(now) < self.bounds.hold || !failpoints::enforced(SafetyCheck::BoundedHold);
        self.loaded && within_hold
    }

    /// Whether the leader may start tasks.
    pub fn may_start_tasks(&self, now: Time) -> bool {
        self.loaded && self.age(now) < MAX_CONTACT_AGE_TO_START
    }

    /// How long the store may hold the next read open. Without recent contact the read
    /// must return immediately.
    pub fn next_watch_hold(&self, now: Time) -> TimeSpan {
        match self.may_start_tasks(now) {
            true => self.bounds.max_watch_hold(),
            false => TimeSpan::ZERO,
        }
    }

    /// For how long after a failover the answers of earlier leaders may keep tasks alive.
    pub fn earlier_leader_window(&self) -> TimeSpan {
        self.bounds.earlier_leader_window()
    }

    /// Records that a peer reports a job as cancelled; true if the report is new and was
    /// kept. The leader may stop the job's tasks on a report, which is an optimisation
    /// only: reports may be late or lost, so the absence of a report proves nothing, and
    /// no record is deleted on the basis of one.
    pub fn record_peer_cancellation(&mut self, now: Time, job: &JobId) -> bool {
        let reported = &mut self.reported_cancelled;
        let is_new = reported.len() < MAX_REPORTED_CANCELLATIONS && !reported.contains_key(job);
        if is_new {
            reported.insert(job.clone(), now);
        }
        is_new
    }

    /// Whether a peer reports that a job is cancelled.
    pub fn is_reported_cancelled(&self, job: &JobId) -> bool {
        self.reported_cancelled.contains_key(job)
    }

    /// Removes the reports that are older than the last contact, and returns their jobs.
    /// The leader has read by now whether those jobs are cancelled.
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
