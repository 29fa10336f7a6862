//! Whether this controller gets enough processor time for its work. A leader without
//! spare processor time keeps its lease but does everything late, so it transfers
//! leadership, and waits longer before the next transfer. If the processor is slow, a
//! peer would do better, and the leader transfers within seconds. If there is too much
//! work, each successor would have as much of it, so the leader transfers only after half
//! a minute of overload, and waits longer each time.

use crate::types::{Time, TimeSpan};

/// A tick is late if it follows the previous tick by more than this.
const LATE_TICK_GAP: TimeSpan = TimeSpan::millis(500);
/// The window over which the share of late time is measured.
const WINDOW: TimeSpan = TimeSpan::millis(20_000);
/// A leader transfers leadership if the share of late time in a window exceeds this and
/// the leader has led for the minimum tenure.
const MAX_LATE_SHARE: f64 = 0.5;
/// Minimum time of leadership before the first transfer, and its growth factor with each
/// transfer.
const INITIAL_MIN_TENURE: TimeSpan = TimeSpan::millis(30_000);
const MIN_TENURE_GROWTH: u64 = 2;
/// The same on a slow processor.
const INITIAL_MIN_TENURE_IF_SLOW: TimeSpan = TimeSpan::millis(3_000);
const MIN_TENURE_GROWTH_IF_SLOW: u64 = 4;
/// Upper bound of both minimum times.
const MAX_MIN_TENURE: TimeSpan = TimeSpan::millis(960_000);
/// A processor is slow if it takes more than this many times the peers' median for the
/// calibration workload.
const SLOW_FACTOR: u64 = 3;

/// Time constant of the decay of recent late time, in seconds.
const LATE_DECAY_S: f64 = 5.0;
/// Recent late time, in seconds, above which a controller counts as overloaded, and
/// down to which it remains so.
const OVERLOADED_ABOVE_S: f64 = 2.0;
const OVERLOADED_UNTIL_S: f64 = 0.3;

/// Measures whether this controller does its work in time.
#[derive(Clone, Debug)]
pub struct SelfHealth {
    last_tick: Option<Time>,
    window_start: Time,
    /// Time spent in late ticks in the current window.
    late_in_window: TimeSpan,
    /// The share of the last complete window that was spent in late ticks, 0 to 1.
    pub late_share: f64,
    /// Minimum time of leadership before the next transfer.
    min_tenure: TimeSpan,
    /// The same on a slow processor.
    min_tenure_if_slow: TimeSpan,
    /// Since when this controller leads, or since it last requested a transfer.
    leading_since: Option<Time>,
    /// Duration of the calibration workload on this machine, in microseconds; 0: unknown.
    pub calibration_us: u64,
    /// Whether the calibration workload takes much longer here than at the peers.
    pub is_slow: bool,
    /// Time spent in late ticks, in seconds, with exponential decay.
    recent_late_s: f64,
    /// Whether there was recently more work than could be done in time.
    pub is_overloaded: bool,
}

impl Default for SelfHealth {
    fn default() -> SelfHealth {
        SelfHealth {
            last_tick: None,
            window_start: Time(0),
            late_in_window: TimeSpan::ZERO,
            late_share: 0.0,
            min_tenure: INITIAL_MIN_TENURE,
            min_tenure_if_slow: INITIAL_MIN_TENURE_IF_SLOW,
            leading_since: None,
            calibration_us: 0,
            is_slow: false,
            recent_late_s: 0.0,
            is_overloaded: false,
        }
    }
}

impl SelfHealth {
    /// Updates [`SelfHealth::is_slow`] from the peers' durations of the calibration
    /// workload, in microseconds; 0: unknown.
    pub fn compare_with_peers(&mut self, peers_us: impl Iterator<Item = u64>) {
        let mut known: Vec<u64> = peers_us.filter(|us| *us > 0).collect();
        known.sort_unstable();
        let median = known.get(known.len() / 2).copied();
        self.is_slow =
            median.is_some_and(|us| self.calibration_us > us.saturating_mul(SLOW_FACTOR));
    }

    /// Records a tick. True if this controller leads and is to transfer leadership.
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
            // The process was stopped, which does not show how much processor time it
            // gets while it runs.
            self.start_window(now);
            return false;
        }
        if gap > LATE_TICK_GAP {
            self.late_in_window = self.late_in_window + gap;
        }
        let leading_for = now.since(leading_since);
        if is_leading
            && self.is_slow
            && self.is_overloaded
            && leading_for >= self.min_tenure_if_slow
        {
            let prolonged = TimeSpan(self.min_tenure_if_slow.0 * MIN_TENURE_GROWTH_IF_SLOW);
            self.min_tenure_if_slow = prolonged.min(MAX_MIN_TENURE);
            self.leading_since = None;
            return true;
        }
        self.finish_window(now) && is_leading && self.is_transfer_due(leading_for)
    }

    /// Whether a leader is to transfer leadership now, since it was late for most of the
    /// last window. Prolongs the minimum tenure if so.
    fn is_transfer_due(&mut self, leading_for: TimeSpan) -> bool {
        if self.late_share <= MAX_LATE_SHARE || leading_for < self.min_tenure {
            return false;
        }
        let prolonged = TimeSpan(self.min_tenure.0 * MIN_TENURE_GROWTH);
        self.min_tenure = prolonged.min(MAX_MIN_TENURE);
        self.leading_since = None;
        true
    }

    /// Ends the window if it is complete. Returns whether it was.
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

    /// Updates the recent late time; `gap` is the time since the last tick.
    fn update_overload(&mut self, gap: TimeSpan) {
        let late_s = if gap > LATE_TICK_GAP {
            gap.as_secs()
        } else {
            0.0
        };
        self.recent_late_s = self.recent_late_s * (-gap.as_secs() / LATE_DECAY_S).exp() + late_s;
        // A single long stop of the process does not predict overload, and is ignored.
        if gap > WINDOW {
            self.recent_late_s = 0.0;
        }
        let threshold = if self.is_overloaded {
            OVERLOADED_UNTIL_S
        } else {
            OVERLOADED_ABOVE_S
        };
        self.is_overloaded = self.recent_late_s > threshold;
    }
}

#[cfg(test)]
mod tests;
