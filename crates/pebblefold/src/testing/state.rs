//! A stand-in for the state service.

use crate::types::Version;
use crate::wire::state::{Change, Changes, Entries, Entry, Lease, LeaseRequest, Op, Revision, Txn};
use crate::wire::{decode, encode};
use serde_json::Value;
use std::collections::BTreeMap;

struct Key {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct LeaseState {
    life_us: u64,
    ends: u64,
}

/// The service's state.
#[derive(Default)]
pub struct State {
    keys: BTreeMap<String, Key>,
    revision: u64,
    leases: BTreeMap<u64, LeaseState>,
    log: Vec<Change>,
    next_lease: u64,
    /// Answers everybody with 503.
    pub out: bool,
    /// Answers these nodes with 503.
    pub refused: Vec<usize>,
    /// Protocol breaches seen.
    pub breaches: Vec<String>,
}

/// What becomes of a request.
pub enum Handled {
    /// An answer.
    Now(u16, Vec<u8>),
    /// A watch: answer when something below the prefix changes, or at a time.
    Later(String, u64, u64),
}

fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl State {
    /// Handles a request of a node.
    pub fn handle(
        &mut self,
        now: u64,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Handled {
        if self.out || self.refused.contains(&node) {
            return Handled::Now(503, Vec::new());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path.splitn(3, '/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["keys", key]) => match self.keys.get(*key) {
                Some(k) => Handled::Now(
                    200,
                    encode(&Entry {
                        key: key.to_string(),
                        value: k.value.clone(),
                        version: Version(k.version),
                    }),
                ),
                None => Handled::Now(404, encode(&self.mark(Vec::new()))),
            },
            ("GET", ["keys"]) => {
                let starts = param(query, "starts").unwrap_or("");
                let since = param(query, "since").unwrap_or("");
                let most: usize = param(query, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(1000);
                let mut items: Vec<Entry> = self
                    .keys
                    .range(starts.to_string()..)
                    .take_while(|(k, _)| k.starts_with(starts))
                    .filter(|(k, _)| k.as_str() > since)
                    .take(most + 1)
                    .map(|(k, v)| Entry {
                        key: k.clone(),
                        value: v.value.clone(),
                        version: Version(v.version),
                    })
                    .collect();
                let more = items.len() > most;
                items.truncate(most);
                Handled::Now(
                    200,
                    encode(&Entries {
                        items,
                        more,
                        revision: Version(self.revision),
                    }),
                )
            }
            ("GET", ["changes"]) => {
                let starts = param(query, "starts").unwrap_or("").to_string();
                let since: u64 = param(query, "since")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(0);
                let hold: u64 = param(query, "hold_ms")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(0);
                match self.changes(&starts, since, hold == 0) {
                    Some(body) => Handled::Now(200, body),
                    None => Handled::Later(starts, since, now + hold * 1000),
                }
            }
            ("POST", ["commit"]) => self.commit(body),
            ("POST", ["leases"]) => {
                let Some(r) = decode::<LeaseRequest>(body) else {
                    return Handled::Now(400, Vec::new());
                };
                self.next_lease += 1;
                let life_us = r.ttl_ms * 1000;
                self.leases.insert(
                    self.next_lease,
                    LeaseState {
                        life_us,
                        ends: now + life_us,
                    },
                );
                Handled::Now(
                    200,
                    encode(&Lease {
                        lease: self.next_lease,
                    }),
                )
            }
            ("POST", ["leases", rest]) => {
                let id = rest
                    .strip_suffix("/touch")
                    .and_then(|i| i.parse::<u64>().ok());
                match id.and_then(|i| self.leases.get_mut(&i)) {
                    Some(l) => {
                        l.ends = now + l.life_us;
                        Handled::Now(200, Vec::new())
                    }
                    None => Handled::Now(404, Vec::new()),
                }
            }
            ("DELETE", ["leases", id]) => {
                if let Ok(id) = id.parse() {
                    self.end_lease(id);
                }
                Handled::Now(200, Vec::new())
            }
            _ => {
                self.breaches.push(format!("{method} {target}"));
                Handled::Now(400, Vec::new())
            }
        }
    }

    fn mark(&self, failed: Vec<String>) -> Revision {
        Revision {
            revision: Version(self.revision),
            failed,
        }
    }

    /// The changes below a prefix, if there are any or `always`.
    pub fn changes(&self, starts: &str, since: u64, always: bool) -> Option<Vec<u8>> {
        let events: Vec<Change> = self
            .log
            .iter()
            .rev()
            .take_while(|c| c.version.0 > since)
            .filter(|c| {
                c.put
                    .as_ref()
                    .or(c.delete.as_ref())
                    .is_some_and(|k| k.starts_with(starts))
            })
            .cloned()
            .collect();
        let events: Vec<Change> = events.into_iter().rev().collect();
        (always || !events.is_empty()).then(|| {
            encode(&Changes {
                revision: Version(self.revision),
                events,
            })
        })
    }

    fn commit(&mut self, body: &[u8]) -> Handled {
        let Some(txn) = decode::<Txn>(body) else {
            self.breaches.push("a commit cannot be read".into());
            return Handled::Now(400, Vec::new());
        };
        let large = |v: &Value| serde_json::to_vec(v).unwrap().len() > 8192;
        if txn.ops.len() > 48
            || txn.conditions.len() > 192
            || serde_json::to_vec(&txn).unwrap().len() > 65536
            || txn
                .ops
                .iter()
                .any(|o| matches!(o, Op::Put { value, .. } if large(value)))
        {
            self.breaches.push("a commit is over a limit".into());
            return Handled::Now(400, Vec::new());
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.version) != c.version.0)
            .map(|c| c.key.clone())
            .collect();
        let dead =
            |o: &Op| matches!(o, Op::Put { lease: Some(l), .. } if !self.leases.contains_key(l));
        if txn.ops.iter().any(dead) {
            return Handled::Now(400, Vec::new());
        }
        if !failed.is_empty() {
            return Handled::Now(409, encode(&self.mark(failed)));
        }
        self.revision += 1;
        for op in txn.ops {
            match op {
                Op::Put { key, value, lease } => {
                    self.log.push(Change {
                        put: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        version: Version(self.revision),
                    });
                    self.keys.insert(
                        key,
                        Key {
                            value,
                            version: self.revision,
                            lease,
                        },
                    );
                }
                Op::Delete { key } => self.delete(&key),
            }
        }
        Handled::Now(200, encode(&self.mark(Vec::new())))
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push(Change {
                put: None,
                delete: Some(key.into()),
                value: Value::Null,
                version: Version(self.revision),
            });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in keys {
            self.revision += 1;
            self.delete(&k);
        }
    }

    /// Ends leases that were not renewed.
    pub fn tick(&mut self, now: u64) {
        if self.out {
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| now > l.ends)
            .map(|(&i, _)| i)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    /// After an outage every lease has its full time again.
    pub fn back(&mut self, now: u64) {
        self.out = false;
        for l in self.leases.values_mut() {
            l.ends = now + l.life_us;
        }
    }

    /// Keys below a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}
