//! The state service for one machine.

use crate::args::Serve;
use crate::output::Failure;
use pebblefold_kvstore::driver::Server;
use pebblefold_kvstore::{ClientId, Disk, Limits, Service, snapshot};
use pebblefold_net::{Client, SentFlag, answer_connections};
use pebblefold_wire::http::{Request, Response};
use pebblefold_wire::users::ErrorResponse;
use pebblefold_wire::{decode, encode};
use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The store's name within its directory.
const STORE: &str = "state.redb";

/// Serves until it is ended.
pub async fn serve(s: Serve) -> Result<(), Failure> {
    let dir = s.dir.display().to_string();
    std::fs::create_dir_all(&s.dir).map_err(|e| Failure::Input(format!("{dir}: {e}")))?;
    let limits = Limits {
        rps: s.rps,
        write_rps: s.write_rps,
        value_bytes: s.value_kb * 1024,
        txn_ops: s.txn_ops,
    };
    let store = s.dir.join(STORE);
    let server = Server::new(|now| Service::open(Disk::in_file(store), limits, now))
        .map_err(|e| Failure::Failed(format!("{dir}: {e}")))?;
    let bind = async |addr: SocketAddrV4| {
        let bound = TcpListener::bind(addr).await;
        bound.map_err(|e| Failure::Failed(format!("{addr}: {e}")))
    };
    let (listener, admin) = (bind(s.listen).await?, bind(s.admin).await?);
    let (revision, keys) = server.with_service(|s, _| s.revision_and_key_count());
    println!(
        "state service at {}, {keys} keys at version {revision}, store in {dir}",
        s.listen
    );
    spawn_local(server.clone().serve_connections(listener, ClientId(0)));
    let administered = server.clone();
    spawn_local(answer_connections(admin, move |r| {
        let server = administered.clone();
        async move { Some(administer(&server, &r).await) }
    }));
    tokio::select! {
        () = server.run() => Ok(()),
        // What is acknowledged is stored already.
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

async fn administer(server: &Server<Disk>, r: &Request) -> Response {
    let answer = |status, body| Response {
        status,
        retry_after: None,
        body,
        close: false,
    };
    let refuse = |status, error: String| answer(status, encode(&ErrorResponse { error }));
    if (r.method.as_str(), r.path.as_str()) != ("POST", "/snapshot") {
        return refuse(404, format!("{} {}: unknown", r.method, r.path));
    }
    let Some(file) = decode::<PathBuf>(&r.body) else {
        return refuse(400, "a file's path is needed".into());
    };
    // The image shares its values with the service, which goes on serving while
    // another thread writes it out.
    let state = server.with_service(|s, _| s.clone_state());
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || tx.send(snapshot::save(&state, &file)));
    match rx.await {
        Ok(Ok(summary)) => answer(200, encode(&summary)),
        Ok(Err(e)) => refuse(500, e.to_string()),
        Err(_) => refuse(500, "saving ended early".into()),
    }
}

/// Asks a service to save everything.
pub async fn save(admin: SocketAddrV4, file: &Path) -> Result<Value, Failure> {
    let path = std::path::absolute(file).map_err(Failure::input)?;
    let sent = SentFlag::default();
    let client = Client::default();
    let r = client
        .exchange(admin, "POST", "/snapshot", &encode(&path), &sent)
        .await
        .map_err(|e| Failure::Unreachable(format!("{admin}: {e}")))?;
    if r.status == 200 {
        return Ok(decode(&r.body).unwrap_or_default());
    }
    Err(Failure::Failed(
        decode::<ErrorResponse>(&r.body).map_or("refused".into(), |x| x.error),
    ))
}

/// Restores a snapshot into a new store.
pub fn restore(file: &Path, dir: &Path) -> Result<snapshot::SnapshotSummary, Failure> {
    std::fs::create_dir_all(dir).map_err(|e| Failure::Input(format!("{}: {e}", dir.display())))?;
    snapshot::restore(file, &dir.join(STORE)).map_err(Failure::input)
}

/// Reads a snapshot whole.
pub fn check(file: &Path) -> Result<snapshot::SnapshotSummary, Failure> {
    let state = snapshot::read(file).map_err(Failure::input)?;
    Ok(snapshot::SnapshotSummary::from_state(&state))
}
