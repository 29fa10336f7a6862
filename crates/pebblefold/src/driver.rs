//! Sockets and timers around the core, on one thread.

use crate::core::node::Node;
use crate::core::{Call, CallId, Input, Now, Output, Reply, RequestId, Side, Target};
use crate::http::{self, Request, Response};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{Time, Wall};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How long a connection may stay silent between requests.
const IDLE: Duration = Duration::from_secs(75);
/// How long a request may take to arrive once it has begun.
const ARRIVAL: Duration = Duration::from_secs(10);
/// How long the core may take over an answer before the connection is dropped.
const ANSWER: Duration = Duration::from_secs(8);
/// How long connecting may take.
const CONNECT: Duration = Duration::from_millis(1500);
/// Idle connections kept per target.
const KEPT: usize = 8;
/// Targets for which idle connections are kept.
const TARGETS: usize = 32;
/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(50);

struct Shared {
    node: RefCell<Node>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<crate::core::Answer>>>,
    next_request: Cell<u64>,
    idle: RefCell<HashMap<SocketAddrV4, Vec<TcpStream>>>,
    started: Instant,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    api_open: Cell<u32>,
    internal_open: Cell<u32>,
    most_api: u32,
    most_internal: u32,
}

impl Shared {
    fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        Now {
            time: Time(self.started.elapsed().as_micros() as u64 + 1),
            wall: Wall(wall),
        }
    }

    fn feed(self: &Rc<Self>, input: Input) {
        let outputs = self.node.borrow_mut().handle(self.now(), input);
        for output in outputs {
            match output {
                Output::Answer(id, answer) => {
                    if let Some(tx) = self.waiting.borrow_mut().remove(&id) {
                        // The asker may have gone; nobody misses the answer.
                        let _ = tx.send(answer);
                    }
                }
                Output::Call(call) => {
                    let shared = Rc::clone(self);
                    spawn_local(async move {
                        let id: CallId = call.id;
                        let reply = shared.call(call).await;
                        shared.feed(Input::Reply(id, reply));
                    });
                }
            }
        }
    }

    async fn call(&self, call: Call) -> Reply {
        let addr = match call.target {
            Target::State => self.state,
            Target::Cloud => self.cloud,
            Target::Host(a) => a,
        };
        let limit = Duration::from_micros(call.timeout.0);
        let sent = Cell::new(false);
        match timeout(limit, self.exchange(addr, &call, &sent)).await {
            Ok(Ok(r)) => Reply::Answer(r.status, r.body),
            Ok(Err(_)) | Err(_) if !sent.get() => Reply::NotSent,
            _ => Reply::Lost,
        }
    }

    /// An idle connection to a target. Targets without any are forgotten, so
    /// that workers that are gone leave nothing behind.
    fn pooled(&self, addr: SocketAddrV4) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&addr)?;
        let stream = kept.pop();
        if kept.is_empty() {
            idle.remove(&addr);
        }
        stream
    }

    async fn exchange(
        &self,
        addr: SocketAddrV4,
        call: &Call,
        sent: &Cell<bool>,
    ) -> std::io::Result<Response> {
        let request = http::write_request(call.method, &addr.to_string(), &call.path, &call.body);
        let pooled = self.pooled(addr);
        if let Some(stream) = pooled {
            sent.set(true);
            match self.exchange_on(stream, addr, &request).await {
                Ok(r) => return Ok(r),
                // A kept connection may have been closed by the other side in
                // the meantime. Only a read may be sent a second time.
                Err(e) if call.method != "GET" => return Err(e),
                Err(_) => sent.set(false),
            }
        }
        let stream = timeout(CONNECT, TcpStream::connect(addr))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        sent.set(true);
        self.exchange_on(stream, addr, &request).await
    }

    async fn exchange_on(
        &self,
        mut stream: TcpStream,
        addr: SocketAddrV4,
        request: &[u8],
    ) -> std::io::Result<Response> {
        stream.write_all(request).await?;
        let mut data = Vec::with_capacity(1024);
        loop {
            let n = stream.read_buf(&mut data).await?;
            let parsed = http::read_response(&data, n == 0)
                .map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidData, e))?;
            if let Some((r, used)) = parsed {
                if !r.close && n > 0 && used == data.len() {
                    let mut idle = self.idle.borrow_mut();
                    if idle.len() < TARGETS || idle.contains_key(&addr) {
                        let kept = idle.entry(addr).or_default();
                        if kept.len() < KEPT {
                            kept.push(stream);
                        }
                    }
                }
                return Ok(r);
            }
            if n == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn answer(self: &Rc<Self>, side: Side, request: Request) -> Option<crate::core::Answer> {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tx);
        self.feed(Input::Request(id, side, request));
        let answer = timeout(ANSWER, rx).await;
        self.waiting.borrow_mut().remove(&id);
        answer.ok()?.ok()
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, side: Side) {
        let mut data: Vec<u8> = Vec::new();
        loop {
            let request = match http::read_request(&data) {
                Ok(Some((request, used))) => {
                    data.drain(..used);
                    request
                }
                Ok(None) => {
                    let patience = if data.is_empty() { IDLE } else { ARRIVAL };
                    match timeout(patience, stream.read_buf(&mut data)).await {
                        Ok(Ok(n)) if n > 0 => continue,
                        _ => return,
                    }
                }
                Err(e) => {
                    let refusal = Response {
                        status: e.status(),
                        retry_after: None,
                        body: Vec::new(),
                        close: true,
                    };
                    let _ = stream.write_all(&http::write_response(&refusal)).await;
                    return;
                }
            };
            // Under pressure users' connections are closed after each answer,
            // so that workers always find a socket.
            let crowded = side == Side::Api
                && self.api_open.get() * 4 > self.most_api * 3
                && request.path != "/checkin";
            let close = request.close || crowded;
            let Some(answer) = self.answer(side, request).await else {
                return;
            };
            let response = http::write_response(&Response {
                status: answer.status,
                retry_after: answer.retry_after,
                body: answer.body,
                close,
            });
            match timeout(ARRIVAL, stream.write_all(&response)).await {
                Ok(Ok(())) if !close => {}
                _ => return,
            }
            if data.is_empty() {
                data.shrink_to(2048);
            }
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, side: Side) {
        let (open, most) = match side {
            Side::Api => (&self.api_open, self.most_api),
            Side::Internal => (&self.internal_open, self.most_internal),
        };
        loop {
            if open.get() >= most {
                sleep(Duration::from_millis(20)).await;
                continue;
            }
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            open.set(open.get() + 1);
            let shared = Rc::clone(&self);
            spawn_local(async move {
                Rc::clone(&shared).serve(stream, side).await;
                let open = match side {
                    Side::Api => &shared.api_open,
                    Side::Internal => &shared.internal_open,
                };
                open.set(open.get() - 1);
            });
        }
    }
}

/// Serves until the process is killed. Returns only if a listener cannot be
/// opened.
pub fn serve(settings: Settings, policy: Policy) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let api = TcpListener::bind(settings.api_addr).await?;
        let internal = TcpListener::bind(settings.internal_addr).await?;
        // Sockets are shared out: most for users and workers, a part for
        // peers and operators, the rest for our own calls.
        let most_api = settings.max_sockets * 7 / 10;
        let most_internal = (settings.max_sockets / 8).max(4);
        let (state, cloud) = (settings.state, settings.cloud);
        let started = Instant::now();
        let seed: u64 = rand::random();
        tracing::info!(node = %settings.label, "starting");
        let shared = Rc::new(Shared {
            node: RefCell::new(Node::new(settings, policy, seed)),
            waiting: RefCell::default(),
            next_request: Cell::new(1),
            idle: RefCell::default(),
            started,
            state,
            cloud,
            api_open: Cell::new(0),
            internal_open: Cell::new(0),
            most_api,
            most_internal,
        });
        spawn_local(Rc::clone(&shared).listen(api, Side::Api));
        spawn_local(Rc::clone(&shared).listen(internal, Side::Internal));
        loop {
            shared.feed(Input::Tick);
            sleep(TICK).await;
        }
    })
}
