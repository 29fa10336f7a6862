//! The phi accrual estimate: how unlikely a silence is, given the spread of the
//! intervals between heartbeats before it.

use crate::types::{Time, TimeSpan};

/// Weight of the newest interval in the moving averages.
const SMOOTHING: f64 = 0.1;
/// The spread is never taken to be smaller than this, in seconds: heartbeats that
/// were regular for a while need not stay so.
const MIN_SPREAD_S: f64 = 0.07;
/// Intervals that must have been observed before a silence says anything.
const MIN_INTERVALS: u32 = 4;
/// The largest phi given; larger numbers mean nothing more.
const MAX_PHI: f64 = 30.0;

/// Accrues suspicion about one source of heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Accrual {
    last_heartbeat: Option<Time>,
    /// Moving average of the intervals, in seconds.
    mean: f64,
    /// Moving variance of the intervals, in seconds squared.
    variance: f64,
    /// Intervals observed so far.
    intervals: u32,
}

impl Accrual {
    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Time) {
        let Some(last) = self.last_heartbeat.replace(now) else {
            return;
        };
        let interval = now.since(last).as_secs();
        if self.intervals == 0 {
            self.mean = interval;
        }
        self.intervals += 1;
        let deviation = interval - self.mean;
        self.mean += SMOOTHING * deviation;
        self.variance = (1.0 - SMOOTHING) * (self.variance + SMOOTHING * deviation * deviation);
    }

    /// Excludes the time up to now, in which no heartbeat could be received whatever
    /// was sent: it counts neither as silence nor as an interval.
    pub fn exclude_until(&mut self, now: Time) {
        if self.last_heartbeat.is_some() {
            self.last_heartbeat = Some(now);
        }
    }

    /// Time since the last heartbeat, if there was one.
    pub fn silence(&self, now: Time) -> Option<TimeSpan> {
        self.last_heartbeat.map(|last| now.since(last))
    }

    /// Minus the decimal logarithm of the probability that a source that is alive is
    /// silent for this long; 0 while too few intervals were observed. (Hayashibara
    /// and others, "The phi accrual failure detector", with the logistic
    /// approximation of the normal distribution.)
    pub fn phi(&self, now: Time) -> f64 {
        if self.intervals < MIN_INTERVALS {
            return 0.0;
        }
        let Some(silence) = self.silence(now) else {
            return 0.0;
        };
        let spread = self.variance.sqrt().max(MIN_SPREAD_S);
        let y = (silence.as_secs() - self.mean) / spread;
        let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
        let p_later = if y > 0.0 {
            e / (1.0 + e)
        } else {
            1.0 - 1.0 / (1.0 + e)
        };
        (-p_later.log10()).clamp(0.0, MAX_PHI)
    }
}

#[cfg(test)]
mod tests;
