//! The agent on a machine: sockets, clock, files and processes around [`Worker`].
//! Effects are carried out in their order, and nothing behind a record before it
//! would survive a loss of power.

use crate::attempts::{Effect, Found, Key, Record, Times};
use crate::journal::{Change, Journal, JournalError};
use crate::link::{Link, PATIENCE};
use crate::process::{boot_id, end_all, marked};
use crate::resume::{self, LeaseRefusal};
use crate::settings::Settings;
use crate::shim::{
    self, BEGUN, Begun, EXIT, Exit, Lease, Limits, MARK, PLAN, Plan, STOP, Stop, steady_us,
};
use crate::store::{NEXT, Store};
use crate::worker::{Worker, pace};
use pebblefold_net::{Client, Sent, answer_connections};
use pebblefold_wire::command::CommandSpec;
use pebblefold_wire::http::{Request, Response};
use pebblefold_wire::types::{Time, TimeSpan};
use pebblefold_wire::users::{JobShape, Submission};
use pebblefold_wire::workers::{Heartbeat, TaskState};
use pebblefold_wire::{decode, encode};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Error;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Time between steps of the agent.
const STEP: Duration = Duration::from_millis(50);
/// Largest description of a job, in bytes.
const MOST_JOB: u64 = 1024 * 1024;
/// How long processes that were found may take to be gone.
const GONE: Duration = Duration::from_secs(10);
/// Tries at a journal that is held, and the pause between them.
const LOCK_TRIES: u32 = 30;
/// Likewise.
const LOCK_PAUSE: Duration = Duration::from_millis(100);
/// The file, in the agent's directory, that keeps its lease.
pub const LEASE: &str = "lease.json";
/// The file, in the agent's directory, that asks it to take no new work.
pub const DRAIN: &str = "drain";

/// Why an agent does not serve.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// Its journal. It ends at once: what is not written down must not be told, and
    /// its tasks end by themselves with the lease.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// A file or socket.
    #[error("{0}: {1}")]
    Io(String, Error),
}

fn io(what: impl std::fmt::Display) -> impl FnOnce(Error) -> AgentError {
    let what = what.to_string();
    |e| AgentError::Io(what, e)
}

/// An attempt whose processes run.
struct Running {
    dir: PathBuf,
    job: Rc<Submission>,
    child: Option<Child>,
}

struct Shared {
    settings: Settings,
    store: Store,
    boot: String,
    journal: Journal,
    worker: RefCell<Worker>,
    rng: RefCell<StdRng>,
    client: Client,
    running: RefCell<BTreeMap<Key, Running>>,
    /// Gangs' tasks that wait for the others.
    meeting: RefCell<BTreeMap<Key, Rc<Submission>>>,
    ticket: Cell<u64>,
    failed: RefCell<Option<AgentError>>,
}

fn now() -> Time {
    Time(steady_us())
}

/// The directory of an attempt, and the mark of its processes.
fn name(machine: &str, key: &Key) -> String {
    format!("{machine}@{}@{}", key.task.replace('/', "@"), key.attempt)
}

impl Shared {
    fn attempt_dir(&self, key: &Key) -> PathBuf {
        let name = name(&self.settings.machine.id, key);
        self.settings.dir.join("attempts").join(name)
    }

    fn mark(&self, key: &Key) -> String {
        // Two agents of one machine's name on one box are told apart.
        format!(
            "{}:{}",
            self.settings.dir.display(),
            name(&self.settings.machine.id, key)
        )
    }

    /// Carries effects out, in their order.
    fn carry_out(self: &Rc<Self>) -> Result<(), AgentError> {
        loop {
            let effects = self.worker.borrow_mut().take();
            if effects.is_empty() {
                return Ok(());
            }
            let mut batch: Vec<Change> = Vec::new();
            for e in effects {
                let change = match e {
                    Effect::Record(k, r) => Some(Change::Attempt(k, r)),
                    Effect::Strike(k) => Some(Change::Strike(k)),
                    Effect::Token(t) => Some(Change::Token(t)),
                    Effect::Epoch(s) => Some(Change::Epoch(s)),
                    other => {
                        self.journal.write(&std::mem::take(&mut batch))?;
                        self.act(other)?;
                        None
                    }
                };
                batch.extend(change);
            }
            self.journal.write(&batch)?;
        }
    }

    fn act(&self, e: Effect) -> Result<(), AgentError> {
        match e {
            Effect::Describe(job) => {
                let found = self.job(&job);
                self.worker.borrow_mut().attempts.described(&job, found);
            }
            // Images are taken to be on the machine.
            Effect::Fetch(key, _) => {
                self.worker.borrow_mut().attempts.imaged(now(), &key, true);
            }
            Effect::GiveUp(key) => {
                if self.meeting.borrow_mut().remove(&key).is_some() {
                    self.store.away(&key);
                }
            }
            Effect::Meet(key, job) => {
                self.store.here(&key).map_err(io("the gang's place"))?;
                self.meeting.borrow_mut().insert(key, job);
            }
            Effect::Spawn(key, job) => {
                if self.worker.borrow().link().expired(now()) {
                    // It is forgotten with everything else when the next epoch begins.
                    tracing::info!(task = %key.task, attempt = key.attempt, "not started, the lease expired");
                } else {
                    self.spawn(key, job);
                }
            }
            Effect::Stop(key, grace_s) => self.stop(&key, grace_s),
            Effect::Remove(key) => {
                // Told to stop a moment ago, if it ran: before anything is said of
                // the machine without it, it is proven to be gone.
                if self.running.borrow_mut().remove(&key).is_some() && !self.bury(&key).gone {
                    let e = Error::other("its processes cannot be ended");
                    return Err(AgentError::Io(key.task, e));
                }
                self.clear(&key);
            }
            Effect::Record(..) | Effect::Strike(_) | Effect::Token(_) | Effect::Epoch(_) => {}
        }
        Ok(())
    }

    fn small(path: &Path) -> Option<Vec<u8>> {
        let size = std::fs::metadata(path).ok()?.len();
        (size <= MOST_JOB).then(|| std::fs::read(path).ok())?
    }

    fn job(&self, job: &str) -> Option<Rc<Submission>> {
        let bytes = Shared::small(&self.settings.jobs.join("jobs").join(job))?;
        decode(&bytes).map(Rc::new)
    }

    fn description(&self, job: &str) -> Option<CommandSpec> {
        decode(&Shared::small(
            &self.settings.jobs.join("commands").join(job),
        )?)
    }

    /// Begins an attempt's command, unless its task's result is published.
    fn spawn(&self, key: Key, job: Rc<Submission>) {
        let started = if self.store.published(&key).is_some() {
            Err(Exit {
                gone: true,
                ..Exit::default()
            })
        } else {
            self.begin(&key, &job).map_err(|e| Exit {
                code: 127,
                gone: true,
                not_started: Some(e.to_string()),
                ..Exit::default()
            })
        };
        match started {
            Ok(child) => {
                let running = Running {
                    dir: self.attempt_dir(&key),
                    job,
                    child: Some(child),
                };
                self.running.borrow_mut().insert(key, running);
            }
            Err(exit) => {
                if let Some(why) = &exit.not_started {
                    tracing::warn!(task = %key.task, attempt = key.attempt, why, "not started");
                }
                self.worker.borrow_mut().attempts.exited(&key, &exit);
            }
        }
    }

    fn begin(&self, key: &Key, job: &Submission) -> Result<Child, Error> {
        let d = self
            .description(key.job())
            .ok_or_else(|| Error::other("its command is not there, or over 1 MiB"))?;
        let dir = self.attempt_dir(key);
        std::fs::create_dir_all(&dir)?;
        let place = self.store.place(key)?;
        let mut env = d.env.clone();
        let index = key.task.rsplit('/').next().unwrap_or("0").to_string();
        let text = |p: PathBuf| p.display().to_string();
        env.extend([
            ("PEBBLEFOLD_JOB".into(), key.job().into()),
            ("PEBBLEFOLD_INDEX".into(), index),
            ("PEBBLEFOLD_TASKS".into(), job.tasks.to_string()),
            ("PEBBLEFOLD_TRY".into(), key.attempt.to_string()),
            ("PEBBLEFOLD_OUT".into(), text(dir.join("work/out"))),
            ("PEBBLEFOLD_SAVES".into(), text(place.clone())),
            ("PEBBLEFOLD_SAVE".into(), text(place.join(NEXT))),
        ]);
        if let Some((n, newest)) = self.store.newest(key) {
            env.insert("PEBBLEFOLD_RESUME".into(), text(newest));
            env.insert("PEBBLEFOLD_RESUME_NUMBER".into(), n.to_string());
        }
        std::fs::create_dir_all(dir.join("work/out"))?;
        let own = &self.settings.limits;
        let memory = (job.memory_gb * 1024.0 * 1024.0 * 1024.0) as u64;
        let plan = Plan {
            attempt: self.mark(key),
            argv: d.argv,
            env,
            dir: dir.join("work"),
            limits: Limits {
                memory: own.memory.then_some(memory),
                files: own.files,
                output: own.output_mb * 1024 * 1024,
                time_s: d.limit_s,
                ..Limits::default()
            },
            lease: Some(self.settings.dir.join(LEASE)),
            epoch: self.worker.borrow().link().epoch().0,
        };
        shim::write_whole(&dir.join(PLAN), &serde_json::to_vec(&plan)?)?;
        // In a group of its own: what ends ours does not end it.
        Command::new(std::env::current_exe()?)
            .arg("shim")
            .arg(&dir)
            .env(MARK, self.mark(key))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()
    }

    /// Removes an attempt's directory. Renamed first: a shim that is about to begin
    /// in it finds nothing there.
    fn clear(&self, key: &Key) {
        let dir = self.attempt_dir(key);
        let mut away = dir.clone().into_os_string();
        away.push("~gone");
        // What stays is in nobody's way.
        let _ = std::fs::rename(&dir, &away);
        let _ = std::fs::remove_dir_all(away);
    }

    fn stop(&self, key: &Key, grace_s: f64) {
        let dir = self.attempt_dir(key);
        let text = serde_json::to_vec(&Stop { grace_s }).unwrap_or_default();
        if let Err(e) = shim::write_whole(&dir.join(STOP), &text) {
            // Its directory is gone or full: it is ended by hand.
            tracing::error!(task = %key.task, error = %e, "it cannot be asked to stop");
            let mark = self.mark(key);
            if let Err(e) = end_all(|| marked(MARK, &mark), GONE) {
                tracing::error!(task = %key.task, error = %e, "it cannot be ended");
            }
        }
    }

    /// Looks at what runs: results, and shims that died without one.
    fn look(&self) {
        let keys: Vec<Key> = self.running.borrow().keys().cloned().collect();
        for key in keys {
            let found = self.find(&key);
            let exit = match found {
                Found::Ended(exit) => exit,
                Found::Runs => continue,
                Found::Nothing | Found::Lost => {
                    // The shim takes a moment to begin.
                    let begins = self.running.borrow_mut().get_mut(&key).is_some_and(|r| {
                        let child = r.child.as_mut();
                        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
                    });
                    if begins {
                        continue;
                    }
                    match self.find(&key) {
                        Found::Ended(exit) => exit,
                        _ => self.bury(&key),
                    }
                }
            };
            let Some(mut r) = self.running.borrow_mut().remove(&key) else {
                continue;
            };
            if let Some(c) = &mut r.child {
                // It has written its result and ends.
                let _ = c.wait();
            }
            self.ended(&key, &r.job, &r.dir, &exit);
        }
    }

    /// Ends what a shim left that died without a result.
    fn bury(&self, key: &Key) -> Exit {
        let mark = self.mark(key);
        let gone = end_all(|| marked(MARK, &mark), GONE).unwrap_or(false);
        Exit {
            code: -1,
            gone,
            not_started: None,
            ..Exit::default()
        }
    }

    /// An attempt's result: published before it is told.
    fn ended(&self, key: &Key, job: &Submission, dir: &Path, exit: &Exit) {
        let mut exit = exit.clone();
        if !exit.gone {
            // No proof that it is gone: it stays on the machine for the reports.
            tracing::error!(task = %key.task, "its processes cannot be ended; looked for again");
            let rc = Rc::new(job.clone());
            let again = Running {
                dir: dir.into(),
                job: rc,
                child: None,
            };
            self.running.borrow_mut().insert(key.clone(), again);
            return;
        }
        if exit.code == 0 && !exit.stopped {
            let machine = &self.settings.machine.id;
            if let Err(e) = self.store.publish(key, machine, &dir.join("work/out")) {
                tracing::error!(task = %key.task, error = %e, "its result cannot be published");
                exit.code = -1;
            } else if job.shape == JobShape::Gang {
                // Its peers do not miss it.
                let _ = self.store.complete(key);
            }
        }
        if exit.code != 0 {
            self.store.tidy(key);
            if job.shape == JobShape::Gang {
                self.store.away(key);
            }
        }
        self.worker.borrow_mut().attempts.exited(key, &exit);
    }

    /// What there is of an attempt.
    fn find(&self, key: &Key) -> Found {
        let dir = self.attempt_dir(key);
        if let Ok(exit) = shim::read::<Exit>(&dir.join(EXIT)) {
            return Found::Ended(exit);
        }
        match shim::read::<Begun>(&dir.join(BEGUN)) {
            Ok(b) if b.shim.runs() => Found::Runs,
            Ok(_) => match shim::read::<Exit>(&dir.join(EXIT)) {
                // It ended between the two looks.
                Ok(exit) => Found::Ended(exit),
                Err(_) => Found::Lost,
            },
            Err(_) if dir.join(BEGUN).exists() => Found::Lost,
            Err(_) => Found::Nothing,
        }
    }

    /// Gangs: who is here, and who is missed.
    fn gangs(&self) {
        let peer = Duration::from_secs_f64(self.settings.times.gang_peer_s);
        let meeting: Vec<(Key, Rc<Submission>)> = self
            .meeting
            .borrow()
            .iter()
            .map(|(k, j)| (k.clone(), Rc::clone(j)))
            .collect();
        for (key, job) in meeting {
            let _ = self.store.here(&key);
            if self.store.present(&key, job.tasks, peer).iter().all(|p| *p) {
                self.meeting.borrow_mut().remove(&key);
                self.worker.borrow_mut().attempts.met(&key);
            }
        }
        let running: Vec<(Key, Rc<Submission>)> = self
            .running
            .borrow()
            .iter()
            .filter(|(_, r)| r.job.shape == JobShape::Gang && r.job.tasks > 1)
            .map(|(k, r)| (k.clone(), Rc::clone(&r.job)))
            .collect();
        for (key, job) in running {
            let _ = self.store.here(&key);
            if !self.store.present(&key, job.tasks, peer).iter().all(|p| *p) {
                self.worker.borrow_mut().attempts.peer_lost(&key);
            }
        }
    }

    /// Keeps the lease where the shims look. Not synced: after a loss of power
    /// nothing of it counts.
    fn keep_lease(&self) -> Result<(), AgentError> {
        let lease = Lease {
            boot: self.boot.clone(),
            epoch: self.worker.borrow().link().epoch().0,
            until_us: self.worker.borrow().link().until().0,
        };
        let path = self.settings.dir.join(LEASE);
        let beside = path.with_extension("part");
        let bytes = serde_json::to_vec(&lease).unwrap_or_default();
        std::fs::write(&beside, bytes)
            .and_then(|()| std::fs::rename(&beside, &path))
            .map_err(io(path.display()))
    }

    async fn report(self: Rc<Self>, ticket: u64, node: usize, report: Heartbeat) {
        let Some(c) = self.settings.controllers.get(node) else {
            return;
        };
        let (body, sent) = (encode(&report), Sent::default());
        let asked = self
            .client
            .exchange(c.addr, "POST", "/checkin", &body, &sent);
        let patience = Duration::from_micros(PATIENCE.0);
        let answer = match timeout(patience, asked).await {
            Ok(Ok(r)) => Some((r.status, r.body)),
            Ok(Err(_)) | Err(_) => None,
        };
        let answer = answer.as_ref().map(|(s, b)| (*s, b.as_slice()));
        let (mut worker, mut rng) = (self.worker.borrow_mut(), self.rng.borrow_mut());
        worker.answered(now(), ticket, answer, &mut *rng);
        drop((worker, rng));
        self.settle();
    }

    /// Carries out what there is; a failure ends the agent.
    fn settle(self: &Rc<Self>) {
        let done = self.keep_lease().and_then(|()| self.carry_out());
        if let Err(e) = done {
            self.failed.borrow_mut().get_or_insert(e);
        }
    }

    async fn serve(self: Rc<Self>, r: Request) -> Option<Response> {
        // What is told and done is that of the epoch whose lease lasts now.
        self.worker.borrow_mut().advance(now());
        let status = match (r.method.as_str(), r.path.as_str()) {
            ("POST", "/commands") => self.worker.borrow_mut().commanded(now(), &r.body),
            ("GET", "/inspect") => 200,
            _ => 404,
        };
        // The answer says what was done, so it is done, and would survive.
        self.settle();
        if self.failed.borrow().is_some() {
            return None;
        }
        let body = match status {
            // Carrying it out may have taken longer than the lease.
            200 | 409 => encode(&self.worker.borrow_mut().report(now())?),
            _ => Vec::new(),
        };
        Some(Response {
            status,
            retry_after: None,
            body,
            close: false,
        })
    }

    /// One step; false once the agent cannot go on.
    fn step(self: &Rc<Self>) -> bool {
        if self.settings.dir.join(DRAIN).exists() {
            self.worker.borrow_mut().attempts.drain();
        }
        self.worker.borrow_mut().advance(now());
        self.look();
        self.gangs();
        self.settle();
        let ticket = self.ticket.get() + 1;
        let due = {
            let (mut worker, mut rng) = (self.worker.borrow_mut(), self.rng.borrow_mut());
            worker.due(now(), ticket, &mut *rng)
        };
        if self.failed.borrow().is_some() {
            return false;
        }
        if let Some((node, report)) = due {
            self.ticket.set(ticket);
            spawn_local(Rc::clone(self).report(ticket, node, report));
        }
        true
    }

    /// Goes on with what an earlier agent left.
    fn restore(self: &Rc<Self>, attempts: Vec<(Key, Record)>, lease_lasts: bool) {
        if !lease_lasts {
            // Of another session: nothing of it counts, whatever runs is ended.
            for (key, _) in &attempts {
                let mark = self.mark(key);
                if let Err(e) = end_all(|| marked(MARK, &mark), GONE) {
                    tracing::error!(task = %key.task, error = %e, "it cannot be ended");
                }
                self.clear(key);
            }
            return;
        }
        let mut kept = Vec::new();
        for (key, record) in attempts {
            let mut found = self.find(&key);
            if record.state != TaskState::Exited {
                let job = self.job(key.job());
                match (&found, job) {
                    (Found::Runs, Some(job)) => {
                        let dir = self.attempt_dir(&key);
                        let child = None;
                        let running = Running { dir, job, child };
                        self.running.borrow_mut().insert(key.clone(), running);
                    }
                    (Found::Ended(exit), Some(job)) => {
                        // Published before it is told, as at any end.
                        let dir = self.attempt_dir(&key);
                        if exit.code == 0
                            && !exit.stopped
                            && let Err(e) = self.store.publish(
                                &key,
                                &self.settings.machine.id,
                                &dir.join("work/out"),
                            )
                        {
                            tracing::error!(task = %key.task, error = %e, "not published");
                            found = Found::Lost;
                        }
                        drop(job);
                    }
                    // The agent was killed before or while it forked: a shim that
                    // is about to begin finds its directory gone, and one that has
                    // begun meanwhile is ended. Then nothing of it ran for long,
                    // and it is begun anew.
                    (Found::Nothing, _) => {
                        self.clear(&key);
                        self.bury(&key);
                    }
                    _ => {
                        self.bury(&key);
                    }
                }
            }
            kept.push((key, record, found));
        }
        self.worker.borrow_mut().attempts.restored(now(), kept);
    }
}

/// Serves as the worker of a machine until it is killed; its tasks live on for as
/// long as their lease lasts, and an agent started again by then goes on with them.
///
/// # Errors
/// Its directory, journal or address cannot be used; a second agent of one machine
/// is refused.
pub fn serve(settings: Settings) -> Result<(), AgentError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io("the runtime"))?;
    LocalSet::new().block_on(&runtime, run(settings))
}

/// The journal, once it is free: an agent that is killed while it forks may leave a
/// child that holds its lock until it has become a shim.
async fn held(path: &Path) -> Result<Journal, JournalError> {
    let mut tries = 0;
    loop {
        match Journal::open(path) {
            Err(e) if e.taken() && tries < LOCK_TRIES => tries += 1,
            other => return other,
        }
        sleep(LOCK_PAUSE).await;
    }
}

async fn run(settings: Settings) -> Result<(), AgentError> {
    let dir = settings.dir.clone();
    std::fs::create_dir_all(dir.join("attempts")).map_err(io(dir.display()))?;
    // Held before anything is looked at: there is one agent for a directory.
    let journal = held(&dir.join("journal.redb")).await?;
    let addr = settings.machine.addr;
    let listener = TcpListener::bind(addr).await.map_err(io(addr))?;
    let kept = journal.read()?;
    let boot = boot_id().map_err(io("the machine's start"))?;
    let lease = shim::read::<Lease>(&dir.join(LEASE)).map_err(|e| e.to_string());
    let t = settings.times;
    let pace = pace(t.report_s, t.lease_s);
    let begun = now();
    let start = resume::start(&kept, lease, &boot, begun, pace);
    let epoch = start.link.epoch;
    match &start.refusal {
        None | Some(LeaseRefusal::FirstStart) => {}
        Some(refusal) => {
            tracing::warn!(epoch = epoch.0, reason = %refusal, "lease not resumed, next epoch begins");
        }
    }
    let mut changes = vec![Change::Epoch(epoch)];
    if start.refusal.is_some() {
        changes.extend(kept.attempts.iter().map(|(k, _)| Change::Strike(k.clone())));
    }
    let mut rng = StdRng::seed_from_u64(rand::random());
    let nodes = settings.controllers.len();
    let link = Link::resumed(pace, nodes, begun, start.link, &mut rng);
    let times = Times {
        gang_wait: TimeSpan::secs(t.gang_wait_s),
    };
    let worker = Worker::new(settings.machine(), settings.labels(), link, times);
    let shared = Rc::new(Shared {
        store: Store(settings.store.clone()),
        settings,
        boot,
        journal,
        worker: RefCell::new(worker),
        rng: RefCell::new(rng),
        client: Client::default(),
        running: RefCell::default(),
        meeting: RefCell::default(),
        ticket: Cell::new(0),
        failed: RefCell::default(),
    });
    // What ran is ended before its session is left behind on disk.
    shared.restore(kept.attempts, start.refusal.is_none());
    shared.journal.write(&changes)?;
    tracing::info!(machine = %shared.settings.machine.id, epoch = epoch.0, "serving");
    let door = Rc::clone(&shared);
    spawn_local(answer_connections(listener, move |r| {
        Rc::clone(&door).serve(r)
    }));
    while shared.step() {
        sleep(STEP).await;
    }
    let failed = shared.failed.borrow_mut().take();
    match failed {
        Some(e) => Err(e),
        None => Ok(()),
    }
}
