//! A token bucket, which limits the rate of calls.

use crate::types::Time;

/// Allows a number of calls per second on average, and bursts up to a limit.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    /// Tokens in the bucket as of the last refill.
    level: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate_per_s` tokens per second and holds at most `burst`
    /// tokens.
    pub fn new(rate_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            burst,
            level: burst,
            refilled_at: Time(0),
        }
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs() * self.rate_per_s;
        self.level = (self.level + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Changes the rate and the burst from now on. Tokens beyond the new burst are lost.
    pub fn set_rate(&mut self, now: Time, rate_per_s: f64, burst: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// The most tokens that the bucket holds.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Tokens in the bucket now.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `n` tokens and returns true if the bucket holds that many; otherwise takes none
    /// and returns false.
    pub fn try_take(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        let is_allowed = self.level + 1e-9 >= n;
        if is_allowed {
            self.level -= n;
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
