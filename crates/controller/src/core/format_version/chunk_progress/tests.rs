use super::super::{FENCED, UNVERSIONED};
use super::*;
use proptest::prelude::*;

fn sample() -> ChunkProgress {
    let place = |i, a, m: &str| (i, Attempt(a), m.into(), AgentEpoch(1));
    ChunkProgress {
        attempt: Attempt(3),
        done: vec![(0, 2), (5, 6)],
        assignments: vec![
            place(2, 3, "host-7"),
            place(3, 3, "host-7"),
            place(4, 2, "host-8"),
            place(7, 3, "host-7"),
        ],
        stops: vec![(4, 5)],
    }
}

/// A record of each format version as it was first stored. Later builds must still read
/// all of them.
const GOLDEN: [(FormatVersion, &str); 3] = [
    (
        UNVERSIONED,
        r#"{"n":3,"d":[[0,2],[5,6]],"p":[[2,3,"host-7",1],[3,3,"host-7",1],[4,2,"host-8",1],[7,3,"host-7",1]],"x":[[4,5]]}"#,
    ),
    (
        FENCED,
        r#"{"n":3,"d":[[0,2],[5,6]],"p":[[2,3,"host-7",1],[3,3,"host-7",1],[4,2,"host-8",1],[7,3,"host-7",1]],"x":[[4,5]]}"#,
    ),
    (
        WITH_HISTORY,
        r#"{"n":3,"d":[0,2,5,6],"m":[["host-7",1,0,[2,1,4]],["host-8",1,1,[4]]],"x":[4,5]}"#,
    ),
];

#[test]
fn every_version_reads_older_forms() {
    assert_eq!(
        GOLDEN.len(),
        super::super::KNOWN_VERSIONS.len(),
        "a sample of each format version"
    );
    for (version, text) in GOLDEN {
        let stored: Value = serde_json::from_str(text).unwrap();
        assert_eq!(
            ChunkProgress::read(&stored).as_ref(),
            Ok(&sample()),
            "{version}"
        );
        assert_eq!(sample().write(version), stored, "{version}");
        assert!(ChunkProgress::has_form_of(&stored, version), "{version}");
    }
    // A record that an older build wrote without stops.
    let old = serde_json::json!({"n": 1, "d": [], "p": []});
    assert!(ChunkProgress::read(&old).is_ok());
}

// A record that is damaged, or has fields that this build does not know, must not be
// read as an empty one: its tasks would run a second time.
#[test]
fn rejects_damaged_or_future_forms() {
    for text in [
        "null",
        "{}",
        r#"{"n":1,"d":[]}"#,
        r#"{"n":1,"d":[],"p":[],"q":1}"#,
        r#"{"n":1,"m":[],"later":true}"#,
        r#"{"n":1,"m":[],"d":[1]}"#,
        r#"{"n":1,"m":[["h",1,2,[0]]]}"#,
        r#"{"n":1,"m":[["h",1,0,[0,0]]]}"#,
    ] {
        let stored: Value = serde_json::from_str(text).unwrap();
        let e = ChunkProgress::read(&stored).expect_err(text);
        assert!(
            e.to_string()
                .starts_with("not in the form of any level up to"),
            "{e}"
        );
    }
}

fn task_ranges() -> impl Strategy<Value = TaskRanges> {
    let steps = proptest::collection::vec((1u32..5, 1u32..5), 0..6);
    steps.prop_map(|steps| {
        let mut at = 0;
        let mut next = |(gap, len)| {
            let from = at + gap;
            at = from + len;
            (from, at)
        };
        steps.into_iter().map(&mut next).collect()
    })
}

fn progress() -> impl Strategy<Value = ChunkProgress> {
    let assignments = proptest::collection::btree_map(0u32..64, (0u64..9, 0u8..5, 1u64..3), 0..64);
    (task_ranges(), assignments, task_ranges()).prop_map(|(done, assignments, stops)| {
        let place = |(i, (a, m, e))| {
            let machine = format!("host-{m:06}").as_str().into();
            (i, Attempt(a), machine, AgentEpoch(e))
        };
        ChunkProgress {
            attempt: Attempt(9),
            done,
            assignments: assignments.into_iter().map(place).collect(),
            stops,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..Default::default()
    })]
    #[test]
    fn round_trips_at_every_later_version(p in progress()) {
        for step in super::super::KNOWN_VERSIONS {
            let stored = p.write(step.version);
            prop_assert_eq!(ChunkProgress::read(&stored), Ok(p.clone()));
        }
    }
}
