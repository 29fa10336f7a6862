//! A stand-in for workers.

use crate::types::{Attempt, Session, Tally, Token};
use crate::wire::cloud::ListedMachine;
use crate::wire::users::{Shape, Submission};
use crate::wire::workers::{Command, Report, ReportedTask, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet};

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its state.
    pub state: TaskState,
    /// When its image is there.
    pub image_at: u64,
    /// When it entered its state.
    pub since: u64,
    /// Why it ended.
    pub why: Option<Why>,
    /// When a stop ends it.
    pub stop_at: Option<u64>,
}

/// A worker and its machine.
pub struct Worker {
    /// What the cloud says of it.
    pub machine: ListedMachine,
    /// Session.
    pub session: u64,
    /// Messages made.
    pub tally: u64,
    /// Highest token seen.
    pub token: u64,
    /// When the last answered report was sent.
    pub leased: u64,
    /// The node it reports to.
    pub node: usize,
    /// The report in flight: number and when it was sent.
    pub flight: Option<(u64, u64)>,
    /// When it next reports.
    pub next: u64,
    /// Hangs until then.
    pub hung: u64,
    /// Taken by the cloud then.
    pub taken: Option<u64>,
    /// Its tasks.
    pub tasks: BTreeMap<(String, u64), Task>,
    cache: BTreeSet<String>,
    changed: bool,
    last: u64,
}

/// Times of the fixture's settings, in microseconds.
const LEASE: u64 = 10_000_000;
const GANG_WAIT: u64 = 30_000_000;

impl Worker {
    /// One whose machine has just come up.
    pub fn new(machine: ListedMachine, now: u64, node: usize) -> Worker {
        Worker {
            machine,
            session: 1,
            tally: 0,
            token: 0,
            leased: now,
            node,
            flight: None,
            next: now,
            hung: 0,
            taken: None,
            tasks: BTreeMap::new(),
            cache: BTreeSet::new(),
            changed: false,
            last: 0,
        }
    }

    /// Whether a task is on the machine in the sense of the rules.
    pub fn on_machine(t: &Task) -> bool {
        matches!(
            t.state,
            TaskState::Waiting | TaskState::Running | TaskState::Saving
        )
    }

    /// Its report now.
    pub fn report(&mut self, now: u64) -> Report {
        self.tally += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), t)| ReportedTask {
                task: task.clone(),
                attempt: Attempt(*attempt),
                state: t.state,
                why: t.why,
                saved: None,
            })
            .collect();
        Report {
            machine: self.machine.id.clone(),
            addr: self.machine.addr.clone(),
            kind: self.machine.kind.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            session: Session(self.session),
            tally: Tally(self.tally),
            token: Token(self.token),
            notice_s: self.taken.map(|t| t.saturating_sub(now) as f64 / 1e6),
            tasks,
        }
    }

    /// Whether it reports now.
    pub fn due(&mut self, now: u64) -> bool {
        let due = now >= self.next || (self.changed && now >= self.last + 500_000);
        if due && self.flight.is_none() {
            self.changed = false;
            self.last = now;
            self.next = now + 1_000_000;
            return true;
        }
        false
    }

    /// Takes an answer to the report in flight; false if it is dropped.
    pub fn accept(&mut self, token: u64, sent: u64) -> bool {
        if token < self.token {
            return false;
        }
        self.changed |= token > self.token;
        self.token = token;
        self.leased = sent;
        true
    }

    /// Executes commands.
    pub fn execute(&mut self, now: u64, commands: &[Command], jobs: &BTreeMap<String, Submission>) {
        for c in commands {
            self.changed = true;
            match c {
                Command::Start { task, attempt } => self.start(now, task, attempt.0, jobs),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    if let Some(t) = self.tasks.get_mut(&(task.clone(), attempt.0))
                        && t.state != TaskState::Exited
                    {
                        let id = task.split('/').next().unwrap();
                        let saves = jobs
                            .get(id)
                            .is_some_and(|j| j.checkpoint_s > 0.0 && j.save_s <= *grace_s);
                        if saves && t.state == TaskState::Running {
                            t.state = TaskState::Saving;
                            t.stop_at = Some(now + 1_000_000);
                        } else if t.state != TaskState::Saving || *grace_s == 0.0 {
                            t.state = TaskState::Exited;
                            t.why = Some(Why::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), attempt.0);
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.state == TaskState::Exited)
                    {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start(&mut self, now: u64, task: &str, attempt: u64, jobs: &BTreeMap<String, Submission>) {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let id = task.split('/').next().unwrap();
        let job = jobs.get(id);
        let live = |t: &Task| t.state != TaskState::Exited;
        let used: f64 = self
            .tasks
            .iter()
            .filter(|(_, t)| live(t))
            .filter_map(|((t, _), _)| jobs.get(t.split('/').next()?))
            .map(|j| j.gpus)
            .sum();
        let refused = match job {
            None => Some(Why::Unknown),
            Some(_) if self.tasks.iter().any(|((t, _), s)| t == task && live(s)) => Some(Why::Busy),
            Some(j) if used + j.gpus > 4.0 => Some(Why::NoRoom),
            Some(_) => None,
        };
        let fetch = job.map_or(0, |j| {
            if self.cache.contains(j.image.as_str()) {
                0
            } else {
                (j.image_gb * 5e5) as u64
            }
        });
        self.tasks.insert(
            key,
            Task {
                state: if refused.is_some() {
                    TaskState::Exited
                } else {
                    TaskState::Fetching
                },
                image_at: now + fetch,
                since: now,
                why: refused,
                stop_at: None,
            },
        );
    }

    /// Ends the session if the lease is over.
    pub fn lease_over(&mut self, now: u64) {
        if now > self.leased + LEASE {
            self.tasks.clear();
            self.session += 1;
            self.leased = now;
            self.flight = None;
            self.changed = true;
        }
    }

    /// Lets time pass; returns tasks whose image has just come.
    pub fn tick(&mut self, now: u64, jobs: &BTreeMap<String, Submission>) -> Vec<(String, u64)> {
        let mut ready = Vec::new();
        for ((task, attempt), t) in &mut self.tasks {
            let Some(job) = jobs.get(task.split('/').next().unwrap()) else {
                continue;
            };
            if t.state == TaskState::Fetching && now >= t.image_at {
                self.cache.insert(job.image.to_string());
                t.state = if job.shape == Shape::Gang {
                    TaskState::Waiting
                } else {
                    TaskState::Running
                };
                t.since = now;
                self.changed = true;
                ready.push((task.clone(), *attempt));
            }
            if t.state == TaskState::Waiting && now > t.since + GANG_WAIT {
                t.state = TaskState::Exited;
                t.why = Some(Why::Alone);
                self.changed = true;
            }
            if t.stop_at.is_some_and(|s| now >= s) && t.state == TaskState::Saving {
                t.state = TaskState::Exited;
                t.why = Some(Why::Stopped);
                self.changed = true;
            }
        }
        ready
    }

    /// Ends a task.
    pub fn end(&mut self, key: &(String, u64), why: Why) {
        if let Some(t) = self.tasks.get_mut(key) {
            t.state = TaskState::Exited;
            t.why = Some(why);
            self.changed = true;
        }
    }

    /// Notes that something changed that is worth a report.
    pub fn touch(&mut self) {
        self.changed = true;
    }
}
