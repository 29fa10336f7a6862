//! Transactions that the key-value store refuses with status 400.

use super::*;
use crate::core::Reply;
use crate::core::assignment::{Assignment, AssignmentPhase};
use crate::core::job_records::{self, Job};
use crate::core::leader::{Leader, LeadershipOutcome};
use crate::core::quota::arrival_history;
use crate::core::store_limits::MIN_VALUE_BYTES;
use crate::testing::{effects_at, leader, submission};
use crate::types::{AgentEpoch, Attempt, JobId, MachineId, Version, WallTime};
use crate::wire;
use crate::wire::kvstore::{Transaction, TransactionResponse};
use crate::wire::users::JobShape;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A key-value store with limits, reduced to what transactions need.
struct LimitedStore {
    operations: usize,
    value_bytes: usize,
    /// A key of which every write is refused, whatever its size.
    refused_key: Option<String>,
    stored: BTreeMap<String, serde_json::Value>,
    refusals: u32,
    revision: u64,
}

impl LimitedStore {
    fn new(operations: usize, value_bytes: usize) -> LimitedStore {
        LimitedStore {
            operations,
            value_bytes,
            refused_key: None,
            stored: BTreeMap::new(),
            refusals: 0,
            revision: 100,
        }
    }

    fn refuses(&self, transaction: &Transaction) -> bool {
        let size = TransactionSize::of(transaction);
        let mut keys = transaction.ops.iter().map(Operation::key);
        size.operations > self.operations
            || size.preconditions > 4 * self.operations
            || size.largest_value_bytes > self.value_bytes
            || keys.any(|key| Some(key) == self.refused_key.as_deref())
    }

    fn commit(&mut self, transaction: &Transaction) -> Reply {
        if self.refuses(transaction) {
            self.refusals += 1;
            return Reply::Answer(400, Vec::new());
        }
        self.revision += 1;
        for op in &transaction.ops {
            match op {
                Operation::Put { key, value, .. } => {
                    self.stored.insert(key.clone(), value.clone());
                }
                Operation::Delete { key } => {
                    self.stored.remove(key);
                }
            }
        }
        let response = TransactionResponse {
            revision: Version(self.revision),
            failed: Vec::new(),
        };
        Reply::Answer(200, wire::encode(&response))
    }

    /// Commits what the leader sends for some seconds. Returns the first outcome that ends
    /// its term.
    fn serve(
        &mut self,
        leader: &mut Leader,
        effects: &mut Effects,
        seconds: f64,
    ) -> LeadershipOutcome {
        let end = effects.now.time + TimeSpan::secs(seconds);
        while effects.now.time < end {
            effects.now.time = effects.now.time + TimeSpan::millis(10);
            leader.submit_next_transaction(effects);
            effects.take_outputs();
            if !leader.writer.pipeline.call_outstanding {
                continue;
            }
            let in_flight = leader.writer.pipeline.in_flight.clone().unwrap();
            let reply = self.commit(&in_flight.transaction);
            let outcome = leader.handle_commit_reply(effects, reply);
            if outcome != LeadershipOutcome::Continue {
                return outcome;
            }
        }
        LeadershipOutcome::Continue
    }

    fn has_chunk(&self, id: &str, chunk: u32) -> bool {
        let key = job_records::chunk_key(&JobId::from(id), chunk);
        self.stored.contains_key(&key)
    }
}

/// Adds a job whose tasks are all assigned to a machine each and not stored yet.
fn place_job(leader: &mut Leader, id: &str, shape: JobShape, tasks: u32) {
    let spec = Rc::new(submission(id, shape, tasks));
    let mut job = Job::new(spec, WallTime(0), Version(7), 1);
    for task in 0..tasks {
        job.waiting.remove(task);
        let change = job.record_change(leader.cluster.chunk_size, task);
        let machine = format!("host-{task:06}");
        let unsent = Assignment {
            change,
            phase: AssignmentPhase::Unsent,
            ..Assignment::inherited(machine.as_str().into(), AgentEpoch(1), Attempt(1))
        };
        job.assignments.insert(task, unsent);
    }
    job.attempt = Attempt(1);
    for chunk in 0..tasks.div_ceil(leader.cluster.chunk_size.0) {
        let dirty_chunks = &mut leader.cluster.unwritten.dirty_chunks;
        dirty_chunks.mark((id.into(), chunk), Time(0), true);
    }
    leader.cluster.jobs.insert(id.into(), job);
}

fn id(number: usize) -> String {
    format!("wk-{number:03}")
}

// The store lowers its limit on operations. Each leader built the same transaction from
// the stored records, was refused and stepped down: no task was started any more.
#[test]
fn refused_transaction_is_written_in_smaller_ones() {
    for operations in [40, 16, 5, 2] {
        let (mut leader, mut effects) = (leader(), effects_at(1.0));
        let mut store = LimitedStore::new(operations, 8192);
        for number in 0..32 {
            place_job(&mut leader, &id(number), JobShape::Array, 1);
        }
        let outcome = store.serve(&mut leader, &mut effects, 10.0);
        assert_eq!(outcome, LeadershipOutcome::Continue);
        assert!((0..32).all(|number| store.has_chunk(&id(number), 0)));
        assert!(store.refusals <= 5, "{} refusals", store.refusals);
    }
}

// A transaction whose answer was lost may still be executed, also after a retry of it was
// refused for its size. Only a new fencing token rules that out.
#[test]
fn refused_retry_of_lost_commit_ends_the_term() {
    let (mut leader, mut effects) = (leader(), effects_at(1.0));
    for number in 0..32 {
        place_job(&mut leader, &id(number), JobShape::Array, 1);
    }
    leader.submit_next_transaction(&mut effects);
    leader.handle_commit_reply(&mut effects, Reply::OutcomeUnknown);
    effects.now.time = effects.now.time + TimeSpan::secs(5.0);
    leader.submit_next_transaction(&mut effects);
    let refused = Reply::Answer(400, Vec::new());
    let outcome = leader.handle_commit_reply(&mut effects, refused);
    let unknown = LeadershipOutcome::StepDown("a write's outcome is unknown");
    assert_eq!(outcome, unknown);
    let limit = effects.store_limits.commit_operations();
    assert_eq!(limit, 16, "this controller's next term sends less at once");
}

// A write that is malformed stays refused in every term, so a leader that stepped down
// over it would be followed by leaders that do too.
#[test]
fn write_refused_for_another_reason_delays_no_other() {
    for number in [0, 7, 31] {
        let (mut leader, mut effects) = (leader(), effects_at(1.0));
        let mut store = LimitedStore::new(48, 8192);
        for other in 0..32 {
            place_job(&mut leader, &id(other), JobShape::Array, 1);
        }
        let refused = job_records::chunk_key(&JobId::from(id(number).as_str()), 0);
        store.refused_key = Some(refused);
        let outcome = store.serve(&mut leader, &mut effects, 5.0);
        assert_eq!(outcome, LeadershipOutcome::Continue);
        for other in 0..32 {
            assert_eq!(store.has_chunk(&id(other), 0), other != number, "{other}");
        }
        assert!(store.refusals < 20, "{} refusals", store.refusals);
        let limits = *effects.store_limits.current();
        assert_eq!((limits.txn_ops, limits.value_bytes), (48, 8192));
        // It is repeated, and written once the store accepts it.
        store.refused_key = None;
        store.serve(&mut leader, &mut effects, REFUSED_WRITE_PAUSE.as_secs());
        assert!(store.has_chunk(&id(number), 0));
    }
}

// A chunk's number of tasks follows from the configured limit on values. With a lower
// limit its record may exceed it.
#[test]
fn starts_that_do_not_fit_into_a_record_wait_again() {
    let (mut leader, mut effects) = (leader(), effects_at(1.0));
    let mut store = LimitedStore::new(48, 1024);
    place_job(&mut leader, "wk-1", JobShape::Array, 64);
    place_job(&mut leader, "wk-2", JobShape::Array, 3);
    let outcome = store.serve(&mut leader, &mut effects, 5.0);
    assert_eq!(outcome, LeadershipOutcome::Continue);
    assert!(store.has_chunk("wk-1", 0) && store.has_chunk("wk-2", 0));
    let job = &leader.cluster.jobs[&JobId::from("wk-1")];
    let placed = job.assignments.len() as u32;
    assert!((20..64).contains(&placed), "{placed} tasks are placed");
    assert_eq!(job.waiting.len(), 64 - placed);
    let size = leader.cluster.chunk_size;
    for (&task, assignment) in &job.assignments {
        assert!(job.is_stored(size, task, assignment.change), "task {task}");
    }
}

// A gang starts as a whole or not at all: no part of it may keep its machines.
#[test]
fn gang_that_does_not_fit_into_a_record_is_withdrawn_as_a_whole() {
    let (mut leader, mut effects) = (leader(), effects_at(1.0));
    let mut store = LimitedStore::new(48, 1024);
    place_job(&mut leader, "wk-1", JobShape::Gang, 64);
    place_job(&mut leader, "wk-2", JobShape::Gang, 3);
    let outcome = store.serve(&mut leader, &mut effects, 5.0);
    assert_eq!(outcome, LeadershipOutcome::Continue);
    let job = &leader.cluster.jobs[&JobId::from("wk-1")];
    assert_eq!((job.assignments.len(), job.waiting.len()), (0, 64));
    assert!(store.has_chunk("wk-2", 0));
}

// Termination intents and the arrival history fill a value of the configured size.
#[test]
fn oversized_records_of_the_leader_are_made_smaller() {
    let (mut leader, mut effects) = (leader(), effects_at(1.0));
    let mut store = LimitedStore::new(48, MIN_VALUE_BYTES);
    let machines = (0..100).map(|n| (MachineId::from(format!("host-{n:06}").as_str()), "idle"));
    let intents = &mut leader.autoscaler.intents;
    intents.terminate(machines, WallTime(0));
    let history = serde_json::json!("x".repeat(6000));
    let key = arrival_history::ARRIVAL_HISTORY_KEY;
    intents.pending_writes.put(key.into(), history);
    place_job(&mut leader, "wk-1", JobShape::Array, 1);
    let later = effects.now.time + TimeSpan::secs(100.0);
    leader.arrivals.store_due = later;
    let outcome = store.serve(&mut leader, &mut effects, 10.0);
    assert_eq!(outcome, LeadershipOutcome::Continue);
    assert!(store.has_chunk("wk-1", 0));
    assert!(
        leader.arrivals.store_due < later,
        "the history is due again"
    );
    let intents = &leader.autoscaler.intents;
    assert!(intents.pending_writes.is_empty());
    let records = store.stored.values().filter(|value| value["w"].is_object());
    let named: Vec<&serde_json::Value> = records
        .flat_map(|record| record["w"]["idle"].as_array().unwrap())
        .collect();
    assert_eq!(named.len(), 100, "each machine is named once");
    // All of them may be requested, and no other.
    assert_eq!(intents.next_termination().len(), 100);
}
