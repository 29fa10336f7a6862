//! Handling of agents' heartbeats: the leader answers them, and a follower forwards them
//! to the leader or redirects the agent.

use super::routes::{self, AGENT_HEARTBEAT};
use super::{Node, PendingCall};
use crate::core::leader::LeadershipOutcome;
use crate::core::{Answer, Reply, RequestId, Target};
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use crate::wire;
use crate::wire::workers::{Heartbeat, LeaderRedirect};
use std::collections::BTreeMap;

/// Status of an answer that redirects an agent to another controller ("misdirected
/// request").
const MISDIRECTED: u16 = 421;
/// How long an agent's heartbeats are forwarded before the agent is first redirected to
/// the leader. Doubles with each redirect.
const INITIAL_FORWARDING_TIME: TimeSpan = TimeSpan::millis(20_000);
/// Most doublings of [`INITIAL_FORWARDING_TIME`].
const MAX_DOUBLINGS: u32 = 4;
/// How long a [`ForwardedAgent`] is kept after the agent's last heartbeat here.
const AGENT_RETENTION: TimeSpan = TimeSpan::millis(120_000);
/// Timeout of a forwarded heartbeat. Shorter than the 4 s for which agents wait.
const FORWARDING_TIMEOUT: TimeSpan = TimeSpan::millis(3000);

/// An agent whose heartbeats are forwarded to the leader, or recently were.
#[derive(Debug, Default)]
struct ForwardedAgent {
    last_seen: Time,
    /// Since when the agent's heartbeats are forwarded without a redirect. `None` right
    /// after a redirect.
    forwarding_since: Option<Time>,
    /// How often the agent was redirected to the leader after a period of forwarding.
    redirects: u32,
}

/// The agents whose heartbeats a follower forwards to the leader.
#[derive(Debug, Default)]
pub(super) struct ForwardedAgents(BTreeMap<MachineId, ForwardedAgent>);

impl ForwardedAgents {
    /// Whether to forward this agent's heartbeat rather than redirect the agent to the
    /// leader. Redirects become rarer each time.
    fn should_forward(&mut self, now: Time, machine: &MachineId) -> bool {
        let agent = self.0.entry(machine.clone()).or_default();
        agent.last_seen = now;
        let since = *agent.forwarding_since.get_or_insert(now);
        let doublings = agent.redirects.min(MAX_DOUBLINGS);
        let is_forwarded = now.since(since) < TimeSpan(INITIAL_FORWARDING_TIME.0 << doublings);
        if !is_forwarded {
            agent.forwarding_since = None;
            agent.redirects += 1;
        }
        is_forwarded
    }

    /// Removes agents that have sent no heartbeat here for [`AGENT_RETENTION`].
    pub(super) fn remove_stale(&mut self, now: Time) {
        self.0
            .retain(|_, agent| now.since(agent.last_seen) < AGENT_RETENTION);
    }
}

impl Node {
    /// Handles an agent's heartbeat. The leader answers it; a follower forwards it to the
    /// leader or names the leader. The content of the answer is the leader's in either
    /// case: an agent that cannot reach the leader keeps its lease through a follower.
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

    /// Whether to forward a heartbeat to the leader of this token.
    ///
    /// An agent that already has the leader's token comes to a follower only when it
    /// cannot reach the leader. Such an agent stays with the follower as long as it is
    /// answered, so after a while it is redirected to the leader. An agent with another
    /// token may have contacted the leader before it was ready; it is redirected to the
    /// leader immediately.
    fn should_forward(&mut self, heartbeat: &Heartbeat, token: FencingToken) -> bool {
        let now = self.effects.now.time;
        token == heartbeat.token
            && self
                .forwarded_agents
                .should_forward(now, &heartbeat.machine)
    }

    /// Handles an agent's heartbeat that a peer forwards.
    pub(super) fn handle_forwarded_heartbeat(&mut self, id: RequestId, body: &[u8]) {
        match wire::decode::<Heartbeat>(body) {
            Some(heartbeat) if self.leader.is_some() => {
                self.deliver_heartbeat(id, heartbeat, false);
            }
            Some(_) => self.effects.answer_status(id, MISDIRECTED),
            None => self.effects.answer_status(id, 400),
        }
    }

    /// Passes a heartbeat to this controller's leader state. `may_defer`: whether the
    /// answer may be deferred until there are commands for the agent.
    fn deliver_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat, may_defer: bool) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let outcome = leader.handle_heartbeat(&mut self.effects, id, heartbeat, may_defer);
        if outcome != LeadershipOutcome::Continue {
            self.end_leadership(outcome);
        }
    }

    /// Answers a forwarded heartbeat with the leader's answer.
    pub(super) fn handle_forwarding_reply(&mut self, id: RequestId, reply: Reply) {
        match reply {
            Reply::Answer(200, body) => self.effects.answer_body(id, body),
            // The agent tries another controller: that one may reach the leader.
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

    /// The leader and its fencing token as this controller last observed them; `None` if
    /// no leader is known or this controller holds the highest token. A leader that has
    /// loaded all records answers agents, so it is preferred to a successor with a higher
    /// token that has not, and that may take long to load.
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
