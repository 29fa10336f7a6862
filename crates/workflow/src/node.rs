//! YAML and JSON as a tree in which everything knows its place. Bounded: bytes,
//! depth, and nodes with aliases written out, so that a small file cannot become
//! a large one.

use crate::problem::{At, Problems};
use saphyr_parser::{Event, Parser, ScalarStyle, Span};
use std::collections::HashMap;
use std::rc::Rc;

/// Most bytes of a file.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;
/// Deepest nesting.
const MOST_DEPTH: usize = 100;
/// Most nodes, with aliases written out.
const MOST_NODES: usize = 300_000;

/// A node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it begins.
    pub at: At,
    /// What it is.
    pub value: Value,
}

/// A node's value.
#[derive(Clone, Debug)]
pub enum Value {
    /// Nothing.
    Null,
    /// True or false.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// Any other number.
    Float(f64),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// Fields, in order.
    Map(Vec<(Key, Node)>),
}

/// A field's name.
#[derive(Clone, Debug)]
pub struct Key {
    /// The name.
    pub text: String,
    /// Where it stands.
    pub at: At,
}

impl Node {
    /// Its kind, for errors.
    pub fn kind(&self) -> &'static str {
        match self.value {
            Value::Null => "null",
            Value::Bool(_) => "true or false",
            Value::Int(_) | Value::Float(_) => "a number",
            Value::Text(_) => "text",
            Value::List(_) => "a list",
            Value::Map(_) => "a map",
        }
    }

    /// As text, if it is.
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(t) => Some(t),
            _ => None,
        }
    }

    /// A field, if it is a map that has it.
    pub fn get(&self, name: &str) -> Option<&Node> {
        match &self.value {
            Value::Map(fields) => fields.iter().find(|(k, _)| k.text == name).map(|(_, n)| n),
            _ => None,
        }
    }

    /// As JSON.
    pub fn json(&self) -> serde_json::Value {
        use serde_json::Value as J;
        match &self.value {
            Value::Null => J::Null,
            Value::Bool(b) => (*b).into(),
            Value::Int(i) => (*i).into(),
            Value::Float(f) => (*f).into(),
            Value::Text(t) => t.as_str().into(),
            Value::List(l) => l.iter().map(Node::json).collect::<Vec<_>>().into(),
            Value::Map(m) => {
                let fields = m.iter().map(|(k, n)| (k.text.clone(), n.json()));
                J::Object(fields.collect())
            }
        }
    }

    fn count(&self) -> usize {
        match &self.value {
            Value::List(l) => 1 + l.iter().map(Node::count).sum::<usize>(),
            Value::Map(m) => 1 + m.iter().map(|(_, n)| 1 + n.count()).sum::<usize>(),
            _ => 1,
        }
    }
}

fn place(span: &Span) -> At {
    At {
        line: span.start.line() as u32,
        column: span.start.col() as u32 + 1,
    }
}

/// A plain scalar by YAML's core schema.
fn scalar(text: &str, style: ScalarStyle) -> Value {
    if style != ScalarStyle::Plain {
        return Value::Text(text.into());
    }
    match text {
        "" | "~" | "null" | "Null" | "NULL" => return Value::Null,
        "true" | "True" | "TRUE" => return Value::Bool(true),
        "false" | "False" | "FALSE" => return Value::Bool(false),
        _ => {}
    }
    let digits = text.strip_prefix(['-', '+']).unwrap_or(text);
    if !digits.is_empty()
        && digits.bytes().all(|b| b.is_ascii_digit())
        && let Ok(i) = text.parse()
    {
        return Value::Int(i);
    }
    let numeric = digits.starts_with(|c: char| c.is_ascii_digit() || c == '.')
        && digits.bytes().any(|b| b.is_ascii_digit())
        && digits
            .bytes()
            .all(|b| b.is_ascii_digit() || b".eE+-".contains(&b));
    match text.parse::<f64>() {
        Ok(f) if numeric && f.is_finite() => Value::Float(f),
        _ => Value::Text(text.into()),
    }
}

struct Loader<'a> {
    file: &'a Rc<str>,
    problems: &'a mut Problems,
    anchors: HashMap<usize, (Node, usize)>,
    nodes: usize,
}

/// A container that is being read.
enum Open {
    List(At, usize, Vec<Node>),
    Map(At, usize, Vec<(Key, Node)>, Option<Key>),
}

/// Reads a file's text. `None`: it is no single document, or over a limit; the
/// problems say which.
pub fn read(file: &Rc<str>, text: &str, problems: &mut Problems) -> Option<Node> {
    let start = At { line: 1, column: 1 };
    if text.len() > MOST_BYTES {
        let over = format!("{} bytes, at most {MOST_BYTES}", text.len());
        problems.error(file, start, over);
        return None;
    }
    let mut loader = Loader {
        file,
        problems,
        anchors: HashMap::new(),
        nodes: 0,
    };
    loader.document(text, start)
}

impl Loader<'_> {
    fn error(&mut self, at: At, text: impl Into<String>) -> Option<Node> {
        self.problems.error(self.file, at, text);
        None
    }

    fn document(&mut self, text: &str, start: At) -> Option<Node> {
        let mut parser = Parser::new_from_str(text);
        let mut open: Vec<Open> = Vec::new();
        let mut root: Option<Node> = None;
        while let Some(next) = parser.next_event() {
            let (event, span) = match next {
                Ok(e) => e,
                Err(e) => {
                    let (line, column) = (e.marker().line() as u32, e.marker().col() as u32 + 1);
                    return self.error(
                        At { line, column },
                        format!("not YAML or JSON: {}", e.info()),
                    );
                }
            };
            let at = place(&span);
            let (node, anchor) = match event {
                Event::Scalar(text, style, anchor, _) => {
                    let value = scalar(&text, style);
                    (Node { at, value }, anchor)
                }
                Event::Alias(id) => {
                    let Some((node, count)) = self.anchors.get(&id).cloned() else {
                        return self.error(at, "an alias within the very thing it names");
                    };
                    self.nodes += count;
                    (Node { at, ..node }, 0)
                }
                Event::SequenceStart(anchor, _) => {
                    open.push(Open::List(at, anchor, Vec::new()));
                    if open.len() > MOST_DEPTH {
                        return self.error(at, format!("nested over {MOST_DEPTH} deep"));
                    }
                    continue;
                }
                Event::MappingStart(anchor, _) => {
                    open.push(Open::Map(at, anchor, Vec::new(), None));
                    if open.len() > MOST_DEPTH {
                        return self.error(at, format!("nested over {MOST_DEPTH} deep"));
                    }
                    continue;
                }
                Event::SequenceEnd | Event::MappingEnd => match open.pop() {
                    Some(Open::List(at, anchor, list)) => {
                        let value = Value::List(list);
                        (Node { at, value }, anchor)
                    }
                    Some(Open::Map(at, anchor, fields, _)) => {
                        let value = Value::Map(fields);
                        (Node { at, value }, anchor)
                    }
                    None => return self.error(at, "an end without a beginning"),
                },
                Event::DocumentStart(_) if root.is_some() => {
                    return self.error(at, "a second document; one file holds one, or a $graph");
                }
                _ => continue,
            };
            self.nodes += 1;
            if self.nodes > MOST_NODES {
                return self.error(
                    at,
                    format!("over {MOST_NODES} nodes with its aliases written out"),
                );
            }
            if anchor > 0 {
                let count = node.count();
                self.anchors.insert(anchor, (node.clone(), count));
            }
            match open.last_mut() {
                None => root = Some(node),
                Some(Open::List(_, _, list)) => list.push(node),
                Some(Open::Map(_, _, fields, key)) => match key.take() {
                    Some(k) => fields.push((k, node)),
                    None => {
                        let text = match &node.value {
                            Value::Text(t) => t.clone(),
                            Value::Int(i) => i.to_string(),
                            Value::Bool(b) => b.to_string(),
                            _ => {
                                return self
                                    .error(at, format!("a field's name is {}", node.kind()));
                            }
                        };
                        if let Some((k, _)) = fields.iter().find(|(k, _)| k.text == text) {
                            let first = k.at.line;
                            self.problems.error(
                                self.file,
                                at,
                                format!("{text}: stands here a second time, first on line {first}"),
                            );
                        }
                        *key = Some(Key { text, at });
                    }
                },
            }
        }
        root.or_else(|| self.error(start, "nothing in it"))
    }
}
