//! What must survive power loss on a machine: session, highest token, and each
//! attempt's record, in an embedded store whose commits are whole or not at all.

use crate::attempts::{Key, Record};
use pebblefold_wire::types::{AgentEpoch, FencingToken};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;

const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");
const ATTEMPTS: TableDefinition<(&str, u64), &str> = TableDefinition::new("attempts");
/// The format; a newer one is left alone.
const FORMAT: u64 = 1;

/// Why the journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The store fails: no space, no permission, or damaged.
    #[error("the journal: {0}")]
    Store(Box<redb::Error>),
    /// It was written by a newer agent.
    #[error("the journal has format {0}, this agent knows up to {FORMAT}; use a newer agent")]
    Newer(u64),
    /// An entry cannot be read.
    #[error("the journal: {task}, attempt {attempt}: {reason}")]
    Entry {
        /// The task.
        task: String,
        /// The attempt.
        attempt: u64,
        /// What is wrong.
        reason: String,
    },
}

impl JournalError {
    /// Whether another process holds it.
    pub fn taken(&self) -> bool {
        matches!(self, JournalError::Store(e) if matches!(**e, redb::Error::DatabaseAlreadyOpen))
    }
}

impl<E: Into<redb::Error>> From<E> for JournalError {
    fn from(e: E) -> JournalError {
        JournalError::Store(Box::new(e.into()))
    }
}

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new session.
    Epoch(AgentEpoch),
    /// A higher token was seen.
    Token(FencingToken),
    /// What an attempt is now.
    Attempt(Key, Record),
    /// It is forgotten.
    Strike(Key),
}

/// What a journal holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// The session.
    pub epoch: Option<AgentEpoch>,
    /// The highest token seen.
    pub token: FencingToken,
    /// The attempts.
    pub attempts: Vec<(Key, Record)>,
}

/// The journal.
#[derive(Debug)]
pub struct Journal(Database);

impl Journal {
    /// Opens or makes the journal in a file; a second agent on it is refused by
    /// the store's lock.
    ///
    /// # Errors
    /// See [`JournalError`].
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        if !path.exists() {
            // Made beside its place: a store whose making was cut off is refused
            // by redb for ever.
            let beside = path.with_extension("part");
            let gone = |e: std::io::Error| redb::Error::Io(e);
            if beside.exists() {
                std::fs::remove_file(&beside).map_err(gone)?;
            }
            drop(Journal::checked(Database::create(&beside)?)?);
            std::fs::rename(&beside, path).map_err(gone)?;
            if let Some(dir) = path.parent() {
                let synced = std::fs::File::open(dir).and_then(|d| d.sync_all());
                synced.map_err(gone)?;
            }
        }
        Journal::checked(Database::create(path)?)
    }

    /// Likewise on any storage.
    ///
    /// # Errors
    /// See [`JournalError`].
    pub fn on(storage: impl StorageBackend) -> Result<Journal, JournalError> {
        Journal::checked(Database::builder().create_with_backend(storage)?)
    }

    fn checked(db: Database) -> Result<Journal, JournalError> {
        let t = db.begin_write()?;
        {
            let mut numbers = t.open_table(NUMBERS)?;
            let format = numbers.get("format")?.map(|v| v.value());
            match format {
                Some(f) if f > FORMAT => return Err(JournalError::Newer(f)),
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

    /// Writes changes, all or none; they survive once this returns.
    ///
    /// # Errors
    /// The store fails, and nothing of them counts.
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
                    Change::Strike(k) => {
                        attempts.remove((k.task.as_str(), k.attempt))?;
                    }
                }
            }
        }
        t.commit()?;
        Ok(())
    }

    /// Everything that was written.
    ///
    /// # Errors
    /// The store fails, or an entry cannot be read.
    pub fn read(&self) -> Result<Kept, JournalError> {
        let t = self.0.begin_read()?;
        let numbers = t.open_table(NUMBERS)?;
        let number = |name: &str| -> Result<Option<u64>, JournalError> {
            Ok(numbers.get(name)?.map(|v| v.value()))
        };
        let mut kept = Kept {
            epoch: number("session")?.map(AgentEpoch),
            token: FencingToken(number("token")?.unwrap_or(0)),
            attempts: Vec::new(),
        };
        for entry in t.open_table(ATTEMPTS)?.iter()? {
            let (k, v) = entry?;
            let (task, attempt) = k.value();
            let key = Key {
                task: task.into(),
                attempt,
            };
            let record = serde_json::from_str(v.value()).map_err(|e| JournalError::Entry {
                task: task.into(),
                attempt,
                reason: e.to_string(),
            })?;
            kept.attempts.push((key, record));
        }
        Ok(kept)
    }
}
