use super::*;
use crate::core::election::ElectionOutcome;
use crate::core::{Reply, job_records};
use crate::policy::DEFAULT_SCRIPT;
use crate::testing;
use crate::types::{Image, JobId};
use crate::wire;
use crate::wire::peers::PeerHeartbeat;

// Nodes that were started again during an outage said for all of it that they
// were not ready, and were left out for seconds to a minute after its end.
#[test]
fn node_stays_ready_unless_a_peer_would_serve_better() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    assert!(node.is_ready(), "nobody else is known");
    let peer = |state_ok| PeerHeartbeat {
        node_id: "node-1".into(),
        token: FencingToken(0),
        leads: false,
        loaded: false,
        cancelled: Vec::new(),
        state_ok,
        strained: false,
        effort_us: 0,
        levels: None,
        counts: Vec::new(),
        caches: Vec::new(),
        fetches: Vec::new(),
    };
    node.record_peer_heartbeat(peer(false));
    assert!(node.is_ready(), "the outage is everybody's");
    node.record_peer_heartbeat(peer(true));
    assert!(!node.is_ready(), "a peer has the state service");
    node.election.last_contact = Some(Time(0));
    assert!(node.is_ready());
    node.self_health.is_overloaded = true;
    assert!(node.is_ready(), "a follower stays");
    node.leader = Some(testing::leader());
    assert!(!node.is_ready(), "a leader that is behind does not");
    node.record_peer_heartbeat(peer(false));
    assert!(node.is_ready(), "unless nobody is better");
    // A follower with a slow processor kept its users, who waited for it.
    node.leader = None;
    node.self_health.is_slow = true;
    node.record_peer_heartbeat(peer(true));
    assert!(!node.is_ready(), "a slow follower leaves users to others");
    node.record_peer_heartbeat(PeerHeartbeat {
        strained: true,
        ..peer(true)
    });
    assert!(node.is_ready(), "if they have time");
}

// An operator who restarted the leader's process left a gap of a lease.
#[test]
fn shutdown_transfers_leadership_before_exit() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    let at = |node: &mut Node, secs: f64, input: Input| {
        let now = testing::effects_at(secs).now;
        let out = node.handle(now, input).into_iter();
        let takes = out.filter(|o| matches!(o, Output::Call(c) if c.path == "/take"));
        takes.count()
    };
    at(&mut node, 5.0, Input::Tick);
    node.handle_election_outcome(ElectionOutcome::Elected {
        token: FencingToken(5),
        lease: 3,
    });
    let fit = || PeerView {
        last_heard: Time(5_000_000),
        token: FencingToken(5),
        is_leader: false,
        leader_is_loaded: true,
        store_reachable: true,
        is_overloaded: false,
        calibration_us: 0,
    };
    for node_id in ["node-1", "node-2"] {
        node.peers.insert(node_id.into(), fit());
    }
    assert_eq!(at(&mut node, 5.1, Input::Tick), 0);
    assert_eq!(at(&mut node, 5.2, Input::Shutdown), 0);
    assert_eq!(at(&mut node, 5.25, Input::Tick), 1);
    assert_eq!(at(&mut node, 5.3, Input::Tick), 0, "one is told, once");
    assert!(
        node.token().is_some() && !node.is_ready(),
        "no gap meanwhile"
    );
    at(&mut node, 6.0, Input::Tick);
    assert!(!node.may_exit());
    node.end_leadership(LeadershipOutcome::Deposed(FencingToken(9)));
    assert!(!node.may_exit(), "users are still led away");
    at(&mut node, 7.8, Input::Tick);
    assert!(node.may_exit());
}

// Renewals go on by themselves: where the word that a lease is over was lost, a
// leader that had stepped down would have kept the key from all others.
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
    let kept = |node: &mut Node| {
        let out = node.effects.take_outputs().into_iter();
        out.filter_map(|o| match o {
            Output::LeaseKeepAlive(k) => Some((k.lease, k.until)),
            _ => None,
        })
        .next_back()
    };
    assert!(kept(&mut node).is_some_and(|(l, t)| l == 3 && t > node.effects.now.time));
    node.end_leadership(LeadershipOutcome::StepDown("for a test"));
    assert_eq!(kept(&mut node), Some((3, node.effects.now.time)));
}

// A leader whose process was back at once led on without knowing of any image.
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
        !leader.knows_machine(&id),
        "a machine that is gone is not brought back"
    );
    let l = leader.leader.as_mut().unwrap();
    l.cluster
        .register_machine(Time(2), &id, &l.autoscaler.intents);
    leader.send_peer_heartbeats();
    let l = leader.leader.as_ref().unwrap();
    assert_eq!(l.cluster.machines[&id].cache.images().count(), 1);
    let cold = l.cluster.fetch_estimates.estimate(&"img".into(), 5.0, None);
    assert_eq!(cold, TimeSpan::secs(9.0));
}

// While one peer was down everything was told from the beginning again
// every second, and the others never heard of more than the first machines.
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
        for out in node.effects.take_outputs() {
            let Output::Call(call) = out else { continue };
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
                Reply::Lost
            };
            node.handle_peer_heartbeat_reply(node_id, &reply);
        }
    }
    assert_eq!(received.len(), 1000);
}

// A successor whose load an outage had cut off deposed the old leader with its first
// greeting; nobody answered the workers then, for as long as the outage lasted.
#[test]
fn leader_yields_to_successor_once_it_has_loaded() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    node.effects.now.time = Time(5_000_000);
    node.leader = Some(testing::leader());
    let greeting = |node_id: &str, leads, loaded| PeerHeartbeat {
        node_id: node_id.into(),
        token: FencingToken(9),
        leads,
        loaded,
        cancelled: Vec::new(),
        state_ok: true,
        strained: false,
        effort_us: 0,
        levels: None,
        counts: Vec::new(),
        caches: Vec::new(),
        fetches: Vec::new(),
    };
    node.record_peer_heartbeat(greeting("node-1", true, false));
    node.record_peer_heartbeat(greeting("node-2", false, false));
    assert!(node.leader.is_some());
    // Workers that ask a third are sent to who answers them.
    let settings = testing::settings(2);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut third = Node::new(settings, policy, 1);
    third.effects.now.time = Time(5_000_000);
    let old = PeerHeartbeat {
        token: FencingToken(5),
        ..greeting("node-0", true, true)
    };
    third.record_peer_heartbeat(old);
    third.record_peer_heartbeat(greeting("node-1", true, false));
    assert_eq!(third.known_leader().map(|(l, _)| l), Some("node-0".into()));
    third.record_peer_heartbeat(greeting("node-1", true, true));
    assert_eq!(third.known_leader().map(|(l, _)| l), Some("node-1".into()));
    // The third says so too, where the successor itself cannot.
    third.election.leader = Some(("node-1".into(), FencingToken(9)));
    let word = third.own_heartbeat(Vec::new());
    assert!(word.loaded && word.token == FencingToken(9));
    node.record_peer_heartbeat(word);
    assert!(node.leader.is_none());
}

// A leader cut from the state service and its peers, but not from users, called itself
// ready, and each user sent to it waited for nothing.
#[test]
fn isolated_node_is_not_ready() {
    let settings = testing::settings(0);
    let policy = Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
    let mut node = Node::new(settings, policy, 1);
    let tick = |node: &mut Node, secs: f64| {
        node.handle(testing::effects_at(secs).now, Input::Tick);
        node.is_ready()
    };
    assert!(tick(&mut node, 5.0), "it has just started");
    assert!(tick(&mut node, 9.9));
    assert!(!tick(&mut node, 10.1), "cut off from all");
    // In an outage the state service refuses, and that is everybody's.
    node.last_store_answer = Some(Time(10_000_000));
    assert!(tick(&mut node, 10.2));
}

// The node that confirmed a cancellation tells the leader, which stops the job though it
// cannot read it, and goes on with one that is not cancelled after all.
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
    let word = node.own_heartbeat(Vec::new());
    assert_eq!(word.cancelled, ["wk-1".into()]);
    let mut leader = testing::leader();
    let spec = testing::submission("wk-1", wire::users::JobShape::Array, 1);
    let wall = crate::types::WallTime(0);
    let job = job_records::Job::new(Rc::new(spec), wall, crate::types::Version(7), 1);
    leader.cluster.jobs.insert(id.clone(), job);
    leader.authority.record_load_page(Time(0));
    leader.authority.record_load_complete(Time(0));
    leader.record_announced_cancellation(Time(5_000_000), &id);
    assert!(leader.authority.is_reported_cancelled(&id));
    let job = &leader.cluster.jobs[&id];
    assert!(job.is_open() && !leader.cluster.unwritten.jobs_to_delete.contains(&id));
    let none = wire::kvstore::WatchResponse {
        revision: crate::types::Version(9),
        events: Vec::new(),
    };
    let reply = Reply::Answer(200, wire::encode(&none));
    leader.handle_read_reply(&mut testing::effects_at(6.0), Time(5_500_000), reply);
    assert!(!leader.authority.is_reported_cancelled(&id), "it goes on");
}
