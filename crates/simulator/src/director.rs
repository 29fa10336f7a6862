//! When faults are injected: at a fixed time, or when an event in the traffic triggers them.

use crate::script::{Fault, Moment, What, When};
use pebblefold_controller::types::{Time, TimeSpan};

/// A fault that an event triggers.
#[derive(Debug)]
struct TriggeredFault {
    when: When,
    what: What,
    /// Number of matching events so far; the `nth` triggers the fault.
    occurrences: u32,
}

/// The pending faults of a script.
#[derive(Debug, Default)]
pub struct FaultSchedule {
    /// Faults with a fixed time, the latest first.
    timed: Vec<(Time, What)>,
    triggered: Vec<TriggeredFault>,
}

impl FaultSchedule {
    /// Creates the schedule of a script's faults. A fault with neither a trigger nor a time is
    /// left out.
    pub fn new(faults: &[Fault]) -> FaultSchedule {
        let mut schedule = FaultSchedule::default();
        for fault in faults {
            match (&fault.when, fault.at_s) {
                (Some(when), _) => schedule.triggered.push(TriggeredFault {
                    when: when.clone(),
                    what: fault.what.clone(),
                    occurrences: 0,
                }),
                (None, Some(at)) => schedule
                    .timed
                    .push((Time(0) + TimeSpan::secs(at), fault.what.clone())),
                (None, None) => {}
            }
        }
        // The earliest fault comes last, because `take_due` pops from the end.
        schedule.timed.sort_by_key(|(t, _)| std::cmp::Reverse(*t));
        schedule
    }

    /// Removes and returns the faults whose time has come.
    pub fn take_due(&mut self, now: Time) -> Vec<What> {
        let mut due = Vec::new();
        while self.timed.last().is_some_and(|(t, _)| *t <= now)
            && let Some((_, what)) = self.timed.pop()
        {
            due.push(what);
        }
        due
    }

    /// Whether a pending fault is triggered by this kind of event.
    pub fn has_trigger(&self, moment: Moment) -> bool {
        self.triggered
            .iter()
            .any(|fault| fault.when.moment == moment)
    }

    /// Counts an event, which concerns a job of `class` if any, and removes and returns the
    /// faults that the event triggers.
    pub fn take_triggered(&mut self, now: Time, moment: Moment, class: Option<&str>) -> Vec<What> {
        let mut taken = Vec::new();
        self.triggered.retain_mut(|fault| {
            let matches = fault.when.moment == moment
                && now >= Time(0) + TimeSpan::secs(fault.when.after_s)
                && fault.when.class.as_deref().is_none_or(|c| class == Some(c));
            if !matches {
                return true;
            }
            fault.occurrences += 1;
            if fault.occurrences < fault.when.nth {
                return true;
            }
            taken.push(fault.what.clone());
            false
        });
        taken
    }

    /// Descriptions of the faults that were not injected yet.
    pub fn pending(&self) -> Vec<String> {
        let timed = self
            .timed
            .iter()
            .map(|(t, w)| format!("{} at {} s", w.name(), t.0 / 1_000_000));
        let triggered = self
            .triggered
            .iter()
            .map(|fault| format!("{} at {:?}", fault_name(fault), fault.when.moment));
        timed.chain(triggered).collect()
    }
}

fn fault_name(fault: &TriggeredFault) -> String {
    fault.what.name()
}
