//! The recent arrivals of jobs per class: what reserve capacity and fair shares
//! are computed from. Stored now and then, so that a successor starts with them.

use crate::types::{Class, Team, Time, WallTime};
use std::collections::{BTreeMap, VecDeque};

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
}
