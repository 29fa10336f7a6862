//! Workers' reports: the leader's own, and those passed on to it.

use super::{Node, PASSES_ON, PEER_FRESH, PendingCall, RELAY_TIMEOUT};
use crate::core::leader::LeadershipOutcome;
use crate::core::{Answer, Reply, RequestId, Target};
use crate::types::{FencingToken, NodeId, TimeSpan};
use crate::wire;
use crate::wire::workers::{Heartbeat, LeaderRedirect};

impl Node {
    pub(super) fn checkin(&mut self, id: RequestId, body: Vec<u8>) {
        let Some(report) = wire::decode::<Heartbeat>(&body) else {
            return self.effects.answer_status(id, 400);
        };
        if self.leader.is_some() {
            return self.report(id, report, true);
        }
        let foreman = self.foreman();
        let now = self.effects.now.time;
        self.failure_detector
            .record_agent_migration(now, report.token, &report.machine);
        // The answer is the leader's wherever it is heard: where the leader is
        // out of a worker's reach, its lease need not run out.
        if let Some((node_id, token)) = &foreman
            && self.passes_on(&report, *token)
            && let Some(peer) = self.settings.peers.iter().find(|p| p.node_id == *node_id)
        {
            let call = self.effects.call(
                Target::Host(peer.addr),
                "POST",
                "/checkin".into(),
                body,
                RELAY_TIMEOUT,
            );
            return self
                .pending_calls
                .add(call, PendingCall::Relay { request: id });
        }
        self.report_elsewhere(id, foreman.map(|(node_id, _)| node_id));
    }

    /// Whether a report is to be passed on. A worker that has the leader's token
    /// already comes here only when it cannot reach the leader. It stays here
    /// as long as it is answered, so after a while it is sent to the leader
    /// again, rarer each time. One that has not may have found the leader not
    /// ready yet, and is better off with it.
    pub(super) fn passes_on(&mut self, report: &Heartbeat, token: FencingToken) -> bool {
        if token != report.token {
            return false;
        }
        let now = self.effects.now.time;
        let p = self
            .forwarded_workers
            .entry(report.machine.clone())
            .or_default();
        p.seen = now;
        let since = *p.since.get_or_insert(now);
        let goes_on = now.since(since) < TimeSpan(PASSES_ON.0 << p.turns.min(4));
        if !goes_on {
            p.since = None;
            p.turns += 1;
        }
        goes_on
    }

    /// A report that another node passes on.
    pub(super) fn relayed(&mut self, id: RequestId, body: &[u8]) {
        match wire::decode::<Heartbeat>(body) {
            Some(report) if self.leader.is_some() => self.report(id, report, false),
            Some(_) => self.effects.answer_status(id, 421),
            None => self.effects.answer_status(id, 400),
        }
    }

    pub(super) fn report(&mut self, id: RequestId, report: Heartbeat, may_hold: bool) {
        if let Some(leader) = &mut self.leader {
            let fate = leader.on_report(&mut self.effects, id, report, may_hold);
            if fate != LeadershipOutcome::Continue {
                self.end_leadership(fate);
            }
        }
    }

    /// The leader answered a report that was passed on, or not.
    pub(super) fn on_relay(&mut self, id: RequestId, reply: Reply) {
        match reply {
            Reply::Answer(200, body) => self.effects.answer_body(id, body),
            // Another node may do better.
            _ => self.report_elsewhere(id, None),
        }
    }

    pub(super) fn report_elsewhere(&mut self, id: RequestId, report_to: Option<NodeId>) {
        let body = wire::encode(&LeaderRedirect { report_to });
        self.effects.answer(
            id,
            Answer {
                status: 421,
                retry_after: None,
                body,
            },
        );
    }

    /// The leader and its token as far as known, if it is another node.
    pub(super) fn foreman(&self) -> Option<(NodeId, FencingToken)> {
        let now = self.effects.now.time;
        let told = self
            .peers
            .iter()
            .filter(|(_, p)| p.leads && now.since(p.heard) < PEER_FRESH);
        let told = told.map(|(l, p)| (p.loaded, p.token, l.clone()));
        let read = self.election.leader.clone();
        // One that has loaded answers workers; a successor that has not may be long in
        // coming.
        told.chain(read.map(|(l, t)| (false, t, l)))
            .max()
            .map(|(_, t, l)| (l, t))
            .filter(|(l, _)| *l != self.settings.node_id)
    }
}
