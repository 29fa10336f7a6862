//! A token bucket: how many calls a second are allowed.

use crate::types::Time;

/// A token bucket: allows `rate` a second on average, and bursts.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            at: Time(0),
        }
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.at).as_secs() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
    }

    /// The most that are allowed at once.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// How many are allowed at once now.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `n` if they are there.
    pub fn take(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        let enough = self.level + 1e-9 >= n;
        if enough {
            self.level -= n;
        }
        enough
    }
}

#[cfg(test)]
mod tests;
