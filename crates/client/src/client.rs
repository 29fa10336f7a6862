//! Calls on sockets.

use crate::answer_cache::AnswerCache;
use crate::attempts::{Action, Attempts, ReplyClass, RequestKind, RetryPolicy};
use pebblefold_net::{Client as HttpClient, Sent};
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

/// Retries a second that all calls of a client may make together.
const RETRIES_PER_S: f64 = 5.0;
/// Retries that they may make at once.
const RETRY_BURST: f64 = 25.0;
/// Spreads the seeds of a client's calls (Knuth's multiplicative constant for 64 bits).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// Refused for good: malformed, or it can never run. Not to be repeated.
    #[error("{status} {reason}")]
    Refused {
        /// 400 or 422.
        status: u16,
        /// The node's reason.
        reason: String,
    },
    /// No such job.
    #[error("no such job: {0}")]
    NoSuchJob(JobId),
    /// The id can be none of a job; nothing was sent.
    #[error("job id {0:?}: 1 to 128 letters, digits, '-', '_' or '.' are wanted")]
    InvalidJobId(String),
    /// No node decided within the deadline, or the retries are used up. May be
    /// repeated, not before the pause: it may have been carried out.
    #[error("{last}; try again in {} s", pause.as_secs().ceil())]
    Busy {
        /// What the last try met.
        last: String,
        /// How long to wait.
        pause: TimeSpan,
    },
    /// The client has no nodes.
    #[error("no nodes to ask; give at least one address")]
    NoNodes,
}

impl ClientError {
    /// Whether the same call may succeed later.
    pub fn is_retryable(&self) -> bool {
        matches!(self, ClientError::Busy { .. })
    }
}

/// A client. Has to be used within a [`tokio::task::LocalSet`]; clones share
/// connections, the budget of retries and what was answered before.
#[derive(Clone, Debug)]
pub struct Client(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    http: HttpClient,
    nodes: Vec<SocketAddrV4>,
    policy: RetryPolicy,
    started: Instant,
    retries: RefCell<TokenBucket>,
    answer_cache: RefCell<AnswerCache>,
    seed: Cell<u64>,
}

impl Client {
    /// A client of these nodes.
    pub fn new(nodes: Vec<SocketAddrV4>, policy: RetryPolicy) -> Client {
        Client(Rc::new(Shared {
            http: HttpClient::default(),
            nodes,
            policy,
            started: Instant::now(),
            retries: RefCell::new(TokenBucket::new(RETRIES_PER_S, RETRY_BURST)),
            answer_cache: RefCell::default(),
            seed: Cell::new(rand::random()),
        }))
    }

    /// Submits a job. Safe to repeat: the same id is the same job.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn submit(&self, job: &Submission) -> Result<JobStatus, ClientError> {
        let path = "/submissions".into();
        self.call(RequestKind::Submit, &job.id, "POST", path, encode(job))
            .await
    }

    /// A job's state.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn status(&self, id: &JobId) -> Result<JobStatus, ClientError> {
        let path = format!("/submissions/{id}");
        self.call(RequestKind::Poll, id, "GET", path, Vec::new())
            .await
    }

    /// Cancels a job. Safe to repeat; answers "done" if it was over already.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn cancel(&self, id: &JobId) -> Result<JobStatus, ClientError> {
        let path = format!("/submissions/{id}/cancel");
        self.call(RequestKind::Cancel, id, "POST", path, Vec::new())
            .await
    }

    /// Polls until a job is over; `on_change` hears of each change. Nodes that cannot
    /// answer for a while are waited for.
    ///
    /// # Errors
    /// The job is not known.
    pub async fn wait(
        &self,
        id: &JobId,
        every: Duration,
        mut on_change: impl FnMut(&JobStatus),
    ) -> Result<JobStatus, ClientError> {
        let mut last: Option<JobStage> = None;
        loop {
            let mut pause = every;
            match self.status(id).await {
                Ok(a) => {
                    if last != Some(a.stage) {
                        on_change(&a);
                    }
                    last = Some(a.stage);
                    if matches!(a.stage, JobStage::Done | JobStage::Cancelled) {
                        return Ok(a);
                    }
                }
                Err(ClientError::Busy { pause: p, .. }) => {
                    pause = every.max(Duration::from_micros(p.0));
                }
                Err(e) => return Err(e),
            }
            sleep(pause).await;
        }
    }

    /// Makes a call: attempts until one is answered for good or the deadline is over.
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
        // A job without a usable id is refused by the node, with its reason.
        if kind != RequestKind::Submit && !is_valid_job_id(id.as_str()) {
            return Err(ClientError::InvalidJobId(id.to_string()));
        }
        let mut attempts = shared.new_attempts(kind);
        let (tx, mut rx) = mpsc::unbounded_channel();
        // Attempts end with the call: the set aborts them when it is dropped.
        let mut tasks: JoinSet<()> = JoinSet::new();
        let mut last = "no answer".to_string();
        loop {
            let now = shared.now();
            let actions = attempts.next(now, &mut |now| shared.retries.borrow_mut().take(now, 1.0));
            for action in actions {
                match action {
                    Action::Send { node, attempt } => {
                        let (shared, tx) = (Rc::clone(shared), tx.clone());
                        let (path, body) = (path.clone(), body.clone());
                        tasks.spawn_local(async move {
                            let result = shared.send_request(node, method, &path, &body).await;
                            // The call may be over; nobody misses the result.
                            let _ = tx.send(AttemptResult {
                                attempt,
                                node,
                                result,
                            });
                        });
                    }
                    Action::Wait(_) => {}
                    Action::GiveUp => {
                        let pause = attempts.retry_not_before().since(now).max(LEAST_PAUSE);
                        return Err(ClientError::Busy { last, pause });
                    }
                }
            }
            let wait = next_wait(&mut attempts, now);
            let Ok(Some(done)) = timeout(wait, rx.recv()).await else {
                continue;
            };
            match shared.classify(id, &done) {
                Progress::Answered(answer) => return answer,
                Progress::Retry { reason, after } => {
                    last = format!("{}: {reason}", shared.nodes[done.node]);
                    attempts.failed(shared.now(), done.attempt, after);
                }
            }
        }
    }
}

/// Least pause that a caller is told to keep after a call without an answer.
const LEAST_PAUSE: TimeSpan = TimeSpan::millis(1000);
/// Least wait between two looks at the attempts under way.
const LEAST_WAIT_US: u64 = 1000;

/// What came of one attempt.
struct AttemptResult {
    attempt: u32,
    node: usize,
    /// The response, or why there is none.
    result: Result<Response, String>,
}

/// What an attempt's result means for its call.
enum Progress {
    Answered(Result<JobStatus, ClientError>),
    Retry {
        reason: String,
        /// Seconds that the node asks to wait.
        after: Option<u32>,
    },
}

/// How long nothing is to be done, unless an attempt ends.
fn next_wait(attempts: &mut Attempts, now: Time) -> Duration {
    let wait = match attempts.next(now, &mut |_| false).as_slice() {
        [Action::Wait(until)] => until.since(now),
        _ => TimeSpan::millis(1),
    };
    Duration::from_micros(wait.0.max(LEAST_WAIT_US))
}

fn reason(r: &Response) -> String {
    match decode::<ErrorResponse>(&r.body) {
        Some(x) => format!("{} {}", r.status, x.error),
        None => format!("{} refused", r.status),
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64 + 1)
    }

    fn new_attempts(&self, kind: RequestKind) -> Attempts {
        let seed = self.seed.get().wrapping_mul(SEED_MULTIPLIER) | 1;
        self.seed.set(seed);
        Attempts::new(kind, self.nodes.len(), self.policy, self.now(), seed)
    }

    fn classify(&self, id: &JobId, done: &AttemptResult) -> Progress {
        let response = match &done.result {
            Ok(response) => response,
            Err(e) => {
                return Progress::Retry {
                    reason: e.clone(),
                    after: None,
                };
            }
        };
        match ReplyClass::of(response.status, response.retry_after) {
            ReplyClass::Final => match self.read(id, response) {
                Some(answer) => Progress::Answered(answer),
                None => Progress::Retry {
                    reason: format!("{}, older than what is known", response.status),
                    after: None,
                },
            },
            ReplyClass::Retry { after } => Progress::Retry {
                reason: reason(response),
                after,
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
        let sent = Sent::default();
        let asked = self
            .http
            .exchange(self.nodes[node], method, path, body, &sent);
        let limit = Duration::from_micros(self.policy.attempt_timeout.0);
        match timeout(limit, asked).await {
            Ok(Ok(r)) => Ok(r),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("no answer in time".into()),
        }
    }

    /// The answer as it may be given; `None`: it is older than one that was.
    fn read(&self, id: &JobId, r: &Response) -> Option<Result<JobStatus, ClientError>> {
        let mut answer_cache = self.answer_cache.borrow_mut();
        match r.status {
            404 if answer_cache.allows(id, None) => Some(Err(ClientError::NoSuchJob(id.clone()))),
            404 => None,
            400 | 422 => Some(Err(ClientError::Refused {
                status: r.status,
                reason: decode::<ErrorResponse>(&r.body).map_or("refused".into(), |x| x.error),
            })),
            _ => {
                let answer: JobStatus = decode(&r.body)?;
                if answer.id != *id || !answer_cache.allows(id, Some(answer.stage)) {
                    return None;
                }
                answer_cache.note(id, answer.stage);
                Some(Ok(answer))
            }
        }
    }
}
