//! Runs the service on sockets, on the caller's thread; the protocol itself is implemented by
//! [`Service`]. While a batch is written, further requests queue up for the next batch, so that
//! a slower disk leads to larger batches.

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

/// Maximum time between two ticks of the service, well below the 50 ms that
/// [`Service::tick`] requires.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

struct Shared<S> {
    service: RefCell<Service<S>>,
    /// Senders of the outcomes of requests that are not answered yet.
    pending_requests: RefCell<HashMap<RequestId, oneshot::Sender<RequestOutcome>>>,
    /// Requests whose future was dropped since the last batch.
    cancelled_requests: RefCell<BTreeSet<RequestId>>,
    next_request_id: Cell<u64>,
    started_at: Instant,
    /// Wakes [`Server::run`] when the service may have a batch to write.
    work_available: Notify,
}

/// A running service. Clones refer to the same service.
pub struct Server<S>(Rc<Shared<S>>);

impl<S> Clone for Server<S> {
    fn clone(&self) -> Self {
        Server(Rc::clone(&self.0))
    }
}

/// Marks a request as cancelled when its future is dropped before the reply.
struct CancelOnDrop<'a, S> {
    shared: &'a Shared<S>,
    request_id: RequestId,
}

impl<S> Drop for CancelOnDrop<'_, S> {
    fn drop(&mut self) {
        if self
            .shared
            .pending_requests
            .borrow_mut()
            .remove(&self.request_id)
            .is_some()
        {
            self.shared
                .cancelled_requests
                .borrow_mut()
                .insert(self.request_id);
        }
    }
}

impl<S: Storage + 'static> Server<S> {
    /// Creates a server for the service that `open` returns. `open` receives the start of
    /// the server's clock, which is the time for [`Service::open`].
    ///
    /// # Errors
    /// The error that `open` returns.
    pub fn new<E>(open: impl FnOnce(Time) -> Result<Service<S>, E>) -> Result<Server<S>, E> {
        Ok(Server(Rc::new(Shared {
            service: RefCell::new(open(Time(1))?),
            pending_requests: RefCell::default(),
            cancelled_requests: RefCell::default(),
            next_request_id: Cell::new(1),
            started_at: Instant::now(),
            work_available: Notify::new(),
        })))
    }

    /// Calls `f` with the service and the current time, then wakes [`Server::run`].
    pub fn with_service<T>(&self, f: impl FnOnce(&mut Service<S>, Time) -> T) -> T {
        let now = self.0.now();
        let result = f(&mut self.0.service.borrow_mut(), now);
        self.0.work_available.notify_one();
        result
    }

    /// Handles a request and waits for its reply; `None`: it is unknown whether the
    /// request's changes were stored. Dropping the future closes a watch, but does not undo
    /// changes.
    pub async fn execute(&self, client: ClientId, request: Request) -> Option<Reply> {
        let shared = &*self.0;
        let request_id = RequestId(shared.next_request_id.get());
        shared.next_request_id.set(request_id.0 + 1);
        let (tx, rx) = oneshot::channel();
        shared.pending_requests.borrow_mut().insert(request_id, tx);
        let _cancel_on_drop = CancelOnDrop { shared, request_id };
        let now = shared.now();
        shared
            .service
            .borrow_mut()
            .handle(now, client, request_id, &request);
        shared.work_available.notify_one();
        match rx.await {
            Ok(RequestOutcome::Reply(reply)) => Some(reply),
            Ok(RequestOutcome::Unanswered) | Err(_) => None,
        }
    }

    /// Accepts connections without end and handles all their requests as those of
    /// `client`. [`Server::run`] has to run at the same time.
    pub async fn serve_connections(self, listener: TcpListener, client: ClientId) {
        answer_connections(listener, move |request| {
            let server = self.clone();
            async move {
                let reply = server.execute(client, request).await?;
                Some(Response {
                    status: reply.status,
                    retry_after: None,
                    body: reply.body,
                    close: false,
                })
            }
        })
        .await;
    }

    /// Writes batches and sends replies without end.
    pub async fn run(self) {
        let shared = self.0;
        loop {
            // Lets all tasks that are ready add their requests to the batch first.
            if timeout(TICK_INTERVAL, shared.work_available.notified())
                .await
                .is_ok()
            {
                sleep(Duration::ZERO).await;
                tokio::task::yield_now().await;
            }
            let now = shared.now();
            let outcomes = {
                let mut service = shared.service.borrow_mut();
                let cancelled = std::mem::take(&mut *shared.cancelled_requests.borrow_mut());
                if !cancelled.is_empty() {
                    service.cancel_watches(&cancelled);
                }
                service.tick(now);
                service.flush(now)
            };
            for (request_id, outcome) in outcomes {
                if let Some(tx) = shared.pending_requests.borrow_mut().remove(&request_id) {
                    // Sending fails if the client has disconnected; the reply is dropped.
                    let _ = tx.send(outcome);
                }
            }
        }
    }
}

impl<S> Shared<S> {
    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_micros() as u64 + 1)
    }
}
