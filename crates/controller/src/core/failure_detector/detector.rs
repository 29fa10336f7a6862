//! The failure detector of a follower: its observations of the leader, and the decision
//! when they suffice to replace the leader.
//!
//! Each heartbeat of the leader says how long ago the key-value store last answered the
//! leader. A suspicion is investigated before it leads to a replacement: the leader is
//! probed directly, the peers are queried whether they confirm the suspicion, and the
//! leader's key is read from the store. A replacement is always a transaction that
//! compares the key's version, so safety does not depend on this module; a wrong
//! decision here only replaces a leader needlessly.

use super::accrual::PhiAccrual;
use super::agent_migrations::AgentMigrations;
use super::investigation::Investigation;
pub use super::suspicion::{Action, ProbeOutcome, Suspicion};
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use crate::wire::peers::LeaderHeartbeat;

/// Time between the leader's heartbeats.
pub const HEARTBEAT_PERIOD: TimeSpan = TimeSpan::millis(250);
/// Timeout of each call of an investigation.
pub const PROBE_TIMEOUT: TimeSpan = TimeSpan::millis(400);

/// A queried peer confirms a suspicion from this share of the phi threshold on: the
/// peer may have received its last heartbeat a moment later than the querying controller.
const CONFIRMING_SHARE: f64 = 0.6;
/// Minimum silence that is suspicious, however regular the heartbeats are.
const MIN_SILENCE: TimeSpan = TimeSpan::millis(500);
/// Minimum time without an answer of the store after which the leader may have lost
/// contact with it. The leader renews its lease four times a second, and one or two
/// renewals are lost now and then.
const STORE_SILENCE_THRESHOLD: TimeSpan = TimeSpan::millis(1600);
/// A longer gap between two ticks of the detector means that the detector's process
/// was stopped.
const MAX_TICK_GAP: TimeSpan = TimeSpan::millis(300);
/// After such a stop the detector suspects no leader for this long.
const SETTLING_TIME: TimeSpan = TimeSpan::millis(1000);
/// Initial pause after a replacement. The pause doubles with each replacement, so that
/// two controllers that suspect each other do not keep replacing each other.
const INITIAL_REPLACEMENT_PAUSE: TimeSpan = TimeSpan::millis(5_000);
const MAX_REPLACEMENT_PAUSE: TimeSpan = TimeSpan::millis(160_000);
/// After this long without a replacement the pause returns to its initial value.
const REPLACEMENT_PAUSE_RESET: TimeSpan = TimeSpan::millis(600_000);
/// The leader is not suspected for this long after it answered a probe.
const PAUSE_AFTER_ANSWERED_PROBE: TimeSpan = TimeSpan::millis(1000);

/// The failure detector of one controller. It observes the leader while another
/// controller leads.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// Number of controllers that must confirm a suspicion, including this one.
    quorum: usize,
    /// The phi from which on a silence is suspicious; 0 disables all suspicion.
    phi_threshold: f64,
    leader: Option<(NodeId, FencingToken)>,
    heartbeats: PhiAccrual,
    /// How long the store had not answered the leader, as of the last heartbeat.
    store_silence: TimeSpan,
    /// How late the leader's state machine ran, as of the last heartbeat.
    leader_lag: TimeSpan,
    last_heartbeat: Time,
    last_tick: Option<Time>,
    /// When this controller last resumed after its process was stopped.
    resumed_at: Time,
    investigation: Option<Investigation>,
    /// Agents that migrated to this controller since the leader's last heartbeat.
    agent_migrations: AgentMigrations,
    /// The pause after the next replacement.
    replacement_pause: TimeSpan,
    /// No leader is suspected before this time.
    not_before: Time,
    last_replacement: Option<Time>,
    /// Number of investigations that led to a replacement.
    pub replacements: u64,
    /// Number of suspicions that were refuted.
    pub refutations: u64,
}

impl FailureDetector {
    /// A detector in a cluster of this many controllers. A silence is suspicious from
    /// `phi_threshold` on; 0 disables all suspicion. With two controllers no peer could
    /// confirm a suspicion, so a leader is replaced only once its lease has expired.
    pub fn new(controllers: usize, phi_threshold: f64) -> FailureDetector {
        let peers = controllers.saturating_sub(1);
        FailureDetector {
            quorum: (peers / 2 + 1).max(2),
            phi_threshold,
            leader: None,
            heartbeats: PhiAccrual::default(),
            store_silence: TimeSpan::ZERO,
            leader_lag: TimeSpan::ZERO,
            last_heartbeat: Time(0),
            last_tick: None,
            resumed_at: Time(0),
            investigation: None,
            agent_migrations: AgentMigrations::default(),
            replacement_pause: INITIAL_REPLACEMENT_PAUSE,
            not_before: Time(0),
            last_replacement: None,
            replacements: 0,
            refutations: 0,
        }
    }

    /// Sets the leader to observe; `None` while this controller leads or no leader is
    /// known. Another leader or token discards all observations.
    pub fn observe(&mut self, leader: Option<&(NodeId, FencingToken)>) {
        if self.leader.as_ref() == leader {
            return;
        }
        self.leader = leader.cloned();
        self.heartbeats = PhiAccrual::default();
        self.store_silence = TimeSpan::ZERO;
        self.leader_lag = TimeSpan::ZERO;
        self.investigation = None;
        self.agent_migrations.clear();
    }

    /// Records that the state machine of this controller runs at `now`. A process that
    /// was stopped received nothing, and the heartbeats that it misses may still be
    /// unread in its sockets: it suspects no leader until it has caught up.
    pub fn tick(&mut self, now: Time) {
        let gap = self
            .last_tick
            .map_or(TimeSpan::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap > MAX_TICK_GAP {
            self.resumed_at = now;
            self.heartbeats.exclude_until(now);
            self.last_heartbeat = now;
            self.investigation = None;
        }
        let since_replacement = self.last_replacement.map(|last| now.since(last));
        if since_replacement.is_some_and(|elapsed| elapsed > REPLACEMENT_PAUSE_RESET) {
            self.replacement_pause = INITIAL_REPLACEMENT_PAUSE;
        }
    }

    /// The action to take now. `rank` is the number of controllers that would be better
    /// successors than this one.
    pub fn next_action(&mut self, now: Time, rank: u32) -> Action {
        let Some((_, token)) = self.leader else {
            return Action::None;
        };
        if !self.is_settled(now) || now < self.not_before {
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

    /// Whether this controller confirms a peer's suspicion of the holder of `token`.
    /// `store_reachable` says whether the store has recently answered this controller.
    pub fn confirms_suspicion(
        &self,
        now: Time,
        token: FencingToken,
        suspicion: Suspicion,
        store_reachable: bool,
    ) -> bool {
        let own = self.suspicion(now, self.phi_threshold * CONFIRMING_SHARE);
        let own_suspicion_agrees = match suspicion {
            Suspicion::Silent => own == Some(Suspicion::Silent),
            Suspicion::StoreUnreachable => own.is_some() && store_reachable,
        };
        self.is_leader_token(token) && self.is_settled(now) && own_suspicion_agrees
    }

    fn suspicion(&self, now: Time, phi: f64) -> Option<Suspicion> {
        if self.phi_threshold <= 0.0 {
            return None;
        }
        let silence = self.heartbeats.silence(now)?;
        if silence >= MIN_SILENCE && self.heartbeats.phi(now) >= phi {
            return Some(Suspicion::Silent);
        }
        // The reported silence of the store is as old as the leader's last heartbeat.
        let store_silence = self.store_silence + now.since(self.last_heartbeat);
        let was_reported = self.store_silence >= STORE_SILENCE_THRESHOLD;
        (was_reported && store_silence >= STORE_SILENCE_THRESHOLD)
            .then_some(Suspicion::StoreUnreachable)
    }

    fn is_settled(&self, now: Time) -> bool {
        now.since(self.resumed_at) >= SETTLING_TIME && self.last_tick.is_some()
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

/// The observations on which the detector decides.
impl FailureDetector {
    /// Records a heartbeat of the leader. Ignores heartbeats of any other controller or
    /// token.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &LeaderHeartbeat) {
        let is_from_leader = |(node_id, token): &(NodeId, FencingToken)| {
            *node_id == heartbeat.node_id && *token == heartbeat.token
        };
        if !self.leader.as_ref().is_some_and(is_from_leader) {
            return;
        }
        if self.last_tick.is_some_and(|t| now.since(t) > MAX_TICK_GAP) {
            // The heartbeat was unread while this process was stopped, so the interval
            // since the previous one is not the leader's.
            self.heartbeats.exclude_until(now);
        }
        self.heartbeats.record_heartbeat(now);
        self.agent_migrations.clear();
        self.last_heartbeat = now;
        self.store_silence = TimeSpan::millis(heartbeat.store_contact_age_ms);
        self.leader_lag = TimeSpan::millis(heartbeat.event_loop_delay_ms);
        let current = self.investigation.as_ref();
        if current.is_some_and(|i| i.suspicion == Suspicion::Silent) {
            self.refute();
        }
    }

    /// Records that an agent whose leader holds `token` sent a heartbeat to this
    /// controller.
    pub fn record_agent_migration(&mut self, now: Time, token: FencingToken, machine: &MachineId) {
        if self.is_leader_token(token) {
            self.agent_migrations.record(now, machine);
        }
    }

    /// How many agents migrated here recently, up to the number that confirms a
    /// suspicion.
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
            // The leader is alive; only its heartbeats are lost.
            self.heartbeats.exclude_until(now);
            self.not_before = self.not_before.max(now + PAUSE_AFTER_ANSWERED_PROBE);
            self.refute();
        }
    }

    /// Records whether a peer confirms the suspicion, and how many agents migrated to
    /// that peer.
    pub fn record_peer_answer(
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
    /// The detector's observations and decisions, for `/inspect`.
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
