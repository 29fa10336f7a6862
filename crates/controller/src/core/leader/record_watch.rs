//! Reading what is recorded: all of it page by page when a leader starts, and
//! after that the changes as they come.

use crate::core::job_records::SubmissionAssembler;
use crate::types::{JobId, Time, Version};
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::Entry;
use std::collections::BTreeSet;

/// Which records are being loaded, with the entries read so far.
#[derive(Debug)]
pub(super) enum LoadPhase {
    /// Leader keys, submissions and outcomes.
    Watched(Vec<Entry>),
    /// Progress records of jobs.
    ProgressRecords(Vec<Entry>),
    /// The leader's own records: intents, quarantine, arrival history.
    LeaderRecords(Vec<Entry>),
    /// Everything is loaded; changes are followed.
    Done,
}

/// The leader's one read of records or changes.
#[derive(Debug)]
pub(super) struct RecordWatcher {
    pub load: LoadPhase,
    /// The revision of the load's first page: changes are followed from there.
    pub first_page_revision: Option<Version>,
    /// Puts submissions together from their parts.
    pub assembler: SubmissionAssembler,
    /// Everything up to this revision has been seen.
    pub revision: Version,
    /// Whether a read is under way.
    pub reading: bool,
    /// No read before this time.
    pub next_read: Time,
    pub backoff: Backoff,
    /// Submissions that were read, whether or not they could be understood.
    pub submitted: BTreeSet<JobId>,
}

impl RecordWatcher {
    /// One that has read nothing yet.
    pub fn new(now: Time) -> RecordWatcher {
        RecordWatcher {
            load: LoadPhase::Watched(Vec::new()),
            first_page_revision: None,
            assembler: SubmissionAssembler::default(),
            revision: Version(0),
            reading: false,
            next_read: now,
            backoff: Backoff::default(),
            submitted: BTreeSet::new(),
        }
    }
}
