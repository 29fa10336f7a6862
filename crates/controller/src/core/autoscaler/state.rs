//! The renting duty's own state: what the cloud was asked and is to be asked.

use super::cloud_proxy::CloudProxy;
use super::intents::{CapacityPool, Intents};
use crate::settings::Settings;
use crate::types::{FencingToken, MachineId, Time, TimeSpan};
use crate::wire::cloud::{ListedMachine, ProvisionRequest};
use crate::wire::{backoff::Backoff, rate_limit::TokenBucket};
use std::collections::BTreeMap;

/// What a peer answers where the cloud gave it no answer: certainly not
/// reached, or perhaps; and where it knows a later token than ours.
pub(in crate::core) const BAD_GATEWAY: u16 = 502;
pub(in crate::core) const GATEWAY_TIMEOUT: u16 = 504;
pub(in crate::core) const CONFLICT: u16 = 409;

/// What the one call to the cloud in flight is about.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// The machine types.
    Types,
    /// A page of the machine list.
    List,
    /// A request for machines.
    ProvisionRequest(ProvisionRequest),
    /// Machines to release.
    Release(Vec<MachineId>),
}

/// Renting's own state.
#[derive(Debug)]
pub struct Autoscaler {
    pub(in crate::core) calls: TokenBucket,
    pub(in crate::core) calling: bool,
    pub(in crate::core) not_before: Time,
    pub(in crate::core) backoff: Backoff,
    /// What the cloud is to do.
    pub intents: Intents,
    /// Who calls the cloud.
    pub hands: CloudProxy,
    pub(in crate::core) paused: BTreeMap<CapacityPool, Time>,
    pub(in crate::core) list_due: Time,
    pub(in crate::core) list_every: TimeSpan,
    pub(in crate::core) listing: Vec<ListedMachine>,
    /// When the last whole list was taken in.
    pub listed: Option<Time>,
    pub(in crate::core) types_due: Time,
    /// Whether the last call released machines.
    pub(in crate::core) released_last: bool,
    pub(in crate::core) tend_due: Time,
}

impl Autoscaler {
    /// Nothing under way.
    pub fn new(settings: &Settings, token: FencingToken, now: Time) -> Autoscaler {
        let peers = settings.peers.iter().map(|p| p.node_id.clone()).collect();
        let rate = settings.cloud_rps * 0.9;
        Autoscaler {
            calls: TokenBucket::new(rate, rate.max(1.0)),
            calling: false,
            not_before: now,
            backoff: Backoff::default(),
            intents: Intents::new(token, settings.list_lag, settings.state_limits.value_bytes),
            hands: CloudProxy::new(peers),
            paused: BTreeMap::new(),
            list_due: now,
            list_every: TimeSpan(settings.list_lag.0 / 2).max(TimeSpan::secs(2.0)),
            listing: Vec::new(),
            listed: None,
            types_due: now,
            released_last: false,
            tend_due: now,
        }
    }
}
