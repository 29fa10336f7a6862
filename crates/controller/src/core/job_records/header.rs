//! The header record of a job: whether it is open, done or cancelled. It stays when
//! everything else of the job is deleted.

use super::value::to_value;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// The stored state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeaderStage {
    /// Accepted, and neither done nor cancelled.
    #[serde(rename = "p")]
    Open,
    /// Every task is done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// A job's header as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobHeader {
    /// The job's state.
    #[serde(rename = "s")]
    pub stage: HeaderStage,
    /// Number of the job's tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
}

/// The header of a job with `tasks` tasks, as a value to be written.
pub fn job_header_value(stage: HeaderStage, tasks: u32) -> Value {
    to_value(&JobHeader {
        stage,
        task_count: tasks,
    })
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Done {
        /// Whether the stored header says so already.
        written: bool,
    },
    /// Cancelled by its user.
    Cancelled,
}

impl fmt::Display for JobOutcome {
    /// The spelling in `/inspect`, whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobOutcome::Done { written } => write!(f, "Done {{ written: {written} }}"),
            JobOutcome::Cancelled => f.write_str("Cancelled"),
        }
    }
}
