//! The state of the format versions that `/inspect` shows.

use super::MemberVersions;
use crate::core::format_version::FormatVersion;
use crate::types::{NodeId, Time};
use serde_json::Value;

impl MemberVersions {
    /// The active version, the build of each controller, and what blocks the next
    /// activation.
    pub fn inspect(&self, now: Time, peers: &[NodeId], max_version: FormatVersion) -> Value {
        let controllers = peers.iter().chain([&self.node_id]);
        let nodes: Vec<Value> = controllers
            .map(|node_id| self.inspect_member(now, node_id))
            .collect();
        let serves = match self.check_serving() {
            Ok(()) => "yes".into(),
            Err(why) => format!("no: {why}"),
        };
        let blocked = self.next_activation(now, peers, max_version).err();
        serde_json::json!({
            "in_force": self.active_version(),
            "name": self.active_version().name(),
            "rewritten": self.rewritten,
            "serves": serves,
            "waits_for": blocked.map(|why| why.to_string()),
            "one_policy": self.differing_policy().is_none(),
            "nodes": nodes,
        })
    }

    fn inspect_member(&self, now: Time, node_id: &NodeId) -> Value {
        let member = self.members.get(node_id);
        let record = member.and_then(|m| m.record.as_ref());
        let peer_build = self.peer_builds.get(node_id);
        serde_json::json!({
            "node": node_id,
            "build": record.map(|r| &r.build),
            "levels": record.map(|r| [r.levels.low, r.levels.high]),
            "policy": record.map(|r| &r.policy),
            "there_s": peer_build.map(|h| now.since(h.since).as_secs()),
            "says": peer_build.map(|h| [h.build.low, h.build.high]),
        })
    }
}
