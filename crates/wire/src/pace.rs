//! Rates of calls and pauses between tries.

use crate::types::{Span, Time};

/// Allows so many things a second, with bursts.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> Bucket {
        Bucket {
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

/// Grows the pause after each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure; the pause before the next try lies between half of
    /// and all of `first` doubled with each failure, `jitter` in 0..1.
    pub fn failed(&mut self, first: Span, most: Span, jitter: f64) -> Span {
        let full = Span(first.0 << self.failures.min(16)).min(most);
        self.failures = self.failures.saturating_add(1);
        full.scaled(0.5 + jitter / 2.0)
    }

    /// Counts a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_never_gives_more_than_its_rate_and_burst() {
        let mut b = Bucket::new(10.0, 20.0);
        let mut given = 0;
        for ms in 0..10_000 {
            while b.take(Time(ms * 1000), 1.0) {
                given += 1;
            }
        }
        assert!((119..=120).contains(&given), "{given}");
    }

    #[test]
    fn pauses_double_up_to_the_most() {
        let mut b = Backoff::default();
        let pause = |b: &mut Backoff| {
            b.failed(Span::millis(100), Span::millis(500), 1.0)
                .as_millis()
        };
        assert_eq!(
            [pause(&mut b), pause(&mut b), pause(&mut b), pause(&mut b)],
            [100, 200, 400, 500]
        );
        b.succeeded();
        assert_eq!(pause(&mut b), 100);
    }
}
