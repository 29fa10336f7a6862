//! The header record of a job: whether the job is open, done or cancelled. The header is
//! kept when all other records of the job are deleted.

use super::value::to_value;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// The state of a job in its header record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeaderStage {
    /// The job is accepted, and neither done nor cancelled.
    #[serde(rename = "p")]
    Open,
    /// All tasks of the job are done.
    #[serde(rename = "d")]
    Done,
    /// The job was cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// Stored form of a job's header.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Whether the job is open, done or cancelled.
    #[serde(rename = "s")]
    pub stage: HeaderStage,
    /// Number of the job's tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
}

/// The header of a job with `task_count` tasks, as the value to write.
pub fn job_header_value(stage: HeaderStage, task_count: u32) -> Value {
    to_value(&JobHeader { stage, task_count })
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks of the job are done.
    Done {
        /// Whether the stored header already has the state [`HeaderStage::Done`].
        written: bool,
    },
    /// The job was cancelled by its user. The stored header records that.
    Cancelled,
}

impl fmt::Display for JobOutcome {
    /// The spelling that `/inspect` returns, independent of the variants' names.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobOutcome::Done { written } => write!(f, "Done {{ written: {written} }}"),
            JobOutcome::Cancelled => f.write_str("Cancelled"),
        }
    }
}
