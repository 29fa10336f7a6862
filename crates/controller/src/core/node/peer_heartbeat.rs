//! What the nodes tell one another, and readiness.

use super::{
    CANCELLED_KEPT, GREET_EVERY, GREET_GAP, MOST_CANCELLED, MOST_COUNTS, Node, PEER_FRESH,
    PeerView, PendingCall, STATE_FRESH,
};
use crate::core::format_version::member_versions::NotServing;
use crate::core::leader::{Leader, LeadershipOutcome};
use crate::core::{Reply, RequestId, Target};
use crate::types::{JobId, NodeId, Time, TimeSpan};
use crate::wire;
use crate::wire::peers::PeerHeartbeat;

impl Node {
    pub(super) fn state_ok(&self) -> bool {
        let now = self.effects.now.time;
        let leading = self
            .leader
            .as_ref()
            .filter(|l| l.is_loaded())
            .map(|l| l.authority.shown());
        leading
            .max(self.election.contact)
            .is_some_and(|t| now.since(t) < STATE_FRESH)
    }

    /// Ready unless a peer would serve better: one that has the state service
    /// while this node has not, or has time while this one, leading, has more to
    /// do than it can. An outage that all share takes nobody out of service, nor
    /// does a start in the middle of one: a load balancer that has once given all
    /// nodes up comes back to them late, and a refusal costs users less.
    pub(super) fn is_ready(&self) -> bool {
        // What it cannot read it must not answer for, whoever else is there.
        let beyond = |why: &NotServing| matches!(why, NotServing::Beyond(..) | NotServing::Damaged);
        if self.refused().as_ref().is_some_and(beyond) {
            return false;
        }
        let now = self.effects.now.time;
        let fit = |p: &PeerView| p.state_ok && now.since(p.heard) < PEER_FRESH;
        let better = self.peers.values().any(fit);
        // One that hears nothing from the state service, not even a refusal, nor from
        // any peer is cut off itself: users would only wait here for nothing.
        let silent = |t: Time| now.since(t) > STATE_FRESH;
        let alone = !self.settings.peers.is_empty()
            && self
                .peers
                .values()
                .all(|p| now.since(p.heard) >= PEER_FRESH);
        if alone && self.state_spoke.is_some_and(silent) {
            return false;
        }
        if !self.state_ok() || self.stopping.is_some() {
            return !better;
        }
        // Where all have too much to do, one of them is as good as the other; one
        // whose processor alone is slow is not.
        let has_time = self.peers.values().any(|p| fit(p) && !p.strained);
        let slow = self.self_health.slow && has_time;
        let busy = self.self_health.strained && (self.leader.is_some() || slow);
        !busy || !better
    }

    pub(super) fn greeting(&self, counts: Vec<(JobId, u32, u32)>) -> PeerHeartbeat {
        let seen = self.election.leader.as_ref().map(|(_, t)| *t);
        let own = self.leader.as_ref().map(|l| l.token);
        let token = own.max(seen).unwrap_or_default();
        let answers = |p: &PeerView| p.leads && p.loaded && p.token == token;
        let cancelled = self.cancelled.iter().rev().take(MOST_CANCELLED);
        PeerHeartbeat {
            node_id: self.settings.node_id.clone(),
            token,
            leads: self.leader.is_some(),
            loaded: self.leads() || self.peers.values().any(answers),
            cancelled: cancelled.map(|(id, _)| id.clone()).collect(),
            state_ok: self.state_ok(),
            strained: self.self_health.strained || self.stopping.is_some(),
            effort_us: self.self_health.effort_us,
            levels: self.election.registry.tell(),
            counts,
            caches: Vec::new(),
            fetches: Vec::new(),
        }
    }

    /// Peers are told at once that a job's user was told that it is cancelled, so that
    /// the leader stops it also while it cannot read so; and again for a while, as
    /// greetings get lost.
    pub(super) fn spread_cancelled(&mut self) {
        let now = self.effects.now.time;
        self.cancelled
            .retain(|(_, at)| now.since(*at) < CANCELLED_KEPT);
        for id in std::mem::take(&mut self.job_api.confirmed) {
            if let Some(leader) = &mut self.leader {
                leader.hear_cancelled(now, &id);
            }
            self.cancelled.push_back((id, now));
            self.greet_due = self.greet_due.min(self.greeted + GREET_GAP).max(now);
        }
    }

    pub(super) fn greet(&mut self) {
        self.greeted = self.effects.now.time;
        let counts = self
            .leader
            .as_mut()
            .map(|l| l.changed_counts(MOST_COUNTS))
            .unwrap_or_default();
        let mut greeting = self.greeting(counts);
        if let Some(leader) = &mut self.leader {
            let known = self.cache_hints.take_known(|id| leader.knows(id));
            for (id, images) in known {
                leader.inherit_cache(self.effects.now.time, &id, &images);
            }
            greeting.caches = leader.changed_caches();
            greeting.fetches = leader.changed_fetches();
        }
        let body = wire::encode(&greeting);
        for p in &self.settings.peers {
            let call = self.effects.call(
                Target::Host(p.addr),
                "POST",
                "/greet".into(),
                body.clone(),
                GREET_EVERY.scaled(0.9),
            );
            self.pending_calls
                .add(call, PendingCall::Greet(p.node_id.clone()));
        }
    }

    /// A peer answered a greeting, or not.
    pub(super) fn on_greet(&mut self, node_id: NodeId, reply: &Reply) {
        if let Reply::Answer(200, body) = reply
            && let Some(g) = wire::decode::<PeerHeartbeat>(body)
            && g.node_id == node_id
        {
            self.heard(g);
            if self.missed.remove(&node_id)
                && let Some(leader) = &mut self.leader
            {
                leader.tell_again();
            }
        } else {
            self.missed.insert(node_id);
        }
    }

    pub(super) fn greeted(&mut self, id: RequestId, body: &[u8]) {
        let Some(g) = wire::decode::<PeerHeartbeat>(body) else {
            return self.effects.answer_status(id, 400);
        };
        let leads = g.leads.then_some(g.token);
        self.heard(g);
        let mut answer = self.greeting(Vec::new());
        if let Some(token) = leads.filter(|_| self.leader.is_none()) {
            // By the order of the names, so that no two peers begin alike.
            let names = self.settings.peers.iter().map(|p| &p.node_id);
            let before = names.filter(|l| **l < self.settings.node_id).count();
            let from = before as f64 / (self.settings.peers.len() as f64 + 1.0);
            answer.caches = self.cache_hints.give(token, from);
            let fetches = self.cache_hints.fetches();
            answer.fetches = match answer.caches.is_empty() {
                true => Vec::new(),
                false => fetches
                    .map(|(i, s)| (i.clone(), s.as_millis()))
                    .take(MOST_COUNTS)
                    .collect(),
            };
        }
        self.effects.answer_body(id, wire::encode(&answer));
    }

    pub(super) fn heard(&mut self, g: PeerHeartbeat) {
        if !self.settings.peers.iter().any(|p| p.node_id == g.node_id) {
            return;
        }
        self.job_api.note_counts(g.counts);
        let now = self.effects.now.time;
        self.election.registry.heard(now, &g.node_id, g.levels);
        if let Some(leader) = &mut self.leader {
            for (image, ms) in &g.fetches {
                leader
                    .cluster
                    .fetch_estimates
                    .learn(image, TimeSpan::millis(*ms));
            }
            for id in &g.cancelled {
                leader.hear_cancelled(now, id);
            }
        }
        self.cache_hints.note(now, g.token, g.caches, g.fetches);
        self.peers.insert(
            g.node_id,
            PeerView {
                heard: now,
                token: g.token,
                leads: g.leads,
                loaded: g.loaded,
                state_ok: g.state_ok,
                strained: g.strained,
                effort_us: g.effort_us,
            },
        );
        // A successor that has not read everything yet answers no worker, and may not
        // for long: until then this one does, as long as its contact lets it.
        let deposes = |l: &Leader| g.token > l.token && g.loaded && l.may_be(now, g.token);
        if self.leader.as_ref().is_some_and(deposes) {
            self.end_leadership(LeadershipOutcome::Deposed(g.token));
        }
    }
}
