//! `pebblectl workflow`: checks, runs and shows CWL workflows.

use crate::args::{WorkArgs, WorkflowRun};
use crate::ask;
use crate::output::{Failure, Printer, pretty};
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

/// The addresses of a cluster that a workflow uses.
#[derive(Clone, Copy, Debug)]
pub struct Cluster {
    /// The users' address, to which steps' jobs are submitted.
    pub front: SocketAddrV4,
    /// The key-value store, where the workflow's records are.
    pub state: SocketAddrV4,
}

/// How a workflow was run, stored with the workflow's files so that `resume` runs it
/// the same way.
#[derive(Serialize, Deserialize)]
struct RunSettings {
    file: String,
    inputs: Object,
    job: Submission,
    classes: Vec<String>,
    at_once: u16,
    retry: String,
    cache: Option<PathBuf>,
}

/// Reads documents completely and prints their problems.
///
/// # Errors
/// A document is invalid; notes alone are no failure.
pub fn check(files: &[String], printer: &Printer) -> Result<(), Failure> {
    let mut problem_list: Vec<Value> = Vec::new();
    let mut invalid_count = 0;
    for file in files {
        let loaded = load(&Disk, file);
        invalid_count += usize::from(!loaded.valid);
        for p in &loaded.problems {
            if printer.json() {
                let weight = match p.weight {
                    Weight::Error => "error",
                    Weight::Note => "note",
                };
                problem_list.push(json!({
                    "file": &*p.file, "line": p.at.line, "column": p.at.column,
                    "weight": weight, "text": p.text,
                }));
            } else {
                println!("{p}");
            }
        }
        if loaded.more > 0 && !printer.json() {
            println!("{file}: and {} more problems", loaded.more);
        }
        if loaded.valid && !printer.json() {
            println!("{file}: valid");
        }
    }
    if printer.json() {
        println!("{}", pretty(&problem_list));
    }
    if invalid_count > 0 {
        return Err(Failure::Input(format!(
            "{invalid_count} of {} documents are invalid",
            files.len()
        )));
    }
    Ok(())
}

/// Reads a workflow's inputs; paths of files in them are relative to the directory
/// of the inputs' file.
fn load_inputs(file: &Path) -> Result<Object, Failure> {
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
        Ok(_) => Err(Failure::Input(format!("{name}: the inputs must be a map"))),
        Err(e) => Err(Failure::Input(format!("{name}: {e}"))),
    }
}

fn check_name(name: &str) -> Result<(), Failure> {
    if is_valid_job_id(name) {
        return Ok(());
    }
    Err(Failure::Input(format!(
        "--name {name}: use 1 to 128 letters, digits, '-', '_' or '.'"
    )))
}

/// Loads a workflow's document and prints its problems to standard error.
fn load_process(file: &str) -> Result<Rc<Process>, Failure> {
    let loaded = load(&Disk, file);
    for p in &loaded.problems {
        eprintln!("{p}");
    }
    match loaded.process.filter(|_| loaded.valid) {
        Some(p) => Ok(p),
        None => Err(Failure::Input(format!("{file}: the document is invalid"))),
    }
}

impl WorkArgs {
    /// The absolute path of the directory for workflows' files.
    fn absolute_dir(&self) -> Result<PathBuf, Failure> {
        std::path::absolute(&self.dir).map_err(Failure::input)
    }

    /// The user to record: of `--user` or, without it, the logged-in user.
    fn recorded_user(&self) -> String {
        let logged_in = || std::env::var("USER").or_else(|_| std::env::var("LOGNAME"));
        let user = self.user.clone().map_or_else(logged_in, Ok);
        user.unwrap_or_else(|_| "unknown".into())
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

/// Prints a workflow's progress to standard error: a progress bar with lines above it
/// on a terminal, lines alone elsewhere.
fn progress_printer() -> impl FnMut(News) {
    let terminal = std::io::stderr().is_terminal();
    let bar = if terminal {
        let style = "{bar:30} {pos}/{len} steps found so far, {elapsed}  {msg}";
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
            News::Again(path, why) => format!("{path}: retrying: {why}"),
            News::Reused(path, job) => format!("{path}: reused the result of job {job}"),
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

/// Runs a workflow, or resumes one that was begun under the same name.
pub async fn run(r: WorkflowRun, cluster: Cluster) -> Result<(), Failure> {
    check_name(&r.name)?;
    let process = load_process(&r.file)?;
    let inputs = match &r.inputs {
        Some(file) => load_inputs(file)?,
        None => Object::new(),
    };
    let (path, id) = r.file.split_once('#').unwrap_or((&r.file, ""));
    let path = std::path::absolute(path).map_err(Failure::input)?;
    let separator = if id.is_empty() { "" } else { "#" };
    let cache = r.cache.as_deref().map(std::path::absolute).transpose();
    let settings = RunSettings {
        file: format!("{}{separator}{id}", path.display()),
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
    run_to_end(process, settings, &r.name, &r.work, cluster).await
}

/// Runs a workflow with these settings, stores the settings for `resume`, and prints
/// the outputs.
async fn run_to_end(
    process: Rc<Process>,
    settings: RunSettings,
    name: &str,
    work: &WorkArgs,
    cluster: Cluster,
) -> Result<(), Failure> {
    let dir = work.absolute_dir()?;
    std::fs::create_dir_all(&dir).map_err(|e| Failure::Input(format!("{}: {e}", dir.display())))?;
    let options = Options {
        name: name.into(),
        front: cluster.front,
        state: cluster.state,
        work: dir.clone(),
        allowed: Allowed {
            job: settings.job.clone(),
            classes: settings.classes.clone(),
            retry: settings.retry.parse().map_err(Failure::Input)?,
        },
        at_once: usize::from(settings.at_once),
        cache: settings.cache.clone().map(Cache),
        by: work.recorded_user(),
    };
    let file = runner::place(&dir, name).join(RUN);
    let bytes = serde_json::to_vec(&settings).map_err(Failure::failed)?;
    let inputs = settings.inputs;
    let mut print_news = progress_printer();
    let mut first_news_seen = false;
    let on_news = |news: News| {
        // The first news arrives only after the name was claimed for this workflow, so
        // another workflow's settings are not overwritten.
        if !std::mem::replace(&mut first_news_seen, true)
            && let Err(e) = write_whole(&file, &bytes)
        {
            eprintln!(
                "{}: {e}; the workflow cannot be resumed by its name",
                file.display()
            );
        }
        print_news(news);
    };
    let outputs = runner::run(process, inputs, options, on_news).await?;
    println!("{}", pretty(&outputs));
    Ok(())
}

/// Resumes a workflow with the settings it was begun with; `again` also reruns the
/// failed steps of a workflow that failed.
pub async fn resume(
    name: &str,
    again: bool,
    work: &WorkArgs,
    cluster: Cluster,
) -> Result<(), Failure> {
    check_name(name)?;
    let file = runner::place(&work.absolute_dir()?, name).join(RUN);
    let settings: RunSettings = read_json(&file).map_err(|e| {
        Failure::Input(format!(
            "{}: {e}; check that workflow {name} was run with this --work",
            file.display()
        ))
    })?;
    if again {
        Records::existing(cluster.state, name)
            .await?
            .take_up()
            .await?;
    }
    let process = load_process(&settings.file)?;
    run_to_end(process, settings, name, work, cluster).await
}

/// Cancels a workflow with all its jobs.
pub async fn cancel(
    name: &str,
    work: &WorkArgs,
    cluster: Cluster,
    printer: &Printer,
) -> Result<(), Failure> {
    check_name(name)?;
    let (dir, by) = (work.absolute_dir()?, work.recorded_user());
    let outcome = runner::cancel(name, cluster.front, cluster.state, &dir, &by).await?;
    let (stage, why) = stage_and_reason(Some(&outcome.end));
    printer.print_value(
        &json!({"workflow": name, "stage": stage, "why": why, "jobs_cancelled_here": outcome.jobs}),
    )
}

/// A workflow's stage as printed, and why it failed or who cancelled it; `None` means
/// that it has not ended.
fn stage_and_reason(end: Option<&End>) -> (&'static str, Option<String>) {
    match end {
        None => ("begun", None),
        Some(End::Done) => ("done", None),
        Some(End::Failed(why)) => ("failed", Some(why.clone())),
        Some(End::Cancelled(by)) => ("cancelled", Some(format!("by {by}"))),
    }
}

/// Shows a workflow's stage and the stage of each step that was begun.
pub async fn status(
    name: &str,
    work: &WorkArgs,
    cluster: Cluster,
    printer: &Printer,
) -> Result<(), Failure> {
    check_name(name)?;
    let dir = work.absolute_dir()?;
    let records = Records::existing(cluster.state, name).await?;
    let client = ask::client(vec![cluster.front], ask::USER_REQUEST_DEADLINE);
    let recorded: BTreeMap<String, &Entry> =
        records.all().map(|(p, e)| (p.to_string(), e)).collect();
    let mut rows = Vec::new();
    let mut steps_with_jobs = std::collections::BTreeSet::new();
    for s in runner::steps(&dir, name) {
        let exit = runner::mark(&dir, name, &s.job);
        let (stage, why) = match recorded.get(&s.path) {
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
        steps_with_jobs.insert(s.path.clone());
        let took_s = exit
            .as_ref()
            .map(|m| (m.ended_at_ms - m.started_at_ms.min(m.ended_at_ms)) as f64 / 1000.0);
        rows.push(json!({
            "step": s.path, "job": s.job, "stage": stage,
            "machine": exit.as_ref().map(|m| m.machine.clone()),
            "attempt": exit.as_ref().map(|m| m.attempt), "took_s": took_s, "why": why,
        }));
    }
    // A step whose result was reused from the cache, or that needed no machine, has no
    // job.
    for (path, entry) in recorded
        .iter()
        .filter(|(p, _)| !steps_with_jobs.contains(*p))
    {
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
    let (stage, why) = stage_and_reason(head.end.as_ref());
    let runners = records.claims().await?;
    if printer.json() {
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
        "{name}, begun by {}: {stage}{why}; active runners: {runners}",
        head.by
    );
    printer.print_table(&rows)
}

/// Prints who ran which step, on which inputs, in which job, where and when.
pub async fn provenance(name: &str, work: &WorkArgs, cluster: Cluster) -> Result<(), Failure> {
    check_name(name)?;
    let dir = work.absolute_dir()?;
    let records = Records::existing(cluster.state, name).await?;
    let run: Option<Value> = read_json(&runner::place(&dir, name).join(RUN)).ok();
    let step_records: Vec<StepRecord> = runner::steps(&dir, name);
    let mut steps = Vec::new();
    for (path, entry) in records.all() {
        let result = runner::kept(&dir, name, &path).ok();
        let mut jobs = Vec::new();
        for s in step_records.iter().filter(|s| s.path == path.as_str()) {
            jobs.push(json!({"asked": s, "ended": runner::mark(&dir, name, &s.job)}));
        }
        steps.push(json!({
            "step": path.as_str(), "record": entry, "jobs": jobs,
            "made_by": result.as_ref().map(|k| k.job.clone()),
            "reused": result.as_ref().map(|k| k.reused),
            "outputs": result.map(|k| k.outputs),
        }));
    }
    println!(
        "{}",
        pretty(&json!({"workflow": name, "head": records.head(), "run": run, "steps": steps}))
    );
    Ok(())
}

/// Draws a workflow's steps and links: DOT on standard output, or an SVG file.
pub fn graph(file: &str, svg: Option<&Path>) -> Result<(), Failure> {
    let process = load_process(file)?;
    match svg {
        None => print!("{}", pebblefold_workflow::graph::dot(&process)),
        Some(path) => {
            let picture = pebblefold_workflow::graph::svg(&process).map_err(Failure::failed)?;
            write_whole(path, picture.as_bytes())
                .map_err(|e| Failure::Input(format!("{}: {e}", path.display())))?;
        }
    }
    Ok(())
}
