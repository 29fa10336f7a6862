//! A machine as the leader knows it: what its heartbeats, the cloud's lists and the
//! placements say of it. Decides nothing.

use super::delivery::DeliveryMonitor;
use super::placement_tables::ImageCache;
use crate::types::{
    AgentEpoch, HeartbeatSequence, JobId, MachineTypeName, Resources, TaskId, Time, TimeSpan, Zone,
};
use crate::wire::cloud::MachineStage;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// It gets work.
    InService,
    /// It gets no new work; it goes when empty.
    Draining,
    /// The cloud is, or is to be, asked to terminate it, whatever is on it.
    Terminating,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Where direct commands are sent.
    pub address: Option<SocketAddrV4>,
    /// Its type, once known.
    pub machine_type: Option<MachineTypeName>,
    /// Its zone, once known.
    pub zone: Option<Zone>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The agent epoch of its newest heartbeat.
    pub epoch: AgentEpoch,
    /// The number of its newest heartbeat.
    pub sequence: HeartbeatSequence,
    /// When its last heartbeat came.
    pub last_heartbeat: Option<Time>,
    /// When we last answered a heartbeat with 200, which renews its lease.
    pub last_answer: Option<Time>,
    /// Whether its newest heartbeat carried our fencing token.
    pub has_our_token: bool,
    /// When the first heartbeat with our token came.
    pub our_token_since: Option<Time>,
    /// Whether it receives the answers to its heartbeats.
    pub delivery: DeliveryMonitor,
    /// What tasks take that run there without being recorded there.
    pub unrecorded_usage: Resources,
    /// When the cloud takes it, if it has given notice.
    pub termination_notice_at: Option<Time>,
    /// Its state in the cloud's list, and its age there.
    pub listed: Option<(MachineStage, TimeSpan)>,
    /// When a list last showed it.
    pub last_listed: Option<Time>,
    /// When this leader first heard of it.
    pub first_seen: Time,
    /// Whether its lease has expired and its tasks were written off.
    pub presumed_dead: bool,
    /// Whether it stays.
    pub lifecycle: MachineLifecycle,
    /// Why it is to be terminated; empty if it is not.
    pub termination_reason: &'static str,
    /// The images that it should hold.
    pub cache: ImageCache,
    /// It is quarantined, and gets no work before this time.
    pub quarantined_until: Option<Time>,
    /// When high-priority work was last placed here.
    pub last_high_priority: Option<Time>,
    /// Since when it has nothing to do.
    pub idle_since: Option<Time>,
    /// Jobs that failed here, and when each last did.
    pub failed_jobs: BTreeMap<JobId, Time>,
    /// Tasks placed here.
    pub tasks: BTreeSet<TaskId>,
    /// What the tasks placed here take together.
    pub allocated: Resources,
}

impl Machine {
    /// One that was just heard of.
    pub fn new(now: Time) -> Machine {
        Machine {
            address: None,
            machine_type: None,
            zone: None,
            spot: false,
            epoch: AgentEpoch(0),
            sequence: HeartbeatSequence(0),
            last_heartbeat: None,
            last_answer: None,
            has_our_token: false,
            our_token_since: None,
            delivery: DeliveryMonitor::default(),
            unrecorded_usage: Resources::default(),
            termination_notice_at: None,
            listed: None,
            last_listed: None,
            first_seen: now,
            presumed_dead: false,
            lifecycle: MachineLifecycle::InService,
            termination_reason: "",
            quarantined_until: None,
            cache: ImageCache::default(),
            last_high_priority: None,
            idle_since: None,
            failed_jobs: BTreeMap::new(),
            tasks: BTreeSet::new(),
            allocated: Resources::default(),
        }
    }

    /// It is to be terminated; the first reason stays.
    pub fn mark_for_termination(&mut self, why: &'static str) {
        if self.lifecycle != MachineLifecycle::Terminating {
            (self.lifecycle, self.termination_reason) = (MachineLifecycle::Terminating, why);
        }
    }

    /// Notes a task placed here.
    pub fn assign(&mut self, task: TaskId, needs: Resources) {
        if self.tasks.insert(task) {
            self.allocated += needs;
        }
    }

    /// Notes that a task is not here any more.
    pub fn release(&mut self, task: &TaskId, needs: Resources) {
        if self.tasks.remove(task) {
            self.allocated -= needs;
        }
        if self.tasks.is_empty() {
            // What rounding leaves must not add up.
            self.allocated = Resources::default();
        }
    }

    /// Whether the cloud's list shows it as failed.
    pub fn listed_as_failed(&self) -> bool {
        matches!(self.listed, Some((MachineStage::Failed, _)))
    }

    /// Whether it is quarantined.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|t| now < t)
    }

    /// Whether new work may go here.
    pub fn is_schedulable(&self, now: Time, silence: TimeSpan) -> bool {
        self.is_healthy(now, silence) && !self.is_quarantined(now)
    }

    /// Whether new work may go here if there is nothing better: it is healthy now, even if
    /// quarantined for what it was before.
    pub fn is_healthy(&self, now: Time, silence: TimeSpan) -> bool {
        self.has_our_token
            && self.delivery.answers_arrive()
            && !self.presumed_dead
            && self.lifecycle == MachineLifecycle::InService
            && self.termination_notice_at.is_none()
            && self.last_heartbeat.is_some_and(|t| now.since(t) < silence)
    }
}
