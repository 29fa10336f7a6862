//! The state of a machine's agent that must survive a loss of power: agent epoch, highest
//! fencing token and each attempt's record, in an embedded database with atomic commits.

use crate::attempts::{AttemptKey, Record};
use pebblefold_wire::types::{AgentEpoch, FencingToken};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;

const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");
const ATTEMPTS: TableDefinition<(&str, u64), &str> = TableDefinition::new("attempts");
/// The format that this build writes. A journal of a higher format is refused and not
/// changed.
const FORMAT: u64 = 1;

/// Why the journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The database fails: no space, no permission, or damaged.
    #[error("the journal: {0}")]
    Storage(Box<redb::Error>),
    /// A newer agent has written the journal.
    #[error("the journal has format {0}, this agent reads up to {FORMAT}; use a newer agent")]
    NewerFormat(u64),
    /// An attempt's record cannot be decoded.
    #[error("the journal: {task}, attempt {attempt}: {reason}")]
    InvalidEntry {
        /// The task of the record.
        task: String,
        /// The attempt's number.
        attempt: u64,
        /// What is wrong with the record.
        reason: String,
    },
}

impl JournalError {
    /// Whether another process has locked the journal.
    pub fn is_locked(&self) -> bool {
        matches!(self, JournalError::Storage(e) if matches!(**e, redb::Error::DatabaseAlreadyOpen))
    }
}

impl<E: Into<redb::Error>> From<E> for JournalError {
    fn from(e: E) -> JournalError {
        JournalError::Storage(Box::new(e.into()))
    }
}

/// One change to the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Sets the agent epoch.
    Epoch(AgentEpoch),
    /// Sets the highest fencing token received.
    Token(FencingToken),
    /// Inserts or replaces an attempt's record.
    Attempt(AttemptKey, Record),
    /// Deletes an attempt's record.
    DeleteRecord(AttemptKey),
}

/// Everything that a journal holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalContents {
    /// The agent epoch; `None` in a new journal.
    pub epoch: Option<AgentEpoch>,
    /// The highest fencing token received; 0 in a new journal.
    pub token: FencingToken,
    /// The attempts' records, in the order of their keys.
    pub attempts: Vec<(AttemptKey, Record)>,
}

/// An open journal, which the database locks against other processes.
#[derive(Debug)]
pub struct Journal(Database);

impl Journal {
    /// Opens the journal in a file, or creates it. If another agent has it open, the
    /// database's lock refuses this one.
    ///
    /// # Errors
    /// See [`JournalError`].
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        if !path.exists() {
            // Created under a temporary name: redb refuses a database whose creation was
            // interrupted, for ever.
            let temporary = path.with_extension("part");
            let io_error = |e: std::io::Error| redb::Error::Io(e);
            if temporary.exists() {
                std::fs::remove_file(&temporary).map_err(io_error)?;
            }
            drop(Journal::check_format(Database::create(&temporary)?)?);
            std::fs::rename(&temporary, path).map_err(io_error)?;
            if let Some(dir) = path.parent() {
                let synced = std::fs::File::open(dir).and_then(|d| d.sync_all());
                synced.map_err(io_error)?;
            }
        }
        Journal::check_format(Database::create(path)?)
    }

    /// Opens or creates the journal on any storage.
    ///
    /// # Errors
    /// See [`JournalError`].
    pub fn with_storage(storage: impl StorageBackend) -> Result<Journal, JournalError> {
        Journal::check_format(Database::builder().create_with_backend(storage)?)
    }

    fn check_format(db: Database) -> Result<Journal, JournalError> {
        let t = db.begin_write()?;
        {
            let mut numbers = t.open_table(NUMBERS)?;
            let format = numbers.get("format")?.map(|v| v.value());
            match format {
                Some(f) if f > FORMAT => return Err(JournalError::NewerFormat(f)),
                Some(_) => {}
                None => {
                    numbers.insert("format", FORMAT)?;
                }
            }
            t.open_table(ATTEMPTS)?;
        }
        t.commit()?;
        Ok(Journal(db))
    }

    /// Writes all changes in one commit. They survive a loss of power once this returns.
    ///
    /// # Errors
    /// The database fails, and no change is made.
    pub fn write(&self, changes: &[Change]) -> Result<(), JournalError> {
        if changes.is_empty() {
            return Ok(());
        }
        let t = self.0.begin_write()?;
        {
            let mut numbers = t.open_table(NUMBERS)?;
            let mut attempts = t.open_table(ATTEMPTS)?;
            for c in changes {
                match c {
                    Change::Epoch(s) => {
                        numbers.insert("session", s.0)?;
                    }
                    Change::Token(t) => {
                        numbers.insert("token", t.0)?;
                    }
                    Change::Attempt(k, r) => {
                        let text = serde_json::to_string(r).unwrap_or_default();
                        attempts.insert((k.task.as_str(), k.attempt), text.as_str())?;
                    }
                    Change::DeleteRecord(k) => {
                        attempts.remove((k.task.as_str(), k.attempt))?;
                    }
                }
            }
        }
        t.commit()?;
        Ok(())
    }

    /// Reads everything that was written.
    ///
    /// # Errors
    /// The database fails, or a record cannot be decoded.
    pub fn read(&self) -> Result<JournalContents, JournalError> {
        let t = self.0.begin_read()?;
        let numbers = t.open_table(NUMBERS)?;
        let number = |name: &str| -> Result<Option<u64>, JournalError> {
            Ok(numbers.get(name)?.map(|v| v.value()))
        };
        let mut contents = JournalContents {
            epoch: number("session")?.map(AgentEpoch),
            token: FencingToken(number("token")?.unwrap_or(0)),
            attempts: Vec::new(),
        };
        for entry in t.open_table(ATTEMPTS)?.iter()? {
            let (k, v) = entry?;
            let (task, attempt) = k.value();
            let key = AttemptKey {
                task: task.into(),
                attempt,
            };
            let record =
                serde_json::from_str(v.value()).map_err(|e| JournalError::InvalidEntry {
                    task: task.into(),
                    attempt,
                    reason: e.to_string(),
                })?;
            contents.attempts.push((key, record));
        }
        Ok(contents)
    }
}
