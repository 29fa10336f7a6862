//! Format versions: whether this controller supports the active one and, while this
//! controller leads, the activation of the next one.

use super::{Node, PendingCall};
use crate::core::format_version::member_versions::{Activation, NotServing};
use crate::core::format_version::{FENCED, FormatVersion};
use crate::core::{Reply, Target};
use crate::types::{FencingToken, NodeId, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{Precondition, Transaction, TransactionResponse, error_text};

/// Timeout of a transaction that activates a format version or records the completion of
/// a rewrite.
const VERSION_WRITE_TIMEOUT: TimeSpan = TimeSpan::millis(2000);

impl Node {
    /// Why this controller serves neither users nor agents nor peers; `None` if it
    /// serves.
    pub(super) fn not_serving(&self) -> Option<NotServing> {
        self.election.member_versions.check_serving().err()
    }

    fn peer_ids(&self) -> Vec<NodeId> {
        let peers = self.settings.peers.iter();
        peers.map(|peer| peer.node_id.clone()).collect()
    }

    fn max_version(&self) -> FormatVersion {
        FormatVersion(self.policy.highest_level as u32)
    }

    /// Logs changes in whether this controller serves and in whether policies differ. A
    /// loaded leader also activates the next format version once all controllers support
    /// it, one version at a time, and records when all stored records were rewritten.
    pub(super) fn advance_format_version(&mut self) {
        self.log_not_serving();
        self.log_policy_difference();
        let Some(leader) = self.leader.as_mut().filter(|l| l.is_loaded()) else {
            self.is_writing_version = false;
            return;
        };
        leader.format_version = self.election.member_versions.active_version();
        if self.is_writing_version {
            return;
        }
        let is_rewritten = leader.is_rewritten();
        let holder = Precondition {
            key: leader.leader_key.into(),
            version: Version(leader.token.0),
        };
        let token = leader.token;
        let now = self.effects.now.time;
        let (peers, max_version) = (self.peer_ids(), self.max_version());
        let versions = &self.election.member_versions;
        match versions.next_activation(now, &peers, max_version) {
            Ok(activation) => self.activate(activation, token, holder),
            Err(_) if is_rewritten => {
                if let Some(txn) = versions.rewrite_completion() {
                    self.write_version(txn, holder, None);
                }
            }
            Err(_) => {}
        }
    }

    fn log_not_serving(&mut self) {
        let not_serving = self.not_serving();
        if not_serving == self.logged_not_serving {
            return;
        }
        if let Some(why @ (NotServing::UnsupportedVersion(..) | NotServing::UnreadableVersion)) =
            &not_serving
        {
            tracing::error!(%why, "not serving");
        }
        self.logged_not_serving = not_serving;
    }

    fn log_policy_difference(&mut self) {
        let differing = self.election.member_versions.differing_policy();
        if differing.is_some() == self.logged_policy_difference {
            return;
        }
        match differing {
            Some((node, policy)) => tracing::warn!(%node, ?policy, "policies differ"),
            None => tracing::info!("all controllers run the same policy"),
        }
        self.logged_policy_difference = differing.is_some();
    }

    fn activate(&mut self, activation: Activation, token: FencingToken, holder: Precondition) {
        tracing::info!(version = %activation.to, "activating format version");
        if activation.to == FENCED {
            // FENCED moves the leader's key to another name, so the election claims the
            // key again.
            return self
                .election
                .activate_as_leader(&mut self.effects, token, activation);
        }
        let txn = Transaction {
            conditions: activation.conditions,
            ops: activation.ops,
        };
        self.write_version(txn, holder, Some(activation.to));
    }

    /// Commits a transaction on the condition that this leader still holds the leader's
    /// key. `activated_version`: the format version that the transaction sets; `None` if
    /// it records the completion of a rewrite.
    fn write_version(
        &mut self,
        mut txn: Transaction,
        holder: Precondition,
        activated_version: Option<FormatVersion>,
    ) {
        txn.conditions.push(holder);
        let call = self.effects.call(
            Target::Store,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            VERSION_WRITE_TIMEOUT,
        );
        self.pending_calls
            .add(call, PendingCall::VersionWrite(activated_version));
        self.is_writing_version = true;
    }

    /// Handles the reply to a version write, and records the version that it activated.
    /// If the reply is lost, the watch delivers the change.
    pub(super) fn handle_version_write(&mut self, activated: Option<FormatVersion>, reply: &Reply) {
        self.is_writing_version = false;
        if let Reply::Answer(400, body) = reply {
            let error = error_text(body);
            tracing::error!(error, "the key-value store refuses a format version record");
        }
        let Some(response) = reply.decode_success::<TransactionResponse>() else {
            return;
        };
        let Some(version) = activated else {
            return;
        };
        self.election
            .member_versions
            .record_activation(version, response.revision);
        if let Some(leader) = &mut self.leader {
            leader.format_version = version;
        }
    }

    pub(super) fn inspect_format_versions(&self) -> serde_json::Value {
        let now = self.effects.now.time;
        let versions = &self.election.member_versions;
        versions.inspect(now, &self.peer_ids(), self.max_version())
    }
}
