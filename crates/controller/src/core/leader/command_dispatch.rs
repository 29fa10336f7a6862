//! What workers are told: starts, stops, `clear`, and the answers that carry them.

use super::task_lifecycle::StopDurability;
use crate::core::RequestId;
use crate::core::assignment::{AssignmentPhase, Stop};
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{ChunkSize, Job};
use crate::core::leader::Leader;
use crate::core::leader_announcement::{AnnouncementPriority, LeaderAnnouncer};
use crate::types::{Attempt, MachineId, TaskId, Time, TimeSpan};
use crate::wire;
use crate::wire::users::Priority;
use crate::wire::workers::{Command, HeartbeatResponse, StopReason, TaskState};
use std::collections::BTreeMap;

impl Job {
    /// The stop that a task may be told of now. One whose record goes first
    /// waits for it; records of an ended job are not written any more.
    fn stop_to_tell(&self, size: ChunkSize, index: u32) -> Option<Stop> {
        let stop = self.assignments.get(&index)?.stop?;
        let told = stop
            .change
            .is_none_or(|c| !self.is_open() || self.is_stored(size, index, c))
            || !failpoints::enforced(SafetyCheck::StopsAreStored);
        told.then_some(stop)
    }
}

/// One task as a heartbeat listed it.
#[derive(Clone, Debug)]
pub(in crate::core) struct ReportedTaskState {
    /// The task's name as the worker gave it.
    pub name: String,
    /// Which attempt at it.
    pub attempt: Attempt,
    /// What it does.
    pub state: TaskState,
    /// Why it exited, if it did.
    pub exit_reason: Option<StopReason>,
}

/// What workers are to be told next.
#[derive(Debug)]
pub(in crate::core) struct CommandDispatcher {
    /// What each machine's newest heartbeat listed, for its answer.
    pub reported_tasks: BTreeMap<MachineId, Vec<ReportedTaskState>>,
    /// Tells machines who leads.
    pub announcer: LeaderAnnouncer,
}

impl CommandDispatcher {
    /// Nothing to tell yet; workers send a heartbeat every `heartbeat_interval`.
    pub fn new(now: Time, heartbeat_interval: TimeSpan) -> CommandDispatcher {
        CommandDispatcher {
            reported_tasks: BTreeMap::new(),
            announcer: LeaderAnnouncer::new(now, heartbeat_interval),
        }
    }
}

impl Leader {
    /// A machine will be taken: its tasks save, or at least leave in time to
    /// prove that they are gone.
    pub(super) fn drain_noticed(&mut self, effects: &mut Effects, id: &MachineId) {
        let now = effects.now.time;
        let Some(m) = self.cluster.machines.get(id) else {
            return;
        };
        let left = m
            .termination_notice_at
            .map_or(TimeSpan::ZERO, |t| t.since(now));
        let here: Vec<TaskId> = m.tasks.iter().cloned().collect();
        for task in here {
            let Some(job) = self.cluster.jobs.get(&task.job) else {
                continue;
            };
            let Some(p) = job.assignments.get(&task.index) else {
                continue;
            };
            if p.stop.is_some() {
                continue;
            }
            let rest = self.cluster.remaining_time(now, job, p);
            let spare = TimeSpan::secs(1.0);
            if rest + spare < left {
                continue;
            }
            let grace = job.spec.save_s.min((left.as_secs() - 1.0).max(0.0));
            let tasks: Vec<u32> = if job.is_gang() {
                job.assignments.keys().copied().collect()
            } else {
                vec![task.index]
            };
            let why = "its machine is being taken";
            self.cluster.order_stops(
                now,
                &task.job,
                &tasks,
                grace,
                why,
                StopDurability::StoredWhileSent,
            );
        }
    }

    /// Answers a report with what its machine is to do.
    pub(super) fn answer_report(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &MachineId,
    ) {
        let now = effects.now.time;
        if !self.may_answer(now) {
            effects.answer_later(request, 503, 1);
            return;
        }
        let commands = self.commands(now, id);
        if let Some(m) = self.cluster.machines.get_mut(id) {
            m.answered = Some(now);
            m.delivery.answered(now);
        }
        let body = wire::encode(&HeartbeatResponse {
            token: self.token,
            commands,
        });
        effects.answer_body(request, body);
    }

    pub(super) fn commands(&mut self, now: Time, id: &MachineId) -> Vec<Command> {
        let mut stops = Vec::new();
        let mut forgets = Vec::new();
        let mut starts = Vec::new();
        let listed = self.commands.reported_tasks.remove(id).unwrap_or_default();
        let Some(m) = self.cluster.machines.get(id) else {
            return Vec::new();
        };
        let has_our_token = m.has_our_token;
        let epoch = m.epoch;
        let sequence = m.sequence;
        let mut busy = m.unrecorded_usage;
        for reported in listed {
            let ReportedTaskState {
                name: text,
                attempt,
                state,
                exit_reason: why,
            } = reported;
            let Some(task) = TaskId::parse(&text) else {
                continue;
            };
            let job = self.cluster.jobs.get(&task.job);
            let place = job
                .and_then(|j| j.assignments.get(&task.index))
                .filter(|p| &p.machine == id && p.attempt == attempt && p.epoch == epoch);
            if state == TaskState::Exited {
                // Cleared only once nothing can start it again and, if it is
                // done, once that is stored.
                let kept = why == Some(StopReason::Done)
                    && job.is_some_and(|j| !j.is_service() && !j.done_is_stored(task.index))
                    && failpoints::enforced(SafetyCheck::DoneBeforeClear);
                if has_our_token && place.is_none() && !kept {
                    forgets.push(Command::Forget {
                        task: text,
                        attempt,
                    });
                }
                continue;
            }
            match place {
                Some(_) => {
                    if let Some(j) = job {
                        busy += j.spec.needs();
                    }
                    let stop =
                        job.and_then(|j| j.stop_to_tell(self.cluster.chunk_size, task.index));
                    if let Some(stop) = stop {
                        stops.push(Command::Stop {
                            task: text,
                            attempt,
                            grace_s: stop.grace_s,
                        });
                    }
                }
                // What says where it should be cannot be read: it may be right here.
                None if job.is_some_and(|j| j.is_open() && j.unreadable) => {}
                None => {
                    tracing::info!(task = %task, %attempt, machine = %id, "unrecorded task halted");
                    stops.push(Command::Stop {
                        task: text,
                        attempt,
                        grace_s: 0.0,
                    });
                }
            }
        }
        let whole = m
            .kind
            .as_ref()
            .and_then(|k| self.cluster.machine_types.get(k))
            .map(|t| t.has());
        let tasks: Vec<TaskId> = m.tasks.iter().cloned().collect();
        if let Some(whole) = whole
            && has_our_token
            && self.may_start(now)
        {
            let mut free = whole - busy;
            for t in tasks {
                let size = self.cluster.chunk_size;
                let Some(job) = self.cluster.jobs.get_mut(&t.job) else {
                    continue;
                };
                let wanted = job.is_open() && !self.authority.is_told(&t.job);
                let needs = job.spec.needs();
                let Some(p) = job.assignments.get(&t.index) else {
                    continue;
                };
                // Written ahead: only what is stored may be sent.
                let stored = job.is_stored(size, t.index, p.change)
                    || !failpoints::enforced(SafetyCheck::WriteAhead);
                if !p.unsent() || !stored || !wanted || p.epoch != epoch || !needs.fits(&free) {
                    continue;
                }
                free -= needs;
                if let Some(p) = job.assignments.get_mut(&t.index) {
                    p.phase = AssignmentPhase::Sent(sequence);
                    if p.cold.is_some() {
                        p.cold = Some(now);
                    }
                    starts.push(Command::Start {
                        task: t.to_string(),
                        attempt: p.attempt,
                    });
                }
            }
        }
        stops.extend(forgets);
        stops.extend(starts);
        stops
    }

    /// Sends pending stops straight to their workers. One that arrives late
    /// is harmless: attempts are never reused for another placement.
    pub fn send_direct(&mut self, effects: &mut Effects) {
        for (id, tasks) in std::mem::take(&mut self.cluster.direct_stops) {
            let Some(m) = self.cluster.machines.get(&id) else {
                continue;
            };
            let Some(addr) = m.addr else { continue };
            // A machine that only a list has shown so far has its session in
            // the records.
            let mut epoch = m.epoch;
            let commands: Vec<Command> = tasks
                .iter()
                .filter_map(|t| {
                    let job = self.cluster.jobs.get(&t.job)?;
                    let p = job.assignments.get(&t.index)?;
                    let grace_s = job.stop_to_tell(self.cluster.chunk_size, t.index)?.grace_s;
                    epoch = epoch.max(p.epoch);
                    Some(Command::Stop {
                        task: t.to_string(),
                        attempt: p.attempt,
                        grace_s,
                    })
                })
                .collect();
            if !commands.is_empty() {
                effects.direct(addr, self.token, epoch, commands);
            }
        }
    }

    /// A machine that a list shows: if it has tasks and has not reported to this
    /// leader yet, it is told who leads.
    pub(super) fn announce_to(&mut self, now: Time, id: &MachineId) {
        let unheard = self
            .cluster
            .machines
            .get(id)
            .filter(|m| m.reported.is_none());
        let Some(m) = unheard.filter(|m| m.addr.is_some() && self.commands.announcer.goes_on(now))
        else {
            return;
        };
        let need = |t: &TaskId| {
            let job = self.cluster.jobs.get(&t.job)?;
            let stops = !job.is_open() || job.assignments.get(&t.index)?.stop.is_some();
            Some(match job.spec.priority {
                _ if stops => AnnouncementPriority::Stopping,
                Priority::High | Priority::Production => AnnouncementPriority::Urgent,
                Priority::Low | Priority::Normal => AnnouncementPriority::Busy,
            })
        };
        if let Some(need) = m.tasks.iter().filter_map(need).min() {
            self.commands.announcer.note(now, need, id.clone());
        }
    }

    /// Tells the next machines who leads, by commands that hold none: a worker
    /// that sees a higher token reports at once. Nothing is read from the answer,
    /// as a report under way may still bring it an older leader's start.
    pub(super) fn send_announcements(&mut self, effects: &mut Effects) {
        for id in self
            .commands
            .announcer
            .next(effects.now.time, self.cluster.machines.len())
        {
            let Some(m) = self
                .cluster
                .machines
                .get(&id)
                .filter(|m| m.reported.is_none())
            else {
                continue;
            };
            let placed = |t: &TaskId| {
                Some(
                    self.cluster
                        .jobs
                        .get(&t.job)?
                        .assignments
                        .get(&t.index)?
                        .epoch,
                )
            };
            let epoch = m.tasks.iter().filter_map(placed).max();
            if let (Some(addr), Some(epoch)) = (m.addr, epoch) {
                effects.direct(addr, self.token, epoch, Vec::new());
            }
        }
    }
}
