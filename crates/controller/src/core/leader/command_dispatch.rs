//! The commands for agents: starts, stops and `forget`s in the answers to heartbeats,
//! stops and announcements in direct commands. Decides no placement itself.

use super::cluster_state::ClusterState;
use crate::core::RequestId;
use crate::core::assignment::{Assignment, AssignmentPhase, Stop};
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{ChunkSize, Job};
use crate::core::leader_announcement::{AnnouncementPriority, LeaderAnnouncer};
use crate::core::leader_authority::LeaderAuthority;
use crate::types::{
    AgentEpoch, Attempt, FencingToken, HeartbeatSequence, MachineId, Resources, TaskId, Time,
    TimeSpan,
};
use crate::wire;
use crate::wire::users::Priority;
use crate::wire::workers::{Command, Heartbeat, HeartbeatResponse, StopReason, TaskState};
use std::collections::BTreeMap;

impl Job {
    /// The stop that may be sent to a task now. One that has to be stored first
    /// waits for that; records of an ended job are not written any more.
    fn stop_to_send(&self, size: ChunkSize, index: u32) -> Option<Stop> {
        let stop = self.assignments.get(&index)?.stop?;
        let may_send = stop
            .change
            .is_none_or(|change| !self.is_open() || self.is_stored(size, index, change))
            || !failpoints::enforced(SafetyCheck::StopsAreStored);
        may_send.then_some(stop)
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

impl ReportedTaskState {
    /// The command that has its worker forget an exited task.
    fn into_forget(self) -> Command {
        Command::Forget {
            task: self.name,
            attempt: self.attempt,
        }
    }

    /// The command that stops it, with so many seconds to save a checkpoint.
    fn into_stop(self, grace_s: f64) -> Command {
        Command::Stop {
            task: self.name,
            attempt: self.attempt,
            grace_s,
        }
    }
}

/// The commands of one answer to a heartbeat, in the order they are sent.
#[derive(Debug, Default)]
struct CommandList {
    stops: Vec<Command>,
    forgets: Vec<Command>,
    starts: Vec<Command>,
}

impl CommandList {
    fn into_commands(self) -> Vec<Command> {
        let mut commands = self.stops;
        commands.extend(self.forgets);
        commands.extend(self.starts);
        commands
    }
}

/// What is sent to workers next.
#[derive(Debug)]
pub(in crate::core) struct CommandDispatcher {
    /// The fencing token that all commands carry.
    token: FencingToken,
    /// What each machine's newest heartbeat listed, for its answer.
    pub reported_tasks: BTreeMap<MachineId, Vec<ReportedTaskState>>,
    /// Tells machines who leads.
    announcer: LeaderAnnouncer,
}

impl CommandDispatcher {
    /// Nothing to send yet; workers send a heartbeat every `heartbeat_interval`.
    pub fn new(token: FencingToken, now: Time, heartbeat_interval: TimeSpan) -> CommandDispatcher {
        CommandDispatcher {
            token,
            reported_tasks: BTreeMap::new(),
            announcer: LeaderAnnouncer::new(now, heartbeat_interval),
        }
    }

    /// Keeps what a heartbeat listed, for its answer.
    pub fn record_reported_tasks(&mut self, heartbeat: &Heartbeat) {
        let reported = heartbeat.tasks.iter().map(|task| ReportedTaskState {
            name: task.task.clone(),
            attempt: task.attempt,
            state: task.state,
            exit_reason: task.why,
        });
        self.reported_tasks
            .insert(heartbeat.machine.clone(), reported.collect());
    }

    /// Answers a heartbeat with what its machine is to do.
    pub fn answer_heartbeat(
        &mut self,
        effects: &mut Effects,
        cluster: &mut ClusterState,
        authority: &LeaderAuthority,
        request: RequestId,
        id: &MachineId,
    ) {
        let now = effects.now.time;
        if !authority.may_answer(now) {
            effects.answer_later(request, 503, 1);
            return;
        }
        let commands = self.commands_for(now, cluster, authority, id);
        if let Some(machine) = cluster.machines.get_mut(id) {
            machine.last_answer = Some(now);
            machine.delivery.record_answer(now);
        }
        let body = wire::encode(&HeartbeatResponse {
            token: self.token,
            commands,
        });
        effects.answer_body(request, body);
    }

    /// The commands that a machine is to carry out next. Starts count as sent.
    pub fn commands_for(
        &mut self,
        now: Time,
        cluster: &mut ClusterState,
        authority: &LeaderAuthority,
        id: &MachineId,
    ) -> Vec<Command> {
        let reported = self.reported_tasks.remove(id).unwrap_or_default();
        let Some(machine) = cluster.machines.get(id) else {
            return Vec::new();
        };
        let mut usage = machine.unrecorded_usage;
        let mut list = CommandList::default();
        for task in reported {
            add_for_reported_task(&mut list, &mut usage, cluster, id, task);
        }
        if machine.has_our_token
            && let Some(machine_type) = cluster.type_of(machine)
            && authority.may_start(now)
        {
            let free = machine_type.has() - usage;
            add_starts(&mut list, now, cluster, authority, id, free);
        }
        list.into_commands()
    }

    /// Sends pending stops straight to their workers. One that arrives late
    /// is harmless: attempts are never reused for another placement.
    pub fn send_direct_stops(&self, effects: &mut Effects, cluster: &mut ClusterState) {
        for (id, tasks) in std::mem::take(&mut cluster.direct_stops) {
            let Some(machine) = cluster.machines.get(&id) else {
                continue;
            };
            let Some(address) = machine.address else {
                continue;
            };
            // A machine that only a list has shown so far has its agent epoch in
            // the records.
            let mut epoch = machine.epoch;
            let mut commands = Vec::new();
            for task in &tasks {
                let Some((stop, placed_in)) = direct_stop(cluster, task) else {
                    continue;
                };
                epoch = epoch.max(placed_in);
                commands.push(stop);
            }
            if !commands.is_empty() {
                effects.push_commands(address, self.token, epoch, commands);
            }
        }
    }

    /// A machine that a list shows: if it has tasks and has sent this leader no
    /// heartbeat yet, it gets an announcement of the leader.
    pub fn announce_to(&mut self, now: Time, cluster: &ClusterState, id: &MachineId) {
        let machine = cluster.machines.get(id);
        let machine = machine.filter(|m| m.last_heartbeat.is_none() && m.address.is_some());
        let Some(machine) = machine.filter(|_| self.announcer.is_active(now)) else {
            return;
        };
        let tasks = machine.tasks.iter();
        let most_urgent = tasks
            .filter_map(|task| announcement_priority(cluster, task))
            .min();
        if let Some(priority) = most_urgent {
            self.announcer.add(now, priority, id.clone());
        }
    }

    /// Tells the next machines who leads, by direct commands that hold none: a worker
    /// that sees a higher token sends a heartbeat at once. Nothing is read from the
    /// answer, as a heartbeat under way may still bring it an older leader's start.
    pub fn send_announcements(&mut self, effects: &mut Effects, cluster: &ClusterState) {
        let now = effects.now.time;
        for id in self.announcer.take_due(now, cluster.machines.len()) {
            let machine = cluster.machines.get(&id);
            let Some(machine) = machine.filter(|machine| machine.last_heartbeat.is_none()) else {
                continue;
            };
            let placed_in = |task: &TaskId| {
                let job = cluster.jobs.get(&task.job)?;
                Some(job.assignments.get(&task.index)?.epoch)
            };
            let epoch = machine.tasks.iter().filter_map(placed_in).max();
            if let (Some(address), Some(epoch)) = (machine.address, epoch) {
                effects.push_commands(address, self.token, epoch, Vec::new());
            }
        }
    }
}

/// Adds what a machine is to do with one task that it reported, and adds what a
/// running task takes to its usage.
fn add_for_reported_task(
    list: &mut CommandList,
    usage: &mut Resources,
    cluster: &ClusterState,
    id: &MachineId,
    reported: ReportedTaskState,
) {
    let Some(task) = TaskId::parse(&reported.name) else {
        return;
    };
    let Some(machine) = cluster.machines.get(id) else {
        return;
    };
    let job = cluster.jobs.get(&task.job);
    let assignment = job.and_then(|job| job.assignments.get(&task.index));
    let is_placed = assignment.is_some_and(|assignment| {
        &assignment.machine == id
            && assignment.attempt == reported.attempt
            && assignment.epoch == machine.epoch
    });
    if reported.state == TaskState::Exited {
        if machine.has_our_token && !is_placed && !must_be_kept(job, &task, &reported) {
            list.forgets.push(reported.into_forget());
        }
        return;
    }
    match job {
        Some(job) if is_placed => {
            *usage += job.spec.needs();
            if let Some(stop) = job.stop_to_send(cluster.chunk_size, task.index) {
                list.stops.push(reported.into_stop(stop.grace_s));
            }
        }
        // The record that says where it should be cannot be read: it may be right here.
        Some(job) if job.is_open() && job.unreadable => {}
        _ => {
            tracing::info!(task = %task, attempt = %reported.attempt, machine = %id, "unrecorded task stopped");
            list.stops.push(reported.into_stop(0.0));
        }
    }
}

/// Whether an exited task must stay on its worker: it is forgotten only once nothing
/// can start it again and, if it is done, once that is stored.
fn must_be_kept(job: Option<&Job>, task: &TaskId, reported: &ReportedTaskState) -> bool {
    reported.exit_reason == Some(StopReason::Done)
        && job.is_some_and(|job| !job.is_service() && !job.done_is_stored(task.index))
        && failpoints::enforced(SafetyCheck::DoneBeforeClear)
}

/// Adds the starts that a machine has room for, and notes them as sent.
fn add_starts(
    list: &mut CommandList,
    now: Time,
    cluster: &mut ClusterState,
    authority: &LeaderAuthority,
    id: &MachineId,
    mut free: Resources,
) {
    let size = cluster.chunk_size;
    let Some(machine) = cluster.machines.get(id) else {
        return;
    };
    for task in &machine.tasks {
        let Some(job) = cluster.jobs.get_mut(&task.job) else {
            continue;
        };
        let is_wanted = job.is_open() && !authority.is_reported_cancelled(&task.job);
        let needs = job.spec.needs();
        let Some(assignment) = job.assignments.get(&task.index) else {
            continue;
        };
        let is_current = assignment.is_unsent() && assignment.epoch == machine.epoch;
        // Written ahead: only what is stored may be sent.
        let is_stored = job.is_stored(size, task.index, assignment.change)
            || !failpoints::enforced(SafetyCheck::WriteAhead);
        if !is_current || !is_stored || !is_wanted || !needs.fits(&free) {
            continue;
        }
        free -= needs;
        if let Some(assignment) = job.assignments.get_mut(&task.index) {
            list.starts
                .push(send_start(now, machine.sequence, task, assignment));
        }
    }
}

/// The command that starts a task; its assignment counts as sent with the answer to
/// the heartbeat of this number.
fn send_start(
    now: Time,
    sequence: HeartbeatSequence,
    task: &TaskId,
    assignment: &mut Assignment,
) -> Command {
    assignment.phase = AssignmentPhase::Sent(sequence);
    if assignment.fetching_since.is_some() {
        assignment.fetching_since = Some(now);
    }
    Command::Start {
        task: task.to_string(),
        attempt: assignment.attempt,
    }
}

/// The direct command that stops a task, and the agent epoch that it was placed in.
fn direct_stop(cluster: &ClusterState, task: &TaskId) -> Option<(Command, AgentEpoch)> {
    let job = cluster.jobs.get(&task.job)?;
    let assignment = job.assignments.get(&task.index)?;
    let stop = job.stop_to_send(cluster.chunk_size, task.index)?;
    let command = Command::Stop {
        task: task.to_string(),
        attempt: assignment.attempt,
        grace_s: stop.grace_s,
    };
    Some((command, assignment.epoch))
}

/// How urgently a task's machine should hear who leads.
fn announcement_priority(cluster: &ClusterState, task: &TaskId) -> Option<AnnouncementPriority> {
    let job = cluster.jobs.get(&task.job)?;
    let is_stopping = !job.is_open() || job.assignments.get(&task.index)?.stop.is_some();
    if is_stopping {
        return Some(AnnouncementPriority::Stopping);
    }
    Some(match job.spec.priority {
        Priority::High | Priority::Production => AnnouncementPriority::Urgent,
        Priority::Low | Priority::Normal => AnnouncementPriority::Busy,
    })
}
