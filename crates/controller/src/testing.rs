//! Fixtures for tests.

use crate::core::Now;
use crate::core::effects::Effects;
use crate::core::format_version::{UNVERSIONED, member_versions};
use crate::core::leader::{Leader, LeaderTerm};
use crate::policy::{DEFAULT_SCRIPT, Policy};
use crate::settings::Settings;
use crate::types::{FencingToken, Time, TimeSpan, WallTime};
use crate::wire::cloud::{MachineType, MachineTypes};
use crate::wire::users::{JobShape, Priority, Submission};
use std::rc::Rc;

/// Settings of controller `n` of three, each in a separate zone.
pub fn settings(n: u32) -> Settings {
    cluster_settings(n, 3, 3)
}

/// Settings of controller `n` (from 0) of `nodes` controllers in `zones` zones.
pub fn cluster_settings(n: u32, nodes: u32, zones: u32) -> Settings {
    let zone = |i: u32| format!("z{}", i % zones);
    let node = |i: u32| {
        serde_json::json!({"label": format!("node-{i}"), "zone": zone(i),
            "endpoint": format!("10.0.0.{}:8081", i + 1)})
    };
    let peers: Vec<_> = (0..nodes).filter(|&i| i != n).map(node).collect();
    let team = |name: &str, gpus: f64, max_gpus: f64| serde_json::json!({"name": name, "gpus": gpus, "gpus_max": max_gpus});
    let text = serde_json::json!({
        "label": format!("node-{n}"), "zone": zone(n),
        "api_addr": format!("10.0.0.{}:8080", n + 1), "internal_addr": format!("10.0.0.{}:8081", n + 1),
        "peers": peers, "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "settings": {
            "size": nodes, "zones": (0..zones).map(zone).collect::<Vec<_>>(),
            "teams": [team("red", 16.0, 40.0), team("blue", 16.0, 32.0)],
            "objectives": [{"kind": "wait", "class": "urgent", "within_s": 18.0, "share": 0.9}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 40.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 48},
            "cloud": {"rps": 6.0, "list_lag_s": 4.0},
            "quota": {"core_share": 0.1, "ram_mb": 56.0, "max_sockets": 900},
            "clock_error_ms": 1000.0
        }
    });
    Settings::parse(&text.to_string()).expect("the fixture is valid")
}

/// Effects at `secs` seconds of the controller's monotonic clock.
pub fn effects_at(secs: f64) -> Effects {
    let mut effects = Effects::new(&settings(0), 1);
    effects.now = Now {
        time: Time(0) + TimeSpan::secs(secs),
        wall: WallTime(0),
    };
    effects
}

/// A machine type with four GPUs.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "g4".into(),
        cpus: 16.0,
        gpus: 4.0,
        memory_gb: 128.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 2.0,
        price: 4.0,
        spot_price: 1.0,
        boot_s: 10.0,
        zones: (0..3).map(|z| format!("z{z}").into()).collect(),
    }
}

/// A leader that was just elected under token 5 and has the machine type.
pub fn leader() -> Leader {
    let settings = Rc::new(settings(0));
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).expect("the default is valid");
    let kinds = vec![machine_type()];
    let types = MachineTypes { kinds };
    let term = LeaderTerm {
        leader_key: member_versions::LEGACY_LEADER_KEY,
        token: FencingToken(5),
        lease_id: 1,
        format_version: UNVERSIONED,
    };
    Leader::new(settings, Rc::new(policy), term, Time(0), &types)
}

/// A job of tasks with one GPU each.
pub fn submission(id: &str, shape: JobShape, tasks: u32) -> Submission {
    Submission {
        id: id.into(),
        class: "urgent".into(),
        team: "red".into(),
        shape,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 16.0,
        image: "img-0".into(),
        image_gb: 6.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 30.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}
