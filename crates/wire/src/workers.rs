//! Heartbeats of workers and the commands that they get.

use crate::types::{
    AgentEpoch, Attempt, FencingToken, HeartbeatSequence, MachineId, MachineTypeName, NodeId, Zone,
};
use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Saves after a stop.
    #[serde(rename = "saving")]
    Saving,
    /// Ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// A task of its gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such job, or one this version does not know.
    #[serde(rename = "unknown", other)]
    Unknown,
}

/// A task as a heartbeat lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Job and number, as `wk-000412/3`.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<StopReason>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat: everything on its machine, each time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// Where direct commands go.
    pub addr: String,
    /// Its type.
    #[serde(rename = "box_kind")]
    pub kind: MachineTypeName,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The session.
    #[serde(rename = "shift")]
    pub epoch: AgentEpoch,
    /// The message's number.
    #[serde(rename = "tally")]
    pub sequence: HeartbeatSequence,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the machine is taken.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time it gets to save.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Forget an ended task.
    #[serde(rename = "clear")]
    Forget {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Who commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// What to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Who commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The session that is meant.
    #[serde(rename = "shift")]
    pub epoch: AgentEpoch,
    /// What to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// "Not me": who to report to instead, if known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// The leader.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<NodeId>,
}
