//! One controller's view of the active format version and of the versions that each
//! controller supports. From this view follows whether this controller may serve, and
//! which record it must register first. This module sends nothing.
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `w/leader/level` | the active format version | permanent |
//! | `w/leader/done` | the version up to which all stored records were rewritten | permanent |
//! | `w/leader/at/NODE` | supported versions, build and policy of a controller | until its next process registers |
//!
//! These keys share the prefix of the leader's key, so the watch of the leader's key
//! also receives their changes, and no further read is needed.

mod activation;
mod inspect;
mod peer_builds;
mod records;

pub use activation::{Activation, ActivationBlocked};
pub use records::{
    ACTIVE_VERSION_KEY, BUILD, LEADER_KEY, LEGACY_LEADER_KEY, MemberRecord, PREFIX,
    REWRITTEN_VERSION_KEY, legacy_leader_tombstone, version_precondition,
};

use super::{FENCED, FormatVersion, SupportedVersions, UNVERSIONED};
use crate::core::failpoints::{self, SafetyCheck};
use crate::types::{NodeId, Time, Version};
use crate::wire::kvstore::{Entry, Operation, Precondition, Transaction, WatchEvent};
use crate::wire::peers::BuildInfo;
use peer_builds::PeerBuilds;
use records::{MEMBER_PREFIX, decode_version, member_key, put, put_version, to_value};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Why a controller does not serve.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServing {
    /// The active format version has not been read yet.
    #[error("the level in force is not known yet")]
    VersionUnknown,
    /// This controller's member record is not stored yet.
    #[error("this node's levels are not stored yet")]
    Unregistered,
    /// The active format version is not among those that this build supports.
    #[error("level {0} is in force and this build serves {low} to {high}: start a newer one", low = .1.low, high = .1.high)]
    UnsupportedVersion(FormatVersion, SupportedVersions),
    /// The record of the active format version cannot be decoded.
    #[error(
        "{ACTIVE_VERSION_KEY}: field level: not a level; nothing is changed until it can be read"
    )]
    UnreadableVersion,
}

/// A controller's member record as stored.
#[derive(Clone, Debug)]
struct StoredMember {
    /// `None` if the value cannot be decoded.
    record: Option<MemberRecord>,
    /// The version of the record's key in the store.
    version: Version,
}

/// The active format version, and the versions that the controllers support.
#[derive(Clone, Debug)]
pub struct MemberVersions {
    node_id: NodeId,
    /// `None`: this controller behaves like builds before [`FENCED`], which have no
    /// format versions.
    supported: Option<SupportedVersions>,
    /// The member record that this process is to store.
    own_record: Option<MemberRecord>,
    /// Whether all keys below [`PREFIX`] have been read.
    is_loaded: bool,
    /// Whether the active version was ever decoded, or its key found absent.
    was_readable: bool,
    /// Whether the active version cannot be decoded and never could.
    is_unreadable: bool,
    active: FormatVersion,
    /// The version of the active version's key in the store; 0: the key does not exist.
    active_key_version: Version,
    /// The version up to which all stored records were rewritten.
    rewritten: FormatVersion,
    members: BTreeMap<NodeId, StoredMember>,
    peer_builds: PeerBuilds,
}

impl MemberVersions {
    /// The state of a process that has not read any key yet. `supported` is `None` for a
    /// controller that behaves like builds without format versions; `policy` lists where
    /// the policy differs from the default; `life` identifies this process among those
    /// that have run under the same node id.
    pub fn new(
        node_id: NodeId,
        supported: Option<SupportedVersions>,
        policy: BTreeMap<String, f64>,
        life: u64,
    ) -> MemberVersions {
        let own_record = supported.map(|levels| MemberRecord {
            levels,
            build: BUILD.to_string(),
            policy,
            life,
        });
        MemberVersions {
            node_id,
            supported,
            own_record,
            is_loaded: false,
            was_readable: false,
            is_unreadable: false,
            active: UNVERSIONED,
            active_key_version: Version(0),
            rewritten: UNVERSIONED,
            members: BTreeMap::new(),
            peer_builds: PeerBuilds::default(),
        }
    }

    /// Replaces this view by the result of one read of all keys that begin with
    /// [`PREFIX`].
    pub fn load(&mut self, entries: &[Entry]) {
        self.active_key_version = Version(0);
        self.is_unreadable = false;
        self.was_readable |= !entries.iter().any(|e| e.key == ACTIVE_VERSION_KEY);
        self.members.clear();
        for entry in entries {
            self.apply_key(&entry.key, Some(&entry.value), entry.version);
        }
        self.is_loaded = true;
    }

    /// Applies a change received from a watch. Ignores other keys, such as the leader's.
    pub fn apply(&mut self, event: &WatchEvent) {
        if let Some(key) = &event.put {
            self.apply_key(key, Some(&event.value), event.version);
        } else if let Some(key) = &event.delete {
            self.apply_key(key, None, event.version);
        }
    }

    fn apply_key(&mut self, key: &str, stored: Option<&Value>, version: Version) {
        if key == ACTIVE_VERSION_KEY {
            self.apply_active_version(stored, version);
        } else if key == REWRITTEN_VERSION_KEY {
            let rewritten = stored.and_then(decode_version).unwrap_or(UNVERSIONED);
            self.rewritten = rewritten.max(self.rewritten);
        } else if let Some(node_id) = key.strip_prefix(MEMBER_PREFIX) {
            self.apply_member(node_id, stored, version);
        }
    }

    fn apply_active_version(&mut self, stored: Option<&Value>, version: Version) {
        self.active_key_version = stored.map_or(Version(0), |_| version);
        match stored.and_then(decode_version) {
            // The active version never decreases; a late change may be older than it.
            Some(active) if active >= self.active => {
                if self.is_loaded && active > self.active {
                    tracing::info!(version = %active, name = active.name(), "format version active");
                }
                self.active = active;
                self.was_readable = true;
                self.is_unreadable = false;
            }
            _ => {
                tracing::error!(
                    key = ACTIVE_VERSION_KEY,
                    field = "level",
                    "active format version unreadable; repair the key by hand"
                );
                // A controller that has read the version before keeps using it.
                self.is_unreadable = !self.was_readable;
            }
        }
    }

    fn apply_member(&mut self, node_id: &str, stored: Option<&Value>, version: Version) {
        let Some(value) = stored else {
            self.members.remove(&NodeId::from(node_id));
            return;
        };
        let record = MemberRecord::deserialize(value).ok();
        if record.is_none() {
            tracing::error!(
                node = node_id,
                "member record unreadable; no format version is activated until it is repaired"
            );
        }
        let member = StoredMember { record, version };
        self.members.insert(node_id.into(), member);
    }

    /// The active format version; [`UNVERSIONED`] for a controller that behaves like
    /// builds without format versions.
    pub fn active_version(&self) -> FormatVersion {
        if self.supported.is_none() {
            return UNVERSIONED;
        }
        self.active
    }

    /// The version up to which all stored records were rewritten.
    pub fn rewritten_version(&self) -> FormatVersion {
        self.rewritten
    }

    /// The leader's key under the active format version.
    pub fn leader_key(&self) -> &'static str {
        if self.active_version() >= FENCED {
            LEADER_KEY
        } else {
            LEGACY_LEADER_KEY
        }
    }

    /// The version of the active version's key. Every write whose form depends on the
    /// active version compares it. `None`: writes need not compare it.
    pub fn version_fence(&self) -> Option<Version> {
        let compares = self.supported.is_some()
            && failpoints::enforced(SafetyCheck::WritesCompareFormatVersion);
        compares.then_some(self.active_key_version)
    }

    fn fence_conditions(&self) -> Vec<Precondition> {
        self.version_fence()
            .map(version_precondition)
            .into_iter()
            .collect()
    }

    /// Whether this controller may answer requests and lead.
    ///
    /// # Errors
    /// Why the controller may not.
    pub fn check_serving(&self) -> Result<(), NotServing> {
        let (Some(supported), Some(own_record)) = (self.supported, &self.own_record) else {
            return Ok(());
        };
        if !self.is_loaded {
            return Err(NotServing::VersionUnknown);
        }
        if self.is_unreadable {
            return Err(NotServing::UnreadableVersion);
        }
        if !supported.contains(self.active) {
            return Err(NotServing::UnsupportedVersion(self.active, supported));
        }
        if !self.is_registered(own_record)
            && failpoints::enforced(SafetyCheck::RegisterBeforeActing)
        {
            return Err(NotServing::Unregistered);
        }
        Ok(())
    }

    /// Whether this controller's record is stored. An activation compares each stored
    /// record, so an activation could overlook a controller whose present process has not
    /// stored its record yet.
    fn is_registered(&self, own_record: &MemberRecord) -> bool {
        let stored = self.members.get(&self.node_id);
        let stored = stored.and_then(|member| member.record.as_ref());
        if failpoints::enforced(SafetyCheck::EachProcessRegisters) {
            stored == Some(own_record)
        } else {
            stored.is_some_and(|record| record.levels == own_record.levels)
        }
    }

    /// The transaction that stores this controller's member record, if it must be
    /// stored before the controller does anything else.
    pub fn registration(&self) -> Option<Transaction> {
        let own_record = self.own_record.as_ref().filter(|_| self.is_loaded)?;
        let member = self.members.get(&self.node_id);
        let is_stored = member.is_some_and(|m| m.record.as_ref() == Some(own_record));
        let supports_active = self.supported.is_some_and(|s| s.contains(self.active));
        if is_stored || !supports_active || self.is_unreadable {
            return None;
        }
        let key = member_key(&self.node_id);
        let own_key = Precondition {
            key: key.clone(),
            version: member.map_or(Version(0), |m| m.version),
        };
        let mut conditions = self.fence_conditions();
        conditions.push(own_key);
        Some(Transaction {
            conditions,
            ops: vec![put(key, to_value(own_record))],
        })
    }

    /// Omits the policy from this controller's member record, as the key-value store
    /// refuses the whole record. The policy is informational, while a controller without a
    /// member record may not serve.
    pub fn omit_own_policy(&mut self) {
        if let Some(own_record) = &mut self.own_record {
            own_record.policy.clear();
        }
    }

    /// Records that this controller's registration was stored, at this version of its key.
    pub fn record_registration(&mut self, version: Version) {
        let member = StoredMember {
            record: self.own_record.clone(),
            version,
        };
        self.members.insert(self.node_id.clone(), member);
    }

    /// The description of this build that the controller's heartbeats to peers carry;
    /// `None` if it behaves like builds without format versions.
    pub fn own_build(&self) -> Option<BuildInfo> {
        let record = self.own_record.as_ref()?;
        Some(BuildInfo {
            low: record.levels.low.0,
            high: record.levels.high.0,
            build: record.build.clone(),
            life: record.life,
        })
    }

    /// Records the build that a peer's heartbeat reports; `None`: the peer's build has no
    /// format versions.
    pub fn record_peer_build(&mut self, now: Time, peer: &NodeId, build: Option<BuildInfo>) {
        self.peer_builds.record(now, peer, build);
    }

    /// Whether nothing but member records was ever stored. The store then holds no record
    /// that a build without format versions could misread. `keys` is the number of keys
    /// below [`PREFIX`] at this revision.
    pub fn store_is_empty(&self, revision: Version, keys: usize) -> bool {
        self.supported.is_some_and(|s| s.contains(FENCED))
            && self.active_key_version == Version(0)
            && revision.0 == keys as u64
            && self.members.len() == keys
    }

    /// The operations that initialise an empty store at [`FENCED`], in the same
    /// transaction as the claim of the leader's key.
    pub fn initial_operations(&self) -> Vec<Operation> {
        vec![
            put(LEGACY_LEADER_KEY.into(), legacy_leader_tombstone()),
            put_version(ACTIVE_VERSION_KEY, FENCED),
            put_version(REWRITTEN_VERSION_KEY, FENCED),
        ]
    }

    /// Records that a transaction of this controller activated a format version.
    /// `key_version` is the new version of the active version's key.
    pub fn record_activation(&mut self, active: FormatVersion, key_version: Version) {
        tracing::info!(version = %active, name = active.name(), "format version activated by this controller");
        self.active = active;
        self.active_key_version = key_version;
        if active == FENCED {
            self.rewritten = active;
        }
    }

    /// The transaction that records that all stored records have the form of the
    /// active version; `None` if that is already recorded.
    pub fn rewrite_completion(&self) -> Option<Transaction> {
        if self.supported.is_none() || self.rewritten >= self.active {
            return None;
        }
        Some(Transaction {
            conditions: self.fence_conditions(),
            ops: vec![put_version(REWRITTEN_VERSION_KEY, self.active)],
        })
    }

    /// The first controller whose stored policy differs from this controller's, and the
    /// settings in which that policy differs from the default.
    pub fn differing_policy(&self) -> Option<(&NodeId, &BTreeMap<String, f64>)> {
        let own = &self.own_record.as_ref()?.policy;
        let mut policies = self
            .members
            .iter()
            .filter_map(|(node_id, member)| Some((node_id, &member.record.as_ref()?.policy)));
        policies.find(|(_, policy)| *policy != own)
    }
}

#[cfg(test)]
mod tests;
