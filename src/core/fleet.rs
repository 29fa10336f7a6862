//! Machines and their workers' reports, as the leader sees them.

use super::leader::{Fate, Leader};
use super::ledger::{End, Job};
use super::node::Io;
use super::presence::{Phase, Placement, Verdict};
use super::tables::Cache;
use super::weak::{self, Decision};
use super::{Answer, RequestId};
use crate::types::{
    Amounts, Attempt, JobId, Kind, MachineId, Session, Span, Tally, TaskId, Time, Zone,
};
use crate::wire;
use crate::wire::cloud::MachineStage;
use crate::wire::workers::{Command, Report, ReportAnswer, ReportedTask, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// How far a machine's return has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    No,
    /// It gets no new work; it goes when empty.
    Drain,
    /// Its release is due or asked for, whatever is on it.
    Release,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Where direct commands go.
    pub addr: Option<SocketAddrV4>,
    /// Its type, once known.
    pub kind: Option<Kind>,
    /// Its zone, once known.
    pub zone: Option<Zone>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Newest message: its session.
    pub session: Session,
    /// Newest message: its number.
    pub tally: Tally,
    /// When it last reported.
    pub reported: Option<Time>,
    /// When we last answered a report with 200.
    pub answered: Option<Time>,
    /// Whether its newest report carried our token.
    pub ours: bool,
    /// When the first report did.
    pub ours_since: Option<Time>,
    /// Unrecorded tasks on it, and what they take.
    pub strays: Amounts,
    /// When the cloud takes it, if noticed.
    pub taken_at: Option<Time>,
    /// Its state in the cloud's list, and its age there.
    pub listed: Option<(MachineStage, Span)>,
    /// When a list last had it.
    pub listed_at: Option<Time>,
    /// When we first heard of it.
    pub known: Time,
    /// Whether its tasks were written off.
    pub lost: bool,
    /// Whether it is being returned.
    pub leaving: Leaving,
    /// Its images.
    pub cache: Cache,
    /// When high-priority work was last placed here.
    pub last_high: Option<Time>,
    /// Since when it has nothing to do.
    pub idle: Option<Time>,
    /// Jobs that failed here, and when.
    pub faults: BTreeMap<JobId, Time>,
    /// Tasks placed here.
    pub tasks: BTreeSet<TaskId>,
    /// What they take together.
    pub used: Amounts,
}

impl Machine {
    /// One just heard of.
    pub fn new(now: Time) -> Machine {
        Machine {
            addr: None,
            kind: None,
            zone: None,
            spot: false,
            session: Session(0),
            tally: Tally(0),
            reported: None,
            answered: None,
            ours: false,
            ours_since: None,
            strays: Amounts::default(),
            taken_at: None,
            listed: None,
            listed_at: None,
            known: now,
            lost: false,
            leaving: Leaving::No,
            cache: Cache::default(),
            last_high: None,
            idle: None,
            faults: BTreeMap::new(),
            tasks: BTreeSet::new(),
            used: Amounts::default(),
        }
    }

    /// Notes a task placed here.
    pub fn take(&mut self, task: TaskId, needs: Amounts) {
        if self.tasks.insert(task) {
            self.used += needs;
        }
    }

    /// Notes that a task is not here any more.
    pub fn release(&mut self, task: &TaskId, needs: Amounts) {
        if self.tasks.remove(task) {
            self.used -= needs;
        }
        if self.tasks.is_empty() {
            // What rounding leaves must not add up.
            self.used = Amounts::default();
        }
    }

    /// Whether new work may go here.
    pub fn usable(&self, now: Time, silence: Span) -> bool {
        self.ours
            && !self.lost
            && self.leaving == Leaving::No
            && self.taken_at.is_none()
            && self.reported.is_some_and(|t| now.since(t) < silence)
    }
}

/// Notes on a job that only scheduling needs.
#[derive(Clone, Debug, Default)]
pub struct JobNotes {
    /// Failures in a row.
    pub failures: u32,
    /// Not to be placed before this time.
    pub not_before: Time,
    /// Machines on which it failed.
    pub failed_on: BTreeSet<MachineId>,
    /// Since when it has tasks waiting.
    pub waiting_since: Option<Time>,
    /// Why it waits, for operators.
    pub why: &'static str,
    /// Whether it counts within its team's guarantee.
    pub entitled: bool,
    /// Why its tasks were last stopped, for operators.
    pub last_stop: Option<&'static str>,
}

/// A report whose answer waits a moment for a commit.
#[derive(Debug)]
pub struct Held {
    request: RequestId,
    until: Time,
    /// Cycles run when it was held; `None`: held until there is work.
    cycles: Option<u64>,
}

/// Time between looks for held reports that are due.
const HELD_LOOK: Span = Span::millis(20);
/// How long an answer may wait for a commit that concerns its machine.
const HOLD: Span = Span::millis(250);
/// Longest hold of an idle machine's report; workers drop answers after 4 s.
const LONGEST_HOLD: Span = Span::millis(2000);
/// Failures of different jobs that make a machine suspect.
const SUSPECT: usize = 2;
/// How long a failure counts against a machine.
const FAULT_LIFE: Span = Span::millis(600_000);
/// Machines of one job's failures that are remembered.
const MOST_FAILED_ON: usize = 4;

impl Leader {
    /// How long a machine may be silent and still get work.
    pub fn silence(&self) -> Span {
        self.settings.workers.report.scaled(2.5) + Span::secs(1.0)
    }

    /// Handles a worker's report; `may_hold`: its answer may wait for work.
    pub fn on_report(
        &mut self,
        io: &mut Io,
        request: RequestId,
        report: Report,
        may_hold: bool,
    ) -> Fate {
        let now = io.now.time;
        if report.token > self.token {
            io.answer_status(request, 421);
            return Fate::Deposed(report.token);
        }
        if !self.may_answer(now) {
            io.answer_later(request, 503, 1);
            return Fate::Stay;
        }
        if self.rental.is_released(&report.machine) {
            // Held back by the network; the machine is gone.
            io.answer_later(request, 503, 1);
            return Fate::Stay;
        }
        let machine = self
            .machines
            .entry(report.machine.clone())
            .or_insert_with(|| Machine::new(now));
        if (report.session, report.tally) <= (machine.session, machine.tally) {
            // Held back by the network; its sender no longer waits.
            io.answer_later(request, 503, 1);
            return Fate::Stay;
        }
        if report.session > machine.session {
            machine.cache.give_up(|_| false);
            machine.lost = false;
        }
        machine.session = report.session;
        machine.tally = report.tally;
        machine.reported = Some(now);
        machine.ours = report.token == self.token;
        if machine.ours {
            machine.ours_since.get_or_insert(now);
        }
        machine.addr = report.addr.parse().ok();
        machine.kind = Some(report.kind.clone());
        machine.zone = Some(report.zone.clone());
        machine.spot = report.spot;
        machine.taken_at = report.notice_s.map(|s| now + Span::secs(s));
        if let Some(held) = self.held.remove(&report.machine) {
            io.answer_later(held.request, 503, 1);
        }
        let freed = self.take_in(now, &report);
        self.note_listed(&report);
        if report.notice_s.is_some() {
            self.drain_noticed(io, &report.machine);
        }
        let waits = self
            .jobs
            .values()
            .any(|j| j.is_open() && !j.waiting.is_empty());
        let id = &report.machine;
        if may_hold && self.idles(now, id, &report) {
            // A long poll: an idle machine's next work reaches it at once
            // instead of with its next report.
            let hold = self.settings.workers.report.scaled(0.6);
            self.held.insert(
                id.clone(),
                Held {
                    request,
                    until: now + hold.min(LONGEST_HOLD),
                    cycles: None,
                },
            );
        } else if freed && waits && self.may_start(now) {
            // Placing and committing takes a moment; the answer that carries
            // the starts need not wait for the next report.
            self.cycle_soon(now);
            self.held.insert(
                report.machine.clone(),
                Held {
                    request,
                    until: now + HOLD,
                    cycles: Some(self.cycles),
                },
            );
        } else {
            self.answer_report(io, request, &report.machine);
        }
        Fate::Stay
    }

    /// Answers held reports whose moment has come. Only machines for which a
    /// start was stored are looked at closely, and after a cycle those that
    /// wait for one.
    pub fn answer_held(&mut self, io: &mut Io) {
        let now = io.now.time;
        let mut due: Vec<MachineId> = Vec::new();
        let stored = std::mem::take(&mut self.stored);
        due.extend(stored.into_iter().filter(|id| {
            let (waits, ready) = self.unsent(id);
            self.held
                .get(id)
                .is_some_and(|h| ready || h.cycles.is_some_and(|c| self.cycles > c && !waits))
        }));
        if now >= self.held_due || self.held_cycle < self.cycles {
            let after_cycle = self.held_cycle < self.cycles;
            self.held_due = now + HELD_LOOK;
            self.held_cycle = self.cycles;
            due.extend(
                self.held
                    .iter()
                    .filter(|(id, h)| {
                        let placed = after_cycle && h.cycles.is_some_and(|c| self.cycles > c);
                        now >= h.until || (placed && !self.unsent(id).0)
                    })
                    .map(|(id, _)| id.clone()),
            );
        }
        for id in due {
            if let Some(h) = self.held.remove(&id) {
                self.answer_report(io, h.request, &id);
            }
        }
    }

    /// Gives up held reports, when leadership ends.
    pub fn drop_held(&mut self, io: &mut Io) {
        for (_, h) in std::mem::take(&mut self.held) {
            io.answer_later(h.request, 503, 1);
        }
    }

    /// Whether a machine that has just reported has nothing to do.
    fn idles(&self, now: Time, id: &MachineId, report: &Report) -> bool {
        report.tasks.is_empty()
            && self.may_start(now)
            && self
                .machines
                .get(id)
                .is_some_and(|m| m.tasks.is_empty() && m.usable(now, self.silence()))
    }

    /// Whether starts for a machine still wait to be stored, and whether all
    /// there are can be sent.
    fn unsent(&self, id: &MachineId) -> (bool, bool) {
        let (mut waits, mut ready) = (false, false);
        let tasks = self.machines.get(id).map(|m| &m.tasks);
        for t in tasks.into_iter().flatten() {
            let Some(job) = self.jobs.get(&t.job) else {
                continue;
            };
            if let Some(p) = job.places.get(&t.index).filter(|p| p.unsent()) {
                let stored = job.is_stored(self.chunk_size, t.index, p.change);
                waits |= !stored;
                ready |= stored;
            }
        }
        (waits, ready && !waits)
    }

    /// Compares a report with the placements; true if it freed room.
    fn take_in(&mut self, now: Time, report: &Report) -> bool {
        let id = &report.machine;
        let mut listed: BTreeMap<TaskId, &ReportedTask> = BTreeMap::new();
        let mut strays = Amounts::default();
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                continue;
            };
            let job = self.jobs.get(&task.job);
            let place = job.and_then(|j| j.places.get(&task.index));
            if place.is_some_and(|p| {
                &p.machine == id && p.attempt == t.attempt && p.session == report.session
            }) {
                listed.insert(task, t);
                continue;
            }
            if t.state != TaskState::Exited {
                if let Some(j) = job {
                    strays += j.spec.needs();
                }
            } else if t.why == Some(Why::Done) {
                self.task_done(now, &task);
            }
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return false;
        };
        machine.strays = strays;
        let placed: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        let mut freed = false;
        for task in placed {
            let seen = listed.get(&task).copied();
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let open = job.is_open();
            let Some(p) = job.places.get_mut(&task.index) else {
                continue;
            };
            match p.judge(report.session, report.tally, report.token, self.token, seen) {
                Verdict::Absent => {
                    freed = true;
                    self.gone(now, &task, "its machine no longer has it");
                }
                // What is not wanted any more is not sent again; it never
                // arrived, so it is nowhere.
                Verdict::Undelivered if p.stop.is_some() || !open => {
                    self.gone(now, &task, "never arrived");
                }
                Verdict::Undelivered => p.phase = Phase::Unsent,
                Verdict::Present => {
                    if let Some(t) = seen {
                        freed |= self.seen(now, &task, t);
                    }
                }
            }
        }
        freed
    }

    /// A placed task was reported; true if it ended.
    fn seen(&mut self, now: Time, task: &TaskId, t: &ReportedTask) -> bool {
        if t.state == TaskState::Exited {
            self.exited(now, task, t);
            return true;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let spec = job.spec.clone();
        let Some(p) = job.places.get_mut(&task.index) else {
            return false;
        };
        p.phase = Phase::Seen(t.state);
        if t.state == TaskState::Running && p.running.is_none() {
            p.running = Some(now);
            tracing::debug!(task = %task, machine = %p.machine, since_s = now.since(p.placed).as_secs(), "runs");
        }
        if t.state != TaskState::Fetching {
            let cold = p.cold.take();
            let machine = p.machine.clone();
            let room = self.cache_room(&machine);
            if let Some(m) = self.machines.get_mut(&machine)
                && m.cache.remaining(&spec.image, now) != Some(Span::ZERO)
            {
                m.cache.fetched(&spec.image, spec.image_gb, now, room);
                if let Some(since) = cold {
                    self.estimates.note(&spec.image, now.since(since));
                }
            }
        }
        false
    }

    fn exited(&mut self, now: Time, task: &TaskId, t: &ReportedTask) {
        let why = t.why.unwrap_or(Why::Unknown);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(place) = job.places.get(&task.index).cloned() else {
            return;
        };
        if why == Why::Done && !job.is_service() {
            self.gone(now, task, "done");
            if self.jobs[&task.job].is_gang() {
                // They complete together.
                for index in 0..self.jobs[&task.job].spec.tasks {
                    self.task_done(
                        now,
                        &TaskId {
                            job: task.job.clone(),
                            index,
                        },
                    );
                }
            } else {
                self.task_done(now, task);
            }
            return;
        }
        if !matches!(why, Why::Stopped | Why::Done) {
            tracing::info!(task = %task, machine = %place.machine, ?why, team = %job.spec.team, "task ended early");
        }
        self.gone(now, task, "ended");
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match why {
            Why::Error | Why::Unknown => {
                job.notes.failures += 1;
                let pause = Span::secs(f64::from(1 << job.notes.failures.min(6)) / 2.0);
                job.notes.not_before = now + pause;
                // A job that fails everywhere must not use up the machines:
                // only its latest few failures count for it, and one job
                // alone never makes a machine suspect.
                job.notes.failed_on.insert(place.machine.clone());
                if job.notes.failed_on.len() > MOST_FAILED_ON {
                    job.notes.failed_on.clear();
                }
                if let Some(m) = self.machines.get_mut(&place.machine) {
                    m.faults.insert(task.job.clone(), now);
                    m.faults.retain(|_, t| now.since(*t) < FAULT_LIFE);
                    if m.faults.len() >= SUSPECT && m.leaving == Leaving::No {
                        tracing::info!(machine = %place.machine, "put aside: several jobs failed on it");
                        m.leaving = Leaving::Drain;
                    }
                }
            }
            Why::NoRoom | Why::Busy => {
                job.notes.not_before = now + Span::secs(1.0);
            }
            Why::Done | Why::Stopped | Why::Peers | Why::Alone => {}
        }
    }

    /// Marks a task done, wherever it was found to be.
    pub fn task_done(&mut self, now: Time, task: &TaskId) {
        let size = self.chunk_size;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.is_service() || task.index >= job.spec.tasks || !job.done.insert(task.index) {
            return;
        }
        job.waiting.remove(task.index);
        job.notes.failures = 0;
        let change = job.touch(size, task.index);
        job.unsaved.insert(task.index, change);
        self.dirty
            .note((task.job.clone(), size.of(task.index)), now, false);
        if job.done.len() == job.spec.tasks && job.end.is_none() {
            job.end = Some(End::Done { written: false });
            self.finishing.insert(task.job.clone());
        }
        // Another attempt of it may still be somewhere.
        if let Some(p) = job.places.get(&task.index)
            && p.unsent()
        {
            self.gone(now, task, "done elsewhere");
        }
    }

    /// A task is proved not to be on its machine. For a gang that ends the
    /// whole attempt.
    pub fn gone(&mut self, now: Time, task: &TaskId, proof: &'static str) {
        self.remove_place(now, task, proof);
        if let Some(job) = self.jobs.get(&task.job)
            && job.is_gang()
            && job.is_open()
            && proof != "done"
        {
            let others: Vec<u32> = job.places.keys().copied().collect();
            self.stop_tasks(now, &task.job, &others, 0.0, "its gang lost a task");
        }
    }

    fn remove_place(&mut self, now: Time, task: &TaskId, proof: &'static str) {
        let size = self.chunk_size;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(p) = job.places.remove(&task.index) else {
            return;
        };
        let needs = job.spec.needs();
        if !job.done.contains(task.index) && job.is_open() {
            job.waiting.insert(task.index);
        }
        job.touch(size, task.index);
        self.dirty
            .note((task.job.clone(), size.of(task.index)), now, false);
        tracing::debug!(task = %task, attempt = %p.attempt, machine = %p.machine, proof, "task is gone");
        if let Some(m) = self.machines.get_mut(&p.machine) {
            m.release(task, needs);
            if m.tasks.is_empty() {
                m.idle = Some(now);
            }
            let (jobs, tasks) = (&self.jobs, &m.tasks);
            let waits = |image: &_| {
                tasks
                    .iter()
                    .any(|t| jobs.get(&t.job).is_some_and(|j| &j.spec.image == image))
            };
            m.cache.give_up(waits);
        }
        if self.jobs[&task.job].places.is_empty() && !self.jobs[&task.job].is_open() {
            self.dropping.insert(task.job.clone());
        }
    }

    /// Orders tasks of a job to stop; unsent starts are dropped at once.
    pub fn stop_tasks(
        &mut self,
        now: Time,
        id: &JobId,
        tasks: &[u32],
        grace_s: f64,
        why: &'static str,
    ) {
        let mut unsent = Vec::new();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.notes.last_stop = Some(why);
        for index in tasks {
            let Some(p) = job.places.get_mut(index) else {
                continue;
            };
            if p.unsent() {
                unsent.push(*index);
            } else if p.stop.is_none_or(|s| grace_s < s.grace_s && grace_s == 0.0) {
                // A gang that saves must not be cut short because one of its
                // tasks has ended, saved, before the others.
                let saving = p.stop.is_some() && job.end != Some(End::Cancelled);
                if !saving {
                    p.stop = Some(super::presence::Stop { grace_s, at: now });
                    self.direct
                        .entry(p.machine.clone())
                        .or_default()
                        .push(TaskId {
                            job: id.clone(),
                            index: *index,
                        });
                }
            }
        }
        for index in unsent {
            let task = TaskId {
                job: id.clone(),
                index,
            };
            self.remove_place(now, &task, "never sent");
        }
    }

    /// A machine will be taken: its tasks save, or at least leave in time to
    /// prove that they are gone.
    fn drain_noticed(&mut self, io: &mut Io, id: &MachineId) {
        let now = io.now.time;
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let left = m.taken_at.map_or(Span::ZERO, |t| t.since(now));
        let here: Vec<TaskId> = m.tasks.iter().cloned().collect();
        for task in here {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(p) = job.places.get(&task.index) else {
                continue;
            };
            if p.stop.is_some() {
                continue;
            }
            let rest = self.remaining(now, job, p);
            let spare = Span::secs(1.0);
            if rest + spare < left {
                continue;
            }
            let grace = job.spec.save_s.min((left.as_secs() - 1.0).max(0.0));
            let tasks: Vec<u32> = if job.is_gang() {
                job.places.keys().copied().collect()
            } else {
                vec![task.index]
            };
            self.stop_tasks(now, &task.job, &tasks, grace, "its machine is being taken");
        }
    }

    /// Expected remaining time of a task on its machine.
    pub fn remaining(&self, now: Time, job: &Job, p: &Placement) -> Span {
        let run = Span::secs(job.spec.estimate_s);
        let cold = p.cold.map_or(Span::ZERO, |_| {
            self.estimates.of(&job.spec.image, job.spec.image_gb, None)
        });
        match p.running {
            Some(t) => Span(run.0.saturating_sub(now.since(t).0)),
            None => run + cold,
        }
    }

    fn cache_room(&self, id: &MachineId) -> f64 {
        self.machines
            .get(id)
            .and_then(|m| m.kind.as_ref())
            .and_then(|k| self.types.get(k))
            .map_or(0.0, |t| t.cache_gb)
    }

    /// Answers a report with what its machine is to do.
    fn answer_report(&mut self, io: &mut Io, request: RequestId, id: &MachineId) {
        let now = io.now.time;
        if !self.may_answer(now) {
            io.answer_later(request, 503, 1);
            return;
        }
        let commands = self.commands(now, id);
        if let Some(m) = self.machines.get_mut(id) {
            m.answered = Some(now);
        }
        let body = wire::encode(&ReportAnswer {
            token: self.token,
            commands,
        });
        io.answer(
            request,
            Answer {
                status: 200,
                body,
                ..Default::default()
            },
        );
    }

    /// Keeps what a report listed beyond the placements, for its answer.
    fn note_listed(&mut self, report: &Report) {
        let extra = report
            .tasks
            .iter()
            .map(|t| (t.task.clone(), t.attempt, t.state, t.why))
            .collect();
        self.listed.insert(report.machine.clone(), extra);
    }

    fn commands(&mut self, now: Time, id: &MachineId) -> Vec<Command> {
        let mut stops = Vec::new();
        let mut forgets = Vec::new();
        let mut starts = Vec::new();
        let listed = self.listed.remove(id).unwrap_or_default();
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let ours = m.ours;
        let session = m.session;
        let tally = m.tally;
        let mut busy = m.strays;
        for (text, attempt, state, why) in listed {
            let Some(task) = TaskId::parse(&text) else {
                continue;
            };
            let job = self.jobs.get(&task.job);
            let place = job
                .and_then(|j| j.places.get(&task.index))
                .filter(|p| &p.machine == id && p.attempt == attempt && p.session == session);
            if state == TaskState::Exited {
                // Cleared only once nothing can start it again and, if it is
                // done, once that is stored.
                let kept = why == Some(Why::Done)
                    && job.is_some_and(|j| !j.is_service() && !j.done_is_stored(task.index));
                if ours && place.is_none() && !kept {
                    forgets.push(Command::Forget {
                        task: text,
                        attempt,
                    });
                }
                continue;
            }
            match place {
                Some(p) => {
                    if let Some(j) = job {
                        busy += j.spec.needs();
                    }
                    if let Some(stop) = p.stop {
                        stops.push(Command::Stop {
                            task: text,
                            attempt,
                            grace_s: stop.grace_s,
                        });
                    }
                }
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
            .and_then(|k| self.types.get(k))
            .map(|t| t.has());
        let tasks: Vec<TaskId> = m.tasks.iter().cloned().collect();
        if let Some(whole) = whole
            && ours
            && self.may_start(now)
        {
            let mut free = whole - busy;
            for t in tasks {
                let size = self.chunk_size;
                let Some(job) = self.jobs.get_mut(&t.job) else {
                    continue;
                };
                let (needs, open) = (job.spec.needs(), job.is_open());
                let Some(p) = job.places.get(&t.index) else {
                    continue;
                };
                // Written ahead: only what is stored may be sent.
                let stored =
                    job.is_stored(size, t.index, p.change) || !weak::holds(Decision::WriteAhead);
                if !p.unsent() || !stored || !open || p.session != session || !needs.fits(&free) {
                    continue;
                }
                free -= needs;
                if let Some(p) = job.places.get_mut(&t.index) {
                    p.phase = Phase::Sent(tally);
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

    /// Writes off machines whose workers must have ended their tasks.
    pub fn expire(&mut self, io: &mut Io) {
        let now = io.now.time;
        let mut lease = self.settings.workers.lease.scaled(1.0005) + Span::secs(1.0);
        let inherited = self.office + self.inherited_wait;
        let mut dead = Vec::new();
        for (id, m) in &mut self.machines {
            if m.lost || m.tasks.is_empty() {
                continue;
            }
            let failed = matches!(m.listed, Some((MachineStage::Failed, _)));
            if !weak::holds(Decision::LeaseBeforeWriteOff) {
                lease = Span::secs(3.0);
            }
            let (due, proof) = if let Some(since) = m.ours_since {
                // Older leaders' answers are dropped by a worker that has
                // seen our token, so only our own renew its lease.
                // Before it had our token an older leader may have done so:
                // a direct command can bring the token without a 200 of ours.
                (
                    m.answered.max(Some(since)).unwrap_or(now) + lease,
                    "its lease is over",
                )
            } else {
                // An older leader may have answered it until it noticed.
                let ours = m.answered.map_or(Time(0), |t| t + lease);
                (inherited.max(ours), "silent since before this leader")
            };
            if failed || now >= due {
                let proof = if failed {
                    "the cloud lists it as failed"
                } else {
                    proof
                };
                tracing::info!(machine = %id, proof, tasks = m.tasks.len(), "machine presumed dead");
                m.lost = true;
                m.ours = false;
                m.cache.clear();
                dead.push((id.clone(), proof));
            }
        }
        for (id, proof) in dead {
            self.write_off(now, &id, proof);
        }
    }

    /// Everything on a machine is gone.
    pub fn write_off(&mut self, now: Time, id: &MachineId, proof: &'static str) {
        let tasks: Vec<TaskId> = self
            .machines
            .get(id)
            .map(|m| m.tasks.iter().cloned().collect())
            .unwrap_or_default();
        for t in tasks {
            // A start that was never sent to this session stays harmless.
            self.gone(now, &t, proof);
        }
    }

    /// Sends pending stops straight to their workers. One that arrives late
    /// is harmless: attempts are never reused for another placement.
    pub fn send_direct(&mut self, io: &mut Io) {
        for (id, tasks) in std::mem::take(&mut self.direct) {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            let Some(addr) = m.addr else { continue };
            let commands: Vec<Command> = tasks
                .iter()
                .filter_map(|t| {
                    let p = self.jobs.get(&t.job)?.places.get(&t.index)?;
                    let grace_s = p.stop?.grace_s;
                    Some(Command::Stop {
                        task: t.to_string(),
                        attempt: p.attempt,
                        grace_s,
                    })
                })
                .collect();
            if !commands.is_empty() {
                io.direct(addr, self.token, m.session, commands);
            }
        }
    }

    /// Puts a task on a machine; it is sent once recorded.
    pub fn put(&mut self, now: Time, task: &TaskId, id: &MachineId, attempt: Attempt) {
        let size = self.chunk_size;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let warm = m.cache.remaining(&spec.image, now).is_some();
        let rate = m
            .kind
            .as_ref()
            .and_then(|k| self.types.get(k))
            .map(|t| t.fetch_gb_per_s);
        let fetch = self.estimates.of(&spec.image, spec.image_gb, rate);
        m.cache.used(&spec.image, spec.image_gb, now, fetch);
        if spec.priority >= crate::wire::users::Priority::High {
            m.last_high = Some(now);
        }
        m.idle = None;
        m.take(task.clone(), spec.needs());
        job.waiting.remove(task.index);
        job.attempt = job.attempt.max(attempt);
        let change = job.touch(size, task.index);
        job.places.insert(
            task.index,
            Placement {
                machine: id.clone(),
                session: m.session,
                attempt,
                change,
                phase: Phase::Unsent,
                placed: now,
                running: None,
                cold: (!warm).then_some(now),
                stop: None,
            },
        );
        self.dirty
            .note((task.job.clone(), size.of(task.index)), now, true);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{io_at, leader};

    // A direct command can bring our token to a worker whose lease an older
    // leader renewed after our last 200: its lease ends later than that 200
    // says, and its tasks run on after they were written off.
    #[test]
    fn a_lease_counts_from_the_first_report_with_our_token() {
        let mut leader = leader();
        let mut m = Machine::new(Time(0));
        let task = TaskId::parse("wk-1/0").unwrap();
        m.take(task, Amounts::default());
        m.answered = Some(Time(10_000_000));
        m.ours_since = Some(Time(100_000_000));
        let id = MachineId::from("host-1");
        leader.machines.insert(id.clone(), m);
        let mut lost_at = |secs: f64| {
            leader.expire(&mut io_at(secs));
            leader.machines[&id].lost
        };
        // The fixture's lease is 10 s.
        assert!(!lost_at(105.0));
        assert!(!lost_at(110.5));
        assert!(lost_at(111.5));
    }
}
