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

/// The last call made, and its purpose. Takes all outputs.
fn take_last_call(election: &mut Election, effects: &mut Effects) -> (Call, PendingCall) {
    let mut calls = effects.take_outputs().into_iter().filter_map(|o| match o {
        Output::Call(c) => Some(c),
        _ => None,
    });
    let call = calls.next_back().expect("a call");
    let pending = election
        .pending_calls
        .take(call.id)
        .expect("a pending call");
    (call, pending)
}

/// A leader at the unversioned format whose transaction that activates the first
/// fenced version is in flight; also the pending call and the values written, by key.
fn leader_with_activation_in_flight(
    effects: &mut Effects,
) -> (Election, PendingCall, BTreeMap<String, Value>) {
    let registry = MemberVersions::new(
        "a".into(),
        Some(SupportedVersions::SUPPORTED),
        BTreeMap::new(),
        1,
    );
    let mut election = Election::new("a".into(), TimeSpan::secs(3.0), registry, FormatVersion(9));
    election.tick(effects);
    let (_, pending) = take_last_call(&mut election, effects);
    // Revision 9 without keys: something was stored before, so the store is not empty.
    election.handle_reply(effects, pending, page(Vec::new(), 9));
    election.tick(effects);
    let (call, pending) = take_last_call(&mut election, effects);
    assert_eq!(
        call.path, "/commit",
        "the member record is registered before any claim"
    );
    let stored = TransactionResponse {
        revision: Version(10),
        failed: Vec::new(),
    };
    election.handle_reply(effects, pending, Reply::Answer(200, wire::encode(&stored)));
    for (path, answer) in [
        ("/leases", wire::encode(&LeaseGrant { lease: 7 })),
        ("/commit", wire::encode(&stored)),
    ] {
        election.tick(effects);
        let (call, pending) = take_last_call(&mut election, effects);
        assert_eq!(call.path, path);
        election.handle_reply(effects, pending, Reply::Answer(200, answer));
    }
    assert_eq!(
        (election.state, election.leader_key()),
        (ElectionState::Leading, member_versions::LEGACY_LEADER_KEY)
    );
    let activation = election
        .member_versions
        .next_activation(effects.now.time, &[], FormatVersion(9))
        .expect("no peer blocks the activation");
    election.activate_as_leader(effects, FencingToken(10), activation);
    let (_, pending) = take_last_call(&mut election, effects);
    election.handle_reply(
        effects,
        pending,
        Reply::Answer(200, wire::encode(&LeaseGrant { lease: 8 })),
    );
    let (call, pending) = take_last_call(&mut election, effects);
    let txn: Transaction = wire::decode(&call.body).expect("a transaction");
    let compares_legacy_key =
        |c: &Precondition| c.key == member_versions::LEGACY_LEADER_KEY && c.version == Version(10);
    assert!(txn.conditions.iter().any(compares_legacy_key));
    let written = txn.ops.into_iter().filter_map(|op| match op {
        Operation::Put { key, value, .. } => Some((key, value)),
        Operation::Delete { .. } => None,
    });
    (election, pending, written.collect())
}

// The reply to the activation is lost. A leader that assumes that it failed would
// continue under a key that is only a tombstone by then; a leader that assumes that it
// was applied would act on a token that no controller holds.
#[test]
fn lost_reply_to_activation_is_resolved_by_a_read() {
    for applied in [true, false] {
        let mut effects = effects_at(5.0);
        let (mut election, pending, written) = leader_with_activation_in_flight(&mut effects);
        election.handle_reply(&mut effects, pending, Reply::OutcomeUnknown);
        let (_, pending) = take_last_call(&mut election, &mut effects);
        let keys = match applied {
            true => written.into_iter().map(|(k, v)| entry(&k, v, 11)).collect(),
            false => vec![entry(
                member_versions::LEGACY_LEADER_KEY,
                serde_json::json!({"label": "a", "nonce": 0}),
                10,
            )],
        };
        let outcome = election.handle_reply(&mut effects, pending, page(keys, 11));
        assert_eq!(election.state, ElectionState::Leading);
        if applied {
            assert_eq!(
                outcome,
                ElectionOutcome::Elected {
                    token: FencingToken(11),
                    lease: 8
                }
            );
            assert_eq!(
                (
                    election.member_versions.active_version(),
                    election.leader_key()
                ),
                (FENCED, member_versions::LEADER_KEY)
            );
        } else {
            assert_eq!(outcome, ElectionOutcome::None);
            assert_eq!(
                (
                    election.member_versions.active_version(),
                    election.leader_key()
                ),
                (UNVERSIONED, member_versions::LEGACY_LEADER_KEY)
            );
        }
    }
}

#[test]
fn refused_activation_leaves_leader_unchanged() {
    let mut effects = effects_at(5.0);
    let (mut election, pending, _) = leader_with_activation_in_flight(&mut effects);
    let refused = TransactionResponse::default();
    let outcome = election.handle_reply(
        &mut effects,
        pending,
        Reply::Answer(409, wire::encode(&refused)),
    );
    assert_eq!(
        (outcome, election.state),
        (ElectionOutcome::None, ElectionState::Leading)
    );
    assert_eq!(election.member_versions.active_version(), UNVERSIONED);
}

// A controller whose member record is not stored may not serve. A policy with many
// changed settings makes the record large.
#[test]
fn refused_member_record_is_stored_without_its_policy() {
    let mut effects = effects_at(1.0);
    let policy = (0..200).map(|n| (format!("setting_{n}"), 1.0)).collect();
    let supported = Some(SupportedVersions::SUPPORTED);
    let registry = MemberVersions::new("a".into(), supported, policy, 1);
    let mut election = Election::new("a".into(), TimeSpan::secs(3.0), registry, FormatVersion(9));
    let registered = TransactionResponse {
        revision: Version(10),
        failed: Vec::new(),
    };
    let mut refusals = 0;
    while election.member_versions.check_serving().is_err() {
        assert!(
            effects.now.time < Time(0) + TimeSpan::secs(30.0),
            "never registered"
        );
        effects.now.time = effects.now.time + TimeSpan::secs(2.0);
        election.tick(&mut effects);
        let (call, pending) = take_last_call(&mut election, &mut effects);
        let reply = match (&pending, call.body.len()) {
            (PendingCall::Register, size) if size > 1000 => {
                refusals += 1;
                Reply::Answer(400, Vec::new())
            }
            (PendingCall::Register, _) => Reply::Answer(200, wire::encode(&registered)),
            _ => page(Vec::new(), 9),
        };
        election.handle_reply(&mut effects, pending, reply);
    }
    assert_eq!(refusals, 1, "the whole record is sent once");
}
