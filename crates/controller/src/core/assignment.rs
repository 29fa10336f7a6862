//! Where a task may be. An assignment stands from the moment it is decided until there
//! is proof that the task is not on its machine. What counts as proof is decided here;
//! nothing here changes an assignment.

use super::failpoints::{self, SafetyCheck};
use crate::types::{AgentEpoch, Attempt, FencingToken, HeartbeatSequence, MachineId, Time};
use crate::wire::workers::{ReportedTask, TaskState};
use std::fmt;

/// A stop that was ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time the task gets to save its work (checkpoint), in seconds.
    pub grace_s: f64,
    /// When it was ordered.
    pub at: Time,
    /// The change of its chunk that records it, if it is sent only once that is
    /// stored: a successor then knows what was stopped, and for what.
    pub change: Option<u64>,
}

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentPhase {
    /// Not sent by us, and nobody else can: it was decided in this leader's term.
    Unsent,
    /// Sent in the answer to this heartbeat. Whether it arrived shows in the next
    /// heartbeat: an agent has one heartbeat in flight and drops late answers.
    Sent(HeartbeatSequence),
    /// Stored by an earlier leader, which may or may not have sent it.
    Inherited,
    /// Stored by an earlier leader and proved not to be there: its room is
    /// kept until the rest of its gang is known about.
    Reserved,
    /// Seen in a heartbeat.
    Seen(TaskState),
}

impl fmt::Display for AssignmentPhase {
    /// The spelling that `/inspect` has always shown, whatever the types are called.
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
    /// The machine.
    pub machine: MachineId,
    /// The epoch of its agent that the start is meant for.
    pub epoch: AgentEpoch,
    /// The attempt.
    pub attempt: Attempt,
    /// The change of its chunk that records it.
    pub change: u64,
    /// How far the start has come.
    pub phase: AssignmentPhase,
    /// When it was decided.
    pub assigned_at: Time,
    /// Since when the task runs.
    pub running_since: Option<Time>,
    /// Since when the machine fetches the image for it; `None`: it need not.
    pub fetching_since: Option<Time>,
    /// A stop, if ordered.
    pub stop: Option<Stop>,
}

/// What a heartbeat says about an assignment to its machine.
#[derive(Clone, Debug, PartialEq)]
pub enum PresenceProof {
    /// The task is on the machine, or may be.
    Present,
    /// The start did not arrive and never will; it may be sent again.
    Undelivered,
    /// The task is not on the machine, and nothing can bring it there.
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

    /// Whether the start was never sent, so that dropping the assignment is
    /// proof enough of absence.
    pub fn is_unsent(&self) -> bool {
        self.phase == AssignmentPhase::Unsent
    }

    /// Judges a heartbeat that is newer than all before it from this machine. `token`
    /// is the fencing token it carries, `listed` the task in it, if it is listed.
    ///
    /// - A higher agent epoch: the agent has killed and forgotten everything.
    /// - Listed: present (the caller looks at its state).
    /// - Not listed, in a heartbeat that carries our token: starts of older
    ///   leaders can no longer be executed, and ours is settled if this heartbeat
    ///   was made after its answer.
    /// - Not listed, with an older token: nothing is proved, since an older
    ///   leader's start may still be on its way.
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
