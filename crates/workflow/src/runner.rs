//! A workflow on a cluster. The runner is a user as any other: each task is a job,
//! submitted by the users' protocol under an id that follows from the workflow's
//! name and the task's path, so that a repeated submission is the same job.

use crate::cache::Cache;
use crate::document::{Kind, Process};
use crate::engine::{Action, Engine, Object, Outcome, Task, TaskPath, expression};
use crate::expression::Limits;
use crate::files::{Local, hashes, read_json, write_whole, written};
use crate::needs::Retry;
use crate::plan::{Allowed, Lost, Try, again, job_id};
use crate::records::{Claim, End, Entry, RecordError, Records};
use crate::tool::{CommandLine, Ended, command_line, ended, inputs, outputs, reusable};
use pebblefold_client::{Client, ClientError, RetryPolicy};
use pebblefold_net::{Client as Net, SentFlag};
use pebblefold_wire::command::{
    CommandSpec, EXIT_FILE, ExitRecord, REFUSED_FILE, RestartPolicy, StagedFile,
    WORKING_DIR_PLACEHOLDER,
};
use pebblefold_wire::encode;
use pebblefold_wire::types::{JobId, TimeSpan};
use pebblefold_wire::users::{JobStage, Submission};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Time between looks at a job: at first, and at most.
const LOOKS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(5));
/// Time between looks at a job's directory.
const GLANCE: Duration = Duration::from_millis(100);
/// How long an upload of a description may take.
const UPLOAD: Duration = Duration::from_secs(10);
/// Tries of an upload.
const UPLOADS: u32 = 30;
/// Time between renewals of a runner's claim, and looks at who asked to cancel.
const RENEW: Duration = Duration::from_secs(2);
/// How long a submission that was on its way may still arrive.
const LATE: Duration = Duration::from_secs(6);
/// The file, in a workflow's directory, that says how it was run.
pub const RUN: &str = "run.json";
/// The file, in a job's directory, that says what it is for.
pub const JOB: &str = "job.json";

/// How a workflow is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name: with the document and inputs it tells it from every other.
    pub name: String,
    /// Where users reach the cluster; descriptions are uploaded there too.
    pub front: SocketAddrV4,
    /// Where its records are kept.
    pub state: SocketAddrV4,
    /// A directory that all machines share.
    pub work: PathBuf,
    /// What its steps may ask for.
    pub allowed: Allowed,
    /// Tasks at once.
    pub at_once: usize,
    /// Finished steps to use again.
    pub cache: Option<Cache>,
    /// Who runs it.
    pub by: String,
}

/// Why a workflow did not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// It failed; the text names the step.
    #[error("{0}")]
    Failed(String),
    /// It was cancelled.
    #[error("cancelled by {0}")]
    Cancelled(String),
    /// Something in it is not carried out, or asks for too much.
    #[error("{0}")]
    Refused(String),
    /// Its records.
    #[error(transparent)]
    Records(#[from] RecordError),
    /// A file.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

/// What happens meanwhile, for those who watch.
#[derive(Clone, Debug)]
pub enum News {
    /// A task was submitted as this job.
    Submitted(TaskPath, JobId),
    /// A task is run again, for this reason.
    Again(TaskPath, String),
    /// A task was found in the cache, as this job made it.
    Reused(TaskPath, String),
    /// A task ended.
    Ended(TaskPath, Result<(), String>),
    /// So many outcomes were found recorded.
    Resumed(usize),
    /// So many tasks are known so far, and so many of them are over.
    Known(usize, usize),
    /// So many transactions were written to the state service.
    Written(u64),
}

/// What a job of a step is for, and what came of it: the step's part of the
/// workflow's history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepRecord {
    /// The step.
    pub path: String,
    /// Its job.
    pub job: String,
    /// Who ran the workflow.
    pub by: String,
    /// The tool's file and hash.
    pub tool: String,
    /// Likewise.
    pub tool_hash: String,
    /// Its inputs.
    pub inputs: Object,
    /// Hashes of the files in them, by path.
    pub input_hashes: BTreeMap<String, String>,
    /// The job as submitted.
    pub submission: Submission,
    /// When it was first submitted, in milliseconds since 1970.
    pub submitted_ms: u64,
}

/// What is kept of a step that is done.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kept {
    /// Its outputs.
    pub outputs: Object,
    /// The job that made them.
    pub job: String,
    /// Whether they were made earlier, and used again.
    #[serde(default)]
    pub reused: bool,
}

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Tells a workflow with its inputs from every other: by all that it says, not by
/// where its files stand.
pub fn fingerprint(p: &Process, inputs: &Object) -> String {
    fn add(p: &Process, hash: &mut blake3::Hasher) {
        hash.update(p.hash.as_bytes());
        if let Kind::Workflow(steps) = &p.kind {
            for run in steps.iter().filter_map(|s| s.run.as_ref()) {
                add(run, hash);
            }
        }
    }
    let mut hash = blake3::Hasher::new();
    add(p, &mut hash);
    hash.update(b"\0");
    hash.update(&serde_json::to_vec(inputs).unwrap_or_default());
    hash.finalize().to_hex().to_string()
}

struct Shared {
    options: Options,
    client: Client,
    net: Net,
    limits: Limits,
    round: u32,
    /// The job of each task under way.
    jobs: RefCell<BTreeMap<TaskPath, JobId>>,
    /// Until when this runner's claim stands.
    claimed: Cell<Instant>,
    news: mpsc::UnboundedSender<News>,
}

/// The place of a workflow's files.
pub fn place(work: &Path, name: &str) -> PathBuf {
    work.join(name)
}

/// The file that keeps a step's outputs.
fn kept_file(work: &Path, name: &str, path: &TaskPath) -> PathBuf {
    let id = job_id(name, path, Try::default());
    place(work, name).join(format!("{id}.json"))
}

/// What is kept of a step that is recorded as done.
///
/// # Errors
/// The file is not there or cannot be read.
pub fn kept(work: &Path, name: &str, path: &TaskPath) -> Result<Kept, RunError> {
    let file = kept_file(work, name, path);
    read_json(&file).map_err(|e| RunError::Io(file, e))
}

fn client(front: SocketAddrV4) -> Client {
    let policy = RetryPolicy {
        deadline: TimeSpan::millis(60_000),
        ..RetryPolicy::default()
    };
    Client::new(vec![front], policy)
}

/// Runs a workflow to its end, or on to its end if it was begun before.
///
/// # Errors
/// It failed or was cancelled, or its records cannot be reached: then the same
/// call goes on.
pub async fn run(
    process: Rc<Process>,
    inputs: Object,
    options: Options,
    mut tell: impl FnMut(News),
) -> Result<Object, RunError> {
    let not = options.allowed.refused(&process);
    if !not.is_empty() {
        let all: Vec<String> = not.into_iter().collect();
        return Err(RunError::Refused(all.join("\n")));
    }
    let limits = Limits::default();
    let fingerprint = fingerprint(&process, &inputs);
    let mut engine = Engine::new(process, inputs, options.at_once, limits);
    // Before the name is taken: a slip in the inputs must not use it up.
    if engine.over()
        && let Some(Action::End(Err(e))) = engine.advance().pop()
    {
        return Err(RunError::Refused(e));
    }
    let (state, name) = (options.state, options.name.clone());
    let mut records = Records::open(state, &name, &fingerprint, &options.by, now_ms()).await?;
    match &records.head().end {
        Some(End::Failed(why)) => {
            return Err(RunError::Failed(format!(
                "{why}\nit stays failed; pebblectl workflow resume {name} --again takes it up again"
            )));
        }
        Some(End::Cancelled(by)) => return Err(RunError::Cancelled(by.clone())),
        Some(End::Done) | None => {}
    }
    let runner = format!("{}-{}", std::process::id(), now_ms());
    let mut claim = Claim::new(state, &name, &runner).await?;
    let (_, until) = claim.renew().await?;
    let (news, mut told) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        client: client(options.front),
        net: Net::default(),
        options,
        limits,
        round: records.head().round,
        jobs: RefCell::default(),
        claimed: Cell::new(until),
        news,
    });
    let mut over = 0;
    for (path, entry) in records.all() {
        let outcome = match entry {
            Entry::Done => Outcome::Done(kept(&shared.options.work, &name, &path)?.outputs),
            Entry::Failed(e) => Outcome::Failed(e.clone()),
        };
        engine.outcome(path, outcome);
        over += 1;
    }
    tell(News::Resumed(over));
    let mut known = over;
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut tasks: BTreeMap<TaskPath, JoinHandle<()>> = BTreeMap::new();
    let mut renewals = tokio::time::interval(RENEW);
    let mut stopping: Vec<(TaskPath, JobId)> = Vec::new();
    let ended = 'end: loop {
        let mut actions = engine.advance();
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Run(task) => {
                        known += 1;
                        let (shared, tx) = (Rc::clone(&shared), tx.clone());
                        let path = task.path.clone();
                        let work = spawn_local(async move {
                            let outcome = shared.task(&task).await;
                            // The workflow may be over; nobody misses it.
                            let _ = tx.send((task.path, outcome));
                        });
                        tasks.insert(path, work);
                    }
                    Action::Stop(path) => {
                        // Whoever waits for it stops first: it must not submit
                        // the next try.
                        if let Some(work) = tasks.remove(&path) {
                            work.abort();
                        }
                        let id = shared.jobs.borrow().get(&path).cloned();
                        stopping.extend(id.map(|id| (path, id)));
                    }
                    Action::End(Ok(outputs)) => break 'end Ok(outputs),
                    Action::End(Err(e)) => break 'end Err(e),
                }
            }
            tell(News::Known(known, over));
            tokio::select! {
                Some(news) = told.recv() => tell(news),
                first = rx.recv() => {
                    let Some(first) = first else { break 'end Err("nothing runs and nothing ends".into()) };
                    // What ended meanwhile is recorded together.
                    let mut ended = vec![first];
                    sleep(Duration::from_millis(20)).await;
                    while let Ok(next) = rx.try_recv() {
                        ended.push(next);
                    }
                    let entry = |o: &Outcome| match o {
                        Outcome::Done(_) => Entry::Done,
                        Outcome::Failed(e) => Entry::Failed(e.clone()),
                    };
                    let entries: Vec<_> = ended.iter().map(|(p, o)| (p.clone(), entry(o))).collect();
                    records.add(&entries).await?;
                    while let Ok(news) = told.try_recv() {
                        tell(news);
                    }
                    for (path, outcome) in ended {
                        over += 1;
                        tasks.remove(&path);
                        shared.jobs.borrow_mut().remove(&path);
                        let result = match &outcome {
                            Outcome::Done(_) => Ok(()),
                            Outcome::Failed(e) => Err(e.clone()),
                        };
                        tell(News::Ended(path.clone(), result));
                        engine.outcome(path, outcome);
                    }
                    break;
                }
                _ = renewals.tick() => match claim.renew().await {
                    Ok((head, until)) => {
                        shared.claimed.set(until);
                        if let Some(by) = &head.stop {
                            actions = engine.cancel(&format!("cancelled by {by}"));
                        }
                    }
                    // Submissions wait until it stands again.
                    Err(e) => tracing::warn!(reason = %e, "no submissions until the claim stands again"),
                },
            }
        }
    };
    for (_, work) in std::mem::take(&mut tasks) {
        work.abort();
    }
    for (_, id) in &stopping {
        gone(&shared.client, id).await;
    }
    let end = match &ended {
        Ok(_) => End::Done,
        Err(e) => End::Failed(e.clone()),
    };
    let end = records.end(&end).await?;
    claim.drop_it().await;
    tell(News::Known(known, over));
    tell(News::Written(records.writes()));
    match (end, ended) {
        (End::Done, Ok(outputs)) => {
            let mut v = Value::Object(outputs);
            let dir = place(&shared.options.work, &name).join("outputs");
            written(&mut v, &dir).map_err(RunError::Failed)?;
            match v {
                Value::Object(o) => Ok(o),
                _ => Ok(Object::new()),
            }
        }
        (End::Cancelled(by), _) => Err(RunError::Cancelled(by)),
        (End::Failed(e), _) => Err(RunError::Failed(e)),
        (End::Done, Err(e)) => Err(RunError::Failed(e)),
    }
}

/// Cancels a job until the cluster says that it is over, or that it never was: a
/// submission that was on its way has arrived by then.
async fn gone(client: &Client, id: &JobId) {
    let begun = Instant::now();
    loop {
        match client.cancel(id).await {
            Ok(_) => return,
            Err(ClientError::NoSuchJob(_)) if begun.elapsed() >= LATE => return,
            Err(ClientError::NoSuchJob(_) | ClientError::Busy { .. }) => sleep(LOOKS.0).await,
            Err(e) => {
                tracing::error!(job = %id, error = %e, "cannot cancel it");
                return;
            }
        }
    }
}

/// What a cancellation did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancelled {
    /// How the workflow ended: a cancellation comes too late for one that is over.
    pub end: End,
    /// Jobs that were cancelled here, because no runner was at work.
    pub jobs: usize,
}

/// Cancels a workflow: by its runner if one is at work, otherwise here. Safe to
/// repeat.
///
/// # Errors
/// The state service does not answer, or there is no such workflow.
pub async fn cancel(
    name: &str,
    front: SocketAddrV4,
    state: SocketAddrV4,
    work: &Path,
    by: &str,
) -> Result<Cancelled, RunError> {
    let mut records = Records::existing(state, name).await?;
    records
        .change(|h| {
            let asked = h.stop.is_some() || h.end.is_some();
            (!asked).then(|| crate::records::Head {
                stop: Some(by.into()),
                ..h.clone()
            })
        })
        .await?;
    // A runner at work sees it within its next renewal and ends.
    while records.head().end.is_none() && records.claims().await? > 0 {
        sleep(Duration::from_millis(500)).await;
        records.refresh().await?;
    }
    if let Some(end) = &records.head().end {
        let end = end.clone();
        return Ok(Cancelled { end, jobs: 0 });
    }
    // Nobody submits any more. A job has a directory before it is submitted.
    let client = client(front);
    let over: Vec<String> = records.all().map(|(p, _)| p.to_string()).collect();
    let mut jobs = 0;
    for step in steps(work, name) {
        if over.contains(&step.path) {
            continue;
        }
        let id: JobId = step.job.as_str().into();
        if !place(work, name).join(&step.job).join(EXIT_FILE).exists() {
            gone(&client, &id).await;
            jobs += 1;
        }
    }
    let end = records.end(&End::Cancelled(by.into())).await?;
    Ok(Cancelled { end, jobs })
}

/// Every job of a workflow that was submitted or about to be, in the order of
/// their submission.
pub fn steps(work: &Path, name: &str) -> Vec<StepRecord> {
    let entries = fs::read_dir(place(work, name))
        .into_iter()
        .flatten()
        .flatten();
    let mut out: Vec<StepRecord> = entries
        .filter_map(|e| read_json(&e.path().join(JOB)).ok())
        .collect();
    out.sort_by(|a, b| (a.submitted_ms, &a.path).cmp(&(b.submitted_ms, &b.path)));
    out
}

/// How a job's command ended, if it did.
pub fn mark(work: &Path, name: &str, job: &str) -> Option<ExitRecord> {
    read_json(&place(work, name).join(job).join(EXIT_FILE)).ok()
}

/// Why a try of a step has no outputs.
struct Failure {
    lost: Lost,
    text: String,
}

fn fatal(text: impl Into<String>) -> Failure {
    Failure {
        lost: Lost::Final,
        text: text.into(),
    }
}

impl Shared {
    fn dir(&self, id: &JobId) -> PathBuf {
        place(&self.options.work, &self.options.name).join(id.as_str())
    }

    /// Keeps a task's outputs, whole, before it is recorded as done.
    fn keep(&self, path: &TaskPath, kept: &Kept) -> Result<(), String> {
        let file = kept_file(&self.options.work, &self.options.name, path);
        let bytes = serde_json::to_vec(kept).map_err(|e| e.to_string())?;
        write_whole(&file, &bytes).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Runs a task, again if it may be.
    async fn task(&self, task: &Task) -> Outcome {
        match self.tried(task).await {
            Ok(kept) => match self.keep(&task.path, &kept) {
                Ok(()) => Outcome::Done(kept.outputs),
                Err(e) => Outcome::Failed(format!("its outputs cannot be kept: {e}")),
            },
            Err(e) => Outcome::Failed(e),
        }
    }

    async fn tried(&self, task: &Task) -> Result<Kept, String> {
        let runtime = json!({"outdir": WORKING_DIR_PLACEHOLDER, "tmpdir": format!("{WORKING_DIR_PLACEHOLDER}/.tmp")});
        let given = inputs(task, &runtime, &Local("/".into()), self.limits)?;
        if let Kind::Expression(_) = task.tool.kind {
            // It reads files, so it is evaluated here; it needs no machine.
            let outputs = expression(&task.tool, &given, task.path.as_str(), self.limits)?;
            let job = String::new();
            return Ok(Kept {
                outputs,
                job,
                reused: false,
            });
        }
        let cached = match &self.options.cache {
            Some(cache) if reusable(task, self.limits)? => Some((cache, Cache::key(task, &given)?)),
            _ => None,
        };
        if let Some((cache, key)) = &cached
            && let Some((outputs, job)) = cache.get(key)
        {
            let _ = self.news.send(News::Reused(task.path.clone(), job.clone()));
            return Ok(Kept {
                outputs,
                job,
                reused: true,
            });
        }
        let retry = self.options.allowed.retry(task);
        let mut number = 0;
        loop {
            let round = self.round;
            let id = job_id(&self.options.name, &task.path, Try { round, number });
            match self.once(task, &given, &id, retry).await {
                Ok(outputs) => {
                    if let Some((cache, key)) = &cached
                        && let Err(e) = cache.keep(key, &outputs, id.as_str())
                    {
                        tracing::warn!(error = %e, "a finished step is not kept in the cache");
                    }
                    let job = id.to_string();
                    return Ok(Kept {
                        outputs,
                        job,
                        reused: false,
                    });
                }
                Err(f) if again(retry, &f.lost, number) => {
                    let _ = self.news.send(News::Again(task.path.clone(), f.text));
                    number += 1;
                }
                Err(f) => return Err(f.text),
            }
        }
    }

    /// One job.
    async fn once(
        &self,
        task: &Task,
        given: &Object,
        id: &JobId,
        retry: Retry,
    ) -> Result<Object, Failure> {
        let dir = self.dir(id);
        let allowed = &self.options.allowed;
        let job = allowed.submission(task, id, self.limits).map_err(fatal)?;
        let runtime = json!({
            "cores": job.cpus, "ram": job.memory_gb * 1024.0,
            "outdir": WORKING_DIR_PLACEHOLDER, "tmpdir": format!("{WORKING_DIR_PLACEHOLDER}/.tmp"),
        });
        let line = command_line(task, given, &runtime, self.limits).map_err(fatal)?;
        if !dir.join(EXIT_FILE).exists() {
            self.describe(task, given, &job, &dir).map_err(fatal)?;
            self.job(task, &job, &dir, &line, retry).await?;
        }
        let named = |e: std::io::Error| fatal(format!("{}: {e}", dir.join(EXIT_FILE).display()));
        let mark: ExitRecord = read_json(&dir.join(EXIT_FILE)).map_err(named)?;
        let lost = match &mark {
            m if m.not_started.is_some() => Lost::NotStarted,
            m if m.timed_out => Lost::TooLong,
            m => Lost::Exit(ended(task, m.code)),
        };
        if lost != Lost::Exit(Ended::Success) {
            let text = match (&mark.not_started, mark.timed_out) {
                (Some(why), _) => format!("not started on {}: {why}", mark.machine),
                (None, true) => format!("ended for its ToolTimeLimit, on {}", mark.machine),
                (None, false) => format!(
                    "exit code {}, on {}; its files are in {}",
                    mark.code, mark.machine, mark.dir
                ),
            };
            return Err(Failure { lost, text });
        }
        // From here on the directory has its name.
        let here = |v: &Value| -> Value {
            let text = v.to_string().replace(WORKING_DIR_PLACEHOLDER, &mark.dir);
            serde_json::from_str(&text).unwrap_or_default()
        };
        let (runtime, own) = (here(&runtime), here(&Value::Object(line.inputs.clone())));
        let line = CommandLine {
            inputs: own.as_object().cloned().unwrap_or_default(),
            ..line
        };
        let left = Local(mark.dir.into());
        outputs(task, &line, mark.code, &left, &runtime, self.limits).map_err(fatal)
    }

    /// Says what a job is for, before it is submitted: who looks for it finds it,
    /// whatever becomes of this runner.
    fn describe(
        &self,
        task: &Task,
        given: &Object,
        job: &Submission,
        dir: &Path,
    ) -> Result<(), String> {
        let file = dir.join(JOB);
        if file.exists() {
            return Ok(());
        }
        let record = StepRecord {
            path: task.path.to_string(),
            job: job.id.to_string(),
            by: self.options.by.clone(),
            tool: task.tool.file.to_string(),
            tool_hash: task.tool.hash.clone(),
            inputs: given.clone(),
            input_hashes: hashes(&Value::Object(given.clone()))?.into_iter().collect(),
            submission: job.clone(),
            submitted_ms: now_ms(),
        };
        let bytes = serde_json::to_vec(&record).map_err(|e| e.to_string())?;
        write_whole(&file, &bytes).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Uploads, submits and waits for the end.
    async fn job(
        &self,
        task: &Task,
        job: &Submission,
        dir: &Path,
        line: &CommandLine,
        retry: Retry,
    ) -> Result<(), Failure> {
        let id = &job.id;
        self.upload(id, &self.description(dir, line, retry))
            .await
            .map_err(fatal)?;
        let client = &self.client;
        let told = |e: &ClientError| fatal(format!("job {id}: {e}"));
        // A cluster that cannot take it now is asked again: the id is the same.
        loop {
            // Whoever cancels waits until no claim stands: without one nothing is
            // submitted.
            while Instant::now() >= self.claimed.get() {
                sleep(GLANCE).await;
            }
            self.jobs.borrow_mut().insert(task.path.clone(), id.clone());
            match client.submit(job).await {
                Ok(_) => break,
                Err(e) if e.is_retryable() => sleep(LOOKS.0).await,
                Err(e) => return Err(told(&e)),
            }
        }
        // Nobody misses what nobody watches.
        let _ = self
            .news
            .send(News::Submitted(task.path.clone(), id.clone()));
        let mut every = LOOKS.0;
        let mut marked = false;
        loop {
            if dir.join(REFUSED_FILE).exists() {
                // Nobody starts it a second time, and nobody knows whether the
                // first went to its end.
                let _ = client.cancel(id).await;
                return Err(Failure {
                    lost: Lost::Unknown,
                    text: "its fate is unknown: it was started, its machine was lost, and its class of retry forbids to run it again".into(),
                });
            }
            match client.status(id).await {
                Ok(a) if a.stage == JobStage::Done => return Ok(()),
                Ok(a) if a.stage == JobStage::Cancelled => {
                    return Err(fatal(format!("job {id} was cancelled")));
                }
                Ok(_) => {}
                Err(e) if e.is_retryable() => {}
                Err(e) => return Err(told(&e)),
            }
            // The job is asked for less and less often, until its command's end is
            // seen.
            let next = Instant::now() + every;
            if !marked {
                every = (every * 3 / 2).min(LOOKS.1);
            }
            while Instant::now() < next && !dir.join(REFUSED_FILE).exists() {
                if !marked && dir.join(EXIT_FILE).exists() {
                    (marked, every) = (true, LOOKS.0);
                    break;
                }
                sleep(GLANCE).await;
            }
        }
    }

    fn description(&self, dir: &Path, line: &CommandLine, retry: Retry) -> CommandSpec {
        let mut env = BTreeMap::from([
            ("HOME".to_string(), WORKING_DIR_PLACEHOLDER.to_string()),
            (
                "TMPDIR".to_string(),
                format!("{WORKING_DIR_PLACEHOLDER}/.tmp"),
            ),
            (
                "PATH".to_string(),
                "/usr/local/bin:/usr/bin:/bin".to_string(),
            ),
        ]);
        env.extend(line.env.clone());
        let mut put = vec![StagedFile::Directory { to: ".tmp".into() }];
        put.extend(line.put.iter().cloned());
        CommandSpec {
            argv: line.argv.clone(),
            env,
            dir: dir.display().to_string(),
            stdin: line.stdin.clone(),
            stdout: line.stdout.clone(),
            stderr: line.stderr.clone(),
            restart_policy: match retry {
                Retry::Never | Retry::IfNotStarted => RestartPolicy::Never,
                Retry::OnFailure(_) => RestartPolicy::Allowed,
            },
            staged_files: put,
            time_limit_s: line.limit_s,
        }
    }

    async fn upload(&self, id: &JobId, d: &CommandSpec) -> Result<(), String> {
        let (path, body) = (format!("/descriptions/{id}"), encode(d));
        let mut last = String::new();
        for _ in 0..UPLOADS {
            let sent = SentFlag::default();
            let asked = self
                .net
                .exchange(self.options.front, "POST", &path, &body, &sent);
            match timeout(UPLOAD, asked).await {
                Ok(Ok(r)) if r.status == 201 => return Ok(()),
                Ok(Ok(r)) if r.status < 500 => {
                    return Err(format!("job {id}: its command is refused, {}", r.status));
                }
                Ok(Ok(r)) => last = format!("status {}", r.status),
                Ok(Err(e)) => last = e.to_string(),
                Err(_) => last = "no answer in time".into(),
            }
            sleep(LOOKS.0).await;
        }
        Err(format!("job {id}: its command cannot be uploaded: {last}"))
    }
}
