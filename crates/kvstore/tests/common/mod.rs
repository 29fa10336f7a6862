//! Helpers for the tests of the key-value store.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use pebblefold_kvstore::{ClientId, Limits, Reply, RequestId, RequestOutcome, Service, Storage};
use pebblefold_wire::http::Request;
use pebblefold_wire::kvstore::{
    EntryPage, KeyResponse, LeaseGrant, LeaseGrantRequest, Operation, Precondition, WatchResponse,
};
use pebblefold_wire::kvstore::{Transaction, TransactionResponse};
use pebblefold_wire::types::{Time, Version};
use pebblefold_wire::{decode, encode};
use serde_json::Value;

/// Limits whose rates are too high to be reached.
pub const LIMITS: Limits = Limits {
    rps: 1e9,
    write_rps: 1e9,
    value_bytes: 8192,
    txn_ops: 48,
};

pub fn at_ms(ms: u64) -> Time {
    Time(1 + ms * 1000)
}

/// A request to `target`, a path with an optional query.
pub fn request(method: &str, target: &str, body: Vec<u8>) -> Request {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Request {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        body,
        close: false,
    }
}

/// Handles one request, flushes, and returns its outcome.
pub fn outcome_of<S: Storage>(
    s: &mut Service<S>,
    ms: u64,
    method: &str,
    target: &str,
    body: Vec<u8>,
) -> RequestOutcome {
    let request_id = RequestId(u64::MAX);
    s.handle(
        at_ms(ms),
        ClientId(0),
        request_id,
        &request(method, target, body),
    );
    let mut outcomes = s.flush(at_ms(ms));
    let i = outcomes
        .iter()
        .position(|(id, _)| *id == request_id)
        .expect("answered by the first flush");
    outcomes.swap_remove(i).1
}

/// Handles one request and returns its reply.
pub fn reply_to<S: Storage>(
    s: &mut Service<S>,
    ms: u64,
    method: &str,
    target: &str,
    body: Vec<u8>,
) -> Reply {
    match outcome_of(s, ms, method, target, body) {
        RequestOutcome::Reply(reply) => reply,
        RequestOutcome::Unanswered => panic!("{method} {target}: no answer"),
    }
}

pub fn put(key: &str, value: impl Into<Value>, lease: Option<u64>) -> Operation {
    let (key, value) = (key.to_string(), value.into());
    Operation::Put { key, value, lease }
}

pub fn delete(key: &str) -> Operation {
    Operation::Delete { key: key.into() }
}

/// A transaction, encoded; preconditions are keys with their versions.
pub fn txn(conditions: &[(&str, u64)], ops: Vec<Operation>) -> Vec<u8> {
    let condition = |(key, version): &(&str, u64)| Precondition {
        key: (*key).into(),
        version: Version(*version),
    };
    let conditions = conditions.iter().map(condition).collect();
    encode(&Transaction { conditions, ops })
}

pub fn commit<S: Storage>(
    s: &mut Service<S>,
    ms: u64,
    body: Vec<u8>,
) -> (u16, TransactionResponse) {
    let reply = reply_to(s, ms, "POST", "/commit", body);
    (reply.status, decode(&reply.body).unwrap_or_default())
}

pub fn grant_lease<S: Storage>(s: &mut Service<S>, ms: u64, ttl_ms: u64) -> u64 {
    let reply = reply_to(
        s,
        ms,
        "POST",
        "/leases",
        encode(&LeaseGrantRequest { ttl_ms }),
    );
    decode::<LeaseGrant>(&reply.body).expect("a lease").lease
}

pub fn get<S: Storage>(s: &mut Service<S>, ms: u64, key: &str) -> Option<KeyResponse> {
    let reply = reply_to(s, ms, "GET", &format!("/keys/{key}"), Vec::new());
    (reply.status == 200).then(|| decode(&reply.body).expect("an entry"))
}

pub fn read_page<S: Storage>(s: &mut Service<S>, ms: u64, query: &str) -> EntryPage {
    let reply = reply_to(s, ms, "GET", &format!("/keys?{query}"), Vec::new());
    decode(&reply.body).expect("a page")
}

/// The changes after a revision, or the status of the refusal.
pub fn read_changes<S: Storage>(
    s: &mut Service<S>,
    ms: u64,
    since: u64,
) -> Result<WatchResponse, u16> {
    let target = format!("/changes?starts=&since={since}");
    let reply = reply_to(s, ms, "GET", &target, Vec::new());
    if reply.status == 200 {
        Ok(decode(&reply.body).expect("changes"))
    } else {
        Err(reply.status)
    }
}
