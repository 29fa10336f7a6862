//! Cancellations: the job's header is read, and then overwritten as cancelled on the
//! condition that it is unchanged.

use super::answers::refuse;
use super::{JobApi, NO_SUCH_JOB, STORE_REFUSES, STORE_UNREACHABLE, Step, StoredHeader};
use crate::core::effects::Effects;
use crate::core::job_records::{self, HeaderStage, JobHeader};
use crate::core::{Reply, RequestId};
use crate::types::{JobId, Version};
use crate::wire::kvstore::error_text;
use crate::wire::users::is_valid_job_id;

/// Most retries of a cancellation that conflicts with other writes or whose answer is
/// lost.
const MAX_RETRIES: u32 = 3;

impl JobApi {
    /// Handles `POST /submissions/{id}/cancel`.
    pub fn cancel(&mut self, effects: &mut Effects, request: RequestId, id: &str) {
        if !is_valid_job_id(id) {
            return refuse(effects, request, 404, NO_SUCH_JOB);
        }
        let id = JobId::from(id);
        if !self.answer_if_finished(effects, request, &id) {
            self.read_for_cancel(effects, request, &id, MAX_RETRIES);
        }
    }

    fn read_for_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        retries_left: u32,
    ) {
        let step = Step::ReadForCancel {
            id: id.clone(),
            retries_left,
        };
        self.read_header(effects, request, id, step);
    }

    pub(super) fn write_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        stored: StoredHeader,
        retries_left: u32,
    ) {
        let txn = job_records::cancel_transaction(id, stored.header, stored.version);
        let step = Step::Cancel {
            id: id.clone(),
            retries_left,
        };
        self.commit(effects, request, txn, step);
    }

    pub(super) fn handle_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: JobId,
        retries_left: u32,
        reply: &Reply,
    ) {
        match reply {
            Reply::Answer(200, _) => {
                let cancelled = JobHeader {
                    stage: HeaderStage::Cancelled,
                    task_count: 0,
                };
                self.record_header(&id, cancelled, Version(0));
                self.answer_status(effects, request, &id, cancelled);
            }
            Reply::Answer(409, _) | Reply::OutcomeUnknown if retries_left > 0 => {
                self.read_for_cancel(effects, request, &id, retries_left - 1);
            }
            // Two operations with small values are within any limit on sizes.
            Reply::Answer(400, body) => {
                let error = error_text(body);
                tracing::error!(job = %id, error, "the key-value store refuses a cancellation");
                refuse(effects, request, 503, STORE_REFUSES);
            }
            _ => refuse(effects, request, 503, STORE_UNREACHABLE),
        }
    }
}
