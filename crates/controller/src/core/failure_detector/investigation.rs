//! The investigation of a suspected leader: the evidence collected so far, and
//! whether it suffices to replace the leader. This module sends nothing.

use super::agent_migrations::MIGRATIONS_TO_CONFIRM;
use super::suspicion::{ProbeOutcome, Suspicion};
use crate::types::{NodeId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Time between two probes in the same investigation.
const PROBE_INTERVAL: TimeSpan = TimeSpan::millis(200);
/// The same while connections to the leader are refused. A refusal costs the leader no
/// time, but is weak evidence.
const PROBE_INTERVAL_AFTER_REFUSAL: TimeSpan = TimeSpan::millis(600);
/// Delay of a claim for each controller that is a better successor, so that several
/// controllers do not claim the key at the same time.
const DELAY_PER_RANK: TimeSpan = TimeSpan::millis(150);

/// The outcome of the last direct probe of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeEvidence {
    /// No probe has ended yet.
    None,
    /// The leader did not answer in time.
    TimedOut,
    /// The leader refused the connection.
    Refused,
}

/// The evidence about one suspicion.
#[derive(Clone, Debug)]
pub(super) struct Investigation {
    pub(super) suspicion: Suspicion,
    last_probe: Time,
    probe: ProbeEvidence,
    /// Whether the key-value store has answered this controller since the suspicion
    /// arose.
    store_reachable: bool,
    /// Peers that confirm the suspicion, and how many agents migrated to each of them.
    confirming_peers: BTreeMap<NodeId, u32>,
    /// Since when the evidence suffices; `None`: it does not suffice.
    confirmed_since: Option<Time>,
}

impl Investigation {
    /// An investigation whose first probe is sent at `now`.
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

    /// Number of controllers that confirm the suspicion, including this one.
    pub(super) fn confirmations(&self) -> usize {
        self.confirming_peers.len() + 1
    }

    /// Whether this controller is to replace the leader now: the evidence suffices, and
    /// has sufficed for as long as better successors may need for their claims. `rank`
    /// is the number of better successors.
    pub(super) fn is_concluded(
        &mut self,
        now: Time,
        quorum: usize,
        own_migrations: u32,
        rank: u32,
    ) -> bool {
        let evidence_suffices = self.is_leader_unreachable(own_migrations)
            && self.store_reachable
            && self.confirmations() >= quorum;
        if !evidence_suffices {
            return false;
        }
        let confirmed_since = *self.confirmed_since.get_or_insert(now);
        now.since(confirmed_since) >= TimeSpan(DELAY_PER_RANK.0 * u64::from(rank))
    }

    /// Whether evidence other than missing heartbeats confirms the suspicion.
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

    /// Whether the next probe is due. If it is, it is recorded as sent at `now`.
    pub(super) fn start_probe_if_due(&mut self, now: Time) -> bool {
        let interval = match self.probe {
            ProbeEvidence::Refused => PROBE_INTERVAL_AFTER_REFUSAL,
            ProbeEvidence::None | ProbeEvidence::TimedOut => PROBE_INTERVAL,
        };
        let is_due = now.since(self.last_probe) >= interval;
        if is_due {
            self.last_probe = now;
        }
        is_due
    }

    /// Records a probe that the leader did not answer. Ignores an answered one.
    pub(super) fn record_failed_probe(&mut self, outcome: ProbeOutcome) {
        self.probe = match outcome {
            ProbeOutcome::Answered => return,
            ProbeOutcome::ConnectionRefused => ProbeEvidence::Refused,
            ProbeOutcome::TimedOut => ProbeEvidence::TimedOut,
        };
    }

    /// Records whether a peer confirms the suspicion, and how many agents migrated to
    /// that peer. A peer that does not confirm restarts the delay by rank.
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
