//! `pebblectl state` as a process with a real file: the store is killed while it is
//! written to, saved to a snapshot while it serves, and restored.

use pebblefold_net::{Client, SentFlag};
use pebblefold_wire::http::Response;
use pebblefold_wire::kvstore::{
    EntryPage, LeaseGrant, LeaseGrantRequest, Operation, Transaction, TransactionResponse,
    WatchResponse,
};
use pebblefold_wire::{decode, encode};
use std::net::{SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{sleep, timeout};

fn free_port() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string().parse().unwrap()
}

/// A running `pebblectl state serve`.
struct StoreProcess {
    child: Child,
    addr: SocketAddrV4,
    admin: SocketAddrV4,
}

impl StoreProcess {
    /// Starts the store and waits until it answers, at most 30 s and the time of its
    /// answers.
    async fn start(dir: &Path) -> StoreProcess {
        let (addr, admin) = (free_port(), free_port());
        let child = Command::new(env!("CARGO_BIN_EXE_pebblectl"))
            .args([
                "state",
                "serve",
                "--rps",
                "1e9",
                "--write-rps",
                "1e9",
                "--dir",
            ])
            .arg(dir)
            .args(["--listen", &addr.to_string(), "--admin", &admin.to_string()])
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let service = StoreProcess { child, addr, admin };
        for _ in 0..600 {
            if service
                .request("GET", "/keys?most=1", Vec::new())
                .await
                .is_some()
            {
                return service;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the store does not start");
    }

    async fn request(&self, method: &str, path: &str, body: Vec<u8>) -> Option<Response> {
        let (client, sent) = (Client::default(), SentFlag::default());
        let response = client.exchange(self.addr, method, path, &body, &sent);
        timeout(Duration::from_secs(20), response).await.ok()?.ok()
    }

    /// Writes keys `a/n` and `b/n` in one transaction; returns the revision, or `None`
    /// if the commit was not acknowledged.
    async fn commit(&self, n: u64) -> Option<u64> {
        let put = |key: String| Operation::Put {
            key,
            value: "x".repeat(900).into(),
            lease: None,
        };
        let ops = vec![put(format!("a/{n:06}")), put(format!("b/{n:06}"))];
        let txn = Transaction {
            conditions: Vec::new(),
            ops,
        };
        let r = self.request("POST", "/commit", encode(&txn)).await?;
        (r.status == 200).then(|| decode::<TransactionResponse>(&r.body).unwrap().revision.0)
    }

    /// Grants a lease and returns its id.
    async fn grant_lease(&self) -> Option<u64> {
        let body = encode(&LeaseGrantRequest { ttl_ms: 600_000 });
        let r = self.request("POST", "/leases", body).await?;
        (r.status == 200).then(|| decode::<LeaseGrant>(&r.body).unwrap().lease)
    }

    /// All keys that begin with `prefix`, in order.
    async fn keys(&self, prefix: &str) -> Vec<String> {
        let (mut keys, mut since) = (Vec::new(), String::new());
        loop {
            let path = format!("/keys?starts={prefix}&since={since}&most=1000");
            let page: EntryPage =
                decode(&self.request("GET", &path, Vec::new()).await.unwrap().body).unwrap();
            since = page.items.last().map(|e| e.key.clone()).unwrap_or_default();
            keys.extend(page.items.into_iter().map(|e| e.key));
            if !page.more {
                return keys;
            }
        }
    }
}

/// Runs the program and checks that it succeeds.
fn pebblectl(arguments: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_pebblectl"))
        .args(arguments)
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

fn create_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("pebblectl-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn run_async(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

// The store is started six times and each time killed, through the handle of the
// process, after a different number of acknowledged commits and while other commits
// are in progress. No acknowledged commit may be lost, no commit may be half applied,
// no watch may miss an event, and no lease id may be granted twice.
#[test]
fn killed_store_keeps_acknowledged_commits() {
    run_async(async {
        let dir = create_dir("killed");
        let (mut acked, mut leases): (Vec<(u64, u64)>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut next = 0;
        for run in 0..6u64 {
            let mut service = StoreProcess::start(&dir).await;
            let a = service.keys("a/").await;
            let b = service.keys("b/").await;
            let tail = |k: &String| k[2..].to_string();
            assert_eq!(
                a.iter().map(tail).collect::<Vec<_>>(),
                b.iter().map(tail).collect::<Vec<_>>(),
                "run {run}: half a commit"
            );
            for (n, _) in &acked {
                assert!(
                    a.binary_search(&format!("a/{n:06}")).is_ok(),
                    "run {run}: commit {n} is lost"
                );
            }
            if let Some((_, revision)) = acked.get(acked.len() / 2) {
                let path = format!("/changes?starts=a/&since={revision}");
                let seen: WatchResponse = decode(
                    &service
                        .request("GET", &path, Vec::new())
                        .await
                        .unwrap()
                        .body,
                )
                .unwrap();
                let after = acked.iter().filter(|(_, r)| r > revision).count();
                assert!(
                    seen.events.len() >= after,
                    "run {run}: a watch misses something"
                );
            }
            let lease = service.grant_lease().await.unwrap();
            assert!(
                leases.iter().all(|l| *l < lease),
                "run {run}: lease {lease} again"
            );
            leases.push(lease);
            let acked_before_kill = acked.len() + 7 + 5 * run as usize;
            while acked.len() < acked_before_kill {
                // Four concurrent commits: some are in progress when the store is killed.
                let (n1, n2, n3, n4) = (next, next + 1, next + 2, next + 3);
                next += 4;
                let kills_now = acked.len() + 4 >= acked_before_kill;
                let kill_delay = async {
                    if kills_now {
                        sleep(Duration::from_micros(300 * (run + 1))).await;
                    }
                };
                let commits = async {
                    tokio::join!(
                        service.commit(n1),
                        service.commit(n2),
                        service.commit(n3),
                        service.commit(n4)
                    )
                };
                if kills_now {
                    let mut results = None;
                    tokio::select! {
                        r = commits => results = Some(r),
                        () = kill_delay => {}
                    }
                    service.child.kill().unwrap();
                    service.child.wait().unwrap();
                    if let Some((a, b, c, d)) = results {
                        acked.extend(
                            [(n1, a), (n2, b), (n3, c), (n4, d)]
                                .into_iter()
                                .filter_map(|(n, r)| Some((n, r?))),
                        );
                    }
                    break;
                }
                let (a, b, c, d) = commits.await;
                acked.extend(
                    [(n1, a), (n2, b), (n3, c), (n4, d)]
                        .into_iter()
                        .filter_map(|(n, r)| Some((n, r?))),
                );
            }
            acked.sort_by_key(|(_, r)| *r);
        }
        assert!(acked.len() > 40, "{}", acked.len());
        std::fs::remove_dir_all(&dir).unwrap();
    });
}

#[test]
fn snapshot_is_saved_while_serving_and_restored_elsewhere() {
    run_async(async {
        let dir = create_dir("saved");
        let (file, new) = (dir.join("snapshot"), dir.join("new"));
        let mut service = StoreProcess::start(&dir.join("old")).await;
        for n in 0..50 {
            service.commit(n).await.unwrap();
        }
        let path = file.display().to_string();
        let (snapshot_path, admin) = (path.clone(), service.admin.to_string());
        let saving = tokio::task::spawn_blocking(move || {
            pebblectl(&[
                "state",
                "snapshot",
                "save",
                "--admin",
                &admin,
                &snapshot_path,
            ]);
        });
        // The store serves while the snapshot is saved.
        let last = service.commit(50).await.unwrap();
        saving.await.unwrap();
        service.child.kill().unwrap();
        service.child.wait().unwrap();
        pebblectl(&["state", "snapshot", "check", &path]);
        pebblectl(&[
            "state",
            "snapshot",
            "restore",
            &path,
            "--dir",
            &new.display().to_string(),
        ]);
        let mut restored = StoreProcess::start(&new).await;
        let keys = restored.keys("a/").await;
        assert!((50..=51).contains(&keys.len()), "{}", keys.len());
        assert!(
            restored.commit(99).await.unwrap() > last,
            "the revision went back"
        );
        restored.child.kill().unwrap();
        restored.child.wait().unwrap();
        std::fs::remove_dir_all(&dir).unwrap();
    });
}
