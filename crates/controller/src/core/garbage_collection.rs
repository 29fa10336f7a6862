//! Garbage collection of keys whose job no longer exists. A new leader finds them while it
//! loads the records, and deletes them in small transactions while nothing else is to be
//! written. A key is deleted only if its value is unchanged and its job's submission does not
//! exist, so that no record of a live job is ever removed.

use crate::core::failpoints::{self, SafetyCheck};
use crate::core::keys;
use crate::types::{JobId, Version};
use crate::wire::kvstore::{Operation, Precondition};
use std::collections::VecDeque;

/// Most keys deleted in one transaction; each has two preconditions.
const MAX_KEYS_PER_TRANSACTION: usize = 8;

/// A key whose job no longer exists.
#[derive(Clone, Debug, PartialEq)]
pub struct OrphanedKey {
    key: String,
    /// The version at which it was found.
    version: Version,
    /// The job that the key belongs to.
    job: JobId,
}

impl OrphanedKey {
    /// The preconditions of its deletion: the key is unchanged, and its job's submission does
    /// not exist.
    fn preconditions(&self) -> Vec<Precondition> {
        if !failpoints::enforced(SafetyCheck::OrphansOnly) {
            return Vec::new();
        }
        let is_unchanged = Precondition {
            key: self.key.clone(),
            version: self.version,
        };
        let job_is_gone = Precondition {
            key: keys::submission_key(&self.job),
            version: Version(0),
        };
        vec![is_unchanged, job_is_gone]
    }
}

/// Orphaned keys found and not yet deleted.
#[derive(Clone, Debug, Default)]
pub struct GarbageCollector {
    found: VecDeque<OrphanedKey>,
    /// The number of keys deleted under this leader, for operators.
    pub deleted: u64,
}

/// The job that a key belongs to; `None`: the key is of a kind that may outlive its job.
fn owning_job(key: &str) -> Option<JobId> {
    if let Some((job, _)) = keys::parse_chunk_key(key) {
        return Some(job);
    }
    match keys::parse_watched_key(key) {
        keys::WatchedKey::SubmissionPart(job, _) | keys::WatchedKey::JobOutcome(job) => Some(job),
        _ => None,
    }
}

impl GarbageCollector {
    /// Checks a key that was read, and remembers it if it is orphaned. `has_submission`:
    /// whether a job's submission was read too, even if it could not be parsed.
    pub fn check_key(
        &mut self,
        key: &str,
        version: Version,
        has_submission: impl Fn(&JobId) -> bool,
    ) {
        if let Some(job) = owning_job(key)
            && (!has_submission(&job) || !failpoints::enforced(SafetyCheck::OrphansOnly))
        {
            let key = key.into();
            self.found.push_back(OrphanedKey { key, version, job });
        }
    }

    /// The number of orphaned keys that are not deleted yet.
    pub fn remaining(&self) -> usize {
        self.found.len()
    }

    /// Removes and returns the next keys to delete, at most `room`, each with the preconditions
    /// and the operation of its deletion. `room`: how many fit into the transaction.
    pub fn take_next(&mut self, room: usize) -> Vec<(OrphanedKey, Vec<Precondition>, Operation)> {
        let count = room.min(MAX_KEYS_PER_TRANSACTION).min(self.found.len());
        self.found
            .drain(..count)
            .map(|orphan| {
                let preconditions = orphan.preconditions();
                let key = orphan.key.clone();
                (orphan, preconditions, Operation::Delete { key })
            })
            .collect()
    }

    /// Returns a key whose deletion failed to the end of the queue, to be retried.
    pub fn put_back(&mut self, orphan: OrphanedKey) {
        self.found.push_back(orphan);
    }
}
