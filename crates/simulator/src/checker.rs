//! The checker records a history of events as users, machines and the cloud saw
//! them, and reports violated invariants. It never uses a controller's internal
//! state. Besides the rules of the users' protocol it checks that every accepted
//! job ends in exactly one final answer.

use crate::script::{Cluster, Team};
use pebblefold_controller::types::{Resources, Time, TimeSpan};
use pebblefold_controller::wire::users::{JobShape, JobStage, Submission};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// How long every poll for a job may fail, while most polls are answered, before the job
/// counts as forgotten.
const POLL_FAILURE_LIMIT: TimeSpan = TimeSpan::millis(90_000);

/// Time between two checks for jobs whose polls all fail.
const FORGOTTEN_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(1000);

/// Kind of a user's request about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Submits the job.
    Submit,
    /// Reads the job's status.
    Poll,
    /// Cancels the job.
    Cancel,
}

/// An event as users, machines or the cloud saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A machine came up.
    MachineUp {
        /// Name of the machine.
        machine: String,
        /// Zone of the machine.
        zone: String,
        /// Machine type.
        kind: String,
        /// Whether the machine is a spot machine.
        spot: bool,
    },
    /// A user sent a request.
    RequestSent {
        /// The job that the request names.
        job: String,
        /// Kind of the request.
        what: RequestKind,
    },
    /// A user's request was answered or timed out.
    RequestOutcome {
        /// The job that the request named.
        job: String,
        /// Kind of the request.
        what: RequestKind,
        /// When the request was sent.
        asked: Time,
        /// HTTP status of the answer; `None` if no answer came in time.
        status: Option<u16>,
        /// The job's stage in the answer; `None` if the answer has no stage.
        stage: Option<JobStage>,
    },
    /// A request that the controllers must refuse was answered or timed out.
    InvalidRequestOutcome {
        /// The job that the request named.
        job: String,
        /// HTTP status that the refusal must have.
        wanted: u16,
        /// HTTP status of the answer; `None` if no answer came in time.
        status: Option<u16>,
    },
    /// A user stopped retrying a submission that no controller had accepted.
    SubmissionAbandoned {
        /// The job that was not accepted.
        job: String,
    },
    /// A task has its image and occupies its machine from this time on.
    TaskPlaced {
        /// Name of the machine.
        machine: String,
        /// The task as `job/index`.
        task: String,
        /// Number of the task attempt.
        attempt: u64,
    },
    /// A task no longer occupies its machine.
    TaskRemoved {
        /// Name of the machine.
        machine: String,
        /// The task as `job/index`.
        task: String,
        /// Number of the task attempt.
        attempt: u64,
        /// Why the task was removed, for the history in a report.
        why: &'static str,
    },
    /// A task began to run: an array's or a service's once it is on its machine, a
    /// gang's together with the other tasks of the gang.
    TaskRunning {
        /// The task as `job/index`.
        task: String,
    },
    /// A task's work is complete.
    TaskCompleted {
        /// The task as `job/index`.
        task: String,
    },
    /// The scenario injected a fault.
    FaultInjected {
        /// Description of the fault.
        what: String,
    },
}

/// An invariant that the history must hold to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A task was placed on one machine while it was on another.
    RanTwice,
    /// A team's tasks use more than the team's maximum.
    Quota,
    /// A task was placed on a machine type, market or zone that its job does not allow.
    WrongPlace,
    /// A task is on a machine longer than `cancel_s` after its job was confirmed as cancelled.
    RanCancelled,
    /// The controllers no longer answer for an accepted job.
    Forgotten,
    /// A job that was never submitted, or that cannot run, was answered as accepted.
    Invented,
    /// A job was reported done before all its tasks were complete.
    NotDone,
    /// A final answer changed, or a job that its user did not cancel was reported cancelled.
    WentBack,
    /// No task was started in the whole run.
    NothingRan,
    /// A job stayed pending although free capacity fits it, long after the last fault.
    LeftWaiting,
    /// An accepted job has no final answer at the end of the run.
    Unfinished,
    /// A call or an answer violated an interface's contract.
    Protocol,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).unwrap_or_default();
        f.write_str(name.as_str().unwrap_or_default())
    }
}

/// A violated invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The invariant that was violated.
    pub rule: Invariant,
    /// When the violation was found, in seconds since the start.
    pub at_s: f64,
    /// The job concerned; empty if the breach concerns no job. For a protocol breach, the
    /// text of `what`.
    pub job: String,
    /// Description of the violation.
    pub what: String,
}

/// What the history says so far about one job.
#[derive(Debug)]
struct JobState {
    spec: Submission,
    /// The job comes from an earlier run of the simulated users and machines, whose events
    /// are not in this history.
    preexisting: bool,
    accepted: bool,
    /// When the user first received an answer that the job is accepted.
    accepted_at: Option<Time>,
    abandoned: bool,
    submitted_at: Option<Time>,
    cancel_requested: bool,
    /// The final answer and when the user received it.
    final_answer: Option<(JobStage, Time)>,
    /// Indices of the complete tasks.
    completed_tasks: BTreeSet<u32>,
    /// Names of the machines that each task, by index, is on.
    machines_by_task: BTreeMap<u32, BTreeSet<String>>,
    /// When all tasks first ran together or, of an array, the first task ran.
    started_at: Option<Time>,
    /// Indices of the tasks that run.
    running_tasks: BTreeSet<u32>,
    /// When the last of the tasks was complete.
    finished_at: Option<Time>,
    /// When the first of the polls that have all failed since was sent; `None` after an
    /// answered poll.
    polls_failing_since: Option<Time>,
    /// When a poll for the job was last answered.
    last_answered_poll: Option<Time>,
    /// Indices of the job's events in [`Checker::history`].
    event_indices: Vec<usize>,
}

#[derive(Clone, Debug)]
struct MachineInfo {
    zone: String,
    kind: String,
    spot: bool,
}

/// Times and outcome of a job, for reports.
#[derive(Clone, Debug, Serialize)]
pub struct JobRecord {
    /// Id of the job.
    pub job: String,
    /// Class of the job.
    pub class: String,
    /// Team that the job's usage counts for.
    pub team: String,
    /// When the user first submitted the job, in seconds since the start.
    pub submitted_s: f64,
    /// Whether the user received an answer that the job is accepted.
    pub accepted: bool,
    /// When all tasks first ran together or, of an array, the first task ran, in seconds;
    /// `None` if that never happened.
    pub started_s: Option<f64>,
    /// When the user received the final answer, in seconds; `None` if there was none.
    pub ended_s: Option<f64>,
    /// The final answer: done or cancelled.
    pub end: Option<JobStage>,
}

/// Records a history of events and checks invariants on it.
#[derive(Debug)]
pub struct Checker {
    teams: Vec<Team>,
    /// How long a task may stay on its machine after its job was confirmed as cancelled.
    cancel_limit: TimeSpan,
    jobs: BTreeMap<String, JobState>,
    machines: BTreeMap<String, MachineInfo>,
    history: Vec<(Time, HistoryEvent)>,
    breaches: Vec<Breach>,
    /// Polls of the last [`POLL_FAILURE_LIMIT`]: when each ended and whether it was answered.
    recent_polls: VecDeque<(Time, bool)>,
    /// When each cancelled job's user received the confirmation.
    cancelled_at: BTreeMap<String, Time>,
    /// Jobs and machines for which a task that stayed too long was already reported.
    reported_late: BTreeSet<(String, String)>,
    /// When the next check for forgotten jobs is due.
    next_forgotten_check: Time,
    /// Number of task starts.
    starts: u64,
    /// Number of task placements after the job was confirmed as cancelled.
    starts_after_cancel: u64,
    usage_by_team: BTreeMap<String, Resources>,
    /// The most that each team's tasks on machines used at one time.
    peak_usage_by_team: BTreeMap<String, Resources>,
}

/// Splits `job/index` into the job's id and the task's index.
fn split_task_id(task: &str) -> (&str, u32) {
    let (job, index) = task.rsplit_once('/').unwrap_or((task, "0"));
    (job, index.parse().unwrap_or(0))
}

impl Checker {
    /// Creates a checker with the cluster's team limits and its `cancel_s`.
    pub fn new(cluster: &Cluster) -> Checker {
        Checker {
            teams: cluster.teams.clone(),
            cancel_limit: TimeSpan::secs(cluster.workers.cancel_s),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            history: Vec::new(),
            breaches: Vec::new(),
            recent_polls: VecDeque::new(),
            cancelled_at: BTreeMap::new(),
            reported_late: BTreeSet::new(),
            next_forgotten_check: Time(0),
            starts: 0,
            starts_after_cancel: 0,
            usage_by_team: BTreeMap::new(),
            peak_usage_by_team: BTreeMap::new(),
        }
    }

    /// Adds a job that a user is going to submit.
    pub fn add_job(&mut self, spec: Submission) {
        self.insert_job(spec, false);
    }

    /// Adds a job that may have run before this history began. Its tasks may have been
    /// completed then, so [`Invariant::NotDone`] is not checked for the job.
    pub fn add_preexisting_job(&mut self, spec: Submission) {
        self.insert_job(spec, true);
    }

    fn insert_job(&mut self, spec: Submission, preexisting: bool) {
        let job = JobState {
            preexisting,
            accepted: false,
            accepted_at: None,
            abandoned: false,
            submitted_at: None,
            cancel_requested: false,
            final_answer: None,
            completed_tasks: BTreeSet::new(),
            machines_by_task: BTreeMap::new(),
            started_at: None,
            running_tasks: BTreeSet::new(),
            finished_at: None,
            polls_failing_since: None,
            last_answered_poll: None,
            event_indices: Vec::new(),
            spec,
        };
        self.jobs.insert(job.spec.id.to_string(), job);
    }

    /// Violated invariants so far, at most one per invariant and job.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Number of task starts: a task that runs again counts again.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Number of task placements after the job's user received the confirmation that the
    /// job is cancelled. Within `cancel_s` they violate no invariant, but are wasted work.
    pub fn starts_after_cancel(&self) -> u64 {
        self.starts_after_cancel
    }

    /// Accepted jobs without a final answer and with incomplete tasks, each with the number
    /// of its complete tasks. Jobs whose users have requested cancellation are left out.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&Submission, u32)> {
        let open = |j: &&JobState| {
            j.accepted && j.final_answer.is_none() && j.finished_at.is_none() && !j.cancel_requested
        };
        let jobs = self.jobs.values().filter(open);
        jobs.map(|j| (&j.spec, j.completed_tasks.len() as u32))
    }

    /// Reports a job that could have started for the time `waited` and did not, with no
    /// fault pending.
    pub fn report_left_waiting(&mut self, now: Time, job: &str, waited: TimeSpan) {
        let text = format!("could start for {} s, and did not", waited.as_secs());
        self.breach(now, Invariant::LeftWaiting, job, text);
    }

    /// Teams and their resource limits.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Whether the work of all of a job's tasks is complete.
    pub fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|j| j.finished_at.is_some())
    }

    /// Resources that each team's tasks occupy, on reachable and unreachable machines.
    pub fn usage_by_team(&self) -> &BTreeMap<String, Resources> {
        &self.usage_by_team
    }

    /// The most that each team's tasks on machines used at one time.
    pub fn peak_usage_by_team(&self) -> &BTreeMap<String, Resources> {
        &self.peak_usage_by_team
    }

    /// All recorded events in order, each with the time of its recording.
    pub fn history(&self) -> &[(Time, HistoryEvent)] {
        &self.history
    }

    fn breach(&mut self, now: Time, rule: Invariant, job: &str, what: String) {
        // A repeated violation of the same invariant for the same job adds no information.
        if self.breaches.iter().any(|b| b.rule == rule && b.job == job) {
            return;
        }
        self.breaches.push(Breach {
            rule,
            at_s: now.0 as f64 / 1e6,
            job: job.into(),
            what,
        });
    }

    /// Reports a call that violates an interface's contract. Each distinct text is reported
    /// once.
    pub fn report_protocol_breach(&mut self, now: Time, what: String) {
        let job = what.clone();
        self.breach(now, Invariant::Protocol, &job, what);
    }

    /// Appends an event to the history and checks the invariants that it concerns.
    pub fn record(&mut self, now: Time, event: HistoryEvent) {
        let job = match &event {
            HistoryEvent::RequestSent { job, .. }
            | HistoryEvent::RequestOutcome { job, .. }
            | HistoryEvent::SubmissionAbandoned { job } => Some(job.clone()),
            HistoryEvent::TaskPlaced { task, .. }
            | HistoryEvent::TaskRemoved { task, .. }
            | HistoryEvent::TaskRunning { task }
            | HistoryEvent::TaskCompleted { task } => Some(split_task_id(task).0.to_string()),
            HistoryEvent::MachineUp { .. }
            | HistoryEvent::FaultInjected { .. }
            | HistoryEvent::InvalidRequestOutcome { .. } => None,
        };
        let event_index = self.history.len();
        if let Some(j) = job.as_deref().and_then(|j| self.jobs.get_mut(j)) {
            j.event_indices.push(event_index);
        }
        self.history.push((now, event.clone()));
        match event {
            HistoryEvent::MachineUp {
                machine,
                zone,
                kind,
                spot,
            } => {
                self.machines
                    .insert(machine, MachineInfo { zone, kind, spot });
            }
            HistoryEvent::RequestSent { job, what } => self.record_request(now, &job, what),
            HistoryEvent::RequestOutcome {
                job,
                what,
                asked,
                status,
                stage,
            } => self.record_outcome(now, &job, what, asked, status, stage),
            HistoryEvent::SubmissionAbandoned { job } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.abandoned = true;
                }
            }
            HistoryEvent::TaskPlaced { machine, task, .. } => {
                self.record_placement(now, &machine, &task)
            }
            HistoryEvent::TaskRemoved { machine, task, .. } => self.record_removal(&machine, &task),
            HistoryEvent::TaskRunning { task } => self.record_running(now, &task),
            HistoryEvent::TaskCompleted { task } => {
                let (job, index) = split_task_id(&task);
                if let Some(j) = self.jobs.get_mut(job) {
                    j.completed_tasks.insert(index);
                    if j.completed_tasks.len() as u32 == j.spec.tasks {
                        j.finished_at.get_or_insert(now);
                    }
                }
            }
            HistoryEvent::InvalidRequestOutcome {
                job,
                wanted,
                status,
            } => self.check_invalid_request(now, &job, wanted, status),
            HistoryEvent::FaultInjected { .. } => {}
        }
    }

    /// Checks the answer to a request that must be refused. Besides the expected status, 429
    /// and a 5xx of a controller that cannot decide at the moment are allowed.
    fn check_invalid_request(&mut self, now: Time, job: &str, wanted: u16, status: Option<u16>) {
        match status {
            Some(s @ (200 | 201)) => {
                let text = format!("answered {s}, and it cannot run");
                self.breach(now, Invariant::Invented, job, text);
            }
            Some(s @ 400..500) if s != wanted && s != 429 => {
                let text = format!("refused with {s} instead of {wanted}");
                self.breach(now, Invariant::Protocol, job, text);
            }
            _ => {}
        }
    }

    fn record_request(&mut self, now: Time, job: &str, what: RequestKind) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        match what {
            RequestKind::Submit => {
                j.submitted_at.get_or_insert(now);
            }
            RequestKind::Cancel => j.cancel_requested = true,
            RequestKind::Poll => {}
        }
    }

    fn record_outcome(
        &mut self,
        now: Time,
        job: &str,
        what: RequestKind,
        asked: Time,
        status: Option<u16>,
        stage: Option<JobStage>,
    ) {
        let answered = matches!(status, Some(200 | 201 | 404));
        if what == RequestKind::Poll {
            self.recent_polls.push_back((now, answered));
        }
        let Some(j) = self.jobs.get_mut(job) else {
            if status == Some(200) {
                self.breach(
                    now,
                    Invariant::Invented,
                    job,
                    "a job nobody submitted is known".into(),
                );
            }
            return;
        };
        let mut broken: Vec<(Invariant, String)> = Vec::new();
        if what == RequestKind::Poll {
            if answered {
                j.polls_failing_since = None;
                j.last_answered_poll = Some(now);
            } else if j.accepted && j.last_answered_poll.is_none_or(|t| t < asked) {
                // Several polls may be in flight. If another one was answered after
                // this one was sent, not every poll since then has failed.
                j.polls_failing_since.get_or_insert(asked);
            }
        }
        match (status, stage) {
            (Some(200 | 201), Some(stage)) => {
                j.accepted = true;
                j.accepted_at.get_or_insert(now);
                // An answer to a request sent before the user received the final answer may
                // be older than the final answer.
                if let Some((final_stage, received_at)) = j.final_answer
                    && final_stage != stage
                    && asked > received_at
                {
                    let text = format!("called {final_stage:?}, later {stage:?}");
                    broken.push((Invariant::WentBack, text));
                }
                match stage {
                    JobStage::Done
                        if !j.preexisting && (j.completed_tasks.len() as u32) < j.spec.tasks =>
                    {
                        let text = format!(
                            "{} of {} tasks are done",
                            j.completed_tasks.len(),
                            j.spec.tasks
                        );
                        broken.push((Invariant::NotDone, text));
                    }
                    JobStage::Cancelled if !j.cancel_requested => {
                        let text = "called cancelled, and its user did not cancel it";
                        broken.push((Invariant::WentBack, text.into()));
                    }
                    _ => {}
                }
                if matches!(stage, JobStage::Done | JobStage::Cancelled) && j.final_answer.is_none()
                {
                    j.final_answer = Some((stage, now));
                    if stage == JobStage::Cancelled {
                        self.cancelled_at.insert(job.into(), now);
                    }
                }
            }
            (Some(404), _)
                if j.accepted_at.is_some_and(|k| asked > k) && what != RequestKind::Submit =>
            {
                broken.push((Invariant::Forgotten, "accepted, later answered 404".into()));
            }
            (Some(s @ (400 | 422)), _) if what == RequestKind::Submit => {
                let text = if j.accepted {
                    format!("submitted again: answered {s}")
                } else {
                    format!("a valid job is answered {s}")
                };
                let rule = if j.accepted {
                    Invariant::Forgotten
                } else {
                    Invariant::Protocol
                };
                broken.push((rule, text));
            }
            _ => {}
        }
        for (rule, text) in broken {
            self.breach(now, rule, job, text);
        }
    }

    fn record_placement(&mut self, now: Time, machine: &str, task: &str) {
        let (job, index) = split_task_id(task);
        let Some(j) = self.jobs.get_mut(job) else {
            return self.breach(
                now,
                Invariant::Protocol,
                job,
                format!("{task}: a job nobody submitted runs"),
            );
        };
        let mut broken: Vec<(Invariant, String)> = Vec::new();
        let task_machines = j.machines_by_task.entry(index).or_default();
        if let Some(other) = task_machines.iter().find(|m| *m != machine) {
            broken.push((
                Invariant::RanTwice,
                format!("{task} starts on {machine} while on {other}"),
            ));
        }
        let added = task_machines.insert(machine.into());
        let spec = j.spec.clone();
        let mut tasks_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for m in j.machines_by_task.values().flatten() {
            if let Some(p) = self.machines.get(m) {
                *tasks_by_zone.entry(&p.zone).or_default() += 1;
            }
        }
        if let Some(p) = self.machines.get(machine) {
            let max_per_zone = tasks_by_zone.values().max().copied().unwrap_or(0);
            let violation = if p.spot && !spec.spot {
                Some("a spot machine".to_string())
            } else if spec
                .kinds
                .as_ref()
                .is_some_and(|k| k.iter().all(|k| k.as_str() != p.kind))
            {
                Some(format!("type {}", p.kind))
            } else if spec.zone.as_ref().is_some_and(|z| z.as_str() != p.zone) {
                Some(format!("zone {}", p.zone))
            } else if spec.one_zone && tasks_by_zone.len() > 1 {
                Some(format!("{} zones at once", tasks_by_zone.len()))
            } else if spec.spread && max_per_zone > spec.tasks.div_ceil(2) {
                Some(format!(
                    "{max_per_zone} of {} tasks in one zone",
                    spec.tasks
                ))
            } else {
                None
            };
            if let Some(reason) = violation {
                broken.push((
                    Invariant::WrongPlace,
                    format!("{task} starts on {machine}: {reason}"),
                ));
            }
        } else {
            broken.push((Invariant::Protocol, format!("{task} on unknown {machine}")));
        }
        if added {
            let used = self.usage_by_team.entry(spec.team.to_string()).or_default();
            *used += spec.needs();
            let used = *used;
            let peak = self.peak_usage_by_team.entry(spec.team.to_string());
            let peak = peak.or_default();
            *peak = peak.component_max(&used);
            let team = self.teams.iter().find(|t| t.name == spec.team.as_str());
            let over = |limit: f64, used: f64| limit > 0.0 && used > limit + 1e-6;
            if team.is_some_and(|t| over(t.gpus_max, used.gpus) || over(t.cpus_max, used.cpus)) {
                let text = format!("{} uses {} GPUs, {} CPUs", spec.team, used.gpus, used.cpus);
                broken.push((Invariant::Quota, text));
            }
        }
        self.starts_after_cancel += u64::from(self.cancelled_at.contains_key(job));
        if self
            .cancelled_at
            .get(job)
            .is_some_and(|at| now.since(*at) > self.cancel_limit)
        {
            broken.push((
                Invariant::RanCancelled,
                format!("{task} starts on {machine}"),
            ));
        }
        for (rule, text) in broken {
            self.breach(now, rule, job, text);
        }
    }

    fn record_removal(&mut self, machine: &str, task: &str) {
        let (job, index) = split_task_id(task);
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        j.running_tasks.remove(&index);
        if j.machines_by_task
            .get_mut(&index)
            .is_some_and(|m| m.remove(machine))
        {
            if j.machines_by_task
                .get(&index)
                .is_some_and(BTreeSet::is_empty)
            {
                j.machines_by_task.remove(&index);
            }
            let needs = j.spec.needs();
            if let Some(used) = self.usage_by_team.get_mut(j.spec.team.as_str()) {
                *used -= needs;
            }
        }
    }

    fn record_running(&mut self, now: Time, task: &str) {
        self.starts += 1;
        let (job, index) = split_task_id(task);
        if let Some(j) = self.jobs.get_mut(job) {
            j.running_tasks.insert(index);
            let all_running = j.running_tasks.len() as u32 == j.spec.tasks;
            if all_running || j.spec.shape == JobShape::Array {
                j.started_at.get_or_insert(now);
            }
        }
    }

    /// Checks the invariants that bound how long a state may last. Called at every step.
    pub fn check_elapsed(&mut self, now: Time) {
        if now >= self.next_forgotten_check {
            self.next_forgotten_check = now + FORGOTTEN_CHECK_INTERVAL;
            self.check_forgotten_jobs(now);
        }
        let mut late = Vec::new();
        for (id, at) in &self.cancelled_at {
            if now.since(*at) <= self.cancel_limit {
                continue;
            }
            for m in self
                .jobs
                .get(id)
                .into_iter()
                .flat_map(|j| j.machines_by_task.values().flatten())
            {
                late.push((id.clone(), m.clone()));
            }
        }
        for (id, machine) in late {
            if self.reported_late.insert((id.clone(), machine.clone())) {
                self.breach(
                    now,
                    Invariant::RanCancelled,
                    &id,
                    format!("still on {machine}"),
                );
            }
        }
    }

    fn check_forgotten_jobs(&mut self, now: Time) {
        while self
            .recent_polls
            .front()
            .is_some_and(|(t, _)| now.since(*t) > POLL_FAILURE_LIMIT)
        {
            self.recent_polls.pop_front();
        }
        let answered = self.recent_polls.iter().filter(|(_, ok)| *ok).count();
        let most_answered = answered * 2 > self.recent_polls.len();
        let forgotten: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                most_answered
                    && j.polls_failing_since
                        .is_some_and(|t| now.since(t) > POLL_FAILURE_LIMIT)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in forgotten {
            self.breach(
                now,
                Invariant::Forgotten,
                &id,
                "every poll failed for 90 s".into(),
            );
        }
    }

    /// Whether every job has its final answer or was abandoned by its user unaccepted.
    pub fn all_jobs_final(&self) -> bool {
        self.jobs
            .values()
            .all(|j| j.final_answer.is_some() || (j.abandoned && !j.accepted))
    }

    /// Ends the history: reports accepted jobs without a final answer, and a run without any
    /// task start.
    pub fn finish(&mut self, now: Time) {
        self.check_elapsed(now);
        if self.starts == 0 {
            self.breach(now, Invariant::NothingRan, "", "no task was started".into());
        }
        let open: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.accepted && j.final_answer.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            self.breach(
                now,
                Invariant::Unfinished,
                &id,
                "accepted, and no final answer".into(),
            );
        }
    }

    /// Numbers of jobs accepted, done, cancelled, and abandoned by their users unaccepted.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let ended = |s: JobStage| {
            self.jobs
                .values()
                .filter(|j| j.final_answer.is_some_and(|l| l.0 == s))
                .count()
        };
        let accepted = self.jobs.values().filter(|j| j.accepted).count();
        let abandoned = self
            .jobs
            .values()
            .filter(|j| j.abandoned && !j.accepted)
            .count();
        (
            accepted,
            ended(JobStage::Done),
            ended(JobStage::Cancelled),
            abandoned,
        )
    }

    /// Numbers of pending and of running jobs by class, as their users and machines saw them.
    pub fn job_counts_by_class(&self) -> BTreeMap<String, (u32, u32)> {
        let mut counts: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for j in self.jobs.values() {
            let n = counts.entry(j.spec.class.to_string()).or_default();
            if j.submitted_at.is_none() || j.final_answer.is_some() || j.finished_at.is_some() {
                continue;
            }
            if j.running_tasks.is_empty() {
                n.0 += 1;
            } else {
                n.1 += 1;
            }
        }
        counts
    }

    /// Times and outcome of each submitted job.
    pub fn records(&self) -> Vec<JobRecord> {
        let secs = |t: Time| t.0 as f64 / 1e6;
        let jobs = self.jobs.iter();
        jobs.filter(|(_, j)| j.submitted_at.is_some())
            .map(|(id, j)| JobRecord {
                job: id.clone(),
                class: j.spec.class.to_string(),
                team: j.spec.team.to_string(),
                submitted_s: j.submitted_at.map_or(0.0, secs),
                accepted: j.accepted,
                started_s: j.started_at.map(secs),
                ended_s: j.final_answer.map(|l| secs(l.1)),
                end: j.final_answer.map(|l| l.0),
            })
            .collect()
    }

    /// The events that concern one job, one line per event.
    pub fn history_of(&self, job: &str) -> Vec<String> {
        let event_indices = self
            .jobs
            .get(job)
            .map(|j| j.event_indices.as_slice())
            .unwrap_or_default();
        event_indices
            .iter()
            .filter_map(|&i| self.history.get(i))
            .map(|(t, event)| format!("{:>9.3} s  {}", t.0 as f64 / 1e6, describe(event)))
            .collect()
    }
}

/// One line for the history in a report.
fn describe(event: &HistoryEvent) -> String {
    match event {
        HistoryEvent::MachineUp { machine, zone, .. } => format!("{machine} is up in {zone}"),
        HistoryEvent::RequestSent { what, .. } => format!("its user asks: {what:?}"),
        HistoryEvent::RequestOutcome {
            what,
            status: Some(status),
            stage,
            ..
        } => {
            let stage = stage.map_or(String::new(), |s| format!(" {s:?}"));
            format!("its user is told, to {what:?}: {status}{stage}")
        }
        HistoryEvent::RequestOutcome { what, .. } => format!("no answer to {what:?}"),
        HistoryEvent::InvalidRequestOutcome { job, status, .. } => {
            format!("{job}, which cannot run, is answered {status:?}")
        }
        HistoryEvent::SubmissionAbandoned { .. } => "its user gives up submitting it".into(),
        HistoryEvent::TaskPlaced {
            machine,
            task,
            attempt,
        } => format!("{task} attempt {attempt} is on {machine}"),
        HistoryEvent::TaskRemoved {
            machine,
            task,
            attempt,
            why,
        } => format!("{task} attempt {attempt} leaves {machine}: {why}"),
        HistoryEvent::TaskRunning { task } => format!("{task} runs"),
        HistoryEvent::TaskCompleted { task } => format!("{task} is complete"),
        HistoryEvent::FaultInjected { what } => format!("fault: {what}"),
    }
}
