//! A small deployment: the state service, three controllers, the cloud with its machines, and
//! the users.

use crate::cloud::{Cloud, free_port};
use crate::http::ask;
use crate::pack::{V, map};
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    #[link_name = "signal"]
    fn signal_handler(number: i32, handler: extern "C" fn(i32)) -> usize;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn signal(pid: u32, number: i32) {
    // SAFETY: the call has no memory effects; the process was started by this program.
    unsafe { kill(pid as i32, number) };
}

/// The processes whose environment names this directory, in the order of their ids: the
/// tasks, and the processes between them and their agent, that were started there.
pub fn marked(dir: &Path) -> Vec<u32> {
    let name = dir.display().to_string();
    let mut all = Vec::new();
    for entry in fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry
            .file_name()
            .to_str()
            .and_then(|s| s.parse::<u32>().ok())
        else {
            continue;
        };
        let environ = fs::read(entry.path().join("environ")).unwrap_or_default();
        let marked = environ.split(|b| *b == 0).any(|e| {
            e.starts_with(b"PEBBLEFOLD_ATTEMPT=") && String::from_utf8_lossy(e).contains(&name)
        });
        if marked && pid != std::process::id() {
            all.push(pid);
        }
    }
    all.sort_unstable();
    all
}

/// Kills those processes.
pub fn kill_marked(dir: &Path) {
    for _ in 0..5 {
        let all = marked(dir);
        if all.is_empty() {
            return;
        }
        all.iter().for_each(|pid| signal(*pid, SIGKILL));
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Kills the processes whose command, environment or working directory names this directory,
/// which is the run's own.
pub fn kill_named(dir: &Path) {
    let name = dir.display().to_string();
    let mut all = Vec::new();
    for entry in fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry
            .file_name()
            .to_str()
            .and_then(|s| s.parse::<u32>().ok())
        else {
            continue;
        };
        let read = |file: &str| fs::read(entry.path().join(file)).unwrap_or_default();
        let within = fs::read_link(entry.path().join("cwd")).is_ok_and(|cwd| cwd.starts_with(dir));
        let texts = [read("cmdline"), read("environ")];
        let named = texts
            .iter()
            .any(|t| String::from_utf8_lossy(t).contains(&name));
        if pid != std::process::id() && (within || named) {
            all.push(pid);
        }
    }
    all.iter().for_each(|pid| signal(*pid, SIGKILL));
}

/// The directory of this run, once there is one.
static OWN: std::sync::OnceLock<PathBuf> = std::sync::OnceLock::new();
/// Whether somebody asked this program to end.
static ASKED: std::sync::atomic::AtomicBool = std::sync::atomic::AtomicBool::new(false);

extern "C" fn asked(_: i32) {
    ASKED.store(true, std::sync::atomic::Ordering::Relaxed);
}

/// Ends everything that the run has left, however it went.
pub fn sweep() {
    if let Some(dir) = OWN.get() {
        for _ in 0..5 {
            kill_named(dir);
            std::thread::sleep(Duration::from_millis(20));
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(dir);
        }
    }
}

/// Sweeps also when this program is asked to end.
pub fn sweep_when_asked() {
    for number in [1, 2, SIGTERM] {
        // SAFETY: the handler only stores a flag.
        unsafe { signal_handler(number, asked) };
    }
    std::thread::spawn(|| {
        while !ASKED.load(std::sync::atomic::Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
        }
        sweep();
        std::process::exit(2);
    });
}

/// Ends the run after 118 s at the latest, with everything that it started.
pub fn guard(first: u32, dir: &Path) {
    let dir = dir.to_path_buf();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(117));
        signal(first, SIGKILL);
        kill_named(&dir);
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}

/// Ends a child that was started here.
pub fn kill_group(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

#[derive(Clone)]
pub struct Paths {
    /// The root of the repository.
    pub root: PathBuf,
    /// The run's own temporary directory.
    pub dir: PathBuf,
}

impl Paths {
    pub fn create(case: &str) -> Result<Paths, String> {
        let exe = std::env::current_exe().map_err(|e| e.to_string())?;
        // target/review-2/stand
        let root = exe.ancestors().nth(3).ok_or("no repository")?.to_path_buf();
        let dir =
            std::env::temp_dir().join(format!("pebblefold-review-2-{case}-{}", std::process::id()));
        let _ = OWN.set(dir.clone());
        for sub in ["jobs/jobs", "jobs/commands", "store", "logs"] {
            fs::create_dir_all(dir.join(sub)).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        let paths = Paths { root, dir };
        for name in ["pebblefold", "pebblectl", "pebblefold-agent"] {
            if !paths.program(name).exists() {
                return Err(format!(
                    "target/release/{name} is missing: run review/build-2.sh"
                ));
            }
        }
        Ok(paths)
    }
    pub fn program(&self, name: &str) -> PathBuf {
        self.root.join("target/release").join(name)
    }
    /// The directory with users' jobs, as the agents read them.
    pub fn jobs(&self) -> PathBuf {
        self.dir.join("jobs")
    }
    /// The directory that all machines share.
    pub fn store(&self) -> PathBuf {
        self.dir.join("store")
    }
    pub fn log(&self, name: &str) -> Result<File, String> {
        let path = self.dir.join("logs").join(format!("{name}.log"));
        let file = File::options().append(true).create(true).open(path);
        file.map_err(|e| e.to_string())
    }
}

struct Controller {
    settings: PathBuf,
    label: String,
    api: SocketAddr,
    process: Option<Child>,
}

pub struct Cluster {
    pub paths: Paths,
    pub record: Record,
    pub cloud: Cloud,
    state: Child,
    controllers: Vec<Controller>,
}

pub const ZONES: [&str; 4] = ["poa-central", "caxias-room", "cloud-sul", "cloud-sudeste"];

/// The settings of one controller: those of the deployment `casa-segura`.
fn settings_text(
    own: usize,
    api: &[SocketAddr],
    internal: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> String {
    let peers: Vec<String> = (0..api.len())
        .filter(|i| *i != own)
        .map(|i| {
            format!(
                r#"{{"label":"pebble-{i}","zone":"{}","endpoint":"{}"}}"#,
                ZONES[i], internal[i]
            )
        })
        .collect();
    let zones: Vec<String> = ZONES.iter().map(|z| format!("\"{z}\"")).collect();
    format!(
        r#"{{"label":"pebble-{own}","zone":"{}","api_addr":"{}","internal_addr":"{}","peers":[{}],
"services":{{"cloud":"{cloud}","state":"{state}"}},
"settings":{{"size":{},"zones":[{}],
"teams":[{{"name":"scoring-crew","cpus":0.0,"cpus_max":0.0,"gpus":64.0,"gpus_max":184.0}},
{{"name":"landlord-desk","cpus":0.0,"cpus_max":0.0,"gpus":64.0,"gpus_max":184.0}}],
"objectives":[{{"kind":"wait","class":"score-urgent","within_s":18.0,"share":0.88}},
{{"kind":"finished","class":"score-urgent","within_s":350.0,"share":0.88}},
{{"kind":"deadline","class":"fraud-backfill","share":0.96}},
{{"kind":"guarantee","within_s":20.0,"share":0.9}}],
"workers":{{"report_s":1.0,"lease_s":10,"gang_wait_s":30.0,"gang_peer_s":8.0,"cancel_s":40.0}},
"state":{{"rps":200.0,"write_rps":80.0,"value_kb":8.0,"txn_ops":48}},
"cloud":{{"rps":6.0,"list_lag_s":4.0}},
"quota":{{"core_share":0.12,"ram_mb":56.0,"max_sockets":900}},
"clock_error_ms":1000.0}}}}"#,
        ZONES[own],
        api[own],
        internal[own],
        peers.join(","),
        api.len(),
        zones.join(",")
    )
}

/// A job as users submit it; the cases change fields of it.
pub fn job(id: &str) -> Vec<(&'static str, V)> {
    vec![
        ("ref", id.into()),
        ("lane", "fraud-backfill".into()),
        ("crew", "scoring-crew".into()),
        ("shape", "batch".into()),
        ("urgency", "low".into()),
        ("pieces", 1.into()),
        ("vcpus", 6.0.into()),
        ("accelerators", 1.0.into()),
        ("memory_gb", 36.0.into()),
        ("bundle", "img-01".into()),
        ("size_gb", 1.0.into()),
        ("kinds_of_box", V::Nil),
        ("yard", V::Nil),
        ("same_place", false.into()),
        ("scatter", false.into()),
        ("borrowed", true.into()),
        ("guess_s", 12.0.into()),
        ("snapshot_every_s", 0.0.into()),
        ("snapshot_s", 0.0.into()),
        ("due_s", V::Nil),
    ]
}

/// Changes fields of a job.
pub fn with(
    mut job: Vec<(&'static str, V)>,
    changes: &[(&'static str, V)],
) -> Vec<(&'static str, V)> {
    for (name, value) in changes {
        if let Some(field) = job.iter_mut().find(|(n, _)| n == name) {
            field.1 = value.clone();
        }
    }
    job
}

impl Cluster {
    /// Starts everything but the machines, and waits until a node is ready.
    pub fn start(case: &str, record: &Record) -> Result<Cluster, String> {
        let paths = Paths::create(case)?;
        let (state_addr, admin) = (free_port()?, free_port()?);
        let state = Command::new(paths.program("pebblectl"))
            .args(["state", "serve", "--dir"])
            .arg(paths.dir.join("state"))
            .args([
                "--listen",
                &state_addr.to_string(),
                "--admin",
                &admin.to_string(),
            ])
            .args(["--rps", "200", "--write-rps", "80"])
            .stdin(Stdio::null())
            .stdout(paths.log("state")?)
            .stderr(paths.log("state")?)
            .spawn()
            .map_err(|e| format!("pebblectl state serve: {e}"))?;
        guard(state.id(), &paths.dir);
        let cloud_listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let cloud_addr = cloud_listener.local_addr().map_err(|e| e.to_string())?;
        let mut api = Vec::new();
        let mut internal = Vec::new();
        for _ in 0..3 {
            api.push(free_port()?);
            internal.push(free_port()?);
        }
        let named = api
            .iter()
            .enumerate()
            .map(|(i, a)| (format!("pebble-{i}"), *a));
        let cloud = Cloud::new(paths.clone(), record.clone(), named.collect());
        cloud.serve(
            cloud_listener,
            ZONES.iter().map(|z| z.to_string()).collect(),
        );
        let mut cluster = Cluster {
            paths: paths.clone(),
            record: record.clone(),
            cloud,
            state,
            controllers: Vec::new(),
        };
        for i in 0..3 {
            let settings = paths.dir.join(format!("pebble-{i}.json"));
            let text = settings_text(i, &api, &internal, cloud_addr, state_addr);
            fs::write(&settings, text).map_err(|e| e.to_string())?;
            cluster.controllers.push(Controller {
                settings,
                label: format!("pebble-{i}"),
                api: api[i],
                process: None,
            });
            cluster.start_controller(i)?;
        }
        let begun = Instant::now();
        while !cluster.is_ready() {
            if begun.elapsed() > Duration::from_secs(20) {
                return Err("no controller is ready after 20 s".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record.line("the controllers are ready");
        Ok(cluster)
    }

    fn start_controller(&mut self, i: usize) -> Result<(), String> {
        let log = self.paths.log(&self.controllers[i].label)?;
        let c = &mut self.controllers[i];
        // As `deploy/service.toml` has it.
        let process = Command::new(self.paths.program("pebblefold"))
            .arg("--config")
            .arg(&c.settings)
            .env("LOG_LEVEL", "debug")
            .current_dir(&self.paths.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("pebblefold: {e}"))?;
        self.record
            .line(&format!("{}: started, process {}", c.label, process.id()));
        c.process = Some(process);
        Ok(())
    }

    fn is_ready(&self) -> bool {
        self.controllers.iter().all(|c| {
            let answer = ask(c.api, "GET", "/ready", &[], Duration::from_secs(1));
            answer.is_ok_and(|(status, _)| status == 200)
        })
    }

    /// One request of a user; nodes are tried in turn until one answers.
    pub fn request(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, V)> {
        for c in &self.controllers {
            if let Ok((status, answer)) = ask(c.api, method, path, body, Duration::from_secs(5))
                && !matches!(status, 429 | 503 | 504)
            {
                return Some((status, V::decode(&answer).unwrap_or(V::Nil)));
            }
        }
        None
    }

    /// Puts a job's description and command where the agents find them, and submits it until
    /// it is accepted.
    pub fn submit(
        &self,
        job: &[(&'static str, V)],
        command: &str,
        env: &[(&str, String)],
    ) -> Result<String, String> {
        let id = job[0].1.text().unwrap_or("").to_string();
        let description = map(job);
        let mut vars: Vec<(&str, V)> = vec![("PATH", "/usr/local/bin:/usr/bin:/bin".into())];
        vars.extend(env.iter().map(|(k, v)| (*k, v.as_str().into())));
        let spec = map(&[
            (
                "argv",
                vec!["/bin/sh".into(), "-c".into(), command.into()].into(),
            ),
            ("dir", "".into()),
            ("env", map(&vars)),
        ]);
        let write = |sub: &str, v: &V| {
            fs::write(self.paths.jobs().join(sub).join(&id), v.encode()).map_err(|e| e.to_string())
        };
        write("jobs", &description)?;
        write("commands", &spec)?;
        let begun = Instant::now();
        loop {
            let answer = self.request("POST", "/submissions", &description.encode());
            if let Some((status, body)) = answer {
                self.record.line(&format!(
                    "user: POST /submissions {description} -> {status} {body}"
                ));
                return match status {
                    200 | 201 => Ok(id),
                    _ => Err(format!("{id} was refused with {status}")),
                };
            }
            if begun.elapsed() > Duration::from_secs(20) {
                return Err(format!("{id} was not accepted within 20 s"));
            }
            std::thread::sleep(Duration::from_millis(1000));
        }
    }

    /// The stage that a user is told; `None`: no answer.
    pub fn stage(&self, id: &str) -> Option<String> {
        let (status, body) = self.request("GET", &format!("/submissions/{id}"), &[])?;
        match body.get("stage").and_then(V::text) {
            Some(stage) if status == 200 => Some(stage.into()),
            _ => Some(format!("status {status}")),
        }
    }

    pub fn cancel(&self, id: &str) -> Result<(), String> {
        for _ in 0..10 {
            if let Some((status, body)) =
                self.request("POST", &format!("/submissions/{id}/cancel"), &[])
            {
                self.record.line(&format!(
                    "user: POST /submissions/{id}/cancel -> {status} {body}"
                ));
                if status == 200 {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(1000));
        }
        Err(format!("{id} could not be cancelled"))
    }

    /// Polls once a second until the job has this stage, or for so long; true if it has it.
    /// Each change of the stage is recorded.
    pub fn wait_for(&self, id: &str, stage: &str, limit: Duration) -> bool {
        let begun = Instant::now();
        let mut last = None;
        loop {
            let now = self.stage(id);
            if now != last {
                let text = now.as_deref().unwrap_or("no answer");
                self.record
                    .line(&format!("user: GET /submissions/{id} -> {text}"));
            }
            if now.as_deref() == Some(stage) {
                return true;
            }
            if begun.elapsed() >= limit {
                return false;
            }
            last = now;
            std::thread::sleep(Duration::from_millis(500));
        }
    }

    /// A worker's own report, by `GET /inspect`.
    pub fn inspect(&self, machine: &str) -> Option<V> {
        let addr = self
            .cloud
            .with(|c| c.machines.get(machine).map(|m| m.addr))?;
        let (status, body) = ask(addr, "GET", "/inspect", &[], Duration::from_secs(2)).ok()?;
        V::decode(&body).filter(|_| status == 200)
    }

    /// The machines that there are.
    pub fn machines(&self) -> Vec<String> {
        self.cloud.with(|c| c.machines.keys().cloned().collect())
    }

    /// Records what each machine says of itself.
    pub fn record_machines(&self) {
        for name in self.machines() {
            match self.inspect(&name) {
                Some(report) => self
                    .record
                    .line(&format!("{name}: GET /inspect -> {report}")),
                None => self.record.line(&format!("{name}: no answer")),
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for c in &mut self.controllers {
            if let Some(process) = c.process.as_mut() {
                kill_group(process);
            }
        }
        kill_group(&mut self.state);
        let names: Vec<String> = self.cloud.with(|c| c.machines.keys().cloned().collect());
        for name in names {
            self.cloud.with(|c| c.gone(&name));
        }
        kill_named(&self.paths.dir);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.paths.dir);
        }
    }
}
