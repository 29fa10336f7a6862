use super::super::Output;
use super::*;
use crate::testing::effects_at;
use crate::wire::kvstore::TransactionResponse;
use crate::wire::users::{JobStage, JobStatus};

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
    job_api.handle_step_reply(
        &mut effects,
        RequestId(2),
        Step::Accept {
            id: id.clone(),
            tasks: 3,
        },
        committed(),
    );
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
    job_api.handle_step_reply(
        &mut effects,
        RequestId(1),
        Step::Accept {
            id: id.clone(),
            tasks: 3,
        },
        committed(),
    );
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
