use super::*;
use crate::core::job_records::Job;
use crate::core::leader::{Leader, LeadershipOutcome};
use crate::core::{Output, Reply};
use crate::testing::submission;
use crate::testing::{effects_at, leader};
use crate::types::Resources;
use crate::types::{Attempt, HeartbeatSequence, Version, WallTime};
use crate::wire;
use crate::wire::kvstore::WatchResponse;
use crate::wire::users::JobShape;
use crate::wire::workers::{ReportedTask, StopReason, TaskState};
use std::rc::Rc;

// A direct command can bring our token to a worker whose lease an older
// leader renewed after our last 200: its lease ends later than that 200
// says, and its tasks run on after they were written off.
#[test]
fn lease_counts_from_first_heartbeat_with_own_token() {
    let mut leader = leader();
    let mut m = Machine::new(Time(0));
    let task = TaskId::parse("wk-1/0").unwrap();
    m.assign(task, Resources::default());
    m.last_answer = Some(Time(10_000_000));
    m.our_token_since = Some(Time(100_000_000));
    let id = MachineId::from("host-1");
    leader.cluster.machines.insert(id.clone(), m);
    let mut lost_at = |secs: f64| {
        leader.expire_leases(effects_at(secs).now);
        leader.cluster.machines[&id].presumed_dead
    };
    // The fixture's lease is 10 s.
    assert!(!lost_at(105.0));
    assert!(!lost_at(110.5));
    assert!(lost_at(111.5));
}

/// A leader that has loaded, with a job of two tasks on a machine that has reported
/// under its token.
fn loaded_leader() -> (Leader, MachineId) {
    let mut leader = leader();
    leader.authority.record_load_page(Time(0));
    leader.authority.record_load_complete(Time(0));
    let spec = submission("wk-1", JobShape::Array, 2);
    let job = Job::new(Rc::new(spec), WallTime(0), Version(7), 1);
    leader.cluster.jobs.insert("wk-1".into(), job);
    let id = MachineId::from("host-1");
    send_heartbeat(&mut leader, 1.0, report(1, 5));
    for index in 0..2 {
        let job = "wk-1".into();
        leader
            .cluster
            .place_task(Time(1_000_000), &TaskId { job, index }, &id, Attempt(1));
    }
    for chunk in leader
        .cluster
        .jobs
        .get_mut(&"wk-1".into())
        .unwrap()
        .chunks
        .values_mut()
    {
        chunk.stored = chunk.change;
    }
    (leader, id)
}

/// A report of this number that carries this token, without tasks.
fn report(sequence: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: "host-1".into(),
        addr: "10.1.0.1:9000".into(),
        kind: "g4".into(),
        zone: "z0".into(),
        spot: true,
        epoch: AgentEpoch(1),
        sequence: HeartbeatSequence(sequence),
        token: FencingToken(token),
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn task(name: &str, attempt: u64, state: TaskState, why: Option<StopReason>) -> ReportedTask {
    ReportedTask {
        task: name.into(),
        attempt: Attempt(attempt),
        state,
        why,
        saved: None,
    }
}

/// What it answers, and what becomes of it.
fn send_heartbeat(leader: &mut Leader, secs: f64, report: Heartbeat) -> (u16, LeadershipOutcome) {
    let mut effects = effects_at(secs);
    let fate = leader.handle_heartbeat(&mut effects, RequestId(1), report, false);
    let answer = effects.take_outputs().into_iter().find_map(|o| match o {
        Output::Answer(_, a) => Some(a.status),
        _ => None,
    });
    (answer.expect("an answer"), fate)
}

// A successor that heard an old copy of a report first took its notice for the
// machine's, and stopped what ran there.
#[test]
fn termination_notice_counts_only_with_own_token() {
    for (token, stopped) in [(4, 0), (5, 2)] {
        let (mut leader, _) = loaded_leader();
        let running = |i| task(&format!("wk-1/{i}"), 1, TaskState::Running, None);
        let told = Heartbeat {
            notice_s: Some(8.0),
            tasks: (0..2).map(running).collect(),
            ..report(2, token)
        };
        send_heartbeat(&mut leader, 2.0, told);
        let assignments = leader.cluster.jobs[&"wk-1".into()].assignments.values();
        assert_eq!(
            assignments.filter(|p| p.stop.is_some()).count(),
            stopped,
            "{token}"
        );
    }
}

// A report with a token that nobody was given deposed a healthy leader, which took its
// key again, and was deposed by the next report.
#[test]
fn ignores_token_that_was_never_issued() {
    let (mut leader, _) = loaded_leader();
    assert_eq!(
        send_heartbeat(&mut leader, 2.0, report(2, u64::MAX)),
        (421, LeadershipOutcome::Continue)
    );
    // One that may have been given since the last read does.
    let later = FencingToken(9);
    let deposed = send_heartbeat(&mut leader, 2.0, report(3, later.0));
    assert_eq!(deposed, (421, LeadershipOutcome::Deposed(later)));
    // A read has shown everything up to its revision, and no other leader.
    let none = WatchResponse {
        revision: Version(500),
        events: Vec::new(),
    };
    let read = Reply::Answer(200, wire::encode(&none));
    leader.handle_read_reply(&mut effects_at(2.5), Time(2_000_000), read);
    assert_eq!(
        send_heartbeat(&mut leader, 2.0, report(4, later.0)),
        (421, LeadershipOutcome::Continue)
    );
}

#[test]
fn ignores_impossible_heartbeats() {
    let (mut leader, id) = loaded_leader();
    let before = leader.cluster.machines[&id].sequence;
    let no_session = Heartbeat {
        epoch: AgentEpoch(0),
        ..report(9, 5)
    };
    assert_eq!(
        send_heartbeat(&mut leader, 2.0, no_session),
        (400, LeadershipOutcome::Continue)
    );
    assert_eq!(leader.cluster.machines[&id].sequence, before);
    // Results of attempts that were never given, of unknown tasks and jobs.
    let done = |name, attempt| task(name, attempt, TaskState::Exited, Some(StopReason::Done));
    let tasks = vec![
        done("wk-1/0", 9),
        done("wk-1/0", 0),
        done("wk-1/7", 1),
        done("wk-9/0", 1),
    ];
    send_heartbeat(
        &mut leader,
        2.0,
        Heartbeat {
            tasks,
            ..report(2, 5)
        },
    );
    assert!(leader.cluster.jobs[&"wk-1".into()].done.is_empty());
    // One that was given counts, wherever it comes from.
    let tasks = vec![done("wk-1/0", 1)];
    let elsewhere = Heartbeat {
        machine: "host-2".into(),
        tasks,
        ..report(1, 4)
    };
    send_heartbeat(&mut leader, 2.0, elsewhere);
    assert!(leader.cluster.jobs[&"wk-1".into()].done.contains(0));
}

// A machine whose answers are lost got the same starts again and again, and the tasks
// waited there for a lease.
#[test]
fn moves_starts_off_unreachable_machine() {
    let (mut leader, id) = loaded_leader();
    for n in 0..4u32 {
        let secs = 3.0 + 3.0 * f64::from(n);
        leader.authority.record_read(Time(0) + TimeSpan::secs(secs));
        let placed = leader.cluster.jobs[&"wk-1".into()].assignments.len();
        assert_eq!(placed, 2, "at {secs} s");
        send_heartbeat(&mut leader, secs, report(u64::from(n) + 2, 5));
    }
    let job = &leader.cluster.jobs[&"wk-1".into()];
    assert!(job.assignments.is_empty() && job.waiting.len() == 2);
    let m = &leader.cluster.machines[&id];
    assert!(!m.is_schedulable(Time(12_000_000), leader.cluster.max_silence()));
}
