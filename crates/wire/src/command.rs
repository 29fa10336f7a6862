//! Commands that tasks run, in the form in which the workflow engine uploads them for the
//! agents. The users' protocol does not define such an upload.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a command may be run again after it was started and its machine lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartPolicy {
    /// It may be run again.
    #[default]
    #[serde(rename = "yes")]
    Allowed,
    /// It is started at most once.
    Never,
}

/// Placeholder for the working directory of an attempt, in arguments, environment values
/// and texts. The process that starts the attempt replaces it with the path.
pub const WORKING_DIR_PLACEHOLDER: &str = "/:pebblefold:here:";

/// A file or directory that is created in the working directory of the attempt before the
/// command starts. `to` is a path within that directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagedFile {
    /// A symbolic link to a file or directory.
    Link {
        /// Path that the link points to.
        from: String,
        /// Path of the link.
        to: String,
    },
    /// A copy of a file or directory, which the command may write to.
    Copy {
        /// Path to copy from.
        from: String,
        /// Path of the copy.
        to: String,
    },
    /// A text file.
    Text {
        /// Path of the file.
        to: String,
        /// Content of the file; [`WORKING_DIR_PLACEHOLDER`] in it is replaced.
        text: String,
    },
    /// An empty directory.
    Directory {
        /// Path of the directory.
        to: String,
    },
}

/// The command of a job, uploaded under the id of the job. The simulator's loopback clusters
/// use all fields; the agent uses `argv`, `env` and `time_limit_s`, and runs attempts in
/// directories of the machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CommandSpec {
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// Path of a directory that all machines share. Each attempt runs in a new directory
    /// within it, and the first attempt that ends writes [`EXIT_FILE`] to it.
    pub dir: String,
    /// File that is the standard input; `None`: no file.
    #[serde(default)]
    pub stdin: Option<String>,
    /// File for the standard output, within the working directory; `None`: no file.
    #[serde(default)]
    pub stdout: Option<String>,
    /// File for the standard error, within the working directory; `None`: no file.
    #[serde(default)]
    pub stderr: Option<String>,
    /// The complete environment; the command inherits no other variables.
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Whether the command may be run again after its machine was lost.
    #[serde(rename = "again", default)]
    pub restart_policy: RestartPolicy,
    /// Files that are created in the working directory before the command starts.
    #[serde(rename = "put", default, skip_serializing_if = "Vec::is_empty")]
    pub staged_files: Vec<StagedFile>,
    /// Time limit in seconds, after which the command is killed; `None`: no limit.
    #[serde(rename = "limit_s", default, skip_serializing_if = "Option::is_none")]
    pub time_limit_s: Option<f64>,
}

/// Name of the file with the [`ExitRecord`] of a command, in [`CommandSpec::dir`].
pub const EXIT_FILE: &str = "exit.json";
/// Name of the file that is created before a command starts. Only one attempt can create
/// it, so its presence means that the command may have run.
pub const STARTED_FILE: &str = "started.json";
/// Name of the file that is written when [`RestartPolicy::Never`] prevents a second start.
pub const REFUSED_FILE: &str = "refused.json";

/// How a command ended, or which attempt was refused a second start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitRecord {
    /// The exit code; 128 plus the signal's number if a signal ended the command.
    pub code: i64,
    /// Working directory of the attempt.
    pub dir: String,
    /// The machine that ran the attempt.
    pub machine: String,
    /// Number of the attempt.
    #[serde(default)]
    pub attempt: u64,
    /// Start time, in milliseconds since 1970 by the machine's clock.
    #[serde(rename = "began_ms", default)]
    pub started_at_ms: u64,
    /// End time, in milliseconds since 1970 by the machine's clock.
    #[serde(rename = "ended_ms", default)]
    pub ended_at_ms: u64,
    /// Why the command could not be started; `None`: it was started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_started: Option<String>,
    /// Whether the command was killed because it exceeded its time limit.
    #[serde(
        rename = "too_long",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub timed_out: bool,
}
