//! The lease keeper: a thread of its own that renews the leader's lease and sends
//! the leader's heartbeats, so that a backlog of requests or a long scheduling cycle
//! holds up neither. Never decides whether to lead.

use super::monotonic_time;
use crate::core::LeaseKeepAlive;
use crate::core::failure_detector::detector::HEARTBEAT_PERIOD;
use crate::core::node::routes;
use crate::types::{NodeId, Time};
use crate::wire::encode;
use pebblefold_net::{Client, SentFlag};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How long a heartbeat may take; the next ones say more.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Stack of the thread.
const STACK_BYTES: usize = 256 * 1024;

/// What the thread works with.
pub(super) struct LeaseKeeper {
    /// This controller's id; text, as a `NodeId` stays on its thread.
    pub(super) node_id: String,
    pub(super) state: SocketAddrV4,
    pub(super) peers: Vec<SocketAddrV4>,
    pub(super) started: Instant,
    /// When the core last ticked, in its microseconds.
    pub(super) last_tick: Arc<AtomicU64>,
}

/// The lease that is kept alive, and when it was last renewed.
#[derive(Clone, Copy)]
struct RenewedLease {
    keep_alive: LeaseKeepAlive,
    renewed: Time,
}

/// The lease that heartbeats are sent for, if any.
type HeartbeatLease = Rc<Cell<Option<RenewedLease>>>;

impl LeaseKeeper {
    /// Starts the thread. It follows the newest order; leases that have expired are
    /// sent to `expired`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(super) fn spawn(
        self,
        orders: watch::Receiver<Option<LeaseKeepAlive>>,
        expired: mpsc::UnboundedSender<u64>,
    ) -> std::io::Result<()> {
        std::thread::Builder::new()
            .name("leases".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                if let Err(e) = self.run(orders, expired) {
                    tracing::error!(error = %e, "lease keeper failed to start");
                }
            })?;
        Ok(())
    }

    fn run(
        self,
        orders: watch::Receiver<Option<LeaseKeepAlive>>,
        expired: mpsc::UnboundedSender<u64>,
    ) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let keeper = Rc::new(self);
        LocalSet::new().block_on(&runtime, async move {
            let client = Rc::new(Client::default());
            let current = HeartbeatLease::default();
            let heartbeats = Rc::clone(&keeper);
            spawn_local(heartbeats.send_heartbeats(Rc::clone(&client), Rc::clone(&current)));
            keeper
                .renew_leases(&client, &current, orders, expired)
                .await;
        });
        Ok(())
    }

    /// Renews the ordered lease until the core is gone.
    async fn renew_leases(
        &self,
        client: &Client,
        current: &Cell<Option<RenewedLease>>,
        mut orders: watch::Receiver<Option<LeaseKeepAlive>>,
        expired: mpsc::UnboundedSender<u64>,
    ) {
        let mut renewed = self.now();
        let mut lease = None;
        loop {
            let order = *orders.borrow_and_update();
            let Some(keep_alive) = order.filter(|k| self.now() < k.until) else {
                current.set(None);
                if orders.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if lease.replace(keep_alive.lease) != Some(keep_alive.lease) {
                renewed = self.now();
            }
            current.set(Some(RenewedLease {
                keep_alive,
                renewed,
            }));
            let sent = self.now();
            let status = self.renew(client, &keep_alive).await;
            if status == 404 {
                current.set(None);
                // The core may be gone only with the process.
                let _ = expired.send(keep_alive.lease);
                if orders.changed().await.is_err() {
                    return;
                }
                continue;
            }
            if status == 200 {
                renewed = sent;
                current.set(Some(RenewedLease {
                    keep_alive,
                    renewed,
                }));
            }
            let pause = keep_alive.pause(status == 200);
            sleep(Duration::from_micros(pause.0)).await;
        }
    }

    /// Renews a lease once; the status of the answer, 0 if there is none.
    async fn renew(&self, client: &Client, keep_alive: &LeaseKeepAlive) -> u16 {
        let limit = Duration::from_micros(keep_alive.timeout().0);
        let (path, sent) = (keep_alive.path(), SentFlag::default());
        let renewal = client.exchange(self.state, "POST", &path, &[], &sent);
        match timeout(limit, renewal).await {
            Ok(Ok(response)) => response.status,
            _ => 0,
        }
    }

    /// Sends heartbeats to every peer while there is a lease, to each for itself: one
    /// that does not answer holds up no other.
    async fn send_heartbeats(self: Rc<Self>, client: Rc<Client>, current: HeartbeatLease) {
        let node_id = NodeId::from(self.node_id.as_str());
        let busy: Vec<Rc<Cell<bool>>> = self.peers.iter().map(|_| Rc::default()).collect();
        loop {
            sleep(Duration::from_micros(HEARTBEAT_PERIOD.0)).await;
            let now = self.now();
            let Some(lease) = current.get().filter(|l| now < l.keep_alive.until) else {
                continue;
            };
            let last_tick = Time(self.last_tick.load(Ordering::Relaxed));
            let heartbeat = lease.keep_alive.leader_heartbeat(
                &node_id,
                now.since(lease.renewed),
                now.since(last_tick),
            );
            let body = encode(&heartbeat);
            for (&peer, busy) in self.peers.iter().zip(&busy) {
                if !busy.replace(true) {
                    let (client, busy) = (Rc::clone(&client), Rc::clone(busy));
                    spawn_local(send_heartbeat(client, peer, body.clone(), busy));
                }
            }
        }
    }

    fn now(&self) -> Time {
        monotonic_time(self.started)
    }
}

async fn send_heartbeat(
    client: Rc<Client>,
    peer: SocketAddrV4,
    body: Vec<u8>,
    busy: Rc<Cell<bool>>,
) {
    let sent = SentFlag::default();
    let path = routes::path(routes::LEADER_HEARTBEAT);
    let exchange = client.exchange(peer, "POST", &path, &body, &sent);
    // If it fails, the next one says the same.
    let _ = timeout(HEARTBEAT_TIMEOUT, exchange).await;
    busy.set(false);
}
