use super::*;
use crate::core::job_records::Job;
use crate::core::leader::Leader;
use crate::testing::{leader, submission};
use crate::types::{Version, WallTime};
use crate::wire::users::JobShape;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// Collects what is logged.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The lines that a leader logs for its changes of assignments.
fn logged_lines(leader: &mut Leader) -> Vec<String> {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        leader.cluster.log_assignment_changes(FencingToken(5));
    });
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    text.lines().map(String::from).collect()
}

fn leader_with_jobs(count: usize) -> (Leader, Vec<JobId>) {
    let mut leader = leader();
    let mut ids = Vec::new();
    for number in 0..count {
        let spec = submission(&format!("wk-{number:03}"), JobShape::Array, 2);
        ids.push(spec.id.clone());
        let job = Job::new(Rc::new(spec), WallTime(0), Version(7), 1);
        leader.cluster.jobs.insert(ids[number].clone(), job);
    }
    (leader, ids)
}

#[test]
fn logs_one_line_per_job_and_kind_of_change() {
    let (mut leader, ids) = leader_with_jobs(1);
    let log = &mut leader.cluster.assignment_log;
    for _ in 0..2 {
        log.record_removed(&ids[0], RemovalReason::Exited);
        log.record_placed(&ids[0], StartOrigin::EarlierLeader);
        log.record_removed(&ids[0], RemovalReason::Done);
    }
    let lines = logged_lines(&mut leader);
    assert_eq!(lines.len(), 2, "{lines:?}");
    let placed = &lines[0];
    for field in ["token=5", "job=wk-000", "team=red", "tasks=2", "gpus=0.0"] {
        assert!(placed.contains(field), "{field}: {placed}");
    }
    assert!(placed.contains("start of an earlier leader"), "{placed}");
    assert!(lines[1].contains("reason=exited"), "{lines:?}");
    assert!(logged_lines(&mut leader).is_empty());
}

#[test]
fn bounds_lines_of_one_input() {
    let (mut leader, ids) = leader_with_jobs(100);
    for id in &ids {
        let reason = RemovalReason::LeaseExpired;
        leader.cluster.assignment_log.record_removed(id, reason);
    }
    let lines = logged_lines(&mut leader);
    assert_eq!(lines.len(), MAX_LINES_PER_INPUT + 1);
    let last = &lines[MAX_LINES_PER_INPUT];
    assert!(last.contains("omitted=68"), "{last}");
}
