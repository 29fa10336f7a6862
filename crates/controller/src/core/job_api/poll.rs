//! Status polls. Polls of jobs that this controller has seen open share reads; any other
//! poll reads the job's header separately.

use super::answers::refuse;
use super::{JobApi, NO_SUCH_JOB, PendingCall, STORE_UNREACHABLE, Step};
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{HeaderStage, JobHeader};
use crate::core::read_coalescing::VersionComparison;
use crate::core::store_limits::{Division, RefusalCause};
use crate::core::{Reply, RequestId, Target};
use crate::types::{JobId, TimeSpan};
use crate::wire;
use crate::wire::kvstore::error_text;
use crate::wire::users::is_valid_job_id;

/// The share of the users' rate limit that shared reads may use.
const SHARED_READ_SHARE: f64 = 0.4;
/// Timeout of a shared read. Short, so that a lost read can be repeated while the user
/// waits.
const SHARED_READ_TIMEOUT: TimeSpan = TimeSpan::millis(700);

impl JobApi {
    /// Handles `GET /submissions/{id}`.
    pub fn poll(&mut self, effects: &mut Effects, request: RequestId, id: &str) {
        if !is_valid_job_id(id) {
            return refuse(effects, request, 404, NO_SUCH_JOB);
        }
        let id = JobId::from(id);
        if self.answer_if_finished(effects, request, &id) {
            return;
        }
        if self.open_jobs.is_open(&id)
            && !failpoints::enforced(SafetyCheck::NonFinalAnswersAreFresh)
        {
            let open = JobHeader {
                stage: HeaderStage::Open,
                task_count: 0,
            };
            return self.answer_status(effects, request, &id, open);
        }
        if self.open_jobs.enqueue(effects.now.time, request, &id) {
            self.send_shared_read(effects);
        } else {
            self.read_header(effects, request, &id, Step::Poll(id.clone()));
        }
    }

    /// Sends the next shared read if one is due, and refuses polls that have waited too
    /// long for one.
    pub fn send_shared_read(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        for poll in self.open_jobs.take_overdue(now) {
            refuse(effects, poll.request, 503, STORE_UNREACHABLE);
        }
        let next = self
            .open_jobs
            .next_comparison(now, effects.store_limits.preconditions());
        let Some((txn, comparison)) = next else {
            return;
        };
        if !effects.user_calls.try_take(now, 1.0) {
            return self.handle_shared_read(effects, comparison, &Reply::NotSent);
        }
        let call = effects.call(
            Target::Store,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            SHARED_READ_TIMEOUT,
        );
        self.pending_calls
            .add(call, PendingCall::SharedRead(comparison));
    }

    /// Handles the reply to a shared read: answers polls of open jobs, reads changed jobs
    /// one by one, and refuses the rest.
    pub(super) fn handle_shared_read(
        &mut self,
        effects: &mut Effects,
        comparison: VersionComparison,
        reply: &Reply,
    ) {
        let reads_per_second = (effects.user_calls.burst() * SHARED_READ_SHARE).max(1.0);
        let pause = TimeSpan::secs(1.0 / reads_per_second);
        let now = effects.now.time;
        let result = if self.is_too_large(effects, &comparison, reply) {
            self.open_jobs.retry_with_fewer_jobs(now, pause, comparison)
        } else {
            self.open_jobs.handle_reply(now, pause, comparison, reply)
        };
        for poll in result.open {
            // The job may have been cancelled through this controller while the reply was
            // in transit.
            if !self.answer_if_finished(effects, poll.request, &poll.id) {
                self.answer_status(effects, poll.request, &poll.id, poll.header);
            }
        }
        for poll in result.changed {
            let step = Step::Poll(poll.id.clone());
            self.read_header(effects, poll.request, &poll.id, step);
        }
        for poll in result.failed {
            refuse(effects, poll.request, 503, STORE_UNREACHABLE);
        }
        self.send_shared_read(effects);
    }

    /// Whether a comparison was refused for its size, which lowers the limit on the next one.
    fn is_too_large(
        &self,
        effects: &mut Effects,
        comparison: &VersionComparison,
        reply: &Reply,
    ) -> bool {
        let Reply::Answer(400, body) = reply else {
            return false;
        };
        let size = comparison.size();
        let parts = Division::Parts(size.preconditions);
        if effects.record_store_refusal(size, parts) == RefusalCause::TooLarge {
            return true;
        }
        let error = error_text(body);
        tracing::error!(error, "the key-value store refuses a comparison");
        false
    }
}
