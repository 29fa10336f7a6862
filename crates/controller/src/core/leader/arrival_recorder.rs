//! The recent arrivals of jobs per class, from which reserve capacity and minimum shares are
//! computed. They are stored regularly, so that a successor starts with them.

use crate::core::Now;
use crate::core::job_records::Job;
use crate::core::pending_writes::PendingWrites;
use crate::core::quota::arrival_history::{self, ArrivalHistory, MissingArrival};
use crate::types::{Class, MachineTypeName, Team, Time, TimeSpan, WallTime};
use crate::wire::cloud::MachineType;
use std::collections::{BTreeMap, VecDeque};

/// Time between two writes of the arrivals.
const STORE_INTERVAL: TimeSpan = TimeSpan::millis(30_000);
/// Most arrivals kept for one class; beyond that the oldest are dropped.
const MAX_ARRIVALS_PER_CLASS: usize = 2048;

/// The arrival of a job, from which the expected load is computed.
#[derive(Clone, Debug)]
pub(in crate::core) struct Arrival {
    /// When the job was accepted.
    pub at: WallTime,
    /// The team that submitted the job.
    pub team: Team,
    /// The number of machines that the job's tasks fill, fractions included.
    pub machines: f64,
    /// The estimated run time of a task, in seconds.
    pub run_s: f64,
}

/// The arrivals of all classes, and when they are next stored.
#[derive(Debug)]
pub(in crate::core) struct ArrivalRecorder {
    /// The latest arrivals of each class, oldest first.
    pub by_class: BTreeMap<Class, VecDeque<Arrival>>,
    /// When the arrivals are next stored.
    pub store_due: Time,
    /// The record as last stored or loaded; `Null`: none. An unchanged record is not written.
    pub stored: serde_json::Value,
}

impl ArrivalRecorder {
    /// A recorder without arrivals; they are first stored at `now`.
    pub fn new(now: Time) -> ArrivalRecorder {
        ArrivalRecorder {
            by_class: BTreeMap::new(),
            store_due: now,
            stored: serde_json::Value::Null,
        }
    }

    /// Records the arrival of a job. `machine_types`: the job's size is counted in machines of
    /// the type that takes most of the job's tasks.
    pub fn record(&mut self, job: &Job, machine_types: &BTreeMap<MachineTypeName, MachineType>) {
        let needs = job.spec.needs();
        let tasks_per_machine = machine_types
            .values()
            .map(|machine_type| needs.max_count_in(&machine_type.has(), u32::MAX))
            .max()
            .unwrap_or(1)
            .max(1);
        let arrivals = self.by_class.entry(job.spec.class.clone()).or_default();
        arrivals.push_back(Arrival {
            at: job.accepted_at,
            team: job.spec.team.clone(),
            machines: f64::from(job.spec.tasks) / f64::from(tasks_per_machine),
            run_s: job.spec.estimate_s,
        });
        if arrivals.len() > MAX_ARRIVALS_PER_CLASS {
            arrivals.pop_front();
        }
    }

    /// The arrivals in their stored form, for minimum shares over `window`.
    fn history(&self, window: TimeSpan) -> ArrivalHistory {
        let mut history = ArrivalHistory::new(window);
        for (class, arrivals) in &self.by_class {
            for arrival in arrivals {
                let (team, machines) = (&arrival.team, arrival.machines);
                history.record(arrival.at, class, team, machines, arrival.run_s);
            }
        }
        history
    }

    /// Queues a write of the arrivals every `STORE_INTERVAL` if they have changed. `window`: the
    /// time window of the minimum shares; `value_bytes`: most bytes of the record.
    pub fn store_if_due(
        &mut self,
        at: Now,
        window: TimeSpan,
        value_bytes: usize,
        pending_writes: &mut PendingWrites,
    ) {
        if at.time < self.store_due {
            return;
        }
        self.store_due = at.time + STORE_INTERVAL;
        let value = self.history(window).to_stored(at.wall, value_bytes);
        if value != self.stored {
            self.stored = value.clone();
            pending_writes.put(arrival_history::ARRIVAL_HISTORY_KEY.into(), value);
        }
    }

    /// Adds the arrivals that an earlier leader stored and that the loaded jobs do not show:
    /// those of jobs that have ended.
    pub fn load(&mut self, stored: serde_json::Value, window: TimeSpan) {
        match self.history(window).arrivals_missing_here(&stored) {
            Some(missing) => {
                for arrival in missing {
                    self.insert(arrival);
                }
            }
            None => {
                tracing::error!(
                    key = arrival_history::ARRIVAL_HISTORY_KEY,
                    "stored arrivals cannot be read; minimum shares start without them"
                );
            }
        }
        self.stored = stored;
    }

    /// Inserts an arrival of an earlier leader, in the order of time.
    fn insert(&mut self, recorded: MissingArrival) {
        let arrivals = self.by_class.entry(recorded.class).or_default();
        let position = arrivals.partition_point(|arrival| arrival.at < recorded.at);
        let arrival = Arrival {
            at: recorded.at,
            team: recorded.team,
            machines: recorded.machines,
            run_s: recorded.run_s,
        };
        arrivals.insert(position, arrival);
        if arrivals.len() > MAX_ARRIVALS_PER_CLASS {
            arrivals.pop_front();
        }
    }
}
