//! From a file to a process: packed documents, `run` by relative path, imported
//! types, requirements that are inherited, documents that lead back to themselves.

use crate::bindings::NamedWithin;
use crate::check;
use crate::document::{Fields, Kind, Named, Process, Reader, Requirement, short};
use crate::node::{self, Node};
use crate::problem::{At, Problem, Problems};
use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};
use std::rc::Rc;

/// The versions that are read.
const VERSIONS: [&str; 3] = ["v1.0", "v1.1", "v1.2"];
/// Deepest nesting of workflows in workflows.
const MOST_NESTED: usize = 32;

/// Where files come from; the reading itself is the caller's.
pub trait Files {
    /// A file's text.
    ///
    /// # Errors
    /// It cannot be read.
    fn read(&self, path: &Path) -> std::io::Result<String>;
}

/// Files of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Files for Disk {
    fn read(&self, path: &Path) -> std::io::Result<String> {
        std::fs::read_to_string(path)
    }
}

/// What came of loading a document.
#[derive(Debug)]
pub struct Loaded {
    /// The process; `None` if there is none that could be read.
    pub process: Option<Rc<Process>>,
    /// Everything that is wrong or noted, by file and place.
    pub problems: Vec<Problem>,
    /// Whether it can be used.
    pub valid: bool,
    /// Problems beyond those that are kept.
    pub more: usize,
}

struct Loader<'f> {
    files: &'f dyn Files,
    problems: Problems,
    trees: BTreeMap<PathBuf, Option<Rc<Node>>>,
    /// Processes that are being read: file and id.
    open: Vec<(PathBuf, String)>,
}

/// Loads a document and checks all of it; `path` may name a process of a packed
/// document, as `file.cwl#main`.
pub fn load(files: &dyn Files, path: &str) -> Loaded {
    let mut loader = Loader {
        files,
        problems: Problems::default(),
        trees: BTreeMap::new(),
        open: Vec::new(),
    };
    let (file, id) = path.split_once('#').unwrap_or((path, ""));
    let origin = (Rc::from(file), At { line: 1, column: 1 });
    let process = loader.process(&PathBuf::from(file), id, &[], &origin);
    if let Some(p) = &process {
        check::check(p, &mut loader.problems);
    }
    let valid = process.is_some() && !loader.problems.fatal();
    let more = loader.problems.more();
    Loaded {
        process,
        problems: loader.problems.sorted(),
        valid,
        more,
    }
}

/// A path without `.` and `..` where they can be resolved by name alone.
fn tidy(path: &Path) -> PathBuf {
    let mut out = PathBuf::new();
    for c in path.components() {
        match c {
            Component::CurDir => {}
            Component::ParentDir if out.file_name().is_some() => {
                out.pop();
            }
            other => out.push(other),
        }
    }
    out
}

type Origin = (Rc<str>, At);

/// Tells a process from every other by what it says, wherever it stands.
fn hash(node: &Node, all: &[Requirement], named: &Named) -> String {
    let mut hash = blake3::Hasher::new();
    hash.update(node.json().to_string().as_bytes());
    for r in all {
        let text = format!("\0{}\0{}", r.class, r.node.json());
        hash.update(text.as_bytes());
    }
    hash.update(format!("{named:?}").as_bytes());
    hash.finalize().to_hex().to_string()
}

impl Loader<'_> {
    fn error(&mut self, from: &Origin, text: impl Into<String>) {
        self.problems.error(&from.0, from.1, text);
    }

    fn tree(&mut self, path: &Path, from: &Origin) -> Option<Rc<Node>> {
        if let Some(known) = self.trees.get(path) {
            return known.clone();
        }
        let file: Rc<str> = path.display().to_string().into();
        let tree = match self.files.read(path) {
            Ok(text) => node::read(&file, &text, &mut self.problems).map(Rc::new),
            Err(e) => {
                self.error(from, format!("{file}: {e}"));
                None
            }
        };
        self.trees.insert(path.into(), tree.clone());
        tree
    }

    /// The process `id` of a file; without an id, its only one or `main`.
    fn process(
        &mut self,
        path: &Path,
        id: &str,
        inherited: &[Requirement],
        from: &Origin,
    ) -> Option<Rc<Process>> {
        let path = tidy(path);
        let tree = self.tree(&path, from)?;
        let file: Rc<str> = path.display().to_string().into();
        let node = match tree.get("$graph") {
            None => (*tree).clone(),
            Some(graph) => {
                let crate::node::Value::List(all) = &graph.value else {
                    self.error(&(file, graph.at), "$graph: a list of processes is wanted");
                    return None;
                };
                let wanted = if id.is_empty() { "main" } else { id };
                let named = |n: &&Node| {
                    let own = n.get("id").and_then(Node::text);
                    own.is_some_and(|i| i.trim_start_matches('#') == wanted || short(i) == wanted)
                };
                match all.iter().find(named) {
                    Some(n) => n.clone(),
                    None => {
                        let names: Vec<&str> =
                            all.iter().filter_map(|n| n.get("id")?.text()).collect();
                        let list = names.join(", ");
                        self.error(
                            from,
                            format!("no process {wanted} in {file}; there are {list}"),
                        );
                        return None;
                    }
                }
            }
        };
        let version = tree.get("cwlVersion").or_else(|| node.get("cwlVersion"));
        match version.map(|n| (n.at, n.text().unwrap_or(""))) {
            Some((_, v)) if VERSIONS.contains(&v) => {}
            Some((at, v)) => {
                let text = format!("cwlVersion {v}: not read; v1.2 is");
                self.error(&(Rc::clone(&file), at), text);
            }
            None if self.open.is_empty() => {
                self.error(
                    &(Rc::clone(&file), node.at),
                    "cwlVersion is missing; write cwlVersion: v1.2",
                );
            }
            None => {}
        }
        let key = (path.clone(), id.to_string());
        if self.open.contains(&key) {
            let chain: Vec<String> = self
                .open
                .iter()
                .map(|(p, i)| format!("{}#{i}", p.display()))
                .collect();
            self.error(
                from,
                format!(
                    "leads back to itself: {} -> {file}#{id}",
                    chain.join(" -> ")
                ),
            );
            return None;
        }
        if self.open.len() >= MOST_NESTED {
            self.error(from, format!("workflows nested over {MOST_NESTED} deep"));
            return None;
        }
        self.open.push(key);
        let read = self.read(&path, &file, &node, inherited);
        self.open.pop();
        read
    }

    fn read(
        &mut self,
        path: &Path,
        file: &Rc<str>,
        node: &Node,
        inherited: &[Requirement],
    ) -> Option<Rc<Process>> {
        let mut reader = self.reader(file);
        let mut f = reader.fields(node, "process")?;
        let class = f.take("class");
        let mut own = reader.requirements(f.take("requirements"), false);
        own.extend(reader.requirements(f.take("hints"), true));
        // What is inherited gives way to a process's own.
        let mut all = own;
        for r in inherited {
            if !all.iter().any(|o| o.class == r.class && !o.hint) {
                all.push(r.clone());
            }
        }
        let (named, named_within) = self.named_types(path, file, &all);
        let scripts = all.iter().any(|r| r.class == "InlineJavascriptRequirement");
        let mut reader = self.reader(file);
        (reader.named, reader.scripts) = (named, scripts);
        reader.named_within = named_within;
        let needs = reader.needs(&all);
        let hash = hash(node, &all, &reader.named);
        let id = f
            .take("id")
            .and_then(Node::text)
            .map(|i| short(i).to_string());
        let class = match class.map(|n| (n.at, n.text().unwrap_or(""))) {
            Some((_, c @ ("CommandLineTool" | "ExpressionTool" | "Workflow" | "Operation"))) => c,
            Some((at, c)) => {
                reader.error(at, format!("class {c}: has to be CommandLineTool, ExpressionTool, Workflow or Operation"));
                return None;
            }
            None => {
                reader.error(f.at(), "class is missing; this is no CWL process");
                return None;
            }
        };
        for needed in ["inputs", "outputs"] {
            if node.get(needed).is_none() {
                reader.error(
                    f.at(),
                    format!("{class}: {needed} is missing; write {needed}: [] if there are none"),
                );
            }
        }
        let tool = class == "CommandLineTool";
        let inputs = reader.parameters(f.take("inputs"), false, tool);
        let outputs = reader.parameters(f.take("outputs"), true, tool);
        let common = [
            "id",
            "label",
            "doc",
            "intent",
            "cwlVersion",
            "class",
            "inputs",
            "outputs",
            "requirements",
            "hints",
        ];
        let (kind, fields): (Kind, Vec<&str>) = match class {
            "CommandLineTool" => {
                let t = reader.tool(&mut f);
                let fields = vec![
                    "baseCommand",
                    "arguments",
                    "stdin",
                    "stdout",
                    "stderr",
                    "successCodes",
                    "temporaryFailCodes",
                    "permanentFailCodes",
                ];
                (Kind::Tool(Box::new(t)), fields)
            }
            "ExpressionTool" => {
                let e = f.take("expression");
                if e.is_none() {
                    reader.error(f.at(), "ExpressionTool: expression is missing");
                }
                let e = e.and_then(|n| reader.expr(n, "expression"));
                (Kind::Expression(e), vec!["expression"])
            }
            "Workflow" => (
                Kind::Workflow(self.steps(path, file, &mut f, &all)),
                vec!["steps"],
            ),
            _ => (Kind::Operation, Vec::new()),
        };
        let mut reader = self.reader(file);
        let known: Vec<&str> = common.iter().copied().chain(fields).collect();
        reader.finish(f, &known);
        Some(Rc::new(Process {
            file: Rc::clone(file),
            at: node.at,
            id,
            inputs,
            outputs,
            kind,
            requirements: all,
            needs,
            hash,
        }))
    }

    fn reader(&mut self, file: &Rc<str>) -> Reader<'_> {
        Reader {
            file: Rc::clone(file),
            problems: &mut self.problems,
            named: Named::new(),
            named_within: NamedWithin::new(),
            scripts: false,
        }
    }

    fn steps(
        &mut self,
        path: &Path,
        file: &Rc<str>,
        f: &mut Fields<'_>,
        all: &[Requirement],
    ) -> Vec<crate::document::Step> {
        let node = f.take("steps");
        if node.is_none() {
            self.reader(file).error(
                f.at(),
                "Workflow: steps is missing; write steps: [] if there are none",
            );
        }
        let listed = self.reader(file).steps(node);
        let scripts = all.iter().any(|r| r.class == "InlineJavascriptRequirement");
        let mut out = Vec::new();
        for (id, at, n) in listed {
            let mut reader = self.reader(file);
            let mut own = reader.requirements(n.get("requirements"), false);
            own.extend(reader.requirements(n.get("hints"), true));
            let mut down = own.clone();
            for r in all {
                if !down.iter().any(|o| o.class == r.class) {
                    down.push(r.clone());
                }
            }
            let run = self.run(path, file, &id, at, n, &down);
            let mut reader = self.reader(file);
            reader.scripts =
                scripts || own.iter().any(|r| r.class == "InlineJavascriptRequirement");
            out.push(reader.step(id, at, n, run, own));
        }
        out
    }

    fn run(
        &mut self,
        path: &Path,
        file: &Rc<str>,
        id: &str,
        at: At,
        step: &Node,
        down: &[Requirement],
    ) -> Option<Rc<Process>> {
        let Some(run) = step.get("run") else {
            self.reader(file)
                .error(at, format!("step {id}: run is missing"));
            return None;
        };
        let from = (Rc::clone(file), run.at);
        let reference = run
            .text()
            .or_else(|| run.get("$import").and_then(Node::text));
        match reference {
            Some(r) => {
                let (target, id) = r.split_once('#').unwrap_or((r, ""));
                if target.contains("://") {
                    self.error(&from, format!("{r}: only files are read, by relative path"));
                    return None;
                }
                let target = if target.is_empty() {
                    path.to_path_buf()
                } else {
                    path.parent().unwrap_or(Path::new("")).join(target)
                };
                self.process(&target, id, down, &from)
            }
            None => {
                if self.open.len() >= MOST_NESTED {
                    self.error(&from, format!("workflows nested over {MOST_NESTED} deep"));
                    return None;
                }
                self.open
                    .push((path.into(), format!("{id}, line {}", run.at.line)));
                let read = self.read(path, file, run, down);
                self.open.pop();
                read
            }
        }
    }

    /// The types of `SchemaDefRequirement`, in the order they are written.
    fn named_types(
        &mut self,
        path: &Path,
        file: &Rc<str>,
        all: &[Requirement],
    ) -> (Named, NamedWithin) {
        let mut named = (Named::new(), NamedWithin::new());
        for r in all.iter().filter(|r| r.class == "SchemaDefRequirement") {
            let Some(crate::node::Value::List(types)) = r.node.get("types").map(|n| &n.value)
            else {
                self.reader(file)
                    .error(r.at, "SchemaDefRequirement: types is wanted, a list");
                continue;
            };
            for t in types {
                self.named_type(path, file, t, &mut named);
            }
        }
        named
    }

    fn named_type(
        &mut self,
        path: &Path,
        file: &Rc<str>,
        t: &Node,
        named: &mut (Named, NamedWithin),
    ) {
        if let Some(import) = t.get("$import").and_then(Node::text) {
            let target = tidy(&path.parent().unwrap_or(Path::new("")).join(import));
            let from = (Rc::clone(file), t.at);
            if let Some(tree) = self.tree(&target, &from) {
                let imported: Rc<str> = target.display().to_string().into();
                let list = match &tree.value {
                    crate::node::Value::List(l) => l.clone(),
                    _ => vec![(*tree).clone()],
                };
                for t in &list {
                    // One level: what is imported names its types itself.
                    if t.get("$import").is_none() {
                        self.named_type(&target, &imported, t, named);
                    }
                }
            }
            return;
        }
        let name = t
            .get("name")
            .and_then(Node::text)
            .map(|n| short(n).to_string());
        let mut reader = self.reader(file);
        let Some(name) = name else {
            return reader.error(t.at, "SchemaDefRequirement: a type's name is missing");
        };
        (reader.named, reader.named_within) = named.clone();
        let read = reader.kind(t, &name);
        let within = reader.within(t, &name);
        named.0.insert(name.clone(), read);
        named.1.insert(name, within);
    }
}
