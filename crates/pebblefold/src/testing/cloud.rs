//! A stand-in for the cloud.

use crate::wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachineStage, MachineType, MachineTypes, Rent,
};
use crate::wire::{decode, encode};
use std::collections::BTreeMap;

/// A rented machine.
#[derive(Clone)]
pub struct Box_ {
    /// As listed.
    pub listed: ListedMachine,
    born: u64,
    up_at: u64,
}

/// The cloud's state.
pub struct Cloud {
    /// Machines by name.
    pub boxes: BTreeMap<String, Box_>,
    rented: BTreeMap<String, (Rent, Vec<String>)>,
    history: Vec<(u64, Vec<ListedMachine>)>,
    next: u32,
    /// Answers 503 to everything.
    pub out: bool,
    zones: usize,
    /// Most machines at once.
    pub capacity: usize,
    /// Protocol breaches seen.
    pub breaches: Vec<String>,
}

impl Cloud {
    /// An empty cloud with so many zones and room for `capacity` machines.
    pub fn new(zones: usize, capacity: usize) -> Cloud {
        Cloud {
            zones,
            boxes: BTreeMap::new(),
            rented: BTreeMap::new(),
            history: Vec::new(),
            next: 1,
            out: false,
            capacity,
            breaches: Vec::new(),
        }
    }

    /// The only machine type, in so many zones.
    pub fn kind(zones: usize) -> MachineType {
        MachineType {
            name: "g4".into(),
            cpus: 16.0,
            gpus: 4.0,
            memory_gb: 128.0,
            cache_gb: 40.0,
            fetch_gb_per_s: 2.0,
            price: 4.0,
            spot_price: 1.0,
            boot_s: 10.0,
            zones: (0..zones).map(|z| format!("z{z}").into()).collect(),
        }
    }

    /// Adds a machine; returns its name.
    pub fn add(&mut self, now: u64, zone: &str, spot: bool, up_at: u64) -> String {
        let n = self.next;
        self.next += 1;
        let name = format!("host-{n:06}");
        let listed = ListedMachine {
            id: name.as_str().into(),
            addr: format!("10.1.{}.{}:9000", n / 256, n % 256),
            kind: "g4".into(),
            zone: zone.into(),
            spot,
            stage: MachineStage::Booting,
            age_s: 0.0,
        };
        self.boxes.insert(
            name.clone(),
            Box_ {
                listed,
                born: now,
                up_at,
            },
        );
        name
    }

    /// Handles a request; released machines are returned by name.
    pub fn handle(
        &mut self,
        now: u64,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> (u16, Vec<u8>, Vec<String>) {
        let error = |e: &str| encode(&serde_json::json!({"error": e}));
        if self.out {
            return (503, error("trouble"), Vec::new());
        }
        let (path, _) = target.split_once('?').unwrap_or((target, ""));
        match (method, path) {
            ("GET", "/machine_types") => (
                200,
                encode(&MachineTypes {
                    kinds: vec![Cloud::kind(self.zones)],
                }),
                Vec::new(),
            ),
            ("GET", "/machines") => {
                let at = now.saturating_sub(4_000_000);
                let list = self
                    .history
                    .iter()
                    .rev()
                    .find(|(t, _)| *t <= at)
                    .map(|(_, l)| l.clone())
                    .unwrap_or_default();
                (
                    200,
                    encode(&MachineList {
                        machines: list,
                        more: false,
                    }),
                    Vec::new(),
                )
            }
            ("POST", "/machines") => {
                let Some(r) = decode::<Rent>(body) else {
                    return (400, Vec::new(), Vec::new());
                };
                if let Some((first, names)) = self.rented.get(&r.request) {
                    if *first != r {
                        self.breaches
                            .push(format!("request name {} reused", r.request));
                    }
                    let machines = names.iter().map(|n| n.as_str().into()).collect();
                    return (200, encode(&MachineNames { machines }), Vec::new());
                }
                let n = (r.count as usize).min(self.capacity.saturating_sub(self.boxes.len()));
                if n == 0 {
                    return (503, error("no capacity"), Vec::new());
                }
                let names: Vec<String> = (0..n as u64)
                    .map(|i| self.add(now, r.zone.as_str(), r.spot, now + 6_000_000 + i * 700_000))
                    .collect();
                let machines = names.iter().map(|n| n.as_str().into()).collect();
                self.rented.insert(r.request.clone(), (r, names));
                (200, encode(&MachineNames { machines }), Vec::new())
            }
            ("POST", "/machines/release") => {
                let names: Vec<String> = decode::<MachineNames>(body)
                    .unwrap_or_default()
                    .machines
                    .iter()
                    .map(|m| m.to_string())
                    .collect();
                for n in &names {
                    self.boxes.remove(n);
                }
                (200, Vec::new(), names)
            }
            _ => {
                self.breaches.push(format!("{method} {target}"));
                (400, Vec::new(), Vec::new())
            }
        }
    }

    /// Machines that have just come up; keeps the history that lists are made of.
    pub fn tick(&mut self, now: u64) -> Vec<ListedMachine> {
        let mut up = Vec::new();
        for b in self.boxes.values_mut() {
            if b.listed.stage == MachineStage::Booting && now >= b.up_at {
                b.listed.stage = MachineStage::Running;
                up.push(b.listed.clone());
            }
            b.listed.age_s = (now - b.born) as f64 / 1e6;
        }
        if self
            .history
            .last()
            .is_none_or(|(t, _)| now >= t + 1_000_000)
        {
            self.history
                .push((now, self.boxes.values().map(|b| b.listed.clone()).collect()));
            if self.history.len() > 30 {
                self.history.remove(0);
            }
        }
        up
    }
}
