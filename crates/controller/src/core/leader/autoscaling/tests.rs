use super::*;
use crate::core::autoscaler::intents::CapacityPool;
use crate::testing::{effects_at, leader};
use crate::types::WallTime;
use crate::wire::cloud::ListedMachine;

fn list(names: &[&str]) -> Reply {
    let machines = names.iter().map(|n| ListedMachine {
        id: (*n).into(),
        addr: "10.1.0.1:9000".into(),
        kind: "g4".into(),
        zone: "z0".into(),
        spot: false,
        stage: MachineStage::Running,
        age_s: 60.0,
    });
    let list = MachineList {
        machines: machines.collect(),
        more: false,
    };
    Reply::Answer(200, wire::encode(&list))
}

// Lists lag: one that still had a machine just released once brought it
// back as a machine that never came up, and for minutes nothing was rented
// for work that this phantom seemed to have room for.
#[test]
fn stale_list_does_not_bring_back_released_machine() {
    let mut leader = leader();
    leader.handle_cloud_reply(
        &mut effects_at(1.0),
        CloudCall::List,
        None,
        list(&["host-1", "host-2"]),
    );
    assert_eq!(leader.cluster.machines.len(), 2);
    let release = CloudCall::Release(vec!["host-1".into()]);
    leader.handle_cloud_reply(
        &mut effects_at(2.0),
        release,
        None,
        Reply::Answer(200, Vec::new()),
    );
    leader.handle_cloud_reply(
        &mut effects_at(9.0),
        CloudCall::List,
        None,
        list(&["host-1", "host-2"]),
    );
    let left: Vec<_> = leader
        .cluster
        .machines
        .keys()
        .map(|m| m.to_string())
        .collect();
    assert_eq!(left, ["host-2"]);
}

// While spot machines were taken back all the time every call to the cloud
// was a release, and for minutes nothing was rented.
#[test]
fn releases_alternate_with_other_calls() {
    let mut leader = leader();
    let pool = CapacityPool {
        machine_type: "g4".into(),
        zone: "z0".into(),
        spot: true,
    };
    leader.autoscaler.intents.provision(pool, 3, WallTime(0));
    let mut made = Vec::new();
    for n in 0..6 {
        let id = MachineId::from(format!("host-{n}"));
        leader
            .cluster
            .register_machine(Time(0), &id, &leader.autoscaler.intents)
            .mark_for_termination("idle");
        leader
            .autoscaler
            .record_releases(&leader.cluster.machines, WallTime(0));
        for (key, _) in leader.autoscaler.intents.pending_writes.take_puts(9) {
            leader.autoscaler.intents.mark_stored(&key);
        }
        made.push(
            match leader
                .autoscaler
                .next_call(Time(1), leader.cluster.machine_types.is_empty())
            {
                Some(CloudCall::Release(names)) => {
                    leader.autoscaler.intents.mark_termination_requested(&names);
                    leader.autoscaler.intents.mark_terminated(&names, Time(1));
                    names
                        .iter()
                        .for_each(|m| drop(leader.cluster.machines.remove(m)));
                    "release"
                }
                Some(CloudCall::ProvisionRequest(r)) => {
                    leader
                        .autoscaler
                        .intents
                        .mark_fulfilled(&r.request, &[], Time(1));
                    "rent"
                }
                Some(CloudCall::List) => "list",
                _ => "other",
            },
        );
    }
    assert_eq!(made[..4], ["release", "rent", "release", "list"]);
}

// What a leader had under way with the cloud once died with its process.
#[test]
fn successor_continues_recorded_intents() {
    let now = Now {
        time: Time(1),
        wall: WallTime(5000),
    };
    let mut first = leader();
    first.autoscaler.intents.provision(
        CapacityPool {
            machine_type: "g4".into(),
            zone: "z0".into(),
            spot: true,
        },
        3,
        WallTime(0),
    );
    first
        .cluster
        .register_machine(Time(0), &"host-1".into(), &first.autoscaler.intents)
        .mark_for_termination("idle");
    first
        .autoscaler
        .record_releases(&first.cluster.machines, WallTime(0));
    assert!(
        first
            .autoscaler
            .next_call(Time(1), false)
            .is_some_and(|c| matches!(c, CloudCall::List))
    );
    let stored = first.autoscaler.intents.pending_writes.take_puts(9);
    let mut next = leader();
    let entries = stored.into_iter().map(|(key, value)| wire::kvstore::Entry {
        key,
        value,
        version: crate::types::Version(7),
    });
    next.records()
        .context
        .load_leader_records(now, entries.collect());
    // It starts nothing there, whatever brings the machine up again.
    assert_eq!(
        next.cluster
            .register_machine(Time(2), &"host-1".into(), &next.autoscaler.intents)
            .lifecycle,
        MachineLifecycle::Terminating
    );
    let Some(CloudCall::Release(names)) = next
        .autoscaler
        .next_call(Time(2), next.cluster.machine_types.is_empty())
    else {
        panic!("the release is not asked for")
    };
    next.handle_cloud_reply(
        &mut effects_at(2.0),
        CloudCall::Release(names),
        None,
        Reply::Answer(200, Vec::new()),
    );
    next.handle_cloud_reply(
        &mut effects_at(2.0),
        CloudCall::List,
        None,
        list(&["host-1"]),
    );
    assert!(
        next.cluster.machines.is_empty(),
        "a late list brought it back"
    );
    let Some(CloudCall::ProvisionRequest(rent)) = next
        .autoscaler
        .next_call(Time(3), next.cluster.machine_types.is_empty())
    else {
        panic!("the hire is not repeated")
    };
    assert_eq!((rent.request.as_str(), rent.count), ("5-1", 3));
}

// Only 200 proves that released machines are gone. A 400 once did too, and a
// peer that calls for us may give one, or a 404, of its own.
#[test]
fn refused_release_keeps_machine() {
    for (status, by) in [(400, None), (400, Some("node-1")), (404, Some("node-1"))] {
        let mut leader = leader();
        let id = MachineId::from("host-1");
        leader
            .cluster
            .register_machine(Time(0), &id, &leader.autoscaler.intents)
            .mark_for_termination("idle");
        let call = CloudCall::Release(vec![id.clone()]);
        let reply = Reply::Answer(status, Vec::new());
        leader.handle_cloud_reply(&mut effects_at(2.0), call, by.map(NodeId::from), reply);
        assert!(
            leader.cluster.machines.contains_key(&id),
            "{status} by {by:?}"
        );
        assert!(!leader.autoscaler.intents.is_terminated(&id));
    }
}
