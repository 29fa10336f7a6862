//! A set of task numbers.

use std::collections::BTreeMap;

/// A set of task numbers, kept as ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexRanges {
    spans: BTreeMap<u32, u32>,
    count: u32,
}

impl IndexRanges {
    /// All numbers below `n`.
    pub fn below(n: u32) -> IndexRanges {
        let mut r = IndexRanges::default();
        if n > 0 {
            r.spans.insert(0, n);
            r.count = n;
        }
        r
    }

    fn span_of(&self, i: u32) -> Option<(u32, u32)> {
        let (&a, &b) = self.spans.range(..=i).next_back()?;
        (i < b).then_some((a, b))
    }

    /// Whether `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        self.span_of(i).is_some()
    }

    /// Adds `i`; false if it was there.
    pub fn insert(&mut self, i: u32) -> bool {
        if self.contains(i) {
            return false;
        }
        let mut start = i;
        let mut end = i + 1;
        if let Some((&a, &b)) = self.spans.range(..i).next_back()
            && b == i
        {
            self.spans.remove(&a);
            start = a;
        }
        if let Some(b) = self.spans.remove(&end) {
            end = b;
        }
        self.spans.insert(start, end);
        self.count += 1;
        true
    }

    /// Takes `i` out; false if it was not there.
    pub fn remove(&mut self, i: u32) -> bool {
        let Some((a, b)) = self.span_of(i) else {
            return false;
        };
        self.spans.remove(&a);
        if a < i {
            self.spans.insert(a, i);
        }
        if i + 1 < b {
            self.spans.insert(i + 1, b);
        }
        self.count -= 1;
        true
    }

    /// How many there are.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.spans.iter().flat_map(|(&a, &b)| a..b)
    }

    /// The ranges `[a, b)` within `[low, high)`.
    pub fn within(&self, low: u32, high: u32) -> Vec<(u32, u32)> {
        let first = self.span_of(low).map_or(low, |(a, _)| a);
        self.spans
            .range(first..high)
            .map(|(&a, &b)| (a.max(low), b.min(high)))
            .filter(|(a, b)| a < b)
            .collect()
    }
}

#[cfg(test)]
mod tests;
