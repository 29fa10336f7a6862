use super::*;
use std::collections::BTreeSet;

fn hints_with_machines(n: usize) -> CacheHints {
    let mut hints = CacheHints::default();
    let machine = |i: usize| {
        let id = format!("host-{i:04}").as_str().into();
        (id, vec![(Image::from("img"), 5.0)])
    };
    hints.record(
        Time(1),
        FencingToken(5),
        (0..n).map(machine).collect(),
        vec![("img".into(), 7000)],
    );
    hints
}

// A leader whose process restarted within its lease claimed its own key again without any
// cache hints: every image counted as not cached on any machine, for as long as it led.
#[test]
fn each_hint_is_returned_once() {
    let mut peers = [
        hints_with_machines(950),
        hints_with_machines(950),
        hints_with_machines(950),
    ];
    let mut received = BTreeSet::new();
    let mut rounds = 0;
    while received.len() < 950 {
        for (i, p) in peers.iter_mut().enumerate() {
            let part = p.next_transfer_part(FencingToken(9), i as f64 / 3.0);
            assert!(part.len() <= MAX_MACHINES_PER_PART);
            received.extend(part.into_iter().map(|(id, _)| id));
        }
        rounds += 1;
    }
    assert!(
        rounds <= 4,
        "{rounds}: each peer starts at another position"
    );
    let mut single_peer = hints_with_machines(250);
    let parts: Vec<usize> = (0..5)
        .map(|_| single_peer.next_transfer_part(FencingToken(9), 0.5).len())
        .collect();
    assert_eq!(parts, [100, 100, 50, 0, 0]);
    // A leader gets no hints back that carry its own token.
    assert!(
        hints_with_machines(50)
            .next_transfer_part(FencingToken(5), 0.0)
            .is_empty()
    );
    assert_eq!(
        single_peer.next_transfer_part(FencingToken(12), 0.0).len(),
        100,
        "a later leader gets all hints again"
    );
}

#[test]
fn takes_hints_of_known_machines_only() {
    let mut hints = hints_with_machines(10);
    let known = hints.take_known(|id| id.as_str() < "host-0004");
    assert_eq!((known.len(), hints.take_known(|_| true).len()), (4, 6));
    assert_eq!(
        hints.fetch_times().next().map(|(_, s)| s),
        Some(TimeSpan::secs(7.0))
    );
    assert_eq!(hints_with_machines(3).take_all().machines.len(), 3);
}
