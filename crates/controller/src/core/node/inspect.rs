//! What operators may see.

use super::Node;
use crate::core::election::ElectionState;

impl Node {
    /// `query` may have `machine=` and `job=`, what their names begin with.
    pub(super) fn inspect(&self, query: &str) -> serde_json::Value {
        let starts = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut named = pairs.filter(|(n, _)| *n == name);
            named.next().map_or("", |(_, value)| value)
        };
        let (machine, job) = (starts("machine"), starts("job"));
        let now = self.effects.now.time;
        let times = self.effects.quantiles();
        let peers: Vec<_> = self
            .peers
            .iter()
            .map(|(l, p)| {
                serde_json::json!({
                    "node": l, "heard_s_ago": now.since(p.heard).as_secs(), "token": p.token,
                    "leads": p.leads, "state_ok": p.state_ok, "strained": p.strained,
                })
            })
            .collect();
        serde_json::json!({
            "node": self.settings.node_id, "zone": self.settings.zone, "ready": self.is_ready(),
            "state_ok": self.state_ok(), "leads": self.leads(),
            "standing": self.election.state.to_string(),
            "leader": self.election.leader.as_ref().map(|(l, _)| l),
            "late_share": self.self_health.share, "strained": self.self_health.strained,
            "effort_us": self.self_health.effort_us, "slow": self.self_health.slow,
            "levels": self.inspect_levels(),
            "leader_seen": self.failure_detector.inspect(now),
            "peers": peers, "times": times,
            "leading": self.leader.as_ref().map(|l| l.inspect(self.effects.now, machine, job)),
            "standing_by": matches!(self.election.state, ElectionState::Following(_)),
        })
    }
}
