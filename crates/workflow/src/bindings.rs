//! Bindings within types: those of a list's items and of a record's fields, and the
//! parts of a command line that they make, by the specification's sorting key.

use crate::document::{Binding, Reader};
use crate::node::{Node, Value as NodeValue};
use crate::types::{Type, misfit};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A field of a record, with what binds it and what lies within.
pub type Field = (String, Option<Binding>, Within);

/// Bindings along a type's structure.
#[derive(Clone, Debug, Default)]
pub enum Within {
    /// None.
    #[default]
    Nothing,
    /// Of each item of a list.
    Items(Option<Box<Binding>>, Box<Within>),
    /// Of fields.
    Fields(Vec<Field>),
    /// Whichever alternative a value is of.
    Either(Vec<(Type, Within)>),
}

/// Bindings of types with names.
pub type NamedWithin = BTreeMap<String, Within>;

impl Within {
    /// Whether there is any binding.
    pub fn any(&self) -> bool {
        match self {
            Within::Nothing => false,
            Within::Items(own, inner) => own.is_some() || inner.any(),
            Within::Fields(f) => f.iter().any(|(_, b, w)| b.is_some() || w.any()),
            Within::Either(all) => all.iter().any(|(_, w)| w.any()),
        }
    }

    /// What lies within a value of one of several types.
    fn of(&self, v: &Value) -> &Within {
        match self {
            Within::Either(all) => all
                .iter()
                .find(|(t, _)| misfit(v, t, "").is_none())
                .map_or(&Within::Nothing, |(_, w)| w.of(v)),
            other => other,
        }
    }

    /// Every binding, for what is checked of them.
    pub fn each(&self, tell: &mut dyn FnMut(&Binding)) {
        match self {
            Within::Nothing => {}
            Within::Items(own, inner) => {
                if let Some(b) = own {
                    tell(b);
                }
                inner.each(tell);
            }
            Within::Fields(fields) => {
                for (_, b, w) in fields {
                    if let Some(b) = b {
                        tell(b);
                    }
                    w.each(tell);
                }
            }
            Within::Either(all) => all.iter().for_each(|(_, w)| w.each(tell)),
        }
    }
}

impl Reader<'_> {
    /// The bindings within a type as it is written.
    pub fn within(&mut self, node: &Node, what: &str) -> Within {
        let found = match &node.value {
            NodeValue::Text(t) => {
                let plain = t.trim_end_matches('?');
                let name = plain.trim_end_matches("[]");
                let lists = (plain.len() - name.len()) / 2;
                let own = self.named_within.get(crate::document::short(name)).cloned();
                (0..lists).fold(own.unwrap_or_default(), |w, _| {
                    Within::Items(None, Box::new(w))
                })
            }
            NodeValue::List(l) => Within::Either(
                l.iter()
                    .map(|n| {
                        let within = self.within(n, what);
                        (self.kind_again(n), within)
                    })
                    .collect(),
            ),
            NodeValue::Map(_) => match node.get("type").and_then(Node::text) {
                Some("array") => {
                    let own = node.get("inputBinding");
                    let own = own.and_then(|b| self.binding(b, what)).map(Box::new);
                    let items = node.get("items");
                    let items = items.map_or(Within::Nothing, |n| self.within(n, what));
                    Within::Items(own, Box::new(items))
                }
                Some("record") => {
                    let fields = self.named_list(node.get("fields"), "field");
                    let each = fields.into_iter().map(|(name, _, n)| {
                        let what = format!("{what}.{name}");
                        let own = n.get("inputBinding");
                        let own = own.and_then(|b| self.binding(b, &what));
                        let within = self.within(n.get("type").unwrap_or(n), &what);
                        (name, own, within)
                    });
                    Within::Fields(each.collect())
                }
                None => node
                    .get("type")
                    .map_or(Within::Nothing, |t| self.within(t, what)),
                Some(_) => Within::Nothing,
            },
            _ => Within::Nothing,
        };
        if found.any() { found } else { Within::Nothing }
    }
}

/// A part of a sorting key: numbers before names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A position, or a place in a list.
    Number(i64),
    /// A parameter's or field's name.
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

/// An argument, and whether a shell must not see what is in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The argument.
    pub text: String,
    /// Whether a shell command quotes it.
    pub quoted: bool,
}

/// What expressions of bindings are evaluated by.
pub trait Evaluate {
    /// The position of a binding for a value.
    ///
    /// # Errors
    /// It is no whole number.
    fn position(&self, b: &Binding, this: &Value, what: &str) -> Result<i64, String>;
    /// The value that a binding makes.
    ///
    /// # Errors
    /// Its expression fails.
    fn made(&self, b: &Binding, this: Value, what: &str) -> Result<Value, String>;
}

/// The parts of a command line, with the keys that order them.
#[derive(Debug, Default)]
pub struct Parts(Vec<(Vec<Part>, Vec<Word>)>);

impl Parts {
    /// Adds words under a key.
    pub fn add(&mut self, key: Vec<Part>, words: Vec<Word>) {
        if !words.is_empty() {
            self.0.push((key, words));
        }
    }

    /// All words in order.
    pub fn sorted(mut self) -> Vec<Word> {
        self.0.sort_by(|a, b| a.0.cmp(&b.0));
        self.0.into_iter().flat_map(|p| p.1).collect()
    }

    /// Adds what a value becomes; `key` leads to it, and its own name or place
    /// follows the position of its binding.
    ///
    /// # Errors
    /// An expression fails, or a value cannot be an argument.
    pub fn value(
        &mut self,
        v: Value,
        own: Option<&Binding>,
        within: &Within,
        (mut key, place): (Vec<Part>, Part),
        what: &str,
        by: &dyn Evaluate,
    ) -> Result<(), String> {
        // Nothing is made from nothing.
        if v.is_null() {
            return Ok(());
        }
        let within = within.of(&v);
        let at = own.map_or(Ok(0), |b| by.position(b, &v, what))?;
        key.extend([Part::Number(at), place]);
        let made = match own {
            Some(b) if b.value_from.is_some() => by.made(b, v, what)?,
            _ => v,
        };
        let joined = own.is_some_and(|b| b.item_separator.is_some());
        match (&made, within) {
            (Value::Array(items), Within::Items(each, inner)) if !joined => {
                if !items.is_empty() {
                    self.add(key.clone(), own.map(prefix).unwrap_or_default());
                }
                for (i, item) in items.iter().enumerate() {
                    let what = format!("{what}[{i}]");
                    let place = (key.clone(), Part::Number(i as i64));
                    self.value(item.clone(), each.as_deref(), inner, place, &what, by)?;
                }
            }
            (Value::Object(o), Within::Fields(fields)) if !o.contains_key("class") => {
                self.add(key.clone(), own.map(prefix).unwrap_or_default());
                for (name, b, inner) in fields {
                    let v = o.get(name).cloned().unwrap_or(Value::Null);
                    let what = format!("{what}.{name}");
                    let place = (key.clone(), Part::Name(name.clone()));
                    self.value(v, b.as_ref(), inner, place, &what, by)?;
                }
            }
            (made, _) => {
                if let Some(b) = own {
                    self.add(key, words(b, made, what)?);
                }
            }
        }
        Ok(())
    }
}

fn prefix(b: &Binding) -> Vec<Word> {
    let word = |p: &String| Word {
        text: p.clone(),
        quoted: true,
    };
    b.prefix.iter().map(word).collect()
}

/// A plain value as an argument.
///
/// # Errors
/// It is null, a list, or a map that is no file.
pub fn plain(v: &Value, what: &str) -> Result<String, String> {
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

/// The arguments that a value becomes by a binding alone.
///
/// # Errors
/// See [`plain`].
pub fn words(b: &Binding, v: &Value, what: &str) -> Result<Vec<Word>, String> {
    let word = |text: String| Word {
        text,
        quoted: b.shell_quote,
    };
    let prefixed = |value: String| match &b.prefix {
        None => vec![word(value)],
        Some(_) if b.separate => prefix(b).into_iter().chain([word(value)]).collect(),
        Some(p) => vec![word(format!("{p}{value}"))],
    };
    Ok(match v {
        Value::Null | Value::Bool(false) => Vec::new(),
        Value::Bool(true) => prefix(b),
        Value::Array(items) if items.is_empty() => Vec::new(),
        Value::Array(items) => {
            let each = items.iter().filter(|i| !i.is_null());
            let all: Vec<String> = each.map(|i| plain(i, what)).collect::<Result<_, _>>()?;
            match &b.item_separator {
                Some(s) => prefixed(all.join(s)),
                None => prefix(b)
                    .into_iter()
                    .chain(all.into_iter().map(word))
                    .collect(),
            }
        }
        Value::Object(o) if !o.contains_key("class") => prefix(b),
        other => prefixed(plain(other, what)?),
    })
}
