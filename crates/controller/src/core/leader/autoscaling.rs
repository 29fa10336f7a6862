//! The calls to the cloud: one at a time, alternating between terminations and other calls,
//! and the changes that their answers make. `capacity_planning` decides how many machines to
//! have.

use super::cluster_state::ClusterState;
use super::command_dispatch::CommandDispatcher;
use super::heartbeat_reconciliation::HeartbeatReconciler;
use super::outcome::LeadershipOutcome;
use super::pending_call::PendingCall;
use super::task_lifecycle::RemovalReason;
use crate::core::autoscaler::intents::{CapacityPool, Intents};
use crate::core::autoscaler::state::{
    Autoscaler, BAD_GATEWAY, CONFLICT, CloudCall, GATEWAY_TIMEOUT,
};
use crate::core::effects::{Effects, PendingCalls};
use crate::core::machine::{Machine, MachineLifecycle};
use crate::core::quarantine::Quarantine;
use crate::core::{Now, Reply, Target};
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan, WallTime};
use crate::wire;
use crate::wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachineStage, MachineTypes, ProvisionRequest,
};
use crate::wire::users::ErrorResponse;
use std::collections::BTreeMap;

/// Time between checks for completed intents.
const SETTLE_INTERVAL: TimeSpan = TimeSpan::millis(1000);
/// Timeout of a call to the cloud: of a direct call, and of a call through a peer, which
/// takes longer.
const DIRECT_CALL_TIMEOUT: TimeSpan = TimeSpan::millis(5000);
const PEER_CALL_TIMEOUT: TimeSpan = TimeSpan::millis(6000);
/// Time between reads of the machine types.
const TYPES_INTERVAL: TimeSpan = TimeSpan::millis(60_000);
/// Shortest and longest pause after a failed call.
const MIN_BACKOFF: TimeSpan = TimeSpan::millis(700);
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(5000);

/// The parts of the leader that an answer of the cloud changes.
pub(in crate::core) struct CloudContext<'a> {
    /// Jobs and machines.
    pub cluster: &'a mut ClusterState,
    /// Announces the leader to machines that a list shows.
    pub commands: &'a mut CommandDispatcher,
    /// Drops its data about machines that are gone.
    pub heartbeats: &'a mut HeartbeatReconciler,
}

/// The outcome of a call to the cloud, of any kind.
enum CloudAnswer {
    /// The call was carried out; with the body of the answer.
    Accepted(Vec<u8>),
    /// The call was not carried out: the cloud has no capacity for such machines.
    NoCapacity(Vec<u8>),
    /// The cloud will never accept the call.
    Malformed(Vec<u8>),
    /// The call was certainly not carried out and may be retried.
    Refused,
    /// No answer: the call may have been carried out, or may yet be.
    Unanswered,
}

/// The HTTP method, path and body of a call.
struct CloudRequest {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

impl Autoscaler {
    /// Removes completed intents and outdated quarantine records; at most once per
    /// `SETTLE_INTERVAL`.
    pub(in crate::core) fn settle_intents(
        &mut self,
        at: Now,
        cluster: &ClusterState,
        quarantine: &mut Quarantine,
    ) {
        if at.time < self.next_settle {
            return;
        }
        self.next_settle = at.time + SETTLE_INTERVAL;
        let machines = &cluster.machines;
        let is_seen = |id: &MachineId| {
            let machine = machines.get(id);
            machine.is_none_or(|m| m.last_heartbeat.is_some() || m.last_listed.is_some())
        };
        self.intents.settle_completed(at.time, is_seen);
        let exists = |id: &MachineId| machines.contains_key(id);
        quarantine.forget_old(&mut self.intents.pending_writes, at.wall, exists);
    }

    /// Makes the next call to the cloud, if one is due, directly or through the peer that
    /// the cloud proxy has chosen.
    pub(in crate::core) fn make_next_call(
        &mut self,
        effects: &mut Effects,
        cluster: &ClusterState,
        token: FencingToken,
        pending_calls: &mut PendingCalls<PendingCall>,
    ) {
        let now = effects.now.time;
        if self.call_in_flight || now < self.not_before || self.rate_limit.level(now) < 1.0 {
            return;
        }
        let Some(call) = self.next_call(now, cluster.machine_types.is_empty()) else {
            return;
        };
        self.rate_limit.try_take(now, 1.0);
        self.call_in_flight = true;
        let CloudRequest { method, path, body } = self.request_for(&call);
        let via = self.cloud_proxy.peer(now).cloned();
        let mut peers = cluster.settings.peers.iter();
        let peer = via
            .as_ref()
            .and_then(|node| peers.find(|peer| peer.node_id == *node));
        let id = match peer {
            Some(peer) => {
                let path = format!("/cloud/{token}{path}");
                effects.call(
                    Target::Host(peer.addr),
                    method,
                    path,
                    body,
                    PEER_CALL_TIMEOUT,
                )
            }
            None => effects.call(Target::Cloud, method, path, body, DIRECT_CALL_TIMEOUT),
        };
        pending_calls.add(id, PendingCall::Cloud(call, via));
    }

    /// Builds the request of a call, and marks the call's intents as requested.
    fn request_for(&mut self, call: &CloudCall) -> CloudRequest {
        let get = |path: String| CloudRequest {
            method: "GET",
            path,
            body: Vec::new(),
        };
        let post = |path: &str, body: Vec<u8>| CloudRequest {
            method: "POST",
            path: path.to_string(),
            body,
        };
        match call {
            CloudCall::Types => get("/machine_types".to_string()),
            CloudCall::List => {
                let last_machine = self.partial_list.last();
                let since =
                    last_machine.map_or(String::new(), |machine| format!("since={}&", machine.id));
                get(format!("/machines?{since}most=500"))
            }
            CloudCall::Provision(request) => {
                tracing::info!(kind = %request.kind, zone = %request.zone, spot = request.spot, count = request.count, "provisioning machines");
                self.intents.mark_provision_requested(&request.request);
                post("/machines", wire::encode(request))
            }
            CloudCall::Terminate(machines) => {
                self.intents.mark_termination_requested(machines);
                let machines = machines.clone();
                let body = wire::encode(&MachineNames { machines });
                post("/machines/release", body)
            }
        }
    }

    /// Records termination intents for the machines marked as terminating, before any call
    /// that terminates them.
    pub(in crate::core) fn record_terminations(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        wall: WallTime,
    ) {
        let intents = &self.intents;
        let (may_terminate_empty, may_terminate_busy) =
            (intents.may_terminate(false), intents.may_terminate(true));
        if !may_terminate_busy {
            return;
        }
        let is_new = |(id, machine): &(&MachineId, &Machine)| {
            machine.lifecycle == MachineLifecycle::Terminating
                && (may_terminate_empty || !machine.tasks.is_empty())
                && !intents.is_terminating(id)
        };
        let new = machines.iter().filter(is_new);
        let new: Vec<_> = new
            .map(|(id, machine)| (id.clone(), machine.termination_reason))
            .collect();
        if !new.is_empty() {
            self.intents.terminate(new.into_iter(), wall);
        }
    }

    /// The next call, if one is due. While the cloud keeps taking spot machines back, there is
    /// always something to terminate, so other calls alternate with terminations.
    pub(in crate::core) fn next_call(&mut self, now: Time, needs_types: bool) -> Option<CloudCall> {
        if needs_types {
            return Some(CloudCall::Types);
        }
        let call = if self.last_call_terminated {
            self.other_call(now).or_else(|| self.termination_call())
        } else {
            self.termination_call().or_else(|| self.other_call(now))
        };
        self.last_call_terminated = matches!(call, Some(CloudCall::Terminate(_)));
        call
    }

    fn termination_call(&self) -> Option<CloudCall> {
        let machines = self.intents.next_termination();
        (!machines.is_empty()).then_some(CloudCall::Terminate(machines))
    }

    /// The next call that terminates no machine. A provision precedes a list that is due,
    /// unless the list is a whole interval late.
    fn other_call(&self, now: Time) -> Option<CloudCall> {
        let is_list_late = now >= self.list_due + self.list_interval;
        if is_list_late {
            return Some(CloudCall::List);
        }
        if let Some(request) = self.intents.next_provision() {
            return Some(CloudCall::Provision(request));
        }
        if now >= self.list_due {
            return Some(CloudCall::List);
        }
        (now >= self.types_due).then_some(CloudCall::Types)
    }

    /// Handles the cloud's answer to a call, or its absence. `via`: the peer through which the
    /// call was made; `None`: it was direct.
    pub(in crate::core) fn handle_cloud_reply(
        &mut self,
        effects: &mut Effects,
        context: &mut CloudContext<'_>,
        call: CloudCall,
        via: Option<&NodeId>,
        reply: Reply,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        self.call_in_flight = false;
        if via.is_some() && matches!(reply, Reply::Answer(CONFLICT, _)) {
            return LeadershipOutcome::StepDown("a peer knows a later leader");
        }
        let answer = self.classify_reply(now, &call, via, reply);
        let (is_accepted, body) = match answer {
            CloudAnswer::Unanswered | CloudAnswer::Refused => {
                self.handle_failure(effects, call, &answer);
                return LeadershipOutcome::Continue;
            }
            CloudAnswer::NoCapacity(body) | CloudAnswer::Malformed(body) => (false, body),
            CloudAnswer::Accepted(body) => (true, body),
        };
        self.backoff.succeeded();
        match call {
            CloudCall::Types => self.apply_types(effects, context.cluster, &body),
            CloudCall::List => self.apply_list_page(now, context, &body),
            CloudCall::Provision(request) if is_accepted => {
                self.apply_provisioned(now, context.cluster, &request, &body);
            }
            CloudCall::Provision(request) => {
                self.apply_no_capacity(now, context.cluster, request);
            }
            CloudCall::Terminate(machines) => self.apply_terminated(now, context, machines),
        }
        LeadershipOutcome::Continue
    }

    /// Classifies a reply, and records for the cloud proxy whether the call was answered.
    fn classify_reply(
        &mut self,
        now: Time,
        call: &CloudCall,
        via: Option<&NodeId>,
        reply: Reply,
    ) -> CloudAnswer {
        let answered = match reply {
            // Answers of a peer that got no answer from the cloud, or did not call it.
            Reply::Answer(400 | 404 | 405 | BAD_GATEWAY | GATEWAY_TIMEOUT, _) if via.is_some() => {
                None
            }
            Reply::Answer(status, body) => Some((status, body)),
            Reply::NotSent | Reply::OutcomeUnknown => None,
        };
        let Some((status, body)) = answered.filter(|(status, _)| *status != 0) else {
            self.cloud_proxy.unanswered(now, via);
            return CloudAnswer::Unanswered;
        };
        self.cloud_proxy.answered(now, via);
        match status {
            200 => CloudAnswer::Accepted(body),
            503 if is_no_capacity(&body) => CloudAnswer::NoCapacity(body),
            // Only 200 proves that terminated machines are gone.
            400 if !matches!(call, CloudCall::Terminate(_)) => CloudAnswer::Malformed(body),
            _ => CloudAnswer::Refused,
        }
    }

    /// Handles a failed call: pauses all calls, and keeps or drops a provision intent.
    fn handle_failure(&mut self, effects: &mut Effects, call: CloudCall, answer: &CloudAnswer) {
        let jitter = effects.jitter();
        let pause = self.backoff.next_pause(MIN_BACKOFF, MAX_BACKOFF, jitter);
        self.not_before = effects.now.time + pause;
        if let CloudCall::Provision(request) = call {
            // A refused request was not carried out. A request without an answer may have
            // been, or may yet be: it may only be repeated under the same name.
            match answer {
                CloudAnswer::Unanswered => self.intents.mark_provision_uncertain(&request.request),
                _ => self.intents.settle_refused_provision(&request.request),
            }
        }
    }

    /// Stores the machine types that were read; the effects pass them on to be recorded.
    fn apply_types(&mut self, effects: &mut Effects, cluster: &mut ClusterState, body: &[u8]) {
        self.types_due = effects.now.time + TYPES_INTERVAL;
        if let Some(types) = wire::decode::<MachineTypes>(body) {
            cluster.set_machine_types(&types);
            effects.listed_machine_types = Some(types);
        }
    }

    /// Collects a page of the machine list, and applies the whole list after its last page.
    fn apply_list_page(&mut self, now: Time, context: &mut CloudContext<'_>, body: &[u8]) {
        let next_list = now + self.list_interval;
        let Some(page) = wire::decode::<MachineList>(body) else {
            self.list_due = next_list;
            return;
        };
        let is_last = !page.more || page.machines.is_empty();
        self.partial_list.extend(page.machines);
        if !is_last {
            return;
        }
        self.list_due = next_list;
        self.last_list = Some(now);
        for listed in std::mem::take(&mut self.partial_list) {
            // Lists lag: a terminated machine that is added again would count as booting,
            // and no machine would be provisioned for the work that waits.
            if !self.intents.is_terminated(&listed.id) {
                apply_listed_machine(now, context, &self.intents, listed);
            }
        }
    }

    /// Adds the machines that the cloud provisioned. Fewer than requested mean that the pool
    /// has no more capacity.
    fn apply_provisioned(
        &mut self,
        now: Time,
        cluster: &mut ClusterState,
        request: &ProvisionRequest,
        body: &[u8],
    ) {
        let Some(names) = wire::decode::<MachineNames>(body) else {
            return;
        };
        if (names.machines.len() as u32) < request.count {
            self.pause_pool(now, cluster, request);
        }
        self.intents
            .mark_fulfilled(&request.request, &names.machines, now);
        for id in names.machines {
            if self.intents.is_terminated(&id) {
                continue;
            }
            let machine = cluster.register_machine(now, &id, &self.intents);
            machine.machine_type.get_or_insert(request.kind.clone());
            machine.zone.get_or_insert(request.zone.clone());
            machine.spot = request.spot;
        }
    }

    /// Settles a provision for which the cloud has no capacity, and pauses the pool.
    fn apply_no_capacity(&mut self, now: Time, cluster: &ClusterState, request: ProvisionRequest) {
        self.intents.settle_without_capacity(&request.request);
        tracing::info!(kind = %request.kind, zone = %request.zone, spot = request.spot, "no capacity");
        self.pause_pool(now, cluster, &request);
    }

    /// Excludes a pool without capacity from provisioning for the policy's pause.
    fn pause_pool(&mut self, now: Time, cluster: &ClusterState, request: &ProvisionRequest) {
        let pause = TimeSpan::secs(cluster.policy.no_capacity_pause_s);
        let pool = CapacityPool {
            machine_type: request.kind.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        };
        self.paused_pools.insert(pool, now + pause);
    }

    /// Removes machines that the cloud has terminated; their tasks are gone with them.
    fn apply_terminated(
        &mut self,
        now: Time,
        context: &mut CloudContext<'_>,
        machines: Vec<MachineId>,
    ) {
        self.intents.mark_terminated(&machines, now);
        for id in machines {
            let cluster = &mut context.cluster;
            cluster.write_off_machine(now, &id, RemovalReason::MachineTerminated);
            cluster.machines.remove(&id);
            context.heartbeats.forget_machine(&id);
        }
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    wire::decode::<ErrorResponse>(body).is_some_and(|response| response.error == "no capacity")
}

/// Updates one machine from the cloud's list.
fn apply_listed_machine(
    now: Time,
    context: &mut CloudContext<'_>,
    intents: &Intents,
    listed: ListedMachine,
) {
    let cluster = &mut context.cluster;
    let machine = cluster.register_machine(now, &listed.id, intents);
    machine.machine_type.get_or_insert(listed.kind);
    machine.zone.get_or_insert(listed.zone);
    machine.spot = listed.spot;
    let mut tasks_to_stop = Vec::new();
    if machine.address.is_none() {
        machine.address = listed.addr.parse().ok();
        tasks_to_stop.extend(machine.tasks.iter().cloned());
    }
    machine.cloud_listing = Some((listed.stage, TimeSpan::secs(listed.age_s)));
    machine.last_listed = Some(now);
    if listed.stage == MachineStage::Failed && machine.tasks.is_empty() {
        machine.mark_for_termination("failed");
    }
    context.commands.announce_to(now, cluster, &listed.id);
    if !tasks_to_stop.is_empty() {
        // An earlier leader may have sent stops to only some of the machine's tasks, so all of
        // them are queued. Tasks without an ordered stop are left out when stops are sent.
        let direct_stops = cluster.direct_stops.entry(listed.id).or_default();
        direct_stops.extend(tasks_to_stop);
    }
}

#[cfg(test)]
mod tests;
