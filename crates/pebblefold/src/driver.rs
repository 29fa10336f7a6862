//! Sockets and timers around the core, on one thread.

use crate::core::node::Node;
use crate::core::{Call, CallId, Input, Keep, Now, Output, Reply, RequestId, Side, Target};
use crate::http::{self, Request, Response};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{Time, Wall};
use pebblefold_net::{Client, Next, Sent, next_request, sender_is_gone};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How long an answer may take to be taken.
const ARRIVAL: Duration = Duration::from_secs(10);
/// How long the core may take over an answer before the connection is dropped.
const ANSWER: Duration = Duration::from_secs(8);
/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(50);

/// A tick that comes so late says that there is more to do than can be done.
const BEHIND: Duration = Duration::from_millis(500);
/// Stack of the thread that keeps leases.
const KEEPER_STACK: usize = 256 * 1024;

struct Shared {
    node: RefCell<Node>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<crate::core::Answer>>>,
    next_request: Cell<u64>,
    client: Client,
    started: Instant,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    api_open: Cell<u32>,
    internal_open: Cell<u32>,
    most_api: u32,
    most_internal: u32,
    keep: watch::Sender<Option<Keep>>,
    /// Whether ticks come late: requests then wait long for their turn.
    behind: Cell<bool>,
}

impl Shared {
    fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        Now {
            time: steady(self.started),
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
                Output::Keep(keep) => {
                    self.keep.send_replace(Some(keep));
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
        let sent = Sent::default();
        let exchange = self
            .client
            .exchange(addr, call.method, &call.path, &call.body, &sent);
        match timeout(limit, exchange).await {
            Ok(Ok(r)) => Reply::Answer(r.status, r.body),
            Ok(Err(_)) | Err(_) if !sent.get() => Reply::NotSent,
            _ => Reply::Lost,
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
            let request = match next_request(&mut stream, &mut data).await {
                Next::Request(request) => request,
                Next::Closed => return,
                Next::Bad(e) => {
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
            if self.behind.get() && sender_is_gone(&stream) {
                return;
            }
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

/// The core's time, from the process's beginning.
fn steady(started: Instant) -> Time {
    Time(started.elapsed().as_micros() as u64 + 1)
}

/// Keeps a lease alive on a thread of its own, so that a backlog of requests or
/// a long cycle does not hold a renewal up. Leases that are over are told.
fn keep_leases(
    state: SocketAddrV4,
    started: Instant,
    mut orders: watch::Receiver<Option<Keep>>,
    over: mpsc::UnboundedSender<u64>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async move {
        let client = Client::default();
        loop {
            let order = *orders.borrow_and_update();
            let Some(keep) = order.filter(|k| steady(started) < k.until) else {
                if orders.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let limit = Duration::from_micros(keep.timeout().0);
            let (path, sent) = (keep.path(), Sent::default());
            let renewal = client.exchange(state, "POST", &path, &[], &sent);
            let status = match timeout(limit, renewal).await {
                Ok(Ok(r)) => r.status,
                _ => 0,
            };
            if status == 404 {
                // The core may be gone only with the process.
                let _ = over.send(keep.lease);
                if orders.changed().await.is_err() {
                    return;
                }
                continue;
            }
            sleep(Duration::from_micros(keep.pause(status == 200).0)).await;
        }
    });
    Ok(())
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
        let (keep, orders) = watch::channel(None);
        let (tell, mut over) = mpsc::unbounded_channel();
        std::thread::Builder::new()
            .name("leases".into())
            .stack_size(KEEPER_STACK)
            .spawn(move || keep_leases(state, started, orders, tell))?;
        let shared = Rc::new(Shared {
            node: RefCell::new(Node::new(settings, policy, seed)),
            waiting: RefCell::default(),
            next_request: Cell::new(1),
            client: Client::default(),
            started,
            state,
            cloud,
            api_open: Cell::new(0),
            internal_open: Cell::new(0),
            most_api,
            most_internal,
            keep,
            behind: Cell::new(false),
        });
        spawn_local(Rc::clone(&shared).listen(api, Side::Api));
        spawn_local(Rc::clone(&shared).listen(internal, Side::Internal));
        loop {
            while let Ok(lease) = over.try_recv() {
                shared.feed(Input::Over(lease));
            }
            shared.feed(Input::Tick);
            let ticked = Instant::now();
            sleep(TICK).await;
            shared.behind.set(ticked.elapsed() > BEHIND);
        }
    })
}
