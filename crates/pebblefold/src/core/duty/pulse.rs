//! Whether the holder still does what it holds. One that renews its lease and
//! has no processor time left does nothing in time; it hands its duties over
//! by itself, once, and is the more patient the next time.

use crate::types::{Span, Time};

/// Ticks come this often where there is processor time.
const LATE: Span = Span::millis(500);
/// Over this time it is judged.
const WINDOW: Span = Span::millis(20_000);
/// Least time in office before the first handing over; it doubles each time.
const FIRST: Span = Span::millis(30_000);
/// The longest such time.
const LONGEST: Span = Span::millis(960_000);

/// The holder's pulse.
#[derive(Clone, Debug)]
pub struct Pulse {
    last: Option<Time>,
    began: Time,
    /// Time spent in late ticks since then.
    late: Span,
    /// The share of the last whole window that was.
    pub share: f64,
    patience: Span,
    since: Option<Time>,
}

impl Default for Pulse {
    fn default() -> Pulse {
        Pulse {
            last: None,
            began: Time(0),
            late: Span::ZERO,
            share: 0.0,
            patience: FIRST,
            since: None,
        }
    }
}

impl Pulse {
    /// A tick; `holds`: this node holds duties. Whether it is to hand them over.
    pub fn beat(&mut self, now: Time, holds: bool) -> bool {
        let gap = self.last.map_or(Span::ZERO, |t| now.since(t));
        self.last = Some(now);
        if !holds {
            self.since = None;
        }
        let since = *self.since.get_or_insert(now);
        if gap > WINDOW {
            // A process that was stopped altogether says nothing on its share
            // of the processor.
            (self.began, self.late) = (now, Span::ZERO);
            return false;
        }
        if gap > LATE {
            self.late = self.late + gap;
        }
        let window = now.since(self.began);
        if window < WINDOW {
            return false;
        }
        self.share = self.late.as_secs() / window.as_secs();
        (self.began, self.late) = (now, Span::ZERO);
        let over = holds && self.share > 0.5 && now.since(since) >= self.patience;
        if over {
            self.patience = Span(self.patience.0 * 2).min(LONGEST);
            self.since = None;
        }
        over
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Times of handing over within `secs`, ticks coming every `gap`.
    fn handed_over(gap: f64, secs: f64) -> Vec<f64> {
        let mut pulse = Pulse::default();
        let (mut t, mut out) = (0.0, Vec::new());
        while t < secs {
            t += gap;
            if pulse.beat(Time(0) + Span::secs(t), true) {
                out.push(t);
            }
        }
        out
    }

    // A holder out of processor time kept its lease and did everything late,
    // for as long as it lived. All being slow must not make them flap.
    #[test]
    fn a_slow_holder_hands_over_ever_rarer() {
        assert_eq!(handed_over(0.05, 3000.0).len(), 0);
        assert_eq!(handed_over(0.4, 3000.0).len(), 0);
        let slow = handed_over(0.8, 3000.0);
        assert!(slow[0] < 45.0, "{slow:?}");
        assert!((4..8).contains(&slow.len()), "{slow:?}");
    }

    #[test]
    fn one_long_stop_is_no_sign() {
        let mut pulse = Pulse::default();
        for t in [0.0, 10.0, 70.0, 70.1, 95.0] {
            assert!(!pulse.beat(Time(0) + Span::secs(t), true));
        }
    }
}
