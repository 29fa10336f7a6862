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
pub const DUTIES: &str = "d/";
/// Progress records.
pub const RECORDS: &str = "r/";
/// The machine types.
pub const TYPES: &str = "types";
/// Submissions.
pub const JOBS: &str = "w/j/";
/// Further pieces of long submissions.
pub const PARTS: &str = "w/p/";
/// Ends of jobs that still have records.
pub const ENDS: &str = "w/x/";

/// The key of a job's head.
pub fn head_key(id: &JobId) -> String {
    format!("job/{id}")
}
/// The key of a job's submission.
pub fn job_key(id: &JobId) -> String {
    format!("{JOBS}{id}")
}
/// The key of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("{ENDS}{id}")
}
/// The key of a further piece of a submission.
pub fn part_key(id: &JobId, part: u32) -> String {
    format!("{PARTS}{id}/{part}")
}
/// The key of a chunk of tasks.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{RECORDS}{id}/{chunk}")
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
    End(JobId),
    /// Something else.
    Other,
}

/// Tells what a key below `w/` is about.
pub fn watched(key: &str) -> Watched {
    if key.starts_with(member_versions::PREFIX) {
        Watched::Office
    } else if let Some(id) = key.strip_prefix(JOBS) {
        Watched::Job(id.into())
    } else if let Some(id) = key.strip_prefix(ENDS) {
        Watched::End(id.into())
    } else if let Some((id, part)) = key.strip_prefix(PARTS).and_then(|k| k.rsplit_once('/')) {
        part.parse()
            .map_or(Watched::Other, |p| Watched::Part(id.into(), p))
    } else {
        Watched::Other
    }
}

/// Tells which job and chunk a key below `r/` is about.
pub fn record(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(RECORDS)?.rsplit_once('/')?;
    Some((id.into(), chunk.parse().ok()?))
}
