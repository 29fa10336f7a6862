//! All machines: their workers, and what tasks do on them. Arrays run and save
//! alone; gangs start, complete, stop and fail together.

use crate::checker::HistoryEvent;
use crate::waiting::FreeCapacity;
use crate::worker::{Heard, Jobs, Key, Task, Times, Worker, job_of};
use pebblefold_controller::types::{JobId, NodeId, Time, TimeSpan};
use pebblefold_controller::wire::cloud::{ListedMachine, MachineTypes};
use pebblefold_controller::wire::users::{JobShape, Submission};
use pebblefold_controller::wire::workers::{
    Command, DirectCommands, HeartbeatResponse, LeaderRedirect, StopReason, TaskState,
};
use pebblefold_controller::wire::{decode, encode};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a job that outlives its attempts.
#[derive(Debug, Default)]
struct Work {
    /// Seconds a task really takes.
    run: f64,
    /// Saved progress: of a task, or of the whole gang under 0.
    saved: BTreeMap<u32, f64>,
    done: BTreeSet<u32>,
    /// Whether its tasks fail wherever they run.
    mistaken: bool,
}

/// A gang's attempt.
#[derive(Debug, Default)]
struct Gang {
    members: BTreeMap<String, String>,
    started: bool,
    progress: f64,
    first_stop: Option<Time>,
    told: BTreeSet<String>,
    /// When the others notice that one is missing.
    broken: Option<Time>,
}

/// All machines.
#[derive(Debug)]
pub struct Fleet {
    times: Times,
    nodes: usize,
    types: MachineTypes,
    workers: BTreeMap<String, Worker>,
    jobs: Jobs,
    work: BTreeMap<String, Work>,
    gangs: BTreeMap<(String, u64), Gang>,
    /// Machines that stand still for lack of power, by zone.
    frozen: BTreeSet<String>,
    changes: u64,
    seen: Vec<HistoryEvent>,
    last: Time,
    /// Seconds of run time that were lost and done again.
    pub repeated_s: f64,
    /// Tasks that were killed because a lease ran out.
    pub lease_kills: u64,
    /// Tasks that failed.
    pub failures: u64,
}

/// A worker's report, to be sent.
#[derive(Debug)]
pub struct Sending {
    /// The machine.
    pub machine: String,
    /// The controller.
    pub node: usize,
    /// The report's ticket.
    pub ticket: u64,
    /// The body.
    pub body: Vec<u8>,
    /// Classes of tasks that it tells are complete.
    pub completes: Vec<String>,
}

fn index_of(task: &str) -> u32 {
    task.rsplit_once('/')
        .and_then(|(_, i)| i.parse().ok())
        .unwrap_or(0)
}

impl Fleet {
    /// Machines that behave by these times and report to so many controllers.
    pub fn new(times: Times, nodes: usize, types: MachineTypes) -> Fleet {
        Fleet {
            times,
            nodes,
            types,
            workers: BTreeMap::new(),
            jobs: Jobs::new(),
            work: BTreeMap::new(),
            gangs: BTreeMap::new(),
            frozen: BTreeSet::new(),
            changes: 0,
            seen: Vec::new(),
            last: Time(0),
            repeated_s: 0.0,
            lease_kills: 0,
            failures: 0,
        }
    }

    /// Uploads a job's description: what workers fetch, and how long its tasks
    /// really take.
    pub fn describe(&mut self, job: Submission, run_s: f64) {
        let id = job.id.to_string();
        let run = run_s;
        self.work.entry(id.clone()).or_default().run = run;
        self.jobs.insert(id, job);
    }

    /// A job's tasks fail wherever they run: it was submitted with a mistake.
    pub fn set_mistaken(&mut self, job: &JobId) {
        self.work.entry(job.to_string()).or_default().mistaken = true;
    }

    /// A job's tasks end now, wherever they run: something outside has done their
    /// work.
    pub fn complete(&mut self, job: &str) {
        if let Some(w) = self.work.get_mut(job) {
            w.run = 0.0;
        }
    }

    /// Attempts that run now: machine, job, attempt.
    pub fn running(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.workers.iter().flat_map(|(m, w)| {
            let runs = w
                .tasks
                .iter()
                .filter(|(_, t)| t.state == TaskState::Running);
            runs.map(move |((task, attempt), _)| (m.as_str(), job_of(task), *attempt))
        })
    }

    /// Jobs with a running task and at least so many seconds to go, and the machines
    /// that run them.
    pub fn with_long_to_go(&self, least_s: f64) -> BTreeMap<String, Vec<String>> {
        let mut out: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (machine, w) in &self.workers {
            for ((task, _), t) in &w.tasks {
                let job = job_of(task);
                let service = self.jobs.get(job).map(|j| j.shape) == Some(JobShape::Service);
                let left = self.work.get(job).map_or(0.0, |w| w.run - t.progress);
                if t.state == TaskState::Running && (service || left >= least_s) {
                    out.entry(job.into()).or_default().push(machine.clone());
                }
            }
        }
        out
    }

    /// What is free on each machine that is well and stays.
    pub fn rooms(&self, now: Time) -> Vec<FreeCapacity> {
        let well = self.workers.iter().filter(|(name, w)| {
            self.acts(now, name) && !w.is_deaf(now) && !w.is_mute(now) && w.taken.is_none()
        });
        let kinds = &self.types.kinds;
        well.filter_map(|(_, w)| {
            let mut free = kinds.iter().find(|k| k.name == w.machine.kind)?.has();
            for (job, t) in w.tasks.iter().map(|((task, _), t)| (job_of(task), t)) {
                if t.state != TaskState::Exited
                    && let Some(j) = self.jobs.get(job)
                {
                    free -= j.needs();
                }
            }
            Some(FreeCapacity {
                zone: w.machine.zone.to_string(),
                kind: w.machine.kind.to_string(),
                spot: w.machine.spot,
                free,
            })
        })
        .collect()
    }

    /// How many tasks of each job are on machines, in any state but ended, by zone.
    pub fn live(&self) -> BTreeMap<String, BTreeMap<String, u32>> {
        let mut out: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        for w in self.workers.values() {
            let live = w.tasks.iter().filter(|(_, t)| t.state != TaskState::Exited);
            for ((task, _), _) in live {
                let zones = out.entry(job_of(task).into()).or_default();
                *zones.entry(w.machine.zone.to_string()).or_default() += 1;
            }
        }
        out
    }

    /// A job as it is described.
    pub fn spec(&self, job: &str) -> Option<&Submission> {
        self.jobs.get(job)
    }

    /// The class of a task's job.
    pub fn class_of(&self, task: &str) -> Option<&str> {
        self.jobs.get(job_of(task)).map(|j| j.class.as_str())
    }

    /// A machine is up.
    pub fn up(&mut self, now: Time, machine: ListedMachine, rng: &mut StdRng) {
        let Some(kind) = self.types.kinds.iter().find(|k| k.name == machine.kind) else {
            return;
        };
        self.seen.push(HistoryEvent::MachineUp {
            machine: machine.id.to_string(),
            zone: machine.zone.to_string(),
            kind: machine.kind.to_string(),
            spot: machine.spot,
        });
        let name = machine.id.to_string();
        let worker = Worker::new(machine, kind, self.times, self.nodes, now, rng);
        self.workers.insert(name, worker);
        self.changes += 1;
    }

    /// A machine is gone, and everything on it.
    pub fn gone(&mut self, now: Time, machine: &str) {
        if let Some(w) = self.workers.remove(machine) {
            self.changes += 1;
            self.lose(now, machine, w.tasks, "the machine is gone");
        }
    }

    /// How often a machine came or went.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The workers.
    pub fn workers(&self) -> &BTreeMap<String, Worker> {
        &self.workers
    }

    /// One worker.
    pub fn worker(&mut self, machine: &str) -> Option<&mut Worker> {
        self.workers.get_mut(machine)
    }

    /// Lets a zone's machines stand still, or go on.
    pub fn freeze(&mut self, zone: &str, frozen: bool) {
        if frozen {
            self.frozen.insert(zone.into());
        } else {
            self.frozen.remove(zone);
        }
    }

    /// Whether a machine executes anything now.
    pub fn acts(&self, now: Time, machine: &str) -> bool {
        let w = self.workers.get(machine);
        w.is_some_and(|w| !w.hangs(now) && !self.frozen.contains(w.machine.zone.as_str()))
    }

    /// What was seen since the last call.
    pub fn take_seen(&mut self) -> Vec<HistoryEvent> {
        std::mem::take(&mut self.seen)
    }

    fn lose(&mut self, now: Time, machine: &str, tasks: BTreeMap<Key, Task>, why: &'static str) {
        for ((task, attempt), t) in tasks {
            if t.on_machine() {
                self.left(now, machine, &task, attempt, &t, why);
            }
        }
    }

    /// A task is not on its machine any more, and did not complete.
    fn left(
        &mut self,
        now: Time,
        machine: &str,
        task: &str,
        attempt: u64,
        t: &Task,
        why: &'static str,
    ) {
        self.seen.push(HistoryEvent::TaskRemoved {
            machine: machine.into(),
            task: task.into(),
            attempt,
            why,
        });
        let job = job_of(task).to_string();
        let (Some(spec), Some(work)) = (self.jobs.get(&job), self.work.get_mut(&job)) else {
            return;
        };
        match spec.shape {
            JobShape::Gang => {
                if let Some(g) = self.gangs.get_mut(&(job, attempt)) {
                    g.members.remove(task);
                    if g.started {
                        g.broken.get_or_insert(now);
                    }
                }
            }
            JobShape::Array => {
                let kept = work.saved.get(&index_of(task)).copied().unwrap_or(0.0);
                self.repeated_s += (t.progress - kept).max(0.0);
            }
            JobShape::Service => {}
        }
    }

    // ---- messages ----

    /// Reports that are due; `ticket` names them.
    pub fn reports(
        &mut self,
        now: Time,
        rng: &mut StdRng,
        mut ticket: impl FnMut() -> u64,
    ) -> Vec<Sending> {
        let mut out = Vec::new();
        let frozen = &self.frozen;
        let jobs = &self.jobs;
        for (name, w) in &mut self.workers {
            if w.idles(now) || w.hangs(now) || frozen.contains(w.machine.zone.as_str()) {
                continue;
            }
            let t = ticket();
            if let Some(report) = w.due(now, t, rng) {
                let done = report
                    .tasks
                    .iter()
                    .filter(|t| t.why == Some(StopReason::Done));
                let class = |t: &str| jobs.get(job_of(t)).map(|j| j.class.to_string());
                out.push(Sending {
                    machine: name.clone(),
                    node: w.node(),
                    ticket: t,
                    body: encode(&report),
                    completes: done.filter_map(|t| class(&t.task)).collect(),
                });
            }
        }
        out
    }

    /// Whether an answer to this ticket would still be heard.
    pub fn awaits(&self, now: Time, machine: &str, ticket: u64) -> bool {
        let w = self.workers.get(machine);
        self.acts(now, machine) && w.is_some_and(|w| w.awaits(ticket) && !w.is_deaf(now))
    }

    /// Tasks that an answer to a report would start.
    pub fn starts_in(body: &[u8]) -> Vec<String> {
        let commands = decode::<HeartbeatResponse>(body).map(|a| a.commands);
        let starts = commands.unwrap_or_default().into_iter();
        starts
            .filter_map(|c| match c {
                Command::Start { task, .. } => Some(task),
                _ => None,
            })
            .collect()
    }

    /// The answer to a report; `None`: none came.
    pub fn answered(
        &mut self,
        now: Time,
        machine: &str,
        answer: Option<(u16, &[u8])>,
        labels: &[NodeId],
        rng: &mut StdRng,
    ) {
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        match answer {
            Some((200, body)) => {
                let Some(a) = decode::<HeartbeatResponse>(body) else {
                    return w.sent_away(now, None, rng);
                };
                if let Heard::Commands(commands) = w.answered(now, a.token, a.commands) {
                    self.execute(now, machine, &commands);
                }
            }
            Some((421, body)) => {
                let told = decode::<LeaderRedirect>(body).and_then(|e| e.report_to);
                let to = told.and_then(|l| labels.iter().position(|k| *k == l));
                w.sent_away(now, to, rng);
            }
            _ => w.sent_away(now, None, rng),
        }
    }

    /// Commands sent straight to a machine.
    pub fn commanded(&mut self, now: Time, machine: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        // It answers with a report, and none is of an epoch whose lease is over.
        self.expire_lease(now, machine);
        let w = self.workers.get_mut(machine)?;
        let Some(d) = decode::<DirectCommands>(body) else {
            return Some((400, Vec::new()));
        };
        let ok = w.takes(now, d.token, d.epoch);
        if ok {
            self.execute(now, machine, &d.commands);
        }
        let w = self.workers.get_mut(machine)?;
        Some((if ok { 200 } else { 409 }, encode(&w.report(now))))
    }

    /// `GET /inspect` at a machine.
    pub fn inspected(&mut self, now: Time, machine: &str) -> Option<(u16, Vec<u8>)> {
        self.expire_lease(now, machine);
        let w = self.workers.get_mut(machine)?;
        Some((200, encode(&w.report(now))))
    }

    fn execute(&mut self, now: Time, machine: &str, commands: &[Command]) {
        for c in commands {
            match c {
                Command::Start { task, attempt } => {
                    if let Some(w) = self.workers.get_mut(machine) {
                        w.start(now, task, attempt.0, &self.jobs);
                    }
                }
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(now, machine, task, attempt.0, *grace_s),
                Command::Forget { task, attempt } => {
                    if let Some(w) = self.workers.get_mut(machine) {
                        w.clear(task, attempt.0);
                    }
                }
            }
        }
    }

    fn stop(&mut self, now: Time, machine: &str, task: &str, attempt: u64, grace_s: f64) {
        let key = (task.to_string(), attempt);
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        let live = |t: &Task| t.state != TaskState::Exited;
        if !w.tasks.get(&key).is_some_and(live) {
            return;
        }
        w.touch();
        let Some(t) = w.tasks.get_mut(&key) else {
            return;
        };
        let job = self.jobs.get(job_of(task));
        let saves = job.is_some_and(|j| j.checkpoint_s > 0.0 && grace_s >= j.save_s);
        match t.state {
            TaskState::Running if saves => {
                let save = job.map_or(0.0, |j| j.save_s);
                t.state = TaskState::Saving;
                t.since = now;
                t.saves_at = Some(now + TimeSpan::secs(save * 0.8));
                if let Some(g) = self.gangs.get_mut(&(job_of(task).to_string(), attempt)) {
                    g.first_stop.get_or_insert(now);
                    g.told.insert(task.into());
                }
            }
            TaskState::Saving if grace_s > 0.0 => {}
            _ => {
                let was = t.clone();
                t.end(now, StopReason::Stopped, Some(false));
                if was.on_machine() {
                    self.left(now, machine, task, attempt, &was, "stopped");
                }
            }
        }
    }

    // ---- time ----

    /// Lets time pass on all machines.
    pub fn advance(&mut self, now: Time, rng: &mut StdRng) {
        let step = now.since(self.last);
        self.last = now;
        // Most machines have nothing to do at most steps.
        let busy = self.workers.iter().filter(|(_, w)| w.needs_time(now));
        let names: Vec<String> = busy.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.expire_lease(now, name);
            if !self.acts(now, name) {
                continue;
            }
            self.fetch(now, name, step);
            self.run_alone(now, name, step);
        }
        self.run_gangs(now, step, rng);
    }

    /// Begins the next epoch of a worker whose lease is over. One that hung past its
    /// lease kills its tasks before anything else when it goes on: for the rules they
    /// are gone by then.
    fn expire_lease(&mut self, now: Time, machine: &str) {
        if let Some(w) = self.workers.get_mut(machine) {
            let killed = w.lease_over(now);
            self.lease_kills += killed.values().filter(|t| t.on_machine()).count() as u64;
            self.lose(now, machine, killed, "its lease ran out");
        }
    }

    fn fetch(&mut self, now: Time, machine: &str, step: TimeSpan) {
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        for (task, attempt) in w.fetch(now, step, &self.jobs) {
            self.seen.push(HistoryEvent::TaskPlaced {
                machine: machine.into(),
                task: task.clone(),
                attempt,
            });
            let job = job_of(&task).to_string();
            let work = self.work.entry(job.clone()).or_default();
            let shape = self.jobs.get(&job).map(|j| j.shape);
            let index = index_of(&task);
            let ends_at_once = if work.done.contains(&index) {
                // The result is kept: started again, it is done at once.
                Some((StopReason::Done, "was complete already"))
            } else if work.mistaken || w.is_faulty(now) {
                self.failures += 1;
                Some((StopReason::Error, "failed"))
            } else {
                None
            };
            if let Some((reason, why)) = ends_at_once {
                if let Some(t) = w.tasks.get_mut(&(task.clone(), attempt)) {
                    t.end(now, reason, None);
                }
                self.seen.push(HistoryEvent::TaskRemoved {
                    machine: machine.into(),
                    task,
                    attempt,
                    why,
                });
                continue;
            }
            if shape == Some(JobShape::Gang) {
                let g = self.gangs.entry((job, attempt)).or_default();
                if g.members.is_empty() {
                    g.progress = work.saved.get(&0).copied().unwrap_or(0.0);
                }
                g.members.insert(task, machine.into());
            } else {
                if let Some(t) = w.tasks.get_mut(&(task.clone(), attempt)) {
                    t.progress = work.saved.get(&index).copied().unwrap_or(0.0);
                }
                self.seen.push(HistoryEvent::TaskRunning { task });
            }
        }
    }

    /// Tasks of arrays and services, and waiting tasks of gangs.
    fn run_alone(&mut self, now: Time, machine: &str, step: TimeSpan) {
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        let mut changed = false;
        let mut left: Vec<(Key, Task, &'static str)> = Vec::new();
        let speed = w.speed;
        for ((task, attempt), t) in &mut w.tasks {
            let job = job_of(task);
            let (Some(spec), Some(work)) = (self.jobs.get(job), self.work.get_mut(job)) else {
                continue;
            };
            if spec.shape == JobShape::Gang {
                if t.state == TaskState::Waiting && now.since(t.since) > self.times.gang_wait {
                    left.push(((task.clone(), *attempt), t.clone(), "alone"));
                    t.end(now, StopReason::Alone, None);
                    changed = true;
                }
                continue;
            }
            let index = index_of(task);
            match t.state {
                TaskState::Running => {
                    t.progress += step.as_secs() * speed;
                    if spec.checkpoint_s > 0.0 {
                        let saved = (t.progress / spec.checkpoint_s).floor() * spec.checkpoint_s;
                        let kept = work.saved.entry(index).or_default();
                        *kept = kept.max(saved);
                    }
                    if spec.shape == JobShape::Array && t.progress >= work.run {
                        t.end(now, StopReason::Done, None);
                        changed = true;
                        work.done.insert(index);
                        self.seen
                            .push(HistoryEvent::TaskCompleted { task: task.clone() });
                        self.seen.push(HistoryEvent::TaskRemoved {
                            machine: machine.into(),
                            task: task.clone(),
                            attempt: *attempt,
                            why: "complete",
                        });
                    }
                }
                TaskState::Saving if t.saves_at.is_some_and(|s| now >= s) => {
                    work.saved.insert(index, t.progress);
                    left.push(((task.clone(), *attempt), t.clone(), "stopped, saved"));
                    t.end(now, StopReason::Stopped, Some(true));
                    changed = true;
                }
                _ => {}
            }
        }
        if changed {
            w.touch();
        }
        for ((task, attempt), t, why) in left {
            self.left(now, machine, &task, attempt, &t, why);
        }
    }

    fn run_gangs(&mut self, now: Time, step: TimeSpan, rng: &mut StdRng) {
        let keys: Vec<(String, u64)> = self.gangs.keys().cloned().collect();
        for key in keys {
            let Some(mut g) = self.gangs.remove(&key) else {
                continue;
            };
            self.run_gang(now, step, &key, &mut g, rng);
            if !g.members.is_empty() {
                self.gangs.insert(key, g);
            }
        }
    }

    fn run_gang(
        &mut self,
        now: Time,
        step: TimeSpan,
        key: &(String, u64),
        g: &mut Gang,
        rng: &mut StdRng,
    ) {
        let (job, attempt) = key;
        let (Some(spec), Some(run)) = (
            self.jobs.get(job).cloned(),
            self.work.get(job).map(|w| w.run),
        ) else {
            return;
        };
        // Members that ended by themselves are on no machine any more.
        let workers = &self.workers;
        g.members.retain(|task, machine| {
            let w = workers.get(machine);
            w.and_then(|w| w.tasks.get(&(task.clone(), *attempt)))
                .is_some_and(Task::on_machine)
        });
        let whole = g.members.len() as u32 == spec.tasks;
        let acting = g.members.values().all(|m| self.acts(now, m));
        if !g.started {
            if whole && acting {
                g.started = true;
                for (task, machine) in &g.members {
                    self.set_state(now, machine, &(task.clone(), *attempt), TaskState::Running);
                    self.seen
                        .push(HistoryEvent::TaskRunning { task: task.clone() });
                }
            }
            return;
        }
        if g.broken.is_none() && (!whole || !acting) {
            g.broken = Some(now);
        }
        if let Some(stop) = g.first_stop {
            let all_told = g.told.len() as u32 >= spec.tasks && g.broken.is_none();
            let all_saved = g.members.iter().all(|(task, machine)| {
                let t = self
                    .workers
                    .get(machine)
                    .and_then(|w| w.tasks.get(&(task.clone(), *attempt)));
                t.is_some_and(|t| t.saves_at.is_some_and(|s| now >= s))
            });
            if all_told && all_saved {
                if let Some(w) = self.work.get_mut(job) {
                    w.saved.insert(0, g.progress);
                }
                self.end_gang(now, key, g, StopReason::Stopped, Some(true));
            } else if now.since(stop) > self.times.gang_peer {
                self.fall_back(job, &spec, g);
                self.end_gang(now, key, g, StopReason::Peers, Some(false));
            }
            return;
        }
        if let Some(since) = g.broken {
            let notices = now.since(since) > self.times.gang_peer || rng.random_bool(0.02);
            if notices {
                self.fall_back(job, &spec, g);
                self.end_gang(now, key, g, StopReason::Peers, None);
            }
            return;
        }
        let speed = g
            .members
            .values()
            .filter_map(|m| self.workers.get(m))
            .map(|w| w.speed);
        g.progress += step.as_secs() * speed.fold(f64::INFINITY, f64::min);
        if spec.checkpoint_s > 0.0
            && let Some(w) = self.work.get_mut(job)
        {
            let saved = (g.progress / spec.checkpoint_s).floor() * spec.checkpoint_s;
            let kept = w.saved.entry(0).or_default();
            *kept = kept.max(saved);
        }
        if g.progress >= run {
            for task in g.members.keys() {
                if let Some(w) = self.work.get_mut(job) {
                    w.done.insert(index_of(task));
                }
                self.seen
                    .push(HistoryEvent::TaskCompleted { task: task.clone() });
            }
            self.end_gang(now, key, g, StopReason::Done, None);
        }
    }

    /// Progress since the last checkpoint is lost.
    fn fall_back(&mut self, job: &str, spec: &Submission, g: &Gang) {
        let saved = self
            .work
            .get(job)
            .and_then(|w| w.saved.get(&0))
            .copied()
            .unwrap_or(0.0);
        self.repeated_s += (g.progress - saved).max(0.0) * f64::from(spec.tasks);
    }

    fn set_state(&mut self, now: Time, machine: &str, key: &Key, state: TaskState) {
        if let Some(w) = self.workers.get_mut(machine) {
            w.touch();
            if let Some(t) = w.tasks.get_mut(key) {
                t.state = state;
                t.since = now;
            }
        }
    }

    fn end_gang(
        &mut self,
        now: Time,
        key: &(String, u64),
        g: &mut Gang,
        why: StopReason,
        saved: Option<bool>,
    ) {
        for (task, machine) in std::mem::take(&mut g.members) {
            // A machine that stands still notices when it goes on; it is on
            // its machine until then.
            if why != StopReason::Done && !self.acts(now, &machine) {
                g.members.insert(task, machine);
                continue;
            }
            let Some(w) = self.workers.get_mut(&machine) else {
                continue;
            };
            w.touch();
            if let Some(t) = w.tasks.get_mut(&(task.clone(), key.1)) {
                let why = match t.state {
                    TaskState::Saving => StopReason::Stopped,
                    _ => why,
                };
                t.end(now, why, saved);
            }
            self.seen.push(HistoryEvent::TaskRemoved {
                machine,
                task,
                attempt: key.1,
                why: match why {
                    StopReason::Done => "complete",
                    StopReason::Peers => "its gang lost a task",
                    _ => "stopped with its gang",
                },
            });
        }
    }
}
