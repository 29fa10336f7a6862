//! What a task runs, as its owner uploads it for the workers: a command with its
//! place. The users' protocol leaves the upload to the users; this is the form in
//! which workflows do it here.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a command may be run again after it was started and its machine lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartPolicy {
    /// It may.
    #[default]
    #[serde(rename = "yes")]
    Allowed,
    /// It may not: once it was started, nobody starts it a second time.
    Never,
}

/// Stands for the directory that an attempt runs in, in arguments, environment and
/// texts: the worker puts its own in its place.
pub const WORKING_DIR_PLACEHOLDER: &str = "/:pebblefold:here:";

/// Something that stands in the attempt's directory before the command starts;
/// `to` is within it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagedFile {
    /// A link to a file or directory.
    Link {
        /// What it leads to.
        from: String,
        /// Its place.
        to: String,
    },
    /// A copy of a file or directory, to be written to.
    Copy {
        /// What is copied.
        from: String,
        /// Its place.
        to: String,
    },
    /// A text.
    Text {
        /// Its place.
        to: String,
        /// What is in it.
        text: String,
    },
    /// An empty directory.
    Directory {
        /// Its place.
        to: String,
    },
}

/// A command, uploaded under its job's id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CommandSpec {
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// A directory that all machines share: each attempt runs in one of its own
    /// within it, and the first that ends writes [`EXIT_FILE`] there.
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
    pub again: RestartPolicy,
    /// What stands in its directory before it starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub put: Vec<StagedFile>,
    /// Seconds after which it is ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_s: Option<f64>,
}

/// The file that tells how a command ended.
pub const EXIT_FILE: &str = "exit.json";
/// The file that is made, once, before a command starts.
pub const STARTED_FILE: &str = "started.json";
/// The file that tells that a second start was refused.
pub const REFUSED_FILE: &str = "refused.json";

/// How a command ended, or where it was started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitRecord {
    /// The exit code; 128 and the signal's number if a signal ended it.
    pub code: i64,
    /// The attempt's directory.
    pub dir: String,
    /// The machine.
    pub machine: String,
    /// The attempt.
    #[serde(default)]
    pub attempt: u64,
    /// When it started and ended, in milliseconds since 1970 by the worker's clock.
    #[serde(default)]
    pub began_ms: u64,
    /// Likewise.
    #[serde(default)]
    pub ended_ms: u64,
    /// Why it was not started at all, if so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_started: Option<String>,
    /// Whether it was ended for taking longer than it may.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub too_long: bool,
}
