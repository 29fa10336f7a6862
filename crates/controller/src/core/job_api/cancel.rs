//! Cancellations: the job's header is read, then written as cancelled if it is
//! unchanged.

use super::answers::refuse;
use super::{JobApi, NO_SUCH_JOB, STORE_SILENT, Step, StoredHeader};
use crate::core::effects::Effects;
use crate::core::job_records::{self, HeaderStage, JobHeader};
use crate::core::{Reply, RequestId};
use crate::types::{JobId, Version};
use crate::wire::users::is_valid_job_id;

/// How often a cancellation that races with changes is tried again.
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
        tries_left: u32,
    ) {
        let step = Step::ReadForCancel {
            id: id.clone(),
            tries_left,
        };
        self.read_header(effects, request, id, step);
    }

    pub(super) fn write_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        stored: StoredHeader,
        tries_left: u32,
    ) {
        let txn = job_records::cancel_transaction(id, stored.header, stored.version);
        let step = Step::Cancel {
            id: id.clone(),
            tries_left,
        };
        self.commit(effects, request, txn, step);
    }

    pub(super) fn handle_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: JobId,
        tries_left: u32,
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
            Reply::Answer(409, _) | Reply::Lost if tries_left > 0 => {
                self.read_for_cancel(effects, request, &id, tries_left - 1);
            }
            _ => refuse(effects, request, 503, STORE_SILENT),
        }
    }
}
