//! The starts that were sent to one machine lately, and when its agent may forget an exited
//! attempt.
//!
//! An agent ignores a start of an attempt that it knows, exited ones included. Once it has
//! forgotten the attempt, a second copy of the start would run it again: beside the task's
//! next attempt on another machine, or after the job was cancelled. So an attempt is
//! forgotten only when no copy of its start can be executed any more. Starts are sent in
//! answers to heartbeats only, and agents drop answers some time after they sent the
//! heartbeat; a copy of an earlier leader's answer is dropped for its lower token, and one of
//! an earlier agent epoch for the epoch.
//!
//! This module sends nothing.

use crate::types::{Attempt, TaskId, Time, TimeSpan};
use std::collections::BTreeMap;

/// How long an agent accepts an answer after it sent the heartbeat, with an allowance for
/// clocks that drift apart. The start is sent after the heartbeat.
const ANSWER_LIFETIME: TimeSpan = TimeSpan::millis(5000);
/// How long attempts are kept in heartbeats that are short enough: for copies that an agent
/// executes although it should have dropped them.
const RETENTION: TimeSpan = TimeSpan::millis(30_000);
/// Heartbeats that list more tasks than this get shorter: a heartbeat is limited to 64 KiB,
/// and a listed task takes up to 100 bytes.
const MAX_REPORTED_TASKS: usize = 256;

/// The starts that this leader sent to one machine in the machine's agent epoch.
#[derive(Clone, Debug, Default)]
pub struct SentStarts {
    sent: BTreeMap<(TaskId, Attempt), Time>,
}

impl SentStarts {
    /// Records that the start of an attempt was sent.
    pub fn record(&mut self, now: Time, task: &TaskId, attempt: Attempt) {
        self.sent.retain(|_, sent| now.since(*sent) < RETENTION);
        self.sent.insert((task.clone(), attempt), now);
    }

    /// Whether the agent may forget an attempt that has exited. `reported`: the number of
    /// tasks that its heartbeat lists.
    pub fn may_forget(&self, now: Time, task: &TaskId, attempt: Attempt, reported: usize) -> bool {
        let retention = if reported > MAX_REPORTED_TASKS {
            ANSWER_LIFETIME
        } else {
            RETENTION
        };
        // A start that is not recorded was sent long ago, or by an earlier leader.
        let sent = self.sent.get(&(task.clone(), attempt));
        sent.is_none_or(|sent| now.since(*sent) >= retention)
    }

    /// Forgets all starts: the agent has begun a new epoch, in which none of them counts.
    pub fn clear(&mut self) {
        self.sent.clear();
    }
}

#[cfg(test)]
mod tests;
