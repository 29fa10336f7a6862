//! Users' and operators' requests to a cluster.

use crate::output::Failure;
use pebblefold_net::{Client, Sent};
use pebblefold_wire::http::Response;
use pebblefold_wire::users::{JobAnswer, Refusal};
use pebblefold_wire::{decode, encode};
use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;
use tokio::time::timeout;

/// How long one node may take.
const PATIENCE: Duration = Duration::from_secs(6);

/// Reads a job in the users' form.
///
/// # Errors
/// The file cannot be read, or is not JSON; the text names line and column.
pub fn read_job(path: &Path) -> Result<Value, Failure> {
    let text = if path == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    let named = |e: String| Failure::Input(format!("{}: {e}", path.display()));
    let text = text.map_err(|e| named(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| named(e.to_string()))
}

/// Asks one node after the other until one decides. All these requests may be
/// repeated.
async fn ask(
    nodes: &[SocketAddrV4],
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Response, Failure> {
    let client = Client::default();
    let mut told = Vec::new();
    let mut refused = None;
    for node in nodes {
        let sent = Sent::default();
        match timeout(PATIENCE, client.exchange(*node, method, path, body, &sent)).await {
            Ok(Ok(r)) if r.status < 500 => return Ok(r),
            Ok(Ok(r)) => refused = Some(r),
            Ok(Err(e)) => told.push(format!("{node}: {e}")),
            Err(_) => told.push(format!("{node}: no answer within {} s", PATIENCE.as_secs())),
        }
    }
    match refused {
        Some(r) => Ok(r),
        None if told.is_empty() => Err(Failure::Input(
            "the cluster has no addresses; see config show".into(),
        )),
        None => Err(Failure::Unreachable(told.join("\n"))),
    }
}

fn refusal(r: &Response) -> Failure {
    let reason = decode::<Refusal>(&r.body).map_or("refused".into(), |x| x.error);
    let again = r
        .retry_after
        .map_or(String::new(), |s| format!(", try again in {s} s"));
    Failure::Failed(format!("{} {reason}{again}", r.status))
}

fn job(r: &Response) -> Result<JobAnswer, Failure> {
    match r.status {
        200 | 201 => {
            decode(&r.body).ok_or_else(|| Failure::failed("the node's answer cannot be read"))
        }
        404 => Err(Failure::failed("404 no such job")),
        _ => Err(refusal(r)),
    }
}

/// Submits a job. Safe to repeat: the id tells the same job.
///
/// # Errors
/// It is refused, or no node could be reached.
pub async fn submit(nodes: &[SocketAddrV4], spec: &Value) -> Result<JobAnswer, Failure> {
    job(&ask(nodes, "POST", "/submissions", &encode(spec)).await?)
}

/// A job's state.
///
/// # Errors
/// It is not known, or no node could be reached.
pub async fn status(nodes: &[SocketAddrV4], id: &str) -> Result<JobAnswer, Failure> {
    job(&ask(nodes, "GET", &format!("/submissions/{id}"), &[]).await?)
}

/// Cancels a job. Safe to repeat.
///
/// # Errors
/// It is not known, or no node could be reached.
pub async fn cancel(nodes: &[SocketAddrV4], id: &str) -> Result<JobAnswer, Failure> {
    job(&ask(nodes, "POST", &format!("/submissions/{id}/cancel"), &[]).await?)
}

/// What the leading node knows or, if none leads, any other.
///
/// # Errors
/// No node could be reached.
pub async fn inspect(nodes: &[SocketAddrV4], machine: &str, job: &str) -> Result<Value, Failure> {
    let path = format!("/inspect?machine={machine}&job={job}");
    let mut any = None;
    let mut last = None;
    for node in nodes {
        match ask(&[*node], "GET", &path, &[]).await {
            Ok(r) if r.status == 200 => {
                let v: Value = decode(&r.body).unwrap_or_default();
                if v["leads"] == true {
                    return Ok(v);
                }
                any = Some(v);
            }
            Ok(r) => last = Some(refusal(&r)),
            Err(e) => last = Some(e),
        }
    }
    any.ok_or_else(|| {
        last.unwrap_or_else(|| {
            Failure::input("the cluster has no internal addresses; see config show")
        })
    })
}
