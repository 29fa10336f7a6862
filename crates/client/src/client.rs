//! The client: calls to the controllers over HTTP, with retries.

use crate::answer_cache::AnswerCache;
use crate::attempts::{Action, Attempts, ReplyClass, RequestKind, RetryPolicy};
use pebblefold_net::{Client as HttpClient, SentFlag};
use pebblefold_wire::http::Response;
use pebblefold_wire::rate_limit::TokenBucket;
use pebblefold_wire::types::{JobId, Time, TimeSpan};
use pebblefold_wire::users::{ErrorResponse, JobStage, JobStatus, Submission, is_valid_job_id};
use pebblefold_wire::{decode, encode};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Retries per second that all calls of a client may make together.
const RETRIES_PER_S: f64 = 5.0;
/// Retries that the calls may make in one burst.
const RETRY_BURST: f64 = 25.0;
/// Multiplier that derives the seed of a client's next call from the last one (Knuth's
/// multiplicative constant for 64 bits).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The controller rejected the request permanently: it is malformed, or the job can
    /// never run. Repeating the call is useless.
    #[error("{status} {reason}")]
    Refused {
        /// 400 or 422.
        status: u16,
        /// The reason that the controller gave.
        reason: String,
    },
    /// The job does not exist.
    #[error("no such job: {0}")]
    NoSuchJob(JobId),
    /// The id is not a valid job id; no request was sent.
    #[error("job id {0:?}: 1 to 128 letters, digits, '-', '_' or '.' are wanted")]
    InvalidJobId(String),
    /// No controller gave a final answer before the deadline, or the retry budget is used
    /// up. The request may have been carried out. The call may be repeated after the
    /// pause.
    #[error("{last}; try again in {} s", pause.as_secs().ceil())]
    Busy {
        /// How the last attempt failed.
        last: String,
        /// How long the caller has to wait before it repeats the call.
        pause: TimeSpan,
    },
    /// The client was created without addresses of controllers.
    #[error("no nodes to ask; give at least one address")]
    NoNodes,
}

impl ClientError {
    /// Whether the same call may succeed when it is repeated later.
    pub fn is_retryable(&self) -> bool {
        matches!(self, ClientError::Busy { .. })
    }
}

/// A client of the users' protocol. It has to be used within a
/// [`tokio::task::LocalSet`]. Clones share the connections, the retry budget and the
/// cache of answers.
#[derive(Clone, Debug)]
pub struct Client(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    http: HttpClient,
    /// Addresses of the controllers.
    nodes: Vec<SocketAddrV4>,
    policy: RetryPolicy,
    /// Origin of the times that the client passes to [`Attempts`] and to the budget.
    started: Instant,
    retry_budget: RefCell<TokenBucket>,
    answer_cache: RefCell<AnswerCache>,
    /// Seed of the last call.
    seed: Cell<u64>,
}

impl Client {
    /// Creates a client that sends its requests to the controllers at these addresses.
    pub fn new(nodes: Vec<SocketAddrV4>, policy: RetryPolicy) -> Client {
        Client(Rc::new(Shared {
            http: HttpClient::default(),
            nodes,
            policy,
            started: Instant::now(),
            retry_budget: RefCell::new(TokenBucket::new(RETRIES_PER_S, RETRY_BURST)),
            answer_cache: RefCell::default(),
            seed: Cell::new(rand::random()),
        }))
    }

    /// Submits a job. The call may be repeated: a submission with the same id is the same
    /// job.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn submit(&self, job: &Submission) -> Result<JobStatus, ClientError> {
        let path = "/submissions".into();
        self.call(RequestKind::Submit, &job.id, "POST", path, encode(job))
            .await
    }

    /// Returns a job's current status.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn status(&self, id: &JobId) -> Result<JobStatus, ClientError> {
        let path = format!("/submissions/{id}");
        self.call(RequestKind::Poll, id, "GET", path, Vec::new())
            .await
    }

    /// Cancels a job. The call may be repeated; the returned stage is "done" if the job had
    /// already completed.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn cancel(&self, id: &JobId) -> Result<JobStatus, ClientError> {
        let path = format!("/submissions/{id}/cancel");
        self.call(RequestKind::Cancel, id, "POST", path, Vec::new())
            .await
    }

    /// Polls a job, at intervals of at least `interval`, until the job is done or
    /// cancelled. `on_change` is called with each status whose stage differs from the
    /// last one. A poll that fails with [`ClientError::Busy`] is repeated without limit.
    ///
    /// # Errors
    /// The job does not exist; see [`ClientError`].
    pub async fn wait(
        &self,
        id: &JobId,
        interval: Duration,
        mut on_change: impl FnMut(&JobStatus),
    ) -> Result<JobStatus, ClientError> {
        let mut last: Option<JobStage> = None;
        loop {
            let mut pause = interval;
            match self.status(id).await {
                Ok(job_status) => {
                    if last != Some(job_status.stage) {
                        on_change(&job_status);
                    }
                    last = Some(job_status.stage);
                    if matches!(job_status.stage, JobStage::Done | JobStage::Cancelled) {
                        return Ok(job_status);
                    }
                }
                Err(ClientError::Busy {
                    pause: retry_pause, ..
                }) => {
                    pause = interval.max(Duration::from_micros(retry_pause.0));
                }
                Err(e) => return Err(e),
            }
            sleep(pause).await;
        }
    }

    /// Makes a call: repeats attempts until one has a final answer or the deadline has
    /// passed.
    async fn call(
        &self,
        kind: RequestKind,
        id: &JobId,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> Result<JobStatus, ClientError> {
        let shared = &self.0;
        if shared.nodes.is_empty() {
            return Err(ClientError::NoNodes);
        }
        // A submission with an invalid id is sent: the controller rejects it with a reason.
        if kind != RequestKind::Submit && !is_valid_job_id(id.as_str()) {
            return Err(ClientError::InvalidJobId(id.to_string()));
        }
        let mut attempts = shared.new_attempts(kind);
        let (tx, mut rx) = mpsc::unbounded_channel();
        // When the call ends, the set is dropped and aborts the attempts in flight.
        let mut tasks: JoinSet<()> = JoinSet::new();
        let mut last = "no answer".to_string();
        loop {
            let now = shared.now();
            let actions = attempts.next(now, &mut |now| {
                shared.retry_budget.borrow_mut().try_take(now, 1.0)
            });
            for action in actions {
                match action {
                    Action::Send { node, attempt } => {
                        let (shared, tx) = (Rc::clone(shared), tx.clone());
                        let (path, body) = (path.clone(), body.clone());
                        tasks.spawn_local(async move {
                            let result = shared.send_request(node, method, &path, &body).await;
                            // The send fails if the call has ended; the result is then
                            // no longer needed.
                            let _ = tx.send(AttemptResult {
                                attempt,
                                node,
                                result,
                            });
                        });
                    }
                    Action::Wait(_) => {}
                    Action::Abandon => {
                        let pause = attempts.retry_not_before().since(now).max(MIN_RETRY_PAUSE);
                        return Err(ClientError::Busy { last, pause });
                    }
                }
            }
            let wait = next_wait(&mut attempts, now);
            let Ok(Some(finished)) = timeout(wait, rx.recv()).await else {
                continue;
            };
            match shared.classify(id, &finished) {
                Progress::Answered(answer) => return answer,
                Progress::Retry {
                    reason,
                    retry_after_s,
                } => {
                    last = format!("{}: {reason}", shared.nodes[finished.node]);
                    attempts.record_failure(shared.now(), finished.attempt, retry_after_s);
                }
            }
        }
    }
}

/// Lower bound of the pause in [`ClientError::Busy`].
const MIN_RETRY_PAUSE: TimeSpan = TimeSpan::millis(1000);
/// Lower bound of the wait between two calls of [`Attempts::next`], in microseconds.
const MIN_WAIT_US: u64 = 1000;

/// The result of one attempt.
struct AttemptResult {
    attempt: u32,
    node: usize,
    /// The response, or the reason why there is none.
    result: Result<Response, String>,
}

/// What an attempt's result means for its call.
enum Progress {
    Answered(Result<JobStatus, ClientError>),
    Retry {
        reason: String,
        /// `Retry-After` of the response, in seconds.
        retry_after_s: Option<u32>,
    },
}

/// How long to wait for the result of an attempt before [`Attempts::next`] is called
/// again.
fn next_wait(attempts: &mut Attempts, now: Time) -> Duration {
    let wait = match attempts.next(now, &mut |_| false).as_slice() {
        [Action::Wait(until)] => until.since(now),
        _ => TimeSpan::millis(1),
    };
    Duration::from_micros(wait.0.max(MIN_WAIT_US))
}

/// Why a response is not final, for [`ClientError::Busy`].
fn reason(reply: &Response) -> String {
    match decode::<ErrorResponse>(&reply.body) {
        Some(error_body) => format!("{} {}", reply.status, error_body.error),
        None => format!("{} refused", reply.status),
    }
}

impl Shared {
    /// Time since the client was created; 1 us is added, so that it is never zero.
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64 + 1)
    }

    fn new_attempts(&self, kind: RequestKind) -> Attempts {
        let seed = self.seed.get().wrapping_mul(SEED_MULTIPLIER) | 1;
        self.seed.set(seed);
        Attempts::new(kind, self.nodes.len(), self.policy, self.now(), seed)
    }

    fn classify(&self, id: &JobId, finished: &AttemptResult) -> Progress {
        let response = match &finished.result {
            Ok(response) => response,
            Err(e) => {
                return Progress::Retry {
                    reason: e.clone(),
                    retry_after_s: None,
                };
            }
        };
        match ReplyClass::of(response.status, response.retry_after) {
            ReplyClass::Final => match self.check_answer(id, response) {
                Some(answer) => Progress::Answered(answer),
                None => Progress::Retry {
                    reason: format!("{}, older than an earlier answer", response.status),
                    retry_after_s: None,
                },
            },
            ReplyClass::Retry { retry_after_s } => Progress::Retry {
                reason: reason(response),
                retry_after_s,
            },
        }
    }

    async fn send_request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Response, String> {
        let sent = SentFlag::default();
        let exchange_future = self
            .http
            .exchange(self.nodes[node], method, path, body, &sent);
        let limit = Duration::from_micros(self.policy.attempt_timeout.0);
        match timeout(limit, exchange_future).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("no answer in time".into()),
        }
    }

    /// Decodes a final response and checks it against the cache of answers. `None`: the
    /// response cannot be decoded, is about another job, or is older than an answer that
    /// was returned before.
    fn check_answer(&self, id: &JobId, reply: &Response) -> Option<Result<JobStatus, ClientError>> {
        let mut answer_cache = self.answer_cache.borrow_mut();
        match reply.status {
            404 if answer_cache.allows(id, None) => Some(Err(ClientError::NoSuchJob(id.clone()))),
            404 => None,
            400 | 422 => Some(Err(ClientError::Refused {
                status: reply.status,
                reason: decode::<ErrorResponse>(&reply.body)
                    .map_or("refused".into(), |error_body| error_body.error),
            })),
            _ => {
                let answer: JobStatus = decode(&reply.body)?;
                if answer.id != *id || !answer_cache.allows(id, Some(answer.stage)) {
                    return None;
                }
                answer_cache.record(id, answer.stage);
                Some(Ok(answer))
            }
        }
    }
}
