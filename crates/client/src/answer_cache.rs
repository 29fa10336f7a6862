//! The jobs that a client has returned answers for, so that it never returns an answer that
//! is older than an earlier one.

use pebblefold_wire::types::JobId;
use pebblefold_wire::users::JobStage;
use std::collections::{HashMap, VecDeque};

/// Jobs in the cache; beyond that the job that was added first is dropped.
const MAX_JOBS: usize = 20_000;

/// Jobs that the client has received answers for, used to detect stale answers of a
/// controller that lags behind. The client retries a request whose answer is stale.
#[derive(Debug, Default)]
pub struct AnswerCache {
    /// Jobs that exist, with their final stage; `None`: no answer with a final stage was
    /// received yet.
    jobs: HashMap<JobId, Option<JobStage>>,
    /// Jobs in the order in which they were added.
    insertion_order: VecDeque<JobId>,
}

impl AnswerCache {
    /// Whether an answer is consistent with the answers recorded so far: a job that
    /// exists cannot become unknown, and a final stage cannot change. `stage` is `None`
    /// if the controller answered that the job does not exist.
    pub fn allows(&self, job: &JobId, stage: Option<JobStage>) -> bool {
        match (self.jobs.get(job), stage) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(None), Some(_)) => true,
            (Some(Some(final_stage)), Some(stage)) => stage == *final_stage,
        }
    }

    /// Records an answer that is returned to the caller. The first final stage recorded
    /// for a job is kept.
    pub fn record(&mut self, job: &JobId, stage: JobStage) {
        let final_stage = matches!(stage, JobStage::Done | JobStage::Cancelled).then_some(stage);
        match self.jobs.get_mut(job) {
            Some(cached_stage) => *cached_stage = cached_stage.or(final_stage),
            None => {
                self.jobs.insert(job.clone(), final_stage);
                self.insertion_order.push_back(job.clone());
            }
        }
        while self.insertion_order.len() > MAX_JOBS
            && let Some(oldest_job) = self.insertion_order.pop_front()
        {
            self.jobs.remove(&oldest_job);
        }
    }
}
