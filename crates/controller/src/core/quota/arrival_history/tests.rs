use super::*;

fn sample_history() -> ArrivalHistory {
    let mut history = ArrivalHistory::new(TimeSpan::secs(600.0));
    for i in 0..200u64 {
        let class = ["urgent", "low"][i as usize % 2].into();
        history.record(
            WallTime(1_000_000 + i * 3_000),
            &class,
            &"red".into(),
            2.0,
            30.0,
        );
    }
    history
}

fn total_machine_seconds(jobs: &[MissingArrival]) -> f64 {
    jobs.iter().map(|m| m.machines * m.run_s).sum()
}

// Guards against a next leader that counts open jobs only: a class whose jobs were done
// promptly appeared to have no arrivals.
#[test]
fn successor_restores_ended_arrivals_without_double_counting() {
    let now = WallTime(1_600_000);
    let stored = sample_history().to_stored(now, 8192);
    let mut successor = ArrivalHistory::new(TimeSpan::secs(600.0));
    let missing_before = successor.arrivals_missing_here(&stored).unwrap();
    assert!(
        (total_machine_seconds(&missing_before) - 200.0 * 60.0).abs() < 1.0,
        "{}",
        total_machine_seconds(&missing_before)
    );
    // Ten jobs are still open, and the next leader has read them.
    for i in 190..200u64 {
        let class = ["urgent", "low"][i as usize % 2].into();
        let at = WallTime(1_000_000 + i * 3_000);
        successor.record(at, &class, &"red".into(), 2.0, 30.0);
    }
    let missing_after = successor.arrivals_missing_here(&stored).unwrap();
    assert!(
        (total_machine_seconds(&missing_after) - 190.0 * 60.0).abs() < 1.0,
        "{}",
        total_machine_seconds(&missing_after)
    );
    assert!(
        missing_after.iter().all(|m| m.machines < 2.1),
        "a reconstructed job is larger than any arrived job"
    );
    assert_eq!(
        sample_history().arrivals_missing_here(&stored),
        Some(Vec::new())
    );
}

#[test]
fn stored_history_fits_limit_and_rejects_damage() {
    let mut history = sample_history();
    for i in 0..40 {
        let team = format!("team-with-a-long-name-{i}").as_str().into();
        for k in 0..20u64 {
            history.record(
                WallTime(1_000_000 + k * 30_000),
                &"low".into(),
                &team,
                1.0,
                9.0,
            );
        }
    }
    let stored = history.to_stored(WallTime(1_600_000), 8192);
    assert!(stored.to_string().len() <= 8192);
    assert!(
        !history
            .arrivals_missing_here(&stored)
            .unwrap()
            .iter()
            .any(|m| m.machines > 0.1)
    );
    assert_eq!(
        history.arrivals_missing_here(&serde_json::json!({"t": 1})),
        None
    );
}
