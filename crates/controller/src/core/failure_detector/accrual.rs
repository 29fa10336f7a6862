//! How unlikely a silence is, by the spread of the intervals before it.

use crate::types::{Time, TimeSpan};

/// An old interval counts this much less with each one after it.
const FORGETS: f64 = 0.1;
/// No spread is taken to be smaller: what is regular for a while need not stay so.
const LEAST_SPREAD_S: f64 = 0.07;
/// Intervals that must have been seen before a silence says anything.
const LEAST_SEEN: u32 = 4;
/// The largest value given; beyond it numbers mean nothing.
const MOST: f64 = 30.0;

/// The accrual of suspicion about one source of signs of life.
#[derive(Clone, Debug, Default)]
pub struct Accrual {
    last: Option<Time>,
    mean: f64,
    variance: f64,
    seen: u32,
}

impl Accrual {
    /// A sign of life.
    pub fn heard(&mut self, now: Time) {
        if let Some(last) = self.last.replace(now) {
            let interval = now.since(last).as_secs();
            if self.seen == 0 {
                self.mean = interval;
            }
            self.seen += 1;
            let off = interval - self.mean;
            self.mean += FORGETS * off;
            self.variance = (1.0 - FORGETS) * (self.variance + FORGETS * off * off);
        }
    }

    /// A time in which nothing could be heard, whatever was said: it must not
    /// count as silence, nor as an interval.
    pub fn excuse(&mut self, now: Time) {
        if self.last.is_some() {
            self.last = Some(now);
        }
    }

    /// How long nothing was heard.
    pub fn silence(&self, now: Time) -> Option<TimeSpan> {
        self.last.map(|t| now.since(t))
    }

    /// Minus the decimal logarithm of the chance that a source that is well is
    /// silent for so long; 0 while too little was heard. (Hayashibara and others,
    /// "The phi accrual failure detector", with the logistic approximation of the
    /// normal distribution.)
    pub fn phi(&self, now: Time) -> f64 {
        let Some(silence) = self.silence(now).filter(|_| self.seen >= LEAST_SEEN) else {
            return 0.0;
        };
        let spread = self.variance.sqrt().max(LEAST_SPREAD_S);
        let y = (silence.as_secs() - self.mean) / spread;
        let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
        let later = if y > 0.0 {
            e / (1.0 + e)
        } else {
            1.0 - 1.0 / (1.0 + e)
        };
        (-later.log10()).clamp(0.0, MOST)
    }
}

#[cfg(test)]
mod tests;
