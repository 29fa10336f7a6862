//! The state service as a process with a real file: killed while it is written to,
//! saved while it serves, restored.

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

struct Service {
    child: Child,
    addr: SocketAddrV4,
    admin: SocketAddrV4,
}

impl Service {
    /// Starts it and waits until it answers.
    async fn start(dir: &Path) -> Service {
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
        let service = Service { child, addr, admin };
        for _ in 0..600 {
            if service
                .ask("GET", "/keys?most=1", Vec::new())
                .await
                .is_some()
            {
                return service;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("it does not start");
    }

    async fn ask(&self, method: &str, path: &str, body: Vec<u8>) -> Option<Response> {
        let (client, sent) = (Client::default(), SentFlag::default());
        let asked = client.exchange(self.addr, method, path, &body, &sent);
        timeout(Duration::from_secs(20), asked).await.ok()?.ok()
    }

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
        let r = self.ask("POST", "/commit", encode(&txn)).await?;
        (r.status == 200).then(|| decode::<TransactionResponse>(&r.body).unwrap().revision.0)
    }

    async fn lease(&self) -> Option<u64> {
        let body = encode(&LeaseGrantRequest { ttl_ms: 600_000 });
        let r = self.ask("POST", "/leases", body).await?;
        (r.status == 200).then(|| decode::<LeaseGrant>(&r.body).unwrap().lease)
    }

    async fn keys(&self, starts: &str) -> Vec<String> {
        let (mut all, mut since) = (Vec::new(), String::new());
        loop {
            let path = format!("/keys?starts={starts}&since={since}&most=1000");
            let page: EntryPage =
                decode(&self.ask("GET", &path, Vec::new()).await.unwrap().body).unwrap();
            since = page.items.last().map(|e| e.key.clone()).unwrap_or_default();
            all.extend(page.items.into_iter().map(|e| e.key));
            if !page.more {
                return all;
            }
        }
    }
}

/// The program, to its successful end.
fn pebblectl(arguments: &[&str]) {
    let out = Command::new(env!("CARGO_BIN_EXE_pebblectl"))
        .args(arguments)
        .output()
        .unwrap();
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("pebblectl-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

// Only the process that the test started is ended, by its own handle. Each life is
// killed after another number of acknowledgements, with commits under way.
#[test]
fn killed_while_it_is_written_to_it_keeps_what_it_acknowledged() {
    run(async {
        let dir = dir("killed");
        let (mut acked, mut leases): (Vec<(u64, u64)>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut next = 0;
        for life in 0..6u64 {
            let mut service = Service::start(&dir).await;
            let a = service.keys("a/").await;
            let b = service.keys("b/").await;
            let tail = |k: &String| k[2..].to_string();
            assert_eq!(
                a.iter().map(tail).collect::<Vec<_>>(),
                b.iter().map(tail).collect::<Vec<_>>(),
                "life {life}: half a commit"
            );
            for (n, _) in &acked {
                assert!(
                    a.binary_search(&format!("a/{n:06}")).is_ok(),
                    "life {life}: commit {n} is lost"
                );
            }
            if let Some((_, revision)) = acked.get(acked.len() / 2) {
                let path = format!("/changes?starts=a/&since={revision}");
                let seen: WatchResponse =
                    decode(&service.ask("GET", &path, Vec::new()).await.unwrap().body).unwrap();
                let after = acked.iter().filter(|(_, r)| r > revision).count();
                assert!(
                    seen.events.len() >= after,
                    "life {life}: a watch misses something"
                );
            }
            let lease = service.lease().await.unwrap();
            assert!(
                leases.iter().all(|l| *l < lease),
                "life {life}: lease {lease} again"
            );
            leases.push(lease);
            let wanted = acked.len() + 7 + 5 * life as usize;
            while acked.len() < wanted {
                // Four at once: some are under way when it is killed.
                let (n1, n2, n3, n4) = (next, next + 1, next + 2, next + 3);
                next += 4;
                let kill = acked.len() + 4 >= wanted;
                let killer = async {
                    if kill {
                        sleep(Duration::from_micros(300 * (life + 1))).await;
                    }
                };
                let all = async {
                    tokio::join!(
                        service.commit(n1),
                        service.commit(n2),
                        service.commit(n3),
                        service.commit(n4)
                    )
                };
                if kill {
                    let mut got = None;
                    tokio::select! {
                        r = all => got = Some(r),
                        () = killer => {}
                    }
                    service.child.kill().unwrap();
                    service.child.wait().unwrap();
                    if let Some((a, b, c, d)) = got {
                        acked.extend(
                            [(n1, a), (n2, b), (n3, c), (n4, d)]
                                .into_iter()
                                .filter_map(|(n, r)| Some((n, r?))),
                        );
                    }
                    break;
                }
                let (a, b, c, d) = all.await;
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
fn it_is_saved_while_it_serves_and_restored_elsewhere() {
    run(async {
        let dir = dir("saved");
        let (file, new) = (dir.join("snapshot"), dir.join("new"));
        let mut service = Service::start(&dir.join("old")).await;
        for n in 0..50 {
            service.commit(n).await.unwrap();
        }
        let path = file.display().to_string();
        let (asked, admin) = (path.clone(), service.admin.to_string());
        let saving = tokio::task::spawn_blocking(move || {
            pebblectl(&["state", "snapshot", "save", "--admin", &admin, &asked]);
        });
        // It serves meanwhile.
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
        let mut restored = Service::start(&new).await;
        let keys = restored.keys("a/").await;
        assert!((50..=51).contains(&keys.len()), "{}", keys.len());
        assert!(
            restored.commit(99).await.unwrap() > last,
            "versions went back"
        );
        restored.child.kill().unwrap();
        restored.child.wait().unwrap();
        std::fs::remove_dir_all(&dir).unwrap();
    });
}
