//! Users' requests about jobs: submissions, status polls and cancellations. Any
//! controller serves them. Accepting and cancelling a job are transactions that compare
//! the version of the job's own key. Every answer that is not final rests on a read that
//! was sent after the request arrived. The job API never decides where or when a task
//! runs.

mod answers;
mod cancel;
mod poll;
mod submit;

use super::effects::{Effects, PendingCalls};
use super::format_version::member_versions;
use super::job_records::{self, HeaderStage, JobHeader, TransactionLimits};
use super::read_coalescing::{ReadCoalescer, VersionComparison};
use super::{Reply, RequestId, Target};
use crate::types::{JobId, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Entry, Transaction};
use crate::wire::users::Submission;
use answers::{FinishedJobs, TaskCounts, refuse};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Most jobs whose task counts are kept.
const MAX_JOBS_WITH_COUNTS: usize = 4000;
/// The share of the users' rate limit that polls leave to other requests.
const NON_POLL_RATE_SHARE: f64 = 0.3;
/// Timeout of the read of a job's header. Shorter than the 2 s for which a user waits for
/// a poll.
const READ_TIMEOUT: TimeSpan = TimeSpan::millis(1500);
/// Timeout of a commit. Users wait 5 s for a submission and expect an answer in under one
/// second, so a commit whose answer is lost is looked up before that second ends.
const COMMIT_TIMEOUT: TimeSpan = TimeSpan::millis(800);

const STORE_UNREACHABLE: &str = "the state service does not answer";
const STORE_REFUSES: &str = "the state service refuses the change";
const NO_SUCH_JOB: &str = "no such job";

/// The call that a user's request currently waits for.
#[derive(Clone, Debug)]
pub enum Step {
    /// A read of the job's header, to answer a poll.
    Poll(JobId),
    /// A read of the header of a job whose submission cannot be accepted. The rejection
    /// applies only if the job does not exist.
    RejectUnlessKnown(JobId, Rejection),
    /// The transaction that accepts a job.
    Accept {
        /// The job's submission.
        job: Rc<Submission>,
        /// The limits within which the transaction was built.
        limits: TransactionLimits,
    },
    /// A read of the header of a job whose acceptance got no answer or conflicted with
    /// another write.
    ReadAccepted(JobId),
    /// A read of the header of a job to cancel.
    ReadForCancel {
        /// The job.
        id: JobId,
        /// Retries left after a conflict or a lost answer.
        retries_left: u32,
    },
    /// The transaction that cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// Retries left after a conflict or a lost answer.
        retries_left: u32,
    },
}

/// Why a submission cannot be accepted.
#[derive(Clone, Debug)]
pub enum Rejection {
    /// The submission is malformed, for the reason given.
    Malformed(String),
    /// The job can never run, for the reason given.
    Unschedulable(&'static str),
    /// This controller has not read the machine types yet.
    MachineTypesUnknown,
}

/// The purpose of an outgoing call of the job API.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// A call for a single user's request.
    User {
        /// The user's request.
        request: RequestId,
        /// What the request waits for.
        step: Step,
    },
    /// A version comparison that several polls share.
    SharedRead(VersionComparison),
}

/// A job's header as read from the key-value store, with the version of its key.
#[derive(Clone, Copy, Debug)]
struct StoredHeader {
    header: JobHeader,
    version: Version,
}

/// The component that answers users' requests about jobs.
#[derive(Debug, Default)]
pub struct JobApi {
    finished: FinishedJobs,
    /// Task counts as the leader last sent them; they are informational.
    counts: BTreeMap<JobId, TaskCounts>,
    open_jobs: ReadCoalescer,
    /// Jobs whose cancellation was confirmed to a user and has not been announced to the
    /// peers yet.
    pub confirmed_cancellations: Vec<JobId>,
    /// Calls in flight.
    pub pending_calls: PendingCalls<PendingCall>,
}

impl JobApi {
    /// Records task counts that the leader sent, as (job, tasks done, tasks running).
    pub fn record_task_counts(&mut self, counts: Vec<(JobId, u32, u32)>) {
        for (id, done, running) in counts {
            if self.counts.len() >= MAX_JOBS_WITH_COUNTS && !self.counts.contains_key(&id) {
                // Any entry may be evicted: counts of jobs that are no longer polled here
                // would otherwise fill the map.
                self.counts.pop_first();
            }
            self.counts.insert(id, TaskCounts { done, running });
        }
    }

    /// Refuses a request with status 503; another controller may serve it.
    pub fn refuse(&self, effects: &mut Effects, request: RequestId, why: &str) {
        refuse(effects, request, 503, why);
    }

    /// Handles the reply to a call of the job API.
    pub fn handle_reply(&mut self, effects: &mut Effects, call: PendingCall, reply: Reply) {
        match call {
            PendingCall::User { request, step } => {
                self.handle_step_reply(effects, request, step, reply);
            }
            PendingCall::SharedRead(comparison) => {
                self.handle_shared_read(effects, comparison, &reply);
            }
        }
    }

    fn handle_step_reply(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        step: Step,
        reply: Reply,
    ) {
        match step {
            Step::Accept { job, limits } => {
                self.handle_accept(effects, request, job, limits, reply);
            }
            Step::Cancel { id, retries_left } => {
                self.handle_cancel(effects, request, id, retries_left, &reply);
            }
            Step::Poll(_)
            | Step::RejectUnlessKnown(..)
            | Step::ReadAccepted(_)
            | Step::ReadForCancel { .. } => self.handle_header(effects, request, &step, &reply),
        }
    }

    /// Reads a job's header for a request. Refuses the request if the users' rate limit
    /// is used up; polls may use only the share that [`NON_POLL_RATE_SHARE`] leaves.
    fn read_header(&mut self, effects: &mut Effects, request: RequestId, id: &JobId, step: Step) {
        let reserved = match step {
            Step::Poll(_) => effects.user_calls.burst() * NON_POLL_RATE_SHARE,
            _ => 0.0,
        };
        let now = effects.now.time;
        if effects.user_calls.level(now) < reserved || !effects.user_calls.try_take(now, 1.0) {
            return refuse(effects, request, 503, "too many requests");
        }
        let path = format!("/keys/{}", job_records::job_header_key(id));
        let call = effects.call(Target::Store, "GET", path, Vec::new(), READ_TIMEOUT);
        self.pending_calls
            .add(call, PendingCall::User { request, step });
    }

    /// Commits a transaction for a request. Every write that a user causes compares the
    /// active format version: a write that this controller decided on before an
    /// activation, or that the network delayed past an activation, fails.
    fn commit(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        mut txn: Transaction,
        step: Step,
    ) {
        txn.conditions.extend(
            effects
                .version_fence
                .map(member_versions::version_precondition),
        );
        let now = effects.now.time;
        let writes = txn.ops.len() as f64;
        if !effects.user_calls.try_take(now, 1.0) || !effects.user_writes.try_take(now, writes) {
            return refuse(effects, request, 503, "too many requests");
        }
        let body = wire::encode(&txn);
        let call = effects.call(
            Target::Store,
            "POST",
            "/commit".into(),
            body,
            COMMIT_TIMEOUT,
        );
        self.pending_calls
            .add(call, PendingCall::User { request, step });
    }

    /// Continues a request whose job's header was read.
    fn handle_header(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        step: &Step,
        reply: &Reply,
    ) {
        let read = match reply {
            Reply::Answer(404, _) => None,
            Reply::Answer(200, body) => {
                let Some(stored) = decode_header(body) else {
                    return refuse(effects, request, 503, "the job's record cannot be read");
                };
                Some(stored)
            }
            _ => return refuse(effects, request, 503, STORE_UNREACHABLE),
        };
        let (Step::Poll(id)
        | Step::RejectUnlessKnown(id, _)
        | Step::ReadAccepted(id)
        | Step::ReadForCancel { id, .. }) = step
        else {
            return;
        };
        // A read that was sent before the job finished may be answered after a user
        // learned that the job finished.
        let finished = self.finished.get(id).map(|header| StoredHeader {
            header,
            version: Version(0),
        });
        let Some(stored) = finished.or(read) else {
            return self.answer_absent(effects, request, id, step);
        };
        match step {
            Step::ReadForCancel { id, retries_left }
                if stored.header.stage == HeaderStage::Open =>
            {
                self.write_cancel(effects, request, id, stored, *retries_left);
            }
            _ => {
                self.record_header(id, stored.header, stored.version);
                self.answer_status(effects, request, id, stored.header);
            }
        }
    }

    /// Answers a request whose job was not found in the key-value store.
    fn answer_absent(&self, effects: &mut Effects, request: RequestId, id: &JobId, step: &Step) {
        // The job was accepted here after the read was sent, so the read is outdated.
        if self.open_jobs.is_open(id) {
            return refuse(effects, request, 503, "accepted just now");
        }
        match step {
            Step::RejectUnlessKnown(_, Rejection::Malformed(why)) => {
                refuse(effects, request, 400, why);
            }
            Step::RejectUnlessKnown(_, Rejection::Unschedulable(why)) => {
                refuse(effects, request, 422, why);
            }
            Step::RejectUnlessKnown(_, Rejection::MachineTypesUnknown) => {
                refuse(effects, request, 503, "the machine types are not known yet");
            }
            Step::ReadAccepted(_) => refuse(effects, request, 503, "not accepted yet"),
            _ => refuse(effects, request, 404, NO_SUCH_JOB),
        }
    }
}

fn decode_header(body: &[u8]) -> Option<StoredHeader> {
    let entry = wire::decode::<Entry>(body)?;
    Some(StoredHeader {
        header: job_records::read_record(&entry.value)?,
        version: entry.version,
    })
}

#[cfg(test)]
mod tests;
