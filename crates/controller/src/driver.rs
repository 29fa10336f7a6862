//! Sockets and timers around the core, on one thread.

use crate::core::failure_detector::detector::HEARTBEAT_PERIOD;
use crate::core::node::Node;
use crate::core::{
    Call, CallId, Input, LeaseKeepAlive, Listener, Now, Output, Reply, RequestId, Target,
};
use crate::http::{self, Request, Response};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{NodeId, Time, TimeSpan, WallTime};
use crate::wire::encode;
use pebblefold_net::{Client, Next, Sent, next_request, sender_is_gone};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
/// How long a beat may take; the next ones say more.
const BEAT_LIMIT: Duration = Duration::from_millis(600);
/// The piece of work that shows how fast the processor is, and its repetitions:
/// some tens of microseconds, every so often.
const EFFORT_STEPS: u64 = 8_000;
const EFFORT_TRIES: u32 = 3;
const EFFORT_EVERY: Duration = Duration::from_secs(1);
/// How long a process that was asked to end may take over it.
const ENDS_WITHIN: Duration = Duration::from_secs(6);
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
    keep: watch::Sender<Option<LeaseKeepAlive>>,
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
            wall: WallTime(wall),
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
                Output::LeaseKeepAlive(keep) => {
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

    async fn answer(
        self: &Rc<Self>,
        side: Listener,
        request: Request,
    ) -> Option<crate::core::Answer> {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tx);
        self.feed(Input::Request(id, side, request));
        let answer = timeout(ANSWER, rx).await;
        self.waiting.borrow_mut().remove(&id);
        answer.ok()?.ok()
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, side: Listener) {
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
            let of_user = side == Listener::Api && request.path != "/checkin";
            // Under pressure users' connections are closed after each answer,
            // so that workers always find a socket.
            let crowded = of_user && self.api_open.get() * 4 > self.most_api * 3;
            let close = request.close || crowded;
            let Some(answer) = self.answer(side, request).await else {
                return;
            };
            // A user that is refused here may fare better elsewhere: its next
            // connection goes to a node with fewer.
            let close = close || (of_user && answer.status == 503);
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

    async fn listen(self: Rc<Self>, listener: TcpListener, side: Listener) {
        let (open, most) = match side {
            Listener::Api => (&self.api_open, self.most_api),
            Listener::Internal => (&self.internal_open, self.most_internal),
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
                    Listener::Api => &shared.api_open,
                    Listener::Internal => &shared.internal_open,
                };
                open.set(open.get() - 1);
            });
        }
    }
}

/// What a fixed piece of work takes: more where the processor is slow. The least
/// of a few, as other work may come between.
fn effort() -> TimeSpan {
    let one = || {
        let begun = Instant::now();
        let mut x = std::hint::black_box(1u64);
        for n in 0..EFFORT_STEPS {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(n) ^ (x >> 29);
        }
        std::hint::black_box(x);
        begun.elapsed().as_nanos() as u64
    };
    let least = (0..EFFORT_TRIES).map(|_| one()).min().unwrap_or(0);
    TimeSpan(least.div_ceil(1000))
}

/// The core's time, from the process's beginning.
fn steady(started: Instant) -> Time {
    Time(started.elapsed().as_micros() as u64 + 1)
}

/// What the thread that keeps leases works with.
struct Keeper {
    node_id: NodeId,
    state: SocketAddrV4,
    peers: Vec<SocketAddrV4>,
    started: Instant,
    /// When the core last had time, in its microseconds.
    ticked: Arc<AtomicU64>,
}

impl Keeper {
    /// Keeps a lease alive on a thread of its own, so that a backlog of requests
    /// or a long cycle does not hold a renewal up, and tells the peers that the
    /// leader is there. Leases that are over are told.
    fn run(
        self,
        mut orders: watch::Receiver<Option<LeaseKeepAlive>>,
        over: mpsc::UnboundedSender<u64>,
    ) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let keeper = Rc::new(self);
        LocalSet::new().block_on(&runtime, async move {
            let client = Rc::new(Client::default());
            let mut renewed = steady(keeper.started);
            let mut lease = None;
            let beats = Rc::new(Cell::new(None));
            spawn_local(Rc::clone(&keeper).beat(Rc::clone(&client), Rc::clone(&beats)));
            loop {
                let order = *orders.borrow_and_update();
                let keep = order.filter(|k| steady(keeper.started) < k.until);
                let Some(keep) = keep else {
                    beats.set(None);
                    if orders.changed().await.is_err() {
                        return;
                    }
                    continue;
                };
                if lease.replace(keep.lease) != Some(keep.lease) {
                    renewed = steady(keeper.started);
                }
                beats.set(Some((keep, renewed)));
                let sent = steady(keeper.started);
                let limit = Duration::from_micros(keep.timeout().0);
                let (path, reached) = (keep.path(), Sent::default());
                let renewal = client.exchange(keeper.state, "POST", &path, &[], &reached);
                let status = match timeout(limit, renewal).await {
                    Ok(Ok(r)) => r.status,
                    _ => 0,
                };
                if status == 404 {
                    beats.set(None);
                    // The core may be gone only with the process.
                    let _ = over.send(keep.lease);
                    if orders.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                if status == 200 {
                    renewed = sent;
                    beats.set(Some((keep, renewed)));
                }
                sleep(Duration::from_micros(keep.pause(status == 200).0)).await;
            }
        });
        Ok(())
    }

    /// Tells every peer that the leader is there, each for itself: one that does
    /// not answer holds up nobody else's.
    async fn beat(
        self: Rc<Self>,
        client: Rc<Client>,
        of: Rc<Cell<Option<(LeaseKeepAlive, Time)>>>,
    ) {
        let busy: Vec<Rc<Cell<bool>>> = self.peers.iter().map(|_| Rc::default()).collect();
        loop {
            sleep(Duration::from_micros(HEARTBEAT_PERIOD.0)).await;
            let now = steady(self.started);
            let Some((keep, renewed)) = of.get().filter(|(k, _)| now < k.until) else {
                continue;
            };
            let ticked = Time(self.ticked.load(Ordering::Relaxed));
            let beat = keep.leader_heartbeat(&self.node_id, now.since(renewed), now.since(ticked));
            let body = encode(&beat);
            for (&peer, busy) in self.peers.iter().zip(&busy) {
                if busy.replace(true) {
                    continue;
                }
                let (client, busy, body) = (Rc::clone(&client), Rc::clone(busy), body.clone());
                spawn_local(async move {
                    let sent = Sent::default();
                    let told = client.exchange(peer, "POST", "/beat", &body, &sent);
                    // The next one says it again.
                    let _ = timeout(BEAT_LIMIT, told).await;
                    busy.set(false);
                });
            }
        }
    }
}

/// Whether the process was asked to end (SIGTERM, SIGINT). Where there are no
/// signals it never is.
fn asked_to_end() -> Arc<AtomicBool> {
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&asked)) {
            tracing::debug!(signal, error = %e, "not heard here");
        }
    }
    asked
}

/// Serves until the process is killed, or was asked to end and has handed over
/// what it held.
///
/// # Errors
/// A listener cannot be opened.
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
        tracing::info!(node = %settings.node_id, "starting");
        let (keep, orders) = watch::channel(None);
        let (tell, mut over) = mpsc::unbounded_channel();
        let ticked = Arc::new(AtomicU64::new(0));
        let (name, peers) = (settings.node_id.to_string(), settings.peers.iter());
        let peers: Vec<SocketAddrV4> = peers.map(|p| p.addr).collect();
        let seen = Arc::clone(&ticked);
        std::thread::Builder::new()
            .name("leases".into())
            .stack_size(KEEPER_STACK)
            .spawn(move || {
                let keeper = Keeper {
                    node_id: name.as_str().into(),
                    state,
                    peers,
                    started,
                    ticked: seen,
                };
                if let Err(e) = keeper.run(orders, tell) {
                    tracing::error!(error = %e, "leases cannot be kept");
                }
            })?;
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
        spawn_local(Rc::clone(&shared).listen(api, Listener::Api));
        spawn_local(Rc::clone(&shared).listen(internal, Listener::Internal));
        let mut tried: Option<Instant> = None;
        let asked = asked_to_end();
        let mut ends: Option<Instant> = None;
        loop {
            if ends.is_none() && asked.load(Ordering::Relaxed) {
                ends = Some(Instant::now());
                shared.feed(Input::Stop);
            }
            if ends.is_some_and(|t| shared.node.borrow().may_exit() || t.elapsed() > ENDS_WITHIN) {
                tracing::info!("ended as asked");
                return Ok(());
            }
            if tried.is_none_or(|t| t.elapsed() > EFFORT_EVERY) {
                tried = Some(Instant::now());
                shared.feed(Input::SpeedSample(effort()));
            }
            while let Ok(lease) = over.try_recv() {
                shared.feed(Input::LeaseExpired(lease));
            }
            ticked.store(shared.now().time.0, Ordering::Relaxed);
            shared.feed(Input::Tick);
            let tick = Instant::now();
            sleep(TICK).await;
            shared.behind.set(tick.elapsed() > BEHIND);
        }
    })
}
