//! The autoscaler's own state: what the cloud was asked and is to be asked. Its
//! decisions are in the leader's `autoscaling` and `capacity_planning`.

use super::cloud_proxy::CloudProxy;
use super::intents::{CapacityPool, Intents};
use crate::settings::Settings;
use crate::types::{FencingToken, MachineId, Time, TimeSpan};
use crate::wire::cloud::{ListedMachine, ProvisionRequest};
use crate::wire::{backoff::Backoff, rate_limit::TokenBucket};
use std::collections::BTreeMap;

/// What a peer answers that certainly did not reach the cloud.
pub(in crate::core) const BAD_GATEWAY: u16 = 502;
/// What a peer answers that may have reached the cloud, and got no answer.
pub(in crate::core) const GATEWAY_TIMEOUT: u16 = 504;
/// What a peer answers that knows a later fencing token than ours.
pub(in crate::core) const CONFLICT: u16 = 409;

/// Share of the cloud's rate limit that the leader uses.
const RATE_SHARE: f64 = 0.9;
/// Least time between two reads of the machine list.
const SHORTEST_LIST_INTERVAL: TimeSpan = TimeSpan::millis(2000);

/// What the one call to the cloud in flight is about.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// The machine types.
    Types,
    /// A page of the machine list.
    List,
    /// A request for machines.
    ProvisionRequest(ProvisionRequest),
    /// Machines to terminate.
    Release(Vec<MachineId>),
}

/// The autoscaler's own state.
#[derive(Debug)]
pub struct Autoscaler {
    /// Calls that may be made now.
    pub(in crate::core) rate_limit: TokenBucket,
    /// Whether a call is out; there is only ever one.
    pub(in crate::core) call_in_flight: bool,
    /// No call before this time.
    pub(in crate::core) not_before: Time,
    /// Pause after calls that failed.
    pub(in crate::core) backoff: Backoff,
    /// What the cloud is to do, recorded ahead of asking for it.
    pub intents: Intents,
    /// Which node makes the calls.
    pub cloud_proxy: CloudProxy,
    /// Pools that had no capacity, and until when they are not asked again.
    pub(in crate::core) paused_pools: BTreeMap<CapacityPool, Time>,
    /// When the machine list is next read.
    pub(in crate::core) list_due: Time,
    /// Time between two reads of it.
    pub(in crate::core) list_interval: TimeSpan,
    /// The pages of a list read so far.
    pub(in crate::core) partial_list: Vec<ListedMachine>,
    /// When the last whole list was read.
    pub last_list: Option<Time>,
    /// When the machine types are next read.
    pub(in crate::core) types_due: Time,
    /// Whether the last call terminated machines: other calls take turns with it.
    pub(in crate::core) last_call_terminated: bool,
    /// When intents are next checked for being settled.
    pub(in crate::core) next_settle: Time,
}

impl Autoscaler {
    /// Nothing under way.
    pub fn new(settings: &Settings, token: FencingToken, now: Time) -> Autoscaler {
        let peers = settings.peers.iter().map(|p| p.node_id.clone()).collect();
        let rate = settings.cloud_rps * RATE_SHARE;
        Autoscaler {
            rate_limit: TokenBucket::new(rate, rate.max(1.0)),
            call_in_flight: false,
            not_before: now,
            backoff: Backoff::default(),
            intents: Intents::new(token, settings.list_lag, settings.state_limits.value_bytes),
            cloud_proxy: CloudProxy::new(peers),
            paused_pools: BTreeMap::new(),
            list_due: now,
            list_interval: TimeSpan(settings.list_lag.0 / 2).max(SHORTEST_LIST_INTERVAL),
            partial_list: Vec::new(),
            last_list: None,
            types_due: now,
            last_call_terminated: false,
            next_settle: now,
        }
    }
}
