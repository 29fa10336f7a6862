//! Service levels of classes and teams: the work that arrived, is overdue and is running, from
//! which minimum shares are computed.

use super::arrival_recorder::{Arrival, ArrivalRecorder};
use super::cluster_state::ClusterState;
use crate::core::job_records::Job;
use crate::core::quota::minimum_share::{ServiceLevel, ShareGroup};
use crate::types::{Class, Resources, Team, TimeSpan, WallTime};
use std::collections::BTreeMap;

/// The service level of each pair of a class and a team. A list without index is enough: there
/// are few pairs and many jobs.
#[derive(Default)]
struct PairServices<'a>(Vec<PairService<'a>>);

struct PairService<'a> {
    class: &'a Class,
    team: &'a Team,
    service: ServiceLevel,
}

impl<'a> PairServices<'a> {
    /// The service level of a pair, inserted if missing.
    fn entry(&mut self, class: &'a Class, team: &'a Team) -> &mut ServiceLevel {
        let is_pair = |pair: &PairService<'_>| pair.class == class && pair.team == team;
        let index = self.0.iter().position(is_pair).unwrap_or_else(|| {
            let service = ServiceLevel::default();
            self.0.push(PairService {
                class,
                team,
                service,
            });
            self.0.len() - 1
        });
        &mut self.0[index].service
    }

    /// The sums for each class and for each team.
    fn by_group(self) -> BTreeMap<ShareGroup, ServiceLevel> {
        let mut groups: BTreeMap<ShareGroup, ServiceLevel> = BTreeMap::new();
        for pair in self.0 {
            for group in ShareGroup::of_job(pair.class, pair.team) {
                groups.entry(group).or_default().add(&pair.service);
            }
        }
        groups
    }
}

impl ClusterState {
    /// The service levels of classes and teams, from the work that arrived within the window of
    /// the minimum shares and the work that is overdue. Empty while no work is overdue, and
    /// where the policy sets no minimum share.
    pub fn service_levels(
        &self,
        wall: WallTime,
        arrivals: &ArrivalRecorder,
    ) -> BTreeMap<ShareGroup, ServiceLevel> {
        let window = TimeSpan::secs(self.policy.floor_window_s);
        let overdue_after = window.scaled(1.0 - self.policy.floor_share);
        let age = |at: WallTime| TimeSpan::millis(wall.0.saturating_sub(at.0));
        let is_overdue = |job: &Job| {
            job.is_open() && !job.waiting.is_empty() && age(job.accepted_at) >= overdue_after
        };
        let Some(largest) = self.largest_machine() else {
            return BTreeMap::new();
        };
        // Usually no work is overdue, and the sums are not needed.
        if self.policy.floor_share <= 0.0 || !self.jobs.values().any(is_overdue) {
            return BTreeMap::new();
        }
        let mut pairs = PairServices::default();
        for (class, arrivals) in &arrivals.by_class {
            let is_recent = |arrival: &&Arrival| age(arrival.at) < window;
            for arrival in arrivals.iter().filter(is_recent) {
                let service = pairs.entry(class, &arrival.team);
                service.arrived_machine_seconds += arrival.machines * arrival.run_s;
            }
        }
        for job in self.jobs.values().filter(|job| job.is_open()) {
            let service = pairs.entry(&job.spec.class, &job.spec.team);
            add_job(service, job, &largest, is_overdue(job));
        }
        pairs.by_group()
    }

    /// The largest amount of each resource among all machine types; `None`: no type is known.
    fn largest_machine(&self) -> Option<Resources> {
        let types = self.machine_types.values();
        types
            .map(|machine_type| machine_type.has())
            .reduce(|a, b| a.component_max(&b))
    }
}

/// Adds the machines that an open job uses, and its waiting work if the job is overdue. Tasks
/// that are being stopped are not counted.
fn add_job(service: &mut ServiceLevel, job: &Job, machine: &Resources, is_overdue: bool) {
    let machines_per_task = job.spec.needs().share_of(machine);
    let assignments = job.assignments.values();
    let remaining = assignments.filter(|a| a.stop.is_none()).count();
    service.used_machines += remaining as f64 * machines_per_task;
    if is_overdue {
        service.overdue_machine_seconds +=
            f64::from(job.waiting.len()) * machines_per_task * job.spec.estimate_s;
        service.priority = service.priority.max(Some(job.spec.priority));
    }
}
