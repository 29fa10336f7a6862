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
        let loaded = successor.load(&key, &value, wall(300));
        let expected = LoadedRecord {
            machine: machine.clone(),
            circuit: None,
        };
        assert_eq!(loaded, Some(expected));
    }
    assert!(
        successor.is_quarantined(&machine, wall(419))
            && !successor.is_quarantined(&machine, wall(421))
    );
    successor.forget_old(&mut pending_writes, wall(421), |_| false);
    assert_eq!(pending_writes.take_deletes(9), ["d/m/host-1"]);
}

// A successor must neither forget an open circuit nor keep it once it is closed.
#[test]
fn open_circuit_survives_failover_and_ends_with_its_record() {
    let (mut quarantine, mut pending_writes) = (Quarantine::default(), PendingWrites::default());
    let machine = MachineId::from("host-1");
    let state = CircuitState {
        openings: 2,
        since_last_failure: TimeSpan::millis(1000),
        failed_jobs: vec!["wk-1".into(), "wk-2".into()],
    };
    quarantine.store_circuit(&mut pending_writes, &machine, Some(&state), WallTime(5000));
    let (key, value) = pending_writes.take_puts(1).remove(0);
    let mut successor = Quarantine::default();
    let loaded = successor.load(&key, &value, WallTime(9000)).unwrap();
    let later = CircuitState {
        since_last_failure: TimeSpan::millis(5000),
        ..state
    };
    assert_eq!(loaded.circuit, Some(later));
    successor.forget_old(&mut pending_writes, WallTime(9_000_000), |_| true);
    assert!(pending_writes.is_empty() && successor.is_quarantined(&machine, WallTime(9_000_000)));
    successor.store_circuit(&mut pending_writes, &machine, None, WallTime(9_000_000));
    assert_eq!(pending_writes.take_deletes(9), ["d/m/host-1"]);
    assert!(!successor.is_quarantined(&machine, WallTime(9_000_000)));
}
