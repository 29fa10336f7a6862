//! The tables that one scheduling cycle reads: machines as rows, and the quota usage of teams.

use super::cluster_state::ClusterState;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::Job;
use crate::core::machine::Machine;
use crate::core::placement_tables::MachineRow;
use crate::core::quota::usage::{QuotaUnits, QuotaUsage};
use crate::core::scheduling_cycle::TeamQuotaState;
use crate::types::{MachineId, Resources, Team, Time};
use std::collections::{BTreeMap, HashMap};

impl ClusterState {
    /// One row for each machine that work may be placed on, also of quarantined machines and
    /// of those that accept a trial.
    pub fn machine_rows(&self, now: Time) -> Vec<MachineRow> {
        let max_silence = self.max_silence();
        self.machines
            .iter()
            .filter(|(_, machine)| {
                machine.is_healthy(now, max_silence) && machine.circuit_breaker.accepts_tasks(now)
            })
            .filter_map(|(id, machine)| self.machine_row(now, id, machine))
            .collect()
    }

    /// The row of one machine; `None` while the machine's type or zone is not known.
    pub fn machine_row(&self, now: Time, id: &MachineId, machine: &Machine) -> Option<MachineRow> {
        let type_name = machine.machine_type.clone()?;
        let machine_type = self.machine_types.get(&type_name)?;
        let capacity = machine_type.has();
        Some(MachineRow {
            id: id.clone(),
            machine_type: type_name,
            zone: machine.zone.clone()?,
            spot: machine.spot,
            capacity,
            free: capacity - machine.unrecorded_usage - machine.allocated,
            available_at: now,
            reservable: capacity,
            last_high_priority_start: machine.last_high_priority,
            cache: machine.cache.clone(),
            fetch_rate: machine_type.fetch_gb_per_s,
            quarantined: machine.is_quarantined(now),
            trial: machine.circuit_breaker.trial_slot(now),
        })
    }

    /// Fills in `available_at` and `reservable` of each row: `reservable` is what will become
    /// free, that is all but the share of tasks without a predictable end; `available_at` is
    /// when all of that is free.
    pub fn predict_availability(&self, now: Time, rows: &mut [MachineRow]) {
        let row_by_machine = row_index(rows);
        let mut available_at = vec![now; rows.len()];
        let mut unpredictable = vec![Resources::default(); rows.len()];
        for job in self.jobs.values() {
            for assignment in job.assignments.values() {
                let Some(&row) = row_by_machine.get(&assignment.machine) else {
                    continue;
                };
                match self.predicted_remaining(now, job, assignment) {
                    Some(remaining) => available_at[row] = available_at[row].max(now + remaining),
                    None => unpredictable[row] += job.spec.needs(),
                }
            }
        }
        for (index, row) in rows.iter_mut().enumerate() {
            row.available_at = available_at[index];
            row.reservable -= unpredictable[index];
        }
    }

    /// The quota and usage of each team. A task counts on every machine where it may be
    /// running, tasks of ended jobs included.
    pub fn team_use(&self) -> BTreeMap<Team, TeamQuotaState> {
        let without_usage = |share| TeamQuotaState {
            used: Resources::default(),
            share,
        };
        let teams = self.settings.teams.iter();
        let mut teams: BTreeMap<Team, TeamQuotaState> = teams
            .map(|(team, share)| (team.clone(), without_usage(*share)))
            .collect();
        for job in self.jobs.values() {
            if let Some(team) = teams.get_mut(&job.spec.team) {
                team.used += quota_needs(job);
            }
        }
        teams
    }

    /// The usage of one team, as in `team_use`.
    pub fn usage_of_team(&self, team: &Team) -> Resources {
        let jobs = self.jobs.values().filter(|job| &job.spec.team == team);
        jobs.fold(Resources::default(), |used, job| used + quota_needs(job))
    }

    /// What each team uses of its quota, and how much of that belongs to tasks that are being
    /// stopped.
    pub fn quota_usage(&self) -> QuotaUsage {
        let mut usage = QuotaUsage::new(&self.settings.teams);
        for job in self
            .jobs
            .values()
            .filter(|job| job.tasks_possibly_running() > 0)
        {
            let assignments = job.assignments.values();
            let stopping = assignments.filter(|a| a.stop.is_some()).count();
            let per_task = QuotaUnits::of(&job.spec.needs());
            usage.add_tasks(
                &job.spec.team,
                per_task,
                job.tasks_possibly_running(),
                stopping,
            );
        }
        usage
    }

    /// The total resources of all machines that have sent a heartbeat.
    pub fn fleet_resources(&self) -> Resources {
        let mut fleet = Resources::default();
        let machines = self.machines.values();
        for machine in machines.filter(|machine| machine.last_heartbeat.is_some()) {
            if let Some(machine_type) = self.type_of(machine) {
                fleet += machine_type.has();
            }
        }
        fleet
    }
}

/// What a job uses of its team's quota.
fn quota_needs(job: &Job) -> Resources {
    if !job.is_open() && !failpoints::enforced(SafetyCheck::EndedJobsCountForQuota) {
        return Resources::default();
    }
    job.spec.needs().times(job.tasks_possibly_running() as f64)
}

/// The index of each machine's row.
pub(super) fn row_index(rows: &[MachineRow]) -> HashMap<&MachineId, usize> {
    let rows = rows.iter().enumerate();
    rows.map(|(index, row)| (&row.id, index)).collect()
}
