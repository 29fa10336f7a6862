//! An HTTP client that reuses connections.

use pebblefold_wire::http::{self, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle connections that a client keeps per target by default.
const MAX_IDLE_PER_TARGET: usize = 8;
/// Targets for which a client keeps idle connections.
const MAX_TARGETS: usize = 32;

/// Whether a request may have reached the server. As long as it is not set, the request
/// certainly has not.
#[derive(Debug, Default)]
pub struct SentFlag(Cell<bool>);

impl SentFlag {
    /// Whether the request may have reached the server.
    pub fn may_have_arrived(&self) -> bool {
        self.0.get()
    }
}

/// An HTTP client. Concurrent requests to one target use separate connections; requests are
/// not pipelined.
#[derive(Debug)]
pub struct Client {
    /// Idle connections by target.
    idle: RefCell<HashMap<SocketAddrV4, Vec<TcpStream>>>,
    /// Idle connections kept per target.
    max_idle: usize,
}

impl Default for Client {
    fn default() -> Self {
        Client::with_idle_limit(MAX_IDLE_PER_TARGET)
    }
}

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections per target. A client
    /// that makes many concurrent requests to one target on behalf of others needs a limit of
    /// that size, or it runs out of local ports.
    pub fn with_idle_limit(max_idle: usize) -> Client {
        let idle = RefCell::default();
        Client { idle, max_idle }
    }

    /// Sends a request and receives its response. Apart from connecting, there is no time
    /// limit. Dropping the future cancels the request; the server may execute it all the same
    /// if `sent` is set.
    ///
    /// # Errors
    /// Connecting, writing or reading failed, or the response is malformed or too large.
    pub async fn exchange(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        sent: &SentFlag,
    ) -> Result<Response> {
        let request = http::write_request(method, &addr.to_string(), path, body);
        if let Some(stream) = self.take_idle(addr) {
            sent.0.set(true);
            match self.exchange_on(stream, addr, &request).await {
                Ok(response) => return Ok(response),
                // The server may have closed the idle connection in the meantime. Only a
                // read may be sent a second time.
                Err(e) if method != "GET" => return Err(e),
                Err(_) => sent.0.set(false),
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        sent.0.set(true);
        self.exchange_on(stream, addr, &request).await
    }

    /// Removes and returns an idle connection to a target. A target without further idle
    /// connections is removed from the map, so that agents that are gone take up no memory.
    fn take_idle(&self, addr: SocketAddrV4) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&addr)?;
        let stream = streams.pop();
        if streams.is_empty() {
            idle.remove(&addr);
        }
        stream
    }

    /// Sends a request on a connection and receives its response. The connection becomes
    /// idle if the response permits it and no further bytes have arrived.
    async fn exchange_on(
        &self,
        mut stream: TcpStream,
        addr: SocketAddrV4,
        request: &[u8],
    ) -> Result<Response> {
        stream.write_all(request).await?;
        let mut received = Vec::with_capacity(1024);
        loop {
            let n = stream.read_buf(&mut received).await?;
            let parsed = http::parse_response(&received, n == 0)
                .map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
            if let Some((response, consumed)) = parsed {
                if !response.close && n > 0 && consumed == received.len() {
                    let mut idle = self.idle.borrow_mut();
                    if idle.len() < MAX_TARGETS || idle.contains_key(&addr) {
                        let streams = idle.entry(addr).or_default();
                        if streams.len() < self.max_idle {
                            streams.push(stream);
                        }
                    }
                }
                return Ok(response);
            }
            if n == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
