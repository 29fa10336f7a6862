//! Parameter references and JavaScript in documents.
//!
//! References are evaluated without a script engine. JavaScript runs in an
//! embedded QuickJS of its own for each expression, limited in memory, stack,
//! steps and time, with nothing to reach: no files, network, processes, modules.

use rquickjs::{CatchResultExt, Context as Engine, Runtime};
use serde_json::{Map, Value, json};
use std::time::{Duration, Instant};

/// Longest text with expressions in it, in bytes.
const MOST_TEXT: usize = 256 * 1024;
/// Deepest nesting of brackets in an expression.
const MOST_DEPTH: usize = 100;

/// Limits of one evaluation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes that the engine may hold.
    pub memory: usize,
    /// Bytes of its stack.
    pub stack: usize,
    /// Steps, in the engine's own count of some ten thousand operations each.
    pub steps: u32,
    /// Time, whatever the steps.
    pub time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            memory: 32 * 1024 * 1024,
            stack: 256 * 1024,
            steps: 5_000,
            time: Duration::from_secs(5),
        }
    }
}

/// Why an expression could not be read or evaluated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExpressionError {
    /// It cannot be read.
    #[error("{0}")]
    Form(String),
    /// A reference leads nowhere.
    #[error("{reference}: {why}")]
    Reference {
        /// The reference.
        reference: String,
        /// What is missing.
        why: String,
    },
    /// The script threw, or ran away.
    #[error("script: {0}")]
    Script(String),
}

/// What expressions see.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    /// `inputs`.
    pub inputs: Value,
    /// `self`.
    pub this: Value,
    /// `runtime`.
    pub runtime: Value,
}

/// A step of a reference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// A field.
    Field(String),
    /// A place in a list.
    Index(usize),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Piece {
    Literal(String),
    Reference(String, Vec<Segment>),
    Script(String),
    Body(String),
}

/// A text with expressions in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template(Vec<Piece>);

/// The name that a text begins with, and what follows.
fn symbol(text: &str) -> Option<(&str, &str)> {
    let n = text
        .find(|c: char| !(c.is_alphanumeric() || c == '_'))
        .unwrap_or(text.len());
    (n > 0).then(|| text.split_at(n))
}

/// Reads `inputs.a["b"][0].c`; `None`: it is no plain reference.
fn reference(text: &str) -> Option<Vec<Segment>> {
    let (first, mut rest) = symbol(text)?;
    let mut out = vec![Segment::Field(first.into())];
    while !rest.is_empty() {
        if let Some(after) = rest.strip_prefix('.') {
            let (name, after) = symbol(after)?;
            out.push(Segment::Field(name.into()));
            rest = after;
            continue;
        }
        let inner = rest.strip_prefix('[')?;
        if let Some(quote) = inner.chars().next().filter(|c| matches!(c, '\'' | '"')) {
            let mut name = String::new();
            let mut chars = inner[1..].char_indices();
            let end = loop {
                match chars.next()? {
                    (_, '\\') => name.push(chars.next()?.1),
                    (i, c) if c == quote => break i,
                    (_, c) => name.push(c),
                }
            };
            rest = inner[1 + end + 1..].strip_prefix(']')?;
            out.push(Segment::Field(name));
        } else {
            let (digits, after) = inner.split_once(']')?;
            out.push(Segment::Index(digits.parse().ok()?));
            rest = after;
        }
    }
    Some(out)
}

/// The length of an expression up to the bracket that closes it.
fn closing(text: &str, open: char, close: char) -> Result<usize, String> {
    let mut depth = 0usize;
    let mut quote: Option<char> = None;
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match quote {
            Some(q) => match c {
                '\\' => {
                    chars.next();
                }
                c if c == q => quote = None,
                _ => {}
            },
            None if matches!(c, '\'' | '"' | '`') => quote = Some(c),
            None if c == open => {
                depth += 1;
                if depth > MOST_DEPTH {
                    return Err(format!("brackets over {MOST_DEPTH} deep"));
                }
            }
            None if c == close => {
                depth -= 1;
                if depth == 0 {
                    return Ok(i);
                }
            }
            None => {}
        }
    }
    Err(format!("an expression without its closing {close}"))
}

impl Template {
    /// Reads a text; `scripts`: JavaScript is allowed where it stands.
    ///
    /// # Errors
    /// Brackets do not close, it is over a limit, or a script stands where none
    /// is allowed.
    pub fn read(text: &str, scripts: bool) -> Result<Template, ExpressionError> {
        let form = |e: String| ExpressionError::Form(e);
        if text.len() > MOST_TEXT {
            return Err(form(format!("{} bytes, at most {MOST_TEXT}", text.len())));
        }
        // A text that is nothing but an expression keeps its type.
        let trimmed = text.trim();
        let text = if trimmed.starts_with("$(") || trimmed.starts_with("${") {
            trimmed
        } else {
            text
        };
        let (mut pieces, mut literal, mut rest) = (Vec::new(), String::new(), text);
        while let Some(c) = rest.chars().next() {
            let escaped = ["\\$(", "\\${", "\\\\"]
                .iter()
                .find(|e| rest.starts_with(**e));
            if let Some(e) = escaped {
                literal.push_str(&e[1..]);
                rest = &rest[e.len()..];
                continue;
            }
            let (open, close) = match () {
                () if rest.starts_with("$(") => ('(', ')'),
                () if rest.starts_with("${") => ('{', '}'),
                () => {
                    literal.push(c);
                    rest = &rest[c.len_utf8()..];
                    continue;
                }
            };
            let end = closing(&rest[1..], open, close).map_err(form)?;
            let inner = &rest[2..1 + end];
            rest = &rest[2 + end..];
            if !literal.is_empty() {
                pieces.push(Piece::Literal(std::mem::take(&mut literal)));
            }
            pieces.push(match reference(inner) {
                Some(segments) if open == '(' => Piece::Reference(inner.into(), segments),
                _ if !scripts => {
                    return Err(form(format!(
                        "{inner}: no plain reference; JavaScript needs InlineJavascriptRequirement"
                    )));
                }
                _ if open == '(' => Piece::Script(inner.into()),
                _ => Piece::Body(inner.into()),
            });
        }
        if !literal.is_empty() || pieces.is_empty() {
            pieces.push(Piece::Literal(literal));
        }
        Ok(Template(pieces))
    }

    /// The references in it, to be checked before anything runs.
    pub fn references(&self) -> impl Iterator<Item = &[Segment]> {
        self.0.iter().filter_map(|p| match p {
            Piece::Reference(_, segments) => Some(segments.as_slice()),
            _ => None,
        })
    }

    /// Its value: of any type if it is one expression alone, text otherwise.
    /// `library`: scripts that are evaluated first.
    ///
    /// # Errors
    /// A reference leads nowhere, or a script fails or runs away.
    pub fn evaluate(
        &self,
        scope: &Scope,
        library: &[String],
        limits: Limits,
    ) -> Result<Value, ExpressionError> {
        let value = |p: &Piece| match p {
            Piece::Literal(t) => Ok(Value::from(t.as_str())),
            Piece::Reference(text, segments) => follow(scope, text, segments),
            Piece::Script(s) => script(&format!("return ({s});"), scope, library, limits),
            Piece::Body(s) => script(s, scope, library, limits),
        };
        if let [one] = self.0.as_slice() {
            return value(one);
        }
        let mut out = String::new();
        for p in &self.0 {
            match value(p)? {
                Value::String(s) => out.push_str(&s),
                other => out.push_str(&other.to_string()),
            }
        }
        Ok(out.into())
    }
}

fn follow(scope: &Scope, text: &str, segments: &[Segment]) -> Result<Value, ExpressionError> {
    let missing = |why: String| ExpressionError::Reference {
        reference: text.into(),
        why,
    };
    let mut segments = segments.iter();
    let mut here = match segments.next() {
        Some(Segment::Field(f)) if f == "inputs" => scope.inputs.clone(),
        Some(Segment::Field(f)) if f == "self" => scope.this.clone(),
        Some(Segment::Field(f)) if f == "runtime" => scope.runtime.clone(),
        Some(Segment::Field(f)) if f == "null" => Value::Null,
        _ => {
            return Err(missing(
                "begins with neither inputs, self nor runtime".into(),
            ));
        }
    };
    for s in segments {
        here = match (s, &here) {
            (Segment::Field(f), Value::Object(m)) => m.get(f).cloned().unwrap_or(Value::Null),
            (Segment::Field(f), Value::Array(a)) if f == "length" => a.len().into(),
            (Segment::Index(i), Value::Array(a)) => match a.get(*i) {
                Some(v) => v.clone(),
                None => return Err(missing(format!("no item {i} in a list of {}", a.len()))),
            },
            (Segment::Field(f), other) => {
                return Err(missing(format!("no field {f} in {other}")));
            }
            (Segment::Index(i), other) => {
                return Err(missing(format!("no item {i} in {other}")));
            }
        };
    }
    Ok(here)
}

/// Runs a function's body.
fn script(
    body: &str,
    scope: &Scope,
    library: &[String],
    limits: Limits,
) -> Result<Value, ExpressionError> {
    let failed = |e: String| ExpressionError::Script(e);
    let engine = |e: rquickjs::Error| failed(e.to_string());
    let runtime = Runtime::new().map_err(engine)?;
    runtime.set_memory_limit(limits.memory);
    runtime.set_max_stack_size(limits.stack);
    let (begin, mut steps) = (Instant::now(), 0);
    runtime.set_interrupt_handler(Some(Box::new(move || {
        steps += 1;
        steps > limits.steps || begin.elapsed() > limits.time
    })));
    let context = Engine::full(&runtime).map_err(engine)?;
    let mut given = Map::new();
    given.insert("inputs".into(), scope.inputs.clone());
    given.insert("self".into(), scope.this.clone());
    given.insert("runtime".into(), scope.runtime.clone());
    // A string literal of JSON: what is in it cannot end it.
    let given = json!(Value::Object(given).to_string()).to_string();
    let source = format!(
        "\"use strict\";\n{}\n(function() {{\n const g = JSON.parse({given});\n \
         const inputs = g.inputs, self = g.self, runtime = g.runtime;\n \
         const out = (function() {{\n{body}\n}})();\n \
         return JSON.stringify(out === undefined ? null : out);\n}})()",
        library.join("\n")
    );
    let text = context.with(|ctx| {
        let out: Result<String, _> = ctx.eval::<String, _>(source).catch(&ctx);
        out.map_err(|e| failed(e.to_string().trim().to_string()))
    })?;
    serde_json::from_str(&text).map_err(|e| failed(e.to_string()))
}
