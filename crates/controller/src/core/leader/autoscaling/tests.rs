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

// Lists lag. A list that still names a machine that was just terminated must not add it
// again: such a machine counted as booting, and for minutes no machine was provisioned for
// the work that it seemed to have room for.
#[test]
fn stale_list_does_not_restore_terminated_machine() {
    let mut leader = leader();
    leader.handle_cloud_reply(
        &mut effects_at(1.0),
        CloudCall::List,
        None,
        list(&["host-1", "host-2"]),
    );
    assert_eq!(leader.cluster.machines.len(), 2);
    let termination = CloudCall::Terminate(vec!["host-1".into()]);
    leader.handle_cloud_reply(
        &mut effects_at(2.0),
        termination,
        None,
        Reply::Answer(200, Vec::new()),
    );
    leader.handle_cloud_reply(
        &mut effects_at(9.0),
        CloudCall::List,
        None,
        list(&["host-1", "host-2"]),
    );
    let remaining: Vec<_> = leader
        .cluster
        .machines
        .keys()
        .map(|m| m.to_string())
        .collect();
    assert_eq!(remaining, ["host-2"]);
}

// While the cloud keeps taking spot machines back, there is always a machine to terminate.
// When every call was a termination, no machine was provisioned for minutes.
#[test]
fn terminations_alternate_with_other_calls() {
    let mut leader = leader();
    let pool = CapacityPool {
        machine_type: "g4".into(),
        zone: "z0".into(),
        spot: true,
    };
    leader.autoscaler.intents.provision(pool, 3, WallTime(0));
    let mut calls = Vec::new();
    for n in 0..6 {
        let id = MachineId::from(format!("host-{n}"));
        leader
            .cluster
            .register_machine(Time(0), &id, &leader.autoscaler.intents)
            .mark_for_termination("idle");
        leader
            .autoscaler
            .record_terminations(&leader.cluster.machines, WallTime(0));
        for (key, _) in leader.autoscaler.intents.pending_writes.take_puts(9) {
            leader.autoscaler.intents.mark_stored(&key);
        }
        calls.push(
            match leader
                .autoscaler
                .next_call(Time(1), leader.cluster.machine_types.is_empty())
            {
                Some(CloudCall::Terminate(names)) => {
                    leader.autoscaler.intents.mark_termination_requested(&names);
                    leader.autoscaler.intents.mark_terminated(&names, Time(1));
                    names
                        .iter()
                        .for_each(|m| drop(leader.cluster.machines.remove(m)));
                    "release"
                }
                Some(CloudCall::Provision(r)) => {
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
    assert_eq!(calls[..4], ["release", "rent", "release", "list"]);
}

// A leader's provisions and terminations are recorded; without the records they were lost
// when the leader's process ended.
#[test]
fn successor_continues_recorded_intents() {
    let now = Now {
        time: Time(1),
        wall: WallTime(5000),
    };
    let mut predecessor = leader();
    predecessor.autoscaler.intents.provision(
        CapacityPool {
            machine_type: "g4".into(),
            zone: "z0".into(),
            spot: true,
        },
        3,
        WallTime(0),
    );
    predecessor
        .cluster
        .register_machine(Time(0), &"host-1".into(), &predecessor.autoscaler.intents)
        .mark_for_termination("idle");
    predecessor
        .autoscaler
        .record_terminations(&predecessor.cluster.machines, WallTime(0));
    assert!(
        predecessor
            .autoscaler
            .next_call(Time(1), false)
            .is_some_and(|c| matches!(c, CloudCall::List))
    );
    let stored = predecessor.autoscaler.intents.pending_writes.take_puts(9);
    let mut successor = leader();
    let entries = stored.into_iter().map(|(key, value)| wire::kvstore::Entry {
        key,
        value,
        version: crate::types::Version(7),
    });
    successor
        .record_parts()
        .context
        .load_leader_records(now, entries.collect());
    // The successor starts nothing on the machine, even if the machine is registered again.
    assert_eq!(
        successor
            .cluster
            .register_machine(Time(2), &"host-1".into(), &successor.autoscaler.intents)
            .lifecycle,
        MachineLifecycle::Terminating
    );
    let Some(CloudCall::Terminate(names)) = successor
        .autoscaler
        .next_call(Time(2), successor.cluster.machine_types.is_empty())
    else {
        panic!("the termination is not requested")
    };
    successor.handle_cloud_reply(
        &mut effects_at(2.0),
        CloudCall::Terminate(names),
        None,
        Reply::Answer(200, Vec::new()),
    );
    successor.handle_cloud_reply(
        &mut effects_at(2.0),
        CloudCall::List,
        None,
        list(&["host-1"]),
    );
    assert!(
        successor.cluster.machines.is_empty(),
        "a stale list restored the machine"
    );
    let Some(CloudCall::Provision(provision)) = successor
        .autoscaler
        .next_call(Time(3), successor.cluster.machine_types.is_empty())
    else {
        panic!("the provision is not repeated")
    };
    assert_eq!((provision.request.as_str(), provision.count), ("5-1", 3));
}

// Only status 200 proves that terminated machines are gone. A 400 was once taken as proof
// too, but a peer that forwards the call may answer 400 or 404 without calling the cloud.
#[test]
fn refused_termination_keeps_machine() {
    for (status, via) in [(400, None), (400, Some("node-1")), (404, Some("node-1"))] {
        let mut leader = leader();
        let id = MachineId::from("host-1");
        leader
            .cluster
            .register_machine(Time(0), &id, &leader.autoscaler.intents)
            .mark_for_termination("idle");
        let call = CloudCall::Terminate(vec![id.clone()]);
        let reply = Reply::Answer(status, Vec::new());
        leader.handle_cloud_reply(&mut effects_at(2.0), call, via.map(NodeId::from), reply);
        assert!(
            leader.cluster.machines.contains_key(&id),
            "{status} via {via:?}"
        );
        assert!(!leader.autoscaler.intents.is_terminated(&id));
    }
}
