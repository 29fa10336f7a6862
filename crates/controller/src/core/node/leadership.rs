//! Start and end of leadership, and access to the leader's state in between.

use super::Node;
use crate::core::effects::Effects;
use crate::core::election::ElectionOutcome;
use crate::core::leader::{Leader, LeaderTerm, LeadershipOutcome};
use crate::types::FencingToken;
use crate::wire::cloud::MachineTypes;
use std::rc::Rc;

impl Node {
    /// Starts leadership if the election was won. The new leader starts with the cache
    /// hints that earlier leaders sent.
    pub(super) fn handle_election_outcome(&mut self, outcome: ElectionOutcome) {
        let ElectionOutcome::Elected { token, lease } = outcome else {
            return;
        };
        let now = self.effects.now.time;
        tracing::info!(%token, "elected leader");
        self.drop_previous_leadership();
        let mut leader = self.new_leader(token, lease);
        let hints = self.cache_hints.take_all();
        for (machine, images) in hints.machines {
            leader.inherit_cache(now, &machine, &images);
        }
        for (image, took) in hints.fetches {
            leader.cluster.fetch_estimates.record(&image, took);
        }
        self.election
            .keep_lease_alive(&mut self.effects, lease, token);
        leader.tick(&mut self.effects);
        self.leader = Some(leader);
        self.peer_heartbeat_due = now;
    }

    /// Drops the leader state of a previous token: a leader that activated a format
    /// version has claimed the leader's key again, under another token and lease.
    fn drop_previous_leadership(&mut self) {
        let Some(mut previous) = self.leader.take() else {
            return;
        };
        previous.drop_deferred_heartbeats(&mut self.effects);
        self.election
            .release_lease(&mut self.effects, previous.lease_id, previous.token);
        self.election.restart_keep_alive();
    }

    fn new_leader(&self, token: FencingToken, lease: u64) -> Leader {
        let no_types = MachineTypes::default();
        let term = LeaderTerm {
            leader_key: self.election.leader_key(),
            token,
            lease_id: lease,
            format_version: self.election.member_versions.active_version(),
        };
        Leader::new(
            Rc::clone(&self.settings),
            Rc::clone(&self.policy),
            term,
            self.effects.now.time,
            self.machine_types.as_ref().unwrap_or(&no_types),
        )
    }

    /// Runs `act` on the leader's state if this controller leads, and ends the leadership
    /// if the outcome says so.
    pub(super) fn with_leader(
        &mut self,
        act: impl FnOnce(&mut Leader, &mut Effects) -> LeadershipOutcome,
    ) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let was_loaded = leader.is_loaded();
        let outcome = act(leader, &mut self.effects);
        if leader.is_loaded() && !was_loaded {
            self.peer_heartbeat_due = self.effects.now.time;
        }
        for event in leader.version_events.drain(..) {
            self.election.member_versions.apply(&event);
        }
        if outcome == LeadershipOutcome::Continue {
            leader.tick(&mut self.effects);
        } else {
            self.end_leadership(outcome);
        }
        if let Some(types) = self.effects.listed_machine_types.take() {
            self.store_machine_types(types);
        }
    }

    pub(super) fn end_leadership(&mut self, outcome: LeadershipOutcome) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        leader.drop_deferred_heartbeats(&mut self.effects);
        let token = leader.token;
        match outcome {
            LeadershipOutcome::Deposed(by) => tracing::info!(%token, %by, "leader replaced"),
            LeadershipOutcome::StepDown(reason) => {
                tracing::info!(%token, reason, "leader stepped down");
            }
            LeadershipOutcome::Continue => {}
        }
        self.election
            .release_lease(&mut self.effects, leader.lease_id, token);
        self.election.reset(self.effects.now.time);
    }
}
