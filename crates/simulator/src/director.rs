//! When faults strike: at their times, and at the moments they aim at.

use crate::script::{Fault, Moment, What, When};
use pebblefold_controller::types::{Time, TimeSpan};

/// A fault that waits for its moment.
#[derive(Debug)]
struct Armed {
    when: When,
    what: What,
    seen: u32,
}

/// The faults of a script.
#[derive(Debug, Default)]
pub struct Director {
    timed: Vec<(Time, What)>,
    armed: Vec<Armed>,
}

impl Director {
    /// A director of these faults.
    pub fn new(faults: &[Fault]) -> Director {
        let mut d = Director::default();
        for f in faults {
            match (&f.when, f.at_s) {
                (Some(when), _) => d.armed.push(Armed {
                    when: when.clone(),
                    what: f.what.clone(),
                    seen: 0,
                }),
                (None, Some(at)) => d.timed.push((Time(0) + TimeSpan::secs(at), f.what.clone())),
                (None, None) => {}
            }
        }
        // The earliest last, to be taken from the end.
        d.timed.sort_by_key(|(t, _)| std::cmp::Reverse(*t));
        d
    }

    /// Faults whose time has come.
    pub fn due(&mut self, now: Time) -> Vec<What> {
        let mut out = Vec::new();
        while self.timed.last().is_some_and(|(t, _)| *t <= now)
            && let Some((_, what)) = self.timed.pop()
        {
            out.push(what);
        }
        out
    }

    /// Whether any fault still waits for a moment of this kind.
    pub fn waits_for(&self, moment: Moment) -> bool {
        self.armed.iter().any(|a| a.when.moment == moment)
    }

    /// A moment has come; returns the faults that aimed at it.
    pub fn moment(&mut self, now: Time, moment: Moment, class: Option<&str>) -> Vec<What> {
        let mut out = Vec::new();
        self.armed.retain_mut(|a| {
            let fits = a.when.moment == moment
                && now >= Time(0) + TimeSpan::secs(a.when.after_s)
                && a.when.class.as_deref().is_none_or(|c| class == Some(c));
            if !fits {
                return true;
            }
            a.seen += 1;
            if a.seen < a.when.nth {
                return true;
            }
            out.push(a.what.clone());
            false
        });
        out
    }

    /// Faults that have not struck.
    pub fn left(&self) -> Vec<String> {
        let timed = self
            .timed
            .iter()
            .map(|(t, w)| format!("{} at {} s", w.name(), t.0 / 1_000_000));
        let armed = self
            .armed
            .iter()
            .map(|a| format!("{} at {:?}", w_name(a), a.when.moment));
        timed.chain(armed).collect()
    }
}

fn w_name(a: &Armed) -> String {
    a.what.name()
}
