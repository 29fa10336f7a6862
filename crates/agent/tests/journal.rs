//! The journal after a loss of power at every numbered write of a fixed run.

use pebblefold_agent::attempts::{AttemptKey, Record};
use pebblefold_agent::journal::{Change, Journal, JournalContents, JournalError};
use pebblefold_kvstore::faulty_disk::{FaultyDisk, UnsyncedWrites};
use pebblefold_wire::types::{AgentEpoch, FencingToken};
use pebblefold_wire::workers::{StopReason, TaskState};

fn key(n: u64) -> AttemptKey {
    AttemptKey {
        task: format!("wk-{n}/0"),
        attempt: n,
    }
}

fn record(state: TaskState, why: Option<StopReason>) -> Record {
    Record {
        state,
        why,
        saved: None,
    }
}

/// A fixed run: each attempt starts, ends, and the record of the one before is deleted.
fn changes() -> Vec<Vec<Change>> {
    let mut all = vec![vec![Change::Epoch(AgentEpoch(1))]];
    for n in 1..=8 {
        all.push(vec![
            Change::Token(FencingToken(n)),
            Change::Attempt(key(n), record(TaskState::Running, None)),
        ]);
        all.push(vec![Change::Attempt(
            key(n),
            record(TaskState::Exited, Some(StopReason::Done)),
        )]);
        if n > 1 {
            all.push(vec![Change::DeleteRecord(key(n - 1))]);
        }
    }
    all.push(vec![Change::Epoch(AgentEpoch(2))]);
    all
}

/// What a journal holds after these changes, by a plain list.
fn model(all: &[Vec<Change>]) -> JournalContents {
    let mut contents = JournalContents::default();
    for c in all.iter().flatten() {
        match c {
            Change::Epoch(s) => contents.epoch = Some(*s),
            Change::Token(t) => contents.token = *t,
            Change::Attempt(k, r) => {
                contents.attempts.retain(|(o, _)| o != k);
                contents.attempts.push((k.clone(), *r));
            }
            Change::DeleteRecord(k) => contents.attempts.retain(|(o, _)| o != k),
        }
    }
    contents.attempts.sort_by(|a, b| a.0.cmp(&b.0));
    contents
}

/// Writes until the power fails; returns how many writes were acknowledged.
fn run(disk: &FaultyDisk) -> usize {
    let Ok(journal) = Journal::with_storage(disk.open()) else {
        return 0;
    };
    let all = changes();
    let written = all.iter().take_while(|c| journal.write(c).is_ok());
    written.count()
}

fn new_disk() -> FaultyDisk {
    let disk = FaultyDisk::default();
    drop(Journal::with_storage(disk.open()).unwrap());
    disk
}

#[test]
fn acknowledged_writes_survive_power_loss_at_any_write() {
    let whole = new_disk();
    let before = whole.operation_count();
    assert_eq!(run(&whole), changes().len());
    let (all, operations) = (changes(), whole.operation_count());
    assert!(operations > before + 2 * all.len() as u64);
    let mut cuts = 0;
    for at in before + 1..=operations {
        let variants = [
            UnsyncedWrites::Lost,
            UnsyncedWrites::Kept,
            UnsyncedWrites::Torn(at),
            UnsyncedWrites::Torn(7 * at + 1),
        ];
        for unsynced in variants {
            let disk = new_disk();
            disk.schedule_power_failure(at, unsynced);
            let acknowledged = run(&disk);
            disk.restore_power();
            let contents = Journal::with_storage(disk.open()).unwrap().read().unwrap();
            // Acknowledged changes are present; the change in progress is whole or absent.
            let next = (acknowledged + 1).min(all.len());
            assert!(
                contents == model(&all[..acknowledged]) || contents == model(&all[..next]),
                "cut at {at}, {unsynced:?}: {acknowledged} were acknowledged, {contents:?}"
            );
            cuts += 1;
        }
    }
    assert!(cuts > 200, "{cuts} cuts");
}

#[test]
fn reports_full_disk_and_second_agent() {
    let disk = new_disk();
    let journal = Journal::with_storage(disk.open()).unwrap();
    let many: Vec<Change> = (0..2000)
        .map(|n| Change::Attempt(key(n), record(TaskState::Running, None)))
        .collect();
    disk.set_full(true);
    assert!(matches!(
        journal.write(&many),
        Err(JournalError::Storage(_))
    ));
    drop(journal);
    disk.set_full(false);
    let journal = Journal::with_storage(disk.open()).unwrap();
    assert_eq!(journal.read().unwrap(), JournalContents::default());
    journal.write(&many).unwrap();
    assert_eq!(journal.read().unwrap().attempts.len(), 2000);

    let dir = std::env::temp_dir().join(format!("pebblefold-journal-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("journal.redb");
    // An earlier creation of the journal was interrupted.
    std::fs::write(dir.join("journal.part"), b"half").unwrap();
    let first = Journal::open(&path).unwrap();
    assert!(Journal::open(&path).is_err_and(|e| e.is_locked()));
    drop(first);
    std::fs::remove_dir_all(&dir).unwrap();
}
