//! The investigation of a suspected leader: the evidence collected so far, and
//! whether it suffices to replace the leader. Never sends anything.

use super::agent_migrations::MIGRATIONS_TO_CONFIRM;
use super::suspicion::{ProbeOutcome, Suspicion};
use crate::types::{NodeId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Time between two probes in the same investigation.
const PROBE_AGAIN: TimeSpan = TimeSpan::millis(200);
/// The same while connections to the leader are refused, which costs it no time
/// but says little.
const PROBE_AGAIN_AFTER_REFUSAL: TimeSpan = TimeSpan::millis(600);
/// Each successor leaves this much time to every better one before it, so that
/// they do not claim the key at once.
const DELAY_PER_RANK: TimeSpan = TimeSpan::millis(150);

/// The last direct probe of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeEvidence {
    /// Not probed yet.
    None,
    /// It did not answer.
    TimedOut,
    /// It refused the connection.
    Refused,
}

/// The evidence about one suspicion.
#[derive(Clone, Debug)]
pub(super) struct Investigation {
    pub(super) suspicion: Suspicion,
    last_probe: Time,
    probe: ProbeEvidence,
    /// Whether the key-value store answered this controller since.
    store_reachable: bool,
    /// Peers that confirm the suspicion, and how many agents migrated to each.
    confirming_peers: BTreeMap<NodeId, u32>,
    /// Since when the evidence suffices.
    confirmed_since: Option<Time>,
}

impl Investigation {
    /// An investigation whose first probe is sent now.
    pub(super) fn new(suspicion: Suspicion, now: Time) -> Investigation {
        Investigation {
            suspicion,
            last_probe: now,
            probe: ProbeEvidence::None,
            store_reachable: false,
            confirming_peers: BTreeMap::new(),
            confirmed_since: None,
        }
    }

    /// Controllers that confirm the suspicion, this one among them.
    pub(super) fn confirmations(&self) -> usize {
        self.confirming_peers.len() + 1
    }

    /// Whether the leader is to be replaced by this controller now: the evidence
    /// suffices, and has for as long as better successors may take.
    pub(super) fn is_concluded(
        &mut self,
        now: Time,
        quorum: usize,
        own_migrations: u32,
        rank: u32,
    ) -> bool {
        let suffices = self.is_leader_unreachable(own_migrations)
            && self.store_reachable
            && self.confirmations() >= quorum;
        if !suffices {
            return false;
        }
        let confirmed_since = *self.confirmed_since.get_or_insert(now);
        now.since(confirmed_since) >= TimeSpan(DELAY_PER_RANK.0 * u64::from(rank))
    }

    /// Whether what is known of the leader besides its heartbeats confirms the
    /// suspicion.
    fn is_leader_unreachable(&self, own_migrations: u32) -> bool {
        if self.suspicion == Suspicion::StoreUnreachable {
            return true;
        }
        match self.probe {
            ProbeEvidence::None => false,
            ProbeEvidence::TimedOut => true,
            ProbeEvidence::Refused => {
                let migrations = own_migrations + self.confirming_peers.values().sum::<u32>();
                migrations >= MIGRATIONS_TO_CONFIRM
            }
        }
    }

    /// Whether the next probe is due; if so it counts as sent.
    pub(super) fn start_probe_if_due(&mut self, now: Time) -> bool {
        let pause = match self.probe {
            ProbeEvidence::Refused => PROBE_AGAIN_AFTER_REFUSAL,
            ProbeEvidence::None | ProbeEvidence::TimedOut => PROBE_AGAIN,
        };
        let is_due = now.since(self.last_probe) >= pause;
        if is_due {
            self.last_probe = now;
        }
        is_due
    }

    /// Records a probe that the leader did not answer.
    pub(super) fn record_failed_probe(&mut self, outcome: ProbeOutcome) {
        self.probe = match outcome {
            ProbeOutcome::Answered => return,
            ProbeOutcome::ConnectionRefused => ProbeEvidence::Refused,
            ProbeOutcome::TimedOut => ProbeEvidence::TimedOut,
        };
    }

    /// Records a peer that confirms the suspicion, or does not.
    pub(super) fn record_peer(&mut self, peer: NodeId, confirms: bool, migrations: u32) {
        if confirms {
            let counted = migrations.min(MIGRATIONS_TO_CONFIRM);
            self.confirming_peers.insert(peer, counted);
        } else {
            self.confirming_peers.remove(&peer);
            self.confirmed_since = None;
        }
    }

    /// Records that the key-value store answered this controller.
    pub(super) fn record_store_reachable(&mut self) {
        self.store_reachable = true;
    }
}
