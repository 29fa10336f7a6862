//! What goes wrong in a script, and when.

use super::jobs::one;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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

fn most_late_s() -> f64 {
    16.0
}
