//! Rehearsal scripts: a cluster, the jobs of a day and what goes wrong, in one
//! TOML file. The schema is made from the types here; `Script::parse` names the
//! line and the field of what it refuses.

use pebblefold::types::{Amounts, Span};
use pebblefold::wire::users::{Priority, Shape};
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
    /// Machines, controllers and services.
    pub cluster: Cluster,
    /// Jobs, by class.
    #[serde(default)]
    pub jobs: Vec<Jobs>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The zones, also called sites.
    pub zones: Vec<String>,
    /// The zone of each controller.
    pub controllers: Vec<String>,
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
}

impl Default for StateLimits {
    fn default() -> Self {
        StateLimits {
            rps: 200.0,
            write_rps: 80.0,
        }
    }
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

impl From<JobShape> for Shape {
    fn from(s: JobShape) -> Shape {
        match s {
            JobShape::Array => Shape::Array,
            JobShape::Gang => Shape::Gang,
            JobShape::Service => Shape::Service,
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
}

fn one() -> u32 {
    1
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
    /// Controllers are stopped and later go on.
    Pause {
        /// Which.
        nodes: Nodes,
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
    pub fn has(&self) -> Amounts {
        Amounts {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

impl Jobs {
    /// What a task takes.
    pub fn needs(&self) -> Amounts {
        Amounts {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// A step of a field's path.
enum Step {
    Key(&'static str),
    Index(usize),
}

type Problem = (Vec<Step>, String);

macro_rules! path {
    ($($step:expr),*) => { vec![$(Step::from($step)),*] };
}

impl From<&'static str> for Step {
    fn from(k: &'static str) -> Step {
        Step::Key(k)
    }
}
impl From<usize> for Step {
    fn from(i: usize) -> Step {
        Step::Index(i)
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
            .map(|(path, reason)| ScriptError::Value {
                file: file.into(),
                line: line_of(&document, text, &path),
                field: name_of(&path),
                reason,
            })
            .collect())
    }

    /// When it ends.
    pub fn length(&self) -> Span {
        Span::secs(self.length_s)
    }

    fn problems(&self) -> Vec<Problem> {
        let mut out: Vec<Problem> = Vec::new();
        let c = &self.cluster;
        let mut bad = |path: Vec<Step>, reason: String| out.push((path, reason));
        let zone_known = |z: &str| c.zones.iter().any(|k| k == z);
        let zones = || c.zones.join(", ");
        if !(1.0..=86_400.0).contains(&self.length_s) {
            bad(path!["length_s"], "has to be 1 to 86400 seconds".into());
        }
        if c.zones.is_empty() {
            bad(path!["cluster", "zones"], "at least one is needed".into());
        }
        if !(1..=9).contains(&c.controllers.len()) {
            bad(path!["cluster", "controllers"], "1 to 9 are needed".into());
        }
        for (i, z) in c.controllers.iter().enumerate() {
            if !zone_known(z) {
                bad(
                    path!["cluster", "controllers", i],
                    format!("no zone {z}; there are {}", zones()),
                );
            }
        }
        let w = &c.workers;
        if w.lease_s <= 2.0 * w.report_s {
            bad(
                path!["cluster", "workers", "lease_s"],
                "has to be over twice report_s".into(),
            );
        }
        for (i, m) in c.machines.iter().enumerate() {
            if !c.kinds.iter().any(|k| k.name == m.kind) {
                bad(
                    path!["cluster", "machines", i, "kind"],
                    format!("no kind {}", m.kind),
                );
            }
            if !zone_known(&m.zone) {
                bad(
                    path!["cluster", "machines", i, "zone"],
                    format!("no zone {}; there are {}", m.zone, zones()),
                );
            }
            if m.up > m.capacity {
                bad(
                    path!["cluster", "machines", i, "up"],
                    format!("{} are up, but the capacity is {}", m.up, m.capacity),
                );
            }
        }
        for (i, j) in self.jobs.iter().enumerate() {
            let team = c.teams.iter().find(|t| t.name == j.team);
            if team.is_none() {
                bad(path!["jobs", i, "team"], format!("no team {}", j.team));
            }
            if !(1.0..=100_000.0).contains(&j.tasks.least()) || j.tasks.most() < j.tasks.least() {
                bad(
                    path!["jobs", i, "tasks"],
                    "1 to 100000, the least first".into(),
                );
            }
            if j.run_s.least() < 0.0 || j.run_s.most() < j.run_s.least() {
                bad(path!["jobs", i, "run_s"], "the least first".into());
            }
            if !c.kinds.iter().any(|k| j.needs().fits(&k.has())) {
                bad(
                    path!["jobs", i, "cpus"],
                    "a task fits no machine type".into(),
                );
            }
            let at_once = if j.shape == JobShape::Array {
                1.0
            } else {
                j.tasks.most()
            };
            if team.is_some_and(|t| t.gpus_max > 0.0 && j.gpus * at_once > t.gpus_max) {
                bad(
                    path!["jobs", i, "gpus"],
                    format!("a job takes more than its team's {}", "gpus_max"),
                );
            }
            if let Some(z) = j.zone.as_ref().filter(|z| !zone_known(z)) {
                bad(path!["jobs", i, "zone"], format!("no zone {z}"));
            }
            if !(0.0..=1.0).contains(&j.cancelled) {
                bad(path!["jobs", i, "cancelled"], "a share, 0 to 1".into());
            }
        }
        let nodes = c.controllers.len();
        for (i, f) in self.faults.iter().enumerate() {
            if f.at_s.is_some() == f.when.is_some() {
                bad(
                    path!["faults", i, "kind"],
                    "needs either at_s or when".into(),
                );
            }
            if f.at_s.is_some_and(|s| !(0.0..=self.length_s).contains(&s)) {
                bad(
                    path!["faults", i, "at_s"],
                    "has to lie within length_s".into(),
                );
            }
            let class = f.when.as_ref().and_then(|w| w.class.as_ref());
            if let Some(k) = class.filter(|k| self.jobs.iter().all(|j| j.class != **k)) {
                bad(
                    path!["faults", i, "when", "class"],
                    format!("no jobs of class {k}"),
                );
            }
            let that = matches!(
                f.what,
                What::Vanish { that: true, .. }
                    | What::Hang { that: true, .. }
                    | What::LoseAnswer {}
            );
            if that && f.when.is_none() {
                bad(
                    path!["faults", i, "kind"],
                    "is about a moment: give when, not at_s".into(),
                );
            }
            let missing = |n: &u32| *n as usize >= nodes;
            match &f.what {
                What::SitePower { zone, .. }
                | What::Vanish {
                    zone: Some(zone), ..
                } if !zone_known(zone) => bad(
                    path!["faults", i, "zone"],
                    format!("no zone {zone}; there are {}", zones()),
                ),
                What::Kill {
                    nodes: Nodes::Number(n),
                    ..
                }
                | What::Pause {
                    nodes: Nodes::Number(n),
                    ..
                }
                | What::StateRefuses {
                    nodes: Nodes::Number(n),
                    ..
                } if missing(n) => bad(
                    path!["faults", i, "nodes"],
                    format!("no controller {n}; they are 0 to {}", nodes - 1),
                ),
                What::Cut { a, b, .. } => {
                    for (name, side) in [("a", a), ("b", b)] {
                        match side {
                            Side::Zone(z) if !zone_known(z) => bad(
                                path!["faults", i, name],
                                format!("no zone {z}; there are {}", zones()),
                            ),
                            Side::Controller(n) if missing(n) => bad(
                                path!["faults", i, name],
                                format!("no controller {n}; they are 0 to {}", nodes - 1),
                            ),
                            _ => {}
                        }
                    }
                }
                _ => {}
            }
        }
        out
    }
}

fn name_of(path: &[Step]) -> String {
    let mut out = String::new();
    for step in path {
        match step {
            Step::Key(k) if out.is_empty() => out.push_str(k),
            Step::Key(k) => out.push_str(&format!(".{k}")),
            Step::Index(i) => out.push_str(&format!("[{i}]")),
        }
    }
    out
}

/// The line of a field, or of the nearest thing around it that is there.
fn line_of(document: &toml_edit::Document<&str>, text: &str, path: &[Step]) -> usize {
    use toml_edit::{Item, Table, TableLike};
    enum At<'a> {
        Item(&'a Item),
        Table(&'a Table),
    }
    let mut here = At::Item(document.as_item());
    let mut span = None;
    for step in path {
        let table: Option<&dyn TableLike> = match &here {
            At::Item(item) => item.as_table_like(),
            At::Table(table) => Some(*table),
        };
        let next = match (step, &here) {
            (Step::Key(k), _) => table.and_then(|t| t.get_key_value(k)).map(|(key, item)| {
                span = key.span().or(span.take());
                At::Item(item)
            }),
            (Step::Index(i), At::Item(Item::ArrayOfTables(tables))) => tables.get(*i).map(|t| {
                span = t.span().or(span.take());
                At::Table(t)
            }),
            (Step::Index(i), At::Item(item)) => item.get(*i).map(|item| {
                span = item.span().or(span.take());
                At::Item(item)
            }),
            (Step::Index(_), At::Table(_)) => None,
        };
        match next {
            Some(n) => here = n,
            None => break,
        }
    }
    let at = span.map_or(0, |s: std::ops::Range<usize>| s.start);
    text[..at.min(text.len())].matches('\n').count() + 1
}
