//! One task's processes. A shim is a small process of its own between the agent
//! and the task: it lives on when the agent ends, gathers everything that the task
//! forks, and writes the result to disk before anybody hears of it.
//!
//! Its directory holds, in this order: `shim.json`, made by exclusive creation
//! before anything runs, so that a command is begun at most once in a directory;
//! `out.0`, `out.1`, ... the output, in pieces of bounded size, the oldest given
//! up; `exit.json`, written whole and synced when everything is gone.

use crate::process::{Process, below, end_all};
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

/// What the shim is to do.
pub const PLAN: &str = "plan.json";
/// That it was begun, and by which process.
pub const BEGUN: &str = "shim.json";
/// How it ended.
pub const EXIT: &str = "exit.json";
/// That it is to save and end: written by the agent.
pub const STOP: &str = "stop.json";
/// The variable by which a task's processes are known.
pub const MARK: &str = "PEBBLEFOLD_ATTEMPT";

/// How often the shim looks at its task.
const LOOK: Duration = Duration::from_millis(10);
/// How long what is killed may take to be gone before the shim says so.
const GONE: Duration = Duration::from_secs(30);
/// Pieces of output that are kept.
const PIECES: u64 = 4;

/// Limits of one task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of one process's memory.
    pub memory: Option<u64>,
    /// Bytes of one file.
    pub file: Option<u64>,
    /// Open files of one process.
    pub files: Option<u64>,
    /// Bytes of output that are kept.
    pub output: u64,
    /// Seconds it may take.
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

/// What a shim is to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Names the attempt, for good.
    pub attempt: String,
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// The whole environment, but for [`MARK`].
    pub env: BTreeMap<String, String>,
    /// Where it runs.
    pub dir: PathBuf,
    /// Its limits.
    pub limits: Limits,
    /// The file that says how long the machine's lease lasts: when it is over the
    /// task ends, whatever became of the agent.
    #[serde(default)]
    pub lease: Option<PathBuf>,
    /// The session that it belongs to.
    #[serde(default)]
    #[serde(rename = "session")]
    pub epoch: u64,
}

/// How long a machine's lease lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The start of the machine that the time counts from.
    pub boot: String,
    /// The session that it is the lease of.
    #[serde(rename = "session")]
    pub epoch: u64,
    /// Until when, in microseconds of the steady clock.
    pub until_us: u64,
}

/// How much earlier than the lease a task begins to be ended: the controllers
/// count it as gone when the lease is over, so it has to be by then.
const AHEAD_US: u64 = 250_000;

/// Microseconds of the steady clock since the machine started, sleep included.
pub fn steady_us() -> u64 {
    let t = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    t.map_or(0, |t| {
        t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1000
    })
}

impl Lease {
    /// Whether it is over, or of another start of the machine or session: what the
    /// next session has is no lease for the tasks of the one before.
    pub fn over(&self, boot: &str, epoch: u64, now_us: u64) -> bool {
        self.boot != boot || self.epoch != epoch || now_us + AHEAD_US >= self.until_us
    }
}

/// Who runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// The shim.
    pub shim: Process,
}

/// A request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// Seconds from now until it is killed; 0: at once.
    pub grace_s: f64,
}

/// How a task ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exit {
    /// Its exit code; 128 and the signal's number if a signal ended it.
    pub code: i32,
    /// Whether it was asked to stop before it ended.
    pub stopped: bool,
    /// Whether it took longer than it may.
    pub too_long: bool,
    /// Whether it was ended because the machine's lease was over.
    #[serde(default)]
    pub lease_over: bool,
    /// Whether everything that it forked is proven to be gone.
    pub gone: bool,
    /// Why it was not started, if so.
    pub not_started: Option<String>,
    /// When it began and ended, in milliseconds since 1970 by this machine's clock.
    pub began_ms: u64,
    /// Likewise.
    pub ended_ms: u64,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Writes a file whole: beside its place, synced, then renamed, and the directory
/// synced, so that it outlives a loss of power once this returns.
///
/// # Errors
/// It cannot be written.
pub fn write_whole(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    let beside = path.with_extension("part");
    let mut f = File::create(&beside)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(&beside, path)?;
    if let Some(dir) = path.parent() {
        File::open(dir)?.sync_all()?;
    }
    Ok(())
}

/// Reads a file of JSON that was written whole.
///
/// # Errors
/// It is not there, or no JSON of this form.
pub fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    serde_json::from_slice(&fs::read(path)?).map_err(Error::from)
}

/// Takes a directory for this shim; an error if another one has it.
fn begin(dir: &Path) -> Result<(), Error> {
    let id = std::process::id() as i32;
    let shim = Process::of(id).ok_or_else(|| Error::other("this process is not seen"))?;
    let mut f = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(dir.join(BEGUN))?;
    f.write_all(&serde_json::to_vec(&Begun { shim })?)?;
    f.sync_all()?;
    File::open(dir)?.sync_all()
}

fn limit(l: &Limits) -> Result<(), Error> {
    for (resource, most) in [
        (Resource::RLIMIT_AS, l.memory),
        (Resource::RLIMIT_FSIZE, l.file),
        (Resource::RLIMIT_NOFILE, l.files),
        (Resource::RLIMIT_CORE, Some(0)),
    ] {
        if let Some(m) = most {
            setrlimit(resource, m, m)?;
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
        .env(MARK, &plan.attempt)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .process_group(0);
    // SAFETY: between fork and exec only calls that may be made there: limits are
    // set, signals let through, standard error joined to standard output.
    unsafe {
        command.pre_exec(move || {
            limit(&limits)?;
            SigSet::all().thread_unblock()?;
            nix::unistd::dup2_stderr(std::io::stdout())?;
            Ok(())
        });
    }
    command.spawn()
}

/// Output in pieces of bounded size.
struct Output {
    dir: PathBuf,
    each: u64,
    piece: u64,
    file: Option<File>,
    written: u64,
}

impl Output {
    fn new(dir: &Path, most: u64) -> Output {
        Output {
            dir: dir.into(),
            each: (most / PIECES).max(1),
            piece: 0,
            file: None,
            written: 0,
        }
    }

    /// Output that cannot be kept is given up, never the task: a full disk is no
    /// failure of it.
    fn write(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.file.is_none() || self.written >= self.each {
                if self.file.is_some() {
                    self.piece += 1;
                }
                if self.piece >= PIECES {
                    let old = self.dir.join(format!("out.{}", self.piece - PIECES));
                    let _ = fs::remove_file(old);
                }
                self.file = File::create(self.dir.join(format!("out.{}", self.piece))).ok();
                self.written = 0;
            }
            let room = (self.each - self.written).min(bytes.len() as u64) as usize;
            if let Some(f) = &mut self.file {
                let _ = f.write_all(&bytes[..room]);
            }
            self.written += room as u64;
            bytes = &bytes[room..];
        }
    }
}

/// Runs the plan of a directory to its end, as the only thing this process does.
///
/// # Errors
/// The plan cannot be read, another shim has the directory, or the result cannot
/// be written.
pub fn run(dir: &Path) -> Result<(), Error> {
    let plan: Plan = read(&dir.join(PLAN))?;
    begin(dir)?;
    // What the task forks stays ours, in whatever session it is.
    prctl::set_child_subreaper(true)?;
    // Whoever ends the agent's group does not end us.
    nix::unistd::setsid().ok();
    let began_ms = now_ms();
    let lease = LeaseFile::of(&plan)?;
    let mut exit = if lease.lasts() {
        match spawn(&plan) {
            Ok(child) => watch(dir, &plan, &lease, child)?,
            Err(e) => not_started(e.to_string()),
        }
    } else {
        // The agent may have stood still since it decided to begin this.
        Exit {
            lease_over: true,
            ..not_started("the machine's lease is over".into())
        }
    };
    (exit.began_ms, exit.ended_ms) = (began_ms, now_ms());
    write_whole(&dir.join(EXIT), &serde_json::to_vec(&exit)?)
}

/// The end of a task that never ran.
fn not_started(reason: String) -> Exit {
    Exit {
        code: 127,
        gone: true,
        not_started: Some(reason),
        ..Exit::default()
    }
}

/// The machine's lease as one task sees it.
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

    /// Whether it lasts. One that cannot be read is no longer known to.
    fn lasts(&self) -> bool {
        let holds = |lease: Lease| !lease.over(&self.boot, self.epoch, steady_us());
        self.path
            .is_none_or(|path| read::<Lease>(path).is_ok_and(holds))
    }
}

fn watch(dir: &Path, plan: &Plan, lease: &LeaseFile<'_>, mut child: Child) -> Result<Exit, Error> {
    let mut pipe = child.stdout.take();
    let (most, kept) = (plan.limits.output, dir.to_path_buf());
    // The reader ends with the last process that holds the pipe.
    let reader = std::thread::spawn(move || {
        let mut output = Output::new(&kept, most);
        let mut buffer = vec![0; 64 * 1024];
        while let Some(n) = pipe.as_mut().and_then(|p| read_some(p, &mut buffer)) {
            output.write(&buffer[..n]);
        }
    });
    let main = Pid::from_raw(child.id() as i32);
    let until = plan.limits.time_s.filter(|s| s.is_finite() && *s >= 0.0);
    let mut until = until.map(|s| Instant::now() + Duration::from_secs_f64(s.min(1e9)));
    let mut exit = Exit::default();
    let mut killed = false;
    loop {
        match waitpid(Pid::from_raw(-1), Some(WaitPidFlag::WNOHANG)) {
            Ok(WaitStatus::Exited(id, code)) if id == main => {
                exit.code = code;
                break;
            }
            Ok(WaitStatus::Signaled(id, signal, _)) if id == main => {
                exit.code = 128 + signal as i32;
                break;
            }
            // A descendant that was left to us.
            Ok(WaitStatus::Exited(..) | WaitStatus::Signaled(..)) => continue,
            Ok(_) => {}
            Err(e) => return Err(e.into()),
        }
        if let Ok(stop) = read::<Stop>(&dir.join(STOP)) {
            let at = Instant::now() + Duration::from_secs_f64(stop.grace_s.clamp(0.0, 1e9));
            if !exit.stopped {
                exit.stopped = true;
                until = Some(at);
                if let Some(p) = Process::of(main.as_raw()) {
                    p.signal(Signal::SIGTERM)?;
                }
            }
            // A second request may only shorten it.
            until = until.map(|u| u.min(at));
        }
        exit.lease_over = exit.lease_over || !lease.lasts();
        let over = exit.lease_over || until.is_some_and(|u| Instant::now() >= u);
        if over && !killed {
            killed = true;
            exit.too_long = !exit.stopped && !exit.lease_over;
            let own = std::process::id() as i32;
            end_all(|| below(own), GONE)?;
        }
        std::thread::sleep(LOOK);
    }
    // What it left running goes with it.
    let own = std::process::id() as i32;
    exit.gone = end_all(|| below(own), GONE)?;
    while let Ok(WaitStatus::Exited(..) | WaitStatus::Signaled(..)) =
        waitpid(Pid::from_raw(-1), Some(WaitPidFlag::WNOHANG))
    {}
    if exit.gone {
        // It only reads what is left in the pipe.
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
