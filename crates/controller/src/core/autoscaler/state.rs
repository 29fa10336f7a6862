//! The autoscaler's state: which calls to the cloud were made and are due. The leader's
//! `autoscaling` makes the calls; `capacity_planning` decides what to provision.

use super::cloud_proxy::CloudProxy;
use super::intents::{CapacityPool, Intents};
use crate::settings::Settings;
use crate::types::{FencingToken, MachineId, Time, TimeSpan};
use crate::wire::cloud::{ListedMachine, ProvisionRequest};
use crate::wire::{backoff::Backoff, rate_limit::TokenBucket};
use std::collections::BTreeMap;

/// Status that a peer answers if its call to the cloud was certainly not sent.
pub(in crate::core) const BAD_GATEWAY: u16 = 502;
/// Status that a peer answers if its call may have reached the cloud and got no answer.
pub(in crate::core) const GATEWAY_TIMEOUT: u16 = 504;
/// Status that a peer answers if it has seen a later fencing token than ours.
pub(in crate::core) const CONFLICT: u16 = 409;

/// Fraction of the cloud's rate limit that the leader uses.
const RATE_LIMIT_SHARE: f64 = 0.9;
/// Least time between two reads of the machine list.
const MIN_LIST_INTERVAL: TimeSpan = TimeSpan::millis(2000);

/// A call to the cloud; at most one is in flight.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Read the machine types.
    Types,
    /// Read the next page of the machine list.
    List,
    /// Provision machines.
    Provision(ProvisionRequest),
    /// Terminate these machines.
    Terminate(Vec<MachineId>),
}

/// The state of the autoscaler.
#[derive(Debug)]
pub struct Autoscaler {
    /// Limits calls per second to a part of the cloud's rate limit.
    pub(in crate::core) rate_limit: TokenBucket,
    /// Whether a call is in flight; no other is made meanwhile.
    pub(in crate::core) call_in_flight: bool,
    /// No call is made before this time: the end of the pause after a failed call.
    pub(in crate::core) not_before: Time,
    /// Computes the pause after a failed call.
    pub(in crate::core) backoff: Backoff,
    /// Provisions and terminations, recorded before they are requested.
    pub intents: Intents,
    /// Chooses whether calls are direct or go through a peer.
    pub cloud_proxy: CloudProxy,
    /// Pools that had no capacity, and until when nothing is provisioned from them.
    pub(in crate::core) paused_pools: BTreeMap<CapacityPool, Time>,
    /// When the machine list is next read.
    pub(in crate::core) list_due: Time,
    /// Time between two reads of the machine list.
    pub(in crate::core) list_interval: TimeSpan,
    /// The machines on the pages read so far of a list that is not complete.
    pub(in crate::core) partial_list: Vec<ListedMachine>,
    /// When the last complete list was read; `None`: none since this leader began.
    pub last_list: Option<Time>,
    /// When the machine types are next read.
    pub(in crate::core) types_due: Time,
    /// Whether the last call was a termination; if so, another kind of call goes first.
    pub(in crate::core) last_call_terminated: bool,
    /// When completed intents are next removed.
    pub(in crate::core) next_settle: Time,
}

impl Autoscaler {
    /// The state of a new leader with this fencing token, without calls or intents. The
    /// machine list and types are due at `now`.
    pub fn new(settings: &Settings, token: FencingToken, now: Time) -> Autoscaler {
        let peers = settings.peers.iter().map(|p| p.node_id.clone()).collect();
        let rate = settings.cloud_rps * RATE_LIMIT_SHARE;
        Autoscaler {
            rate_limit: TokenBucket::new(rate, rate.max(1.0)),
            call_in_flight: false,
            not_before: now,
            backoff: Backoff::default(),
            intents: Intents::new(token, settings.list_lag, settings.state_limits.value_bytes),
            cloud_proxy: CloudProxy::new(peers),
            paused_pools: BTreeMap::new(),
            list_due: now,
            list_interval: TimeSpan(settings.list_lag.0 / 2).max(MIN_LIST_INTERVAL),
            partial_list: Vec::new(),
            last_list: None,
            types_due: now,
            last_call_terminated: false,
            next_settle: now,
        }
    }
}
