//! The part of [`Intents`] for provisions: from the decision until all provisioned machines
//! were seen. Makes no requests itself.

use super::records::{IntentKey, ProvisionRecord, to_value};
use super::{CapacityPool, Intents};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{MachineId, Time, TimeSpan, WallTime};
use crate::wire::cloud::ProvisionRequest;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;

/// Most machines of one provision request.
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;

/// Loaded provision intents older than this are not repeated: the cloud lists their machines
/// by then.
const PROVISION_STALE_AFTER: TimeSpan = TimeSpan::millis(120_000);

/// The same limit as a multiple of the lag of lists; the longer limit applies.
const STALE_LIST_LAGS: u64 = 4;

/// The stage of a provision intent.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ProvisionStage {
    /// Decided; not stored yet.
    Decided,
    /// Stored; certainly not requested yet.
    Stored,
    /// Requested for the first time; no answer yet.
    Requested,
    /// Possibly requested, by this leader or an earlier one: it may only be repeated under
    /// the same name.
    Uncertain,
    /// Answered with machines.
    Fulfilled {
        /// When the answer came.
        at: Time,
        /// The provisioned machines that no list or heartbeat has shown yet.
        unseen: BTreeSet<MachineId>,
    },
}

/// The intent to provision machines.
#[derive(Clone, Debug)]
pub(super) struct ProvisionIntent {
    pub(super) request: ProvisionRequest,
    pub(super) stage: ProvisionStage,
}

impl ProvisionIntent {
    fn is_fulfilled(&self) -> bool {
        matches!(self.stage, ProvisionStage::Fulfilled { .. })
    }

    /// Whether it has certainly not been requested yet.
    fn is_unrequested(&self) -> bool {
        matches!(self.stage, ProvisionStage::Decided | ProvisionStage::Stored)
    }

    /// Whether it is stored, so that it may be requested.
    fn may_be_requested(&self) -> bool {
        self.stage != ProvisionStage::Decided || !failpoints::enforced(SafetyCheck::IntentBeforeAct)
    }

    fn is_same_pool(&self, other: &ProvisionRequest) -> bool {
        let request = &self.request;
        (&request.kind, &request.zone, request.spot) == (&other.kind, &other.zone, other.spot)
    }
}

impl Intents {
    /// Loads an earlier leader's intent to provision, which that leader may have requested. A
    /// stale intent is deleted instead.
    pub(super) fn load_provision(&mut self, key: &str, name: &str, stored: &Value, wall: WallTime) {
        let Ok(record) = ProvisionRecord::deserialize(stored) else {
            return;
        };
        let age = TimeSpan::millis(wall.0.saturating_sub(record.decided_at.0));
        let listed_after = TimeSpan(self.list_lag.0 * STALE_LIST_LAGS);
        if age > PROVISION_STALE_AFTER.max(listed_after) {
            self.pending_writes.delete(key.into());
            return;
        }
        let intent = ProvisionIntent {
            request: record.request,
            stage: ProvisionStage::Uncertain,
        };
        self.provisions.insert(name.into(), intent);
    }

    /// Adds an intent to provision `count` machines, limited to 1 to
    /// [`MAX_MACHINES_PER_PROVISION`], and queues its record.
    pub fn provision(&mut self, pool: CapacityPool, count: u32, wall: WallTime) {
        let name = self.next_name();
        let request = ProvisionRequest {
            request: name.clone(),
            kind: pool.machine_type,
            zone: pool.zone,
            spot: pool.spot,
            count: count.clamp(1, MAX_MACHINES_PER_PROVISION),
        };
        let record = ProvisionRecord {
            request: request.clone(),
            decided_at: wall,
        };
        let key = IntentKey::Provision(&name).to_key();
        self.pending_writes.put(key, to_value(&record));
        let intent = ProvisionIntent {
            request,
            stage: ProvisionStage::Decided,
        };
        self.provisions.insert(name, intent);
    }

    /// Provision intents without an answer.
    pub(super) fn unfulfilled(&self) -> impl Iterator<Item = &ProvisionIntent> {
        self.provisions.values().filter(|i| !i.is_fulfilled())
    }

    /// Whether the answer to a provision request is still to come.
    pub fn is_provisioning(&self) -> bool {
        self.unfulfilled().next().is_some()
    }

    /// Whether more provisions may be decided: only once all existing ones have been requested.
    /// Calls to the cloud are scarce, so the demand of the meantime is grouped.
    pub fn may_provision(&self) -> bool {
        !self.unfulfilled().any(ProvisionIntent::is_unrequested)
    }

    /// Records that a provision is being requested. An uncertain one stays uncertain.
    pub fn mark_provision_requested(&mut self, name: &str) {
        if let Some(intent) = self.provisions.get_mut(name)
            && intent.is_unrequested()
        {
            intent.stage = ProvisionStage::Requested;
        }
    }

    /// The provision requests without an answer, requested or not.
    pub fn outstanding_provisions(&self) -> impl Iterator<Item = &ProvisionRequest> {
        self.unfulfilled().map(|intent| &intent.request)
    }

    /// The next provision to request: first those that may have been requested before.
    pub fn next_provision(&self) -> Option<ProvisionRequest> {
        self.unfulfilled()
            .filter(|intent| intent.may_be_requested())
            .min_by_key(|intent| intent.stage != ProvisionStage::Uncertain)
            .map(|intent| intent.request.clone())
    }

    /// Records that a provision was requested and not answered.
    pub fn mark_provision_uncertain(&mut self, name: &str) {
        if let Some(intent) = self.provisions.get_mut(name) {
            intent.stage = ProvisionStage::Uncertain;
        }
    }

    /// Removes a provision intent, also from the key-value store.
    fn settle_provision(&mut self, name: &str) {
        if self.provisions.remove(name).is_some() {
            let key = IntentKey::Provision(name).to_key();
            self.pending_writes.delete(key);
        }
    }

    /// Removes a provision whose request was refused, and therefore not carried out. An
    /// uncertain intent is kept: an earlier request of it may have been carried out.
    pub fn settle_refused_provision(&mut self, name: &str) {
        let intent = self.provisions.get(name);
        if intent.is_some_and(|intent| intent.stage != ProvisionStage::Uncertain) {
            self.settle_provision(name);
        }
    }

    /// Removes a provision for which the cloud has no capacity, and the other provisions of
    /// the same pool that were not requested yet.
    pub fn settle_without_capacity(&mut self, name: &str) {
        let Some(refused) = self.provisions.get(name).map(|i| i.request.clone()) else {
            return;
        };
        let others: Vec<String> = self
            .provisions
            .iter()
            .filter(|(_, intent)| intent.is_same_pool(&refused) && intent.is_unrequested())
            .map(|(name, _)| name.clone())
            .collect();
        for other in &others {
            self.settle_provision(other);
        }
        self.settle_provision(name);
    }

    /// Records that a provision was answered with these machines. The intent is kept until
    /// all of them were seen, so that a successor can repeat the request.
    pub fn mark_fulfilled(&mut self, name: &str, machines: &[MachineId], now: Time) {
        if let Some(intent) = self.provisions.get_mut(name) {
            intent.stage = ProvisionStage::Fulfilled {
                at: now,
                unseen: machines.iter().cloned().collect(),
            };
        }
    }

    /// Removes fulfilled provisions whose machines were all seen or are to be terminated, or
    /// that were answered longer than `listed_after` ago.
    pub(super) fn settle_provisions(
        &mut self,
        now: Time,
        listed_after: TimeSpan,
        is_seen: impl Fn(&MachineId) -> bool,
    ) {
        let terminating = &self.terminating;
        let mut settled = Vec::new();
        for (name, intent) in &mut self.provisions {
            if let ProvisionStage::Fulfilled { at, unseen } = &mut intent.stage {
                unseen.retain(|machine| !is_seen(machine) && !terminating.contains_key(machine));
                if unseen.is_empty() || now.since(*at) > listed_after {
                    settled.push(name.clone());
                }
            }
        }
        for name in &settled {
            self.settle_provision(name);
        }
    }

    /// Provisioned machines that no list or heartbeat has shown yet, for tests.
    pub fn unseen_machines(&self) -> BTreeSet<MachineId> {
        let unseen = self
            .provisions
            .values()
            .filter_map(|intent| match &intent.stage {
                ProvisionStage::Fulfilled { unseen, .. } => Some(unseen),
                _ => None,
            });
        unseen.flatten().cloned().collect()
    }
}
