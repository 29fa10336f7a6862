//! Write-ahead intents for the cloud. The cloud checks no fencing token and may carry a
//! request out minutes late, so each provision and termination is stored in the
//! key-value store before it is requested. A successor reads them and completes them.
//! Nothing here calls the cloud.
//!
//! A provision intent keeps its name until its answer is known and all its machines
//! were seen; repeating the request returns the same machines, as requests are idempotent
//! by name. A termination can't be revoked: a leader that reads one starts nothing on the
//! machines named in it.

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

/// A source of machines in the cloud. Pools are ordered by machine type, zone and `spot`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// The machine type.
    pub machine_type: MachineTypeName,
    /// The zone.
    pub zone: Zone,
    /// Whether machines are spot capacity; otherwise on-demand.
    pub spot: bool,
}

/// How long confirmed terminations are kept, in addition to the lag of lists: an old list or
/// heartbeat may still name their machines.
const TERMINATION_RETENTION: TimeSpan = TimeSpan::millis(60_000);
/// After how many times the lag of lists a new machine is certainly listed.
const LISTED_AFTER_LAGS: u64 = 3;

/// Numbers of incomplete intents, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenIntents {
    /// Provisions without an answer.
    pub provisions: usize,
    /// Terminations that are not confirmed.
    pub terminations: usize,
    /// Machines to terminate that are not confirmed as gone.
    pub machines: usize,
}

/// All intents of the autoscaler.
#[derive(Clone, Debug)]
pub struct Intents {
    token: FencingToken,
    /// The number in the next intent's name; starts at 1.
    next_number: u64,
    /// How long the cloud's lists lag behind.
    list_lag: TimeSpan,
    /// Most bytes of one stored record.
    value_bytes: usize,
    provisions: BTreeMap<String, ProvisionIntent>,
    terminations: BTreeMap<String, TerminationIntent>,
    /// Machines to be terminated, and when the cloud confirmed it; `None`: not yet.
    terminating: BTreeMap<MachineId, Option<Time>>,
    /// Records to write or delete. Also used for quarantine records and arrivals.
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

    /// Changes the limit on the size of records, which the key-value store may change.
    pub fn set_value_bytes(&mut self, value_bytes: usize) {
        self.value_bytes = value_bytes;
    }

    /// Creates the name of a new intent. The fencing token makes the name unique among all
    /// leaders, so a late request can't be mistaken for another one.
    fn next_name(&mut self) -> String {
        let name = format!("{}-{}", self.token, self.next_number);
        self.next_number += 1;
        name
    }

    /// Loads a stored intent of an earlier leader, which may have requested it or may still do
    /// so. Returns the machines that are to be terminated. A record that cannot be read is
    /// neither used nor deleted.
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

    /// Records that the value under `key` is stored. If the key is an intent's, the intent
    /// may now be requested.
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

    /// Removes intents that are complete, also from the key-value store. `is_seen`: whether a
    /// list or heartbeat has shown a machine.
    pub fn settle_completed(&mut self, now: Time, is_seen: impl Fn(&MachineId) -> bool) {
        let listed_after = TimeSpan(self.list_lag.0 * LISTED_AFTER_LAGS);
        self.settle_provisions(now, listed_after, is_seen);
        self.settle_terminations(now, listed_after + TERMINATION_RETENTION);
    }

    /// Counts the incomplete intents, for operators.
    pub fn open(&self) -> OpenIntents {
        let terminations = self.terminations.values();
        let unconfirmed = terminations.filter(|intent| intent.confirmed_at.is_none());
        let unconfirmed_machines = self
            .terminating
            .values()
            .filter(|confirmed_at| confirmed_at.is_none());
        OpenIntents {
            provisions: self.unfulfilled().count(),
            terminations: unconfirmed.count(),
            machines: unconfirmed_machines.count(),
        }
    }
}
