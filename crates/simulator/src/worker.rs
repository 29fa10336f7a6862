//! A worker by the users' protocol: reports, sessions, tokens, leases, the
//! rotation among controllers, commands, images. What its tasks do together,
//! and how long they take, is the [`crate::fleet`]'s.

use pebblefold_agent::link::{Link, LinkTimes};
use pebblefold_controller::types::{AgentEpoch, Attempt, FencingToken, Resources, Time, TimeSpan};
use pebblefold_controller::wire::cloud::{ListedMachine, MachineType};
use pebblefold_controller::wire::users::{JobShape, Submission};
use pebblefold_controller::wire::workers::{
    Command, Heartbeat, ReportedTask, StopReason, TaskState,
};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};

pub use pebblefold_agent::link::HEARTBEAT_TIMEOUT;

/// Times of all workers.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Between reports.
    pub report: TimeSpan,
    /// Their lease.
    pub lease: TimeSpan,
    /// How long a gang's tasks wait for one another.
    pub gang_wait: TimeSpan,
    /// How soon they notice a missing one.
    pub gang_peer: TimeSpan,
}

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its state, as reported.
    pub state: TaskState,
    /// Since when.
    pub since: Time,
    /// Why it ended.
    pub why: Option<StopReason>,
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
    pub fn end(&mut self, now: Time, why: StopReason, saved: Option<bool>) {
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
    has: Resources,
    cache_gb: f64,
    fetch_gb_per_s: f64,
    link: Link,
    /// It hangs until then.
    pub hung: Option<Time>,
    /// Until then it hears nothing that is sent to it.
    pub deaf: Option<Time>,
    /// Until then it reaches no controller.
    pub mute: Option<Time>,
    /// Until then each task fails on it.
    pub faulty: Option<Time>,
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
        let link_times = LinkTimes {
            heartbeat_interval: times.report,
            lease_duration: times.lease,
        };
        Worker {
            machine,
            has: kind.has(),
            cache_gb: kind.cache_gb,
            fetch_gb_per_s: kind.fetch_gb_per_s * rng.random_range(0.7..1.3),
            link: Link::new(link_times, nodes, now, rng),
            hung: None,
            deaf: None,
            mute: None,
            faulty: None,
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

    /// Whether what is sent to it is lost.
    pub fn is_deaf(&self, now: Time) -> bool {
        self.deaf.is_some_and(|t| now < t)
    }

    /// Whether tasks fail on it.
    pub fn is_faulty(&self, now: Time) -> bool {
        self.faulty.is_some_and(|t| now < t)
    }

    /// Whether what it sends by itself is lost.
    pub fn is_mute(&self, now: Time) -> bool {
        self.mute.is_some_and(|t| now < t)
    }

    /// Its report now.
    pub fn report(&mut self, now: Time) -> Heartbeat {
        let sequence = self.link.next_sequence();
        let one = |((task, attempt), t): (&Key, &Task)| ReportedTask {
            task: task.clone(),
            attempt: Attempt(*attempt),
            state: t.state,
            why: t.why,
            saved: t.saved,
        };
        Heartbeat {
            machine: self.machine.id.clone(),
            addr: self.machine.addr.clone(),
            kind: self.machine.kind.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            epoch: self.link.epoch(),
            sequence,
            token: self.link.token(),
            notice_s: self.taken.map(|t| t.since(now).as_secs()),
            tasks: self.tasks.iter().map(one).collect(),
        }
    }

    /// Whether it has anything to do before its next report.
    pub fn idles(&self, now: Time) -> bool {
        self.tasks.is_empty() && self.link.is_idle(now)
    }

    /// Whether time does anything to it: it has tasks or fetches, or its lease is
    /// over.
    pub fn needs_time(&self, now: Time) -> bool {
        !self.tasks.is_empty() || !self.fetching.is_empty() || self.link.expired(now)
    }

    /// Its session.
    pub fn epoch(&self) -> AgentEpoch {
        self.link.epoch()
    }

    /// The controller it reports to.
    pub fn node(&self) -> usize {
        self.link.controller()
    }

    /// Begins a report under this ticket, if one is due.
    pub fn due(&mut self, now: Time, ticket: u64, rng: &mut StdRng) -> Option<Heartbeat> {
        let due = self.link.begin_heartbeat(now, ticket, rng);
        due.then(|| self.report(now))
    }

    /// Whether this ticket's report is the one in flight.
    pub fn awaits(&self, ticket: u64) -> bool {
        self.link.is_in_flight(ticket)
    }

    /// An answer that carries a token; `sent`: when its report was sent.
    pub fn answered(&mut self, now: Time, token: FencingToken, commands: Vec<Command>) -> Heard {
        if self.link.handle_response(now, token) {
            Heard::Commands(commands)
        } else {
            Heard::Nothing
        }
    }

    /// It is told to report to another node, or the node cannot help.
    pub fn sent_away(&mut self, now: Time, to: Option<usize>, rng: &mut StdRng) {
        self.link.redirect(now, to, rng);
    }

    /// Whether direct commands count, by their token and session.
    pub fn takes(&mut self, now: Time, token: FencingToken, epoch: AgentEpoch) -> bool {
        self.link.accepts_commands(now, token, epoch)
    }

    /// Ends the session if the lease is over; returns what was on the machine.
    pub fn lease_over(&mut self, now: Time) -> BTreeMap<Key, Task> {
        if !self.link.begin_epoch_if_expired(now) {
            return BTreeMap::new();
        }
        std::mem::take(&mut self.tasks)
    }

    /// A start: refused with a reason, or fetching its image.
    pub fn start(&mut self, now: Time, task: &str, attempt: u64, jobs: &Jobs) {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        self.link.note_change();
        let live = |t: &Task| t.state != TaskState::Exited;
        let job = jobs.get(job_of(task));
        let mut used = Resources::default();
        for ((other, _), _) in self.tasks.iter().filter(|(_, t)| live(t)) {
            if let Some(j) = jobs.get(job_of(other)) {
                used += j.needs();
            }
        }
        let busy = |t: &str| self.tasks.iter().any(|((o, _), s)| o == t && live(s));
        let refused = match job {
            None => Some(StopReason::Unknown),
            Some(_) if busy(task) => Some(StopReason::Busy),
            Some(j) if !(used + j.needs()).fits_within(&self.has) => Some(StopReason::NoRoom),
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
            self.link.note_change();
        }
    }

    /// Notes that something changed that is worth a report.
    pub fn touch(&mut self) {
        self.link.note_change();
    }

    /// Lets images come in; returns tasks whose image is there now.
    pub fn fetch(&mut self, now: Time, step: TimeSpan, jobs: &Jobs) -> Vec<Key> {
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
                t.state = if j.shape == JobShape::Gang {
                    TaskState::Waiting
                } else {
                    TaskState::Running
                };
                t.since = now;
                ready.push((task.clone(), *attempt));
            }
        }
        if !ready.is_empty() {
            self.link.note_change();
        }
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
