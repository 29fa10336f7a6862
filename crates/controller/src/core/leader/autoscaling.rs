//! The calls to the cloud: one at a time, in turns between terminating, provisioning
//! and listing machines, and what their answers change. How many machines to have is
//! decided in `capacity_planning`.

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

/// Time between checks for intents that are settled.
const SETTLE_INTERVAL: TimeSpan = TimeSpan::millis(1000);
/// How long a call to the cloud may take, and longer by a peer.
const CALL_TIMEOUT: TimeSpan = TimeSpan::millis(5000);
const PEER_CALL_TIMEOUT: TimeSpan = TimeSpan::millis(6000);
/// Time between reads of the machine types.
const TYPES_INTERVAL: TimeSpan = TimeSpan::millis(60_000);
/// Pauses after calls that failed.
const SHORTEST_BACKOFF: TimeSpan = TimeSpan::millis(700);
const LONGEST_BACKOFF: TimeSpan = TimeSpan::millis(5000);

/// The parts that an answer of the cloud changes.
pub(in crate::core) struct CloudContext<'a> {
    /// Jobs and machines.
    pub cluster: &'a mut ClusterState,
    /// Told of machines that a list shows.
    pub commands: &'a mut CommandDispatcher,
    /// Forgets machines that are gone.
    pub heartbeats: &'a mut HeartbeatReconciler,
}

/// What the cloud answered, as far as it matters to every kind of call.
enum CloudAnswer {
    /// Carried out; the body says what.
    Accepted(Vec<u8>),
    /// Understood and not carried out: there are no such machines.
    NoCapacity(Vec<u8>),
    /// Refused for good.
    Malformed(Vec<u8>),
    /// Certainly not carried out, and may be asked again.
    Refused,
    /// Not answered: it may have been carried out, or may yet be.
    Unanswered,
}

/// The method, path and body of a call.
struct CloudRequest {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

impl Autoscaler {
    /// Forgets intents and quarantine records that are settled.
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
        let is_heard_of = |id: &MachineId| {
            let machine = machines.get(id);
            machine.is_none_or(|m| m.last_heartbeat.is_some() || m.last_listed.is_some())
        };
        self.intents.settle_completed(at.time, is_heard_of);
        let is_known = |id: &MachineId| machines.contains_key(id);
        quarantine.forget_old(&mut self.intents.pending_writes, at.wall, is_known);
    }

    /// Makes the next call to the cloud, if one is due, itself or by a peer that
    /// reaches the cloud better.
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
        self.rate_limit.take(now, 1.0);
        self.call_in_flight = true;
        let CloudRequest { method, path, body } = self.request_for(&call);
        let by = self.cloud_proxy.peer(now).cloned();
        let mut peers = cluster.settings.peers.iter();
        let peer = by
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
            None => effects.call(Target::Cloud, method, path, body, CALL_TIMEOUT),
        };
        pending_calls.add(id, PendingCall::Cloud(call, by));
    }

    /// A call as it is sent; that it is asked for is noted.
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
                let last = self.partial_list.last();
                let since = last.map_or(String::new(), |machine| format!("since={}&", machine.id));
                get(format!("/machines?{since}most=500"))
            }
            CloudCall::ProvisionRequest(request) => {
                tracing::info!(kind = %request.kind, zone = %request.zone, spot = request.spot, count = request.count, "provisioning machines");
                self.intents.mark_provision_requested(&request.request);
                post("/machines", wire::encode(request))
            }
            CloudCall::Release(machines) => {
                self.intents.mark_termination_requested(machines);
                let machines = machines.clone();
                let body = wire::encode(&MachineNames { machines });
                post("/machines/release", body)
            }
        }
    }

    /// Writes down which machines are to be terminated, ahead of asking for it.
    pub(in crate::core) fn record_releases(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        wall: WallTime,
    ) {
        let intents = &self.intents;
        let (may_terminate, may_release_busy) =
            (intents.may_terminate(false), intents.may_terminate(true));
        if !may_release_busy {
            return;
        }
        let is_new = |(id, machine): &(&MachineId, &Machine)| {
            machine.lifecycle == MachineLifecycle::Terminating
                && (may_terminate || !machine.tasks.is_empty())
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

    /// The next call, if one is due. While spot machines go all the time there is
    /// always something to release; other calls take turns with it.
    pub(in crate::core) fn next_call(&mut self, now: Time, needs_types: bool) -> Option<CloudCall> {
        if needs_types {
            return Some(CloudCall::Types);
        }
        let call = if self.released_last {
            self.other_call(now).or_else(|| self.release_call())
        } else {
            self.release_call().or_else(|| self.other_call(now))
        };
        self.released_last = matches!(call, Some(CloudCall::Release(_)));
        call
    }

    fn release_call(&self) -> Option<CloudCall> {
        let machines = self.intents.next_termination();
        (!machines.is_empty()).then_some(CloudCall::Release(machines))
    }

    fn other_call(&self, now: Time) -> Option<CloudCall> {
        let is_list_late = now >= self.list_due + self.list_interval;
        if is_list_late {
            return Some(CloudCall::List);
        }
        if let Some(request) = self.intents.next_provision() {
            return Some(CloudCall::ProvisionRequest(request));
        }
        if now >= self.list_due {
            return Some(CloudCall::List);
        }
        (now >= self.types_due).then_some(CloudCall::Types)
    }

    /// The cloud answered, or not; `by` is the peer that made the call, if one did.
    pub(in crate::core) fn handle_cloud_reply(
        &mut self,
        effects: &mut Effects,
        context: &mut CloudContext<'_>,
        call: CloudCall,
        by: Option<&NodeId>,
        reply: Reply,
    ) -> LeadershipOutcome {
        let now = effects.now.time;
        self.call_in_flight = false;
        if by.is_some() && matches!(reply, Reply::Answer(CONFLICT, _)) {
            return LeadershipOutcome::StepDown("a peer knows a later leader");
        }
        let answer = self.classify_reply(now, &call, by, reply);
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
            CloudCall::ProvisionRequest(request) if is_accepted => {
                self.apply_provisioned(now, context.cluster, &request, &body);
            }
            CloudCall::ProvisionRequest(request) => {
                self.apply_no_capacity(now, context.cluster, request);
            }
            CloudCall::Release(machines) => self.apply_released(now, context, machines),
        }
        LeadershipOutcome::Continue
    }

    /// What a reply says, and whether its way to the cloud works.
    fn classify_reply(
        &mut self,
        now: Time,
        call: &CloudCall,
        by: Option<&NodeId>,
        reply: Reply,
    ) -> CloudAnswer {
        let answered = match reply {
            // What a peer says when it got no answer itself, or did not ask.
            Reply::Answer(400 | 404 | 405 | BAD_GATEWAY | GATEWAY_TIMEOUT, _) if by.is_some() => {
                None
            }
            Reply::Answer(status, body) => Some((status, body)),
            Reply::NotSent | Reply::Lost => None,
        };
        let Some((status, body)) = answered.filter(|(status, _)| *status != 0) else {
            self.cloud_proxy.unanswered(now, by);
            return CloudAnswer::Unanswered;
        };
        self.cloud_proxy.answered(now, by);
        match status {
            200 => CloudAnswer::Accepted(body),
            503 if is_no_capacity(&body) => CloudAnswer::NoCapacity(body),
            // Only 200 proves that released machines are gone.
            400 if !matches!(call, CloudCall::Release(_)) => CloudAnswer::Malformed(body),
            _ => CloudAnswer::Refused,
        }
    }

    /// A call failed and is made again after a pause.
    fn handle_failure(&mut self, effects: &mut Effects, call: CloudCall, answer: &CloudAnswer) {
        let jitter = effects.jitter();
        let pause = self
            .backoff
            .failed(SHORTEST_BACKOFF, LONGEST_BACKOFF, jitter);
        self.not_before = effects.now.time + pause;
        if let CloudCall::ProvisionRequest(request) = call {
            // Answered by a refusal, it was not carried out; otherwise it
            // may have been, or may yet be: only its own name may ask again.
            match answer {
                CloudAnswer::Unanswered => self.intents.mark_provision_uncertain(&request.request),
                _ => self.intents.settle_refused_provision(&request.request),
            }
        }
    }

    fn apply_types(&mut self, effects: &mut Effects, cluster: &mut ClusterState, body: &[u8]) {
        self.types_due = effects.now.time + TYPES_INTERVAL;
        if let Some(types) = wire::decode::<MachineTypes>(body) {
            cluster.set_machine_types(&types);
            effects.listed_machine_types = Some(types);
        }
    }

    /// A page of the machine list was read; after the last one the list counts.
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
            // One that was taken in again would count as coming up, and
            // nothing would be provisioned for the work that waits for it.
            if !self.intents.is_terminated(&listed.id) {
                apply_listed_machine(now, context, &self.intents, listed);
            }
        }
    }

    /// Machines were provisioned, perhaps fewer than asked for.
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

    fn apply_no_capacity(&mut self, now: Time, cluster: &ClusterState, request: ProvisionRequest) {
        self.intents.settle_without_capacity(&request.request);
        tracing::info!(kind = %request.kind, zone = %request.zone, spot = request.spot, "no capacity");
        self.pause_pool(now, cluster, &request);
    }

    /// A pool that has no capacity is not asked again for a while.
    fn pause_pool(&mut self, now: Time, cluster: &ClusterState, request: &ProvisionRequest) {
        let pause = TimeSpan::secs(cluster.policy.no_capacity_pause_s);
        let pool = CapacityPool {
            machine_type: request.kind.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        };
        self.paused_pools.insert(pool, now + pause);
    }

    /// Machines were terminated: by now they and everything on them are gone.
    fn apply_released(
        &mut self,
        now: Time,
        context: &mut CloudContext<'_>,
        machines: Vec<MachineId>,
    ) {
        self.intents.mark_terminated(&machines, now);
        for id in machines {
            let cluster = &mut context.cluster;
            cluster.write_off_machine(now, &id, RemovalReason::MachineReleased);
            cluster.machines.remove(&id);
            context.heartbeats.forget_machine(&id);
        }
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    wire::decode::<ErrorResponse>(body).is_some_and(|response| response.error == "no capacity")
}

/// Takes over what a list says of one machine.
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
    let mut stopping = Vec::new();
    if machine.address.is_none() {
        machine.address = listed.addr.parse().ok();
        stopping.extend(machine.tasks.iter().cloned());
    }
    machine.listed = Some((listed.stage, TimeSpan::secs(listed.age_s)));
    machine.last_listed = Some(now);
    if listed.stage == MachineStage::Failed && machine.tasks.is_empty() {
        machine.mark_for_termination("failed");
    }
    context.commands.announce_to(now, cluster, &listed.id);
    if !stopping.is_empty() {
        // Stops that an earlier leader sent to part of them are sent to all;
        // tasks that are not to stop are left out when they are sent.
        let direct_stops = cluster.direct_stops.entry(listed.id).or_default();
        direct_stops.extend(stopping);
    }
}

#[cfg(test)]
mod tests;
