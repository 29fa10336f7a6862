//! Requests of users and operators to a cluster.

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

/// Deadline of a user's request, with all its retries: a person waits for the
/// answer.
pub const USER_REQUEST_DEADLINE: TimeSpan = TimeSpan::millis(8000);
/// How long one controller may take to answer `/inspect`.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(6);

/// Reads a job in the format of the users' API; `-` reads standard input.
///
/// # Errors
/// The file cannot be read, or does not describe a job; the text names line and
/// column, or the field.
pub fn read_job(path: &Path) -> Result<Submission, Failure> {
    let text = if path == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    let input_error = |e: String| Failure::Input(format!("{}: {e}", path.display()));
    let text = text.map_err(|e| input_error(e.to_string()))?;
    let expected = "expected a job in the format of deploy/job.json";
    let job: Submission =
        serde_json::from_str(&text).map_err(|e| input_error(format!("{e}; {expected}")))?;
    match job.first_invalid_field() {
        None => Ok(job),
        Some(field) => Err(input_error(format!("{field}: invalid value; {expected}"))),
    }
}

/// A client of a cluster; each of its calls fails after `deadline`, retries included.
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
            ClientError::Busy { .. } => Failure::Unreachable(format!(
                "{e}; check that the cluster is running and that --cluster names it"
            )),
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

/// Requests `path` from one controller's internal address and decodes the answer.
async fn fetch(node: SocketAddrV4, path: &str) -> Result<Value, Failure> {
    let sent = SentFlag::default();
    let net = Net::default();
    let unreachable = |e: String| Failure::Unreachable(format!("{node}: {e}"));
    match timeout(INSPECT_TIMEOUT, net.exchange(node, "GET", path, &[], &sent)).await {
        Ok(Ok(r)) if r.status == 200 => Ok(decode(&r.body).unwrap_or_default()),
        Ok(Ok(r)) => Err(Failure::Failed(format!(
            "{node}: status {}; check that this is an internal address of a controller",
            r.status
        ))),
        Ok(Err(e)) => Err(unreachable(e.to_string())),
        Err(_) => Err(unreachable(format!(
            "no answer within {} s",
            INSPECT_TIMEOUT.as_secs()
        ))),
    }
}

/// The `/inspect` answer of the leader or, if no controller leads, of any other
/// controller; `machine` and `job` are prefixes of the names and ids to include.
///
/// # Errors
/// No controller could be reached, or the cluster has no internal addresses.
pub async fn inspect(nodes: &[SocketAddrV4], machine: &str, job: &str) -> Result<Value, Failure> {
    let path = format!("/inspect?machine={machine}&job={job}");
    let mut any_answer = None;
    let mut last_failure = None;
    for node in nodes {
        match fetch(*node, &path).await {
            Ok(v) if v["leads"] == true => return Ok(v),
            Ok(v) => any_answer = Some(v),
            Err(e) => last_failure = Some(e),
        }
    }
    any_answer.ok_or_else(|| {
        last_failure.unwrap_or_else(|| {
            Failure::input("the cluster has no internal addresses; see config show")
        })
    })
}
