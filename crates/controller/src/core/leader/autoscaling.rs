//! Renting and returning machines.

use super::task_lifecycle::RemovalReason;
use crate::core::autoscaler::intents::{CapacityPool, MOST_RENTED};
use crate::core::autoscaler::state::{BAD_GATEWAY, CONFLICT, CloudCall, GATEWAY_TIMEOUT};
use crate::core::effects::Effects;
use crate::core::leader::{Leader, LeadershipOutcome, PendingCall};
use crate::core::machine::MachineLifecycle;
use crate::core::placement_tables::{ImageCache, MachineRow};
use crate::core::scheduling_cycle::{CycleParameters, PlacementRequest, SchedulingCycle};
use crate::core::{Reply, Target};
use crate::settings::ObjectiveKind;
use crate::types::{MachineId, NodeId, Time, TimeSpan, Zone};
use crate::wire;
use crate::wire::cloud::{MachineList, MachineNames, MachineStage, MachineTypes, ProvisionRequest};
use std::collections::{BTreeMap, HashMap};

/// Machines in each zone.
type Crowds = HashMap<Zone, u32>;

/// A small cost that evens out where new machines go.
fn crowd(crowds: &Crowds, zone: &Zone) -> f64 {
    f64::from(crowds.get(zone).copied().unwrap_or(0))
}

/// Time between looks for intents that are settled.
const TEND_EVERY: TimeSpan = TimeSpan::millis(1000);
/// How long a call to the cloud may take, and longer by a peer.
const CALL: TimeSpan = TimeSpan::millis(5000);
const CALL_BY_PEER: TimeSpan = TimeSpan::millis(6000);
/// Time between looks at the machine types.
const TYPES_EVERY: TimeSpan = TimeSpan::millis(60_000);

impl Leader {
    /// Makes the next call to the cloud, if one is due.
    pub(super) fn rental_tick(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        if now >= self.autoscaler.tend_due {
            self.autoscaler.tend_due = now + TEND_EVERY;
            let machines = &self.cluster.machines;
            let heard = |id: &MachineId| {
                let m = machines.get(id);
                m.is_none_or(|m| m.reported.is_some() || m.listed_at.is_some())
            };
            self.autoscaler.intents.tend(now, heard);
            let there = |id: &MachineId| machines.contains_key(id);
            let pending_writes = &mut self.autoscaler.intents.pending_writes;
            self.quarantine
                .tend(pending_writes, effects.now.wall, there);
        }
        if self.autoscaler.calling || now < self.autoscaler.not_before || !self.may_start(now) {
            return;
        }
        if self.autoscaler.calls.level(now) < 1.0 {
            return;
        }
        let Some(call) = self.next_call(now) else {
            return;
        };
        self.autoscaler.calls.take(now, 1.0);
        self.autoscaler.calling = true;
        let (method, path, body) = match &call {
            CloudCall::Types => ("GET", "/machine_types".to_string(), Vec::new()),
            CloudCall::List => {
                let since = self.autoscaler.listing.last().map(|m| m.id.to_string());
                let since = since.map_or(String::new(), |s| format!("since={s}&"));
                ("GET", format!("/machines?{since}most=500"), Vec::new())
            }
            CloudCall::ProvisionRequest(r) => {
                tracing::info!(kind = %r.kind, zone = %r.zone, spot = r.spot, count = r.count, "renting");
                self.autoscaler.intents.provision_asked(&r.request);
                ("POST", "/machines".to_string(), wire::encode(r))
            }
            CloudCall::Release(names) => {
                self.autoscaler.intents.release_asked(names);
                let machines = names.clone();
                let body = wire::encode(&MachineNames { machines });
                ("POST", "/machines/release".to_string(), body)
            }
        };
        let by = self.autoscaler.hands.peer(now).cloned();
        let peer = by.as_ref().and_then(|node_id| {
            self.cluster
                .settings
                .peers
                .iter()
                .find(|p| p.node_id == *node_id)
        });
        let id = match peer {
            Some(p) => {
                let path = format!("/cloud/{}{path}", self.token);
                effects.call(Target::Host(p.addr), method, path, body, CALL_BY_PEER)
            }
            None => effects.call(Target::Cloud, method, path, body, CALL),
        };
        self.pending_calls.add(id, PendingCall::Cloud(call, by));
    }

    /// Writes down which machines are to go.
    pub(super) fn mean_releases(&mut self, wall: crate::types::WallTime) {
        let intents = &self.autoscaler.intents;
        let (any, pressing) = (intents.may_release(false), intents.may_release(true));
        if !pressing {
            return;
        }
        let new = self.cluster.machines.iter().filter(|(id, m)| {
            m.lifecycle == MachineLifecycle::Terminating
                && (any || !m.tasks.is_empty())
                && !intents.is_leaving(id)
        });
        let new: Vec<_> = new.map(|(id, m)| (id.clone(), m.why)).collect();
        if !new.is_empty() {
            self.autoscaler.intents.release(new.into_iter(), wall);
        }
    }

    /// The next call; made only if the rate allows it.
    fn next_call(&mut self, now: Time) -> Option<CloudCall> {
        if self.cluster.machine_types.is_empty() {
            return Some(CloudCall::Types);
        }
        // While spot machines go all the time there is always something to
        // release; other calls take turns with it.
        let turn = if self.autoscaler.released_last {
            [Self::other_call, Self::release_call]
        } else {
            [Self::release_call, Self::other_call]
        };
        let call = turn.into_iter().find_map(|next| next(self, now));
        self.autoscaler.released_last = matches!(call, Some(CloudCall::Release(_)));
        call
    }

    fn release_call(&mut self, _: Time) -> Option<CloudCall> {
        let release = self.autoscaler.intents.next_release();
        (!release.is_empty()).then_some(CloudCall::Release(release))
    }

    fn other_call(&mut self, now: Time) -> Option<CloudCall> {
        let late = now >= self.autoscaler.list_due + self.autoscaler.list_every;
        if late {
            return Some(CloudCall::List);
        }
        if let Some(rent) = self.autoscaler.intents.next_provision() {
            return Some(CloudCall::ProvisionRequest(rent));
        }
        if now >= self.autoscaler.list_due {
            return Some(CloudCall::List);
        }
        if now >= self.autoscaler.types_due {
            return Some(CloudCall::Types);
        }
        None
    }

    /// The cloud answered, or not.
    pub fn on_cloud(
        &mut self,
        effects: &mut Effects,
        call: CloudCall,
        by: Option<NodeId>,
        reply: Reply,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        self.autoscaler.calling = false;
        let (status, body) = match reply {
            // What a peer says when it got no answer itself, or did not ask.
            Reply::Answer(400 | 404 | 405 | BAD_GATEWAY | GATEWAY_TIMEOUT, _) if by.is_some() => {
                (0, Vec::new())
            }
            Reply::Answer(CONFLICT, _) if by.is_some() => {
                return LeadershipOutcome::StepDown("a peer knows a later leader");
            }
            Reply::Answer(status, body) => (status, body),
            Reply::NotSent | Reply::Lost => (0, Vec::new()),
        };
        if status == 0 {
            self.autoscaler.hands.unanswered(now, by.as_ref());
        } else {
            self.autoscaler.hands.answered(now, by.as_ref());
        }
        let no_capacity = status == 503
            && wire::decode::<crate::wire::users::ErrorResponse>(&body)
                .is_some_and(|r| r.error == "no capacity");
        // Only 200 proves that released machines are gone.
        let malformed = status == 400 && !matches!(call, CloudCall::Release(_));
        if status != 200 && !no_capacity && !malformed {
            let jitter = effects.jitter();
            self.autoscaler.not_before = now
                + self.autoscaler.backoff.failed(
                    TimeSpan::millis(700),
                    TimeSpan::secs(5.0),
                    jitter,
                );
            if let CloudCall::ProvisionRequest(r) = call {
                // Answered by a refusal, it was not carried out; otherwise it
                // may have been, or may yet be: only its own name may ask again.
                if status == 0 {
                    self.autoscaler.intents.provision_lost(&r.request);
                } else {
                    self.autoscaler.intents.provision_refused(&r.request);
                }
            }
            return LeadershipOutcome::Continue;
        }
        self.autoscaler.backoff.succeeded();
        match call {
            CloudCall::Types => {
                self.autoscaler.types_due = now + TYPES_EVERY;
                if let Some(types) = wire::decode::<MachineTypes>(&body) {
                    self.set_types(&types);
                    effects.learned_types = Some(types);
                }
            }
            CloudCall::List => match wire::decode::<MachineList>(&body) {
                Some(list) => {
                    let more = list.more && !list.machines.is_empty();
                    self.autoscaler.listing.extend(list.machines);
                    if !more {
                        self.autoscaler.list_due = now + self.autoscaler.list_every;
                        self.take_list(now);
                    }
                }
                None => self.autoscaler.list_due = now + self.autoscaler.list_every,
            },
            CloudCall::ProvisionRequest(r) => {
                if no_capacity || status == 400 {
                    let pause = TimeSpan::secs(self.cluster.policy.no_capacity_pause_s);
                    self.autoscaler.intents.no_room(&r.request);
                    tracing::info!(kind = %r.kind, zone = %r.zone, spot = r.spot, "no capacity");
                    self.autoscaler
                        .paused
                        .insert((r.kind, r.zone, r.spot), now + pause);
                } else if let Some(names) = wire::decode::<MachineNames>(&body) {
                    if (names.machines.len() as u32) < r.count {
                        let pause = TimeSpan::secs(self.cluster.policy.no_capacity_pause_s);
                        self.autoscaler
                            .paused
                            .insert((r.kind.clone(), r.zone.clone(), r.spot), now + pause);
                    }
                    self.autoscaler
                        .intents
                        .filled(&r.request, &names.machines, now);
                    for id in names.machines {
                        if self.autoscaler.intents.is_gone(&id) {
                            continue;
                        }
                        let m = self
                            .cluster
                            .register_machine(now, &id, &self.autoscaler.intents);
                        m.kind.get_or_insert(r.kind.clone());
                        m.zone.get_or_insert(r.zone.clone());
                        m.spot = r.spot;
                    }
                }
            }
            CloudCall::Release(names) => {
                self.autoscaler.intents.released(&names, now);
                for id in names {
                    // By now the machine and everything on it is gone.
                    self.cluster
                        .write_off_machine(now, &id, RemovalReason::MachineReleased);
                    self.cluster.machines.remove(&id);
                    self.heartbeats.forget_machine(&id);
                }
            }
        }
        LeadershipOutcome::Continue
    }

    fn take_list(&mut self, now: Time) {
        let list = std::mem::take(&mut self.autoscaler.listing);
        self.autoscaler.listed = Some(now);
        for l in list {
            // One that was taken in again would count as coming up, and
            // nothing would be rented for the work that waits for it.
            if self.autoscaler.intents.is_gone(&l.id) {
                continue;
            }
            let m = self
                .cluster
                .register_machine(now, &l.id, &self.autoscaler.intents);
            m.kind.get_or_insert(l.kind);
            m.zone.get_or_insert(l.zone);
            m.spot = l.spot;
            let mut stopping = Vec::new();
            if m.addr.is_none() {
                m.addr = l.addr.parse().ok();
                stopping.extend(m.tasks.iter().cloned());
            }
            m.listed = Some((l.stage, TimeSpan::secs(l.age_s)));
            m.listed_at = Some(now);
            if l.stage == MachineStage::Failed && m.tasks.is_empty() {
                m.mark_for_termination("failed");
            }
            self.commands.announce_to(now, &self.cluster, &l.id);
            if !stopping.is_empty() {
                // What an earlier leader had half told to stop is told whole;
                // the rest is left out when it is sent.
                self.cluster
                    .direct_stops
                    .entry(l.id)
                    .or_default()
                    .extend(stopping);
            }
        }
    }

    /// Sees to machines that never came up, fell silent or are gone.
    pub(super) fn give_up_machines(&mut self, now: Time) {
        let silence = self.cluster.max_silence();
        let lag = self.cluster.settings.list_lag;
        let listed = self.autoscaler.listed;
        let mut forget = Vec::new();
        for (id, m) in &mut self.cluster.machines {
            let heard = m.reported.unwrap_or(m.known);
            let quiet = now.since(heard);
            let boot = m
                .kind
                .as_ref()
                .and_then(|k| self.cluster.machine_types.get(k))
                .map_or(60.0, |t| t.boot_s);
            let patience = TimeSpan::secs(boot * self.cluster.policy.boot_patience);
            // Lists are up to twice the lag old; one that was taken in well
            // after the machine fell silent and still lacks it says it is gone.
            let fresh = TimeSpan(lag.0 * 2) + TimeSpan::secs(1.0);
            let unlisted = listed.is_some_and(|at| {
                at > heard + fresh && m.listed_at.is_none_or(|l| at > l) && m.known + fresh < at
            });
            match m.lifecycle {
                MachineLifecycle::Terminating => {}
                MachineLifecycle::Draining if m.tasks.is_empty() => {
                    m.mark_for_termination("put aside")
                }
                // It is paid for nothing, as an idle machine is.
                _ if m.tasks.is_empty()
                    && m.aside.is_some_and(|t| {
                        t.since(now) > TimeSpan::secs(self.cluster.policy.idle_s)
                    }) =>
                {
                    m.mark_for_termination("put aside");
                }
                // It is paid, and nothing can be had of it.
                _ if m.tasks.is_empty()
                    && m.delivery.deaf_for(now).is_some_and(|t| {
                        t > TimeSpan::secs(self.cluster.policy.silent_release_s)
                    }) =>
                {
                    tracing::info!(machine = %id, "reports and does not hear, released");
                    m.mark_for_termination("does not hear");
                }
                _ if m.lost && matches!(m.listed, Some((MachineStage::Failed, _))) => {
                    m.mark_for_termination("failed");
                }
                _ if m.reported.is_none() => {
                    if quiet > patience && m.listed_at.is_some() {
                        tracing::info!(machine = %id, "did not come up, released");
                        m.mark_for_termination("did not come up");
                    } else if quiet > patience && unlisted && m.tasks.is_empty() {
                        forget.push(id.clone());
                    }
                }
                // Silent and no longer listed: taken. A release costs nothing
                // then, and its answer proves that the tasks are gone, long
                // before the lease would.
                _ if quiet > silence && unlisted => {
                    if !m.tasks.is_empty() {
                        tracing::info!(machine = %id, "silent and not listed, released");
                    }
                    m.mark_for_termination("silent and not listed");
                }
                _ if quiet > TimeSpan::secs(self.cluster.policy.silent_release_s) => {
                    tracing::info!(machine = %id, "silent for long, released");
                    m.mark_for_termination("silent for long");
                }
                _ => {}
            }
        }
        for id in forget {
            self.cluster.machines.remove(&id);
        }
    }

    /// The machines that a hire will bring, as rows: what they will take needs
    /// no further ones.
    fn expected(&self, now: Time, r: &ProvisionRequest) -> Vec<MachineRow> {
        let Some(t) = self.cluster.machine_types.get(&r.kind) else {
            return Vec::new();
        };
        let row = |n: u32| MachineRow {
            id: format!("{}#{n}", r.request).into(),
            kind: r.kind.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            whole: t.has(),
            free: t.has(),
            available: now,
            last_high: None,
            cache: ImageCache::default(),
            fetch_rate: t.fetch_gb_per_s,
            aside: false,
        };
        (0..r.count).map(row).collect()
    }

    /// Whether a new leader can tell what is missing from what it has not heard
    /// of yet: once it has a whole list, or every worker has had time to report.
    fn knows_its_fleet(&self, now: Time) -> bool {
        let reports = self.cluster.settings.workers.report.scaled(1.5) + TimeSpan::secs(1.0);
        self.autoscaler.listed.is_some() || now.since(self.office) > reports
    }

    /// How many idle machines to keep for classes whose starts are wanted
    /// sooner than a machine boots.
    fn reserve(&self, now_wall: crate::types::WallTime) -> u32 {
        let boot = self
            .cluster
            .machine_types
            .values()
            .map(|t| t.boot_s)
            .fold(0.0, f64::max);
        let mut machines = 0.0;
        let mut largest: f64 = 0.0;
        for (class, arrivals) in &self.arrivals.by_class {
            let soon = self.cluster.settings.objectives.iter().any(|o| {
                o.kind == ObjectiveKind::Wait
                    && o.class.as_ref() == Some(class)
                    && o.within.is_some_and(|w| w.as_secs() < boot * 2.0)
            });
            if !soon {
                continue;
            }
            let window = 240_000;
            let recent: Vec<_> = arrivals
                .iter()
                .filter(|a| now_wall.0.saturating_sub(a.at.0) < window)
                .collect();
            let oldest = recent.iter().map(|a| a.at.0).min();
            let span = oldest.map_or(1.0, |o| {
                (now_wall.0.saturating_sub(o) as f64 / 1000.0).max(60.0)
            });
            let sum: f64 = recent.iter().map(|a| a.machines).sum();
            machines += sum / span * boot;
            largest = recent.iter().map(|a| a.machines).fold(largest, f64::max);
        }
        (machines * self.cluster.policy.reserve)
            .max(largest)
            .min(self.cluster.policy.most_reserve)
            .ceil() as u32
    }

    /// After a cycle: orders machines for what found no room, and returns
    /// idle ones that nothing needs.
    pub(super) fn plan_rental(
        &mut self,
        effects: &mut Effects,
        wants: &[PlacementRequest],
        rows: &[MachineRow],
    ) {
        let now = effects.now.time;
        let mut booting: Vec<MachineRow> = self
            .cluster
            .machines
            .iter()
            .filter(|(_, m)| m.reported.is_none() && m.lifecycle == MachineLifecycle::InService)
            .filter(|(_, m)| !matches!(m.listed, Some((MachineStage::Failed, _))))
            .filter_map(|(id, m)| self.cluster.machine_row(now, id, m))
            .collect();
        booting.extend(
            self.autoscaler
                .intents
                .coming()
                .flat_map(|r| self.expected(now, r)),
        );
        let on_the_way = booting.len() as u32;
        let mut room = (self.cluster.policy.most_booting as u32).saturating_sub(on_the_way);
        let rent_after = TimeSpan::secs(self.cluster.policy.rent_after_s);
        let mut left: Vec<PlacementRequest> = wants
            .iter()
            .filter(|w| {
                self.cluster
                    .jobs
                    .get(&w.job)
                    .and_then(|j| j.notes.waiting_since)
                    .is_some_and(|t| now.since(t) >= rent_after)
            })
            .cloned()
            .collect();
        // What the machines on their way will take needs no further ones.
        let mut teams = self.cluster.team_use();
        let estimates = self.cluster.fetch_estimates.clone();
        let pace = CycleParameters {
            now,
            most_skew: TimeSpan::secs(1e6),
        };
        SchedulingCycle::new(pace, &mut booting, &mut teams, &estimates).run(&mut left);
        left.retain(|w| !w.tasks.is_empty());
        self.autoscaler.paused.retain(|_, until| *until > now);
        if self.autoscaler.intents.may_provision() && self.knows_its_fleet(now) {
            let crowds = self.crowds();
            let mut orders: BTreeMap<CapacityPool, f64> = BTreeMap::new();
            for w in &left {
                let allowed = teams.get(&w.team).is_some_and(|t| {
                    t.share.allows(
                        &(t.used
                            + w.need
                                .times(if w.gang { w.tasks.len() as f64 } else { 1.0 })),
                    )
                });
                if !allowed {
                    continue;
                }
                if let Some((market, per)) = self.market(w, &crowds) {
                    *orders.entry(market).or_default() += w.tasks.len() as f64 / f64::from(per);
                }
            }
            let idle = rows
                .iter()
                .filter(|r| r.free == r.whole && !r.aside)
                .count()
                + booting.iter().filter(|r| r.free == r.whole).count();
            let reserve = self.reserve(effects.now.wall) as usize;
            if idle < reserve
                && let Some(market) = self.any_market(&crowds)
            {
                *orders.entry(market).or_default() += (reserve - idle) as f64;
            }
            for (market, n) in orders {
                let mut n = (n.ceil() as u32).min(room);
                room -= n;
                while n > 0 {
                    let count = n.min(MOST_RENTED);
                    n -= count;
                    let market = market.clone();
                    self.autoscaler
                        .intents
                        .provision(market, count, effects.now.wall);
                }
            }
        }
        self.return_idle(effects, &left, rows);
    }

    /// Where to rent for a want: the cheapest per task that is not paused,
    /// and how many tasks a machine takes.
    fn market(&self, w: &PlacementRequest, crowds: &Crowds) -> Option<(CapacityPool, u32)> {
        let mut best: Option<(f64, CapacityPool, u32)> = None;
        let taken = w.in_zones.iter().find(|(_, n)| **n > 0).map(|(z, _)| z);
        for t in self.cluster.machine_types.values() {
            let per = w.need.count_in(&t.has(), 100_000);
            if per == 0 || w.kinds.as_ref().is_some_and(|k| !k.contains(&t.name)) {
                continue;
            }
            for zone in &t.zones {
                let allowed = w.zone.as_ref().is_none_or(|z| z == zone)
                    && !(w.one_zone && taken.is_some_and(|z| z != zone))
                    && w.zone_room(zone) > 0;
                for spot in [true, false] {
                    let market = (t.name.clone(), zone.clone(), spot);
                    if !allowed || (spot && !w.spot) || self.autoscaler.paused.contains_key(&market)
                    {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    let cost = price / f64::from(per) + crowd(crowds, zone) * 1e-6;
                    if best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                        best = Some((cost, market, per));
                    }
                }
            }
        }
        best.map(|(_, m, p)| (m, p))
    }

    /// The cheapest market at all.
    fn any_market(&self, crowds: &Crowds) -> Option<CapacityPool> {
        let mut best: Option<(f64, CapacityPool)> = None;
        for t in self.cluster.machine_types.values() {
            for zone in &t.zones {
                for spot in [true, false] {
                    let market = (t.name.clone(), zone.clone(), spot);
                    if self.autoscaler.paused.contains_key(&market) {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    let cost = price + crowd(crowds, zone) * 1e-6;
                    if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                        best = Some((cost, market));
                    }
                }
            }
        }
        best.map(|(_, m)| m)
    }

    /// Machines in each zone.
    fn crowds(&self) -> Crowds {
        let mut crowds = Crowds::new();
        for zone in self
            .cluster
            .machines
            .values()
            .filter_map(|m| m.zone.as_ref())
        {
            match crowds.get_mut(zone) {
                Some(n) => *n += 1,
                None => {
                    crowds.insert(zone.clone(), 1);
                }
            }
        }
        crowds
    }

    /// Returns machines that have been idle for long and that nothing waiting
    /// could use. What waits for several machines at once may never get them
    /// while idle ones elsewhere use up the cloud's room, so even a machine
    /// that it could use goes in the end.
    fn return_idle(
        &mut self,
        effects: &mut Effects,
        waiting: &[PlacementRequest],
        rows: &[MachineRow],
    ) {
        let now = effects.now.time;
        // With no job left at all there is little to be ready for.
        let quiet = self.cluster.jobs.values().all(|j| !j.is_open());
        let idle_for =
            TimeSpan::secs(self.cluster.policy.idle_s).scaled(if quiet { 0.25 } else { 1.0 });
        let mut idle: Vec<(f64, MachineId, bool)> = Vec::new();
        // What is put aside goes by its own rule.
        for row in rows.iter().filter(|r| !r.aside) {
            let Some(m) = self.cluster.machines.get_mut(&row.id) else {
                continue;
            };
            if !m.tasks.is_empty() {
                continue;
            }
            let since = now.since(*m.idle.get_or_insert(now));
            let wanted = || {
                waiting
                    .iter()
                    .any(|w| w.allows(row) && w.need.fits(&row.whole))
            };
            let long = since >= idle_for && (since >= idle_for.scaled(3.0) || !wanted());
            let price = self
                .cluster
                .machine_types
                .get(&row.kind)
                .map_or(0.0, |t| if row.spot { t.spot_price } else { t.price });
            idle.push((price, row.id.clone(), long));
        }
        let reserve = self.reserve(effects.now.wall) as usize;
        let spare = idle.len().saturating_sub(reserve);
        idle.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let go = idle.into_iter().filter(|(_, _, long)| *long).take(spare);
        for (_, id, _) in go {
            if let Some(m) = self.cluster.machines.get_mut(&id) {
                tracing::info!(machine = %id, "idle, returned");
                m.mark_for_termination("idle");
            }
        }
    }
}

#[cfg(test)]
mod tests;
