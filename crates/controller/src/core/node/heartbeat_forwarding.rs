//! Agents' heartbeats: those to this controller while it leads, and those that a
//! follower forwards to the leader.

use super::routes::{self, AGENT_HEARTBEAT};
use super::{Node, PendingCall};
use crate::core::leader::LeadershipOutcome;
use crate::core::{Answer, Reply, RequestId, Target};
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use crate::wire;
use crate::wire::workers::{Heartbeat, LeaderRedirect};
use std::collections::BTreeMap;

/// Status of an answer that names the controller an agent should turn to
/// ("misdirected request").
const MISDIRECTED: u16 = 421;
/// How long an agent's heartbeats are forwarded before it is sent to the leader
/// again, the first time; it doubles each time.
const FIRST_FORWARDING_TIME: TimeSpan = TimeSpan::millis(20_000);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// How long an agent is remembered after its last heartbeat here.
const AGENT_KEPT: TimeSpan = TimeSpan::millis(120_000);
/// How long the leader may take over a forwarded heartbeat; agents wait 4 s.
const FORWARDING_TIMEOUT: TimeSpan = TimeSpan::millis(3000);

/// An agent whose heartbeats are forwarded, or recently were.
#[derive(Debug, Default)]
struct ForwardedAgent {
    last_seen: Time,
    /// Since when its heartbeats are forwarded.
    since: Option<Time>,
    /// How often it was sent back to the leader after that.
    redirects: u32,
}

/// The agents whose heartbeats a follower forwards to the leader.
#[derive(Debug, Default)]
pub(super) struct ForwardedAgents(BTreeMap<MachineId, ForwardedAgent>);

impl ForwardedAgents {
    /// Whether to forward this agent's heartbeat rather than to send the agent to the
    /// leader again, which is tried rarer each time.
    fn should_forward(&mut self, now: Time, machine: &MachineId) -> bool {
        let agent = self.0.entry(machine.clone()).or_default();
        agent.last_seen = now;
        let since = *agent.since.get_or_insert(now);
        let doublings = agent.redirects.min(MAX_DOUBLINGS);
        let forwards = now.since(since) < TimeSpan(FIRST_FORWARDING_TIME.0 << doublings);
        if !forwards {
            agent.since = None;
            agent.redirects += 1;
        }
        forwards
    }

    /// Forgets agents that have not come for long.
    pub(super) fn forget_absent(&mut self, now: Time) {
        self.0
            .retain(|_, agent| now.since(agent.last_seen) < AGENT_KEPT);
    }
}

impl Node {
    /// Handles an agent's heartbeat: as the leader, by forwarding it to the leader, or
    /// by naming the leader. The answer is the leader's wherever the agent gets it:
    /// where the leader is out of an agent's reach, its lease need not run out.
    pub(super) fn handle_agent_heartbeat(&mut self, id: RequestId, body: Vec<u8>) {
        let Some(heartbeat) = wire::decode::<Heartbeat>(&body) else {
            return self.effects.answer_status(id, 400);
        };
        if self.leader.is_some() {
            return self.deliver_heartbeat(id, heartbeat, true);
        }
        let now = self.effects.now.time;
        self.failure_detector
            .record_agent_migration(now, heartbeat.token, &heartbeat.machine);
        let Some((leader, token)) = self.known_leader() else {
            return self.redirect_agent(id, None);
        };
        if self.should_forward(&heartbeat, token)
            && let Some(peer) = self.settings.peers.iter().find(|p| p.node_id == leader)
        {
            let call = self.effects.call(
                Target::Host(peer.addr),
                "POST",
                routes::path(AGENT_HEARTBEAT),
                body,
                FORWARDING_TIMEOUT,
            );
            let pending = PendingCall::ForwardedHeartbeat { request: id };
            return self.pending_calls.add(call, pending);
        }
        self.redirect_agent(id, Some(leader));
    }

    /// Whether a heartbeat is to be forwarded. An agent that has the leader's token
    /// already comes here only when it cannot reach the leader. It stays here as long
    /// as it is answered, so after a while it is sent to the leader again. One that
    /// has another token may have found the leader not ready yet, and is better off
    /// with it.
    fn should_forward(&mut self, heartbeat: &Heartbeat, token: FencingToken) -> bool {
        let now = self.effects.now.time;
        token == heartbeat.token
            && self
                .forwarded_agents
                .should_forward(now, &heartbeat.machine)
    }

    /// Handles a heartbeat that a peer forwards.
    pub(super) fn handle_forwarded_heartbeat(&mut self, id: RequestId, body: &[u8]) {
        match wire::decode::<Heartbeat>(body) {
            Some(heartbeat) if self.leader.is_some() => {
                self.deliver_heartbeat(id, heartbeat, false);
            }
            Some(_) => self.effects.answer_status(id, MISDIRECTED),
            None => self.effects.answer_status(id, 400),
        }
    }

    /// Gives a heartbeat to the leader. `may_defer`: whether its answer may be deferred
    /// until there is something to say.
    fn deliver_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat, may_defer: bool) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let outcome = leader.handle_heartbeat(&mut self.effects, id, heartbeat, may_defer);
        if outcome != LeadershipOutcome::Continue {
            self.end_leadership(outcome);
        }
    }

    /// Answers a forwarded heartbeat as the leader did.
    pub(super) fn handle_forwarding_reply(&mut self, id: RequestId, reply: Reply) {
        match reply {
            Reply::Answer(200, body) => self.effects.answer_body(id, body),
            // Another controller may do better.
            _ => self.redirect_agent(id, None),
        }
    }

    fn redirect_agent(&mut self, id: RequestId, report_to: Option<NodeId>) {
        let answer = Answer {
            status: MISDIRECTED,
            retry_after: None,
            body: wire::encode(&LeaderRedirect { report_to }),
        };
        self.effects.answer(id, answer);
    }

    /// The leader and its token as far as known, if it is another controller. One that
    /// has loaded answers agents and comes first; a successor that has not may take
    /// long.
    pub(super) fn known_leader(&self) -> Option<(NodeId, FencingToken)> {
        let now = self.effects.now.time;
        let from_peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_leader && peer.is_fresh(now))
            .map(|(node_id, peer)| (peer.leader_is_loaded, peer.token, node_id.clone()));
        let from_store = self.election.leader.clone();
        let from_store = from_store.map(|(node_id, token)| (false, token, node_id));
        let (_, token, node_id) = from_peers.chain(from_store).max()?;
        (node_id != self.settings.node_id).then_some((node_id, token))
    }
}
