//! The listeners accept connections up to a limit, and pass the requests of each
//! connection to the core one after the other.

use super::Driver;
use crate::core::node::routes;
use crate::core::{Answer, Input, Listener, RequestId};
use crate::http::{self, HttpError, Request, Response};
use pebblefold_net::{NextRequest, next_request, sender_has_closed};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long sending a response may take before the connection is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the core may take to answer a request before the connection is closed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before the next attempt to accept a connection, after a failure or while the
/// listener is full.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// An empty read buffer shrinks to this many bytes after each request.
const IDLE_BUFFER_BYTES: usize = 2048;

/// The number of open connections of one listener, and its maximum.
pub(super) struct Connections {
    open: Cell<u32>,
    max: u32,
}

impl Connections {
    pub(super) fn new(max: u32) -> Connections {
        Connections {
            open: Cell::new(0),
            max,
        }
    }

    fn is_full(&self) -> bool {
        self.open.get() >= self.max
    }

    /// Whether more than three quarters of `max` connections are open.
    fn is_crowded(&self) -> bool {
        self.open.get() * 4 > self.max * 3
    }
}

impl Driver {
    fn connections(&self, listener: Listener) -> &Connections {
        match listener {
            Listener::Api => &self.api_connections,
            Listener::Internal => &self.internal_connections,
        }
    }

    /// Accepts connections; never returns.
    pub(super) async fn listen(self: Rc<Self>, socket: TcpListener, listener: Listener) {
        loop {
            if self.connections(listener).is_full() {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            let Ok((stream, _)) = socket.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let open = &self.connections(listener).open;
            open.set(open.get() + 1);
            let driver = Rc::clone(&self);
            spawn_local(async move {
                Rc::clone(&driver).serve_connection(stream, listener).await;
                let open = &driver.connections(listener).open;
                open.set(open.get() - 1);
            });
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream, listener: Listener) {
        let mut buffer: Vec<u8> = Vec::new();
        loop {
            let request = match next_request(&mut stream, &mut buffer).await {
                NextRequest::Request(request) => request,
                NextRequest::Closed => return,
                NextRequest::Invalid(error) => return reject_malformed(&mut stream, error).await,
            };
            if self.is_overloaded.get() && sender_has_closed(&stream) {
                return;
            }
            let is_from_user =
                listener == Listener::Api && request.path != routes::path(routes::AGENT_HEARTBEAT);
            // While the listener is crowded, users' connections are closed after each
            // answer, so that agents can always connect.
            let is_crowded = is_from_user && self.api_connections.is_crowded();
            let close_requested = request.close || is_crowded;
            let Some(answer) = self.answer(listener, request).await else {
                return;
            };
            // Another controller may be able to serve a user that is refused here: the
            // user's next connection goes to a controller with fewer connections.
            let close = close_requested || (is_from_user && answer.status == 503);
            let response = http::write_response(&Response {
                status: answer.status,
                retry_after: answer.retry_after,
                body: answer.body,
                close,
            });
            match timeout(SEND_TIMEOUT, stream.write_all(&response)).await {
                Ok(Ok(())) if !close => {}
                _ => return,
            }
            if buffer.is_empty() {
                buffer.shrink_to(IDLE_BUFFER_BYTES);
            }
        }
    }

    /// The core's answer to a request; `None` if it takes longer than [`ANSWER_TIMEOUT`].
    async fn answer(self: &Rc<Self>, listener: Listener, request: Request) -> Option<Answer> {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_answers.borrow_mut().insert(id, sender);
        self.handle_input(Input::Request(id, listener, request));
        let answer = timeout(ANSWER_TIMEOUT, receiver).await;
        self.pending_answers.borrow_mut().remove(&id);
        answer.ok()?.ok()
    }
}

async fn reject_malformed(stream: &mut TcpStream, error: HttpError) {
    let refusal = Response {
        status: error.status(),
        retry_after: None,
        body: Vec::new(),
        close: true,
    };
    let _ = stream.write_all(&http::write_response(&refusal)).await;
}
