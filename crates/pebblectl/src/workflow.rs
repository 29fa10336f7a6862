//! CWL workflows.

use crate::args::{Work, WorkflowRun};
use crate::ask;
use crate::output::{Failure, Show, pretty};
use indicatif::{ProgressBar, ProgressStyle};
use pebblefold_wire::types::JobId;
use pebblefold_wire::users::{Submission, is_valid_job_id};
use pebblefold_workflow::cache::Cache;
use pebblefold_workflow::document::Process;
use pebblefold_workflow::engine::Object;
use pebblefold_workflow::files::{read_json, with_files, write_whole};
use pebblefold_workflow::load::{Disk, load};
use pebblefold_workflow::needs::Retry;
use pebblefold_workflow::node;
use pebblefold_workflow::plan::Allowed;
use pebblefold_workflow::problem::{Problems, Weight};
use pebblefold_workflow::records::{End, Entry, RecordError, Records};
use pebblefold_workflow::runner::{self, News, Options, RUN, RunError, StepRecord};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The parts of a cluster that workflows reach.
#[derive(Clone, Copy, Debug)]
pub struct Cluster {
    /// Its users' front door.
    pub front: SocketAddrV4,
    /// Its state service.
    pub state: SocketAddrV4,
}

/// How a workflow was run, kept beside its files so that it can be resumed.
#[derive(Serialize, Deserialize)]
struct Kept {
    file: String,
    inputs: Object,
    job: Submission,
    classes: Vec<String>,
    at_once: u16,
    retry: String,
    cache: Option<PathBuf>,
}

/// Reads documents whole and says what is wrong with them.
pub fn check(files: &[String], show: &Show) -> Result<(), Failure> {
    let mut told: Vec<Value> = Vec::new();
    let mut bad = 0;
    for file in files {
        let loaded = load(&Disk, file);
        bad += usize::from(!loaded.valid);
        for p in &loaded.problems {
            if show.json() {
                let weight = match p.weight {
                    Weight::Error => "error",
                    Weight::Note => "note",
                };
                told.push(json!({
                    "file": &*p.file, "line": p.at.line, "column": p.at.column,
                    "weight": weight, "text": p.text,
                }));
            } else {
                println!("{p}");
            }
        }
        if loaded.more > 0 && !show.json() {
            println!("{file}: and {} more", loaded.more);
        }
        if loaded.valid && !show.json() {
            println!("{file}: valid");
        }
    }
    if show.json() {
        println!("{}", pretty(&told));
    }
    if bad > 0 {
        return Err(Failure::Input(format!(
            "{bad} of {} documents cannot be used",
            files.len()
        )));
    }
    Ok(())
}

/// A workflow's inputs, with their files found beside them.
fn inputs(file: &Path) -> Result<Object, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let mut problems = Problems::default();
    let Some(node) = node::read(&name.as_str().into(), &text, &mut problems) else {
        let lines: Vec<String> = problems.sorted().iter().map(ToString::to_string).collect();
        return Err(Failure::Input(lines.join("\n")));
    };
    let base = std::path::absolute(file).map_err(Failure::input)?;
    let base = base.parent().unwrap_or(Path::new("/"));
    match with_files(&node.json(), base) {
        Ok(Value::Object(o)) => Ok(o),
        Ok(_) => Err(Failure::Input(format!("{name}: a map of inputs is wanted"))),
        Err(e) => Err(Failure::Input(format!("{name}: {e}"))),
    }
}

fn valid_name(name: &str) -> Result<(), Failure> {
    if is_valid_job_id(name) {
        return Ok(());
    }
    Err(Failure::Input(format!(
        "--name {name}: letters, digits, '-', '_' and '.' are wanted"
    )))
}

fn document(file: &str) -> Result<Rc<Process>, Failure> {
    let loaded = load(&Disk, file);
    for p in &loaded.problems {
        eprintln!("{p}");
    }
    match loaded.process.filter(|_| loaded.valid) {
        Some(p) => Ok(p),
        None => Err(Failure::Input(format!("{file} cannot be used"))),
    }
}

impl Work {
    fn place(&self) -> Result<PathBuf, Failure> {
        std::path::absolute(&self.dir).map_err(Failure::input)
    }

    /// Who is recorded: as told, or who is logged in.
    fn by(&self) -> String {
        let logged_in = || std::env::var("USER").or_else(|_| std::env::var("LOGNAME"));
        let told = self.user.clone().map_or_else(logged_in, Ok);
        told.unwrap_or_else(|_| "unknown".into())
    }
}

impl From<RecordError> for Failure {
    fn from(e: RecordError) -> Failure {
        match e {
            RecordError::Unreachable(..) => Failure::Unreachable(e.to_string()),
            RecordError::Taken(_) | RecordError::None(_) | RecordError::Newer(..) => {
                Failure::input(e)
            }
            RecordError::Refused(_) => Failure::failed(e),
        }
    }
}

impl From<RunError> for Failure {
    fn from(e: RunError) -> Failure {
        match e {
            RunError::Refused(e) => Failure::Input(e),
            RunError::Records(e) => e.into(),
            e => Failure::failed(e),
        }
    }
}

/// Says what happens: a bar on a terminal, lines elsewhere.
fn teller() -> impl FnMut(News) {
    let terminal = std::io::stderr().is_terminal();
    let bar = if terminal {
        let style = "{bar:30} {pos}/{len} steps known so far, {elapsed}  {msg}";
        let style = ProgressStyle::with_template(style);
        let style = style.unwrap_or_else(|_| ProgressStyle::default_bar());
        ProgressBar::new(0).with_style(style)
    } else {
        ProgressBar::hidden()
    };
    move |news| {
        let line = match news {
            News::Known(known, over) => {
                bar.set_length(known as u64);
                bar.set_position(over as u64);
                return;
            }
            News::Written(_) | News::Resumed(0) => return,
            News::Resumed(n) => format!("{n} steps are over already"),
            News::Submitted(path, id) => format!("{path}: submitted as {id}"),
            News::Again(path, why) => format!("{path}: again: {why}"),
            News::Reused(path, job) => format!("{path}: used again, as {job} made it"),
            News::Ended(path, Ok(())) => format!("{path}: done"),
            News::Ended(path, Err(e)) => format!("{path}: failed: {e}"),
        };
        if terminal {
            bar.println(line);
        } else {
            eprintln!("{line}");
        }
    }
}

/// Runs a workflow, or goes on with one that was begun.
pub async fn run(r: WorkflowRun, cluster: Cluster) -> Result<(), Failure> {
    valid_name(&r.name)?;
    let process = document(&r.file)?;
    let inputs = match &r.inputs {
        Some(file) => inputs(file)?,
        None => Object::new(),
    };
    let (path, id) = r.file.split_once('#').unwrap_or((&r.file, ""));
    let path = std::path::absolute(path).map_err(Failure::input)?;
    let hash = if id.is_empty() { "" } else { "#" };
    let cache = r.cache.as_deref().map(std::path::absolute).transpose();
    let kept = Kept {
        file: format!("{}{hash}{id}", path.display()),
        inputs,
        job: ask::read_job(&r.job)?,
        classes: r.classes,
        at_once: r.at_once,
        retry: match r.retry {
            Retry::Never => "never".into(),
            Retry::IfNotStarted => "if-not-started".into(),
            Retry::OnFailure(n) => n.to_string(),
        },
        cache: cache.map_err(Failure::input)?,
    };
    carry_out(process, kept, &r.name, &r.work, cluster).await
}

async fn carry_out(
    process: Rc<Process>,
    kept: Kept,
    name: &str,
    work: &Work,
    cluster: Cluster,
) -> Result<(), Failure> {
    let dir = work.place()?;
    std::fs::create_dir_all(&dir).map_err(|e| Failure::Input(format!("{}: {e}", dir.display())))?;
    let options = Options {
        name: name.into(),
        front: cluster.front,
        state: cluster.state,
        work: dir.clone(),
        allowed: Allowed {
            job: kept.job.clone(),
            classes: kept.classes.clone(),
            retry: kept.retry.parse().map_err(Failure::Input)?,
        },
        at_once: usize::from(kept.at_once),
        cache: kept.cache.clone().map(Cache),
        by: work.by(),
    };
    let file = runner::place(&dir, name).join(RUN);
    let bytes = serde_json::to_vec(&kept).map_err(Failure::failed)?;
    let inputs = kept.inputs;
    let mut tell = teller();
    let mut said = false;
    let told = |news: News| {
        // The first news comes once the name is this workflow's.
        if !std::mem::replace(&mut said, true)
            && let Err(e) = write_whole(&file, &bytes)
        {
            eprintln!("{}: {e}; it cannot be resumed by its name", file.display());
        }
        tell(news);
    };
    let outputs = runner::run(process, inputs, options, told).await?;
    println!("{}", pretty(&outputs));
    Ok(())
}

/// Goes on with a workflow as it was begun.
pub async fn resume(name: &str, again: bool, work: &Work, cluster: Cluster) -> Result<(), Failure> {
    valid_name(name)?;
    let file = runner::place(&work.place()?, name).join(RUN);
    let kept: Kept = read_json(&file).map_err(|e| {
        Failure::Input(format!(
            "{}: {e}; was {name} run, with this --work?",
            file.display()
        ))
    })?;
    if again {
        Records::existing(cluster.state, name)
            .await?
            .take_up()
            .await?;
    }
    let process = document(&kept.file)?;
    carry_out(process, kept, name, work, cluster).await
}

/// Cancels a workflow with all its jobs.
pub async fn cancel(name: &str, work: &Work, cluster: Cluster, show: &Show) -> Result<(), Failure> {
    valid_name(name)?;
    let (dir, by) = (work.place()?, work.by());
    let done = runner::cancel(name, cluster.front, cluster.state, &dir, &by).await?;
    let (stage, why) = ended(Some(&done.end));
    show.any(
        &json!({"workflow": name, "stage": stage, "why": why, "jobs_cancelled_here": done.jobs}),
    )
}

fn ended(end: Option<&End>) -> (&'static str, Option<String>) {
    match end {
        None => ("begun", None),
        Some(End::Done) => ("done", None),
        Some(End::Failed(why)) => ("failed", Some(why.clone())),
        Some(End::Cancelled(by)) => ("cancelled", Some(format!("by {by}"))),
    }
}

/// Shows how far a workflow is.
pub async fn status(name: &str, work: &Work, cluster: Cluster, show: &Show) -> Result<(), Failure> {
    valid_name(name)?;
    let dir = work.place()?;
    let records = Records::existing(cluster.state, name).await?;
    let client = ask::client(vec![cluster.front], ask::PERSON);
    let over: BTreeMap<String, &Entry> = records.all().map(|(p, e)| (p.to_string(), e)).collect();
    let mut rows = Vec::new();
    let mut seen = std::collections::BTreeSet::new();
    for s in runner::steps(&dir, name) {
        let mark = runner::mark(&dir, name, &s.job);
        let (stage, why) = match over.get(&s.path) {
            Some(Entry::Done) => ("done".to_string(), None),
            Some(Entry::Failed(e)) => ("failed".to_string(), Some(e.clone())),
            None => {
                let id: JobId = s.job.as_str().into();
                match client.status(&id).await {
                    Ok(a) => {
                        let stage = serde_json::to_value(a.stage).unwrap_or_default();
                        (stage.as_str().unwrap_or("?").to_string(), None)
                    }
                    Err(e) => ("unknown".to_string(), Some(e.to_string())),
                }
            }
        };
        seen.insert(s.path.clone());
        let took = mark
            .as_ref()
            .map(|m| (m.ended_at_ms - m.started_at_ms.min(m.ended_at_ms)) as f64 / 1000.0);
        rows.push(json!({
            "step": s.path, "job": s.job, "stage": stage,
            "machine": mark.as_ref().map(|m| m.machine.clone()),
            "attempt": mark.as_ref().map(|m| m.attempt), "took_s": took, "why": why,
        }));
    }
    // What was used again, or needed no machine, has no job.
    for (path, entry) in over.iter().filter(|(p, _)| !seen.contains(*p)) {
        let (stage, why) = match entry {
            Entry::Done => ("done", None),
            Entry::Failed(e) => ("failed", Some(e.clone())),
        };
        rows.push(json!({
            "step": path, "job": null, "stage": stage, "machine": null, "attempt": null,
            "took_s": null, "why": why,
        }));
    }
    let head = records.head();
    let (stage, why) = ended(head.end.as_ref());
    let runners = records.claims().await?;
    if show.json() {
        println!(
            "{}",
            pretty(&json!({
                "workflow": name, "by": head.by, "stage": stage, "why": why, "round": head.round,
                "stop_asked_by": head.stop, "runners": runners, "steps": rows,
            }))
        );
        return Ok(());
    }
    let why = why.map_or(String::new(), |w| format!(" ({w})"));
    println!(
        "{name}, begun by {}: {stage}{why}; runners at work: {runners}",
        head.by
    );
    show.any_table(&rows)
}

/// Prints who ran what, of which inputs, by which job, where and when.
pub async fn provenance(name: &str, work: &Work, cluster: Cluster) -> Result<(), Failure> {
    valid_name(name)?;
    let dir = work.place()?;
    let records = Records::existing(cluster.state, name).await?;
    let run: Option<Value> = read_json(&runner::place(&dir, name).join(RUN)).ok();
    let all: Vec<StepRecord> = runner::steps(&dir, name);
    let mut steps = Vec::new();
    for (path, entry) in records.all() {
        let kept = runner::kept(&dir, name, &path).ok();
        let mut jobs = Vec::new();
        for s in all.iter().filter(|s| s.path == path.as_str()) {
            jobs.push(json!({"asked": s, "ended": runner::mark(&dir, name, &s.job)}));
        }
        steps.push(json!({
            "step": path.as_str(), "record": entry, "jobs": jobs,
            "made_by": kept.as_ref().map(|k| k.job.clone()),
            "reused": kept.as_ref().map(|k| k.reused),
            "outputs": kept.map(|k| k.outputs),
        }));
    }
    println!(
        "{}",
        pretty(&json!({"workflow": name, "head": records.head(), "run": run, "steps": steps}))
    );
    Ok(())
}

/// Draws steps and links.
pub fn graph(file: &str, svg: Option<&Path>) -> Result<(), Failure> {
    let process = document(file)?;
    match svg {
        None => print!("{}", pebblefold_workflow::graph::dot(&process)),
        Some(to) => {
            let picture = pebblefold_workflow::graph::svg(&process).map_err(Failure::failed)?;
            write_whole(to, picture.as_bytes())
                .map_err(|e| Failure::Input(format!("{}: {e}", to.display())))?;
        }
    }
    Ok(())
}
