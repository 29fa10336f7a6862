//! Types for ids, versions, times and resources.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::rc::Rc;

/// Defines an id that is serialized as text and is cheap to clone.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Rc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(Rc::from(s))
            }
        }
        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(Rc::from(s))
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

/// Defines a number that is serialized as such.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

text_id!(
    /// A job's id, chosen by the user who submits the job.
    JobId
);
text_id!(
    /// A machine's name, chosen by the cloud.
    MachineId
);
text_id!(
    /// Name of an image that a machine must have cached to run a task.
    Image
);
text_id!(
    /// Name of a zone of the cloud.
    Zone
);
text_id!(
    /// Name of a machine type.
    MachineTypeName
);
text_id!(
    /// Name of a team, for which jobs run and quotas are set.
    Team
);
text_id!(
    /// Name of a class of jobs, to which the `objectives` of the policy refer.
    Class
);
text_id!(
    /// Name of a controller.
    NodeId
);

number!(
    /// A fencing token: the version of the leader key. Agents reject commands whose token is
    /// lower than the highest token that they have seen.
    FencingToken(u64)
);
number!(
    /// A key's version in the key-value store; 0: the key does not exist.
    Version(u64)
);
number!(
    /// An agent's epoch; increases each time the agent's lease expires.
    AgentEpoch(u64)
);
number!(
    /// Sequence number of a heartbeat; (epoch, sequence) orders the heartbeats of an agent.
    HeartbeatSequence(u64)
);
number!(
    /// Number of an attempt at running a task.
    Attempt(u64)
);

/// Identifies a task by its job and its index within the job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Parses the text form of a task id, such as `wk-000412/3`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// A point in time on the monotonic clock of this process, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(pub u64);

/// A point in time on the wall clock, in milliseconds, as stored in the key-value store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl TimeSpan {
    /// The empty duration.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// A duration of `s` seconds; a negative one or NaN becomes zero, and the maximum is 1e9
    /// seconds.
    pub fn secs(s: f64) -> TimeSpan {
        TimeSpan((s.max(0.0) * 1e6).min(1e15) as u64)
    }
    /// A duration of `ms` milliseconds.
    pub const fn millis(ms: u64) -> TimeSpan {
        TimeSpan(ms * 1000)
    }
    /// The duration in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The duration in milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }
    /// The duration multiplied by `f`.
    #[must_use]
    pub fn scaled(self, f: f64) -> TimeSpan {
        TimeSpan::secs(self.as_secs() * f)
    }
}

impl Time {
    /// The duration from `earlier` to this time; zero if `earlier` is the later one.
    pub fn since(self, earlier: Time) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for Time {
    type Output = Time;
    fn add(self, s: TimeSpan) -> Time {
        Time(self.0 + s.0)
    }
}
impl Sub<TimeSpan> for Time {
    type Output = Time;
    fn sub(self, s: TimeSpan) -> Time {
        Time(self.0.saturating_sub(s.0))
    }
}
impl Add for TimeSpan {
    type Output = TimeSpan;
    fn add(self, s: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 + s.0)
    }
}

/// Resources that a task requires, or that a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Number of processors.
    pub cpus: f64,
    /// Number of graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance for rounding errors in sums of decimal amounts.
const TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Whether these resources are within `available`.
    pub fn fits_within(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + TOLERANCE
            && self.gpus <= available.gpus + TOLERANCE
            && self.memory_gb <= available.memory_gb + TOLERANCE
    }
    /// The fraction of `whole` that these resources take up, the largest one of all kinds of
    /// resources.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        ratio(self.cpus, whole.cpus)
            .max(ratio(self.gpus, whole.gpus))
            .max(ratio(self.memory_gb, whole.memory_gb))
    }
    /// Each amount multiplied by `n`.
    #[must_use]
    pub fn times(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }
    /// The component-wise maximum of both.
    #[must_use]
    pub fn component_max(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory_gb: self.memory_gb.max(other.memory_gb),
        }
    }
    /// The component-wise minimum of both.
    #[must_use]
    pub fn component_min(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }
    /// How many times these resources fit into `available`, at most `limit`.
    pub fn max_count_in(&self, available: &Resources, limit: u32) -> u32 {
        let ratio = |need: f64, have: f64| {
            if need <= TOLERANCE {
                f64::from(limit)
            } else {
                ((have + TOLERANCE) / need).floor().max(0.0)
            }
        };
        ratio(self.cpus, available.cpus)
            .min(ratio(self.gpus, available.gpus))
            .min(ratio(self.memory_gb, available.memory_gb))
            .min(f64::from(limit)) as u32
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus + o.cpus,
            gpus: self.gpus + o.gpus,
            memory_gb: self.memory_gb + o.memory_gb,
        }
    }
}
impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        *self = *self + o;
    }
}
impl Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        self + o.times(-1.0)
    }
}
impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        *self = *self - o;
    }
}
