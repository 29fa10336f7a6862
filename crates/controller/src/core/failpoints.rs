//! Safety decisions that tests can switch off one by one, to see that the
//! checker of the rules notices. Without the feature `failpoints`, which no daemon
//! is built with, all of them always hold.

/// A safety decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SafetyCheck {
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
    /// A job's end is deleted only with its submission.
    EndOutlivesSubmission,
    /// A start is stored only while its job's head is as it was accepted.
    StartsNeedAnOpenJob,
    /// Contact counts from the first read of a load.
    LoadIsAsOldAsItsFirstRead,
    /// A write whose form the level decides compares it.
    WritesCompareTheLevel,
    /// A node writes down which levels it serves before it does anything.
    RegisterBeforeActing,
    /// Each life of a node writes that down anew.
    EachLifeRegisters,
    /// A rise compares what every node wrote of itself.
    RiseComparesMembers,
    /// A job with a record that cannot be read is neither run nor written.
    UnreadableIsLeftAlone,
    /// What a silent machine had from an earlier leader stands for as long as that one
    /// may have answered it, and for a lease.
    OldLeadersAnswersCount,
    /// A report proves absence only under our own token.
    AbsenceNeedsOurToken,
    /// A report older than one that was heard proves nothing.
    NewestReportCounts,
    /// A result is stored before its worker may forget it.
    DoneBeforeClear,
    /// A record is written only over the version that was read or written last.
    RecordsCompareVersions,
    /// An answer that is not final rests on a read sent after the question came.
    AnswersAreFresh,
    /// What a submission that finds its job there already is answered is read.
    ConflictIsRead,
    /// A transaction without an answer is neither carried out nor refused, for its writer.
    LostIsUnknown,
    /// What a team enforced counts also the places of jobs that are over.
    EndedJobsHoldPlaces,
    /// A new leader follows changes from the first page of its load on.
    FollowsFromTheFirstPage,
    /// Of the end of a job that is done and its cancellation one comes through.
    OneEndDecides,
    /// What only makes work wait for a better machine counts no more once it has waited
    /// for long.
    HoldsEndWithAge,
    /// Zones of tasks that may still be somewhere bind a job's others.
    OldPlacesBindZones,
    /// The next level waits until all that is stored has the form of this one.
    RewrittenBeforeNext,
}

#[cfg(any(test, feature = "failpoints"))]
thread_local! {
    static WEAKENED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Switches decisions off on this thread, and all others on.
#[cfg(any(test, feature = "failpoints"))]
pub fn disable_check(off: &[SafetyCheck]) {
    WEAKENED.set(off.iter().fold(0, |all, d| all | 1 << *d as u64));
}

/// Whether a decision enforced.
#[cfg(any(test, feature = "failpoints"))]
pub fn enforced(d: SafetyCheck) -> bool {
    WEAKENED.get() & (1 << d as u64) == 0
}

/// Whether a decision enforced.
#[cfg(not(any(test, feature = "failpoints")))]
pub const fn enforced(_: SafetyCheck) -> bool {
    true
}
