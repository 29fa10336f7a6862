//! Processes of this machine: identified by id *and* start time, as ids are reused; found
//! with all their descendants; killed, with the proof that they are gone.

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::Error;
use std::time::{Duration, Instant};

/// Pause before processes that were killed are looked up again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Identifies a process for good: no other process of the same boot has the same id and
/// start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// The process id.
    pub id: i32,
    /// When the process started, in clock ticks since the boot.
    pub start: u64,
}

/// The fields of `/proc/ID/stat` that are used here.
#[derive(Clone, Copy, Debug)]
struct Stat {
    parent: i32,
    start: u64,
    /// The process has ended and only awaits its parent's wait call.
    zombie: bool,
}

fn stat(id: i32) -> Option<Stat> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The process name stands in parentheses and may hold any character, parentheses too.
    let rest = &text[text.rfind(')')? + 2..];
    let fields: Vec<&str> = rest.split_whitespace().collect();
    Some(Stat {
        parent: fields.get(1)?.parse().ok()?,
        start: fields.get(19)?.parse().ok()?,
        zombie: matches!(fields.first(), Some(&"Z" | &"X")),
    })
}

fn all_processes() -> BTreeMap<i32, Stat> {
    let entries = fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = entries.filter_map(|e| e.file_name().to_str()?.parse().ok());
    ids.filter_map(|id: i32| Some((id, stat(id)?))).collect()
}

/// The id of the current boot.
///
/// # Errors
/// The kernel doesn't provide the id.
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

    /// Whether the process still runs. A process that reuses its id doesn't count, and
    /// neither does a zombie.
    pub fn is_running(&self) -> bool {
        stat(self.id).is_some_and(|s| s.start == self.start && !s.zombie)
    }

    /// Sends a signal, if the process still runs.
    ///
    /// # Errors
    /// The signal isn't permitted.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        if !self.is_running() {
            return Ok(());
        }
        match kill(Pid::from_raw(self.id), signal) {
            Ok(()) | Err(Errno::ESRCH) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }
}

/// All running descendants of a process, whatever session they are in. Descendants whose
/// parents have ended are included if the process is their subreaper.
pub fn descendants(id: i32) -> Vec<Process> {
    let processes = all_processes();
    let mut ids_below: BTreeSet<i32> = BTreeSet::from([id]);
    loop {
        let new_ids: Vec<i32> = processes
            .iter()
            .filter(|(i, s)| ids_below.contains(&s.parent) && !ids_below.contains(i))
            .map(|(i, _)| *i)
            .collect();
        if new_ids.is_empty() {
            break;
        }
        ids_below.extend(new_ids);
    }
    ids_below.remove(&id);
    let live = ids_below.into_iter().filter(|i| !processes[i].zombie);
    live.map(|i| Process {
        id: i,
        start: processes[&i].start,
    })
    .collect()
}

/// Processes whose environment contains `NAME=value`, whatever their parents are now.
pub fn find_marked(name: &str, value: &str) -> Vec<Process> {
    let entry = format!("{name}={value}");
    let ids = all_processes().into_iter().filter(|(_, s)| !s.zombie);
    let matching = ids.filter(|(id, _)| {
        let environ = fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
        environ.split(|b| *b == 0).any(|e| e == entry.as_bytes())
    });
    matching
        .map(|(id, s)| Process { id, start: s.start })
        .collect()
}

/// Kills everything that `find` returns, until it returns nothing. All processes are
/// stopped before the first is killed, so that one that keeps forking cannot escape. False
/// if some still existed after `timeout`.
///
/// # Errors
/// A signal isn't permitted.
pub fn kill_all(find: impl Fn() -> Vec<Process>, timeout: Duration) -> Result<bool, Error> {
    let deadline = Instant::now() + timeout;
    loop {
        let found = find();
        if found.is_empty() {
            return Ok(true);
        }
        for p in &found {
            p.signal(Signal::SIGSTOP)?;
        }
        // The second lookup returns what was forked before its parent was stopped.
        for p in found.into_iter().chain(find()) {
            p.signal(Signal::SIGKILL)?;
        }
        if Instant::now() >= deadline {
            return Ok(false);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
