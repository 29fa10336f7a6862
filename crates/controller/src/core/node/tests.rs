use super::*;
use crate::core::election::ElectionOutcome;
use crate::core::{CallId, Output, Reply, job_records};
use crate::policy::DEFAULT_SCRIPT;
use crate::testing;
use crate::types::{Image, JobId};
use crate::wire;
use crate::wire::cloud::MachineType;
use crate::wire::kvstore::{Operation, Transaction, TransactionResponse};
use crate::wire::peers::PeerHeartbeat;

// Controllers that restarted during a store outage reported not ready for all of it, and
// the load balancer left them out for seconds to a minute after its end.
#[test]
fn is_ready_unless_a_peer_serves_better() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    assert!(node.is_ready(), "no peer is known");
    let peer = |state_ok| PeerHeartbeat {
        node_id: "node-1".into(),
        token: FencingToken(0),
        leads: false,
        loaded: false,
        cancelled: Vec::new(),
        state_ok,
        is_overloaded: false,
        effort_us: 0,
        levels: None,
        counts: Vec::new(),
        caches: Vec::new(),
        fetches: Vec::new(),
    };
    node.record_peer_heartbeat(peer(false));
    assert!(node.is_ready(), "the outage affects all controllers");
    node.record_peer_heartbeat(peer(true));
    assert!(!node.is_ready(), "a peer reaches the key-value store");
    node.election.last_contact = Some(Time(0));
    assert!(node.is_ready());
    node.self_health.is_overloaded = true;
    assert!(node.is_ready(), "an overloaded follower stays ready");
    node.leader = Some(testing::leader());
    assert!(!node.is_ready(), "an overloaded leader does not");
    node.record_peer_heartbeat(peer(false));
    assert!(node.is_ready(), "unless no peer is better");
    // A follower with a slow processor stayed ready, and its users waited for slow
    // answers.
    node.leader = None;
    node.self_health.is_slow = true;
    node.record_peer_heartbeat(peer(true));
    assert!(!node.is_ready(), "a slow follower sheds users to peers");
    node.record_peer_heartbeat(PeerHeartbeat {
        is_overloaded: true,
        ..peer(true)
    });
    assert!(node.is_ready(), "only to peers with spare processor time");
}

// A restart of the leader's process left a gap without a leader for the length of a
// lease.
#[test]
fn shutdown_transfers_leadership_before_exit() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    let at = |node: &mut Node, secs: f64, input: Input| {
        let now = testing::effects_at(secs).now;
        let outputs = node.handle(now, input).into_iter();
        let transfers = outputs.filter(|o| matches!(o, Output::Call(c) if c.path == "/take"));
        transfers.count()
    };
    at(&mut node, 5.0, Input::Tick);
    node.handle_election_outcome(ElectionOutcome::Elected {
        token: FencingToken(5),
        lease: 3,
    });
    let eligible_peer = || PeerView {
        last_heartbeat: Time(5_000_000),
        token: FencingToken(5),
        is_leader: false,
        leader_is_loaded: true,
        store_reachable: true,
        is_overloaded: false,
        calibration_us: 0,
    };
    for node_id in ["node-1", "node-2"] {
        node.peers.insert(node_id.into(), eligible_peer());
    }
    assert_eq!(at(&mut node, 5.1, Input::Tick), 0);
    assert_eq!(at(&mut node, 5.2, Input::Shutdown), 0);
    assert_eq!(at(&mut node, 5.25, Input::Tick), 1);
    assert_eq!(
        at(&mut node, 5.3, Input::Tick),
        0,
        "a single transfer request is sent"
    );
    assert!(
        node.token().is_some() && !node.is_ready(),
        "it leads until the key is claimed"
    );
    at(&mut node, 6.0, Input::Tick);
    assert!(!node.may_exit());
    node.end_leadership(LeadershipOutcome::Deposed(FencingToken(9)));
    assert!(
        !node.may_exit(),
        "the load balancer needs time to drain users"
    );
    at(&mut node, 7.8, Input::Tick);
    assert!(node.may_exit());
}

// The lease's renewals run outside the controller. If the call that releases a lease was
// lost, renewals of a leader that had stepped down would have kept the key from all other
// controllers.
#[test]
fn stepping_down_ends_lease_renewals() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    node.effects.now.time = Time(5_000_000);
    node.handle_election_outcome(ElectionOutcome::Elected {
        token: FencingToken(5),
        lease: 3,
    });
    let last_keep_alive = |node: &mut Node| {
        let outputs = node.effects.take_outputs().into_iter();
        outputs
            .filter_map(|output| match output {
                Output::LeaseKeepAlive(keep_alive) => Some((keep_alive.lease, keep_alive.until)),
                _ => None,
            })
            .next_back()
    };
    assert!(
        last_keep_alive(&mut node)
            .is_some_and(|(lease, until)| lease == 3 && until > node.effects.now.time)
    );
    node.end_leadership(LeadershipOutcome::StepDown("for a test"));
    assert_eq!(last_keep_alive(&mut node), Some((3, node.effects.now.time)));
}

// A leader whose process restarted within its lease led on without any cache hints.
#[test]
fn restarted_leader_gets_cache_hints_back_from_peers() {
    let node = |n| {
        let settings = testing::settings(n);
        let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
        Node::new(settings, policy, 1)
    };
    let (mut leader, mut peer) = (node(0), node(1));
    let id = MachineId::from("host-1");
    let images = vec![(Image::from("img"), 5.0)];
    let fetches = vec![(Image::from("img"), 9000)];
    peer.cache_hints.record(
        Time(1),
        FencingToken(4),
        vec![(id.clone(), images)],
        fetches,
    );
    leader.leader = Some(testing::leader());
    let heartbeat = wire::encode(&leader.own_heartbeat(Vec::new()));
    peer.handle_peer_heartbeat(RequestId(1), &heartbeat);
    let Some(Output::Answer(_, answer)) = peer.effects.take_outputs().pop() else {
        panic!("no answer");
    };
    let answer: PeerHeartbeat = wire::decode(&answer.body).unwrap();
    assert_eq!(answer.caches.len(), 1);
    leader.record_peer_heartbeat(answer);
    leader.send_peer_heartbeats();
    assert!(
        !leader.tracks_machine(&id),
        "a hint does not add a removed machine"
    );
    let state = leader.leader.as_mut().unwrap();
    state
        .cluster
        .register_machine(Time(2), &id, &state.autoscaler.intents);
    leader.send_peer_heartbeats();
    let state = leader.leader.as_ref().unwrap();
    assert_eq!(state.cluster.machines[&id].cache.images().count(), 1);
    let fetch_time = state
        .cluster
        .fetch_estimates
        .estimate(&"img".into(), 5.0, None);
    assert_eq!(fetch_time, TimeSpan::secs(9.0));
}

// While one peer was down, the leader restarted its broadcast every second, and the other
// peers never received more than the first machines.
#[test]
fn unreachable_peer_does_not_restart_broadcast_to_others() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    let mut leader = testing::leader();
    for n in 0..1000 {
        let images = [(Image::from("img"), 5.0)];
        leader.inherit_cache(Time(0), &format!("host-{n:04}").into(), &images);
    }
    node.leader = Some(leader);
    let mut received = BTreeSet::new();
    for _ in 0..20 {
        node.send_peer_heartbeats();
        for output in node.effects.take_outputs() {
            let Output::Call(call) = output else { continue };
            let Some(PendingCall::PeerHeartbeat(node_id)) = node.pending_calls.take(call.id) else {
                continue;
            };
            let reply = if node_id.as_str() == "node-1" {
                let heartbeat: PeerHeartbeat = wire::decode(&call.body).unwrap();
                received.extend(heartbeat.caches.into_iter().map(|(id, _)| id));
                let mut answer = node.own_heartbeat(Vec::new());
                answer.node_id = node_id.clone();
                (answer.token, answer.leads) = (FencingToken(0), false);
                Reply::Answer(200, wire::encode(&answer))
            } else {
                Reply::OutcomeUnknown
            };
            node.handle_peer_heartbeat_reply(node_id, &reply);
        }
    }
    assert_eq!(received.len(), 1000);
}

// A successor whose load of records an outage had interrupted deposed the old leader with
// its first heartbeat. No controller answered the agents then, for as long as the outage
// lasted.
#[test]
fn leader_yields_to_successor_once_it_has_loaded() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    node.effects.now.time = Time(5_000_000);
    node.leader = Some(testing::leader());
    let heartbeat_from = |node_id: &str, leads, loaded| PeerHeartbeat {
        node_id: node_id.into(),
        token: FencingToken(9),
        leads,
        loaded,
        cancelled: Vec::new(),
        state_ok: true,
        is_overloaded: false,
        effort_us: 0,
        levels: None,
        counts: Vec::new(),
        caches: Vec::new(),
        fetches: Vec::new(),
    };
    node.record_peer_heartbeat(heartbeat_from("node-1", true, false));
    node.record_peer_heartbeat(heartbeat_from("node-2", false, false));
    assert!(node.leader.is_some());
    // Agents that contact a third controller are redirected to the leader that answers
    // agents.
    let settings = testing::settings(2);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut third = Node::new(settings, policy, 1);
    third.effects.now.time = Time(5_000_000);
    let old_leader = PeerHeartbeat {
        token: FencingToken(5),
        ..heartbeat_from("node-0", true, true)
    };
    third.record_peer_heartbeat(old_leader);
    third.record_peer_heartbeat(heartbeat_from("node-1", true, false));
    assert_eq!(third.known_leader().map(|(l, _)| l), Some("node-0".into()));
    third.record_peer_heartbeat(heartbeat_from("node-1", true, true));
    assert_eq!(third.known_leader().map(|(l, _)| l), Some("node-1".into()));
    // The third controller's heartbeat reports the loaded successor too, when the
    // successor itself cannot reach the old leader.
    third.election.leader = Some(("node-1".into(), FencingToken(9)));
    let third_heartbeat = third.own_heartbeat(Vec::new());
    assert!(third_heartbeat.loaded && third_heartbeat.token == FencingToken(9));
    node.record_peer_heartbeat(third_heartbeat);
    assert!(node.leader.is_none());
}

// A leader that was partitioned from the key-value store and its peers, but not from
// users, reported ready, and each user sent to it waited in vain.
#[test]
fn isolated_controller_is_not_ready() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    let tick = |node: &mut Node, secs: f64| {
        node.handle(testing::effects_at(secs).now, Input::Tick);
        node.is_ready()
    };
    assert!(tick(&mut node, 5.0), "the process has just started");
    assert!(tick(&mut node, 9.9));
    assert!(
        !tick(&mut node, 10.1),
        "no store answer and no peer for 5 s"
    );
    // In a store outage the store answers with refusals, and the outage affects all
    // controllers.
    node.last_store_answer = Some(Time(10_000_000));
    assert!(tick(&mut node, 10.2));
}

// A controller that confirmed a cancellation announces it to the leader, which stops the
// job even if it cannot read the record. If a later read shows that the job is not
// cancelled after all, the leader resumes the job.
#[test]
fn announced_cancellation_deletes_nothing_without_a_read() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    node.effects.now.time = Time(5_000_000);
    let id = JobId::from("wk-1");
    node.job_api.confirmed_cancellations.push(id.clone());
    node.announce_cancellations();
    assert!(node.peer_heartbeat_due <= Time(5_000_000));
    let announcing = node.own_heartbeat(Vec::new());
    assert_eq!(announcing.cancelled, ["wk-1".into()]);
    let mut leader = testing::leader();
    let spec = testing::submission("wk-1", wire::users::JobShape::Array, 1);
    let wall = crate::types::WallTime(0);
    let job = job_records::Job::new(Rc::new(spec), wall, crate::types::Version(7), 1);
    leader.cluster.jobs.insert(id.clone(), job);
    leader.authority.record_load_page(Time(0));
    leader.authority.record_load_complete(Time(0));
    leader.record_peer_cancellation(Time(5_000_000), &id);
    assert!(leader.authority.is_reported_cancelled(&id));
    let job = &leader.cluster.jobs[&id];
    assert!(job.is_open() && !leader.cluster.unwritten.jobs_to_delete.contains(&id));
    let no_changes = wire::kvstore::WatchResponse {
        revision: crate::types::Version(9),
        events: Vec::new(),
    };
    let reply = Reply::Answer(200, wire::encode(&no_changes));
    leader.handle_read_reply(&mut testing::effects_at(6.0), Time(5_500_000), reply);
    assert!(
        !leader.authority.is_reported_cancelled(&id),
        "the job resumes"
    );
}

/// The transaction that a node commits, with its call. Takes all outputs.
fn take_commit(node: &mut Node) -> Option<(CallId, Transaction)> {
    node.effects.take_outputs().into_iter().find_map(|output| {
        let Output::Call(call) = output else {
            return None;
        };
        let transaction = wire::decode(&call.body);
        transaction.map(|transaction| (call.id, transaction))
    })
}

// The copy of the machine types was refused for its size and not written again, so
// controllers that started during an outage of the cloud rejected every submission.
#[test]
fn refused_machine_types_are_stored_in_smaller_values() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    node.leader = Some(testing::leader());
    let machine_type = |n: u32| MachineType {
        name: format!("type-{n}").as_str().into(),
        ..testing::machine_type()
    };
    let types = MachineTypes {
        kinds: (0..20).map(machine_type).collect(),
    };
    node.store_machine_types(types.clone());
    let limit = 1024;
    let mut stored = Vec::new();
    for _ in 0..10 {
        let Some((id, transaction)) = take_commit(&mut node) else {
            break;
        };
        let is_too_large = TransactionSize::of(&transaction).largest_value_bytes > limit;
        let response = wire::encode(&TransactionResponse::default());
        let reply = match is_too_large {
            true => Reply::Answer(400, Vec::new()),
            false => Reply::Answer(200, response),
        };
        if !is_too_large {
            stored = transaction.ops;
        }
        node.handle_reply(id, reply);
    }
    let values = stored.iter().filter_map(|op| match op {
        Operation::Put { value, .. } => job_records::read_record::<Vec<MachineType>>(value),
        Operation::Delete { .. } => None,
    });
    let kinds: Vec<MachineType> = values.flatten().collect();
    assert_eq!(kinds, types.kinds, "all are stored, in their order");
    // A shorter list replaces all of it.
    let one = MachineTypes {
        kinds: vec![machine_type(0)],
    };
    node.store_machine_types(one);
    let (_, transaction) = take_commit(&mut node).expect("it is stored");
    let is_delete = |op: &&Operation| matches!(op, Operation::Delete { .. });
    let deleted = transaction.ops.iter().filter(is_delete).count();
    assert_eq!(
        deleted,
        stored.len() - 1,
        "no part of the longer one remains"
    );
}

// A machine type that is larger than any value may be must not be sent without end.
#[test]
fn machine_type_that_fits_no_value_is_not_sent_again() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    node.leader = Some(testing::leader());
    let zones = (0..60).map(|n| format!("zone-{n:020}").as_str().into());
    let machine_type = MachineType {
        zones: zones.collect(),
        ..testing::machine_type()
    };
    let kinds = vec![machine_type];
    node.store_machine_types(MachineTypes { kinds });
    let mut sent = 0;
    while let Some((id, _)) = take_commit(&mut node) {
        sent += 1;
        assert!(sent < 10, "sent again and again");
        node.handle_reply(id, Reply::Answer(400, Vec::new()));
    }
    assert!(sent >= 1);
}
