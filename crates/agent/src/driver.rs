//! The agent's process: sockets, clock, files and task processes around [`Worker`]. Effects
//! are performed in their order, and an effect that follows a record only once the record
//! would survive a loss of power.

use crate::attempts::{AttemptKey, Effect, Record, RecoveredState, Timeouts};
use crate::journal::{Change, Journal, JournalError};
use crate::link::{HEARTBEAT_TIMEOUT, Link};
use crate::process::{boot_id, find_marked, kill_all};
use crate::resume::{self, LeaseRefusal};
use crate::settings::Settings;
use crate::shim::{
    self, EXIT_FILE, Exit, Lease, Limits, MARKER_VARIABLE, PLAN_FILE, Plan, SHIM_FILE, STOP_FILE,
    ShimInfo, StopRequest, boottime_us,
};
use crate::store::{NEXT_CHECKPOINT_DIR, SharedDir};
use crate::worker::{Worker, link_times};
use pebblefold_net::{Client, SentFlag, answer_connections};
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

/// Pause between two steps of the agent.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a job's description, and of its command, in bytes.
const MAX_JOB_BYTES: u64 = 1024 * 1024;
/// How long killed processes may take to be gone.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a locked journal is tried again.
const MAX_LOCK_RETRIES: u32 = 30;
/// Pause before a locked journal is tried again.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The file in the agent's directory that holds its lease, for the shims and for a restart.
pub const LEASE_FILE: &str = "lease.json";
/// A file in the agent's directory: while it exists, the agent refuses new attempts.
pub const DRAIN_FILE: &str = "drain";

/// Why an agent cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The journal fails. The agent exits immediately: what isn't recorded must not be
    /// reported, and the shims end its tasks when the lease expires.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// A file or socket fails.
    #[error("{0}: {1}")]
    Io(String, Error),
}

fn io_error(what: impl std::fmt::Display) -> impl FnOnce(Error) -> AgentError {
    let what = what.to_string();
    |e| AgentError::Io(what, e)
}

/// An attempt that was started and whose end wasn't handled yet. `child` is its shim;
/// `None` if an earlier agent started it, or if the shim was already waited for.
struct RunningAttempt {
    dir: PathBuf,
    job: Rc<Submission>,
    child: Option<Child>,
}

struct Driver {
    settings: Settings,
    shared_dir: SharedDir,
    boot: String,
    journal: Journal,
    worker: RefCell<Worker>,
    rng: RefCell<StdRng>,
    client: Client,
    running: RefCell<BTreeMap<AttemptKey, RunningAttempt>>,
    /// Gangs' tasks that wait for the other tasks.
    gang_waiting: RefCell<BTreeMap<AttemptKey, Rc<Submission>>>,
    request_id: Cell<u64>,
    fatal_error: RefCell<Option<AgentError>>,
}

fn now() -> Time {
    Time(boottime_us())
}

/// The name of an attempt's directory, which is also part of the marker of its processes.
fn attempt_name(machine: &str, key: &AttemptKey) -> String {
    format!("{machine}@{}@{}", key.task.replace('/', "@"), key.attempt)
}

impl Driver {
    fn attempt_dir(&self, key: &AttemptKey) -> PathBuf {
        let name = attempt_name(&self.settings.machine.id, key);
        self.settings.dir.join("attempts").join(name)
    }

    fn marker(&self, key: &AttemptKey) -> String {
        // The directory keeps two agents on one computer apart that have the same machine
        // id.
        format!(
            "{}:{}",
            self.settings.dir.display(),
            attempt_name(&self.settings.machine.id, key)
        )
    }

    /// Performs all effects in order. Consecutive records are one write.
    fn perform_effects(self: &Rc<Self>) -> Result<(), AgentError> {
        loop {
            let effects = self.worker.borrow_mut().take_effects();
            if effects.is_empty() {
                return Ok(());
            }
            let mut batch: Vec<Change> = Vec::new();
            for e in effects {
                let change = match e {
                    Effect::Record(k, r) => Some(Change::Attempt(k, r)),
                    Effect::DeleteRecord(k) => Some(Change::DeleteRecord(k)),
                    Effect::Token(t) => Some(Change::Token(t)),
                    Effect::Epoch(s) => Some(Change::Epoch(s)),
                    other => {
                        self.journal.write(&std::mem::take(&mut batch))?;
                        self.perform(other)?;
                        None
                    }
                };
                batch.extend(change);
            }
            self.journal.write(&batch)?;
        }
    }

    fn perform(&self, e: Effect) -> Result<(), AgentError> {
        match e {
            Effect::LoadJob(job) => {
                let found = self.read_job(&job);
                self.worker.borrow_mut().attempts.job_loaded(&job, found);
            }
            // Images are assumed to be on the machine already.
            Effect::FetchImage(key, _) => {
                self.worker
                    .borrow_mut()
                    .attempts
                    .image_fetched(now(), &key, true);
            }
            Effect::CancelStart(key) => {
                if self.gang_waiting.borrow_mut().remove(&key).is_some() {
                    self.shared_dir.mark_absent(&key);
                }
            }
            Effect::JoinGang(key, job) => {
                self.shared_dir
                    .mark_present(&key)
                    .map_err(io_error("gang directory"))?;
                self.gang_waiting.borrow_mut().insert(key, job);
            }
            Effect::Spawn(key, job) => {
                if self.worker.borrow().link().expired(now()) {
                    // The attempt is forgotten with all others when the next epoch begins.
                    tracing::info!(task = %key.task, attempt = key.attempt, "not started: the lease has expired");
                } else {
                    self.spawn(key, job);
                }
            }
            Effect::Stop(key, grace_s) => self.stop(&key, grace_s),
            Effect::Remove(key) => {
                // A running attempt was stopped by an earlier effect. Its processes have to
                // be proven gone before any heartbeat omits the attempt.
                if self.running.borrow_mut().remove(&key).is_some()
                    && !self.kill_remaining(&key).gone
                {
                    let e = Error::other("the attempt's processes cannot be killed");
                    return Err(AgentError::Io(key.task, e));
                }
                self.remove_dir(&key);
            }
            Effect::Record(..) | Effect::DeleteRecord(_) | Effect::Token(_) | Effect::Epoch(_) => {}
        }
        Ok(())
    }

    fn read_bounded(path: &Path) -> Option<Vec<u8>> {
        let size = std::fs::metadata(path).ok()?.len();
        (size <= MAX_JOB_BYTES).then(|| std::fs::read(path).ok())?
    }

    fn read_job(&self, job: &str) -> Option<Rc<Submission>> {
        let bytes = Driver::read_bounded(&self.settings.jobs.join("jobs").join(job))?;
        decode(&bytes).map(Rc::new)
    }

    fn read_command(&self, job: &str) -> Option<CommandSpec> {
        decode(&Driver::read_bounded(
            &self.settings.jobs.join("commands").join(job),
        )?)
    }

    /// Starts an attempt's command, unless its task's result is published already.
    fn spawn(&self, key: AttemptKey, job: Rc<Submission>) {
        let started = if self.shared_dir.published(&key).is_some() {
            Err(Exit {
                gone: true,
                ..Exit::default()
            })
        } else {
            self.start_shim(&key, &job).map_err(|e| Exit {
                code: 127,
                gone: true,
                not_started: Some(e.to_string()),
                ..Exit::default()
            })
        };
        match started {
            Ok(child) => {
                let running = RunningAttempt {
                    dir: self.attempt_dir(&key),
                    job,
                    child: Some(child),
                };
                self.running.borrow_mut().insert(key, running);
            }
            Err(exit) => {
                if let Some(why) = &exit.not_started {
                    tracing::warn!(task = %key.task, attempt = key.attempt, why, "task not started");
                }
                self.worker.borrow_mut().attempts.exited(&key, &exit);
            }
        }
    }

    fn start_shim(&self, key: &AttemptKey, job: &Submission) -> Result<Child, Error> {
        let spec = self.read_command(key.job()).ok_or_else(|| {
            Error::other("the command specification cannot be read, or is larger than 1 MiB")
        })?;
        let dir = self.attempt_dir(key);
        std::fs::create_dir_all(&dir)?;
        let task_dir = self.shared_dir.create_task_dir(key)?;
        let mut env = spec.env.clone();
        let index = key.task.rsplit('/').next().unwrap_or("0").to_string();
        let text = |p: PathBuf| p.display().to_string();
        env.extend([
            ("PEBBLEFOLD_JOB".into(), key.job().into()),
            ("PEBBLEFOLD_INDEX".into(), index),
            ("PEBBLEFOLD_TASKS".into(), job.tasks.to_string()),
            ("PEBBLEFOLD_TRY".into(), key.attempt.to_string()),
            ("PEBBLEFOLD_OUT".into(), text(dir.join("work/out"))),
            ("PEBBLEFOLD_SAVES".into(), text(task_dir.clone())),
            (
                "PEBBLEFOLD_SAVE".into(),
                text(task_dir.join(NEXT_CHECKPOINT_DIR)),
            ),
        ]);
        if let Some((n, newest)) = self.shared_dir.newest_checkpoint(key) {
            env.insert("PEBBLEFOLD_RESUME".into(), text(newest));
            env.insert("PEBBLEFOLD_RESUME_NUMBER".into(), n.to_string());
        }
        std::fs::create_dir_all(dir.join("work/out"))?;
        let task_limits = &self.settings.limits;
        let memory = (job.memory_gb * 1024.0 * 1024.0 * 1024.0) as u64;
        let plan = Plan {
            attempt: self.marker(key),
            argv: spec.argv,
            env,
            dir: dir.join("work"),
            limits: Limits {
                memory: task_limits.memory.then_some(memory),
                files: task_limits.files,
                output: task_limits.output_mb * 1024 * 1024,
                time_s: spec.time_limit_s,
                ..Limits::default()
            },
            lease: Some(self.settings.dir.join(LEASE_FILE)),
            epoch: self.worker.borrow().link().epoch().0,
        };
        shim::write_atomically(&dir.join(PLAN_FILE), &serde_json::to_vec(&plan)?)?;
        // In a process group of its own: what kills the agent's group doesn't kill the
        // shim.
        Command::new(std::env::current_exe()?)
            .arg("shim")
            .arg(&dir)
            .env(MARKER_VARIABLE, self.marker(key))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()
    }

    /// Removes an attempt's directory. It is renamed first, so that a shim that is just
    /// starting finds nothing there.
    fn remove_dir(&self, key: &AttemptKey) {
        let dir = self.attempt_dir(key);
        let mut removed = dir.clone().into_os_string();
        removed.push("~gone");
        // What cannot be removed does no harm.
        let _ = std::fs::rename(&dir, &removed);
        let _ = std::fs::remove_dir_all(removed);
    }

    fn stop(&self, key: &AttemptKey, grace_s: f64) {
        let dir = self.attempt_dir(key);
        let text = serde_json::to_vec(&StopRequest { grace_s }).unwrap_or_default();
        if let Err(e) = shim::write_atomically(&dir.join(STOP_FILE), &text) {
            // The directory is gone or the disk full: the agent kills the task itself.
            tracing::error!(task = %key.task, error = %e, "the stop request cannot be written; killing the task");
            let marker = self.marker(key);
            if let Err(e) = kill_all(|| find_marked(MARKER_VARIABLE, &marker), KILL_TIMEOUT) {
                tracing::error!(task = %key.task, error = %e, "processes cannot be killed");
            }
        }
    }

    /// Polls the running attempts for exits, and for shims that died without writing one.
    fn poll_running(&self) {
        let keys: Vec<AttemptKey> = self.running.borrow().keys().cloned().collect();
        for key in keys {
            let found = self.inspect_attempt(&key);
            let exit = match found {
                RecoveredState::Ended(exit) => exit,
                RecoveredState::Alive => continue,
                RecoveredState::NotStarted | RecoveredState::Lost => {
                    // A shim needs a moment until it has claimed the directory.
                    let is_starting = self.running.borrow_mut().get_mut(&key).is_some_and(|r| {
                        let child = r.child.as_mut();
                        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
                    });
                    if is_starting {
                        continue;
                    }
                    match self.inspect_attempt(&key) {
                        RecoveredState::Ended(exit) => exit,
                        _ => self.kill_remaining(&key),
                    }
                }
            };
            let Some(mut r) = self.running.borrow_mut().remove(&key) else {
                continue;
            };
            if let Some(c) = &mut r.child {
                // The shim has written the exit and is about to end.
                let _ = c.wait();
            }
            self.finish(&key, &r.job, &r.dir, &exit);
        }
    }

    /// Kills what is left of an attempt whose shim died without writing an exit.
    fn kill_remaining(&self, key: &AttemptKey) -> Exit {
        let marker = self.marker(key);
        let gone =
            kill_all(|| find_marked(MARKER_VARIABLE, &marker), KILL_TIMEOUT).unwrap_or(false);
        Exit {
            code: -1,
            gone,
            not_started: None,
            ..Exit::default()
        }
    }

    /// Handles an attempt's exit. A result is published before it is reported.
    fn finish(&self, key: &AttemptKey, job: &Submission, dir: &Path, exit: &Exit) {
        let mut exit = exit.clone();
        if !exit.gone {
            // Without the proof that the processes are gone, heartbeats keep listing the
            // attempt as before.
            tracing::error!(task = %key.task, "processes cannot be killed; retrying");
            let shared_job = Rc::new(job.clone());
            let unfinished = RunningAttempt {
                dir: dir.into(),
                job: shared_job,
                child: None,
            };
            self.running.borrow_mut().insert(key.clone(), unfinished);
            return;
        }
        if exit.code == 0 && !exit.stopped {
            let machine = &self.settings.machine.id;
            if let Err(e) = self.shared_dir.publish(key, machine, &dir.join("work/out")) {
                tracing::error!(task = %key.task, error = %e, "result cannot be published; the attempt counts as failed");
                exit.code = -1;
            } else if job.shape == JobShape::Gang {
                // The other tasks then don't count its silence as a loss.
                let _ = self.shared_dir.mark_complete(key);
            }
        }
        if exit.code != 0 {
            self.shared_dir.remove_old_checkpoints(key);
            if job.shape == JobShape::Gang {
                self.shared_dir.mark_absent(key);
            }
        }
        self.worker.borrow_mut().attempts.exited(key, &exit);
    }

    /// The state of an attempt, by the files in its directory and its shim's process.
    fn inspect_attempt(&self, key: &AttemptKey) -> RecoveredState {
        let dir = self.attempt_dir(key);
        if let Ok(exit) = shim::read_json::<Exit>(&dir.join(EXIT_FILE)) {
            return RecoveredState::Ended(exit);
        }
        match shim::read_json::<ShimInfo>(&dir.join(SHIM_FILE)) {
            Ok(b) if b.shim.is_running() => RecoveredState::Alive,
            Ok(_) => match shim::read_json::<Exit>(&dir.join(EXIT_FILE)) {
                // The shim ended after the first read.
                Ok(exit) => RecoveredState::Ended(exit),
                Err(_) => RecoveredState::Lost,
            },
            Err(_) if dir.join(SHIM_FILE).exists() => RecoveredState::Lost,
            Err(_) => RecoveredState::NotStarted,
        }
    }

    /// Renews the presence of this machine's gang tasks, and checks that of the others.
    fn check_gangs(&self) {
        let max_silence = Duration::from_secs_f64(self.settings.times.gang_peer_s);
        let waiting: Vec<(AttemptKey, Rc<Submission>)> = self
            .gang_waiting
            .borrow()
            .iter()
            .map(|(k, j)| (k.clone(), Rc::clone(j)))
            .collect();
        for (key, job) in waiting {
            let _ = self.shared_dir.mark_present(&key);
            if self
                .shared_dir
                .present(&key, job.tasks, max_silence)
                .iter()
                .all(|p| *p)
            {
                self.gang_waiting.borrow_mut().remove(&key);
                self.worker.borrow_mut().attempts.gang_complete(&key);
            }
        }
        let running: Vec<(AttemptKey, Rc<Submission>)> = self
            .running
            .borrow()
            .iter()
            .filter(|(_, r)| r.job.shape == JobShape::Gang && r.job.tasks > 1)
            .map(|(k, r)| (k.clone(), Rc::clone(&r.job)))
            .collect();
        for (key, job) in running {
            let _ = self.shared_dir.mark_present(&key);
            if !self
                .shared_dir
                .present(&key, job.tasks, max_silence)
                .iter()
                .all(|p| *p)
            {
                self.worker.borrow_mut().attempts.peer_lost(&key);
            }
        }
    }

    /// Writes the lease to the file that the shims read. The file isn't synced: after a
    /// loss of power the boot id differs, and the lease doesn't count.
    fn write_lease(&self) -> Result<(), AgentError> {
        let lease = Lease {
            boot: self.boot.clone(),
            epoch: self.worker.borrow().link().epoch().0,
            until_us: self.worker.borrow().link().until().0,
        };
        let path = self.settings.dir.join(LEASE_FILE);
        let temporary = path.with_extension("part");
        let bytes = serde_json::to_vec(&lease).unwrap_or_default();
        std::fs::write(&temporary, bytes)
            .and_then(|()| std::fs::rename(&temporary, &path))
            .map_err(io_error(path.display()))
    }

    async fn send_heartbeat(
        self: Rc<Self>,
        request_id: u64,
        controller: usize,
        heartbeat: Heartbeat,
    ) {
        let Some(c) = self.settings.controllers.get(controller) else {
            return;
        };
        let (body, sent) = (encode(&heartbeat), SentFlag::default());
        let response = self
            .client
            .exchange(c.addr, "POST", "/checkin", &body, &sent);
        let patience = Duration::from_micros(HEARTBEAT_TIMEOUT.0);
        let answer = match timeout(patience, response).await {
            Ok(Ok(r)) => Some((r.status, r.body)),
            Ok(Err(_)) | Err(_) => None,
        };
        let answer = answer.as_ref().map(|(s, b)| (*s, b.as_slice()));
        let (mut worker, mut rng) = (self.worker.borrow_mut(), self.rng.borrow_mut());
        worker.answered(now(), request_id, answer, &mut *rng);
        drop((worker, rng));
        self.apply();
    }

    /// Writes the lease and performs the pending effects. A failure ends the agent.
    fn apply(self: &Rc<Self>) {
        let result = self.write_lease().and_then(|()| self.perform_effects());
        if let Err(e) = result {
            self.fatal_error.borrow_mut().get_or_insert(e);
        }
    }

    async fn handle_request(self: Rc<Self>, r: Request) -> Option<Response> {
        // The answer and the commands belong to the epoch whose lease is valid now.
        self.worker.borrow_mut().advance(now());
        let status = match (r.method.as_str(), r.path.as_str()) {
            ("POST", "/commands") => self.worker.borrow_mut().handle_commands(now(), &r.body),
            ("GET", "/inspect") => 200,
            _ => 404,
        };
        // The answer reports what was done: it is performed first, and its records would
        // survive.
        self.apply();
        if self.fatal_error.borrow().is_some() {
            return None;
        }
        let body = match status {
            // Performing the effects may have taken longer than the lease.
            200 | 409 => encode(&self.worker.borrow_mut().build_heartbeat(now())?),
            _ => Vec::new(),
        };
        Some(Response {
            status,
            retry_after: None,
            body,
            close: false,
        })
    }

    /// One step; false once the agent has to exit.
    fn step(self: &Rc<Self>) -> bool {
        if self.settings.dir.join(DRAIN_FILE).exists() {
            self.worker.borrow_mut().attempts.drain();
        }
        self.worker.borrow_mut().advance(now());
        self.poll_running();
        self.check_gangs();
        self.apply();
        let request_id = self.request_id.get() + 1;
        let due = {
            let (mut worker, mut rng) = (self.worker.borrow_mut(), self.rng.borrow_mut());
            worker.due(now(), request_id, &mut *rng)
        };
        if self.fatal_error.borrow().is_some() {
            return false;
        }
        if let Some((controller, heartbeat)) = due {
            self.request_id.set(request_id);
            spawn_local(Rc::clone(self).send_heartbeat(request_id, controller, heartbeat));
        }
        true
    }

    /// Resumes the attempts that an earlier agent left; if `resumes` is false, ends them
    /// instead.
    fn restore(self: &Rc<Self>, attempts: Vec<(AttemptKey, Record)>, resumes: bool) {
        if !resumes {
            // Attempts of an ended epoch: nothing of them counts, and whatever still runs
            // is killed.
            for (key, _) in &attempts {
                let marker = self.marker(key);
                if let Err(e) = kill_all(|| find_marked(MARKER_VARIABLE, &marker), KILL_TIMEOUT) {
                    tracing::error!(task = %key.task, error = %e, "processes cannot be killed");
                }
                self.remove_dir(key);
            }
            return;
        }
        let mut journaled = Vec::new();
        for (key, record) in attempts {
            let mut found = self.inspect_attempt(&key);
            if record.state != TaskState::Exited {
                let job = self.read_job(key.job());
                match (&found, job) {
                    (RecoveredState::Alive, Some(job)) => {
                        let dir = self.attempt_dir(&key);
                        let child = None;
                        let running = RunningAttempt { dir, job, child };
                        self.running.borrow_mut().insert(key.clone(), running);
                    }
                    (RecoveredState::Ended(exit), Some(job)) => {
                        // Published before it is reported, as in [`Driver::finish`].
                        let dir = self.attempt_dir(&key);
                        if exit.code == 0
                            && !exit.stopped
                            && let Err(e) = self.shared_dir.publish(
                                &key,
                                &self.settings.machine.id,
                                &dir.join("work/out"),
                            )
                        {
                            tracing::error!(task = %key.task, error = %e, "result cannot be published; the attempt counts as lost");
                            found = RecoveredState::Lost;
                        }
                        drop(job);
                    }
                    // The earlier agent was killed before or while it forked the shim. A
                    // shim that is just starting finds its directory gone, and one that has
                    // started meanwhile is killed. Nothing of the attempt ran for long, and
                    // it is started again.
                    (RecoveredState::NotStarted, _) => {
                        self.remove_dir(&key);
                        self.kill_remaining(&key);
                    }
                    _ => {
                        self.kill_remaining(&key);
                    }
                }
            }
            journaled.push((key, record, found));
        }
        self.worker.borrow_mut().attempts.restored(now(), journaled);
    }
}

/// Runs a machine's agent until it is killed. Tasks outlive the agent until their lease
/// expires; an agent that is restarted by then resumes them.
///
/// # Errors
/// The directory, journal or address cannot be used, for instance as another agent of the
/// same machine uses them.
pub fn serve(settings: Settings) -> Result<(), AgentError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io_error("async runtime"))?;
    LocalSet::new().block_on(&runtime, run_agent(settings))
}

/// Opens the journal once it is unlocked: an agent that is killed while it forks may leave
/// a child that holds the lock until it executes the shim.
async fn open_journal(path: &Path) -> Result<Journal, JournalError> {
    let mut tries = 0;
    loop {
        match Journal::open(path) {
            Err(e) if e.is_locked() && tries < MAX_LOCK_RETRIES => tries += 1,
            other => return other,
        }
        sleep(LOCK_RETRY_DELAY).await;
    }
}

async fn run_agent(settings: Settings) -> Result<(), AgentError> {
    let dir = settings.dir.clone();
    std::fs::create_dir_all(dir.join("attempts")).map_err(io_error(dir.display()))?;
    // Locked before anything is read: only one agent may use a directory.
    let journal = open_journal(&dir.join("journal.redb")).await?;
    let addr = settings.machine.addr;
    let listener = TcpListener::bind(addr).await.map_err(io_error(addr))?;
    let contents = journal.read()?;
    let boot = boot_id().map_err(io_error("boot id"))?;
    let lease = shim::read_json::<Lease>(&dir.join(LEASE_FILE)).map_err(|e| e.to_string());
    let times = settings.times;
    let link_times = link_times(times.report_s, times.lease_s);
    let start_time = now();
    let start = resume::decide_start(&contents, lease, &boot, start_time, link_times);
    let epoch = start.link.epoch;
    match &start.refusal {
        None | Some(LeaseRefusal::FirstStart) => {}
        Some(refusal) => {
            tracing::warn!(epoch = epoch.0, reason = %refusal, "lease not resumed, next epoch begins");
        }
    }
    let mut changes = vec![Change::Epoch(epoch)];
    if start.refusal.is_some() {
        changes.extend(
            contents
                .attempts
                .iter()
                .map(|(k, _)| Change::DeleteRecord(k.clone())),
        );
    }
    let mut rng = StdRng::seed_from_u64(rand::random());
    let controller_count = settings.controllers.len();
    let link = Link::resumed(
        link_times,
        controller_count,
        start_time,
        start.link,
        &mut rng,
    );
    let timeouts = Timeouts {
        gang_wait: TimeSpan::secs(times.gang_wait_s),
    };
    let worker = Worker::new(
        settings.machine(),
        settings.controller_ids(),
        link,
        timeouts,
    );
    let driver = Rc::new(Driver {
        shared_dir: SharedDir(settings.store.clone()),
        settings,
        boot,
        journal,
        worker: RefCell::new(worker),
        rng: RefCell::new(rng),
        client: Client::default(),
        running: RefCell::default(),
        gang_waiting: RefCell::default(),
        request_id: Cell::new(0),
        fatal_error: RefCell::default(),
    });
    // Running tasks of an ended epoch are killed before the journal moves to the next
    // epoch.
    driver.restore(contents.attempts, start.refusal.is_none());
    driver.journal.write(&changes)?;
    tracing::info!(machine = %driver.settings.machine.id, epoch = epoch.0, "serving");
    let handler = Rc::clone(&driver);
    spawn_local(answer_connections(listener, move |r| {
        Rc::clone(&handler).handle_request(r)
    }));
    while driver.step() {
        sleep(STEP_INTERVAL).await;
    }
    let fatal_error = driver.fatal_error.borrow_mut().take();
    match fatal_error {
        Some(e) => Err(e),
        None => Ok(()),
    }
}
