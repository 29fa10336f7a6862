//! Users' requests about jobs. Any controller serves them: accepting and
//! cancelling are transactions that compare the job's own key, and every answer
//! that is not final rests on a read sent after the question came. Never decides
//! where or when a task runs.

mod answers;
mod cancel;
mod poll;
mod submit;

use super::effects::{Effects, PendingCalls};
use super::format_version::member_versions;
use super::job_records::{self, HeaderStage, JobHeader};
use super::read_coalescing::{ReadCoalescer, VersionComparison};
use super::{Reply, RequestId, Target};
use crate::types::{JobId, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Entry, Transaction};
use answers::{FinishedJobs, TaskCounts, refuse};
use std::collections::BTreeMap;

/// Most jobs whose task counts are remembered.
const MAX_COUNTS: usize = 4000;
/// The part of the users' rate limit that polls leave to other requests.
const RATE_LEFT_BY_POLLS: f64 = 0.3;
/// A user waits 2 s for a poll.
const READ_TIMEOUT: TimeSpan = TimeSpan::millis(1500);
/// A user waits 5 s for a submission, and hopes for less than one: a commit whose
/// answer is lost is looked up by then.
const COMMIT_TIMEOUT: TimeSpan = TimeSpan::millis(800);

const STORE_SILENT: &str = "the state service does not answer";
const NO_SUCH_JOB: &str = "no such job";

/// What a user's request waits for.
#[derive(Clone, Debug)]
pub enum Step {
    /// The read of a job's header, to answer a poll.
    Poll(JobId),
    /// The read of the header of a job that is submitted but cannot be accepted.
    RejectUnlessKnown(JobId, Rejection),
    /// The transaction that accepts a job.
    Accept {
        /// The job.
        id: JobId,
        /// Its number of tasks.
        tasks: u32,
    },
    /// The read of the header of a job whose acceptance was lost or raced.
    ReadAccepted(JobId),
    /// The read of the header of a job to cancel.
    ReadForCancel {
        /// The job.
        id: JobId,
        /// Tries left.
        tries_left: u32,
    },
    /// The transaction that cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// Tries left.
        tries_left: u32,
    },
}

/// Why a submission cannot be accepted.
#[derive(Clone, Debug)]
pub enum Rejection {
    /// It is malformed.
    Malformed(String),
    /// It can never run.
    Unschedulable(&'static str),
    /// This controller does not know the machine types yet.
    MachineTypesUnknown,
}

/// What a call of the job API is for.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// A step of a user's request.
    User {
        /// The request.
        request: RequestId,
        /// The step.
        step: Step,
    },
    /// A read that several polls share.
    SharedRead(VersionComparison),
}

/// A job's header as read from the store.
#[derive(Clone, Copy, Debug)]
struct StoredHeader {
    header: JobHeader,
    version: Version,
}

/// The users' side of a controller.
#[derive(Debug, Default)]
pub struct JobApi {
    finished: FinishedJobs,
    /// Task counts as the leader last sent them, for display.
    counts: BTreeMap<JobId, TaskCounts>,
    open_jobs: ReadCoalescer,
    /// Jobs whose cancellation was confirmed to a user, and not announced to the peers
    /// yet.
    pub confirmed_cancellations: Vec<JobId>,
    /// Calls under way.
    pub pending_calls: PendingCalls<PendingCall>,
}

impl JobApi {
    /// Keeps task counts that the leader sent: tasks done and running.
    pub fn record_task_counts(&mut self, counts: Vec<(JobId, u32, u32)>) {
        for (id, done, running) in counts {
            if self.counts.len() >= MAX_COUNTS && !self.counts.contains_key(&id) {
                // Those of jobs that nobody polls here any more would fill it.
                self.counts.pop_first();
            }
            self.counts.insert(id, TaskCounts { done, running });
        }
    }

    /// Refuses a request that another controller may serve.
    pub fn refuse(&self, effects: &mut Effects, request: RequestId, why: &str) {
        refuse(effects, request, 503, why);
    }

    /// Handles the reply to one of its calls.
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
            Step::Accept { id, tasks } => self.handle_accept(effects, request, id, tasks, reply),
            Step::Cancel { id, tries_left } => {
                self.handle_cancel(effects, request, id, tries_left, &reply);
            }
            Step::Poll(_)
            | Step::RejectUnlessKnown(..)
            | Step::ReadAccepted(_)
            | Step::ReadForCancel { .. } => self.handle_header(effects, request, &step, &reply),
        }
    }

    /// Reads a job's header for a step of a request.
    fn read_header(&mut self, effects: &mut Effects, request: RequestId, id: &JobId, step: Step) {
        let left_over = match step {
            Step::Poll(_) => effects.user_calls.burst() * RATE_LEFT_BY_POLLS,
            _ => 0.0,
        };
        let now = effects.now.time;
        if effects.user_calls.level(now) < left_over || !effects.user_calls.take(now, 1.0) {
            return refuse(effects, request, 503, "too many requests");
        }
        let path = format!("/keys/{}", job_records::job_header_key(id));
        let call = effects.call(Target::Store, "GET", path, Vec::new(), READ_TIMEOUT);
        self.pending_calls
            .add(call, PendingCall::User { request, step });
    }

    /// Commits a transaction for a step of a request. Every change that a user causes
    /// compares the active format version: one that this controller decided before an
    /// activation, or that the network held back over it, fails.
    fn commit(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        mut txn: Transaction,
        step: Step,
    ) {
        txn.conditions
            .extend(effects.version_fence.map(member_versions::fence));
        let now = effects.now.time;
        let writes = txn.ops.len() as f64;
        if !effects.user_calls.take(now, 1.0) || !effects.user_writes.take(now, writes) {
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

    /// Goes on with a request whose job's header was read.
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
            _ => return refuse(effects, request, 503, STORE_SILENT),
        };
        let (Step::Poll(id)
        | Step::RejectUnlessKnown(id, _)
        | Step::ReadAccepted(id)
        | Step::ReadForCancel { id, .. }) = step
        else {
            return;
        };
        // A read sent before the job finished may be answered after a user learned
        // that it did.
        let finished = self.finished.get(id).map(|header| StoredHeader {
            header,
            version: Version(0),
        });
        let Some(stored) = finished.or(read) else {
            return self.answer_absent(effects, request, id, step);
        };
        match step {
            Step::ReadForCancel { id, tries_left } if stored.header.stage == HeaderStage::Open => {
                self.write_cancel(effects, request, id, stored, *tries_left);
            }
            _ => {
                self.record_header(id, stored.header, stored.version);
                self.answer_status(effects, request, id, stored.header);
            }
        }
    }

    /// Answers a request whose job was not found in the store.
    fn answer_absent(&self, effects: &mut Effects, request: RequestId, id: &JobId, step: &Step) {
        // Accepted here since the read was sent: what that says is older.
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
