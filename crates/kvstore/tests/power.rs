//! Power loss at every numbered write of the disk, full disks, and snapshots
//! that are not whole.

mod common;
use common::*;
use pebblefold_kvstore::backup::{self, BackupError};
use pebblefold_kvstore::faulty_disk::{FaultyDisk, UnsyncedWrites};
use pebblefold_kvstore::{ClientId, Disk, RequestId, RequestOutcome, Service};

/// A disk with an empty store: its making is whole before anybody uses it.
fn made() -> FaultyDisk {
    let disk = FaultyDisk::default();
    drop(Service::open(on(&disk), LIMITS, at_ms(0)).unwrap());
    disk
}

fn on(disk: &FaultyDisk) -> Disk {
    let disk = disk.clone();
    Disk::on(move || disk.open())
}

/// What was acknowledged by the end of a run.
#[derive(Default, Debug)]
struct Acknowledged {
    /// Commits: number and revision.
    commits: Vec<(u64, u64)>,
    leases: Vec<u64>,
    sent: u64,
}

/// A fixed run: each commit writes two keys and deletes one of the commit
/// before; some come in groups, some with leases. Ends when power fails.
fn run(disk: &FaultyDisk) -> Acknowledged {
    let mut acked = Acknowledged::default();
    let Ok(mut s) = Service::open(on(disk), LIMITS, at_ms(0)) else {
        return acked;
    };
    for group in 0..6u64 {
        if group % 2 == 0 {
            let body = pebblefold_wire::encode(&pebblefold_wire::kvstore::LeaseGrantRequest {
                ttl_ms: 5000,
            });
            if let RequestOutcome::Reply(a) = ask(&mut s, group, "POST", "/leases", body)
                && let Some(l) =
                    pebblefold_wire::decode::<pebblefold_wire::kvstore::LeaseGrant>(&a.body)
                && a.status == 200
            {
                acked.leases.push(l.lease);
            }
        }
        for _ in 0..=group % 3 {
            acked.sent += 1;
            let n = acked.sent;
            let mut ops = vec![
                put(&format!("a/{n}"), n, None),
                put(&format!("b/{n}"), "x".repeat(700), None),
            ];
            if n > 1 {
                ops.push(delete(&format!("b/{}", n - 1)));
            }
            let r = request("POST", "/commit", txn(&[], ops));
            s.handle(at_ms(group), ClientId(0), RequestId(n), &r);
        }
        for (request_id, outcome) in s.flush(at_ms(group)) {
            if let RequestOutcome::Reply(a) = outcome
                && a.status == 200
            {
                let r: pebblefold_wire::kvstore::TransactionResponse =
                    pebblefold_wire::decode(&a.body).unwrap();
                acked.commits.push((request_id.0, r.revision.0));
            }
        }
    }
    acked
}

/// What must hold when the power is back.
fn check(disk: &FaultyDisk, acked: &Acknowledged, at: &str) {
    disk.power_on();
    let mut s = Service::open(on(disk), LIMITS, at_ms(0)).unwrap_or_else(|e| panic!("{at}: {e}"));
    let (revision, _) = s.size();
    let last = acked.commits.last().copied().unwrap_or((0, 0));
    assert!(revision.0 >= last.1, "{at}: versions went back");
    let there: Vec<bool> = (1..=acked.sent)
        .map(|n| get(&mut s, 0, &format!("a/{n}")).is_some())
        .collect();
    let newest = there.iter().filter(|t| **t).count() as u64;
    for (n, revision) in &acked.commits {
        let key =
            get(&mut s, 0, &format!("a/{n}")).unwrap_or_else(|| panic!("{at}: commit {n} is lost"));
        assert_eq!(key.version.0, *revision, "{at}");
    }
    for n in 1..=acked.sent {
        // Whole or not at all, and in order: both keys, the deletion with them.
        assert_eq!(
            there[n as usize - 1],
            n <= newest,
            "{at}: commits {there:?}"
        );
        assert_eq!(
            get(&mut s, 0, &format!("b/{n}")).is_some(),
            n == newest,
            "{at}: commit {n} in part"
        );
    }
    // A watch goes on from any acknowledged revision with nothing missed.
    for (n, revision) in &acked.commits {
        let seen = changes(&mut s, 0, *revision).unwrap().events;
        let puts = seen
            .iter()
            .filter_map(|c| c.put.as_deref())
            .filter(|k| k.starts_with("a/"));
        assert_eq!(
            puts.count() as u64,
            newest - n,
            "{at}: a watch from {revision}"
        );
    }
    let next = lease(&mut s, 0, 1000);
    assert!(
        acked.leases.iter().all(|l| *l < next),
        "{at}: lease {next} again"
    );
    let (status, after) = commit(&mut s, 0, txn(&[], vec![put("z", 1, None)]));
    assert!(status == 200 && after.revision > revision, "{at}");
}

#[test]
fn power_loss_at_any_write_keeps_acknowledged_changes() {
    let whole = made();
    let before = whole.operations();
    let acked = run(&whole);
    assert_eq!(
        (acked.commits.len() as u64, acked.leases.len()),
        (acked.sent, 3)
    );
    let operations = whole.operations();
    assert!(operations > before + 40, "{operations}");
    for n in before + 1..=operations {
        for left in [
            UnsyncedWrites::Lost,
            UnsyncedWrites::Kept,
            UnsyncedWrites::Torn(n * 7919),
            UnsyncedWrites::Torn(n * 104_729),
        ] {
            let disk = made();
            disk.fail_at(n, left);
            let acked = run(&disk);
            check(&disk, &acked, &format!("cut at {n} with {left:?}"));
        }
    }
}

// Power fails a second time while the store repairs itself.
#[test]
fn power_loss_during_repair_keeps_acknowledged_changes() {
    for n in (5..60).step_by(5) {
        let disk = made();
        disk.fail_at(disk.operations() + n, UnsyncedWrites::Torn(n));
        let acked = run(&disk);
        for k in 1..4 {
            disk.fail_at(disk.operations() + k, UnsyncedWrites::Torn(n + k));
            drop(Service::open(on(&disk), LIMITS, at_ms(0)));
        }
        check(&disk, &acked, &format!("cut at {n} and in the repair"));
    }
}

// A store whose making was cut off was refused for ever.
#[test]
fn store_is_recreated_after_interrupted_creation() {
    let dir = std::env::temp_dir().join(format!("pebblefold-making-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("store.new"), b"redb cut").unwrap();
    let mut s = Service::open(Disk::at(dir.join("store")), LIMITS, at_ms(0)).unwrap();
    assert_eq!(commit(&mut s, 0, txn(&[], vec![put("a", 1, None)])).0, 200);
    // A second process must not open it as well.
    let second = Service::open(Disk::at(dir.join("store")), LIMITS, at_ms(0));
    assert!(second.is_err_and(|e| e.to_string().contains("in use")));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn full_disk_refuses_requests_until_there_is_room() {
    let disk = FaultyDisk::default();
    let mut s = Service::open(on(&disk), LIMITS, at_ms(0)).unwrap();
    let id = lease(&mut s, 0, 1000);
    assert_eq!(
        commit(&mut s, 0, txn(&[], vec![put("a", 1, Some(id))])).0,
        200
    );
    disk.set_full(true);
    // Nothing is acknowledged, and nothing of it is there later.
    assert!(
        !matches!(ask(&mut s, 10, "POST", "/commit", txn(&[], vec![put("b", 1, None)])),
        RequestOutcome::Reply(a) if a.status == 200)
    );
    for ms in (100..5000).step_by(50) {
        s.tick(at_ms(ms));
        let _ = s.flush(at_ms(ms));
        assert_eq!(
            answered(&mut s, ms, "GET", "/keys/a", Vec::new()).status,
            503
        );
    }
    disk.set_full(false);
    s.tick(at_ms(7500));
    let _ = s.flush(at_ms(7500));
    // As after an outage the lease has its full time again.
    s.tick(at_ms(8400));
    assert_eq!(get(&mut s, 8400, "a").unwrap().lease, Some(id));
    assert!(get(&mut s, 8400, "b").is_none());
    assert_eq!(
        commit(&mut s, 8400, txn(&[("a", 1)], vec![put("b", 1, None)])).0,
        200
    );
    drop(s);
    let mut s = Service::open(on(&disk), LIMITS, at_ms(0)).unwrap();
    assert!(get(&mut s, 0, "b").is_some());
}

#[test]
fn damaged_snapshot_is_refused_naming_the_part() {
    let dir = std::env::temp_dir().join(format!("pebblefold-state-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let archive_at = dir.join("snapshot");
    let disk = FaultyDisk::default();
    run(&disk);
    let mut s = Service::open(on(&disk), LIMITS, at_ms(0)).unwrap();
    let (revision, keys) = s.size();
    let saved = backup::save(&s.state(), &archive_at).unwrap();
    assert_eq!((saved.revision, saved.keys), (revision.0, keys as u64));
    // Saved while it serves: what comes later is not in it.
    commit(&mut s, 0, txn(&[], vec![put("later", 1, None)]));
    let store = dir.join("store");
    backup::restore(&archive_at, &store).unwrap();
    let mut back = Service::open(Disk::at(&store), LIMITS, at_ms(0)).unwrap();
    assert!(get(&mut back, 0, "later").is_none());
    assert_eq!(page(&mut back, 0, "starts=").items.len(), keys);
    // Versions must not be given out twice, nor old watches go on.
    assert_eq!(changes(&mut back, 0, revision.0).unwrap_err(), 410);
    let next = commit(&mut back, 0, txn(&[], vec![put("later", 2, None)])).1;
    assert!(next.revision > s.size().0);
    assert!(matches!(
        backup::restore(&archive_at, &store),
        Err(BackupError::Exists(_))
    ));

    let bytes = std::fs::read(&archive_at).unwrap();
    let bad = dir.join("bad");
    for n in 0..bytes.len() {
        let step = if n % 3 == 0 { &bytes[..n] } else { continue };
        std::fs::write(&bad, step).unwrap();
        assert!(
            matches!(backup::read(&bad), Err(BackupError::Damaged { .. })),
            "cut at {n}"
        );
    }
    for n in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[n] ^= 0x10;
        std::fs::write(&bad, &damaged).unwrap();
        // A flipped bit is noticed, unless it is in what nobody reads.
        if let Ok(read) = backup::read(&bad) {
            assert_eq!(read, backup::read(&archive_at).unwrap(), "byte {n}");
        }
    }
    std::fs::write(&bad, &bytes[..bytes.len() / 2]).unwrap();
    let told = backup::restore(&bad, &dir.join("never"))
        .unwrap_err()
        .to_string();
    assert!(
        told.contains("cut off") && told.contains("nothing was restored"),
        "{told}"
    );
    assert!(!dir.join("never").exists());
    std::fs::remove_dir_all(&dir).unwrap();
}
