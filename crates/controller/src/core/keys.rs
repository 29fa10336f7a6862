//! The keys under which records are stored in the key-value store. The values are defined
//! in `job_records`, `format_version`, `autoscaler::intents`, `quarantine` and `quota`.
//!
//! | key | value | kept |
//! | --- | --- | --- |
//! | `w/leader`, `w/leader/...` | the leader, bound to a lease, the key's version is the fencing token; format versions: `format_version/member_versions.rs` | the leader's key as long as its lease |
//! | `job/REF` | the job's header: stage and task count; done and cancel compare its version | forever |
//! | `w/j/REF`, `w/p/REF/N` | time of acceptance, and the submission in parts | until no task of the job can run |
//! | `w/x/REF` | how the job ended | until no task of the job can run |
//! | `r/REF/C` | tasks of chunk C: highest attempt, done ranges, assignments | until no task of the job can run |
//! | `types` | the machine types last read from the cloud | overwritten |
//! | `d/h/NAME`, `d/x/NAME` | an intent to provision or to terminate, which may already have been requested | until settled |
//! | `d/m/MACHINE` | why a machine is in quarantine, or its circuit is open | while the machine exists |
//! | `d/f` | recent arrivals by class and team | overwritten |
//!
//! The leader watches all keys below `w/`.

use super::format_version::member_versions;
use crate::types::JobId;

/// Prefix of the keys that the leader watches.
pub const WATCHED_PREFIX: &str = "w/";
/// Prefix of the records that a leader stores for its successors: intents, quarantines
/// and the arrival history.
pub const LEADER_RECORDS_PREFIX: &str = "d/";
/// Prefix of the records of chunks of tasks.
pub const PROGRESS_RECORDS_PREFIX: &str = "r/";
/// The key of the machine types last read from the cloud.
pub const MACHINE_TYPES_KEY: &str = "types";
/// Prefix of submissions.
pub const SUBMISSIONS_PREFIX: &str = "w/j/";
/// Prefix of the second and further parts of long submissions.
pub const SUBMISSION_PARTS_PREFIX: &str = "w/p/";
/// Prefix of the outcomes of jobs that still have records.
pub const JOB_OUTCOMES_PREFIX: &str = "w/x/";

/// The key of a job's header.
pub fn job_header_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// The key of a job's submission.
pub fn submission_key(id: &JobId) -> String {
    format!("{SUBMISSIONS_PREFIX}{id}")
}

/// The key of a job's outcome.
pub fn job_outcome_key(id: &JobId) -> String {
    format!("{JOB_OUTCOMES_PREFIX}{id}")
}

/// The key of the second or a further part of a submission.
pub fn submission_part_key(id: &JobId, part: u32) -> String {
    format!("{SUBMISSION_PARTS_PREFIX}{id}/{part}")
}

/// The key of the record of a chunk of tasks.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{PROGRESS_RECORDS_PREFIX}{id}/{chunk}")
}

/// The subject of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchedKey {
    /// The leader's key, the active format version, or a controller's member record.
    Leadership,
    /// The submission of a job.
    Submission(JobId),
    /// A further part of a submission, with the part's number.
    SubmissionPart(JobId, u32),
    /// The outcome of a job.
    JobOutcome(JobId),
    /// A key of none of these forms.
    Other,
}

/// Parses a key below [`WATCHED_PREFIX`].
pub fn parse_watched_key(key: &str) -> WatchedKey {
    if key.starts_with(member_versions::PREFIX) {
        return WatchedKey::Leadership;
    }
    if let Some(id) = key.strip_prefix(SUBMISSIONS_PREFIX) {
        return WatchedKey::Submission(id.into());
    }
    if let Some(id) = key.strip_prefix(JOB_OUTCOMES_PREFIX) {
        return WatchedKey::JobOutcome(id.into());
    }
    submission_part(key).unwrap_or(WatchedKey::Other)
}

fn submission_part(key: &str) -> Option<WatchedKey> {
    let (id, part) = key
        .strip_prefix(SUBMISSION_PARTS_PREFIX)?
        .rsplit_once('/')?;
    Some(WatchedKey::SubmissionPart(id.into(), part.parse().ok()?))
}

/// Parses the key of a chunk's record into the job and the chunk's number.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key
        .strip_prefix(PROGRESS_RECORDS_PREFIX)?
        .rsplit_once('/')?;
    Some((id.into(), chunk.parse().ok()?))
}
