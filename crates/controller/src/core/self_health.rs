//! Whether the holder still does what it holds. One that renews its lease and
//! has no processor time left does nothing in time; it hands its duties over
//! by itself, and is the more patient the next time. Where it is the processor
//! that is slow, not the work that is much, others would do better: then it does
//! so within seconds. Where there is too much to do, each successor would have
//! as much, so it takes half a minute of that, and longer each time.

use crate::types::{Time, TimeSpan};

/// Ticks come this often where there is processor time.
const LATE: TimeSpan = TimeSpan::millis(500);
/// Over this time it is judged.
const WINDOW: TimeSpan = TimeSpan::millis(20_000);
/// Least time in office before the first handing over; it doubles each time.
const FIRST: TimeSpan = TimeSpan::millis(30_000);
/// The longest such time.
const LONGEST: TimeSpan = TimeSpan::millis(960_000);
/// Least time in office before a slow processor is reason enough, the first time.
const FIRST_SLOW: TimeSpan = TimeSpan::millis(3_000);
/// A processor that takes so many times what the others' take is slow.
const SLOW: u64 = 3;

/// How soon strain is forgotten, and from which on it counts, and no more does.
const FORGETS_S: f64 = 5.0;
const STRAINED: f64 = 2.0;
const RELIEVED: f64 = 0.3;

/// The holder's pulse.
#[derive(Clone, Debug)]
pub struct SelfHealth {
    last: Option<Time>,
    began: Time,
    /// Time spent in late ticks since then.
    late: TimeSpan,
    /// The share of the last whole window that was.
    pub share: f64,
    patience: TimeSpan,
    patience_slow: TimeSpan,
    since: Option<Time>,
    /// What a fixed piece of work takes here, in microseconds; 0: not known.
    pub effort_us: u64,
    /// Whether that is much more than it takes elsewhere.
    pub slow: bool,
    /// Seconds spent in late ticks, the older ones forgotten by and by.
    strain: f64,
    /// Whether there has lately been more to do than could be done.
    pub strained: bool,
}

impl Default for SelfHealth {
    fn default() -> SelfHealth {
        SelfHealth {
            last: None,
            began: Time(0),
            late: TimeSpan::ZERO,
            share: 0.0,
            patience: FIRST,
            patience_slow: FIRST_SLOW,
            since: None,
            effort_us: 0,
            slow: false,
            strain: 0.0,
            strained: false,
        }
    }
}

impl SelfHealth {
    fn note_strain(&mut self, gap: TimeSpan) {
        let late = if gap > LATE { gap.as_secs() } else { 0.0 };
        self.strain = self.strain * (-gap.as_secs() / FORGETS_S).exp() + late;
        // One long stop is forgotten at once; it says nothing of what is to come.
        if gap > WINDOW {
            self.strain = 0.0;
        }
        let most = if self.strained { RELIEVED } else { STRAINED };
        self.strained = self.strain > most;
    }

    /// What the fixed piece of work takes on the other nodes, where they said so.
    pub fn compare(&mut self, others: impl Iterator<Item = u64>) {
        let mut known: Vec<u64> = others.filter(|us| *us > 0).collect();
        known.sort_unstable();
        let usual = known.get(known.len() / 2).copied();
        self.slow = usual.is_some_and(|us| self.effort_us > us.saturating_mul(SLOW));
    }

    /// A tick; `holds`: this node holds duties. Whether it is to hand them over.
    pub fn beat(&mut self, now: Time, holds: bool) -> bool {
        let gap = self.last.map_or(TimeSpan::ZERO, |t| now.since(t));
        self.last = Some(now);
        if !holds {
            self.since = None;
        }
        self.note_strain(gap);
        let since = *self.since.get_or_insert(now);
        if gap > WINDOW {
            // A process that was stopped altogether says nothing on its share
            // of the processor.
            (self.began, self.late) = (now, TimeSpan::ZERO);
            return false;
        }
        if gap > LATE {
            self.late = self.late + gap;
        }
        if holds && self.slow && self.strained && now.since(since) >= self.patience_slow {
            self.patience_slow = TimeSpan(self.patience_slow.0 * 4).min(LONGEST);
            self.since = None;
            return true;
        }
        let window = now.since(self.began);
        if window < WINDOW {
            return false;
        }
        self.share = self.late.as_secs() / window.as_secs();
        (self.began, self.late) = (now, TimeSpan::ZERO);
        let over = holds && self.share > 0.5 && now.since(since) >= self.patience;
        if over {
            self.patience = TimeSpan(self.patience.0 * 2).min(LONGEST);
            self.since = None;
        }
        over
    }
}

#[cfg(test)]
mod tests;
