//! The machine on which a task may be. An assignment exists from the decision to start
//! the task until there is proof that the task is not on the machine. This module decides
//! what counts as proof; it changes no assignment.

use super::failpoints::{self, SafetyCheck};
use crate::types::{AgentEpoch, Attempt, FencingToken, HeartbeatSequence, MachineId, Time};
use crate::wire::workers::{ReportedTask, TaskState};
use std::fmt;

/// A stop of a task that the leader has decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time that the task gets for a checkpoint, in seconds.
    pub grace_s: f64,
    /// When the stop was decided.
    pub decided_at: Time,
    /// The number of the change of the task's chunk that records the stop; the stop is
    /// sent only once that change is stored, so that a successor reads which tasks were
    /// stopped, and for which work. `None`: the stop is sent without being stored.
    pub change: Option<u64>,
}

/// The delivery state of the start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentPhase {
    /// The start has not been sent. It was decided in this leader's term, so no other
    /// leader can send it.
    Unsent,
    /// The start was sent in the answer to this heartbeat. The next heartbeat shows
    /// whether it arrived: an agent has one heartbeat in flight and drops late answers.
    Sent(HeartbeatSequence),
    /// The start was stored by an earlier leader, which may or may not have sent it.
    Inherited,
    /// The start was stored by an earlier leader, and the task is proved to be absent
    /// from the machine. The machine's resources remain reserved until the state of the
    /// rest of the gang is known.
    Reserved,
    /// The task was listed in a heartbeat, in this state.
    Seen(TaskState),
}

impl fmt::Display for AssignmentPhase {
    /// The text in `/inspect`. It stays the same if a type or variant is renamed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AssignmentPhase::Unsent => f.write_str("Unsent"),
            AssignmentPhase::Sent(sequence) => write!(f, "Sent(Tally({sequence}))"),
            AssignmentPhase::Inherited => f.write_str("Inherited"),
            AssignmentPhase::Reserved => f.write_str("Kept"),
            AssignmentPhase::Seen(state) => write!(f, "Seen({state:?})"),
        }
    }
}

/// A task's assignment to a machine.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The machine on which the task is or may be.
    pub machine: MachineId,
    /// The agent epoch for which the start is valid.
    pub epoch: AgentEpoch,
    /// The task's attempt.
    pub attempt: Attempt,
    /// The number of the change of the task's chunk that records this assignment; 0 if an
    /// earlier leader stored it.
    pub change: u64,
    /// The delivery state of the start.
    pub phase: AssignmentPhase,
    /// When the assignment was decided, or read from an earlier leader's record.
    pub assigned_at: Time,
    /// Since when the task runs; `None`: no heartbeat has shown it running.
    pub running_since: Option<Time>,
    /// Since when the machine fetches the image for the task; `None`: the image is cached.
    pub fetching_since: Option<Time>,
    /// The stop of the task, if one was decided.
    pub stop: Option<Stop>,
}

/// What a heartbeat proves about an assignment to its machine.
#[derive(Clone, Debug, PartialEq)]
pub enum PresenceProof {
    /// The task is on the machine, or may be.
    Present,
    /// The start did not arrive and never will. The leader may send it again.
    Undelivered,
    /// The task is not on the machine, and no command in flight can start it there.
    Absent,
}

impl Assignment {
    /// An assignment found in the records of an earlier leader.
    pub fn inherited(machine: MachineId, epoch: AgentEpoch, attempt: Attempt) -> Assignment {
        Assignment {
            machine,
            epoch,
            attempt,
            change: 0,
            phase: AssignmentPhase::Inherited,
            assigned_at: Time(0),
            running_since: None,
            fetching_since: None,
            stop: None,
        }
    }

    /// Whether the start was never sent. Dropping such an assignment needs no further
    /// proof of absence.
    pub fn is_unsent(&self) -> bool {
        self.phase == AssignmentPhase::Unsent
    }

    /// Evaluates a heartbeat that is newer than every earlier one from this machine.
    /// `epoch`, `sequence` and `token` are those of the heartbeat, `our_token` is this
    /// leader's fencing token, `listed` is the task's entry in the heartbeat, if any.
    ///
    /// - A higher agent epoch: the agent has killed all tasks and discarded all commands
    ///   of the earlier epoch.
    /// - Listed: present (the caller handles the reported state).
    /// - Not listed, in a heartbeat that carries this leader's token: starts of older
    ///   leaders can no longer be executed, and this leader's start is settled if the
    ///   heartbeat was made after the answer that carried the start.
    /// - Not listed, with an older token: nothing is proved, since an older
    ///   leader's start may still be in flight.
    pub fn check_presence(
        &self,
        epoch: AgentEpoch,
        sequence: HeartbeatSequence,
        token: FencingToken,
        our_token: FencingToken,
        listed: Option<&ReportedTask>,
    ) -> PresenceProof {
        if epoch > self.epoch {
            return PresenceProof::Absent;
        }
        let has_other_token =
            token != our_token && failpoints::enforced(SafetyCheck::AbsenceNeedsOurToken);
        if listed.is_some() || has_other_token {
            return PresenceProof::Present;
        }
        match self.phase {
            AssignmentPhase::Unsent => PresenceProof::Present,
            AssignmentPhase::Sent(at) if sequence > at => PresenceProof::Undelivered,
            AssignmentPhase::Sent(_) => PresenceProof::Present,
            AssignmentPhase::Inherited | AssignmentPhase::Reserved | AssignmentPhase::Seen(_) => {
                PresenceProof::Absent
            }
        }
    }
}

#[cfg(test)]
mod tests;
