//! Tests of shared reads.

use super::*;
use crate::core::ledger::HeadStage;

fn polls() -> Polls {
    let mut p = Polls::default();
    let head = Head {
        s: HeadStage::Open,
        n: 3,
    };
    for (id, version) in [("a", 5), ("b", 6)] {
        p.remember(&id.into(), head, Version(version));
    }
    for (n, id) in ["a", "b", "a"].iter().enumerate() {
        assert!(p.take(RequestId(n as u64), &(*id).into()));
    }
    p
}

fn ids(asked: &[Asked]) -> Vec<u64> {
    asked.iter().map(|(r, _)| r.0).collect()
}

// With a read for each poll, a backlog of jobs used up the state service's
// rate, and submissions were refused for it.
#[test]
fn polls_share_a_comparison() {
    let mut p = polls();
    assert!(!p.take(RequestId(9), &"unseen".into()));
    let (txn, asked) = p.next(Time(1), 192).unwrap();
    assert_eq!((txn.conditions.len(), txn.ops.len()), (2, 0));
    p.take(RequestId(4), &"b".into());
    assert!(p.next(Time(1), 192).is_none(), "one at a time");
    let out = p.answered(
        Time(2),
        Span(10),
        asked,
        &Reply::Answer(200, wire::encode(&0)),
    );
    assert_eq!(out.open.len(), 3);
    assert!(p.next(Time(11), 192).is_none(), "not before the pause");
    assert_eq!(ids(&p.next(Time(12), 192).unwrap().1), [4]);
}

#[test]
fn only_an_unchanged_head_is_called_open() {
    let mut p = polls();
    let (_, asked) = p.next(Time(1), 192).unwrap();
    let body = wire::encode(&Revision {
        revision: Version(9),
        failed: vec!["job/a".into()],
    });
    let out = p.answered(Time(2), Span(0), asked, &Reply::Answer(409, body));
    assert_eq!((ids(&out.changed), out.open.len()), (vec![0, 2], 0));
    // The other one is compared again, with what comes meanwhile.
    let (_, asked) = p.next(Time(3), 192).unwrap();
    assert_eq!(ids(&asked), [1]);
    p.take(RequestId(7), &"b".into());
    let out = p.answered(Time(4), Span(0), asked, &Reply::Lost);
    assert_eq!(ids(&out.failed), [1, 7], "all are told at once");
    assert!(p.next(Time(5), 192).is_none());
}

// A job that is forgotten while its poll waits is not compared. A head that another
// read, sent before the poll came, then brings says nothing of what has ended since:
// the poll was once answered by it, after another node had told the job's end.
#[test]
fn a_head_that_comes_in_during_a_comparison_is_not_compared() {
    let mut p = polls();
    let head = Head {
        s: HeadStage::Open,
        n: 3,
    };
    p.forget(&"a".into());
    let (txn, asked) = p.next(Time(1), 192).unwrap();
    assert_eq!(txn.conditions.len(), 1, "only what is there is compared");
    p.remember(&"a".into(), head, Version(5));
    let yes = Reply::Answer(200, wire::encode(&0));
    let out = p.answered(Time(2), Span(0), asked, &yes);
    assert_eq!(ids(&out.changed), [0, 2], "they are read by themselves");
    assert_eq!(out.open.len(), 1);
}
