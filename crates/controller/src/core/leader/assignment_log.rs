//! Collects what one input changes in the assignments, and logs it by job: placements,
//! resumed starts and removals. A failover within the same second leaves no other trace of
//! them. Changes nothing itself.

use super::cluster_state::ClusterState;
use super::inherited_starts::ResumptionObstacle;
use super::task_lifecycle::RemovalReason;
use crate::core::quota::usage::QuotaUsage;
use crate::types::{FencingToken, JobId};
use std::collections::BTreeMap;
use std::fmt;

/// Most lines logged for one input, so that a failure of many machines does not flood the
/// log.
const MAX_LINES_PER_INPUT: usize = 32;

/// Who decided that a task starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::core) enum StartOrigin {
    /// A scheduling cycle.
    Cycle,
    /// An earlier leader stored the start, and it never arrived.
    EarlierLeader,
}

impl fmt::Display for StartOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartOrigin::Cycle => "cycle",
            StartOrigin::EarlierLeader => "start of an earlier leader",
        })
    }
}

/// A change of the assignments of a job's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AssignmentChange {
    Placed(StartOrigin),
    Removed(RemovalReason),
}

/// Numbers of tasks since this leader's term began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::core) struct AssignmentTotals {
    /// Tasks whose start an earlier leader stored and this leader resumed.
    pub resumed: u64,
    /// Tasks whose start an earlier leader stored and this leader withdrew, whatever the
    /// reason.
    pub withdrawn: u64,
    /// Those of them that their team's limit kept from being resumed.
    pub withdrawn_for_quota: u64,
    /// Running tasks without an assignment that heartbeats listed; one task counts again in
    /// each heartbeat.
    pub unrecorded: u64,
}

/// Changes of assignments that are not logged yet, with the number of tasks of each.
#[derive(Debug, Default)]
pub(in crate::core) struct AssignmentLog {
    changes: BTreeMap<(JobId, AssignmentChange), usize>,
    /// Numbers of tasks since this leader's term began.
    pub totals: AssignmentTotals,
}

impl AssignmentLog {
    /// Records that a task was assigned to a machine.
    pub fn record_placed(&mut self, job: &JobId, origin: StartOrigin) {
        if origin == StartOrigin::EarlierLeader {
            self.totals.resumed += 1;
        }
        self.record(job, AssignmentChange::Placed(origin));
    }

    /// Records that a task was removed from its machine. Completed tasks and those that are
    /// assigned again at once are left out.
    pub fn record_removed(&mut self, job: &JobId, reason: RemovalReason) {
        if let RemovalReason::NotResumed(obstacle) = reason {
            self.totals.withdrawn += 1;
            let for_quota = obstacle == ResumptionObstacle::TeamLimit;
            self.totals.withdrawn_for_quota += u64::from(for_quota);
        }
        match reason {
            RemovalReason::Done | RemovalReason::DoneElsewhere | RemovalReason::Resumed => {}
            _ => self.record(job, AssignmentChange::Removed(reason)),
        }
    }

    fn record(&mut self, job: &JobId, change: AssignmentChange) {
        *self.changes.entry((job.clone(), change)).or_default() += 1;
    }
}

impl ClusterState {
    /// Logs the changes of assignments since the last call. The usage that a line names
    /// includes all of these changes.
    pub fn log_assignment_changes(&mut self, token: FencingToken) {
        if self.assignment_log.changes.is_empty() {
            return;
        }
        let changes = std::mem::take(&mut self.assignment_log.changes);
        let has_placements = changes
            .keys()
            .any(|(_, change)| matches!(change, AssignmentChange::Placed(_)));
        // It takes a pass over all jobs, which removals do not need.
        let usage = if has_placements {
            self.quota_usage()
        } else {
            QuotaUsage::default()
        };
        for ((id, change), tasks) in changes.iter().take(MAX_LINES_PER_INPUT) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let team = &job.spec.team;
            match change {
                AssignmentChange::Placed(origin) => {
                    let held = usage.team(team).copied().unwrap_or_default();
                    let (used, max) = (held.used.amounts(), held.share);
                    tracing::info!(%token, job = %id, %team, tasks, attempt = %job.attempt, %origin, gpus = used.gpus, gpus_max = max.gpus_max, cpus = used.cpus, cpus_max = max.cpus_max, "tasks placed");
                }
                AssignmentChange::Removed(reason) => {
                    tracing::info!(%token, job = %id, %team, tasks, %reason, "tasks removed from their machines");
                }
            }
        }
        let omitted = changes.len().saturating_sub(MAX_LINES_PER_INPUT);
        if omitted > 0 {
            tracing::info!(%token, omitted, "further changes of assignments are not logged");
        }
    }

    /// Logs what each team uses by the records that this leader has loaded. The records can
    /// show more than a team's limit: a start is stored before the removal that made room
    /// for it.
    pub fn log_loaded_usage(&self, token: FencingToken) {
        for (team, held) in self.quota_usage().teams() {
            let (used, max) = (held.used.amounts(), held.share);
            let over_limit = !max.allows(&used);
            tracing::info!(%token, %team, gpus = used.gpus, gpus_max = max.gpus_max, cpus = used.cpus, cpus_max = max.cpus_max, over_limit, "usage of a team in the loaded records");
        }
    }
}

#[cfg(test)]
mod tests;
