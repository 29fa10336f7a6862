//! What is wrong with a document, and where.

use std::fmt;
use std::rc::Rc;

/// A place in a file; line and column count from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct At {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

/// How much a problem weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// The document cannot be used.
    Error,
    /// It can, and something in it is not carried out.
    Note,
}

/// A problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: Rc<str>,
    /// The place.
    pub at: At,
    /// Its weight.
    pub weight: Weight,
    /// What is wrong, and what would be right.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let weight = match self.weight {
            Weight::Error => "error",
            Weight::Note => "note",
        };
        let At { line, column } = self.at;
        write!(f, "{}:{line}:{column}: {weight}: {}", self.file, self.text)
    }
}

/// Most problems that are gathered; the rest are counted.
const MOST: usize = 200;

/// Problems gathered so far: all of them are told, not the first alone.
#[derive(Clone, Debug, Default)]
pub struct Problems {
    list: Vec<Problem>,
    more: usize,
}

impl Problems {
    /// Adds an error.
    pub fn error(&mut self, file: &Rc<str>, at: At, text: impl Into<String>) {
        self.add(file, at, Weight::Error, text.into());
    }

    /// Adds a note.
    pub fn note(&mut self, file: &Rc<str>, at: At, text: impl Into<String>) {
        self.add(file, at, Weight::Note, text.into());
    }

    fn add(&mut self, file: &Rc<str>, at: At, weight: Weight, text: String) {
        let file = Rc::clone(file);
        let problem = Problem {
            file,
            at,
            weight,
            text,
        };
        if self.list.contains(&problem) {
            return;
        }
        if self.list.len() >= MOST {
            self.more += 1;
            return;
        }
        self.list.push(problem);
    }

    /// Whether there is an error among them.
    pub fn fatal(&self) -> bool {
        self.list.iter().any(|p| p.weight == Weight::Error)
    }

    /// All of them, by file and place.
    pub fn sorted(mut self) -> Vec<Problem> {
        self.list
            .sort_by(|a, b| (&a.file, a.at).cmp(&(&b.file, b.at)));
        self.list
    }

    /// How many more there were than are kept.
    pub fn more(&self) -> usize {
        self.more
    }
}
