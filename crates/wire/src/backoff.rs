//! Pauses between retries: exponential backoff with jitter.

use crate::types::TimeSpan;

/// Exponential backoff: the pause doubles with each consecutive failure.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// Failures since the last success.
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the pause before the next attempt. The full pause is
    /// `initial` after the first failure, doubles with each further one, and is at most
    /// `limit`; the returned one lies between half of it (`jitter` 0) and all of it
    /// (`jitter` 1).
    pub fn next_pause(&mut self, initial: TimeSpan, limit: TimeSpan, jitter: f64) -> TimeSpan {
        let full_pause = TimeSpan(initial.0 << self.failures.min(16)).min(limit);
        self.failures = self.failures.saturating_add(1);
        full_pause.scaled(0.5 + jitter / 2.0)
    }

    /// Records a success: the next failure has the initial pause again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
