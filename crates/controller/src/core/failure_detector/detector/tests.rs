use super::*;

const TOKEN: FencingToken = FencingToken(7);

fn at(secs: f64) -> Time {
    Time(0) + TimeSpan::secs(secs)
}

fn heartbeat(store_contact_age_ms: u64) -> LeaderHeartbeat {
    LeaderHeartbeat {
        node_id: "a".into(),
        token: TOKEN,
        store_contact_age_ms,
        event_loop_delay_ms: 0,
    }
}

/// A detector among five controllers that has received heartbeats for ten seconds.
fn detector_with_regular_heartbeats() -> FailureDetector {
    let mut detector = FailureDetector::new(5, 8.0);
    detector.observe(Some(&("a".into(), TOKEN)));
    for n in 0..200 {
        let now = at(f64::from(n) * 0.05);
        detector.tick(now);
        if n % 5 == 0 {
            detector.record_heartbeat(now, &heartbeat(200));
        }
        assert_eq!(detector.next_action(now, 0), Action::None);
    }
    detector
}

/// Ticks without heartbeats until the detector requests an action: when, and which.
fn tick_until_action(
    detector: &mut FailureDetector,
    from: f64,
    to: f64,
    rank: u32,
) -> Option<(f64, Action)> {
    let mut t = from;
    while t < to {
        t += 0.05;
        detector.tick(at(t));
        let action = detector.next_action(at(t), rank);
        if action != Action::None {
            return Some((t, action));
        }
    }
    None
}

#[test]
fn replaces_silent_leader_after_failed_probe_and_quorum() {
    let mut detector = detector_with_regular_heartbeats();
    let (t, action) = tick_until_action(&mut detector, 9.95, 12.0, 0).unwrap();
    assert_eq!(action, Action::Investigate(Suspicion::Silent));
    assert!(t < 10.65, "{t}");
    detector.record_store_reachable();
    detector.record_peer_answer("b".into(), TOKEN, true, 0);
    detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
    // This controller and one of its four peers are no quorum.
    let (t, action) = tick_until_action(&mut detector, t, 12.0, 0).unwrap();
    assert_eq!(action, Action::Investigate(Suspicion::Silent));
    detector.record_peer_answer("c".into(), TOKEN, true, 0);
    let mut lower_ranked = detector.clone();
    let (t, action) = tick_until_action(&mut detector, t, 12.0, 0).unwrap();
    assert_eq!(action, Action::ReplaceLeader(TOKEN, Suspicion::Silent));
    assert!(t < 11.2, "{t}");
    // A controller with a higher rank number claims later.
    let (later, _) = tick_until_action(&mut lower_ranked, t, 12.0, 2).unwrap();
    assert!(later > t + 0.1);
}

// Each of these observations alone prevents a replacement.
#[test]
fn any_refutation_stops_replacement() {
    let detector_with_sufficient_evidence = || {
        let mut detector = detector_with_regular_heartbeats();
        let (t, _) = tick_until_action(&mut detector, 9.95, 12.0, 0).unwrap();
        detector.record_store_reachable();
        for peer in ["b", "c", "d"] {
            detector.record_peer_answer(peer.into(), TOKEN, true, 0);
        }
        detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
        (detector, t)
    };
    let replaces_leader = |mut detector: FailureDetector, t: f64| {
        matches!(
            tick_until_action(&mut detector, t, t + 0.15, 0),
            Some((_, Action::ReplaceLeader(..)))
        )
    };
    let (detector, t) = detector_with_sufficient_evidence();
    assert!(replaces_leader(detector, t));
    let (mut detector, t) = detector_with_sufficient_evidence();
    detector.record_heartbeat(at(t), &heartbeat(0));
    assert!(
        !replaces_leader(detector, t),
        "a heartbeat arrived after all"
    );
    for probe in [ProbeOutcome::Answered, ProbeOutcome::ConnectionRefused] {
        let (mut detector, t) = detector_with_sufficient_evidence();
        detector.record_probe(at(t), TOKEN, probe);
        assert!(!replaces_leader(detector, t), "{probe:?}");
    }
    let (mut detector, t) = detector_with_sufficient_evidence();
    for peer in ["c", "d"] {
        detector.record_peer_answer(peer.into(), TOKEN, false, 0);
    }
    assert!(
        !replaces_leader(detector, t),
        "peers receive its heartbeats"
    );
    let (mut detector, t) = detector_with_sufficient_evidence();
    detector.observe(Some(&("b".into(), FencingToken(9))));
    assert!(
        !replaces_leader(detector, t),
        "another controller leads by now"
    );
}

// A leader that had stopped for good, with its port refusing connections, kept
// leadership until its lease expired, since a refusal alone proves nothing. The
// migration of its agents is the missing evidence.
#[test]
fn refused_probe_counts_once_agents_migrate() {
    let replaced = |local_migrations: &[(usize, f64)], migrations_per_peer: u32| {
        let mut detector = detector_with_regular_heartbeats();
        let (t, _) = tick_until_action(&mut detector, 9.95, 12.0, 0).unwrap();
        detector.record_store_reachable();
        for peer in ["b", "c"] {
            detector.record_peer_answer(peer.into(), TOKEN, true, migrations_per_peer);
        }
        detector.record_probe(at(t), TOKEN, ProbeOutcome::ConnectionRefused);
        for (i, ago) in local_migrations {
            let machine = format!("host-{i}").as_str().into();
            detector.record_agent_migration(at(t - ago), TOKEN, &machine);
            detector.record_agent_migration(at(t - ago), FencingToken(3), &"old".into());
        }
        let action = tick_until_action(&mut detector, t, t + 0.4, 0);
        matches!(action, Some((_, Action::ReplaceLeader(..))))
    };
    assert!(!replaced(&[], 0));
    assert!(
        !replaced(&[(1, 0.1), (2, 0.1), (2, 0.0)], 0),
        "only two agents migrated"
    );
    assert!(replaced(&[(1, 0.1), (2, 0.1), (3, 0.0)], 0));
    assert!(
        !replaced(&[(1, 2.0), (2, 2.0), (3, 0.0)], 0),
        "two migrated too long ago"
    );
    assert!(
        replaced(&[(1, 0.1)], 1),
        "one agent here and one at each of two peers"
    );
}

// A detector whose process was stopped, or is behind, misses heartbeats that are still
// unread.
#[test]
fn stopped_detector_suspects_nobody_until_settled() {
    let mut detector = detector_with_regular_heartbeats();
    detector.tick(at(70.0));
    assert_eq!(detector.next_action(at(70.0), 0), Action::None);
    assert!(!detector.confirms_suspicion(at(70.0), TOKEN, Suspicion::Silent, true));
    let (t, _) = tick_until_action(&mut detector, 70.0, 75.0, 0).unwrap();
    assert!(t > 71.0, "{t}");
}

#[test]
fn replaces_leader_that_cannot_reach_the_store() {
    let mut detector = detector_with_regular_heartbeats();
    let mut t = 10.0;
    let mut replaced = None;
    for n in 0..60 {
        t += 0.05;
        detector.tick(at(t));
        if n % 5 == 0 {
            detector.record_heartbeat(at(t), &heartbeat(50 * n));
        }
        match detector.next_action(at(t), 0) {
            Action::Investigate(suspicion) => {
                assert_eq!(suspicion, Suspicion::StoreUnreachable);
                detector.record_probe(at(t), TOKEN, ProbeOutcome::Answered);
                for peer in ["b", "c"] {
                    detector.record_peer_answer(peer.into(), TOKEN, true, 0);
                }
                // In an outage the store answers no controller, and no leader is
                // replaced.
                if n > 40 {
                    detector.record_store_reachable();
                }
            }
            Action::ReplaceLeader(..) => {
                replaced = Some(n);
                break;
            }
            Action::None => {}
        }
    }
    assert!(replaced.is_some_and(|n| n > 40), "{replaced:?}");
}

// Two controllers that suspect each other in turn must not keep replacing each other.
#[test]
fn pause_between_replacements_doubles() {
    let mut detector = detector_with_regular_heartbeats();
    let mut replacement_times = Vec::new();
    let mut t = 10.0;
    while t < 200.0 {
        t += 0.05;
        detector.tick(at(t));
        match detector.next_action(at(t), 0) {
            Action::Investigate(_) => {
                detector.record_store_reachable();
                detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
                for peer in ["b", "c"] {
                    detector.record_peer_answer(peer.into(), TOKEN, true, 0);
                }
            }
            Action::ReplaceLeader(..) => replacement_times.push(t),
            Action::None => {}
        }
    }
    let gaps: Vec<f64> = replacement_times.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).all(|g| g[1] > 1.7 * g[0]), "{gaps:?}");
    assert!(
        (4..8).contains(&replacement_times.len()),
        "{replacement_times:?}"
    );
}

#[test]
fn two_controllers_never_replace_by_suspicion() {
    let mut detector = detector_with_regular_heartbeats();
    detector.quorum = FailureDetector::new(2, 8.0).quorum;
    let (t, _) = tick_until_action(&mut detector, 9.95, 12.0, 0).unwrap();
    detector.record_store_reachable();
    detector.record_probe(at(t), TOKEN, ProbeOutcome::TimedOut);
    let is_replacement = |s| matches!(s, Some((_, Action::ReplaceLeader(..))));
    assert!(!is_replacement(tick_until_action(
        &mut detector,
        t,
        t + 0.15,
        0
    )));
}
