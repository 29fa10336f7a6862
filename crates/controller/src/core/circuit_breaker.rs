//! Circuit breaker of one machine. It opens when tasks of several jobs fail on the machine:
//! the machine then gets no work for a pause, and after that the work of one job at a time as
//! a trial. A successful trial closes it, a failed one doubles the pause. It also closes as
//! soon as too few of the failures still count against the machine: which do is decided in
//! `leader/machine_failures`. This module neither sends nor stores anything.

use crate::types::{JobId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Number of different jobs whose failures open the circuit: a single job may be at fault
/// itself.
const MIN_FAILED_JOBS: usize = 2;
/// How long a failure counts against a machine whose circuit is closed.
const FAILURE_LIFETIME: TimeSpan = TimeSpan::millis(600_000);
/// Pause before the first trial; it doubles with each failed trial.
const INITIAL_PAUSE: TimeSpan = TimeSpan::millis(60_000);
/// Most times that the pause is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// Pause before a trial with a job that finds no other machine.
const STALLED_JOB_PAUSE: TimeSpan = TimeSpan::millis(60_000);
/// How long a task of the trial has to run for the trial to succeed before the task is done.
const TRIAL_RUN_TIME: TimeSpan = TimeSpan::millis(30_000);
/// How long a machine without further failures keeps its doubled pause.
const OPENINGS_LIFETIME: TimeSpan = TimeSpan::millis(3_600_000);

/// The state of a circuit that is open.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenCircuit {
    opened_at: Time,
    /// The job whose tasks are placed as a trial; `None`: there is no trial.
    trial: Option<JobId>,
    /// Whether an earlier leader opened the circuit and left no record of the jobs.
    has_unknown_jobs: bool,
}

/// Which work a machine with an open circuit accepts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialSlot {
    /// The job whose trial is under way; `None`: any job may begin one.
    pub job: Option<JobId>,
    /// Whether only jobs that find no other machine may begin a trial.
    pub stalled_jobs_only: bool,
}

impl TrialSlot {
    /// Whether tasks of this job may be placed. `is_stalled`: the job finds no other machine.
    pub fn admits(&self, job: &JobId, is_stalled: bool) -> bool {
        match &self.job {
            Some(trial) => trial == job,
            None => is_stalled || !self.stalled_jobs_only,
        }
    }
}

/// The state of an open circuit that a successor needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CircuitState {
    /// How often in a row the circuit was opened or a trial failed.
    pub openings: u32,
    /// When a task last failed on the machine, as time since then.
    pub since_last_failure: TimeSpan,
    /// The jobs whose failures count; empty: an earlier build stored none.
    pub failed_jobs: Vec<JobId>,
}

/// The circuit breaker of one machine.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    /// Jobs that failed on the machine, and when each last did.
    failed_jobs: BTreeMap<JobId, Time>,
    /// When a task last failed on the machine, or when this leader read of that failure.
    last_failure: Option<Time>,
    /// How long before `last_failure` an earlier leader saw that failure. The clock of this
    /// process may not reach back so far.
    inherited_age: TimeSpan,
    /// How often in a row the circuit was opened or a trial failed.
    openings: u32,
    /// `None`: the circuit is closed, and the machine gets work as any other.
    open: Option<OpenCircuit>,
}

impl CircuitBreaker {
    /// Whether the machine gets no work, or only a trial.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Since when the circuit is open; `None`: it is closed.
    pub fn opened_at(&self) -> Option<Time> {
        self.open.as_ref().map(|open| open.opened_at)
    }

    /// The jobs that failed on the machine lately.
    pub fn failed_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.failed_jobs.keys()
    }

    /// Whether any failure is recorded or the circuit is open.
    pub fn needs_evaluation(&self) -> bool {
        self.is_open() || !self.failed_jobs.is_empty()
    }

    /// The job whose trial is under way.
    pub fn trial(&self) -> Option<&JobId> {
        self.open.as_ref()?.trial.as_ref()
    }

    /// Records that a task of a job failed on the machine. Returns whether that ended a trial
    /// of the job.
    pub fn record_failure(&mut self, now: Time, job: &JobId) -> bool {
        self.forget_old_failures(now);
        self.failed_jobs.insert(job.clone(), now);
        (self.last_failure, self.inherited_age) = (Some(now), TimeSpan::ZERO);
        let Some(open) = self.open.as_mut().filter(|o| o.trial.as_ref() == Some(job)) else {
            return false;
        };
        open.trial = None;
        self.openings += 1;
        true
    }

    fn forget_old_failures(&mut self, now: Time) {
        let is_within = |at: Time, limit| now.since(at) < limit;
        if self.open.is_none() {
            self.failed_jobs
                .retain(|_, failed| is_within(*failed, FAILURE_LIFETIME));
        }
        let failed_lately = self
            .since_last_failure(now)
            .is_some_and(|since| since < OPENINGS_LIFETIME);
        if !failed_lately {
            self.openings = 0;
        }
    }

    fn since_last_failure(&self, now: Time) -> Option<TimeSpan> {
        Some(now.since(self.last_failure?) + self.inherited_age)
    }

    /// Forgets the failures of a job: they were no sign of a faulty machine.
    pub fn withdraw(&mut self, job: &JobId) {
        self.failed_jobs.remove(job);
    }

    /// Opens the circuit if enough failures count against the machine. Returns whether it
    /// did. `counts`: whether the failures of a job count.
    pub fn open_if_due(&mut self, now: Time, counts: impl Fn(&JobId) -> bool) -> bool {
        self.forget_old_failures(now);
        if self.is_open() || self.counting_jobs(counts) < MIN_FAILED_JOBS {
            return false;
        }
        self.openings += 1;
        self.open = Some(OpenCircuit {
            opened_at: now,
            trial: None,
            has_unknown_jobs: false,
        });
        true
    }

    /// Closes the circuit if too few failures count against the machine any more. Returns
    /// whether it did. `counts`: whether the failures of a job count.
    pub fn close_if_refuted(&mut self, counts: impl Fn(&JobId) -> bool) -> bool {
        let is_refuted = self
            .open
            .as_ref()
            .is_some_and(|open| !open.has_unknown_jobs)
            && self.counting_jobs(counts) < MIN_FAILED_JOBS;
        if is_refuted {
            self.open = None;
            self.openings = 0;
        }
        is_refuted
    }

    fn counting_jobs(&self, counts: impl Fn(&JobId) -> bool) -> usize {
        self.failed_jobs.keys().filter(|job| counts(job)).count()
    }

    /// Begins a trial with a job that was placed on the machine, if the circuit is open.
    pub fn begin_trial(&mut self, job: &JobId) {
        if let Some(open) = &mut self.open {
            open.trial = Some(job.clone());
        }
    }

    /// Ends a trial without a result, since no task of its job is on the machine any more.
    pub fn abandon_trial(&mut self) {
        if let Some(open) = &mut self.open {
            open.trial = None;
        }
    }

    /// Records that a task of a job is done. Returns whether that closed the circuit.
    pub fn record_success(&mut self, job: &JobId) -> bool {
        let is_trial = self.trial() == Some(job);
        if is_trial {
            self.close_after_trial();
        }
        is_trial
    }

    /// Records for how long a task of the trial has run. Returns whether that closed the
    /// circuit.
    pub fn record_trial_run(&mut self, run_time: TimeSpan) -> bool {
        let succeeded = self.trial().is_some() && run_time >= TRIAL_RUN_TIME;
        if succeeded {
            self.close_after_trial();
        }
        succeeded
    }

    /// The machine runs tasks. If it fails again soon, its pause is longer.
    fn close_after_trial(&mut self) {
        self.open = None;
        self.failed_jobs.clear();
    }

    /// How long the machine gets no trial after its last failure.
    fn pause(&self) -> TimeSpan {
        let doublings = self.openings.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        TimeSpan(INITIAL_PAUSE.0 << doublings)
    }

    /// The remaining pause; `None`: the circuit is closed, or the pause is over.
    pub fn remaining_pause(&self, now: Time) -> Option<TimeSpan> {
        self.remaining(now, self.pause())
    }

    fn remaining(&self, now: Time, pause: TimeSpan) -> Option<TimeSpan> {
        self.open.as_ref()?;
        let since = self.since_last_failure(now)?;
        (since < pause).then(|| TimeSpan(pause.0 - since.0))
    }

    /// Whether the machine may get tasks now: its circuit is closed, or a trial may begin or
    /// is under way.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.trial().is_some() || self.remaining(now, STALLED_JOB_PAUSE).is_none()
    }

    /// Which work the machine accepts while its circuit is open; `None`: it is closed.
    pub fn trial_slot(&self, now: Time) -> Option<TrialSlot> {
        let open = self.open.as_ref()?;
        Some(TrialSlot {
            job: open.trial.clone(),
            stalled_jobs_only: self.remaining_pause(now).is_some(),
        })
    }

    /// The state for a successor; `None`: the circuit is closed.
    pub fn state(&self, now: Time) -> Option<CircuitState> {
        self.open.as_ref()?;
        Some(CircuitState {
            openings: self.openings,
            since_last_failure: self.since_last_failure(now).unwrap_or(TimeSpan::ZERO),
            failed_jobs: self.failed_jobs.keys().cloned().collect(),
        })
    }

    /// The circuit that an earlier leader opened.
    pub fn inherited(now: Time, state: CircuitState) -> CircuitBreaker {
        let open = OpenCircuit {
            opened_at: now,
            trial: None,
            has_unknown_jobs: state.failed_jobs.is_empty(),
        };
        let jobs = state.failed_jobs.into_iter();
        CircuitBreaker {
            failed_jobs: jobs.map(|job| (job, now)).collect(),
            last_failure: Some(now),
            inherited_age: state.since_last_failure,
            openings: state.openings.max(1),
            open: Some(open),
        }
    }
}

#[cfg(test)]
mod tests;
