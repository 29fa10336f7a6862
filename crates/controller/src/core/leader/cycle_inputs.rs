//! What one scheduling cycle reads of the cluster: machines as rows, and what teams
//! use of their quotas.

use super::cluster_state::ClusterState;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::machine::Machine;
use crate::core::placement_tables::MachineRow;
use crate::core::quota::usage::{QuotaUnits, QuotaUsage};
use crate::core::scheduling_cycle::TeamUse;
use crate::types::{MachineId, Resources, Team, Time};
use std::collections::{BTreeMap, HashMap};

impl ClusterState {
    /// The machines that work may be placed on, as the cycle sees them.
    pub fn machine_rows(&self, now: Time) -> Vec<MachineRow> {
        let silence = self.max_silence();
        self.machines
            .iter()
            .filter(|(_, machine)| machine.is_healthy(now, silence))
            .filter_map(|(id, machine)| self.machine_row(now, id, machine))
            .collect()
    }

    /// One machine as a row, if its type and zone are known.
    pub fn machine_row(&self, now: Time, id: &MachineId, machine: &Machine) -> Option<MachineRow> {
        let kind = machine.machine_type.clone()?;
        let machine_type = self.machine_types.get(&kind)?;
        let capacity = machine_type.has();
        Some(MachineRow {
            id: id.clone(),
            machine_type: kind,
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
        })
    }

    /// Predicts what of each row's machine will be free, and when all of that is.
    pub fn predict_availability(&self, now: Time, rows: &mut [MachineRow]) {
        let index = row_index(rows);
        let mut available_at = vec![now; rows.len()];
        let mut unpredictable = vec![Resources::default(); rows.len()];
        for job in self.jobs.values() {
            for assignment in job.assignments.values() {
                let Some(&row) = index.get(&assignment.machine) else {
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

    /// What teams use, counting every place a task may be.
    pub fn team_use(&self) -> BTreeMap<Team, TeamUse> {
        let unused = |share| TeamUse {
            used: Resources::default(),
            share,
        };
        let teams = self.settings.teams.iter();
        let mut teams: BTreeMap<Team, TeamUse> = teams
            .map(|(team, share)| (team.clone(), unused(*share)))
            .collect();
        let ended_count = failpoints::enforced(SafetyCheck::EndedJobsCountForQuota);
        for job in self.jobs.values().filter(|j| ended_count || j.is_open()) {
            if let Some(team) = teams.get_mut(&job.spec.team) {
                team.used += job.spec.needs().times(job.tasks_possibly_running() as f64);
            }
        }
        teams
    }

    /// What teams hold of their quotas, and what of that is being stopped.
    pub fn quota_usage(&self) -> QuotaUsage {
        let mut usage = QuotaUsage::new(&self.settings.teams);
        for job in self
            .jobs
            .values()
            .filter(|job| job.tasks_possibly_running() > 0)
        {
            let assignments = job.assignments.values();
            let stopping = assignments.filter(|a| a.stop.is_some()).count();
            let each = QuotaUnits::of(&job.spec.needs());
            usage.add_tasks(&job.spec.team, each, job.tasks_possibly_running(), stopping);
        }
        usage
    }

    /// What all machines together have that have sent a heartbeat.
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

/// Where each machine stands among the rows.
pub(super) fn row_index(rows: &[MachineRow]) -> HashMap<&MachineId, usize> {
    let rows = rows.iter().enumerate();
    rows.map(|(index, row)| (&row.id, index)).collect()
}
