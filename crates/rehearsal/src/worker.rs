//! A worker by the users' protocol: reports, sessions, tokens, leases, the
//! rotation among controllers, commands, images. What its tasks do together,
//! and how long they take, is the [`crate::fleet`]'s.

use pebblefold::types::{Amounts, Attempt, Session, Span, Tally, Time, Token};
use pebblefold::wire::cloud::{ListedMachine, MachineType};
use pebblefold::wire::users::{Shape, Submission};
use pebblefold::wire::workers::{Command, Report, ReportedTask, TaskState, Why};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};

/// Least time between two reports, whatever changes.
const LEAST_BETWEEN: Span = Span::millis(500);
/// How long a worker waits for an answer.
pub const PATIENCE: Span = Span::millis(4000);
/// How long it waits before it tries the next node.
const NEXT_NODE: Span = Span::millis(1000);

/// Times of all workers.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Between reports.
    pub report: Span,
    /// Their lease.
    pub lease: Span,
    /// How long a gang's tasks wait for one another.
    pub gang_wait: Span,
    /// How soon they notice a missing one.
    pub gang_peer: Span,
}

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its state, as reported.
    pub state: TaskState,
    /// Since when.
    pub since: Time,
    /// Why it ended.
    pub why: Option<Why>,
    /// Whether its progress was saved.
    pub saved: Option<bool>,
    /// Seconds of progress, with what earlier attempts saved.
    pub progress: f64,
    /// When a stop has saved it.
    pub saves_at: Option<Time>,
    /// Whether its saving is over, and it waits for the rest of its gang.
    pub has_saved: bool,
}

impl Task {
    /// Whether it is on its machine in the sense of the rules.
    pub fn on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Waiting | TaskState::Running | TaskState::Saving
        )
    }

    /// Ends it.
    pub fn end(&mut self, now: Time, why: Why, saved: Option<bool>) {
        self.state = TaskState::Exited;
        self.since = now;
        self.why = Some(why);
        self.saved = saved;
    }
}

/// A task and an attempt.
pub type Key = (String, u64);

/// Where the job of a task is described.
pub type Jobs = BTreeMap<String, Submission>;

/// The job that a task belongs to.
pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

/// A worker and its machine.
#[derive(Debug)]
pub struct Worker {
    /// What the cloud says of it.
    pub machine: ListedMachine,
    has: Amounts,
    cache_gb: f64,
    fetch_gb_per_s: f64,
    times: Times,
    session: u64,
    tally: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    leased: Time,
    token_counted: Option<Time>,
    /// The controller it reports to.
    pub node: usize,
    nodes: usize,
    /// The report in flight: its ticket and when it was sent.
    flight: Option<(u64, Time)>,
    next: Time,
    last: Option<Time>,
    changed: bool,
    /// It hangs until then.
    pub hung: Option<Time>,
    /// It is taken then, and has been told so.
    pub taken: Option<Time>,
    /// How fast its tasks run.
    pub speed: f64,
    /// Its tasks.
    pub tasks: BTreeMap<Key, Task>,
    /// Images it has, and when each was last used.
    cache: BTreeMap<String, (f64, Time)>,
    /// Images on their way: gigabytes still missing.
    fetching: BTreeMap<String, f64>,
}

/// What came of an answer to a report.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// Nothing.
    Nothing,
    /// These commands are to be executed.
    Commands(Vec<Command>),
}

impl Worker {
    /// A worker whose machine has just come up.
    pub fn new(
        machine: ListedMachine,
        kind: &MachineType,
        times: Times,
        nodes: usize,
        now: Time,
        rng: &mut StdRng,
    ) -> Worker {
        Worker {
            machine,
            has: kind.has(),
            cache_gb: kind.cache_gb,
            fetch_gb_per_s: kind.fetch_gb_per_s * rng.random_range(0.7..1.3),
            times,
            session: 1,
            tally: 0,
            token: 0,
            leased: now,
            token_counted: None,
            node: rng.random_range(0..nodes),
            nodes,
            flight: None,
            next: now,
            last: None,
            changed: false,
            hung: None,
            taken: None,
            speed: rng.random_range(0.95..1.05),
            tasks: BTreeMap::new(),
            cache: BTreeMap::new(),
            fetching: BTreeMap::new(),
        }
    }

    /// Whether it hangs.
    pub fn hangs(&self, now: Time) -> bool {
        self.hung.is_some_and(|t| now < t)
    }

    /// Its report now.
    pub fn report(&mut self, now: Time) -> Report {
        self.tally += 1;
        let one = |((task, attempt), t): (&Key, &Task)| ReportedTask {
            task: task.clone(),
            attempt: Attempt(*attempt),
            state: t.state,
            why: t.why,
            saved: t.saved,
        };
        Report {
            machine: self.machine.id.clone(),
            addr: self.machine.addr.clone(),
            kind: self.machine.kind.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            session: Session(self.session),
            tally: Tally(self.tally),
            token: Token(self.token),
            notice_s: self.taken.map(|t| t.since(now).as_secs()),
            tasks: self.tasks.iter().map(one).collect(),
        }
    }

    /// Whether it has anything to do before its next report.
    pub fn idles(&self, now: Time) -> bool {
        self.tasks.is_empty() && self.flight.is_none() && !self.changed && now < self.next
    }

    /// Whether time does anything to it: it has tasks or fetches, or its lease is
    /// over.
    pub fn needs_time(&self, now: Time) -> bool {
        !self.tasks.is_empty()
            || !self.fetching.is_empty()
            || now.since(self.leased) > self.times.lease
    }

    /// Begins a report under this ticket, if one is due.
    pub fn due(&mut self, now: Time, ticket: u64, rng: &mut StdRng) -> Option<Report> {
        if let Some((_, sent)) = self.flight {
            if now.since(sent) < PATIENCE {
                return None;
            }
            self.try_next(now);
        }
        let rested = self.last.is_none_or(|t| now.since(t) >= LEAST_BETWEEN);
        if now < self.next
            && !(self.changed && rested && self.next.since(now) < self.times.report.scaled(1.25))
        {
            return None;
        }
        self.changed = false;
        self.last = Some(now);
        self.next = now + self.times.report.scaled(rng.random_range(0.75..1.25));
        self.flight = Some((ticket, now));
        Some(self.report(now))
    }

    fn try_next(&mut self, now: Time) {
        self.flight = None;
        self.node = (self.node + 1) % self.nodes;
        self.next = now + NEXT_NODE;
        self.changed = false;
    }

    /// Whether this ticket's report is the one in flight.
    pub fn awaits(&self, ticket: u64) -> bool {
        self.flight.is_some_and(|(t, _)| t == ticket)
    }

    /// An answer that carries a token; `sent`: when its report was sent.
    pub fn answered(&mut self, now: Time, token: Token, commands: Vec<Command>) -> Heard {
        let Some((_, sent)) = self.flight.take() else {
            return Heard::Nothing;
        };
        if token.0 < self.token {
            return Heard::Nothing;
        }
        self.see_token(now, token.0);
        self.leased = sent;
        Heard::Commands(commands)
    }

    fn see_token(&mut self, now: Time, token: u64) {
        if token > self.token {
            self.token = token;
            let half = self.times.lease.scaled(0.5);
            if self.token_counted.is_none_or(|t| now.since(t) > half) {
                self.token_counted = Some(now);
                self.changed = true;
            }
        }
    }

    /// It is told to report to another node, or the node cannot help.
    pub fn sent_away(&mut self, now: Time, to: Option<usize>, rng: &mut StdRng) {
        match to {
            Some(n) if n != self.node && n < self.nodes => {
                self.flight = None;
                self.node = n;
                self.next = now + Span::millis(rng.random_range(0..500));
            }
            _ => self.try_next(now),
        }
    }

    /// Whether direct commands count, by their token and session.
    pub fn takes(&mut self, now: Time, token: Token, session: Session) -> bool {
        let ok = token.0 >= self.token && session.0 == self.session;
        if ok {
            self.see_token(now, token.0);
        }
        ok
    }

    /// Ends the session if the lease is over; returns what was on the machine.
    pub fn lease_over(&mut self, now: Time) -> BTreeMap<Key, Task> {
        if now.since(self.leased) <= self.times.lease {
            return BTreeMap::new();
        }
        self.session += 1;
        self.leased = now;
        self.flight = None;
        self.changed = true;
        std::mem::take(&mut self.tasks)
    }

    /// A start: refused with a reason, or fetching its image.
    pub fn start(&mut self, now: Time, task: &str, attempt: u64, jobs: &Jobs) {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let live = |t: &Task| t.state != TaskState::Exited;
        let job = jobs.get(job_of(task));
        let mut used = Amounts::default();
        for ((other, _), _) in self.tasks.iter().filter(|(_, t)| live(t)) {
            if let Some(j) = jobs.get(job_of(other)) {
                used += j.needs();
            }
        }
        let busy = |t: &str| self.tasks.iter().any(|((o, _), s)| o == t && live(s));
        let refused = match job {
            None => Some(Why::Unknown),
            Some(_) if busy(task) => Some(Why::Busy),
            Some(j) if !(used + j.needs()).fits(&self.has) => Some(Why::NoRoom),
            Some(j) => {
                let image = j.image.to_string();
                match self.cache.get_mut(&image) {
                    Some((_, used)) => *used = now,
                    None => {
                        self.fetching.entry(image).or_insert(j.image_gb);
                    }
                }
                None
            }
        };
        let state = match refused {
            Some(_) => TaskState::Exited,
            None => TaskState::Fetching,
        };
        let task = Task {
            state,
            since: now,
            why: refused,
            saved: None,
            progress: 0.0,
            saves_at: None,
            has_saved: false,
        };
        self.tasks.insert(key, task);
    }

    /// Removes an exited task from the reports.
    pub fn clear(&mut self, task: &str, attempt: u64) {
        let key = (task.to_string(), attempt);
        if self
            .tasks
            .get(&key)
            .is_some_and(|t| t.state == TaskState::Exited)
        {
            self.tasks.remove(&key);
            self.changed = true;
        }
    }

    /// Notes that something changed that is worth a report.
    pub fn touch(&mut self) {
        self.changed = true;
    }

    /// Lets images come in; returns tasks whose image is there now.
    pub fn fetch(&mut self, now: Time, step: Span, jobs: &Jobs) -> Vec<Key> {
        if !self.fetching.is_empty() {
            let wanted: BTreeSet<&str> = self
                .tasks
                .iter()
                .filter(|(_, t)| t.state == TaskState::Fetching)
                .filter_map(|((task, _), _)| jobs.get(job_of(task)))
                .map(|j| j.image.as_str())
                .collect();
            // A fetch that no task waits for any more is given up.
            self.fetching
                .retain(|image, _| wanted.contains(image.as_str()));
            let share = self.fetch_gb_per_s / self.fetching.len().max(1) as f64;
            let mut here = Vec::new();
            for (image, left) in &mut self.fetching {
                *left -= share * step.as_secs();
                if *left <= 0.0 {
                    here.push(image.clone());
                }
            }
            for image in here {
                self.fetching.remove(&image);
                let gb = jobs
                    .values()
                    .find(|j| j.image.as_str() == image)
                    .map_or(0.0, |j| j.image_gb);
                self.make_room(gb);
                self.cache.insert(image, (gb, now));
            }
        }
        let mut ready = Vec::new();
        for ((task, attempt), t) in &mut self.tasks {
            if t.state != TaskState::Fetching {
                continue;
            }
            let Some(j) = jobs.get(job_of(task)) else {
                continue;
            };
            if let Some((_, used)) = self.cache.get_mut(j.image.as_str()) {
                *used = now;
                t.state = if j.shape == Shape::Gang {
                    TaskState::Waiting
                } else {
                    TaskState::Running
                };
                t.since = now;
                ready.push((task.clone(), *attempt));
            }
        }
        self.changed |= !ready.is_empty();
        ready
    }

    fn make_room(&mut self, gb: f64) {
        while self.cache.values().map(|(gb, _)| gb).sum::<f64>() + gb > self.cache_gb
            && let Some(oldest) = self
                .cache
                .iter()
                .min_by_key(|(_, (_, used))| *used)
                .map(|(image, _)| image.clone())
        {
            self.cache.remove(&oldest);
        }
    }
}
