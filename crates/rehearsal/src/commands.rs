//! Commands that tasks run for real, as local processes: for clusters on loopback
//! that carry workflows. Each attempt is a process group in a directory of its own.

use nix::sys::signal::{Signal, killpg};
use nix::unistd::Pid;
use pebblefold_wire::steps::{Again, Description, EXIT, Mark, REFUSED, STARTED};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

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

enum Running {
    Process(Child, PathBuf),
    /// Refused, or impossible to start: nothing runs, and its owner is told by
    /// the mark.
    Nothing,
}

/// All commands on this machine.
#[derive(Default)]
pub struct Commands {
    described: BTreeMap<String, Description>,
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
    pub fn describe(&mut self, job: String, d: Description) {
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
            if let Some(Running::Process(mut child, _)) = self.running.remove(&place) {
                end(&mut child);
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
                    // As a shell does for a command that is not there.
                    mark(Path::new(&d.dir), EXIT, place, "", 127);
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
            if let Running::Process(child, dir) = r
                && let Ok(Some(status)) = child.try_wait()
            {
                let signal = status.signal().map(|s| 128 + i64::from(s));
                let code = status.code().map(i64::from).or(signal).unwrap_or(-1);
                // What it left running in its group goes with it.
                end(child);
                mark(
                    Path::new(&d.dir),
                    EXIT,
                    place,
                    &dir.display().to_string(),
                    code,
                );
                *r = Running::Nothing;
            }
            if Path::new(&d.dir).join(EXIT).exists() {
                ended.push(place.job.clone());
            }
        }
        ended
    }

    /// Ends everything.
    pub fn stop(&mut self) {
        for r in self.running.values_mut() {
            if let Running::Process(child, _) = r {
                end(child);
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

fn mark(dir: &Path, name: &str, place: &Place, attempt_dir: &str, code: i64) {
    let m = Mark {
        code,
        dir: attempt_dir.into(),
        machine: place.machine.clone(),
    };
    let bytes = serde_json::to_vec(&m).unwrap_or_default();
    if let Err(e) = write_once(&dir.join(name), &bytes) {
        tracing::error!(job = %place.job, error = %e, "cannot write {name}");
    }
}

fn start(place: &Place, d: &Description) -> Result<Running> {
    let dir = Path::new(&d.dir);
    fs::create_dir_all(dir)?;
    if dir.join(EXIT).exists() {
        // It has ended before: its result is kept.
        return Ok(Running::Nothing);
    }
    // Made by one alone, before the command starts: whoever finds it knows that
    // the command may have run, whatever became of its machine.
    let first = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(dir.join(STARTED));
    match first {
        Ok(mut f) => {
            f.write_all(place.machine.as_bytes())?;
            f.sync_all()?;
        }
        Err(e) if e.kind() == ErrorKind::AlreadyExists && d.again == Again::Never => {
            mark(dir, REFUSED, place, "", 0);
            return Ok(Running::Nothing);
        }
        Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
        Err(e) => return Err(e),
    }
    let own = dir.join(format!("try-{}-{}", place.attempt, place.machine));
    fs::create_dir_all(&own)?;
    let (program, arguments) = d
        .argv
        .split_first()
        .ok_or_else(|| Error::other("no command"))?;
    let file = |name: &Option<String>| match name {
        Some(n) => File::create(own.join(n)).map(Stdio::from),
        None => Ok(Stdio::null()),
    };
    let stdin = match &d.stdin {
        Some(path) => File::open(path)?.into(),
        None => Stdio::null(),
    };
    let child = Command::new(program)
        .args(arguments)
        .current_dir(&own)
        .env_clear()
        .envs(&d.env)
        .stdin(stdin)
        .stdout(file(&d.stdout)?)
        .stderr(file(&d.stderr)?)
        .process_group(0)
        .spawn()?;
    Ok(Running::Process(child, own))
}
