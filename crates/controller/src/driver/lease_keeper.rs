//! The lease keeper: a separate thread that renews the leader's lease and sends the
//! leader's heartbeats, so that a backlog of requests or a long scheduling cycle delays
//! neither. The lease keeper never decides whether this controller leads.

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

/// How long a heartbeat may take. A lost one does no harm: the next ones carry newer data.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Stack size of the thread.
const STACK_BYTES: usize = 256 * 1024;

/// The lease keeper, before its thread is started.
pub(super) struct LeaseKeeper {
    /// This controller's id; a `String`, as a `NodeId` cannot be sent to another thread.
    pub(super) node_id: String,
    /// The key-value store's address.
    pub(super) store_addr: SocketAddrV4,
    /// The addresses of the other controllers' internal listeners.
    pub(super) peer_addrs: Vec<SocketAddrV4>,
    /// When the process started; the core's time counts from here.
    pub(super) started: Instant,
    /// The core's time of its last tick, in microseconds.
    pub(super) last_tick: Arc<AtomicU64>,
}

/// A lease that is being renewed. `renewed`: when the last successful renewal was sent, or
/// when this thread received the lease.
#[derive(Clone, Copy)]
struct RenewedLease {
    keep_alive: LeaseKeepAlive,
    renewed: Time,
}

/// The lease for which heartbeats are sent; `None` while there is none.
type HeartbeatLease = Rc<Cell<Option<RenewedLease>>>;

impl LeaseKeeper {
    /// Starts the thread. The thread renews the newest lease in `lease_updates`, and sends
    /// the ids of expired leases to `expired_leases`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(super) fn spawn(
        self,
        lease_updates: watch::Receiver<Option<LeaseKeepAlive>>,
        expired_leases: mpsc::UnboundedSender<u64>,
    ) -> std::io::Result<()> {
        std::thread::Builder::new()
            .name("leases".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                if let Err(e) = self.run(lease_updates, expired_leases) {
                    tracing::error!(error = %e, "lease keeper failed to start");
                }
            })?;
        Ok(())
    }

    fn run(
        self,
        lease_updates: watch::Receiver<Option<LeaseKeepAlive>>,
        expired_leases: mpsc::UnboundedSender<u64>,
    ) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let keeper = Rc::new(self);
        LocalSet::new().block_on(&runtime, async move {
            let client = Rc::new(Client::default());
            let heartbeat_lease = HeartbeatLease::default();
            let heartbeats = Rc::clone(&keeper);
            spawn_local(
                heartbeats.send_heartbeats(Rc::clone(&client), Rc::clone(&heartbeat_lease)),
            );
            keeper
                .renew_leases(&client, &heartbeat_lease, lease_updates, expired_leases)
                .await;
        });
        Ok(())
    }

    /// Renews the newest lease in `lease_updates` until the core is dropped.
    async fn renew_leases(
        &self,
        client: &Client,
        heartbeat_lease: &Cell<Option<RenewedLease>>,
        mut lease_updates: watch::Receiver<Option<LeaseKeepAlive>>,
        expired_leases: mpsc::UnboundedSender<u64>,
    ) {
        let mut renewed = self.now();
        let mut lease = None;
        loop {
            let update = *lease_updates.borrow_and_update();
            let Some(keep_alive) = update.filter(|k| self.now() < k.until) else {
                heartbeat_lease.set(None);
                if lease_updates.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if lease.replace(keep_alive.lease) != Some(keep_alive.lease) {
                renewed = self.now();
            }
            heartbeat_lease.set(Some(RenewedLease {
                keep_alive,
                renewed,
            }));
            let sent = self.now();
            let status = self.renew(client, &keep_alive).await;
            if status == 404 {
                heartbeat_lease.set(None);
                // Sending fails only while the process exits.
                let _ = expired_leases.send(keep_alive.lease);
                if lease_updates.changed().await.is_err() {
                    return;
                }
                continue;
            }
            if status == 200 {
                renewed = sent;
                heartbeat_lease.set(Some(RenewedLease {
                    keep_alive,
                    renewed,
                }));
            }
            let pause = keep_alive.pause(status == 200);
            sleep(Duration::from_micros(pause.0)).await;
        }
    }

    /// Renews a lease once. Returns the HTTP status of the response, or 0 without one.
    async fn renew(&self, client: &Client, keep_alive: &LeaseKeepAlive) -> u16 {
        let limit = Duration::from_micros(keep_alive.timeout().0);
        let (path, sent) = (keep_alive.path(), SentFlag::default());
        let renewal = client.exchange(self.store_addr, "POST", &path, &[], &sent);
        match timeout(limit, renewal).await {
            Ok(Ok(response)) => response.status,
            _ => 0,
        }
    }

    /// Sends heartbeats to every peer while there is a lease. Each peer is sent its
    /// heartbeats independently: one that does not answer delays no other.
    async fn send_heartbeats(self: Rc<Self>, client: Rc<Client>, heartbeat_lease: HeartbeatLease) {
        let node_id = NodeId::from(self.node_id.as_str());
        let in_flight: Vec<Rc<Cell<bool>>> =
            self.peer_addrs.iter().map(|_| Rc::default()).collect();
        loop {
            sleep(Duration::from_micros(HEARTBEAT_PERIOD.0)).await;
            let now = self.now();
            let Some(lease) = heartbeat_lease.get().filter(|l| now < l.keep_alive.until) else {
                continue;
            };
            let last_tick = Time(self.last_tick.load(Ordering::Relaxed));
            let heartbeat = lease.keep_alive.leader_heartbeat(
                &node_id,
                now.since(lease.renewed),
                now.since(last_tick),
            );
            let body = encode(&heartbeat);
            for (&peer, in_flight) in self.peer_addrs.iter().zip(&in_flight) {
                if !in_flight.replace(true) {
                    let (client, in_flight) = (Rc::clone(&client), Rc::clone(in_flight));
                    spawn_local(send_heartbeat(client, peer, body.clone(), in_flight));
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
    in_flight: Rc<Cell<bool>>,
) {
    let sent = SentFlag::default();
    let path = routes::path(routes::LEADER_HEARTBEAT);
    let exchange = client.exchange(peer, "POST", &path, &body, &sent);
    // A lost heartbeat is not sent again: the next one carries newer data.
    let _ = timeout(HEARTBEAT_TIMEOUT, exchange).await;
    in_flight.set(false);
}
