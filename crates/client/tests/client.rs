//! The client with controllers that lag behind, reject requests, do not respond, and drop
//! connections.

use pebblefold_client::{
    Action, AnswerCache, Attempts, Client, ClientError, RequestKind, RetryPolicy,
};
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

fn at_ms(ms: u64) -> Time {
    Time(ms * 1000)
}

/// Simulates a call to controllers that never respond. Returns the time in milliseconds
/// and the controller of each attempt, and the time at which the call ends.
fn simulate_unresponsive_nodes(
    kind: RequestKind,
    nodes: usize,
    policy: RetryPolicy,
    mut budget: u32,
) -> (Vec<(u64, usize)>, u64) {
    let mut attempts = Attempts::new(kind, nodes, policy, at_ms(0), 3);
    let mut sent = Vec::new();
    for ms in 0..100_000 {
        let mut allow = |_| {
            let is_allowed = budget > 0;
            budget = budget.saturating_sub(1);
            is_allowed
        };
        for action in attempts.next(at_ms(ms), &mut allow) {
            match action {
                Action::Send { node, .. } => sent.push((ms, node)),
                Action::Abandon => return (sent, ms),
                Action::Wait(t) => assert!(t > at_ms(ms)),
            }
        }
    }
    panic!("the call does not end");
}

#[test]
fn attempts_rotate_nodes_and_back_off_until_deadline() {
    let policy = RetryPolicy {
        deadline: TimeSpan::millis(20_000),
        attempt_timeout: TimeSpan::millis(1000),
        ..RetryPolicy::default()
    };
    let (sent, end) = simulate_unresponsive_nodes(RequestKind::Submit, 3, policy, 100);
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
    // Without a retry budget there is one attempt.
    let (sent, end) = simulate_unresponsive_nodes(RequestKind::Submit, 3, policy, 0);
    assert!(sent.len() == 1 && end < 1200, "{sent:?} {end}");
}

#[test]
fn hedges_polls_but_not_writes() {
    let policy = RetryPolicy {
        deadline: TimeSpan::millis(1500),
        attempt_timeout: TimeSpan::millis(2000),
        ..RetryPolicy::default()
    };
    let (polls, _) = simulate_unresponsive_nodes(RequestKind::Poll, 3, policy, 100);
    assert_eq!(polls.iter().map(|s| s.0).collect::<Vec<_>>(), [0, 500]);
    assert_ne!(polls[0].1, polls[1].1);
    assert_eq!(
        simulate_unresponsive_nodes(RequestKind::Poll, 1, policy, 100)
            .0
            .len(),
        1
    );
    assert_eq!(
        simulate_unresponsive_nodes(RequestKind::Cancel, 3, policy, 100)
            .0
            .len(),
        1
    );
}

#[test]
fn honours_retry_after_with_jitter() {
    let mut resend_times_ms = Vec::new();
    for seed in 0..50 {
        let mut attempts = Attempts::new(
            RequestKind::Submit,
            3,
            RetryPolicy::default(),
            at_ms(0),
            seed,
        );
        attempts.next(at_ms(0), &mut |_| true);
        attempts.record_failure(at_ms(10), 0, Some(4));
        let resent_at_ms = (0..30_000)
            .find(|ms| {
                matches!(
                    attempts.next(at_ms(*ms), &mut |_| true)[..],
                    [Action::Send { .. }]
                )
            })
            .unwrap();
        resend_times_ms.push(resent_at_ms);
    }
    assert!(
        resend_times_ms.iter().all(|s| (4010..=5011).contains(s)),
        "{resend_times_ms:?}"
    );
    resend_times_ms.sort_unstable();
    resend_times_ms.dedup();
    assert!(resend_times_ms.len() > 20, "the retries are not spread");
}

#[test]
fn rejects_answers_older_than_one_given() {
    let mut answer_cache = AnswerCache::default();
    let job = "wk-1".into();
    assert!(answer_cache.allows(&job, None));
    answer_cache.record(&job, JobStage::Queued);
    assert!(!answer_cache.allows(&job, None) && answer_cache.allows(&job, Some(JobStage::Running)));
    answer_cache.record(&job, JobStage::Done);
    answer_cache.record(&job, JobStage::Running);
    assert!(answer_cache.allows(&job, Some(JobStage::Done)));
    assert!(
        !answer_cache.allows(&job, Some(JobStage::Running))
            && !answer_cache.allows(&job, Some(JobStage::Cancelled))
    );
    for i in 0..30_000 {
        answer_cache.record(&format!("wk-{i}").as_str().into(), JobStage::Queued);
    }
    assert!(
        answer_cache.allows(&"wk-5".into(), None),
        "the oldest job is dropped"
    );
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

/// Starts a controller that responds to each request with the last entry of the script
/// and removes it; `None` drops the connection.
async fn start_node(script: Vec<Option<(u16, Option<u32>, JobStage)>>) -> (SocketAddrV4, Script) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("bound to an IPv4 address")
    };
    let script = Rc::new(RefCell::new(script));
    let remaining = Rc::clone(&script);
    spawn_local(answer_connections(listener, move |_: Request| {
        let next = remaining.borrow_mut().pop().flatten();
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

fn run_local<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test());
}

fn fast_policy() -> RetryPolicy {
    RetryPolicy {
        first_pause: TimeSpan::millis(5),
        max_pause: TimeSpan::millis(20),
        deadline: TimeSpan::millis(8000),
        ..RetryPolicy::default()
    }
}

#[test]
fn call_survives_refusals_dropped_connections_and_stale_answers() {
    run_local(async || {
        let queued = JobStage::Queued;
        let script = vec![
            Some((200, None, JobStage::Done)),
            Some((200, None, JobStage::Running)),
            Some((404, None, queued)),
            Some((200, None, JobStage::Done)),
            None,
            Some((503, None, queued)),
            Some((201, None, queued)),
        ];
        let (addr, remaining) = start_node(script).await;
        let closed_port = "127.0.0.1:1".parse().unwrap();
        let client = Client::new(vec![addr, closed_port], fast_policy());
        let job = "wk-1".into();
        assert_eq!(client.submit(&submission()).await.unwrap().stage, queued);
        // The first status call is rejected, loses its connection, then receives "done".
        // Afterwards the job must not be reported as unknown or running.
        assert_eq!(client.status(&job).await.unwrap().stage, JobStage::Done);
        assert_eq!(client.status(&job).await.unwrap().stage, JobStage::Done);
        assert!(
            remaining.borrow().is_empty(),
            "a stale answer was not skipped"
        );
    });
}

#[test]
fn errors_say_whether_they_are_retryable() {
    run_local(async || {
        let policy = RetryPolicy {
            deadline: TimeSpan::millis(300),
            ..fast_policy()
        };
        let (addr, _) = start_node(vec![
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
            matches!(refused, ClientError::Refused { status: 422, .. }) && !refused.is_retryable()
        );
        // The error carries the controller's `Retry-After`.
        let (addr, _) = start_node(vec![Some((503, Some(9), JobStage::Queued))]).await;
        let busy = Client::new(vec![addr], policy)
            .status(&job)
            .await
            .unwrap_err();
        assert!(busy.is_retryable());
        assert!(
            matches!(busy, ClientError::Busy { pause, .. } if pause > TimeSpan::millis(8000)),
            "{busy}"
        );
        let invalid_id = Client::new(vec![addr], policy).status(&"a/b".into()).await;
        assert!(matches!(invalid_id, Err(ClientError::InvalidJobId(_))));
        assert_eq!(
            Client::new(Vec::new(), policy).status(&job).await,
            Err(ClientError::NoNodes)
        );
    });
}

#[test]
fn wait_reports_each_change_until_the_job_ends() {
    run_local(async || {
        let stages = [
            JobStage::Cancelled,
            JobStage::Running,
            JobStage::Running,
            JobStage::Queued,
        ];
        let (addr, _) = start_node(stages.map(|s| Some((200, None, s))).into()).await;
        let client = Client::new(vec![addr], fast_policy());
        let mut reported_stages = Vec::new();
        let end = client
            .wait(&"wk-1".into(), Duration::from_millis(1), |job_status| {
                reported_stages.push(job_status.stage);
            })
            .await;
        assert_eq!(end.unwrap().stage, JobStage::Cancelled);
        assert_eq!(
            reported_stages,
            [JobStage::Queued, JobStage::Running, JobStage::Cancelled]
        );
    });
}
