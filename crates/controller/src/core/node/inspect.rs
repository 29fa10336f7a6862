//! The controller's state as operators read it at `/inspect`. The field names are part of
//! the operators' interface.

use super::Node;
use crate::core::election::ElectionState;

/// The value of a query parameter; empty if the parameter is absent.
fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let matching = pairs.find(|(key, _)| *key == name);
    matching.map_or("", |(_, value)| value)
}

impl Node {
    /// The controller's state as JSON. `query` may hold `machine=` and `job=`: name
    /// prefixes of the machines and jobs that the leader lists.
    pub(super) fn inspect(&self, query: &str) -> serde_json::Value {
        let now = self.effects.now;
        let machine = parameter(query, "machine");
        let job = parameter(query, "job");
        let leader = self.election.leader.as_ref();
        let is_following = matches!(self.election.state, ElectionState::Following(_));
        serde_json::json!({
            "node": self.settings.node_id,
            "zone": self.settings.zone,
            "ready": self.is_ready(),
            "state_ok": self.is_store_reachable(),
            "leads": self.is_loaded_leader(),
            "standing": self.election.state.to_string(),
            "leader": leader.map(|(node_id, _)| node_id),
            "late_share": self.self_health.late_share,
            "strained": self.self_health.is_overloaded,
            "effort_us": self.self_health.calibration_us,
            "slow": self.self_health.is_slow,
            "levels": self.inspect_format_versions(),
            "leader_seen": self.failure_detector.inspect(now.time),
            "peers": self.inspect_peers(),
            "times": self.effects.response_times(),
            "state_limits": self.inspect_store_limits(),
            "leading": self.leader.as_ref().map(|l| l.inspect(now, machine, job)),
            "standing_by": is_following,
        })
    }

    /// The limits of the key-value store that this controller assumes to be in force.
    fn inspect_store_limits(&self) -> serde_json::Value {
        let limits = self.effects.store_limits.current();
        serde_json::json!({
            "write_rps": limits.write_rps,
            "value_bytes": limits.value_bytes,
            "txn_ops": limits.txn_ops,
        })
    }

    fn inspect_peers(&self) -> Vec<serde_json::Value> {
        let now = self.effects.now.time;
        let peers = self.peers.iter().map(|(node_id, peer)| {
            serde_json::json!({
                "node": node_id,
                "heard_s_ago": now.since(peer.last_heartbeat).as_secs(),
                "token": peer.token,
                "leads": peer.is_leader,
                "state_ok": peer.store_reachable,
                "strained": peer.is_overloaded,
            })
        });
        peers.collect()
    }
}
