//! Sockets and timers around the core, on one thread. The lease keeper alone runs on
//! a thread of its own.

mod calibration;
mod lease_keeper;
mod listener;
mod shutdown;

use crate::core::node::Node;
use crate::core::{
    Answer, Call, Input, LeaseKeepAlive, Listener, Now, Output, Reply, RequestId, Target,
};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::types::{Time, WallTime};
use lease_keeper::LeaseKeeper;
use listener::Connections;
use pebblefold_net::{Client, SentFlag};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// A tick that comes this late says that there is more to do than can be done.
const LATE_TICK: Duration = Duration::from_millis(500);
/// How long a process that was asked to shut down may take over it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// The core, and what drives it.
struct Driver {
    node: RefCell<Node>,
    /// Requests that wait for the core's answer.
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    next_request: Cell<u64>,
    client: Client,
    started: Instant,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    api_connections: Connections,
    internal_connections: Connections,
    /// Orders to the lease keeper.
    keep_alive: watch::Sender<Option<LeaseKeepAlive>>,
    /// Whether ticks come late: requests then wait long for their turn.
    is_behind: Cell<bool>,
}

/// The core's time, counted from the start of the process.
fn monotonic_time(started: Instant) -> Time {
    Time(started.elapsed().as_micros() as u64 + 1)
}

impl Driver {
    fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        Now {
            time: monotonic_time(self.started),
            wall: WallTime(wall),
        }
    }

    /// Passes an input to the core, and does what it returns.
    fn feed(self: &Rc<Self>, input: Input) {
        let outputs = self.node.borrow_mut().handle(self.now(), input);
        for output in outputs {
            match output {
                Output::Answer(id, answer) => {
                    if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
                        // The connection may be closed; nobody misses the answer.
                        let _ = sender.send(answer);
                    }
                }
                Output::LeaseKeepAlive(keep_alive) => {
                    self.keep_alive.send_replace(Some(keep_alive));
                }
                Output::Call(call) => self.execute(call),
            }
        }
    }

    fn execute(self: &Rc<Self>, call: Call) {
        let driver = Rc::clone(self);
        spawn_local(async move {
            let id = call.id;
            let reply = driver.call(call).await;
            driver.feed(Input::Reply(id, reply));
        });
    }

    async fn call(&self, call: Call) -> Reply {
        let addr = match call.target {
            Target::Store => self.state,
            Target::Cloud => self.cloud,
            Target::Host(addr) => addr,
        };
        let limit = Duration::from_micros(call.timeout.0);
        let sent = SentFlag::default();
        let exchange = self
            .client
            .exchange(addr, call.method, &call.path, &call.body, &sent);
        match timeout(limit, exchange).await {
            Ok(Ok(response)) => Reply::Answer(response.status, response.body),
            Ok(Err(_)) | Err(_) if !sent.may_have_arrived() => Reply::NotSent,
            _ => Reply::Lost,
        }
    }

    /// Ticks the core until it has shut down as asked.
    async fn run(self: Rc<Self>, mut expired: mpsc::UnboundedReceiver<u64>, last_tick: &AtomicU64) {
        let shutdown_requested = shutdown::shutdown_flag();
        let mut calibrated: Option<Instant> = None;
        let mut shutdown_since: Option<Instant> = None;
        loop {
            if shutdown_since.is_none() && shutdown_requested.load(Ordering::Relaxed) {
                shutdown_since = Some(Instant::now());
                self.feed(Input::Shutdown);
            }
            if shutdown_since.is_some_and(|since| self.has_shut_down(since)) {
                tracing::info!("shut down as requested");
                return;
            }
            if calibrated.is_none_or(|at| at.elapsed() > calibration::PERIOD) {
                calibrated = Some(Instant::now());
                self.feed(Input::Calibration(calibration::measure()));
            }
            while let Ok(lease) = expired.try_recv() {
                self.feed(Input::LeaseExpired(lease));
            }
            last_tick.store(self.now().time.0, Ordering::Relaxed);
            self.feed(Input::Tick);
            let tick = Instant::now();
            sleep(TICK).await;
            self.is_behind.set(tick.elapsed() > LATE_TICK);
        }
    }

    fn has_shut_down(&self, since: Instant) -> bool {
        self.node.borrow().may_exit() || since.elapsed() > SHUTDOWN_TIMEOUT
    }
}

/// Serves until the process is killed, or was asked to shut down and has transferred
/// leadership.
///
/// # Errors
/// A listener cannot be opened, or the lease keeper's thread not be started.
pub fn serve(settings: Settings, policy: Policy) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let api = TcpListener::bind(settings.api_addr).await?;
        let internal = TcpListener::bind(settings.internal_addr).await?;
        let seed: u64 = rand::random();
        tracing::info!(node = %settings.node_id, "starting");
        let started = Instant::now();
        let last_tick = Arc::new(AtomicU64::new(0));
        let (keep_alive, orders) = watch::channel(None);
        let (expired_sender, expired) = mpsc::unbounded_channel();
        let keeper = LeaseKeeper {
            node_id: settings.node_id.to_string(),
            state: settings.state,
            peers: settings.peers.iter().map(|peer| peer.addr).collect(),
            started,
            last_tick: Arc::clone(&last_tick),
        };
        keeper.spawn(orders, expired_sender)?;
        // Sockets are shared out: most for users and agents, a part for peers and
        // operators, the rest for our own calls.
        let max_api = settings.max_sockets * 7 / 10;
        let max_internal = (settings.max_sockets / 8).max(4);
        let driver = Rc::new(Driver {
            waiting: RefCell::default(),
            next_request: Cell::new(1),
            client: Client::default(),
            started,
            state: settings.state,
            cloud: settings.cloud,
            api_connections: Connections::new(max_api),
            internal_connections: Connections::new(max_internal),
            keep_alive,
            is_behind: Cell::new(false),
            node: RefCell::new(Node::new(settings, policy, seed)),
        });
        spawn_local(Rc::clone(&driver).listen(api, Listener::Api));
        spawn_local(Rc::clone(&driver).listen(internal, Listener::Internal));
        driver.run(expired, &last_tick).await;
        Ok(())
    })
}
