use super::*;
use crate::core::failpoints::disable_check;
use crate::core::job_records::{self, Job};
use crate::core::leader::Leader;
use crate::core::{Reply, RequestId};
use crate::testing::{effects_at, leader, submission};
use crate::types::{
    AgentEpoch, FencingToken, HeartbeatSequence, JobId, MachineId, Team, TimeSpan, Version,
    WallTime,
};
use crate::wire;
use crate::wire::kvstore::{Entry, Operation, TransactionResponse};
use crate::wire::users::{JobShape, Priority, Submission};
use crate::wire::workers::{Heartbeat, ReportedTask, TaskState};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// GPUs that the team of all jobs here may use, by the settings for tests.
const TEAM_LIMIT_GPUS: f64 = 40.0;
const MACHINES: u32 = 14;

/// The records of progress in the key-value store.
type Records = BTreeMap<String, Value>;

/// A gang each task of which takes a whole machine.
fn gang(id: &str, tasks: u32) -> Submission {
    Submission {
        gpus: 4.0,
        ..submission(id, JobShape::Gang, tasks)
    }
}

fn machine_id(number: u32) -> MachineId {
    MachineId::from(format!("host-{number:02}").as_str())
}

/// The zone of a machine: two zones take turns.
fn zone_of(machine: u32) -> String {
    format!("z{}", machine % 2)
}

/// A leader that has loaded these jobs and no progress.
fn leader_of(jobs: &[Submission]) -> Leader {
    let mut leader = leader();
    leader.authority.record_load_page(Time(0));
    leader.authority.record_load_complete(Time(0));
    for spec in jobs {
        submit(&mut leader, spec);
    }
    leader
}

fn submit(leader: &mut Leader, spec: &Submission) {
    let job = Job::new(Rc::new(spec.clone()), WallTime(0), Version(7), 1);
    leader.cluster.jobs.insert(spec.id.clone(), job);
}

/// A machine's heartbeat under the leader's token, without tasks.
fn heartbeat_of(secs: f64, machine: u32) -> Heartbeat {
    Heartbeat {
        machine: machine_id(machine),
        addr: format!("10.1.0.{}:9000", machine + 1),
        kind: "g4".into(),
        zone: zone_of(machine).as_str().into(),
        spot: true,
        epoch: AgentEpoch(1),
        sequence: HeartbeatSequence((secs * 1000.0) as u64),
        token: FencingToken(5),
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn running(task: &str) -> ReportedTask {
    ReportedTask {
        task: task.into(),
        attempt: Attempt(1),
        state: TaskState::Running,
        why: None,
        saved: None,
    }
}

/// A machine reports that it has no tasks, under the leader's token.
fn report_no_tasks(leader: &mut Leader, secs: f64, machine: u32) {
    let heartbeat = heartbeat_of(secs, machine);
    let mut effects = effects_at(secs);
    leader.handle_heartbeat(&mut effects, RequestId(1), heartbeat, false);
}

/// Runs a cycle and stores what it decides. Changes that wait to settle are not stored.
fn run_and_store(leader: &mut Leader, secs: f64, records: &mut Records) {
    leader.scheduler.next_cycle = Time(0);
    leader.authority.record_read(Time(0) + TimeSpan::secs(secs));
    leader.advance(&mut effects_at(secs));
    // The next input shows that the cycle was short.
    leader.scheduler.adjust_pace(Time(0) + TimeSpan::secs(secs));
    let Some(built) = &leader.writer.pipeline.in_flight else {
        return;
    };
    for operation in &built.transaction.ops {
        if let Operation::Put { key, value, .. } = operation {
            records.insert(key.clone(), value.clone());
        }
    }
    let answer = TransactionResponse {
        revision: Version(8),
        failed: Vec::new(),
    };
    let answer = Reply::Answer(200, wire::encode(&answer));
    leader.handle_commit_reply(&mut effects_at(secs), answer);
}

/// A leader that has loaded these jobs with their records.
fn successor(jobs: &[Submission], records: &Records) -> Leader {
    let mut leader = leader_of(jobs);
    let submitted: BTreeSet<JobId> = jobs.iter().map(|spec| spec.id.clone()).collect();
    let entries = records.iter().map(|(key, value)| Entry {
        key: key.clone(),
        value: value.clone(),
        version: Version(8),
    });
    let entries = entries.collect();
    let mut parts = leader.record_parts();
    parts
        .context
        .load_progress_records(Time(0), &submitted, entries);
    leader
}

/// GPUs of the team's starts that may be sent: all but those of earlier leaders.
fn gpus_started(leader: &Leader) -> f64 {
    let started = |assignment: &&Assignment| {
        !matches!(
            assignment.phase,
            AssignmentPhase::Inherited | AssignmentPhase::Reserved
        )
    };
    let jobs = leader.cluster.jobs.values();
    let gpus = jobs.map(|job| {
        let tasks = job.assignments.values().filter(started).count();
        job.spec.gpus * tasks as f64
    });
    gpus.sum()
}

/// The records after a leader placed one gang, dropped it before its starts were sent, and
/// placed another of the same team in the quota that this freed, within `SETTLE_TIME`.
fn records_of_two_gangs(first: &Submission, second: &Submission) -> Records {
    let mut records = Records::new();
    let mut leader = leader_of(std::slice::from_ref(first));
    for machine in 0..MACHINES {
        report_no_tasks(&mut leader, 1.0, machine);
    }
    run_and_store(&mut leader, 1.1, &mut records);
    let task = TaskId {
        job: first.id.clone(),
        index: 0,
    };
    let now = Time(0) + TimeSpan::secs(1.5);
    leader
        .cluster
        .record_task_gone(now, &task, RemovalReason::MachineUnreachable);
    submit(&mut leader, second);
    run_and_store(&mut leader, 1.6, &mut records);
    let placed = leader.cluster.jobs[&second.id].assignments.len();
    assert_eq!(placed, second.tasks as usize, "the quota is free again");
    records
}

/// Starts the gangs of both leaders, whose machines report in this order; returns the
/// largest use of the team on the way.
fn most_gpus_after_failover(order: impl Iterator<Item = u32>) -> f64 {
    // In zones of their own, so that both have room.
    let first = Submission {
        zone: Some("z0".into()),
        ..gang("wk-1", 6)
    };
    let second = Submission {
        priority: Priority::High,
        zone: Some("z1".into()),
        ..gang("wk-2", 6)
    };
    let records = records_of_two_gangs(&first, &second);
    let mut leader = successor(&[first, second], &records);
    let used = leader.cluster.team_use()[&Team::from("red")].used.gpus;
    assert_eq!(used, 48.0, "the records hold both gangs");
    let mut most: f64 = 0.0;
    for machine in order {
        report_no_tasks(&mut leader, 2.0, machine);
        most = most.max(gpus_started(&leader));
    }
    run_and_store(&mut leader, 2.1, &mut Records::new());
    most.max(gpus_started(&leader))
}

#[test]
fn failover_resumes_no_starts_beyond_team_limit() {
    assert!(most_gpus_after_failover(0..MACHINES) <= TEAM_LIMIT_GPUS);
    assert!(most_gpus_after_failover((0..MACHINES).rev()) <= TEAM_LIMIT_GPUS);
    disable_check(&[SafetyCheck::ResumedStartsNeedQuota]);
    let without_check = most_gpus_after_failover(0..MACHINES);
    disable_check(&[]);
    assert!(without_check > TEAM_LIMIT_GPUS, "{without_check}");
}

/// The machine of each assigned task, and its attempt.
fn assigned(leader: &Leader, job: &str) -> Vec<(MachineId, Attempt)> {
    let assignments = leader.cluster.jobs[&JobId::from(job)].assignments.values();
    assignments
        .map(|a| (a.machine.clone(), a.attempt))
        .collect()
}

#[test]
fn failover_resumes_start_within_limit_on_same_machines() {
    let job = gang("wk-1", 6);
    let mut records = Records::new();
    let mut first = leader_of(std::slice::from_ref(&job));
    (0..MACHINES).for_each(|machine| report_no_tasks(&mut first, 1.0, machine));
    run_and_store(&mut first, 1.1, &mut records);
    let before = assigned(&first, "wk-1");
    let mut leader = successor(&[job], &records);
    (0..MACHINES).for_each(|machine| report_no_tasks(&mut leader, 2.0, machine));
    let resumed = before
        .into_iter()
        .map(|(machine, _)| (machine, Attempt(2)))
        .collect::<Vec<_>>();
    assert_eq!(assigned(&leader, "wk-1"), resumed);
    assert_eq!(leader.cluster.assignment_log.totals.resumed, 6);
}

/// A record of a chunk in which each of these machines has one task, from `first` on.
fn record(job: &str, chunk: u32, first: u32, machines: &[u32]) -> (String, Value) {
    let entries = machines.iter().zip(first..);
    let assignments: Vec<Value> = entries
        .map(|(machine, task)| serde_json::json!([machine_id(*machine), 1, 0, [task]]))
        .collect();
    let value = serde_json::json!({"n": 1, "m": assignments});
    (job_records::chunk_key(&job.into(), chunk), value)
}

/// The machines, by number, on which a successor resumes starts of a job's tasks.
fn resumed_on(jobs: &[Submission], records: Records) -> Vec<MachineId> {
    let mut leader = successor(jobs, &records);
    // As the cloud's list shows them.
    for number in 0..MACHINES {
        if let Some(machine) = leader.cluster.machines.get_mut(&machine_id(number)) {
            machine.zone = Some(zone_of(number).as_str().into());
        }
    }
    (0..MACHINES).for_each(|machine| report_no_tasks(&mut leader, 2.0, machine));
    let jobs = leader.cluster.jobs.values();
    let assignments = jobs.flat_map(|job| job.assignments.values());
    assignments.map(|a| a.machine.clone()).collect()
}

#[test]
fn failover_resumes_no_start_in_second_zone() {
    let mut job = submission("wk-1", JobShape::Array, 65);
    job.one_zone = true;
    // The machines' zones take turns. The record of the first chunk is older.
    let two_zones = || Records::from([record("wk-1", 0, 0, &[0]), record("wk-1", 1, 64, &[1])]);
    let one_zone = || Records::from([record("wk-1", 0, 0, &[0]), record("wk-1", 1, 64, &[2])]);
    let jobs = [job];
    assert_eq!(resumed_on(&jobs, two_zones()), [machine_id(1)]);
    assert_eq!(
        resumed_on(&jobs, one_zone()),
        [machine_id(0), machine_id(2)]
    );
    disable_check(&[SafetyCheck::AssignmentsBindZones]);
    let without_check = resumed_on(&jobs, two_zones());
    disable_check(&[]);
    assert_eq!(without_check, [machine_id(0), machine_id(1)]);
}

#[test]
fn failover_resumes_no_start_that_crowds_a_zone() {
    let job = Submission {
        spread: true,
        cpus: 0.1,
        gpus: 0.0,
        memory_gb: 0.1,
        ..submission("wk-1", JobShape::Service, 66)
    };
    // Of 66 tasks 33 may be in one zone; the records hold 34 in the first.
    let first = record("wk-1", 0, 0, &[0; 33]);
    let records = Records::from([first, record("wk-1", 1, 64, &[2])]);
    assert_eq!(resumed_on(&[job], records).len(), 33);
}

#[test]
fn failover_resumes_no_start_whose_room_is_assigned_to_others() {
    let jobs = [gang("wk-1", 1), gang("wk-2", 1)];
    let records = || Records::from([record("wk-1", 0, 0, &[3]), record("wk-2", 0, 0, &[3])]);
    assert_eq!(resumed_on(&jobs, records()), [machine_id(3)]);
    disable_check(&[SafetyCheck::ResumedStartsNeedRoom]);
    let without_check = resumed_on(&jobs, records());
    disable_check(&[]);
    assert_eq!(without_check, [machine_id(3), machine_id(3)]);
}

#[test]
fn failover_resumes_start_whose_room_is_being_vacated() {
    let jobs = [submission("wk-1", JobShape::Array, 1), gang("wk-2", 1)];
    let (key, mut stopping) = record("wk-1", 0, 0, &[3]);
    stopping["x"] = serde_json::json!([0, 1]);
    let records = Records::from([(key, stopping), record("wk-2", 0, 0, &[3])]);
    let mut leader = successor(&jobs, &records);
    let mut heartbeat = heartbeat_of(2.0, 3);
    heartbeat.tasks = vec![running("wk-1/0")];
    leader.handle_heartbeat(&mut effects_at(2.0), RequestId(1), heartbeat, false);
    let resumed = (machine_id(3), Attempt(2));
    assert_eq!(assigned(&leader, "wk-2"), [resumed]);
}
