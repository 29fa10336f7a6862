//! A workflow on a cluster. The runner is a user as any other: each task is a job,
//! submitted by the users' protocol under an id that follows from the workflow's
//! name and the task's path, so that a repeated submission is the same job.

use crate::document::{Kind, Process, REQUIREMENTS};
use crate::engine::{Action, Engine, Object, Outcome, Task, TaskPath};
use crate::expression::Limits;
use crate::node::{Node, Value as NodeValue};
use crate::problem::At;
use crate::records::{Entry, RecordError, Records};
use crate::tool::{CommandLine, Directory, Ended, MOST_CONTENTS, command_line, ended, outputs};
use pebblefold_client::{Client, ClientError, Policy};
use pebblefold_net::{Client as Net, Sent};
use pebblefold_wire::encode;
use pebblefold_wire::steps::{Again, Description, EXIT, Mark, REFUSED};
use pebblefold_wire::types::{JobId, Span};
use pebblefold_wire::users::{Stage, Submission};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time between looks at a job.
const LOOK: Duration = Duration::from_millis(500);
/// How long an upload of a description may take.
const UPLOAD: Duration = Duration::from_secs(10);
/// Tries of an upload.
const UPLOADS: u32 = 30;
/// When a step may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Never, once it was started.
    Never,
    /// After its machine was lost; after a failing exit so many times.
    OnFailure(u32),
}

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
    /// What every step's job begins from: team, class, priority and so on. A
    /// step asks for no more than this.
    pub job: Submission,
    /// Tasks at once.
    pub at_once: usize,
    /// When steps may be run again.
    pub retry: Retry,
}

/// Why a workflow did not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// It failed; the text names the step.
    #[error("{0}")]
    Failed(String),
    /// Something in it is not carried out.
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
    /// A task ended.
    Ended(TaskPath, Result<(), String>),
    /// So many outcomes were found recorded.
    Resumed(usize),
}

/// The id of a task's job, for good.
pub fn job_id(name: &str, path: &TaskPath, again: u32) -> JobId {
    let text = format!("{name}\0{path}\0{again}");
    let hash = blake3::hash(text.as_bytes());
    format!("wk-{}", &hash.to_hex()[..20]).into()
}

/// Tells a document with its inputs from every other.
pub fn fingerprint(document: &[u8], inputs: &Object) -> String {
    let mut hash = blake3::Hasher::new();
    hash.update(document);
    hash.update(b"\0");
    hash.update(&serde_json::to_vec(inputs).unwrap_or_default());
    hash.finalize().to_hex().to_string()
}

struct Local(PathBuf);

impl Directory for Local {
    fn glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        if pattern.starts_with('/') || pattern.split('/').any(|p| p == "..") {
            return Err(format!("glob: {pattern} leads out of the directory"));
        }
        let base = glob::Pattern::escape(&self.0.display().to_string());
        let found = glob::glob(&format!("{base}/{pattern}"))
            .map_err(|e| format!("glob: {pattern}: {e}"))?;
        let inside = |p: PathBuf| {
            p.strip_prefix(&self.0)
                .map(|p| p.display().to_string())
                .ok()
        };
        let mut all: Vec<String> = found.flatten().filter_map(inside).collect();
        all.sort();
        Ok(all)
    }

    fn describe(&self, path: &str) -> Object {
        file_object(&self.0.join(path))
    }

    fn contents(&self, path: &str) -> Result<String, String> {
        let bytes = fs::read(self.0.join(path)).map_err(|e| format!("{path}: {e}"))?;
        let bytes = &bytes[..bytes.len().min(MOST_CONTENTS)];
        match std::str::from_utf8(bytes) {
            Ok(t) => Ok(t.into()),
            Err(e) => Err(format!("{path}: not text at byte {}", e.valid_up_to())),
        }
    }
}

/// A file or directory as expressions see it.
fn file_object(path: &Path) -> Object {
    let name = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let (root, ext) = match name.rfind('.').filter(|i| *i > 0) {
        Some(i) => (name[..i].to_string(), name[i..].to_string()),
        None => (name.clone(), String::new()),
    };
    let meta = fs::metadata(path).ok();
    let directory = meta.as_ref().is_some_and(fs::Metadata::is_dir);
    let mut o = Object::new();
    o.insert(
        "class".into(),
        if directory { "Directory" } else { "File" }.into(),
    );
    o.insert(
        "location".into(),
        format!("file://{}", path.display()).into(),
    );
    o.insert("path".into(), path.display().to_string().into());
    o.insert("basename".into(), name.into());
    if !directory {
        o.insert("nameroot".into(), root.into());
        o.insert("nameext".into(), ext.into());
        o.insert("size".into(), meta.map_or(0, |m| m.len()).into());
    }
    o
}

/// Inputs with their files found: `path` or `location`, relative to `base`.
///
/// # Errors
/// A file is not there.
pub fn with_files(v: &Value, base: &Path) -> Result<Value, String> {
    Ok(match v {
        Value::Array(l) => Value::Array(
            l.iter()
                .map(|v| with_files(v, base))
                .collect::<Result<_, _>>()?,
        ),
        Value::Object(o)
            if matches!(
                o.get("class").and_then(Value::as_str),
                Some("File" | "Directory")
            ) =>
        {
            let named = o
                .get("path")
                .or_else(|| o.get("location"))
                .and_then(Value::as_str);
            let named = named.ok_or("a File needs path or location")?;
            let path = base.join(named.strip_prefix("file://").unwrap_or(named));
            let path = fs::canonicalize(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            Value::Object(file_object(&path))
        }
        Value::Object(o) => {
            let fields = o.iter().map(|(k, v)| Ok((k.clone(), with_files(v, base)?)));
            Value::Object(fields.collect::<Result<_, String>>()?)
        }
        other => other.clone(),
    })
}

/// What a process asks for that is not carried out.
fn refused(p: &Process, out: &mut BTreeSet<String>) {
    for r in p.requirements.iter().filter(|r| !r.hint) {
        if !REQUIREMENTS.contains(&(r.class.as_str(), true)) {
            let At { line, .. } = r.at;
            out.insert(format!(
                "{}:{line}: {} is not carried out yet; as a hint it would be left out",
                p.file, r.class
            ));
        }
    }
    match &p.kind {
        Kind::Workflow(steps) => {
            for s in steps {
                if let Some(run) = &s.run {
                    refused(run, out);
                }
            }
        }
        Kind::Operation => {
            out.insert(format!(
                "{}:{}: an Operation cannot be run",
                p.file, p.at.line
            ));
        }
        Kind::Tool(_) | Kind::Expression(_) => {}
    }
}

/// Numbers of a requirement, where they are written as numbers.
fn number(n: Option<&Node>) -> Option<f64> {
    match n?.value {
        NodeValue::Int(i) => Some(i as f64),
        NodeValue::Float(f) => Some(f),
        _ => None,
    }
}

/// The environment that a tool asks for, on top of the least.
fn environment(p: &Process, dir: &str) -> BTreeMap<String, String> {
    let mut env = BTreeMap::from([
        ("HOME".to_string(), dir.to_string()),
        ("TMPDIR".to_string(), dir.to_string()),
        (
            "PATH".to_string(),
            "/usr/local/bin:/usr/bin:/bin".to_string(),
        ),
    ]);
    let asked = p
        .requires("EnvVarRequirement")
        .and_then(|r| r.node.get("envDef"));
    let text = |n: &Node| {
        n.text()
            .map(String::from)
            .or_else(|| Some(n.json().to_string()))
    };
    match asked.map(|n| &n.value) {
        Some(NodeValue::Map(m)) => {
            for (k, n) in m {
                env.extend(text(n.get("envValue").unwrap_or(n)).map(|v| (k.text.clone(), v)));
            }
        }
        Some(NodeValue::List(l)) => {
            for n in l {
                if let (Some(k), Some(v)) =
                    (n.get("envName").and_then(Node::text), n.get("envValue"))
                {
                    env.extend(text(v).map(|v| (k.to_string(), v)));
                }
            }
        }
        _ => {}
    }
    env
}

struct Shared {
    options: Options,
    client: Client,
    net: Net,
    limits: Limits,
}

/// Runs a workflow to its end, or on to its end if it was begun before.
///
/// # Errors
/// It failed, or its records cannot be reached: then the same call goes on.
pub async fn run(
    process: Rc<Process>,
    inputs: Object,
    fingerprint: &str,
    options: Options,
    mut tell: impl FnMut(News),
) -> Result<Object, RunError> {
    let mut not = BTreeSet::new();
    refused(&process, &mut not);
    if !not.is_empty() {
        let all: Vec<String> = not.into_iter().collect();
        return Err(RunError::Refused(all.join("\n")));
    }
    let limits = Limits::default();
    let mut engine = Engine::new(process, inputs, options.at_once, limits);
    // Before the name is taken: a slip in the inputs must not use it up.
    if engine.over()
        && let Some(Action::End(Err(e))) = engine.advance().pop()
    {
        return Err(RunError::Refused(e));
    }
    let mut records = Records::open(options.state, &options.name, fingerprint).await?;
    let policy = Policy {
        deadline: Span::millis(60_000),
        ..Policy::default()
    };
    let shared = Rc::new(Shared {
        client: Client::new(vec![options.front], policy),
        net: Net::default(),
        options,
        limits,
    });
    let mut known = 0;
    for (path, entry) in records.all() {
        let outcome = match entry {
            Entry::Done => Outcome::Done(shared.stored(&path)?),
            Entry::Failed(e) => Outcome::Failed(e.clone()),
        };
        engine.outcome(path, outcome);
        known += 1;
    }
    tell(News::Resumed(known));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut jobs: BTreeMap<TaskPath, JobId> = BTreeMap::new();
    loop {
        for action in engine.advance() {
            match action {
                Action::Run(task) => {
                    let id = job_id(&shared.options.name, &task.path, 0);
                    jobs.insert(task.path.clone(), id.clone());
                    tell(News::Submitted(task.path.clone(), id));
                    let (shared, tx) = (Rc::clone(&shared), tx.clone());
                    spawn_local(async move {
                        let outcome = shared.task(&task).await;
                        // The workflow may be over; nobody misses it.
                        let _ = tx.send((task.path, outcome));
                    });
                }
                Action::Stop(path) => {
                    if let Some(id) = jobs.get(&path) {
                        // Its end is told by its own cancellation; a job that is
                        // not there any more needs none.
                        let _ = shared.client.cancel(id).await;
                    }
                }
                Action::End(Ok(outputs)) => return Ok(outputs),
                Action::End(Err(e)) => return Err(RunError::Failed(e)),
            }
        }
        let Some(first) = rx.recv().await else {
            return Err(RunError::Failed("nothing runs and nothing ends".into()));
        };
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
        for (path, outcome) in ended {
            jobs.remove(&path);
            let result = match &outcome {
                Outcome::Done(_) => Ok(()),
                Outcome::Failed(e) => Err(e.clone()),
            };
            tell(News::Ended(path.clone(), result));
            engine.outcome(path, outcome);
        }
    }
}

impl Shared {
    fn dir(&self, path: &TaskPath, again: u32) -> PathBuf {
        let id = job_id(&self.options.name, path, again);
        self.options.work.join(&self.options.name).join(id.as_str())
    }

    /// The outputs of a task that is recorded as done.
    fn stored(&self, path: &TaskPath) -> Result<Object, RunError> {
        let file = self
            .options
            .work
            .join(&self.options.name)
            .join(format!("{}.json", job_id(&self.options.name, path, 0)));
        let bytes = fs::read(&file).map_err(|e| RunError::Io(file.clone(), e))?;
        serde_json::from_slice(&bytes).map_err(|e| RunError::Io(file, e.into()))
    }

    /// Keeps outputs beside the files, whole, before they are recorded.
    fn store(&self, path: &TaskPath, outputs: &Object) -> std::io::Result<()> {
        let dir = self.options.work.join(&self.options.name);
        let id = job_id(&self.options.name, path, 0);
        // Two runners of one workflow write the same, each beside it first.
        let beside = dir.join(format!("{id}.{}.part", std::process::id()));
        let file = fs::File::create(&beside)?;
        serde_json::to_writer(&file, outputs)?;
        file.sync_all()?;
        fs::rename(beside, dir.join(format!("{id}.json")))
    }

    /// Runs a task, again if it may be.
    async fn task(&self, task: &Task) -> Outcome {
        let most = match self.options.retry {
            Retry::Never => 0,
            Retry::OnFailure(n) => n,
        };
        let mut again = 0;
        loop {
            let failed = match self.once(task, again).await {
                Ok(outputs) => match self.store(&task.path, &outputs) {
                    Ok(()) => return Outcome::Done(outputs),
                    Err(e) => (format!("its outputs cannot be kept: {e}"), false),
                },
                Err(e) => e,
            };
            if !failed.1 || again >= most {
                return Outcome::Failed(failed.0);
            }
            again += 1;
        }
    }

    /// One job; an error says whether it may be tried again.
    async fn once(&self, task: &Task, again: u32) -> Result<Object, (String, bool)> {
        let id = job_id(&self.options.name, &task.path, again);
        let dir = self.dir(&task.path, again);
        let fatal = |e: String| (e, false);
        fs::create_dir_all(&dir).map_err(|e| fatal(format!("{}: {e}", dir.display())))?;
        let needs = task.tool.requires("ResourceRequirement").map(|r| &r.node);
        let cores = number(needs.and_then(|n| n.get("coresMin"))).unwrap_or(1.0);
        self.no_more(needs).map_err(fatal)?;
        let runtime = json!({"cores": cores, "outdir": ".", "tmpdir": "."});
        let line = command_line(task, &runtime, self.limits).map_err(fatal)?;
        if !dir.join(EXIT).exists() {
            self.job(task, &id, &dir, &line).await?;
        }
        let bytes = fs::read(dir.join(EXIT))
            .map_err(|e| fatal(format!("{}: {e}", dir.join(EXIT).display())))?;
        let mark: Mark =
            serde_json::from_slice(&bytes).map_err(|e| fatal(format!("{EXIT}: {e}")))?;
        match ended(task, mark.code) {
            Ended::Success => {
                let left = Local(mark.dir.into());
                outputs(task, &line, mark.code, &left, &runtime, self.limits).map_err(fatal)
            }
            Ended::Temporary => Err((
                format!("exit code {}, on {}", mark.code, mark.machine),
                true,
            )),
            Ended::Permanent => Err((
                format!(
                    "exit code {}, on {}; its files are in {}",
                    mark.code, mark.machine, mark.dir
                ),
                matches!(self.options.retry, Retry::OnFailure(n) if n > 0),
            )),
        }
    }

    /// Uploads, submits and waits for the end.
    async fn job(
        &self,
        task: &Task,
        id: &JobId,
        dir: &Path,
        line: &CommandLine,
    ) -> Result<(), (String, bool)> {
        let place = dir.display().to_string();
        let description = Description {
            argv: line.argv.clone(),
            env: environment(&task.tool, &place),
            dir: place,
            stdin: line.stdin.clone(),
            stdout: line.stdout.clone(),
            stderr: line.stderr.clone(),
            again: match self.options.retry {
                Retry::Never => Again::Never,
                Retry::OnFailure(_) => Again::Yes,
            },
        };
        self.upload(id, &description)
            .await
            .map_err(|e| (e, false))?;
        let job = self.submission(task, id);
        let client = &self.client;
        let told = |e: &ClientError| format!("job {id}: {e}");
        // A cluster that cannot take it now is asked again: the id is the same.
        loop {
            match client.submit(&job).await {
                Ok(_) => break,
                Err(e) if e.may_repeat() => sleep(LOOK).await,
                Err(e) => return Err((told(&e), false)),
            }
        }
        loop {
            if dir.join(REFUSED).exists() {
                // Nobody starts it a second time, and nobody knows whether the
                // first went to its end.
                let _ = client.cancel(id).await;
                return Err(("its fate is unknown: it was started, its machine was lost, and its class never forbids to run it again".into(), false));
            }
            match client.status(id).await {
                Ok(a) if a.stage == Stage::Done => return Ok(()),
                Ok(a) if a.stage == Stage::Cancelled => {
                    return Err((format!("job {id} was cancelled"), false));
                }
                Ok(_) => {}
                Err(e) if e.may_repeat() => {}
                Err(e) => return Err((told(&e), false)),
            }
            sleep(LOOK).await;
        }
    }

    async fn upload(&self, id: &JobId, d: &Description) -> Result<(), String> {
        let (path, body) = (format!("/descriptions/{id}"), encode(d));
        let mut last = String::new();
        for _ in 0..UPLOADS {
            let sent = Sent::default();
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
            sleep(LOOK).await;
        }
        Err(format!("job {id}: its command cannot be uploaded: {last}"))
    }

    /// A step may ask for less than its workflow, never for more.
    fn no_more(&self, needs: Option<&Node>) -> Result<(), String> {
        let job = &self.options.job;
        let asks = |field: &str| number(needs.and_then(|n| n.get(field)));
        let memory = asks("ramMin").map(|mib| mib / 1024.0);
        for (what, asked, has) in [
            ("cores", asks("coresMin"), job.cpus),
            ("GB of memory", memory, job.memory_gb),
        ] {
            if let Some(n) = asked.filter(|n| *n > has) {
                return Err(format!("asks for {n} {what}, its workflow's job has {has}"));
            }
        }
        Ok(())
    }

    /// A task's job: of the workflow's team, class and priority.
    fn submission(&self, task: &Task, id: &JobId) -> Submission {
        let mut job = self.options.job.clone();
        job.id = id.clone();
        job.tasks = 1;
        let needs = task.tool.requires("ResourceRequirement").map(|r| &r.node);
        if let Some(cores) = number(needs.and_then(|n| n.get("coresMin"))) {
            job.cpus = cores;
        }
        if let Some(mib) = number(needs.and_then(|n| n.get("ramMin"))) {
            job.memory_gb = mib / 1024.0;
        }
        job
    }
}
