//! Users' requests. Any node takes them: accepting and cancelling are
//! conditional writes on the job's own key, and every answer that is not
//! final rests on a fresh read.

use super::effects::{Io, Waits};
use super::failpoints::{self, Decision};
use super::format_version::member_versions;
use super::job_records::{self, Head, HeadStage, TransactionLimits};
use super::read_coalescing::{Comparison, Polls};
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
    Known(JobId, Unable),
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
pub enum Unable {
    /// It is malformed.
    Malformed(String),
    /// It can never run.
    Never(&'static str),
    /// This node cannot tell.
    NotNow,
}

/// What can be read of a submission that is none.
#[derive(serde::Deserialize)]
struct JustId {
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
pub struct Intake {
    finals: BTreeMap<JobId, Head>,
    order: VecDeque<JobId>,
    /// Task counts as the leader last told, for display.
    pub counts: BTreeMap<JobId, (u32, u32)>,
    polls: Polls,
    /// Jobs whose users were told that they are cancelled, and not the peers yet.
    pub confirmed: Vec<JobId>,
    /// Calls under way.
    pub waits: Waits<Awaits>,
}

/// What the intake waits for.
#[derive(Clone, Debug)]
pub enum Awaits {
    /// A step of a user's request.
    User {
        /// The request.
        request: RequestId,
        /// The step.
        step: Step,
    },
    /// A shared read for polls.
    Compare(Comparison),
}

impl Intake {
    fn remember(&mut self, id: &JobId, head: Head, version: Version) {
        if head.s == HeadStage::Open {
            return self.polls.remember(id, head, version);
        }
        self.polls.forget(id);
        if self.finals.insert(id.clone(), head).is_some() {
            return;
        }
        if head.s == HeadStage::Cancelled {
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
    fn answer_final(&self, io: &mut Io, request: RequestId, id: &JobId) -> bool {
        let Some(head) = self.finals.get(id) else {
            return false;
        };
        job_answer(io, request, 200, &self.answer(id, *head));
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

    fn answer(&self, id: &JobId, head: Head) -> JobStatus {
        let (done, running) = self.counts.get(id).copied().unwrap_or((0, 0));
        let (stage, done, running) = match head.s {
            HeadStage::Done => (JobStage::Done, head.n, 0),
            HeadStage::Cancelled => (JobStage::Cancelled, done, 0),
            HeadStage::Open if running > 0 => (JobStage::Running, done, running),
            HeadStage::Open => (JobStage::Queued, done, 0),
        };
        JobStatus {
            id: id.clone(),
            stage,
            done: Some(done),
            running: Some(running),
        }
    }
}

fn job_answer(io: &mut Io, request: RequestId, status: u16, answer: &JobStatus) {
    io.answer(
        request,
        Answer {
            status,
            retry_after: None,
            body: wire::encode(answer),
        },
    );
}

fn refuse(io: &mut Io, request: RequestId, status: u16, error: &str) {
    tracing::debug!(status, error, "refused a user's request");
    let error = error.to_string();
    io.answer(
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

impl Intake {
    fn read(&mut self, io: &mut Io, request: RequestId, id: &JobId, step: Step) {
        // Polls leave a part of the rate to submissions and cancellations.
        let spare = match step {
            Step::Poll(_) => io.user_calls.burst() * POLLS_LEAVE,
            _ => 0.0,
        };
        let now = io.now.time;
        if io.user_calls.level(now) < spare || !io.user_calls.take(now, 1.0) {
            return refuse(io, request, 503, "too many requests");
        }
        let id = io.call(
            Target::State,
            "GET",
            format!("/keys/{}", job_records::head_key(id)),
            Vec::new(),
            READ_TIMEOUT,
        );
        self.waits.add(id, Awaits::User { request, step });
    }

    /// Every change a user causes compares the level in force: one that this node
    /// decided before a rise, or that the network held back over it, fails.
    fn commit(&mut self, io: &mut Io, request: RequestId, mut txn: Transaction, step: Step) {
        txn.conditions.extend(io.level.map(member_versions::fence));
        let now = io.now.time;
        if !io.user_calls.take(now, 1.0) || !io.user_writes.take(now, txn.ops.len() as f64) {
            return refuse(io, request, 503, "too many requests");
        }
        let id = io.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            COMMIT_TIMEOUT,
        );
        self.waits.add(id, Awaits::User { request, step });
    }

    /// This node cannot serve now; another may.
    pub fn refuse(&self, io: &mut Io, request: RequestId, why: &str) {
        refuse(io, request, 503, why);
    }

    /// `POST /submissions`
    pub fn submit(
        &mut self,
        io: &mut Io,
        request: RequestId,
        body: &[u8],
        settings: &Settings,
        types: Option<&MachineTypes>,
    ) {
        let Some(job) = wire::decode::<Submission>(body) else {
            let why = "not a submission: a field is missing or of the wrong kind";
            let Some(known) = wire::decode::<JustId>(body).filter(|j| valid_id(j.id.as_str()))
            else {
                return refuse(io, request, 400, why);
            };
            return self.look_up(io, request, &known.id, Unable::Malformed(why.into()));
        };
        if let Some(field) = job.fault() {
            let why = format!("{field} is invalid");
            if !valid_id(job.id.as_str()) {
                return refuse(io, request, 400, &why);
            }
            return self.look_up(io, request, &job.id, Unable::Malformed(why));
        }
        if self.answer_final(io, request, &job.id) {
            return;
        }
        let unable = match types {
            None => Some(Unable::NotNow),
            Some(t) => never(&job, settings, t).map(Unable::Never),
        };
        if let Some(unable) = unable {
            return self.look_up(io, request, &job.id, unable);
        }
        let limits = TransactionLimits {
            ops: settings.state_limits.txn_ops,
            value_bytes: settings.state_limits.value_bytes,
        };
        match job_records::accept_txn(&job, io.now.wall, limits) {
            Some(txn) => self.commit(io, request, txn, Step::Accept(job.id.clone(), job.tasks)),
            None => {
                let why = "the submission is too large";
                self.look_up(io, request, &job.id, Unable::Malformed(why.into()));
            }
        }
    }

    /// A job that is known already stays accepted, whatever the machine types or teams
    /// are today and whatever is sent under its id: a submission is refused for good
    /// only once no such job is found.
    fn look_up(&mut self, io: &mut Io, request: RequestId, id: &JobId, unable: Unable) {
        if !self.answer_final(io, request, id) {
            self.read(io, request, id, Step::Known(id.clone(), unable));
        }
    }

    /// `GET /submissions/{id}`
    pub fn poll(&mut self, io: &mut Io, request: RequestId, id: &str) {
        if !valid_id(id) {
            return refuse(io, request, 404, "no such job");
        }
        let id = JobId::from(id);
        if self.answer_final(io, request, &id) {
            return;
        }
        if self.polls.is_open(&id) && !failpoints::holds(Decision::AnswersAreFresh) {
            let s = HeadStage::Open;
            return job_answer(io, request, 200, &self.answer(&id, Head { s, n: 0 }));
        }
        if self.polls.take(io.now.time, request, &id) {
            self.compare(io);
        } else {
            self.read(io, request, &id, Step::Poll(id.clone()));
        }
    }

    /// Makes the next shared read for polls, if one is due.
    pub fn compare(&mut self, io: &mut Io) {
        let now = io.now.time;
        for late in self.polls.overdue(now) {
            refuse(io, late.request, 503, "the state service does not answer");
        }
        let Some((txn, comparison)) = self.polls.next(now, io.most_conditions) else {
            return;
        };
        if !io.user_calls.take(now, 1.0) {
            return self.on_compare(io, comparison, &Reply::NotSent);
        }
        let id = io.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            COMPARE_TIMEOUT,
        );
        self.waits.add(id, Awaits::Compare(comparison));
    }

    /// A shared read for polls was answered, or not.
    pub fn on_compare(&mut self, io: &mut Io, comparison: Comparison, reply: &Reply) {
        let pause = TimeSpan::secs(1.0 / (io.user_calls.burst() * SHARED_READS).max(1.0));
        let out = self.polls.answered(io.now.time, pause, comparison, reply);
        for (request, id, head) in out.open {
            // It may have ended, by this node's own hand, while the answer was on its way.
            if !self.answer_final(io, request, &id) {
                let answer = self.answer(&id, head);
                job_answer(io, request, 200, &answer);
            }
        }
        for a in out.changed {
            self.read(io, a.request, &a.id, Step::Poll(a.id.clone()));
        }
        for a in out.failed {
            refuse(io, a.request, 503, "the state service does not answer");
        }
        self.compare(io);
    }

    /// `POST /submissions/{id}/cancel`
    pub fn cancel(&mut self, io: &mut Io, request: RequestId, id: &str) {
        if !valid_id(id) {
            return refuse(io, request, 404, "no such job");
        }
        let id = JobId::from(id);
        if self.answer_final(io, request, &id) {
            return;
        }
        self.read(io, request, &id, Step::CancelRead(id.clone(), CANCEL_TRIES));
    }

    /// The state service answered a step, or not.
    pub fn on_reply(&mut self, io: &mut Io, what: Awaits, reply: Reply) {
        match what {
            Awaits::User { request, step } => self.on_step(io, request, step, reply),
            Awaits::Compare(comparison) => self.on_compare(io, comparison, &reply),
        }
    }

    fn on_step(&mut self, io: &mut Io, request: RequestId, step: Step, reply: Reply) {
        match step {
            Step::Accept(id, tasks) => self.on_accept(io, request, id, tasks, reply),
            Step::Cancel(id, tries) => self.on_cancel(io, request, id, tries, reply),
            Step::Poll(_) | Step::Known(..) | Step::Accepted(_) | Step::CancelRead(..) => {
                self.on_head(io, request, step, reply);
            }
        }
    }

    fn on_accept(&mut self, io: &mut Io, request: RequestId, id: JobId, tasks: u32, reply: Reply) {
        let reply = match reply {
            Reply::Lost if !failpoints::holds(Decision::LostIsUnknown) => {
                Reply::Answer(200, wire::encode(&TransactionResponse::default()))
            }
            reply => reply,
        };
        match reply {
            Reply::Answer(200, body) => {
                // Its user may have been told elsewhere, and have called it off here,
                // before this answer came.
                if self.answer_final(io, request, &id) {
                    return;
                }
                if let Some(r) = wire::decode::<TransactionResponse>(&body) {
                    let s = HeadStage::Open;
                    self.polls.remember(&id, Head { s, n: tasks }, r.revision);
                }
                let answer = JobStatus {
                    id,
                    stage: JobStage::Queued,
                    done: None,
                    running: None,
                };
                job_answer(io, request, 201, &answer);
            }
            // Its own first copy, or another node's, or a later end of it: only a read
            // tells.
            Reply::Answer(409, _) if !failpoints::holds(Decision::ConflictIsRead) => {
                let s = HeadStage::Open;
                let answer = self.answer(&id, Head { s, n: tasks });
                job_answer(io, request, 200, &answer);
            }
            Reply::Answer(409, _) | Reply::Lost => {
                self.read(io, request, &id, Step::Accepted(id.clone()));
            }
            Reply::Answer(..) | Reply::NotSent => {
                refuse(io, request, 503, "the state service does not answer");
            }
        }
    }

    fn on_cancel(&mut self, io: &mut Io, request: RequestId, id: JobId, tries: u32, reply: Reply) {
        match reply {
            Reply::Answer(200, _) => {
                let head = Head {
                    s: HeadStage::Cancelled,
                    n: 0,
                };
                self.remember(&id, head, Version(0));
                let answer = self.answer(&id, head);
                job_answer(io, request, 200, &answer);
            }
            Reply::Answer(409, _) | Reply::Lost if tries > 0 => {
                self.read(io, request, &id, Step::CancelRead(id.clone(), tries - 1));
            }
            _ => refuse(io, request, 503, "the state service does not answer"),
        }
    }

    fn on_head(&mut self, io: &mut Io, request: RequestId, step: Step, reply: Reply) {
        let found = match reply {
            Reply::Answer(404, _) => None,
            Reply::Answer(200, body) => {
                let entry = wire::decode::<Entry>(&body);
                let head = entry
                    .as_ref()
                    .and_then(|e| Some((job_records::read::<Head>(&e.value)?, e.version)));
                let Some(head) = head else {
                    return refuse(io, request, 503, "the job's record cannot be read");
                };
                Some(head)
            }
            _ => return refuse(io, request, 503, "the state service does not answer"),
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
            (Some((head, version)), Step::CancelRead(id, tries)) if head.s == HeadStage::Open => {
                self.write_cancel(io, request, id, head, version, *tries);
            }
            (Some((head, version)), _) => {
                self.remember(id, head, version);
                let answer = self.answer(id, head);
                job_answer(io, request, 200, &answer);
            }
            // Accepted here since the read was sent: what it says is older than that.
            (None, _) if self.polls.is_open(id) => refuse(io, request, 503, "accepted just now"),
            (None, Step::Known(_, Unable::Malformed(why))) => refuse(io, request, 400, why),
            (None, Step::Known(_, Unable::Never(why))) => refuse(io, request, 422, why),
            (None, Step::Known(_, Unable::NotNow)) => {
                refuse(io, request, 503, "the machine types are not known yet");
            }
            (None, Step::Accepted(_)) => refuse(io, request, 503, "not accepted yet"),
            (None, _) => refuse(io, request, 404, "no such job"),
        }
    }

    fn write_cancel(
        &mut self,
        io: &mut Io,
        request: RequestId,
        id: &JobId,
        head: Head,
        version: Version,
        tries: u32,
    ) {
        let txn = job_records::cancel_txn(id, head, version);
        self.commit(io, request, txn, Step::Cancel(id.clone(), tries));
    }
}

#[cfg(test)]
mod tests;
