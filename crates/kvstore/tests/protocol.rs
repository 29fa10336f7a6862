//! The protocol: compared with a reference model, and at its limits.

mod common;
use common::*;
use pebblefold_kvstore::{ClientId, Limits, Memory, RequestId, Service};
use pebblefold_wire::encode;
use pebblefold_wire::kvstore::{LeaseGrantRequest, Operation};
use proptest::prelude::*;

fn service() -> Service<Memory> {
    Service::open(Memory::default(), LIMITS, at_ms(0)).unwrap()
}

/// The reference model: unordered lists with linear search.
#[derive(Default)]
struct Model {
    /// Key, value, version and lease.
    keys: Vec<(String, u64, u64, Option<u64>)>,
    revision: u64,
    /// Id, time to live in ms, and expiry time in ms.
    leases: Vec<(u64, u64, u64)>,
    last_lease: u64,
}

impl Model {
    fn version(&self, key: &str) -> u64 {
        self.keys.iter().find(|k| k.0 == key).map_or(0, |k| k.2)
    }

    fn commit(&mut self, conditions: &[(&str, u64)], ops: &[Operation]) -> u16 {
        let live = |l: &u64| self.leases.iter().any(|(id, _, _)| id == l);
        let has_unknown_lease =
            |o: &Operation| matches!(o, Operation::Put { lease: Some(l), .. } if !live(l));
        if ops.iter().any(has_unknown_lease) {
            return 400;
        }
        if conditions.iter().any(|(k, v)| self.version(k) != *v) {
            return 409;
        }
        if !ops.is_empty() {
            self.revision += 1;
        }
        for op in ops {
            match op {
                Operation::Put { key, value, lease } => {
                    self.keys.retain(|k| k.0 != *key);
                    let value = value.as_u64().unwrap();
                    self.keys.push((key.clone(), value, self.revision, *lease));
                }
                Operation::Delete { key } => self.keys.retain(|k| k.0 != *key),
            }
        }
        200
    }

    fn expire_leases(&mut self, now: u64) {
        while let Some(i) = self.leases.iter().position(|l| now > l.2) {
            let (id, _, _) = self.leases.remove(i);
            let keys_before = self.keys.len();
            self.keys.retain(|k| k.3 != Some(id));
            self.revision += u64::from(self.keys.len() < keys_before);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Preconditions: key and version. Operations: key, value (`None`: delete) and lease.
    Commit(Vec<(u8, u64)>, Vec<(u8, Option<u64>, Option<u64>)>),
    /// Time to live in ms.
    GrantLease(u64),
    /// Lease id.
    RenewLease(u64),
    /// Lease id.
    RevokeLease(u64),
    /// Time in ms.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let key = 0u8..6;
    let op = (
        key.clone(),
        proptest::option::of(0u64..99),
        proptest::option::weighted(0.3, 1u64..4),
    );
    let step = prop_oneof![
        6 => (proptest::collection::vec((key, 0u64..12), 0..2), proptest::collection::vec(op, 0..4))
            .prop_map(|(c, o)| Step::Commit(c, o)),
        1 => (100u64..900).prop_map(Step::GrantLease),
        2 => (1u64..4).prop_map(Step::RenewLease),
        1 => (1u64..4).prop_map(Step::RevokeLease),
        2 => (1u64..400).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default()
    })]
    #[test]
    fn matches_reference_model(steps in steps()) {
        let (mut s, mut m, mut now) = (service(), Model::default(), 0);
        let name = |k: u8| format!("k/{}{k}", if k.is_multiple_of(2) { "a" } else { "b" });
        for step in steps {
            match step {
                Step::Commit(conditions, ops) => {
                    // Each operation of a transaction has a different key.
                    let mut keys_used = std::collections::BTreeSet::new();
                    let ops: Vec<Operation> = ops.into_iter().filter(|o| keys_used.insert(o.0)).map(|(k, v, l)| match v {
                        Some(v) => put(&name(k), v, l),
                        None => delete(&name(k)),
                    }).collect();
                    let named: Vec<(String, u64)> = conditions.iter().map(|(k, v)| (name(*k), *v)).collect();
                    let conditions: Vec<(&str, u64)> = named.iter().map(|(k, v)| (k.as_str(), *v)).collect();
                    let got = commit(&mut s, now, txn(&conditions, ops.clone()));
                    prop_assert_eq!(got.0, m.commit(&conditions, &ops));
                    if got.0 != 400 {
                        prop_assert_eq!(got.1.revision.0, m.revision);
                    }
                }
                Step::GrantLease(ms) => {
                    m.last_lease += 1;
                    m.leases.push((m.last_lease, ms, now + ms));
                    prop_assert_eq!(grant_lease(&mut s, now, ms), m.last_lease);
                }
                Step::RenewLease(id) => {
                    let got = reply_to(&mut s, now, "POST", &format!("/leases/{id}/touch"), Vec::new()).status;
                    let held = m.leases.iter_mut().find(|l| l.0 == id);
                    prop_assert_eq!(got, if held.is_some() { 200 } else { 404 });
                    if let Some(l) = held {
                        l.2 = now + l.1;
                    }
                }
                Step::RevokeLease(id) => {
                    let got = reply_to(&mut s, now, "DELETE", &format!("/leases/{id}"), Vec::new()).status;
                    let held = m.leases.iter_mut().find(|l| l.0 == id);
                    prop_assert_eq!(got, if held.is_some() { 200 } else { 404 });
                    if let Some(l) = held {
                        l.2 = 0;
                    }
                    m.expire_leases(now.max(1));
                }
                Step::Wait(ms) => {
                    now += ms;
                    s.tick(at_ms(now));
                    let _ = s.flush(at_ms(now));
                    m.expire_leases(now);
                }
            }
            let mut wanted: Vec<_> = m.keys.iter().map(|k| (k.0.clone(), k.1, k.2)).collect();
            wanted.sort();
            let got = read_page(&mut s, now, "starts=k/").items;
            let got: Vec<_> = got.into_iter().map(|e| (e.key, e.value.as_u64().unwrap(), e.version.0)).collect();
            prop_assert_eq!(got, wanted);
        }
    }
}

#[test]
fn enforces_protocol_limits() {
    let mut s = service();
    let short_puts = |n: usize| {
        (0..n)
            .map(|i| put(&format!("k{i}"), 1, None))
            .collect::<Vec<_>>()
    };
    let names: Vec<String> = (0..193).map(|i| format!("k{i}")).collect();
    let conditions = |n: usize| {
        names[..n]
            .iter()
            .map(|k| (k.as_str(), 0))
            .collect::<Vec<_>>()
    };
    let longest_value = "v".repeat(8191 - 1);
    let long_puts = |n: usize| {
        (0..n)
            .map(|i| put(&format!("k{i}"), longest_value.clone(), None))
            .collect::<Vec<_>>()
    };
    let cases: Vec<(&str, Vec<u8>, u16)> = vec![
        (
            "a value of 8 KiB",
            txn(&[], vec![put("k", longest_value.clone(), None)]),
            200,
        ),
        (
            "a longer value",
            txn(&[], vec![put("k", format!("{longest_value}v"), None)]),
            400,
        ),
        ("48 operations", txn(&[], short_puts(48)), 200),
        ("49 operations", txn(&[], short_puts(49)), 400),
        ("192 preconditions", txn(&conditions(192), Vec::new()), 409),
        ("193 preconditions", txn(&conditions(193), Vec::new()), 400),
        ("over 64 KiB", txn(&[], long_puts(8)), 400),
        (
            "a lease that was never granted",
            txn(&[("k", 99)], vec![put("k", 1, Some(7))]),
            400,
        ),
        (
            "a key with a space",
            txn(&[], vec![put("a b", 1, None)]),
            400,
        ),
        ("an empty key", txn(&[], vec![delete("")]), 400),
        (
            "a key of 201 bytes",
            txn(&[(&"k".repeat(201), 0)], vec![]),
            400,
        ),
        ("not a transaction", b"\xc1".to_vec(), 400),
        ("an empty transaction", txn(&[], Vec::new()), 200),
    ];
    for (case, body, status) in cases {
        assert_eq!(commit(&mut s, 0, body).0, status, "{case}");
    }
    for ms in [99, 600_001] {
        let body = encode(&LeaseGrantRequest { ttl_ms: ms });
        assert_eq!(reply_to(&mut s, 0, "POST", "/leases", body).status, 400);
    }
    assert_eq!(
        reply_to(&mut s, 0, "GET", "/keys/none", Vec::new()).status,
        404
    );
    assert_eq!(
        reply_to(&mut s, 0, "PUT", "/keys/a", Vec::new()).status,
        400
    );
    assert_eq!(
        reply_to(&mut s, 0, "GET", "/changes?since=x", Vec::new()).status,
        400
    );
}

#[test]
fn pages_are_ordered_and_bounded() {
    let mut s = service();
    for i in 0..1200 {
        let value = "v".repeat(if i < 100 { 8000 } else { 1 });
        commit(
            &mut s,
            0,
            txn(&[], vec![put(&format!("c/{i:05}"), value, None)]),
        );
    }
    commit(&mut s, 0, txn(&[], vec![put("d", 1, None)]));
    let (mut keys, mut since, mut pages) = (Vec::new(), String::new(), Vec::new());
    loop {
        let p = read_page(&mut s, 0, &format!("starts=c/&since={since}&most=5000"));
        pages.push(p.items.len());
        since = p.items.last().unwrap().key.clone();
        keys.extend(p.items.into_iter().map(|e| e.key));
        if !p.more {
            break;
        }
    }
    assert_eq!(
        keys,
        (0..1200).map(|i| format!("c/{i:05}")).collect::<Vec<_>>()
    );
    // A page of 512 KiB holds 65 values of 8 KB; the next page is full at 1000 keys.
    assert_eq!(pages, [65, 1000, 135]);
}

#[test]
fn rate_limit_allows_one_second_burst_and_counts_failures() {
    let limits = Limits {
        rps: 10.0,
        write_rps: 5.0,
        ..LIMITS
    };
    let mut s = Service::open(Memory::default(), limits, at_ms(0)).unwrap();
    let mut put_one =
        |ms, version| commit(&mut s, ms, txn(&[("k", version)], vec![put("k", 1, None)])).0;
    assert_eq!(put_one(0, 0), 200);
    let refused: Vec<u16> = (0..5).map(|_| put_one(0, 99)).collect();
    assert_eq!(refused, [409, 409, 409, 409, 429]);
    assert_eq!(
        put_one(250, 1),
        200,
        "the write limiter has refilled for one write"
    );
    // Seven of the burst of ten requests were used, and 2.5 are refilled in 250 ms.
    let reads: Vec<bool> = (0..7)
        .map(|_| reply_to(&mut s, 250, "GET", "/keys/k", Vec::new()).status == 200)
        .collect();
    assert_eq!(reads.iter().filter(|ok| **ok).count(), 5);
}

// A store whose limits were lowered still serves what was stored under the old ones.
#[test]
fn lowered_limits_apply_to_new_writes_alone() {
    let mut s = service();
    let long = "x".repeat(3000);
    let put_long = |key: &str| Operation::Put {
        key: key.into(),
        value: serde_json::json!(long),
        lease: None,
    };
    let transaction = |ops| txn(&[], ops);
    assert_eq!(commit(&mut s, 0, transaction(vec![put_long("old")])).0, 200);
    let lowered = Limits {
        write_rps: 5.0,
        value_bytes: 2048,
        txn_ops: 2,
        ..LIMITS
    };
    s.set_limits(at_ms(0), lowered);
    assert!(get(&mut s, 0, "old").is_some());
    assert_eq!(commit(&mut s, 0, transaction(vec![put_long("new")])).0, 400);
    let three = (0..3).map(|n| put(&format!("k{n}"), 1, None)).collect();
    assert_eq!(commit(&mut s, 0, transaction(three)).0, 400);
    let two = || (0..2).map(|n| put(&format!("k{n}"), 1, None)).collect();
    let statuses: Vec<u16> = (0..3)
        .map(|_| commit(&mut s, 0, transaction(two())).0)
        .collect();
    assert_eq!(statuses, [200, 200, 429]);
    s.set_limits(at_ms(0), LIMITS);
    assert_eq!(
        commit(&mut s, 1000, transaction(vec![put_long("new")])).0,
        200
    );
}

// A lease that expires early would allow two leaders. A lease that expires during an
// outage would delete the leader key of a leader that could not renew it.
#[test]
fn lease_expires_on_time_and_is_renewed_by_outage_end() {
    let mut s = service();
    let (id, other) = (grant_lease(&mut s, 0, 1000), grant_lease(&mut s, 0, 1000));
    commit(
        &mut s,
        0,
        txn(
            &[],
            vec![put("held", 1, Some(id)), put("free", 1, Some(other))],
        ),
    );
    commit(&mut s, 0, txn(&[], vec![put("free", 2, None)]));
    s.tick(at_ms(1000));
    assert!(get(&mut s, 1000, "held").is_some());
    s.set_outage(at_ms(1000), true);
    s.tick(at_ms(9000));
    assert_eq!(
        reply_to(&mut s, 9000, "GET", "/keys/held", Vec::new()).status,
        503
    );
    s.set_outage(at_ms(9000), false);
    s.tick(at_ms(9999));
    assert_eq!(get(&mut s, 9999, "held").unwrap().lease, Some(id));
    s.tick(at_ms(10_050));
    assert!(get(&mut s, 10_050, "held").is_none());
    assert!(
        get(&mut s, 10_050, "free").is_some(),
        "the second put detached the key from its lease"
    );
    let gone = commit(&mut s, 10_050, txn(&[], vec![put("held", 1, Some(id))]));
    assert_eq!(gone.0, 400);
}

#[test]
fn watch_sees_every_change_and_reports_compaction() {
    let mut s = service();
    s.set_client_refused(ClientId(2), false);
    let open = |s: &mut Service<Memory>, ms, client, request_id| {
        let r = request("GET", "/changes?starts=c/&since=0&hold_ms=1000", Vec::new());
        s.handle(at_ms(ms), ClientId(client), RequestId(request_id), &r);
        s.flush(at_ms(ms)).len()
    };
    assert_eq!((open(&mut s, 0, 1, 1), open(&mut s, 0, 2, 2)), (0, 0));
    commit(&mut s, 10, txn(&[], vec![put("other", 1, None)]));
    s.set_client_refused(ClientId(2), true);
    s.handle(
        at_ms(20),
        ClientId(1),
        RequestId(9),
        &request(
            "POST",
            "/commit",
            txn(&[], vec![put("c/1", 1, None), put("c/2", 1, None)]),
        ),
    );
    let answered: Vec<u64> = s.flush(at_ms(20)).into_iter().map(|(id, _)| id.0).collect();
    assert_eq!(answered, [9, 1], "a refused client's watch stays open");
    s.set_client_refused(ClientId(2), false);
    s.tick(at_ms(1500));
    assert_eq!(s.flush(at_ms(1500)).len(), 1);
    for _ in 0..250 {
        commit(
            &mut s,
            2000,
            txn(
                &[],
                (0..40).map(|i| put(&format!("x/{i}"), 1, None)).collect(),
            ),
        );
    }
    // The service keeps 10,000 changes; the changes of both earlier revisions are dropped.
    assert_eq!(read_changes(&mut s, 2000, 1).unwrap_err(), 410);
    assert_eq!(read_changes(&mut s, 2000, 2).unwrap().events.len(), 10_000);
}
