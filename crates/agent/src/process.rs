//! Processes of this machine: told apart by id *and* start time, as ids are used
//! again; found with all their descendants; ended, with the proof that they are.

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::Error;
use std::time::{Duration, Instant};

/// Pause between two looks at processes that are being ended.
const LOOK: Duration = Duration::from_millis(2);

/// A process, for good: no other one has both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Its id.
    pub id: i32,
    /// When it started, in clock ticks since the machine did.
    pub start: u64,
}

/// What the kernel says of a process.
#[derive(Clone, Copy, Debug)]
struct Stat {
    parent: i32,
    start: u64,
    /// Dead, and only waited for.
    zombie: bool,
}

fn stat(id: i32) -> Option<Stat> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name stands in brackets and may hold anything, brackets too.
    let rest = &text[text.rfind(')')? + 2..];
    let fields: Vec<&str> = rest.split_whitespace().collect();
    Some(Stat {
        parent: fields.get(1)?.parse().ok()?,
        start: fields.get(19)?.parse().ok()?,
        zombie: matches!(fields.first(), Some(&"Z" | &"X")),
    })
}

fn all() -> BTreeMap<i32, Stat> {
    let entries = fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = entries.filter_map(|e| e.file_name().to_str()?.parse().ok());
    ids.filter_map(|id: i32| Some((id, stat(id)?))).collect()
}

/// Tells this start of the machine from every other.
///
/// # Errors
/// The kernel does not say.
pub fn boot_id() -> Result<String, Error> {
    let text = fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
    Ok(text.trim().into())
}

impl Process {
    /// The process that has this id now.
    pub fn of(id: i32) -> Option<Process> {
        let start = stat(id)?.start;
        Some(Process { id, start })
    }

    /// Whether it runs: another process that was given its id is not it.
    pub fn runs(&self) -> bool {
        stat(self.id).is_some_and(|s| s.start == self.start && !s.zombie)
    }

    /// Sends a signal, if it is still this process.
    ///
    /// # Errors
    /// It is not allowed.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        if !self.runs() {
            return Ok(());
        }
        match kill(Pid::from_raw(self.id), signal) {
            Ok(()) | Err(Errno::ESRCH) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }
}

/// Everything below a process, in sessions of their own or not: whoever is its
/// subreaper keeps what forked twice.
pub fn below(id: i32) -> Vec<Process> {
    let all = all();
    let mut tree: BTreeSet<i32> = BTreeSet::from([id]);
    loop {
        let more: Vec<i32> = all
            .iter()
            .filter(|(i, s)| tree.contains(&s.parent) && !tree.contains(i))
            .map(|(i, _)| *i)
            .collect();
        if more.is_empty() {
            break;
        }
        tree.extend(more);
    }
    tree.remove(&id);
    let live = tree.into_iter().filter(|i| !all[i].zombie);
    live.map(|i| Process {
        id: i,
        start: all[&i].start,
    })
    .collect()
}

/// Processes whose environment carries `NAME=value`: what is found so is ours,
/// whoever its parent has become.
pub fn marked(name: &str, value: &str) -> Vec<Process> {
    let wanted = format!("{name}={value}");
    let ids = all().into_iter().filter(|(_, s)| !s.zombie);
    let ours = ids.filter(|(id, _)| {
        let environ = fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
        environ.split(|b| *b == 0).any(|e| e == wanted.as_bytes())
    });
    ours.map(|(id, s)| Process { id, start: s.start }).collect()
}

/// Ends all that `find` finds, until it finds nothing: what keeps forking is
/// stopped first, so that it cannot outrun its end. False if something was still
/// there when the time was over.
///
/// # Errors
/// A signal is not allowed.
pub fn end_all(find: impl Fn() -> Vec<Process>, within: Duration) -> Result<bool, Error> {
    let until = Instant::now() + within;
    loop {
        let found = find();
        if found.is_empty() {
            return Ok(true);
        }
        for p in &found {
            p.signal(Signal::SIGSTOP)?;
        }
        // What was forked before its parent stood still.
        for p in found.into_iter().chain(find()) {
            p.signal(Signal::SIGKILL)?;
        }
        if Instant::now() >= until {
            return Ok(false);
        }
        std::thread::sleep(LOOK);
    }
}
