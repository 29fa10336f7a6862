//! The order in which jobs of the same rank are placed, from the service objectives of their
//! classes.

use crate::core::job_records::Job;
use crate::settings::{Objective, ObjectiveKind, Settings};
use crate::types::{Class, Resources, Time, TimeSpan, WallTime};
use std::collections::HashMap;

/// Added to a job's order for each missed objective, in milliseconds: larger than any
/// acceptance time, so that the job is placed after all jobs that have missed fewer objectives.
const MISSED_PENALTY_MS: i64 = 1 << 48;
/// Seconds after acceptance within which a job should finish that has neither an objective
/// nor a deadline.
const DEFAULT_DEADLINE_S: f64 = 600.0;

/// The objectives that decide the order of jobs. They are indexed by class, as each cycle looks
/// them up for every waiting job, and at peak load thousands of jobs wait.
pub(super) struct JobObjectives<'a> {
    by_class: HashMap<&'a Class, Vec<&'a Objective>>,
    /// Times within which work inside a guaranteed quota should start.
    guarantees: Vec<TimeSpan>,
    /// Seconds by which a job is placed later for each second in which it would use the whole
    /// fleet.
    small_first: f64,
    fleet: Resources,
}

impl<'a> JobObjectives<'a> {
    /// The objectives of these settings. `fleet`: the total resources of all machines;
    /// `small_first`: the policy's weight of a job's size.
    pub fn new(settings: &'a Settings, small_first: f64, fleet: Resources) -> JobObjectives<'a> {
        let mut by_class: HashMap<&Class, Vec<&Objective>> = HashMap::new();
        for objective in &settings.objectives {
            if let Some(class) = &objective.class {
                by_class.entry(class).or_default().push(objective);
            }
        }
        let guarantees = settings
            .objectives
            .iter()
            .filter(|objective| objective.kind == ObjectiveKind::Guarantee)
            .filter_map(|objective| objective.within)
            .collect();
        JobObjectives {
            by_class,
            guarantees,
            small_first,
            fleet,
        }
    }

    /// The objectives of a job's class.
    fn of_class(&self, job: &Job) -> impl Iterator<Item = &'a Objective> {
        let objectives = self.by_class.get(&job.spec.class);
        objectives.into_iter().flatten().copied()
    }

    /// The sort key among jobs of the same rank: the job with the smallest value is placed first.
    /// Each objective for a job's class gives a time by which its tasks should start, and the
    /// job whose next such time is the earliest is placed first. A job that has missed an
    /// objective is placed after the jobs that have missed none: at peak load, work that is late
    /// anyway must not make other work late too. A large job is placed later, in proportion to
    /// the share of the fleet that it would use: when not all jobs can be on time, more small
    /// jobs than large ones can.
    pub fn order(&self, wall: WallTime, job: &Job) -> i64 {
        let age = wall.0 as i64 - job.accepted_at.0 as i64;
        let due_times = self.due_times(job);
        let missed = due_times.iter().filter(|due| **due < age).count() as i64;
        let next = due_times.iter().filter(|due| **due >= age).min();
        let waiting = f64::from(job.waiting.len());
        let fleet_share = waiting * job.spec.needs().share_of(&self.fleet);
        let size = to_millis(fleet_share * job.spec.estimate_s * self.small_first);
        // Jobs that have missed all their objectives are ordered by age.
        missed * MISSED_PENALTY_MS + job.accepted_at.0 as i64 + next.copied().unwrap_or(0) + size
    }

    /// The times by which a job should start, in milliseconds after its acceptance: one for each
    /// objective, or one from the job's deadline if no objective applies.
    fn due_times(&self, job: &Job) -> Vec<i64> {
        let run = to_millis(job.spec.estimate_s);
        let has_started = !job.done.is_empty() || !job.assignments.is_empty();
        let due_time =
            |objective: &Objective| match (objective.kind, objective.within, job.spec.deadline_s) {
                (ObjectiveKind::Wait, Some(within), _) if !has_started => {
                    Some(to_millis(within.as_secs()))
                }
                (ObjectiveKind::Finished, Some(within), _) => {
                    Some(to_millis(within.as_secs()) - run)
                }
                (ObjectiveKind::Deadline, _, Some(deadline_s)) => {
                    Some(to_millis(deadline_s * objective.times) - run)
                }
                _ => None,
            };
        let mut due_times: Vec<i64> = self.of_class(job).filter_map(due_time).collect();
        if due_times.is_empty() {
            let deadline_s = job.spec.deadline_s.unwrap_or(DEFAULT_DEADLINE_S);
            due_times.push(to_millis(deadline_s) - run);
        }
        due_times
    }

    /// The latest start of a job that still meets its next objective about starting: one of the
    /// job's class, or one for work within a guaranteed quota. `None`: there is no such
    /// objective, all are missed, or a task of the job is done already.
    pub fn start_by(&self, now: Time, wall: WallTime, job: &Job) -> Option<Time> {
        if !job.done.is_empty() {
            return None;
        }
        let age = TimeSpan::millis(wall.0.saturating_sub(job.accepted_at.0));
        let class_limits = self
            .of_class(job)
            .filter(|objective| objective.kind == ObjectiveKind::Wait)
            .filter_map(|objective| objective.within);
        let guarantee_limits = self.guarantees.iter().copied();
        let guarantee_limits = guarantee_limits.filter(|_| job.scheduling.within_guarantee);
        let not_missed = class_limits
            .chain(guarantee_limits)
            .filter(|within| *within > age);
        let next = not_missed.min()?;
        Some(now + TimeSpan(next.0 - age.0))
    }
}

/// Converts seconds to whole milliseconds, clamped to a range in which sums cannot overflow.
fn to_millis(seconds: f64) -> i64 {
    (seconds * 1000.0).clamp(0.0, 1e10) as i64
}
