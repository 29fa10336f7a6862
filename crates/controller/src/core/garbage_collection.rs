//! Garbage collection of keys whose job is gone. They are found when a leader loads,
//! and deleted one small transaction at a time when nothing else is to be written. Each
//! is deleted only if it is unchanged and its job's submission does not exist, so that
//! nothing a live job needs is ever removed.

use crate::core::failpoints::{self, SafetyCheck};
use crate::core::keys;
use crate::types::{JobId, Version};
use crate::wire::kvstore::{Operation, Precondition};
use std::collections::VecDeque;

/// Most keys deleted in one transaction; each has two preconditions.
const MAX_KEYS_PER_TRANSACTION: usize = 8;

/// A key whose job is gone.
#[derive(Clone, Debug, PartialEq)]
pub struct OrphanedKey {
    key: String,
    /// The version at which it was found.
    version: Version,
    /// The job that it belonged to.
    job: JobId,
}

impl OrphanedKey {
    /// What must hold to delete it: it is unchanged, and its job does not exist.
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
    /// Keys deleted so far.
    pub deleted: u64,
}

/// The job that a key belongs to, if it is one that must not outlive its job.
fn owner(key: &str) -> Option<JobId> {
    if let Some((job, _)) = keys::parse_chunk_key(key) {
        return Some(job);
    }
    match keys::parse_watched_key(key) {
        keys::Watched::Part(job, _) | keys::Watched::JobOutcome(job) => Some(job),
        _ => None,
    }
}

impl GarbageCollector {
    /// Checks a key that was read. `has_submission`: whether a job's submission was read
    /// too, whether or not it could be understood.
    pub fn check_key(
        &mut self,
        key: &str,
        version: Version,
        has_submission: impl Fn(&JobId) -> bool,
    ) {
        if let Some(job) = owner(key)
            && (!has_submission(&job) || !failpoints::enforced(SafetyCheck::OrphansOnly))
        {
            let key = key.into();
            self.found.push_back(OrphanedKey { key, version, job });
        }
    }

    /// How many keys are left to delete.
    pub fn remaining(&self) -> usize {
        self.found.len()
    }

    /// Takes out the next keys to delete, at most `room`, each with its preconditions
    /// and the deletion.
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

    /// Puts back a key that could not be deleted; it is tried again later.
    pub fn put_back(&mut self, orphan: OrphanedKey) {
        self.found.push_back(orphan);
    }
}
