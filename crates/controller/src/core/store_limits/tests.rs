use super::*;
use crate::testing::settings;
use proptest::prelude::*;

const BEFORE: Time = Time(1_000_000);

/// Limits of 48 operations, 8 KiB and 80 operations per second, of which `announced` are
/// announced as the next ones.
fn limits(announced: Option<(usize, usize, f64)>) -> StoreLimits {
    let mut settings = settings(0);
    settings.next_state_limits = announced.map(|(txn_ops, value_bytes, write_rps)| StateLimits {
        txn_ops,
        value_bytes,
        write_rps,
        ..settings.state_limits
    });
    StoreLimits::new(&settings)
}

fn size(operations: usize, largest_value_bytes: usize) -> TransactionSize {
    TransactionSize {
        operations,
        preconditions: operations + 1,
        largest_value_bytes,
    }
}

fn in_force(limits: &StoreLimits) -> (usize, usize, f64) {
    let current = limits.current();
    (current.txn_ops, current.value_bytes, current.write_rps)
}

#[test]
fn one_refusal_puts_announced_limits_in_force() {
    for refused in [size(17, 100), size(1, 2049)] {
        let mut limits = limits(Some((16, 2048, 56.0)));
        assert_eq!(in_force(&limits), (48, 8192, 80.0), "not before they are");
        let cause = limits.record_refusal(BEFORE, refused, Division::Parts(refused.operations));
        assert_eq!(cause, RefusalCause::TooLarge);
        assert_eq!(in_force(&limits), (16, 2048, 56.0));
    }
}

#[test]
fn refusal_of_request_sent_earlier_lowers_nothing_further() {
    let mut limits = limits(None);
    limits.record_refusal(BEFORE, size(40, 100), Division::Parts(40));
    let lowered = in_force(&limits);
    assert_eq!(lowered.0, 20);
    let cause = limits.record_refusal(BEFORE, size(40, 100), Division::Parts(40));
    assert_eq!(
        (cause, in_force(&limits)),
        (RefusalCause::TooLarge, lowered)
    );
}

#[test]
fn refused_preconditions_count_as_operations() {
    let mut limits = limits(None);
    let comparison = TransactionSize {
        preconditions: 192,
        ..TransactionSize::default()
    };
    limits.record_refusal(BEFORE, comparison, Division::Parts(192));
    assert_eq!(limits.preconditions(), 96);
}

#[test]
fn refusal_for_another_reason_leaves_limits_as_they_were() {
    let mut limits = limits(None);
    let mut operations = 48;
    while limits.record_refusal(BEFORE, size(operations, 300), Division::Parts(operations))
        == RefusalCause::TooLarge
    {
        operations = limits.commit_operations();
    }
    assert_eq!(operations, MIN_OPERATIONS);
    let alone = limits.record_refusal(BEFORE, size(1, 300), Division::Parts(1));
    assert_eq!(alone, RefusalCause::NotItsSize);
    assert_eq!(in_force(&limits), (48, 8192, 80.0));
}

#[test]
fn higher_limits_are_tried_again_ever_more_rarely() {
    let mut limits = limits(Some((16, 2048, 56.0)));
    let mut now = BEFORE;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        limits.record_refusal(now, size(17, 100), Division::Parts(17));
        let lowered_at = now;
        while limits.commit_operations() == 16 {
            now = now + TimeSpan::secs(1.0);
            limits.raise_if_due(now);
        }
        pauses.push(now.since(lowered_at).as_secs());
    }
    assert_eq!(pauses, [30.0, 60.0, 120.0, 240.0, 480.0, 480.0]);
    // The store has raised its limits again: nothing is refused any more.
    for _ in 0..3 {
        now = now + LONGEST_RAISE_PAUSE;
        limits.raise_if_due(now);
    }
    assert_eq!(in_force(&limits), (48, 8192, 80.0));
}

// Refusals that a flood of users' requests brought about took a quarter of the write rate
// from the leader and from submissions.
#[test]
fn only_repeated_rate_refusals_put_an_announced_rate_in_force() {
    for (announced, lower) in [(Some((16, 2048, 56.0)), 56.0), (None, 80.0)] {
        let mut limits = limits(announced);
        for _ in 0..5 {
            limits.record_rate_refusal(BEFORE, 4);
            limits.record_rate_refusal(BEFORE, 4);
            limits.record_committed();
        }
        assert_eq!(limits.write_rps(), 80.0);
        for _ in 0..9 {
            limits.record_rate_refusal(BEFORE, 4);
        }
        assert_eq!(in_force(&limits), (48, 8192, lower));
        limits.raise_if_due(BEFORE + SHORTEST_RAISE_PAUSE);
        assert_eq!(limits.write_rps(), 80.0);
    }
}

// A transaction with more operations than the rate limiter ever has room for is refused
// with 429 however long the leader waits.
#[test]
fn commits_become_small_enough_for_the_rate_limiter() {
    let mut limits = limits(None);
    let burst = 10;
    let mut refusals = 0;
    while limits.commit_operations() > burst {
        limits.record_rate_refusal(BEFORE, limits.commit_operations());
        refusals += 1;
    }
    assert_eq!(refusals, 3);
    assert_eq!(limits.current().txn_ops, 48);
    for _ in 0..4 {
        limits.record_committed();
    }
    assert_eq!(limits.commit_operations(), 48);
}

/// A store with these limits that is sent writes of these value sizes, as few at a time as
/// the limits under test demand. A value that is too large is made smaller. Returns the
/// number of refusals until all are stored.
fn refusals_until_stored(limits: &mut StoreLimits, store: (usize, usize), values: &[usize]) -> u32 {
    let mut waiting: Vec<usize> = values.to_vec();
    let (mut refusals, mut single) = (0, false);
    while !waiting.is_empty() {
        assert!(refusals < 1000, "{waiting:?} are never stored");
        for value in &mut waiting {
            *value = (*value).min(limits.current().value_bytes);
        }
        let most = if single {
            1
        } else {
            limits.commit_operations()
        };
        let sent: Vec<usize> = waiting.iter().take(most).copied().collect();
        let largest = sent.iter().copied().max().unwrap_or(0);
        if sent.len() <= store.0 && largest <= store.1 {
            waiting.drain(..sent.len());
            single = false;
            continue;
        }
        refusals += 1;
        let division = Division::Parts(sent.len());
        let cause = limits.record_refusal(BEFORE, size(sent.len(), largest), division);
        assert_ne!(cause, RefusalCause::NotItsSize);
        single = cause == RefusalCause::OneOfItsParts;
    }
    refusals
}

proptest! {
    #[test]
    fn all_writes_are_stored_whatever_the_store_accepts(
        operations in MIN_OPERATIONS..64,
        value_bytes in MIN_VALUE_BYTES..10_000,
        values in prop::collection::vec(1usize..8192, 1..150),
        is_announced: bool,
    ) {
        let announced = is_announced.then_some((operations.max(8), value_bytes, 56.0));
        let mut limits = limits(announced);
        let refusals = refusals_until_stored(&mut limits, (operations, value_bytes), &values);
        // At most two searches through all operations for each decrease of the value limit.
        prop_assert!(refusals <= 120, "{refusals} refusals");
    }
}
