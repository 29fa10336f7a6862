//! Placing the tasks of one job.

use super::candidates::{PlacementScope, RowsWithRoom};
use super::request::PlacementRequest;
use super::{SchedulingCycle, StartDecision};
use crate::types::{Resources, TimeSpan, Zone};
use std::collections::{BTreeMap, BTreeSet};

impl SchedulingCycle<'_> {
    /// Places as many tasks as fit, or for a gang all or none.
    pub(super) fn place(&mut self, want: &mut PlacementRequest, reach: PlacementScope) {
        if want.tasks.is_empty() {
            return;
        }
        let roomy = self.roomy(want.need);
        let RowsWithRoom {
            most, most_in_zone, ..
        } = self.roomy[roomy];
        // Where rooms are few, most gangs need not be tried.
        let enough = if want.one_zone { most_in_zone } else { most };
        if self.roomy[roomy].rows.is_empty() || (want.gang && enough < want.tasks.len() as u64) {
            return;
        }
        let allowed = self.team_room(want);
        if want.gang && (allowed as usize) < want.tasks.len() {
            return;
        }
        if !want.one_zone {
            let rows = self.candidates(want, roomy, reach, None);
            self.fill(want, &rows, allowed);
            return;
        }
        let taken = want.in_zones.iter().find(|(_, n)| **n > 0);
        let zones: BTreeSet<Zone> = match taken {
            Some((z, _)) => BTreeSet::from([z.clone()]),
            None => self.zones.clone(),
        };
        // The zone where the last image is there first; for arrays the one
        // that takes most tasks.
        let best = zones
            .iter()
            .filter_map(|z| {
                let rows = self.candidates(want, roomy, reach, Some(z));
                let (picked, worst) = self.trial(want, &rows, allowed);
                let enough = !want.gang || picked == want.tasks.len();
                (picked > 0 && enough).then_some((std::cmp::Reverse(picked), worst, z, rows))
            })
            .min();
        if let Some((_, _, _, rows)) = best {
            self.fill(want, &rows, allowed);
        }
    }

    /// How many of its tasks the team's limit leaves room for.
    fn team_room(&self, want: &PlacementRequest) -> u32 {
        let Some(team) = self.teams.get(&want.team) else {
            return 0;
        };
        let left = |limit: Option<f64>, used: f64| limit.map_or(f64::INFINITY, |m| m - used);
        let room = Resources {
            cpus: left(team.share.cpus_max, team.used.cpus),
            gpus: left(team.share.gpus_max, team.used.gpus),
            memory_gb: f64::INFINITY,
        };
        want.need.count_in(&room, want.tasks.len() as u32)
    }

    /// How tasks would be spread over rows: (row, tasks) in order.
    fn spread(&self, want: &PlacementRequest, rows: &[usize], allowed: u32) -> Vec<(usize, u32)> {
        let mut left = (want.tasks.len() as u32).min(allowed);
        let mut zones: BTreeMap<&Zone, u32> = BTreeMap::new();
        let mut out = Vec::new();
        let mut fastest: Option<TimeSpan> = None;
        for &i in rows {
            if left == 0 {
                break;
            }
            let row = &self.rows[i];
            // A gang's tasks wait for the slowest fetch, but only so long.
            if want.gang {
                let cost = self.fetch(want, row);
                let first = *fastest.get_or_insert(cost);
                if cost.0 > first.0 + self.pace.most_skew.0 {
                    continue;
                }
            }
            let used = zones.entry(&row.zone).or_default();
            let room = want.zone_room(&row.zone).saturating_sub(*used);
            let n = want.need.count_in(&row.free, left.min(room));
            if n > 0 {
                *used += n;
                left -= n;
                out.push((i, n));
            }
        }
        out
    }

    fn trial(&self, want: &PlacementRequest, rows: &[usize], allowed: u32) -> (usize, TimeSpan) {
        let spread = self.spread(want, rows, allowed);
        let picked = spread.iter().map(|(_, n)| *n as usize).sum();
        let worst = spread.iter().map(|&(i, _)| self.fetch(want, &self.rows[i]));
        (picked, worst.max().unwrap_or(TimeSpan::ZERO))
    }

    fn fill(&mut self, want: &mut PlacementRequest, rows: &[usize], allowed: u32) {
        let spread = self.spread(want, rows, allowed);
        let total: u32 = spread.iter().map(|(_, n)| *n).sum();
        if want.gang && (total as usize) < want.tasks.len() {
            return;
        }
        for (row, n) in spread {
            for task in want.tasks.drain(..n as usize).collect::<Vec<_>>() {
                self.assign(want, task, row);
            }
        }
    }

    /// Records a start in the tables.
    pub fn assign(&mut self, want: &mut PlacementRequest, task: u32, row: usize) {
        let cost = self.fetch(want, &self.rows[row]);
        let r = &mut self.rows[row];
        r.free -= want.need;
        let work = want.run.scaled(want.need.share_of(&r.whole).min(1.0));
        r.available = r.available.max(self.pace.now) + work + cost;
        self.soonest.clear();
        if r.cache.remaining(&want.image, self.pace.now).is_none() {
            *self.holders.entry(want.image.clone()).or_default() += 1;
        }
        r.cache
            .used(&want.image, want.image_gb, self.pace.now, cost);
        if want.is_high() {
            r.last_high = Some(self.pace.now);
        }
        *want.in_zones.entry(r.zone.clone()).or_default() += 1;
        if let Some(team) = self.teams.get_mut(&want.team) {
            team.used += want.need;
        }
        self.starts.push(StartDecision {
            job: want.job.clone(),
            task,
            row,
        });
    }
}
