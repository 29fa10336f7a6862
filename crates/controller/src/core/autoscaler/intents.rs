//! Intents: what the cloud is to do. The cloud knows no token and may carry a
//! request out minutes late, so each hire and release stands in the state
//! service before it is asked for. A successor reads them and finishes them.
//!
//! A hire keeps its name until its answer is known and all its machines were
//! heard of; whoever repeats it gets the same machines. A release can't be
//! taken back: whoever reads it starts nothing on its machines.

use crate::core::failpoints::{self, SafetyCheck};
use crate::core::keys::LEADER_RECORDS;
use crate::core::pending_writes::PendingWrites;
use crate::types::{FencingToken, MachineId, MachineTypeName, Time, TimeSpan, WallTime, Zone};
use crate::wire::cloud::ProvisionRequest;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Machines of one type, zone and kind (spot or not).
pub type CapacityPool = (MachineTypeName, Zone, bool);

/// Most machines of one hire.
pub const MOST_RENTED: u32 = 50;
/// Most machines named in one call to release.
pub const MOST_RELEASED: usize = 100;
/// How long settled intents are kept, beyond what lists lag.
const KEPT: TimeSpan = TimeSpan::millis(60_000);
/// Hires older than this are not repeated: what they brought is listed.
const STALE: TimeSpan = TimeSpan::millis(120_000);
/// Releases decided and not yet asked for that may stand beside one another
/// where work waits for the proof that it is gone.
const MOST_UNASKED: usize = 4;

/// How far a hire has come.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Decided; not stored yet.
    Decided,
    /// Stored; nobody can have asked for it yet.
    Stored,
    /// Asked for, for the first time.
    Asked,
    /// It may have been asked for: only its own name may ask again.
    Doubtful,
    /// Answered; these machines were not heard of yet.
    Filled(Time, BTreeSet<MachineId>),
}

#[derive(Clone, Debug)]
struct ProvisionIntent {
    rent: ProvisionRequest,
    stage: Stage,
}

#[derive(Clone, Debug)]
struct Release {
    machines: Vec<MachineId>,
    stored: bool,
    asked: bool,
    answered: Option<Time>,
}

#[derive(Serialize, Deserialize)]
struct ProvisionRecord {
    r: ProvisionRequest,
    t: WallTime,
}

#[derive(Serialize, Deserialize)]
struct TerminationRecord {
    t: WallTime,
    /// The machines, by why they go.
    w: BTreeMap<String, Vec<MachineId>>,
}

/// All intents of the renting duty.
#[derive(Clone, Debug)]
pub struct Intents {
    token: FencingToken,
    next: u64,
    /// How long lists lag, and what one record may hold.
    list_lag: TimeSpan,
    value_bytes: usize,
    provisions: BTreeMap<String, ProvisionIntent>,
    releases: BTreeMap<String, Release>,
    /// Machines that are to go, and since when they are gone.
    going: BTreeMap<MachineId, Option<Time>>,
    /// Records to be written.
    pub pending_writes: PendingWrites,
}

fn value<T: Serialize>(v: &T) -> Value {
    serde_json::to_value(v).unwrap_or(Value::Null)
}

fn provision_key(name: &str) -> String {
    format!("{LEADER_RECORDS}h/{name}")
}

fn release_key(name: &str) -> String {
    format!("{LEADER_RECORDS}x/{name}")
}

impl Intents {
    /// Nothing meant yet, by the holder of this token.
    pub fn new(token: FencingToken, list_lag: TimeSpan, value_bytes: usize) -> Intents {
        Intents {
            token,
            next: 1,
            list_lag,
            value_bytes,
            provisions: BTreeMap::new(),
            releases: BTreeMap::new(),
            going: BTreeMap::new(),
            pending_writes: PendingWrites::default(),
        }
    }

    /// The token makes the name unique among all holders, so a late request
    /// can never be taken for another one.
    fn name(&mut self) -> String {
        let name = format!("{}-{}", self.token, self.next);
        self.next += 1;
        name
    }

    /// Takes over a stored intent of an earlier holder, who may have asked for
    /// it or may yet. Returns the machines that are to go. A record that
    /// cannot be read is left where it is.
    pub fn load(&mut self, key: &str, stored: &Value, wall: WallTime) -> Vec<MachineId> {
        let rest = key
            .strip_prefix(LEADER_RECORDS)
            .and_then(|k| k.split_once('/'));
        match rest {
            Some(("h", name)) if failpoints::enforced(SafetyCheck::HiresAreRepeated) => {
                if let Ok(record) = ProvisionRecord::deserialize(stored) {
                    let age = TimeSpan::millis(wall.0.saturating_sub(record.t.0));
                    if age > STALE.max(TimeSpan(self.list_lag.0 * 4)) {
                        self.pending_writes.delete(key.into());
                    } else {
                        let (rent, stage) = (record.r, Stage::Doubtful);
                        self.provisions
                            .insert(name.into(), ProvisionIntent { rent, stage });
                    }
                }
                Vec::new()
            }
            Some(("x", name)) if failpoints::enforced(SafetyCheck::ReleasesStand) => {
                let Ok(record) = TerminationRecord::deserialize(stored) else {
                    return Vec::new();
                };
                let machines: Vec<MachineId> = record.w.into_values().flatten().collect();
                for m in &machines {
                    self.going.insert(m.clone(), None);
                }
                let release = Release {
                    machines: machines.clone(),
                    stored: true,
                    asked: true,
                    answered: None,
                };
                self.releases.insert(name.into(), release);
                machines
            }
            _ => Vec::new(),
        }
    }

    /// An intent is stored: it may be acted on.
    pub fn stored(&mut self, key: &str) {
        let rest = key
            .strip_prefix(LEADER_RECORDS)
            .and_then(|k| k.split_once('/'));
        match rest {
            Some(("h", name)) => {
                if let Some(h) = self.provisions.get_mut(name)
                    && h.stage == Stage::Decided
                {
                    h.stage = Stage::Stored;
                }
            }
            Some(("x", name)) => {
                if let Some(r) = self.releases.get_mut(name) {
                    r.stored = true;
                }
            }
            _ => {}
        }
    }

    /// Decides to hire machines, at most [`MOST_RENTED`].
    pub fn provision(&mut self, (kind, zone, spot): CapacityPool, count: u32, wall: WallTime) {
        let name = self.name();
        let rent = ProvisionRequest {
            request: name.clone(),
            kind,
            zone,
            spot,
            count: count.clamp(1, MOST_RENTED),
        };
        let r = rent.clone();
        self.pending_writes
            .put(provision_key(&name), value(&ProvisionRecord { r, t: wall }));
        let stage = Stage::Decided;
        self.provisions
            .insert(name, ProvisionIntent { rent, stage });
    }

    fn unfilled(&self) -> impl Iterator<Item = &ProvisionIntent> {
        let all = self.provisions.values();
        all.filter(|h| !matches!(h.stage, Stage::Filled(..)))
    }

    /// Whether the answer to a hire is still to come.
    pub fn is_provisioning(&self) -> bool {
        self.unfilled().next().is_some()
    }

    /// Whether more hires may be decided: once all there are have been asked
    /// for. Calls to the cloud are scarce; what is wanted meanwhile is grouped.
    pub fn may_provision(&self) -> bool {
        let unasked = |h: &ProvisionIntent| matches!(h.stage, Stage::Decided | Stage::Stored);
        !self.unfilled().any(unasked)
    }

    /// A hire is being asked for.
    pub fn provision_asked(&mut self, name: &str) {
        if let Some(h) = self.provisions.get_mut(name)
            && matches!(h.stage, Stage::Decided | Stage::Stored)
        {
            h.stage = Stage::Asked;
        }
    }

    /// The hires whose answer is still to come.
    pub fn coming(&self) -> impl Iterator<Item = &ProvisionRequest> {
        self.unfilled().map(|h| &h.rent)
    }

    /// The next hire to ask for, those that may have been asked for first.
    pub fn next_provision(&self) -> Option<ProvisionRequest> {
        let ready = |h: &&ProvisionIntent| {
            h.stage != Stage::Decided || !failpoints::enforced(SafetyCheck::IntentBeforeAct)
        };
        let next = self.unfilled().filter(ready);
        next.min_by_key(|h| h.stage != Stage::Doubtful)
            .map(|h| h.rent.clone())
    }

    /// A hire was asked for and not answered.
    pub fn provision_lost(&mut self, name: &str) {
        if let Some(h) = self.provisions.get_mut(name) {
            h.stage = Stage::Doubtful;
        }
    }

    fn settle(&mut self, name: &str) {
        if self.provisions.remove(name).is_some() {
            self.pending_writes.delete(provision_key(name));
        }
    }

    /// A hire was refused and not carried out. One that may have been asked
    /// for before keeps its name.
    pub fn provision_refused(&mut self, name: &str) {
        if self
            .provisions
            .get(name)
            .is_some_and(|h| h.stage != Stage::Doubtful)
        {
            self.settle(name);
        }
    }

    /// There is no room for a hire, nor for others of its market that nobody
    /// has asked for.
    pub fn no_room(&mut self, name: &str) {
        let Some(ProvisionRequest {
            kind, zone, spot, ..
        }) = self.provisions.get(name).map(|h| h.rent.clone())
        else {
            return;
        };
        let alike = |h: &ProvisionIntent| {
            let r = &h.rent;
            (&r.kind, &r.zone, r.spot) == (&kind, &zone, spot)
                && matches!(h.stage, Stage::Decided | Stage::Stored)
        };
        let all = self.provisions.iter().filter(|(_, h)| alike(h));
        let others: Vec<String> = all.map(|(n, _)| n.clone()).collect();
        others.iter().for_each(|n| self.settle(n));
        self.settle(name);
    }

    /// A hire was answered with these machines. Its name is kept until all of
    /// them were heard of, so that a successor can ask for them.
    pub fn filled(&mut self, name: &str, machines: &[MachineId], now: Time) {
        if let Some(h) = self.provisions.get_mut(name) {
            h.stage = Stage::Filled(now, machines.iter().cloned().collect());
        }
    }

    /// Whether one more release may be decided: once all there are have been
    /// asked for. What is to go meanwhile is grouped, as calls and writes are
    /// scarce; work that waits for the proof is not kept waiting so long.
    pub fn may_release(&self, presses: bool) -> bool {
        let unasked = self.releases.values().filter(|r| !r.asked);
        unasked.count() < if presses { MOST_UNASKED } else { 1 }
    }

    /// The release of these machines is being asked for.
    pub fn release_asked(&mut self, machines: &[MachineId]) {
        for r in self.releases.values_mut() {
            r.asked |= r.machines.iter().any(|m| machines.contains(m));
        }
    }

    /// Decides to release machines, each with why, as many as one record
    /// holds. There is no way back.
    pub fn release(
        &mut self,
        machines: impl Iterator<Item = (MachineId, &'static str)>,
        wall: WallTime,
    ) {
        let mut w: BTreeMap<String, Vec<MachineId>> = BTreeMap::new();
        let (mut names, mut bytes) = (Vec::new(), 64);
        for (m, why) in machines {
            bytes += m.as_str().len() + 4;
            if !w.contains_key(why) {
                bytes += why.len() + 8;
            }
            if names.len() >= MOST_RELEASED || bytes > self.value_bytes {
                break;
            }
            w.entry(why.into()).or_default().push(m.clone());
            self.going.insert(m.clone(), None);
            names.push(m);
        }
        if names.is_empty() {
            return;
        }
        let name = self.name();
        self.pending_writes
            .put(release_key(&name), value(&TerminationRecord { t: wall, w }));
        let release = Release {
            machines: names,
            stored: false,
            asked: false,
            answered: None,
        };
        self.releases.insert(name, release);
    }

    /// Machines to ask the release of next.
    pub fn next_release(&self) -> Vec<MachineId> {
        let ready = |r: &&Release| {
            r.answered.is_none()
                && (r.stored || !failpoints::enforced(SafetyCheck::IntentBeforeAct))
        };
        let open = self.releases.values().filter(ready);
        let names = open.flat_map(|r| &r.machines).filter(|m| !self.is_gone(m));
        names.take(MOST_RELEASED).cloned().collect()
    }

    /// A release was answered: these machines are gone.
    pub fn released(&mut self, machines: &[MachineId], now: Time) {
        for m in machines {
            self.going.insert(m.clone(), Some(now));
        }
        let going = &self.going;
        let gone = |m: &MachineId| matches!(going.get(m), Some(Some(_)));
        for r in self.releases.values_mut() {
            if r.answered.is_none() && r.machines.iter().all(gone) {
                r.answered = Some(now);
            }
        }
    }

    /// Whether a machine is to go, whoever decided it.
    pub fn is_leaving(&self, m: &MachineId) -> bool {
        self.going.contains_key(m)
    }

    /// Whether a machine was released not long ago, so that a list or report
    /// that has it is old.
    pub fn is_gone(&self, m: &MachineId) -> bool {
        matches!(self.going.get(m), Some(Some(_)))
    }

    /// Settles what nobody needs any more: hires whose machines were all heard
    /// of, by list or report, and releases that no list can contradict.
    pub fn tend(&mut self, now: Time, heard: impl Fn(&MachineId) -> bool) {
        let listed = TimeSpan(self.list_lag.0 * 3);
        let going = &self.going;
        let mut over = Vec::new();
        for (name, h) in &mut self.provisions {
            if let Stage::Filled(at, missing) = &mut h.stage {
                missing.retain(|m| !heard(m) && !going.contains_key(m));
                if missing.is_empty() || now.since(*at) > listed {
                    over.push(name.clone());
                }
            }
        }
        over.iter().for_each(|n| self.settle(n));
        let old = |t: Time| now.since(t) > listed + KEPT;
        let over: Vec<String> = self
            .releases
            .iter()
            .filter(|(_, r)| r.answered.is_some_and(old))
            .map(|(n, _)| n.clone())
            .collect();
        for name in over {
            let machines = self.releases.remove(&name).map(|r| r.machines);
            for m in machines.into_iter().flatten() {
                self.going.remove(&m);
            }
            self.pending_writes.delete(release_key(&name));
        }
    }

    /// Open hires, open releases and machines to go, for operators.
    pub fn open(&self) -> [usize; 3] {
        let releases = self.releases.values().filter(|r| r.answered.is_none());
        let going = self.going.values().filter(|t| t.is_none());
        [self.unfilled().count(), releases.count(), going.count()]
    }

    /// Machines hired that were not heard of yet, for tests.
    pub fn unheard(&self) -> BTreeSet<MachineId> {
        let all = self.provisions.values().filter_map(|h| match &h.stage {
            Stage::Filled(_, missing) => Some(missing),
            _ => None,
        });
        all.flatten().cloned().collect()
    }
}
