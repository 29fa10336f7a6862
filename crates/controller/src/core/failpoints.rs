//! Safety checks that tests can switch off one by one, to see that the checker of the
//! rules notices. Without the feature `failpoints`, which no daemon is built with, all
//! of them are always enforced.

/// A safety check. Each says what goes wrong without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SafetyCheck {
    /// A start is sent only once it is stored. Otherwise a successor would not know of
    /// the task and start it a second time.
    WriteAhead,
    /// The tasks of a silent machine are given up only once its lease has expired.
    /// Until then the agent may still run them.
    LeaseExpiryBeforeGivingUp,
    /// Without contact to the key-value store, heartbeats are answered only for a
    /// bounded time. Otherwise cancelled tasks would be kept alive.
    BoundedHold,
    /// The cloud is asked only for what is stored as an intent. Otherwise machines
    /// could be provisioned of which no successor knows.
    IntentBeforeAct,
    /// A successor repeats its predecessors' provision requests under their names.
    /// Under new names the same machines would be provisioned twice.
    ProvisionsAreRepeated,
    /// A successor starts nothing on machines that a predecessor decided to terminate:
    /// they may go at any time.
    TerminationsAreFinal,
    /// A preemption is stored before it is sent, so that a successor completes it and
    /// does not preempt other tasks for the same work.
    StopsAreStored,
    /// All reclaims for guaranteed quotas together take no more than a team uses beyond
    /// its own guarantee.
    ReclaimsAreBounded,
    /// A key is garbage-collected only while its job's submission does not exist.
    /// Otherwise records of a live job would be lost.
    OrphansOnly,
    /// A job's outcome is deleted only together with its submission. A submission
    /// without an outcome looks like an open job and would run again.
    OutcomeOutlivesSubmission,
    /// A start is stored only while its job's header is as it was accepted, so that no
    /// task starts after the job was done or cancelled.
    StartsNeedAnOpenJob,
    /// The age of what a new leader knows counts from the first read of its load: what
    /// changed since may not be in the pages read later.
    LoadIsAsOldAsItsFirstRead,
    /// A write whose format depends on the format version in force has that version as
    /// a precondition. Otherwise a late write could use a format no longer in force.
    WritesCompareFormatVersion,
    /// A node stores which format versions it supports before it does anything else, so
    /// that no version is activated that it cannot read.
    RegisterBeforeActing,
    /// Each process of a node stores that anew: an older build may have been started
    /// since the last time.
    EachProcessRegisters,
    /// Activating a format version has what every node stored about itself as a
    /// precondition, so that none changes its build meanwhile.
    ActivationComparesMembers,
    /// A job with a record that cannot be read is neither run nor written: what the
    /// record says would be lost, and its tasks may run.
    UnreadableIsLeftAlone,
    /// What a silent machine was assigned by an earlier leader is kept for as long as
    /// that leader may have answered it, and for a lease after that.
    EarlierLeadersAnswersCount,
    /// A heartbeat proves a task's absence only if it carries our own fencing token.
    /// Otherwise a start of an older leader may still be on its way.
    AbsenceNeedsOurToken,
    /// A heartbeat older than one that was processed proves nothing.
    NewestHeartbeatCounts,
    /// A task's result is stored before its agent may forget it. Otherwise a failover
    /// would lose the result and run the task again.
    DoneBeforeClear,
    /// A record is overwritten only in the version that was last read or written
    /// (compare-and-swap), so that a late write replaces no newer record.
    RecordsCompareVersions,
    /// An answer that is not final rests on a read sent after the question arrived.
    /// Otherwise users could read a state older than one they saw before.
    AnswersAreFresh,
    /// A submission whose job exists already is answered from what is stored of it, not
    /// from what the caller sent.
    ConflictIsRead,
    /// A transaction without an answer counts as neither committed nor refused, until
    /// its writer has found out which.
    LostIsUnknown,
    /// A team's quota usage includes the tasks of ended jobs that may still be on
    /// machines.
    EndedJobsCountForQuota,
    /// A new leader follows changes from the first page of its load on. Otherwise it
    /// would miss changes made while it loads.
    FollowsFromTheFirstPage,
    /// Of a job's completion and its cancellation only one is committed.
    OneOutcomeIsCommitted,
    /// A rule that only makes work wait for a better machine no longer applies to work
    /// that has waited for long. Otherwise it could wait for ever.
    AgedWorkSkipsPreferences,
    /// Tasks that may still be on machines restrict the zones of their job's other
    /// tasks, so that a job bound to one zone is never in two.
    AssignmentsBindZones,
    /// The next format version is activated only once everything stored has the format
    /// of the present one, so that formats older than that are never met.
    RewrittenBeforeActivation,
}

#[cfg(any(test, feature = "failpoints"))]
thread_local! {
    /// The checks that are switched off, one bit for each variant.
    static DISABLED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Switches these checks off on this thread, and all others on.
#[cfg(any(test, feature = "failpoints"))]
pub fn disable_check(checks: &[SafetyCheck]) {
    let bits = checks
        .iter()
        .fold(0, |bits, check| bits | 1 << *check as u64);
    DISABLED.set(bits);
}

/// Whether a check is enforced.
#[cfg(any(test, feature = "failpoints"))]
pub fn enforced(check: SafetyCheck) -> bool {
    DISABLED.get() & (1 << check as u64) == 0
}

/// Whether a check is enforced: always.
#[cfg(not(any(test, feature = "failpoints")))]
pub const fn enforced(_: SafetyCheck) -> bool {
    true
}
