//! A machine as the leader knows it.

use super::delivery::DeliveryMonitor;
use super::placement_tables::ImageCache;
use crate::types::{
    AgentEpoch, HeartbeatSequence, JobId, MachineTypeName, Resources, TaskId, Time, TimeSpan, Zone,
};
use crate::wire::cloud::MachineStage;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// How far a machine's return has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// It stays.
    InService,
    /// It gets no new work; it goes when empty.
    Draining,
    /// Its release is due or asked for, whatever is on it.
    Terminating,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Where direct commands go.
    pub addr: Option<SocketAddrV4>,
    /// Its type, once known.
    pub kind: Option<MachineTypeName>,
    /// Its zone, once known.
    pub zone: Option<Zone>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Newest message: its session.
    pub epoch: AgentEpoch,
    /// Newest message: its number.
    pub sequence: HeartbeatSequence,
    /// When it last reported.
    pub reported: Option<Time>,
    /// When we last answered a report with 200.
    pub answered: Option<Time>,
    /// Whether its newest report carried our token.
    pub has_our_token: bool,
    /// When the first report did.
    pub our_token_since: Option<Time>,
    /// Whether it hears what it is answered.
    pub delivery: DeliveryMonitor,
    /// Unrecorded tasks on it, and what they take.
    pub unrecorded_usage: Resources,
    /// When the cloud takes it, if noticed.
    pub termination_notice_at: Option<Time>,
    /// Its state in the cloud's list, and its age there.
    pub listed: Option<(MachineStage, TimeSpan)>,
    /// When a list last had it.
    pub listed_at: Option<Time>,
    /// When we first heard of it.
    pub known: Time,
    /// Whether its tasks were written off.
    pub lost: bool,
    /// Whether it is being returned.
    pub lifecycle: MachineLifecycle,
    /// Why.
    pub why: &'static str,
    /// Its images.
    pub cache: ImageCache,
    /// It gets no work before this time.
    pub aside: Option<Time>,
    /// When high-priority work was last placed here.
    pub last_high: Option<Time>,
    /// Since when it has nothing to do.
    pub idle: Option<Time>,
    /// Jobs that failed here, and when.
    pub faults: BTreeMap<JobId, Time>,
    /// Tasks placed here.
    pub tasks: BTreeSet<TaskId>,
    /// What they take together.
    pub used: Resources,
}

impl Machine {
    /// One just heard of.
    pub fn new(now: Time) -> Machine {
        Machine {
            addr: None,
            kind: None,
            zone: None,
            spot: false,
            epoch: AgentEpoch(0),
            sequence: HeartbeatSequence(0),
            reported: None,
            answered: None,
            has_our_token: false,
            our_token_since: None,
            delivery: DeliveryMonitor::default(),
            unrecorded_usage: Resources::default(),
            termination_notice_at: None,
            listed: None,
            listed_at: None,
            known: now,
            lost: false,
            lifecycle: MachineLifecycle::InService,
            why: "",
            aside: None,
            cache: ImageCache::default(),
            last_high: None,
            idle: None,
            faults: BTreeMap::new(),
            tasks: BTreeSet::new(),
            used: Resources::default(),
        }
    }

    /// It is to be released.
    pub fn mark_for_termination(&mut self, why: &'static str) {
        if self.lifecycle != MachineLifecycle::Terminating {
            (self.lifecycle, self.why) = (MachineLifecycle::Terminating, why);
        }
    }

    /// Notes a task placed here.
    pub fn take(&mut self, task: TaskId, needs: Resources) {
        if self.tasks.insert(task) {
            self.used += needs;
        }
    }

    /// Notes that a task is not here any more.
    pub fn release(&mut self, task: &TaskId, needs: Resources) {
        if self.tasks.remove(task) {
            self.used -= needs;
        }
        if self.tasks.is_empty() {
            // What rounding leaves must not add up.
            self.used = Resources::default();
        }
    }

    /// Whether the cloud's list shows it as failed.
    pub fn listed_as_failed(&self) -> bool {
        matches!(self.listed, Some((MachineStage::Failed, _)))
    }

    /// Whether it is put aside.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.aside.is_some_and(|t| now < t)
    }

    /// Whether new work may go here.
    pub fn is_schedulable(&self, now: Time, silence: TimeSpan) -> bool {
        self.is_healthy(now, silence) && !self.is_quarantined(now)
    }

    /// Whether new work may go here if there is nothing better: it is well now, whatever
    /// it was before.
    pub fn is_healthy(&self, now: Time, silence: TimeSpan) -> bool {
        self.has_our_token
            && self.delivery.hears()
            && !self.lost
            && self.lifecycle == MachineLifecycle::InService
            && self.termination_notice_at.is_none()
            && self.reported.is_some_and(|t| now.since(t) < silence)
    }
}
