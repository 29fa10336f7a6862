//! Whether this controller has the processor time for what it does. A leader that
//! renews its lease and has no time left does nothing in time; it transfers
//! leadership by itself, and is the more patient the next time. Where the processor
//! is slow rather than the work too much, others would do better: then it does so
//! within seconds. Where there is too much to do, each successor would have as much,
//! so it takes half a minute of that, and longer each time.

use crate::types::{Time, TimeSpan};

/// Ticks are less far apart than this where there is processor time.
const LATE_TICK: TimeSpan = TimeSpan::millis(500);
/// The share of late ticks is judged over this time.
const WINDOW: TimeSpan = TimeSpan::millis(20_000);
/// A leader is overloaded whose share of late time in a window is above this.
const MAX_LATE_SHARE: f64 = 0.5;
/// Least time of leadership before the first transfer, and how it grows.
const FIRST_PATIENCE: TimeSpan = TimeSpan::millis(30_000);
const PATIENCE_GROWTH: u64 = 2;
/// The same where the processor is slow.
const FIRST_PATIENCE_IF_SLOW: TimeSpan = TimeSpan::millis(3_000);
const PATIENCE_GROWTH_IF_SLOW: u64 = 4;
/// The longest such time.
const MAX_PATIENCE: TimeSpan = TimeSpan::millis(960_000);
/// A processor is slow that takes this many times what the peers' take.
const SLOW_FACTOR: u64 = 3;

/// Time constant of the decay of recent late time, in seconds.
const LATE_DECAY_S: f64 = 5.0;
/// Recent late time, in seconds, above which a controller counts as overloaded, and
/// below which it no longer does.
const OVERLOADED_ABOVE_S: f64 = 2.0;
const RELIEVED_BELOW_S: f64 = 0.3;

/// How a controller keeps pace.
#[derive(Clone, Debug)]
pub struct SelfHealth {
    last_tick: Option<Time>,
    window_start: Time,
    /// Time spent in late ticks in this window.
    late_in_window: TimeSpan,
    /// The share of the last whole window that was spent in late ticks.
    pub late_share: f64,
    patience: TimeSpan,
    patience_if_slow: TimeSpan,
    /// Since when it leads, or since it last asked for a transfer.
    leading_since: Option<Time>,
    /// What the calibration workload takes here, in microseconds; 0: unknown.
    pub calibration_us: u64,
    /// Whether that is much more than it takes the peers.
    pub is_slow: bool,
    /// Seconds spent in late ticks, which decay with time.
    recent_late_s: f64,
    /// Whether there was recently more to do than could be done.
    pub is_overloaded: bool,
}

impl Default for SelfHealth {
    fn default() -> SelfHealth {
        SelfHealth {
            last_tick: None,
            window_start: Time(0),
            late_in_window: TimeSpan::ZERO,
            late_share: 0.0,
            patience: FIRST_PATIENCE,
            patience_if_slow: FIRST_PATIENCE_IF_SLOW,
            leading_since: None,
            calibration_us: 0,
            is_slow: false,
            recent_late_s: 0.0,
            is_overloaded: false,
        }
    }
}

impl SelfHealth {
    /// Compares with what the calibration workload takes the peers, where known.
    pub fn compare_with_peers(&mut self, peers_us: impl Iterator<Item = u64>) {
        let mut known: Vec<u64> = peers_us.filter(|us| *us > 0).collect();
        known.sort_unstable();
        let median = known.get(known.len() / 2).copied();
        self.is_slow =
            median.is_some_and(|us| self.calibration_us > us.saturating_mul(SLOW_FACTOR));
    }

    /// Records a tick; whether this controller, leading, is to transfer leadership.
    #[must_use]
    pub fn tick(&mut self, now: Time, is_leading: bool) -> bool {
        let gap = self
            .last_tick
            .map_or(TimeSpan::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if !is_leading {
            self.leading_since = None;
        }
        self.update_overload(gap);
        let leading_since = *self.leading_since.get_or_insert(now);
        if gap > WINDOW {
            // A process that was stopped altogether says nothing about its share of the
            // processor.
            self.start_window(now);
            return false;
        }
        if gap > LATE_TICK {
            self.late_in_window = self.late_in_window + gap;
        }
        let leading_for = now.since(leading_since);
        if is_leading && self.is_slow && self.is_overloaded && leading_for >= self.patience_if_slow
        {
            let longer = TimeSpan(self.patience_if_slow.0 * PATIENCE_GROWTH_IF_SLOW);
            self.patience_if_slow = longer.min(MAX_PATIENCE);
            self.leading_since = None;
            return true;
        }
        self.finish_window(now) && is_leading && self.is_late_for(leading_for)
    }

    /// Whether a leader that was late for most of the last window is to go now.
    fn is_late_for(&mut self, leading_for: TimeSpan) -> bool {
        if self.late_share <= MAX_LATE_SHARE || leading_for < self.patience {
            return false;
        }
        let longer = TimeSpan(self.patience.0 * PATIENCE_GROWTH);
        self.patience = longer.min(MAX_PATIENCE);
        self.leading_since = None;
        true
    }

    /// Ends the window if it is whole; whether it was.
    fn finish_window(&mut self, now: Time) -> bool {
        let window = now.since(self.window_start);
        if window < WINDOW {
            return false;
        }
        self.late_share = self.late_in_window.as_secs() / window.as_secs();
        self.start_window(now);
        true
    }

    fn start_window(&mut self, now: Time) {
        self.window_start = now;
        self.late_in_window = TimeSpan::ZERO;
    }

    /// Updates the recent late time by the time since the last tick.
    fn update_overload(&mut self, gap: TimeSpan) {
        let late_s = if gap > LATE_TICK { gap.as_secs() } else { 0.0 };
        self.recent_late_s = self.recent_late_s * (-gap.as_secs() / LATE_DECAY_S).exp() + late_s;
        // One long stop is forgotten at once; it says nothing of what is to come.
        if gap > WINDOW {
            self.recent_late_s = 0.0;
        }
        let threshold = if self.is_overloaded {
            RELIEVED_BELOW_S
        } else {
            OVERLOADED_ABOVE_S
        };
        self.is_overloaded = self.recent_late_s > threshold;
    }
}

#[cfg(test)]
mod tests;
