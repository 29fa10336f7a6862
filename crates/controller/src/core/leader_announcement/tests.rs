use super::*;

fn at(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

fn announce_all(machines: usize, report_s: f64) -> (Vec<MachineId>, f64) {
    let mut announcer = LeaderAnnouncer::new(at(0.0), TimeSpan::secs(report_s));
    for i in 0..machines {
        let priority = [
            AnnouncementPriority::Busy,
            AnnouncementPriority::Urgent,
            AnnouncementPriority::Stopping,
        ][i % 3];
        announcer.add(at(0.0), priority, format!("host-{i:05}").into());
    }
    let (mut announced, mut last_s) = (Vec::new(), 0.0);
    for tick in 0..400 {
        let t = f64::from(tick) * 0.05;
        let due = announcer.take_due(at(t), machines);
        assert!(due.len() <= 30, "a burst of {}", due.len());
        if !due.is_empty() {
            last_s = t;
        }
        announced.extend(due);
    }
    (announced, last_s)
}

// A successor that announces itself to all agents without a limit spends its processor
// time on connections. One that announces itself in the order of machine names delays the
// stop of a gang, of which only some agents have got the announcement.
#[test]
fn announces_by_priority_without_bursts() {
    let (announced, last_s) = announce_all(600, 8.0);
    assert_eq!(announced.len(), 600);
    assert!((3.0..5.0).contains(&last_s), "{last_s}");
    let third = |k: usize| announced[k * 200..(k + 1) * 200].iter();
    for (k, rest) in [(0, 2), (1, 1), (2, 0)] {
        let number = |m: &MachineId| m.as_str()[5..].parse::<usize>().unwrap_or(0);
        assert!(third(k).all(|m| number(m) % 3 == rest), "part {k}");
    }
}

// At ten times the size, with 18,000 machines, the rate stays within its limit; the
// remaining agents find the leader through their heartbeats.
#[test]
fn announcements_respect_rate_and_deadline() {
    let (announced, last_s) = announce_all(18_000, 8.0);
    assert!(
        last_s <= 10.0 && announced.len() <= 2600,
        "{} {last_s}",
        announced.len()
    );
    assert_eq!(
        announce_all(600, 1.0).0.len(),
        0,
        "heartbeats are frequent enough without announcements"
    );
}
