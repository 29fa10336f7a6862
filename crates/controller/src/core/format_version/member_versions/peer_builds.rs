//! The builds that peers report in their heartbeats, and since when.

use crate::types::{NodeId, Time, TimeSpan};
use crate::wire::peers::BuildInfo;
use std::collections::BTreeMap;

/// A reported build counts for this long after the peer's last report.
const REPORT_TTL: TimeSpan = TimeSpan::millis(3500);

/// The build that one process of a peer reports.
#[derive(Clone, Debug)]
pub(super) struct PeerBuild {
    pub(super) build: BuildInfo,
    /// Since when the peer has reported this build without interruption.
    pub(super) since: Time,
    last_reported: Time,
}

impl PeerBuild {
    /// Whether the last report is recent enough to count.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        now.since(self.last_reported) < REPORT_TTL
    }
}

/// The build that each peer reported last.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerBuilds(BTreeMap<NodeId, PeerBuild>);

impl PeerBuilds {
    pub(super) fn get(&self, peer: &NodeId) -> Option<&PeerBuild> {
        self.0.get(peer)
    }

    /// Records a peer's report; `None`: the peer's build has no format versions. Another
    /// build, or another process of the same build, restarts the time of presence.
    pub(super) fn record(&mut self, now: Time, peer: &NodeId, build: Option<BuildInfo>) {
        let Some(build) = build else {
            self.0.remove(peer);
            return;
        };
        if let Some(known) = self.0.get_mut(peer)
            && known.build == build
            && known.is_fresh(now)
        {
            known.last_reported = now;
            return;
        }
        let first = PeerBuild {
            build,
            since: now,
            last_reported: now,
        };
        self.0.insert(peer.clone(), first);
    }
}
