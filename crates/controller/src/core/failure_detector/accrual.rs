//! The phi accrual estimate: how unlikely a silence is, given the mean and the standard
//! deviation of the intervals between earlier heartbeats.

use crate::types::{Time, TimeSpan};

/// Weight of the newest interval in the exponential moving averages, 0 to 1.
const SMOOTHING: f64 = 0.1;
/// Lower bound of the standard deviation, in seconds: heartbeats that were regular for
/// a while may become less regular.
const MIN_STD_DEV_S: f64 = 0.07;
/// Intervals that must have been observed before phi can exceed 0.
const MIN_INTERVALS: u32 = 4;
/// Upper bound of phi. Larger values carry no further information.
const MAX_PHI: f64 = 30.0;

/// The suspicion level of one source of heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PhiAccrual {
    last_heartbeat: Option<Time>,
    /// Exponential moving average of the intervals, in seconds.
    mean_s: f64,
    /// Exponential moving variance of the intervals, in seconds squared.
    variance_s2: f64,
    /// Number of intervals observed so far.
    interval_count: u32,
}

impl PhiAccrual {
    /// Records a heartbeat that arrived at `now`.
    pub fn record_heartbeat(&mut self, now: Time) {
        let Some(last) = self.last_heartbeat.replace(now) else {
            return;
        };
        let interval_s = now.since(last).as_secs();
        if self.interval_count == 0 {
            self.mean_s = interval_s;
        }
        self.interval_count += 1;
        let deviation_s = interval_s - self.mean_s;
        self.mean_s += SMOOTHING * deviation_s;
        self.variance_s2 =
            (1.0 - SMOOTHING) * (self.variance_s2 + SMOOTHING * deviation_s * deviation_s);
    }

    /// Excludes the time up to now, during which no heartbeat could be received whether
    /// or not one was sent: that time counts neither as silence nor as an interval.
    pub fn exclude_until(&mut self, now: Time) {
        if self.last_heartbeat.is_some() {
            self.last_heartbeat = Some(now);
        }
    }

    /// Time since the last heartbeat; `None` before the first one.
    pub fn silence(&self, now: Time) -> Option<TimeSpan> {
        self.last_heartbeat.map(|last| now.since(last))
    }

    /// Minus the decimal logarithm of the probability that a source that is alive is
    /// silent for this long; 0 while too few intervals were observed. (Hayashibara
    /// et al., "The phi accrual failure detector", with the logistic approximation of
    /// the normal distribution.)
    pub fn phi(&self, now: Time) -> f64 {
        if self.interval_count < MIN_INTERVALS {
            return 0.0;
        }
        let Some(silence) = self.silence(now) else {
            return 0.0;
        };
        let std_dev_s = self.variance_s2.sqrt().max(MIN_STD_DEV_S);
        let y = (silence.as_secs() - self.mean_s) / std_dev_s;
        let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
        let p_longer_silence = if y > 0.0 {
            e / (1.0 + e)
        } else {
            1.0 - 1.0 / (1.0 + e)
        };
        (-p_longer_silence.log10()).clamp(0.0, MAX_PHI)
    }
}

#[cfg(test)]
mod tests;
