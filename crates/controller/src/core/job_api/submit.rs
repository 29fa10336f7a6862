//! Submissions: each is validated and then accepted by a single transaction.

use super::answers::{answer_job, refuse};
use super::{JobApi, Rejection, STORE_REFUSES, STORE_UNREACHABLE, Step};
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{self, HeaderStage, JobHeader, TransactionLimits};
use crate::core::store_limits::{Division, RefusalCause, TransactionSize};
use crate::core::{Reply, RequestId};
use crate::settings::{Settings, StateLimits};
use crate::types::{JobId, Resources};
use crate::wire;
use crate::wire::cloud::MachineTypes;
use crate::wire::kvstore::{TransactionResponse, error_text};
use crate::wire::users::{JobShape, JobStage, JobStatus, Submission, is_valid_job_id};
use std::rc::Rc;

/// The id of a submission that is otherwise malformed.
#[derive(serde::Deserialize)]
struct SubmissionId {
    #[serde(rename = "ref")]
    id: JobId,
}

/// Why a job can never run under the current teams and machine types; `None` if it can.
fn unschedulable_reason(
    job: &Submission,
    settings: &Settings,
    types: &MachineTypes,
) -> Option<&'static str> {
    let Some(team) = settings.teams.get(&job.team) else {
        return Some("unknown team");
    };
    let task = job.needs();
    let fits_somewhere = types.kinds.iter().any(|machine_type| {
        let names = job.kinds.as_ref();
        let zone = job.zone.as_ref();
        names.is_none_or(|names| names.contains(&machine_type.name))
            && zone.is_none_or(|zone| machine_type.zones.contains(zone))
            && task.fits_within(&machine_type.has())
    });
    if !fits_somewhere {
        return Some("a task fits no allowed machine type");
    }
    let concurrent_resources: Resources = match job.shape {
        JobShape::Array => task,
        JobShape::Gang | JobShape::Service => task.times(f64::from(job.tasks)),
    };
    (!team.allows(&concurrent_resources)).then_some("the job needs more than its team's limit")
}

fn transaction_limits(limits: &StateLimits) -> TransactionLimits {
    TransactionLimits {
        ops: limits.txn_ops,
        value_bytes: limits.value_bytes,
    }
}

impl JobApi {
    /// Handles `POST /submissions`.
    pub fn submit(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        body: &[u8],
        settings: &Settings,
        types: Option<&MachineTypes>,
    ) {
        let Some(job) = wire::decode::<Submission>(body) else {
            return self.reject_undecodable(effects, request, body);
        };
        if let Some(field) = job.first_invalid_field() {
            let why = format!("{field} is invalid");
            if !is_valid_job_id(job.id.as_str()) {
                return refuse(effects, request, 400, &why);
            }
            return self.reject_unless_known(effects, request, &job.id, Rejection::Malformed(why));
        }
        if self.answer_if_finished(effects, request, &job.id) {
            return;
        }
        let rejection = match types {
            None => Some(Rejection::MachineTypesUnknown),
            Some(types) => {
                unschedulable_reason(&job, settings, types).map(Rejection::Unschedulable)
            }
        };
        if let Some(rejection) = rejection {
            return self.reject_unless_known(effects, request, &job.id, rejection);
        }
        self.accept(effects, request, Rc::new(job));
    }

    /// Sends the transaction that accepts a job, within the store's limits in force.
    fn accept(&mut self, effects: &mut Effects, request: RequestId, job: Rc<Submission>) {
        let limits = transaction_limits(effects.store_limits.current());
        let wall = effects.now.wall;
        let Some(txn) = job_records::accept_transaction(&job, wall, limits) else {
            let configured = transaction_limits(effects.store_limits.configured());
            if job_records::accept_transaction(&job, wall, configured).is_some() {
                // The store may raise its limits again, so the user is to retry.
                return refuse(effects, request, 503, STORE_REFUSES);
            }
            let rejection = Rejection::Malformed("the submission is too large".into());
            return self.reject_unless_known(effects, request, &job.id, rejection);
        };
        self.commit(effects, request, txn, Step::Accept { job, limits });
    }

    /// Handles the refusal of an acceptance as too large or malformed, of which the store
    /// has executed nothing: the submission is divided into smaller values. Each refusal
    /// lowers a limit, so this ends.
    fn handle_refused_accept(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        job: Rc<Submission>,
        limits: TransactionLimits,
        body: &[u8],
    ) {
        let txn = job_records::accept_transaction(&job, effects.now.wall, limits);
        let size = txn.as_ref().map(TransactionSize::of).unwrap_or_default();
        let cause = effects.record_store_refusal(size, Division::Values);
        if cause == RefusalCause::TooLarge {
            return self.accept(effects, request, job);
        }
        let error = error_text(body);
        tracing::error!(job = %job.id, error, "the key-value store refuses a submission");
        refuse(effects, request, 503, STORE_REFUSES);
    }

    fn reject_undecodable(&mut self, effects: &mut Effects, request: RequestId, body: &[u8]) {
        let why = "not a submission: a field is missing or of the wrong kind";
        let named = wire::decode::<SubmissionId>(body);
        match named.filter(|named| is_valid_job_id(named.id.as_str())) {
            Some(named) => {
                let rejection = Rejection::Malformed(why.into());
                self.reject_unless_known(effects, request, &named.id, rejection);
            }
            None => refuse(effects, request, 400, why),
        }
    }

    /// Rejects a submission unless its job exists. A job that was accepted stays
    /// accepted, whatever the machine types or teams are now and whatever is submitted
    /// under its id: a submission is rejected permanently only once a read finds no such
    /// job.
    fn reject_unless_known(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        rejection: Rejection,
    ) {
        if !self.answer_if_finished(effects, request, id) {
            let step = Step::RejectUnlessKnown(id.clone(), rejection);
            self.read_header(effects, request, id, step);
        }
    }

    pub(super) fn handle_accept(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        job: Rc<Submission>,
        limits: TransactionLimits,
        reply: Reply,
    ) {
        let reply = match reply {
            Reply::OutcomeUnknown
                if !failpoints::enforced(SafetyCheck::LostTransactionIsUnknown) =>
            {
                Reply::Answer(200, wire::encode(&TransactionResponse::default()))
            }
            reply => reply,
        };
        let id = job.id.clone();
        let open = JobHeader {
            stage: HeaderStage::Open,
            task_count: job.tasks,
        };
        match reply {
            Reply::Answer(400, body) => {
                self.handle_refused_accept(effects, request, job, limits, &body);
            }
            Reply::Answer(200, body) => self.answer_accepted(effects, request, id, open, &body),
            // The conflict may come from an earlier copy of this submission, from a
            // submission through another controller, or from a later end of the job: only
            // a read shows which.
            Reply::Answer(409, _)
                if !failpoints::enforced(SafetyCheck::ConflictingSubmissionIsRead) =>
            {
                self.answer_status(effects, request, &id, open);
            }
            Reply::Answer(409, _) | Reply::OutcomeUnknown => {
                self.read_header(effects, request, &id, Step::ReadAccepted(id.clone()));
            }
            Reply::Answer(..) | Reply::NotSent => refuse(effects, request, 503, STORE_UNREACHABLE),
        }
    }

    fn answer_accepted(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: JobId,
        open: JobHeader,
        body: &[u8],
    ) {
        // The user may have received an answer from another controller, and cancelled the
        // job through this one, before this reply arrived.
        if self.answer_if_finished(effects, request, &id) {
            return;
        }
        if let Some(response) = wire::decode::<TransactionResponse>(body) {
            self.open_jobs.cache_header(&id, open, response.revision);
        }
        let accepted = JobStatus {
            id,
            stage: JobStage::Queued,
            done: None,
            running: None,
        };
        answer_job(effects, request, 201, &accepted);
    }
}
