//! Requests from one connection, and a plain server for many.

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

/// How long a connection may stay silent between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// How long a request may take to arrive once it has begun, and an answer to
/// be taken.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after accepting failed, for example for lack of sockets.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What comes next on a connection.
#[derive(Debug)]
pub enum Next {
    /// A request.
    Request(Request),
    /// The other side is gone, or took too long.
    Closed,
    /// Something that is not a request.
    Bad(HttpError),
}

/// Whether the other side has closed the connection since it sent its request,
/// so that nobody waits for the answer any more. A server that is behind saves
/// itself what nobody wants. It costs one system call; where it fails, somebody
/// is taken to wait.
pub fn sender_is_gone(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // The socket never blocks.
    matches!(SockRef::from(stream).peek(&mut byte), Ok(0))
}

/// Reads the next request; `data` holds what has arrived beyond it.
pub async fn next_request(stream: &mut TcpStream, data: &mut Vec<u8>) -> Next {
    loop {
        match http::read_request(data) {
            Ok(Some((request, used))) => {
                data.drain(..used);
                return Next::Request(request);
            }
            Ok(None) => {
                let patience = if data.is_empty() {
                    IDLE_TIMEOUT
                } else {
                    TRANSFER_TIMEOUT
                };
                match timeout(patience, stream.read_buf(data)).await {
                    Ok(Ok(n)) if n > 0 => {}
                    _ => return Next::Closed,
                }
            }
            Err(e) => return Next::Bad(e),
        }
    }
}

/// Accepts connections for ever and answers their requests with `handle`, each
/// connection on a local task of its own. `None` from `handle` drops the
/// connection without an answer.
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
            // A socket that refuses the option still serves.
            let _ = stream.set_nodelay(true);
            let mut data = Vec::new();
            loop {
                let response = match next_request(&mut stream, &mut data).await {
                    Next::Request(request) => {
                        let close = request.close;
                        let Some(mut response) = handle(request).await else {
                            return;
                        };
                        response.close |= close;
                        response
                    }
                    Next::Closed => return,
                    Next::Bad(e) => Response {
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
