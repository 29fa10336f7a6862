//! Calls on sockets.

use crate::attempts::{Attempts, Kind, Policy, Step, Verdict};
use crate::seen::Seen;
use pebblefold_net::{Client as Net, Sent};
use pebblefold_wire::http::Response;
use pebblefold_wire::rate_limit::TokenBucket;
use pebblefold_wire::types::{JobId, Time, TimeSpan};
use pebblefold_wire::users::{ErrorResponse, JobStage, JobStatus, Submission, valid_id};
use pebblefold_wire::{decode, encode};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Retries a second that all calls of a client may make together, and at once.
const RETRIES: (f64, f64) = (5.0, 25.0);

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
    BadId(String),
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
    pub fn may_repeat(&self) -> bool {
        matches!(self, ClientError::Busy { .. })
    }
}

/// A client. Has to be used within a [`tokio::task::LocalSet`]; clones share
/// connections, the budget of retries and what was answered before.
#[derive(Clone, Debug)]
pub struct Client(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    net: Net,
    nodes: Vec<SocketAddrV4>,
    policy: Policy,
    started: Instant,
    retries: RefCell<TokenBucket>,
    seen: RefCell<Seen>,
    seed: Cell<u64>,
}

impl Client {
    /// A client of these nodes.
    pub fn new(nodes: Vec<SocketAddrV4>, policy: Policy) -> Client {
        Client(Rc::new(Shared {
            net: Net::default(),
            nodes,
            policy,
            started: Instant::now(),
            retries: RefCell::new(TokenBucket::new(RETRIES.0, RETRIES.1)),
            seen: RefCell::default(),
            seed: Cell::new(rand::random()),
        }))
    }

    /// Submits a job. Safe to repeat: the same id is the same job.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn submit(&self, job: &Submission) -> Result<JobStatus, ClientError> {
        let path = "/submissions".into();
        self.call(Kind::Submit, &job.id, "POST", path, encode(job))
            .await
    }

    /// A job's state.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn status(&self, id: &JobId) -> Result<JobStatus, ClientError> {
        let path = format!("/submissions/{id}");
        self.call(Kind::Poll, id, "GET", path, Vec::new()).await
    }

    /// Cancels a job. Safe to repeat; answers "done" if it was over already.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn cancel(&self, id: &JobId) -> Result<JobStatus, ClientError> {
        let path = format!("/submissions/{id}/cancel");
        self.call(Kind::Cancel, id, "POST", path, Vec::new()).await
    }

    /// Polls until a job is over; `tell` hears of each change. Nodes that cannot
    /// answer for a while are waited for.
    ///
    /// # Errors
    /// The job is not known.
    pub async fn wait(
        &self,
        id: &JobId,
        every: Duration,
        mut tell: impl FnMut(&JobStatus),
    ) -> Result<JobStatus, ClientError> {
        let mut last: Option<JobStage> = None;
        loop {
            let mut pause = every;
            match self.status(id).await {
                Ok(a) => {
                    if last != Some(a.stage) {
                        tell(&a);
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

    async fn call(
        &self,
        kind: Kind,
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
        if kind != Kind::Submit && !valid_id(id.as_str()) {
            return Err(ClientError::BadId(id.to_string()));
        }
        let seed = shared.seed.get().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        shared.seed.set(seed);
        let mut attempts =
            Attempts::new(kind, shared.nodes.len(), shared.policy, shared.now(), seed);
        let (tx, mut rx) = mpsc::unbounded_channel();
        // Tries end with the call: the set aborts them when it is dropped.
        let mut tries: JoinSet<()> = JoinSet::new();
        let mut last = "no answer".to_string();
        loop {
            let now = shared.now();
            let steps = attempts.next(now, &mut |now| shared.retries.borrow_mut().take(now, 1.0));
            for step in steps {
                match step {
                    Step::Send { node, attempt } => {
                        let (shared, tx) = (Rc::clone(shared), tx.clone());
                        let (path, body) = (path.clone(), body.clone());
                        tries.spawn_local(async move {
                            let got = shared.ask(node, method, &path, &body).await;
                            // The call may be over; nobody misses it.
                            let _ = tx.send((attempt, node, got));
                        });
                    }
                    Step::Wait(_) => {}
                    Step::GiveUp => {
                        let pause = attempts.earliest().since(now);
                        let pause = TimeSpan(pause.0.max(TimeSpan::millis(1000).0));
                        return Err(ClientError::Busy { last, pause });
                    }
                }
            }
            let wakes = match attempts.next(now, &mut |_| false).as_slice() {
                [Step::Wait(t)] => t.since(now),
                _ => TimeSpan::millis(1),
            };
            let wakes = Duration::from_micros(wakes.0.max(1000));
            let Ok(Some((attempt, node, got))) = timeout(wakes, rx.recv()).await else {
                continue;
            };
            let addr = shared.nodes[node];
            let after = match got {
                Err(e) => {
                    last = format!("{addr}: {e}");
                    None
                }
                Ok(r) => match Verdict::of(r.status, r.retry_after) {
                    Verdict::Final => match shared.read(id, &r) {
                        Some(answer) => return answer,
                        None => {
                            last = format!("{addr}: {}, older than what is known", r.status);
                            None
                        }
                    },
                    Verdict::Again { after } => {
                        last = format!("{addr}: {}", reason(&r));
                        after
                    }
                },
            };
            attempts.failed(shared.now(), attempt, after);
        }
    }
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

    async fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Response, String> {
        let sent = Sent::default();
        let asked = self
            .net
            .exchange(self.nodes[node], method, path, body, &sent);
        let limit = Duration::from_micros(self.policy.patience.0);
        match timeout(limit, asked).await {
            Ok(Ok(r)) => Ok(r),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("no answer in time".into()),
        }
    }

    /// The answer as it may be given; `None`: it is older than one that was.
    fn read(&self, id: &JobId, r: &Response) -> Option<Result<JobStatus, ClientError>> {
        let mut seen = self.seen.borrow_mut();
        match r.status {
            404 if seen.allows(id, None) => Some(Err(ClientError::NoSuchJob(id.clone()))),
            404 => None,
            400 | 422 => Some(Err(ClientError::Refused {
                status: r.status,
                reason: decode::<ErrorResponse>(&r.body).map_or("refused".into(), |x| x.error),
            })),
            _ => {
                let answer: JobStatus = decode(&r.body)?;
                if answer.id != *id || !seen.allows(id, Some(answer.stage)) {
                    return None;
                }
                seen.note(id, answer.stage);
                Some(Ok(answer))
            }
        }
    }
}
