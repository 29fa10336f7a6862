use super::*;

fn class(name: &str) -> ShareGroup {
    ShareGroup::Class(name.into())
}

fn service(arrived: f64, overdue: f64, priority: Priority) -> ServiceLevel {
    ServiceLevel {
        arrived_machine_seconds: arrived,
        overdue_machine_seconds: overdue,
        used_machines: 0.0,
        priority: Some(priority),
    }
}

// Guards against starvation of low-priority work: urgent work that arrived at twelve
// times its normal rate occupied every machine, and one low-priority job in twenty was
// done.
#[test]
fn starved_group_gets_minimum_share() {
    let mut services = BTreeMap::new();
    services.insert(class("urgent"), service(9e5, 5e5, Priority::High));
    services.insert(class("low"), service(3e4, 2e4, Priority::Low));
    let shares = MinimumShares::new(&services, 400.0, 0.6, 300.0);
    assert_eq!(shares.machines_for(&class("urgent")), None);
    assert!((shares.machines_for(&class("low")).unwrap() - 100.0).abs() < 1e-6);
    assert!(!shares.allows_loss(&class("low"), 1.0) && shares.allows_loss(&class("urgent"), 1.0));
    // A group that is served well enough has no minimum share.
    services.insert(class("low"), service(3e4, 5e3, Priority::Low));
    assert!(MinimumShares::new(&services, 400.0, 0.6, 300.0).is_empty());
}

#[test]
fn minimum_shares_leave_half_of_fleet() {
    let mut services = BTreeMap::new();
    services.insert(class("a"), service(9e5, 9e5, Priority::Low));
    services.insert(class("b"), service(6e3, 6e3, Priority::Low));
    services.insert(class("c"), service(9e5, 5e5, Priority::Low));
    let shares = MinimumShares::new(&services, 400.0, 0.6, 300.0);
    let of = |group: &str| shares.machines_for(&class(group)).unwrap();
    assert!((of("b") - 24.0).abs() < 1e-6, "{}", of("b"));
    assert!((of("a") + of("b") + of("c") - 200.0).abs() < 1e-6);
    assert!((of("a") - of("c")).abs() < 1e-6);
}
