//! Workers' heartbeats: which of them count, and when each is answered. What they
//! list is compared in `task_reconciliation`, their commands are built in
//! `command_dispatch`.

use super::cluster_state::{ClusterState, UnsentStarts};
use super::command_dispatch::CommandDispatcher;
use super::scheduler::Scheduler;
use super::task_completion::QuarantineRecorder;
use super::task_lifecycle::RemovalReason;
use super::task_reconciliation::ReceivedHeartbeat;
use crate::core::assignment::Assignment;
use crate::core::autoscaler::intents::Intents;
use crate::core::delivery::DeliveryEvidence;
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::leader_authority::LeaderAuthority;
use crate::core::machine::Machine;
use crate::core::quarantine::Quarantine;
use crate::core::{Now, RequestId};
use crate::types::{AgentEpoch, FencingToken, MachineId, TaskId, Time, TimeSpan};
use crate::wire::workers::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// Time between checks for deferred heartbeats that are due.
const CHECK_INTERVAL: TimeSpan = TimeSpan::millis(20);
/// How long an answer may wait for a commit that concerns its machine.
const COMMIT_WAIT: TimeSpan = TimeSpan::millis(250);
/// Longest wait of an idle machine's heartbeat; workers drop answers after 4 s.
const LONGEST_IDLE_WAIT: TimeSpan = TimeSpan::millis(2000);
/// How long an idle machine's heartbeat waits, in heartbeat intervals.
const IDLE_WAIT_INTERVALS: f64 = 0.6;

/// A heartbeat whose answer waits a moment for a commit.
#[derive(Debug)]
pub(in crate::core) struct DeferredHeartbeat {
    /// The request.
    pub request: RequestId,
    /// When it is answered at the latest.
    pub until: Time,
    /// Cycles run when it was deferred; `None`: deferred until there is work.
    pub cycles: Option<u64>,
}

impl DeferredHeartbeat {
    /// Whether it waits for the cycle after which so many have run.
    fn waited_for(&self, cycles: u64) -> bool {
        self.cycles.is_some_and(|before| cycles > before)
    }
}

/// The parts that a heartbeat concerns.
pub(in crate::core) struct HeartbeatContext<'a> {
    /// This leader's fencing token.
    pub token: FencingToken,
    /// Until when heartbeats may be answered and tasks started.
    pub authority: &'a LeaderAuthority,
    /// Jobs and machines.
    pub cluster: &'a mut ClusterState,
    /// Which machines are being terminated.
    pub intents: &'a mut Intents,
    /// Which machines failed before.
    pub quarantine: &'a mut Quarantine,
    /// Builds the answers.
    pub commands: &'a mut CommandDispatcher,
    /// Asked for a cycle when room was freed.
    pub scheduler: &'a mut Scheduler,
}

/// What was known of a machine's agent before its newest heartbeat.
#[derive(Clone, Copy, Debug)]
struct PreviousHeartbeat {
    epoch: AgentEpoch,
    had_our_token: bool,
}

impl HeartbeatContext<'_> {
    /// Takes over what a heartbeat says of its machine. `None`: it is no newer than
    /// the newest known, and changes nothing.
    fn update_machine(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<PreviousHeartbeat> {
        let machine = self
            .cluster
            .register_machine(now, &heartbeat.machine, self.intents);
        let newest = (machine.epoch, machine.sequence);
        let is_stale = (heartbeat.epoch, heartbeat.sequence) <= newest;
        if is_stale && failpoints::enforced(SafetyCheck::NewestHeartbeatCounts) {
            return None;
        }
        let previous = PreviousHeartbeat {
            epoch: machine.epoch,
            had_our_token: machine.has_our_token,
        };
        record_heartbeat(now, machine, heartbeat, self.token);
        Some(previous)
    }

    /// Compares a heartbeat with the placements; true if that freed room.
    fn apply_heartbeat(
        &mut self,
        at: Now,
        heartbeat: &Heartbeat,
        previous: PreviousHeartbeat,
    ) -> bool {
        let received = ReceivedHeartbeat {
            at,
            own_token: self.token,
            heartbeat,
        };
        let mut recorder = QuarantineRecorder {
            quarantine: self.quarantine,
            pending_writes: &mut self.intents.pending_writes,
        };
        let result = self.cluster.reconcile_tasks(&received, &mut recorder);
        self.commands.record_reported_tasks(heartbeat);
        self.check_delivery(at.time, heartbeat, previous, result.delivery);
        // One without our token may be an old copy, and its notice another's.
        if heartbeat.notice_s.is_some() && heartbeat.token == self.token {
            let id = &heartbeat.machine;
            self.cluster.stop_tasks_before_termination(at.time, id);
        }
        result.freed_room
    }

    /// Notes whether a machine receives its answers. Starts that never reached one
    /// that does not go elsewhere: that they did not arrive is proven.
    fn check_delivery(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        previous: PreviousHeartbeat,
        starts: DeliveryEvidence,
    ) {
        let lease = self.cluster.settings.workers.lease;
        let Some(machine) = self.cluster.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let restarted = previous.epoch != AgentEpoch(0) && heartbeat.epoch > previous.epoch;
        let evidence = if restarted {
            DeliveryEvidence::NewEpoch
        } else if machine.has_our_token && !previous.had_our_token {
            DeliveryEvidence::Received
        } else if !machine.has_our_token {
            DeliveryEvidence::OlderToken
        } else {
            starts
        };
        if machine.delivery.record_heartbeat(now, lease, evidence) {
            tracing::info!(machine = %heartbeat.machine, ?evidence, "machine sends heartbeats and does not receive the answers; no new work goes there");
        }
        if machine.delivery.answers_arrive() {
            return;
        }
        let tasks: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        for task in tasks {
            let job = self.cluster.jobs.get(&task.job);
            let assignment = job.and_then(|job| job.assignments.get(&task.index));
            if assignment.is_some_and(Assignment::is_unsent) {
                let reason = RemovalReason::MachineUnreachable;
                self.cluster.record_task_gone(now, &task, reason);
            }
        }
    }

    /// Whether a machine that has just sent a heartbeat has nothing to do and may
    /// get work.
    fn is_idle(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let machine = self.cluster.machines.get(&heartbeat.machine);
        heartbeat.tasks.is_empty()
            && self.authority.may_start(now)
            && machine.is_some_and(|machine| {
                machine.tasks.is_empty() && machine.is_schedulable(now, self.cluster.max_silence())
            })
    }
}

/// Heartbeats whose answer is deferred, and when it is next looked at.
#[derive(Debug)]
pub(in crate::core) struct HeartbeatReconciler {
    /// Heartbeats not answered yet.
    deferred: BTreeMap<MachineId, DeferredHeartbeat>,
    /// When all of them are next checked.
    next_check: Time,
    /// Cycles that had run when all of them were last checked.
    checked_cycle: u64,
    /// Machines for which starts were stored since the last check.
    pub machines_with_stored_starts: BTreeSet<MachineId>,
}

impl HeartbeatReconciler {
    /// Without deferred heartbeats.
    pub fn new(now: Time) -> HeartbeatReconciler {
        HeartbeatReconciler {
            deferred: BTreeMap::new(),
            next_check: now,
            checked_cycle: 0,
            machines_with_stored_starts: BTreeSet::new(),
        }
    }

    /// Handles a worker's heartbeat that carries no higher token than ours;
    /// `may_defer`: its answer may wait for work.
    pub fn handle_heartbeat(
        &mut self,
        effects: &mut Effects,
        context: &mut HeartbeatContext<'_>,
        request: RequestId,
        heartbeat: &Heartbeat,
        may_defer: bool,
    ) {
        let now = effects.now.time;
        let id = &heartbeat.machine;
        if heartbeat.epoch == AgentEpoch(0) {
            tracing::error!(machine = %id, "heartbeat of agent epoch 0, which no worker has, ignored");
            effects.answer_status(request, 400);
            return;
        }
        // One of a machine that is gone was delayed by the network.
        if !context.authority.may_answer(now) || context.intents.is_terminated(id) {
            effects.answer_later(request, 503, 1);
            return;
        }
        let Some(previous) = context.update_machine(now, heartbeat) else {
            // Delayed by the network; its sender no longer waits.
            effects.answer_later(request, 503, 1);
            return;
        };
        if let Some(superseded) = self.deferred.remove(id) {
            effects.answer_later(superseded.request, 503, 1);
        }
        let freed_room = context.apply_heartbeat(effects.now, heartbeat, previous);
        self.answer_or_defer(effects, context, request, heartbeat, may_defer, freed_room);
    }

    /// Answers a heartbeat at once, unless work for its machine may come soon.
    fn answer_or_defer(
        &mut self,
        effects: &mut Effects,
        context: &mut HeartbeatContext<'_>,
        request: RequestId,
        heartbeat: &Heartbeat,
        may_defer: bool,
        freed_room: bool,
    ) {
        let now = effects.now.time;
        let id = &heartbeat.machine;
        if may_defer && context.is_idle(now, heartbeat) {
            // A long poll: an idle machine's next work reaches it at once
            // instead of with its next heartbeat.
            let interval = context.cluster.settings.workers.report;
            let wait = interval.scaled(IDLE_WAIT_INTERVALS).min(LONGEST_IDLE_WAIT);
            self.defer(id, request, now + wait, None);
        } else if freed_room
            && context.authority.may_start(now)
            && context.cluster.has_waiting_tasks()
        {
            // Placing and committing takes a moment; the answer that carries
            // the starts need not wait for the next heartbeat.
            let machines = context.cluster.machines.len();
            context.scheduler.request_cycle(now, machines);
            let cycles = Some(context.scheduler.cycles);
            self.defer(id, request, now + COMMIT_WAIT, cycles);
        } else {
            let (cluster, authority) = (&mut *context.cluster, context.authority);
            context
                .commands
                .answer_heartbeat(effects, cluster, authority, request, id);
        }
    }

    fn defer(&mut self, id: &MachineId, request: RequestId, until: Time, cycles: Option<u64>) {
        let deferred = DeferredHeartbeat {
            request,
            until,
            cycles,
        };
        self.deferred.insert(id.clone(), deferred);
    }

    /// Answers deferred heartbeats whose moment has come, after so many cycles. Only
    /// machines for which a start was stored are looked at closely, and after a cycle
    /// those that wait for one.
    pub fn answer_deferred(
        &mut self,
        effects: &mut Effects,
        cluster: &mut ClusterState,
        commands: &mut CommandDispatcher,
        authority: &LeaderAuthority,
        cycles: u64,
    ) {
        let now = effects.now.time;
        let mut due = self.due_after_commit(cluster, cycles);
        if now >= self.next_check || self.checked_cycle < cycles {
            due.extend(self.due_by_time_or_cycle(now, cluster, cycles));
            self.next_check = now + CHECK_INTERVAL;
            self.checked_cycle = cycles;
        }
        for id in due {
            if let Some(heartbeat) = self.deferred.remove(&id) {
                commands.answer_heartbeat(effects, cluster, authority, heartbeat.request, &id);
            }
        }
    }

    /// Machines for which starts were stored, and whose heartbeat has nothing more to
    /// wait for.
    fn due_after_commit(&mut self, cluster: &ClusterState, cycles: u64) -> Vec<MachineId> {
        let stored = std::mem::take(&mut self.machines_with_stored_starts);
        let is_due = |id: &MachineId| {
            let unsent = cluster.unsent_starts(id);
            self.deferred.get(id).is_some_and(|heartbeat| match unsent {
                UnsentStarts::Sendable => true,
                UnsentStarts::WaitForStorage => false,
                UnsentStarts::None => heartbeat.waited_for(cycles),
            })
        };
        stored.into_iter().filter(is_due).collect()
    }

    /// Machines whose heartbeat has waited for as long as it may, or for a cycle that
    /// has placed nothing there.
    fn due_by_time_or_cycle(
        &self,
        now: Time,
        cluster: &ClusterState,
        cycles: u64,
    ) -> Vec<MachineId> {
        let is_after_cycle = self.checked_cycle < cycles;
        let is_due = |id: &MachineId, heartbeat: &DeferredHeartbeat| {
            let cycle_ran = is_after_cycle && heartbeat.waited_for(cycles);
            now >= heartbeat.until
                || (cycle_ran && cluster.unsent_starts(id) != UnsentStarts::WaitForStorage)
        };
        let due = self.deferred.iter().filter(|(id, h)| is_due(id, h));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Gives up all deferred heartbeats, when leadership ends.
    pub fn drop_deferred(&mut self, effects: &mut Effects) {
        for heartbeat in std::mem::take(&mut self.deferred).into_values() {
            effects.answer_later(heartbeat.request, 503, 1);
        }
    }

    /// A machine is gone: nobody waits for its answer.
    pub fn forget_machine(&mut self, id: &MachineId) {
        self.deferred.remove(id);
    }
}

/// Takes over what a heartbeat says of its machine.
fn record_heartbeat(
    now: Time,
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    own_token: FencingToken,
) {
    if heartbeat.epoch > machine.epoch {
        machine.cache.drop_abandoned_fetches(|_| false);
        machine.presumed_dead = false;
    }
    machine.epoch = heartbeat.epoch;
    machine.sequence = heartbeat.sequence;
    machine.last_heartbeat = Some(now);
    machine.has_our_token = heartbeat.token == own_token;
    if machine.has_our_token {
        machine.our_token_since.get_or_insert(now);
    }
    machine.address = heartbeat.addr.parse().ok();
    machine.machine_type = Some(heartbeat.kind.clone());
    machine.zone = Some(heartbeat.zone.clone());
    machine.spot = heartbeat.spot;
    let notice = heartbeat.notice_s;
    machine.termination_notice_at = notice.map(|seconds| now + TimeSpan::secs(seconds));
}

#[cfg(test)]
mod tests;
