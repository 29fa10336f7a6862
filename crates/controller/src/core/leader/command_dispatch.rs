//! Builds the commands for agents: starts, stops and `forget`s in the answers to
//! heartbeats, stops and leader announcements in direct commands. Makes no placement
//! decisions.

use super::cluster_state::ClusterState;
use crate::core::RequestId;
use crate::core::assignment::{Assignment, AssignmentPhase, Stop};
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{ChunkSize, Job};
use crate::core::leader_announcement::{AnnouncementPriority, LeaderAnnouncer};
use crate::core::leader_authority::LeaderAuthority;
use crate::core::machine::Machine;
use crate::types::{
    AgentEpoch, Attempt, FencingToken, HeartbeatSequence, MachineId, Resources, TaskId, Time,
    TimeSpan,
};
use crate::wire;
use crate::wire::users::Priority;
use crate::wire::workers::{Command, Heartbeat, HeartbeatResponse, StopReason, TaskState};
use std::collections::BTreeMap;

impl Job {
    /// The stop that may be sent to a task now. A stop that must be stored first is
    /// withheld until it is; but records of an ended job are no longer written, so its
    /// stops are sent unstored.
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
    /// The task's name as the agent reported it.
    pub name: String,
    /// The attempt of the task.
    pub attempt: Attempt,
    /// What the task does.
    pub state: TaskState,
    /// Why the task exited; `None`: it has not, or the agent gave no reason.
    pub exit_reason: Option<StopReason>,
}

impl ReportedTaskState {
    /// The command that lets the agent forget this exited task.
    fn into_forget_command(self) -> Command {
        Command::Forget {
            task: self.name,
            attempt: self.attempt,
        }
    }

    /// The command that stops this task, with `grace_s` seconds to save a checkpoint.
    fn into_stop_command(self, grace_s: f64) -> Command {
        Command::Stop {
            task: self.name,
            attempt: self.attempt,
            grace_s,
        }
    }
}

/// The commands of one answer to a heartbeat, in the order in which they are sent.
#[derive(Debug)]
struct CommandList {
    /// The fencing token that the commands carry.
    token: FencingToken,
    stops: Vec<Command>,
    forgets: Vec<Command>,
    starts: Vec<Command>,
}

impl CommandList {
    fn new(token: FencingToken) -> CommandList {
        CommandList {
            token,
            stops: Vec::new(),
            forgets: Vec::new(),
            starts: Vec::new(),
        }
    }

    fn into_commands(self) -> Vec<Command> {
        let mut commands = self.stops;
        commands.extend(self.forgets);
        commands.extend(self.starts);
        commands
    }
}

/// Builds and sends the commands for agents.
#[derive(Debug)]
pub(in crate::core) struct CommandDispatcher {
    /// The fencing token that all commands carry.
    token: FencingToken,
    /// The tasks that each machine's newest heartbeat listed, until it is answered.
    pub reported_tasks: BTreeMap<MachineId, Vec<ReportedTaskState>>,
    /// Chooses which agents are sent an announcement of this leader.
    announcer: LeaderAnnouncer,
}

impl CommandDispatcher {
    /// A dispatcher with nothing to send. Agents send a heartbeat every
    /// `heartbeat_interval`.
    pub fn new(token: FencingToken, now: Time, heartbeat_interval: TimeSpan) -> CommandDispatcher {
        CommandDispatcher {
            token,
            reported_tasks: BTreeMap::new(),
            announcer: LeaderAnnouncer::new(now, heartbeat_interval),
        }
    }

    /// Keeps the tasks that a heartbeat listed until it is answered.
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

    /// Answers a heartbeat with the commands for its machine, or with 503 if this leader
    /// may not answer heartbeats now.
    pub fn answer_heartbeat(
        &mut self,
        effects: &mut Effects,
        cluster: &mut ClusterState,
        authority: &LeaderAuthority,
        request: RequestId,
        id: &MachineId,
    ) {
        let now = effects.now.time;
        if !authority.may_answer_heartbeats(now) {
            effects.answer_retry_after(request, 503, 1);
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

    /// The commands for a machine's next answer. The starts among them are marked as
    /// sent.
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
        let mut list = CommandList::new(self.token);
        let count = reported.len();
        for task in reported {
            add_commands_for_reported_task(&mut list, &mut usage, now, cluster, id, task, count);
        }
        if machine.has_current_token
            && let Some(machine_type) = cluster.type_of(machine)
            && authority.may_start_tasks(now)
        {
            let free = machine_type.has() - usage;
            add_starts(&mut list, now, cluster, authority, id, free);
        }
        list.into_commands()
    }

    /// Sends pending stops to their agents in direct commands. A stop that arrives late
    /// is harmless: attempts are never reused for another placement.
    pub fn send_direct_stops(&self, effects: &mut Effects, cluster: &mut ClusterState) {
        for (id, tasks) in std::mem::take(&mut cluster.direct_stops) {
            let Some(machine) = cluster.machines.get(&id) else {
                continue;
            };
            let Some(address) = machine.address else {
                continue;
            };
            // A machine known only from a list of the cloud has sent no heartbeat yet:
            // its agent epoch is taken from the records.
            let mut epoch = machine.epoch;
            let mut commands = Vec::new();
            for task in &tasks {
                let Some((stop, assigned_epoch)) = direct_stop_command(cluster, task) else {
                    continue;
                };
                epoch = epoch.max(assigned_epoch);
                commands.push(stop);
            }
            if !commands.is_empty() {
                effects.push_commands(address, self.token, epoch, commands);
            }
        }
    }

    /// Schedules an announcement of this leader to a machine in the cloud's list, if the
    /// machine has tasks and has sent this leader no heartbeat yet.
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

    /// Announces this leader to the next machines by direct-command messages that contain
    /// no command: an agent that receives a higher token sends a heartbeat immediately.
    /// No conclusion is drawn from the reply, because a heartbeat in flight may still
    /// bring the agent a start of an older leader.
    pub fn send_announcements(&mut self, effects: &mut Effects, cluster: &ClusterState) {
        let now = effects.now.time;
        for id in self.announcer.take_due(now, cluster.machines.len()) {
            let machine = cluster.machines.get(&id);
            let Some(machine) = machine.filter(|machine| machine.last_heartbeat.is_none()) else {
                continue;
            };
            let assigned_epoch = |task: &TaskId| {
                let job = cluster.jobs.get(&task.job)?;
                Some(job.assignments.get(&task.index)?.epoch)
            };
            let epoch = machine.tasks.iter().filter_map(assigned_epoch).max();
            if let (Some(address), Some(epoch)) = (machine.address, epoch) {
                effects.push_commands(address, self.token, epoch, Vec::new());
            }
        }
    }
}

/// Adds the commands for one of `count` tasks that a machine reported, and adds the needs of
/// an assigned running task to the machine's usage.
fn add_commands_for_reported_task(
    list: &mut CommandList,
    usage: &mut Resources,
    now: Time,
    cluster: &ClusterState,
    id: &MachineId,
    reported: ReportedTaskState,
    count: usize,
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
        let starts = &machine.sent_starts;
        let may_forget = starts.may_forget(now, &task, reported.attempt, count)
            || !failpoints::enforced(SafetyCheck::ForgetOnlyUnrepeatableStarts);
        if machine.has_current_token
            && !is_placed
            && may_forget
            && !must_be_retained(job, &task, &reported)
        {
            list.forgets.push(reported.into_forget_command());
        }
        return;
    }
    match job {
        Some(job) if is_placed => {
            *usage += job.spec.needs();
            if let Some(stop) = job.stop_to_send(cluster.chunk_size, task.index) {
                list.stops.push(reported.into_stop_command(stop.grace_s));
            }
        }
        // The record of the task's assignment cannot be read: the task may be assigned to
        // this machine.
        Some(job) if job.is_open() && job.unreadable => {}
        _ => {
            log_unrecorded_task(list.token, id, machine, &task, &reported, job);
            list.stops.push(reported.into_stop_command(0.0));
        }
    }
}

/// Logs a task that runs without an assignment, with what could explain it: a heartbeat
/// without this leader's token may be an old copy, the task may be assigned elsewhere, and
/// a leader with an outdated token may have been replaced.
fn log_unrecorded_task(
    token: FencingToken,
    id: &MachineId,
    machine: &Machine,
    task: &TaskId,
    reported: &ReportedTaskState,
    job: Option<&Job>,
) {
    let assignment = job.and_then(|job| job.assignments.get(&task.index));
    tracing::info!(
        %token,
        task = %task,
        attempt = %reported.attempt,
        machine = %id,
        state = ?reported.state,
        epoch = %machine.epoch,
        sequence = %machine.sequence,
        has_current_token = machine.has_current_token,
        is_job_known = job.is_some(),
        is_done = job.is_some_and(|job| job.done.contains(task.index)),
        assigned_machine = assignment.map(|assignment| assignment.machine.as_str()),
        assigned_attempt = assignment.map(|assignment| assignment.attempt.0),
        "unrecorded task stopped"
    );
}

/// Whether an agent must keep an exited task. It may forget the task only once nothing
/// can start the task again and, if the task is done, once that is stored.
fn must_be_retained(job: Option<&Job>, task: &TaskId, reported: &ReportedTaskState) -> bool {
    reported.exit_reason == Some(StopReason::Done)
        && job.is_some_and(|job| !job.is_service() && !job.done_is_stored(task.index))
        && failpoints::enforced(SafetyCheck::DoneBeforeClear)
}

/// Adds the starts that the machine has free resources for, and marks them as sent.
fn add_starts(
    list: &mut CommandList,
    now: Time,
    cluster: &mut ClusterState,
    authority: &LeaderAuthority,
    id: &MachineId,
    mut free: Resources,
) {
    let size = cluster.chunk_size;
    let Some(machine) = cluster.machines.get_mut(id) else {
        return;
    };
    for task in &machine.tasks {
        let Some(job) = cluster.jobs.get_mut(&task.job) else {
            continue;
        };
        let should_run = job.is_open() && !authority.is_reported_cancelled(&task.job);
        let needs = job.spec.needs();
        let Some(assignment) = job.assignments.get(&task.index) else {
            continue;
        };
        let is_current = assignment.is_unsent() && assignment.epoch == machine.epoch;
        // Write-ahead: a start may be sent only once it is stored.
        let is_stored = job.is_stored(size, task.index, assignment.change)
            || !failpoints::enforced(SafetyCheck::WriteAhead);
        if !is_current || !is_stored || !should_run || !needs.fits_within(&free) {
            continue;
        }
        free -= needs;
        if let Some(assignment) = job.assignments.get_mut(&task.index) {
            machine.sent_starts.record(now, task, assignment.attempt);
            list.starts
                .push(build_start_command(now, machine.sequence, task, assignment));
        }
    }
}

/// Builds the command that starts a task, and marks the assignment as sent with the
/// answer to the heartbeat with this sequence number.
fn build_start_command(
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

/// The direct command that stops a task, and the agent epoch to which the task was
/// assigned.
fn direct_stop_command(cluster: &ClusterState, task: &TaskId) -> Option<(Command, AgentEpoch)> {
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

/// The priority of announcing this leader to a task's machine; `None`: the task or its
/// job is not in the tables.
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
