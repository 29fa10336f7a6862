//! The service on sockets, on the caller's thread. While a batch is stored,
//! requests gather for the next: the slower the disk, the larger the groups.

use crate::service::{Answer, Asker, Outcome, Service, Ticket};
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

/// Longest time between looks at leases and watches.
const TICK: Duration = Duration::from_millis(20);

struct Shared<S> {
    service: RefCell<Service<S>>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Outcome>>>,
    gone: RefCell<BTreeSet<Ticket>>,
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
    ticket: Ticket,
}

impl<S> Drop for Waiting<'_, S> {
    fn drop(&mut self) {
        if self
            .shared
            .waiting
            .borrow_mut()
            .remove(&self.ticket)
            .is_some()
        {
            self.shared.gone.borrow_mut().insert(self.ticket);
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
    pub async fn ask(&self, asker: Asker, request: Request) -> Option<Answer> {
        let shared = &*self.0;
        let ticket = Ticket(shared.next.get());
        shared.next.set(ticket.0 + 1);
        let (tx, rx) = oneshot::channel();
        shared.waiting.borrow_mut().insert(ticket, tx);
        let _waiting = Waiting { shared, ticket };
        let now = shared.now();
        shared
            .service
            .borrow_mut()
            .handle(now, asker, ticket, &request);
        shared.work.notify_one();
        match rx.await {
            Ok(Outcome::Answer(a)) => Some(a),
            Ok(Outcome::Silence) | Err(_) => None,
        }
    }

    /// Serves a listener's connections for ever, all as one asker.
    pub async fn listen(self, listener: TcpListener, asker: Asker) {
        answer_connections(listener, move |request| {
            let server = self.clone();
            async move {
                let a = server.ask(asker, request).await?;
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
            if timeout(TICK, shared.work.notified()).await.is_ok() {
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
            for (ticket, outcome) in answers {
                if let Some(tx) = shared.waiting.borrow_mut().remove(&ticket) {
                    // The asker may be gone; nobody misses the answer.
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
