//! What is on the machine, as a state machine: commands, descriptions, images and
//! ends of processes go in; records and effects come out, in an order that is to be
//! kept. A record stands before every effect that must not happen unless it would
//! survive, and before every report that must not be told.

use crate::shim::Exit;
use pebblefold_wire::types::{AgentEpoch, Attempt, FencingToken, Resources, Time, TimeSpan};
use pebblefold_wire::users::{JobShape, Submission};
use pebblefold_wire::workers::{Command, ReportedTask, StopReason, TaskState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A task and an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The task, as `wk-000412/3`.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
}

impl Key {
    /// The job that the task belongs to.
    pub fn job(&self) -> &str {
        self.task.rsplit_once('/').map_or(&self.task, |(j, _)| j)
    }
}

/// What survives of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its state, as reported.
    pub state: TaskState,
    /// Why it ended.
    pub why: Option<StopReason>,
    /// Whether its progress was saved.
    pub saved: Option<bool>,
}

/// What was found of an attempt when the agent was started again.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// Nothing was begun.
    Nothing,
    /// It runs.
    Runs,
    /// It ended so.
    Ended(Exit),
    /// It was begun, and nothing of it is left: nobody knows how far it came.
    Lost,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write this down; what follows waits until it would survive power loss.
    Record(Key, Record),
    /// Strike it out, likewise.
    Strike(Key),
    /// Write down the highest token seen, likewise.
    Token(FencingToken),
    /// Write down the session, likewise.
    Epoch(AgentEpoch),
    /// Fetch a job's description.
    Describe(String),
    /// Fetch an image for an attempt.
    Fetch(Key, Rc<Submission>),
    /// Nobody waits for it any more.
    GiveUp(Key),
    /// Tell the other tasks of its gang that it is here.
    Meet(Key, Rc<Submission>),
    /// Begin its command.
    Spawn(Key, Rc<Submission>),
    /// Let it save and end; 0 s: end it at once.
    Stop(Key, f64),
    /// Remove its directory.
    Remove(Key),
}

impl Effect {
    /// Whether it begins something for an attempt, or says that it goes on.
    fn begins_something(&self) -> bool {
        match self {
            Effect::Record(..)
            | Effect::Describe(_)
            | Effect::Fetch(..)
            | Effect::Meet(..)
            | Effect::Spawn(..) => true,
            Effect::Strike(_)
            | Effect::Token(_)
            | Effect::Epoch(_)
            | Effect::GiveUp(_)
            | Effect::Stop(..)
            | Effect::Remove(_) => false,
        }
    }
}

/// Times that attempts go by.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How long a gang's tasks wait for one another.
    pub gang_wait: TimeSpan,
}

#[derive(Clone, Debug)]
struct One {
    record: Record,
    job: Option<Rc<Submission>>,
    since: Time,
    /// It was told to stop.
    stopped: bool,
    /// A task of its gang is gone.
    broken: bool,
}

/// Everything on the machine.
#[derive(Debug)]
pub struct Attempts {
    has: Resources,
    times: Times,
    all: BTreeMap<Key, One>,
    asked: BTreeSet<String>,
    draining: bool,
    changed: bool,
    out: Vec<Effect>,
}

fn fetching() -> Record {
    Record {
        state: TaskState::Fetching,
        why: None,
        saved: None,
    }
}

impl Attempts {
    /// A machine that has so much, with nothing on it.
    pub fn new(has: Resources, times: Times) -> Attempts {
        Attempts {
            has,
            times,
            all: BTreeMap::new(),
            asked: BTreeSet::new(),
            draining: false,
            changed: false,
            out: Vec::new(),
        }
    }

    /// What is to be done since the last call.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// Whether something changed that is worth a report, since the last call.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// All of it, for a report.
    pub fn reported(&self) -> Vec<ReportedTask> {
        let one = |(key, o): (&Key, &One)| ReportedTask {
            task: key.task.clone(),
            attempt: Attempt(key.attempt),
            state: o.record.state,
            why: o.record.why,
            saved: o.record.saved,
        };
        self.all.iter().map(one).collect()
    }

    /// Whether nothing is left that has not ended.
    pub fn quiet(&self) -> bool {
        self.all
            .values()
            .all(|o| o.record.state == TaskState::Exited)
    }

    /// Goes on with what the journal holds after the agent was started again, on
    /// the same start of the machine and within the lease.
    pub fn restored(&mut self, now: Time, kept: Vec<(Key, Record, Found)>) {
        for (key, record, found) in kept {
            let one = One {
                record,
                job: None,
                since: now,
                stopped: record.state == TaskState::Saving,
                broken: false,
            };
            self.all.insert(key.clone(), one);
            if record.state == TaskState::Exited {
                continue;
            }
            match found {
                // Its record is older than what it did: the directory is right.
                Found::Ended(exit) => self.exited(&key, &exit),
                Found::Runs => {
                    let state = match record.state {
                        TaskState::Saving => TaskState::Saving,
                        _ => TaskState::Running,
                    };
                    self.set(&key, Record { state, ..record });
                }
                Found::Lost => self.end(&key, StopReason::Error, None),
                // A task of a gang may have been started by its peers' word, which
                // is not heard again: the whole attempt begins anew elsewhere.
                Found::Nothing if record.state == TaskState::Waiting => {
                    self.end(&key, StopReason::Peers, None);
                }
                Found::Nothing => {
                    if let Some(o) = self.all.get_mut(&key) {
                        o.record = fetching();
                    }
                    self.describe(&key);
                }
            }
        }
    }

    /// No new work from now on; what is here goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// A command of the controllers.
    pub fn command(&mut self, now: Time, c: &Command) {
        match c {
            Command::Start { task, attempt } => self.start(now, task, attempt.0),
            Command::Stop {
                task,
                attempt,
                grace_s,
            } => {
                let (task, attempt) = (task.clone(), attempt.0);
                self.stop(&Key { task, attempt }, *grace_s);
            }
            Command::Forget { task, attempt } => {
                let (task, attempt) = (task.clone(), attempt.0);
                self.forget(&Key { task, attempt });
            }
        }
    }

    fn start(&mut self, now: Time, task: &str, attempt: u64) {
        let key = Key {
            task: task.into(),
            attempt,
        };
        // In any state, refused and ended included.
        if self.all.contains_key(&key) {
            return;
        }
        let live = |o: &One| o.record.state != TaskState::Exited;
        let busy = self.all.iter().any(|(k, o)| k.task == task && live(o));
        let one = One {
            record: fetching(),
            job: None,
            since: now,
            stopped: false,
            broken: false,
        };
        self.all.insert(key.clone(), one);
        if busy {
            return self.end(&key, StopReason::Busy, None);
        }
        if self.draining {
            return self.end(&key, StopReason::NoRoom, None);
        }
        self.set(&key, fetching());
        self.describe(&key);
    }

    fn describe(&mut self, key: &Key) {
        if self.asked.insert(key.job().into()) {
            self.out.push(Effect::Describe(key.job().into()));
        }
    }

    /// A job's description, or that there is none.
    pub fn described(&mut self, job: &str, found: Option<Rc<Submission>>) {
        self.asked.remove(job);
        let waiting: Vec<Key> = self
            .all
            .iter()
            .filter(|(k, o)| {
                k.job() == job && o.job.is_none() && o.record.state == TaskState::Fetching
            })
            .map(|(k, _)| k.clone())
            .collect();
        for key in waiting {
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
            for o in self.all.values() {
                if o.record.state != TaskState::Exited
                    && let Some(j) = &o.job
                {
                    used += j.needs();
                }
            }
            if !used.fits(&self.has) {
                self.end(&key, StopReason::NoRoom, None);
                continue;
            }
            if let Some(o) = self.all.get_mut(&key) {
                o.job = Some(Rc::clone(spec));
                self.out.push(Effect::Fetch(key, Rc::clone(spec)));
            }
        }
    }

    /// An attempt's image is here, or cannot be had.
    pub fn imaged(&mut self, now: Time, key: &Key, here: bool) {
        let Some(o) = self.all.get_mut(key) else {
            return;
        };
        if o.record.state != TaskState::Fetching {
            return;
        }
        let Some(job) = o.job.clone() else { return };
        if !here {
            return self.end(key, StopReason::Error, None);
        }
        o.since = now;
        if job.shape == JobShape::Gang && job.tasks > 1 {
            self.set(
                key,
                Record {
                    state: TaskState::Waiting,
                    ..fetching()
                },
            );
            self.out.push(Effect::Meet(key.clone(), job));
        } else {
            self.run(key, job);
        }
    }

    fn run(&mut self, key: &Key, job: Rc<Submission>) {
        // That it may run stands on disk before it does: whoever finds neither a
        // result nor its processes knows that it is not "not begun".
        self.set(
            key,
            Record {
                state: TaskState::Running,
                ..fetching()
            },
        );
        self.out.push(Effect::Spawn(key.clone(), job));
    }

    /// Every task of its gang's attempt is here.
    pub fn met(&mut self, key: &Key) {
        if let Some(o) = self.all.get(key)
            && o.record.state == TaskState::Waiting
            && let Some(job) = o.job.clone()
        {
            self.run(key, job);
        }
    }

    /// Another task of its gang is gone.
    pub fn peer_lost(&mut self, key: &Key) {
        let Some(o) = self.all.get_mut(key) else {
            return;
        };
        if matches!(o.record.state, TaskState::Running | TaskState::Saving) && !o.broken {
            o.broken = true;
            self.out.push(Effect::Stop(key.clone(), 0.0));
        }
    }

    fn stop(&mut self, key: &Key, grace_s: f64) {
        let Some(o) = self.all.get_mut(key) else {
            return;
        };
        let saves = o
            .job
            .as_ref()
            .is_some_and(|j| j.checkpoint_s > 0.0 && grace_s >= j.save_s);
        match o.record.state {
            TaskState::Exited => {}
            TaskState::Fetching | TaskState::Waiting => {
                self.out.push(Effect::GiveUp(key.clone()));
                self.end(key, StopReason::Stopped, Some(false));
            }
            TaskState::Running => {
                o.stopped = true;
                let grace = if saves { grace_s } else { 0.0 };
                if saves {
                    let record = o.record;
                    self.set(
                        key,
                        Record {
                            state: TaskState::Saving,
                            ..record
                        },
                    );
                }
                self.out.push(Effect::Stop(key.clone(), grace));
            }
            // A second one that leaves no time ends it.
            TaskState::Saving if grace_s <= 0.0 => {
                self.out.push(Effect::Stop(key.clone(), 0.0));
            }
            TaskState::Saving => {}
        }
    }

    fn forget(&mut self, key: &Key) {
        if self
            .all
            .get(key)
            .is_some_and(|o| o.record.state == TaskState::Exited)
        {
            self.all.remove(key);
            self.changed = true;
            // Struck out before the next report leaves it out: power lost in
            // between only tells of it once more.
            self.out.push(Effect::Strike(key.clone()));
            self.out.push(Effect::Remove(key.clone()));
        }
    }

    /// Its processes are gone, and this is its result; `saved`: it had saved when
    /// it was stopped.
    pub fn exited(&mut self, key: &Key, exit: &Exit) {
        let Some(o) = self.all.get(key) else { return };
        if o.record.state == TaskState::Exited {
            return;
        }
        let (stopped, broken) = (o.stopped || exit.stopped, o.broken);
        match exit.code {
            // Many programs end with 0 when they are told to stop: complete is
            // only what ended before anybody told it to.
            0 if !exit.stopped => self.end(key, StopReason::Done, None),
            _ if broken => self.end(key, StopReason::Peers, None),
            // By the tasks' contract a stop that has saved ends with this code.
            code if stopped => self.end(key, StopReason::Stopped, Some(code == SAVED)),
            _ => self.end(key, StopReason::Error, None),
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Time) {
        let alone: Vec<Key> = self
            .all
            .iter()
            .filter(|(_, o)| {
                o.record.state == TaskState::Waiting && now.since(o.since) > self.times.gang_wait
            })
            .map(|(k, _)| k.clone())
            .collect();
        for key in alone {
            self.out.push(Effect::GiveUp(key.clone()));
            self.end(&key, StopReason::Alone, None);
        }
    }

    /// The lease is over: everything ends and is forgotten, results included, and
    /// this epoch begins.
    ///
    /// First all processes are gone, then one write strikes all attempts out and
    /// notes the epoch. An agent that is killed in between finds either the old epoch
    /// with its attempts, whose lease is over, or the new one with none: attempts of
    /// an epoch that is over are never found under a lease that lasts.
    pub fn lease_over(&mut self, epoch: AgentEpoch) {
        self.out.retain(|effect| !effect.begins_something());
        let ended = std::mem::take(&mut self.all);
        for (key, one) in &ended {
            if one.record.state != TaskState::Exited {
                self.out.push(Effect::GiveUp(key.clone()));
                self.out.push(Effect::Stop(key.clone(), 0.0));
            }
        }
        let removed = ended.keys().cloned().map(Effect::Remove);
        self.out.extend(removed);
        let struck = ended.keys().cloned().map(Effect::Strike);
        self.out.extend(struck);
        self.out.push(Effect::Epoch(epoch));
        self.asked.clear();
    }

    fn set(&mut self, key: &Key, record: Record) {
        if let Some(o) = self.all.get_mut(key) {
            o.record = record;
            self.changed = true;
            self.out.push(Effect::Record(key.clone(), record));
        }
    }

    fn end(&mut self, key: &Key, why: StopReason, saved: Option<bool>) {
        self.set(
            key,
            Record {
                state: TaskState::Exited,
                why: Some(why),
                saved,
            },
        );
    }
}

/// The exit code of a task that was asked to stop and has saved.
pub const SAVED: i32 = 75;
