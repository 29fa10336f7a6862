//! Commands that tasks run for real, as local processes: for clusters on loopback
//! that carry workflows. Each attempt is a process group in a directory of its own.

use nix::sys::signal::{Signal, killpg};
use nix::unistd::Pid;
use pebblefold_wire::command::{
    CommandSpec, EXIT_FILE, ExitRecord, REFUSED_FILE, RestartPolicy, STARTED_FILE, StagedFile,
    WORKING_DIR_PLACEHOLDER,
};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A task's attempt on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The machine.
    pub machine: String,
    /// The job.
    pub job: String,
    /// The attempt.
    pub attempt: u64,
}

struct Process {
    child: Child,
    dir: PathBuf,
    began_ms: u64,
    /// When it is ended for taking too long.
    until: Option<Instant>,
}

enum Running {
    Process(Process),
    /// Refused, or impossible to start: nothing runs, and its owner is told by
    /// the mark.
    Nothing,
}

/// All commands on this machine.
#[derive(Default)]
pub struct Commands {
    described: BTreeMap<String, CommandSpec>,
    running: BTreeMap<Place, Running>,
}

/// Writes a file whole, beside its place first; an existing one stays.
fn write_once(path: &Path, bytes: &[u8]) -> Result<()> {
    if path.exists() {
        return Ok(());
    }
    let beside = path.with_extension("part");
    let mut f = File::create(&beside)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(beside, path)
}

impl Commands {
    /// Makes a job's command known.
    pub fn describe(&mut self, job: String, d: CommandSpec) {
        self.described.insert(job, d);
    }

    /// Whether a job has a command.
    pub fn knows(&self, job: &str) -> bool {
        self.described.contains_key(job)
    }

    /// Starts what should run and ends what should not any more; returns jobs
    /// whose command has ended.
    pub fn step(&mut self, should: &[Place]) -> Vec<String> {
        let gone: Vec<Place> = self
            .running
            .keys()
            .filter(|p| !should.contains(p))
            .cloned()
            .collect();
        for place in gone {
            if let Some(Running::Process(mut p)) = self.running.remove(&place) {
                end(&mut p.child);
            }
        }
        for place in should {
            if self.running.contains_key(place) {
                continue;
            }
            let Some(d) = self.described.get(&place.job) else {
                continue;
            };
            let running = match start(place, d) {
                Ok(r) => r,
                Err(e) => {
                    tracing::error!(job = %place.job, error = %e, "cannot start its command");
                    // The code is a shell's for a command that is not there.
                    let m = ExitRecord {
                        code: 127,
                        not_started: Some(e.to_string()),
                        ..mark_of(place)
                    };
                    write_mark(Path::new(&d.dir), EXIT_FILE, &m);
                    Running::Nothing
                }
            };
            self.running.insert(place.clone(), running);
        }
        let mut ended = Vec::new();
        for (place, r) in &mut self.running {
            let Some(d) = self.described.get(&place.job) else {
                continue;
            };
            if let Running::Process(p) = r {
                let too_long = p.until.is_some_and(|u| Instant::now() >= u);
                if too_long {
                    end(&mut p.child);
                }
                if let Ok(Some(status)) = p.child.try_wait() {
                    let signal = status.signal().map(|s| 128 + i64::from(s));
                    let code = status.code().map(i64::from).or(signal).unwrap_or(-1);
                    // What it left running in its group goes with it.
                    end(&mut p.child);
                    let m = ExitRecord {
                        code,
                        dir: p.dir.display().to_string(),
                        started_at_ms: p.began_ms,
                        ended_at_ms: now_ms(),
                        timed_out: too_long,
                        ..mark_of(place)
                    };
                    write_mark(Path::new(&d.dir), EXIT_FILE, &m);
                    *r = Running::Nothing;
                }
            }
            if Path::new(&d.dir).join(EXIT_FILE).exists() {
                ended.push(place.job.clone());
            }
        }
        ended
    }

    /// Ends everything.
    pub fn stop(&mut self) {
        for r in self.running.values_mut() {
            if let Running::Process(p) = r {
                end(&mut p.child);
            }
        }
        self.running.clear();
    }
}

fn end(child: &mut Child) {
    // The group may be gone already.
    let _ = killpg(Pid::from_raw(child.id() as i32), Signal::SIGKILL);
    let _ = child.wait();
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

fn mark_of(place: &Place) -> ExitRecord {
    ExitRecord {
        machine: place.machine.clone(),
        attempt: place.attempt,
        ..ExitRecord::default()
    }
}

fn write_mark(dir: &Path, name: &str, m: &ExitRecord) {
    let bytes = serde_json::to_vec(m).unwrap_or_default();
    if let Err(e) = write_once(&dir.join(name), &bytes) {
        tracing::error!(dir = %dir.display(), error = %e, "cannot write {name}");
    }
}

/// A place within an attempt's directory, with the directories that lead to it.
fn within(own: &Path, to: &str) -> Result<PathBuf> {
    let outside = to.is_empty() || to.starts_with('/') || to.split('/').any(|p| p == "..");
    if outside {
        return Err(Error::other(format!("{to:?} leads out of the directory")));
    }
    let path = own.join(to);
    if let Some(dir) = path.parent() {
        fs::create_dir_all(dir)?;
    }
    Ok(path)
}

/// Deepest directory that is copied.
const MOST_DEEP: usize = 64;

fn copy(from: &Path, to: &Path, deep: usize) -> Result<()> {
    if !from.is_dir() {
        return fs::copy(from, to).map(|_| ());
    }
    if deep == 0 {
        return Err(Error::other(format!(
            "{}: over {MOST_DEEP} deep",
            from.display()
        )));
    }
    fs::create_dir_all(to)?;
    for e in fs::read_dir(from)? {
        let e = e?;
        copy(&e.path(), &to.join(e.file_name()), deep - 1)?;
    }
    Ok(())
}

fn put(own: &Path, p: &StagedFile) -> Result<()> {
    let named = |to: &str, e: Error| Error::new(e.kind(), format!("{to}: {e}"));
    let (to, done) = match p {
        StagedFile::Link { from, to } => {
            let at = within(own, to)?;
            (to, std::os::unix::fs::symlink(from, at))
        }
        StagedFile::Copy { from, to } => (to, copy(Path::new(from), &within(own, to)?, MOST_DEEP)),
        StagedFile::Text { to, text } => {
            let text = here(text, own);
            (to, fs::write(within(own, to)?, text))
        }
        StagedFile::Directory { to } => (to, fs::create_dir_all(within(own, to)?)),
    };
    done.map_err(|e| named(to, e))
}

/// Puts the attempt's own directory where it is meant.
fn here(text: &str, own: &Path) -> String {
    text.replace(WORKING_DIR_PLACEHOLDER, &own.display().to_string())
}

/// A directory that no start has had before: what an earlier one of the same
/// attempt left, before the cluster was started again, is not taken for ours.
fn own_directory(dir: &Path, place: &Place) -> Result<PathBuf> {
    let name = format!("try-{}-{}", place.attempt, place.machine);
    let mut n = 1;
    loop {
        let own = match n {
            1 => dir.join(&name),
            n => dir.join(format!("{name}-{n}")),
        };
        match fs::create_dir(&own) {
            Ok(()) => return Ok(own),
            Err(e) if e.kind() == ErrorKind::AlreadyExists => n += 1,
            Err(e) => return Err(e),
        }
    }
}

fn start(place: &Place, d: &CommandSpec) -> Result<Running> {
    let dir = Path::new(&d.dir);
    fs::create_dir_all(dir)?;
    if dir.join(EXIT_FILE).exists() {
        // It has ended before: its result is kept.
        return Ok(Running::Nothing);
    }
    // Made by one alone, before the command starts: whoever finds it knows that
    // the command may have run, whatever became of its machine.
    let first = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(dir.join(STARTED_FILE));
    match first {
        Ok(mut f) => {
            f.write_all(place.machine.as_bytes())?;
            f.sync_all()?;
        }
        Err(e)
            if e.kind() == ErrorKind::AlreadyExists && d.restart_policy == RestartPolicy::Never =>
        {
            write_mark(dir, REFUSED_FILE, &mark_of(place));
            return Ok(Running::Nothing);
        }
        Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
        Err(e) => return Err(e),
    }
    let own = own_directory(dir, place)?;
    for p in &d.staged_files {
        put(&own, p)?;
    }
    let (program, arguments) = d
        .argv
        .split_first()
        .ok_or_else(|| Error::other("no command"))?;
    let file = |name: &Option<String>| match name {
        Some(n) => File::create(within(&own, n)?).map(Stdio::from),
        None => Ok(Stdio::null()),
    };
    let stdin = match &d.stdin {
        Some(path) => File::open(here(path, &own))?.into(),
        None => Stdio::null(),
    };
    let child = Command::new(here(program, &own))
        .args(arguments.iter().map(|a| here(a, &own)))
        .current_dir(&own)
        .env_clear()
        .envs(d.env.iter().map(|(k, v)| (k, here(v, &own))))
        .stdin(stdin)
        .stdout(file(&d.stdout)?)
        .stderr(file(&d.stderr)?)
        .process_group(0)
        .spawn()?;
    let limit = d.time_limit_s.filter(|s| s.is_finite() && *s >= 0.0);
    Ok(Running::Process(Process {
        child,
        dir: own,
        began_ms: now_ms(),
        until: limit.map(|s| Instant::now() + Duration::from_secs_f64(s.min(1e9))),
    }))
}
