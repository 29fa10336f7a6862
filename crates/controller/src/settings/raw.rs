//! The fields of the JSON settings file, before any check.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct RawFile {
    #[serde(rename = "label")]
    pub(super) node_id: String,
    pub(super) zone: String,
    pub(super) api_addr: String,
    pub(super) internal_addr: String,
    pub(super) peers: Vec<RawPeer>,
    pub(super) services: RawServices,
    pub(super) settings: RawSettings,
}

#[derive(Deserialize)]
pub(super) struct RawPeer {
    #[serde(rename = "label")]
    pub(super) node_id: String,
    pub(super) zone: String,
    pub(super) endpoint: String,
}

#[derive(Deserialize)]
pub(super) struct RawServices {
    pub(super) cloud: String,
    pub(super) state: String,
}

#[derive(Deserialize)]
pub(super) struct RawSettings {
    pub(super) size: u32,
    pub(super) zones: Vec<String>,
    pub(super) teams: Vec<RawTeam>,
    #[serde(default)]
    pub(super) objectives: Vec<RawObjective>,
    pub(super) workers: RawWorkers,
    pub(super) state: RawState,
    pub(super) cloud: RawCloud,
    pub(super) quota: RawQuota,
    pub(super) clock_error_ms: f64,
}

#[derive(Deserialize)]
pub(super) struct RawTeam {
    pub(super) name: String,
    #[serde(default)]
    pub(super) cpus: f64,
    #[serde(default)]
    pub(super) cpus_max: f64,
    #[serde(default)]
    pub(super) gpus: f64,
    #[serde(default)]
    pub(super) gpus_max: f64,
}

#[derive(Deserialize)]
pub(super) struct RawObjective {
    pub(super) kind: String,
    #[serde(default)]
    pub(super) class: Option<String>,
    #[serde(default)]
    pub(super) within_s: Option<f64>,
    #[serde(default)]
    pub(super) times: Option<f64>,
}

#[derive(Deserialize)]
pub(super) struct RawWorkers {
    pub(super) report_s: f64,
    pub(super) lease_s: f64,
    pub(super) gang_wait_s: f64,
    pub(super) gang_peer_s: f64,
    pub(super) cancel_s: f64,
}

#[derive(Deserialize)]
pub(super) struct RawState {
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    pub(super) value_kb: f64,
    pub(super) txn_ops: u32,
    #[serde(default)]
    pub(super) next: Option<RawNextState>,
}

/// Announced limits; an absent one stays as it is.
#[derive(Deserialize)]
pub(super) struct RawNextState {
    pub(super) rps: Option<f64>,
    pub(super) write_rps: Option<f64>,
    pub(super) value_kb: Option<f64>,
    pub(super) txn_ops: Option<u32>,
}

#[derive(Deserialize)]
pub(super) struct RawCloud {
    pub(super) rps: f64,
    pub(super) list_lag_s: f64,
}

#[derive(Deserialize)]
pub(super) struct RawQuota {
    #[serde(default)]
    pub(super) core_share: f64,
    #[serde(default)]
    pub(super) ram_mb: f64,
    pub(super) max_sockets: u32,
}
