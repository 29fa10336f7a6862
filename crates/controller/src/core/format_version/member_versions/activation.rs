//! The conditions for activating the next format version: every controller has run a
//! build that supports it for a while, and all stored records were rewritten.

use super::MemberVersions;
use super::records::{ACTIVE_VERSION_KEY, REWRITTEN_VERSION_KEY, member_key, put_version};
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::format_version::{FENCED, FormatVersion};
use crate::types::{NodeId, Time, TimeSpan, Version};
use crate::wire::kvstore::{Operation, Precondition};

/// How long every controller must have run a build that supports the next version: long
/// enough to distinguish a completed rollout from a process in a restart loop.
pub const MIN_PRESENCE: TimeSpan = TimeSpan::millis(10_000);

/// The activation of a format version, for the leader to commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Activation {
    /// The version to activate.
    pub to: FormatVersion,
    /// The transaction's preconditions; the leader adds the comparison of its own key.
    pub conditions: Vec<Precondition>,
    /// The transaction's writes.
    pub ops: Vec<Operation>,
}

/// Why no format version can be activated now. `/inspect` shows the text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ActivationBlocked {
    /// This controller behaves like builds without format versions.
    #[error("this node knows no levels")]
    Unversioned,
    /// This build does not support a newer version than the active one.
    #[error("level {0} is the newest of this build")]
    NewestOfBuild(FormatVersion),
    /// The policy allows no newer version.
    #[error("the policy holds it at {0} (highest_level)")]
    HeldByPolicy(FormatVersion),
    /// Stored records are still being rewritten for the active version.
    #[error("stored records get the form of level {0}")]
    RewriteUnfinished(FormatVersion),
    /// A controller's member record is absent or unreadable.
    #[error("{0} has not said which levels it serves")]
    MemberUnknown(NodeId),
    /// A controller registered a build that does not support the next version.
    #[error("{member} runs {build} (up to {high})")]
    MemberOutdated {
        /// The controller.
        member: NodeId,
        /// The build that it registered.
        build: String,
        /// The newest version that the build supports.
        high: FormatVersion,
    },
    /// A peer's heartbeats are absent, or report a build without the next version.
    #[error("{0} is not heard of, or runs an older build")]
    PeerSilentOrOutdated(NodeId),
    /// A peer has not run its build for long enough yet.
    #[error("{peer} must be there for {seconds_left} s more")]
    PeerTooRecent {
        /// The peer.
        peer: NodeId,
        /// Remaining time of the required presence, in whole seconds.
        seconds_left: f64,
    },
}

impl MemberVersions {
    /// The activation of the next format version, if all controllers support it. `peers`
    /// are all controllers except this one.
    ///
    /// # Errors
    /// The first condition that is not met.
    pub fn next_activation(
        &self,
        now: Time,
        peers: &[NodeId],
        max_version: FormatVersion,
    ) -> Result<Activation, ActivationBlocked> {
        let next = self.next_version(max_version)?;
        let mut conditions = self.fence_conditions();
        for node_id in peers.iter().chain([&self.node_id]) {
            let version = self.check_member(node_id, next)?;
            if *node_id != self.node_id {
                self.check_peer_presence(now, node_id, next)?;
            }
            if failpoints::enforced(SafetyCheck::ActivationComparesMembers) {
                conditions.push(Precondition {
                    key: member_key(node_id),
                    version,
                });
            }
        }
        let mut ops = vec![put_version(ACTIVE_VERSION_KEY, next)];
        if next == FENCED {
            ops.push(put_version(REWRITTEN_VERSION_KEY, next));
        }
        Ok(Activation {
            to: next,
            conditions,
            ops,
        })
    }

    /// The next version, if this build, the policy and the rewrite of stored records
    /// allow it.
    fn next_version(&self, max_version: FormatVersion) -> Result<FormatVersion, ActivationBlocked> {
        let supported = self.supported.ok_or(ActivationBlocked::Unversioned)?;
        let next = self.active.next();
        if !supported.contains(next) {
            return Err(ActivationBlocked::NewestOfBuild(self.active));
        }
        if next > max_version {
            return Err(ActivationBlocked::HeldByPolicy(max_version));
        }
        if self.rewritten < self.active
            && failpoints::enforced(SafetyCheck::RewrittenBeforeActivation)
        {
            return Err(ActivationBlocked::RewriteUnfinished(self.active));
        }
        Ok(next)
    }

    /// The store's version of a controller's member record, if that record supports the
    /// next format version.
    fn check_member(
        &self,
        node_id: &NodeId,
        next: FormatVersion,
    ) -> Result<Version, ActivationBlocked> {
        let member = self.members.get(node_id);
        let Some((record, version)) = member.and_then(|m| Some((m.record.as_ref()?, m.version)))
        else {
            return Err(ActivationBlocked::MemberUnknown(node_id.clone()));
        };
        if !record.levels.contains(next) {
            return Err(ActivationBlocked::MemberOutdated {
                member: node_id.clone(),
                build: record.build.clone(),
                high: record.levels.high,
            });
        }
        Ok(version)
    }

    /// Whether a peer has reported for long enough that it runs a build with the next
    /// version.
    fn check_peer_presence(
        &self,
        now: Time,
        peer: &NodeId,
        next: FormatVersion,
    ) -> Result<(), ActivationBlocked> {
        let known = self.peer_builds.get(peer).filter(|known| {
            known.build.high >= next.0 && known.build.low <= next.0 && known.is_fresh(now)
        });
        let Some(known) = known else {
            return Err(ActivationBlocked::PeerSilentOrOutdated(peer.clone()));
        };
        let presence = now.since(known.since);
        if presence < MIN_PRESENCE {
            let seconds_left = (MIN_PRESENCE.as_secs() - presence.as_secs()).ceil();
            return Err(ActivationBlocked::PeerTooRecent {
                peer: peer.clone(),
                seconds_left,
            });
        }
        Ok(())
    }
}
