//! Decides which failures of tasks count against the machines on which they happened, and
//! opens and closes the machines' circuit breakers accordingly. Places and stops nothing.
//!
//! A task fails because of its machine, or because its job was submitted with a mistake and
//! fails everywhere. A job's failures count against machines unless
//!
//! - its user cancelled it, or
//! - it failed on several machines and none of its tasks has run well anywhere.
//!
//! Both are evaluated again periodically: however the reason for an open circuit goes away,
//! the circuit closes.

use super::cluster_state::ClusterState;
use super::task_completion::QuarantineRecorder;
use crate::core::Now;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::{Job, JobOutcome};
use crate::core::machine::Machine;
use crate::types::{JobId, MachineId, TaskId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Number of machines on which a job has to fail before the job itself may be at fault.
const MIN_FAILED_MACHINES: usize = 2;
/// Most machines that are remembered as those on which a job failed.
const MAX_FAILED_MACHINES_PER_JOB: usize = 4;
/// Largest exponent of a job's backoff: 32 s after six failures in a row.
const MAX_BACKOFF_EXPONENT: u32 = 6;
/// How long a task that does not end by itself has to run to show that its job works.
const PROVEN_RUN_TIME: TimeSpan = TimeSpan::millis(60_000);

impl ClusterState {
    /// Records that a task failed: its job backs off, and its machine may be at fault.
    pub fn record_failure(
        &mut self,
        at: Now,
        recorder: &mut QuarantineRecorder<'_>,
        task: &TaskId,
        id: &MachineId,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        back_off(at.time, job, id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.circuit_breaker.record_failure(at.time, &task.job) {
            log_circuit(at.time, id, machine, "trial on the machine failed");
            recorder.record_circuit(id, machine, at);
        }
        evaluate(at, recorder, &self.jobs, id, machine);
    }

    /// Records that a task on a machine is done, which may be the success of a trial.
    pub fn record_machine_success(
        &mut self,
        at: Now,
        recorder: &mut QuarantineRecorder<'_>,
        task: &TaskId,
        id: &MachineId,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.circuit_breaker.record_success(&task.job) {
            log_circuit(at.time, id, machine, "trial on the machine succeeded");
            recorder.record_circuit(id, machine, at);
        }
    }

    /// Withdraws the failures of a cancelled job from all machines.
    pub fn withdraw_failures(&mut self, job: &JobId) {
        if !failpoints::enforced(SafetyCheck::RefutedFailuresDoNotCount) {
            return;
        }
        for machine in self.machines.values_mut() {
            machine.circuit_breaker.withdraw(job);
        }
    }

    /// Opens and closes circuits by the failures that count now, and ends trials.
    pub fn evaluate_circuits(&mut self, at: Now, recorder: &mut QuarantineRecorder<'_>) {
        let machines = self.machines.iter_mut();
        for (id, machine) in machines.filter(|(_, m)| m.circuit_breaker.needs_evaluation()) {
            check_trial(at, recorder, &self.jobs, id, machine);
            evaluate(at, recorder, &self.jobs, id, machine);
        }
    }
}

/// Opens or closes the circuit of one machine by the failures that count.
fn evaluate(
    at: Now,
    recorder: &mut QuarantineRecorder<'_>,
    jobs: &BTreeMap<JobId, Job>,
    id: &MachineId,
    machine: &mut Machine,
) {
    let counts = |job: &JobId| jobs.get(job).is_none_or(|job| failures_count(at.time, job));
    if machine.circuit_breaker.open_if_due(at.time, counts) {
        log_circuit(at.time, id, machine, "several jobs failed on the machine");
        recorder.record_circuit(id, machine, at);
    }
    if machine.circuit_breaker.close_if_refuted(counts) {
        let reason = "the jobs that failed on the machine were cancelled or fail elsewhere too";
        log_circuit(at.time, id, machine, reason);
        recorder.record_circuit(id, machine, at);
    }
}

/// Ends the trial on a machine once its tasks have run for long enough, or have left.
fn check_trial(
    at: Now,
    recorder: &mut QuarantineRecorder<'_>,
    jobs: &BTreeMap<JobId, Job>,
    id: &MachineId,
    machine: &mut Machine,
) {
    let Some(trial) = machine.circuit_breaker.trial().cloned() else {
        return;
    };
    let tasks_of_trial = || machine.tasks.iter().filter(|task| task.job == trial);
    if tasks_of_trial().next().is_none() {
        machine.circuit_breaker.abandon_trial();
        return;
    }
    let run_time = |task: &TaskId| {
        let assignment = jobs.get(&task.job)?.assignments.get(&task.index)?;
        Some(at.time.since(assignment.running_since?))
    };
    let longest = tasks_of_trial().filter_map(run_time).max();
    let longest = longest.unwrap_or(TimeSpan::ZERO);
    if machine.circuit_breaker.record_trial_run(longest) {
        log_circuit(at.time, id, machine, "trial on the machine succeeded");
        recorder.record_circuit(id, machine, at);
    }
}

/// Whether the failures of a job count against the machines on which it failed.
fn failures_count(now: Time, job: &Job) -> bool {
    if !failpoints::enforced(SafetyCheck::RefutedFailuresDoNotCount) {
        return true;
    }
    let is_cancelled = job.outcome == Some(JobOutcome::Cancelled);
    let fails_everywhere = job.scheduling.failed_on_several && !has_run_well(now, job);
    !is_cancelled && !fails_everywhere
}

/// Whether a task of the job is done, or has run for long.
fn has_run_well(now: Time, job: &Job) -> bool {
    let runs_long = |since: Option<Time>| since.is_some_and(|t| now.since(t) >= PROVEN_RUN_TIME);
    !job.done.is_empty() || job.assignments.values().any(|a| runs_long(a.running_since))
}

/// Makes a job wait longer after each failure in a row. A job that fails on every machine
/// must not exhaust the machines: only its latest few failures exclude machines for it.
fn back_off(now: Time, job: &mut Job, id: &MachineId) {
    let scheduling = &mut job.scheduling;
    scheduling.failures += 1;
    let exponent = scheduling.failures.min(MAX_BACKOFF_EXPONENT);
    scheduling.not_before = now + TimeSpan::secs(f64::from(1 << exponent) / 2.0);
    scheduling.failed_on.insert(id.clone());
    scheduling.failed_on_several |= scheduling.failed_on.len() >= MIN_FAILED_MACHINES;
    if scheduling.failed_on.len() > MAX_FAILED_MACHINES_PER_JOB {
        scheduling.failed_on.clear();
    }
}

fn log_circuit(now: Time, id: &MachineId, machine: &Machine, reason: &'static str) {
    let breaker = &machine.circuit_breaker;
    let jobs: Vec<&str> = breaker.failed_jobs().map(JobId::as_str).collect();
    let pause_s = breaker.remaining_pause(now).map(TimeSpan::as_secs);
    let open = breaker.is_open();
    tracing::info!(machine = %id, open, reason, ?jobs, ?pause_s, "circuit breaker of a machine");
}
