use super::*;

const TOKEN: FencingToken = FencingToken(7);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

fn beat(state_ms: u64) -> LeaderHeartbeat {
    LeaderHeartbeat {
        node_id: "a".into(),
        token: TOKEN,
        state_ms,
        late_ms: 0,
    }
}

/// A judge among five that has heard beats for ten seconds.
fn failure_detector() -> FailureDetector {
    let mut j = FailureDetector::new(5, 8.0);
    j.follow(Some(&("a".into(), TOKEN)));
    for n in 0..200 {
        let now = at(f64::from(n) * 0.05);
        j.tick(now);
        if n % 5 == 0 {
            j.heard(now, &beat(200));
        }
        assert_eq!(j.step(now, 0), Step::None);
    }
    j
}

/// Ticks on without beats until there is something to do.
fn until_step(j: &mut FailureDetector, from: f64, to: f64, rank: u32) -> Option<(f64, Step)> {
    let mut t = from;
    while t < to {
        t += 0.05;
        j.tick(at(t));
        let step = j.step(at(t), rank);
        if step != Step::None {
            return Some((t, step));
        }
    }
    None
}

#[test]
fn a_silent_leader_is_replaced_once_it_was_asked_and_others_agree() {
    let mut j = failure_detector();
    let (t, step) = until_step(&mut j, 9.95, 12.0, 0).unwrap();
    assert_eq!(step, Step::Probe(Suspicion::Silent));
    assert!(t < 10.65, "{t}");
    j.reached_state();
    j.told("b".into(), TOKEN, true, 0);
    j.probed(at(t), TOKEN, ProbeOutcome::Silent);
    // Two of four are no majority.
    let (t, step) = until_step(&mut j, t, 12.0, 0).unwrap();
    assert_eq!(step, Step::Probe(Suspicion::Silent));
    j.told("c".into(), TOKEN, true, 0);
    let mut other = j.clone();
    let (t, step) = until_step(&mut j, t, 12.0, 0).unwrap();
    assert_eq!(step, Step::Depose(TOKEN, Suspicion::Silent));
    assert!(t < 11.2, "{t}");
    // One that comes later in rank leaves it to the first.
    let (later, _) = until_step(&mut other, t, 12.0, 2).unwrap();
    assert!(later > t + 0.1);
}

// Each of these once is enough against a verdict.
#[test]
fn a_doubt_can_be_refuted() {
    let ripe = || {
        let mut j = failure_detector();
        let (t, _) = until_step(&mut j, 9.95, 12.0, 0).unwrap();
        j.reached_state();
        for l in ["b", "c", "d"] {
            j.told(l.into(), TOKEN, true, 0);
        }
        j.probed(at(t), TOKEN, ProbeOutcome::Silent);
        (j, t)
    };
    let deposes = |mut j: FailureDetector, t: f64| {
        matches!(
            until_step(&mut j, t, t + 0.15, 0),
            Some((_, Step::Depose(..)))
        )
    };
    let (j, t) = ripe();
    assert!(deposes(j, t));
    let (mut j, t) = ripe();
    j.heard(at(t), &beat(0));
    assert!(!deposes(j, t), "a beat came after all");
    for probe in [ProbeOutcome::Answered, ProbeOutcome::NotServing] {
        let (mut j, t) = ripe();
        j.probed(at(t), TOKEN, probe);
        assert!(!deposes(j, t), "{probe:?}");
    }
    let (mut j, t) = ripe();
    for l in ["c", "d"] {
        j.told(l.into(), TOKEN, false, 0);
    }
    assert!(!deposes(j, t), "others hear it");
    let (mut j, t) = ripe();
    j.follow(Some(&("b".into(), FencingToken(9))));
    assert!(!deposes(j, t), "another leads by now");
}

// A leader that ended for good with its port refused kept its place until its
// lease was over, as a refusal says nothing: what its workers do says the rest.
#[test]
fn a_refusal_counts_once_workers_come_over() {
    let deposed = |came: &[(usize, f64)], told: u32| {
        let mut j = failure_detector();
        let (t, _) = until_step(&mut j, 9.95, 12.0, 0).unwrap();
        j.reached_state();
        for l in ["b", "c"] {
            j.told(l.into(), TOKEN, true, told);
        }
        j.probed(at(t), TOKEN, ProbeOutcome::NotServing);
        for (i, ago) in came {
            let machine = format!("host-{i}").as_str().into();
            j.came_over(at(t - ago), TOKEN, &machine);
            j.came_over(at(t - ago), FencingToken(3), &"old".into());
        }
        let step = until_step(&mut j, t, t + 0.4, 0);
        matches!(step, Some((_, Step::Depose(..))))
    };
    assert!(!deposed(&[], 0));
    assert!(!deposed(&[(1, 0.1), (2, 0.1), (2, 0.0)], 0), "two did");
    assert!(deposed(&[(1, 0.1), (2, 0.1), (3, 0.0)], 0));
    assert!(!deposed(&[(1, 2.0), (2, 2.0), (3, 0.0)], 0), "long ago");
    assert!(
        deposed(&[(1, 0.1)], 1),
        "one here and one each at two others"
    );
}

// A judge that was frozen, or is behind, misses what waits for it unread.
#[test]
fn who_was_not_there_doubts_nobody() {
    let mut j = failure_detector();
    j.tick(at(70.0));
    assert_eq!(j.step(at(70.0), 0), Step::None);
    assert!(!j.agrees(at(70.0), TOKEN, Suspicion::Silent, true));
    let (t, _) = until_step(&mut j, 70.0, 75.0, 0).unwrap();
    assert!(t > 71.0, "{t}");
}

#[test]
fn a_leader_without_the_state_service_is_replaced_by_one_that_has_it() {
    let mut j = failure_detector();
    let mut t = 10.0;
    let mut deposed = None;
    for n in 0..60 {
        t += 0.05;
        j.tick(at(t));
        if n % 5 == 0 {
            j.heard(at(t), &beat(50 * n));
        }
        match j.step(at(t), 0) {
            Step::Probe(doubt) => {
                assert_eq!(doubt, Suspicion::NoState);
                j.probed(at(t), TOKEN, ProbeOutcome::Answered);
                for l in ["b", "c"] {
                    j.told(l.into(), TOKEN, true, 0);
                }
                // In an outage nobody is answered, and nothing follows.
                if n > 40 {
                    j.reached_state();
                }
            }
            Step::Depose(..) => {
                deposed = Some(n);
                break;
            }
            Step::None => {}
        }
    }
    assert!(deposed.is_some_and(|n| n > 40), "{deposed:?}");
}

// Two that suspect one another in turn must not pass the key to and fro.
#[test]
fn verdicts_get_rarer() {
    let mut j = failure_detector();
    let mut verdicts = Vec::new();
    let mut t = 10.0;
    while t < 200.0 {
        t += 0.05;
        j.tick(at(t));
        match j.step(at(t), 0) {
            Step::Probe(_) => {
                j.reached_state();
                j.probed(at(t), TOKEN, ProbeOutcome::Silent);
                for l in ["b", "c"] {
                    j.told(l.into(), TOKEN, true, 0);
                }
            }
            Step::Depose(..) => verdicts.push(t),
            Step::None => {}
        }
    }
    let gaps: Vec<f64> = verdicts.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).all(|g| g[1] > 1.7 * g[0]), "{gaps:?}");
    assert!((4..8).contains(&verdicts.len()), "{verdicts:?}");
}

#[test]
fn two_nodes_have_the_lease_alone() {
    let mut j = failure_detector();
    j.quorum = FailureDetector::new(2, 8.0).quorum;
    let (t, _) = until_step(&mut j, 9.95, 12.0, 0).unwrap();
    j.reached_state();
    j.probed(at(t), TOKEN, ProbeOutcome::Silent);
    let depose = |s| matches!(s, Some((_, Step::Depose(..))));
    assert!(!depose(until_step(&mut j, t, t + 0.15, 0)));
}
