//! Users' and operators' requests to a cluster.

use crate::output::Failure;
use pebblefold_client::{Client, ClientError, RetryPolicy};
use pebblefold_net::{Client as Net, SentFlag};
use pebblefold_simulator::loopback::LoopbackError;
use pebblefold_wire::decode;
use pebblefold_wire::types::TimeSpan;
use pebblefold_wire::users::Submission;
use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;
use tokio::time::timeout;

/// How long a person waits for an answer.
pub const PERSON: TimeSpan = TimeSpan::millis(8000);
/// How long one node may take.
const PATIENCE: Duration = Duration::from_secs(6);

/// Reads a job in the users' form.
///
/// # Errors
/// The file cannot be read, or is no job; the text names line and column, or the
/// field.
pub fn read_job(path: &Path) -> Result<Submission, Failure> {
    let text = if path == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    let named = |e: String| Failure::Input(format!("{}: {e}", path.display()));
    let text = text.map_err(|e| named(e.to_string()))?;
    let wanted = "a job in the users' form is wanted, as deploy/job.json";
    let job: Submission =
        serde_json::from_str(&text).map_err(|e| named(format!("{e}; {wanted}")))?;
    match job.first_invalid_field() {
        None => Ok(job),
        Some(field) => Err(named(format!(
            "{field}: its value cannot be used; {wanted}"
        ))),
    }
}

/// A client of a cluster, whose calls end after `deadline`.
pub fn client(nodes: Vec<SocketAddrV4>, deadline: TimeSpan) -> Client {
    Client::new(
        nodes,
        RetryPolicy {
            deadline,
            ..RetryPolicy::default()
        },
    )
}

impl From<ClientError> for Failure {
    fn from(e: ClientError) -> Failure {
        match e {
            ClientError::Refused { .. } | ClientError::NoSuchJob(_) => Failure::failed(e),
            ClientError::InvalidJobId(_) | ClientError::NoNodes => Failure::input(e),
            ClientError::Busy { .. } => {
                Failure::Unreachable(format!("{e}; is the cluster up, and is it this one?"))
            }
        }
    }
}

impl From<LoopbackError> for Failure {
    fn from(e: LoopbackError) -> Failure {
        match e {
            LoopbackError::Ports { .. } | LoopbackError::Settings(_) => Failure::input(e),
            LoopbackError::Storage(_) | LoopbackError::Io(..) => Failure::failed(e),
        }
    }
}

/// Asks one node what it knows.
async fn ask(node: SocketAddrV4, path: &str) -> Result<Value, Failure> {
    let sent = SentFlag::default();
    let net = Net::default();
    let told = |e: String| Failure::Unreachable(format!("{node}: {e}"));
    match timeout(PATIENCE, net.exchange(node, "GET", path, &[], &sent)).await {
        Ok(Ok(r)) if r.status == 200 => Ok(decode(&r.body).unwrap_or_default()),
        Ok(Ok(r)) => Err(Failure::Failed(format!(
            "{node}: {}; is it an internal address?",
            r.status
        ))),
        Ok(Err(e)) => Err(told(e.to_string())),
        Err(_) => Err(told(format!("no answer within {} s", PATIENCE.as_secs()))),
    }
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
        match ask(*node, &path).await {
            Ok(v) if v["leads"] == true => return Ok(v),
            Ok(v) => any = Some(v),
            Err(e) => last = Some(e),
        }
    }
    any.ok_or_else(|| {
        last.unwrap_or_else(|| {
            Failure::input("the cluster has no internal addresses; see config show")
        })
    })
}
