//! Power loss at every numbered operation of the disk, full disks, and damaged snapshots.

mod common;
use common::*;
use pebblefold_kvstore::faulty_disk::{FaultyDisk, UnsyncedWrites};
use pebblefold_kvstore::snapshot::{self, SnapshotError};
use pebblefold_kvstore::{ClientId, Disk, RequestId, RequestOutcome, Service};

/// A disk with an empty store, whose creation is complete.
fn disk_with_empty_store() -> FaultyDisk {
    let disk = FaultyDisk::default();
    drop(Service::open(storage_on(&disk), LIMITS, at_ms(0)).unwrap());
    disk
}

fn storage_on(disk: &FaultyDisk) -> Disk {
    let disk = disk.clone();
    Disk::on_backend(move || disk.open())
}

/// The acknowledged changes of a run.
#[derive(Default, Debug)]
struct Acknowledged {
    /// Number and revision of each acknowledged commit.
    commits: Vec<(u64, u64)>,
    /// Ids of the granted leases.
    leases: Vec<u64>,
    /// Number of commits sent, acknowledged or not.
    sent: u64,
}

/// Sends a fixed sequence of requests: each commit puts two keys and deletes one of the
/// previous commit; some commits share a flush, and leases are granted between them. The
/// power may fail at any point.
fn run_requests(disk: &FaultyDisk) -> Acknowledged {
    let mut acked = Acknowledged::default();
    let Ok(mut s) = Service::open(storage_on(disk), LIMITS, at_ms(0)) else {
        return acked;
    };
    for group in 0..6u64 {
        if group % 2 == 0 {
            let body = pebblefold_wire::encode(&pebblefold_wire::kvstore::LeaseGrantRequest {
                ttl_ms: 5000,
            });
            if let RequestOutcome::Reply(reply) = outcome_of(&mut s, group, "POST", "/leases", body)
                && let Some(l) =
                    pebblefold_wire::decode::<pebblefold_wire::kvstore::LeaseGrant>(&reply.body)
                && reply.status == 200
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
            if let RequestOutcome::Reply(reply) = outcome
                && reply.status == 200
            {
                let r: pebblefold_wire::kvstore::TransactionResponse =
                    pebblefold_wire::decode(&reply.body).unwrap();
                acked.commits.push((request_id.0, r.revision.0));
            }
        }
    }
    acked
}

/// Restores the power and checks what must hold then.
fn check_after_power_loss(disk: &FaultyDisk, acked: &Acknowledged, at: &str) {
    disk.restore_power();
    let mut s =
        Service::open(storage_on(disk), LIMITS, at_ms(0)).unwrap_or_else(|e| panic!("{at}: {e}"));
    let (revision, _) = s.revision_and_key_count();
    let last = acked.commits.last().copied().unwrap_or((0, 0));
    assert!(revision.0 >= last.1, "{at}: the revision decreased");
    let present: Vec<bool> = (1..=acked.sent)
        .map(|n| get(&mut s, 0, &format!("a/{n}")).is_some())
        .collect();
    let newest = present.iter().filter(|p| **p).count() as u64;
    for (n, revision) in &acked.commits {
        let key =
            get(&mut s, 0, &format!("a/{n}")).unwrap_or_else(|| panic!("{at}: commit {n} is lost"));
        assert_eq!(key.version.0, *revision, "{at}");
    }
    for n in 1..=acked.sent {
        // Commits are atomic and in order: both puts and the deletion are stored or none.
        assert_eq!(
            present[n as usize - 1],
            n <= newest,
            "{at}: commits {present:?}"
        );
        assert_eq!(
            get(&mut s, 0, &format!("b/{n}")).is_some(),
            n == newest,
            "{at}: commit {n} is partly stored"
        );
    }
    // A watch from any acknowledged revision misses no change.
    for (n, revision) in &acked.commits {
        let events = read_changes(&mut s, 0, *revision).unwrap().events;
        let puts = events
            .iter()
            .filter_map(|c| c.put.as_deref())
            .filter(|k| k.starts_with("a/"));
        assert_eq!(
            puts.count() as u64,
            newest - n,
            "{at}: a watch from {revision}"
        );
    }
    let next = grant_lease(&mut s, 0, 1000);
    assert!(
        acked.leases.iter().all(|l| *l < next),
        "{at}: lease id {next} was reused"
    );
    let (status, after) = commit(&mut s, 0, txn(&[], vec![put("z", 1, None)]));
    assert!(status == 200 && after.revision > revision, "{at}");
}

#[test]
fn power_loss_at_any_write_keeps_acknowledged_changes() {
    let undisturbed = disk_with_empty_store();
    let before = undisturbed.operation_count();
    let acked = run_requests(&undisturbed);
    assert_eq!(
        (acked.commits.len() as u64, acked.leases.len()),
        (acked.sent, 3)
    );
    let operations = undisturbed.operation_count();
    assert!(operations > before + 40, "{operations}");
    for n in before + 1..=operations {
        for unsynced_writes in [
            UnsyncedWrites::Lost,
            UnsyncedWrites::Kept,
            UnsyncedWrites::Torn(n * 7919),
            UnsyncedWrites::Torn(n * 104_729),
        ] {
            let disk = disk_with_empty_store();
            disk.schedule_power_failure(n, unsynced_writes);
            let acked = run_requests(&disk);
            check_after_power_loss(
                &disk,
                &acked,
                &format!("power loss at {n}, unsynced writes {unsynced_writes:?}"),
            );
        }
    }
}

// The power fails again, several times, while the database repairs itself at opening.
#[test]
fn power_loss_during_repair_keeps_acknowledged_changes() {
    for n in (5..60).step_by(5) {
        let disk = disk_with_empty_store();
        disk.schedule_power_failure(disk.operation_count() + n, UnsyncedWrites::Torn(n));
        let acked = run_requests(&disk);
        for k in 1..4 {
            disk.schedule_power_failure(disk.operation_count() + k, UnsyncedWrites::Torn(n + k));
            drop(Service::open(storage_on(&disk), LIMITS, at_ms(0)));
        }
        check_after_power_loss(
            &disk,
            &acked,
            &format!("power loss at {n} and during repair"),
        );
    }
}

// redb refuses a file whose creation was interrupted by a power loss; the store could then
// never be opened again.
#[test]
fn store_is_recreated_after_interrupted_creation() {
    let dir = std::env::temp_dir().join(format!("pebblefold-making-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("store.new"), b"redb cut").unwrap();
    let mut s = Service::open(Disk::in_file(dir.join("store")), LIMITS, at_ms(0)).unwrap();
    assert_eq!(commit(&mut s, 0, txn(&[], vec![put("a", 1, None)])).0, 200);
    // The file must not be opened a second time.
    let second = Service::open(Disk::in_file(dir.join("store")), LIMITS, at_ms(0));
    assert!(second.is_err_and(|e| e.to_string().contains("in use")));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn refuses_requests_while_disk_is_full() {
    let disk = FaultyDisk::default();
    let mut s = Service::open(storage_on(&disk), LIMITS, at_ms(0)).unwrap();
    let id = grant_lease(&mut s, 0, 1000);
    assert_eq!(
        commit(&mut s, 0, txn(&[], vec![put("a", 1, Some(id))])).0,
        200
    );
    disk.set_full(true);
    // The put of `b` is not acknowledged, and `b` is absent later.
    assert!(
        !matches!(outcome_of(&mut s, 10, "POST", "/commit", txn(&[], vec![put("b", 1, None)])),
        RequestOutcome::Reply(reply) if reply.status == 200)
    );
    for ms in (100..5000).step_by(50) {
        s.tick(at_ms(ms));
        let _ = s.flush(at_ms(ms));
        assert_eq!(
            reply_to(&mut s, ms, "GET", "/keys/a", Vec::new()).status,
            503
        );
    }
    disk.set_full(false);
    s.tick(at_ms(7500));
    let _ = s.flush(at_ms(7500));
    // The lease has its full time to live again, as after an outage.
    s.tick(at_ms(8400));
    assert_eq!(get(&mut s, 8400, "a").unwrap().lease, Some(id));
    assert!(get(&mut s, 8400, "b").is_none());
    assert_eq!(
        commit(&mut s, 8400, txn(&[("a", 1)], vec![put("b", 1, None)])).0,
        200
    );
    drop(s);
    let mut s = Service::open(storage_on(&disk), LIMITS, at_ms(0)).unwrap();
    assert!(get(&mut s, 0, "b").is_some());
}

#[test]
fn damaged_snapshot_is_refused_naming_the_part() {
    let dir = std::env::temp_dir().join(format!("pebblefold-state-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let snapshot_path = dir.join("snapshot");
    let disk = FaultyDisk::default();
    run_requests(&disk);
    let mut s = Service::open(storage_on(&disk), LIMITS, at_ms(0)).unwrap();
    let (revision, keys) = s.revision_and_key_count();
    let saved = snapshot::save(&s.clone_state(), &snapshot_path).unwrap();
    assert_eq!((saved.revision, saved.keys), (revision.0, keys as u64));
    // The snapshot was written while the service runs; later changes are not in it.
    commit(&mut s, 0, txn(&[], vec![put("later", 1, None)]));
    let store = dir.join("store");
    snapshot::restore(&snapshot_path, &store).unwrap();
    let mut restored = Service::open(Disk::in_file(&store), LIMITS, at_ms(0)).unwrap();
    assert!(get(&mut restored, 0, "later").is_none());
    assert_eq!(read_page(&mut restored, 0, "starts=").items.len(), keys);
    // Versions must not be issued twice, and watches from before the restore must fail.
    assert_eq!(read_changes(&mut restored, 0, revision.0).unwrap_err(), 410);
    let next = commit(&mut restored, 0, txn(&[], vec![put("later", 2, None)])).1;
    assert!(next.revision > s.revision_and_key_count().0);
    assert!(matches!(
        snapshot::restore(&snapshot_path, &store),
        Err(SnapshotError::Exists(_))
    ));

    let bytes = std::fs::read(&snapshot_path).unwrap();
    let bad = dir.join("bad");
    for n in 0..bytes.len() {
        let truncated = if n % 3 == 0 { &bytes[..n] } else { continue };
        std::fs::write(&bad, truncated).unwrap();
        assert!(
            matches!(snapshot::read(&bad), Err(SnapshotError::Damaged { .. })),
            "truncated at byte {n}"
        );
    }
    for n in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[n] ^= 0x10;
        std::fs::write(&bad, &damaged).unwrap();
        // A flipped bit is detected, unless it lies in bytes that do not affect the contents.
        if let Ok(read) = snapshot::read(&bad) {
            assert_eq!(read, snapshot::read(&snapshot_path).unwrap(), "byte {n}");
        }
    }
    std::fs::write(&bad, &bytes[..bytes.len() / 2]).unwrap();
    let message = snapshot::restore(&bad, &dir.join("never"))
        .unwrap_err()
        .to_string();
    assert!(
        message.contains("cut off") && message.contains("nothing was restored"),
        "{message}"
    );
    assert!(!dir.join("never").exists());
    std::fs::remove_dir_all(&dir).unwrap();
}
