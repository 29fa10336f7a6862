//! The level in force: whether this node can serve it, and raising it.

use super::{Node, PendingCall};
use crate::core::format_version::member_versions::NotServing;
use crate::core::format_version::{FENCED, FormatVersion};
use crate::core::{Reply, Target};
use crate::types::{NodeId, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Precondition, Transaction, TransactionResponse};

/// How long a commit that changes the level may take.
const LIMIT: TimeSpan = TimeSpan::millis(2000);

impl Node {
    /// Why this node does nothing for users, workers and peers, if so.
    pub(super) fn refused(&self) -> Option<NotServing> {
        self.election.member_versions.check_serving().err()
    }

    fn labels(&self) -> Vec<NodeId> {
        let peers = self.settings.peers.iter();
        peers.map(|p| p.node_id.clone()).collect()
    }

    fn highest(&self) -> FormatVersion {
        FormatVersion(self.policy.highest_level as u32)
    }

    /// Logs why this node does not serve and, as the leader, raises the level once
    /// all have the next one, one step at a time.
    pub(super) fn see_to_levels(&mut self) {
        let refused = self.refused();
        if refused != self.refusing {
            if let Some(
                why @ (NotServing::UnsupportedVersion(..) | NotServing::UnreadableVersion),
            ) = &refused
            {
                tracing::error!(%why, "does not serve");
            }
            self.refusing = refused;
        }
        let other = self.election.member_versions.differing_policy();
        if other.is_some() != std::mem::replace(&mut self.policies, other.is_some()) {
            match other {
                Some((node, policy)) => tracing::warn!(%node, ?policy, "runs under another policy"),
                None => tracing::info!("all run under one policy"),
            }
        }
        let (peers, highest) = (self.labels(), self.highest());
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            self.raising = false;
            return;
        };
        leader.level = self.election.member_versions.active_version();
        if self.raising {
            return;
        }
        let (holder, token) = (leader.holder, leader.token);
        let now = self.effects.now.time;
        let registry = &self.election.member_versions;
        let (txn, to) = match registry.next_activation(now, &peers, highest) {
            Ok(rise) if rise.to == FENCED => {
                tracing::info!(to = %rise.to, "all have it: raises the level");
                return self
                    .election
                    .activate_as_leader(&mut self.effects, token, rise);
            }
            Ok(rise) => {
                tracing::info!(to = %rise.to, "all have it: raises the level");
                let (conditions, ops) = (rise.conditions, rise.ops);
                (Transaction { conditions, ops }, Some(rise.to))
            }
            Err(_) if leader.is_rewritten() => match registry.rewrite_completion() {
                Some(txn) => (txn, None),
                None => return,
            },
            Err(_) => return,
        };
        let mut txn = txn;
        txn.conditions.push(Precondition {
            key: holder.into(),
            version: Version(token.0),
        });
        let body = wire::encode(&txn);
        let call = self
            .effects
            .call(Target::State, "POST", "/commit".into(), body, LIMIT);
        self.pending_calls.add(call, PendingCall::FormatVersion(to));
        self.raising = true;
    }

    /// The level was raised, or not. If nobody can tell, the watch does.
    pub(super) fn on_level(&mut self, to: Option<FormatVersion>, reply: &Reply) {
        self.raising = false;
        if let Reply::Answer(200, body) = reply
            && let Some(r) = wire::decode::<TransactionResponse>(body)
            && let Some(to) = to
        {
            self.election.member_versions.activated(to, r.revision);
            if let Some(leader) = &mut self.leader {
                leader.level = to;
            }
        }
    }

    pub(super) fn inspect_levels(&self) -> serde_json::Value {
        let now = self.effects.now.time;
        let registry = &self.election.member_versions;
        registry.inspect(now, &self.labels(), self.highest())
    }
}
