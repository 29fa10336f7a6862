use super::*;
use crate::core::format_version::KNOWN_VERSIONS;
use crate::testing;
use crate::types::AgentEpoch;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default()
    })]
    #[test]
    fn ranges_are_a_set(steps in proptest::collection::vec((any::<bool>(), 0u32..40), 0..120),
        low in 0u32..40, size in 0u32..20) {
        let mut plain = BTreeSet::new();
        let mut ranges = IndexRanges::default();
        for (add, i) in steps {
            if add {
                prop_assert_eq!(ranges.insert(i), plain.insert(i));
            } else {
                prop_assert_eq!(ranges.remove(i), plain.remove(&i));
            }
        }
        prop_assert_eq!(ranges.len() as usize, plain.len());
        prop_assert!(ranges.iter().eq(plain.iter().copied()));
        let within: Vec<u32> = ranges.within(low, low + size).iter().flat_map(|&(a, b)| a..b).collect();
        prop_assert!(within.into_iter().eq(plain.range(low..low + size).copied()));
    }
}

#[test]
fn a_long_submission_is_stored_in_pieces_and_read_back() {
    let limits = TransactionLimits {
        ops: 48,
        value_bytes: 2048,
    };
    let mut spec = testing::submission("wk-1", JobShape::Array, 3);
    spec.kinds = Some((0..300).map(|i| format!("kind-\"{i}\"").into()).collect());
    let txn = accept_txn(&spec, WallTime(5), limits).unwrap();
    let mut assembly = SubmissionAssembler::default();
    let mut first = None;
    for op in &txn.ops {
        let Operation::Put { key, value, .. } = op else {
            panic!()
        };
        assert!(json_len(value) <= 2048, "{}", json_len(value));
        match watched(key) {
            Watched::Job(id) => first = Some((id, value.clone())),
            Watched::Part(id, n) => assembly.part(id, n, value),
            _ => assert_eq!(key, "job/wk-1"),
        }
    }
    let (id, v) = first.unwrap();
    let job = assembly.job(&id, Version(9), &v).unwrap();
    assert_eq!((*job.spec).clone(), spec);
    assert_eq!(job.at, WallTime(5));
}

#[test]
fn a_full_chunk_fits_into_a_value() {
    for bytes in [1024, 2048, 8192] {
        let size = ChunkSize::for_value(bytes);
        let spec = testing::submission("wk-1", JobShape::Array, 100_000);
        let mut job = Job::new(Rc::new(spec), WallTime(0), Version(1), 1);
        let high = 100_000 - size.0;
        for i in (high..100_000).step_by(2) {
            job.done.insert(i);
        }
        for i in high..100_000 {
            let place = Assignment::inherited(
                "machine-with-a-rather-long-name-000231".into(),
                AgentEpoch(1 << 40),
                Attempt(1 << 40),
            );
            job.assignments.insert(i, place);
        }
        let chunk = size.of(high);
        for step in KNOWN_VERSIONS {
            let len = json_len(&job.chunk_value(size, chunk, step.level));
            assert!(len <= bytes, "{len} of {bytes} at level {}", step.level);
        }
    }
}
