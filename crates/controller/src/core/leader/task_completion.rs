//! How tasks leave their machines: done, ended early, or proven gone.

use super::task_lifecycle::RemovalReason;
use crate::core::Now;
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::leader::Leader;
use crate::core::machine::*;
use crate::types::{MachineId, TaskId, Time, TimeSpan, Zone};
use crate::wire::cloud::MachineStage;
use crate::wire::workers::{ReportedTask, StopReason};
use std::collections::BTreeMap;

/// Failures of different jobs that make a machine suspect.
const SUSPECT: usize = 2;
/// How long a failure counts against a machine.
const FAULT_LIFE: TimeSpan = TimeSpan::millis(600_000);
/// Machines of one zone that may fall silent in one look and still count as
/// faulty themselves.
const MOST_AT_ONCE: usize = 3;
/// Machines of one job's failures that are remembered.
const MOST_FAILED_ON: usize = 4;

impl Leader {
    pub(super) fn exited(&mut self, now: Now, task: &TaskId, t: &ReportedTask) {
        let (now, wall) = (now.time, now.wall);
        let why = t.why.unwrap_or(StopReason::Unknown);
        let Some(job) = self.cluster.jobs.get(&task.job) else {
            return;
        };
        let Some(place) = job.assignments.get(&task.index).cloned() else {
            return;
        };
        if why == StopReason::Done && !job.is_service() {
            self.cluster
                .record_task_gone(now, task, RemovalReason::Done);
            if self.cluster.jobs[&task.job].is_gang() {
                // They complete together.
                for index in 0..self.cluster.jobs[&task.job].spec.tasks {
                    self.cluster.record_task_done(
                        now,
                        &TaskId {
                            job: task.job.clone(),
                            index,
                        },
                    );
                }
            } else {
                self.cluster.record_task_done(now, task);
            }
            return;
        }
        if !matches!(why, StopReason::Stopped | StopReason::Done) {
            tracing::info!(task = %task, machine = %place.machine, ?why, team = %job.spec.team, "task ended early");
        }
        self.cluster
            .record_task_gone(now, task, RemovalReason::Exited);
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let mut suspect = None;
        match why {
            StopReason::Error | StopReason::Unknown => {
                job.notes.failures += 1;
                let pause = TimeSpan::secs(f64::from(1 << job.notes.failures.min(6)) / 2.0);
                job.notes.not_before = now + pause;
                // A job that fails everywhere must not use up the machines:
                // only its latest few failures count for it, and one job
                // alone never makes a machine suspect.
                job.notes.failed_on.insert(place.machine.clone());
                if job.notes.failed_on.len() > MOST_FAILED_ON {
                    job.notes.failed_on.clear();
                }
                if let Some(m) = self.cluster.machines.get_mut(&place.machine) {
                    m.faults.insert(task.job.clone(), now);
                    m.faults.retain(|_, t| now.since(*t) < FAULT_LIFE);
                    if m.faults.len() >= SUSPECT && m.lifecycle == MachineLifecycle::InService {
                        tracing::info!(machine = %place.machine, "put aside: several jobs failed on it");
                        m.lifecycle = MachineLifecycle::Draining;
                        suspect = Some(place.machine.clone());
                    }
                }
            }
            StopReason::NoRoom | StopReason::Busy => {
                job.notes.not_before = now + TimeSpan::secs(1.0);
            }
            StopReason::Done | StopReason::Stopped | StopReason::Peers | StopReason::Alone => {}
        }
        if let Some(id) = suspect {
            let pending_writes = &mut self.autoscaler.intents.pending_writes;
            self.quarantine.drain(pending_writes, &id, wall);
        }
    }

    /// Writes off machines whose workers must have ended their tasks.
    pub fn expire(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        let mut lease = self.cluster.settings.workers.lease.scaled(1.0005) + TimeSpan::secs(1.0);
        let inherited = self.office + self.authority.inherited();
        let mut dead = Vec::new();
        for (id, m) in &mut self.cluster.machines {
            if m.lost || m.tasks.is_empty() {
                continue;
            }
            let failed = matches!(m.listed, Some((MachineStage::Failed, _)));
            if !failpoints::enforced(SafetyCheck::LeaseBeforeWriteOff) {
                lease = TimeSpan::secs(3.0);
            }
            let (due, proof) = if let Some(since) = m.our_token_since {
                // Older leaders' answers are dropped by a worker that has
                // seen our token, so only our own renew its lease.
                // Before it had our token an older leader may have done so:
                // a direct command can bring the token without a 200 of ours.
                (
                    m.answered.max(Some(since)).unwrap_or(now) + lease,
                    RemovalReason::LeaseExpired,
                )
            } else {
                // An older leader may have answered it until it noticed.
                let has_our_token = m.answered.map_or(Time(0), |t| t + lease);
                (
                    inherited.max(has_our_token),
                    RemovalReason::SilentSincePreviousLeader,
                )
            };
            if failed || now >= due {
                let proof = if failed {
                    RemovalReason::MachineFailed
                } else {
                    proof
                };
                tracing::info!(machine = %id, reason = %proof, tasks = m.tasks.len(), "machine presumed dead");
                m.lost = true;
                m.has_our_token = false;
                m.cache.clear();
                dead.push((id.clone(), proof));
            }
        }
        self.strike(effects.now, dead.iter().map(|(id, _)| id));
        for (id, proof) in dead {
            self.cluster.write_off_machine(now, &id, proof);
        }
    }

    /// Remembers machines that fell silent for as long as a lease. Where many of
    /// a zone do so at once it is the zone's fault, not theirs.
    fn strike<'a>(&mut self, now: Now, dead: impl Iterator<Item = &'a MachineId>) {
        let mut by_zone: BTreeMap<Option<Zone>, Vec<&MachineId>> = BTreeMap::new();
        for id in dead {
            let zone = self.cluster.machines.get(id).and_then(|m| m.zone.clone());
            by_zone.entry(zone).or_default().push(id);
        }
        for id in by_zone
            .into_values()
            .filter(|v| v.len() <= MOST_AT_ONCE)
            .flatten()
        {
            let pending_writes = &mut self.autoscaler.intents.pending_writes;
            if let Some(pause) = self.quarantine.strike(pending_writes, id, now.wall)
                && let Some(m) = self.cluster.machines.get_mut(id)
            {
                tracing::info!(machine = %id, pause_s = pause.as_secs(), "put aside: silent again and again");
                m.aside = Some(now.time + pause);
            }
        }
    }
}
