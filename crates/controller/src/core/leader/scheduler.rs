//! The leader's cycle: from its tables and what waits to starts, stops and
//! orders for machines.

use super::task_lifecycle::StopDurability;
use crate::core::assignment::AssignmentPhase;
use crate::core::effects::Effects;
use crate::core::failpoints::{self, SafetyCheck};
use crate::core::job_records::Job;
use crate::core::leader::Leader;
use crate::core::machine::Machine;
use crate::core::placement_tables::MachineRow;
use crate::core::preemption::{self, Victim, Victims};
use crate::core::quota::Bounds;
use crate::core::quota::minimum_share::{MinimumShares, Service, ShareGroup};
use crate::core::quota::usage::{QuotaUnits, QuotaUsage};
use crate::core::scheduling_cycle::{CycleParameters, PlacementRequest, SchedulingCycle, TeamUse};
use crate::settings::{Objective, ObjectiveKind, Settings};
use crate::types::{
    Attempt, Class, JobId, MachineId, Resources, TaskId, Team, Time, TimeSpan, WallTime,
};
use crate::wire::users::{JobShape, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Seconds that stopping a task soon after its start weighs more.
const FRESH_COST: f64 = 20.0;
/// Puts a job that has missed an aim behind all that have not.
const LATE: i64 = 1 << 48;
/// Most searches for room in one pass of a cycle.
const MOST_SEARCHES: u32 = 64;
/// Most tasks of one job that one cycle looks at.
const MOST_TASKS: usize = 512;

/// Tasks to stop, found while a cycle makes room.
#[derive(Debug, Default)]
struct Stops {
    /// All that may be stopped, once something looks for them.
    victims: Option<Victims>,
    /// Those that are to be.
    taken: BTreeSet<usize>,
    /// How much may be taken in all.
    bounds: Bounds,
}

/// The aims that decide who goes first, looked up by class: in a rush thousands
/// of jobs wait, and each cycle asks for every one of them.
struct Aims<'a> {
    of: HashMap<&'a Class, Vec<&'a Objective>>,
    guarantees: Vec<TimeSpan>,
    small_first: f64,
    fleet: Resources,
}

impl<'a> Aims<'a> {
    fn new(settings: &'a Settings, small_first: f64, fleet: Resources) -> Aims<'a> {
        let mut of: HashMap<&Class, Vec<&Objective>> = HashMap::new();
        for o in &settings.objectives {
            if let Some(class) = &o.class {
                of.entry(class).or_default().push(o);
            }
        }
        let guarantees = settings.objectives.iter();
        let guarantees = guarantees.filter(|o| o.kind == ObjectiveKind::Guarantee);
        Aims {
            of,
            guarantees: guarantees.filter_map(|o| o.within).collect(),
            small_first,
            fleet,
        }
    }

    fn of(&self, job: &Job) -> impl Iterator<Item = &'a Objective> {
        let all = self.of.get(&job.spec.class).into_iter().flatten();
        all.copied()
    }

    /// Orders jobs of the same rank. Each aim for a job's class gives a time
    /// by which its tasks should start. The job whose next such time comes
    /// first goes first, but one that has missed an aim goes behind those that
    /// have not: in a rush, work that is late anyway must not make the rest
    /// late too. Large jobs go later by what they would take of the fleet: when
    /// not all can be on time, the small ones are more.
    fn order(&self, wall: WallTime, job: &Job) -> i64 {
        let ms = |s: f64| (s * 1000.0).clamp(0.0, 1e10) as i64;
        let since = wall.0 as i64 - job.at.0 as i64;
        let run = ms(job.spec.estimate_s);
        let started = !job.done.is_empty() || !job.assignments.is_empty();
        let mut times: Vec<i64> = self
            .of(job)
            .filter_map(|o| match (o.kind, o.within, job.spec.deadline_s) {
                (ObjectiveKind::Wait, Some(w), _) if !started => Some(ms(w.as_secs())),
                (ObjectiveKind::Finished, Some(w), _) => Some(ms(w.as_secs()) - run),
                (ObjectiveKind::Deadline, _, Some(d)) => Some(ms(d * o.times) - run),
                _ => None,
            })
            .collect();
        if times.is_empty() {
            times.push(ms(job.spec.deadline_s.unwrap_or(600.0)) - run);
        }
        let missed = times.iter().filter(|t| **t < since).count() as i64;
        let next = times.iter().filter(|t| **t >= since).min();
        let left = f64::from(job.waiting.len()) * job.spec.needs().share_of(&self.fleet);
        let size = ms(left * job.spec.estimate_s * self.small_first);
        // What has missed everything goes by age.
        missed * LATE + job.at.0 as i64 + next.copied().unwrap_or(0) + size
    }

    /// When a job's tasks must run for its next aim about starting to be met:
    /// that of its class, or of work within a guarantee.
    fn start_by(&self, now: Time, wall: WallTime, job: &Job) -> Option<Time> {
        if !job.done.is_empty() {
            return None;
        }
        let since = TimeSpan::millis(wall.0.saturating_sub(job.at.0));
        let wait = self.of(job).filter(|o| o.kind == ObjectiveKind::Wait);
        let entitled = self.guarantees.iter().copied();
        let entitled = entitled.filter(|_| job.notes.entitled);
        let within = wait.filter_map(|o| o.within).chain(entitled);
        let left = within.filter(|w| *w > since).min()?;
        Some(now + TimeSpan(left.0 - since.0))
    }
}

/// When scheduling cycles run.
#[derive(Debug)]
pub(in crate::core) struct Scheduler {
    /// When the next cycle is due.
    pub next_cycle: Time,
    /// When the last one began.
    pub last_cycle: Time,
    /// Whether the last input ran a cycle.
    pub cycle_just_ran: bool,
    /// Least time from one cycle to the next, by how long the last one took.
    pub minimum_gap: TimeSpan,
    /// Cycles run.
    pub cycles: u64,
    /// When work was last preempted.
    pub last_preemption: Option<Time>,
}

/// Least time between two cycles.
const CYCLE_GAP: TimeSpan = TimeSpan::millis(80);
/// By how much each machine lengthens it: the more a cycle looks at, the rarer
/// cycles have to be.
const CYCLE_GAP_PER_MACHINE: TimeSpan = TimeSpan(150);
/// A cycle that seems to have taken less may have been followed by nothing to do.
const LONG_CYCLE: TimeSpan = TimeSpan::millis(80);
/// From the beginning of a cycle to the next, in times of what it took.
const GAP_PER_DURATION: f64 = 3.0;
/// And at most this.
const LONGEST_GAP: TimeSpan = TimeSpan::millis(4000);

impl Scheduler {
    /// Its first cycle is due at once.
    pub fn new(now: Time) -> Scheduler {
        Scheduler {
            next_cycle: now,
            last_cycle: now,
            cycle_just_ran: false,
            minimum_gap: TimeSpan::ZERO,
            cycles: 0,
            last_preemption: None,
        }
    }

    /// Has the next cycle run soon, where there are so many machines.
    pub fn request_cycle(&mut self, now: Time, machines: usize) {
        let gap = CYCLE_GAP + TimeSpan(CYCLE_GAP_PER_MACHINE.0 * machines as u64);
        let gap = gap.max(self.minimum_gap);
        let earliest = now.max(self.last_cycle + gap);
        self.next_cycle = self.next_cycle.min(earliest);
    }

    /// An input has come: the last cycle, if one ran since the one before, took
    /// no longer than until now. What a cycle takes depends on the work that
    /// waits and on the processor's share, so cycles leave most of the time to
    /// everything else whatever they take.
    pub fn adjust_pace(&mut self, now: Time) {
        if !std::mem::take(&mut self.cycle_just_ran) {
            return;
        }
        let took = now.since(self.last_cycle);
        self.minimum_gap = if took > LONG_CYCLE {
            took.scaled(GAP_PER_DURATION).min(LONGEST_GAP)
        } else {
            TimeSpan::ZERO
        };
        self.next_cycle = self.next_cycle.max(self.last_cycle + self.minimum_gap);
    }

    /// Whether a cycle is due.
    pub fn is_cycle_due(&self, now: Time) -> bool {
        now >= self.next_cycle
    }

    /// A cycle begins; the next one is due after the interval, if nothing asks for it.
    pub fn begin_cycle(&mut self, now: Time, interval: TimeSpan) {
        self.last_cycle = now;
        self.cycle_just_ran = true;
        self.next_cycle = now + interval;
    }
}

impl Leader {
    /// The machines as the cycle sees them, and their names by row.
    pub(super) fn rows(&self, now: Time) -> Vec<MachineRow> {
        let silence = self.cluster.max_silence();
        self.cluster
            .machines
            .iter()
            .filter(|(_, m)| m.is_healthy(now, silence))
            .filter_map(|(id, m)| self.row(now, id, m))
            .collect()
    }

    /// One machine as a row.
    pub(super) fn row(&self, now: Time, id: &MachineId, m: &Machine) -> Option<MachineRow> {
        let kind = m.kind.clone()?;
        let t = self.cluster.machine_types.get(&kind)?;
        let whole = t.has();
        let free = whole - m.unrecorded_usage - m.used;
        Some(MachineRow {
            id: id.clone(),
            kind,
            zone: m.zone.clone()?,
            spot: m.spot,
            whole,
            free,
            available: now,
            last_high: m.last_high,
            cache: m.cache.clone(),
            fetch_rate: t.fetch_gb_per_s,
            aside: m.is_quarantined(now),
        })
    }

    /// Predicts when each row's machine will be free altogether.
    fn predict(&self, now: Time, rows: &mut [MachineRow]) {
        let index: HashMap<&MachineId, usize> =
            rows.iter().enumerate().map(|(i, r)| (&r.id, i)).collect();
        let mut work = vec![0.0; rows.len()];
        for job in self.cluster.jobs.values() {
            for p in job.assignments.values() {
                if let Some(&i) = index.get(&p.machine) {
                    let share = job.spec.needs().share_of(&rows[i].whole).min(1.0);
                    work[i] += self.cluster.remaining_time(now, job, p).as_secs() * share;
                }
            }
        }
        for (row, work) in rows.iter_mut().zip(work) {
            row.available = now + TimeSpan::secs(work);
        }
    }

    /// What teams use, counting every place a task may be.
    pub(super) fn team_use(&self) -> BTreeMap<Team, TeamUse> {
        let mut teams: BTreeMap<Team, TeamUse> = self
            .cluster
            .settings
            .teams
            .iter()
            .map(|(t, share)| {
                let none = Resources::default();
                (
                    t.clone(),
                    TeamUse {
                        used: none,
                        share: *share,
                    },
                )
            })
            .collect();
        let ended = failpoints::enforced(SafetyCheck::EndedJobsHoldPlaces);
        for job in self.cluster.jobs.values().filter(|j| ended || j.is_open()) {
            if let Some(t) = teams.get_mut(&job.spec.team) {
                t.used += job.spec.needs().times(job.held() as f64);
            }
        }
        teams
    }

    /// What teams hold, and what of that is being stopped.
    pub(super) fn account(&self) -> QuotaUsage {
        let mut account = QuotaUsage::new(&self.cluster.settings.teams);
        for job in self.cluster.jobs.values().filter(|j| j.held() > 0) {
            let stopping = job
                .assignments
                .values()
                .filter(|p| p.stop.is_some())
                .count();
            let each = QuotaUnits::of(&job.spec.needs());
            account.hold(&job.spec.team, each, job.held(), stopping);
        }
        account
    }

    /// How classes and teams are served, by the work that came of late and the
    /// work that has waited too long for it.
    pub(super) fn services(&self, wall: WallTime) -> BTreeMap<ShareGroup, Service> {
        let window = TimeSpan::secs(self.cluster.policy.floor_window_s);
        let late = window.scaled(1.0 - self.cluster.policy.floor_share);
        let age = |at: WallTime| TimeSpan::millis(wall.0.saturating_sub(at.0));
        let waits = |j: &Job| j.is_open() && !j.waiting.is_empty() && age(j.at) >= late;
        let whole = self.cluster.machine_types.values().map(|t| t.has());
        let Some(whole) = whole.reduce(|a, b| a.most(&b)) else {
            return BTreeMap::new();
        };
        // On most days nothing waits for so long.
        if self.cluster.policy.floor_share <= 0.0 || !self.cluster.jobs.values().any(waits) {
            return BTreeMap::new();
        }
        // Classes and teams are few, jobs are many.
        let mut pairs: Vec<(&Class, &Team, Service)> = Vec::new();
        fn pair<'a, 'b>(
            pairs: &'b mut Vec<(&'a Class, &'a Team, Service)>,
            class: &'a Class,
            team: &'a Team,
        ) -> &'b mut Service {
            let found = pairs.iter().position(|(c, t, _)| *c == class && *t == team);
            let n = found.unwrap_or_else(|| {
                pairs.push((class, team, Service::default()));
                pairs.len() - 1
            });
            &mut pairs[n].2
        }
        for (class, arrivals) in &self.arrivals.by_class {
            for a in arrivals.iter().filter(|a| age(a.at) < window) {
                pair(&mut pairs, class, &a.team).arrived += a.machines * a.run_s;
            }
        }
        for job in self.cluster.jobs.values().filter(|j| j.is_open()) {
            let s = pair(&mut pairs, &job.spec.class, &job.spec.team);
            let each = job.spec.needs().share_of(&whole);
            let staying = job
                .assignments
                .values()
                .filter(|p| p.stop.is_none())
                .count();
            s.used += staying as f64 * each;
            if waits(job) {
                s.overdue += f64::from(job.waiting.len()) * each * job.spec.estimate_s;
                s.priority = s.priority.max(Some(job.spec.priority));
            }
        }
        let mut all: BTreeMap<ShareGroup, Service> = BTreeMap::new();
        for (class, team, s) in pairs {
            for g in ShareGroup::both(class, team) {
                all.entry(g).or_default().add(&s);
            }
        }
        all
    }

    /// Marks the open jobs that lie within their team's guarantee: together
    /// with the team's earlier unfinished jobs they fit into it.
    fn mark_entitled(&mut self) {
        let mut open: Vec<&mut Job> = self
            .cluster
            .jobs
            .values_mut()
            .filter(|j| j.is_open())
            .collect();
        // Jobs come in the order of their ids, which decides among equals.
        open.sort_by_key(|j| j.at);
        let mut sums: HashMap<Team, Resources> = HashMap::new();
        for job in open {
            let Some(share) = self.cluster.settings.teams.get(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(job.spec.team.clone()).or_default();
            let whole = *sum + job.spec.needs().times(f64::from(job.spec.tasks));
            job.notes.entitled = share.guarantees(&whole);
            *sum = whole;
        }
    }

    /// What all machines together have.
    fn fleet(&self) -> Resources {
        let mut all = Resources::default();
        for m in self
            .cluster
            .machines
            .values()
            .filter(|m| m.reported.is_some())
        {
            if let Some(t) = m
                .kind
                .as_ref()
                .and_then(|k| self.cluster.machine_types.get(k))
            {
                all += t.has();
            }
        }
        all
    }

    fn wants(&mut self, now: Time, wall: WallTime) -> Vec<PlacementRequest> {
        self.mark_entitled();
        let aims = Aims::new(
            &self.cluster.settings,
            self.cluster.policy.small_first,
            self.fleet(),
        );
        let patience = TimeSpan::secs(self.cluster.policy.patience_s);
        let machines = &self.cluster.machines;
        let mut wants = Vec::new();
        let jobs = self.cluster.jobs.iter_mut();
        for (id, job) in jobs.filter(|(_, j)| j.is_open() && !j.waiting.is_empty()) {
            job.notes.waiting_since.get_or_insert(now);
            if job.unreadable {
                job.notes.why = "a record of it cannot be read";
                continue;
            }
            if self.authority.is_told(id) {
                job.notes.why = "it is cancelled, as a peer says";
                continue;
            }
            if now < job.notes.not_before {
                job.notes.why = "it failed lately";
                continue;
            }
            if job.is_gang() && !job.assignments.is_empty() {
                job.notes.why = "its last attempt is not gone yet";
                continue;
            }
            let spec = job.spec.clone();
            let mut in_zones = BTreeMap::new();
            let mut unknown = false;
            let binds = failpoints::enforced(SafetyCheck::OldPlacesBindZones);
            let bind = job.assignments.values().filter(|_| binds);
            for p in bind {
                match machines.get(&p.machine).and_then(|m| m.zone.clone()) {
                    Some(z) => *in_zones.entry(z).or_default() += 1,
                    None => unknown = true,
                }
            }
            if unknown && (spec.one_zone || spec.spread) {
                job.notes.why = "the zone of one of its tasks is not known yet";
                continue;
            }
            job.notes.why = "no room";
            let tasks: Vec<u32> = if job.is_gang() {
                job.waiting.iter().collect()
            } else {
                job.waiting.iter().take(MOST_TASKS).collect()
            };
            wants.push(PlacementRequest {
                job: id.clone(),
                team: spec.team.clone(),
                class: spec.class.clone(),
                image: spec.image.clone(),
                image_gb: spec.image_gb,
                need: spec.needs(),
                tasks,
                gang: spec.shape == JobShape::Gang,
                priority: spec.priority,
                entitled: job.notes.entitled,
                order: aims.order(wall, job),
                kinds: spec.kinds.clone(),
                zone: spec.zone.clone(),
                one_zone: spec.one_zone,
                most_in_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
                in_zones,
                spot: spec.spot,
                run: TimeSpan::secs(spec.estimate_s),
                start_by: aims.start_by(now, wall, job),
                aged: job.notes.waiting_since.is_some_and(|t| {
                    let most = if job.is_gang() {
                        patience
                    } else {
                        patience.scaled(10.0)
                    };
                    now.since(t) > most
                }),
                // The paper's gate has no end: beside a stream of urgent starts a cold
                // fetch would wait for ever on machines that have room. And where all
                // machines are put aside, one of those is better than none.
                overdue: job.notes.waiting_since.is_some_and(|t| {
                    now.since(t) > patience && failpoints::enforced(SafetyCheck::HoldsEndWithAge)
                }),
                avoid: job.notes.failed_on.clone(),
            });
        }
        wants
    }

    /// One cycle.
    pub(super) fn cycle(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        let mut wants = self.wants(now, effects.now.wall);
        let holds = wants.iter().any(|w| w.aged && w.gang);
        let mut rows = self.rows(now);
        if holds {
            self.predict(now, &mut rows);
        }
        let mut teams = self.team_use();
        let wait = self.cluster.settings.workers.gang_wait;
        let pace = CycleParameters {
            now,
            most_skew: TimeSpan(wait.0 * 6 / 10),
        };
        let estimates = self.cluster.fetch_estimates.clone();
        let mut cycle = SchedulingCycle::new(pace, &mut rows, &mut teams, &estimates);
        let (account, services) = (self.account(), self.services(effects.now.wall));
        let share = self.cluster.policy.floor_share;
        let machines = cycle.rows.len() as f64;
        let floors = MinimumShares::new(
            &services,
            machines,
            share,
            self.cluster.policy.floor_window_s,
        );
        let mut bounds = Bounds { account, floors };
        cycle.run_floors(&mut wants, &mut bounds.floors);
        cycle.run_warm(&mut wants);
        let mut stops = Stops {
            bounds,
            ..Stops::default()
        };
        self.make_room(&mut cycle, &mut wants, Priority::High, &mut stops);
        cycle.run_rest(&mut wants);
        self.make_room(&mut cycle, &mut wants, Priority::Low, &mut stops);
        let starts = std::mem::take(&mut cycle.starts);
        let mut attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
        for s in starts {
            let attempt = *attempts.entry(s.job.clone()).or_insert_with(|| {
                Attempt(self.cluster.jobs.get(&s.job).map_or(0, |j| j.attempt.0) + 1)
            });
            let task = TaskId {
                job: s.job,
                index: s.task,
            };
            let machine = rows[s.row].id.clone();
            let fetch = self.cluster.machines.get(&machine).map(|m| {
                let image = &self.cluster.jobs[&task.job].spec.image;
                m.cache.remaining(image, now).map(TimeSpan::as_secs)
            });
            tracing::debug!(task = %task, %machine, ?fetch, "placed");
            self.cluster.place_task(now, &task, &machine, attempt);
        }
        let mut by_job: BTreeMap<JobId, Vec<u32>> = BTreeMap::new();
        for n in stops.taken {
            if let Some(v) = stops.victims.as_ref().map(|v| &v[n]) {
                by_job.entry(v.job.clone()).or_default().push(v.task);
            }
        }
        for (id, tasks) in by_job {
            let Some(job) = self.cluster.jobs.get(&id) else {
                continue;
            };
            let grace = job.spec.save_s;
            tracing::info!(job = %id, team = %job.spec.team, tasks = tasks.len(), "stopped for more urgent work");
            let why = "stopped for more urgent work";
            self.scheduler.last_preemption = Some(now);
            self.cluster.order_stops(
                now,
                &id,
                &tasks,
                grace,
                why,
                StopDurability::StoredBeforeSent,
            );
        }
        for job in self
            .cluster
            .jobs
            .values_mut()
            .filter(|j| j.waiting.is_empty())
        {
            job.notes.waiting_since = None;
            job.notes.why = "";
        }
        wants.retain(|w| !w.tasks.is_empty());
        self.plan_rental(effects, &wants, &rows);
    }

    /// Stops tasks for work that found no room, and places that work where
    /// they were; it is sent once they have left.
    fn make_room(
        &self,
        cycle: &mut SchedulingCycle<'_>,
        wants: &mut [PlacementRequest],
        least: Priority,
        stops: &mut Stops,
    ) {
        let urgent = |w: &PlacementRequest| {
            !w.tasks.is_empty() && (w.priority > Priority::Low || w.entitled)
        };
        // They stand in the order of their ranks since the cycle's first part.
        let order: Vec<usize> = (0..wants.len())
            .filter(|&i| wants[i].priority >= least && urgent(&wants[i]))
            .collect();
        // What a search that found nothing is good for: until room is made,
        // another want like it that is no smaller finds nothing either.
        let mut failed: Vec<(usize, usize)> = Vec::new();
        let mut searches = 0;
        for i in order {
            let hopeless = failed
                .iter()
                .any(|&(f, n)| wants[i].tasks.len() >= n && wants[i].is_like(&wants[f]));
            if hopeless {
                continue;
            }
            let want = &mut wants[i];
            let allowed = cycle
                .teams
                .get(&want.team)
                .map(|t| TeamUse {
                    used: t.used + want.need.times(want.tasks.len() as f64),
                    share: t.share,
                })
                .is_some_and(|t| t.share.allows(&t.used));
            if !allowed {
                continue;
            }
            searches += 1;
            if searches > MOST_SEARCHES {
                return;
            }
            let victims = stops
                .victims
                .get_or_insert_with(|| self.victims(cycle.pace.now, cycle.rows));
            let Some(e) = preemption::evict(cycle, want, victims, &stops.taken, &stops.bounds, 16)
            else {
                failed.push((i, if want.gang { want.tasks.len() } else { 1 }));
                continue;
            };
            failed.clear();
            let mut gangs: BTreeSet<&JobId> = BTreeSet::new();
            for &n in &e.victims {
                let v = &victims[n];
                cycle.rows[v.row].free += v.need;
                if !v.gang || gangs.insert(&v.job) {
                    stops.bounds.take(&victims.loss(n, want));
                }
            }
            stops.taken.extend(e.victims);
            for row in e.rows {
                if let Some(task) = (!want.tasks.is_empty()).then(|| want.tasks.remove(0)) {
                    cycle.assign(want, task, row);
                }
            }
        }
    }

    fn victims(&self, now: Time, rows: &[MachineRow]) -> Victims {
        let index: HashMap<&MachineId, usize> =
            rows.iter().enumerate().map(|(i, r)| (&r.id, i)).collect();
        let settle = TimeSpan::secs(self.cluster.policy.settle_s);
        let mut victims = Vec::new();
        for (id, job) in self.cluster.jobs.iter().filter(|(_, j)| j.is_open()) {
            // A gang goes whole, so all of it must be within reach.
            let reachable = job
                .assignments
                .values()
                .all(|p| index.contains_key(&p.machine) && p.stop.is_none());
            if job.is_gang() && !reachable {
                continue;
            }
            let aims = job.notes.entitled
                || self.cluster.settings.objectives.iter().any(|o| {
                    o.kind == ObjectiveKind::Wait && o.class.as_ref() == Some(&job.spec.class)
                });
            for (&task, p) in &job.assignments {
                let Some(&row) = index.get(&p.machine) else {
                    continue;
                };
                if p.stop.is_some() || p.unsent() {
                    continue;
                }
                let ran = p.running.map_or(0.0, |t| now.since(t).as_secs());
                let lost = if job.spec.checkpoint_s > 0.0 {
                    job.spec.save_s
                } else {
                    ran
                };
                let share = job.spec.needs().share_of(&rows[row].whole);
                let settled = matches!(
                    p.phase,
                    AssignmentPhase::Seen(_) | AssignmentPhase::Inherited
                ) && now.since(p.placed) > settle;
                // A start that is stopped soon does not count for its users,
                // if they have an aim about starting.
                let fresh = if settled || !aims { 0.0 } else { FRESH_COST };
                victims.push(Victim {
                    job: id.clone(),
                    task,
                    team: job.spec.team.clone(),
                    class: job.spec.class.clone(),
                    machines: share,
                    priority: job.spec.priority,
                    need: job.spec.needs(),
                    gang: job.is_gang(),
                    row,
                    cost: (lost + 5.0 + fresh) * share,
                    settled,
                });
            }
        }
        Victims::new(victims, rows.len())
    }
}
