//! Answers given so far, so that no later one is older.

use pebblefold_wire::types::JobId;
use pebblefold_wire::users::JobStage;
use std::collections::{HashMap, VecDeque};

/// Jobs that are remembered; the oldest are forgotten first.
const MAX_JOBS: usize = 20_000;

/// The last known stage of jobs: no later answer may be older. A node that lags is
/// asked again.
#[derive(Debug, Default)]
pub struct AnswerCache {
    /// Accepted jobs and, once it is known, how they ended.
    jobs: HashMap<JobId, Option<JobStage>>,
    order: VecDeque<JobId>,
}

impl AnswerCache {
    /// Whether an answer may be given after all that was; `None`: no such job.
    pub fn allows(&self, job: &JobId, stage: Option<JobStage>) -> bool {
        match (self.jobs.get(job), stage) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(None), Some(_)) => true,
            (Some(Some(end)), Some(stage)) => stage == *end,
        }
    }

    /// Notes an answer that was given.
    pub fn note(&mut self, job: &JobId, stage: JobStage) {
        let end = matches!(stage, JobStage::Done | JobStage::Cancelled).then_some(stage);
        match self.jobs.get_mut(job) {
            Some(known) => *known = known.or(end),
            None => {
                self.jobs.insert(job.clone(), end);
                self.order.push_back(job.clone());
            }
        }
        while self.order.len() > MAX_JOBS
            && let Some(old) = self.order.pop_front()
        {
            self.jobs.remove(&old);
        }
    }
}
