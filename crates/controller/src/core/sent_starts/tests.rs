use super::*;
use crate::types::{AgentEpoch, FencingToken, HeartbeatSequence, JobId};
use crate::wire::workers::{Heartbeat, ReportedTask, StopReason, TaskState};

/// Largest heartbeat that a controller accepts, counted in JSON.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;

fn task(index: u32) -> TaskId {
    let job = JobId::from("wk-000398");
    TaskId { job, index }
}

fn secs(seconds: f64) -> Time {
    Time(0) + TimeSpan::secs(seconds)
}

#[test]
fn attempt_is_kept_while_a_copy_of_its_start_may_arrive() {
    let mut starts = SentStarts::default();
    starts.record(secs(10.0), &task(1), Attempt(3));
    let may_forget =
        |at, attempt, reported| starts.may_forget(secs(at), &task(1), Attempt(attempt), reported);
    assert!(!may_forget(39.9, 3, 1) && may_forget(40.0, 3, 1));
    assert!(!may_forget(14.9, 3, 1000) && may_forget(15.0, 3, 1000));
    assert!(may_forget(10.0, 2, 1), "another leader sent it");
    let mut next_epoch = starts.clone();
    next_epoch.clear();
    assert!(next_epoch.may_forget(secs(10.0), &task(1), Attempt(3), 1));
}

// What is kept must not make a heartbeat too large to be accepted.
#[test]
fn heartbeats_with_kept_attempts_stay_within_their_limit() {
    let tasks = (0..MAX_REPORTED_TASKS as u32).map(|index| ReportedTask {
        task: task(99_000 + index).to_string(),
        attempt: Attempt(10_000),
        state: TaskState::Exited,
        why: Some(StopReason::Stopped),
        saved: Some(false),
    });
    let heartbeat = Heartbeat {
        machine: "host-000231".into(),
        addr: "10.100.100.232:9000".into(),
        kind: "kayal-box".into(),
        zone: "perinthalmanna-shed".into(),
        spot: true,
        epoch: AgentEpoch(1000),
        sequence: HeartbeatSequence(1_000_000_000),
        token: FencingToken(1_000_000_000),
        notice_s: Some(100.5),
        tasks: tasks.collect(),
    };
    let bytes = serde_json::to_vec(&heartbeat).unwrap().len();
    assert!(bytes < MAX_HEARTBEAT_BYTES / 2, "{bytes}");
}
