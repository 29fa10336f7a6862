//! Answers to users: job statuses and refusals. Headers of finished jobs are cached,
//! since they never change again.

use super::JobApi;
use crate::core::effects::Effects;
use crate::core::job_records::{HeaderStage, JobHeader};
use crate::core::{Answer, RequestId};
use crate::types::{JobId, Version};
use crate::wire;
use crate::wire::users::{ErrorResponse, JobStage, JobStatus};
use std::collections::{BTreeMap, VecDeque};

/// Most finished jobs in the cache.
const MAX_FINISHED_JOBS: usize = 2000;
/// `Retry-After` of a refusal when another controller may serve the request, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A job's numbers of done and running tasks as the leader counted them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskCounts {
    pub(super) done: u32,
    pub(super) running: u32,
}

/// A cache of the headers of finished jobs, evicted in the order of insertion.
#[derive(Debug, Default)]
pub(super) struct FinishedJobs {
    headers: BTreeMap<JobId, JobHeader>,
    insertion_order: VecDeque<JobId>,
}

impl FinishedJobs {
    pub(super) fn get(&self, id: &JobId) -> Option<JobHeader> {
        self.headers.get(id).copied()
    }

    /// Adds a job's header; returns false if the job was in the cache already.
    fn insert(&mut self, id: &JobId, header: JobHeader) -> bool {
        if self.headers.insert(id.clone(), header).is_some() {
            return false;
        }
        self.insertion_order.push_back(id.clone());
        if self.insertion_order.len() > MAX_FINISHED_JOBS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.headers.remove(&oldest);
        }
        true
    }
}

impl JobApi {
    /// Records a job's header as read or written. The first record that a job was
    /// cancelled adds it to the cancellations to announce.
    pub(super) fn record_header(&mut self, id: &JobId, header: JobHeader, version: Version) {
        if header.stage == HeaderStage::Open {
            return self.open_jobs.cache_header(id, header, version);
        }
        self.open_jobs.evict_header(id);
        if !self.finished.insert(id, header) {
            return;
        }
        self.counts.remove(id);
        if header.stage == HeaderStage::Cancelled {
            self.confirmed_cancellations.push(id.clone());
        }
    }

    /// Answers from the cache if the job is finished; returns whether it answered.
    #[must_use]
    pub(super) fn answer_if_finished(
        &self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
    ) -> bool {
        let Some(header) = self.finished.get(id) else {
            return false;
        };
        self.answer_status(effects, request, id, header);
        true
    }

    /// Answers a request with the job's status.
    pub(super) fn answer_status(
        &self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        header: JobHeader,
    ) {
        answer_job(effects, request, 200, &self.status(id, header));
    }

    fn status(&self, id: &JobId, header: JobHeader) -> JobStatus {
        let TaskCounts { done, running } = self.counts.get(id).copied().unwrap_or_default();
        let (stage, done, running) = match header.stage {
            HeaderStage::Done => (JobStage::Done, header.task_count, 0),
            HeaderStage::Cancelled => (JobStage::Cancelled, done, 0),
            HeaderStage::Open if running > 0 => (JobStage::Running, done, running),
            HeaderStage::Open => (JobStage::Queued, done, 0),
        };
        JobStatus {
            id: id.clone(),
            stage,
            done: Some(done),
            running: Some(running),
        }
    }
}

/// Answers a request with this HTTP status and job status.
pub(super) fn answer_job(
    effects: &mut Effects,
    request: RequestId,
    status: u16,
    job_status: &JobStatus,
) {
    let answer = Answer {
        status,
        retry_after: None,
        body: wire::encode(job_status),
    };
    effects.answer(request, answer);
}

/// Refuses a request with an error text. Status 503 carries a `Retry-After`, since
/// another controller may serve the request.
pub(super) fn refuse(effects: &mut Effects, request: RequestId, status: u16, error: &str) {
    tracing::debug!(status, error, "user request refused");
    let body = wire::encode(&ErrorResponse {
        error: error.to_string(),
    });
    let answer = Answer {
        status,
        retry_after: (status == 503).then_some(RETRY_AFTER_S),
        body,
    };
    effects.answer(request, answer);
}
