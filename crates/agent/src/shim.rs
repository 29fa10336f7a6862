//! The processes of one task attempt. A shim is a small process between the agent and the
//! task: it keeps running when the agent ends, adopts everything that the task forks, and
//! writes the exit to disk before anything reports it.
//!
//! Its directory holds, in this order: `shim.json`, created exclusively before anything
//! runs, so that a command is started at most once in a directory; `out.0`, `out.1`, ...
//! with the output, in files of bounded size of which the oldest are removed; `exit.json`,
//! written atomically and synced when all processes are gone.

use crate::process::{Process, descendants, kill_all};
use nix::sys::prctl;
use nix::sys::resource::{Resource, setrlimit};
use nix::sys::signal::{SigSet, Signal};
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{Error, ErrorKind, Read, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The file with the shim's [`Plan`], written by the agent.
pub const PLAN_FILE: &str = "plan.json";
/// The file that says that the attempt was started, and by which shim: [`ShimInfo`].
pub const SHIM_FILE: &str = "shim.json";
/// The file that says how the attempt ended: [`Exit`].
pub const EXIT_FILE: &str = "exit.json";
/// The file with a [`StopRequest`], written by the agent.
pub const STOP_FILE: &str = "stop.json";
/// The environment variable that marks a task's processes. Its value is [`Plan::attempt`].
pub const MARKER_VARIABLE: &str = "PEBBLEFOLD_ATTEMPT";

/// Interval at which the shim checks its task, the stop request and the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long killed processes may take to be gone before the exit says that they aren't.
const KILL_TIMEOUT: Duration = Duration::from_secs(30);
/// How many files of output are kept.
const MAX_OUTPUT_FILES: u64 = 4;

/// Limits of one task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum address space of one process, in bytes.
    pub memory: Option<u64>,
    /// Maximum size of one file, in bytes.
    pub file: Option<u64>,
    /// Maximum number of open files of one process.
    pub files: Option<u64>,
    /// How much of the output is kept, in bytes.
    pub output: u64,
    /// Maximum run time, in seconds.
    pub time_s: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            memory: None,
            file: None,
            files: None,
            output: 4 * 1024 * 1024,
            time_s: None,
        }
    }
}

/// What a shim runs: the content of `plan.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Identifies the attempt; the value of [`MARKER_VARIABLE`].
    pub attempt: String,
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// The whole environment, except for [`MARKER_VARIABLE`].
    pub env: BTreeMap<String, String>,
    /// The working directory.
    pub dir: PathBuf,
    /// The task's limits.
    pub limits: Limits,
    /// The file with the machine's [`Lease`]: when the lease has expired the shim kills the
    /// task, whatever became of the agent. `None`: the task has no lease.
    #[serde(default)]
    pub lease: Option<PathBuf>,
    /// The agent epoch that the attempt belongs to.
    #[serde(default)]
    #[serde(rename = "session")]
    pub epoch: u64,
}

/// The lease of a machine: the content of `lease.json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The id of the boot that `until_us` counts from.
    pub boot: String,
    /// The agent epoch that the lease belongs to.
    #[serde(rename = "session")]
    pub epoch: u64,
    /// When the lease expires, in microseconds of the steady clock.
    pub until_us: u64,
}

/// How long before the lease expires a task is killed: the controllers count the task as
/// gone from the expiry on, so it has to be gone by then.
const KILL_MARGIN_US: u64 = 250_000;

/// Microseconds of the steady clock since the machine booted, sleep included.
pub fn boottime_us() -> u64 {
    let t = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    t.map_or(0, |t| {
        t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1000
    })
}

impl Lease {
    /// Whether a task of this epoch may no longer rely on the lease: it has expired, or
    /// belongs to another boot or epoch. The lease of the next epoch doesn't cover the
    /// tasks of the last one.
    pub fn is_unusable(&self, boot: &str, epoch: u64, now_us: u64) -> bool {
        self.boot != boot || self.epoch != epoch || now_us + KILL_MARGIN_US >= self.until_us
    }
}

/// The process that runs the attempt: the content of `shim.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShimInfo {
    /// The shim's process.
    pub shim: Process,
}

/// A request to stop: the content of `stop.json`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StopRequest {
    /// Seconds from now until the task is killed; 0: immediately.
    pub grace_s: f64,
}

/// How an attempt ended: the content of `exit.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exit {
    /// The exit code; 128 plus the signal's number if a signal ended the task.
    pub code: i32,
    /// Whether a stop was requested before the task ended.
    pub stopped: bool,
    /// Whether the task was killed because it exceeded its maximum run time.
    pub too_long: bool,
    /// Whether the task was killed, or not started, because the machine's lease had
    /// expired.
    #[serde(default)]
    pub lease_over: bool,
    /// Whether everything that the task forked is proven to be gone.
    pub gone: bool,
    /// Why the task was not started; `None` if it was.
    pub not_started: Option<String>,
    /// When the shim began, in milliseconds since 1970 by this machine's clock.
    pub began_ms: u64,
    /// When the attempt ended, in milliseconds since 1970 by this machine's clock.
    pub ended_ms: u64,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Writes a file atomically: to a temporary name, synced, then renamed, and the directory
/// synced. The file survives a loss of power once this returns.
///
/// # Errors
/// The file cannot be written.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    let temporary = path.with_extension("part");
    let mut f = File::create(&temporary)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(&temporary, path)?;
    if let Some(dir) = path.parent() {
        File::open(dir)?.sync_all()?;
    }
    Ok(())
}

/// Reads a JSON file that was written atomically.
///
/// # Errors
/// The file doesn't exist, or isn't JSON of this type.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    serde_json::from_slice(&fs::read(path)?).map_err(Error::from)
}

/// Claims a directory for this shim; fails if another shim has it.
fn claim_directory(dir: &Path) -> Result<(), Error> {
    let id = std::process::id() as i32;
    let shim =
        Process::of(id).ok_or_else(|| Error::other("this process is not listed in /proc"))?;
    let mut f = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(dir.join(SHIM_FILE))?;
    f.write_all(&serde_json::to_vec(&ShimInfo { shim })?)?;
    f.sync_all()?;
    File::open(dir)?.sync_all()
}

fn set_limits(limits: &Limits) -> Result<(), Error> {
    for (resource, limit) in [
        (Resource::RLIMIT_AS, limits.memory),
        (Resource::RLIMIT_FSIZE, limits.file),
        (Resource::RLIMIT_NOFILE, limits.files),
        (Resource::RLIMIT_CORE, Some(0)),
    ] {
        if let Some(value) = limit {
            setrlimit(resource, value, value)?;
        }
    }
    Ok(())
}

fn spawn(plan: &Plan) -> Result<Child, Error> {
    let (program, arguments) = plan
        .argv
        .split_first()
        .ok_or_else(|| Error::other("no command"))?;
    fs::create_dir_all(&plan.dir)?;
    let limits = plan.limits;
    let mut command = Command::new(program);
    command
        .args(arguments)
        .current_dir(&plan.dir)
        .env_clear()
        .envs(&plan.env)
        .env(MARKER_VARIABLE, &plan.attempt)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .process_group(0);
    // SAFETY: between fork and exec, only calls are made that are allowed there: limits are
    // set, signals are unblocked, and standard error is joined to standard output.
    unsafe {
        command.pre_exec(move || {
            set_limits(&limits)?;
            SigSet::all().thread_unblock()?;
            nix::unistd::dup2_stderr(std::io::stdout())?;
            Ok(())
        });
    }
    command.spawn()
}

/// A task's output, in files of bounded size of which the newest are kept.
struct RotatingOutput {
    dir: PathBuf,
    max_file_bytes: u64,
    file_index: u64,
    /// `None` before the first byte, and while the current file cannot be created.
    file: Option<File>,
    /// Bytes of the current file, dropped ones included.
    file_bytes: u64,
}

impl RotatingOutput {
    fn new(dir: &Path, max_bytes: u64) -> RotatingOutput {
        RotatingOutput {
            dir: dir.into(),
            max_file_bytes: (max_bytes / MAX_OUTPUT_FILES).max(1),
            file_index: 0,
            file: None,
            file_bytes: 0,
        }
    }

    /// Output that cannot be written is dropped, and the task continues: a full disk
    /// doesn't make it fail.
    fn write(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.file.is_none() || self.file_bytes >= self.max_file_bytes {
                if self.file.is_some() {
                    self.file_index += 1;
                }
                if self.file_index >= MAX_OUTPUT_FILES {
                    let old = self
                        .dir
                        .join(format!("out.{}", self.file_index - MAX_OUTPUT_FILES));
                    let _ = fs::remove_file(old);
                }
                self.file = File::create(self.dir.join(format!("out.{}", self.file_index))).ok();
                self.file_bytes = 0;
            }
            let chunk = (self.max_file_bytes - self.file_bytes).min(bytes.len() as u64) as usize;
            if let Some(f) = &mut self.file {
                let _ = f.write_all(&bytes[..chunk]);
            }
            self.file_bytes += chunk as u64;
            bytes = &bytes[chunk..];
        }
    }
}

/// Runs a directory's plan to its end. The process does nothing else.
///
/// # Errors
/// The plan cannot be read, another shim has claimed the directory, or the exit cannot be
/// written.
pub fn run(dir: &Path) -> Result<(), Error> {
    let plan: Plan = read_json(&dir.join(PLAN_FILE))?;
    claim_directory(dir)?;
    // Whatever the task forks stays a descendant of the shim, in whatever session it is.
    prctl::set_child_subreaper(true)?;
    // Killing the agent's process group doesn't kill the shim.
    nix::unistd::setsid().ok();
    let began_ms = now_ms();
    let lease = LeaseFile::of(&plan)?;
    let mut exit = if lease.is_valid() {
        match spawn(&plan) {
            Ok(child) => watch(dir, &plan, &lease, child)?,
            Err(e) => not_started(e.to_string()),
        }
    } else {
        // The agent may have been stopped since it decided to start this attempt.
        Exit {
            lease_over: true,
            ..not_started("the machine's lease is over".into())
        }
    };
    (exit.began_ms, exit.ended_ms) = (began_ms, now_ms());
    write_atomically(&dir.join(EXIT_FILE), &serde_json::to_vec(&exit)?)
}

/// The exit of a task that never ran.
fn not_started(reason: String) -> Exit {
    Exit {
        code: 127,
        gone: true,
        not_started: Some(reason),
        ..Exit::default()
    }
}

/// The machine's lease, as one task reads it.
struct LeaseFile<'p> {
    path: Option<&'p Path>,
    epoch: u64,
    boot: String,
}

impl LeaseFile<'_> {
    fn of(plan: &Plan) -> Result<LeaseFile<'_>, Error> {
        Ok(LeaseFile {
            path: plan.lease.as_deref(),
            epoch: plan.epoch,
            boot: crate::process::boot_id()?,
        })
    }

    /// Whether the task may rely on the lease. A lease that cannot be read doesn't count.
    fn is_valid(&self) -> bool {
        let usable = |lease: Lease| !lease.is_unusable(&self.boot, self.epoch, boottime_us());
        self.path
            .is_none_or(|path| read_json::<Lease>(path).is_ok_and(usable))
    }
}

fn watch(dir: &Path, plan: &Plan, lease: &LeaseFile<'_>, mut child: Child) -> Result<Exit, Error> {
    let mut pipe = child.stdout.take();
    let (max_bytes, output_dir) = (plan.limits.output, dir.to_path_buf());
    // This thread ends when the last process that holds the pipe ends.
    let reader = std::thread::spawn(move || {
        let mut output = RotatingOutput::new(&output_dir, max_bytes);
        let mut buffer = vec![0; 64 * 1024];
        while let Some(n) = pipe.as_mut().and_then(|p| read_some(p, &mut buffer)) {
            output.write(&buffer[..n]);
        }
    });
    let task_id = Pid::from_raw(child.id() as i32);
    let deadline = plan.limits.time_s.filter(|s| s.is_finite() && *s >= 0.0);
    let mut deadline = deadline.map(|s| Instant::now() + Duration::from_secs_f64(s.min(1e9)));
    let mut exit = Exit::default();
    let mut killed = false;
    loop {
        match waitpid(Pid::from_raw(-1), Some(WaitPidFlag::WNOHANG)) {
            Ok(WaitStatus::Exited(id, code)) if id == task_id => {
                exit.code = code;
                break;
            }
            Ok(WaitStatus::Signaled(id, signal, _)) if id == task_id => {
                exit.code = 128 + signal as i32;
                break;
            }
            // A descendant of the task whose parent has ended.
            Ok(WaitStatus::Exited(..) | WaitStatus::Signaled(..)) => continue,
            Ok(_) => {}
            Err(e) => return Err(e.into()),
        }
        if let Ok(stop) = read_json::<StopRequest>(&dir.join(STOP_FILE)) {
            let at = Instant::now() + Duration::from_secs_f64(stop.grace_s.clamp(0.0, 1e9));
            if !exit.stopped {
                exit.stopped = true;
                deadline = Some(at);
                if let Some(p) = Process::of(task_id.as_raw()) {
                    p.signal(Signal::SIGTERM)?;
                }
            }
            // A second request can only shorten the time.
            deadline = deadline.map(|u| u.min(at));
        }
        exit.lease_over = exit.lease_over || !lease.is_valid();
        let must_end = exit.lease_over || deadline.is_some_and(|u| Instant::now() >= u);
        if must_end && !killed {
            killed = true;
            exit.too_long = !exit.stopped && !exit.lease_over;
            let shim_id = std::process::id() as i32;
            kill_all(|| descendants(shim_id), KILL_TIMEOUT)?;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    // What the task left running is killed.
    let shim_id = std::process::id() as i32;
    exit.gone = kill_all(|| descendants(shim_id), KILL_TIMEOUT)?;
    while let Ok(WaitStatus::Exited(..) | WaitStatus::Signaled(..)) =
        waitpid(Pid::from_raw(-1), Some(WaitPidFlag::WNOHANG))
    {}
    if exit.gone {
        // The thread only has to read the rest of the pipe.
        let _ = reader.join();
    }
    Ok(exit)
}

fn read_some(from: &mut impl Read, buffer: &mut [u8]) -> Option<usize> {
    loop {
        match from.read(buffer) {
            Ok(0) => return None,
            Ok(n) => return Some(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}
