//! Requests over kept connections.

use pebblefold_wire::http::{self, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle connections kept per target.
const MAX_IDLE_PER_TARGET: usize = 8;
/// Targets for which idle connections are kept.
const MAX_TARGETS: usize = 32;

/// Whether a request may have reached the other side: until this is set it
/// certainly has not.
#[derive(Debug, Default)]
pub struct Sent(Cell<bool>);

impl Sent {
    /// Whether it may have.
    pub fn get(&self) -> bool {
        self.0.get()
    }
}

/// A client. Requests to one target run side by side, each on a connection of
/// its own while it lasts; nothing is pipelined.
#[derive(Debug)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddrV4, Vec<TcpStream>>>,
    max_idle: usize,
}

impl Default for Client {
    fn default() -> Self {
        Client::with_idle_limit(MAX_IDLE_PER_TARGET)
    }
}

impl Client {
    /// A client that keeps so many idle connections to a target. One that asks
    /// a target for many others keeps as many, or it runs out of local ports.
    pub fn with_idle_limit(max_idle: usize) -> Client {
        let idle = RefCell::default();
        Client { idle, max_idle }
    }

    /// Sends a request and reads its response. Dropping the future gives the
    /// request up; it may be executed all the same once `sent` is set.
    ///
    /// # Errors
    /// Connecting, writing or reading failed, or the response cannot be read.
    pub async fn exchange(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        sent: &Sent,
    ) -> Result<Response> {
        let request = http::write_request(method, &addr.to_string(), path, body);
        if let Some(stream) = self.take_idle(addr) {
            sent.0.set(true);
            match self.exchange_on(stream, addr, &request).await {
                Ok(r) => return Ok(r),
                // A kept connection may have been closed by the other side in
                // the meantime. Only a read may be sent a second time.
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

    /// An idle connection to a target. Targets without any are forgotten, so
    /// that workers that are gone leave nothing behind.
    fn take_idle(&self, addr: SocketAddrV4) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&addr)?;
        let stream = streams.pop();
        if streams.is_empty() {
            idle.remove(&addr);
        }
        stream
    }

    async fn exchange_on(
        &self,
        mut stream: TcpStream,
        addr: SocketAddrV4,
        request: &[u8],
    ) -> Result<Response> {
        stream.write_all(request).await?;
        let mut data = Vec::with_capacity(1024);
        loop {
            let n = stream.read_buf(&mut data).await?;
            let parsed = http::read_response(&data, n == 0)
                .map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
            if let Some((r, used)) = parsed {
                if !r.close && n > 0 && used == data.len() {
                    let mut idle = self.idle.borrow_mut();
                    if idle.len() < MAX_TARGETS || idle.contains_key(&addr) {
                        let streams = idle.entry(addr).or_default();
                        if streams.len() < self.max_idle {
                            streams.push(stream);
                        }
                    }
                }
                return Ok(r);
            }
            if n == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
