//! Reading and watching the leader's key, and registering this controller's member
//! record, which is stored under the same prefix.

use super::{CALL_TIMEOUT, Election, ElectionState, PendingCall};
use crate::core::effects::Effects;
use crate::core::format_version::FENCED;
use crate::core::format_version::member_versions;
use crate::core::job_records::{self, LeaderRecord};
use crate::core::{Reply, Target};
use crate::types::{FencingToken, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{
    EntryPage, Transaction, TransactionResponse, WatchEvent, WatchResponse, error_text,
};

/// How long the key-value store holds a watch open while there are no changes.
const WATCH_HOLD: TimeSpan = TimeSpan::millis(2000);

/// Maximum number of keys in one read. Each controller stores only a few keys below
/// the prefix, so one page holds all of them.
const MAX_KEYS_PER_READ: u32 = 1000;

/// The leader's key as read or watched.
struct LeaderKey {
    /// `None` if the value is not a leader record, as with the tombstone under the
    /// legacy key.
    record: Option<LeaderRecord>,
    version: Version,
}

impl Election {
    pub(super) fn read_leader(&mut self, effects: &mut Effects) {
        let sent = effects.now.time;
        self.read_keys(effects, PendingCall::ReadLeader { sent });
    }

    /// Reads the leader's key together with the format versions and member records,
    /// which are stored under the same prefix.
    pub(super) fn read_keys(&mut self, effects: &mut Effects, pending: PendingCall) {
        let prefix = member_versions::PREFIX;
        let path = format!("/keys?starts={prefix}&most={MAX_KEYS_PER_READ}");
        self.has_call_in_flight = true;
        let call = effects.call(Target::Store, "GET", path, Vec::new(), CALL_TIMEOUT);
        self.pending_calls.add(call, pending);
    }

    pub(super) fn register(&mut self, effects: &mut Effects, registration: &Transaction) {
        self.commit(effects, registration, PendingCall::Register);
    }

    pub(super) fn watch_leader(&mut self, effects: &mut Effects) {
        let sent = effects.now.time;
        let path = format!(
            "/changes?starts={}&since={}&hold_ms={}",
            member_versions::PREFIX,
            self.revision,
            WATCH_HOLD.as_millis()
        );
        let timeout = WATCH_HOLD + CALL_TIMEOUT;
        self.has_call_in_flight = true;
        let call = effects.call(Target::Store, "GET", path, Vec::new(), timeout);
        self.pending_calls
            .add(call, PendingCall::WatchLeader { sent });
    }

    pub(super) fn commit(
        &mut self,
        effects: &mut Effects,
        txn: &Transaction,
        pending: PendingCall,
    ) {
        self.has_call_in_flight = true;
        let body = wire::encode(txn);
        let call = effects.call(Target::Store, "POST", "/commit".into(), body, CALL_TIMEOUT);
        self.pending_calls.add(call, pending);
    }

    pub(super) fn handle_leader_read(&mut self, effects: &mut Effects, sent: Time, reply: &Reply) {
        let Some(page) = reply.decode_success::<EntryPage>() else {
            return self.back_off(effects);
        };
        self.record_contact(sent);
        self.member_versions.load(&page.items);
        self.revision = page.revision;
        self.store_is_empty = self.max_version >= FENCED
            && self
                .member_versions
                .store_is_empty(page.revision, page.items.len());
        let holder_key = self.leader_key();
        let entry = page.items.into_iter().find(|e| e.key == holder_key);
        let leader_key = entry.map(|e| LeaderKey {
            record: job_records::read_record(&e.value),
            version: e.version,
        });
        self.apply_leader_key(effects, leader_key);
    }

    pub(super) fn handle_registration(&mut self, effects: &mut Effects, reply: &Reply) {
        match reply {
            Reply::Answer(200, body) => {
                if let Some(response) = wire::decode::<TransactionResponse>(body) {
                    self.member_versions.record_registration(response.revision);
                }
                // The registration advanced the revision of an empty store, so whether
                // the store is empty is read again. Otherwise the watch continues from
                // the revision that was read: changes by other controllers since then
                // were not received yet.
                if self.store_is_empty {
                    self.state = ElectionState::Unknown;
                }
            }
            Reply::Answer(400, body) => {
                let error = error_text(body);
                tracing::error!(error, "the key-value store refuses the member record");
                self.member_versions.omit_own_policy();
                self.restart_with_backoff(effects);
            }
            // A compared key changed meanwhile, or this record was stored although the
            // reply was lost: a read shows which.
            _ => self.restart_with_backoff(effects),
        }
    }

    pub(super) fn handle_watch(&mut self, effects: &mut Effects, sent: Time, reply: &Reply) {
        if matches!(reply, Reply::Answer(410, _)) {
            // The store no longer has all changes since that revision.
            self.state = ElectionState::Unknown;
            return;
        }
        let Some(changes) = reply.decode_success::<WatchResponse>() else {
            // A change may have been lost together with the reply to the watch.
            return self.restart_with_backoff(effects);
        };
        self.record_contact(sent);
        self.revision = self.revision.max(changes.revision);
        for event in &changes.events {
            self.member_versions.apply(event);
        }
        // Must follow the loop above: an activation among the events changes the key.
        let holder_key = self.leader_key();
        let mut events = changes.events.into_iter();
        let Some(last) = events.rfind(|event| concerns_key(event, holder_key)) else {
            return;
        };
        let leader_key = last.put.is_some().then(|| LeaderKey {
            record: job_records::read_record(&last.value),
            version: last.version,
        });
        self.apply_leader_key(effects, leader_key);
    }

    /// Updates the leader and the state after the leader's key was read or has changed;
    /// `None`: the key does not exist.
    fn apply_leader_key(&mut self, effects: &Effects, leader_key: Option<LeaderKey>) {
        let Some(LeaderKey { record, version }) = leader_key else {
            self.leader = None;
            self.state = ElectionState::Vacant(Version(0));
            return;
        };
        self.revision = self.revision.max(version);
        // If the key names this controller while it does not lead, an earlier process
        // of this controller wrote it, or a claim whose reply was lost. No other
        // process can act on that key, so this controller claims it again.
        let names_this_node = record.as_ref().is_some_and(|r| r.node_id == self.node_id);
        self.leader = record.map(|r| (r.node_id, FencingToken(version.0)));
        if names_this_node {
            self.state = ElectionState::Vacant(version);
            return;
        }
        self.state = ElectionState::Following(version);
        tracing::debug!(now = ?effects.now.time, %version, "following the leader");
    }
}

fn concerns_key(event: &WatchEvent, key: &str) -> bool {
    event.put.as_deref() == Some(key) || event.delete.as_deref() == Some(key)
}
