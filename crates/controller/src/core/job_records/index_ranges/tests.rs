use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default()
    })]
    #[test]
    fn behaves_like_a_btree_set(steps in proptest::collection::vec((any::<bool>(), 0u32..40), 0..120),
        low in 0u32..40, size in 0u32..20) {
        let mut expected = BTreeSet::new();
        let mut ranges = IndexRanges::default();
        for (is_insert, i) in steps {
            if is_insert {
                prop_assert_eq!(ranges.insert(i), expected.insert(i));
            } else {
                prop_assert_eq!(ranges.remove(i), expected.remove(&i));
            }
        }
        prop_assert_eq!(ranges.len() as usize, expected.len());
        prop_assert!(ranges.iter().eq(expected.iter().copied()));
        let within: Vec<u32> = ranges.within(low, low + size).iter().flat_map(|&(a, b)| a..b).collect();
        prop_assert!(within.into_iter().eq(expected.range(low..low + size).copied()));
    }
}
