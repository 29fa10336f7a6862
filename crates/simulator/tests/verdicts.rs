//! Every order of the steps around a verdict: a leader that may be well, frozen
//! or dead at any point, a judge that takes its key at any point, two machines,
//! and messages that are held back. What a report proves is told by the real
//! core; the rest is as small as the protocol allows.

use pebblefold_controller::core::assignment::{Assignment, AssignmentPhase, PresenceProof};
use pebblefold_controller::types::{AgentEpoch, Attempt, FencingToken, HeartbeatSequence};
use std::collections::{BTreeSet, HashSet, VecDeque};

const OLD: u64 = 1;
const NEW: u64 = 2;
/// Reports that a machine makes; more bring nothing new.
const REPORTS: u64 = 2;

/// Decisions that a verdict rests on; each can be switched off.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Off {
    Nothing,
    /// A leader's commits compare the version of its key.
    CommitsAreFenced,
    /// A start is sent only once it is stored.
    StartsAreStored,
    /// A report proves absence only under the new leader's token.
    AbsenceNeedsOurToken,
}

/// What a leader knows of the task's place: machine, attempt, and how far it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Knows {
    Nothing,
    /// The commit is out.
    Storing(usize, u64),
    Stored(usize, u64),
    Sent(usize, u64, u64),
    /// From the records.
    Inherited(usize, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Commit(u64, usize, u64),
    /// The commit's answer.
    Done(u64),
    /// Machine, to the old or new leader, token seen, attempt that it has, number.
    Heartbeat(usize, u64, u64, u64, u64),
    /// To a machine, for this report: token, attempt to start (0: none).
    Answer(usize, u64, u64, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// The key's version: who leads.
    version: u64,
    record: Option<(usize, u64)>,
    old: Knows,
    new: Knows,
    loaded: bool,
    /// Token seen, attempt that runs (0: none), reports made, the one under way.
    machines: [(u64, u64, u64, u64); 2],
    sent: BTreeSet<Message>,
}

impl World {
    /// Whether the task is on two machines.
    fn doubled(&self) -> bool {
        self.machines.iter().all(|m| m.1 > 0)
    }

    /// What a report says to the new leader.
    fn hears(&mut self, off: Off, m: usize, seen: u64, runs: u64, n: u64) {
        let (at, attempt, phase) = match self.new {
            Knows::Inherited(at, a) => (at, a, AssignmentPhase::Inherited),
            Knows::Sent(at, a, n) => (at, a, AssignmentPhase::Sent(HeartbeatSequence(n))),
            _ => return,
        };
        if at != m {
            return;
        }
        let place = Assignment {
            phase,
            ..Assignment::inherited("m".into(), AgentEpoch(1), Attempt(attempt))
        };
        // A report that lists the task proves that it is there; what lists it is
        // not looked at here.
        if runs > 0 {
            return;
        }
        let token = if off == Off::AbsenceNeedsOurToken {
            NEW
        } else {
            seen
        };
        let verdict = place.check_presence(
            AgentEpoch(1),
            HeartbeatSequence(n),
            FencingToken(token),
            FencingToken(NEW),
            None,
        );
        match verdict {
            PresenceProof::Absent => self.place(1 - m, attempt + 1),
            PresenceProof::Undelivered => self.new = Knows::Stored(at, attempt),
            PresenceProof::Present => {}
        }
    }

    /// The new leader places the task.
    fn place(&mut self, m: usize, attempt: u64) {
        self.new = Knows::Storing(m, attempt);
        self.sent.insert(Message::Commit(NEW, m, attempt));
    }

    /// All that may come next.
    fn next(&self, off: Off) -> Vec<World> {
        let mut out = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut w = self.clone();
            change(&mut w);
            if w != *self {
                out.push(w);
            }
        };
        // The old leader decides, at any time: it may not know that it is none.
        if self.old == Knows::Nothing {
            step(&|w| {
                w.old = Knows::Storing(0, 1);
                w.sent.insert(Message::Commit(OLD, 0, 1));
            });
        }
        // A verdict, right or wrong, at any time; then a load, at any later time.
        if self.version == OLD {
            step(&|w| w.version = NEW);
        } else if !self.loaded {
            step(&|w| {
                w.loaded = true;
                match w.record {
                    Some((m, a)) => w.new = Knows::Inherited(m, a),
                    None => w.place(1, 1),
                }
            });
        }
        for m in 0..2 {
            let (seen, runs, made, under_way) = self.machines[m];
            if under_way == 0 && made < REPORTS {
                for to in [OLD, NEW] {
                    step(&|w| {
                        w.machines[m].2 += 1;
                        w.machines[m].3 = made + 1;
                        w.sent
                            .insert(Message::Heartbeat(m, to, seen, runs, made + 1));
                    });
                }
            }
            // It gives a report up; whatever answers it is dropped.
            if under_way > 0 {
                step(&|w| w.machines[m].3 = 0);
            }
        }
        for message in &self.sent {
            step(&|w| {
                w.sent.remove(message);
                w.deliver(off, *message);
            });
        }
        out
    }

    fn deliver(&mut self, off: Off, message: Message) {
        match message {
            Message::Commit(token, m, attempt) => {
                if token == self.version || off == Off::CommitsAreFenced {
                    self.record = Some((m, attempt));
                    self.sent.insert(Message::Done(token));
                }
            }
            Message::Done(token) => {
                let of = if token == OLD {
                    &mut self.old
                } else {
                    &mut self.new
                };
                if let Knows::Storing(m, a) = *of {
                    *of = Knows::Stored(m, a);
                }
            }
            Message::Heartbeat(m, to, seen, runs, n) => {
                // A leader that hears of a higher token is none.
                if to == OLD && seen > OLD || to == NEW && !self.loaded {
                    return;
                }
                if to == NEW {
                    self.hears(off, m, seen, runs, n);
                }
                let knows = if to == OLD {
                    &mut self.old
                } else {
                    &mut self.new
                };
                let start = match *knows {
                    Knows::Stored(at, a) if at == m => a,
                    Knows::Storing(at, a) if at == m && off == Off::StartsAreStored => a,
                    _ => 0,
                };
                if start > 0 {
                    *knows = Knows::Sent(m, start, n);
                }
                self.sent.insert(Message::Answer(m, n, to, start));
            }
            Message::Answer(m, n, token, start) => {
                let (seen, runs, _, under_way) = &mut self.machines[m];
                if *under_way != n || token < *seen {
                    return;
                }
                *under_way = 0;
                *seen = token.max(*seen);
                if start > 0 {
                    *runs = start;
                }
            }
        }
    }
}

/// Looks through every order; how many worlds there are, and one in which the
/// task is on two machines.
fn explore(off: Off) -> (usize, Option<World>) {
    let first = World {
        version: OLD,
        record: None,
        old: Knows::Nothing,
        new: Knows::Nothing,
        loaded: false,
        machines: [(0, 0, 0, 0); 2],
        sent: BTreeSet::new(),
    };
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        if world.doubled() {
            return (seen.len(), Some(world));
        }
        for next in world.next(off) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn a_verdict_at_any_moment_doubles_no_start() {
    let (worlds, breach) = explore(Off::Nothing);
    println!("{worlds} worlds");
    assert_eq!(breach, None);
    assert!(worlds > 10_000, "{worlds}");
}

// Without any one of what the argument rests on there is an order that doubles a
// task: the search sees what it looks for.
#[test]
fn each_decision_is_needed() {
    for off in [
        Off::CommitsAreFenced,
        Off::StartsAreStored,
        Off::AbsenceNeedsOurToken,
    ] {
        let (worlds, breach) = explore(off);
        println!("{off:?}: after {worlds} worlds");
        assert!(breach.is_some(), "{off:?} was not missed");
    }
}
