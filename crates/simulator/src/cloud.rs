//! The cloud: machines rented by the second, some of which never come up, in a
//! list that lags.

use crate::script::{Cluster, Kind};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachineStage, MachineType, MachineTypes,
    ProvisionRequest,
};
use pebblefold_controller::wire::rate_limit::TokenBucket;
use pebblefold_controller::wire::users::ErrorResponse;
use pebblefold_controller::wire::{decode, encode};
use pebblefold_wire::http::Request;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Most machines in one request.
const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// Most names in one release.
const MAX_MACHINES_PER_TERMINATION: usize = 100;
/// Most machines in one page.
const MOST_LISTED: usize = 500;
/// How long a dead machine is still listed as running.
const DEAD_LISTED: TimeSpan = TimeSpan::millis(30_000);
/// Time between the moments that lists can describe.
const LIST_STEP: TimeSpan = TimeSpan::millis(500);
/// Least that a machine is charged for.
const LEAST_CHARGED: TimeSpan = TimeSpan::millis(60_000);
/// How far spot prices move around the usual one, and in what time.
const SPOT_MOVES: f64 = 0.33;
const SPOT_PERIOD_S: f64 = 900.0;

/// Where machines' workers are reached: two numbers before the machine's own
/// two, and a port.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The first two numbers.
    pub prefix: [u8; 2],
    /// The port.
    pub port: u16,
    /// The number of the first machine: names are never given out twice, also
    /// by a cloud that starts again.
    pub first: u32,
}

impl Addresses {
    /// The address of machine `n`.
    pub fn of(self, n: u32) -> String {
        let [a, b] = self.prefix;
        let [high, low] = (n as u16).to_be_bytes();
        format!("{a}.{b}.{high}.{low}:{}", self.port)
    }
}

#[derive(Clone, Debug)]
struct Rented {
    listed: ListedMachine,
    born: Time,
    up: Option<Time>,
    died: Option<Time>,
}

/// Something that happened to a machine.
#[derive(Clone, Debug)]
pub enum Happened {
    /// It is up; its worker begins to report.
    Up(ListedMachine),
    /// It is gone, and everything on it.
    Gone(String),
}

/// The cloud.
#[derive(Debug)]
pub struct Cloud {
    kinds: Vec<Kind>,
    zones: Vec<String>,
    capacity: BTreeMap<(String, String, bool), u32>,
    addresses: Addresses,
    lag: TimeSpan,
    never_up: f64,
    slow_boot: f64,
    calls: TokenBucket,
    machines: BTreeMap<String, Rented>,
    hires: BTreeMap<String, (ProvisionRequest, Vec<String>)>,
    lists: VecDeque<(Time, Rc<Vec<ListedMachine>>)>,
    next: u32,
    happened: Vec<Happened>,
    /// Whether its interface is down.
    pub out: bool,
    /// Whether it has nothing to give.
    pub short: bool,
    /// Zones without power: nothing is to be had there.
    pub dark: BTreeSet<String>,
    /// Uses that are not as agreed.
    pub misused: Vec<String>,
    /// Money spent, in the price's unit, up to this time.
    spent: f64,
    charged: Time,
}

type Reply = (u16, Vec<u8>);

fn error(status: u16, reason: &str) -> Reply {
    let error = reason.into();
    (status, encode(&ErrorResponse { error }))
}

impl Cloud {
    /// A cloud as a script describes it, its first machines up.
    pub fn new(cluster: &Cluster, addresses: Addresses) -> Cloud {
        let mut cloud = Cloud {
            kinds: cluster.kinds.clone(),
            zones: cluster.zones.clone(),
            capacity: BTreeMap::new(),
            addresses,
            lag: TimeSpan::secs(cluster.cloud.list_lag_s),
            never_up: cluster.cloud.never_up,
            slow_boot: cluster.cloud.slow_boot,
            calls: TokenBucket::new(cluster.cloud.rps, cluster.cloud.rps * 2.0),
            machines: BTreeMap::new(),
            hires: BTreeMap::new(),
            lists: VecDeque::new(),
            next: addresses.first,
            happened: Vec::new(),
            out: false,
            short: false,
            dark: BTreeSet::new(),
            misused: Vec::new(),
            spent: 0.0,
            charged: Time(0),
        };
        for m in &cluster.machines {
            let market = (m.kind.clone(), m.zone.clone(), m.spot);
            *cloud.capacity.entry(market).or_default() += m.capacity;
            for _ in 0..m.up {
                cloud.add(Time(0), &m.kind, &m.zone, m.spot, Some(Time(0)));
            }
        }
        cloud
    }

    fn add(&mut self, now: Time, kind: &str, zone: &str, spot: bool, up: Option<Time>) -> String {
        let n = self.next;
        self.next += 1;
        let name = format!("host-{n:06}");
        let listed = ListedMachine {
            id: name.as_str().into(),
            addr: self.addresses.of(n),
            kind: kind.into(),
            zone: zone.into(),
            spot,
            stage: MachineStage::Booting,
            age_s: 0.0,
        };
        let machine = Rented {
            listed,
            born: now,
            up,
            died: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// The machine types, as the cloud tells them.
    pub fn types(&self, now: Time) -> MachineTypes {
        let zones = |k: &Kind| {
            let has = |z: &&String| {
                self.capacity
                    .keys()
                    .any(|(n, zone, _)| *n == k.name && zone == *z)
            };
            self.zones
                .iter()
                .filter(has)
                .map(|z| z.as_str().into())
                .collect()
        };
        let one = |k: &Kind| MachineType {
            name: k.name.as_str().into(),
            cpus: k.cpus,
            gpus: k.gpus,
            memory_gb: k.memory_gb,
            cache_gb: k.cache_gb,
            fetch_gb_per_s: k.fetch_gb_per_s,
            price: k.price,
            spot_price: self.price(now, k, true),
            boot_s: k.boot_s,
            zones: zones(k),
        };
        MachineTypes {
            kinds: self.kinds.iter().map(one).collect(),
        }
    }

    /// Handles a request.
    pub fn handle(&mut self, now: Time, rng: &mut StdRng, r: &Request) -> Reply {
        if self.out {
            return error(503, "trouble");
        }
        if !self.calls.try_take(now, 1.0) {
            return error(429, "too many calls");
        }
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/machine_types") => (200, encode(&self.types(now))),
            ("GET", "/machines") => self.list(now, rng, &r.query),
            ("POST", "/machines") => match decode::<ProvisionRequest>(&r.body) {
                Some(rent) => self.rent(now, rng, rent),
                None => self.misuse("a hire cannot be read"),
            },
            ("POST", "/machines/release") => match decode::<MachineNames>(&r.body) {
                Some(names) if names.machines.len() <= MAX_MACHINES_PER_TERMINATION => {
                    for m in &names.machines {
                        self.remove(now, m.as_str());
                    }
                    (200, encode(&MachineNames::default()))
                }
                _ => self.misuse("a release cannot be read, or names over 100 machines"),
            },
            (method, path) => self.misuse(&format!("{method} {path}")),
        }
    }

    fn misuse(&mut self, what: &str) -> Reply {
        self.misused.push(format!("cloud: {what}"));
        error(400, what)
    }

    fn rent(&mut self, now: Time, rng: &mut StdRng, r: ProvisionRequest) -> Reply {
        let named = |names: &[String]| {
            let machines = names.iter().map(|n| n.as_str().into()).collect();
            (200, encode(&MachineNames { machines }))
        };
        if let Some((first, names)) = self.hires.get(&r.request) {
            if *first != r {
                self.misused
                    .push(format!("cloud: hire {} reused", r.request));
            }
            return named(names);
        }
        let kind = self.kinds.iter().find(|k| k.name == r.kind.as_str());
        let Some(boot) = kind
            .map(|k| TimeSpan::secs(k.boot_s))
            .filter(|_| (1..=MAX_MACHINES_PER_PROVISION).contains(&r.count))
        else {
            return self.misuse("a hire of an unknown type, or of no or over 50 machines");
        };
        let market = (r.kind.to_string(), r.zone.to_string(), r.spot);
        let have = self.capacity.get(&market).copied().unwrap_or(0);
        let taken = self.machines.values().filter(|m| {
            m.died.is_none()
                && m.listed.kind == r.kind
                && m.listed.zone == r.zone
                && m.listed.spot == r.spot
        });
        let free = if self.short || self.dark.contains(&market.1) {
            0
        } else {
            have.saturating_sub(taken.count() as u32)
        };
        if free == 0 {
            return error(503, "no capacity");
        }
        let names: Vec<String> = (0..free.min(r.count))
            .map(|_| {
                let up = self.boots(now, rng, boot);
                self.add(now, &market.0, &market.1, r.spot, up)
            })
            .collect();
        let answer = named(&names);
        self.hires.insert(r.request.clone(), (r, names));
        answer
    }

    /// When a machine is up, if ever.
    fn boots(&self, now: Time, rng: &mut StdRng, usual: TimeSpan) -> Option<Time> {
        if rng.random_bool(self.never_up.clamp(0.0, 1.0)) {
            return None;
        }
        let factor = if rng.random_bool(self.slow_boot.clamp(0.0, 1.0)) {
            4.0
        } else if rng.random_bool(0.05) {
            0.05
        } else {
            rng.random_range(0.6..1.5)
        };
        Some(now + usual.scaled(factor))
    }

    fn list(&mut self, now: Time, rng: &mut StdRng, query: &str) -> Reply {
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.clone().find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let since = param("since").unwrap_or("");
        let most = param("most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(MOST_LISTED);
        let most: usize = most.min(MOST_LISTED);
        // A list may be older than the one before it.
        let lag = if rng.random_bool(0.2) {
            self.lag.scaled(rng.random_range(1.0..2.0))
        } else {
            self.lag
        };
        let at = now - lag;
        let seen = self.lists.iter().rev().find(|(t, _)| *t <= at);
        let seen = seen.map(|(_, l)| Rc::clone(l)).unwrap_or_default();
        let from = seen.partition_point(|m| m.id.as_str() <= since);
        let machines = seen[from..].iter().take(most).cloned().collect();
        let more = seen.len() - from > most;
        (200, encode(&MachineList { machines, more }))
    }

    /// The price an hour now: of spot machines the current one, whenever they
    /// were rented.
    fn price(&self, now: Time, kind: &Kind, spot: bool) -> f64 {
        if !spot {
            return kind.price;
        }
        let place = self.kinds.iter().position(|k| k.name == kind.name);
        let phase = now.0 as f64 / 1e6 / SPOT_PERIOD_S + place.unwrap_or(0) as f64 * 0.37;
        kind.spot_price * (1.0 + SPOT_MOVES * (phase * std::f64::consts::TAU).sin())
    }

    fn price_of(&self, now: Time, m: &ListedMachine) -> f64 {
        let kind = self.kinds.iter().find(|k| k.name == m.kind.as_str());
        kind.map_or(0.0, |k| self.price(now, k, m.spot))
    }

    /// Charges what machines cost since the last time.
    fn charge(&mut self, now: Time) {
        let step = now.since(self.charged).as_secs() / 3600.0;
        self.charged = now;
        let alive = self.machines.values().filter(|m| m.died.is_none());
        let cost: f64 = alive.map(|m| self.price_of(now, &m.listed) * step).sum();
        self.spent += cost;
    }

    fn remove(&mut self, now: Time, name: &str) {
        if let Some(m) = self.machines.remove(name) {
            let short = LEAST_CHARGED.0.saturating_sub(now.since(m.born).0);
            if m.died.is_none() {
                self.spent += self.price_of(now, &m.listed) * TimeSpan(short).as_secs() / 3600.0;
            }
            self.happened.push(Happened::Gone(name.into()));
        }
    }

    /// A spot machine is taken back, or a machine vanishes from the cloud.
    pub fn take(&mut self, now: Time, name: &str) {
        self.remove(now, name);
    }

    /// A machine stops on its own; it stays listed, first as running.
    pub fn kill(&mut self, now: Time, name: &str) {
        if let Some(m) = self.machines.get_mut(name)
            && m.died.is_none()
        {
            m.died = Some(now);
            self.happened.push(Happened::Gone(name.into()));
        }
    }

    /// Machines that are there, with their zone and kind.
    pub fn machines(&self) -> impl Iterator<Item = &ListedMachine> {
        let there = self.machines.values().filter(|m| m.died.is_none());
        there.map(|m| &m.listed)
    }

    /// The number of the next machine.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Money spent up to the last step.
    pub fn cost(&self) -> f64 {
        self.spent
    }

    /// Lets time pass; returns what happened to machines.
    pub fn advance(&mut self, now: Time) -> Vec<Happened> {
        self.charge(now);
        for m in self.machines.values_mut() {
            if m.listed.stage == MachineStage::Booting
                && m.died.is_none()
                && m.up.is_some_and(|t| now >= t)
            {
                m.listed.stage = MachineStage::Running;
                self.happened.push(Happened::Up(m.listed.clone()));
            }
            if m.died.is_some_and(|t| now.since(t) >= DEAD_LISTED) {
                m.listed.stage = MachineStage::Failed;
            }
        }
        if self
            .lists
            .back()
            .is_none_or(|(t, _)| now.since(*t) >= LIST_STEP)
        {
            let list = self.machines.values().map(|m| {
                let age_s = now.since(m.born).as_secs();
                ListedMachine {
                    age_s,
                    ..m.listed.clone()
                }
            });
            self.lists.push_back((now, Rc::new(list.collect())));
            let old = self.lag + self.lag + LIST_STEP + LIST_STEP;
            while self.lists.front().is_some_and(|(t, _)| now.since(*t) > old) {
                self.lists.pop_front();
            }
        }
        std::mem::take(&mut self.happened)
    }
}
