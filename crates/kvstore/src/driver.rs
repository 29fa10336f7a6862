//! Runs the service on sockets, on the caller's thread; no protocol logic of its own. While a batch is stored,
//! requests gather for the next: the slower the disk, the larger the groups.

use crate::service::{ClientId, Reply, RequestId, RequestOutcome, Service};
use crate::storage::Storage;
use pebblefold_net::answer_connections;
use pebblefold_wire::http::{Request, Response};
use pebblefold_wire::types::Time;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

/// Longest time between two ticks of the service: well below the 50 ms it may take.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

struct Shared<S> {
    service: RefCell<Service<S>>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<RequestOutcome>>>,
    gone: RefCell<BTreeSet<RequestId>>,
    next: Cell<u64>,
    started: Instant,
    work: Notify,
}

/// A service that runs. Clones are the same service.
pub struct Server<S>(Rc<Shared<S>>);

impl<S> Clone for Server<S> {
    fn clone(&self) -> Self {
        Server(Rc::clone(&self.0))
    }
}

/// Tells the service when nobody waits any more.
struct Waiting<'a, S> {
    shared: &'a Shared<S>,
    request_id: RequestId,
}

impl<S> Drop for Waiting<'_, S> {
    fn drop(&mut self) {
        if self
            .shared
            .waiting
            .borrow_mut()
            .remove(&self.request_id)
            .is_some()
        {
            self.shared.gone.borrow_mut().insert(self.request_id);
        }
    }
}

impl<S: Storage + 'static> Server<S> {
    /// Serves `open`'s service, which is given the time to begin with.
    ///
    /// # Errors
    /// Whatever `open` returns.
    pub fn new<E>(open: impl FnOnce(Time) -> Result<Service<S>, E>) -> Result<Server<S>, E> {
        Ok(Server(Rc::new(Shared {
            service: RefCell::new(open(Time(1))?),
            waiting: RefCell::default(),
            gone: RefCell::default(),
            next: Cell::new(1),
            started: Instant::now(),
            work: Notify::new(),
        })))
    }

    /// Looks at the service or tells it something.
    pub fn with<T>(&self, act: impl FnOnce(&mut Service<S>, Time) -> T) -> T {
        let now = self.0.now();
        let out = act(&mut self.0.service.borrow_mut(), now);
        self.0.work.notify_one();
        out
    }

    /// Handles a request; `None`: nobody can say what became of it. Dropping
    /// the future does not take a change back.
    pub async fn ask(&self, client: ClientId, request: Request) -> Option<Reply> {
        let shared = &*self.0;
        let request_id = RequestId(shared.next.get());
        shared.next.set(request_id.0 + 1);
        let (tx, rx) = oneshot::channel();
        shared.waiting.borrow_mut().insert(request_id, tx);
        let _waiting = Waiting { shared, request_id };
        let now = shared.now();
        shared
            .service
            .borrow_mut()
            .handle(now, client, request_id, &request);
        shared.work.notify_one();
        match rx.await {
            Ok(RequestOutcome::Reply(a)) => Some(a),
            Ok(RequestOutcome::Unanswered) | Err(_) => None,
        }
    }

    /// Serves a listener's connections for ever, all as one client.
    pub async fn listen(self, listener: TcpListener, client: ClientId) {
        answer_connections(listener, move |request| {
            let server = self.clone();
            async move {
                let a = server.ask(client, request).await?;
                Some(Response {
                    status: a.status,
                    retry_after: None,
                    body: a.body,
                    close: false,
                })
            }
        })
        .await;
    }

    /// Stores and answers for ever.
    pub async fn run(self) {
        let shared = self.0;
        loop {
            // Time for a batch to gather: whoever is ready hands in first.
            if timeout(TICK_INTERVAL, shared.work.notified()).await.is_ok() {
                sleep(Duration::ZERO).await;
                tokio::task::yield_now().await;
            }
            let now = shared.now();
            let answers = {
                let mut service = shared.service.borrow_mut();
                let gone = std::mem::take(&mut *shared.gone.borrow_mut());
                if !gone.is_empty() {
                    service.forget_watches(&gone);
                }
                service.tick(now);
                service.flush(now)
            };
            for (request_id, outcome) in answers {
                if let Some(tx) = shared.waiting.borrow_mut().remove(&request_id) {
                    // The client may be gone; nobody misses the reply.
                    let _ = tx.send(outcome);
                }
            }
        }
    }
}

impl<S> Shared<S> {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64 + 1)
    }
}
