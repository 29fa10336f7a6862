//! One module a case.

pub mod agent;
pub mod limits;
pub mod mark;

use crate::wire::{V, map, t};

/// `lease_s` of casa-segura.
pub const LEASE_S: f64 = 1e1;

/// Objectives of the kinds that the deploy page shows.
pub fn objective(kind: &str, class: &str, within_s: f64, share: f64) -> V {
    let mut o = vec![
        ("kind", t(kind)),
        ("within_s", V::Num(within_s)),
        ("share", V::Num(share)),
    ];
    if !class.is_empty() {
        o.insert(1, ("class", t(class)));
    }
    map(o)
}

pub fn team(name: &str, gpus: f64, gpus_max: f64) -> V {
    map(vec![
        ("name", t(name)),
        ("cpus", V::Num(0.0)),
        ("cpus_max", V::Num(0.0)),
        ("gpus", V::Num(gpus)),
        ("gpus_max", V::Num(gpus_max)),
    ])
}

/// Settings of a deployment like casa-segura: three controllers, four zones.
pub fn settings(zones: &[&str], teams: Vec<V>, objectives: Vec<V>, state: Vec<(&str, V)>) -> V {
    map(vec![
        ("size", V::Int(3)),
        ("zones", V::List(zones.iter().map(|z| t(*z)).collect())),
        ("teams", V::List(teams)),
        ("objectives", V::List(objectives)),
        (
            "workers",
            map(vec![
                ("report_s", V::Num(1.0)),
                ("lease_s", V::Num(LEASE_S)),
                ("gang_wait_s", V::Num(30.0)),
                ("gang_peer_s", V::Num(8.0)),
                ("cancel_s", V::Num(40.0)),
            ]),
        ),
        ("state", map(state)),
        (
            "cloud",
            map(vec![("rps", V::Num(6.0)), ("list_lag_s", V::Num(4.0))]),
        ),
        (
            "quota",
            map(vec![
                ("core_share", V::Num(0.12)),
                ("ram_mb", V::Num(56.0)),
                ("max_sockets", V::Int(900)),
            ]),
        ),
        ("clock_error_ms", V::Num(1000.0)),
    ])
}

/// The machine type of casa-segura's site files.
pub fn pampa_node(zones: &[&str]) -> V {
    let kind = map(vec![
        ("sku", t("pampa-node")),
        ("vcpus", V::Num(32.0)),
        ("accelerators", V::Num(4.0)),
        ("memory_gb", V::Num(192.0)),
        ("cache_gb", V::Num(80.0)),
        ("fetch_gb_per_s", V::Num(0.6)),
        ("rate", V::Num(1074.0 / 100.0)),
        ("low_price", V::Num(2.64)),
        ("startup_s", V::Num(25.0)),
        ("yards", V::List(zones.iter().map(|z| t(*z)).collect())),
    ]);
    map(vec![("kinds_of_box", V::List(vec![kind]))])
}

/// What each task of a job takes: vcpus, accelerators, memory_gb.
pub type Needs = [f64; 3];

#[allow(clippy::too_many_arguments)]
pub fn submission(
    id: &str,
    lane: &str,
    crew: &str,
    shape: &str,
    urgency: &str,
    pieces: i64,
    needs: Needs,
    image: (&str, f64),
    same_place: bool,
    run_s: f64,
) -> V {
    map(vec![
        ("ref", t(id)),
        ("lane", t(lane)),
        ("crew", t(crew)),
        ("shape", t(shape)),
        ("urgency", t(urgency)),
        ("pieces", V::Int(pieces)),
        ("vcpus", V::Num(needs[0])),
        ("accelerators", V::Num(needs[1])),
        ("memory_gb", V::Num(needs[2])),
        ("bundle", t(image.0)),
        ("size_gb", V::Num(image.1)),
        ("kinds_of_box", V::Null),
        ("yard", V::Null),
        ("same_place", V::Bool(same_place)),
        ("scatter", V::Bool(false)),
        ("borrowed", V::Bool(true)),
        ("guess_s", V::Num(run_s)),
        ("snapshot_every_s", V::Num(0.0)),
        ("snapshot_s", V::Num(0.0)),
        ("due_s", V::Null),
    ])
}
