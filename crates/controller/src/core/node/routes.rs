//! The HTTP routes of a controller, as one table. Classifies requests, and never answers
//! them.

use crate::core::Listener;
use crate::core::effects::RequestKind;

/// First path segment of users' requests about jobs.
const JOBS: &str = "submissions";
/// Last path segment of a cancellation.
const CANCEL: &str = "cancel";
/// Path segment of agents' heartbeats, including those that a controller forwards to the
/// leader.
pub(crate) const AGENT_HEARTBEAT: &str = "checkin";
/// Path segment of the load balancer's readiness check.
const READY: &str = "ready";
/// Path segment of heartbeats between controllers.
pub(crate) const PEER_HEARTBEAT: &str = "greet";
/// Path segment of the leader's heartbeats to its followers.
pub(crate) const LEADER_HEARTBEAT: &str = "beat";
/// Path segment of a peer's query whether this controller confirms a suspicion of the
/// leader.
pub(crate) const SUSPICION_QUERY: &str = "opinion";
/// Path segment of the leader's request that this controller replace it.
pub(crate) const LEADERSHIP_TRANSFER: &str = "take";
/// First path segment of calls to the cloud API that this controller makes for the
/// leader. The leader's token and the cloud's path follow.
pub(crate) const CLOUD_PROXY: &str = "cloud";
/// Path segment of the inspection by operators.
const INSPECT: &str = "inspect";

/// The path of a route that is a single segment.
pub(crate) fn path(segment: &str) -> String {
    format!("/{segment}")
}

/// The kind of a request, with the parameters in its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route<'a> {
    /// A user submits a job.
    Submit,
    /// A user polls the status of this job.
    Poll(&'a str),
    /// A user cancels this job.
    Cancel(&'a str),
    /// An agent's heartbeat to this controller.
    AgentHeartbeat,
    /// The load balancer's readiness check.
    Ready,
    /// An agent's heartbeat that a peer forwards.
    ForwardedHeartbeat,
    /// A heartbeat from a peer.
    PeerHeartbeat,
    /// A heartbeat from the leader to a follower.
    LeaderHeartbeat,
    /// A peer's query about a suspected leader.
    SuspicionQuery,
    /// The leader's request to be replaced by this controller.
    LeadershipTransfer,
    /// A call to the cloud API on behalf of the leader of this token.
    CloudProxy(&'a str),
    /// Inspection by an operator.
    Inspect,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// There is no such path.
    NotFound,
}

impl<'a> Route<'a> {
    /// Classifies a request; `segments` are those of its path.
    pub(super) fn classify(listener: Listener, method: &str, segments: &[&'a str]) -> Route<'a> {
        match listener {
            Listener::Api => Route::classify_api(method, segments),
            Listener::Internal => Route::classify_internal(method, segments),
        }
    }

    fn classify_api(method: &str, segments: &[&'a str]) -> Route<'a> {
        match (method, segments) {
            ("POST", [JOBS]) => Route::Submit,
            ("GET", [JOBS, job]) => Route::Poll(job),
            ("POST", [JOBS, job, CANCEL]) => Route::Cancel(job),
            ("POST", [AGENT_HEARTBEAT]) => Route::AgentHeartbeat,
            ("GET", [READY]) => Route::Ready,
            (_, [JOBS] | [JOBS, _] | [JOBS, _, CANCEL]) => Route::MethodNotAllowed,
            (_, [AGENT_HEARTBEAT | READY]) => Route::MethodNotAllowed,
            _ => Route::NotFound,
        }
    }

    fn classify_internal(method: &str, segments: &[&'a str]) -> Route<'a> {
        match (method, segments) {
            ("POST", [AGENT_HEARTBEAT]) => Route::ForwardedHeartbeat,
            ("POST", [PEER_HEARTBEAT]) => Route::PeerHeartbeat,
            ("POST", [LEADER_HEARTBEAT]) => Route::LeaderHeartbeat,
            ("POST", [SUSPICION_QUERY]) => Route::SuspicionQuery,
            ("POST", [LEADERSHIP_TRANSFER]) => Route::LeadershipTransfer,
            ("GET" | "POST", [CLOUD_PROXY, token, ..]) => Route::CloudProxy(token),
            ("GET", [INSPECT]) => Route::Inspect,
            (_, [AGENT_HEARTBEAT | PEER_HEARTBEAT | LEADER_HEARTBEAT]) => Route::MethodNotAllowed,
            (_, [SUSPICION_QUERY | LEADERSHIP_TRANSFER | INSPECT]) => Route::MethodNotAllowed,
            _ => Route::NotFound,
        }
    }

    /// The kind under which the response time is measured. `None`: the response time is
    /// not measured.
    pub(super) fn timed_kind(self) -> Option<RequestKind> {
        match self {
            Route::Submit => Some(RequestKind::Submit),
            Route::Poll(_) => Some(RequestKind::Poll),
            Route::Cancel(_) => Some(RequestKind::Cancel),
            Route::AgentHeartbeat => Some(RequestKind::Heartbeat),
            _ => None,
        }
    }
}

/// A service that a controller refuses while it does not support the active format
/// version, for any method and any rest of the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionedService {
    /// Users' requests about jobs.
    Jobs,
    /// Agents' heartbeats, direct or forwarded.
    AgentHeartbeats,
    /// Calls to the cloud API for the leader.
    CloudProxy,
}

impl VersionedService {
    /// The service that a path belongs to; `None` if the path is served under any format
    /// version.
    pub(super) fn from_path(listener: Listener, segments: &[&str]) -> Option<VersionedService> {
        match (listener, segments) {
            (Listener::Api, [JOBS, ..]) => Some(VersionedService::Jobs),
            (_, [AGENT_HEARTBEAT]) => Some(VersionedService::AgentHeartbeats),
            (Listener::Internal, [CLOUD_PROXY, ..]) => Some(VersionedService::CloudProxy),
            _ => None,
        }
    }
}
