//! Dispatch of each HTTP request to the component that answers it.

use super::Node;
use super::routes::{Route, VersionedService};
use crate::core::autoscaler::state::BAD_GATEWAY;
use crate::core::format_version::member_versions::NotServing;
use crate::core::leader::TaskCounts;
use crate::core::{Listener, RequestId};
use crate::http;
use crate::types::JobId;
use crate::wire;

/// `Retry-After` of a user's request that exceeds the limit of requests in progress, in
/// seconds.
const RETRY_WHEN_OVERLOADED_S: u32 = 2;
/// `Retry-After` of an agent's heartbeat that a controller refuses because it does not
/// serve, in seconds.
const RETRY_HEARTBEAT_AFTER_S: u32 = 1;

impl Node {
    pub(super) fn handle_request(
        &mut self,
        id: RequestId,
        listener: Listener,
        request: http::Request,
    ) {
        let segments: Vec<&str> = request.path.split('/').skip(1).collect();
        let route = Route::classify(listener, &request.method, &segments);
        if let Some(kind) = route.timed_kind()
            && !self.effects.start_request(id, kind)
        {
            return self
                .effects
                .answer_retry_after(id, 503, RETRY_WHEN_OVERLOADED_S);
        }
        if let Some(why) = self.not_serving()
            && let Some(service) = VersionedService::from_path(listener, &segments)
        {
            return self.refuse_request(id, service, &why);
        }
        match route {
            Route::Submit => self.job_api.submit(
                &mut self.effects,
                id,
                &request.body,
                &self.settings,
                self.machine_types.as_ref(),
            ),
            Route::Poll(job) => {
                self.refresh_task_counts(job);
                self.job_api.poll(&mut self.effects, id, job);
            }
            Route::Cancel(job) => self.job_api.cancel(&mut self.effects, id, job),
            Route::AgentHeartbeat => self.handle_agent_heartbeat(id, request.body),
            Route::ForwardedHeartbeat => self.handle_forwarded_heartbeat(id, &request.body),
            Route::Ready => self.answer_readiness(id),
            Route::PeerHeartbeat => self.handle_peer_heartbeat(id, &request.body),
            Route::LeaderHeartbeat => self.handle_leader_heartbeat(id, &request.body),
            Route::SuspicionQuery => self.handle_suspicion_query(id, &request.body),
            Route::LeadershipTransfer => self.handle_leadership_transfer(id, &request.body),
            Route::CloudProxy(token) => self.proxy_cloud_call(id, token, &request),
            Route::Inspect => self.answer_inspection(id, &request.query),
            Route::MethodNotAllowed => self.effects.answer_status(id, 405),
            Route::NotFound => self.effects.answer_status(id, 404),
        }
    }

    /// Refuses a request because this controller does not serve; another controller may
    /// serve it.
    fn refuse_request(&mut self, id: RequestId, service: VersionedService, why: &NotServing) {
        match service {
            VersionedService::CloudProxy => self.effects.answer_status(id, BAD_GATEWAY),
            VersionedService::AgentHeartbeats => {
                self.effects
                    .answer_retry_after(id, 503, RETRY_HEARTBEAT_AFTER_S);
            }
            VersionedService::Jobs => {
                self.job_api.refuse(&mut self.effects, id, &why.to_string());
            }
        }
    }

    /// Updates a polled job's task counts from the leader's state, if this controller
    /// leads.
    fn refresh_task_counts(&mut self, job: &str) {
        let Some(leader) = &self.leader else {
            return;
        };
        let id = JobId::from(job);
        if let Some(TaskCounts { done, running }) = leader.task_counts(&id) {
            self.job_api.record_task_counts(vec![(id, done, running)]);
        }
    }

    fn answer_readiness(&mut self, id: RequestId) {
        let status = if self.is_ready() { 200 } else { 503 };
        self.effects.answer_status(id, status);
    }

    fn answer_inspection(&mut self, id: RequestId, query: &str) {
        let body = wire::encode(&self.inspect(query));
        self.effects.answer_body(id, body);
    }
}
