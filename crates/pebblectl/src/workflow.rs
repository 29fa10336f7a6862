//! CWL workflows.

use crate::args::WorkflowRun;
use crate::ask;
use crate::output::{Failure, Show, pretty};
use pebblefold_wire::users::valid_id;
use pebblefold_workflow::load::{Disk, load};
use pebblefold_workflow::node;
use pebblefold_workflow::problem::{Problems, Weight};
use pebblefold_workflow::records::RecordError;
use pebblefold_workflow::runner::{self, News, Options, RunError};
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;

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
fn inputs(file: &Path) -> Result<serde_json::Map<String, Value>, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let mut problems = Problems::default();
    let Some(node) = node::read(&name.as_str().into(), &text, &mut problems) else {
        let lines: Vec<String> = problems.sorted().iter().map(ToString::to_string).collect();
        return Err(Failure::Input(lines.join("\n")));
    };
    let base = std::path::absolute(file).map_err(Failure::input)?;
    let base = base.parent().unwrap_or(Path::new("/"));
    match runner::with_files(&node.json(), base) {
        Ok(Value::Object(o)) => Ok(o),
        Ok(_) => Err(Failure::Input(format!("{name}: a map of inputs is wanted"))),
        Err(e) => Err(Failure::Input(format!("{name}: {e}"))),
    }
}

/// Runs a workflow, or goes on with one that was begun.
pub async fn run(r: WorkflowRun, front: SocketAddrV4, state: SocketAddrV4) -> Result<(), Failure> {
    if !valid_id(&r.name) {
        return Err(Failure::Input(format!(
            "--name {}: letters, digits, '-', '_' and '.' are wanted",
            r.name
        )));
    }
    let loaded = load(&Disk, &r.file);
    for p in &loaded.problems {
        eprintln!("{p}");
    }
    let Some(process) = loaded.process.filter(|_| loaded.valid) else {
        return Err(Failure::Input(format!("{} cannot be used", r.file)));
    };
    let inputs = match &r.inputs {
        Some(file) => inputs(file)?,
        None => serde_json::Map::new(),
    };
    let job = ask::read_job(&r.job)?;
    let work = std::path::absolute(&r.work).map_err(Failure::input)?;
    std::fs::create_dir_all(&work)
        .map_err(|e| Failure::Input(format!("{}: {e}", work.display())))?;
    // The same name stands for the same document with the same inputs.
    let document =
        std::fs::read(r.file.split('#').next().unwrap_or(&r.file)).map_err(Failure::input)?;
    let fingerprint = runner::fingerprint(&document, &inputs);
    let options = Options {
        name: r.name,
        front,
        state,
        work,
        job,
        at_once: usize::from(r.at_once),
        retry: r.retry,
    };
    let tell = |news: News| match news {
        News::Resumed(0) => {}
        News::Resumed(n) => eprintln!("{n} steps are over already"),
        News::Submitted(path, id) => eprintln!("{path}: submitted as {id}"),
        News::Ended(path, Ok(())) => eprintln!("{path}: done"),
        News::Ended(path, Err(e)) => eprintln!("{path}: failed: {e}"),
    };
    match runner::run(Rc::clone(&process), inputs, &fingerprint, options, tell).await {
        Ok(outputs) => {
            println!("{}", pretty(&outputs));
            Ok(())
        }
        Err(RunError::Refused(e)) => Err(Failure::Input(e)),
        Err(RunError::Records(e @ RecordError::Taken(_))) => Err(Failure::input(e)),
        Err(RunError::Records(e)) => Err(Failure::Unreachable(e.to_string())),
        Err(e) => Err(Failure::failed(e)),
    }
}
