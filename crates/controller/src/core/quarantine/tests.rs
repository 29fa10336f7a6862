use super::*;

#[test]
fn pauses_double_and_outlive_their_holder() {
    let (mut a, mut book) = (Asides::default(), Book::default());
    let m = MachineId::from("host-1");
    let wall = |s: u64| WallTime(s * 1000);
    assert_eq!(a.strike(&mut book, &m, wall(0)), None);
    assert!(book.is_empty() && !a.is_aside(&m, wall(1)));
    assert_eq!(a.strike(&mut book, &m, wall(100)), Some(PAUSE));
    let twice = a.strike(&mut book, &m, wall(300));
    assert_eq!(twice, Some(TimeSpan(PAUSE.0 * 2)));
    let mut next = Asides::default();
    for (key, value) in book.take_puts(9) {
        assert_eq!(next.load(&key, &value), Some((m.clone(), false)));
    }
    assert!(next.is_aside(&m, wall(419)) && !next.is_aside(&m, wall(421)));
    next.tend(&mut book, wall(421), |_| false);
    assert_eq!(book.take_deletes(9), ["d/m/host-1"]);
}
