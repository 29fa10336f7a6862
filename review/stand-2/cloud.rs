//! The cloud and its machines. A machine is one of the project's agents, a process of its
//! own; a machine that is gone takes everything on it along. The cloud has as many machines
//! of each zone and kind as the case begins with: a hire is filled only for a machine that
//! was given back or taken.

use crate::cluster::{Paths, kill_marked, marked};
use crate::http;
use crate::pack::{V, map};
use crate::record::Record;
use crate::worker::{Tasks, Worker};
use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The machine type of the deployment `casa-segura`.
pub const KIND: &str = "pampa-node";
const CPUS: f64 = 32.0;
const GPUS: f64 = 4.0;
const MEMORY_GB: f64 = 192.0;
const BOOT_S: f64 = 25.0;

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub addr: SocketAddr,
    pub dir: PathBuf,
    born: Instant,
    aged_s: f64,
    pub agent: Option<Child>,
    /// Instead of an agent: a worker of the stand's own.
    worker: Option<Worker>,
    boots_until: Option<Instant>,
}

pub struct Inner {
    pub paths: Paths,
    pub record: Record,
    /// Names and addresses of the controllers, for the agents.
    pub controllers: Vec<(String, SocketAddr)>,
    pub machines: BTreeMap<String, Machine>,
    capacity: BTreeMap<(String, bool), usize>,
    hires: BTreeMap<String, Vec<String>>,
    next: u32,
}

#[derive(Clone)]
pub struct Cloud(pub Arc<Mutex<Inner>>);

pub fn free_port() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

impl Cloud {
    pub fn new(paths: Paths, record: Record, controllers: Vec<(String, SocketAddr)>) -> Cloud {
        Cloud(Arc::new(Mutex::new(Inner {
            paths,
            record,
            controllers,
            machines: BTreeMap::new(),
            capacity: BTreeMap::new(),
            hires: BTreeMap::new(),
            next: 1,
        })))
    }

    pub fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// A machine that is up from the beginning.
    pub fn up(&self, zone: &str, spot: bool) -> Result<String, String> {
        self.with(|c| {
            *c.capacity.entry((zone.into(), spot)).or_default() += 1;
            let name = c.add(zone, spot, 600.0)?;
            c.start_agent(&name)?;
            Ok(name)
        })
    }

    /// Likewise, with a worker of the stand's own in place of an agent.
    pub fn up_with_worker(&self, zone: &str, tasks: Tasks) -> Result<Worker, String> {
        self.with(|c| {
            *c.capacity.entry((zone.into(), false)).or_default() += 1;
            let name = c.add(zone, false, 600.0)?;
            let (nodes, record) = (c.controllers.clone(), c.record.clone());
            let m = c.machines.get_mut(&name).ok_or("no such machine")?;
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            m.addr = listener.local_addr().map_err(|e| e.to_string())?;
            let fields = [
                ("box", V::from(name.as_str())),
                ("addr", m.addr.to_string().into()),
                ("box_kind", KIND.into()),
                ("yard", zone.into()),
                ("borrowed", false.into()),
            ];
            let fields = fields
                .into_iter()
                .map(|(k, v)| (k.to_string(), v))
                .collect();
            let worker = Worker::start(fields, listener, nodes, tasks, record);
            m.worker = Some(worker.clone());
            Ok(worker)
        })
    }

    /// Begins to answer, and to start the agents of machines that have booted.
    pub fn serve(&self, listener: TcpListener, zones: Vec<String>) {
        let cloud = self.clone();
        http::serve(listener, move |method, target, body| {
            let (status, answer) = cloud.with(|c| c.answer(method, target, body, &zones));
            (status, answer.encode())
        });
        let cloud = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(200));
                cloud.with(|c| {
                    let now = Instant::now();
                    let due = |m: &&Machine| m.boots_until.is_some_and(|t| now >= t);
                    let names: Vec<String> = c
                        .machines
                        .values()
                        .filter(due)
                        .map(|m| m.name.clone())
                        .collect();
                    for name in names {
                        if let Some(m) = c.machines.get_mut(&name) {
                            m.boots_until = None;
                        }
                        if let Err(e) = c.start_agent(&name) {
                            c.record.line(&format!("{name}: {e}"));
                        }
                    }
                });
            }
        });
    }
}

impl Inner {
    fn add(&mut self, zone: &str, spot: bool, aged_s: f64) -> Result<String, String> {
        let name = format!("host-{:06}", self.next);
        self.next += 1;
        let dir = self.paths.dir.join("machines").join(&name);
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let machine = Machine {
            name: name.clone(),
            zone: zone.into(),
            spot,
            addr: free_port()?,
            dir,
            born: Instant::now(),
            aged_s,
            agent: None,
            worker: None,
            boots_until: None,
        };
        self.machines.insert(name.clone(), machine);
        Ok(name)
    }

    /// Starts a machine's agent, or starts it again.
    pub fn start_agent(&mut self, name: &str) -> Result<(), String> {
        let m = self.machines.get_mut(name).ok_or("no such machine")?;
        let own = m.dir.join("agent");
        let controllers: Vec<String> = self
            .controllers
            .iter()
            .map(|(label, addr)| format!("{{ label = \"{label}\", addr = \"{addr}\" }}"))
            .collect();
        let text = format!(
            "dir = {own:?}\njobs = {:?}\nstore = {:?}\ncontrollers = [{}]\n\
             times = {{ report_s = 1.0, lease_s = 10, gang_wait_s = 30.0, gang_peer_s = 8.0 }}\n\
             [machine]\nid = \"{name}\"\naddr = \"{}\"\nkind = \"{KIND}\"\nzone = \"{}\"\nspot = {}\n\
             cpus = {CPUS:?}\ngpus = {GPUS:?}\nmemory_gb = {MEMORY_GB:?}\n",
            self.paths.jobs(),
            self.paths.store(),
            controllers.join(", "),
            m.addr,
            m.zone,
            m.spot,
        );
        let settings = m.dir.join("agent.toml");
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = self.paths.log(name)?;
        let agent = Command::new(self.paths.program("pebblefold-agent"))
            .arg("serve")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("pebblefold-agent: {e}"))?;
        self.record.line(&format!(
            "{name} ({}, {}): agent started, process {}",
            m.zone,
            if m.spot { "cheap" } else { "ordinary" },
            agent.id()
        ));
        m.agent = Some(agent);
        Ok(())
    }

    /// Kills a machine's agent alone; what it started runs on.
    pub fn kill_agent(&mut self, name: &str) {
        if let Some(agent) = self.machines.get_mut(name).and_then(|m| m.agent.as_mut()) {
            let _ = agent.kill();
            let _ = agent.wait();
            self.record.line(&format!("{name}: agent killed (SIGKILL)"));
        }
    }

    /// The processes of a machine: its agent, then what was started there.
    pub fn processes(&self, name: &str) -> Vec<u32> {
        let Some(m) = self.machines.get(name) else {
            return Vec::new();
        };
        let mut all: Vec<u32> = m.agent.iter().map(Child::id).collect();
        all.extend(marked(&m.dir));
        all
    }

    /// A machine is gone, with everything on it.
    pub fn gone(&mut self, name: &str) {
        let Some(mut m) = self.machines.remove(name) else {
            return;
        };
        if let Some(worker) = &m.worker {
            worker.stop();
        }
        if let Some(agent) = m.agent.as_mut() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        kill_marked(&m.dir);
    }

    fn answer(&mut self, method: &str, target: &str, body: &[u8], zones: &[String]) -> (u16, V) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = V::decode(body).unwrap_or(V::Nil);
        let bad = (400, map(&[("error", "malformed".into())]));
        match (method, path) {
            ("GET", "/machine_types") => {
                let zones: Vec<V> = zones.iter().map(|z| z.as_str().into()).collect();
                let kind = map(&[
                    ("sku", KIND.into()),
                    ("vcpus", CPUS.into()),
                    ("accelerators", GPUS.into()),
                    ("memory_gb", MEMORY_GB.into()),
                    ("cache_gb", 80.0.into()),
                    ("fetch_gb_per_s", 0.6.into()),
                    ("rate", (1074.0 / 100.0).into()),
                    ("low_price", 2.64.into()),
                    ("startup_s", BOOT_S.into()),
                    ("yards", zones.into()),
                ]);
                (200, map(&[("kinds_of_box", vec![kind].into())]))
            }
            ("GET", "/machines") => {
                let since = query
                    .split('&')
                    .find_map(|p| p.strip_prefix("since="))
                    .unwrap_or("");
                let listed = self.machines.values().filter(|m| m.name.as_str() > since);
                let boxes: Vec<V> = listed
                    .map(|m| {
                        let stage = if m.boots_until.is_some() {
                            "booting"
                        } else {
                            "running"
                        };
                        map(&[
                            ("ref", m.name.as_str().into()),
                            ("addr", m.addr.to_string().into()),
                            ("box_kind", KIND.into()),
                            ("yard", m.zone.as_str().into()),
                            ("borrowed", m.spot.into()),
                            ("stage", stage.into()),
                            ("age_s", (m.aged_s + m.born.elapsed().as_secs_f64()).into()),
                        ])
                    })
                    .collect();
                (
                    200,
                    map(&[("boxes", boxes.into()), ("truncated", false.into())]),
                )
            }
            ("POST", "/machines") => {
                let (Some(hire), Some(zone), Some(V::Bool(spot)), Some(count)) = (
                    body.get("hire").and_then(V::text),
                    body.get("yard").and_then(V::text),
                    body.get("borrowed"),
                    body.get("count").and_then(V::int),
                ) else {
                    return bad;
                };
                if !self.hires.contains_key(hire) {
                    let up = self
                        .machines
                        .values()
                        .filter(|m| m.zone == zone && m.spot == *spot)
                        .count();
                    let all = self
                        .capacity
                        .get(&(zone.to_string(), *spot))
                        .copied()
                        .unwrap_or(0);
                    let count = all.saturating_sub(up).min(count as usize);
                    if count == 0 {
                        return (503, map(&[("error", "no capacity".into())]));
                    }
                    let mut names = Vec::new();
                    for _ in 0..count {
                        let Ok(name) = self.add(zone, *spot, 0.0) else {
                            break;
                        };
                        if let Some(m) = self.machines.get_mut(&name) {
                            m.boots_until = Some(Instant::now() + Duration::from_secs_f64(BOOT_S));
                        }
                        names.push(name);
                    }
                    self.record
                        .line(&format!("cloud: {hire} hires {names:?} in {zone}"));
                    self.hires.insert(hire.into(), names);
                }
                let names = self.hires[hire]
                    .iter()
                    .map(|n| n.as_str().into())
                    .collect::<Vec<V>>();
                (200, map(&[("boxes", names.into())]))
            }
            ("POST", "/machines/release") => {
                let names: Vec<String> = body
                    .get("boxes")
                    .map_or(&[][..], V::list)
                    .iter()
                    .filter_map(|n| n.text().map(String::from))
                    .collect();
                self.record.line(&format!("cloud: {names:?} given back"));
                for name in &names {
                    self.gone(name);
                }
                (200, map(&[]))
            }
            _ => bad,
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.gone(&name);
        }
    }
}
