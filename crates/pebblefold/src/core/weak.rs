//! Safety decisions that tests can switch off one by one, to see that the
//! checker of the rules notices. Without the feature `weaken`, which no daemon
//! is built with, all of them always hold.

/// A safety decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A start is sent only once it is stored.
    WriteAhead,
    /// A silent machine's tasks are written off only once its lease is over.
    LeaseBeforeWriteOff,
    /// Without contact, reports are answered only for a bounded time.
    BoundedHold,
    /// The cloud is asked only for what is stored.
    IntentBeforeAct,
    /// A successor repeats its predecessors' hires under their names.
    HiresAreRepeated,
    /// A successor starts nothing on machines that a predecessor released.
    ReleasesStand,
    /// What is stopped for other work is recorded before it is told.
    StopsAreStored,
    /// All claims of guarantees together take no more than was lent.
    ClaimsAreBounded,
    /// A key is swept only while its job's submission is not there.
    OrphansOnly,
}

#[cfg(feature = "weaken")]
thread_local! {
    static WEAKENED: std::cell::Cell<Option<Decision>> = const { std::cell::Cell::new(None) };
}

/// Switches a decision off on this thread, or all on again.
#[cfg(feature = "weaken")]
pub fn weaken(d: Option<Decision>) {
    WEAKENED.set(d);
}

/// Whether a decision holds.
#[cfg(feature = "weaken")]
pub fn holds(d: Decision) -> bool {
    WEAKENED.get() != Some(d)
}

/// Whether a decision holds.
#[cfg(not(feature = "weaken"))]
pub const fn holds(_: Decision) -> bool {
    true
}
