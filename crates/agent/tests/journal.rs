//! The journal through power cuts at every numbered write of a fixed run.

use pebblefold_agent::attempts::{Key, Record};
use pebblefold_agent::journal::{Change, Journal, JournalError, Kept};
use pebblefold_kvstore::faulty_disk::{FaultyDisk, UnsyncedWrites};
use pebblefold_wire::types::{AgentEpoch, FencingToken};
use pebblefold_wire::workers::{StopReason, TaskState};

fn key(n: u64) -> Key {
    Key {
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

/// A fixed run: each attempt is begun, ends, and the one before is struck out.
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
            all.push(vec![Change::Strike(key(n - 1))]);
        }
    }
    all.push(vec![Change::Epoch(AgentEpoch(2))]);
    all
}

/// What a journal holds after the first so many of them, by a plain list.
fn model(all: &[Vec<Change>]) -> Kept {
    let mut kept = Kept::default();
    for c in all.iter().flatten() {
        match c {
            Change::Epoch(s) => kept.epoch = Some(*s),
            Change::Token(t) => kept.token = *t,
            Change::Attempt(k, r) => {
                kept.attempts.retain(|(o, _)| o != k);
                kept.attempts.push((k.clone(), *r));
            }
            Change::Strike(k) => kept.attempts.retain(|(o, _)| o != k),
        }
    }
    kept.attempts.sort_by(|a, b| a.0.cmp(&b.0));
    kept
}

/// Writes until the power fails; how many were told to be written.
fn run(disk: &FaultyDisk) -> usize {
    let Ok(journal) = Journal::on(disk.open()) else {
        return 0;
    };
    let all = changes();
    let written = all.iter().take_while(|c| journal.write(c).is_ok());
    written.count()
}

fn made() -> FaultyDisk {
    let disk = FaultyDisk::default();
    drop(Journal::on(disk.open()).unwrap());
    disk
}

#[test]
fn what_was_written_is_there_after_power_was_lost_at_any_write() {
    let whole = made();
    let before = whole.operations();
    assert_eq!(run(&whole), changes().len());
    let (all, operations) = (changes(), whole.operations());
    assert!(operations > before + 2 * all.len() as u64);
    let mut cuts = 0;
    for at in before + 1..=operations {
        let torn = [
            UnsyncedWrites::Lost,
            UnsyncedWrites::Kept,
            UnsyncedWrites::Torn(at),
            UnsyncedWrites::Torn(7 * at + 1),
        ];
        for left in torn {
            let disk = made();
            disk.fail_at(at, left);
            let told = run(&disk);
            disk.power_on();
            let kept = Journal::on(disk.open()).unwrap().read().unwrap();
            // What was told is there; the one under way whole or not at all.
            let next = (told + 1).min(all.len());
            assert!(
                kept == model(&all[..told]) || kept == model(&all[..next]),
                "cut at {at}, {left:?}: {told} were told, {kept:?}"
            );
            cuts += 1;
        }
    }
    assert!(cuts > 200, "{cuts} cuts");
}

#[test]
fn a_full_disk_and_a_second_agent_are_told() {
    let disk = made();
    let journal = Journal::on(disk.open()).unwrap();
    let many: Vec<Change> = (0..2000)
        .map(|n| Change::Attempt(key(n), record(TaskState::Running, None)))
        .collect();
    disk.set_full(true);
    assert!(matches!(journal.write(&many), Err(JournalError::Store(_))));
    drop(journal);
    disk.set_full(false);
    let journal = Journal::on(disk.open()).unwrap();
    assert_eq!(journal.read().unwrap(), Kept::default());
    journal.write(&many).unwrap();
    assert_eq!(journal.read().unwrap().attempts.len(), 2000);

    let dir = std::env::temp_dir().join(format!("pebblefold-journal-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("journal.redb");
    // Its making was cut off once.
    std::fs::write(dir.join("journal.part"), b"half").unwrap();
    let first = Journal::open(&path).unwrap();
    assert!(Journal::open(&path).is_err_and(|e| e.taken()));
    drop(first);
    std::fs::remove_dir_all(&dir).unwrap();
}
