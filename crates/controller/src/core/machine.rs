//! The leader's record of a machine, from the machine's heartbeats, the cloud's lists of
//! machines and the assignments of tasks. This module makes no decisions.

use super::circuit_breaker::CircuitBreaker;
use super::delivery::DeliveryMonitor;
use super::placement_tables::ImageCache;
use super::sent_starts::SentStarts;
use crate::types::{
    AgentEpoch, HeartbeatSequence, MachineTypeName, Resources, TaskId, Time, TimeSpan, Zone,
};
use crate::wire::cloud::MachineStage;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Whether the leader keeps or terminates a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// The machine receives new tasks.
    InService,
    /// The leader has requested, or is to request, that the cloud terminates the machine,
    /// whatever tasks are on it.
    Terminating,
}

/// The leader's state of one machine.
#[derive(Debug)]
pub struct Machine {
    /// The agent's address, to which direct commands are sent; `None`: unknown.
    pub address: Option<SocketAddrV4>,
    /// The machine's type, once known.
    pub machine_type: Option<MachineTypeName>,
    /// The machine's zone, once known.
    pub zone: Option<Zone>,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// The agent epoch of the newest heartbeat.
    pub epoch: AgentEpoch,
    /// The sequence number of the newest heartbeat.
    pub sequence: HeartbeatSequence,
    /// When the last heartbeat arrived; `None`: none has arrived at this leader.
    pub last_heartbeat: Option<Time>,
    /// When this leader last answered a heartbeat with 200, which renews the agent's
    /// lease; `None`: never.
    pub last_answer: Option<Time>,
    /// Whether the newest heartbeat carried this leader's fencing token.
    pub has_current_token: bool,
    /// When the first heartbeat with this leader's token arrived.
    pub current_token_since: Option<Time>,
    /// Whether the agent receives the answers to its heartbeats.
    pub delivery: DeliveryMonitor,
    /// Resources of tasks that run on the machine without an assignment to it.
    pub unrecorded_usage: Resources,
    /// When the cloud terminates the machine, if it has announced that.
    pub termination_notice_at: Option<Time>,
    /// The machine's state and age in the cloud's last list that contained it.
    pub cloud_listing: Option<(MachineStage, TimeSpan)>,
    /// When a list of the cloud last contained the machine.
    pub last_listed: Option<Time>,
    /// When this leader first received any information about the machine.
    pub first_seen: Time,
    /// Whether the agent's lease has expired and the machine's tasks were abandoned.
    pub presumed_dead: bool,
    /// Whether the machine is in service or to be terminated.
    pub lifecycle: MachineLifecycle,
    /// Why the machine is to be terminated; empty if it is not.
    pub termination_reason: &'static str,
    /// The images that the machine is expected to hold.
    pub cache: ImageCache,
    /// Until when the machine is quarantined and receives no tasks, unless no other
    /// machine fits; `None`: it is not quarantined.
    pub quarantined_until: Option<Time>,
    /// When a high-priority task was last assigned to the machine.
    pub last_high_priority: Option<Time>,
    /// Since when the machine has been found without tasks; `None`: it has tasks.
    pub idle_since: Option<Time>,
    /// The failures of tasks on the machine, and whether they keep work away from it.
    pub circuit_breaker: CircuitBreaker,
    /// The starts that were sent to the machine lately.
    pub sent_starts: SentStarts,
    /// Tasks assigned to the machine.
    pub tasks: BTreeSet<TaskId>,
    /// Total resources of the tasks assigned to the machine.
    pub allocated: Resources,
}

impl Machine {
    /// A machine about which the leader received the first information at `now`.
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
            has_current_token: false,
            current_token_since: None,
            delivery: DeliveryMonitor::default(),
            unrecorded_usage: Resources::default(),
            termination_notice_at: None,
            cloud_listing: None,
            last_listed: None,
            first_seen: now,
            presumed_dead: false,
            lifecycle: MachineLifecycle::InService,
            termination_reason: "",
            quarantined_until: None,
            cache: ImageCache::default(),
            last_high_priority: None,
            idle_since: None,
            circuit_breaker: CircuitBreaker::default(),
            sent_starts: SentStarts::default(),
            tasks: BTreeSet::new(),
            allocated: Resources::default(),
        }
    }

    /// Marks the machine for termination. The first reason given remains.
    pub fn mark_for_termination(&mut self, reason: &'static str) {
        if self.lifecycle != MachineLifecycle::Terminating {
            (self.lifecycle, self.termination_reason) = (MachineLifecycle::Terminating, reason);
        }
    }

    /// Adds a task that is assigned to this machine.
    pub fn assign(&mut self, task: TaskId, needs: Resources) {
        if self.tasks.insert(task) {
            self.allocated += needs;
        }
    }

    /// Removes a task that is no longer assigned to this machine.
    pub fn release(&mut self, task: &TaskId, needs: Resources) {
        if self.tasks.remove(task) {
            self.allocated -= needs;
        }
        if self.tasks.is_empty() {
            // Resets the sum, so that rounding errors do not accumulate.
            self.allocated = Resources::default();
        }
    }

    /// Whether the cloud's list shows the machine as failed.
    pub fn listed_as_failed(&self) -> bool {
        matches!(self.cloud_listing, Some((MachineStage::Failed, _)))
    }

    /// Whether the machine is quarantined.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|t| now < t)
    }

    /// Whether new tasks may be assigned to the machine. `silence` is the time without a
    /// heartbeat after which a machine is no longer healthy.
    pub fn is_schedulable(&self, now: Time, silence: TimeSpan) -> bool {
        self.is_healthy(now, silence)
            && !self.is_quarantined(now)
            && !self.circuit_breaker.is_open()
    }

    /// Whether the machine can run new tasks now, even if earlier failures keep most work
    /// away from it.
    pub fn is_healthy(&self, now: Time, silence: TimeSpan) -> bool {
        self.has_current_token
            && self.delivery.answers_arrive()
            && !self.presumed_dead
            && self.lifecycle == MachineLifecycle::InService
            && self.termination_notice_at.is_none()
            && self.last_heartbeat.is_some_and(|t| now.since(t) < silence)
    }
}
