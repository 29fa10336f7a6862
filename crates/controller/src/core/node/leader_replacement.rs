//! Doubting the leader with the others, and replacing it.

use super::{Node, PEER_FRESH, PendingCall};
use crate::core::failure_detector::detector::{Action, PROBE_TIMEOUT, ProbeOutcome, Suspicion};
use crate::core::leader::LeadershipOutcome;
use crate::core::{Reply, RequestId, Target};
use crate::types::{FencingToken, NodeId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::peers::{LeaderHeartbeat, LeadershipTransfer, SuspicionQuery, SuspicionReport};

/// Contact with the state service that is good enough to say that it answers: a
/// follower's watch is held for two seconds.
const STATE_LATELY: TimeSpan = TimeSpan::millis(2600);

/// How long a successor has to take the key that is handed to it.
const HANDED_OVER: TimeSpan = TimeSpan::millis(3000);

impl Node {
    /// Looks into what is held of the leader, and acts on it.
    pub(super) fn judge_leader(&mut self) {
        let now = self.effects.now.time;
        let leader = self.election.leader.as_ref();
        let other = leader.filter(|(l, _)| self.leader.is_none() && *l != self.settings.node_id);
        self.failure_detector.observe(other);
        self.failure_detector.tick(now);
        let Some((leader, token)) = other.cloned() else {
            return;
        };
        match self.failure_detector.next_action(now, self.rank(&leader)) {
            Action::None => {}
            Action::Investigate(doubt) => self.look_into(&leader, token, doubt),
            Action::ReplaceLeader(token, doubt) => {
                tracing::info!(leader = %leader, %token, ?doubt, "doubted by most; to be replaced");
                self.election.challenge(Version(token.0));
            }
        }
    }

    /// The nodes fit to lead but for one, best first: those short of time come
    /// last, and the rest in the order of their names, so that all agree.
    fn fit<'a>(&'a self, but: &NodeId) -> Vec<(bool, &'a NodeId)> {
        let now = self.effects.now.time;
        let peers = self.peers.iter();
        let fit = peers.filter(|(node_id, p)| {
            *node_id != but && p.state_ok && now.since(p.heard) < PEER_FRESH
        });
        let mut fit: Vec<_> = fit.map(|(node_id, p)| (p.strained, node_id)).collect();
        fit.sort();
        fit
    }

    /// How many nodes would be better successors.
    fn rank(&self, leader: &NodeId) -> u32 {
        let has_our_token = (self.self_health.strained, &self.settings.node_id);
        let better = self.fit(leader).into_iter().filter(|p| *p < has_our_token);
        better.count() as u32
    }

    /// Whether this node, leading, keeps pace; if not, the best of the others is
    /// told to take the key from it. Until that is done this one goes on, so that
    /// there is no gap; if nobody does it, it gives the key up.
    pub(super) fn look_at_pace(&mut self) {
        let now = self.effects.now.time;
        let peers = self.peers.values();
        let heard = peers.filter(|p| now.since(p.heard) < PEER_FRESH);
        self.self_health.compare(heard.map(|p| p.effort_us));
        let ends = self.stopping.is_some() && self.handing.is_none();
        let over = self.self_health.beat(now, self.leader.is_some()) || ends;
        let Some(token) = self.token() else {
            self.handing = None;
            return;
        };
        if self.handing.is_some_and(|until| now >= until) {
            self.handing = None;
            let why = match self.stopping {
                Some(_) => "the process is to end",
                None => "out of processor time",
            };
            self.end_leadership(LeadershipOutcome::StepDown(why));
            return self.election.yield_to_peers(now);
        }
        let best = self.fit(&self.settings.node_id).first().map(|(_, l)| *l);
        let to = best.and_then(|l| self.settings.peers.iter().find(|p| p.node_id == *l));
        if let Some(peer) = to.filter(|_| over) {
            tracing::info!(%token, to = %peer.node_id, slow = self.self_health.slow, ends, "hands over");
            let (target, body) = (
                Target::Host(peer.addr),
                wire::encode(&LeadershipTransfer { token }),
            );
            self.effects
                .call(target, "POST", "/take".into(), body, HANDED_OVER);
            self.handing = Some(now + HANDED_OVER);
        } else if ends {
            // Nobody is there to take it: it is free at once.
            self.handing = Some(now);
        }
    }

    /// The leader hands over to this node.
    pub(super) fn take_over(&mut self, id: RequestId, body: &[u8]) {
        let Some(LeadershipTransfer { token }) = wire::decode(body) else {
            return self.effects.answer_status(id, 400);
        };
        self.election.challenge(Version(token.0));
        self.election.tick(&mut self.effects);
        self.effects.answer_status(id, 200);
    }

    fn look_into(&mut self, leader: &NodeId, token: FencingToken, doubt: Suspicion) {
        tracing::debug!(leader = %leader, ?doubt, "looked into");
        let greeting = wire::encode(&self.greeting(Vec::new()));
        let no_state = doubt == Suspicion::StoreUnreachable;
        let ask = wire::encode(&SuspicionQuery { token, no_state });
        let sent = self.effects.now.time;
        for p in &self.settings.peers {
            let (path, body, what) = if p.node_id == *leader {
                let what = PendingCall::ProbeOutcome { token, sent };
                ("/greet", greeting.clone(), what)
            } else {
                ("/opinion", ask.clone(), PendingCall::SuspicionReport)
            };
            let target = Target::Host(p.addr);
            let id = self
                .effects
                .call(target, "POST", path.into(), body, PROBE_TIMEOUT);
            self.pending_calls.add(id, what);
        }
        let path = format!("/keys/{}", self.election.holder_key());
        let call = self
            .effects
            .call(Target::State, "GET", path, Vec::new(), PROBE_TIMEOUT);
        self.pending_calls.add(call, PendingCall::Key);
    }

    pub(super) fn on_beat(&mut self, id: RequestId, body: &[u8]) {
        let Some(beat) = wire::decode::<LeaderHeartbeat>(body) else {
            return self.effects.answer_status(id, 400);
        };
        self.failure_detector
            .record_heartbeat(self.effects.now.time, &beat);
        self.effects.answer_status(id, 200);
    }

    /// Another node doubts the leader.
    pub(super) fn asked(&mut self, id: RequestId, body: &[u8]) {
        let Some(ask) = wire::decode::<SuspicionQuery>(body) else {
            return self.effects.answer_status(id, 400);
        };
        let now = self.effects.now.time;
        let contact = self.election.last_contact;
        let state = contact.is_some_and(|t| now.since(t) < STATE_LATELY);
        let doubt = match ask.no_state {
            true => Suspicion::StoreUnreachable,
            false => Suspicion::Silent,
        };
        let opinion = SuspicionReport {
            node_id: self.settings.node_id.clone(),
            token: ask.token,
            agrees: self.refused().is_none()
                && self.failure_detector.confirms(now, ask.token, doubt, state),
            came: self.failure_detector.recent_agent_migrations(now),
        };
        self.effects.answer_body(id, wire::encode(&opinion));
    }

    /// The leader was asked directly. A connection that is refused fails at once,
    /// one that is not accepted takes all the time there is.
    pub(super) fn on_probe(&mut self, token: FencingToken, sent: Time, reply: &Reply) {
        let now = self.effects.now.time;
        let probe = match reply {
            Reply::Answer(200, body) => {
                if let Some(g) = wire::decode(body) {
                    self.heard(g);
                }
                ProbeOutcome::Answered
            }
            Reply::Answer(..) => ProbeOutcome::Answered,
            Reply::NotSent | Reply::Lost if now.since(sent) >= PROBE_TIMEOUT.scaled(0.9) => {
                ProbeOutcome::TimedOut
            }
            Reply::NotSent | Reply::Lost => ProbeOutcome::ConnectionRefused,
        };
        self.failure_detector.record_probe(now, token, probe);
    }

    pub(super) fn on_opinion(&mut self, reply: &Reply) {
        if let Reply::Answer(200, body) = reply
            && let Some(o) = wire::decode::<SuspicionReport>(body)
            && self.settings.peers.iter().any(|p| p.node_id == o.node_id)
        {
            self.failure_detector
                .record_peer_report(o.node_id, o.token, o.agrees, o.came);
        }
    }

    pub(super) fn on_key(&mut self, reply: &Reply) {
        if matches!(reply, Reply::Answer(200 | 404, _)) {
            self.failure_detector.record_store_reachable();
        }
    }
}
