use super::*;
use crate::core::job_records::Job;
use crate::core::leader::assignment_log::StartOrigin;
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

// A direct command can deliver this leader's token to an agent whose lease an older
// leader renewed after this leader's last 200. The lease then ends later than that 200
// implies, and a leader that counts from the 200 removes the tasks while they still run.
#[test]
fn lease_counts_from_first_heartbeat_with_own_token() {
    let mut leader = leader();
    let mut m = Machine::new(Time(0));
    let task = TaskId::parse("wk-1/0").unwrap();
    m.assign(task, Resources::default());
    m.last_answer = Some(Time(10_000_000));
    m.current_token_since = Some(Time(100_000_000));
    let id = MachineId::from("host-1");
    leader.cluster.machines.insert(id.clone(), m);
    let mut presumed_dead_at = |secs: f64| {
        leader.expire_leases(effects_at(secs).now);
        leader.cluster.machines[&id].presumed_dead
    };
    // The lease in the test settings is 10 s.
    assert!(!presumed_dead_at(105.0));
    assert!(!presumed_dead_at(110.5));
    assert!(presumed_dead_at(111.5));
}

/// A leader that has loaded, with a job of two tasks on a machine that has sent a
/// heartbeat with this leader's token.
fn loaded_leader() -> (Leader, MachineId) {
    let mut leader = leader();
    leader.authority.record_load_page(Time(0));
    leader.authority.record_load_complete(Time(0));
    let spec = submission("wk-1", JobShape::Array, 2);
    let job = Job::new(Rc::new(spec), WallTime(0), Version(7), 1);
    leader.cluster.jobs.insert("wk-1".into(), job);
    let id = MachineId::from("host-1");
    send_heartbeat(&mut leader, 1.0, heartbeat(1, 5));
    for index in 0..2 {
        let job = "wk-1".into();
        let (now, task) = (Time(1_000_000), TaskId { job, index });
        let cluster = &mut leader.cluster;
        cluster.place_task(now, &task, &id, Attempt(1), StartOrigin::Cycle);
    }
    for chunk in leader
        .cluster
        .jobs
        .get_mut(&"wk-1".into())
        .unwrap()
        .chunks
        .values_mut()
    {
        chunk.last_stored_change = chunk.last_change;
    }
    (leader, id)
}

/// A heartbeat with this sequence number and this token, without tasks.
fn heartbeat(sequence: u64, token: u64) -> Heartbeat {
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

/// Sends a heartbeat. Returns the status of the answer, and the outcome for the leader's
/// term.
fn send_heartbeat(
    leader: &mut Leader,
    secs: f64,
    heartbeat: Heartbeat,
) -> (u16, LeadershipOutcome) {
    let mut effects = effects_at(secs);
    let outcome = leader.handle_heartbeat(&mut effects, RequestId(1), heartbeat, false);
    let answer = effects.take_outputs().into_iter().find_map(|o| match o {
        Output::Answer(_, a) => Some(a.status),
        _ => None,
    });
    (answer.expect("an answer"), outcome)
}

// A new leader that first received an old copy of a heartbeat applied its outdated
// termination notice to the machine, and stopped the tasks there.
#[test]
fn termination_notice_counts_only_with_own_token() {
    for (token, stopped) in [(4, 0), (5, 2)] {
        let (mut leader, _) = loaded_leader();
        let running = |i| task(&format!("wk-1/{i}"), 1, TaskState::Running, None);
        let with_notice = Heartbeat {
            notice_s: Some(8.0),
            tasks: (0..2).map(running).collect(),
            ..heartbeat(2, token)
        };
        send_heartbeat(&mut leader, 2.0, with_notice);
        let assignments = leader.cluster.jobs[&"wk-1".into()].assignments.values();
        assert_eq!(
            assignments.filter(|p| p.stop.is_some()).count(),
            stopped,
            "{token}"
        );
    }
}

// A heartbeat with a token that was never issued deposed a healthy leader, which was
// elected again and deposed by the next heartbeat.
#[test]
fn ignores_token_that_was_never_issued() {
    let (mut leader, _) = loaded_leader();
    assert_eq!(
        send_heartbeat(&mut leader, 2.0, heartbeat(2, u64::MAX)),
        (421, LeadershipOutcome::Continue)
    );
    // A token that may have been issued since the last read deposes the leader.
    let later = FencingToken(9);
    let deposed = send_heartbeat(&mut leader, 2.0, heartbeat(3, later.0));
    assert_eq!(deposed, (421, LeadershipOutcome::Deposed(later)));
    // The read has shown all changes up to its revision, and no other leader.
    let no_events = WatchResponse {
        revision: Version(500),
        events: Vec::new(),
    };
    let read = Reply::Answer(200, wire::encode(&no_events));
    leader.handle_read_reply(&mut effects_at(2.5), Time(2_000_000), read);
    assert_eq!(
        send_heartbeat(&mut leader, 2.0, heartbeat(4, later.0)),
        (421, LeadershipOutcome::Continue)
    );
}

#[test]
fn ignores_invalid_heartbeats_and_results() {
    let (mut leader, id) = loaded_leader();
    let before = leader.cluster.machines[&id].sequence;
    let epoch_zero = Heartbeat {
        epoch: AgentEpoch(0),
        ..heartbeat(9, 5)
    };
    assert_eq!(
        send_heartbeat(&mut leader, 2.0, epoch_zero),
        (400, LeadershipOutcome::Continue)
    );
    assert_eq!(leader.cluster.machines[&id].sequence, before);
    // Results of attempts that were never assigned, and of unknown tasks and jobs.
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
            ..heartbeat(2, 5)
        },
    );
    assert!(leader.cluster.jobs[&"wk-1".into()].done.is_empty());
    // The result of an assigned attempt counts, whichever machine reports it.
    let tasks = vec![done("wk-1/0", 1)];
    let elsewhere = Heartbeat {
        machine: "host-2".into(),
        tasks,
        ..heartbeat(1, 4)
    };
    send_heartbeat(&mut leader, 2.0, elsewhere);
    assert!(leader.cluster.jobs[&"wk-1".into()].done.contains(0));
}

// A machine that did not receive its answers was sent the same starts repeatedly, and
// their tasks waited there for the length of a lease.
#[test]
fn moves_starts_off_unreachable_machine() {
    let (mut leader, id) = loaded_leader();
    for n in 0..4u32 {
        let secs = 3.0 + 3.0 * f64::from(n);
        leader.authority.record_read(Time(0) + TimeSpan::secs(secs));
        let placed = leader.cluster.jobs[&"wk-1".into()].assignments.len();
        assert_eq!(placed, 2, "at {secs} s");
        send_heartbeat(&mut leader, secs, heartbeat(u64::from(n) + 2, 5));
    }
    let job = &leader.cluster.jobs[&"wk-1".into()];
    assert!(job.assignments.is_empty() && job.waiting.len() == 2);
    let m = &leader.cluster.machines[&id];
    assert!(!m.is_schedulable(Time(12_000_000), leader.cluster.max_silence()));
}
