use super::*;

const TOKEN: FencingToken = FencingToken(7);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

fn beat(store_contact_age_ms: u64) -> LeaderHeartbeat {
    LeaderHeartbeat {
        node_id: "a".into(),
        token: TOKEN,
        store_contact_age_ms,
        work_delay_ms: 0,
    }
}

/// A judge among five that has heard beats for ten seconds.
fn failure_detector() -> FailureDetector {
    let mut detector = FailureDetector::new(5, 8.0);
    detector.observe(Some(&("a".into(), TOKEN)));
    for n in 0..200 {
        let now = at(f64::from(n) * 0.05);
        detector.tick(now);
        if n % 5 == 0 {
            detector.record_heartbeat(now, &beat(200));
        }
        assert_eq!(detector.next_action(now, 0), Action::None);
    }
    detector
}

/// Ticks on without beats until there is something to do.
fn until_step(
    detector: &mut FailureDetector,
    from: f64,
    to: f64,
    rank: u32,
) -> Option<(f64, Action)> {
    let mut t = from;
    while t < to {
        t += 0.05;
        detector.tick(at(t));
        let step = detector.next_action(at(t), rank);
        if step != Action::None {
            return Some((t, step));
        }
    }
    None
}

#[test]
fn replaces_silent_leader_after_failed_probe_and_quorum() {
    let mut detector = failure_detector();
    let (t, step) = until_step(&mut detector, 9.95, 12.0, 0).unwrap();
    assert_eq!(step, Action::Investigate(Suspicion::Silent));
    assert!(t < 10.65, "{t}");
    detector.record_store_reachable();
    detector.record_peer_report("b".into(), TOKEN, true, 0);
    detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
    // Two of four are no majority.
    let (t, step) = until_step(&mut detector, t, 12.0, 0).unwrap();
    assert_eq!(step, Action::Investigate(Suspicion::Silent));
    detector.record_peer_report("c".into(), TOKEN, true, 0);
    let mut other = detector.clone();
    let (t, step) = until_step(&mut detector, t, 12.0, 0).unwrap();
    assert_eq!(step, Action::ReplaceLeader(TOKEN, Suspicion::Silent));
    assert!(t < 11.2, "{t}");
    // One that comes later in rank leaves it to the first.
    let (later, _) = until_step(&mut other, t, 12.0, 2).unwrap();
    assert!(later > t + 0.1);
}

// Each of these once is enough against a verdict.
#[test]
fn any_refutation_stops_replacement() {
    let ripe = || {
        let mut detector = failure_detector();
        let (t, _) = until_step(&mut detector, 9.95, 12.0, 0).unwrap();
        detector.record_store_reachable();
        for l in ["b", "c", "d"] {
            detector.record_peer_report(l.into(), TOKEN, true, 0);
        }
        detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
        (detector, t)
    };
    let deposes = |mut detector: FailureDetector, t: f64| {
        matches!(
            until_step(&mut detector, t, t + 0.15, 0),
            Some((_, Action::ReplaceLeader(..)))
        )
    };
    let (detector, t) = ripe();
    assert!(deposes(detector, t));
    let (mut detector, t) = ripe();
    detector.record_heartbeat(at(t), &beat(0));
    assert!(!deposes(detector, t), "a beat came after all");
    for probe in [ProbeOutcome::Answered, ProbeOutcome::ConnectionRefused] {
        let (mut detector, t) = ripe();
        detector.record_probe(at(t), TOKEN, probe);
        assert!(!deposes(detector, t), "{probe:?}");
    }
    let (mut detector, t) = ripe();
    for l in ["c", "d"] {
        detector.record_peer_report(l.into(), TOKEN, false, 0);
    }
    assert!(!deposes(detector, t), "others hear it");
    let (mut detector, t) = ripe();
    detector.observe(Some(&("b".into(), FencingToken(9))));
    assert!(!deposes(detector, t), "another leads by now");
}

// A leader that ended for good with its port refused kept its place until its
// lease was over, as a refusal says nothing: what its workers do says the rest.
#[test]
fn refused_probe_counts_once_agents_migrate() {
    let deposed = |came: &[(usize, f64)], told: u32| {
        let mut detector = failure_detector();
        let (t, _) = until_step(&mut detector, 9.95, 12.0, 0).unwrap();
        detector.record_store_reachable();
        for l in ["b", "c"] {
            detector.record_peer_report(l.into(), TOKEN, true, told);
        }
        detector.record_probe(at(t), TOKEN, ProbeOutcome::ConnectionRefused);
        for (i, ago) in came {
            let machine = format!("host-{i}").as_str().into();
            detector.record_agent_migration(at(t - ago), TOKEN, &machine);
            detector.record_agent_migration(at(t - ago), FencingToken(3), &"old".into());
        }
        let step = until_step(&mut detector, t, t + 0.4, 0);
        matches!(step, Some((_, Action::ReplaceLeader(..))))
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
fn stopped_detector_suspects_nobody_until_settled() {
    let mut detector = failure_detector();
    detector.tick(at(70.0));
    assert_eq!(detector.next_action(at(70.0), 0), Action::None);
    assert!(!detector.confirms(at(70.0), TOKEN, Suspicion::Silent, true));
    let (t, _) = until_step(&mut detector, 70.0, 75.0, 0).unwrap();
    assert!(t > 71.0, "{t}");
}

#[test]
fn replaces_leader_that_cannot_reach_the_store() {
    let mut detector = failure_detector();
    let mut t = 10.0;
    let mut deposed = None;
    for n in 0..60 {
        t += 0.05;
        detector.tick(at(t));
        if n % 5 == 0 {
            detector.record_heartbeat(at(t), &beat(50 * n));
        }
        match detector.next_action(at(t), 0) {
            Action::Investigate(doubt) => {
                assert_eq!(doubt, Suspicion::StoreUnreachable);
                detector.record_probe(at(t), TOKEN, ProbeOutcome::Answered);
                for l in ["b", "c"] {
                    detector.record_peer_report(l.into(), TOKEN, true, 0);
                }
                // In an outage nobody is answered, and nothing follows.
                if n > 40 {
                    detector.record_store_reachable();
                }
            }
            Action::ReplaceLeader(..) => {
                deposed = Some(n);
                break;
            }
            Action::None => {}
        }
    }
    assert!(deposed.is_some_and(|n| n > 40), "{deposed:?}");
}

// Two that suspect one another in turn must not pass the key to and fro.
#[test]
fn pause_between_replacements_doubles() {
    let mut detector = failure_detector();
    let mut verdicts = Vec::new();
    let mut t = 10.0;
    while t < 200.0 {
        t += 0.05;
        detector.tick(at(t));
        match detector.next_action(at(t), 0) {
            Action::Investigate(_) => {
                detector.record_store_reachable();
                detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
                for l in ["b", "c"] {
                    detector.record_peer_report(l.into(), TOKEN, true, 0);
                }
            }
            Action::ReplaceLeader(..) => verdicts.push(t),
            Action::None => {}
        }
    }
    let gaps: Vec<f64> = verdicts.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).all(|g| g[1] > 1.7 * g[0]), "{gaps:?}");
    assert!((4..8).contains(&verdicts.len()), "{verdicts:?}");
}

#[test]
fn two_nodes_never_replace_by_suspicion() {
    let mut detector = failure_detector();
    detector.quorum = FailureDetector::new(2, 8.0).quorum;
    let (t, _) = until_step(&mut detector, 9.95, 12.0, 0).unwrap();
    detector.record_store_reachable();
    detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
    let depose = |s| matches!(s, Some((_, Action::ReplaceLeader(..))));
    assert!(!depose(until_step(&mut detector, t, t + 0.15, 0)));
}
