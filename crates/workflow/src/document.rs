//! CWL v1.2 documents as they are used: read from nodes, each field with its
//! place, everything wrong gathered.

use crate::bindings::{NamedWithin, Within};
use crate::expression::Template;
use crate::needs::Needs;
use crate::node::{Node, Value};
use crate::problem::{At, Problems};
use crate::types::{SIMPLE, Type};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A text that may hold expressions, and its place.
#[derive(Clone, Debug)]
pub struct Expr {
    /// The text.
    pub text: String,
    /// Its place.
    pub at: At,
    /// As read; `None`: it could not be, which is among the problems.
    pub template: Option<Template>,
}

/// How an input becomes part of the command line.
#[derive(Clone, Debug, Default)]
pub struct Binding {
    /// Its place in the order: a number or an expression.
    pub position: Option<Expr>,
    /// Text before it.
    pub prefix: Option<String>,
    /// Whether the prefix is an argument of its own.
    pub separate: bool,
    /// Joins a list into one argument.
    pub item_separator: Option<String>,
    /// Whether a shell command quotes it.
    pub shell_quote: bool,
    /// The value instead of the input's own.
    pub value_from: Option<Expr>,
    /// Whether the file is read, as it was written before v1.1.
    pub load_contents: bool,
}

/// A file that belongs to another one.
#[derive(Clone, Debug)]
pub struct Secondary {
    /// Its name, made from the other's, or an expression.
    pub pattern: Expr,
    /// Whether it has to be there; `None`: an input's has, an output's has not.
    pub required: Option<Flag>,
}

/// True or false, or what an expression says.
#[derive(Clone, Debug)]
pub enum Flag {
    /// As it is written.
    Always(bool),
    /// As an expression says.
    If(Expr),
}

/// How much of a directory's content an expression sees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// Nothing.
    #[default]
    None,
    /// What is in it.
    Shallow,
    /// Likewise, at any depth.
    Deep,
}

/// How an output is found.
#[derive(Clone, Debug, Default)]
pub struct OutputBinding {
    /// Patterns of file names.
    pub glob: Vec<Expr>,
    /// Whether the first 64 KiB are read.
    pub load_contents: bool,
    /// What of a directory is listed.
    pub listing: Option<Listing>,
    /// Makes the value.
    pub output_eval: Option<Expr>,
}

/// A standard stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard input.
    In,
    /// Standard output.
    Out,
    /// Standard error.
    Err,
}

/// An input or output.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// Its name.
    pub id: String,
    /// Its place.
    pub at: At,
    /// Its type.
    pub kind: Type,
    /// The value if none is given.
    pub default: Option<serde_json::Value>,
    /// For inputs of tools.
    pub binding: Option<Binding>,
    /// Bindings within its type.
    pub within: Within,
    /// Whether the first 64 KiB of a file are read.
    pub load_contents: bool,
    /// What of a directory is listed.
    pub listing: Option<Listing>,
    /// For outputs of tools.
    pub output: Option<OutputBinding>,
    /// The stream that it is, by its short form.
    pub stream: Option<Stream>,
    /// Patterns of files that belong to it.
    pub secondary: Vec<Secondary>,
    /// For outputs of workflows.
    pub links: Links,
}

/// Where values come from.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// The sources.
    pub sources: Vec<(String, At)>,
    /// How several are put together.
    pub merge: Option<Merge>,
    /// How null values are left out.
    pub pick: Option<Pick>,
}

/// `linkMerge`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// One item each.
    Nested,
    /// The items of each.
    Flattened,
}

/// `pickValue`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The first that is not null.
    FirstNonNull,
    /// The only one that is not null.
    OnlyNonNull,
    /// All that are not null.
    AllNonNull,
}

/// `scatterMethod`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scatter {
    /// Items at the same place go together.
    Dot,
    /// Every combination, in nested lists.
    Nested,
    /// Every combination, in one list.
    Flat,
}

/// An input of a step.
#[derive(Clone, Debug)]
pub struct StepInput {
    /// Its name.
    pub id: String,
    /// Its place.
    pub at: At,
    /// Where it comes from.
    pub links: Links,
    /// The value if none comes.
    pub default: Option<serde_json::Value>,
    /// Makes the value.
    pub value_from: Option<Expr>,
}

/// A step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Its name.
    pub id: String,
    /// Its place.
    pub at: At,
    /// Its inputs.
    pub inputs: Vec<StepInput>,
    /// Its outputs, by name.
    pub outputs: Vec<(String, At)>,
    /// What it runs; `None`: it could not be read.
    pub run: Option<Rc<Process>>,
    /// Whether it runs.
    pub when: Option<Expr>,
    /// Inputs whose lists are taken apart.
    pub scatter: Vec<(String, At)>,
    /// How.
    pub method: Option<Scatter>,
    /// Its own requirements and hints.
    pub requirements: Vec<Requirement>,
}

/// A requirement or hint.
#[derive(Clone, Debug)]
pub struct Requirement {
    /// Its class.
    pub class: String,
    /// Its place.
    pub at: At,
    /// The file that it stands in.
    pub file: Rc<str>,
    /// Whether it may be left out.
    pub hint: bool,
    /// Its fields.
    pub node: Node,
}

/// Requirements that are carried out, or have nothing to be carried out.
pub const REQUIREMENTS: [&str; 16] = [
    "EnvVarRequirement",
    "InitialWorkDirRequirement",
    "InlineJavascriptRequirement",
    "InplaceUpdateRequirement",
    "LoadListingRequirement",
    "MultipleInputFeatureRequirement",
    "NetworkAccess",
    "ResourceRequirement",
    "ScatterFeatureRequirement",
    "SchemaDefRequirement",
    "ShellCommandRequirement",
    "StepInputExpressionRequirement",
    "SubworkflowFeatureRequirement",
    "ToolTimeLimit",
    "WorkReuse",
    crate::needs::JOB,
];

/// What a process is.
#[derive(Clone, Debug)]
pub enum Kind {
    /// Runs a command.
    Tool(Box<Tool>),
    /// Evaluates an expression.
    Expression(Option<Expr>),
    /// Runs steps.
    Workflow(Vec<Step>),
    /// Only says what goes in and out.
    Operation,
}

/// A command.
#[derive(Clone, Debug, Default)]
pub struct Tool {
    /// The command's own words.
    pub base: Vec<String>,
    /// Further arguments.
    pub arguments: Vec<Binding>,
    /// Where its input comes from and its output goes.
    pub stdin: Option<Expr>,
    /// Likewise.
    pub stdout: Option<Expr>,
    /// Likewise.
    pub stderr: Option<Expr>,
    /// Exit codes that mean success.
    pub success: Vec<i64>,
    /// Exit codes after which it may be tried again.
    pub temporary: Vec<i64>,
}

/// A process.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its file.
    pub file: Rc<str>,
    /// Its place.
    pub at: At,
    /// Its name, if it has one.
    pub id: Option<String>,
    /// Its inputs.
    pub inputs: Vec<Parameter>,
    /// Its outputs.
    pub outputs: Vec<Parameter>,
    /// What it is.
    pub kind: Kind,
    /// Requirements and hints, with what it inherits.
    pub requirements: Vec<Requirement>,
    /// What they ask for.
    pub needs: Needs,
    /// Tells it from every other, wherever it stands: a hash of what it says.
    pub hash: String,
}

impl Process {
    /// A requirement or hint of this class.
    pub fn requires(&self, class: &str) -> Option<&Requirement> {
        self.requirements.iter().find(|r| r.class == class)
    }
}

/// Types with names, from `SchemaDefRequirement`.
pub type Named = BTreeMap<String, Type>;

/// Reads one file's nodes.
pub struct Reader<'a> {
    /// The file.
    pub file: Rc<str>,
    /// What is wrong so far.
    pub problems: &'a mut Problems,
    /// Types with names.
    pub named: Named,
    /// Bindings within them.
    pub named_within: NamedWithin,
    /// Whether JavaScript is allowed here.
    pub scripts: bool,
}

/// Fields of a map, ticked off as they are read.
pub struct Fields<'n> {
    what: String,
    at: At,
    left: Vec<(&'n str, At, &'n Node)>,
}

/// The last part of an id: `file.cwl#main/step/in` is `in` where it stands.
pub fn short(id: &str) -> &str {
    let id = id.rsplit_once('#').map_or(id, |(_, i)| i);
    id.rsplit_once('/').map_or(id, |(_, i)| i)
}

impl<'a> Reader<'a> {
    /// Adds an error.
    pub fn error(&mut self, at: At, text: impl Into<String>) {
        self.problems.error(&self.file, at, text);
    }

    /// A map's fields; an error if it is none.
    pub fn fields<'n>(&mut self, node: &'n Node, what: &str) -> Option<Fields<'n>> {
        let Value::Map(map) = &node.value else {
            self.error(node.at, format!("{what}: {}, a map is wanted", node.kind()));
            return None;
        };
        let left = map
            .iter()
            .map(|(k, n)| (k.text.as_str(), k.at, n))
            .collect();
        Some(Fields {
            what: what.into(),
            at: node.at,
            left,
        })
    }

    /// What is left of a map's fields is unknown, but for other vocabularies'.
    pub fn finish(&mut self, f: Fields<'_>, known: &[&str]) {
        for (name, at, _) in f.left {
            let foreign = name.contains(':') || name.starts_with('$');
            if foreign || known.contains(&name) {
                continue;
            }
            let near = known.iter().find(|k| k.eq_ignore_ascii_case(name));
            let hint = match near {
                Some(k) => format!("; {k} is meant?"),
                None => format!("; there are {}", known.join(", ")),
            };
            self.error(at, format!("{}: unknown field {name}{hint}", f.what));
        }
    }

    /// Text, or an error.
    pub fn text(&mut self, node: &Node, what: &str) -> Option<String> {
        match &node.value {
            Value::Text(t) => Some(t.clone()),
            _ => {
                self.error(node.at, format!("{what}: {}, text is wanted", node.kind()));
                None
            }
        }
    }

    /// True or false, or the default.
    pub fn flag(&mut self, node: Option<&Node>, what: &str, default: bool) -> bool {
        match node.map(|n| (&n.value, n.at)) {
            None => default,
            Some((Value::Bool(b), _)) => *b,
            Some((_, at)) => {
                self.error(at, format!("{what}: true or false is wanted"));
                default
            }
        }
    }

    /// True or false, or an expression.
    pub fn either(&mut self, node: Option<&Node>, what: &str) -> Option<Flag> {
        let node = node?;
        match node.value {
            Value::Bool(b) => Some(Flag::Always(b)),
            _ => self.expr(node, what).map(Flag::If),
        }
    }

    /// Text with expressions; numbers are taken as text.
    pub fn expr(&mut self, node: &Node, what: &str) -> Option<Expr> {
        let text = match &node.value {
            Value::Text(t) => t.clone(),
            Value::Int(i) => i.to_string(),
            Value::Float(f) => f.to_string(),
            _ => {
                let kind = node.kind();
                self.error(
                    node.at,
                    format!("{what}: {kind}, text or an expression is wanted"),
                );
                return None;
            }
        };
        let template = match Template::read(&text, self.scripts) {
            Ok(t) => Some(t),
            Err(e) => {
                self.error(node.at, format!("{what}: {e}"));
                None
            }
        };
        let at = node.at;
        Some(Expr { text, at, template })
    }

    /// A list, or one thing as a list of it.
    pub fn list<'n>(&mut self, node: Option<&'n Node>) -> Vec<&'n Node> {
        match node.map(|n| &n.value) {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::List(l)) => l.iter().collect(),
            Some(_) => node.into_iter().collect(),
        }
    }

    /// A list of maps with ids, or a map from ids.
    pub fn named_list<'n>(
        &mut self,
        node: Option<&'n Node>,
        what: &str,
    ) -> Vec<(String, At, &'n Node)> {
        let Some(node) = node else { return Vec::new() };
        match &node.value {
            Value::Null => Vec::new(),
            Value::Map(m) => m
                .iter()
                .map(|(k, n)| (short(&k.text).to_string(), k.at, n))
                .collect(),
            Value::List(l) => {
                let mut out: Vec<(String, At, &Node)> = Vec::new();
                for n in l {
                    let id = n.get("id").or_else(|| n.get("name"));
                    match id.and_then(Node::text) {
                        Some(id) => {
                            let id = short(id).to_string();
                            if out.iter().any(|(i, _, _)| *i == id) {
                                self.error(n.at, format!("{what} {id}: stands here a second time"));
                            }
                            out.push((id, n.at, n));
                        }
                        None => self.error(n.at, format!("{what}: an id is missing")),
                    }
                }
                out
            }
            _ => {
                self.error(
                    node.at,
                    format!("{what}: {}, a map or list is wanted", node.kind()),
                );
                Vec::new()
            }
        }
    }

    // ---- types ----

    /// A type that was read before: what is wrong with it is told already.
    pub fn kind_again(&mut self, node: &Node) -> Type {
        let told = std::mem::take(self.problems);
        let kind = self.kind(node, "");
        *self.problems = told;
        kind
    }

    /// A type; `Any` stands in for one that cannot be read.
    pub fn kind(&mut self, node: &Node, what: &str) -> Type {
        match &node.value {
            Value::Text(t) => self.kind_named(t, node.at, what),
            Value::List(l) => {
                let types: Vec<Type> = l.iter().map(|n| self.kind(n, what)).collect();
                match types.len() {
                    0 => {
                        self.error(node.at, format!("{what}: a type without alternatives"));
                        Type::Any
                    }
                    1 => types.into_iter().next().unwrap_or(Type::Any),
                    _ => Type::Union(types),
                }
            }
            Value::Map(_) => self.kind_made(node, what),
            _ => {
                self.error(
                    node.at,
                    format!("{what}: {}, a type is wanted", node.kind()),
                );
                Type::Any
            }
        }
    }

    fn kind_named(&mut self, t: &str, at: At, what: &str) -> Type {
        if let Some(inner) = t.strip_suffix('?') {
            return self.kind_named(inner, at, what).optional();
        }
        if let Some(inner) = t.strip_suffix("[]") {
            return Type::Array(Box::new(self.kind_named(inner, at, what)));
        }
        if let Some((_, found)) = SIMPLE.iter().find(|(name, _)| *name == t) {
            return found.clone();
        }
        if let Some(found) = self.named.get(short(t)) {
            return found.clone();
        }
        let near = SIMPLE.iter().find(|(n, _)| n.eq_ignore_ascii_case(t));
        let hint = match near {
            Some((n, _)) => format!("{n} is meant?"),
            None => "it is neither a type of CWL nor in SchemaDefRequirement".into(),
        };
        self.error(at, format!("{what}: unknown type {t}; {hint}"));
        Type::Any
    }

    fn kind_made(&mut self, node: &Node, what: &str) -> Type {
        let class = node.get("type").and_then(Node::text).unwrap_or("");
        match class {
            "array" => match node.get("items") {
                Some(items) => Type::Array(Box::new(self.kind(items, what))),
                None => {
                    self.error(node.at, format!("{what}: an array without items"));
                    Type::Array(Box::new(Type::Any))
                }
            },
            "enum" => {
                let mut words = Vec::new();
                for n in self.list(node.get("symbols")) {
                    if let Some(w) = self.text(n, "a symbol") {
                        words.push(short(&w).to_string());
                    }
                }
                if words.is_empty() {
                    self.error(node.at, format!("{what}: an enum without symbols"));
                }
                Type::Enum(words)
            }
            "record" => {
                let mut fields = Vec::new();
                for (name, at, n) in self.named_list(node.get("fields"), "field") {
                    let t = match &n.value {
                        Value::Map(_) => match n.get("type") {
                            Some(t) => self.kind(t, &format!("{what}.{name}")),
                            None => {
                                self.error(at, format!("{what}.{name}: a type is missing"));
                                Type::Any
                            }
                        },
                        _ => self.kind(n, &format!("{what}.{name}")),
                    };
                    fields.push((name, t));
                }
                Type::Record(fields)
            }
            other => {
                // A parameter's own map within a type is read as its type.
                let at = node.get("type").map_or(node.at, |n| n.at);
                match node.get("type") {
                    Some(t) if other.is_empty() => self.kind(t, what),
                    Some(_) => self.kind_named(other, at, what),
                    None => {
                        self.error(at, format!("{what}: a type is missing"));
                        Type::Any
                    }
                }
            }
        }
    }

    // ---- parameters ----

    /// Inputs or outputs of a process.
    pub fn parameters(&mut self, node: Option<&Node>, output: bool, tool: bool) -> Vec<Parameter> {
        let what = if output { "output" } else { "input" };
        let mut out = Vec::new();
        for (id, at, n) in self.named_list(node, what) {
            out.push(self.parameter(id, at, n, output, tool));
        }
        out
    }

    fn parameter(&mut self, id: String, at: At, n: &Node, output: bool, tool: bool) -> Parameter {
        let what = format!("{} {id}", if output { "output" } else { "input" });
        let mut p = Parameter {
            id,
            at,
            kind: Type::Any,
            default: None,
            binding: None,
            within: Within::Nothing,
            load_contents: false,
            listing: None,
            output: None,
            stream: None,
            secondary: Vec::new(),
            links: Links::default(),
        };
        // A map that has no field of a parameter is a type written out.
        let full = matches!(n.value, Value::Map(_)) && n.get("type").is_some();
        let written =
            n.get("items").is_some() || n.get("symbols").is_some() || n.get("fields").is_some();
        if !full || written {
            p.kind = self.shortcut(n, &what, output && tool, &mut p.stream);
            if !output {
                p.within = self.within(n, &what);
            }
            return p;
        }
        let Some(mut f) = self.fields(n, &what) else {
            return p;
        };
        if let Some(t) = f.take("type") {
            p.kind = self.shortcut(t, &what, output && tool, &mut p.stream);
            if !output {
                p.within = self.within(t, &what);
            }
        }
        p.default = f.take("default").map(Node::json);
        if let Some(b) = f.take("inputBinding") {
            p.binding = self.binding(b, &what);
        }
        if let Some(b) = f.take("outputBinding") {
            p.output = self.output_binding(b, &what);
        }
        p.load_contents = self.flag(
            f.take("loadContents"),
            &format!("{what}.loadContents"),
            false,
        ) || p.binding.as_ref().is_some_and(|b| b.load_contents);
        p.listing = self.listing(f.take("loadListing"), &what);
        for s in self.list(f.take("secondaryFiles")) {
            p.secondary
                .extend(self.secondary(s, &format!("{what}.secondaryFiles")));
        }
        let named = if output { "outputSource" } else { "source" };
        p.links = self.links(&mut f, named, &what);
        self.finish(
            f,
            &[
                "type",
                "default",
                "inputBinding",
                "outputBinding",
                "secondaryFiles",
                "outputSource",
                "linkMerge",
                "pickValue",
                "id",
                "name",
                "label",
                "doc",
                "format",
                "streamable",
                "loadContents",
                "loadListing",
            ],
        );
        p
    }

    /// How much of a directory is listed.
    pub fn listing(&mut self, n: Option<&Node>, what: &str) -> Option<Listing> {
        let words = [
            ("no_listing", Listing::None),
            ("shallow_listing", Listing::Shallow),
            ("deep_listing", Listing::Deep),
        ];
        self.word(n, &format!("{what}.loadListing"), &words)
    }

    fn secondary(&mut self, n: &Node, what: &str) -> Option<Secondary> {
        let mut pattern = self.expr(n.get("pattern").unwrap_or(n), what)?;
        let required = self.either(n.get("required"), &format!("{what}.required"));
        // A pattern that ends with a question mark need not be there.
        if let Some(plain) = pattern.text.strip_suffix('?').map(String::from)
            && !plain.starts_with("$(")
            && !plain.starts_with("${")
        {
            pattern.template = Template::read(&plain, self.scripts).ok();
            pattern.text = plain;
            return Some(Secondary {
                pattern,
                required: required.or(Some(Flag::Always(false))),
            });
        }
        Some(Secondary { pattern, required })
    }

    /// `stdout` and `stderr` as types of a tool's outputs; `stdin` of an input.
    fn shortcut(&mut self, n: &Node, what: &str, output: bool, found: &mut Option<Stream>) -> Type {
        let stream = match (n.text(), output) {
            (Some("stdout"), true) => Some(Stream::Out),
            (Some("stderr"), true) => Some(Stream::Err),
            (Some("stdin"), false) => Some(Stream::In),
            _ => None,
        };
        if stream.is_none() {
            return self.kind(n, what);
        }
        *found = stream;
        Type::File
    }

    /// An `inputBinding`.
    pub fn binding(&mut self, n: &Node, what: &str) -> Option<Binding> {
        let what = format!("{what}.inputBinding");
        let mut f = self.fields(n, &what)?;
        let mut b = Binding {
            separate: true,
            shell_quote: true,
            ..Binding::default()
        };
        b.position = f
            .take("position")
            .and_then(|p| self.expr(p, &format!("{what}.position")));
        b.prefix = f
            .take("prefix")
            .and_then(|p| self.text(p, &format!("{what}.prefix")));
        b.separate = self.flag(f.take("separate"), &format!("{what}.separate"), true);
        b.item_separator = f
            .take("itemSeparator")
            .and_then(|p| self.text(p, &format!("{what}.itemSeparator")));
        b.shell_quote = self.flag(f.take("shellQuote"), &format!("{what}.shellQuote"), true);
        b.value_from = f
            .take("valueFrom")
            .and_then(|p| self.expr(p, &format!("{what}.valueFrom")));
        b.load_contents = self.flag(
            f.take("loadContents"),
            &format!("{what}.loadContents"),
            false,
        );
        self.finish(
            f,
            &[
                "position",
                "prefix",
                "separate",
                "itemSeparator",
                "shellQuote",
                "valueFrom",
                "loadContents",
            ],
        );
        Some(b)
    }

    fn output_binding(&mut self, n: &Node, what: &str) -> Option<OutputBinding> {
        let what = format!("{what}.outputBinding");
        let mut f = self.fields(n, &what)?;
        let mut b = OutputBinding::default();
        for g in self.list(f.take("glob")) {
            b.glob.extend(self.expr(g, &format!("{what}.glob")));
        }
        b.load_contents = self.flag(
            f.take("loadContents"),
            &format!("{what}.loadContents"),
            false,
        );
        b.listing = self.listing(f.take("loadListing"), &what);
        b.output_eval = f
            .take("outputEval")
            .and_then(|p| self.expr(p, &format!("{what}.outputEval")));
        self.finish(f, &["glob", "loadContents", "loadListing", "outputEval"]);
        Some(b)
    }

    /// One of some words.
    pub fn word<T: Copy>(
        &mut self,
        node: Option<&Node>,
        what: &str,
        words: &[(&str, T)],
    ) -> Option<T> {
        let node = node?;
        let found = node
            .text()
            .and_then(|t| words.iter().find(|(w, _)| *w == t));
        if found.is_none() {
            let names: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
            self.error(
                node.at,
                format!("{what}: has to be one of {}", names.join(", ")),
            );
        }
        found.map(|(_, v)| *v)
    }

    fn links(&mut self, f: &mut Fields<'_>, field: &str, what: &str) -> Links {
        let node = f.take(field);
        let mut links = Links::default();
        for n in self.list(node) {
            if let Some(s) = self.text(n, &format!("{what}.{field}")) {
                let s = s.rsplit_once('#').map_or(s.as_str(), |(_, i)| i);
                links.sources.push((s.to_string(), n.at));
            }
        }
        let merges = [
            ("merge_nested", Merge::Nested),
            ("merge_flattened", Merge::Flattened),
        ];
        links.merge = self.word(f.take("linkMerge"), &format!("{what}.linkMerge"), &merges);
        let picks = [
            ("first_non_null", Pick::FirstNonNull),
            ("the_only_non_null", Pick::OnlyNonNull),
            ("all_non_null", Pick::AllNonNull),
        ];
        links.pick = self.word(f.take("pickValue"), &format!("{what}.pickValue"), &picks);
        links
    }

    // ---- tools and steps ----

    /// The fields of a `CommandLineTool`.
    pub fn tool(&mut self, f: &mut Fields<'_>) -> Tool {
        let mut tool = Tool::default();
        for n in self.list(f.take("baseCommand")) {
            tool.base.extend(self.text(n, "baseCommand"));
        }
        for n in self.list(f.take("arguments")) {
            if matches!(n.value, Value::Map(_)) {
                tool.arguments.extend(self.binding(n, "arguments"));
            } else if let Some(e) = self.expr(n, "arguments") {
                tool.arguments.push(Binding {
                    separate: true,
                    shell_quote: true,
                    value_from: Some(e),
                    ..Binding::default()
                });
            }
        }
        tool.stdin = f.take("stdin").and_then(|n| self.expr(n, "stdin"));
        tool.stdout = f.take("stdout").and_then(|n| self.expr(n, "stdout"));
        tool.stderr = f.take("stderr").and_then(|n| self.expr(n, "stderr"));
        tool.success = self.codes(f.take("successCodes"), "successCodes");
        tool.temporary = self.codes(f.take("temporaryFailCodes"), "temporaryFailCodes");
        self.codes(f.take("permanentFailCodes"), "permanentFailCodes");
        tool
    }

    fn codes(&mut self, node: Option<&Node>, what: &str) -> Vec<i64> {
        let mut out = Vec::new();
        for n in self.list(node) {
            match n.value {
                Value::Int(i) if (0..=255).contains(&i) => out.push(i),
                _ => self.error(n.at, format!("{what}: an exit code is wanted, 0 to 255")),
            }
        }
        out
    }

    /// One step; `run` is read by the caller.
    pub fn step(
        &mut self,
        id: String,
        at: At,
        n: &Node,
        run: Option<Rc<Process>>,
        own: Vec<Requirement>,
    ) -> Step {
        let what = format!("step {id}");
        let mut step = Step {
            id,
            at,
            inputs: Vec::new(),
            outputs: Vec::new(),
            run,
            when: None,
            scatter: Vec::new(),
            method: None,
            requirements: own,
        };
        let Some(mut f) = self.fields(n, &what) else {
            return step;
        };
        for (id, at, n) in self.named_list(f.take("in"), "step input") {
            let what = format!("{what}, input {id}");
            let mut input = StepInput {
                id,
                at,
                links: Links::default(),
                default: None,
                value_from: None,
            };
            match &n.value {
                Value::Map(_) => {
                    if let Some(mut f) = self.fields(n, &what) {
                        for not in ["loadContents", "loadListing"] {
                            if let Some(n) = f.take(not) {
                                self.error(
                                    n.at,
                                    format!("{what}: {not} of a step's input is not carried out; write it at the input of what the step runs"),
                                );
                            }
                        }
                        input.links = self.links(&mut f, "source", &what);
                        input.default = f.take("default").map(Node::json);
                        input.value_from = f
                            .take("valueFrom")
                            .and_then(|e| self.expr(e, &format!("{what}.valueFrom")));
                        self.finish(
                            f,
                            &[
                                "source",
                                "linkMerge",
                                "pickValue",
                                "default",
                                "valueFrom",
                                "id",
                                "label",
                            ],
                        );
                    }
                }
                Value::Null => {}
                _ => {
                    for s in self.list(Some(n)) {
                        if let Some(t) = self.text(s, &what) {
                            let t = t.rsplit_once('#').map_or(t.as_str(), |(_, i)| i);
                            input.links.sources.push((t.to_string(), s.at));
                        }
                    }
                }
            }
            step.inputs.push(input);
        }
        for n in self.list(f.take("out")) {
            let id = n.get("id").unwrap_or(n);
            if let Some(t) = self.text(id, &format!("{what}.out")) {
                step.outputs.push((short(&t).to_string(), n.at));
            }
        }
        step.when = f
            .take("when")
            .and_then(|e| self.expr(e, &format!("{what}.when")));
        for n in self.list(f.take("scatter")) {
            if let Some(t) = self.text(n, &format!("{what}.scatter")) {
                step.scatter.push((short(&t).to_string(), n.at));
            }
        }
        let methods = [
            ("dotproduct", Scatter::Dot),
            ("nested_crossproduct", Scatter::Nested),
            ("flat_crossproduct", Scatter::Flat),
        ];
        step.method = self.word(
            f.take("scatterMethod"),
            &format!("{what}.scatterMethod"),
            &methods,
        );
        self.finish(
            f,
            &[
                "in",
                "out",
                "run",
                "when",
                "scatter",
                "scatterMethod",
                "id",
                "label",
                "doc",
                "requirements",
                "hints",
            ],
        );
        step
    }

    /// Steps by name.
    pub fn steps<'n>(&mut self, node: Option<&'n Node>) -> Vec<(String, At, &'n Node)> {
        self.named_list(node, "step")
    }

    /// Requirements or hints.
    pub fn requirements(&mut self, node: Option<&Node>, hint: bool) -> Vec<Requirement> {
        let what = if hint { "hints" } else { "requirements" };
        let Some(node) = node else { return Vec::new() };
        let mut out = Vec::new();
        let file = Rc::clone(&self.file);
        let mut add = |class: &str, at, node: &Node| {
            let (class, node) = (class.to_string(), node.clone());
            let file = Rc::clone(&file);
            out.push(Requirement {
                class,
                at,
                file,
                hint,
                node,
            });
        };
        match &node.value {
            Value::Null => {}
            Value::Map(m) => m.iter().for_each(|(k, n)| add(&k.text, k.at, n)),
            Value::List(l) => {
                for n in l {
                    match n.get("class").and_then(Node::text) {
                        Some(c) => add(c, n.at, n),
                        None => self.problems.error(
                            &self.file,
                            n.at,
                            format!("{what}: a class is missing"),
                        ),
                    }
                }
            }
            _ => self.error(node.at, format!("{what}: a map or list is wanted")),
        }
        out
    }
}

impl<'n> Fields<'n> {
    /// Takes a field, if it is there.
    pub fn take(&mut self, name: &str) -> Option<&'n Node> {
        let i = self.left.iter().position(|(n, _, _)| *n == name)?;
        Some(self.left.remove(i).2)
    }

    /// Where the map begins.
    pub fn at(&self) -> At {
        self.at
    }
}
