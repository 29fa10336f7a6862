//! The task attempts on one machine, as a state machine without input or output.
//! Controllers' commands, job descriptions, fetched images and the exits of processes are
//! its inputs; its outputs are the states for the next heartbeat and a list of effects,
//! which the caller performs in their order. A record precedes every effect and every
//! heartbeat that may only happen once the record would survive a loss of power.

use crate::shim::Exit;
use pebblefold_wire::types::{AgentEpoch, Attempt, FencingToken, Resources, Time, TimeSpan};
use pebblefold_wire::users::{JobShape, Submission};
use pebblefold_wire::workers::{Command, ReportedTask, StopReason, TaskState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Identifies one attempt of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The task: job and index, as `wk-000412/3`.
    pub task: String,
    /// The attempt's number, set by the controllers.
    pub attempt: u64,
}

impl AttemptKey {
    /// The job that the task belongs to: all before the last `/`.
    pub fn job(&self) -> &str {
        self.task.rsplit_once('/').map_or(&self.task, |(j, _)| j)
    }
}

/// The part of an attempt that the journal keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The state, as heartbeats report it.
    pub state: TaskState,
    /// Why the attempt ended; `None` before it has ended.
    pub why: Option<StopReason>,
    /// Whether the attempt left a checkpoint when it was stopped; `None` unless it was
    /// stopped by a command.
    pub saved: Option<bool>,
}

/// What a restarted agent finds of an attempt in the journal. The driver also uses it for
/// the state of an attempt that it started itself.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveredState {
    /// No shim has claimed the attempt's directory.
    NotStarted,
    /// The attempt's shim is running.
    Alive,
    /// The shim has written this exit.
    Ended(Exit),
    /// The attempt was started, and neither a running shim nor an exit was found: how far
    /// the command came is unknown.
    Lost,
}

/// An action for the driver. Effects are performed in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Writes an attempt's record. Later effects wait until the write would survive a loss
    /// of power; the same holds for the next three variants.
    Record(AttemptKey, Record),
    /// Deletes an attempt's record.
    DeleteRecord(AttemptKey),
    /// Writes the highest fencing token received.
    Token(FencingToken),
    /// Writes the agent epoch.
    Epoch(AgentEpoch),
    /// Reads a job's description and passes it to [`Attempts::job_loaded`].
    LoadJob(String),
    /// Fetches the image of an attempt and calls [`Attempts::image_fetched`].
    FetchImage(AttemptKey, Rc<Submission>),
    /// Cancels an image fetch or a wait for the gang.
    CancelStart(AttemptKey),
    /// Marks the task as present to the other tasks of its gang, and waits for them.
    JoinGang(AttemptKey, Rc<Submission>),
    /// Starts the attempt's command.
    Spawn(AttemptKey, Rc<Submission>),
    /// Stops the command. The number is the time in seconds that it has to write a
    /// checkpoint and exit; 0: it is killed immediately.
    Stop(AttemptKey, f64),
    /// Removes the attempt's directory, once the attempt's processes are proven to have
    /// ended.
    Remove(AttemptKey),
}

impl Effect {
    /// Whether the effect starts work for an attempt, or records that the attempt
    /// continues. Such effects are dropped when the lease has expired.
    fn starts_work(&self) -> bool {
        match self {
            Effect::Record(..)
            | Effect::LoadJob(_)
            | Effect::FetchImage(..)
            | Effect::JoinGang(..)
            | Effect::Spawn(..) => true,
            Effect::DeleteRecord(_)
            | Effect::Token(_)
            | Effect::Epoch(_)
            | Effect::CancelStart(_)
            | Effect::Stop(..)
            | Effect::Remove(_) => false,
        }
    }
}

/// Time limits of attempts.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long a gang's task waits for the other tasks before it ends with
    /// [`StopReason::Alone`].
    pub gang_wait: TimeSpan,
}

#[derive(Clone, Debug)]
struct TrackedAttempt {
    record: Record,
    /// `None` until the job's description was read, and for the running attempts that a
    /// restarted agent found.
    job: Option<Rc<Submission>>,
    /// Start of the wait for the gang, while the state is waiting.
    since: Time,
    /// A command has stopped the attempt.
    stopped: bool,
    /// Another task of the gang is gone, and this attempt is being killed for it.
    peer_is_lost: bool,
}

/// All task attempts on a machine.
#[derive(Debug)]
pub struct Attempts {
    capacity: Resources,
    timeouts: Timeouts,
    attempts: BTreeMap<AttemptKey, TrackedAttempt>,
    /// Jobs whose description was requested and hasn't arrived.
    requested_jobs: BTreeSet<String>,
    draining: bool,
    changed: bool,
    effects: Vec<Effect>,
}

fn fetching_record() -> Record {
    Record {
        state: TaskState::Fetching,
        why: None,
        saved: None,
    }
}

impl Attempts {
    /// No attempts yet, on a machine of this capacity.
    pub fn new(capacity: Resources, timeouts: Timeouts) -> Attempts {
        Attempts {
            capacity,
            timeouts,
            attempts: BTreeMap::new(),
            requested_jobs: BTreeSet::new(),
            draining: false,
            changed: false,
            effects: Vec::new(),
        }
    }

    /// The effects since the last call, in the order in which they have to be performed.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether anything that heartbeats report has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Every attempt, as a heartbeat lists it.
    pub fn reported_tasks(&self) -> Vec<ReportedTask> {
        let reported_task = |(key, entry): (&AttemptKey, &TrackedAttempt)| ReportedTask {
            task: key.task.clone(),
            attempt: Attempt(key.attempt),
            state: entry.record.state,
            why: entry.record.why,
            saved: entry.record.saved,
        };
        self.attempts.iter().map(reported_task).collect()
    }

    /// Whether every attempt has ended.
    pub fn all_exited(&self) -> bool {
        self.attempts
            .values()
            .all(|entry| entry.record.state == TaskState::Exited)
    }

    /// Resumes the journal's attempts after a restart of the agent, within the same boot
    /// and the same lease.
    pub fn restored(&mut self, now: Time, journaled: Vec<(AttemptKey, Record, RecoveredState)>) {
        for (key, record, found) in journaled {
            let tracked = TrackedAttempt {
                record,
                job: None,
                since: now,
                stopped: record.state == TaskState::Saving,
                peer_is_lost: false,
            };
            self.attempts.insert(key.clone(), tracked);
            if record.state == TaskState::Exited {
                continue;
            }
            match found {
                // The record is older than the exit that the shim wrote: the exit counts.
                RecoveredState::Ended(exit) => self.exited(&key, &exit),
                RecoveredState::Alive => {
                    let state = match record.state {
                        TaskState::Saving => TaskState::Saving,
                        _ => TaskState::Running,
                    };
                    self.set_record(&key, Record { state, ..record });
                }
                RecoveredState::Lost => self.end(&key, StopReason::Error, None),
                // The gang's other tasks saw this one as present and may have started, and
                // nothing records whether they did: the attempt ends, and the controllers
                // start the whole gang again as a new attempt.
                RecoveredState::NotStarted if record.state == TaskState::Waiting => {
                    self.end(&key, StopReason::Peers, None);
                }
                RecoveredState::NotStarted => {
                    if let Some(entry) = self.attempts.get_mut(&key) {
                        entry.record = fetching_record();
                    }
                    self.request_job(&key);
                }
            }
        }
    }

    /// Refuses all new attempts from now on; attempts that the machine has continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Executes one command of the controllers.
    pub fn command(&mut self, now: Time, command: &Command) {
        match command {
            Command::Start { task, attempt } => self.start(now, task, attempt.0),
            Command::Stop {
                task,
                attempt,
                grace_s,
            } => {
                let (task, attempt) = (task.clone(), attempt.0);
                self.stop(&AttemptKey { task, attempt }, *grace_s);
            }
            Command::Forget { task, attempt } => {
                let (task, attempt) = (task.clone(), attempt.0);
                self.forget(&AttemptKey { task, attempt });
            }
        }
    }

    fn start(&mut self, now: Time, task: &str, attempt: u64) {
        let key = AttemptKey {
            task: task.into(),
            attempt,
        };
        // A repeated start changes nothing, whatever the attempt's state, refused and ended
        // included.
        if self.attempts.contains_key(&key) {
            return;
        }
        let is_live = |entry: &TrackedAttempt| entry.record.state != TaskState::Exited;
        let is_busy = self
            .attempts
            .iter()
            .any(|(k, entry)| k.task == task && is_live(entry));
        let tracked = TrackedAttempt {
            record: fetching_record(),
            job: None,
            since: now,
            stopped: false,
            peer_is_lost: false,
        };
        self.attempts.insert(key.clone(), tracked);
        if is_busy {
            return self.end(&key, StopReason::Busy, None);
        }
        if self.draining {
            return self.end(&key, StopReason::NoRoom, None);
        }
        self.set_record(&key, fetching_record());
        self.request_job(&key);
    }

    fn request_job(&mut self, key: &AttemptKey) {
        if self.requested_jobs.insert(key.job().into()) {
            self.effects.push(Effect::LoadJob(key.job().into()));
        }
    }

    /// Handles the description of a job; `None`: no readable description exists.
    pub fn job_loaded(&mut self, job: &str, found: Option<Rc<Submission>>) {
        self.requested_jobs.remove(job);
        let pending: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(k, entry)| {
                k.job() == job && entry.job.is_none() && entry.record.state == TaskState::Fetching
            })
            .map(|(k, _)| k.clone())
            .collect();
        for key in pending {
            let Some(spec) = &found else {
                self.end(&key, StopReason::Unknown, None);
                continue;
            };
            let index = key.task.rsplit('/').next().and_then(|i| i.parse().ok());
            if index.is_none_or(|i: u32| i >= spec.tasks) {
                self.end(&key, StopReason::Unknown, None);
                continue;
            }
            let mut used = spec.needs();
            for entry in self.attempts.values() {
                if entry.record.state != TaskState::Exited
                    && let Some(j) = &entry.job
                {
                    used += j.needs();
                }
            }
            if !used.fits_within(&self.capacity) {
                self.end(&key, StopReason::NoRoom, None);
                continue;
            }
            if let Some(entry) = self.attempts.get_mut(&key) {
                entry.job = Some(Rc::clone(spec));
                self.effects.push(Effect::FetchImage(key, Rc::clone(spec)));
            }
        }
    }

    /// Handles the end of an image fetch; `fetched` is false if the image cannot be had.
    pub fn image_fetched(&mut self, now: Time, key: &AttemptKey, fetched: bool) {
        let Some(entry) = self.attempts.get_mut(key) else {
            return;
        };
        if entry.record.state != TaskState::Fetching {
            return;
        }
        let Some(job) = entry.job.clone() else { return };
        if !fetched {
            return self.end(key, StopReason::Error, None);
        }
        entry.since = now;
        if job.shape == JobShape::Gang && job.tasks > 1 {
            self.set_record(
                key,
                Record {
                    state: TaskState::Waiting,
                    ..fetching_record()
                },
            );
            self.effects.push(Effect::JoinGang(key.clone(), job));
        } else {
            self.run(key, job);
        }
    }

    fn run(&mut self, key: &AttemptKey, job: Rc<Submission>) {
        // The journal says "running" before the command starts: a restarted agent that
        // finds neither an exit nor processes then doesn't take the attempt for one that
        // was never started.
        self.set_record(
            key,
            Record {
                state: TaskState::Running,
                ..fetching_record()
            },
        );
        self.effects.push(Effect::Spawn(key.clone(), job));
    }

    /// Starts an attempt for which every task of the gang is present.
    pub fn gang_complete(&mut self, key: &AttemptKey) {
        if let Some(entry) = self.attempts.get(key)
            && entry.record.state == TaskState::Waiting
            && let Some(job) = entry.job.clone()
        {
            self.run(key, job);
        }
    }

    /// Kills an attempt of whose gang another task is gone.
    pub fn peer_lost(&mut self, key: &AttemptKey) {
        let Some(entry) = self.attempts.get_mut(key) else {
            return;
        };
        if matches!(entry.record.state, TaskState::Running | TaskState::Saving)
            && !entry.peer_is_lost
        {
            entry.peer_is_lost = true;
            self.effects.push(Effect::Stop(key.clone(), 0.0));
        }
    }

    fn stop(&mut self, key: &AttemptKey, grace_s: f64) {
        let Some(entry) = self.attempts.get_mut(key) else {
            return;
        };
        let can_checkpoint = entry
            .job
            .as_ref()
            .is_some_and(|j| j.checkpoint_s > 0.0 && grace_s >= j.save_s);
        match entry.record.state {
            TaskState::Exited => {}
            TaskState::Fetching | TaskState::Waiting => {
                self.effects.push(Effect::CancelStart(key.clone()));
                self.end(key, StopReason::Stopped, Some(false));
            }
            TaskState::Running => {
                entry.stopped = true;
                let grace = if can_checkpoint { grace_s } else { 0.0 };
                if can_checkpoint {
                    let record = entry.record;
                    self.set_record(
                        key,
                        Record {
                            state: TaskState::Saving,
                            ..record
                        },
                    );
                }
                self.effects.push(Effect::Stop(key.clone(), grace));
            }
            // A second stop without grace kills the task.
            TaskState::Saving if grace_s <= 0.0 => {
                self.effects.push(Effect::Stop(key.clone(), 0.0));
            }
            TaskState::Saving => {}
        }
    }

    fn forget(&mut self, key: &AttemptKey) {
        if self
            .attempts
            .get(key)
            .is_some_and(|entry| entry.record.state == TaskState::Exited)
        {
            self.attempts.remove(key);
            self.changed = true;
            // The record is deleted before the next heartbeat omits the attempt: a loss of
            // power in between only reports the attempt once more.
            self.effects.push(Effect::DeleteRecord(key.clone()));
            self.effects.push(Effect::Remove(key.clone()));
        }
    }

    /// Handles an attempt's exit, once all its processes are gone.
    pub fn exited(&mut self, key: &AttemptKey, exit: &Exit) {
        let Some(entry) = self.attempts.get(key) else {
            return;
        };
        if entry.record.state == TaskState::Exited {
            return;
        }
        let (stopped, peer_is_lost) = (entry.stopped || exit.stopped, entry.peer_is_lost);
        match exit.code {
            // Many programs exit with 0 on SIGTERM: an attempt counts as completed only if
            // it exited before it was stopped.
            0 if !exit.stopped => self.end(key, StopReason::Done, None),
            _ if peer_is_lost => self.end(key, StopReason::Peers, None),
            // By contract, a stopped task that has written its checkpoint exits with this
            // code.
            code if stopped => self.end(
                key,
                StopReason::Stopped,
                Some(code == CHECKPOINTED_EXIT_CODE),
            ),
            _ => self.end(key, StopReason::Error, None),
        }
    }

    /// Ends attempts that have waited too long for their gang.
    pub fn advance(&mut self, now: Time) {
        let timed_out: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(_, entry)| {
                entry.record.state == TaskState::Waiting
                    && now.since(entry.since) > self.timeouts.gang_wait
            })
            .map(|(k, _)| k.clone())
            .collect();
        for key in timed_out {
            self.effects.push(Effect::CancelStart(key.clone()));
            self.end(&key, StopReason::Alone, None);
        }
    }

    /// Ends and forgets every attempt, results included, as the lease has expired, and
    /// begins this epoch.
    ///
    /// All processes are ended first; then one write deletes all records and stores the
    /// epoch. An agent that is killed in between finds either the old epoch with its
    /// attempts, whose lease has expired, or the new epoch with no attempts: attempts of an
    /// epoch that has ended are never found under a valid lease.
    pub fn lease_expired(&mut self, epoch: AgentEpoch) {
        self.effects.retain(|effect| !effect.starts_work());
        let forgotten = std::mem::take(&mut self.attempts);
        for (key, tracked) in &forgotten {
            if tracked.record.state != TaskState::Exited {
                self.effects.push(Effect::CancelStart(key.clone()));
                self.effects.push(Effect::Stop(key.clone(), 0.0));
            }
        }
        let removed = forgotten.keys().cloned().map(Effect::Remove);
        self.effects.extend(removed);
        let deleted = forgotten.keys().cloned().map(Effect::DeleteRecord);
        self.effects.extend(deleted);
        self.effects.push(Effect::Epoch(epoch));
        self.requested_jobs.clear();
    }

    fn set_record(&mut self, key: &AttemptKey, record: Record) {
        if let Some(entry) = self.attempts.get_mut(key) {
            entry.record = record;
            self.changed = true;
            self.effects.push(Effect::Record(key.clone(), record));
        }
    }

    fn end(&mut self, key: &AttemptKey, reason: StopReason, saved: Option<bool>) {
        self.set_record(
            key,
            Record {
                state: TaskState::Exited,
                why: Some(reason),
                saved,
            },
        );
    }
}

/// The exit code of a task that was stopped and has written its checkpoint.
pub const CHECKPOINTED_EXIT_CODE: i32 = 75;
