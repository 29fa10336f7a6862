//! The builds that peers said they run in their heartbeats, and since when.

use crate::types::{NodeId, Time, TimeSpan};
use crate::wire::peers::BuildInfo;
use std::collections::BTreeMap;

/// What a peer has not repeated for this long does not count.
const FRESH: TimeSpan = TimeSpan::millis(3500);

/// The build of one life of a peer's process.
#[derive(Clone, Debug)]
pub(super) struct PeerBuild {
    pub(super) build: BuildInfo,
    /// Since when the peer has said so without a break.
    pub(super) since: Time,
    last_heard: Time,
}

impl PeerBuild {
    /// Whether the peer said so recently.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        now.since(self.last_heard) < FRESH
    }
}

/// What each peer said last.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerBuilds(BTreeMap<NodeId, PeerBuild>);

impl PeerBuilds {
    pub(super) fn get(&self, peer: &NodeId) -> Option<&PeerBuild> {
        self.0.get(peer)
    }

    /// Records what a peer said; `None`: it knows no format versions. Another build, or
    /// another life of the same, starts over.
    pub(super) fn record(&mut self, now: Time, peer: &NodeId, build: Option<BuildInfo>) {
        let Some(build) = build else {
            self.0.remove(peer);
            return;
        };
        if let Some(known) = self.0.get_mut(peer)
            && known.build == build
            && known.is_fresh(now)
        {
            known.last_heard = now;
            return;
        }
        let first = PeerBuild {
            build,
            since: now,
            last_heard: now,
        };
        self.0.insert(peer.clone(), first);
    }
}
