//! Answers to users: the states of jobs that are finished, which are remembered as
//! they never change again, and the forms of answers and refusals.

use super::JobApi;
use crate::core::effects::Effects;
use crate::core::job_records::{HeaderStage, JobHeader};
use crate::core::{Answer, RequestId};
use crate::types::{JobId, Version};
use crate::wire;
use crate::wire::users::{ErrorResponse, JobStage, JobStatus};
use std::collections::{BTreeMap, VecDeque};

/// Most finished jobs remembered.
const MAX_FINISHED: usize = 2000;
/// When a user may come back that another controller may serve, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A job's tasks as the leader counted them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskCounts {
    pub(super) done: u32,
    pub(super) running: u32,
}

/// Headers of finished jobs; the one remembered first is forgotten first.
#[derive(Debug, Default)]
pub(super) struct FinishedJobs {
    headers: BTreeMap<JobId, JobHeader>,
    insertion_order: VecDeque<JobId>,
}

impl FinishedJobs {
    pub(super) fn get(&self, id: &JobId) -> Option<JobHeader> {
        self.headers.get(id).copied()
    }

    /// Remembers a job's header; false if the job was known already.
    fn insert(&mut self, id: &JobId, header: JobHeader) -> bool {
        if self.headers.insert(id.clone(), header).is_some() {
            return false;
        }
        self.insertion_order.push_back(id.clone());
        if self.insertion_order.len() > MAX_FINISHED
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.headers.remove(&oldest);
        }
        true
    }
}

impl JobApi {
    /// Remembers a job's header as read or written.
    pub(super) fn record_header(&mut self, id: &JobId, header: JobHeader, version: Version) {
        if header.stage == HeaderStage::Open {
            return self.open_jobs.remember(id, header, version);
        }
        self.open_jobs.forget(id);
        if !self.finished.insert(id, header) {
            return;
        }
        self.counts.remove(id);
        if header.stage == HeaderStage::Cancelled {
            self.confirmed_cancellations.push(id.clone());
        }
    }

    /// Answers from memory if the job is finished; whether it did.
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

    /// Answers with a job's status.
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

/// Answers with a status about a job.
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

/// Refuses a request; a user may come back if another controller may serve it.
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
