//! What a `CommandLineTool` runs, and what it leaves behind. Nothing here starts a
//! process or touches a file: the directory is seen through [`Directory`].

use crate::document::{Binding, Expr, Kind, Parameter, Process, Stream, Tool};
use crate::engine::{Object, Task, library};
use crate::expression::{Limits, Scope};
use crate::types::{Type, misfit};
use serde_json::{Value, json};
use std::cmp::Ordering;

/// Most bytes that `loadContents` reads.
pub const MOST_CONTENTS: usize = 64 * 1024;

/// A command, ready to run. Arguments are passed as they are, without a shell:
/// spaces, quotes and leading dashes in file names mean nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandLine {
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// The file that it reads from.
    pub stdin: Option<String>,
    /// The file, within its directory, that it writes to.
    pub stdout: Option<String>,
    /// Likewise.
    pub stderr: Option<String>,
}

/// How a command ended, by its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its outputs count.
    Success,
    /// It may be tried again.
    Temporary,
    /// It failed.
    Permanent,
}

/// The directory that a command ran in.
pub trait Directory {
    /// Paths that match a pattern, relative to the directory, in order.
    ///
    /// # Errors
    /// The pattern cannot be read, or leads out of the directory.
    fn glob(&self, pattern: &str) -> Result<Vec<String>, String>;
    /// What is at a path: `File` or `Directory`, its place and size.
    fn describe(&self, path: &str) -> Object;
    /// The first [`MOST_CONTENTS`] bytes.
    ///
    /// # Errors
    /// The file cannot be read, or is not text.
    fn contents(&self, path: &str) -> Result<String, String>;
}

/// A part of a sorting key: numbers before names.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Number(i64),
    Name(String),
}

impl Ord for Part {
    fn cmp(&self, other: &Part) -> Ordering {
        match (self, other) {
            (Part::Number(a), Part::Number(b)) => a.cmp(b),
            (Part::Name(a), Part::Name(b)) => a.cmp(b),
            (Part::Number(_), Part::Name(_)) => Ordering::Less,
            (Part::Name(_), Part::Number(_)) => Ordering::Greater,
        }
    }
}

impl PartialOrd for Part {
    fn partial_cmp(&self, other: &Part) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Evaluates a task's expressions.
struct Maker<'a> {
    inputs: &'a Object,
    runtime: &'a Value,
    library: Vec<String>,
    limits: Limits,
}

impl Maker<'_> {
    fn value(&self, e: &Expr, this: Value, what: &str) -> Result<Value, String> {
        let template = e.template.as_ref();
        let template = template.ok_or_else(|| format!("{what}: {} cannot be read", e.text))?;
        let scope = Scope {
            inputs: Value::Object(self.inputs.clone()),
            this,
            runtime: self.runtime.clone(),
        };
        let value = template.evaluate(&scope, &self.library, self.limits);
        value.map_err(|e| format!("{what}: {e}"))
    }

    fn text(&self, e: Option<&Expr>, what: &str) -> Result<Option<String>, String> {
        let Some(e) = e else { return Ok(None) };
        match self.value(e, Value::Null, what)? {
            Value::String(s) => Ok(Some(s)),
            other => Err(format!("{what}: {other}, text is wanted")),
        }
    }

    fn position(&self, b: &Binding, this: &Value, what: &str) -> Result<i64, String> {
        let Some(e) = &b.position else { return Ok(0) };
        let v = self.value(e, this.clone(), what)?;
        let number = v.as_i64().or_else(|| v.as_str()?.parse().ok());
        number.ok_or_else(|| format!("{what}: position: {v}, a whole number is wanted"))
    }
}

/// A plain value as an argument.
fn plain(v: &Value, what: &str) -> Result<String, String> {
    match v {
        Value::String(s) => Ok(s.clone()),
        Value::Number(n) => Ok(n.to_string()),
        Value::Bool(b) => Ok(b.to_string()),
        Value::Object(o) => match (o.get("path"), o.get("location")) {
            (Some(Value::String(p)), _) | (None, Some(Value::String(p))) => Ok(p.clone()),
            _ => Err(format!(
                "{what}: a map that is no file cannot be an argument"
            )),
        },
        other => Err(format!("{what}: {other} cannot be an argument")),
    }
}

/// The arguments that a value becomes.
fn arguments(b: &Binding, v: &Value, what: &str) -> Result<Vec<String>, String> {
    let prefixed = |value: String| match &b.prefix {
        None => vec![value],
        Some(p) if b.separate => vec![p.clone(), value],
        Some(p) => vec![format!("{p}{value}")],
    };
    let prefix = || b.prefix.clone().into_iter().collect::<Vec<_>>();
    Ok(match v {
        Value::Null | Value::Bool(false) => Vec::new(),
        Value::Bool(true) => prefix(),
        Value::Array(items) if items.is_empty() => Vec::new(),
        Value::Array(items) => {
            let each = items.iter().filter(|i| !i.is_null());
            let all: Vec<String> = each.map(|i| plain(i, what)).collect::<Result<_, _>>()?;
            match &b.item_separator {
                Some(s) => prefixed(all.join(s)),
                None => prefix().into_iter().chain(all).collect(),
            }
        }
        Value::Object(o) if !o.contains_key("class") => prefix(),
        other => prefixed(plain(other, what)?),
    })
}

fn tool(task: &Task) -> Result<&Tool, String> {
    match &task.tool.kind {
        Kind::Tool(t) => Ok(t),
        _ => Err(format!("{}: not a CommandLineTool", task.path)),
    }
}

/// The name of a stream's file where the tool names none.
fn stream_file(p: &Process, stream: Stream) -> Option<String> {
    let uses = |o: &&Parameter| o.stream == Some(stream);
    p.outputs
        .iter()
        .find(uses)
        .map(|o| format!(".{}.stream", o.id))
}

/// A task's command line; `runtime` is what expressions see under that name.
///
/// # Errors
/// An expression fails, or a value cannot be an argument; the text names it.
pub fn command_line(task: &Task, runtime: &Value, limits: Limits) -> Result<CommandLine, String> {
    let t = tool(task)?;
    let make = Maker {
        inputs: &task.inputs,
        runtime,
        library: library(&task.tool),
        limits,
    };
    let mut parts: Vec<([Part; 2], Vec<String>)> = Vec::new();
    for (i, b) in t.arguments.iter().enumerate() {
        let what = format!("{}: arguments[{i}]", task.path);
        let value = match &b.value_from {
            Some(e) => make.value(e, Value::Null, &what)?,
            None => Value::Null,
        };
        let at = make.position(b, &Value::Null, &what)?;
        let key = [Part::Number(at), Part::Number(i as i64)];
        parts.push((key, arguments(b, &value, &what)?));
    }
    for p in &task.tool.inputs {
        let Some(b) = &p.binding else { continue };
        let what = format!("{}: input {}", task.path, p.id);
        let mut value = task.inputs.get(&p.id).cloned().unwrap_or(Value::Null);
        // Nothing is made from nothing.
        if value.is_null() {
            continue;
        }
        let at = make.position(b, &value, &what)?;
        if let Some(e) = &b.value_from {
            value = make.value(e, value, &what)?;
        }
        let key = [Part::Number(at), Part::Name(p.id.clone())];
        parts.push((key, arguments(b, &value, &what)?));
    }
    parts.sort_by(|a, b| a.0.cmp(&b.0));
    let own = t.base.iter().cloned();
    let argv: Vec<String> = own.chain(parts.into_iter().flat_map(|p| p.1)).collect();
    if argv.is_empty() {
        return Err(format!("{}: nothing to run", task.path));
    }
    let named =
        |e: &Option<Expr>, what: &str| make.text(e.as_ref(), &format!("{}: {what}", task.path));
    let inside = |name: Option<String>, what: &str| match name {
        Some(n) if n.is_empty() || n.starts_with('/') || n.split('/').any(|p| p == "..") => Err(
            format!("{}: {what}: {n:?} leads out of the directory", task.path),
        ),
        other => Ok(other),
    };
    let mut stdin = named(&t.stdin, "stdin")?;
    let piped = |i: &&Parameter| i.stream == Some(Stream::In);
    if let Some(p) = task.tool.inputs.iter().find(piped)
        && let Some(v) = task.inputs.get(&p.id).filter(|v| !v.is_null())
    {
        stdin = Some(plain(v, &format!("{}: input {}", task.path, p.id))?);
    }
    let stdout = inside(named(&t.stdout, "stdout")?, "stdout")?;
    let stderr = inside(named(&t.stderr, "stderr")?, "stderr")?;
    Ok(CommandLine {
        argv,
        stdin,
        stdout: stdout.or_else(|| stream_file(&task.tool, Stream::Out)),
        stderr: stderr.or_else(|| stream_file(&task.tool, Stream::Err)),
    })
}

/// How a command ended.
pub fn ended(task: &Task, exit_code: i64) -> Ended {
    let Ok(t) = tool(task) else {
        return Ended::Permanent;
    };
    let zero = t.success.is_empty() && exit_code == 0;
    if zero || t.success.contains(&exit_code) {
        Ended::Success
    } else if t.temporary.contains(&exit_code) {
        Ended::Temporary
    } else {
        Ended::Permanent
    }
}

/// A task's outputs, from the directory it ran in.
///
/// # Errors
/// An output is not there, is there twice or is of another type; the text names
/// it and what was looked for.
pub fn outputs(
    task: &Task,
    line: &CommandLine,
    exit_code: i64,
    dir: &dyn Directory,
    runtime: &Value,
    limits: Limits,
) -> Result<Object, String> {
    let mut runtime = runtime.clone();
    runtime["exitCode"] = exit_code.into();
    let make = Maker {
        inputs: &task.inputs,
        runtime: &runtime,
        library: library(&task.tool),
        limits,
    };
    // A tool that says itself what came out is believed, within its types.
    let told = dir.glob("cwl.output.json")?;
    let mut found = Object::new();
    if told.is_empty() {
        for o in &task.tool.outputs {
            let what = format!("{}: output {}", task.path, o.id);
            found.insert(o.id.clone(), output(o, line, &make, dir, &what)?);
        }
    } else {
        let text = dir.contents("cwl.output.json")?;
        found = serde_json::from_str(&text)
            .map_err(|e| format!("{}: cwl.output.json: {e}", task.path))?;
    }
    for o in &task.tool.outputs {
        let v = found.get(&o.id).unwrap_or(&Value::Null);
        if let Some(why) = misfit(v, &o.kind, &o.id) {
            return Err(format!("{}: output {why}", task.path));
        }
    }
    Ok(found)
}

fn output(
    o: &Parameter,
    line: &CommandLine,
    make: &Maker<'_>,
    dir: &dyn Directory,
    what: &str,
) -> Result<Value, String> {
    let of_stream = match o.stream {
        Some(Stream::Out) => line.stdout.as_ref(),
        Some(Stream::Err) => line.stderr.as_ref(),
        _ => None,
    };
    if let Some(name) = of_stream {
        return Ok(Value::Object(dir.describe(name)));
    }
    let Some(b) = &o.output else {
        return Ok(Value::Null);
    };
    let mut patterns: Vec<String> = Vec::new();
    for g in &b.glob {
        match make.value(g, Value::Null, what)? {
            Value::String(s) => patterns.push(s),
            Value::Array(all) => {
                for v in all {
                    patterns.push(plain(&v, what)?);
                }
            }
            other => return Err(format!("{what}: glob: {other}, a pattern is wanted")),
        }
    }
    let mut files: Vec<Value> = Vec::new();
    for p in &patterns {
        for path in dir.glob(p).map_err(|e| format!("{what}: {e}"))? {
            let mut file = dir.describe(&path);
            if b.load_contents {
                let text = dir.contents(&path).map_err(|e| format!("{what}: {e}"))?;
                file.insert("contents".into(), text.into());
            }
            files.push(Value::Object(file));
        }
    }
    if let Some(e) = &b.output_eval {
        return make.value(e, Value::Array(files), what);
    }
    if b.glob.is_empty() {
        return Ok(Value::Null);
    }
    let single = |t: &Type| matches!(t, Type::File | Type::Directory | Type::Any);
    let listed = o.kind.items().is_some_and(|t| t != Type::Any);
    if listed && !o.kind.alternatives().iter().any(single) {
        return Ok(json!(files));
    }
    match files.len() {
        0 if o.kind.takes_null() => Ok(Value::Null),
        0 => Err(format!("{what}: nothing matches {}", patterns.join(", "))),
        1 => Ok(files.remove(0)),
        n => Err(format!(
            "{what}: {n} match {}, one is wanted",
            patterns.join(", ")
        )),
    }
}
