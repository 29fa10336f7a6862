use super::*;

fn class(name: &str) -> ShareGroup {
    ShareGroup::Class(name.into())
}

fn service(arrived: f64, overdue: f64, priority: Priority) -> Service {
    Service {
        arrived,
        overdue,
        used: 0.0,
        priority: Some(priority),
    }
}

// Urgent work at twelve times its rate once took every machine: of low work
// one job in twenty was done.
#[test]
fn starved_group_gets_minimum_share() {
    let mut all = BTreeMap::new();
    all.insert(class("urgent"), service(9e5, 5e5, Priority::High));
    all.insert(class("low"), service(3e4, 2e4, Priority::Low));
    let shares = MinimumShares::new(&all, 400.0, 0.6, 300.0);
    assert_eq!(shares.of(&class("urgent")), None);
    assert!((shares.of(&class("low")).unwrap() - 100.0).abs() < 1e-6);
    assert!(!shares.allows_loss(&class("low"), 1.0) && shares.allows_loss(&class("urgent"), 1.0));
    // Served well enough, it has none.
    all.insert(class("low"), service(3e4, 5e3, Priority::Low));
    assert!(MinimumShares::new(&all, 400.0, 0.6, 300.0).is_empty());
}

#[test]
fn minimum_shares_leave_half_of_fleet() {
    let mut all = BTreeMap::new();
    all.insert(class("a"), service(9e5, 9e5, Priority::Low));
    all.insert(class("b"), service(6e3, 6e3, Priority::Low));
    all.insert(class("c"), service(9e5, 5e5, Priority::Low));
    let shares = MinimumShares::new(&all, 400.0, 0.6, 300.0);
    let of = |g: &str| shares.of(&class(g)).unwrap();
    assert!((of("b") - 24.0).abs() < 1e-6, "{}", of("b"));
    assert!((of("a") + of("b") + of("c") - 200.0).abs() < 1e-6);
    assert!((of("a") - of("c")).abs() < 1e-6);
}
