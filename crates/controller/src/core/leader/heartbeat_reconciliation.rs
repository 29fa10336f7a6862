//! Processes agents' heartbeats: decides which of them count, and when each is answered.
//! `task_reconciliation` compares the tasks that they list, and `command_dispatch` builds
//! the commands in the answers.

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
use crate::wire::workers::{Heartbeat, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Time between checks for deferred heartbeats that are due.
const DEFERRED_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(20);
/// Longest wait of an answer for a commit that concerns its machine.
const MAX_COMMIT_WAIT: TimeSpan = TimeSpan::millis(250);
/// Longest wait of an idle machine's heartbeat. Agents drop answers after 4 s.
const MAX_IDLE_WAIT: TimeSpan = TimeSpan::millis(2000);
/// How long an idle machine's heartbeat waits, in heartbeat intervals.
const IDLE_WAIT_INTERVALS: f64 = 0.6;

/// A heartbeat whose answer waits for a commit or for work.
#[derive(Debug)]
pub(in crate::core) struct DeferredHeartbeat {
    /// The HTTP request to answer.
    pub request: RequestId,
    /// When the heartbeat is answered at the latest.
    pub deadline: Time,
    /// The number of cycles run when the heartbeat was deferred; `None`: the answer waits
    /// for work, not for a cycle.
    pub cycles: Option<u64>,
}

impl DeferredHeartbeat {
    /// Whether the cycle that this heartbeat waits for is among the `cycles` run so far.
    fn awaited_cycle_ran(&self, cycles: u64) -> bool {
        self.cycles.is_some_and(|before| cycles > before)
    }
}

/// The components that a heartbeat concerns.
pub(in crate::core) struct HeartbeatContext<'a> {
    /// This leader's fencing token.
    pub token: FencingToken,
    /// Until when heartbeats may be answered and tasks started.
    pub authority: &'a LeaderAuthority,
    /// Jobs and machines.
    pub cluster: &'a mut ClusterState,
    /// Shows which machines are being terminated.
    pub intents: &'a mut Intents,
    /// Machines that failed before.
    pub quarantine: &'a mut Quarantine,
    /// Builds the answers.
    pub commands: &'a mut CommandDispatcher,
    /// Runs a cycle soon after resources were freed.
    pub scheduler: &'a mut Scheduler,
}

/// The state of a machine's agent before its newest heartbeat.
#[derive(Clone, Copy, Debug)]
struct PreviousHeartbeat {
    epoch: AgentEpoch,
    had_our_token: bool,
}

impl HeartbeatContext<'_> {
    /// Updates a machine from its heartbeat. `None`: the heartbeat is not newer than the
    /// newest one received, and changes nothing.
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
            had_our_token: machine.has_current_token,
        };
        record_heartbeat(now, machine, heartbeat, self.token);
        Some(previous)
    }

    /// Compares the tasks that a heartbeat lists with the assignments. Returns whether
    /// that freed resources.
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
        // A heartbeat without our token may be an old copy, and its termination notice
        // outdated.
        if heartbeat.notice_s.is_some() && heartbeat.token == self.token {
            let id = &heartbeat.machine;
            self.cluster.stop_tasks_before_termination(at.time, id);
        }
        result.freed_room
    }

    /// Records whether a machine receives the answers to its heartbeats. If it does not,
    /// starts that never reached it are placed elsewhere: it is proven that they did not
    /// arrive.
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
        } else if machine.has_current_token && !previous.had_our_token {
            DeliveryEvidence::Received
        } else if !machine.has_current_token {
            DeliveryEvidence::OlderToken
        } else {
            starts
        };
        if machine.delivery.record_heartbeat(now, lease, evidence) {
            tracing::info!(machine = %heartbeat.machine, ?evidence, "machine sends heartbeats but does not receive the answers; no new tasks are placed on it");
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

    /// Whether a machine that has just sent a heartbeat runs no tasks and may receive
    /// some. Exited tasks that it lists are kept for a while.
    fn is_idle(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let machine = self.cluster.machines.get(&heartbeat.machine);
        let mut tasks = heartbeat.tasks.iter();
        tasks.all(|task| task.state == TaskState::Exited)
            && self.authority.may_start_tasks(now)
            && machine.is_some_and(|machine| {
                machine.tasks.is_empty() && machine.is_schedulable(now, self.cluster.max_silence())
            })
    }
}

/// The heartbeats whose answers are deferred, with the time of their next check.
#[derive(Debug)]
pub(in crate::core) struct HeartbeatReconciler {
    /// Heartbeats not answered yet, at most one for each machine.
    deferred: BTreeMap<MachineId, DeferredHeartbeat>,
    /// When all deferred heartbeats are next checked.
    next_check: Time,
    /// The number of cycles run when all deferred heartbeats were last checked.
    cycles_at_last_check: u64,
    /// Machines for which starts were stored since the last check.
    pub machines_with_stored_starts: BTreeSet<MachineId>,
}

impl HeartbeatReconciler {
    /// A reconciler without deferred heartbeats.
    pub fn new(now: Time) -> HeartbeatReconciler {
        HeartbeatReconciler {
            deferred: BTreeMap::new(),
            next_check: now,
            cycles_at_last_check: 0,
            machines_with_stored_starts: BTreeSet::new(),
        }
    }

    /// Processes an agent's heartbeat whose token is not higher than this leader's.
    /// `may_defer`: its answer may wait until there is work for the machine.
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
            tracing::error!(machine = %id, "ignoring heartbeat with invalid agent epoch 0");
            effects.answer_status(request, 400);
            return;
        }
        // A heartbeat of a terminated machine was delayed by the network.
        if !context.authority.may_answer_heartbeats(now) || context.intents.is_terminated(id) {
            effects.answer_retry_after(request, 503, 1);
            return;
        }
        let Some(previous) = context.update_machine(now, heartbeat) else {
            // The heartbeat was delayed by the network, and its sender no longer waits
            // for the answer.
            effects.answer_retry_after(request, 503, 1);
            return;
        };
        if let Some(superseded) = self.deferred.remove(id) {
            effects.answer_retry_after(superseded.request, 503, 1);
        }
        let freed_room = context.apply_heartbeat(effects.now, heartbeat, previous);
        self.answer_or_defer(effects, context, request, heartbeat, may_defer, freed_room);
    }

    /// Answers a heartbeat immediately, unless there may be work for its machine soon.
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
            // A long poll: a start for an idle machine is sent immediately instead of
            // with the answer to its next heartbeat.
            let interval = context.cluster.settings.workers.report;
            let wait = interval.scaled(IDLE_WAIT_INTERVALS).min(MAX_IDLE_WAIT);
            self.defer(id, request, now + wait, None);
        } else if freed_room
            && context.authority.may_start_tasks(now)
            && context.cluster.has_waiting_tasks()
        {
            // Placing and committing tasks takes a short time. The answer waits for it,
            // so that the starts need not wait for the next heartbeat.
            let machines = context.cluster.machines.len();
            context.scheduler.request_cycle(now, machines);
            let cycles = Some(context.scheduler.cycles);
            self.defer(id, request, now + MAX_COMMIT_WAIT, cycles);
        } else {
            let (cluster, authority) = (&mut *context.cluster, context.authority);
            context
                .commands
                .answer_heartbeat(effects, cluster, authority, request, id);
        }
    }

    fn defer(&mut self, id: &MachineId, request: RequestId, deadline: Time, cycles: Option<u64>) {
        let deferred = DeferredHeartbeat {
            request,
            deadline,
            cycles,
        };
        self.deferred.insert(id.clone(), deferred);
    }

    /// Answers the deferred heartbeats that are due, after `cycles` cycles. Each call
    /// examines only machines for which a start was stored; after a cycle, or
    /// periodically, all are examined.
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
        if now >= self.next_check || self.cycles_at_last_check < cycles {
            due.extend(self.due_by_time_or_cycle(now, cluster, cycles));
            self.next_check = now + DEFERRED_CHECK_INTERVAL;
            self.cycles_at_last_check = cycles;
        }
        for id in due {
            if let Some(heartbeat) = self.deferred.remove(&id) {
                commands.answer_heartbeat(effects, cluster, authority, heartbeat.request, &id);
            }
        }
    }

    /// Machines for which starts were stored, and whose heartbeat has nothing further to
    /// wait for.
    fn due_after_commit(&mut self, cluster: &ClusterState, cycles: u64) -> Vec<MachineId> {
        let stored = std::mem::take(&mut self.machines_with_stored_starts);
        let is_due = |id: &MachineId| {
            let unsent = cluster.unsent_starts(id);
            self.deferred.get(id).is_some_and(|heartbeat| match unsent {
                UnsentStarts::Sendable => true,
                UnsentStarts::WaitForStorage => false,
                UnsentStarts::None => heartbeat.awaited_cycle_ran(cycles),
            })
        };
        stored.into_iter().filter(is_due).collect()
    }

    /// Machines whose heartbeat has waited for the longest time allowed, or for a cycle
    /// that has placed nothing there.
    fn due_by_time_or_cycle(
        &self,
        now: Time,
        cluster: &ClusterState,
        cycles: u64,
    ) -> Vec<MachineId> {
        let has_new_cycle = self.cycles_at_last_check < cycles;
        let is_due = |id: &MachineId, heartbeat: &DeferredHeartbeat| {
            let cycle_ran = has_new_cycle && heartbeat.awaited_cycle_ran(cycles);
            now >= heartbeat.deadline
                || (cycle_ran && cluster.unsent_starts(id) != UnsentStarts::WaitForStorage)
        };
        let due = self.deferred.iter().filter(|(id, h)| is_due(id, h));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Answers all deferred heartbeats with 503 when leadership ends, so that their
    /// agents retry.
    pub fn drop_deferred(&mut self, effects: &mut Effects) {
        for heartbeat in std::mem::take(&mut self.deferred).into_values() {
            effects.answer_retry_after(heartbeat.request, 503, 1);
        }
    }

    /// Drops the deferred heartbeat of a machine that no longer exists, without an
    /// answer.
    pub fn forget_machine(&mut self, id: &MachineId) {
        self.deferred.remove(id);
    }
}

/// Updates a machine's fields from its heartbeat.
fn record_heartbeat(
    now: Time,
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    own_token: FencingToken,
) {
    if heartbeat.epoch > machine.epoch {
        machine.cache.drop_abandoned_fetches(|_| false);
        machine.presumed_dead = false;
        machine.sent_starts.clear();
    }
    machine.epoch = heartbeat.epoch;
    machine.sequence = heartbeat.sequence;
    machine.last_heartbeat = Some(now);
    machine.has_current_token = heartbeat.token == own_token;
    if machine.has_current_token {
        machine.current_token_since.get_or_insert(now);
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
