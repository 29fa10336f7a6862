//! The keys of durable records.
//!
//! | key | value | life |
//! | --- | --- | --- |
//! | `w/leader`, `w/leader/...` | who leads, bound to a lease, its version is the token; levels: `levels/registry.rs` | |
//! | `job/REF` | stage and task count; done and cancel race on its version | for ever |
//! | `w/j/REF`, `w/p/REF/N` | when accepted, and the submission in pieces | until nothing of the job can run |
//! | `w/x/REF` | how the job ended | likewise |
//! | `r/REF/C` | tasks of chunk C: highest attempt, done ranges, placements | likewise |
//! | `types` | the machine types last read from the cloud | |
//! | `d/h/NAME`, `d/x/NAME` | a hire, a release: meant, maybe asked for | until settled |
//! | `d/m/MACHINE` | why a machine gets no work for a while | while it is there |
//!
//! Everything below `w/` is watched by the leader.

use super::format_version::member_versions;
use crate::types::JobId;

/// What the leader watches.
pub const WATCHED: &str = "w/";
/// What a leader means to do, and what it remembers for a successor.
pub const LEADER_RECORDS: &str = "d/";
/// Progress records.
pub const PROGRESS_RECORDS: &str = "r/";
/// The machine types.
pub const MACHINE_TYPES: &str = "types";
/// Submissions.
pub const SUBMISSIONS: &str = "w/j/";
/// Further pieces of long submissions.
pub const SUBMISSION_PARTS: &str = "w/p/";
/// Ends of jobs that still have records.
pub const JOB_OUTCOMES: &str = "w/x/";

/// The key of a job's head.
pub fn job_header_key(id: &JobId) -> String {
    format!("job/{id}")
}
/// The key of a job's submission.
pub fn submission_key(id: &JobId) -> String {
    format!("{SUBMISSIONS}{id}")
}
/// The key of a job's end.
pub fn job_outcome_key(id: &JobId) -> String {
    format!("{JOB_OUTCOMES}{id}")
}
/// The key of a further piece of a submission.
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
    /// The leader's key, the level in force, or what a node says of itself.
    Office,
    /// A submission.
    Job(JobId),
    /// A further piece of one.
    Part(JobId, u32),
    /// A job's end.
    JobOutcome(JobId),
    /// Something else.
    Other,
}

/// Tells what a key below `w/` is about.
pub fn watched(key: &str) -> Watched {
    if key.starts_with(member_versions::PREFIX) {
        Watched::Office
    } else if let Some(id) = key.strip_prefix(SUBMISSIONS) {
        Watched::Job(id.into())
    } else if let Some(id) = key.strip_prefix(JOB_OUTCOMES) {
        Watched::JobOutcome(id.into())
    } else if let Some((id, part)) = key
        .strip_prefix(SUBMISSION_PARTS)
        .and_then(|k| k.rsplit_once('/'))
    {
        part.parse()
            .map_or(Watched::Other, |p| Watched::Part(id.into(), p))
    } else {
        Watched::Other
    }
}

/// Tells which job and chunk a key below `r/` is about.
pub fn record(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(PROGRESS_RECORDS)?.rsplit_once('/')?;
    Some((id.into(), chunk.parse().ok()?))
}
