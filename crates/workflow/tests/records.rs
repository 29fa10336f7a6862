//! A workflow's records in a key-value store that lowers its limits.

use pebblefold_kvstore::driver::Server;
use pebblefold_kvstore::{ClientId, Limits, Memory, Service};
use pebblefold_workflow::engine::TaskPath;
use pebblefold_workflow::records::{End, Entry, RecordError, Records};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

const LIMITS: Limits = Limits {
    rps: 1e9,
    write_rps: 1e9,
    value_bytes: 8192,
    txn_ops: 48,
};

/// Serves an empty store at a free port of this machine.
async fn serve() -> (Server<Memory>, SocketAddrV4) {
    let server = Server::new(|now| Service::open(Memory::default(), LIMITS, now)).unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("an IPv4 address");
    };
    spawn_local(server.clone().serve_connections(listener, ClientId(0)));
    spawn_local(server.clone().run());
    (server, addr)
}

fn lower(server: &Server<Memory>, value_bytes: usize, txn_ops: usize) {
    let limits = Limits {
        value_bytes,
        txn_ops,
        ..LIMITS
    };
    server.with_service(|service, now| service.set_limits(now, limits));
}

fn entries(tasks: std::ops::Range<u32>) -> Vec<(TaskPath, Entry)> {
    let entry = |n: u32| match n.is_multiple_of(3) {
        true => Entry::Failed(format!("exit code {n} {}", "x".repeat(80))),
        false => Entry::Done,
    };
    let path = |n: u32| TaskPath::from(format!("step/{n:04}").as_str());
    tasks.map(|n| (path(n), entry(n))).collect()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

// A list of the usual size was refused, the runner ended, and every later one was refused
// the same list.
#[test]
fn outcomes_are_recorded_after_the_store_lowered_its_limits() {
    run(async {
        let (server, addr) = serve().await;
        let mut records = Records::open(addr, "flow", "f", "me", 1).await.unwrap();
        records.add(&entries(0..80)).await.unwrap();
        lower(&server, 1024, 8);
        records.add(&entries(80..100)).await.unwrap();
        // A runner that starts now reads the lists of the old size.
        let mut later = Records::open(addr, "flow", "f", "me", 2).await.unwrap();
        assert_eq!(later.all().count(), 100);
        later.add(&entries(100..110)).await.unwrap();
        later.end(&End::Failed("some failed".into())).await.unwrap();
        // Taking it up again writes the old lists without what failed.
        later.take_up().await.unwrap();
        let reread = Records::existing(addr, "flow").await.unwrap();
        let mut done: Vec<String> = reread.all().map(|(path, _)| path.to_string()).collect();
        done.sort();
        let expected = entries(0..110)
            .into_iter()
            .filter(|(_, e)| *e == Entry::Done);
        let expected: Vec<String> = expected.map(|(path, _)| path.to_string()).collect();
        assert_eq!(done, expected);
    });
}

#[test]
fn refusal_for_another_reason_is_an_error_with_the_stores_words() {
    run(async {
        let (server, addr) = serve().await;
        let mut records = Records::open(addr, "flow", "f", "me", 1).await.unwrap();
        lower(&server, 1, 1);
        let refused = records.add(&entries(0..5)).await;
        let Err(RecordError::Refused(why)) = refused else {
            panic!("{refused:?}");
        };
        assert!(why.contains("value bytes"), "{why}");
    });
}
