//! Write-ahead intents for the cloud. The cloud checks no fencing token and may carry a
//! request out minutes late, so each provision and termination is stored in the
//! key-value store before it is requested. A successor reads them and completes them.
//! Nothing here calls the cloud.
//!
//! A provision intent keeps its name until its answer is known and all its machines
//! were seen; whoever repeats it gets the same machines, as requests are idempotent by
//! name. A termination can't be taken back: whoever reads it starts nothing on its
//! machines.

mod records;

use crate::core::failpoints::{self, SafetyCheck};
use crate::core::pending_writes::PendingWrites;
use crate::types::{FencingToken, MachineId, MachineTypeName, Time, TimeSpan, WallTime, Zone};
use crate::wire::cloud::ProvisionRequest;
use records::{IntentKey, ProvisionRecord, TerminationRecord, to_value};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Machines of one type and zone, either spot (true) or on-demand capacity.
pub type CapacityPool = (MachineTypeName, Zone, bool);

/// Most machines of one provision request.
pub const MOST_RENTED: u32 = 50;
/// Most machines named in one call to terminate.
pub const MOST_RELEASED: usize = 100;
/// How long settled terminations are kept, beyond the lag of lists: an old list or
/// heartbeat may still name their machines.
const TERMINATION_KEPT: TimeSpan = TimeSpan::millis(60_000);
/// Provision intents older than this are not repeated: what they brought is listed.
const PROVISION_STALE_AFTER: TimeSpan = TimeSpan::millis(120_000);
/// The same as a multiple of the lag of lists, where that is longer.
const STALE_LIST_LAGS: u64 = 4;
/// After how many times the lag of lists a new machine is listed.
const LISTED_AFTER_LAGS: u64 = 3;
/// Terminations decided and not yet requested that may exist at once where work waits
/// for the proof that its machine is gone.
const MAX_UNREQUESTED_URGENT: usize = 4;
/// The same where no work waits.
const MAX_UNREQUESTED: usize = 1;
/// Bytes of a termination record besides its reasons and machines.
const RECORD_FRAMING_BYTES: usize = 64;
/// Bytes of a reason in a termination record besides its text.
const REASON_FRAMING_BYTES: usize = 8;
/// Bytes of a machine in a termination record besides its name.
const MACHINE_FRAMING_BYTES: usize = 4;

/// How far a provision intent has come.
#[derive(Clone, Debug, PartialEq)]
enum ProvisionStage {
    /// Decided; not stored yet.
    Decided,
    /// Stored; nobody can have requested it yet.
    Stored,
    /// Requested for the first time; no answer yet.
    Requested,
    /// It may have been requested: only under its own name may it be repeated.
    Uncertain,
    /// Answered with machines.
    Fulfilled {
        /// When the answer came.
        at: Time,
        /// Those of its machines that no list or heartbeat has shown yet.
        unseen: BTreeSet<MachineId>,
    },
}

#[derive(Clone, Debug)]
struct ProvisionIntent {
    request: ProvisionRequest,
    stage: ProvisionStage,
}

impl ProvisionIntent {
    fn is_fulfilled(&self) -> bool {
        matches!(self.stage, ProvisionStage::Fulfilled { .. })
    }

    /// Whether nobody can have requested it yet.
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

#[derive(Clone, Debug)]
struct TerminationIntent {
    machines: Vec<MachineId>,
    stored: bool,
    requested: bool,
    /// When all its machines were confirmed to be gone.
    confirmed_at: Option<Time>,
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
                if failpoints::enforced(SafetyCheck::HiresAreRepeated) =>
            {
                self.load_provision(key, name, stored, wall);
                Vec::new()
            }
            Some(IntentKey::Termination(name))
                if failpoints::enforced(SafetyCheck::ReleasesStand) =>
            {
                self.load_termination(name, stored)
            }
            _ => Vec::new(),
        }
    }

    fn load_provision(&mut self, key: &str, name: &str, stored: &Value, wall: WallTime) {
        let Ok(record) = ProvisionRecord::deserialize(stored) else {
            return;
        };
        let age = TimeSpan::millis(wall.0.saturating_sub(record.decided_at.0));
        let certainly_listed = TimeSpan(self.list_lag.0 * STALE_LIST_LAGS);
        if age > PROVISION_STALE_AFTER.max(certainly_listed) {
            self.pending_writes.delete(key.into());
            return;
        }
        let intent = ProvisionIntent {
            request: record.request,
            stage: ProvisionStage::Uncertain,
        };
        self.provisions.insert(name.into(), intent);
    }

    fn load_termination(&mut self, name: &str, stored: &Value) -> Vec<MachineId> {
        let Ok(record) = TerminationRecord::deserialize(stored) else {
            return Vec::new();
        };
        let by_reason = record.machines_by_reason.into_values();
        let machines: Vec<MachineId> = by_reason.flatten().collect();
        for machine in &machines {
            self.terminating.insert(machine.clone(), None);
        }
        let intent = TerminationIntent {
            machines: machines.clone(),
            stored: true,
            requested: true,
            confirmed_at: None,
        };
        self.terminations.insert(name.into(), intent);
        machines
    }

    /// The record under `key` is stored: if it is an intent, it may be acted on.
    pub fn stored(&mut self, key: &str) {
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

    /// Decides to provision `count` machines, at most [`MOST_RENTED`].
    pub fn provision(&mut self, (kind, zone, spot): CapacityPool, count: u32, wall: WallTime) {
        let name = self.next_name();
        let request = ProvisionRequest {
            request: name.clone(),
            kind,
            zone,
            spot,
            count: count.clamp(1, MOST_RENTED),
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

    fn unfulfilled(&self) -> impl Iterator<Item = &ProvisionIntent> {
        self.provisions.values().filter(|i| !i.is_fulfilled())
    }

    /// Whether the answer to a provision request is still to come.
    pub fn is_provisioning(&self) -> bool {
        self.unfulfilled().next().is_some()
    }

    /// Whether more provisions may be decided: once all there are have been requested.
    /// Calls to the cloud are scarce; what is needed meanwhile is grouped.
    pub fn may_provision(&self) -> bool {
        !self.unfulfilled().any(ProvisionIntent::is_unrequested)
    }

    /// A provision is being requested.
    pub fn provision_asked(&mut self, name: &str) {
        if let Some(intent) = self.provisions.get_mut(name)
            && intent.is_unrequested()
        {
            intent.stage = ProvisionStage::Requested;
        }
    }

    /// The provision requests whose answer is still to come.
    pub fn coming(&self) -> impl Iterator<Item = &ProvisionRequest> {
        self.unfulfilled().map(|intent| &intent.request)
    }

    /// The next provision to request, those that may have been requested before first.
    pub fn next_provision(&self) -> Option<ProvisionRequest> {
        self.unfulfilled()
            .filter(|intent| intent.may_be_requested())
            .min_by_key(|intent| intent.stage != ProvisionStage::Uncertain)
            .map(|intent| intent.request.clone())
    }

    /// A provision was requested and the answer lost.
    pub fn provision_lost(&mut self, name: &str) {
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

    /// A provision was refused and not carried out. One that may have been requested
    /// before keeps its name.
    pub fn provision_refused(&mut self, name: &str) {
        let intent = self.provisions.get(name);
        if intent.is_some_and(|intent| intent.stage != ProvisionStage::Uncertain) {
            self.settle_provision(name);
        }
    }

    /// The cloud has no capacity for a provision. Settles it, and others of its pool
    /// that nobody has requested.
    pub fn no_room(&mut self, name: &str) {
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

    /// A provision was answered with these machines. Its name is kept until all of them
    /// were seen, so that a successor can request them again.
    pub fn filled(&mut self, name: &str, machines: &[MachineId], now: Time) {
        if let Some(intent) = self.provisions.get_mut(name) {
            intent.stage = ProvisionStage::Fulfilled {
                at: now,
                unseen: machines.iter().cloned().collect(),
            };
        }
    }

    /// Whether one more termination may be decided: once all there are have been
    /// requested. What is to go meanwhile is grouped, as calls and writes are scarce;
    /// where work waits for the proof (`presses`) a few more may be decided.
    pub fn may_release(&self, presses: bool) -> bool {
        let unrequested = self.terminations.values().filter(|i| !i.requested);
        let limit = match presses {
            true => MAX_UNREQUESTED_URGENT,
            false => MAX_UNREQUESTED,
        };
        unrequested.count() < limit
    }

    /// The termination of these machines is being requested.
    pub fn release_asked(&mut self, machines: &[MachineId]) {
        for intent in self.terminations.values_mut() {
            intent.requested |= intent.machines.iter().any(|m| machines.contains(m));
        }
    }

    /// Decides to terminate machines, each with the reason, as many as fit into one
    /// record. There is no way back.
    pub fn release(
        &mut self,
        machines: impl Iterator<Item = (MachineId, &'static str)>,
        wall: WallTime,
    ) {
        let mut machines_by_reason: BTreeMap<String, Vec<MachineId>> = BTreeMap::new();
        let mut chosen = Vec::new();
        let mut bytes = RECORD_FRAMING_BYTES;
        for (machine, reason) in machines {
            bytes += machine.as_str().len() + MACHINE_FRAMING_BYTES;
            if !machines_by_reason.contains_key(reason) {
                bytes += reason.len() + REASON_FRAMING_BYTES;
            }
            if chosen.len() >= MOST_RELEASED || bytes > self.value_bytes {
                break;
            }
            let of_reason = machines_by_reason.entry(reason.into()).or_default();
            of_reason.push(machine.clone());
            self.terminating.insert(machine.clone(), None);
            chosen.push(machine);
        }
        if chosen.is_empty() {
            return;
        }
        let name = self.next_name();
        let record = TerminationRecord {
            decided_at: wall,
            machines_by_reason,
        };
        let key = IntentKey::Termination(&name).to_key();
        self.pending_writes.put(key, to_value(&record));
        let intent = TerminationIntent {
            machines: chosen,
            stored: false,
            requested: false,
            confirmed_at: None,
        };
        self.terminations.insert(name, intent);
    }

    /// The machines whose termination to request next.
    pub fn next_release(&self) -> Vec<MachineId> {
        let is_ready = |intent: &&TerminationIntent| {
            intent.confirmed_at.is_none()
                && (intent.stored || !failpoints::enforced(SafetyCheck::IntentBeforeAct))
        };
        self.terminations
            .values()
            .filter(is_ready)
            .flat_map(|intent| &intent.machines)
            .filter(|machine| !self.is_gone(machine))
            .take(MOST_RELEASED)
            .cloned()
            .collect()
    }

    /// A termination was answered: these machines are gone.
    pub fn released(&mut self, machines: &[MachineId], now: Time) {
        for machine in machines {
            self.terminating.insert(machine.clone(), Some(now));
        }
        let terminating = &self.terminating;
        let is_gone = |machine: &MachineId| matches!(terminating.get(machine), Some(Some(_)));
        for intent in self.terminations.values_mut() {
            if intent.confirmed_at.is_none() && intent.machines.iter().all(is_gone) {
                intent.confirmed_at = Some(now);
            }
        }
    }

    /// Whether a machine is to be terminated or was, whoever decided it.
    pub fn is_leaving(&self, machine: &MachineId) -> bool {
        self.terminating.contains_key(machine)
    }

    /// Whether a machine was terminated not long ago, so that a list or heartbeat that
    /// names it is old.
    pub fn is_gone(&self, machine: &MachineId) -> bool {
        matches!(self.terminating.get(machine), Some(Some(_)))
    }

    /// Settles intents that nobody needs any more. `is_seen`: whether a list or
    /// heartbeat has shown a machine.
    pub fn tend(&mut self, now: Time, is_seen: impl Fn(&MachineId) -> bool) {
        let listed_after = TimeSpan(self.list_lag.0 * LISTED_AFTER_LAGS);
        self.settle_provisions(now, listed_after, is_seen);
        self.settle_terminations(now, listed_after + TERMINATION_KEPT);
    }

    /// Settles provisions whose machines were all seen, or must be listed by now.
    fn settle_provisions(
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

    /// Settles terminations that no list can contradict any more.
    fn settle_terminations(&mut self, now: Time, kept: TimeSpan) {
        let is_old = |confirmed_at: Time| now.since(confirmed_at) > kept;
        let settled: Vec<String> = self
            .terminations
            .iter()
            .filter(|(_, intent)| intent.confirmed_at.is_some_and(is_old))
            .map(|(name, _)| name.clone())
            .collect();
        for name in settled {
            let intent = self.terminations.remove(&name);
            for machine in intent.into_iter().flat_map(|intent| intent.machines) {
                self.terminating.remove(&machine);
            }
            let key = IntentKey::Termination(&name).to_key();
            self.pending_writes.delete(key);
        }
    }

    /// Numbers of unanswered provisions, of unconfirmed terminations, and of machines
    /// still to be terminated, for operators.
    pub fn open(&self) -> [usize; 3] {
        let terminations = self.terminations.values();
        let unconfirmed = terminations.filter(|intent| intent.confirmed_at.is_none());
        let remaining = self.terminating.values().filter(|gone| gone.is_none());
        [
            self.unfulfilled().count(),
            unconfirmed.count(),
            remaining.count(),
        ]
    }

    /// Machines provisioned that were not seen yet, for tests.
    pub fn unheard(&self) -> BTreeSet<MachineId> {
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
