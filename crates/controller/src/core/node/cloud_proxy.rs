//! Calls to the cloud that a node makes for a leader that does not reach it.

use super::{Node, PendingCall};
use crate::core::autoscaler::state::{BAD_GATEWAY, CONFLICT, GATEWAY_TIMEOUT};
use crate::core::{Reply, RequestId, Target};
use crate::http;
use crate::types::{FencingToken, TimeSpan};

/// How long the cloud may take; the leader waits a little longer.
const CALL: TimeSpan = TimeSpan::millis(5000);

impl Node {
    /// Passes a leader's call on. One whose token is known to be replaced is
    /// refused; where that is not known yet no harm is done, as what it asks
    /// for stands in the state service.
    pub(super) fn hand(&mut self, id: RequestId, token: &str, r: &http::Request) {
        let Some(token) = token.parse().ok().map(FencingToken) else {
            return self.effects.answer_status(id, 400);
        };
        if self.greeting(Vec::new()).token > token {
            return self.effects.answer_status(id, CONFLICT);
        }
        let mut path = r.path["/cloud/".len()..].to_string();
        path.drain(..path.find('/').unwrap_or(path.len()));
        if !r.query.is_empty() {
            path = format!("{path}?{}", r.query);
        }
        let method = if r.method == "GET" { "GET" } else { "POST" };
        let call = self
            .effects
            .call(Target::Cloud, method, path, r.body.clone(), CALL);
        self.pending_calls
            .add(call, PendingCall::Hand { request: id });
    }

    /// The cloud answered, or not.
    pub(super) fn on_hand(&mut self, id: RequestId, reply: Reply) {
        match reply {
            Reply::Answer(status, body) => self.effects.answer(
                id,
                crate::core::Answer {
                    status,
                    retry_after: None,
                    body,
                },
            ),
            Reply::NotSent => self.effects.answer_status(id, BAD_GATEWAY),
            Reply::Lost => self.effects.answer_status(id, GATEWAY_TIMEOUT),
        }
    }
}
