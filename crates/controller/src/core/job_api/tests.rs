use super::super::{CallId, Output};
use super::*;
use crate::core::store_limits::TransactionSize;
use crate::testing::{effects_at, submission};
use crate::wire::kvstore::TransactionResponse;
use crate::wire::users::{JobShape, JobStage, JobStatus};

// A poll's read that was answered only after a cancellation had been confirmed returned
// the older state.
#[test]
fn late_read_does_not_revert_finished_job() {
    let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
    let id = JobId::from("wk-1");
    let cancel_committed = Reply::Answer(200, wire::encode(&TransactionResponse::default()));
    let cancel = Step::Cancel {
        id: id.clone(),
        retries_left: 1,
    };
    job_api.handle_step_reply(&mut effects, RequestId(1), cancel, cancel_committed);
    let header = Entry {
        key: job_records::job_header_key(&id),
        value: job_records::job_header_value(HeaderStage::Open, 3),
        version: Version(4),
    };
    let late = Reply::Answer(200, wire::encode(&header));
    job_api.handle_step_reply(&mut effects, RequestId(2), Step::Poll(id), late);
    let stages: Vec<JobStage> = effects
        .take_outputs()
        .into_iter()
        .filter_map(|o| match o {
            Output::Answer(_, a) => wire::decode::<JobStatus>(&a.body).map(|a| a.stage),
            _ => None,
        })
        .collect();
    assert_eq!(stages, [JobStage::Cancelled, JobStage::Cancelled]);
}

fn take_answers(effects: &mut Effects) -> Vec<(u64, u16, Option<JobStage>)> {
    let answers = effects.take_outputs().into_iter().filter_map(|o| match o {
        Output::Answer(r, a) => Some((r.0, a)),
        _ => None,
    });
    let stage = |body: &[u8]| wire::decode::<JobStatus>(body).map(|a| a.stage);
    answers
        .map(|(r, a)| (r, a.status, stage(&a.body)))
        .collect()
}

/// The acceptance of job `wk-1` with three tasks.
fn accept_step() -> Step {
    Step::Accept {
        job: Rc::new(submission("wk-1", JobShape::Array, 3)),
        limits: TransactionLimits {
            ops: 48,
            value_bytes: 8192,
        },
    }
}

fn cancelled_header() -> Reply {
    let header = Entry {
        key: "job/wk-1".into(),
        value: job_records::job_header_value(HeaderStage::Cancelled, 3),
        version: Version(9),
    };
    Reply::Answer(200, wire::encode(&header))
}

fn committed() -> Reply {
    Reply::Answer(200, wire::encode(&TransactionResponse::default()))
}

// The answer to an acceptance may take seconds. A user whose submission another
// controller confirmed in the meantime, and who cancelled the job, received "pending"
// from this controller after "withdrawn".
#[test]
fn late_acceptance_does_not_revert_cancelled_job() {
    let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
    let id = JobId::from("wk-1");
    job_api.handle_step_reply(
        &mut effects,
        RequestId(1),
        Step::Poll(id.clone()),
        cancelled_header(),
    );
    job_api.handle_step_reply(&mut effects, RequestId(2), accept_step(), committed());
    assert_eq!(
        take_answers(&mut effects),
        [
            (1, 200, Some(JobStage::Cancelled)),
            (2, 200, Some(JobStage::Cancelled))
        ]
    );
    // The late acceptance must not add the job to the open ones either.
    assert!(!job_api.open_jobs.is_open(&id));
}

// A read that was sent before a job was accepted may be answered after the acceptance was
// confirmed.
#[test]
fn earlier_read_does_not_hide_accepted_job() {
    let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
    let id = JobId::from("wk-1");
    job_api.handle_step_reply(&mut effects, RequestId(1), accept_step(), committed());
    let not_found = || Reply::Answer(404, Vec::new());
    for (n, step) in [
        Step::Poll(id.clone()),
        Step::ReadForCancel {
            id: id.clone(),
            retries_left: 1,
        },
        Step::RejectUnlessKnown(id.clone(), Rejection::Unschedulable("unknown team")),
        Step::RejectUnlessKnown(id.clone(), Rejection::Malformed("pieces is invalid".into())),
    ]
    .into_iter()
    .enumerate()
    {
        job_api.handle_step_reply(&mut effects, RequestId(2 + n as u64), step, not_found());
    }
    let statuses: Vec<u16> = take_answers(&mut effects)
        .iter()
        .map(|(_, s, _)| *s)
        .collect();
    assert_eq!(statuses, [201, 503, 503, 503, 503]);
}

// A user who submits anything under an accepted job's id must not receive the answer that
// it is malformed or can never run. A malformed submission is refused once no such job is
// found, and nothing is stored.
#[test]
fn malformed_resubmission_is_answered_with_job_status() {
    let settings = crate::testing::settings(0);
    let truncated = serde_json::json!({"ref": "wk-1", "lane": "a", "pieces": 0});
    let complete = serde_json::json!({"ref": "wk-1", "lane": "a", "crew": "red", "shape": "batch", "urgency": "low",
        "pieces": 0, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "i", "size_gb": 1.0,
        "same_place": false, "scatter": false, "borrowed": true, "guess_s": 1.0, "snapshot_every_s": 0.0,
        "snapshot_s": 0.0});
    for body in [truncated, complete] {
        for (found, status) in [
            (cancelled_header(), 200),
            (Reply::Answer(404, Vec::new()), 400),
        ] {
            let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
            let body = wire::encode(&body);
            job_api.submit(&mut effects, RequestId(1), &body, &settings, None);
            let calls: Vec<_> = effects.take_outputs();
            let [Output::Call(call)] = calls.as_slice() else {
                panic!("{calls:?}")
            };
            assert_eq!((call.method, call.path.as_str()), ("GET", "/keys/job/wk-1"));
            let pending = job_api.pending_calls.take(call.id).unwrap();
            job_api.handle_reply(&mut effects, pending, found);
            let answers = take_answers(&mut effects);
            assert_eq!((answers.len(), answers[0].1), (1, status));
        }
    }
    // A submission without a valid job id is refused without a read.
    for body in [
        wire::encode(&serde_json::json!({"ref": "a b", "pieces": 1})),
        wire::encode(&serde_json::json!([1, 2])),
        vec![0xc1],
        Vec::new(),
    ] {
        let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
        job_api.submit(&mut effects, RequestId(1), &body, &settings, None);
        assert_eq!(take_answers(&mut effects), [(1, 400, None)]);
    }
}

/// The last call among the outputs, with the transaction that it commits.
fn sent_transaction(effects: &mut Effects) -> Option<(CallId, Transaction)> {
    let mut calls = effects.take_outputs().into_iter().filter_map(|o| match o {
        Output::Call(call) => Some(call),
        _ => None,
    });
    let call = calls.next_back()?;
    let transaction = wire::decode(&call.body).expect("the call commits a transaction");
    Some((call.id, transaction))
}

// The store lowers its limit on values. A submission that needs a larger value was refused
// for as long as its user repeated it, and the job was lost.
#[test]
fn refused_submission_is_stored_in_smaller_values() {
    for limit in [4096, 2048, 700] {
        let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
        let mut job = submission("wk-1", JobShape::Array, 3);
        let names = (0..150).map(|n| format!("type-{n:010}").as_str().into());
        job.kinds = Some(names.collect());
        let step = Step::Accept {
            job: Rc::new(job),
            limits: TransactionLimits {
                ops: 48,
                value_bytes: 8192,
            },
        };
        let refused = || Reply::Answer(400, Vec::new());
        job_api.handle_step_reply(&mut effects, RequestId(1), step, refused());
        for _ in 0..10 {
            let (id, transaction) = sent_transaction(&mut effects).expect("it is sent again");
            let call = job_api
                .pending_calls
                .take(id)
                .expect("its reply is awaited");
            let is_too_large = TransactionSize::of(&transaction).largest_value_bytes > limit;
            let reply = if is_too_large { refused() } else { committed() };
            job_api.handle_reply(&mut effects, call, reply);
            if !is_too_large {
                break;
            }
        }
        let answers = take_answers(&mut effects);
        assert_eq!(answers, [(1, 201, Some(JobStage::Queued))], "{limit} bytes");
    }
}

#[test]
fn submission_refused_for_another_reason_is_not_rejected_for_good() {
    let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
    let refused = Reply::Answer(400, Vec::new());
    job_api.handle_step_reply(&mut effects, RequestId(1), accept_step(), refused);
    assert_eq!(take_answers(&mut effects), [(1, 503, None)]);
}

// Polls of many jobs share a comparison. While one of more than 64 jobs was refused, every
// poll in it was, again and again.
#[test]
fn refused_comparison_is_repeated_with_fewer_jobs() {
    let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
    let open = JobHeader {
        stage: HeaderStage::Open,
        task_count: 1,
    };
    let mut answered = Vec::new();
    for number in 0..150 {
        let id = JobId::from(format!("wk-{number:03}").as_str());
        job_api.open_jobs.cache_header(&id, open, Version(4));
        let waits = job_api
            .open_jobs
            .enqueue(effects.now.time, RequestId(number), &id);
        assert!(waits);
    }
    for _ in 0..100 {
        effects.now.time = effects.now.time + TimeSpan::millis(5);
        job_api.send_shared_read(&mut effects);
        let Some((id, transaction)) = sent_transaction(&mut effects) else {
            continue;
        };
        let call = job_api
            .pending_calls
            .take(id)
            .expect("its reply is awaited");
        let reply = match transaction.conditions.len() {
            0..=64 => committed(),
            _ => Reply::Answer(400, Vec::new()),
        };
        job_api.handle_reply(&mut effects, call, reply);
        let outputs = effects.take_outputs();
        for output in outputs {
            match output {
                Output::Answer(request, answer) => answered.push((request.0, answer.status)),
                Output::Call(call) => panic!("no call is made at once: {call:?}"),
                Output::LeaseKeepAlive(_) => {}
            }
        }
    }
    answered.sort_unstable();
    let expected: Vec<(u64, u16)> = (0..150).map(|number| (number, 200)).collect();
    assert_eq!(answered, expected);
}

#[test]
fn refused_cancellation_is_not_confirmed() {
    let (mut effects, mut job_api) = (effects_at(1.0), JobApi::default());
    let cancel = Step::Cancel {
        id: JobId::from("wk-1"),
        retries_left: 1,
    };
    let refused = Reply::Answer(400, Vec::new());
    job_api.handle_step_reply(&mut effects, RequestId(1), cancel, refused);
    assert_eq!(take_answers(&mut effects), [(1, 503, None)]);
    assert!(job_api.confirmed_cancellations.is_empty());
}
