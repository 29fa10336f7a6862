//! CWL's types, and what may flow where.

use std::fmt;

/// A type.
#[derive(Clone, Debug, PartialEq)]
pub enum Type {
    /// Nothing.
    Null,
    /// True or false.
    Boolean,
    /// 32 bits.
    Int,
    /// 64 bits.
    Long,
    /// Single precision.
    Float,
    /// Double precision.
    Double,
    /// Text.
    String,
    /// A file.
    File,
    /// A directory.
    Directory,
    /// Anything but null.
    Any,
    /// A list.
    Array(Box<Type>),
    /// One of some words.
    Enum(Vec<String>),
    /// Named fields.
    Record(Vec<(String, Type)>),
    /// One of several.
    Union(Vec<Type>),
}

/// Names of the simple types.
pub const SIMPLE: [(&str, Type); 10] = [
    ("null", Type::Null),
    ("boolean", Type::Boolean),
    ("int", Type::Int),
    ("long", Type::Long),
    ("float", Type::Float),
    ("double", Type::Double),
    ("string", Type::String),
    ("File", Type::File),
    ("Directory", Type::Directory),
    ("Any", Type::Any),
];

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((name, _)) = SIMPLE.iter().find(|(_, t)| t == self) {
            return f.write_str(name);
        }
        match self {
            Type::Array(t) => match **t {
                Type::Union(_) => write!(f, "({t})[]"),
                _ => write!(f, "{t}[]"),
            },
            Type::Enum(words) => write!(f, "enum of {}", words.join(", ")),
            Type::Record(fields) => {
                let names: Vec<&str> = fields.iter().map(|(n, _)| n.as_str()).collect();
                write!(f, "record of {}", names.join(", "))
            }
            Type::Union(types) => match types.as_slice() {
                [Type::Null, t] | [t, Type::Null] => write!(f, "{t}?"),
                _ => {
                    let names: Vec<String> = types.iter().map(ToString::to_string).collect();
                    f.write_str(&names.join(" | "))
                }
            },
            _ => Ok(()),
        }
    }
}

impl Type {
    /// This or null.
    pub fn optional(self) -> Type {
        if self.takes_null() {
            return self;
        }
        Type::Union(vec![Type::Null, self])
    }

    /// Its alternatives; of any other type itself.
    pub fn alternatives(&self) -> &[Type] {
        match self {
            Type::Union(types) => types,
            other => std::slice::from_ref(other),
        }
    }

    /// Whether null is one of its values.
    pub fn takes_null(&self) -> bool {
        self.alternatives().contains(&Type::Null)
    }

    /// This without null; `None` if nothing is left.
    pub fn without_null(&self) -> Option<Type> {
        let left: Vec<Type> = self
            .alternatives()
            .iter()
            .filter(|t| **t != Type::Null)
            .cloned()
            .collect();
        match left.len() {
            0 => None,
            1 => left.into_iter().next(),
            _ => Some(Type::Union(left)),
        }
    }

    /// What its lists hold, if it can be a list.
    pub fn items(&self) -> Option<Type> {
        let items: Vec<Type> = self
            .alternatives()
            .iter()
            .filter_map(|t| match t {
                Type::Array(item) => Some((**item).clone()),
                Type::Any => Some(Type::Any),
                _ => None,
            })
            .collect();
        match items.len() {
            0 => None,
            1 => items.into_iter().next(),
            _ => Some(Type::Union(items)),
        }
    }

    /// How well values of this type fit where `sink` is wanted.
    pub fn fits(&self, sink: &Type) -> Fit {
        let each = self.alternatives().iter().map(|t| fits_one(t, sink));
        let all: Vec<Fit> = each.collect();
        if all.iter().all(|f| *f == Fit::Always) {
            Fit::Always
        } else if all.iter().all(|f| *f == Fit::Never) {
            Fit::Never
        } else {
            Fit::Sometimes
        }
    }
}

/// How well one type fits another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// Every value does.
    Always,
    /// Some values do: it is seen when they come.
    Sometimes,
    /// None does.
    Never,
}

fn rank(t: &Type) -> Option<u8> {
    match t {
        Type::Int => Some(0),
        Type::Long => Some(1),
        Type::Float => Some(2),
        Type::Double => Some(3),
        _ => None,
    }
}

fn fits_one(t: &Type, sink: &Type) -> Fit {
    let fits: Vec<Fit> = sink
        .alternatives()
        .iter()
        .map(|s| fits_plain(t, s))
        .collect();
    if fits.contains(&Fit::Always) {
        Fit::Always
    } else if fits.contains(&Fit::Sometimes) {
        Fit::Sometimes
    } else {
        Fit::Never
    }
}

fn fits_plain(t: &Type, sink: &Type) -> Fit {
    match (t, sink) {
        (a, b) if a == b => Fit::Always,
        (Type::Null, _) | (_, Type::Null) => Fit::Never,
        (_, Type::Any) => Fit::Always,
        (Type::Any, _) => Fit::Sometimes,
        (Type::Array(a), Type::Array(b)) => match a.fits(b) {
            // An empty list fits any.
            Fit::Never => Fit::Sometimes,
            other => other,
        },
        (Type::Enum(_), Type::String) => Fit::Always,
        (Type::String, Type::Enum(_)) => Fit::Sometimes,
        (Type::Enum(a), Type::Enum(b)) => {
            if a.iter().all(|w| b.contains(w)) {
                Fit::Always
            } else if a.iter().any(|w| b.contains(w)) {
                Fit::Sometimes
            } else {
                Fit::Never
            }
        }
        (Type::Record(a), Type::Record(b)) => {
            let mut all = Fit::Always;
            for (name, wanted) in b {
                let fit = match a.iter().find(|(n, _)| n == name) {
                    Some((_, has)) => has.fits(wanted),
                    None if wanted.takes_null() => Fit::Always,
                    None => Fit::Never,
                };
                match fit {
                    Fit::Never => return Fit::Never,
                    Fit::Sometimes => all = Fit::Sometimes,
                    Fit::Always => {}
                }
            }
            all
        }
        (a, b) => match (rank(a), rank(b)) {
            (Some(x), Some(y)) if x <= y => Fit::Always,
            _ => Fit::Never,
        },
    }
}

/// Why a value is not of a type; `None`: it is. `path` names it.
pub fn misfit(value: &serde_json::Value, t: &Type, path: &str) -> Option<String> {
    use serde_json::Value as J;
    let class = |v: &J| v["class"].as_str().map(String::from);
    let wrong = |v: &J| {
        let has = match v {
            J::Null => "null".to_string(),
            J::Bool(b) => b.to_string(),
            J::Number(n) => n.to_string(),
            J::String(s) => format!("{s:?}"),
            J::Array(a) => format!("a list of {}", a.len()),
            J::Object(_) => class(v).map_or("a map".into(), |c| format!("a {c}")),
        };
        Some(format!("{path}: {has}, wanted {t}"))
    };
    let ok = match t {
        Type::Null => value.is_null(),
        Type::Boolean => value.is_boolean(),
        Type::Int => value.as_i64().is_some_and(|i| i32::try_from(i).is_ok()),
        Type::Long => value.is_i64(),
        Type::Float | Type::Double => value.is_number(),
        Type::String => value.is_string(),
        Type::File => class(value).as_deref() == Some("File"),
        Type::Directory => class(value).as_deref() == Some("Directory"),
        Type::Any => !value.is_null(),
        Type::Enum(words) => value.as_str().is_some_and(|s| words.iter().any(|w| w == s)),
        Type::Array(item) => {
            let Some(list) = value.as_array() else {
                return wrong(value);
            };
            let items = list.iter().enumerate();
            return items
                .filter_map(|(i, v)| misfit(v, item, &format!("{path}[{i}]")))
                .next();
        }
        Type::Record(fields) => {
            let Some(map) = value.as_object() else {
                return wrong(value);
            };
            let null = J::Null;
            return fields
                .iter()
                .filter_map(|(n, t)| misfit(map.get(n).unwrap_or(&null), t, &format!("{path}.{n}")))
                .next();
        }
        Type::Union(types) => types.iter().any(|t| misfit(value, t, path).is_none()),
    };
    if ok { None } else { wrong(value) }
}
