//! Reads requests from one connection, and a simple server for many connections.

use pebblefold_wire::http::{self, HttpError, Request, Response};
use socket2::SockRef;
use std::future::Future;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time limit for each read of a request whose first bytes have arrived, and for writing a
/// response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failure to accept a connection, for example for lack of sockets.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What [`next_request`] read from a connection.
#[derive(Debug)]
pub enum NextRequest {
    /// A complete request.
    Request(Request),
    /// The sender closed the connection, reading failed, or a time limit was exceeded.
    Closed,
    /// The sender sent something other than a valid request.
    Invalid(HttpError),
}

/// Whether the sender has closed the connection since it sent its request, so that it no
/// longer waits for the response. An overloaded server can skip such a request. The check
/// costs one system call; if that call fails, the sender counts as waiting.
pub fn sender_has_closed(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // The socket is non-blocking, so `peek` returns immediately.
    matches!(SockRef::from(stream).peek(&mut byte), Ok(0))
}

/// Reads the next request. `data` holds the bytes that were received but not yet parsed; the
/// caller passes the same buffer in each call for a connection.
pub async fn next_request(stream: &mut TcpStream, data: &mut Vec<u8>) -> NextRequest {
    loop {
        match http::parse_request(data) {
            Ok(Some((request, consumed))) => {
                data.drain(..consumed);
                return NextRequest::Request(request);
            }
            Ok(None) => {
                let read_timeout = if data.is_empty() {
                    IDLE_TIMEOUT
                } else {
                    TRANSFER_TIMEOUT
                };
                match timeout(read_timeout, stream.read_buf(data)).await {
                    Ok(Ok(n)) if n > 0 => {}
                    _ => return NextRequest::Closed,
                }
            }
            Err(e) => return NextRequest::Invalid(e),
        }
    }
}

/// Accepts connections without end and answers their requests with `handle`; each connection
/// has a separate local task. If `handle` returns `None`, the connection is closed without a
/// response.
pub async fn answer_connections<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Option<Response>> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handle = Rc::clone(&handle);
        spawn_local(async move {
            // The connection works without the option as well.
            let _ = stream.set_nodelay(true);
            let mut data = Vec::new();
            loop {
                let response = match next_request(&mut stream, &mut data).await {
                    NextRequest::Request(request) => {
                        let close = request.close;
                        let Some(mut response) = handle(request).await else {
                            return;
                        };
                        response.close |= close;
                        response
                    }
                    NextRequest::Closed => return,
                    NextRequest::Invalid(e) => Response {
                        status: e.status(),
                        retry_after: None,
                        body: Vec::new(),
                        close: true,
                    },
                };
                let bytes = http::write_response(&response);
                match timeout(TRANSFER_TIMEOUT, stream.write_all(&bytes)).await {
                    Ok(Ok(())) if !response.close => {}
                    _ => return,
                }
            }
        });
    }
}

#[cfg(test)]
mod tests;
