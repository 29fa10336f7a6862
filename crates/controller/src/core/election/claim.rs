//! Claims of the leader's key: a lease is requested, then one transaction writes the
//! key bound to that lease, provided that no other controller wrote the key meanwhile.
//! Each write compares the key's version and the active format version.

use super::{Election, ElectionOutcome, ElectionState, PendingCall, RESTART_DELAY};
use crate::core::effects::Effects;
use crate::core::format_version::FENCED;
use crate::core::format_version::member_versions;
use crate::core::job_records::{self, LeaderRecord};
use crate::core::{Reply, Target};
use crate::types::{FencingToken, Version};
use crate::wire;
use crate::wire::kvstore::{
    Entry, EntryPage, LeaseGrant, LeaseGrantRequest, Operation, Precondition, Transaction,
    TransactionResponse, error_text,
};
use rand::RngExt;

impl Election {
    /// Requests a lease for a claim that replaces the key at this version.
    pub(super) fn request_lease(&mut self, effects: &mut Effects, version: Version) {
        let request = LeaseGrantRequest {
            ttl_ms: self.lease_ttl.as_millis(),
        };
        self.has_call_in_flight = true;
        let call = effects.call(
            Target::Store,
            "POST",
            "/leases".into(),
            wire::encode(&request),
            super::CALL_TIMEOUT,
        );
        self.pending_calls.add(call, PendingCall::GrantLease);
        self.state = ElectionState::Leasing(version);
    }

    pub(super) fn handle_lease_grant(&mut self, effects: &mut Effects, reply: &Reply) {
        let version = match (self.state, &self.leader) {
            (ElectionState::Leasing(version), _) => version,
            (ElectionState::Activating, Some((_, token))) => Version(token.0),
            _ => return,
        };
        let Some(LeaseGrant { lease }) = reply.decode_success() else {
            if self.state == ElectionState::Activating {
                return self.resume_leading();
            }
            return self.restart_with_backoff(effects);
        };
        self.nonce = effects.rng.random();
        let txn = self.claim_transaction(version, lease);
        self.state = ElectionState::Claiming(lease);
        self.commit(effects, &txn, PendingCall::Claim { lease });
    }

    /// The transaction that writes the leader's key bound to this lease, if the key
    /// still has this version.
    fn claim_transaction(&mut self, version: Version, lease: u64) -> Transaction {
        let leader_key = self.leader_key();
        let mut txn = Transaction {
            conditions: vec![Precondition {
                key: leader_key.into(),
                version,
            }],
            ops: Vec::new(),
        };
        self.claimed_version = None;
        let mut new_leader_key = leader_key;
        if let Some(activation) = self.activation.take() {
            new_leader_key = member_versions::LEADER_KEY;
            self.claimed_version = Some(activation.to);
            txn.conditions.extend(activation.conditions);
            txn.ops = activation.ops;
            txn.ops.push(Operation::Put {
                key: member_versions::LEGACY_LEADER_KEY.into(),
                value: member_versions::legacy_leader_tombstone(),
                lease: None,
            });
        } else {
            let fence = self.member_versions.version_fence();
            txn.conditions
                .extend(fence.map(member_versions::version_precondition));
            if self.store_is_empty {
                new_leader_key = member_versions::LEADER_KEY;
                self.claimed_version = Some(FENCED);
                txn.ops = self.member_versions.initial_operations();
            }
        }
        txn.ops.push(self.put_leader_record(new_leader_key, lease));
        txn
    }

    fn put_leader_record(&self, key: &str, lease: u64) -> Operation {
        let record = LeaderRecord {
            node_id: self.node_id.clone(),
            nonce: self.nonce,
        };
        Operation::Put {
            key: key.into(),
            value: job_records::leader_record_value(&record),
            lease: Some(lease),
        }
    }

    pub(super) fn handle_claim(
        &mut self,
        effects: &mut Effects,
        lease: u64,
        reply: &Reply,
    ) -> ElectionOutcome {
        if self.state != ElectionState::Claiming(lease) {
            return ElectionOutcome::None;
        }
        match reply {
            Reply::Answer(200, body) => match wire::decode::<TransactionResponse>(body) {
                Some(response) => {
                    let token = FencingToken(response.revision.0);
                    return self.become_leader(effects, token, lease);
                }
                None => self.state = ElectionState::Unknown,
            },
            // The claim may have been applied, or may be applied later: the nonce in
            // the stored record shows whether it was.
            Reply::OutcomeUnknown => self.read_keys(effects, PendingCall::ReadAfterClaim { lease }),
            _ => {
                if let Reply::Answer(400, body) = reply {
                    let error = error_text(body);
                    tracing::error!(error, "the key-value store refuses the claim of leadership");
                }
                self.revoke_lease(effects, lease);
                if self.claims_as_leader {
                    self.resume_leading();
                } else {
                    self.state = ElectionState::Unknown;
                    self.not_before = effects.now.time + RESTART_DELAY;
                }
            }
        }
        ElectionOutcome::None
    }

    /// Handles the read of the key after a claim whose reply was lost.
    pub(super) fn handle_claim_read(
        &mut self,
        effects: &mut Effects,
        lease: u64,
        reply: &Reply,
    ) -> ElectionOutcome {
        if let Some(page) = reply.decode_success::<EntryPage>() {
            self.member_versions.load(&page.items);
            if let Some(entry) = page.items.iter().find(|e| self.is_own_claim(e)) {
                return self.become_leader(effects, FencingToken(entry.version.0), lease);
            }
        }
        // If the claim is applied later than this read, the key names this controller
        // while it does not lead; a later read of the key resolves that.
        self.revoke_lease(effects, lease);
        if self.claims_as_leader {
            self.resume_leading();
        } else {
            self.state = ElectionState::Unknown;
        }
        ElectionOutcome::None
    }

    fn is_own_claim(&self, entry: &Entry) -> bool {
        let record = job_records::read_record::<LeaderRecord>(&entry.value);
        record.is_some_and(|r| r.nonce == self.nonce)
    }

    fn become_leader(
        &mut self,
        effects: &Effects,
        token: FencingToken,
        lease: u64,
    ) -> ElectionOutcome {
        self.resume_leading();
        self.store_is_empty = false;
        if let Some(version) = self.claimed_version.take() {
            self.member_versions
                .record_activation(version, Version(token.0));
        }
        self.leader = Some((self.node_id.clone(), token));
        self.keep_alive_due = effects.now.time;
        ElectionOutcome::Elected { token, lease }
    }
}
