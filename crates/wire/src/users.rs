//! The users' protocol: submissions, cancellations and queries, with the answers.

use crate::types::{Class, Image, JobId, MachineTypeName, Resources, Team, Zone};
use serde::{Deserialize, Serialize};

/// How the tasks of a job depend on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobShape {
    /// A job array: independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priorities in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Work that may wait for all other work.
    #[serde(rename = "low")]
    Low,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Normal,
    /// Urgent work.
    #[serde(rename = "urgent")]
    High,
    /// Work that production depends on.
    #[serde(rename = "production")]
    Production,
}

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the job; see [`is_valid_job_id`].
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Class of the job.
    #[serde(rename = "lane")]
    pub class: Class,
    /// Team that the job runs for.
    #[serde(rename = "crew")]
    pub team: Team,
    /// Whether the job is an array, a gang or a service.
    pub shape: JobShape,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Number of processors that each task requires.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of graphics processors that each task requires.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory in GB that each task requires.
    pub memory_gb: f64,
    /// Image that each task requires.
    #[serde(rename = "bundle")]
    pub image: Image,
    /// Size of the image in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types, at least one; `None`: all types are allowed.
    #[serde(rename = "kinds_of_box", default)]
    pub kinds: Option<Vec<MachineTypeName>>,
    /// The only allowed zone; `None`: all zones are allowed.
    #[serde(rename = "yard", default)]
    pub zone: Option<Zone>,
    /// Whether all tasks have to run in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether the tasks are spread over zones: at most half of them run in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Progress between two checkpoints, in seconds of run time; 0: the tasks write no
    /// checkpoints.
    #[serde(rename = "snapshot_every_s")]
    pub checkpoint_s: f64,
    /// Time in seconds that a task needs to write a checkpoint when it is stopped.
    #[serde(rename = "snapshot_s")]
    pub save_s: f64,
    /// Deadline in seconds after the submission; `None`: the job has no deadline.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Whether `id` is a valid job id. The rule keeps ids usable as parts of keys of the
/// key-value store.
pub fn is_valid_job_id(id: &str) -> bool {
    (1..=128).contains(&id.len())
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

impl Submission {
    /// Resources that each task requires.
    pub fn needs(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Most tasks in one zone if the job is spread: half of all, rounded up.
    pub fn max_tasks_per_zone(&self) -> u32 {
        self.tasks.div_ceil(2)
    }

    /// Returns the name of the first field with an invalid value, spelled as in the message;
    /// `None` if all are valid.
    pub fn first_invalid_field(&self) -> Option<&'static str> {
        let is_valid_amount = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        let is_valid_name = |s: &str| (1..=200).contains(&s.len());
        let checks = [
            ("ref", is_valid_job_id(self.id.as_str())),
            ("lane", is_valid_name(self.class.as_str())),
            ("crew", is_valid_name(self.team.as_str())),
            ("pieces", (1..=MAX_TASKS).contains(&self.tasks)),
            ("vcpus", is_valid_amount(self.cpus)),
            ("accelerators", is_valid_amount(self.gpus)),
            ("memory_gb", is_valid_amount(self.memory_gb)),
            ("bundle", is_valid_name(self.image.as_str())),
            ("size_gb", is_valid_amount(self.image_gb)),
            ("guess_s", is_valid_amount(self.estimate_s)),
            ("snapshot_every_s", is_valid_amount(self.checkpoint_s)),
            ("snapshot_s", is_valid_amount(self.save_s)),
            ("due_s", self.deadline_s.is_none_or(is_valid_amount)),
            (
                "kinds_of_box",
                self.kinds
                    .as_ref()
                    .is_none_or(|k| !k.is_empty() && k.iter().all(|k| is_valid_name(k.as_str()))),
            ),
            (
                "yard",
                self.zone.as_ref().is_none_or(|z| is_valid_name(z.as_str())),
            ),
        ];
        checks.iter().find(|(_, ok)| !ok).map(|(field, _)| *field)
    }
}

/// A job's stage as reported to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// No task is running, and the job is neither done nor cancelled.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// Every task is done.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a submission, a cancellation or a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Current stage of the job.
    pub stage: JobStage,
    /// Number of tasks done, for display only; `None`: unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks running, for display only; `None`: unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// An answer that consists of a reason for an error or a rejection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The reason as text; for an invalid submission, the name of the field.
    pub error: String,
}
