//! Holding machines for gangs that have waited for long.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::types::{JobId, Time, Zone};
use std::collections::BTreeMap;

/// Rows of a zone, or all, that should be free soonest first.
#[derive(Debug)]
pub(super) struct RowsByAvailability {
    zone: Option<Zone>,
    rows: Vec<usize>,
    /// All before this one are held.
    from: usize,
}

impl SchedulingCycle<'_> {
    /// Whether a row is free of holds for other jobs.
    pub fn may_use(&self, row: usize, job: &JobId) -> bool {
        self.held.get(&row).is_none_or(|j| j == job)
    }

    /// Holds the machines that should soonest be free together; false if there
    /// are not enough.
    pub(super) fn hold(&mut self, want: &PlacementRequest) -> bool {
        let mut best: Option<(Time, Vec<usize>)> = None;
        for list in self.soonest_for(want) {
            let mut left = want.tasks.len() as u32;
            let mut picked = Vec::new();
            let mut last = self.pace.now;
            let mut in_zones: BTreeMap<&Zone, u32> = BTreeMap::new();
            let list = &self.soonest[list];
            for &i in &list.rows[list.from..] {
                let r = &self.rows[i];
                if left == 0 {
                    break;
                }
                if !self.may_use(i, &want.job) || !want.allows(r) {
                    continue;
                }
                let used = in_zones.entry(&r.zone).or_default();
                let room = want.zone_room(&r.zone).saturating_sub(*used);
                let n = want.need.count_in(&r.whole, left.min(room));
                if n > 0 {
                    *used += n;
                    left -= n;
                    last = r.available;
                    picked.push(i);
                }
            }
            if left == 0 && best.as_ref().is_none_or(|(t, _)| last < *t) {
                best = Some((last, picked));
            }
        }
        let found = best.is_some();
        for i in best.map(|(_, rows)| rows).unwrap_or_default() {
            self.held.insert(i, want.job.clone());
        }
        found
    }

    /// The lists from which rows are held for a want, one a zone if all its
    /// tasks must be in one. In a rush hundreds of gangs look for rows to hold,
    /// so the rows are put in order once for all of them.
    fn soonest_for(&mut self, want: &PlacementRequest) -> Vec<usize> {
        if self.soonest.is_empty() {
            let mut all: Vec<usize> = (0..self.rows.len()).collect();
            all.sort_by_key(|&i| (self.rows[i].available, i));
            let zones = self.zones.iter().cloned().map(Some);
            self.soonest = zones
                .chain([None])
                .map(|zone| {
                    let here = |i: &usize| zone.as_ref().is_none_or(|z| *z == self.rows[*i].zone);
                    let rows = all.iter().copied().filter(here).collect();
                    let from = 0;
                    RowsByAvailability { zone, rows, from }
                })
                .collect();
        }
        let held = &self.held;
        let mut of = Vec::new();
        for (n, list) in self.soonest.iter_mut().enumerate() {
            if list.zone.is_some() == want.one_zone {
                let left = &list.rows[list.from..];
                list.from += left.iter().take_while(|i| held.contains_key(i)).count();
                of.push(n);
            }
        }
        of
    }
}
