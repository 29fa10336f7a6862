//! Write-ahead intents for the cloud. The cloud checks no fencing token and may carry a
//! request out minutes late, so each provision and termination is stored in the
//! key-value store before it is requested. A successor reads them and completes them.
//! Nothing here calls the cloud.
//!
//! A provision intent keeps its name until its answer is known and all its machines
//! were seen; whoever repeats it gets the same machines, as requests are idempotent by
//! name. A termination can't be taken back: whoever reads it starts nothing on its
//! machines.

mod provisions;
mod records;
mod terminations;

pub use provisions::MAX_MACHINES_PER_PROVISION;
pub use terminations::MAX_MACHINES_PER_TERMINATION;

use crate::core::failpoints::{self, SafetyCheck};
use crate::core::pending_writes::PendingWrites;
use crate::types::{FencingToken, MachineId, MachineTypeName, Time, TimeSpan, WallTime, Zone};
use provisions::{ProvisionIntent, ProvisionStage};
use records::IntentKey;
use serde_json::Value;
use std::collections::BTreeMap;
use terminations::TerminationIntent;

/// Where machines are provisioned. Pools are ordered by their fields in turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// The machine type.
    pub machine_type: MachineTypeName,
    /// The zone.
    pub zone: Zone,
    /// Whether it is spot capacity, not on-demand capacity.
    pub spot: bool,
}

/// How long settled terminations are kept, beyond the lag of lists: an old list or
/// heartbeat may still name their machines.
const TERMINATION_KEPT: TimeSpan = TimeSpan::millis(60_000);
/// After how many times the lag of lists a new machine is listed.
const LISTED_AFTER_LAGS: u64 = 3;

/// Numbers of what is not completed yet, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenIntents {
    /// Provisions without an answer.
    pub provisions: usize,
    /// Terminations that are not confirmed.
    pub terminations: usize,
    /// Machines still to be terminated.
    pub machines: usize,
}

/// All intents of the autoscaler.
#[derive(Clone, Debug)]
pub struct Intents {
    token: FencingToken,
    /// Number of the next intent.
    next_number: u64,
    /// How long the cloud's lists lag behind.
    list_lag: TimeSpan,
    /// Most bytes of one record.
    value_bytes: usize,
    provisions: BTreeMap<String, ProvisionIntent>,
    terminations: BTreeMap<String, TerminationIntent>,
    /// Machines to be terminated, and since when they are gone; `None`: not yet.
    terminating: BTreeMap<MachineId, Option<Time>>,
    /// Records to be written.
    pub pending_writes: PendingWrites,
}

impl Intents {
    /// No intents yet, of the leader with this fencing token. `list_lag`: how long the
    /// cloud's lists lag behind; `value_bytes`: most bytes of one record.
    pub fn new(token: FencingToken, list_lag: TimeSpan, value_bytes: usize) -> Intents {
        Intents {
            token,
            next_number: 1,
            list_lag,
            value_bytes,
            provisions: BTreeMap::new(),
            terminations: BTreeMap::new(),
            terminating: BTreeMap::new(),
            pending_writes: PendingWrites::default(),
        }
    }

    /// A name for a new intent. The token makes it unique among all leaders, so a late
    /// request can never be taken for another one.
    fn next_name(&mut self) -> String {
        let name = format!("{}-{}", self.token, self.next_number);
        self.next_number += 1;
        name
    }

    /// Takes over a stored intent of an earlier leader, who may have requested it or
    /// may do so yet. Returns the machines that are to be terminated. A record that
    /// cannot be read is left where it is.
    pub fn load(&mut self, key: &str, stored: &Value, wall: WallTime) -> Vec<MachineId> {
        match IntentKey::parse(key) {
            Some(IntentKey::Provision(name))
                if failpoints::enforced(SafetyCheck::ProvisionsAreRepeated) =>
            {
                self.load_provision(key, name, stored, wall);
                Vec::new()
            }
            Some(IntentKey::Termination(name))
                if failpoints::enforced(SafetyCheck::TerminationsAreFinal) =>
            {
                self.load_termination(name, stored)
            }
            _ => Vec::new(),
        }
    }

    /// The record under `key` is stored: if it is an intent, it may be acted on.
    pub fn mark_stored(&mut self, key: &str) {
        match IntentKey::parse(key) {
            Some(IntentKey::Provision(name)) => {
                if let Some(intent) = self.provisions.get_mut(name)
                    && intent.stage == ProvisionStage::Decided
                {
                    intent.stage = ProvisionStage::Stored;
                }
            }
            Some(IntentKey::Termination(name)) => {
                if let Some(intent) = self.terminations.get_mut(name) {
                    intent.stored = true;
                }
            }
            None => {}
        }
    }

    /// Settles intents that nobody needs any more. `is_seen`: whether a list or
    /// heartbeat has shown a machine.
    pub fn settle_completed(&mut self, now: Time, is_seen: impl Fn(&MachineId) -> bool) {
        let listed_after = TimeSpan(self.list_lag.0 * LISTED_AFTER_LAGS);
        self.settle_provisions(now, listed_after, is_seen);
        self.settle_terminations(now, listed_after + TERMINATION_KEPT);
    }

    /// How much is not completed yet, for operators.
    pub fn open(&self) -> OpenIntents {
        let terminations = self.terminations.values();
        let unconfirmed = terminations.filter(|intent| intent.confirmed_at.is_none());
        let remaining = self.terminating.values().filter(|gone| gone.is_none());
        OpenIntents {
            provisions: self.unfulfilled().count(),
            terminations: unconfirmed.count(),
            machines: remaining.count(),
        }
    }
}
