//! Safety checks that tests can disable one by one, to verify that the checker of the
//! rules detects the violation. Without the feature `failpoints`, with which no daemon is
//! built, all checks are always enforced.

/// A safety check. Each variant states the fault that the check prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SafetyCheck {
    /// A start is sent only once it is stored. Otherwise a successor would find no record
    /// of the task and start it a second time.
    WriteAhead,
    /// The tasks of a silent machine are abandoned only once the machine's lease has
    /// expired. Until then the agent may still run them.
    AbandonOnlyAfterLeaseExpiry,
    /// Without contact to the key-value store, heartbeats are answered only for a
    /// bounded time. Otherwise cancelled tasks would be kept alive.
    BoundedHold,
    /// A request to the cloud is sent only once it is stored as an intent. Otherwise
    /// machines could be provisioned of which no successor has a record.
    IntentBeforeAct,
    /// A successor repeats the provision requests of earlier leaders under their original
    /// names. Under new names the same machines would be provisioned twice.
    ProvisionsAreRepeated,
    /// A successor starts no task on a machine that an earlier leader decided to
    /// terminate: the cloud may remove that machine at any time.
    TerminationsAreFinal,
    /// A preemption is stored before it is sent, so that a successor completes it and
    /// does not preempt other tasks for the same work.
    StopsAreStored,
    /// All reclaims for guaranteed quotas together take no more from a team than the team
    /// uses beyond its guaranteed quota.
    ReclaimsAreBounded,
    /// A key is garbage-collected only while the submission of its job does not exist.
    /// Otherwise records of an open job would be lost.
    OrphansOnly,
    /// The outcome of a job is deleted only together with the job's submission. A
    /// submission without an outcome reads as an open job and would run again.
    OutcomeOutlivesSubmission,
    /// A start is stored only while the job's header is unchanged since the job was
    /// accepted, so that no task starts after the job was done or cancelled.
    StartsNeedAnOpenJob,
    /// The age of a new leader's knowledge counts from the first read of its load: later
    /// changes may be missing from the pages read afterwards.
    LoadAgeCountsFromFirstRead,
    /// A write whose format depends on the active format version has that version as
    /// a precondition. Otherwise a late write could use a format no longer active.
    WritesCompareFormatVersion,
    /// A controller stores which format versions it supports before it does anything
    /// else, so that no version is activated that the controller cannot read.
    RegisterBeforeActing,
    /// Each process of a controller stores the supported format versions again: the
    /// process may run an older build than the previous one.
    EachProcessRegisters,
    /// The activation of a format version has every controller's member record as a
    /// precondition, so that no controller changes its build meanwhile.
    ActivationComparesMembers,
    /// A job with an unreadable record is neither run nor written: the contents of the
    /// record would be lost, and its tasks may already run.
    UnreadableJobIsNotWritten,
    /// The assignments by earlier leaders to a silent machine remain in force for as long
    /// as such a leader may have answered the machine, and for a lease after that.
    EarlierLeadersAnswersExtendLeases,
    /// A heartbeat proves a task's absence only if it carries this leader's fencing
    /// token. Otherwise a start of an older leader may still be in flight.
    AbsenceNeedsOurToken,
    /// A heartbeat older than one that was already processed proves nothing.
    NewestHeartbeatCounts,
    /// A task's result is stored before its agent may discard it. Otherwise a failover
    /// would lose the result and run the task again.
    DoneBeforeClear,
    /// An agent may forget an exited task only once no copy of its start can be executed any
    /// more. Otherwise a copy would start the task again, beside its next attempt or after
    /// its job was cancelled.
    ForgetOnlyUnrepeatableStarts,
    /// A record is overwritten only in the version that was last read or written
    /// (compare-and-swap), so that a late write replaces no newer record.
    RecordsCompareVersions,
    /// An answer that is not final is based on a read sent after the request arrived.
    /// Otherwise users could read an older state than in an earlier answer.
    NonFinalAnswersAreFresh,
    /// A submission whose job already exists is answered from the job's stored record,
    /// not from the contents of the request.
    ConflictingSubmissionIsRead,
    /// A transaction without an answer counts as neither committed nor rejected until
    /// its writer has read which of the two applies.
    LostTransactionIsUnknown,
    /// A team's quota usage includes the tasks of ended jobs that may still be on
    /// machines.
    EndedJobsCountForQuota,
    /// A start that an earlier leader stored is resumed only within its team's limit. The
    /// records can show more than the limit, as a start is stored before the removal that
    /// made room for it.
    ResumedStartsNeedQuota,
    /// A start that an earlier leader stored is resumed only if its machine has room beside
    /// all other tasks assigned to it. Otherwise one of them would wait for the end of
    /// another, and its gang with it.
    ResumedStartsNeedRoom,
    /// A new leader watches changes from the revision of the first page of its load on.
    /// Otherwise it would miss changes made during the load.
    WatchStartsAtFirstPage,
    /// Only one of a job's completion and its cancellation is committed.
    OneOutcomeIsCommitted,
    /// A rule that only makes work wait for a better machine no longer applies to work
    /// that has waited for long. Otherwise the work could wait forever.
    AgedWorkSkipsPreferences,
    /// Failures do not count against a machine once their job was cancelled or has failed on
    /// other machines too. Otherwise a few jobs with a mistake would take machines from all
    /// other work.
    RefutedFailuresDoNotCount,
    /// Tasks that may still be on machines restrict the zones of the other tasks of their
    /// job, so that a job bound to one zone is never in two.
    AssignmentsBindZones,
    /// The next format version is activated only once all stored records have the format
    /// of the active one, so that no build encounters formats older than the active one.
    RewrittenBeforeActivation,
}

#[cfg(any(test, feature = "failpoints"))]
thread_local! {
    /// The disabled checks, one bit for each variant.
    static DISABLED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Disables these checks on this thread, and enables all others.
#[cfg(any(test, feature = "failpoints"))]
pub fn disable_check(checks: &[SafetyCheck]) {
    let bits = checks
        .iter()
        .fold(0, |bits, check| bits | 1 << *check as u64);
    DISABLED.set(bits);
}

/// Whether a check is enforced on this thread.
#[cfg(any(test, feature = "failpoints"))]
pub fn enforced(check: SafetyCheck) -> bool {
    DISABLED.get() & (1 << check as u64) == 0
}

/// Whether a check is enforced: always true in this build.
#[cfg(not(any(test, feature = "failpoints")))]
pub const fn enforced(_: SafetyCheck) -> bool {
    true
}
