//! Machines with room for a task, best first.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::core::placement_tables::MachineRow;
use crate::types::{Resources, TimeSpan, Zone};
use std::collections::HashMap;

/// Rows with room for a need.
#[derive(Debug)]
pub(super) struct RowsWithRoom {
    pub(super) need: Resources,
    pub(super) rows: Vec<usize>,
    /// How many tasks they took when they were looked for: no more will fit.
    pub(super) most: u64,
    /// And those of the zone that took most.
    pub(super) most_in_zone: u64,
}

/// A fetch that is over within this time hardly delays a start.
const WARM: TimeSpan = TimeSpan::millis(3000);

/// Which machines a pass may use.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementScope {
    /// Any, by fetch cost.
    Any,
    /// Only where the image is, or will be within moments.
    Warm,
    /// Only holders of the image.
    Holders,
    /// Holders, and others that pass the idle gate.
    Gated,
}

impl SchedulingCycle<'_> {
    /// Looks anew for rows with room for the smallest of `wants`.
    pub(super) fn look(&mut self, wants: &[PlacementRequest]) {
        let least = wants.iter().filter(|w| !w.tasks.is_empty()).map(|w| w.need);
        let least = least.reduce(|a, b| a.least(&b));
        self.roomy.clear();
        self.open = match least {
            Some(need) => (0..self.rows.len())
                .filter(|&i| need.fits(&self.rows[i].free))
                .collect(),
            None => Vec::new(),
        };
    }

    /// What fetching the image costs on a row.
    pub fn fetch(&self, want: &PlacementRequest, row: &MachineRow) -> TimeSpan {
        row.cache
            .remaining(&want.image, self.pace.now)
            .unwrap_or_else(|| {
                self.estimates
                    .of(&want.image, want.image_gb, Some(row.fetch_rate))
            })
    }

    fn reachable(&self, want: &PlacementRequest, row: &MachineRow, reach: PlacementScope) -> bool {
        let holds = row.cache.remaining(&want.image, self.pace.now).is_some();
        let idle = || {
            let cost = self.fetch(want, row);
            row.last_high
                .is_none_or(|t| self.pace.now.since(t) > TimeSpan(cost.0 / 2))
        };
        match reach {
            PlacementScope::Any => true,
            PlacementScope::Warm => self.fetch(want, row) <= WARM,
            PlacementScope::Holders => holds,
            PlacementScope::Gated => holds || want.overdue || idle(),
        }
    }

    /// Rows with room for a task, best first: the cheapest fetch, then the
    /// tightest fit, so that whole machines stay free for gangs.
    pub(super) fn candidates(
        &self,
        want: &PlacementRequest,
        roomy: usize,
        reach: PlacementScope,
        zone: Option<&Zone>,
    ) -> Vec<usize> {
        let mut rows: Vec<(TimeSpan, i64, bool, usize)> = self.roomy[roomy]
            .rows
            .iter()
            .map(|&i| (i, &self.rows[i]))
            .filter(|(_, r)| want.need.fits(&r.free))
            .filter(|(_, r)| zone.is_none_or(|z| z == &r.zone))
            .filter(|(i, r)| want.allows(r) && self.may_use(*i, &want.job))
            .filter(|(_, r)| self.reachable(want, r, reach))
            .map(|(i, r)| {
                let left = (r.free - want.need).share_of(&r.whole);
                (self.fetch(want, r), (left * 1000.0) as i64, !r.spot, i)
            })
            .collect();
        rows.sort();
        rows.into_iter().map(|(_, _, _, i)| i).collect()
    }

    /// Which list of rows has room for a need.
    pub(super) fn roomy(&mut self, need: Resources) -> usize {
        if let Some(n) = self.roomy.iter().position(|of| of.need == need) {
            // What has filled up since is not looked at again.
            let (rows, list) = (&self.rows, &mut self.roomy[n].rows);
            list.retain(|&i| need.fits(&rows[i].free));
            return n;
        }
        let open = self.open.iter().copied();
        let list: Vec<usize> = open.filter(|&i| need.fits(&self.rows[i].free)).collect();
        let mut by_zone: HashMap<&Zone, u64> = HashMap::new();
        for row in list.iter().map(|&i| &self.rows[i]) {
            *by_zone.entry(&row.zone).or_default() += u64::from(need.count_in(&row.free, u32::MAX));
        }
        let (most, most_in_zone) = (
            by_zone.values().sum(),
            by_zone.values().copied().max().unwrap_or(0),
        );
        self.roomy.push(RowsWithRoom {
            need,
            rows: list,
            most,
            most_in_zone,
        });
        self.roomy.len() - 1
    }
}
