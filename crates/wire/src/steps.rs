//! What a task runs, as its owner uploads it for the workers: a command with its
//! place. The users' protocol leaves the upload to the users; this is the form in
//! which workflows do it here.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a command may be run again after it was started and its machine lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Again {
    /// It may.
    #[default]
    Yes,
    /// It may not: once it was started, nobody starts it a second time.
    Never,
}

/// A command, uploaded under its job's id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Description {
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// A directory that all machines share: each attempt runs in one of its own
    /// within it, and the first that ends writes [`EXIT`] there.
    pub dir: String,
    /// A file to read from.
    #[serde(default)]
    pub stdin: Option<String>,
    /// A file to write to, within the attempt's directory.
    #[serde(default)]
    pub stdout: Option<String>,
    /// Likewise.
    #[serde(default)]
    pub stderr: Option<String>,
    /// The whole environment.
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Whether it may be run again.
    #[serde(default)]
    pub again: Again,
}

/// The file that tells how a command ended.
pub const EXIT: &str = "exit.json";
/// The file that is made, once, before a command starts.
pub const STARTED: &str = "started.json";
/// The file that tells that a second start was refused.
pub const REFUSED: &str = "refused.json";

/// How a command ended, or where it was started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The exit code; 128 and the signal's number if a signal ended it.
    pub code: i64,
    /// The attempt's directory.
    pub dir: String,
    /// The machine.
    pub machine: String,
}
