//! The jobs that a script's users submit.

use pebblefold_controller::types::Resources;
use pebblefold_controller::wire::users::{self, Priority};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A number, or the least and the greatest of an even spread.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Spread {
    /// Always this.
    Fixed(f64),
    /// Anything between.
    Between(f64, f64),
}

impl Spread {
    /// The least.
    pub fn least(self) -> f64 {
        match self {
            Spread::Fixed(a) | Spread::Between(a, _) => a,
        }
    }
    /// The greatest.
    pub fn most(self) -> f64 {
        match self {
            Spread::Fixed(a) | Spread::Between(_, a) => a,
        }
    }
    /// One of them; `chance` in 0..1.
    pub fn pick(self, chance: f64) -> f64 {
        self.least() + (self.most() - self.least()) * chance
    }
}

/// How tasks belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum JobShape {
    /// Independent tasks.
    Array,
    /// All at once or none.
    Gang,
    /// Replicas until cancelled.
    Service,
}

impl From<JobShape> for users::JobShape {
    fn from(s: JobShape) -> users::JobShape {
        match s {
            JobShape::Array => users::JobShape::Array,
            JobShape::Gang => users::JobShape::Gang,
            JobShape::Service => users::JobShape::Service,
        }
    }
}

/// A priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum JobPriority {
    /// May wait for everything else.
    Low,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    High,
    /// Work that production depends on.
    Production,
}

impl From<JobPriority> for Priority {
    fn from(p: JobPriority) -> Priority {
        match p {
            JobPriority::Low => Priority::Low,
            JobPriority::Normal => Priority::Normal,
            JobPriority::High => Priority::High,
            JobPriority::Production => Priority::Production,
        }
    }
}

/// Jobs of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    /// The class.
    pub class: String,
    /// The team they run for.
    pub team: String,
    /// Their priority.
    pub priority: JobPriority,
    /// Array, gang or service.
    pub shape: JobShape,
    /// How many jobs.
    pub count: u32,
    /// When the first is submitted, in seconds.
    #[serde(default)]
    pub from_s: f64,
    /// Over how many seconds they come, evenly.
    #[serde(default)]
    pub over_s: f64,
    /// Tasks of a job.
    pub tasks: Spread,
    /// Processors a task takes.
    pub cpus: f64,
    /// Graphics processors a task takes.
    #[serde(default)]
    pub gpus: f64,
    /// Memory a task takes, in GB.
    pub memory_gb: f64,
    /// How many different images they use.
    #[serde(default = "one")]
    pub images: u32,
    /// The images' size in GB.
    pub image_gb: f64,
    /// How long a task runs, in seconds; for services, until it is cancelled.
    pub run_s: Spread,
    /// The owner's guess over the true time.
    #[serde(default = "about_right")]
    pub guess: Spread,
    /// Progress between checkpoints, in seconds; 0: never saves.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Time to save when stopped, in seconds.
    #[serde(default)]
    pub save_s: f64,
    /// All tasks in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(default)]
    pub spread: bool,
    /// May run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// The only allowed zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Deadline over the guess, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<f64>,
    /// Share of the jobs that their users cancel.
    #[serde(default)]
    pub cancelled: f64,
    /// How long after its submission a job is cancelled, in seconds; none: at a random time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancel_after_s: Option<f64>,
    /// Submitted with a mistake: each task fails as soon as it has its image.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub mistaken: bool,
}

pub(super) fn one() -> u32 {
    1
}

fn about_right() -> Spread {
    Spread::Between(0.7, 1.4)
}

impl Jobs {
    /// What a task takes.
    pub fn needs(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}
