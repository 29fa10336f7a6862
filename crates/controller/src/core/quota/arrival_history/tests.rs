use super::*;

fn full() -> ArrivalHistory {
    let mut m = ArrivalHistory::new(TimeSpan::secs(600.0));
    for i in 0..200u64 {
        let class = ["urgent", "low"][i as usize % 2].into();
        m.note(
            WallTime(1_000_000 + i * 3_000),
            &class,
            &"red".into(),
            2.0,
            30.0,
        );
    }
    m
}

fn sum(all: &[MissingArrival]) -> f64 {
    all.iter().map(|m| m.machines * m.run_s).sum()
}

// A successor knew of the open jobs only: a class whose work was being done
// looked as if nothing had come for it.
#[test]
fn a_successor_knows_what_came_and_is_over_and_counts_nothing_twice() {
    let now = WallTime(1_600_000);
    let stored = full().store(now, 8192);
    let mut successor = ArrivalHistory::new(TimeSpan::secs(600.0));
    let all = successor.missing(&stored).unwrap();
    assert!((sum(&all) - 200.0 * 60.0).abs() < 1.0, "{}", sum(&all));
    // Ten jobs are open and were read.
    for i in 190..200u64 {
        let class = ["urgent", "low"][i as usize % 2].into();
        let at = WallTime(1_000_000 + i * 3_000);
        successor.note(at, &class, &"red".into(), 2.0, 30.0);
    }
    let rest = successor.missing(&stored).unwrap();
    assert!((sum(&rest) - 190.0 * 60.0).abs() < 1.0, "{}", sum(&rest));
    assert!(
        rest.iter().all(|m| m.machines < 2.1),
        "a job larger than any was"
    );
    assert_eq!(full().missing(&stored), Some(Vec::new()));
}

#[test]
fn it_fits_and_a_damaged_one_is_none() {
    let mut m = full();
    for i in 0..40 {
        let team = format!("team-with-a-long-name-{i}").as_str().into();
        for k in 0..20u64 {
            m.note(
                WallTime(1_000_000 + k * 30_000),
                &"low".into(),
                &team,
                1.0,
                9.0,
            );
        }
    }
    let stored = m.store(WallTime(1_600_000), 8192);
    assert!(stored.to_string().len() <= 8192);
    assert!(!m.missing(&stored).unwrap().iter().any(|m| m.machines > 0.1));
    assert_eq!(m.missing(&serde_json::json!({"t": 1})), None);
}
