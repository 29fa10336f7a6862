//! Where the parts of a cluster are, and the settings files that follow from it.

use crate::script::Script;
use crate::stand::TXN_OPS;
use pebblefold_controller::settings::{Settings, SettingsError};
use pebblefold_controller::types::NodeId;
use std::collections::BTreeMap;

/// The name of controller `n`.
pub fn label(n: usize) -> NodeId {
    format!("node-{n}").into()
}

/// Addresses of a cluster's parts.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Each controller's users' interface.
    pub api: Vec<String>,
    /// Each controller's internal interface.
    pub internal: Vec<String>,
    /// Where controller `.0` reaches controller `.1`, if not directly.
    pub peers: BTreeMap<(usize, usize), String>,
    /// Where each controller reaches the state service.
    pub state: Vec<String>,
    /// Where each controller reaches the cloud.
    pub cloud: Vec<String>,
}

/// The settings file of controller `n`, as a platform would hand it over.
pub fn settings_json(script: &Script, layout: &Layout, n: usize) -> serde_json::Value {
    let c = &script.cluster;
    let endpoint = |to: usize| layout.peers.get(&(n, to)).unwrap_or(&layout.internal[to]);
    let peers: Vec<_> = (0..c.controllers.len())
        .filter(|&i| i != n)
        .map(|i| serde_json::json!({"label": label(i), "zone": c.controllers[i], "endpoint": endpoint(i)}))
        .collect();
    serde_json::json!({
        "label": label(n), "zone": c.controllers[n],
        "api_addr": layout.api[n], "internal_addr": layout.internal[n], "peers": peers,
        "services": {"cloud": layout.cloud[n], "state": layout.state[n]},
        "settings": {
            "size": c.controllers.len(), "zones": c.zones, "teams": c.teams, "objectives": c.aims,
            "workers": {
                "report_s": c.workers.report_s, "lease_s": c.workers.lease_s,
                "gang_wait_s": c.workers.gang_wait_s, "gang_peer_s": c.workers.gang_peer_s,
                "cancel_s": c.workers.cancel_s,
            },
            "state": {
                "rps": c.state.rps, "write_rps": c.state.write_rps, "value_kb": 8.0, "txn_ops": TXN_OPS,
                "next": c.state.next,
            },
            "cloud": {"rps": c.cloud.rps, "list_lag_s": c.cloud.list_lag_s},
            "quota": {"core_share": 1.0, "ram_mb": 200.0, "max_sockets": 4000},
            "clock_error_ms": 1000.0,
        }
    })
}

/// The same, checked as a controller checks it.
///
/// # Errors
/// The script describes a cluster that controllers refuse.
pub fn settings(script: &Script, layout: &Layout, n: usize) -> Result<Settings, SettingsError> {
    Settings::parse(&settings_json(script, layout, n).to_string())
}
