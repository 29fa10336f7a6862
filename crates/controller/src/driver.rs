//! Runs the core on sockets and timers, all on one thread. Only the lease keeper has a
//! separate thread.

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

/// Pause between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// If the pause between two ticks lasts longer than this, the process is overloaded.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// The process exits this long after a shutdown signal, even if the core has not finished
/// shutting down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// The core with its sockets, timers and open requests.
struct Driver {
    node: RefCell<Node>,
    /// For each request that the core has not answered yet, where to send the answer.
    pending_answers: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    /// The id of the next received request.
    next_request_id: Cell<u64>,
    client: Client,
    /// When the process started; the core's time counts from here.
    started: Instant,
    store_addr: SocketAddrV4,
    cloud_addr: SocketAddrV4,
    api_connections: Connections,
    internal_connections: Connections,
    /// Sends the lease keeper the lease to renew; `None` until the core first sets one.
    keep_alive: watch::Sender<Option<LeaseKeepAlive>>,
    /// Whether the last tick was later than [`MAX_TICK_INTERVAL`]. Requests then wait long before
    /// they are processed.
    is_overloaded: Cell<bool>,
}

/// The core's time: microseconds since the start of the process, plus 1, so that it is never 0.
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

    /// Passes an input to the core and carries out the outputs that the core returns.
    fn handle_input(self: &Rc<Self>, input: Input) {
        let outputs = self.node.borrow_mut().handle(self.now(), input);
        for output in outputs {
            match output {
                Output::Answer(id, answer) => {
                    if let Some(sender) = self.pending_answers.borrow_mut().remove(&id) {
                        // Sending fails only if the connection no longer waits for the answer.
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
            driver.handle_input(Input::Reply(id, reply));
        });
    }

    async fn call(&self, call: Call) -> Reply {
        let addr = match call.target {
            Target::Store => self.store_addr,
            Target::Cloud => self.cloud_addr,
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
            _ => Reply::OutcomeUnknown,
        }
    }

    /// Ticks the core until a shutdown signal arrives and the core may exit.
    async fn run(
        self: Rc<Self>,
        mut expired_leases: mpsc::UnboundedReceiver<u64>,
        last_tick: &AtomicU64,
    ) {
        let shutdown_requested = shutdown::shutdown_flag();
        let mut last_calibration: Option<Instant> = None;
        let mut shutdown_since: Option<Instant> = None;
        loop {
            if shutdown_since.is_none() && shutdown_requested.load(Ordering::Relaxed) {
                shutdown_since = Some(Instant::now());
                self.handle_input(Input::Shutdown);
            }
            if shutdown_since.is_some_and(|since| self.should_exit(since)) {
                tracing::info!("shut down as requested");
                return;
            }
            if last_calibration.is_none_or(|at| at.elapsed() > calibration::INTERVAL) {
                last_calibration = Some(Instant::now());
                self.handle_input(Input::Calibration(calibration::measure()));
            }
            while let Ok(lease) = expired_leases.try_recv() {
                self.handle_input(Input::LeaseExpired(lease));
            }
            last_tick.store(self.now().time.0, Ordering::Relaxed);
            self.handle_input(Input::Tick);
            let tick = Instant::now();
            sleep(TICK_INTERVAL).await;
            self.is_overloaded.set(tick.elapsed() > MAX_TICK_INTERVAL);
        }
    }

    fn should_exit(&self, since: Instant) -> bool {
        self.node.borrow().may_exit() || since.elapsed() > SHUTDOWN_TIMEOUT
    }
}

/// Runs a controller until a shutdown signal arrives. The controller then transfers
/// leadership and drains; this takes at most 6 seconds.
///
/// # Errors
/// A listener cannot be opened, or the async runtime or the lease keeper's thread cannot be
/// started.
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
        let (keep_alive, lease_updates) = watch::channel(None);
        let (expired_lease_sender, expired_leases) = mpsc::unbounded_channel();
        let keeper = LeaseKeeper {
            node_id: settings.node_id.to_string(),
            store_addr: settings.state,
            peer_addrs: settings.peers.iter().map(|peer| peer.addr).collect(),
            started,
            last_tick: Arc::clone(&last_tick),
        };
        keeper.spawn(lease_updates, expired_lease_sender)?;
        // Of the allowed sockets 70 % are for users and agents, an eighth, at least four,
        // for peers and operators, and the rest for this controller's outgoing calls.
        let max_api = settings.max_sockets * 7 / 10;
        let max_internal = (settings.max_sockets / 8).max(4);
        let driver = Rc::new(Driver {
            pending_answers: RefCell::default(),
            next_request_id: Cell::new(1),
            client: Client::default(),
            started,
            store_addr: settings.state,
            cloud_addr: settings.cloud,
            api_connections: Connections::new(max_api),
            internal_connections: Connections::new(max_internal),
            keep_alive,
            is_overloaded: Cell::new(false),
            node: RefCell::new(Node::new(settings, policy, seed)),
        });
        spawn_local(Rc::clone(&driver).listen(api, Listener::Api));
        spawn_local(Rc::clone(&driver).listen(internal, Listener::Internal));
        driver.run(expired_leases, &last_tick).await;
        Ok(())
    })
}
