//! Keys that belong to no job any more. They are found when a leader loads,
//! and deleted one small transaction at a time when nothing else is to be
//! written. Each goes only if it is as it was seen and its job's submission is
//! not there, so that nothing a live job needs is ever removed.

use crate::core::failpoints::{self, SafetyCheck};
use crate::core::keys;
use crate::types::{JobId, Version};
use crate::wire::kvstore::{Operation, Precondition};
use std::collections::VecDeque;

/// Keys deleted in one transaction; each has two conditions.
const MOST: usize = 8;

/// A key without its job.
#[derive(Clone, Debug, PartialEq)]
pub struct OrphanedKey {
    key: String,
    version: Version,
    job: JobId,
}

/// Orphans found and not yet deleted.
#[derive(Clone, Debug, Default)]
pub struct GarbageCollector {
    found: VecDeque<OrphanedKey>,
    /// Keys deleted so far.
    pub deleted: u64,
}

/// The job that a key is about, if it is one that must not outlive its job.
fn owner(key: &str) -> Option<JobId> {
    if let Some((job, _)) = keys::record(key) {
        return Some(job);
    }
    match keys::watched(key) {
        keys::Watched::Part(job, _) | keys::Watched::JobOutcome(job) => Some(job),
        _ => None,
    }
}

impl GarbageCollector {
    /// Looks at a key that was read; `there`: whether its job's submission
    /// was read too, whether or not it could be understood.
    pub fn look(&mut self, key: &str, version: Version, there: impl Fn(&JobId) -> bool) {
        if let Some(job) = owner(key)
            && (!there(&job) || !failpoints::enforced(SafetyCheck::OrphansOnly))
        {
            let key = key.into();
            self.found.push_back(OrphanedKey { key, version, job });
        }
    }

    /// How many are left.
    pub fn left(&self) -> usize {
        self.found.len()
    }

    /// The next ones to delete, with what has to hold.
    pub fn next(&mut self, room: usize) -> Vec<(OrphanedKey, Vec<Precondition>, Operation)> {
        let n = room.min(MOST).min(self.found.len());
        let next = self.found.drain(..n);
        next.map(|o| {
            let seen = Precondition {
                key: o.key.clone(),
                version: o.version,
            };
            let gone = Precondition {
                key: keys::submission_key(&o.job),
                version: Version(0),
            };
            let key = o.key.clone();
            let conditions = if failpoints::enforced(SafetyCheck::OrphansOnly) {
                vec![seen, gone]
            } else {
                Vec::new()
            };
            (o, conditions, Operation::Delete { key })
        })
        .collect()
    }

    /// One could not be written; it is tried again.
    pub fn again(&mut self, orphan: OrphanedKey) {
        self.found.push_back(orphan);
    }
}
