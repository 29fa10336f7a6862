//! The failure detector of a follower: what it knows of the leader, and when that
//! is enough to replace it.
//!
//! The leader's heartbeats are the signs of life; each says how long ago the
//! key-value store last answered the leader. A suspicion is investigated before it
//! is acted on: the leader is probed directly, the peers are asked whether they
//! confirm it, and the store is asked for the key. Replacing a leader is only ever
//! a transaction that compares the key's version, so nothing here has to be right
//! for safety; it has to be right so that nobody is replaced needlessly.

use super::accrual::Accrual;
use super::agent_migrations::AgentMigrations;
use super::investigation::Investigation;
pub use super::suspicion::{Action, ProbeOutcome, Suspicion};
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use crate::wire::peers::LeaderHeartbeat;

/// Time between the leader's heartbeats.
pub const HEARTBEAT_PERIOD: TimeSpan = TimeSpan::millis(250);
/// How long each call of an investigation may take.
pub const PROBE_TIMEOUT: TimeSpan = TimeSpan::millis(400);

/// A peer that is asked confirms a suspicion from this share of the phi threshold
/// on: it may have received a heartbeat a moment later.
const CONFIRMING_SHARE: f64 = 0.6;
/// However regular the heartbeats are, a shorter silence is not suspicious.
const MIN_SILENCE: TimeSpan = TimeSpan::millis(500);
/// A leader that the store has not answered for this long may have lost it: of its
/// renewals, four a second, one or two are lost now and then.
const STORE_SILENCE: TimeSpan = TimeSpan::millis(1600);
/// A detector whose own ticks are further apart than this was itself stopped.
const MAX_TICK_GAP: TimeSpan = TimeSpan::millis(300);
/// After such a stop it suspects nobody for this long.
const SETTLING_TIME: TimeSpan = TimeSpan::millis(1000);
/// Pause after a replacement; it doubles with each one, so that two controllers
/// that suspect one another do not pass the key to and fro.
const FIRST_REPLACEMENT_PAUSE: TimeSpan = TimeSpan::millis(5_000);
const MAX_REPLACEMENT_PAUSE: TimeSpan = TimeSpan::millis(160_000);
/// After this long without a replacement the pauses start over.
const REPLACEMENT_PAUSE_RESET: TimeSpan = TimeSpan::millis(600_000);
/// After the leader answered a probe it is not suspected for this long.
const PAUSE_AFTER_ANSWER: TimeSpan = TimeSpan::millis(1000);

/// What a controller knows of the leader, if that is another one.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// Controllers that must confirm a suspicion, this one among them.
    quorum: usize,
    /// The phi from which on a silence is suspicious; 0: none is.
    phi_threshold: f64,
    leader: Option<(NodeId, FencingToken)>,
    heartbeats: Accrual,
    /// How long the store had not answered the leader, as of its last heartbeat.
    store_silence: TimeSpan,
    /// How late the leader's own work was, as of its last heartbeat.
    leader_lag: TimeSpan,
    last_heartbeat: Time,
    last_tick: Option<Time>,
    /// When this controller last came back from a stop.
    steady_since: Time,
    investigation: Option<Investigation>,
    /// Agents that left the leader since its last heartbeat.
    agent_migrations: AgentMigrations,
    replacement_pause: TimeSpan,
    /// Nobody is suspected before this.
    not_before: Time,
    last_replacement: Option<Time>,
    /// Investigations that led to a replacement.
    pub replacements: u64,
    /// Suspicions that were refuted.
    pub refutations: u64,
}

impl FailureDetector {
    /// A detector among this many controllers. A silence is suspicious from
    /// `phi_threshold` on; 0: none is. With two controllers there is nobody to
    /// confirm a suspicion, and only the leader's lease decides.
    pub fn new(controllers: usize, phi_threshold: f64) -> FailureDetector {
        let peers = controllers.saturating_sub(1);
        FailureDetector {
            quorum: (peers / 2 + 1).max(2),
            phi_threshold,
            leader: None,
            heartbeats: Accrual::default(),
            store_silence: TimeSpan::ZERO,
            leader_lag: TimeSpan::ZERO,
            last_heartbeat: Time(0),
            last_tick: None,
            steady_since: Time(0),
            investigation: None,
            agent_migrations: AgentMigrations::default(),
            replacement_pause: FIRST_REPLACEMENT_PAUSE,
            not_before: Time(0),
            last_replacement: None,
            replacements: 0,
            refutations: 0,
        }
    }

    /// Sets the leader to observe; none while this controller leads, or while none is
    /// known.
    pub fn observe(&mut self, leader: Option<&(NodeId, FencingToken)>) {
        if self.leader.as_ref() == leader {
            return;
        }
        self.leader = leader.cloned();
        self.heartbeats = Accrual::default();
        self.store_silence = TimeSpan::ZERO;
        self.leader_lag = TimeSpan::ZERO;
        self.investigation = None;
        self.agent_migrations.clear();
    }

    /// Advances this controller's own time. One that was stopped received nothing,
    /// and what still waits for it unread may be what it misses: it suspects nobody
    /// until it has caught up.
    pub fn tick(&mut self, now: Time) {
        let gap = self
            .last_tick
            .map_or(TimeSpan::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap > MAX_TICK_GAP {
            self.steady_since = now;
            self.heartbeats.exclude_until(now);
            self.last_heartbeat = now;
            self.investigation = None;
        }
        let since_replacement = self.last_replacement.map(|last| now.since(last));
        if since_replacement.is_some_and(|elapsed| elapsed > REPLACEMENT_PAUSE_RESET) {
            self.replacement_pause = FIRST_REPLACEMENT_PAUSE;
        }
    }

    /// What is to be done now. `rank`: how many controllers would be better
    /// successors than this one.
    pub fn next_action(&mut self, now: Time, rank: u32) -> Action {
        let Some((_, token)) = self.leader else {
            return Action::None;
        };
        if !self.is_steady(now) || now < self.not_before {
            return Action::None;
        }
        let Some(suspicion) = self.suspicion(now, self.phi_threshold) else {
            if self.investigation.is_some() {
                self.refute();
            }
            return Action::None;
        };
        let migrations = self.agent_migrations.recent(now);
        let current = self.investigation.as_mut();
        let Some(investigation) = current.filter(|i| i.suspicion == suspicion) else {
            self.investigation = Some(Investigation::new(suspicion, now));
            return Action::Investigate(suspicion);
        };
        if investigation.is_concluded(now, self.quorum, migrations, rank) {
            self.record_replacement(now);
            return Action::ReplaceLeader(token, suspicion);
        }
        if investigation.start_probe_if_due(now) {
            return Action::Investigate(suspicion);
        }
        Action::None
    }

    /// Whether this controller confirms a peer's suspicion of the holder of a token.
    /// `store_reachable`: the store has recently answered this controller.
    pub fn confirms(
        &self,
        now: Time,
        token: FencingToken,
        suspicion: Suspicion,
        store_reachable: bool,
    ) -> bool {
        let own = self.suspicion(now, self.phi_threshold * CONFIRMING_SHARE);
        let agrees = match suspicion {
            Suspicion::Silent => own == Some(Suspicion::Silent),
            Suspicion::StoreUnreachable => own.is_some() && store_reachable,
        };
        self.is_leader_token(token) && self.is_steady(now) && agrees
    }

    fn suspicion(&self, now: Time, phi: f64) -> Option<Suspicion> {
        if self.phi_threshold <= 0.0 {
            return None;
        }
        let silence = self.heartbeats.silence(now)?;
        if silence >= MIN_SILENCE && self.heartbeats.phi(now) >= phi {
            return Some(Suspicion::Silent);
        }
        // What the leader said is as old as its last heartbeat.
        let store_silence = self.store_silence + now.since(self.last_heartbeat);
        let was_reported = self.store_silence >= STORE_SILENCE;
        (was_reported && store_silence >= STORE_SILENCE).then_some(Suspicion::StoreUnreachable)
    }

    fn is_steady(&self, now: Time) -> bool {
        now.since(self.steady_since) >= SETTLING_TIME && self.last_tick.is_some()
    }

    fn is_leader_token(&self, token: FencingToken) -> bool {
        self.leader.as_ref().is_some_and(|(_, t)| *t == token)
    }

    fn refute(&mut self) {
        self.investigation = None;
        self.refutations += 1;
    }

    fn record_replacement(&mut self, now: Time) {
        self.investigation = None;
        self.replacements += 1;
        self.last_replacement = Some(now);
        self.not_before = now + self.replacement_pause;
        let doubled = TimeSpan(self.replacement_pause.0 * 2);
        self.replacement_pause = doubled.min(MAX_REPLACEMENT_PAUSE);
    }
}

/// Observations that the detector is fed with.
impl FailureDetector {
    /// Records a heartbeat of the leader.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &LeaderHeartbeat) {
        let is_of_leader = |(node_id, token): &(NodeId, FencingToken)| {
            *node_id == heartbeat.node_id && *token == heartbeat.token
        };
        if !self.leader.as_ref().is_some_and(is_of_leader) {
            return;
        }
        if self.last_tick.is_some_and(|t| now.since(t) > MAX_TICK_GAP) {
            // It waited here unread: the interval says nothing of the leader.
            self.heartbeats.exclude_until(now);
        }
        self.heartbeats.record_heartbeat(now);
        self.agent_migrations.clear();
        self.last_heartbeat = now;
        self.store_silence = TimeSpan::millis(heartbeat.store_contact_age_ms);
        self.leader_lag = TimeSpan::millis(heartbeat.work_delay_ms);
        let current = self.investigation.as_ref();
        if current.is_some_and(|i| i.suspicion == Suspicion::Silent) {
            self.refute();
        }
    }

    /// Records that an agent that follows the leader's token sent its heartbeat here.
    pub fn record_agent_migration(&mut self, now: Time, token: FencingToken, machine: &MachineId) {
        if self.is_leader_token(token) {
            self.agent_migrations.record(now, machine);
        }
    }

    /// How many agents migrated here recently, as far as that matters.
    pub fn recent_agent_migrations(&self, now: Time) -> u32 {
        self.agent_migrations.recent(now)
    }

    /// Records how a direct probe of the leader ended.
    pub fn record_probe(&mut self, now: Time, token: FencingToken, outcome: ProbeOutcome) {
        if !self.is_leader_token(token) {
            return;
        }
        let Some(investigation) = &mut self.investigation else {
            return;
        };
        if outcome != ProbeOutcome::Answered {
            return investigation.record_failed_probe(outcome);
        }
        if investigation.suspicion == Suspicion::Silent {
            // Only its heartbeats are lost.
            self.heartbeats.exclude_until(now);
            self.not_before = self.not_before.max(now + PAUSE_AFTER_ANSWER);
            self.refute();
        }
    }

    /// Records whether a peer confirms the suspicion, and how many agents migrated to
    /// that peer.
    pub fn record_peer_report(
        &mut self,
        peer: NodeId,
        token: FencingToken,
        confirms: bool,
        migrations: u32,
    ) {
        if !self.is_leader_token(token) {
            return;
        }
        if let Some(investigation) = &mut self.investigation {
            investigation.record_peer(peer, confirms, migrations);
        }
    }

    /// Records that the key-value store answered a call of the investigation.
    pub fn record_store_reachable(&mut self) {
        if let Some(investigation) = &mut self.investigation {
            investigation.record_store_reachable();
        }
    }
}

impl FailureDetector {
    /// What it knows, for operators.
    pub fn inspect(&self, now: Time) -> serde_json::Value {
        let investigation = self.investigation.as_ref();
        serde_json::json!({
            "of": self.leader.as_ref().map(|(node_id, _)| node_id),
            "silent_s": self.heartbeats.silence(now).map(TimeSpan::as_secs),
            "suspicion": self.heartbeats.phi(now),
            "its_state_s_ago": self.store_silence.as_secs(),
            "its_work_late_s": self.leader_lag.as_secs(),
            "doubt": investigation.map(|i| i.suspicion.to_string()),
            "agree": investigation.map_or(0, Investigation::confirmations),
            "needed": self.quorum,
            "verdicts": self.replacements,
            "refuted": self.refutations,
            "none_for_s": self.not_before.since(now).as_secs(),
        })
    }
}

#[cfg(test)]
mod tests;
