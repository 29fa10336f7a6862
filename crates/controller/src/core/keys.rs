//! The keys under which records are stored in the key-value store. Their values:
//! `job_records`, `format_version`, `autoscaler::intents`, `quarantine`, `quota`.
//!
//! | key | value | kept |
//! | --- | --- | --- |
//! | `w/leader`, `w/leader/...` | who leads, bound to a lease, its version is the fencing token; format versions: `format_version/member_versions.rs` | |
//! | `job/REF` | the job's header: stage and task count; done and cancel compare its version | for ever |
//! | `w/j/REF`, `w/p/REF/N` | when accepted, and the submission in parts | until nothing of the job can run |
//! | `w/x/REF` | how the job ended | likewise |
//! | `r/REF/C` | tasks of chunk C: highest attempt, done ranges, assignments | likewise |
//! | `types` | the machine types last read from the cloud | |
//! | `d/h/NAME`, `d/x/NAME` | an intent to provision, to terminate: possibly requested | until settled |
//! | `d/m/MACHINE` | why a machine is in quarantine or drained | while it exists |
//! | `d/f` | recent arrivals by class and team | overwritten |
//!
//! Everything below `w/` is watched by the leader.

use super::format_version::member_versions;
use crate::types::JobId;

/// Prefix of what the leader watches.
pub const WATCHED: &str = "w/";
/// Prefix of what a leader intends to do, and what it remembers for a successor.
pub const LEADER_RECORDS: &str = "d/";
/// Prefix of the records of chunks of tasks.
pub const PROGRESS_RECORDS: &str = "r/";
/// The machine types.
pub const MACHINE_TYPES: &str = "types";
/// Prefix of submissions.
pub const SUBMISSIONS: &str = "w/j/";
/// Prefix of the further parts of long submissions.
pub const SUBMISSION_PARTS: &str = "w/p/";
/// Prefix of the outcomes of jobs that still have records.
pub const JOB_OUTCOMES: &str = "w/x/";

/// The key of a job's header.
pub fn job_header_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// The key of a job's submission.
pub fn submission_key(id: &JobId) -> String {
    format!("{SUBMISSIONS}{id}")
}

/// The key of a job's outcome.
pub fn job_outcome_key(id: &JobId) -> String {
    format!("{JOB_OUTCOMES}{id}")
}

/// The key of a further part of a submission.
pub fn submission_part_key(id: &JobId, part: u32) -> String {
    format!("{SUBMISSION_PARTS}{id}/{part}")
}

/// The key of a chunk of tasks.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{PROGRESS_RECORDS}{id}/{chunk}")
}

/// What a watched key is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The leader's key, the format version in force, or the formats that a node
    /// supports.
    Leadership,
    /// A submission.
    Job(JobId),
    /// A further part of a submission, with its number.
    Part(JobId, u32),
    /// A job's outcome.
    JobOutcome(JobId),
    /// Something else.
    Other,
}

/// Parses a key below `w/`.
pub fn parse_watched_key(key: &str) -> Watched {
    if key.starts_with(member_versions::PREFIX) {
        return Watched::Leadership;
    }
    if let Some(id) = key.strip_prefix(SUBMISSIONS) {
        return Watched::Job(id.into());
    }
    if let Some(id) = key.strip_prefix(JOB_OUTCOMES) {
        return Watched::JobOutcome(id.into());
    }
    submission_part(key).unwrap_or(Watched::Other)
}

fn submission_part(key: &str) -> Option<Watched> {
    let (id, part) = key.strip_prefix(SUBMISSION_PARTS)?.rsplit_once('/')?;
    Some(Watched::Part(id.into(), part.parse().ok()?))
}

/// Parses the key of a chunk of tasks into its job and its number.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(PROGRESS_RECORDS)?.rsplit_once('/')?;
    Some((id.into(), chunk.parse().ok()?))
}
