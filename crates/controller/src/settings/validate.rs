//! Checks the raw settings file and turns it into typed settings. The first field
//! that cannot be used is reported.

use super::raw::{RawFile, RawObjective, RawPeer, RawSettings, RawState, RawTeam, RawWorkers};
use super::{
    InvalidValue, Objective, ObjectiveKind, Peer, Settings, SettingsError, StateLimits, TeamShare,
    WorkerTimes,
};
use crate::types::{Class, Team, TimeSpan};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Least operations of one transaction that are accepted.
const MIN_TXN_OPS: u32 = 8;
/// Least sockets: an eighth of them, at least four, are for the internal listener.
const MIN_SOCKETS: u32 = 32;
const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_SECOND: f64 = 1000.0;

impl TryFrom<RawFile> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawFile) -> Result<Settings, SettingsError> {
        if raw.node_id.is_empty() {
            return Err(InvalidValue::Empty.of("label"));
        }
        let peers = peers(&raw.node_id, &raw.peers)?;
        let settings = &raw.settings;
        if settings.size == 0 {
            return Err(InvalidValue::TooSmall(1).of("settings.size"));
        }
        if settings.zones.is_empty() {
            return Err(InvalidValue::NoZone.of("settings.zones"));
        }
        let teams = teams(&settings.teams)?;
        check_limits(settings)?;
        let workers = worker_times(&settings.workers)?;
        let objectives = objectives(&settings.objectives)?;
        Ok(Settings {
            node_id: raw.node_id.as_str().into(),
            zone: raw.zone.as_str().into(),
            api_addr: address("api_addr", &raw.api_addr)?,
            internal_addr: address("internal_addr", &raw.internal_addr)?,
            peers,
            cloud: address("services.cloud", &raw.services.cloud)?,
            state: address("services.state", &raw.services.state)?,
            size: settings.size,
            zones: settings.zones.iter().map(|z| z.as_str().into()).collect(),
            teams,
            objectives,
            workers,
            state_limits: state_limits(&settings.state)?,
            cloud_rps: positive("settings.cloud.rps", settings.cloud.rps)?,
            list_lag: seconds("settings.cloud.list_lag_s", settings.cloud.list_lag_s)?,
            max_sockets: settings.quota.max_sockets,
            clock_error: TimeSpan::secs(settings.clock_error_ms / MS_PER_SECOND),
        })
    }
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        Err(InvalidValue::NotPositive(value).of(field))
    }
}

fn not_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(InvalidValue::Negative.of(field))
    }
}

fn seconds(field: &str, value: f64) -> Result<TimeSpan, SettingsError> {
    positive(field, value).map(TimeSpan::secs)
}

fn address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .map_err(|_| InvalidValue::NotAnAddress(text.into()).of(field))
}

fn peers(own: &str, raw: &[RawPeer]) -> Result<Vec<Peer>, SettingsError> {
    let mut peers: Vec<Peer> = Vec::new();
    for peer in raw {
        let is_known = peers.iter().any(|p| p.node_id.as_str() == peer.node_id);
        if peer.node_id == own || is_known {
            return Err(InvalidValue::DuplicateName(peer.node_id.clone()).of("peers"));
        }
        let field = format!("peers.{}.endpoint", peer.node_id);
        peers.push(Peer {
            node_id: peer.node_id.as_str().into(),
            zone: peer.zone.as_str().into(),
            addr: address(&field, &peer.endpoint)?,
        });
    }
    Ok(peers)
}

fn teams(raw: &[RawTeam]) -> Result<BTreeMap<Team, TeamShare>, SettingsError> {
    let mut teams = BTreeMap::new();
    for team in raw {
        let name = Team::from(team.name.as_str());
        if teams.insert(name, team_share(team)?).is_some() {
            return Err(InvalidValue::DuplicateName(team.name.clone()).of("settings.teams"));
        }
    }
    Ok(teams)
}

fn team_share(team: &RawTeam) -> Result<TeamShare, SettingsError> {
    let field = |name: &str| format!("settings.teams.{}.{name}", team.name);
    let amount = |name: &str, value: f64| {
        if value.is_finite() && value >= 0.0 {
            Ok((value > 0.0).then_some(value))
        } else {
            Err(InvalidValue::BadAmount(value).of(field(name)))
        }
    };
    let share = TeamShare {
        cpus: amount("cpus", team.cpus)?,
        gpus: amount("gpus", team.gpus)?,
        cpus_max: amount("cpus_max", team.cpus_max)?,
        gpus_max: amount("gpus_max", team.gpus_max)?,
    };
    for (name, guarantee, limit) in [
        ("cpus", share.cpus, share.cpus_max),
        ("gpus", share.gpus, share.gpus_max),
    ] {
        if let (Some(guarantee), Some(limit)) = (guarantee, limit)
            && guarantee > limit
        {
            return Err(InvalidValue::GuaranteeAboveLimit { guarantee, limit }.of(field(name)));
        }
    }
    Ok(share)
}

fn check_limits(settings: &RawSettings) -> Result<(), SettingsError> {
    if settings.state.txn_ops < MIN_TXN_OPS {
        return Err(InvalidValue::TooSmall(MIN_TXN_OPS).of("settings.state.txn_ops"));
    }
    if settings.quota.max_sockets < MIN_SOCKETS {
        return Err(InvalidValue::TooSmall(MIN_SOCKETS).of("settings.quota.max_sockets"));
    }
    not_negative("settings.clock_error_ms", settings.clock_error_ms)?;
    not_negative("settings.quota.core_share", settings.quota.core_share)?;
    not_negative("settings.quota.ram_mb", settings.quota.ram_mb)
}

fn worker_times(raw: &RawWorkers) -> Result<WorkerTimes, SettingsError> {
    let times = WorkerTimes {
        report: seconds("settings.workers.report_s", raw.report_s)?,
        lease: seconds("settings.workers.lease_s", raw.lease_s)?,
        gang_wait: seconds("settings.workers.gang_wait_s", raw.gang_wait_s)?,
        gang_peer: seconds("settings.workers.gang_peer_s", raw.gang_peer_s)?,
        cancel: seconds("settings.workers.cancel_s", raw.cancel_s)?,
    };
    if times.report >= times.lease {
        return Err(InvalidValue::NotBelowLease.of("settings.workers.report_s"));
    }
    Ok(times)
}

fn state_limits(raw: &RawState) -> Result<StateLimits, SettingsError> {
    Ok(StateLimits {
        rps: positive("settings.state.rps", raw.rps)?,
        write_rps: positive("settings.state.write_rps", raw.write_rps)?,
        value_bytes: (positive("settings.state.value_kb", raw.value_kb)? * BYTES_PER_KB) as usize,
        txn_ops: raw.txn_ops as usize,
    })
}

fn objectives(raw: &[RawObjective]) -> Result<Vec<Objective>, SettingsError> {
    let numbered = raw.iter().enumerate();
    numbered.map(|(index, raw)| objective(index, raw)).collect()
}

fn objective(index: usize, raw: &RawObjective) -> Result<Objective, SettingsError> {
    let field = |name: &str| format!("settings.objectives.{index}.{name}");
    let within = match raw.within_s {
        Some(value) => Some(seconds(&field("within_s"), value)?),
        None => None,
    };
    let times = match raw.times {
        Some(value) => positive(&field("times"), value)?,
        None => 1.0,
    };
    Ok(Objective {
        kind: ObjectiveKind::from(raw.kind.as_str()),
        class: raw.class.as_deref().map(Class::from),
        within,
        times,
    })
}

impl From<&str> for ObjectiveKind {
    fn from(name: &str) -> ObjectiveKind {
        match name {
            "wait" => ObjectiveKind::Wait,
            "finished" => ObjectiveKind::Finished,
            "deadline" => ObjectiveKind::Deadline,
            "guarantee" => ObjectiveKind::Guarantee,
            _ => ObjectiveKind::Other,
        }
    }
}
