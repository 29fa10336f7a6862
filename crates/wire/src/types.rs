//! Small types of their own for ids, versions, times and amounts.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::rc::Rc;

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
    /// A job's id, chosen by its user.
    JobId
);
text_id!(
    /// A machine's name, chosen by the cloud.
    MachineId
);
text_id!(
    /// An image that a task needs on its machine.
    Image
);
text_id!(
    /// A zone.
    Zone
);
text_id!(
    /// A machine type.
    MachineTypeName
);
text_id!(
    /// A team.
    Team
);
text_id!(
    /// A class of jobs, as `objectives` name them.
    Class
);
text_id!(
    /// A controller node's name.
    NodeId
);

number!(
    /// A fencing token: the version of the leader key. Workers reject commands with a
    /// token lower than one that they have seen.
    FencingToken(u64)
);
number!(
    /// A key's version in the key-value store; 0 stands for "no such key".
    Version(u64)
);
number!(
    /// A worker's epoch; grows whenever its lease expires.
    AgentEpoch(u64)
);
number!(
    /// The number of a worker's heartbeat; (epoch, sequence) orders its heartbeats.
    HeartbeatSequence(u64)
);
number!(
    /// An attempt at running a task.
    Attempt(u64)
);

/// A task: its job and its number within the job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The number, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Reads `wk-000412/3`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// A moment on this process's steady clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(pub u64);

/// A moment on the wall clock, in milliseconds; kept in the key-value store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl TimeSpan {
    /// No time at all.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// A span of `s` seconds; negative and non-finite ones count as zero.
    pub fn secs(s: f64) -> TimeSpan {
        TimeSpan((s.max(0.0) * 1e6).min(1e15) as u64)
    }
    /// A span of whole milliseconds.
    pub const fn millis(ms: u64) -> TimeSpan {
        TimeSpan(ms * 1000)
    }
    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// In whole milliseconds.
    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }
    /// This span times `f`.
    #[must_use]
    pub fn scaled(self, f: f64) -> TimeSpan {
        TimeSpan::secs(self.as_secs() * f)
    }
}

impl Time {
    /// Time since `earlier`, zero when that lies ahead.
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

/// What a task takes of a machine, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Slack for sums of decimal amounts.
const EPS: f64 = 1e-6;

impl Resources {
    /// Whether `self` fits into `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPS
            && self.gpus <= room.gpus + EPS
            && self.memory_gb <= room.memory_gb + EPS
    }
    /// The largest share of `whole` that this takes, over the resources.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.memory_gb, whole.memory_gb))
    }
    /// These amounts `n` times.
    #[must_use]
    pub fn times(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }
    /// The larger of both, amount by amount.
    #[must_use]
    pub fn most(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory_gb: self.memory_gb.max(other.memory_gb),
        }
    }
    /// The smaller of both, amount by amount.
    #[must_use]
    pub fn least(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }
    /// How many times this fits into `room`, at most `most`.
    pub fn count_in(&self, room: &Resources, most: u32) -> u32 {
        let part = |need: f64, have: f64| {
            if need <= EPS {
                f64::from(most)
            } else {
                ((have + EPS) / need).floor().max(0.0)
            }
        };
        part(self.cpus, room.cpus)
            .min(part(self.gpus, room.gpus))
            .min(part(self.memory_gb, room.memory_gb))
            .min(f64::from(most)) as u32
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
