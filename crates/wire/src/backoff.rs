//! Pauses between retries: exponential backoff with jitter.

use crate::types::TimeSpan;

/// Grows the pause after each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure; the pause before the next try lies between half of
    /// and all of `first` doubled with each failure, `jitter` in 0..1.
    pub fn failed(&mut self, first: TimeSpan, most: TimeSpan, jitter: f64) -> TimeSpan {
        let full = TimeSpan(first.0 << self.failures.min(16)).min(most);
        self.failures = self.failures.saturating_add(1);
        full.scaled(0.5 + jitter / 2.0)
    }

    /// Counts a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
