//! Checks the raw settings file and converts it into typed settings. Only the first
//! invalid field is reported.

use super::raw::{
    RawFile, RawNextState, RawObjective, RawPeer, RawSettings, RawState, RawTeam, RawWorkers,
};
use super::{
    InvalidValue, Objective, ObjectiveKind, Peer, Settings, SettingsError, StateLimits, TeamShare,
    WorkerTimes,
};
use crate::types::{Class, Team, TimeSpan};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Minimum of the setting for the operations in one transaction.
const MIN_TXN_OPS: u32 = 8;
/// Minimum of the setting for open sockets: an eighth of them, at least four, are for the
/// internal listener.
const MIN_SOCKETS: u32 = 32;
/// Minimum of the setting for the size of a value, in KiB: the records that cannot be divided
/// are smaller.
const MIN_VALUE_KB: u32 = 1;
const BYTES_PER_KB: f64 = 1024.0;
const MS_PER_SECOND: f64 = 1000.0;

impl TryFrom<RawFile> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawFile) -> Result<Settings, SettingsError> {
        if raw.node_id.is_empty() {
            return Err(InvalidValue::Empty.for_field("label"));
        }
        let peers = peers(&raw.node_id, &raw.peers)?;
        let settings = &raw.settings;
        if settings.size == 0 {
            return Err(InvalidValue::TooSmall(1).for_field("settings.size"));
        }
        if settings.zones.is_empty() {
            return Err(InvalidValue::NoZone.for_field("settings.zones"));
        }
        let teams = teams(&settings.teams)?;
        check_limits(settings)?;
        let workers = worker_times(&settings.workers)?;
        let objectives = objectives(&settings.objectives)?;
        let limits = state_limits(&settings.state)?;
        let next_limits = settings.state.next.as_ref();
        Ok(Settings {
            node_id: raw.node_id.as_str().into(),
            zone: raw.zone.as_str().into(),
            api_addr: parse_address("api_addr", &raw.api_addr)?,
            internal_addr: parse_address("internal_addr", &raw.internal_addr)?,
            peers,
            cloud: parse_address("services.cloud", &raw.services.cloud)?,
            state: parse_address("services.state", &raw.services.state)?,
            size: settings.size,
            zones: settings.zones.iter().map(|z| z.as_str().into()).collect(),
            teams,
            objectives,
            workers,
            state_limits: limits,
            next_state_limits: next_limits
                .map(|next| next_state_limits(limits, next))
                .transpose()?,
            cloud_rps: require_positive("settings.cloud.rps", settings.cloud.rps)?,
            list_lag: positive_seconds("settings.cloud.list_lag_s", settings.cloud.list_lag_s)?,
            max_sockets: settings.quota.max_sockets,
            clock_error: TimeSpan::secs(settings.clock_error_ms / MS_PER_SECOND),
        })
    }
}

fn require_positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        Err(InvalidValue::NotPositive(value).for_field(field))
    }
}

fn check_not_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(InvalidValue::Negative.for_field(field))
    }
}

fn positive_seconds(field: &str, value: f64) -> Result<TimeSpan, SettingsError> {
    require_positive(field, value).map(TimeSpan::secs)
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .map_err(|_| InvalidValue::NotAnAddress(text.into()).for_field(field))
}

fn peers(own_id: &str, raw: &[RawPeer]) -> Result<Vec<Peer>, SettingsError> {
    let mut peers: Vec<Peer> = Vec::new();
    for peer in raw {
        let is_duplicate = peers.iter().any(|p| p.node_id.as_str() == peer.node_id);
        if peer.node_id == own_id || is_duplicate {
            return Err(InvalidValue::DuplicateName(peer.node_id.clone()).for_field("peers"));
        }
        let field = format!("peers.{}.endpoint", peer.node_id);
        peers.push(Peer {
            node_id: peer.node_id.as_str().into(),
            zone: peer.zone.as_str().into(),
            addr: parse_address(&field, &peer.endpoint)?,
        });
    }
    Ok(peers)
}

fn teams(raw: &[RawTeam]) -> Result<BTreeMap<Team, TeamShare>, SettingsError> {
    let mut teams = BTreeMap::new();
    for team in raw {
        let name = Team::from(team.name.as_str());
        if teams.insert(name, team_share(team)?).is_some() {
            return Err(InvalidValue::DuplicateName(team.name.clone()).for_field("settings.teams"));
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
            Err(InvalidValue::BadAmount(value).for_field(field(name)))
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
            return Err(
                InvalidValue::GuaranteeAboveLimit { guarantee, limit }.for_field(field(name))
            );
        }
    }
    Ok(share)
}

fn check_limits(settings: &RawSettings) -> Result<(), SettingsError> {
    if settings.quota.max_sockets < MIN_SOCKETS {
        return Err(InvalidValue::TooSmall(MIN_SOCKETS).for_field("settings.quota.max_sockets"));
    }
    check_not_negative("settings.clock_error_ms", settings.clock_error_ms)?;
    check_not_negative("settings.quota.core_share", settings.quota.core_share)?;
    check_not_negative("settings.quota.ram_mb", settings.quota.ram_mb)
}

fn worker_times(raw: &RawWorkers) -> Result<WorkerTimes, SettingsError> {
    let times = WorkerTimes {
        report: positive_seconds("settings.workers.report_s", raw.report_s)?,
        lease: positive_seconds("settings.workers.lease_s", raw.lease_s)?,
        gang_wait: positive_seconds("settings.workers.gang_wait_s", raw.gang_wait_s)?,
        gang_peer: positive_seconds("settings.workers.gang_peer_s", raw.gang_peer_s)?,
        cancel: positive_seconds("settings.workers.cancel_s", raw.cancel_s)?,
    };
    if times.report >= times.lease {
        return Err(InvalidValue::NotBelowLease.for_field("settings.workers.report_s"));
    }
    Ok(times)
}

fn state_limits(raw: &RawState) -> Result<StateLimits, SettingsError> {
    Ok(StateLimits {
        rps: require_positive("settings.state.rps", raw.rps)?,
        write_rps: require_positive("settings.state.write_rps", raw.write_rps)?,
        value_bytes: value_bytes("settings.state.value_kb", raw.value_kb)?,
        txn_ops: txn_ops("settings.state.txn_ops", raw.txn_ops)?,
    })
}

/// The announced limits; those that are not announced stay as they are.
fn next_state_limits(
    current: StateLimits,
    raw: &RawNextState,
) -> Result<StateLimits, SettingsError> {
    let mut next = current;
    if let Some(rps) = raw.rps {
        next.rps = require_positive("settings.state.next.rps", rps)?;
    }
    if let Some(write_rps) = raw.write_rps {
        next.write_rps = require_positive("settings.state.next.write_rps", write_rps)?;
    }
    if let Some(value_kb) = raw.value_kb {
        next.value_bytes = value_bytes("settings.state.next.value_kb", value_kb)?;
    }
    if let Some(operations) = raw.txn_ops {
        next.txn_ops = txn_ops("settings.state.next.txn_ops", operations)?;
    }
    Ok(next)
}

fn value_bytes(field: &str, kilobytes: f64) -> Result<usize, SettingsError> {
    if require_positive(field, kilobytes)? < f64::from(MIN_VALUE_KB) {
        return Err(InvalidValue::TooSmall(MIN_VALUE_KB).for_field(field));
    }
    Ok((kilobytes * BYTES_PER_KB) as usize)
}

fn txn_ops(field: &str, operations: u32) -> Result<usize, SettingsError> {
    if operations < MIN_TXN_OPS {
        return Err(InvalidValue::TooSmall(MIN_TXN_OPS).for_field(field));
    }
    Ok(operations as usize)
}

fn objectives(raw: &[RawObjective]) -> Result<Vec<Objective>, SettingsError> {
    let numbered = raw.iter().enumerate();
    numbered.map(|(index, raw)| objective(index, raw)).collect()
}

fn objective(index: usize, raw: &RawObjective) -> Result<Objective, SettingsError> {
    let field = |name: &str| format!("settings.objectives.{index}.{name}");
    let within = match raw.within_s {
        Some(value) => Some(positive_seconds(&field("within_s"), value)?),
        None => None,
    };
    let times = match raw.times {
        Some(value) => require_positive(&field("times"), value)?,
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
