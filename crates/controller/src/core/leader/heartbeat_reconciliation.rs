//! Workers' reports, as the leader sees them.

use super::cluster_state::UnsentStarts;
use super::command_dispatch::ReportedTaskState;
use super::task_lifecycle::RemovalReason;
use crate::core::assignment::{Assignment, AssignmentPhase, PresenceProof};
use crate::core::delivery::DeliveryEvidence;
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::Job;
use crate::core::leader::{Leader, LeadershipOutcome};
use crate::core::machine::DeferredHeartbeat;
use crate::core::{Now, RequestId};
use crate::types::{AgentEpoch, Attempt, MachineId, Resources, TaskId, Time, TimeSpan};
use crate::wire::workers::{Heartbeat, ReportedTask, StopReason, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Time between looks for held reports that are due.
const HELD_LOOK: TimeSpan = TimeSpan::millis(20);
/// How long an answer may wait for a commit that concerns its machine.
const HOLD: TimeSpan = TimeSpan::millis(250);
/// Longest hold of an idle machine's report; workers drop answers after 4 s.
const LONGEST_HOLD: TimeSpan = TimeSpan::millis(2000);

/// Heartbeats whose answer is deferred, and when it is next looked at.
#[derive(Debug)]
pub(in crate::core) struct HeartbeatReconciler {
    /// Heartbeats not answered yet.
    pub deferred: BTreeMap<MachineId, DeferredHeartbeat>,
    /// When all of them are next checked.
    pub next_check: Time,
    /// Cycles that had run when all of them were last checked.
    pub checked_cycle: u64,
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
}

impl Leader {
    /// Handles a worker's report; `may_hold`: its answer may wait for work.
    pub fn on_report(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        report: Heartbeat,
        may_hold: bool,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        if report.token > self.token {
            effects.answer_status(request, 421);
            if self.may_be(now, report.token) {
                return LeadershipOutcome::Deposed(report.token);
            }
            tracing::error!(machine = %report.machine, token = %report.token, "a report carries a token that nobody was given; it changes nothing");
            return LeadershipOutcome::Continue;
        }
        if report.epoch == AgentEpoch(0) {
            tracing::error!(machine = %report.machine, "a report of session 0, which no worker has; it changes nothing");
            effects.answer_status(request, 400);
            return LeadershipOutcome::Continue;
        }
        if !self.may_answer(now) {
            effects.answer_later(request, 503, 1);
            return LeadershipOutcome::Continue;
        }
        if self.autoscaler.intents.is_gone(&report.machine) {
            // Held back by the network; the machine is gone.
            effects.answer_later(request, 503, 1);
            return LeadershipOutcome::Continue;
        }
        let has_our_token = report.token == self.token;
        let machine = self
            .cluster
            .register_machine(now, &report.machine, &self.autoscaler.intents);
        let older = (report.epoch, report.sequence) <= (machine.epoch, machine.sequence);
        if older && failpoints::enforced(SafetyCheck::NewestReportCounts) {
            // Held back by the network; its sender no longer waits.
            effects.answer_later(request, 503, 1);
            return LeadershipOutcome::Continue;
        }
        let before = (machine.epoch, machine.has_our_token);
        if report.epoch > machine.epoch {
            machine.cache.give_up(|_| false);
            machine.lost = false;
        }
        machine.epoch = report.epoch;
        machine.sequence = report.sequence;
        machine.reported = Some(now);
        machine.has_our_token = has_our_token;
        if machine.has_our_token {
            machine.our_token_since.get_or_insert(now);
        }
        machine.addr = report.addr.parse().ok();
        machine.kind = Some(report.kind.clone());
        machine.zone = Some(report.zone.clone());
        machine.spot = report.spot;
        machine.termination_notice_at = report.notice_s.map(|s| now + TimeSpan::secs(s));
        if let Some(held) = self.heartbeats.deferred.remove(&report.machine) {
            effects.answer_later(held.request, 503, 1);
        }
        let (freed, took) = self.take_in(effects.now, &report);
        self.note_listed(&report);
        self.note_hearing(now, &report, before, took);
        // One without our token may be an old copy, and its notice another's.
        if report.notice_s.is_some() && has_our_token {
            self.drain_noticed(effects, &report.machine);
        }
        let id = &report.machine;
        if may_hold && self.idles(now, id, &report) {
            // A long poll: an idle machine's next work reaches it at once
            // instead of with its next report.
            let hold = self.cluster.settings.workers.report.scaled(0.6);
            self.heartbeats.deferred.insert(
                id.clone(),
                DeferredHeartbeat {
                    request,
                    until: now + hold.min(LONGEST_HOLD),
                    cycles: None,
                },
            );
        } else if freed && self.may_start(now) && self.cluster.has_waiting_tasks() {
            // Placing and committing takes a moment; the answer that carries
            // the starts need not wait for the next report.
            self.cycle_soon(now);
            self.heartbeats.deferred.insert(
                report.machine.clone(),
                DeferredHeartbeat {
                    request,
                    until: now + HOLD,
                    cycles: Some(self.scheduler.cycles),
                },
            );
        } else {
            self.answer_report(effects, request, &report.machine);
        }
        LeadershipOutcome::Continue
    }

    /// Answers held reports whose moment has come. Only machines for which a
    /// start was stored are looked at closely, and after a cycle those that
    /// wait for one.
    pub fn answer_held(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        let mut due: Vec<MachineId> = Vec::new();
        let stored = std::mem::take(&mut self.heartbeats.machines_with_stored_starts);
        due.extend(stored.into_iter().filter(|id| {
            let unsent = self.cluster.unsent_starts(id);
            let (waits, ready) = (
                unsent == UnsentStarts::WaitForStorage,
                unsent == UnsentStarts::Sendable,
            );
            self.heartbeats.deferred.get(id).is_some_and(|h| {
                ready
                    || h.cycles
                        .is_some_and(|c| self.scheduler.cycles > c && !waits)
            })
        }));
        if now >= self.heartbeats.next_check
            || self.heartbeats.checked_cycle < self.scheduler.cycles
        {
            let after_cycle = self.heartbeats.checked_cycle < self.scheduler.cycles;
            self.heartbeats.next_check = now + HELD_LOOK;
            self.heartbeats.checked_cycle = self.scheduler.cycles;
            due.extend(
                self.heartbeats
                    .deferred
                    .iter()
                    .filter(|(id, h)| {
                        let placed =
                            after_cycle && h.cycles.is_some_and(|c| self.scheduler.cycles > c);
                        now >= h.until
                            || (placed
                                && self.cluster.unsent_starts(id) != UnsentStarts::WaitForStorage)
                    })
                    .map(|(id, _)| id.clone()),
            );
        }
        for id in due {
            if let Some(h) = self.heartbeats.deferred.remove(&id) {
                self.answer_report(effects, h.request, &id);
            }
        }
    }

    /// Gives up held reports, when leadership ends.
    pub fn drop_held(&mut self, effects: &mut Effects) {
        for (_, h) in std::mem::take(&mut self.heartbeats.deferred) {
            effects.answer_later(h.request, 503, 1);
        }
    }

    /// Whether a machine that has just reported has nothing to do.
    pub(super) fn idles(&self, now: Time, id: &MachineId, report: &Heartbeat) -> bool {
        report.tasks.is_empty()
            && self.may_start(now)
            && self.cluster.machines.get(id).is_some_and(|m| {
                m.tasks.is_empty() && m.is_schedulable(now, self.cluster.max_silence())
            })
    }

    /// Looks at whether a machine hears what it is answered. Starts that never reached
    /// one that does not go elsewhere: that they did not arrive is proved.
    fn note_hearing(
        &mut self,
        now: Time,
        report: &Heartbeat,
        (epoch, has_our_token): (AgentEpoch, bool),
        took: DeliveryEvidence,
    ) {
        let lease = self.cluster.settings.workers.lease;
        let Some(m) = self.cluster.machines.get_mut(&report.machine) else {
            return;
        };
        let sign = if epoch != AgentEpoch(0) && report.epoch > epoch {
            DeliveryEvidence::NewSession
        } else if m.has_our_token && !has_our_token {
            DeliveryEvidence::Took
        } else if !m.has_our_token {
            DeliveryEvidence::OlderToken
        } else {
            took
        };
        if m.delivery.reported(now, lease, sign) {
            tracing::info!(machine = %report.machine, ?sign, "reports and does not hear its answers; no new work goes there");
        }
        if m.delivery.hears() {
            return;
        }
        let here: Vec<TaskId> = m.tasks.iter().cloned().collect();
        for task in here {
            let place = self.cluster.jobs.get(&task.job);
            let place = place.and_then(|j| j.assignments.get(&task.index));
            if place.is_some_and(Assignment::unsent) {
                self.cluster
                    .record_task_gone(now, &task, RemovalReason::MachineUnreachable);
            }
        }
    }

    /// Compares a report with the placements: whether it freed room, and what it
    /// shows of starts that were sent.
    pub(super) fn take_in(&mut self, at: Now, report: &Heartbeat) -> (bool, DeliveryEvidence) {
        let now = at.time;
        let id = &report.machine;
        let mut listed: BTreeMap<TaskId, &ReportedTask> = BTreeMap::new();
        let mut unrecorded_usage = Resources::default();
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                continue;
            };
            let job = self.cluster.jobs.get(&task.job);
            let place = job.and_then(|j| j.assignments.get(&task.index));
            if place.is_some_and(|p| {
                &p.machine == id && p.attempt == t.attempt && p.epoch == report.epoch
            }) {
                listed.insert(task, t);
                continue;
            }
            if t.state != TaskState::Exited {
                if let Some(j) = job {
                    unrecorded_usage += j.spec.needs();
                }
            } else if t.why == Some(StopReason::Done) {
                // A result is one whenever it was reported, but only of an attempt
                // that there was.
                let given = |j: &Job| (1..=j.attempt.0).contains(&t.attempt.0);
                if job.is_some_and(given) {
                    self.cluster.record_task_done(now, &task);
                } else if job.is_some() {
                    tracing::error!(task = %task, attempt = %t.attempt, machine = %id, "done, as a report says, by an attempt that was never given; it proves nothing");
                }
            }
        }
        let Some(machine) = self.cluster.machines.get_mut(id) else {
            return (false, DeliveryEvidence::None);
        };
        machine.unrecorded_usage = unrecorded_usage;
        let placed: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        let mut freed = false;
        let mut took = DeliveryEvidence::None;
        for task in placed {
            let seen = listed.get(&task).copied();
            let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
                continue;
            };
            let open = job.is_open();
            let Some(p) = job.assignments.get_mut(&task.index) else {
                continue;
            };
            if matches!(p.phase, AssignmentPhase::Sent(_)) && seen.is_some() {
                took = DeliveryEvidence::Took;
            }
            match p.check_presence(
                report.epoch,
                report.sequence,
                report.token,
                self.token,
                seen,
            ) {
                PresenceProof::Absent
                    if p.phase == AssignmentPhase::Inherited && p.stop.is_none() && open =>
                {
                    freed = true;
                    p.phase = AssignmentPhase::Kept;
                    self.go_on(now, &task);
                }
                // It waits for the rest of its gang.
                PresenceProof::Absent
                    if p.phase == AssignmentPhase::Kept && p.stop.is_none() && open => {}
                PresenceProof::Absent => {
                    freed = true;
                    self.cluster
                        .record_task_gone(now, &task, RemovalReason::NotReported);
                }
                // What is not wanted any more is not sent again; it never
                // arrived, so it is nowhere.
                PresenceProof::Undelivered if p.stop.is_some() || !open => {
                    self.cluster
                        .record_task_gone(now, &task, RemovalReason::NeverArrived);
                }
                PresenceProof::Undelivered => {
                    p.phase = AssignmentPhase::Unsent;
                    if took == DeliveryEvidence::None {
                        took = DeliveryEvidence::Missed;
                    }
                }
                PresenceProof::Present => {
                    if let Some(t) = seen {
                        freed |= self.seen(at, &task, t);
                    }
                }
            }
        }
        (freed, took)
    }

    /// A placed task was reported; true if it ended.
    pub(super) fn seen(&mut self, at: Now, task: &TaskId, t: &ReportedTask) -> bool {
        let now = at.time;
        if t.state == TaskState::Exited {
            self.exited(at, task, t);
            return true;
        }
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return false;
        };
        let spec = job.spec.clone();
        let Some(p) = job.assignments.get_mut(&task.index) else {
            return false;
        };
        let inherited = p.phase == AssignmentPhase::Inherited;
        p.phase = AssignmentPhase::Seen(t.state);
        if t.state == TaskState::Running && p.running.is_none() {
            p.running = Some(now);
            tracing::debug!(task = %task, machine = %p.machine, since_s = now.since(p.placed).as_secs(), "runs");
        }
        if t.state != TaskState::Fetching {
            let cold = p.cold.take();
            let machine = p.machine.clone();
            let room = self.cluster.cache_room_gb(&machine);
            if let Some(m) = self.cluster.machines.get_mut(&machine)
                && m.cache.remaining(&spec.image, now) != Some(TimeSpan::ZERO)
            {
                m.cache.fetched(&spec.image, spec.image_gb, now, room);
                if let Some(since) = cold {
                    self.cluster
                        .fetch_estimates
                        .note(&spec.image, now.since(since));
                }
            }
        }
        if inherited {
            self.go_on(now, task);
        }
        false
    }

    /// Goes on with a start that an earlier leader recorded, once it is known
    /// that it never got there: on the same machine, so that room that was made
    /// for it stays its own, under a new attempt. A gang goes on once all of it
    /// is known about; one of which a part did start, not at all.
    fn go_on(&mut self, now: Time, task: &TaskId) {
        let Some(job) = self.cluster.jobs.get(&task.job) else {
            return;
        };
        let kept = |p: &&Assignment| p.phase == AssignmentPhase::Kept;
        let indices: Vec<u32> = if job.is_gang() {
            if !job.assignments.values().any(|p| kept(&p)) {
                return;
            }
            let open = |p: &Assignment| {
                matches!(p.phase, AssignmentPhase::Inherited | AssignmentPhase::Kept)
            };
            if job
                .assignments
                .values()
                .any(|p| !open(p) || p.stop.is_some())
            {
                let all = job.assignments.iter().filter(|(_, p)| kept(p));
                let all: Vec<u32> = all.map(|(i, _)| *i).collect();
                for index in all {
                    let job = task.job.clone();
                    self.cluster.record_task_gone(
                        now,
                        &TaskId { job, index },
                        RemovalReason::NotReported,
                    );
                }
                return;
            }
            let whole = job.assignments.len() == job.spec.tasks as usize;
            if !whole || !job.assignments.values().all(|p| kept(&p)) {
                return;
            }
            job.assignments.keys().copied().collect()
        } else {
            let all = job.assignments.get(&task.index).filter(kept);
            all.map(|_| task.index).into_iter().collect()
        };
        let stays = |p: &Assignment| {
            self.cluster.machines.get(&p.machine).is_some_and(|m| {
                m.is_schedulable(now, self.cluster.max_silence()) && m.epoch == p.epoch
            })
        };
        // A gang stays whole or goes whole.
        let all_stay = indices.iter().all(|i| stays(&job.assignments[i]));
        let attempt = Attempt(job.attempt.0 + 1);
        for index in indices {
            let job = task.job.clone();
            let task = TaskId { job, index };
            let id = self.cluster.jobs[&task.job].assignments[&index]
                .machine
                .clone();
            self.cluster
                .remove_assignment(now, &task, RemovalReason::NeverStarted);
            if all_stay {
                self.cluster.place_task(now, &task, &id, attempt);
            }
        }
    }

    /// Keeps what a report listed beyond the placements, for its answer.
    pub(super) fn note_listed(&mut self, report: &Heartbeat) {
        let extra = report
            .tasks
            .iter()
            .map(|t| ReportedTaskState {
                name: t.task.clone(),
                attempt: t.attempt,
                state: t.state,
                exit_reason: t.why,
            })
            .collect();
        self.commands
            .reported_tasks
            .insert(report.machine.clone(), extra);
    }
}

#[cfg(test)]
mod tests;
