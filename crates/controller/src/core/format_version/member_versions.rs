//! What a node knows of the level in force and of the controllers' builds, and what
//! follows from it.
//!
//! | key | value | life |
//! | --- | --- | --- |
//! | `w/leader/level` | the level in force | for good |
//! | `w/leader/done` | up to which level all that is stored has its form | for good |
//! | `w/leader/at/NODE` | the range, build and policy of a node | until its next build |
//!
//! They stand below the leader's key, so the watch that follows it brings their
//! changes: nothing more is asked for.

use super::{FENCED, FormatVersion, SupportedVersions, UNVERSIONED};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{NodeId, Time, TimeSpan, Version};
use crate::wire::kvstore::{Entry, Operation, Precondition, Transaction, WatchEvent};
use crate::wire::peers::BuildInfo;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// What all of these keys begin with.
pub const PREFIX: &str = "w/leader";
/// The leader's key before [`FENCED`], and what stands in its place since.
pub const LEGACY_LEADER_KEY: &str = "w/leader";
/// The leader's key from [`FENCED`] on.
pub const LEADER_KEY: &str = "w/leader/holder";
/// The level in force.
pub const ACTIVE_VERSION_KEY: &str = "w/leader/level";
/// Up to which level everything stored has its form.
pub const DONE: &str = "w/leader/done";
const MEMBER_PREFIX: &str = "w/leader/at/";

/// How long every controller must have been there with the next level.
pub const STEADY: TimeSpan = TimeSpan::millis(10_000);
/// What a controller has not said again for so long does not count.
const LATELY: TimeSpan = TimeSpan::millis(3500);

/// The build of this program.
pub const BUILD: &str = match option_env!("PEBBLEFOLD_BUILD") {
    Some(build) => build,
    None => env!("CARGO_PKG_VERSION"),
};

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct ActiveVersionRecord {
    level: FormatVersion,
}

/// What a node wrote about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The levels it serves.
    pub levels: SupportedVersions,
    /// Its build.
    pub build: String,
    /// Where its policy differs from the default.
    #[serde(default)]
    pub policy: BTreeMap<String, f64>,
    /// Tells this life of its process from every other one. Each writes its own word:
    /// one that took an equal word of an earlier life for its own could have it
    /// written over by what that life sent last, and be passed over by a rise.
    #[serde(default)]
    pub life: u64,
}

/// Why a node does nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServing {
    /// The level in force was not read yet.
    #[error("the level in force is not known yet")]
    Unknown,
    /// What it wrote about itself is not stored yet.
    #[error("this node's levels are not stored yet")]
    Unregistered,
    /// The level in force is beyond this build.
    #[error("level {0} is in force and this build serves {low} to {high}: start a newer one", low = .1.low, high = .1.high)]
    Beyond(FormatVersion, SupportedVersions),
    /// The level in force cannot be read.
    #[error(
        "{ACTIVE_VERSION_KEY}: field level: not a level; nothing is changed until it can be read"
    )]
    Damaged,
}

/// What a node knows.
#[derive(Clone, Debug)]
pub struct MemberVersions {
    own: NodeId,
    /// None: as a build that knows no levels.
    range: Option<SupportedVersions>,
    record: Option<MemberRecord>,
    read: bool,
    /// Whether the level in force was ever read well.
    good: bool,
    damaged: bool,
    force: FormatVersion,
    force_version: Version,
    done: FormatVersion,
    members: BTreeMap<NodeId, (Option<MemberRecord>, Version)>,
    /// What nodes said last and in which life, and since when.
    told: BTreeMap<NodeId, (BuildInfo, Time, Time)>,
}

fn value<T: Serialize>(v: &T) -> Value {
    serde_json::to_value(v).unwrap_or(Value::Null)
}

fn level_of(v: &Value) -> Option<FormatVersion> {
    ActiveVersionRecord::deserialize(v).ok().map(|f| f.level)
}

fn member_key(node_id: &NodeId) -> String {
    format!("{MEMBER_PREFIX}{node_id}")
}

fn put(key: String, v: Value) -> Operation {
    let (value, lease) = (v, None);
    Operation::Put { key, value, lease }
}

impl MemberVersions {
    /// Nothing known yet. `range`: `None` for a node that behaves as builds did that
    /// knew no levels.
    pub fn new(
        own: NodeId,
        range: Option<SupportedVersions>,
        policy: BTreeMap<String, f64>,
        life: u64,
    ) -> MemberVersions {
        let build = BUILD.to_string();
        let record = range.map(|levels| MemberRecord {
            levels,
            build,
            policy,
            life,
        });
        MemberVersions {
            own,
            range,
            record,
            read: false,
            good: false,
            damaged: false,
            force: UNVERSIONED,
            force_version: Version(0),
            done: UNVERSIONED,
            members: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    /// All keys that begin with [`PREFIX`], as read at once.
    pub fn load(&mut self, entries: &[Entry]) {
        (self.force_version, self.damaged) = (Version(0), false);
        self.good |= !entries.iter().any(|e| e.key == ACTIVE_VERSION_KEY);
        self.members.clear();
        for e in entries {
            self.note(&e.key, Some(&e.value), e.version);
        }
        self.read = true;
    }

    /// A change that a watch told.
    pub fn apply(&mut self, change: &WatchEvent) {
        if let Some(key) = &change.put {
            self.note(key, Some(&change.value), change.version);
        } else if let Some(key) = &change.delete {
            self.note(key, None, change.version);
        }
    }

    fn note(&mut self, key: &str, stored: Option<&Value>, version: Version) {
        if key == ACTIVE_VERSION_KEY {
            self.force_version = stored.map_or(Version(0), |_| version);
            match stored.and_then(level_of) {
                // It never falls, whatever a late word says.
                Some(level) if level >= self.force => {
                    if self.read && level > self.force {
                        tracing::info!(%level, name = level.name(), "level in force");
                    }
                    (self.force, self.good, self.damaged) = (level, true, false);
                }
                _ => {
                    tracing::error!(
                        key = ACTIVE_VERSION_KEY,
                        field = "level",
                        "cannot be read; mend it by hand"
                    );
                    // A node that knew the level goes on by it.
                    self.damaged = !self.good;
                }
            }
        } else if key == DONE {
            self.done = stored
                .and_then(level_of)
                .unwrap_or(UNVERSIONED)
                .max(self.done);
        } else if let Some(node_id) = key.strip_prefix(MEMBER_PREFIX) {
            match stored {
                Some(v) => {
                    let member = MemberRecord::deserialize(v).ok();
                    if member.is_none() {
                        tracing::error!(key, "cannot be read; no level rises until it can");
                    }
                    self.members.insert(node_id.into(), (member, version));
                }
                None => {
                    self.members.remove(&NodeId::from(node_id));
                }
            }
        }
    }

    /// The level in force.
    pub fn level(&self) -> FormatVersion {
        if self.range.is_none() {
            return UNVERSIONED;
        }
        self.force
    }

    /// Where the leader's key is.
    pub fn holder_key(&self) -> &'static str {
        if self.level() >= FENCED {
            LEADER_KEY
        } else {
            LEGACY_LEADER_KEY
        }
    }

    /// The version of the level's key, which every write compares whose form
    /// depends on the level.
    pub fn fence(&self) -> Option<Version> {
        let compares =
            self.range.is_some() && failpoints::enforced(SafetyCheck::WritesCompareTheLevel);
        compares.then_some(self.force_version)
    }

    fn fenced(&self) -> Vec<Precondition> {
        self.fence().map(fence).into_iter().collect()
    }

    /// Whether this node may act, and why not.
    pub fn serves(&self) -> Result<(), NotServing> {
        let (Some(range), Some(record)) = (self.range, &self.record) else {
            return Ok(());
        };
        if !self.read {
            return Err(NotServing::Unknown);
        }
        if self.damaged {
            return Err(NotServing::Damaged);
        }
        if !range.has(self.force) {
            return Err(NotServing::Beyond(self.force, range));
        }
        // A rise compares what each node wrote: one that has not written yet what
        // it is now could be passed over.
        let stored = self.members.get(&self.own).and_then(|(m, _)| m.as_ref());
        let enough = match failpoints::enforced(SafetyCheck::EachLifeRegisters) {
            true => stored == Some(record),
            false => stored.is_some_and(|m| m.levels == record.levels),
        };
        if !enough && failpoints::enforced(SafetyCheck::RegisterBeforeActing) {
            return Err(NotServing::Unregistered);
        }
        Ok(())
    }

    /// What this node is to write about itself before it does anything.
    pub fn registration(&self) -> Option<Transaction> {
        let record = self.record.as_ref().filter(|_| self.read)?;
        let (stored, version) = match self.members.get(&self.own) {
            Some((m, v)) => (m.as_ref(), *v),
            None => (None, Version(0)),
        };
        let serves = self.range.is_some_and(|r| r.has(self.force));
        if stored == Some(record) || !serves || self.damaged {
            return None;
        }
        let key = member_key(&self.own);
        let own = Precondition {
            key: key.clone(),
            version,
        };
        Some(Transaction {
            conditions: self.fenced().into_iter().chain([own]).collect(),
            ops: vec![put(key, value(record))],
        })
    }

    /// Its registration is stored.
    pub fn registered(&mut self, version: Version) {
        let own = (self.record.clone(), version);
        self.members.insert(self.own.clone(), own);
    }

    /// What this node says in greetings.
    pub fn tell(&self) -> Option<BuildInfo> {
        let record = self.record.as_ref()?;
        Some(BuildInfo {
            low: record.levels.low.0,
            high: record.levels.high.0,
            build: record.build.clone(),
            life: record.life,
        })
    }

    /// What a peer said of itself; `None`: it knows no levels.
    pub fn heard(&mut self, now: Time, node_id: &NodeId, told: Option<BuildInfo>) {
        let Some(told) = told else {
            self.told.remove(node_id);
            return;
        };
        match self.told.get_mut(node_id) {
            Some((same, _, last)) if *same == told && now.since(*last) < LATELY => *last = now,
            _ => {
                self.told.insert(node_id.clone(), (told, now, now));
            }
        }
    }

    /// Whether nobody has ever stored anything but what nodes say of themselves:
    /// there is nothing that a build without levels could misread.
    pub fn is_virgin(&self, revision: Version, keys: usize) -> bool {
        self.range.is_some_and(|r| r.has(FENCED))
            && self.force_version == Version(0)
            && revision.0 == keys as u64
            && self.members.len() == keys
    }

    /// What the commit takes along that begins a store at [`FENCED`].
    pub fn begin(&self) -> Vec<Operation> {
        let level = FENCED;
        vec![
            put(LEGACY_LEADER_KEY.into(), stone()),
            put(
                ACTIVE_VERSION_KEY.into(),
                value(&ActiveVersionRecord { level }),
            ),
            put(DONE.into(), value(&ActiveVersionRecord { level })),
        ]
    }

    /// The next level, if all have it: the conditions and changes of its commit, to
    /// which the holder adds that it is one. Otherwise what is waited for.
    pub fn rise(
        &self,
        now: Time,
        peers: &[NodeId],
        highest: FormatVersion,
    ) -> Result<Activation, String> {
        let range = self.range.ok_or("this node knows no levels")?;
        let next = self.force.next();
        if !range.has(next) {
            return Err(format!("level {} is the newest of this build", self.force));
        }
        if next > highest {
            return Err(format!("the policy holds it at {highest} (highest_level)"));
        }
        if self.done < self.force && failpoints::enforced(SafetyCheck::RewrittenBeforeNext) {
            return Err(format!(
                "stored records get the form of level {}",
                self.force
            ));
        }
        let mut conditions = self.fenced();
        for node_id in peers.iter().chain([&self.own]) {
            let Some((Some(member), version)) = self.members.get(node_id) else {
                return Err(format!("{node_id} has not said which levels it serves"));
            };
            if !member.levels.has(next) {
                let high = member.levels.high;
                return Err(format!("{node_id} runs {} (up to {high})", member.build));
            }
            if *node_id != self.own {
                let there = self.told.get(node_id).filter(|(told, _, last)| {
                    told.high >= next.0 && told.low <= next.0 && now.since(*last) < LATELY
                });
                let Some((_, since, _)) = there else {
                    return Err(format!("{node_id} is not heard of, or runs an older build"));
                };
                let been = now.since(*since);
                if been < STEADY {
                    let left = (STEADY.as_secs() - been.as_secs()).ceil();
                    return Err(format!("{node_id} must be there for {left} s more"));
                }
            }
            if failpoints::enforced(SafetyCheck::RiseComparesMembers) {
                conditions.push(Precondition {
                    key: member_key(node_id),
                    version: *version,
                });
            }
        }
        let mut ops = vec![put(
            ACTIVE_VERSION_KEY.into(),
            value(&ActiveVersionRecord { level: next }),
        )];
        if next == FENCED {
            ops.push(put(
                DONE.into(),
                value(&ActiveVersionRecord { level: next }),
            ));
        }
        Ok(Activation {
            to: next,
            conditions,
            ops,
        })
    }

    /// This node's own commit raised the level, at this version.
    pub fn risen(&mut self, level: FormatVersion, version: Version) {
        tracing::info!(%level, name = level.name(), "level in force, raised by this node");
        (self.force, self.force_version) = (level, version);
        if level == FENCED {
            self.done = level;
        }
    }

    /// What says that everything stored has the form of the level in force, if that
    /// was not said yet.
    pub fn rewritten(&self) -> Option<Transaction> {
        let due = self.range.is_some() && self.done < self.force;
        due.then(|| Transaction {
            conditions: self.fenced(),
            ops: vec![put(
                DONE.into(),
                value(&ActiveVersionRecord { level: self.force }),
            )],
        })
    }

    /// Up to which level all that is stored has its form.
    pub fn done(&self) -> FormatVersion {
        self.done
    }

    /// A node that runs under another policy than this one, and where that differs
    /// from the default.
    pub fn other_policy(&self) -> Option<(&NodeId, &BTreeMap<String, f64>)> {
        let own = &self.record.as_ref()?.policy;
        let said = self.members.iter();
        let said = said.filter_map(|(node_id, (m, _))| Some((node_id, &m.as_ref()?.policy)));
        said.into_iter().find(|(_, policy)| *policy != own)
    }

    /// What the nodes run and what is waited for, for operators.
    pub fn inspect(&self, now: Time, peers: &[NodeId], highest: FormatVersion) -> Value {
        let nodes: Vec<Value> = peers
            .iter()
            .chain([&self.own])
            .map(|node_id| {
                let member = self.members.get(node_id).and_then(|(m, _)| m.as_ref());
                let told = self.told.get(node_id);
                serde_json::json!({
                    "node": node_id, "build": member.map(|m| &m.build),
                    "levels": member.map(|m| [m.levels.low, m.levels.high]),
                    "policy": member.map(|m| &m.policy),
                    "there_s": told.map(|(_, since, _)| now.since(*since).as_secs()),
                    "says": told.map(|(t, ..)| [t.low, t.high]),
                })
            })
            .collect();
        serde_json::json!({
            "in_force": self.level(), "name": self.level().name(), "rewritten": self.done,
            "serves": self.serves().err().map_or("yes".into(), |e| format!("no: {e}")),
            "waits_for": self.rise(now, peers, highest).err(),
            "one_policy": self.other_policy().is_none(), "nodes": nodes,
        })
    }
}

/// Compares the level in force.
pub fn fence(version: Version) -> Precondition {
    Precondition {
        key: ACTIVE_VERSION_KEY.into(),
        version,
    }
}

/// A step up, to be committed by the holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Activation {
    /// The level.
    pub to: FormatVersion,
    /// What it compares.
    pub conditions: Vec<Precondition>,
    /// What it changes.
    pub ops: Vec<Operation>,
}

/// What stands in the place of the leader's key from [`FENCED`] on. Builds without
/// levels find a key that names nobody, and follow it for ever.
pub fn stone() -> Value {
    serde_json::json!({ "since": FENCED, "see": LEADER_KEY })
}

#[cfg(test)]
mod tests;
