//! Users' requests. Any node takes them: accepting and cancelling are
//! conditional writes on the job's own key, and every answer that is not
//! final rests on a fresh read.

use super::effects::{Effects, PendingCalls};
use super::failpoints::{self, SafetyCheck};
use super::format_version::member_versions;
use super::job_records::{self, HeaderStage, JobHeader, TransactionLimits};
use super::read_coalescing::{ReadCoalescer, VersionComparison};
use super::{Answer, Reply, RequestId, Target};
use crate::settings::Settings;
use crate::types::{JobId, Resources, TimeSpan, Version};
use crate::wire;
use crate::wire::cloud::MachineTypes;
use crate::wire::kvstore::{Entry, Transaction, TransactionResponse};
use crate::wire::users::{ErrorResponse, JobShape, JobStage, JobStatus, Submission, valid_id};
use std::collections::{BTreeMap, VecDeque};

/// What a request waits for.
#[derive(Clone, Debug)]
pub enum Step {
    /// The head of a job, to answer a poll.
    Poll(JobId),
    /// The head of a job that is submitted but cannot be accepted.
    Known(JobId, Rejection),
    /// The commit that accepts a job, of so many tasks.
    Accept(JobId, u32),
    /// The head of a job whose acceptance was lost or raced.
    Accepted(JobId),
    /// The head of a job to cancel; tries left.
    CancelRead(JobId, u32),
    /// The commit that cancels it; tries left.
    Cancel(JobId, u32),
}

/// Why a submission cannot be accepted.
#[derive(Clone, Debug)]
pub enum Rejection {
    /// It is malformed.
    Malformed(String),
    /// It can never run.
    Never(&'static str),
    /// This node cannot tell.
    NotNow,
}

/// What can be read of a submission that is none.
#[derive(serde::Deserialize)]
struct SubmissionId {
    #[serde(rename = "ref")]
    id: JobId,
}

/// Final states remembered.
const MOST_FINALS: usize = 2000;
/// Task counts remembered.
const MOST_COUNTS: usize = 4000;
/// Tries of a cancellation that races with changes.
const CANCEL_TRIES: u32 = 3;
/// The part of the users' calls that polls leave to other requests.
const POLLS_LEAVE: f64 = 0.3;
/// The part of the users' calls that shared reads for polls may take.
const SHARED_READS: f64 = 0.4;
/// A user waits 2 s for a poll.
const READ_TIMEOUT: TimeSpan = TimeSpan::millis(1500);
/// So long for a shared read, so that one that is lost can be made again.
const COMPARE_TIMEOUT: TimeSpan = TimeSpan::millis(700);
/// A user waits 5 s for a submission, and hopes for less than one: a commit whose answer is
/// lost is looked up by then.
const COMMIT_TIMEOUT: TimeSpan = TimeSpan::millis(800);

/// The users' side of a node.
#[derive(Debug, Default)]
pub struct JobApi {
    finals: BTreeMap<JobId, JobHeader>,
    order: VecDeque<JobId>,
    /// Task counts as the leader last told, for display.
    pub counts: BTreeMap<JobId, (u32, u32)>,
    polls: ReadCoalescer,
    /// Jobs whose users were told that they are cancelled, and not the peers yet.
    pub confirmed: Vec<JobId>,
    /// Calls under way.
    pub pending_calls: PendingCalls<PendingCall>,
}

/// What the intake waits for.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// A step of a user's request.
    User {
        /// The request.
        request: RequestId,
        /// The step.
        step: Step,
    },
    /// A shared read for polls.
    Compare(VersionComparison),
}

impl JobApi {
    fn remember(&mut self, id: &JobId, head: JobHeader, version: Version) {
        if head.s == HeaderStage::Open {
            return self.polls.remember(id, head, version);
        }
        self.polls.forget(id);
        if self.finals.insert(id.clone(), head).is_some() {
            return;
        }
        if head.s == HeaderStage::Cancelled {
            self.confirmed.push(id.clone());
        }
        self.counts.remove(id);
        self.order.push_back(id.clone());
        if self.order.len() > MOST_FINALS
            && let Some(old) = self.order.pop_front()
        {
            self.finals.remove(&old);
        }
    }

    /// Answers from memory if the job's state is final.
    fn answer_final(&self, effects: &mut Effects, request: RequestId, id: &JobId) -> bool {
        let Some(head) = self.finals.get(id) else {
            return false;
        };
        job_answer(effects, request, 200, &self.answer(id, *head));
        true
    }

    /// Keeps what the leader told.
    pub fn note_counts(&mut self, counts: Vec<(JobId, u32, u32)>) {
        for (id, done, running) in counts {
            if self.counts.len() >= MOST_COUNTS && !self.counts.contains_key(&id) {
                // Those of jobs that nobody asks for here any more would fill it.
                self.counts.pop_first();
            }
            self.counts.insert(id, (done, running));
        }
    }

    fn answer(&self, id: &JobId, head: JobHeader) -> JobStatus {
        let (done, running) = self.counts.get(id).copied().unwrap_or((0, 0));
        let (stage, done, running) = match head.s {
            HeaderStage::Done => (JobStage::Done, head.n, 0),
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

fn job_answer(effects: &mut Effects, request: RequestId, status: u16, answer: &JobStatus) {
    effects.answer(
        request,
        Answer {
            status,
            retry_after: None,
            body: wire::encode(answer),
        },
    );
}

fn refuse(effects: &mut Effects, request: RequestId, status: u16, error: &str) {
    tracing::debug!(status, error, "refused a user's request");
    let error = error.to_string();
    effects.answer(
        request,
        Answer {
            status,
            retry_after: (status == 503).then_some(1),
            body: wire::encode(&ErrorResponse { error }),
        },
    );
}

/// Why a job can never run, if so.
fn never(job: &Submission, settings: &Settings, types: &MachineTypes) -> Option<&'static str> {
    let Some(team) = settings.teams.get(&job.team) else {
        return Some("unknown team");
    };
    let need = job.needs();
    let fits = types.kinds.iter().any(|t| {
        job.kinds.as_ref().is_none_or(|k| k.contains(&t.name))
            && job.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && need.fits(&t.has())
    });
    if !fits {
        return Some("a task fits no allowed machine type");
    }
    let at_once: Resources = match job.shape {
        JobShape::Array => need,
        JobShape::Gang | JobShape::Service => need.times(f64::from(job.tasks)),
    };
    (!team.allows(&at_once)).then_some("the job needs more than its team's limit")
}

impl JobApi {
    fn read(&mut self, effects: &mut Effects, request: RequestId, id: &JobId, step: Step) {
        // Polls leave a part of the rate to submissions and cancellations.
        let spare = match step {
            Step::Poll(_) => effects.user_calls.burst() * POLLS_LEAVE,
            _ => 0.0,
        };
        let now = effects.now.time;
        if effects.user_calls.level(now) < spare || !effects.user_calls.take(now, 1.0) {
            return refuse(effects, request, 503, "too many requests");
        }
        let id = effects.call(
            Target::State,
            "GET",
            format!("/keys/{}", job_records::job_header_key(id)),
            Vec::new(),
            READ_TIMEOUT,
        );
        self.pending_calls
            .add(id, PendingCall::User { request, step });
    }

    /// Every change a user causes compares the level in force: one that this node
    /// decided before a rise, or that the network held back over it, fails.
    fn commit(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        mut txn: Transaction,
        step: Step,
    ) {
        txn.conditions
            .extend(effects.level.map(member_versions::fence));
        let now = effects.now.time;
        if !effects.user_calls.take(now, 1.0)
            || !effects.user_writes.take(now, txn.ops.len() as f64)
        {
            return refuse(effects, request, 503, "too many requests");
        }
        let id = effects.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            COMMIT_TIMEOUT,
        );
        self.pending_calls
            .add(id, PendingCall::User { request, step });
    }

    /// This node cannot serve now; another may.
    pub fn refuse(&self, effects: &mut Effects, request: RequestId, why: &str) {
        refuse(effects, request, 503, why);
    }

    /// `POST /submissions`
    pub fn submit(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        body: &[u8],
        settings: &Settings,
        types: Option<&MachineTypes>,
    ) {
        let Some(job) = wire::decode::<Submission>(body) else {
            let why = "not a submission: a field is missing or of the wrong kind";
            let Some(known) =
                wire::decode::<SubmissionId>(body).filter(|j| valid_id(j.id.as_str()))
            else {
                return refuse(effects, request, 400, why);
            };
            return self.look_up(
                effects,
                request,
                &known.id,
                Rejection::Malformed(why.into()),
            );
        };
        if let Some(field) = job.fault() {
            let why = format!("{field} is invalid");
            if !valid_id(job.id.as_str()) {
                return refuse(effects, request, 400, &why);
            }
            return self.look_up(effects, request, &job.id, Rejection::Malformed(why));
        }
        if self.answer_final(effects, request, &job.id) {
            return;
        }
        let unable = match types {
            None => Some(Rejection::NotNow),
            Some(t) => never(&job, settings, t).map(Rejection::Never),
        };
        if let Some(unable) = unable {
            return self.look_up(effects, request, &job.id, unable);
        }
        let limits = TransactionLimits {
            ops: settings.state_limits.txn_ops,
            value_bytes: settings.state_limits.value_bytes,
        };
        match job_records::accept_txn(&job, effects.now.wall, limits) {
            Some(txn) => self.commit(
                effects,
                request,
                txn,
                Step::Accept(job.id.clone(), job.tasks),
            ),
            None => {
                let why = "the submission is too large";
                self.look_up(effects, request, &job.id, Rejection::Malformed(why.into()));
            }
        }
    }

    /// A job that is known already stays accepted, whatever the machine types or teams
    /// are today and whatever is sent under its id: a submission is refused for good
    /// only once no such job is found.
    fn look_up(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        unable: Rejection,
    ) {
        if !self.answer_final(effects, request, id) {
            self.read(effects, request, id, Step::Known(id.clone(), unable));
        }
    }

    /// `GET /submissions/{id}`
    pub fn poll(&mut self, effects: &mut Effects, request: RequestId, id: &str) {
        if !valid_id(id) {
            return refuse(effects, request, 404, "no such job");
        }
        let id = JobId::from(id);
        if self.answer_final(effects, request, &id) {
            return;
        }
        if self.polls.is_open(&id) && !failpoints::enforced(SafetyCheck::AnswersAreFresh) {
            let s = HeaderStage::Open;
            return job_answer(
                effects,
                request,
                200,
                &self.answer(&id, JobHeader { s, n: 0 }),
            );
        }
        if self.polls.take(effects.now.time, request, &id) {
            self.compare(effects);
        } else {
            self.read(effects, request, &id, Step::Poll(id.clone()));
        }
    }

    /// Makes the next shared read for polls, if one is due.
    pub fn compare(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        for late in self.polls.overdue(now) {
            refuse(
                effects,
                late.request,
                503,
                "the state service does not answer",
            );
        }
        let Some((txn, comparison)) = self.polls.next(now, effects.most_conditions) else {
            return;
        };
        if !effects.user_calls.take(now, 1.0) {
            return self.on_compare(effects, comparison, &Reply::NotSent);
        }
        let id = effects.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            COMPARE_TIMEOUT,
        );
        self.pending_calls.add(id, PendingCall::Compare(comparison));
    }

    /// A shared read for polls was answered, or not.
    pub fn on_compare(
        &mut self,
        effects: &mut Effects,
        comparison: VersionComparison,
        reply: &Reply,
    ) {
        let pause = TimeSpan::secs(1.0 / (effects.user_calls.burst() * SHARED_READS).max(1.0));
        let out = self
            .polls
            .answered(effects.now.time, pause, comparison, reply);
        for (request, id, head) in out.open {
            // It may have ended, by this node's own hand, while the answer was on its way.
            if !self.answer_final(effects, request, &id) {
                let answer = self.answer(&id, head);
                job_answer(effects, request, 200, &answer);
            }
        }
        for a in out.changed {
            self.read(effects, a.request, &a.id, Step::Poll(a.id.clone()));
        }
        for a in out.failed {
            refuse(effects, a.request, 503, "the state service does not answer");
        }
        self.compare(effects);
    }

    /// `POST /submissions/{id}/cancel`
    pub fn cancel(&mut self, effects: &mut Effects, request: RequestId, id: &str) {
        if !valid_id(id) {
            return refuse(effects, request, 404, "no such job");
        }
        let id = JobId::from(id);
        if self.answer_final(effects, request, &id) {
            return;
        }
        self.read(
            effects,
            request,
            &id,
            Step::CancelRead(id.clone(), CANCEL_TRIES),
        );
    }

    /// The state service answered a step, or not.
    pub fn on_reply(&mut self, effects: &mut Effects, what: PendingCall, reply: Reply) {
        match what {
            PendingCall::User { request, step } => self.on_step(effects, request, step, reply),
            PendingCall::Compare(comparison) => self.on_compare(effects, comparison, &reply),
        }
    }

    fn on_step(&mut self, effects: &mut Effects, request: RequestId, step: Step, reply: Reply) {
        match step {
            Step::Accept(id, tasks) => self.on_accept(effects, request, id, tasks, reply),
            Step::Cancel(id, tries) => self.on_cancel(effects, request, id, tries, reply),
            Step::Poll(_) | Step::Known(..) | Step::Accepted(_) | Step::CancelRead(..) => {
                self.on_head(effects, request, step, reply);
            }
        }
    }

    fn on_accept(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: JobId,
        tasks: u32,
        reply: Reply,
    ) {
        let reply = match reply {
            Reply::Lost if !failpoints::enforced(SafetyCheck::LostIsUnknown) => {
                Reply::Answer(200, wire::encode(&TransactionResponse::default()))
            }
            reply => reply,
        };
        match reply {
            Reply::Answer(200, body) => {
                // Its user may have been told elsewhere, and have called it off here,
                // before this answer came.
                if self.answer_final(effects, request, &id) {
                    return;
                }
                if let Some(r) = wire::decode::<TransactionResponse>(&body) {
                    let s = HeaderStage::Open;
                    self.polls
                        .remember(&id, JobHeader { s, n: tasks }, r.revision);
                }
                let answer = JobStatus {
                    id,
                    stage: JobStage::Queued,
                    done: None,
                    running: None,
                };
                job_answer(effects, request, 201, &answer);
            }
            // Its own first copy, or another node's, or a later end of it: only a read
            // tells.
            Reply::Answer(409, _) if !failpoints::enforced(SafetyCheck::ConflictIsRead) => {
                let s = HeaderStage::Open;
                let answer = self.answer(&id, JobHeader { s, n: tasks });
                job_answer(effects, request, 200, &answer);
            }
            Reply::Answer(409, _) | Reply::Lost => {
                self.read(effects, request, &id, Step::Accepted(id.clone()));
            }
            Reply::Answer(..) | Reply::NotSent => {
                refuse(effects, request, 503, "the state service does not answer");
            }
        }
    }

    fn on_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: JobId,
        tries: u32,
        reply: Reply,
    ) {
        match reply {
            Reply::Answer(200, _) => {
                let head = JobHeader {
                    s: HeaderStage::Cancelled,
                    n: 0,
                };
                self.remember(&id, head, Version(0));
                let answer = self.answer(&id, head);
                job_answer(effects, request, 200, &answer);
            }
            Reply::Answer(409, _) | Reply::Lost if tries > 0 => {
                self.read(
                    effects,
                    request,
                    &id,
                    Step::CancelRead(id.clone(), tries - 1),
                );
            }
            _ => refuse(effects, request, 503, "the state service does not answer"),
        }
    }

    fn on_head(&mut self, effects: &mut Effects, request: RequestId, step: Step, reply: Reply) {
        let found = match reply {
            Reply::Answer(404, _) => None,
            Reply::Answer(200, body) => {
                let entry = wire::decode::<Entry>(&body);
                let head = entry
                    .as_ref()
                    .and_then(|e| Some((job_records::read::<JobHeader>(&e.value)?, e.version)));
                let Some(head) = head else {
                    return refuse(effects, request, 503, "the job's record cannot be read");
                };
                Some(head)
            }
            _ => return refuse(effects, request, 503, "the state service does not answer"),
        };
        let (Step::Poll(id) | Step::Known(id, _) | Step::Accepted(id) | Step::CancelRead(id, _)) =
            &step
        else {
            return;
        };
        // A read sent before the job ended may be answered after that was told.
        let ended = self.finals.get(id).map(|head| (*head, Version(0)));
        let found = ended.or(found);
        match (found, &step) {
            (Some((head, version)), Step::CancelRead(id, tries)) if head.s == HeaderStage::Open => {
                self.write_cancel(effects, request, id, head, version, *tries);
            }
            (Some((head, version)), _) => {
                self.remember(id, head, version);
                let answer = self.answer(id, head);
                job_answer(effects, request, 200, &answer);
            }
            // Accepted here since the read was sent: what it says is older than that.
            (None, _) if self.polls.is_open(id) => {
                refuse(effects, request, 503, "accepted just now")
            }
            (None, Step::Known(_, Rejection::Malformed(why))) => refuse(effects, request, 400, why),
            (None, Step::Known(_, Rejection::Never(why))) => refuse(effects, request, 422, why),
            (None, Step::Known(_, Rejection::NotNow)) => {
                refuse(effects, request, 503, "the machine types are not known yet");
            }
            (None, Step::Accepted(_)) => refuse(effects, request, 503, "not accepted yet"),
            (None, _) => refuse(effects, request, 404, "no such job"),
        }
    }

    fn write_cancel(
        &mut self,
        effects: &mut Effects,
        request: RequestId,
        id: &JobId,
        head: JobHeader,
        version: Version,
        tries: u32,
    ) {
        let txn = job_records::cancel_txn(id, head, version);
        self.commit(effects, request, txn, Step::Cancel(id.clone(), tries));
    }
}

#[cfg(test)]
mod tests;
