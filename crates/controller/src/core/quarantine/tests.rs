use super::*;

#[test]
fn pauses_double_and_outlive_their_holder() {
    let (mut a, mut pending_writes) = (Quarantine::default(), PendingWrites::default());
    let m = MachineId::from("host-1");
    let wall = |s: u64| WallTime(s * 1000);
    assert_eq!(a.strike(&mut pending_writes, &m, wall(0)), None);
    assert!(pending_writes.is_empty() && !a.is_quarantined(&m, wall(1)));
    assert_eq!(
        a.strike(&mut pending_writes, &m, wall(100)),
        Some(INITIAL_PAUSE)
    );
    let twice = a.strike(&mut pending_writes, &m, wall(300));
    assert_eq!(twice, Some(TimeSpan(INITIAL_PAUSE.0 * 2)));
    let mut next = Quarantine::default();
    for (key, value) in pending_writes.take_puts(9) {
        assert_eq!(next.load(&key, &value), Some((m.clone(), false)));
    }
    assert!(next.is_quarantined(&m, wall(419)) && !next.is_quarantined(&m, wall(421)));
    next.tend(&mut pending_writes, wall(421), |_| false);
    assert_eq!(pending_writes.take_deletes(9), ["d/m/host-1"]);
}
