//! Proxy for a leader that cannot reach the cloud API: this controller makes the leader's
//! calls.

use super::routes::CLOUD_PROXY;
use super::{Node, PendingCall};
use crate::core::autoscaler::state::{BAD_GATEWAY, CONFLICT, GATEWAY_TIMEOUT};
use crate::core::{Answer, Reply, RequestId, Target};
use crate::http;
use crate::types::{FencingToken, TimeSpan};

/// Timeout of a call to the cloud API; the leader waits a little longer.
const CLOUD_TIMEOUT: TimeSpan = TimeSpan::millis(5000);

impl Node {
    /// Forwards a leader's call to the cloud API. A leader that is known to be replaced,
    /// because a higher token exists, is refused. A replaced leader that this controller
    /// does not recognize as such does no harm: the intents behind its calls are stored
    /// in the key-value store.
    pub(super) fn proxy_cloud_call(&mut self, id: RequestId, token: &str, request: &http::Request) {
        let Some(token) = token.parse().ok().map(FencingToken) else {
            return self.effects.answer_status(id, 400);
        };
        if self.own_heartbeat(Vec::new()).token > token {
            return self.effects.answer_status(id, CONFLICT);
        }
        let path = cloud_path(request);
        let method = if request.method == "GET" {
            "GET"
        } else {
            "POST"
        };
        let body = request.body.clone();
        let call = self
            .effects
            .call(Target::Cloud, method, path, body, CLOUD_TIMEOUT);
        self.pending_calls
            .add(call, PendingCall::CloudCall { request: id });
    }

    /// Answers the leader with the cloud's answer, or with a gateway error that says
    /// whether the call was sent.
    pub(super) fn handle_cloud_reply(&mut self, id: RequestId, reply: Reply) {
        match reply {
            Reply::Answer(status, body) => {
                let answer = Answer {
                    status,
                    retry_after: None,
                    body,
                };
                self.effects.answer(id, answer);
            }
            Reply::NotSent => self.effects.answer_status(id, BAD_GATEWAY),
            Reply::OutcomeUnknown => self.effects.answer_status(id, GATEWAY_TIMEOUT),
        }
    }
}

/// The path and query for the cloud API in a request to `/cloud/TOKEN/PATH?QUERY`.
fn cloud_path(request: &http::Request) -> String {
    let prefix = format!("/{CLOUD_PROXY}/");
    let mut path = request.path[prefix.len()..].to_string();
    path.drain(..path.find('/').unwrap_or(path.len()));
    if request.query.is_empty() {
        path
    } else {
        format!("{path}?{}", request.query)
    }
}
