//! Small stand-ins for workers, cloud and users, as the protocol page describes them, and the
//! processes of a small deployment: the state service (`pebblectl state serve`) and controllers
//! started with the deploy file's command.

use crate::wire::{V, ask, decode, encode, map, serve, t};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    pub begun: Instant,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("record.txt"));
        Arc::new(Record {
            file,
            begun: Instant::now(),
        })
    }
    pub fn at(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:6} ms  {}\n", (self.at() * 1000.0) as u64, text.as_ref());
        let mut f = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = f.write_all(line.as_bytes());
    }
}

pub fn free_addr() -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").expect("a free port");
    l.local_addr().expect("its address")
}

/// A process that ends with this program, however it ends.
pub struct Process(Child);

unsafe extern "C" {
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
    fn kill(id: i32, signal: i32) -> i32;
    fn waitpid(id: i32, status: *mut i32, options: i32) -> i32;
}

/// What the started programs leave behind becomes a child of this one.
pub fn adopt_orphans() {
    // SAFETY: 36 is PR_SET_CHILD_SUBREAPER; no memory is involved.
    unsafe { prctl(36, 1, 0, 0, 0) };
}

/// Ends what is left of this run: processes whose command line or environment names its folder.
pub fn end_all(dir: &Path) {
    let name = dir.display().to_string();
    let own = std::process::id() as i32;
    for _ in 0..3 {
        let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
        let ids = entries.filter_map(|e| e.file_name().to_str()?.parse::<i32>().ok());
        for id in ids.filter(|id| *id != own) {
            let names = |file: &str| {
                let bytes = std::fs::read(format!("/proc/{id}/{file}")).unwrap_or_default();
                String::from_utf8_lossy(&bytes).contains(&name)
            };
            if names("cmdline") || names("environ") {
                // SAFETY: a signal to a process that belongs to this run.
                unsafe { kill(id, 9) };
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    // SAFETY: reaps ended children; 1 is WNOHANG.
    while unsafe { waitpid(-1, std::ptr::null_mut(), 1) } > 0 {}
}

impl Process {
    pub fn start(program: &str, args: &[&str], log: &PathBuf, env: &[(&str, &str)]) -> Process {
        use std::os::unix::process::CommandExt;
        let out = File::create(log).expect("a log file");
        let mut c = Command::new(program);
        c.args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out);
        c.envs(env.iter().copied());
        // SAFETY: prctl is allowed between fork and exec; 1 is PR_SET_PDEATHSIG, 9 SIGKILL.
        unsafe {
            c.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        match c.spawn() {
            Ok(child) => Process(child),
            Err(e) => {
                eprintln!("{program}: {e}");
                std::process::exit(2)
            }
        }
    }
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: V,
    pub run_s: f64,
}

impl Job {
    fn needs(&self) -> [f64; 3] {
        [
            self.spec.num("vcpus"),
            self.spec.num("accelerators"),
            self.spec.num("memory_gb"),
        ]
    }
    fn gang(&self) -> bool {
        self.spec.text("shape") == "ensemble" && self.spec.num("pieces") > 1.0
    }
}

#[derive(Clone, Debug)]
pub struct Task {
    pub piece: String,
    pub attempt: i64,
    pub stage: &'static str,
    pub cause: Option<&'static str>,
    since: Instant,
}

impl Task {
    fn job(&self) -> &str {
        self.piece.rsplit_once('/').map_or("", |(j, _)| j)
    }
}

#[derive(Debug)]
pub struct Worker {
    pub name: String,
    addr: SocketAddr,
    zone: String,
    has: [f64; 3],
    /// Seconds that an image of one gigabyte takes here.
    s_per_gb: f64,
    shift: i64,
    tally: i64,
    baton: i64,
    lease_from: Instant,
    pub tasks: Vec<Task>,
    /// When each image is here, once it is asked for.
    images: BTreeMap<String, Instant>,
    changed: bool,
    early: Option<Instant>,
    pub lost_leases: u32,
}

pub struct World {
    pub record: Arc<Record>,
    pub jobs: BTreeMap<String, Job>,
    pub workers: BTreeMap<String, Worker>,
    /// Results that are kept: finished tasks.
    pub results: BTreeSet<String>,
    /// Every start of a task: when its machine had its image.
    pub starts: BTreeMap<String, Vec<f64>>,
    pub lease: Duration,
    pub report: Duration,
    pub gang_wait: Duration,
    pub gang_peer: Duration,
    /// Machines whose worker is not a stand-in: name, address and zone.
    pub others: Vec<(String, SocketAddr, String)>,
    begun: Instant,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(w: &Shared) -> MutexGuard<'_, World> {
    w.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    pub fn new(
        record: &Arc<Record>,
        report_s: f64,
        lease_s: f64,
        gang_wait_s: f64,
        gang_peer_s: f64,
    ) -> Shared {
        Arc::new(Mutex::new(World {
            record: Arc::clone(record),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            results: BTreeSet::new(),
            starts: BTreeMap::new(),
            lease: Duration::from_secs_f64(lease_s),
            report: Duration::from_secs_f64(report_s),
            gang_wait: Duration::from_secs_f64(gang_wait_s),
            gang_peer: Duration::from_secs_f64(gang_peer_s),
            others: Vec::new(),
            begun: Instant::now(),
        }))
    }

    fn exit(&mut self, worker: &str, i: usize, cause: &'static str) {
        let record = Arc::clone(&self.record);
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let task = &mut w.tasks[i];
        (task.stage, task.cause) = ("ended", Some(cause));
        w.changed = true;
        if cause == "done" {
            self.results.insert(task.piece.clone());
        }
        record.say(format!(
            "{worker}: {} try {} ended: {cause}",
            task.piece, task.attempt
        ));
    }

    fn order(&mut self, worker: &str, o: &V) {
        let (piece, attempt) = (o.text("piece"), o.int("try").unwrap_or(0));
        let job = piece.rsplit_once('/').map_or("", |(j, _)| j).to_string();
        let known = self.jobs.get(&job).cloned();
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let here = w
            .tasks
            .iter()
            .position(|x| x.piece == piece && x.attempt == attempt);
        match o.text("verb").as_str() {
            "start" if here.is_none() => {
                let live = |x: &&Task| x.stage != "ended";
                let busy = w.tasks.iter().filter(live).any(|x| x.piece == piece);
                let mut used = [0.0; 3];
                for x in w.tasks.iter().filter(live) {
                    if let Some(j) = self.jobs.get(x.job()) {
                        let n = j.needs();
                        (0..3).for_each(|k| used[k] += n[k]);
                    }
                }
                let mut task = Task {
                    piece: piece.clone(),
                    attempt,
                    stage: "fetching",
                    cause: None,
                    since: Instant::now(),
                };
                let refused = match &known {
                    None => Some("unknown"),
                    Some(_) if busy => Some("in_use"),
                    Some(j) if (0..3).any(|k| used[k] + j.needs()[k] > w.has[k] + 1e-6) => {
                        Some("no_room")
                    }
                    Some(j) => {
                        let gb = j.spec.num("size_gb");
                        let fetch = Duration::from_secs_f64(gb * w.s_per_gb);
                        w.images
                            .entry(j.spec.text("bundle"))
                            .or_insert(Instant::now() + fetch);
                        None
                    }
                };
                if let Some(cause) = refused {
                    (task.stage, task.cause) = ("ended", Some(cause));
                }
                w.tasks.push(task);
                w.changed = true;
                self.record.say(format!(
                    "{worker}: start {piece} try {attempt}{}",
                    refused.map_or(String::new(), |c| format!(" refused: {c}"))
                ));
            }
            "halt" => {
                if let Some(i) = here.filter(|i| w.tasks[*i].stage != "ended") {
                    self.record
                        .say(format!("{worker}: halt {piece} try {attempt}"));
                    self.exit(worker, i, "halted");
                }
            }
            "clear" => {
                if let Some(i) = here.filter(|i| w.tasks[*i].stage == "ended") {
                    w.tasks.remove(i);
                    w.changed = true;
                }
            }
            _ => {}
        }
    }

    /// A higher token counts as a change at most once within half a lease.
    fn raise(&mut self, worker: &str, baton: i64) {
        let half = self.lease / 2;
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        if baton > w.baton {
            w.baton = baton;
            if w.early.is_none_or(|e| e.elapsed() > half) {
                w.early = Some(Instant::now());
                w.changed = true;
            }
        }
    }

    fn checkin(&mut self, worker: &str) -> V {
        let Some(w) = self.workers.get_mut(worker) else {
            return V::Null;
        };
        w.tally += 1;
        let pieces = w.tasks.iter().map(|x| {
            let mut f = vec![
                ("piece", t(&x.piece)),
                ("try", V::Int(x.attempt)),
                ("stage", t(x.stage)),
            ];
            if let Some(c) = x.cause {
                f.push(("cause", t(c)));
            }
            map(f)
        });
        let pieces = pieces.collect();
        map(vec![
            ("box", t(&w.name)),
            ("addr", t(w.addr.to_string())),
            ("box_kind", t("pampa-node")),
            ("yard", t(&w.zone)),
            ("borrowed", V::Bool(false)),
            ("shift", V::Int(w.shift)),
            ("tally", V::Int(w.tally)),
            ("baton", V::Int(w.baton)),
            ("warning_s", V::Null),
            ("pieces", V::List(pieces)),
        ])
    }

    /// Moves tasks and leases on.
    fn step(&mut self) {
        let now = Instant::now();
        let names: Vec<String> = self.workers.values().map(|w| w.name.clone()).collect();
        for name in &names {
            let Some(w) = self.workers.get_mut(name) else {
                continue;
            };
            if now - w.lease_from > self.lease {
                if !w.tasks.is_empty() || w.baton > 0 {
                    w.lost_leases += 1;
                    let live = w.tasks.iter().filter(|x| x.stage != "ended").count();
                    self.record.say(format!(
                        "{name}: lease over, session {} ends, {live} tasks killed",
                        w.shift
                    ));
                }
                w.shift += 1;
                w.lease_from = now;
                w.tasks.clear();
                w.images.retain(|_, ready| *ready <= now);
                w.changed = true;
            }
            // A fetch is given up when no task waits for it any more.
            let jobs = &self.jobs;
            let tasks = &w.tasks;
            w.images.retain(|image, ready| {
                let waits = |x: &Task| {
                    x.stage == "fetching"
                        && jobs
                            .get(x.job())
                            .is_some_and(|j| j.spec.text("bundle") == *image)
                };
                *ready <= now || tasks.iter().any(waits)
            });
            for i in 0..w.tasks.len() {
                let Some(job) = jobs.get(w.tasks[i].job()) else {
                    continue;
                };
                let has_image = w
                    .images
                    .get(&job.spec.text("bundle"))
                    .is_some_and(|r| *r <= now);
                if w.tasks[i].stage == "fetching" && has_image {
                    w.tasks[i].stage = if job.gang() { "waiting" } else { "running" };
                    w.tasks[i].since = now;
                    w.changed = true;
                    let at = (now - self.begun).as_secs_f64();
                    self.starts
                        .entry(w.tasks[i].piece.clone())
                        .or_default()
                        .push(at);
                    self.record.say(format!(
                        "{name}: {} try {} has its image, {}",
                        w.tasks[i].piece, w.tasks[i].attempt, w.tasks[i].stage
                    ));
                }
            }
            for i in 0..self.workers[name].tasks.len() {
                let task = self.workers[name].tasks[i].clone();
                let Some(job) = self.jobs.get(task.job()) else {
                    continue;
                };
                let kept = self.results.contains(&task.piece);
                let over = task.stage == "running" && (now - task.since).as_secs_f64() >= job.run_s;
                if matches!(task.stage, "running" | "waiting") && (kept || over) {
                    self.exit(name, i, "done");
                } else if task.stage == "waiting" && now - task.since > self.gang_wait {
                    self.exit(name, i, "alone");
                }
            }
        }
        // Gangs start together, end together, and notice who is missing.
        let mut gangs: BTreeMap<(String, i64), Vec<(String, usize, &'static str)>> =
            BTreeMap::new();
        for name in &names {
            for (i, x) in self.workers[name].tasks.iter().enumerate() {
                if matches!(x.stage, "waiting" | "running")
                    && self.jobs.get(x.job()).is_some_and(Job::gang)
                {
                    let key = (x.job().to_string(), x.attempt);
                    gangs
                        .entry(key)
                        .or_default()
                        .push((name.clone(), i, x.stage));
                }
            }
        }
        for ((job, _), members) in gangs {
            let whole = self.jobs[&job].spec.num("pieces") as usize;
            if members.len() == whole && members.iter().all(|m| m.2 == "waiting") {
                for (name, i, _) in &members {
                    if let Some(w) = self.workers.get_mut(name) {
                        (w.tasks[*i].stage, w.tasks[*i].since) = ("running", now);
                        w.changed = true;
                        self.record
                            .say(format!("{name}: {} runs", w.tasks[*i].piece));
                    }
                }
            } else if members.len() < whole && members.iter().all(|m| m.2 == "running") {
                for (name, i, _) in &members {
                    let task = self.workers[name].tasks[*i].clone();
                    // `since` moves on while the gang is whole, below.
                    if now - task.since > self.gang_peer && !self.results.contains(&task.piece) {
                        self.exit(name, *i, "peers");
                    }
                }
            }
        }
    }
}

/// Brings a machine up, whose worker knows these controllers.
pub fn machine(
    world: &Shared,
    name: &str,
    zone: &str,
    has: [f64; 3],
    s_per_gb: f64,
    nodes: Vec<(String, SocketAddr)>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let worker = Worker {
        name: name.into(),
        addr,
        zone: zone.into(),
        has,
        s_per_gb,
        shift: 1,
        tally: 0,
        baton: 0,
        lease_from: Instant::now(),
        tasks: Vec::new(),
        images: BTreeMap::new(),
        changed: false,
        early: None,
        lost_leases: 0,
    };
    lock(world).workers.insert(name.into(), worker);
    let (w, n) = (Arc::clone(world), name.to_string());
    serve(listener, move |method, path, body| {
        let mut world = lock(&w);
        if !world.workers.contains_key(&n) {
            return None;
        }
        match (method, path) {
            ("POST", "/commands") => {
                let d = decode(body)?;
                let (Some(baton), Some(shift)) = (d.int("baton"), d.int("shift")) else {
                    return Some((400, Vec::new()));
                };
                let worker = &world.workers[&n];
                if baton < worker.baton || shift != worker.shift {
                    return Some((409, encode(&world.checkin(&n))));
                }
                world.raise(&n, baton);
                d.list("orders").iter().for_each(|o| world.order(&n, o));
                Some((200, encode(&world.checkin(&n))))
            }
            ("GET", "/inspect") => Some((200, encode(&world.checkin(&n)))),
            _ => Some((404, Vec::new())),
        }
    });
    let (w, n) = (Arc::clone(world), name.to_string());
    std::thread::spawn(move || report(&w, &n, &nodes));
}

/// Reports without end, one report in flight, as the page says.
fn report(world: &Shared, name: &str, nodes: &[(String, SocketAddr)]) {
    let mut node = name.bytes().map(usize::from).sum::<usize>() % nodes.len();
    let mut due = Instant::now();
    let mut sent_last = Instant::now() - Duration::from_secs(9);
    let mut luck = name.bytes().map(u64::from).sum::<u64>() | 1;
    loop {
        std::thread::sleep(Duration::from_millis(10));
        let (body, shift) = {
            let mut world = lock(world);
            let interval = world.report;
            let Some(w) = world.workers.get_mut(name) else {
                return;
            };
            let early = w.changed && sent_last.elapsed() >= Duration::from_millis(500);
            if Instant::now() < due && !early {
                continue;
            }
            w.changed = false;
            luck ^= luck << 13;
            luck ^= luck >> 7;
            luck ^= luck << 17;
            due = Instant::now() + interval.mul_f64(0.75 + (luck % 1000) as f64 / 2000.0);
            let shift = w.shift;
            (encode(&world.checkin(name)), shift)
        };
        sent_last = Instant::now();
        let answer = ask(
            nodes[node].1,
            "POST",
            "/checkin",
            &body,
            Duration::from_secs(4),
        );
        let mut world = lock(world);
        let record = Arc::clone(&world.record);
        let Some(w) = world.workers.get_mut(name) else {
            return;
        };
        match answer {
            Ok((200, body)) => {
                let Some(a) = decode(&body) else { continue };
                let baton = a.int("baton").unwrap_or(-1);
                // Dropped: a lower token, or an answer to a report of an earlier session.
                if baton < w.baton || w.shift != shift {
                    record.say(format!(
                        "{name}: answer dropped, token {baton}, have {}",
                        w.baton
                    ));
                    continue;
                }
                w.lease_from = sent_last;
                world.raise(name, baton);
                a.list("orders").iter().for_each(|o| world.order(name, o));
            }
            Ok((421, body)) => {
                let to = decode(&body).map(|a| a.text("foreman")).unwrap_or_default();
                match nodes.iter().position(|(label, _)| *label == to) {
                    Some(n) if n != node => {
                        node = n;
                        due = Instant::now() + Duration::from_millis(luck % 500);
                    }
                    _ => {
                        node = (node + 1) % nodes.len();
                        due = Instant::now() + Duration::from_secs(1);
                    }
                }
            }
            other => {
                let what = other.map_or_else(|e| e.to_string(), |(s, _)| format!("status {s}"));
                record.say(format!(
                    "{name}: report of {} bytes to {}: {what}",
                    body.len(),
                    nodes[node].0
                ));
                node = (node + 1) % nodes.len();
                due = Instant::now() + Duration::from_secs(1);
            }
        }
    }
}

/// A cloud that has no further machines to give. Returns its address.
pub fn cloud(world: &Shared, types: V) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let w = Arc::clone(world);
    serve(listener, move |method, path, body| {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        Some(match (method, path) {
            ("GET", "/machine_types") => (200, encode(&types)),
            ("POST", "/machines") => (503, encode(&map(vec![("error", t("no capacity"))]))),
            ("POST", "/machines/release") => {
                let mut world = lock(&w);
                let d = decode(body)?;
                for b in d.list("boxes") {
                    if let V::Text(name) = b {
                        world.record.say(format!("{name}: released"));
                        world.workers.remove(name);
                    }
                }
                (200, encode(&map(vec![])))
            }
            ("GET", "/machines") => {
                let world = lock(&w);
                let since = query
                    .split('&')
                    .find_map(|p| p.strip_prefix("since="))
                    .unwrap_or("");
                let listed = |x: &&Worker| x.name.as_str() > since;
                let own = world
                    .workers
                    .values()
                    .filter(listed)
                    .map(|x| (&x.name, x.addr, &x.zone));
                let others = world
                    .others
                    .iter()
                    .filter(|o| o.0.as_str() > since)
                    .map(|o| (&o.0, o.1, &o.2));
                let boxes = own.chain(others).map(|(name, addr, zone)| {
                    map(vec![
                        ("ref", t(name)),
                        ("addr", t(addr.to_string())),
                        ("box_kind", t("pampa-node")),
                        ("yard", t(zone)),
                        ("borrowed", V::Bool(false)),
                        ("stage", t("running")),
                        ("age_s", V::Num(600.0 + world.begun.elapsed().as_secs_f64())),
                    ])
                });
                (
                    200,
                    encode(&map(vec![
                        ("boxes", V::List(boxes.collect())),
                        ("truncated", V::Bool(false)),
                    ])),
                )
            }
            _ => (400, Vec::new()),
        })
    });
    addr
}

/// Users, who reach the nodes by a load balancer that works on connections.
pub struct Users {
    pub record: Arc<Record>,
    pub nodes: Vec<(String, SocketAddr)>,
}

impl Users {
    fn ask(
        &self,
        turn: usize,
        method: &str,
        path: &str,
        body: &[u8],
        patience: f64,
    ) -> Option<(u16, Option<V>)> {
        let node = &self.nodes[turn % self.nodes.len()];
        let patience = Duration::from_secs_f64(patience);
        let a = ask(node.1, method, path, body, patience).ok();
        let a = a.map(|(s, b)| (s, decode(&b)));
        let stage = a.as_ref().map(|(s, v)| {
            format!(
                "{s} {}",
                v.as_ref().map_or(String::new(), |v| v.text("stage"))
            )
        });
        self.record.say(format!(
            "user: {method} {path} at {}: {}",
            node.0,
            stage.unwrap_or("no answer".into())
        ));
        a
    }

    /// Submits a job, and again after 1 s for up to 60 s. Whether it was accepted.
    pub fn submit(&self, world: &Shared, job: &Job) -> bool {
        let id = job.spec.text("ref");
        lock(world).jobs.insert(id.clone(), job.clone());
        let body = encode(&job.spec);
        let until = Instant::now() + Duration::from_secs(60);
        let mut turn = id.bytes().map(usize::from).sum();
        while Instant::now() < until {
            match self.ask(turn, "POST", "/submissions", &body, 5.0) {
                Some((200 | 201, _)) => {
                    self.record.say(format!("user: {id} is accepted"));
                    return true;
                }
                Some((400 | 422, v)) => {
                    self.record.say(format!("user: {id} is refused: {v:?}"));
                    return false;
                }
                _ => {}
            }
            turn += 1;
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Calls a job off, and again after 1 s for up to 60 s; its stage.
    pub fn cancel(&self, id: &str) -> Option<String> {
        for turn in 0..60 {
            let path = format!("/submissions/{id}/cancel");
            if let Some((200, Some(v))) = self.ask(turn, "POST", &path, &[], 5.0) {
                return Some(v.text("stage"));
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        None
    }

    /// Polls a job once, at each node in turn until one answers; its stage.
    pub fn poll(&self, id: &str) -> Option<String> {
        for turn in 0..self.nodes.len() {
            if let Some((200, Some(v))) =
                self.ask(turn, "GET", &format!("/submissions/{id}"), &[], 2.0)
            {
                return Some(v.text("stage"));
            }
        }
        None
    }
}

/// A small deployment: a state service, and controllers in zones.
pub struct Deployment {
    pub dir: PathBuf,
    pub nodes: Vec<(String, SocketAddr)>,
    pub processes: Vec<Process>,
    _reserved: Vec<SocketAddr>,
}

/// Starts `pebblectl state serve` with the limits of the site files; returns its process and
/// address.
pub fn state_service(dir: &Path) -> (Process, SocketAddr) {
    let addr = free_addr();
    (state_service_at(dir, addr), addr)
}

/// The same at this address, from the store that an earlier one has left.
pub fn state_service_at(dir: &Path, addr: SocketAddr) -> Process {
    let admin = free_addr().to_string();
    let store = dir.join("store").display().to_string();
    let p = Process::start(
        "target/release/pebblectl",
        &[
            "state",
            "serve",
            "--dir",
            &store,
            "--listen",
            &addr.to_string(),
            "--admin",
            &admin,
            "--rps",
            "200",
            "--write-rps",
            "80",
            "--value-kb",
            "8",
            "--txn-ops",
            "48",
        ],
        &dir.join("state.log"),
        &[],
    );
    for _ in 0..200 {
        if ask(addr, "GET", "/keys/none", &[], Duration::from_millis(500)).is_ok() {
            return p;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    eprintln!("the state service does not answer");
    std::process::exit(2)
}

impl Deployment {
    /// Chooses the controllers' addresses; they are started by [`Deployment::start`].
    pub fn new(dir: PathBuf, controllers: usize) -> Deployment {
        let addrs: Vec<SocketAddr> = (0..2 * controllers).map(|_| free_addr()).collect();
        let nodes = (0..controllers)
            .map(|i| (format!("pebble-{i}"), addrs[2 * i]))
            .collect();
        Deployment {
            dir,
            nodes,
            processes: Vec::new(),
            _reserved: addrs,
        }
    }

    /// Starts the controllers with the deploy file's command; waits until one is ready.
    pub fn start(&mut self, zones: &[&str], state: SocketAddr, cloud: SocketAddr, settings: V) {
        let n = self.nodes.len();
        for i in 0..n {
            let peers = (0..n).filter(|k| *k != i).map(|k| {
                map(vec![
                    ("label", t(&self.nodes[k].0)),
                    ("zone", t(zones[k % zones.len()])),
                    ("endpoint", t(self._reserved[2 * k + 1].to_string())),
                ])
            });
            let file = map(vec![
                ("label", t(&self.nodes[i].0)),
                ("zone", t(zones[i % zones.len()])),
                ("api_addr", t(self._reserved[2 * i].to_string())),
                ("internal_addr", t(self._reserved[2 * i + 1].to_string())),
                ("peers", V::List(peers.collect())),
                (
                    "services",
                    map(vec![
                        ("cloud", t(cloud.to_string())),
                        ("state", t(state.to_string())),
                    ]),
                ),
                ("settings", settings.clone()),
            ]);
            let path = self.dir.join(format!("{}.json", self.nodes[i].0));
            std::fs::write(&path, file.json()).expect("a settings file");
            let log = self.dir.join(format!("{}.log", self.nodes[i].0));
            let p = Process::start(
                "target/release/pebblefold",
                &["--config", &path.display().to_string()],
                &log,
                &[("LOG_LEVEL", "info")],
            );
            self.processes.push(p);
        }
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let ready = |a: &SocketAddr| {
                ask(*a, "GET", "/ready", &[], Duration::from_secs(1)).is_ok_and(|r| r.0 == 200)
            };
            if self.nodes.iter().all(|(_, a)| ready(a)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        eprintln!("the controllers do not become ready");
        std::process::exit(2)
    }

    /// The lines of the controllers' logs that contain one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut out = Vec::new();
        for (label, _) in &self.nodes {
            let text =
                std::fs::read_to_string(self.dir.join(format!("{label}.log"))).unwrap_or_default();
            let lines = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
            out.extend(lines.map(|l| format!("{label}: {l}")));
        }
        out
    }
}

/// Moves the machines on until the program ends.
pub fn run_world(world: &Shared) {
    let w = Arc::clone(world);
    std::thread::spawn(move || {
        loop {
            lock(&w).step();
            std::thread::sleep(Duration::from_millis(20));
        }
    });
}
