//! One placement cycle, pure: the paper's algorithm over the tables.
//!
//! High-priority work first, grouped by image, groups whose image some machine
//! holds ahead of cold ones, cold ones by estimate. Then, by priority, other
//! work: first on machines that hold its image, then cold ones, fewest holders
//! first, but only on machines without high-priority starts for over half the
//! image's estimate.

use super::placement_tables::{FetchEstimates, MachineRow};
use super::quota::minimum_share::{MinimumShares, ShareGroup};
use crate::settings::TeamShare;
use crate::types::{
    Class, Image, JobId, MachineId, MachineTypeName, Resources, Team, Time, TimeSpan, Zone,
};
use crate::wire::users::Priority;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a job wants placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: Team,
    /// Its class.
    pub class: Class,
    /// Its image.
    pub image: Image,
    /// The image's size.
    pub image_gb: f64,
    /// What each task takes.
    pub need: Resources,
    /// The tasks that wait.
    pub tasks: Vec<u32>,
    /// All of them or none.
    pub gang: bool,
    /// Its priority.
    pub priority: Priority,
    /// Whether it lies within its team's guarantee.
    pub entitled: bool,
    /// Smaller goes first among equals.
    pub order: i64,
    /// Allowed machine types.
    pub kinds: Option<Vec<MachineTypeName>>,
    /// The only allowed zone.
    pub zone: Option<Zone>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone.
    pub most_in_zone: Option<u32>,
    /// Tasks that are or may be in each zone.
    pub in_zones: BTreeMap<Zone, u32>,
    /// May use spot machines.
    pub spot: bool,
    /// Expected run time of a task.
    pub run: TimeSpan,
    /// When it must run for its next aim about starting to be met.
    pub start_by: Option<Time>,
    /// Whether it has waited so long that machines are held for it.
    pub aged: bool,
    /// Whether it has waited so long that nothing that only makes work wait for a better
    /// machine counts for it: not the gate of cold fetches beside high-priority work, nor
    /// that a machine is put aside.
    pub overdue: bool,
    /// Machines to stay away from.
    pub avoid: BTreeSet<MachineId>,
}

/// A decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartDecision {
    /// The job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// Index of the machine's row.
    pub row: usize,
}

/// What a team uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUse {
    /// Everything its tasks take or may take.
    pub used: Resources,
    /// Its guarantee and limit.
    pub share: TeamShare,
}

/// Fixed facts of a cycle.
#[derive(Clone, Copy, Debug)]
pub struct CycleParameters {
    /// Now.
    pub now: Time,
    /// Most that the fetches of one gang may differ.
    pub most_skew: TimeSpan,
}

/// A cycle's state.
#[derive(Debug)]
pub struct SchedulingCycle<'a> {
    /// Fixed facts.
    pub pace: CycleParameters,
    /// The machines.
    pub rows: &'a mut [MachineRow],
    /// The teams.
    pub teams: &'a mut BTreeMap<Team, TeamUse>,
    /// Fetch estimates.
    pub estimates: &'a FetchEstimates,
    /// Decisions so far.
    pub starts: Vec<StartDecision>,
    /// Rows held for a gang that has waited long.
    pub held: BTreeMap<usize, JobId>,
    /// Rows that had room for the smallest want when last looked at. Where
    /// most machines are full, looking at the others is what a cycle costs.
    open: Vec<usize>,
    /// Of these, the ones with room for each need that was looked for: rows
    /// only lose room until the next look, and needs are few.
    roomy: Vec<RowsWithRoom>,
    /// Rows by when they should be free, all and of each zone, for holding:
    /// made when first asked for, void once a row's time changes.
    soonest: Vec<RowsByAvailability>,
    /// Zones with machines.
    zones: BTreeSet<Zone>,
    /// How many rows hold each image, or are fetching it.
    holders: HashMap<Image, usize>,
}

/// Rows with room for a need.
#[derive(Debug)]
struct RowsWithRoom {
    need: Resources,
    rows: Vec<usize>,
    /// How many tasks they took when they were looked for: no more will fit.
    most: u64,
    /// And those of the zone that took most.
    most_in_zone: u64,
}

/// Rows of a zone, or all, that should be free soonest first.
#[derive(Debug)]
struct RowsByAvailability {
    zone: Option<Zone>,
    rows: Vec<usize>,
    /// All before this one are held.
    from: usize,
}

/// A fetch that is over within this time hardly delays a start.
const WARM: TimeSpan = TimeSpan::millis(3000);

/// Which machines a pass may use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlacementScope {
    /// Any, by fetch cost.
    Any,
    /// Only where the image is, or will be within moments.
    Warm,
    /// Only holders of the image.
    Holders,
    /// Holders, and others that pass the idle gate.
    Gated,
}

impl PlacementRequest {
    /// Whether a task of this job may be on this machine at all.
    pub fn allows(&self, row: &MachineRow) -> bool {
        (self.spot || !row.spot)
            && self.zone.as_ref().is_none_or(|z| z == &row.zone)
            && self.kinds.as_ref().is_none_or(|k| k.contains(&row.kind))
            && !self.avoid.contains(&row.id)
            && (self.overdue || !row.aside)
    }

    /// How many more tasks may go to a zone.
    pub fn zone_room(&self, zone: &Zone) -> u32 {
        let there = self.in_zones.get(zone).copied().unwrap_or(0);
        let elsewhere = self.in_zones.iter().any(|(z, &n)| z != zone && n > 0);
        if self.one_zone && elsewhere {
            return 0;
        }
        self.most_in_zone
            .map_or(u32::MAX, |m| m.saturating_sub(there))
    }

    fn rank(
        &self,
    ) -> (
        std::cmp::Reverse<Priority>,
        std::cmp::Reverse<bool>,
        i64,
        JobId,
    ) {
        (
            std::cmp::Reverse(self.priority),
            std::cmp::Reverse(self.entitled),
            self.order,
            self.job.clone(),
        )
    }

    /// Whether what holds for placing this holds for placing `other`, image
    /// and number of tasks apart.
    pub fn is_like(&self, other: &PlacementRequest) -> bool {
        self.priority == other.priority
            && self.entitled == other.entitled
            && self.gang == other.gang
            && self.spot == other.spot
            && self.one_zone == other.one_zone
            && self.most_in_zone == other.most_in_zone
            && self.need == other.need
            && self.team == other.team
            && self.zone == other.zone
            && self.kinds == other.kinds
            && self.in_zones == other.in_zones
            && self.avoid == other.avoid
    }

    fn is_high(&self) -> bool {
        self.priority >= Priority::High
    }
}

impl<'a> SchedulingCycle<'a> {
    /// A cycle over these tables, with nothing placed yet.
    pub fn new(
        pace: CycleParameters,
        rows: &'a mut [MachineRow],
        teams: &'a mut BTreeMap<Team, TeamUse>,
        estimates: &'a FetchEstimates,
    ) -> SchedulingCycle<'a> {
        let mut holders: HashMap<Image, usize> = HashMap::new();
        for image in rows.iter().flat_map(|r| r.cache.known()) {
            match holders.get_mut(image) {
                Some(n) => *n += 1,
                None => {
                    holders.insert(image.clone(), 1);
                }
            }
        }
        SchedulingCycle {
            pace,
            zones: rows.iter().map(|r| r.zone.clone()).collect(),
            open: Vec::new(),
            roomy: Vec::new(),
            soonest: Vec::new(),
            holders,
            rows,
            teams,
            estimates,
            starts: Vec::new(),
            held: BTreeMap::new(),
        }
    }

    /// Zones with machines.
    pub fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    /// Looks anew for rows with room for the smallest of `wants`.
    fn look(&mut self, wants: &[PlacementRequest]) {
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

    /// Runs the cycle; what was placed leaves `wants`.
    pub fn run(&mut self, wants: &mut [PlacementRequest]) {
        self.run_warm(wants);
        self.run_rest(wants);
    }

    /// The cycle's first part: high-priority work where its image is, or
    /// nearly is. Between the parts room may be made where an image is held,
    /// which is often sooner than a fetch elsewhere.
    pub fn run_warm(&mut self, wants: &mut [PlacementRequest]) {
        wants.sort_by_cached_key(PlacementRequest::rank);
        self.look(wants);
        self.high(wants, PlacementScope::Warm);
    }

    /// Before the cycle: classes and teams below their floor, up to it.
    pub fn run_floors(&mut self, wants: &mut [PlacementRequest], floors: &mut MinimumShares) {
        if floors.is_empty() {
            return;
        }
        wants.sort_by_cached_key(PlacementRequest::rank);
        self.look(wants);
        let Some(whole) = self.rows.iter().map(|r| r.whole).reduce(|a, b| a.most(&b)) else {
            return;
        };
        for want in wants.iter_mut().filter(|w| !w.tasks.is_empty()) {
            let groups = ShareGroup::both(&want.class, &want.team);
            let lacks = groups.iter().map(|g| floors.lacks(g)).fold(0.0, f64::max);
            let each = want.need.share_of(&whole);
            // The last task may go a little above the floor, a gang whole.
            let most = if lacks <= 0.0 {
                continue;
            } else if want.gang {
                want.tasks.len()
            } else {
                ((lacks / each).ceil() as usize).min(want.tasks.len())
            };
            let rest = want.tasks.split_off(most);
            self.place(want, PlacementScope::Any);
            let placed = (most - want.tasks.len()) as f64 * each;
            want.tasks.extend(rest);
            groups.iter().for_each(|g| floors.gain(g, placed));
        }
    }

    /// The rest of the cycle.
    pub fn run_rest(&mut self, wants: &mut [PlacementRequest]) {
        self.look(wants);
        self.high(wants, PlacementScope::Any);
        // Without this a gang that needs several machines at once would wait
        // for ever behind smaller work that takes each one as it comes free.
        // What finds too few machines to hold leaves none to a larger one like
        // it: in a rush there are hundreds.
        let mut failed: Vec<PlacementRequest> = Vec::new();
        for want in wants.iter_mut().filter(|w| w.aged) {
            self.place(want, PlacementScope::Any);
            let hopeless =
                |f: &PlacementRequest| want.tasks.len() >= f.tasks.len() && want.is_like(f);
            if want.gang
                && !want.tasks.is_empty()
                && self.held.len() < self.rows.len()
                && !failed.iter().any(hopeless)
                && !self.hold(want)
            {
                failed.push(want.clone());
            }
        }
        for level in [Priority::Normal, Priority::Low] {
            let mut batch: Vec<usize> = (0..wants.len())
                .filter(|&i| wants[i].priority == level)
                .collect();
            for &i in &batch {
                self.place(&mut wants[i], PlacementScope::Holders);
            }
            // Fewest holders first: the rarest image gains most from a fetch.
            batch.sort_by_cached_key(|&i| {
                let w = &wants[i];
                (
                    std::cmp::Reverse(w.entitled),
                    self.holders(&w.image),
                    w.order,
                )
            });
            for &i in &batch {
                self.place(&mut wants[i], PlacementScope::Gated);
            }
        }
    }

    fn high(&mut self, wants: &mut [PlacementRequest], reach: PlacementScope) {
        let mut groups: BTreeMap<Image, Vec<usize>> = BTreeMap::new();
        for (i, w) in wants.iter().enumerate().filter(|(_, w)| w.is_high()) {
            groups.entry(w.image.clone()).or_default().push(i);
        }
        let mut order: Vec<_> = groups
            .into_iter()
            .map(|(image, members)| {
                let first = &wants[members[0]];
                let cold = self.holders(&image) == 0;
                let cost = if cold {
                    self.estimates.of(&image, first.image_gb, None)
                } else {
                    TimeSpan::ZERO
                };
                let key = (std::cmp::Reverse(first.priority), cold, cost, first.order);
                (key, members)
            })
            .collect();
        order.sort();
        for (_, members) in order {
            for i in members {
                self.place(&mut wants[i], reach);
            }
        }
    }

    /// Whether a row is free of holds for other jobs.
    pub fn may_use(&self, row: usize, job: &JobId) -> bool {
        self.held.get(&row).is_none_or(|j| j == job)
    }

    /// Holds the machines that should soonest be free together; false if there
    /// are not enough.
    fn hold(&mut self, want: &PlacementRequest) -> bool {
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

    fn holders(&self, image: &Image) -> usize {
        self.holders.get(image).copied().unwrap_or(0)
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
    fn candidates(
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
    fn roomy(&mut self, need: Resources) -> usize {
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

    /// Places as many tasks as fit, or for a gang all or none.
    fn place(&mut self, want: &mut PlacementRequest, reach: PlacementScope) {
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

#[cfg(test)]
mod tests;
