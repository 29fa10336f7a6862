//! In which order jobs of the same rank are placed, by the service objectives of
//! their classes.

use crate::core::job_records::Job;
use crate::settings::{Objective, ObjectiveKind, Settings};
use crate::types::{Class, Resources, Time, TimeSpan, WallTime};
use std::collections::HashMap;

/// Puts a job that has missed an objective behind all that have not; in milliseconds.
const MISSED_PENALTY_MS: i64 = 1 << 48;
/// By when a job without objective and deadline should start, in seconds.
const DEFAULT_DEADLINE_S: f64 = 600.0;

/// The objectives that decide who goes first, looked up by class: in a rush thousands
/// of jobs wait, and each cycle asks for every one of them.
pub(super) struct JobObjectives<'a> {
    by_class: HashMap<&'a Class, Vec<&'a Objective>>,
    guarantees: Vec<TimeSpan>,
    small_first: f64,
    fleet: Resources,
}

impl<'a> JobObjectives<'a> {
    /// The objectives of these settings, where all machines together have `fleet`;
    /// `small_first` is the policy's weight of a job's size.
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

    fn of(&self, job: &Job) -> impl Iterator<Item = &'a Objective> {
        let objectives = self.by_class.get(&job.spec.class);
        objectives.into_iter().flatten().copied()
    }

    /// Orders jobs of the same rank. Each objective for a job's class gives a time
    /// by which its tasks should start. The job whose next such time comes
    /// first goes first, but one that has missed an objective goes behind those that
    /// have not: in a rush, work that is late anyway must not make the rest
    /// late too. Large jobs go later by what they would take of the fleet: when
    /// not all can be on time, the small ones are more.
    pub fn order(&self, wall: WallTime, job: &Job) -> i64 {
        let age = wall.0 as i64 - job.accepted_at.0 as i64;
        let due_times = self.due_times(job);
        let missed = due_times.iter().filter(|due| **due < age).count() as i64;
        let next = due_times.iter().filter(|due| **due >= age).min();
        let waiting = f64::from(job.waiting.len());
        let fleet_share = waiting * job.spec.needs().share_of(&self.fleet);
        let size = whole_ms(fleet_share * job.spec.estimate_s * self.small_first);
        // What has missed everything goes by age.
        missed * MISSED_PENALTY_MS + job.accepted_at.0 as i64 + next.copied().unwrap_or(0) + size
    }

    /// By when a job should start, in milliseconds after it was accepted: one time for
    /// each objective.
    fn due_times(&self, job: &Job) -> Vec<i64> {
        let run = whole_ms(job.spec.estimate_s);
        let has_started = !job.done.is_empty() || !job.assignments.is_empty();
        let due =
            |objective: &Objective| match (objective.kind, objective.within, job.spec.deadline_s) {
                (ObjectiveKind::Wait, Some(within), _) if !has_started => {
                    Some(whole_ms(within.as_secs()))
                }
                (ObjectiveKind::Finished, Some(within), _) => {
                    Some(whole_ms(within.as_secs()) - run)
                }
                (ObjectiveKind::Deadline, _, Some(deadline_s)) => {
                    Some(whole_ms(deadline_s * objective.times) - run)
                }
                _ => None,
            };
        let mut due_times: Vec<i64> = self.of(job).filter_map(due).collect();
        if due_times.is_empty() {
            let deadline_s = job.spec.deadline_s.unwrap_or(DEFAULT_DEADLINE_S);
            due_times.push(whole_ms(deadline_s) - run);
        }
        due_times
    }

    /// When a job's tasks must run for its next objective about starting to be met:
    /// that of its class, or of work within a guarantee.
    pub fn start_by(&self, now: Time, wall: WallTime, job: &Job) -> Option<Time> {
        if !job.done.is_empty() {
            return None;
        }
        let age = TimeSpan::millis(wall.0.saturating_sub(job.accepted_at.0));
        let of_class = self
            .of(job)
            .filter(|objective| objective.kind == ObjectiveKind::Wait)
            .filter_map(|objective| objective.within);
        let of_guarantee = self.guarantees.iter().copied();
        let of_guarantee = of_guarantee.filter(|_| job.notes.within_guarantee);
        let ahead = of_class.chain(of_guarantee).filter(|within| *within > age);
        let next = ahead.min()?;
        Some(now + TimeSpan(next.0 - age.0))
    }
}

/// Milliseconds in so many seconds, within bounds that sums cannot overflow.
fn whole_ms(seconds: f64) -> i64 {
    (seconds * 1000.0).clamp(0.0, 1e10) as i64
}
