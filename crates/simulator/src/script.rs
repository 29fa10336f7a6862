//! Rehearsal scripts: a cluster, the jobs of a day and what goes wrong, in one
//! TOML file. The schema is made from the types here; `Script::parse` names the
//! line and the field of what it refuses.

mod check;

use check::{line_of, name_of};
use pebblefold_controller::types::{Resources, TimeSpan};
use pebblefold_controller::wire::users::{self, Priority};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What is wrong with a script.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is not TOML, or not a script: the text names line, column and field.
    #[error("{file}: {text}")]
    Form {
        /// The file.
        file: String,
        /// Where and what, as the parser tells it.
        text: String,
    },
    /// A value cannot be used.
    #[error("{file}, line {line}: {field}: {reason}")]
    Value {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What is wrong, and what would be right.
        reason: String,
    },
}

/// A rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// Fixes everything that is left to chance, in simulated time.
    #[serde(default)]
    pub seed: u64,
    /// Seconds after which it ends, whatever is still unfinished.
    pub length_s: f64,
    /// Other builds of the controllers' program than this one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub builds: Vec<Build>,
    /// Machines, controllers and services.
    pub cluster: Cluster,
    /// Jobs, by class.
    #[serde(default)]
    pub jobs: Vec<Jobs>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Another build of the controllers' program. On loopback its program is named on the
/// command line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Build {
    /// Its name.
    pub name: String,
    /// In simulated time: the oldest and the newest level that it serves; none: it
    /// knows no levels.
    #[serde(default)]
    pub levels: Option<(u32, u32)>,
}

/// A cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The zones, also called sites.
    pub zones: Vec<String>,
    /// The zone of each controller.
    pub controllers: Vec<String>,
    /// The build that they begin with; none: this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<String>,
    /// How workers behave.
    #[serde(default)]
    pub workers: Workers,
    /// Limits of the state service.
    #[serde(default)]
    pub state: StateLimits,
    /// The cloud's interface.
    #[serde(default)]
    pub cloud: CloudLimits,
    /// Machine types.
    pub kinds: Vec<Kind>,
    /// How many machines the cloud has, and which are up at the start.
    pub machines: Vec<Machines>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims, as the platform's settings state them.
    #[serde(default)]
    pub aims: Vec<Aim>,
}

/// Times of the workers, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    /// Between reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// How long a gang's tasks wait for one another.
    pub gang_wait_s: f64,
    /// How soon they notice a missing one.
    pub gang_peer_s: f64,
    /// Within which a cancelled job's tasks are gone.
    pub cancel_s: f64,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            report_s: 1.0,
            lease_s: 10.0,
            gang_wait_s: 30.0,
            gang_peer_s: 8.0,
            cancel_s: 40.0,
        }
    }
}

/// Limits of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Limits that the controllers' settings announce.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextStateLimits>,
}

impl Default for StateLimits {
    fn default() -> Self {
        StateLimits {
            rps: 200.0,
            write_rps: 80.0,
            next: None,
        }
    }
}

/// Limits that the state service will have from an unknown time on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NextStateLimits {
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum puts and deletes in one transaction.
    pub txn_ops: u32,
    /// Maximum puts and deletes per second.
    pub write_rps: f64,
}

/// The cloud's interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// By how much lists lag, in seconds; sometimes by up to twice that.
    pub list_lag_s: f64,
    /// Share of machines that never come up.
    pub never_up: f64,
    /// Share of machines that take four times as long to boot.
    pub slow_boot: f64,
}

impl Default for CloudLimits {
    fn default() -> Self {
        CloudLimits {
            rps: 4.0,
            list_lag_s: 4.0,
            never_up: 0.02,
            slow_boot: 0.05,
        }
    }
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Room for images in GB.
    pub cache_gb: f64,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    pub price: f64,
    /// Usual price an hour as a spot machine.
    pub spot_price: f64,
    /// Usual boot time.
    pub boot_s: f64,
}

/// Machines of one type, zone and kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Machines {
    /// Their type.
    pub kind: String,
    /// Their zone.
    pub zone: String,
    /// Spot or ordinary.
    #[serde(default)]
    pub spot: bool,
    /// How many the cloud has.
    pub capacity: u32,
    /// How many of them are up at the start.
    #[serde(default)]
    pub up: u32,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed graphics processors; 0: none.
    #[serde(default)]
    pub gpus: f64,
    /// Most graphics processors; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
    /// Guaranteed processors; 0: none.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
}

/// An aim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Aim {
    /// `wait`, `finished`, `deadline` or `guarantee`.
    pub kind: String,
    /// The class it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Within how many seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// For deadlines: how many times the deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// The share that should meet it.
    #[serde(default)]
    pub share: f64,
}

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

fn one() -> u32 {
    1
}

fn most_late_s() -> f64 {
    16.0
}

fn about_right() -> Spread {
    Spread::Between(0.7, 1.4)
}

/// Something that goes wrong, at a time or at a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Fault {
    /// When, in seconds. Either this or `when`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_s: Option<f64>,
    /// At which moment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub when: Option<When>,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// A moment in the traffic, as the stand-ins see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct When {
    /// Which.
    pub moment: Moment,
    /// Only for jobs of this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The how-manieth of them, from 1.
    #[serde(default = "one")]
    pub nth: u32,
    /// Not before this second.
    #[serde(default)]
    pub after_s: f64,
}

/// Moments that faults can aim at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// A job's acceptance is written, not yet acknowledged.
    Accepted,
    /// A task's start is written, not yet acknowledged.
    StartCommitted,
    /// The answer that carries the start has reached the machine, which has not
    /// acted on it.
    StartArrived,
    /// The machine has begun the task, and has not reported it.
    StartDone,
    /// A machine is about to report a task as completed.
    DoneReported,
    /// The cloud has rented machines and not answered.
    Hired,
}

/// Whom a fault strikes among the controllers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Nodes {
    /// The one whose commits the state service last took as leader.
    Leader,
    /// All.
    All,
    /// The one that the moment is about.
    That,
    /// This one, from 0.
    Number(u32),
}

/// One side of a cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// A controller.
    Controller(u32),
    /// The leading controller.
    Leader,
    /// All controllers.
    Controllers,
    /// Everything in a zone.
    Zone(String),
    /// All machines.
    Machines,
    /// The machine that the moment is about.
    That,
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// The users.
    Users,
}

/// What a cut does to what is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum CutMode {
    /// It is lost.
    #[default]
    Lose,
    /// It is held back and delivered afterwards.
    Hold,
    /// Connections are reset.
    Reset,
}

/// What becomes of a site's machines when its power fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PowerLoss {
    /// They are gone for good.
    #[default]
    Die,
    /// They stand still and go on, with their old session, when it is back.
    Freeze,
}

/// What is left of the state service's last write when it is killed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LastWrite {
    /// Nothing of it.
    #[default]
    Nothing,
    /// All of it, unacknowledged.
    Everything,
    /// Some sectors of it.
    Torn,
}

/// Kinds of faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// A site loses power: its controllers, machines and links.
    SitePower {
        /// The site.
        zone: String,
        /// How long.
        for_s: f64,
        /// What becomes of its machines.
        #[serde(default)]
        machines: PowerLoss,
    },
    /// Controllers are killed, and start again.
    Kill {
        /// Which.
        nodes: Nodes,
        /// After how long they are back.
        for_s: f64,
    },
    /// Controllers are put on another build.
    Roll {
        /// Which.
        nodes: Nodes,
        /// The build; none: this one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        build: Option<String>,
        /// Whether the process is asked to end, rather than killed.
        #[serde(default)]
        gently: bool,
        /// After how long the new one starts.
        for_s: f64,
    },
    /// Controllers are stopped and later go on.
    Pause {
        /// Which.
        nodes: Nodes,
        /// How long.
        for_s: f64,
    },
    /// Controllers take long over everything: what comes waits for its turn.
    /// Only in simulated time.
    Busy {
        /// Which.
        nodes: Nodes,
        /// What each input takes, in milliseconds.
        each_ms: f64,
        /// How long.
        for_s: f64,
    },
    /// Machines vanish without a word.
    Vanish {
        /// How many; with `that`, the one the moment is about.
        #[serde(default)]
        count: u32,
        /// The machine that the moment is about.
        #[serde(default)]
        that: bool,
        /// Only in this zone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
    },
    /// Machines hang and go on later.
    Hang {
        /// How many that have tasks.
        #[serde(default)]
        count: u32,
        /// The machine that the moment is about.
        #[serde(default)]
        that: bool,
        /// How long.
        for_s: f64,
    },
    /// Machines on which each task fails as soon as it has its image.
    Faulty {
        /// How many; with `zone` alone, all there.
        #[serde(default)]
        count: u32,
        /// Only in this zone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
        /// How long.
        for_s: f64,
    },
    /// Machines run their tasks slower.
    Slow {
        /// How many.
        count: u32,
        /// By which factor.
        factor: f64,
        /// How long.
        for_s: f64,
    },
    /// Spot machines are taken back.
    SpotTaken {
        /// Which share of them.
        share: f64,
        /// With how much notice; 0: none.
        #[serde(default)]
        notice_s: f64,
    },
    /// The state service answers nobody.
    StateOut {
        /// How long.
        for_s: f64,
    },
    /// The state service's process is killed and starts again from its store.
    StateKilled {
        /// After how long it is back.
        for_s: f64,
        /// What is left of what it had not synced.
        #[serde(default)]
        last_write: LastWrite,
    },
    /// The state service's disk is full.
    StateFull {
        /// How long.
        for_s: f64,
    },
    /// The state service has other limits. What is stored stays readable.
    StateLimits {
        /// Maximum size of a value, in KiB.
        value_kb: f64,
        /// Maximum puts and deletes in one transaction.
        txn_ops: u32,
        /// Maximum puts and deletes per second.
        write_rps: f64,
        /// How long; 0: to the end.
        #[serde(default)]
        for_s: f64,
    },
    /// The state service refuses controllers.
    StateRefuses {
        /// Which.
        nodes: Nodes,
        /// How long.
        for_s: f64,
    },
    /// The state service answers late.
    StateSlow {
        /// By how much.
        delay_s: f64,
        /// How long.
        for_s: f64,
    },
    /// The cloud's interface is down.
    CloudOut {
        /// How long.
        for_s: f64,
    },
    /// The cloud has no machines to give.
    CloudShort {
        /// How long.
        for_s: f64,
    },
    /// The cloud answers late.
    CloudSlow {
        /// By how much.
        delay_s: f64,
        /// How long.
        for_s: f64,
    },
    /// Two sides cannot reach each other.
    Cut {
        /// One side.
        a: Side,
        /// The other side.
        b: Side,
        /// Only what `a` sends to `b`.
        #[serde(default)]
        one_way: bool,
        /// What becomes of what is sent.
        #[serde(default)]
        mode: CutMode,
        /// How long.
        for_s: f64,
    },
    /// Transactions get no answer and are carried out 2 to 12 s later, after newer ones.
    LateWrites {
        /// Which share of them.
        share: f64,
        /// They are carried out at once, and only their answers are lost.
        #[serde(default)]
        at_once: bool,
        /// How long.
        for_s: f64,
    },
    /// Of workers' reports a copy arrives again, from 2 s to well over a lease later.
    LateReports {
        /// Of which share of them.
        share: f64,
        /// The copies are kept for the next leader: they reach every controller as one
        /// begins.
        #[serde(default)]
        for_next: bool,
        /// How long.
        for_s: f64,
    },
    /// Direct commands get no answer and are carried out 2 s to `most_s` later, if token and
    /// session still match.
    LateCommands {
        /// Which share of them.
        share: f64,
        /// They are carried out and answered at once, also those in answers to reports, and a
        /// copy is carried out once more, up to `most_s` later.
        #[serde(default)]
        again: bool,
        /// The latest that one is carried out, in seconds.
        #[serde(default = "most_late_s")]
        most_s: f64,
        /// How long.
        for_s: f64,
    },
    /// Machines' reports arrive; answers and direct commands to them are lost.
    MachineDeaf {
        /// How many that have tasks; with `zone` alone, all there.
        #[serde(default)]
        count: u32,
        /// Only in this zone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
        /// How long.
        for_s: f64,
    },
    /// Machines reach no controller, while direct commands reach them.
    MachineMute {
        /// How many that have tasks; with `zone` alone, all there.
        #[serde(default)]
        count: u32,
        /// Only in this zone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
        /// How long.
        for_s: f64,
    },
    /// Users call off jobs that run and have long to go, within a fifth of a second.
    CancelNow {
        /// How many.
        count: u32,
        /// For how long up to eight of their machines hang.
        #[serde(default)]
        hang_s: f64,
    },
    /// Jobs that end are called off at the moment of the end.
    CancelAtEnd {
        /// Which share of them.
        share: f64,
        /// How long.
        for_s: f64,
    },
    /// Users repeat submissions of unfinished jobs, also malformed, cancel jobs that are
    /// done, and send jobs that fit no machine or lack a field.
    OddRequests {
        /// How long.
        for_s: f64,
    },
    /// Users ask at all controllers at once, again and again, and submit again, right
    /// after a job was accepted, ended or cancelled; some cancel.
    CloseLooks {
        /// How long.
        for_s: f64,
    },
    /// The answer at this moment is lost.
    LoseAnswer {},
}

impl What {
    /// Its name, as in scripts.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or_default().into()
    }
}

impl Kind {
    /// What a machine of this type has.
    pub fn has(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
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

impl Script {
    /// The schema of scripts, for editors and other programs.
    pub fn schema() -> serde_json::Value {
        serde_json::to_value(schemars::schema_for!(Script)).unwrap_or_default()
    }

    /// Reads a script from a file.
    ///
    /// # Errors
    /// The file cannot be read, or see [`Script::parse`].
    pub fn load(path: &Path) -> Result<Script, Vec<ScriptError>> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Script::parse(&name, &text),
            Err(e) => Err(vec![ScriptError::Read(name, e)]),
        }
    }

    /// Reads a script and checks it.
    ///
    /// # Errors
    /// Everything that is wrong with its values, each with line and field, or
    /// the first thing that makes it no script at all.
    pub fn parse(file: &str, text: &str) -> Result<Script, Vec<ScriptError>> {
        let form = |text: String| {
            vec![ScriptError::Form {
                file: file.into(),
                text: text.trim_end().into(),
            }]
        };
        let script: Script = toml::from_str(text).map_err(|e| form(e.to_string()))?;
        let problems = script.problems();
        if problems.is_empty() {
            return Ok(script);
        }
        let document = toml_edit::Document::parse(text).map_err(|e| form(e.to_string()))?;
        Err(problems
            .into_iter()
            .map(|problem| ScriptError::Value {
                file: file.into(),
                line: line_of(&document, text, &problem.path),
                field: name_of(&problem.path),
                reason: problem.reason,
            })
            .collect())
    }

    /// The number of a build by its name; none: this one.
    pub fn build(&self, name: Option<&str>) -> Option<usize> {
        let name = name?;
        self.builds.iter().position(|b| b.name == name)
    }

    /// When it ends.
    pub fn length(&self) -> TimeSpan {
        TimeSpan::secs(self.length_s)
    }
}
