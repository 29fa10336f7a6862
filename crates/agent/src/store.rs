//! A directory that all machines share. It holds the tasks' results, each published once;
//! their checkpoints, of which only whole ones are used; and files by which the tasks of a
//! gang see that the others are present.

use crate::attempts::AttemptKey;
use crate::shim::write_atomically;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// The shared directory, which all machines reach under this path.
#[derive(Clone, Debug)]
pub struct SharedDir(pub PathBuf);

/// A published result of a task: the content of `result.json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The attempt whose result was published first.
    pub attempt: u64,
    /// The machine that the attempt ran on.
    pub machine: String,
}

/// Prefix of a checkpoint's directory, before its number: `save-000007`.
const CHECKPOINT_PREFIX: &str = "save-";
/// The directory, in the same place as the checkpoints, that a task writes its next one in.
pub const NEXT_CHECKPOINT_DIR: &str = "next";
/// How many whole checkpoints of a task are kept.
const KEPT_CHECKPOINTS: usize = 2;

impl SharedDir {
    fn task_dir(&self, key: &AttemptKey) -> PathBuf {
        let index = key.task.rsplit('/').next().unwrap_or("0");
        self.0.join(key.job()).join(index)
    }

    /// Creates a task's directory and returns its path; the task's checkpoints lie in it.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn create_task_dir(&self, key: &AttemptKey) -> Result<PathBuf, Error> {
        let dir = self.task_dir(key);
        fs::create_dir_all(&dir)?;
        Ok(dir)
    }

    /// A task's result; `None` if none was published.
    pub fn published(&self, key: &AttemptKey) -> Option<Published> {
        let bytes = fs::read(self.task_dir(key).join("result.json")).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Publishes a task's result and returns the one that counts: the first, for good.
    /// Before that, one rename moves the directory `output` to the task's directory.
    ///
    /// # Errors
    /// The files cannot be written; then nothing is published.
    pub fn publish(
        &self,
        key: &AttemptKey,
        machine: &str,
        output: &Path,
    ) -> Result<Published, Error> {
        let dir = self.create_task_dir(key)?;
        if let Some(published) = self.published(key) {
            return Ok(published);
        }
        let result = Published {
            attempt: key.attempt,
            machine: machine.into(),
        };
        // Written whole under a name of this attempt and machine. Then one hard link alone
        // succeeds, whoever tries at the same time.
        let name = format!("result.{}.{machine}", key.attempt);
        let temporary = dir.join(&name);
        write_atomically(&temporary, &serde_json::to_vec(&result)?)?;
        let published_output = dir.join(format!("out.{}.{machine}", key.attempt));
        match fs::rename(output, &published_output) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
        let linked = fs::hard_link(&temporary, dir.join("result.json"));
        let _ = fs::remove_file(&temporary);
        match linked {
            Ok(()) => fs::File::open(&dir)?.sync_all()?,
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(e) => return Err(e),
        }
        self.published(key)
            .ok_or_else(|| Error::other("the result is published and cannot be read"))
    }

    /// The newest whole checkpoint of a task: its number and directory. A torn checkpoint
    /// is skipped: the file `whole`, which a task writes last, is missing from it.
    pub fn newest_checkpoint(&self, key: &AttemptKey) -> Option<(u64, PathBuf)> {
        let mut checkpoints = self.list_checkpoints(key);
        checkpoints.retain(|(_, dir)| dir.join("whole").exists());
        checkpoints.pop()
    }

    fn list_checkpoints(&self, key: &AttemptKey) -> Vec<(u64, PathBuf)> {
        let entries = fs::read_dir(self.task_dir(key))
            .into_iter()
            .flatten()
            .flatten();
        let mut checkpoints: Vec<(u64, PathBuf)> = entries
            .filter_map(|e| {
                let name = e.file_name().into_string().ok()?;
                Some((
                    name.strip_prefix(CHECKPOINT_PREFIX)?.parse().ok()?,
                    e.path(),
                ))
            })
            .collect();
        checkpoints.sort();
        checkpoints
    }

    /// Removes whole checkpoints of a task, all but the newest two.
    pub fn remove_old_checkpoints(&self, key: &AttemptKey) {
        let mut checkpoints = self.list_checkpoints(key);
        checkpoints.retain(|(_, dir)| dir.join("whole").exists());
        let excess = checkpoints.len().saturating_sub(KEPT_CHECKPOINTS);
        for (_, dir) in checkpoints.into_iter().take(excess) {
            // A directory that cannot be removed does no harm.
            let _ = fs::remove_dir_all(dir);
        }
    }

    // ---- gangs ----

    fn gang_dir(&self, key: &AttemptKey) -> PathBuf {
        self.0.join(key.job()).join(format!("gang-{}", key.attempt))
    }

    fn presence_file(&self, key: &AttemptKey) -> PathBuf {
        let index = key.task.rsplit('/').next().unwrap_or("0");
        self.gang_dir(key).join(index)
    }

    /// Marks a task of a gang as present. The file's modification time is what the others
    /// see.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn mark_present(&self, key: &AttemptKey) -> Result<(), Error> {
        fs::create_dir_all(self.gang_dir(key))?;
        fs::write(self.presence_file(key), b"here")
    }

    /// Marks a task of a gang as completed: the others don't count its silence as a loss.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn mark_complete(&self, key: &AttemptKey) -> Result<(), Error> {
        write_atomically(&self.presence_file(key), b"done")
    }

    /// Marks a task of a gang as absent.
    pub fn mark_absent(&self, key: &AttemptKey) {
        // If the file cannot be removed, its age shows the absence.
        let _ = fs::remove_file(self.presence_file(key));
    }

    /// Which of a gang's tasks are present or have completed, by index. A task whose file
    /// is older than `max_silence` is absent.
    pub fn present(&self, key: &AttemptKey, tasks: u32, max_silence: Duration) -> Vec<bool> {
        let dir = self.gang_dir(key);
        let now = SystemTime::now();
        let is_present = |i: u32| {
            let path = dir.join(i.to_string());
            if fs::read(&path).is_ok_and(|b| b == b"done") {
                return true;
            }
            let last_seen = fs::metadata(&path).and_then(|m| m.modified());
            last_seen.is_ok_and(|t| now.duration_since(t).unwrap_or_default() <= max_silence)
        };
        (0..tasks).map(is_present).collect()
    }
}
