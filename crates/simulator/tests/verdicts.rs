//! Explores every order of the steps around the replacement of a suspected leader: a leader
//! that may be healthy, frozen or dead at any point, a peer that replaces the leader key at
//! any point, two machines, and delayed messages. The controller's own code evaluates what a
//! heartbeat proves; the rest of the model is as small as the protocol allows.

use pebblefold_controller::core::assignment::{Assignment, AssignmentPhase, PresenceProof};
use pebblefold_controller::types::{AgentEpoch, Attempt, FencingToken, HeartbeatSequence};
use std::collections::{BTreeSet, HashSet, VecDeque};

const OLD_TOKEN: u64 = 1;
const NEW_TOKEN: u64 = 2;
/// Heartbeats that each machine sends; more of them reach no new kind of state.
const MAX_HEARTBEATS: u64 = 2;

/// Safety checks that a safe replacement depends on; each can be disabled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisabledCheck {
    Nothing,
    /// A leader's commits compare the version of the leader key.
    CommitsAreFenced,
    /// A task start is sent only once it is stored.
    StartsAreStored,
    /// A heartbeat proves a task's absence only under the new leader's fencing token.
    AbsenceNeedsOurToken,
}

/// A leader's assignment of the task: phase, machine and attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum LeaderAssignment {
    Unassigned,
    /// The commit is in flight.
    Storing(usize, u64),
    Stored(usize, u64),
    /// The start was sent: machine, attempt, number of the heartbeat that it answered.
    Sent(usize, u64, u64),
    /// Loaded from the stored record.
    Inherited(usize, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// To the store: fencing token, machine, attempt.
    Commit(u64, usize, u64),
    /// The store's answer to a commit, for the leader with this fencing token.
    CommitDone(u64),
    /// Machine, fencing token of the receiving leader, highest token that the machine has
    /// seen, attempt that runs on the machine (0: none), heartbeat number.
    Heartbeat(usize, u64, u64, u64, u64),
    /// To a machine: the machine, number of the heartbeat answered, the leader's fencing
    /// token, attempt to start (0: none).
    Answer(usize, u64, u64, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClusterState {
    /// Version of the leader key: the fencing token of the current leader.
    version: u64,
    /// Stored record of the task: machine and attempt.
    record: Option<(usize, u64)>,
    old: LeaderAssignment,
    new: LeaderAssignment,
    /// Whether the new leader has loaded the record.
    loaded: bool,
    /// Per machine: highest token seen, attempt that runs (0: none), heartbeats sent, number
    /// of the heartbeat in flight (0: none).
    machines: [(u64, u64, u64, u64); 2],
    in_flight: BTreeSet<Message>,
}

impl ClusterState {
    /// Whether the task is on two machines.
    fn runs_twice(&self) -> bool {
        self.machines.iter().all(|m| m.1 > 0)
    }

    /// Applies heartbeat `n` of machine `m` to the new leader's assignment.
    fn apply_heartbeat(&mut self, disabled: DisabledCheck, m: usize, seen: u64, runs: u64, n: u64) {
        let (assigned_to, attempt, phase) = match self.new {
            LeaderAssignment::Inherited(machine, a) => (machine, a, AssignmentPhase::Inherited),
            LeaderAssignment::Sent(machine, a, n) => {
                (machine, a, AssignmentPhase::Sent(HeartbeatSequence(n)))
            }
            _ => return,
        };
        if assigned_to != m {
            return;
        }
        let assignment = Assignment {
            phase,
            ..Assignment::inherited("m".into(), AgentEpoch(1), Attempt(attempt))
        };
        // A heartbeat that lists the task proves that the task is on the machine; the model
        // does not cover how the leader handles the listed task.
        if runs > 0 {
            return;
        }
        let token = if disabled == DisabledCheck::AbsenceNeedsOurToken {
            NEW_TOKEN
        } else {
            seen
        };
        let proof = assignment.check_presence(
            AgentEpoch(1),
            HeartbeatSequence(n),
            FencingToken(token),
            FencingToken(NEW_TOKEN),
            None,
        );
        match proof {
            PresenceProof::Absent => self.place(1 - m, attempt + 1),
            PresenceProof::Undelivered => self.new = LeaderAssignment::Stored(assigned_to, attempt),
            PresenceProof::Present => {}
        }
    }

    /// The new leader assigns the task to machine `m`.
    fn place(&mut self, m: usize, attempt: u64) {
        self.new = LeaderAssignment::Storing(m, attempt);
        self.in_flight
            .insert(Message::Commit(NEW_TOKEN, m, attempt));
    }

    /// All states that one step can lead to.
    fn successors(&self, disabled: DisabledCheck) -> Vec<ClusterState> {
        let mut successors = Vec::new();
        let mut step = |change: &dyn Fn(&mut ClusterState)| {
            let mut w = self.clone();
            change(&mut w);
            if w != *self {
                successors.push(w);
            }
        };
        // The old leader may decide at any time, also after it was replaced without noticing.
        if self.old == LeaderAssignment::Unassigned {
            step(&|w| {
                w.old = LeaderAssignment::Storing(0, 1);
                w.in_flight.insert(Message::Commit(OLD_TOKEN, 0, 1));
            });
        }
        // A peer replaces the leader, rightly or wrongly, at any time; the new leader loads the
        // record at any later time.
        if self.version == OLD_TOKEN {
            step(&|w| w.version = NEW_TOKEN);
        } else if !self.loaded {
            step(&|w| {
                w.loaded = true;
                match w.record {
                    Some((m, a)) => w.new = LeaderAssignment::Inherited(m, a),
                    None => w.place(1, 1),
                }
            });
        }
        for m in 0..2 {
            let (seen, runs, sent, in_flight) = self.machines[m];
            if in_flight == 0 && sent < MAX_HEARTBEATS {
                for to in [OLD_TOKEN, NEW_TOKEN] {
                    step(&|w| {
                        w.machines[m].2 += 1;
                        w.machines[m].3 = sent + 1;
                        w.in_flight
                            .insert(Message::Heartbeat(m, to, seen, runs, sent + 1));
                    });
                }
            }
            // The machine abandons a heartbeat and then drops its answer.
            if in_flight > 0 {
                step(&|w| w.machines[m].3 = 0);
            }
        }
        for message in &self.in_flight {
            step(&|w| {
                w.in_flight.remove(message);
                w.deliver(disabled, *message);
            });
        }
        successors
    }

    fn deliver(&mut self, disabled: DisabledCheck, message: Message) {
        match message {
            Message::Commit(token, m, attempt) => {
                if token == self.version || disabled == DisabledCheck::CommitsAreFenced {
                    self.record = Some((m, attempt));
                    self.in_flight.insert(Message::CommitDone(token));
                }
            }
            Message::CommitDone(token) => {
                let assignment = if token == OLD_TOKEN {
                    &mut self.old
                } else {
                    &mut self.new
                };
                if let LeaderAssignment::Storing(m, a) = *assignment {
                    *assignment = LeaderAssignment::Stored(m, a);
                }
            }
            Message::Heartbeat(m, to, seen, runs, n) => {
                // A leader that receives a higher fencing token is no longer the leader.
                if to == OLD_TOKEN && seen > OLD_TOKEN || to == NEW_TOKEN && !self.loaded {
                    return;
                }
                if to == NEW_TOKEN {
                    self.apply_heartbeat(disabled, m, seen, runs, n);
                }
                let assignment = if to == OLD_TOKEN {
                    &mut self.old
                } else {
                    &mut self.new
                };
                let start = match *assignment {
                    LeaderAssignment::Stored(machine, a) if machine == m => a,
                    LeaderAssignment::Storing(machine, a)
                        if machine == m && disabled == DisabledCheck::StartsAreStored =>
                    {
                        a
                    }
                    _ => 0,
                };
                if start > 0 {
                    *assignment = LeaderAssignment::Sent(m, start, n);
                }
                self.in_flight.insert(Message::Answer(m, n, to, start));
            }
            Message::Answer(m, n, token, start) => {
                let (seen, runs, _, in_flight) = &mut self.machines[m];
                if *in_flight != n || token < *seen {
                    return;
                }
                *in_flight = 0;
                *seen = token.max(*seen);
                if start > 0 {
                    *runs = start;
                }
            }
        }
    }
}

/// Explores every order of steps. Returns the number of states found, and a state in which
/// the task runs on two machines, if any.
fn explore(disabled: DisabledCheck) -> (usize, Option<ClusterState>) {
    let initial = ClusterState {
        version: OLD_TOKEN,
        record: None,
        old: LeaderAssignment::Unassigned,
        new: LeaderAssignment::Unassigned,
        loaded: false,
        machines: [(0, 0, 0, 0); 2],
        in_flight: BTreeSet::new(),
    };
    let mut seen = HashSet::from([initial.clone()]);
    let mut queue = VecDeque::from([initial]);
    while let Some(state) = queue.pop_front() {
        if state.runs_twice() {
            return (seen.len(), Some(state));
        }
        for next in state.successors(disabled) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn replacing_a_leader_never_runs_a_task_twice() {
    let (states, breach) = explore(DisabledCheck::Nothing);
    println!("{states} states");
    assert_eq!(breach, None);
    assert!(states > 10_000, "{states}");
}

// With any one safety check disabled the search finds an order of steps that runs the task
// twice, so each check is needed and the search can find the fault.
#[test]
fn each_safety_check_is_needed() {
    for disabled in [
        DisabledCheck::CommitsAreFenced,
        DisabledCheck::StartsAreStored,
        DisabledCheck::AbsenceNeedsOurToken,
    ] {
        let (states, breach) = explore(disabled);
        println!("{disabled:?}: after {states} states");
        assert!(
            breach.is_some(),
            "the search found no fault without {disabled:?}"
        );
    }
}
