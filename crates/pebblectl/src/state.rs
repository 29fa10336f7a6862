//! `pebblectl state`: a key-value store for one machine, and its snapshots.

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

/// Name of the store's file within its directory.
const STORE_FILE_NAME: &str = "state.redb";

/// Serves the key-value store until Ctrl-C.
pub async fn serve(s: Serve) -> Result<(), Failure> {
    let dir = s.dir.display().to_string();
    std::fs::create_dir_all(&s.dir).map_err(|e| Failure::Input(format!("{dir}: {e}")))?;
    let limits = Limits {
        rps: s.rps,
        write_rps: s.write_rps,
        value_bytes: s.value_kb * 1024,
        txn_ops: s.txn_ops,
    };
    let store = s.dir.join(STORE_FILE_NAME);
    let server = Server::new(|now| Service::open(Disk::in_file(store), limits, now))
        .map_err(|e| Failure::Failed(format!("{dir}: {e}")))?;
    let bind = async |addr: SocketAddrV4| {
        let bound = TcpListener::bind(addr).await;
        bound.map_err(|e| Failure::Failed(format!("{addr}: {e}")))
    };
    let (listener, admin) = (bind(s.listen).await?, bind(s.admin).await?);
    let (revision, keys) = server.with_service(|s, _| s.revision_and_key_count());
    println!(
        "key-value store at {}, {keys} keys at revision {revision}, files in {dir}",
        s.listen
    );
    spawn_local(server.clone().serve_connections(listener, ClientId(0)));
    let admin_server = server.clone();
    spawn_local(answer_connections(admin, move |r| {
        let server = admin_server.clone();
        async move { Some(answer_admin_request(&server, &r).await) }
    }));
    tokio::select! {
        () = server.run() => Ok(()),
        // Every acknowledged change is already on disk.
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Answers a request to the admin address: `POST /snapshot` with a file's path saves
/// the store to that file.
async fn answer_admin_request(server: &Server<Disk>, r: &Request) -> Response {
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
    // The snapshot shares its values with the store, which keeps serving while
    // another thread writes the snapshot to the file.
    let state = server.with_service(|s, _| s.clone_state());
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || tx.send(snapshot::save(&state, &file)));
    match rx.await {
        Ok(Ok(summary)) => answer(200, encode(&summary)),
        Ok(Err(e)) => refuse(500, e.to_string()),
        Err(_) => refuse(500, "saving ended early".into()),
    }
}

/// Requests a running store to save a snapshot to `file`, a path on the store's
/// machine; a relative path is resolved against the current directory.
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

/// Restores a snapshot into a new store in `dir`.
pub fn restore(file: &Path, dir: &Path) -> Result<snapshot::SnapshotSummary, Failure> {
    std::fs::create_dir_all(dir).map_err(|e| Failure::Input(format!("{}: {e}", dir.display())))?;
    snapshot::restore(file, &dir.join(STORE_FILE_NAME)).map_err(Failure::input)
}

/// Reads a whole snapshot file and summarizes its contents.
pub fn check(file: &Path) -> Result<snapshot::SnapshotSummary, Failure> {
    let state = snapshot::read(file).map_err(Failure::input)?;
    Ok(snapshot::SnapshotSummary::from_state(&state))
}
