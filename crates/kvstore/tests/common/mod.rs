//! What the tests of the state service share.
#![allow(dead_code, reason = "each test program uses a part")]

use pebblefold_kvstore::{ClientId, Limits, Reply, RequestId, RequestOutcome, Service, Storage};
use pebblefold_wire::http::Request;
use pebblefold_wire::kvstore::{
    EntryPage, KeyResponse, LeaseGrant, LeaseGrantRequest, Operation, Precondition, WatchResponse,
};
use pebblefold_wire::kvstore::{Transaction, TransactionResponse};
use pebblefold_wire::types::{Time, Version};
use pebblefold_wire::{decode, encode};
use serde_json::Value;

pub const LIMITS: Limits = Limits {
    rps: 1e9,
    write_rps: 1e9,
    value_bytes: 8192,
    txn_ops: 48,
};

pub fn at_ms(ms: u64) -> Time {
    Time(1 + ms * 1000)
}

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

/// One request with a flush of its own.
pub fn ask<S: Storage>(
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
    let mut out = s.flush(at_ms(ms));
    let i = out
        .iter()
        .position(|(t, _)| *t == request_id)
        .expect("answered at once");
    out.swap_remove(i).1
}

pub fn answered<S: Storage>(
    s: &mut Service<S>,
    ms: u64,
    method: &str,
    target: &str,
    body: Vec<u8>,
) -> Reply {
    match ask(s, ms, method, target, body) {
        RequestOutcome::Reply(a) => a,
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
    let a = answered(s, ms, "POST", "/commit", body);
    (a.status, decode(&a.body).unwrap_or_default())
}

pub fn lease<S: Storage>(s: &mut Service<S>, ms: u64, ttl_ms: u64) -> u64 {
    let a = answered(
        s,
        ms,
        "POST",
        "/leases",
        encode(&LeaseGrantRequest { ttl_ms }),
    );
    decode::<LeaseGrant>(&a.body).expect("a lease").lease
}

pub fn get<S: Storage>(s: &mut Service<S>, ms: u64, key: &str) -> Option<KeyResponse> {
    let a = answered(s, ms, "GET", &format!("/keys/{key}"), Vec::new());
    (a.status == 200).then(|| decode(&a.body).expect("an entry"))
}

pub fn page<S: Storage>(s: &mut Service<S>, ms: u64, query: &str) -> EntryPage {
    let a = answered(s, ms, "GET", &format!("/keys?{query}"), Vec::new());
    decode(&a.body).expect("a page")
}

pub fn changes<S: Storage>(s: &mut Service<S>, ms: u64, since: u64) -> Result<WatchResponse, u16> {
    let target = format!("/changes?starts=&since={since}");
    let a = answered(s, ms, "GET", &target, Vec::new());
    if a.status == 200 {
        Ok(decode(&a.body).expect("changes"))
    } else {
        Err(a.status)
    }
}
