//! What stands outside the machine, in a directory that all machines share: results
//! of tasks, published once; what they save, whole or not at all; and where the
//! tasks of a gang meet.

use crate::attempts::Key;
use crate::shim::write_whole;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A shared directory.
#[derive(Clone, Debug)]
pub struct Store(pub PathBuf);

/// A task's result, as it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The attempt that was first.
    pub attempt: u64,
    /// The machine that it ran on.
    pub machine: String,
}

/// The prefix of what a task has saved: `save-000007`.
const SAVE: &str = "save-";
/// The directory, beside it, in which it saves.
pub const NEXT: &str = "next";
/// Whole saves that are kept.
const SAVES: usize = 2;

impl Store {
    fn of(&self, key: &Key) -> PathBuf {
        let index = key.task.rsplit('/').next().unwrap_or("0");
        self.0.join(key.job()).join(index)
    }

    /// Makes a task's place; returns the directory that it saves in.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn place(&self, key: &Key) -> Result<PathBuf, Error> {
        let dir = self.of(key);
        fs::create_dir_all(&dir)?;
        Ok(dir)
    }

    /// A task's result, if one was published.
    pub fn published(&self, key: &Key) -> Option<Published> {
        let bytes = fs::read(self.of(key).join("result.json")).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Publishes a task's result: the first one counts, for good. What `out` holds
    /// is moved beside it, by one rename before.
    ///
    /// # Errors
    /// It cannot be written: then nothing is published.
    pub fn publish(&self, key: &Key, machine: &str, out: &Path) -> Result<Published, Error> {
        let dir = self.place(key)?;
        if let Some(first) = self.published(key) {
            return Ok(first);
        }
        let own = Published {
            attempt: key.attempt,
            machine: machine.into(),
        };
        // Written whole beside its place; the link is made by one alone.
        let name = format!("result.{}.{machine}", key.attempt);
        let beside = dir.join(&name);
        write_whole(&beside, &serde_json::to_vec(&own)?)?;
        let kept = dir.join(format!("out.{}.{machine}", key.attempt));
        match fs::rename(out, &kept) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
        let linked = fs::hard_link(&beside, dir.join("result.json"));
        let _ = fs::remove_file(&beside);
        match linked {
            Ok(()) => fs::File::open(&dir)?.sync_all()?,
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(e) => return Err(e),
        }
        self.published(key)
            .ok_or_else(|| Error::other("its result is published and cannot be read"))
    }

    /// The newest whole save of a task: its number and directory. A torn one has
    /// no `whole` in it, as that is written last, and is passed over.
    pub fn newest(&self, key: &Key) -> Option<(u64, PathBuf)> {
        let mut all = self.saves(key);
        all.retain(|(_, dir)| dir.join("whole").exists());
        all.pop()
    }

    fn saves(&self, key: &Key) -> Vec<(u64, PathBuf)> {
        let entries = fs::read_dir(self.of(key)).into_iter().flatten().flatten();
        let mut all: Vec<(u64, PathBuf)> = entries
            .filter_map(|e| {
                let name = e.file_name().into_string().ok()?;
                Some((name.strip_prefix(SAVE)?.parse().ok()?, e.path()))
            })
            .collect();
        all.sort();
        all
    }

    /// Removes saves that are older than the newest whole ones.
    pub fn tidy(&self, key: &Key) {
        let mut all = self.saves(key);
        all.retain(|(_, dir)| dir.join("whole").exists());
        let old = all.len().saturating_sub(SAVES);
        for (_, dir) in all.into_iter().take(old) {
            // What stays is in nobody's way.
            let _ = fs::remove_dir_all(dir);
        }
    }

    // ---- gangs ----

    fn meeting(&self, key: &Key) -> PathBuf {
        self.0.join(key.job()).join(format!("gang-{}", key.attempt))
    }

    fn sign(&self, key: &Key) -> PathBuf {
        let index = key.task.rsplit('/').next().unwrap_or("0");
        self.meeting(key).join(index)
    }

    /// Says that a task of a gang is here and well.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn here(&self, key: &Key) -> Result<(), Error> {
        fs::create_dir_all(self.meeting(key))?;
        fs::write(self.sign(key), b"here")
    }

    /// Says that it has completed, and is not missed.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn complete(&self, key: &Key) -> Result<(), Error> {
        write_whole(&self.sign(key), b"done")
    }

    /// Says that it is not here any more.
    pub fn away(&self, key: &Key) {
        // If it is not heard, its silence is.
        let _ = fs::remove_file(self.sign(key));
    }

    /// Which of a gang's tasks are here, or have completed; those that were silent
    /// for longer than `patience` are not.
    pub fn present(&self, key: &Key, tasks: u32, patience: Duration) -> Vec<bool> {
        let dir = self.meeting(key);
        let now = SystemTime::now();
        let one = |i: u32| {
            let path = dir.join(i.to_string());
            if fs::read(&path).is_ok_and(|b| b == b"done") {
                return true;
            }
            let said = fs::metadata(&path).and_then(|m| m.modified());
            said.is_ok_and(|t| now.duration_since(t).unwrap_or_default() <= patience)
        };
        (0..tasks).map(one).collect()
    }
}
