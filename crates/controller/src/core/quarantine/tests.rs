use super::*;

#[test]
fn pauses_double_and_survive_failover() {
    let (mut quarantine, mut pending_writes) = (Quarantine::default(), PendingWrites::default());
    let machine = MachineId::from("host-1");
    let wall = |s: u64| WallTime(s * 1000);
    assert_eq!(
        quarantine.record_missed_lease(&mut pending_writes, &machine, wall(0)),
        None
    );
    assert!(pending_writes.is_empty() && !quarantine.is_quarantined(&machine, wall(1)));
    assert_eq!(
        quarantine.record_missed_lease(&mut pending_writes, &machine, wall(100)),
        Some(INITIAL_PAUSE)
    );
    let twice = quarantine.record_missed_lease(&mut pending_writes, &machine, wall(300));
    assert_eq!(twice, Some(TimeSpan(INITIAL_PAUSE.0 * 2)));
    let mut successor = Quarantine::default();
    for (key, value) in pending_writes.take_puts(9) {
        assert_eq!(successor.load(&key, &value), Some((machine.clone(), false)));
    }
    assert!(
        successor.is_quarantined(&machine, wall(419))
            && !successor.is_quarantined(&machine, wall(421))
    );
    successor.forget_old(&mut pending_writes, wall(421), |_| false);
    assert_eq!(pending_writes.take_deletes(9), ["d/m/host-1"]);
}
