//! The recent arrivals of jobs per class: what reserve capacity and fair shares
//! are computed from. Stored now and then, so that a successor starts with them.

use crate::core::Now;
use crate::core::job_records::Job;
use crate::core::pending_writes::PendingWrites;
use crate::core::quota::arrival_history::{self, ArrivalHistory, MissingArrival};
use crate::types::{Class, MachineTypeName, Team, Time, TimeSpan, WallTime};
use crate::wire::cloud::MachineType;
use std::collections::{BTreeMap, VecDeque};

/// Time between two times at which the arrivals are stored.
const STORE_INTERVAL: TimeSpan = TimeSpan::millis(30_000);
/// Arrivals kept per class.
const MAX_ARRIVALS_PER_CLASS: usize = 2048;

/// A job's arrival, for what is to be expected.
#[derive(Clone, Debug)]
pub(in crate::core) struct Arrival {
    /// When it was accepted.
    pub at: WallTime,
    /// The team that submitted it.
    pub team: Team,
    /// Machines that its tasks fill.
    pub machines: f64,
    /// How long they should run, in seconds.
    pub run_s: f64,
}

/// Arrivals and when they are next stored.
#[derive(Debug)]
pub(in crate::core) struct ArrivalRecorder {
    /// The latest arrivals of each class, oldest first.
    pub by_class: BTreeMap<Class, VecDeque<Arrival>>,
    /// When they are next stored.
    pub store_due: Time,
    /// What was last stored.
    pub stored: serde_json::Value,
}

impl ArrivalRecorder {
    /// Without arrivals.
    pub fn new(now: Time) -> ArrivalRecorder {
        ArrivalRecorder {
            by_class: BTreeMap::new(),
            store_due: now,
            stored: serde_json::Value::Null,
        }
    }

    /// Notes the arrival of a job, by how many machines of these types it fills.
    pub fn record(&mut self, job: &Job, machine_types: &BTreeMap<MachineTypeName, MachineType>) {
        let needs = job.spec.needs();
        let tasks_per_machine = machine_types
            .values()
            .map(|machine_type| needs.count_in(&machine_type.has(), u32::MAX))
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

    /// The arrivals as they are stored, for fair shares over this window.
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

    /// Stores the arrivals now and then, in values of at most `value_bytes`.
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
        let value = self.history(window).store(at.wall, value_bytes);
        if value != self.stored {
            self.stored = value.clone();
            pending_writes.put(arrival_history::ARRIVAL_HISTORY_KEY.into(), value);
        }
    }

    /// Takes over the arrivals that an earlier leader stored, of jobs that are over
    /// by now.
    pub fn load(&mut self, stored: serde_json::Value, window: TimeSpan) {
        match self.history(window).missing(&stored) {
            Some(missing) => {
                for arrival in missing {
                    self.insert(arrival);
                }
            }
            None => {
                tracing::error!(
                    key = arrival_history::ARRIVAL_HISTORY_KEY,
                    "stored arrivals cannot be read; minimum shares begin anew"
                );
            }
        }
        self.stored = stored;
    }

    /// Adds an arrival where it belongs in time.
    fn insert(&mut self, recorded: MissingArrival) {
        let arrivals = self.by_class.entry(recorded.class).or_default();
        let place = arrivals.partition_point(|arrival| arrival.at < recorded.at);
        let arrival = Arrival {
            at: recorded.at,
            team: recorded.team,
            machines: recorded.machines,
            run_s: recorded.run_s,
        };
        arrivals.insert(place, arrival);
        if arrivals.len() > MAX_ARRIVALS_PER_CLASS {
            arrivals.pop_front();
        }
    }
}
