//! Heartbeats of agents and the commands that controllers send them. The protocol calls an
//! agent a worker.

use crate::types::{
    AgentEpoch, Attempt, FencingToken, HeartbeatSequence, MachineId, MachineTypeName, NodeId, Zone,
};
use serde::{Deserialize, Serialize};

/// State of a task on its machine, as the agent reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The machine fetches the image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task waits until all tasks of its gang are ready.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task runs.
    #[serde(rename = "running")]
    Running,
    /// The task writes a checkpoint after a stop command.
    #[serde(rename = "saving")]
    Saving,
    /// The task has ended; [`ReportedTask::why`] says why.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The agent rejected the start: the machine lacks the resources or is being drained.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The agent rejected the start: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The agent rejected the start: the job does not exist. Also stands for a reason that
    /// this version does not support.
    #[serde(rename = "unknown", other)]
    Unknown,
}

/// A task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Job and index of the task, such as `wk-000412/3`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the task.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why the task ended; `None`: it has not ended, or the agent gives no reason.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<StopReason>,
    /// Whether a stopped task wrote a checkpoint; `None`: it was not stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// An agent's heartbeat. Each one lists all tasks on the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// Address of the agent, for direct commands.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "box_kind")]
    pub kind: MachineTypeName,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The agent's current epoch.
    #[serde(rename = "shift")]
    pub epoch: AgentEpoch,
    /// Sequence number of the heartbeat.
    #[serde(rename = "tally")]
    pub sequence: HeartbeatSequence,
    /// Highest fencing token that the agent has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None`: no notice was received.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, ended ones included until a [`Command::Forget`].
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command of a controller to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task.
    #[serde(rename = "start")]
    Start {
        /// Job and index of the task, such as `wk-000412/3`.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// Job and index of the task, such as `wk-000412/3`.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that the task has to write a checkpoint before it is killed.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the agent's records and heartbeats.
    #[serde(rename = "clear")]
    Forget {
        /// Job and index of the task, such as `wk-000412/3`.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader that sends the commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands to execute, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that the leader sends to an agent outside of a response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader that sends the commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The agent epoch for which the commands are valid.
    #[serde(rename = "shift")]
    pub epoch: AgentEpoch,
    /// Commands to execute, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The response of a controller that is not the leader to a heartbeat: it redirects the
/// agent to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// Name of the controller to send heartbeats to; `None`: the leader is unknown.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<NodeId>,
}
