//! A set of task numbers stored as ranges. Jobs have up to many thousands of tasks, and
//! most sets of tasks consist of a few ranges of consecutive numbers.

use std::collections::BTreeMap;

/// A set of task numbers, kept as disjoint ranges that are not adjacent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexRanges {
    /// Ranges `[start, end)`, as a map from start to end.
    ranges: BTreeMap<u32, u32>,
    /// Number of members of the set.
    count: u32,
}

impl IndexRanges {
    /// The set of all numbers below `end`.
    pub fn below(end: u32) -> IndexRanges {
        let mut set = IndexRanges::default();
        if end > 0 {
            set.ranges.insert(0, end);
            set.count = end;
        }
        set
    }

    /// The range `[start, end)` that contains `index`; `None` if the set does not contain
    /// `index`.
    fn range_containing(&self, index: u32) -> Option<(u32, u32)> {
        let (&start, &end) = self.ranges.range(..=index).next_back()?;
        (index < end).then_some((start, end))
    }

    /// Whether `index` is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.range_containing(index).is_some()
    }

    /// Adds `index` and merges it with adjacent ranges. Returns false if the set already
    /// contained `index`.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let mut start = index;
        let mut end = index + 1;
        if let Some((&left_start, &left_end)) = self.ranges.range(..index).next_back()
            && left_end == index
        {
            self.ranges.remove(&left_start);
            start = left_start;
        }
        if let Some(right_end) = self.ranges.remove(&end) {
            end = right_end;
        }
        self.ranges.insert(start, end);
        self.count += 1;
        true
    }

    /// Removes `index` and splits its range. Returns false if the set did not contain
    /// `index`.
    pub fn remove(&mut self, index: u32) -> bool {
        let Some((start, end)) = self.range_containing(index) else {
            return false;
        };
        self.ranges.remove(&start);
        if start < index {
            self.ranges.insert(start, index);
        }
        if index + 1 < end {
            self.ranges.insert(index + 1, end);
        }
        self.count -= 1;
        true
    }

    /// Number of members.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges.iter().flat_map(|(&start, &end)| start..end)
    }

    /// The ranges `[start, end)` of members, clipped to `[low, high)`.
    pub fn within(&self, low: u32, high: u32) -> Vec<(u32, u32)> {
        let first = self.range_containing(low).map_or(low, |(start, _)| start);
        self.ranges
            .range(first..high)
            .map(|(&start, &end)| (start.max(low), end.min(high)))
            .filter(|(start, end)| start < end)
            .collect()
    }
}

#[cfg(test)]
mod tests;
