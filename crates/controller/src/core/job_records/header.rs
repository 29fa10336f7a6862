//! The head of a job, and how a job ended.

use super::value::value;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// A job's lasting state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeaderStage {
    /// Accepted and not over.
    #[serde(rename = "p")]
    Open,
    /// Every task is done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// A job's head.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Its state.
    pub s: HeaderStage,
    /// Number of its tasks.
    pub n: u32,
}

/// The head of a job, to be written.
pub fn job_header_value(s: HeaderStage, n: u32) -> Value {
    value(&JobHeader { s, n })
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks done; `written` once the head says so.
    Done {
        /// Whether the head says so.
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
