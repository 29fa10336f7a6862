//! Every order of the steps around a rise of the level: three nodes that are put on
//! an older and a newer build, whose reads, registrations, writes and rises are the
//! real registry's, over a store that applies what is sent at any later time.

use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::core::format_version::member_versions::{
    ACTIVE_VERSION_KEY, BUILD, LEADER_KEY, MemberVersions, version_precondition,
};
use pebblefold_controller::core::format_version::{FormatVersion, SupportedVersions};
use pebblefold_controller::types::{NodeId, Time, TimeSpan, Version};
use pebblefold_controller::wire::kvstore::{Entry, Operation, Precondition, Transaction};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

const OLDER: SupportedVersions = SupportedVersions {
    low: FormatVersion(0),
    high: FormatVersion(1),
};
const NEWER: SupportedVersions = SupportedVersions {
    low: FormatVersion(0),
    high: FormatVersion(2),
};
/// What users write, in the form of the level that its writer goes by.
const DATA: &str = "job/wk-1";

fn label(n: usize) -> NodeId {
    format!("node-{n}").as_str().into()
}

#[derive(Clone, Debug)]
struct Node {
    range: SupportedVersions,
    registry: MemberVersions,
    /// The version of the leader's key under which it leads, if it thinks so.
    holds: Option<u64>,
}

impl Node {
    fn new(n: usize, range: SupportedVersions, life: u64) -> Node {
        Node {
            range,
            registry: MemberVersions::new(label(n), Some(range), BTreeMap::new(), life),
            holds: None,
        }
    }
}

#[derive(Clone, Debug)]
struct World {
    revision: u64,
    keys: BTreeMap<String, (serde_json::Value, u64)>,
    nodes: Vec<Node>,
    /// Transactions that were sent and may be applied at any time, by who sent them.
    sent: BTreeSet<(usize, String)>,
    rolls: u32,
    writes: u32,
    claims: u32,
    broken: Option<&'static str>,
}

fn number(v: &serde_json::Value) -> u32 {
    v["level"].as_u64().unwrap_or(0) as u32
}

impl World {
    fn level(&self) -> u32 {
        self.keys
            .get(ACTIVE_VERSION_KEY)
            .map_or(0, |(v, _)| number(v))
    }

    fn apply(&mut self, txn: &Transaction) -> bool {
        let version = |key: &str| self.keys.get(key).map_or(0, |(_, v)| *v);
        if txn
            .conditions
            .iter()
            .any(|c| version(&c.key) != c.version.0)
        {
            return false;
        }
        let before = self.level();
        self.revision += 1;
        for op in &txn.ops {
            if let Operation::Put { key, value, .. } = op {
                let stored = (value.clone(), self.revision);
                self.keys.insert(key.clone(), stored);
                if key == DATA && number(value) != before {
                    self.broken = Some("a write in another form than the level's");
                }
            }
        }
        if !(before..=before + 1).contains(&self.level()) {
            self.broken = Some("the level moved by more than a step");
        }
        true
    }

    fn send(&mut self, n: usize, txn: &Transaction) {
        let text = serde_json::to_string(txn).unwrap();
        self.sent.insert((n, text));
    }

    fn look(&mut self) {
        let level = FormatVersion(self.level());
        let reads = |n: &Node| n.registry.check_serving().is_err() || n.range.contains(level);
        if !self.nodes.iter().all(reads) {
            self.broken = Some("a node serves what it cannot read");
        }
    }

    fn read(&mut self, n: usize) {
        let entry = |(key, (value, version)): (&String, &(serde_json::Value, u64))| Entry {
            key: key.clone(),
            value: value.clone(),
            version: Version(*version),
        };
        let all = self.keys.iter().filter(|(k, _)| k.starts_with("w/"));
        let entries: Vec<Entry> = all.map(entry).collect();
        self.nodes[n].registry.load(&entries);
    }

    fn print(&self) -> String {
        format!(
            "{:?}",
            (
                &self.keys,
                &self.nodes,
                &self.sent,
                self.rolls,
                self.writes,
                self.claims
            )
        )
    }

    fn next(&self) -> Vec<World> {
        let mut out = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut w = self.clone();
            change(&mut w);
            w.look();
            out.push(w);
        };
        let now = Time(0) + TimeSpan::secs(100.0);
        for (n, node) in self.nodes.iter().enumerate() {
            // Put on the other build, at any time; its process knows nothing then.
            if self.rolls > 0 && n == 2 {
                step(&|w| {
                    w.rolls -= 1;
                    let other = if node.range == NEWER { OLDER } else { NEWER };
                    w.nodes[n] = Node::new(n, other, u64::from(w.rolls) + 7);
                });
            }
            // It reads, or its watch tells, as late as may be.
            step(&|w| w.read(n));
            if let Some(txn) = node.registry.registration() {
                step(&|w| w.send(n, &txn));
            }
            if node.registry.check_serving().is_err() {
                continue;
            }
            if self.writes > 0 && n > 0 {
                step(&|w| {
                    w.writes -= 1;
                    let compared = node.registry.version_fence();
                    let txn = Transaction {
                        conditions: compared.map(version_precondition).into_iter().collect(),
                        ops: vec![Operation::Put {
                            key: DATA.into(),
                            value: serde_json::json!({ "level": node.registry.active_version() }),
                            lease: None,
                        }],
                    };
                    w.send(n, &txn);
                });
            }
            // It takes the leader's key, whoever has it.
            if self.claims > 0 && n == 0 {
                step(&|w| {
                    w.claims -= 1;
                    w.revision += 1;
                    let version = w.revision;
                    w.keys
                        .insert(LEADER_KEY.into(), (serde_json::json!(n), version));
                    w.nodes[n].holds = Some(version);
                });
            }
            // What it heard in greetings may be as old as can be: all that every
            // build that ever ran there said.
            if let Some(version) = node.holds {
                let mut registry = node.registry.clone();
                let peers: Vec<NodeId> = (0..3).filter(|m| *m != n).map(label).collect();
                for peer in &peers {
                    let said = MemberVersions::new(peer.clone(), Some(NEWER), BTreeMap::new(), 1)
                        .own_build();
                    for ms in (0..=100).map(|s| s * 1000) {
                        registry.record_peer_build(
                            Time(0) + TimeSpan::millis(ms),
                            peer,
                            said.clone(),
                        );
                    }
                }
                if let Ok(rise) = registry.next_activation(now, &peers, FormatVersion(9)) {
                    let mut conditions = rise.conditions;
                    conditions.push(Precondition {
                        key: LEADER_KEY.into(),
                        version: Version(version),
                    });
                    let txn = Transaction {
                        conditions,
                        ops: rise.ops,
                    };
                    step(&|w| w.send(n, &txn));
                }
            }
        }
        for sent in &self.sent {
            step(&|w| {
                w.sent.remove(sent);
                let txn: Transaction = serde_json::from_str(&sent.1).unwrap();
                w.apply(&txn);
            });
        }
        out
    }
}

/// Looks through every order up to so many worlds; how many there were, and what
/// broke.
fn explore(most: usize) -> (usize, Option<&'static str>) {
    let at = |n: usize| format!("w/leader/at/{}", label(n));
    let said = |range: SupportedVersions| serde_json::json!({"levels": range, "build": BUILD, "policy": {}, "life": 1});
    let mut keys = BTreeMap::from([
        (
            ACTIVE_VERSION_KEY.to_string(),
            (serde_json::json!({"level": 1}), 1),
        ),
        ("w/leader/done".into(), (serde_json::json!({"level": 1}), 1)),
    ]);
    // Two are on the newer build already, one is still to be rolled.
    let ranges = [NEWER, NEWER, OLDER];
    for (n, range) in ranges.iter().enumerate() {
        keys.insert(at(n), (said(*range), 2 + n as u64));
    }
    let first = World {
        revision: 9,
        keys,
        nodes: (0..3).map(|n| Node::new(n, ranges[n], 1)).collect(),
        sent: BTreeSet::new(),
        rolls: 2,
        writes: 1,
        claims: 1,
        broken: None,
    };
    let mut first = first;
    for n in 0..3 {
        first.read(n);
    }
    let mut seen = HashSet::from([first.print()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        for next in world.next() {
            if let Some(what) = next.broken {
                return (seen.len(), Some(what));
            }
            if seen.len() < most && seen.insert(next.print()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn no_order_of_a_rise_and_a_roll_back_does_harm() {
    let (worlds, broken) = explore(2_000_000);
    println!("{worlds} worlds");
    assert_eq!(broken, None);
    assert!(worlds > 10_000, "{worlds}");
}

// Without any one of what the argument rests on there is an order that does harm:
// the search sees what it looks for.
#[test]
fn each_decision_is_needed() {
    for off in [
        SafetyCheck::WritesCompareFormatVersion,
        SafetyCheck::RegisterBeforeActing,
        SafetyCheck::EachProcessRegisters,
        SafetyCheck::ActivationComparesMembers,
    ] {
        disable_check(&[off]);
        let (worlds, broken) = explore(2_000_000);
        disable_check(&[]);
        println!("{off:?}: {broken:?} after {worlds} worlds");
        assert!(broken.is_some(), "{off:?} was not missed");
    }
}

// A level that came before all records had the form of the last one would leave
// records two forms old, which its builds need not read.
#[test]
fn the_next_level_waits_for_the_last_ones_records() {
    let three = SupportedVersions {
        low: FormatVersion(0),
        high: FormatVersion(3),
    };
    let mut alone = MemberVersions::new(label(0), Some(three), BTreeMap::new(), 1);
    let level = |key: &str, n: u32| Entry {
        key: key.into(),
        value: serde_json::json!({ "level": n }),
        version: Version(1),
    };
    alone.load(&[level(ACTIVE_VERSION_KEY, 2), level("w/leader/done", 1)]);
    alone.record_registration(Version(2));
    let rises = |r: &MemberVersions| r.next_activation(Time(0), &[], FormatVersion(9)).is_ok();
    assert!(!rises(&alone));
    disable_check(&[SafetyCheck::RewrittenBeforeActivation]);
    let early = rises(&alone);
    disable_check(&[]);
    assert!(early, "the decision was not missed");
    alone.load(&[level(ACTIVE_VERSION_KEY, 2), level("w/leader/done", 2)]);
    alone.record_registration(Version(2));
    assert!(rises(&alone));
}
