//! Following the leader's key: the first read, the watch, and the registration of
//! this controller's member record, which stands next to it.

use super::{CALL_TIMEOUT, Election, ElectionState, PendingCall};
use crate::core::effects::Effects;
use crate::core::format_version::FENCED;
use crate::core::format_version::member_versions;
use crate::core::job_records::{self, LeaderRecord};
use crate::core::{Reply, Target};
use crate::types::{FencingToken, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::kvstore::{
    EntryPage, Transaction, TransactionResponse, WatchEvent, WatchResponse,
};

/// How long the key-value store holds a watch without changes open.
const WATCH_HOLD: TimeSpan = TimeSpan::millis(2000);

/// How many keys are read at once; there are a few for each controller.
const PAGE_SIZE: u32 = 1000;

/// The leader's key as it was read or watched.
struct LeaderKey {
    /// None if the record names nobody.
    record: Option<LeaderRecord>,
    version: Version,
}

impl Election {
    pub(super) fn read_leader(&mut self, effects: &mut Effects) {
        let sent = effects.now.time;
        self.read_keys(effects, PendingCall::ReadLeader { sent });
    }

    /// Reads the leader's key and the member records beside it.
    pub(super) fn read_keys(&mut self, effects: &mut Effects, pending: PendingCall) {
        let prefix = member_versions::PREFIX;
        let path = format!("/keys?starts={prefix}&most={PAGE_SIZE}");
        self.is_calling = true;
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
        self.is_calling = true;
        let call = effects.call(Target::Store, "GET", path, Vec::new(), timeout);
        self.pending_calls
            .add(call, PendingCall::WatchLeader { sent });
    }

    pub(super) fn commit(&mut self, effects: &mut Effects, txn: &Transaction, what: PendingCall) {
        self.is_calling = true;
        let body = wire::encode(txn);
        let call = effects.call(Target::Store, "POST", "/commit".into(), body, CALL_TIMEOUT);
        self.pending_calls.add(call, what);
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
        let holder_key = self.holder_key();
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
                    self.member_versions.registered(response.revision);
                }
                // An empty store has one change more now. Otherwise the watch goes on
                // from what was read: what others changed since was not seen yet.
                if self.store_is_empty {
                    self.state = ElectionState::Unknown;
                }
            }
            // Something else was stored meanwhile, or this was after all.
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
            // A watch that was lost may have missed a change.
            return self.restart_with_backoff(effects);
        };
        self.record_contact(sent);
        self.revision = self.revision.max(changes.revision);
        for event in &changes.events {
            self.member_versions.apply(event);
        }
        // Read only now: an activation among the changes moves the leader's key.
        let holder_key = self.holder_key();
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

    /// Follows the holder of the key, or finds that there is none.
    fn apply_leader_key(&mut self, effects: &Effects, leader_key: Option<LeaderKey>) {
        let Some(LeaderKey { record, version }) = leader_key else {
            self.leader = None;
            self.state = ElectionState::Vacant(Version(0));
            return;
        };
        self.revision = self.revision.max(version);
        // If the key names this very controller while it does not lead, it is left
        // from an earlier life, or from a claim whose answer was lost. Nobody else
        // can act on it, so it is claimed anew.
        let is_own = record.as_ref().is_some_and(|r| r.node_id == self.node_id);
        self.leader = record.map(|r| (r.node_id, FencingToken(version.0)));
        if is_own {
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
