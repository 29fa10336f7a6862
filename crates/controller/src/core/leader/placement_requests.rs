//! The placement requests of one scheduling cycle, one for each job with waiting tasks, and
//! the reason why a job with waiting tasks gets no request.

use super::cluster_state::ClusterState;
use super::job_objectives::JobObjectives;
use crate::core::Now;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::Job;
use crate::core::leader_authority::LeaderAuthority;
use crate::core::machine::Machine;
use crate::core::scheduling_cycle::PlacementRequest;
use crate::types::{JobId, MachineId, MachineTypeName, Resources, Team, Time, TimeSpan, Zone};
use crate::wire::cloud::MachineType;
use crate::wire::users::{JobShape, Submission};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Most tasks in the placement request of a job that is not a gang.
const MAX_TASKS_PER_REQUEST: usize = 512;
/// After how many times the patience of the policy a job that is not a gang is due for
/// a reservation.
const NON_GANG_PATIENCE_FACTOR: f64 = 10.0;

/// What a request is computed from, besides the job.
struct RequestInputs<'a> {
    at: Now,
    objectives: JobObjectives<'a>,
    /// Waiting time after which a gang is due for a reservation, and any job
    /// counts as overdue.
    patience: TimeSpan,
    /// How long a gang's promised start stays valid after it has passed. After that a new
    /// start is predicted: the estimates were so wrong that machines would stay idle.
    promise_slack: TimeSpan,
    /// After how long a job that found only reserved room may use some of that room.
    held_back_limit: TimeSpan,
    /// Whether earlier failures keep work away from any machine.
    has_open_circuit: bool,
    /// The machines that jobs may use in place of those on which they failed.
    alternatives: &'a [AlternativeMachine<'a>],
}

/// What decides whether a machine could run a task, whatever room it has now.
struct AlternativeMachine<'a> {
    id: &'a MachineId,
    zone: &'a Zone,
    spot: bool,
    machine_type: &'a MachineType,
}

impl ClusterState {
    /// The requests of all open jobs with waiting tasks that may be placed. Any other open
    /// job with waiting tasks gets the reason as `waiting_reason`.
    pub fn placement_requests(
        &mut self,
        at: Now,
        authority: &LeaderAuthority,
    ) -> Vec<PlacementRequest> {
        self.mark_within_guarantee();
        let fleet = self.fleet_resources();
        let has_open_circuit = self.has_open_circuit();
        let alternatives = if self.jobs.values().any(waits_after_failure) {
            let silence = self.max_silence();
            alternatives(at.time, silence, &self.machines, &self.machine_types)
        } else {
            Vec::new()
        };
        let inputs = RequestInputs {
            at,
            objectives: JobObjectives::new(&self.settings, self.policy.small_first, fleet),
            patience: TimeSpan::secs(self.policy.patience_s),
            promise_slack: TimeSpan::secs(self.policy.promise_slack_s),
            held_back_limit: TimeSpan::secs(self.policy.held_back_s),
            has_open_circuit,
            alternatives: &alternatives,
        };
        let mut requests = Vec::new();
        let waiting = self.jobs.iter_mut();
        for (id, job) in waiting.filter(|(_, job)| job.is_open() && !job.waiting.is_empty()) {
            job.scheduling.waiting_since.get_or_insert(at.time);
            if let Some(reason) = blocking_reason(at.time, authority, id, job) {
                job.scheduling.waiting_reason = reason;
                continue;
            }
            let Some(tasks_in_zones) = tasks_in_zones(&self.machines, job) else {
                job.scheduling.waiting_reason = "the zone of one of its tasks is not known yet";
                continue;
            };
            job.scheduling.waiting_reason = "no room";
            requests.push(inputs.request(id, job, tasks_in_zones));
        }
        requests
    }

    fn has_open_circuit(&self) -> bool {
        let mut machines = self.machines.values();
        machines.any(|machine| machine.circuit_breaker.is_open())
    }

    /// Marks the open jobs within their team's guaranteed quota: those that fit into the
    /// quota together with all open jobs of the team that were accepted earlier.
    fn mark_within_guarantee(&mut self) {
        let mut open: Vec<&mut Job> = self.jobs.values_mut().filter(|j| j.is_open()).collect();
        // The sort is stable and the jobs are ordered by id, so the id decides among jobs
        // accepted at the same time.
        open.sort_by_key(|job| job.accepted_at);
        let mut needs_by_team: HashMap<Team, Resources> = HashMap::new();
        for job in open {
            let Some(share) = self.settings.teams.get(&job.spec.team) else {
                continue;
            };
            let team_needs = needs_by_team.entry(job.spec.team.clone()).or_default();
            let with_job = *team_needs + job.spec.needs().times(f64::from(job.spec.tasks));
            job.scheduling.within_guarantee = share.guarantees(&with_job);
            *team_needs = with_job;
        }
    }
}

/// Whether tasks of the job wait of which some have failed on a machine.
fn waits_after_failure(job: &Job) -> bool {
    job.is_open() && !job.waiting.is_empty() && !job.scheduling.failed_on.is_empty()
}

/// The machines that work may be placed on now without restriction.
fn alternatives<'a>(
    now: Time,
    silence: TimeSpan,
    machines: &'a BTreeMap<MachineId, Machine>,
    types: &'a BTreeMap<MachineTypeName, MachineType>,
) -> Vec<AlternativeMachine<'a>> {
    let schedulable = machines
        .iter()
        .filter(|(_, machine)| machine.is_schedulable(now, silence));
    let alternatives = schedulable.filter_map(|(id, machine)| {
        Some(AlternativeMachine {
            id,
            zone: machine.zone.as_ref()?,
            spot: machine.spot,
            machine_type: types.get(machine.machine_type.as_ref()?)?,
        })
    });
    alternatives.collect()
}

impl AlternativeMachine<'_> {
    /// Whether the machine could run a task of this job.
    fn fits(&self, spec: &Submission) -> bool {
        let allowed = spec.kinds.as_ref();
        (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|zone| zone == self.zone)
            && allowed.is_none_or(|allowed| allowed.contains(&self.machine_type.name))
            && spec.needs().fits_within(&self.machine_type.has())
    }
}

impl RequestInputs<'_> {
    /// The machines on which the job failed lately; none if no other machine could run it,
    /// since it would then never be tried again.
    fn avoided_machines(&self, job: &Job) -> BTreeSet<MachineId> {
        let failed_on = &job.scheduling.failed_on;
        let mut others = self.alternatives.iter();
        let has_alternative =
            others.any(|other| other.fits(&job.spec) && !failed_on.contains(other.id));
        if !has_alternative && failpoints::enforced(SafetyCheck::AgedWorkSkipsPreferences) {
            return BTreeSet::new();
        }
        failed_on.clone()
    }

    /// Whether the job waits, has got no machine for the patience of the policy, and could
    /// use machines that earlier failures keep it from.
    fn is_stalled(&self, job: &Job) -> bool {
        let waits_since = job.scheduling.waiting_since.max(job.scheduling.last_placed);
        let has_waited = waits_since.is_some_and(|since| self.at.time.since(since) > self.patience);
        has_waited
            && (self.has_open_circuit || !job.scheduling.failed_on.is_empty())
            && failpoints::enforced(SafetyCheck::AgedWorkSkipsPreferences)
    }

    fn request(
        &self,
        id: &JobId,
        job: &Job,
        tasks_in_zones: BTreeMap<Zone, u32>,
    ) -> PlacementRequest {
        let spec = &job.spec;
        let waited_longer_than = |span: TimeSpan| {
            let since = job.scheduling.waiting_since;
            since.is_some_and(|since| self.at.time.since(since) > span)
        };
        let aged_after = if job.is_gang() {
            self.patience
        } else {
            self.patience.scaled(NON_GANG_PATIENCE_FACTOR)
        };
        PlacementRequest {
            job: id.clone(),
            team: spec.team.clone(),
            class: spec.class.clone(),
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            need: spec.needs(),
            tasks: tasks_to_place(job),
            gang: spec.shape == JobShape::Gang,
            priority: spec.priority,
            within_guarantee: job.scheduling.within_guarantee,
            order: self.objectives.order(self.at.wall, job),
            machine_types: spec.kinds.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            max_per_zone: spec.spread.then(|| spec.max_tasks_per_zone()),
            tasks_in_zones,
            spot: spec.spot,
            run_time: (spec.shape != JobShape::Service).then(|| TimeSpan::secs(spec.estimate_s)),
            start_by: self.objectives.start_by(self.at.time, self.at.wall, job),
            reservation_due: waited_longer_than(aged_after),
            // The gate for cold images in the paper (see `scheduling_cycle`) has no time
            // limit: during a stream of urgent starts a cold fetch would wait for ever,
            // although machines have room. And where all machines are quarantined, a
            // quarantined machine is better than none.
            overdue: waited_longer_than(self.patience)
                && failpoints::enforced(SafetyCheck::AgedWorkSkipsPreferences),
            promised_start: job
                .scheduling
                .promised_start
                .filter(|promised| self.at.time <= *promised + self.promise_slack),
            held_back_too_long: job
                .scheduling
                .held_back_since
                .is_some_and(|since| self.at.time.since(since) >= self.held_back_limit),
            stalled: self.is_stalled(job),
            avoid: self.avoided_machines(job),
        }
    }
}

/// The tasks of a job's next request: all waiting tasks of a gang, as a gang is placed whole;
/// at most `MAX_TASKS_PER_REQUEST` of another job.
fn tasks_to_place(job: &Job) -> Vec<u32> {
    if job.is_gang() {
        job.waiting.iter().collect()
    } else {
        job.waiting.iter().take(MAX_TASKS_PER_REQUEST).collect()
    }
}

/// Why a job's waiting tasks may not be placed now, as shown to operators; `None` if they may.
fn blocking_reason(
    now: Time,
    authority: &LeaderAuthority,
    id: &JobId,
    job: &Job,
) -> Option<&'static str> {
    if job.unreadable {
        return Some("a record of it cannot be read");
    }
    if authority.is_reported_cancelled(id) {
        return Some("it is cancelled, as a peer says");
    }
    if now < job.scheduling.not_before {
        return Some("it failed lately");
    }
    if job.is_gang() && !job.assignments.is_empty() {
        return Some("its last attempt is not gone yet");
    }
    None
}

/// How many of a job's assigned tasks are in each zone. `None`: the zone of one of these
/// tasks is not known, and the job's placement rules (`one_zone`, `spread`) depend on it.
pub(super) fn tasks_in_zones(
    machines: &BTreeMap<MachineId, Machine>,
    job: &Job,
) -> Option<BTreeMap<Zone, u32>> {
    let mut tasks_in_zones = BTreeMap::new();
    let counted = failpoints::enforced(SafetyCheck::AssignmentsBindZones);
    for assignment in job.assignments.values().filter(|_| counted) {
        let machine = machines.get(&assignment.machine);
        match machine.and_then(|machine| machine.zone.clone()) {
            Some(zone) => *tasks_in_zones.entry(zone).or_default() += 1,
            None if job.spec.one_zone || job.spec.spread => return None,
            None => {}
        }
    }
    Some(tasks_in_zones)
}
