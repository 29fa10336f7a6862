//! Tests of shared reads.

use super::*;
use crate::core::job_records::HeaderStage;

fn polls() -> ReadCoalescer {
    let mut p = ReadCoalescer::default();
    let head = JobHeader {
        stage: HeaderStage::Open,
        task_count: 3,
    };
    for (id, version) in [("a", 5), ("b", 6)] {
        p.remember(&id.into(), head, Version(version));
    }
    for (n, id) in ["a", "b", "a"].iter().enumerate() {
        assert!(p.enqueue(Time(0), RequestId(n as u64), &(*id).into()));
    }
    p
}

fn ids(asked: &[WaitingRead]) -> Vec<u64> {
    asked.iter().map(|a| a.request.0).collect()
}

// With a read for each poll, a backlog of jobs used up the state service's
// rate, and submissions were refused for it.
#[test]
fn polls_share_one_comparison() {
    let mut p = polls();
    assert!(!p.enqueue(Time(0), RequestId(9), &"unseen".into()));
    let (txn, asked) = p.next_comparison(Time(1), 192).unwrap();
    assert_eq!((txn.conditions.len(), txn.ops.len()), (2, 0));
    assert!(p.enqueue(Time(1), RequestId(4), &"b".into()));
    assert!(p.next_comparison(Time(1), 192).is_none(), "one at a time");
    let out = p.handle_reply(
        Time(2),
        TimeSpan(10),
        asked,
        &Reply::Answer(200, wire::encode(&0)),
    );
    assert_eq!(out.open.len(), 3);
    assert!(
        p.next_comparison(Time(11), 192).is_none(),
        "not before the pause"
    );
    assert_eq!(ids(&p.next_comparison(Time(12), 192).unwrap().1.reads), [4]);
}

#[test]
fn only_unchanged_headers_are_reported_open() {
    let mut p = polls();
    let (_, asked) = p.next_comparison(Time(1), 192).unwrap();
    let body = wire::encode(&TransactionResponse {
        revision: Version(9),
        failed: vec!["job/a".into()],
    });
    let out = p.handle_reply(Time(2), TimeSpan(0), asked, &Reply::Answer(409, body));
    assert_eq!((ids(&out.changed), out.open.len()), (vec![0, 2], 0));
    // The other one is compared again, with what comes meanwhile.
    let (_, again) = p.next_comparison(Time(3), 192).unwrap();
    assert_eq!(ids(&again.reads), [1]);
    assert!(p.enqueue(Time(3), RequestId(7), &"b".into()));
    let refused = Reply::Answer(503, Vec::new());
    let out = p.handle_reply(Time(4), TimeSpan(0), again, &refused);
    assert_eq!(ids(&out.failed), [1, 7], "all are told at once");
    assert!(p.next_comparison(Time(5), 192).is_none());
}

// With two in five answers lost, a job was not answered for 90 s: a lost comparison left
// all without an answer who shared it, and all who had come since.
#[test]
fn lost_comparison_is_repeated_without_blocking_others() {
    let ms = |n: u64| Time(n * 1000);
    let mut p = polls();
    let (_, lost) = p.next_comparison(ms(0), 192).unwrap();
    assert!(p.enqueue(ms(50), RequestId(7), &"b".into()));
    assert!(
        p.next_comparison(ms(60), 192).is_none(),
        "an answer may come any moment"
    );
    let (_, second) = p.next_comparison(ms(110), 192).unwrap();
    assert_eq!(ids(&second.reads), [7], "one that is late holds nobody up");
    let out = p.handle_reply(ms(700), TimeSpan(0), lost, &Reply::Lost);
    assert_eq!(out, ComparisonResult::default());
    let (_, again) = p.next_comparison(ms(700), 192).unwrap();
    assert_eq!(ids(&again.reads), [0, 1, 2]);
    // No poll is kept for longer than its user waits.
    let out = p.handle_reply(ms(1400), TimeSpan(0), again, &Reply::Lost);
    assert_eq!(ids(&out.failed), [0, 1, 2]);
    p.handle_reply(ms(1400), TimeSpan(0), second, &Reply::Lost);
    assert!(p.enqueue(ms(1400), RequestId(8), &"a".into()));
    assert!(p.take_overdue(ms(2800)).is_empty());
    assert_eq!(ids(&p.take_overdue(ms(2900))), [8]);
}

// A job that is forgotten while its poll waits is not compared. A head that another
// read, sent before the poll came, then brings says nothing of what has ended since:
// the poll was once answered by it, after another node had told the job's end.
#[test]
fn header_recorded_after_sending_is_not_vouched_for() {
    let mut p = polls();
    let head = JobHeader {
        stage: HeaderStage::Open,
        task_count: 3,
    };
    p.forget(&"a".into());
    let (txn, asked) = p.next_comparison(Time(1), 192).unwrap();
    assert_eq!(txn.conditions.len(), 1, "only what is there is compared");
    p.remember(&"a".into(), head, Version(5));
    let yes = Reply::Answer(200, wire::encode(&0));
    let out = p.handle_reply(Time(2), TimeSpan(0), asked, &yes);
    assert_eq!(ids(&out.changed), [0, 2], "they are read by themselves");
    assert_eq!(out.open.len(), 1);
}
