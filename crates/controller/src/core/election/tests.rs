use super::super::format_version::{FENCED, member_versions};
use super::super::format_version::{SupportedVersions, UNVERSIONED};
use super::super::{Call, Output};
use super::*;
use crate::testing::effects_at;
use crate::wire;
use crate::wire::kvstore::{
    Entry, EntryPage, LeaseGrant, Operation, Precondition, Transaction, TransactionResponse,
};
use serde_json::Value;
use std::collections::BTreeMap;

fn entry(key: &str, value: Value, version: u64) -> Entry {
    Entry {
        key: key.into(),
        value,
        version: Version(version),
    }
}

fn page(items: Vec<Entry>, revision: u64) -> Reply {
    let page = EntryPage {
        items,
        more: false,
        revision: Version(revision),
    };
    Reply::Answer(200, wire::encode(&page))
}

/// The last call made, and what its answer is for.
fn called(e: &mut Election, effects: &mut Effects) -> (Call, PendingCall) {
    let mut calls = effects.take_outputs().into_iter().filter_map(|o| match o {
        Output::Call(c) => Some(c),
        _ => None,
    });
    let call = calls.next_back().expect("a call");
    let what = e.pending_calls.take(call.id).expect("waited for");
    (call, what)
}

/// A leader before levels whose commit that raises the level is out: what it
/// wrote, by key.
fn rising(effects: &mut Effects) -> (Election, PendingCall, BTreeMap<String, Value>) {
    let registry = MemberVersions::new(
        "a".into(),
        Some(SupportedVersions::SUPPORTED),
        BTreeMap::new(),
        1,
    );
    let mut e = Election::new("a".into(), TimeSpan::secs(3.0), registry, FormatVersion(9));
    e.tick(effects);
    let (_, what) = called(&mut e, effects);
    // Something else was stored before: this store is not a new one.
    e.handle_reply(effects, what, page(Vec::new(), 9));
    e.tick(effects);
    let (call, what) = called(&mut e, effects);
    assert_eq!(
        call.path, "/commit",
        "it says what it serves before all else"
    );
    let stored = TransactionResponse {
        revision: Version(10),
        failed: Vec::new(),
    };
    e.handle_reply(effects, what, Reply::Answer(200, wire::encode(&stored)));
    for (path, answer) in [
        ("/leases", wire::encode(&LeaseGrant { lease: 7 })),
        ("/commit", wire::encode(&stored)),
    ] {
        e.tick(effects);
        let (call, what) = called(&mut e, effects);
        assert_eq!(call.path, path);
        e.handle_reply(effects, what, Reply::Answer(200, answer));
    }
    assert_eq!(
        (e.state, e.holder_key()),
        (ElectionState::Leading, member_versions::LEGACY_LEADER_KEY)
    );
    let activation = e
        .member_versions
        .next_activation(effects.now.time, &[], FormatVersion(9))
        .expect("alone");
    e.activate_as_leader(effects, FencingToken(10), activation);
    let (_, what) = called(&mut e, effects);
    e.handle_reply(
        effects,
        what,
        Reply::Answer(200, wire::encode(&LeaseGrant { lease: 8 })),
    );
    let (call, what) = called(&mut e, effects);
    let txn: Transaction = wire::decode(&call.body).expect("a transaction");
    let holds =
        |c: &Precondition| c.key == member_versions::LEGACY_LEADER_KEY && c.version == Version(10);
    assert!(txn.conditions.iter().any(holds));
    let written = txn.ops.into_iter().filter_map(|op| match op {
        Operation::Put { key, value, .. } => Some((key, value)),
        Operation::Delete { .. } => None,
    });
    (e, what, written.collect())
}

// The rise was committed and its answer lost: a leader that took it for failed
// would go on under a key that leads nowhere, one that took it for done would
// act on a token that nobody has.
#[test]
fn lost_reply_to_activation_is_resolved_by_a_read() {
    for applied in [true, false] {
        let mut effects = effects_at(5.0);
        let (mut e, what, written) = rising(&mut effects);
        e.handle_reply(&mut effects, what, Reply::Lost);
        let (_, what) = called(&mut e, &mut effects);
        let keys = match applied {
            true => written.into_iter().map(|(k, v)| entry(&k, v, 11)).collect(),
            false => vec![entry(
                member_versions::LEGACY_LEADER_KEY,
                serde_json::json!({"label": "a", "nonce": 0}),
                10,
            )],
        };
        let outcome = e.handle_reply(&mut effects, what, page(keys, 11));
        assert_eq!(e.state, ElectionState::Leading);
        if applied {
            assert_eq!(
                outcome,
                ElectionOutcome::Elected {
                    token: FencingToken(11),
                    lease: 8
                }
            );
            assert_eq!(
                (e.member_versions.active_version(), e.holder_key()),
                (FENCED, member_versions::LEADER_KEY)
            );
        } else {
            assert_eq!(outcome, ElectionOutcome::None);
            assert_eq!(
                (e.member_versions.active_version(), e.holder_key()),
                (UNVERSIONED, member_versions::LEGACY_LEADER_KEY)
            );
        }
    }
}

#[test]
fn refused_activation_leaves_leader_unchanged() {
    let mut effects = effects_at(5.0);
    let (mut e, what, _) = rising(&mut effects);
    let refused = TransactionResponse::default();
    let outcome = e.handle_reply(
        &mut effects,
        what,
        Reply::Answer(409, wire::encode(&refused)),
    );
    assert_eq!(
        (outcome, e.state),
        (ElectionOutcome::None, ElectionState::Leading)
    );
    assert_eq!(e.member_versions.active_version(), UNVERSIONED);
}
