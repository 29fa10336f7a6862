use super::*;
use crate::core::job_records::HeaderStage;

fn coalescer_with_polls() -> ReadCoalescer {
    let mut coalescer = ReadCoalescer::default();
    let header = JobHeader {
        stage: HeaderStage::Open,
        task_count: 3,
    };
    for (id, version) in [("a", 5), ("b", 6)] {
        coalescer.cache_header(&id.into(), header, Version(version));
    }
    for (n, id) in ["a", "b", "a"].iter().enumerate() {
        assert!(coalescer.enqueue(Time(0), RequestId(n as u64), &(*id).into()));
    }
    coalescer
}

fn ids(reads: &[WaitingRead]) -> Vec<u64> {
    reads.iter().map(|read| read.request.0).collect()
}

// With one read for each poll, a backlog of jobs used up the key-value store's rate, and
// submissions were refused.
#[test]
fn polls_share_one_comparison() {
    let mut coalescer = coalescer_with_polls();
    assert!(!coalescer.enqueue(Time(0), RequestId(9), &"unseen".into()));
    let (txn, comparison) = coalescer.next_comparison(Time(1), 192).unwrap();
    assert_eq!((txn.conditions.len(), txn.ops.len()), (2, 0));
    assert!(coalescer.enqueue(Time(1), RequestId(4), &"b".into()));
    assert!(
        coalescer.next_comparison(Time(1), 192).is_none(),
        "one at a time"
    );
    let result = coalescer.handle_reply(
        Time(2),
        TimeSpan(10),
        comparison,
        &Reply::Answer(200, wire::encode(&0)),
    );
    assert_eq!(result.open.len(), 3);
    assert!(
        coalescer.next_comparison(Time(11), 192).is_none(),
        "not before the pause"
    );
    assert_eq!(
        ids(&coalescer.next_comparison(Time(12), 192).unwrap().1.reads),
        [4]
    );
}

#[test]
fn only_unchanged_headers_are_reported_open() {
    let mut coalescer = coalescer_with_polls();
    let (_, comparison) = coalescer.next_comparison(Time(1), 192).unwrap();
    let body = wire::encode(&TransactionResponse {
        revision: Version(9),
        failed: vec!["job/a".into()],
    });
    let result =
        coalescer.handle_reply(Time(2), TimeSpan(0), comparison, &Reply::Answer(409, body));
    assert_eq!((ids(&result.changed), result.open.len()), (vec![0, 2], 0));
    // The other poll joins the next comparison, with polls that arrived in the meantime.
    let (_, again) = coalescer.next_comparison(Time(3), 192).unwrap();
    assert_eq!(ids(&again.reads), [1]);
    assert!(coalescer.enqueue(Time(3), RequestId(7), &"b".into()));
    let refused = Reply::Answer(503, Vec::new());
    let result = coalescer.handle_reply(Time(4), TimeSpan(0), again, &refused);
    assert_eq!(
        ids(&result.failed),
        [1, 7],
        "the waiting poll is refused too"
    );
    assert!(coalescer.next_comparison(Time(5), 192).is_none());
}

// With two in five answers lost, a job's polls got no answer for 90 s: a lost comparison
// left all polls that shared it unanswered, and all polls that had arrived since.
#[test]
fn lost_comparison_is_repeated_without_blocking_others() {
    let ms = |n: u64| Time(n * 1000);
    let mut coalescer = coalescer_with_polls();
    let (_, lost) = coalescer.next_comparison(ms(0), 192).unwrap();
    assert!(coalescer.enqueue(ms(50), RequestId(7), &"b".into()));
    assert!(
        coalescer.next_comparison(ms(60), 192).is_none(),
        "the reply is not late yet"
    );
    let (_, second) = coalescer.next_comparison(ms(110), 192).unwrap();
    assert_eq!(
        ids(&second.reads),
        [7],
        "a late reply does not block other polls"
    );
    let result = coalescer.handle_reply(ms(700), TimeSpan(0), lost, &Reply::OutcomeUnknown);
    assert_eq!(result, ComparisonResult::default());
    let (_, again) = coalescer.next_comparison(ms(700), 192).unwrap();
    assert_eq!(ids(&again.reads), [0, 1, 2]);
    // No poll is kept for longer than its user waits.
    let result = coalescer.handle_reply(ms(1400), TimeSpan(0), again, &Reply::OutcomeUnknown);
    assert_eq!(ids(&result.failed), [0, 1, 2]);
    coalescer.handle_reply(ms(1400), TimeSpan(0), second, &Reply::OutcomeUnknown);
    assert!(coalescer.enqueue(ms(1400), RequestId(8), &"a".into()));
    assert!(coalescer.take_overdue(ms(2800)).is_empty());
    assert_eq!(ids(&coalescer.take_overdue(ms(2900))), [8]);
}

// A header that is removed while its poll waits is not compared. If a read that was sent
// before the poll arrived then stores the header again, that header proves nothing about
// changes since: a poll was once answered with it after another controller had reported
// the job as finished.
#[test]
fn header_recorded_after_sending_is_not_trusted() {
    let mut coalescer = coalescer_with_polls();
    let header = JobHeader {
        stage: HeaderStage::Open,
        task_count: 3,
    };
    coalescer.evict_header(&"a".into());
    let (txn, comparison) = coalescer.next_comparison(Time(1), 192).unwrap();
    assert_eq!(txn.conditions.len(), 1, "only cached headers are compared");
    coalescer.cache_header(&"a".into(), header, Version(5));
    let unchanged = Reply::Answer(200, wire::encode(&0));
    let result = coalescer.handle_reply(Time(2), TimeSpan(0), comparison, &unchanged);
    assert_eq!(ids(&result.changed), [0, 2], "they are read one by one");
    assert_eq!(result.open.len(), 1);
}
