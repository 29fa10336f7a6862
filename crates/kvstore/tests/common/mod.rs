//! What the tests of the state service share.
#![allow(dead_code, reason = "each test program uses a part")]

use pebblefold_kvstore::{Answer, Asker, Limits, Outcome, Service, Storage, Ticket};
use pebblefold_wire::http::Request;
use pebblefold_wire::kvstore::{Changes, Condition, Entries, KeyAnswer, Lease, LeaseRequest, Op};
use pebblefold_wire::kvstore::{Revision, Txn};
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
) -> Outcome {
    let ticket = Ticket(u64::MAX);
    s.handle(at_ms(ms), Asker(0), ticket, &request(method, target, body));
    let mut out = s.flush(at_ms(ms));
    let i = out
        .iter()
        .position(|(t, _)| *t == ticket)
        .expect("answered at once");
    out.swap_remove(i).1
}

pub fn answered<S: Storage>(
    s: &mut Service<S>,
    ms: u64,
    method: &str,
    target: &str,
    body: Vec<u8>,
) -> Answer {
    match ask(s, ms, method, target, body) {
        Outcome::Answer(a) => a,
        Outcome::Silence => panic!("{method} {target}: no answer"),
    }
}

pub fn put(key: &str, value: impl Into<Value>, lease: Option<u64>) -> Op {
    let (key, value) = (key.to_string(), value.into());
    Op::Put { key, value, lease }
}

pub fn delete(key: &str) -> Op {
    Op::Delete { key: key.into() }
}

pub fn txn(conditions: &[(&str, u64)], ops: Vec<Op>) -> Vec<u8> {
    let condition = |(key, version): &(&str, u64)| Condition {
        key: (*key).into(),
        version: Version(*version),
    };
    let conditions = conditions.iter().map(condition).collect();
    encode(&Txn { conditions, ops })
}

pub fn commit<S: Storage>(s: &mut Service<S>, ms: u64, body: Vec<u8>) -> (u16, Revision) {
    let a = answered(s, ms, "POST", "/commit", body);
    (a.status, decode(&a.body).unwrap_or_default())
}

pub fn lease<S: Storage>(s: &mut Service<S>, ms: u64, ttl_ms: u64) -> u64 {
    let a = answered(s, ms, "POST", "/leases", encode(&LeaseRequest { ttl_ms }));
    decode::<Lease>(&a.body).expect("a lease").lease
}

pub fn get<S: Storage>(s: &mut Service<S>, ms: u64, key: &str) -> Option<KeyAnswer> {
    let a = answered(s, ms, "GET", &format!("/keys/{key}"), Vec::new());
    (a.status == 200).then(|| decode(&a.body).expect("an entry"))
}

pub fn page<S: Storage>(s: &mut Service<S>, ms: u64, query: &str) -> Entries {
    let a = answered(s, ms, "GET", &format!("/keys?{query}"), Vec::new());
    decode(&a.body).expect("a page")
}

pub fn changes<S: Storage>(s: &mut Service<S>, ms: u64, since: u64) -> Result<Changes, u16> {
    let target = format!("/changes?starts=&since={since}");
    let a = answered(s, ms, "GET", &target, Vec::new());
    if a.status == 200 {
        Ok(decode(&a.body).expect("changes"))
    } else {
        Err(a.status)
    }
}
