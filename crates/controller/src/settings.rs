//! The settings file that the platform hands over, checked once at start.

use crate::types::{Class, NodeId, Resources, Team, TimeSpan, Zone};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;

/// What was wrong with the settings; the text names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// Not JSON, or a field is missing or of the wrong type.
    #[error("settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// A field has a value that cannot be used.
    #[error("settings: {field}: {reason}")]
    Field {
        /// The field's path.
        field: String,
        /// Why it was refused.
        reason: String,
    },
}

#[derive(Deserialize)]
struct RawFile {
    #[serde(rename = "label")]
    node_id: String,
    zone: String,
    api_addr: String,
    internal_addr: String,
    peers: Vec<RawPeer>,
    services: RawServices,
    settings: Raw,
}
#[derive(Deserialize)]
struct RawPeer {
    #[serde(rename = "label")]
    node_id: String,
    zone: String,
    endpoint: String,
}
#[derive(Deserialize)]
struct RawServices {
    cloud: String,
    state: String,
}
#[derive(Deserialize)]
struct Raw {
    size: u32,
    zones: Vec<String>,
    teams: Vec<RawTeam>,
    #[serde(default)]
    objectives: Vec<RawObjective>,
    workers: RawWorkers,
    state: RawState,
    cloud: RawCloud,
    quota: RawQuota,
    clock_error_ms: f64,
}
#[derive(Deserialize)]
struct RawTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}
#[derive(Deserialize)]
struct RawObjective {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
    #[serde(default)]
    times: Option<f64>,
}
#[derive(Deserialize)]
struct RawWorkers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}
#[derive(Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: u32,
}
#[derive(Deserialize)]
struct RawCloud {
    rps: f64,
    list_lag_s: f64,
}
#[derive(Deserialize)]
struct RawQuota {
    #[serde(default)]
    core_share: f64,
    #[serde(default)]
    ram_mb: f64,
    max_sockets: u32,
}

/// Another controller node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub node_id: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Where its internal interface listens.
    pub addr: SocketAddrV4,
}

/// A team's guarantee and limit. `None`: there is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamShare {
    /// Guaranteed processors.
    pub cpus: Option<f64>,
    /// Guaranteed graphics processors.
    pub gpus: Option<f64>,
    /// Most processors at any time.
    pub cpus_max: Option<f64>,
    /// Most graphics processors at any time.
    pub gpus_max: Option<f64>,
}

impl TeamShare {
    /// Whether use of `a` stays below the team's limit.
    pub fn allows(&self, a: &Resources) -> bool {
        self.cpus_max.is_none_or(|m| a.cpus <= m + 1e-6)
            && self.gpus_max.is_none_or(|m| a.gpus <= m + 1e-6)
    }
    /// Whether use of `a` lies within the team's guarantee.
    pub fn guarantees(&self, a: &Resources) -> bool {
        (self.cpus.is_some() || self.gpus.is_some())
            && self.cpus.is_none_or(|m| a.cpus <= m + 1e-6)
            && self.gpus.is_none_or(|m| a.gpus <= m + 1e-6)
    }
}

/// What an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time to a class's starts.
    Wait,
    /// Time to a class's completion.
    Finished,
    /// Completion by the deadline.
    Deadline,
    /// Time to start work within a guarantee.
    Guarantee,
    /// One this version does not know.
    Other,
}

/// One aim of the deployment.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What it measures.
    pub kind: ObjectiveKind,
    /// The class, where it is about one.
    pub class: Option<Class>,
    /// The time it asks for.
    pub within: Option<TimeSpan>,
    /// For deadlines: how many times the deadline it allows.
    pub times: f64,
}

/// How workers behave.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTimes {
    /// Time between reports.
    pub report: TimeSpan,
    /// A worker's lease.
    pub lease: TimeSpan,
    /// How long a gang's tasks wait for the others.
    pub gang_wait: TimeSpan,
    /// How soon a gang's tasks notice a missing one.
    pub gang_peer: TimeSpan,
    /// Within what time a cancelled job's tasks must be gone.
    pub cancel: TimeSpan,
}

/// Limits of the state service.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Requests a second, all nodes together.
    pub rps: f64,
    /// Puts and deletes a second, all nodes together.
    pub write_rps: f64,
    /// Largest value in bytes of JSON.
    pub value_bytes: usize,
    /// Most puts and deletes of one transaction.
    pub txn_ops: usize,
}

/// Everything from the platform's file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name.
    pub node_id: NodeId,
    /// This node's zone.
    pub zone: Zone,
    /// Where users and workers reach this node.
    pub api_addr: SocketAddrV4,
    /// Where the other nodes reach this node.
    pub internal_addr: SocketAddrV4,
    /// The other nodes.
    pub peers: Vec<Peer>,
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
    /// Number of controller nodes.
    pub size: u32,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The teams.
    pub teams: BTreeMap<Team, TeamShare>,
    /// The aims.
    pub objectives: Vec<Objective>,
    /// Worker times.
    pub workers: WorkerTimes,
    /// State service limits.
    pub state_limits: StateLimits,
    /// Cloud calls a second.
    pub cloud_rps: f64,
    /// How late the machine list is.
    pub list_lag: TimeSpan,
    /// Most sockets this process may hold.
    pub max_sockets: u32,
    /// Bound on the wall clock's error.
    pub clock_error: TimeSpan,
}

fn bad<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError::Field {
        field: field.into(),
        reason: reason.into(),
    })
}

fn positive(field: &str, v: f64) -> Result<f64, SettingsError> {
    if v.is_finite() && v > 0.0 {
        Ok(v)
    } else {
        bad(field, format!("must be a positive number, not {v}"))
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .or_else(|_| bad(field, format!("'{text}' is not an IPv4 address and port")))
}

fn share(team: &RawTeam) -> Result<TeamShare, SettingsError> {
    let field = |f: &str| format!("settings.teams.{}.{f}", team.name);
    let amount = |f: &str, v: f64| {
        if !v.is_finite() || v < 0.0 {
            bad(field(f), format!("must not be {v}"))
        } else {
            Ok((v > 0.0).then_some(v))
        }
    };
    let s = TeamShare {
        cpus: amount("cpus", team.cpus)?,
        gpus: amount("gpus", team.gpus)?,
        cpus_max: amount("cpus_max", team.cpus_max)?,
        gpus_max: amount("gpus_max", team.gpus_max)?,
    };
    for (f, guarantee, limit) in [("cpus", s.cpus, s.cpus_max), ("gpus", s.gpus, s.gpus_max)] {
        if let (Some(g), Some(l)) = (guarantee, limit)
            && g > l
        {
            return bad(field(f), format!("guarantee {g} is over the limit {l}"));
        }
    }
    Ok(s)
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Read(path.display().to_string(), e))?;
        Settings::parse(&text)
    }

    /// Checks settings given as JSON.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let raw: RawFile = serde_json::from_str(text)?;
        if raw.node_id.is_empty() {
            return bad("label", "must not be empty");
        }
        let s = &raw.settings;
        let mut peers: Vec<Peer> = Vec::new();
        for p in &raw.peers {
            if p.node_id == raw.node_id || peers.iter().any(|q| q.node_id.as_str() == p.node_id) {
                return bad("peers", format!("'{}' is named twice", p.node_id));
            }
            peers.push(Peer {
                node_id: p.node_id.as_str().into(),
                zone: p.zone.as_str().into(),
                addr: address(&format!("peers.{}.endpoint", p.node_id), &p.endpoint)?,
            });
        }
        if s.size == 0 {
            return bad("settings.size", "must be at least 1");
        }
        if s.zones.is_empty() {
            return bad("settings.zones", "must name a zone");
        }
        let mut teams = BTreeMap::new();
        for t in &s.teams {
            if teams
                .insert(Team::from(t.name.as_str()), share(t)?)
                .is_some()
            {
                return bad("settings.teams", format!("'{}' is named twice", t.name));
            }
        }
        if s.state.txn_ops < 8 {
            return bad("settings.state.txn_ops", "must be at least 8");
        }
        if s.quota.max_sockets < 32 {
            return bad("settings.quota.max_sockets", "must be at least 32");
        }
        if !s.clock_error_ms.is_finite() || s.clock_error_ms < 0.0 {
            return bad("settings.clock_error_ms", "must not be negative");
        }
        for (field, v) in [
            ("settings.quota.core_share", s.quota.core_share),
            ("settings.quota.ram_mb", s.quota.ram_mb),
        ] {
            if !v.is_finite() || v < 0.0 {
                return bad(field, "must not be negative");
            }
        }
        let secs = |field: &str, v: f64| positive(field, v).map(TimeSpan::secs);
        let workers = WorkerTimes {
            report: secs("settings.workers.report_s", s.workers.report_s)?,
            lease: secs("settings.workers.lease_s", s.workers.lease_s)?,
            gang_wait: secs("settings.workers.gang_wait_s", s.workers.gang_wait_s)?,
            gang_peer: secs("settings.workers.gang_peer_s", s.workers.gang_peer_s)?,
            cancel: secs("settings.workers.cancel_s", s.workers.cancel_s)?,
        };
        if workers.report >= workers.lease {
            return bad("settings.workers.report_s", "must be below lease_s");
        }
        let mut objectives = Vec::new();
        for (i, o) in s.objectives.iter().enumerate() {
            let within = match o.within_s {
                Some(v) => Some(secs(&format!("settings.objectives.{i}.within_s"), v)?),
                None => None,
            };
            objectives.push(Objective {
                kind: match o.kind.as_str() {
                    "wait" => ObjectiveKind::Wait,
                    "finished" => ObjectiveKind::Finished,
                    "deadline" => ObjectiveKind::Deadline,
                    "guarantee" => ObjectiveKind::Guarantee,
                    _ => ObjectiveKind::Other,
                },
                class: o.class.as_deref().map(Class::from),
                within,
                times: match o.times {
                    Some(t) => positive(&format!("settings.objectives.{i}.times"), t)?,
                    None => 1.0,
                },
            });
        }
        Ok(Settings {
            node_id: raw.node_id.as_str().into(),
            zone: raw.zone.as_str().into(),
            api_addr: address("api_addr", &raw.api_addr)?,
            internal_addr: address("internal_addr", &raw.internal_addr)?,
            peers,
            cloud: address("services.cloud", &raw.services.cloud)?,
            state: address("services.state", &raw.services.state)?,
            size: s.size,
            zones: s.zones.iter().map(|z| z.as_str().into()).collect(),
            teams,
            objectives,
            workers,
            state_limits: StateLimits {
                rps: positive("settings.state.rps", s.state.rps)?,
                write_rps: positive("settings.state.write_rps", s.state.write_rps)?,
                value_bytes: (positive("settings.state.value_kb", s.state.value_kb)? * 1024.0)
                    as usize,
                txn_ops: s.state.txn_ops as usize,
            },
            cloud_rps: positive("settings.cloud.rps", s.cloud.rps)?,
            list_lag: secs("settings.cloud.list_lag_s", s.cloud.list_lag_s)?,
            max_sockets: s.quota.max_sockets,
            clock_error: TimeSpan::secs(s.clock_error_ms / 1000.0),
        })
    }
}
