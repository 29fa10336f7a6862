//! What a `CommandLineTool` runs, and what it leaves behind. Nothing here starts a
//! process or touches a file: the directory is seen through [`Directory`].

use crate::bindings::{Evaluate, Part, Parts, Word, plain, words};
use crate::document::{Binding, Expr, Flag, Kind, Listing, Parameter, Process, Stream, Tool};
use crate::engine::{Object, Task, library};
use crate::expression::{Limits, Scope};
use crate::types::{Type, misfit};
use pebblefold_wire::command::{StagedFile, WORKING_DIR_PLACEHOLDER};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Most bytes that `loadContents` reads.
pub const MOST_CONTENTS: usize = 64 * 1024;
/// Most entries that a listing holds.
pub const MOST_LISTED: usize = 10_000;

/// A command, ready to run. Arguments are passed as they are, without a shell
/// unless the tool asks for one: spaces, quotes and leading dashes in file names
/// mean nothing. [`WORKING_DIR_PLACEHOLDER`] stands for the directory it will run in.
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
    /// What it asks for in its environment.
    pub env: BTreeMap<String, String>,
    /// What stands in its directory before it starts.
    pub put: Vec<StagedFile>,
    /// Seconds that it may take.
    pub limit_s: Option<f64>,
    /// Its inputs, with the places they have for the command.
    pub inputs: Object,
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

/// Files as a command sees them; a path that is not absolute is one within the
/// directory it ran in.
pub trait Directory {
    /// Paths that match a pattern, relative to the directory, in order.
    ///
    /// # Errors
    /// The pattern cannot be read, or leads out of the directory.
    fn glob(&self, pattern: &str) -> Result<Vec<String>, String>;
    /// Whether there is something at a path.
    fn has(&self, path: &str) -> bool;
    /// What is at a path: `File` or `Directory`, its place and size.
    fn describe(&self, path: &str) -> Object;
    /// What a directory holds.
    ///
    /// # Errors
    /// It cannot be read, or holds more than [`MOST_LISTED`].
    fn listing(&self, path: &str, deep: bool) -> Result<Vec<Value>, String>;
    /// The first [`MOST_CONTENTS`] bytes.
    ///
    /// # Errors
    /// The file cannot be read, or is not text.
    fn contents(&self, path: &str) -> Result<String, String>;
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

    fn flag(&self, f: &Flag, this: Value, what: &str) -> Result<bool, String> {
        match f {
            Flag::Always(b) => Ok(*b),
            Flag::If(e) => Ok(self.value(e, this, what)? == Value::Bool(true)),
        }
    }

    fn text(&self, e: Option<&Expr>, what: &str) -> Result<Option<String>, String> {
        let Some(e) = e else { return Ok(None) };
        match self.value(e, Value::Null, what)? {
            Value::String(s) => Ok(Some(s)),
            other => Err(format!("{what}: {other}, text is wanted")),
        }
    }
}

impl Evaluate for Maker<'_> {
    fn position(&self, b: &Binding, this: &Value, what: &str) -> Result<i64, String> {
        let Some(e) = &b.position else { return Ok(0) };
        let v = self.value(e, this.clone(), what)?;
        let number = v.as_i64().or_else(|| v.as_str()?.parse().ok());
        number.ok_or_else(|| format!("{what}: position: {v}, a whole number is wanted"))
    }

    fn made(&self, b: &Binding, this: Value, what: &str) -> Result<Value, String> {
        match &b.value_from {
            Some(e) => self.value(e, this, what),
            None => Ok(this),
        }
    }
}

fn tool(task: &Task) -> Result<&Tool, String> {
    match &task.tool.kind {
        Kind::Tool(t) => Ok(t),
        _ => Err(format!("{}: not a CommandLineTool", task.path)),
    }
}

/// Every file and directory within a value, those that belong to others included.
pub fn each_file(
    v: &mut Value,
    tell: &mut dyn FnMut(&mut Object) -> Result<(), String>,
) -> Result<(), String> {
    match v {
        Value::Array(l) => l.iter_mut().try_for_each(|v| each_file(v, tell)),
        Value::Object(o) => {
            if matches!(
                o.get("class").and_then(Value::as_str),
                Some("File" | "Directory")
            ) {
                tell(o)?;
            }
            o.values_mut().try_for_each(|v| each_file(v, tell))
        }
        _ => Ok(()),
    }
}

fn is_file(o: &Object) -> bool {
    o.get("class").and_then(Value::as_str) == Some("File")
}

fn text_of<'o>(o: &'o Object, name: &str) -> Option<&'o str> {
    o.get(name).and_then(Value::as_str)
}

// ---- files that belong together ----

/// A name made by a pattern: each caret takes an ending away first.
fn beside(pattern: &str, basename: &str) -> String {
    let plain = pattern.trim_start_matches('^');
    let mut name = basename;
    for _ in 0..pattern.len() - plain.len() {
        if let Some(i) = name.rfind('.').filter(|i| *i > 0) {
            name = &name[..i];
        }
    }
    format!("{name}{plain}")
}

/// Finds the files that belong to one, beside it.
fn secondary(
    p: &Parameter,
    file: &mut Object,
    default: bool,
    make: &Maker<'_>,
    dir: &dyn Directory,
    what: &str,
) -> Result<(), String> {
    let (Some(path), Some(base)) = (text_of(file, "path"), text_of(file, "basename")) else {
        return Ok(());
    };
    let (path, base) = (path.to_string(), base.to_string());
    let place = path.strip_suffix(base.as_str()).unwrap_or("").to_string();
    let this = Value::Object(file.clone());
    let has = |all: &[Value], name: &str| {
        let named = |v: &Value| v.get("basename").and_then(Value::as_str) == Some(name);
        all.iter().any(named)
    };
    let given = file.get("secondaryFiles").and_then(Value::as_array);
    let mut all: Vec<Value> = given.cloned().unwrap_or_default();
    for s in &p.secondary {
        let required = match &s.required {
            None => default,
            Some(f) => make.flag(f, this.clone(), what)?,
        };
        let wanted = match make.value(&s.pattern, this.clone(), what)? {
            Value::Array(l) => l,
            one => vec![one],
        };
        let made = s.pattern.text.contains("$(") || s.pattern.text.contains("${");
        for w in wanted {
            let name = match &w {
                Value::Null => continue,
                // An expression names the file itself, a pattern makes its name.
                Value::String(n) if made => n.clone(),
                Value::String(n) => beside(n, &base),
                Value::Object(o) if o.contains_key("class") => {
                    if !has(&all, text_of(o, "basename").unwrap_or_default()) {
                        all.push(w);
                    }
                    continue;
                }
                other => return Err(format!("{what}: secondaryFiles: {other}, a name is wanted")),
            };
            if has(&all, &name) {
                continue;
            }
            let at = format!("{place}{name}");
            if dir.has(&at) {
                all.push(Value::Object(dir.describe(&at)));
            } else if required {
                return Err(format!("{what}: {name} belongs to {base} and is not there"));
            }
        }
    }
    if !all.is_empty() {
        file.insert("secondaryFiles".into(), all.into());
    }
    Ok(())
}

/// A task's inputs as its expressions see them: contents, listings and files that
/// belong together.
///
/// # Errors
/// A file that has to be there is not, or cannot be read; the text names it.
pub fn inputs(
    task: &Task,
    runtime: &Value,
    dir: &dyn Directory,
    limits: Limits,
) -> Result<Object, String> {
    let mut out = task.inputs.clone();
    let make = Maker {
        inputs: &task.inputs,
        runtime,
        library: library(&task.tool),
        limits,
    };
    for p in &task.tool.inputs {
        let what = format!("{}: input {}", task.path, p.id);
        let Some(v) = out.get_mut(&p.id) else {
            continue;
        };
        let listing = p.listing.unwrap_or(task.tool.needs.loads);
        each_file(v, &mut |o| {
            if is_file(o)
                && p.load_contents
                && !o.contains_key("contents")
                && let Some(path) = text_of(o, "path").map(String::from)
            {
                let text = dir.contents(&path).map_err(|e| format!("{what}: {e}"))?;
                o.insert("contents".into(), text.into());
            }
            list(o, listing, dir, &what)
        })?;
        if !p.secondary.is_empty() {
            primary_files(v, &mut |o| secondary(p, o, true, &make, dir, &what))?;
        }
    }
    Ok(out)
}

/// Files that belong to no other.
fn primary_files(
    v: &mut Value,
    tell: &mut dyn FnMut(&mut Object) -> Result<(), String>,
) -> Result<(), String> {
    match v {
        Value::Array(l) => l.iter_mut().try_for_each(|v| primary_files(v, tell)),
        Value::Object(o) if is_file(o) => tell(o),
        _ => Ok(()),
    }
}

fn list(o: &mut Object, listing: Listing, dir: &dyn Directory, what: &str) -> Result<(), String> {
    if is_file(o) || listing == Listing::None || o.contains_key("listing") {
        return Ok(());
    }
    if let Some(path) = text_of(o, "path").map(String::from) {
        let found = dir.listing(&path, listing == Listing::Deep);
        o.insert(
            "listing".into(),
            found.map_err(|e| format!("{what}: {e}"))?.into(),
        );
    }
    Ok(())
}

// ---- what stands in the directory ----

/// A place within the directory.
fn inside(name: &str, what: &str) -> Result<String, String> {
    let leads_out = name.is_empty() || name.starts_with('/') || name.split('/').any(|p| p == "..");
    if leads_out {
        return Err(format!("{what}: {name:?} leads out of the directory"));
    }
    Ok(name.into())
}

/// Puts a file or directory at a place; what belongs to it stands beside it.
fn put(
    o: &Object,
    to: &str,
    writable: bool,
    out: &mut Vec<StagedFile>,
    what: &str,
) -> Result<(), String> {
    let to = inside(to, what)?;
    let within = to
        .rsplit_once('/')
        .map_or(String::new(), |(d, _)| format!("{d}/"));
    match (text_of(o, "path"), is_file(o)) {
        (Some(p), _) if writable => out.push(StagedFile::Copy { from: p.into(), to }),
        (Some(p), _) => out.push(StagedFile::Link { from: p.into(), to }),
        (None, true) => {
            let text = text_of(o, "contents");
            let text = text.ok_or_else(|| format!("{what}: a File needs path or contents"))?;
            out.push(StagedFile::Text {
                to,
                text: text.into(),
            });
        }
        (None, false) => {
            out.push(StagedFile::Directory { to: to.clone() });
            for v in o
                .get("listing")
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
            {
                let Value::Object(inner) = v else { continue };
                let name = text_of(inner, "basename").unwrap_or_default();
                put(inner, &format!("{to}/{name}"), writable, out, what)?;
            }
        }
    }
    for v in o
        .get("secondaryFiles")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
    {
        if let Value::Object(s) = v {
            let name = text_of(s, "basename").unwrap_or_default();
            put(s, &format!("{within}{name}"), writable, out, what)?;
        }
    }
    Ok(())
}

/// What an expression of a listing made.
fn put_made(v: &Value, writable: bool, out: &mut Staged, what: &str) -> Result<(), String> {
    match v {
        Value::Null => Ok(()),
        Value::Array(l) => l.iter().try_for_each(|v| put_made(v, writable, out, what)),
        Value::Object(o) if o.contains_key("class") => {
            let name = text_of(o, "basename").unwrap_or_default().to_string();
            out.file(o, &name, writable, what)
        }
        Value::Object(o) if o.contains_key("entry") => {
            let writable = o.get("writable") == Some(&Value::Bool(true));
            out.entry(&o["entry"], text_of(o, "entryname"), writable, what)
        }
        other => Err(format!(
            "{what}: {other}, a File, a Directory or an entry is wanted"
        )),
    }
}

#[derive(Default)]
struct Staged {
    put: Vec<StagedFile>,
    /// Where files from elsewhere stand now.
    moved: BTreeMap<String, String>,
}

impl Staged {
    fn file(&mut self, o: &Object, to: &str, writable: bool, what: &str) -> Result<(), String> {
        put(o, to, writable, &mut self.put, what)?;
        if let Some(p) = text_of(o, "path") {
            self.moved.insert(p.into(), to.into());
        }
        Ok(())
    }

    fn entry(
        &mut self,
        entry: &Value,
        name: Option<&str>,
        writable: bool,
        what: &str,
    ) -> Result<(), String> {
        match (entry, name) {
            (Value::Object(o), name) if o.contains_key("class") => {
                let own = text_of(o, "basename").unwrap_or_default();
                self.file(o, name.unwrap_or(own), writable, what)
            }
            (Value::Array(l), None) => l
                .iter()
                .try_for_each(|v| self.entry(v, None, writable, what)),
            (Value::Null, _) => Ok(()),
            (made, Some(name)) => {
                let to = inside(name, what)?;
                let text = match made {
                    Value::String(s) => s.clone(),
                    other => other.to_string(),
                };
                self.put.push(StagedFile::Text { to, text });
                Ok(())
            }
            (_, None) => Err(format!("{what}: text needs an entryname")),
        }
    }
}

/// What stands in the directory, and the inputs with the places they have there.
fn staged(
    task: &Task,
    make: &Maker<'_>,
    given: &Object,
) -> Result<(Vec<StagedFile>, Object), String> {
    use crate::needs::Item;
    let what = format!("{}: InitialWorkDirRequirement", task.path);
    let needs = &task.tool.needs;
    let mut staged = Staged::default();
    for item in &needs.listing {
        match item {
            Item::Made(e) => put_made(
                &make.value(e, Value::Null, &what)?,
                false,
                &mut staged,
                &what,
            )?,
            Item::Literal(v) => put_made(v, false, &mut staged, &what)?,
            Item::Entry {
                entry,
                name,
                writable,
            } => {
                let name = make.text(name.as_ref(), &what)?;
                let v = make.value(entry, Value::Null, &what)?;
                // What is writable in place is the original, by a link.
                let copied = *writable && !needs.inplace;
                staged.entry(&v, name.as_deref(), copied, &what)?;
            }
        }
    }
    let mut inputs = given.clone();
    let mut apart = 0;
    for (name, v) in &mut inputs {
        let what = format!("{}: input {name}", task.path);
        each_file(v, &mut |o| {
            if let Some(to) = text_of(o, "path")
                .and_then(|p| staged.moved.get(p))
                .cloned()
            {
                place(o, &to);
                return Ok(());
            }
            // Written out without a place, or with companions from elsewhere: they
            // are put together in a place of their own.
            let literal = !o.contains_key("path") && !o.contains_key("location");
            if !literal && !scattered(o) {
                return Ok(());
            }
            apart += 1;
            let base = match text_of(o, "basename") {
                Some(b) => b.to_string(),
                None => "literal".to_string(),
            };
            let to = format!(".inputs/{apart}/{base}");
            put(o, &to, false, &mut staged.put, &what)?;
            place(o, &to);
            Ok(())
        })?;
    }
    Ok((staged.put, inputs))
}

/// Whether what belongs to a file stands elsewhere.
fn scattered(o: &Object) -> bool {
    let folder = |o: &Object| {
        text_of(o, "path").and_then(|p| p.rsplit_once('/').map(|(d, _)| d.to_string()))
    };
    let own = folder(o);
    let others = o.get("secondaryFiles").and_then(Value::as_array);
    others.into_iter().flatten().any(|v| match v {
        Value::Object(s) => folder(s) != own,
        _ => false,
    })
}

/// Gives a file its place for the command, and what belongs to it beside it.
fn place(o: &mut Object, to: &str) {
    let (folder, base) = to.rsplit_once('/').unwrap_or(("", to));
    let path = format!("{WORKING_DIR_PLACEHOLDER}/{to}");
    let directory = format!("{WORKING_DIR_PLACEHOLDER}/{folder}");
    o.insert("location".into(), format!("file://{path}").into());
    o.insert("path".into(), path.into());
    o.insert("dirname".into(), directory.trim_end_matches('/').into());
    o.insert("basename".into(), base.into());
    let companions = o.get_mut("secondaryFiles").and_then(Value::as_array_mut);
    for v in companions.into_iter().flatten() {
        if let Value::Object(s) = v {
            let name = text_of(s, "basename").unwrap_or_default().to_string();
            let slash = if folder.is_empty() { "" } else { "/" };
            place(s, &format!("{folder}{slash}{name}"));
        }
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

/// A task's command line; `given` are its inputs by [`inputs`], `runtime` is what
/// expressions see under that name.
///
/// # Errors
/// An expression fails, or a value cannot be an argument; the text names it.
pub fn command_line(
    task: &Task,
    given: &Object,
    runtime: &Value,
    limits: Limits,
) -> Result<CommandLine, String> {
    let t = tool(task)?;
    let lib = library(&task.tool);
    let first = Maker {
        inputs: given,
        runtime,
        library: lib.clone(),
        limits,
    };
    let (put, inputs) = staged(task, &first, given)?;
    let make = Maker {
        inputs: &inputs,
        runtime,
        library: lib,
        limits,
    };
    let mut parts = Parts::default();
    for (i, b) in t.arguments.iter().enumerate() {
        let what = format!("{}: arguments[{i}]", task.path);
        let value = make.made(b, Value::Null, &what)?;
        let at = make.position(b, &Value::Null, &what)?;
        let key = vec![Part::Number(at), Part::Number(i as i64)];
        parts.add(key, words(b, &value, &what)?);
    }
    for p in &task.tool.inputs {
        if p.binding.is_none() && !p.within.any() {
            continue;
        }
        let what = format!("{}: input {}", task.path, p.id);
        let v = inputs.get(&p.id).cloned().unwrap_or(Value::Null);
        let place = (Vec::new(), Part::Name(p.id.clone()));
        parts.value(v, p.binding.as_ref(), &p.within, place, &what, &make)?;
    }
    let own = t.base.iter().map(|b| Word {
        text: b.clone(),
        quoted: true,
    });
    let all: Vec<Word> = own.chain(parts.sorted()).collect();
    if all.is_empty() {
        return Err(format!("{}: nothing to run", task.path));
    }
    let argv = if task.tool.needs.shell {
        let quoted = |w: &Word| match w.quoted {
            true => shell_words::quote(&w.text).into_owned(),
            false => w.text.clone(),
        };
        let line: Vec<String> = all.iter().map(quoted).collect();
        vec!["/bin/sh".into(), "-c".into(), line.join(" ")]
    } else {
        all.into_iter().map(|w| w.text).collect()
    };
    let named = |e: &Option<Expr>, what: &str| {
        let what = format!("{}: {what}", task.path);
        make.text(e.as_ref(), &what)
    };
    let within = |e: &Option<Expr>, what: &str| match named(e, what)? {
        Some(n) => inside(&n, &format!("{}: {what}", task.path)).map(Some),
        None => Ok(None),
    };
    let mut stdin = named(&t.stdin, "stdin")?;
    let piped = |i: &&Parameter| i.stream == Some(Stream::In);
    if let Some(p) = task.tool.inputs.iter().find(piped)
        && let Some(v) = inputs.get(&p.id).filter(|v| !v.is_null())
    {
        stdin = Some(plain(v, &format!("{}: input {}", task.path, p.id))?);
    }
    let (stdout, stderr) = (within(&t.stdout, "stdout")?, within(&t.stderr, "stderr")?);
    let mut env = BTreeMap::new();
    for (name, e) in &task.tool.needs.env {
        let what = format!("{}: EnvVarRequirement: {name}", task.path);
        let v = make.value(e, Value::Null, &what)?;
        env.insert(name.clone(), plain(&v, &what)?);
    }
    let limit_s = match &task.tool.needs.limit_s {
        None => None,
        Some(e) => {
            let what = format!("{}: ToolTimeLimit", task.path);
            // Zero is no limit.
            Some(number(&make, e, &what)?).filter(|s| *s > 0.0)
        }
    };
    Ok(CommandLine {
        argv,
        stdin,
        stdout: stdout.or_else(|| stream_file(&task.tool, Stream::Out)),
        stderr: stderr.or_else(|| stream_file(&task.tool, Stream::Err)),
        env,
        put,
        limit_s,
        inputs,
    })
}

fn number(make: &Maker<'_>, e: &Expr, what: &str) -> Result<f64, String> {
    let v = make.value(e, Value::Null, what)?;
    let n = v.as_f64().or_else(|| v.as_str()?.trim().parse().ok());
    n.filter(|n| n.is_finite() && *n >= 0.0)
        .ok_or_else(|| format!("{what}: {v}, 0 or more is wanted"))
}

/// Evaluates what a task asks for before it has a machine.
fn asked<T>(
    task: &Task,
    limits: Limits,
    ask: impl FnOnce(&Maker<'_>) -> Result<T, String>,
) -> Result<T, String> {
    ask(&Maker {
        inputs: &task.inputs,
        runtime: &json!({}),
        library: library(&task.tool),
        limits,
    })
}

/// What a task asks for of its machine: processors, and memory in MiB.
///
/// # Errors
/// An expression fails, or makes no amount.
pub fn amounts(task: &Task, limits: Limits) -> Result<(Option<f64>, Option<f64>), String> {
    let what = format!("{}: ResourceRequirement", task.path);
    let needs = &task.tool.needs;
    asked(task, limits, |make| {
        let of = |e: &Option<Expr>| e.as_ref().map(|e| number(make, e, &what)).transpose();
        Ok((of(&needs.cores)?, of(&needs.ram_mib)?))
    })
}

/// Whether a task may be used again once it is done.
///
/// # Errors
/// The expression that says so fails.
pub fn reusable(task: &Task, limits: Limits) -> Result<bool, String> {
    let what = format!("{}: WorkReuse", task.path);
    let reuse = task.tool.needs.reuse.as_ref();
    reuse.map_or(Ok(true), |f| {
        asked(task, limits, |make| make.flag(f, Value::Null, &what))
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
        inputs: &line.inputs,
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
            found.insert(o.id.clone(), output(task, o, line, &make, dir, &what)?);
        }
    } else {
        let text = dir.contents("cwl.output.json")?;
        found = serde_json::from_str(&text)
            .map_err(|e| format!("{}: cwl.output.json: {e}", task.path))?;
        for (name, v) in &mut found {
            let what = format!("{}: output {name}", task.path);
            each_file(v, &mut |o| told_file(o, dir, &what))?;
        }
    }
    for o in &task.tool.outputs {
        let v = found.get(&o.id).unwrap_or(&Value::Null);
        if let Some(why) = misfit(v, &o.kind, &o.id) {
            return Err(format!("{}: output {why}", task.path));
        }
    }
    Ok(found)
}

/// A file that the tool itself names.
fn told_file(o: &mut Object, dir: &dyn Directory, what: &str) -> Result<(), String> {
    let named = text_of(o, "path").or_else(|| text_of(o, "location"));
    let Some(named) = named.map(|n| n.strip_prefix("file://").unwrap_or(n).to_string()) else {
        return Ok(());
    };
    if !dir.has(&named) {
        return Err(format!(
            "{what}: cwl.output.json names {named}, which is not there"
        ));
    }
    for (k, v) in dir.describe(&named) {
        o.insert(k, v);
    }
    Ok(())
}

fn output(
    task: &Task,
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
    let listing = b.listing.unwrap_or(task.tool.needs.loads);
    let mut files: Vec<Value> = Vec::new();
    for p in &patterns {
        for path in dir.glob(p).map_err(|e| format!("{what}: {e}"))? {
            let mut file = dir.describe(&path);
            if b.load_contents && is_file(&file) {
                let text = dir.contents(&path).map_err(|e| format!("{what}: {e}"))?;
                file.insert("contents".into(), text.into());
            }
            list(&mut file, listing, dir, what)?;
            files.push(Value::Object(file));
        }
    }
    let mut found = match &b.output_eval {
        Some(e) => make.value(e, Value::Array(files), what)?,
        None => one_or_all(o, files, &patterns, what)?,
    };
    if !o.secondary.is_empty() {
        primary_files(&mut found, &mut |f| secondary(o, f, false, make, dir, what))?;
    }
    Ok(found)
}

/// What was found, as the output's type wants it.
fn one_or_all(
    o: &Parameter,
    mut files: Vec<Value>,
    patterns: &[String],
    what: &str,
) -> Result<Value, String> {
    if patterns.is_empty() {
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
