//! The client against nodes that lag, refuse, hang and vanish.

use pebblefold_client::{Attempts, Client, ClientError, Kind, Policy, Seen, Step};
use pebblefold_net::answer_connections;
use pebblefold_wire::encode;
use pebblefold_wire::http::{Request, Response};
use pebblefold_wire::types::{Time, TimeSpan};
use pebblefold_wire::users::{JobShape, JobStage, JobStatus, Priority, Submission};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

fn at(ms: u64) -> Time {
    Time(ms * 1000)
}

/// Plays a call against nodes that never answer; what is sent when, to whom.
fn silent(kind: Kind, nodes: usize, policy: Policy, mut budget: u32) -> (Vec<(u64, usize)>, u64) {
    let mut a = Attempts::new(kind, nodes, policy, at(0), 3);
    let mut sent = Vec::new();
    for ms in 0..100_000 {
        let mut allow = |_| {
            let left = budget > 0;
            budget = budget.saturating_sub(1);
            left
        };
        for step in a.next(at(ms), &mut allow) {
            match step {
                Step::Send { node, .. } => sent.push((ms, node)),
                Step::GiveUp => return (sent, ms),
                Step::Wait(t) => assert!(t > at(ms)),
            }
        }
    }
    panic!("it never ends");
}

#[test]
fn tries_go_round_wait_longer_and_end_by_the_deadline() {
    let policy = Policy {
        deadline: TimeSpan::millis(20_000),
        patience: TimeSpan::millis(1000),
        ..Policy::default()
    };
    let (sent, end) = silent(Kind::Submit, 3, policy, 100);
    assert_eq!(end, 20_000);
    assert!((8..=14).contains(&sent.len()), "{sent:?}");
    assert!(
        sent.windows(2).all(|w| w[1].1 == (w[0].1 + 1) % 3),
        "{sent:?}"
    );
    let pauses: Vec<u64> = sent.windows(2).map(|w| w[1].0 - w[0].0 - 1000).collect();
    assert!(
        pauses[0] <= 100 && *pauses.last().unwrap() >= 1000,
        "{pauses:?}"
    );
    // Without a budget the first try is the last.
    let (sent, end) = silent(Kind::Submit, 3, policy, 0);
    assert!(sent.len() == 1 && end < 1200, "{sent:?} {end}");
}

#[test]
fn polls_are_hedged_and_changes_are_not() {
    let policy = Policy {
        deadline: TimeSpan::millis(1500),
        patience: TimeSpan::millis(2000),
        ..Policy::default()
    };
    let (polls, _) = silent(Kind::Poll, 3, policy, 100);
    assert_eq!(polls.iter().map(|s| s.0).collect::<Vec<_>>(), [0, 500]);
    assert_ne!(polls[0].1, polls[1].1);
    assert_eq!(silent(Kind::Poll, 1, policy, 100).0.len(), 1);
    assert_eq!(silent(Kind::Cancel, 3, policy, 100).0.len(), 1);
}

#[test]
fn a_nodes_retry_after_is_honoured_and_spread() {
    let mut starts = Vec::new();
    for seed in 0..50 {
        let mut a = Attempts::new(Kind::Submit, 3, Policy::default(), at(0), seed);
        a.next(at(0), &mut |_| true);
        a.failed(at(10), 0, Some(4));
        let back = (0..30_000)
            .find(|ms| matches!(a.next(at(*ms), &mut |_| true)[..], [Step::Send { .. }]))
            .unwrap();
        starts.push(back);
    }
    assert!(
        starts.iter().all(|s| (4010..=5011).contains(s)),
        "{starts:?}"
    );
    starts.sort_unstable();
    starts.dedup();
    assert!(starts.len() > 20, "they come back together");
}

#[test]
fn no_answer_is_older_than_one_that_was_given() {
    let mut seen = Seen::default();
    let job = "wk-1".into();
    assert!(seen.allows(&job, None));
    seen.note(&job, JobStage::Queued);
    assert!(!seen.allows(&job, None) && seen.allows(&job, Some(JobStage::Running)));
    seen.note(&job, JobStage::Done);
    seen.note(&job, JobStage::Running);
    assert!(seen.allows(&job, Some(JobStage::Done)));
    assert!(
        !seen.allows(&job, Some(JobStage::Running))
            && !seen.allows(&job, Some(JobStage::Cancelled))
    );
    for i in 0..30_000 {
        seen.note(&format!("wk-{i}").as_str().into(), JobStage::Queued);
    }
    assert!(seen.allows(&"wk-5".into(), None), "only so many are kept");
}

fn submission() -> Submission {
    Submission {
        id: "wk-1".into(),
        class: "tiles".into(),
        team: "maps".into(),
        shape: JobShape::Array,
        priority: Priority::Low,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "tiles-1".into(),
        image_gb: 1.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

type Script = Rc<RefCell<Vec<Option<(u16, Option<u32>, JobStage)>>>>;

/// A node that answers by a script, from its end; `None` drops the connection.
async fn node(script: Vec<Option<(u16, Option<u32>, JobStage)>>) -> (SocketAddrV4, Script) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("bound to an IPv4 address")
    };
    let script = Rc::new(RefCell::new(script));
    let left = Rc::clone(&script);
    spawn_local(answer_connections(listener, move |_: Request| {
        let next = left.borrow_mut().pop().flatten();
        async move {
            let (status, retry_after, stage) = next?;
            let id = "wk-1".into();
            let body = encode(&JobStatus {
                id,
                stage,
                done: None,
                running: None,
            });
            Some(Response {
                status,
                retry_after,
                body,
                close: false,
            })
        }
    }));
    (addr, script)
}

fn on_sockets<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test());
}

fn quick() -> Policy {
    Policy {
        first_pause: TimeSpan::millis(5),
        most_pause: TimeSpan::millis(20),
        deadline: TimeSpan::millis(8000),
        ..Policy::default()
    }
}

#[test]
fn a_call_is_answered_through_refusals_dropped_connections_and_old_answers() {
    on_sockets(async || {
        let q = JobStage::Queued;
        let script = vec![
            Some((200, None, JobStage::Done)),
            Some((200, None, JobStage::Running)),
            Some((404, None, q)),
            Some((200, None, JobStage::Done)),
            None,
            Some((503, None, q)),
            Some((201, None, q)),
        ];
        let (addr, left) = node(script).await;
        let dead = "127.0.0.1:1".parse().unwrap();
        let client = Client::new(vec![addr, dead], quick());
        let job = "wk-1".into();
        assert_eq!(client.submit(&submission()).await.unwrap().stage, q);
        // Refused, dropped, then done; and never running or unknown again.
        assert_eq!(client.status(&job).await.unwrap().stage, JobStage::Done);
        assert_eq!(client.status(&job).await.unwrap().stage, JobStage::Done);
        assert!(
            left.borrow().is_empty(),
            "the older answers were passed over"
        );
    });
}

#[test]
fn errors_say_whether_to_repeat() {
    on_sockets(async || {
        let policy = Policy {
            deadline: TimeSpan::millis(300),
            ..quick()
        };
        let (addr, _) = node(vec![
            Some((422, None, JobStage::Queued)),
            Some((404, None, JobStage::Queued)),
        ])
        .await;
        let client = Client::new(vec![addr], policy);
        let job = "wk-1".into();
        assert_eq!(
            client.status(&job).await,
            Err(ClientError::NoSuchJob("wk-1".into()))
        );
        let refused = client.submit(&submission()).await.unwrap_err();
        assert!(
            matches!(refused, ClientError::Refused { status: 422, .. }) && !refused.may_repeat()
        );
        // The node's word on when to come back is passed on.
        let (addr, _) = node(vec![Some((503, Some(9), JobStage::Queued))]).await;
        let busy = Client::new(vec![addr], policy)
            .status(&job)
            .await
            .unwrap_err();
        assert!(busy.may_repeat());
        assert!(
            matches!(busy, ClientError::Busy { pause, .. } if pause > TimeSpan::millis(8000)),
            "{busy}"
        );
        let bad = Client::new(vec![addr], policy).status(&"a/b".into()).await;
        assert!(matches!(bad, Err(ClientError::BadId(_))));
        assert_eq!(
            Client::new(Vec::new(), policy).status(&job).await,
            Err(ClientError::NoNodes)
        );
    });
}

#[test]
fn waiting_tells_each_change_and_ends_with_the_end() {
    on_sockets(async || {
        let stages = [
            JobStage::Cancelled,
            JobStage::Running,
            JobStage::Running,
            JobStage::Queued,
        ];
        let (addr, _) = node(stages.map(|s| Some((200, None, s))).into()).await;
        let client = Client::new(vec![addr], quick());
        let mut told = Vec::new();
        let end = client
            .wait(&"wk-1".into(), Duration::from_millis(1), |a| {
                told.push(a.stage)
            })
            .await;
        assert_eq!(end.unwrap().stage, JobStage::Cancelled);
        assert_eq!(
            told,
            [JobStage::Queued, JobStage::Running, JobStage::Cancelled]
        );
    });
}
