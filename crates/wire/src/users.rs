//! What users send and get.

use crate::types::{Class, Image, JobId, MachineTypeName, Resources, Team, Zone};
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobShape {
    /// Independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// All tasks at once or none.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priorities, the most urgent greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// May wait for everything else.
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

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Its id.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Its class.
    #[serde(rename = "lane")]
    pub class: Class,
    /// The team it runs for.
    #[serde(rename = "crew")]
    pub team: Team,
    /// Array, gang or service.
    pub shape: JobShape,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processors a task takes.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Graphics processors a task takes.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory a task takes.
    pub memory_gb: f64,
    /// Image a task needs.
    #[serde(rename = "bundle")]
    pub image: Image,
    /// The image's size.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "kinds_of_box", default)]
    pub kinds: Option<Vec<MachineTypeName>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default)]
    pub zone: Option<Zone>,
    /// All tasks in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// May run on spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The owner's guess at a task's run time.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Progress between checkpoints; 0: never saves.
    #[serde(rename = "snapshot_every_s")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "snapshot_s")]
    pub save_s: f64,
    /// Deadline, measured from submission.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
}

/// Most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Whether `id` can be a job's id: it has to fit into a key.
pub fn is_valid_job_id(id: &str) -> bool {
    (1..=128).contains(&id.len())
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

impl Submission {
    /// What each task takes.
    pub fn needs(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Names the first field whose value makes no sense.
    pub fn fault(&self) -> Option<&'static str> {
        let amount = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        let name = |s: &str| (1..=200).contains(&s.len());
        let checks = [
            ("ref", is_valid_job_id(self.id.as_str())),
            ("lane", name(self.class.as_str())),
            ("crew", name(self.team.as_str())),
            ("pieces", (1..=MAX_TASKS).contains(&self.tasks)),
            ("vcpus", amount(self.cpus)),
            ("accelerators", amount(self.gpus)),
            ("memory_gb", amount(self.memory_gb)),
            ("bundle", name(self.image.as_str())),
            ("size_gb", amount(self.image_gb)),
            ("guess_s", amount(self.estimate_s)),
            ("snapshot_every_s", amount(self.checkpoint_s)),
            ("snapshot_s", amount(self.save_s)),
            ("due_s", self.deadline_s.is_none_or(amount)),
            (
                "kinds_of_box",
                self.kinds
                    .as_ref()
                    .is_none_or(|k| !k.is_empty() && k.iter().all(|k| name(k.as_str()))),
            ),
            ("yard", self.zone.as_ref().is_none_or(|z| name(z.as_str()))),
        ];
        checks.iter().find(|(_, ok)| !ok).map(|(field, _)| *field)
    }
}

/// A job's stage as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// Tasks run.
    #[serde(rename = "running")]
    Running,
    /// Every task is done.
    #[serde(rename = "done")]
    Done,
    /// The user cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its id.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Its stage.
    pub stage: JobStage,
    /// Tasks done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// An answer that carries only a reason.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The reason.
    pub error: String,
}
