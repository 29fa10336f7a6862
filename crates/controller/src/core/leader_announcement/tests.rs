use super::*;

fn at(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

fn announce_all(machines: usize, report_s: f64) -> (Vec<MachineId>, f64) {
    let mut h = LeaderAnnouncer::new(at(0.0), TimeSpan::secs(report_s));
    for i in 0..machines {
        let need = [
            AnnouncementPriority::Busy,
            AnnouncementPriority::Urgent,
            AnnouncementPriority::Stopping,
        ][i % 3];
        h.add(at(0.0), need, format!("host-{i:05}").into());
    }
    let (mut all, mut last) = (Vec::new(), 0.0);
    for tick in 0..400 {
        let t = f64::from(tick) * 0.05;
        let now = h.take_due(at(t), machines);
        assert!(now.len() <= 30, "a herd of {}", now.len());
        if !now.is_empty() {
            last = t;
        }
        all.extend(now);
    }
    (all, last)
}

// A successor that told all at once would spend its share of the processor on
// connections; one that told them in the order of their names would leave
// a gang that is being stopped half told.
#[test]
fn announces_by_priority_without_bursts() {
    let (all, last) = announce_all(600, 8.0);
    assert_eq!(all.len(), 600);
    assert!((3.0..5.0).contains(&last), "{last}");
    let third = |k: usize| all[k * 200..(k + 1) * 200].iter();
    for (k, rest) in [(0, 2), (1, 1), (2, 0)] {
        let number = |m: &MachineId| m.as_str()[5..].parse::<usize>().unwrap_or(0);
        assert!(third(k).all(|m| number(m) % 3 == rest), "part {k}");
    }
}

// At ten times the size it stays within its rate; what is left reports by itself.
#[test]
fn announcements_respect_rate_and_deadline() {
    let (all, last) = announce_all(18_000, 8.0);
    assert!(last <= 10.0 && all.len() <= 2600, "{} {last}", all.len());
    assert_eq!(
        announce_all(600, 1.0).0.len(),
        0,
        "they report sooner by themselves"
    );
}
