use super::*;
use crate::core::job_records::json_len;
use crate::core::keys::{WatchedKey, parse_watched_key};
use crate::testing;
use crate::wire::users::JobShape;

#[test]
fn splits_long_submission_and_reads_it_back() {
    let limits = TransactionLimits {
        ops: 48,
        value_bytes: 2048,
    };
    let mut spec = testing::submission("wk-1", JobShape::Array, 3);
    spec.kinds = Some((0..300).map(|i| format!("kind-\"{i}\"").into()).collect());
    let transaction = accept_transaction(&spec, WallTime(5), limits).unwrap();
    let mut assembler = SubmissionAssembler::default();
    let mut first_part = None;
    for operation in &transaction.ops {
        let Operation::Put { key, value, .. } = operation else {
            panic!()
        };
        assert!(json_len(value) <= 2048, "{}", json_len(value));
        match parse_watched_key(key) {
            WatchedKey::Submission(id) => first_part = Some((id, value.clone())),
            WatchedKey::SubmissionPart(id, n) => assembler.add_part(id, n, value),
            _ => assert_eq!(key, "job/wk-1"),
        }
    }
    let (id, first_value) = first_part.unwrap();
    let job = assembler.assemble(&id, Version(9), &first_value).unwrap();
    assert_eq!((*job.spec).clone(), spec);
    assert_eq!(job.accepted_at, WallTime(5));
}
