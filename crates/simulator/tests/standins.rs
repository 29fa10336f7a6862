//! Cloud and workers by the letter of the users' protocol.

mod common;
use common::{cluster, jobs};
use pebblefold_controller::types::{AgentEpoch, Attempt, FencingToken, NodeId, Time, TimeSpan};
use pebblefold_controller::wire::cloud::{
    MachineList, MachineNames, MachineStage, MachineTypes, ProvisionRequest,
};
use pebblefold_controller::wire::users::{self, Submission};
use pebblefold_controller::wire::workers::{
    Command, DirectCommands, Heartbeat, HeartbeatResponse, LeaderRedirect, StopReason, TaskState,
};
use pebblefold_controller::wire::{decode, encode};
use pebblefold_simulator::checker::HistoryEvent;
use pebblefold_simulator::cloud::{Addresses, Cloud, Happened};
use pebblefold_simulator::fleet::Fleet;
use pebblefold_simulator::script::{JobShape, Script};
use pebblefold_simulator::users::plan;
use pebblefold_simulator::worker::Times;
use pebblefold_wire::http::Request;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn t(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(3)
}

fn ask(c: &mut Cloud, s: f64, method: &str, target: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (method, path, query) = (method.into(), path.into(), query.into());
    c.handle(
        t(s),
        &mut rng(),
        &Request {
            method,
            path,
            query,
            body,
            close: false,
        },
    )
}

fn cloud(change: impl Fn(&mut Script)) -> Cloud {
    let mut s = cluster(3, 3, 3, 18, 300.0);
    s.cluster.cloud.rps = 1000.0;
    change(&mut s);
    Cloud::new(
        &s.cluster,
        Addresses {
            prefix: [10, 1],
            port: 9000,
            first: 1,
        },
    )
}

fn rent(name: &str, count: u32) -> Vec<u8> {
    let (kind, zone) = ("g4".into(), "z0".into());
    encode(&ProvisionRequest {
        request: name.into(),
        kind,
        zone,
        spot: false,
        count,
    })
}

fn names((status, body): (u16, Vec<u8>)) -> Vec<String> {
    assert_eq!(status, 200);
    decode::<MachineNames>(&body)
        .unwrap()
        .machines
        .iter()
        .map(ToString::to_string)
        .collect()
}

fn listed(c: &mut Cloud, s: f64) -> Vec<(String, MachineStage)> {
    let (status, body) = ask(c, s, "GET", "/machines?most=500", Vec::new());
    assert_eq!(status, 200);
    let list = decode::<MachineList>(&body).unwrap().machines;
    list.into_iter()
        .map(|m| (m.id.to_string(), m.stage))
        .collect()
}

#[test]
fn a_hire_is_filled_in_part_and_answers_the_same_when_repeated() {
    let mut c = cloud(|_| {});
    // Four ordinary machines in z0, one of them up at the start.
    let first = names(ask(&mut c, 0.0, "POST", "/machines", rent("r-1", 10)));
    assert_eq!(first.len(), 3);
    assert_eq!(
        names(ask(&mut c, 9.0, "POST", "/machines", rent("r-1", 10))),
        first
    );
    let (status, body) = ask(&mut c, 9.0, "POST", "/machines", rent("r-2", 1));
    assert!(status == 503 && String::from_utf8_lossy(&body).contains("no capacity"));
    let gone = MachineNames {
        machines: vec![first[0].as_str().into(), "host-999999".into()],
    };
    assert_eq!(
        ask(&mut c, 10.0, "POST", "/machines/release", encode(&gone)).0,
        200
    );
    // After a 503 the same request may be sent again.
    assert_eq!(
        names(ask(&mut c, 11.0, "POST", "/machines", rent("r-2", 1))).len(),
        1
    );
    assert!(c.misused.is_empty());
    let reused = ProvisionRequest {
        count: 2,
        ..decode(&rent("r-1", 10)).unwrap()
    };
    ask(&mut c, 12.0, "POST", "/machines", encode(&reused));
    assert_eq!(c.misused.len(), 1, "a name used for two hires");
}

#[test]
fn lists_lag_pages_are_ordered_and_dead_machines_look_alive_for_a_while() {
    let mut c = cloud(|_| {});
    let step = |c: &mut Cloud, from: u32, to: u32| {
        (from..to)
            .flat_map(|i| c.advance(t(f64::from(i) / 4.0)))
            .collect::<Vec<_>>()
    };
    step(&mut c, 0, 40);
    let new = names(ask(&mut c, 10.0, "POST", "/machines", rent("r-1", 1))).remove(0);
    step(&mut c, 40, 52);
    assert!(
        !listed(&mut c, 13.0).iter().any(|(m, _)| *m == new),
        "listed before its time"
    );
    let up = step(&mut c, 52, 120);
    assert!(
        up.iter()
            .any(|h| matches!(h, Happened::Up(m) if m.id.as_str() == new))
    );
    assert!(listed(&mut c, 30.0).contains(&(new.clone(), MachineStage::Running)));
    c.kill(t(30.0), &new);
    step(&mut c, 120, 200);
    assert!(listed(&mut c, 50.0).contains(&(new.clone(), MachineStage::Running)));
    step(&mut c, 200, 300);
    assert!(listed(&mut c, 75.0).contains(&(new.clone(), MachineStage::Failed)));
    let (_, body) = ask(
        &mut c,
        75.0,
        "GET",
        "/machines?since=host-000002&most=2",
        Vec::new(),
    );
    let page = decode::<MachineList>(&body).unwrap();
    let ids: Vec<&str> = page.machines.iter().map(|m| m.id.as_str()).collect();
    assert_eq!((ids, page.more), (vec!["host-000003", "host-000004"], true));
}

#[test]
fn some_machines_never_come_up_and_spot_prices_move() {
    let mut c = cloud(|s| s.cluster.cloud.never_up = 1.0);
    names(ask(&mut c, 0.0, "POST", "/machines", rent("r-1", 3)));
    let up = (0..4000)
        .flat_map(|i| c.advance(t(f64::from(i))))
        .filter(|h| matches!(h, Happened::Up(_)));
    assert_eq!(up.count(), 6, "only those of the start");
    let price = |c: &mut Cloud, s| {
        let (_, body) = ask(c, s, "GET", "/machine_types", Vec::new());
        decode::<MachineTypes>(&body).unwrap().kinds[0].spot_price
    };
    let prices: Vec<f64> = (0..20)
        .map(|i| price(&mut c, f64::from(i) * 60.0))
        .collect();
    assert!(
        prices.iter().all(|p| (0.66..=1.34).contains(p)) && prices[0] != prices[5],
        "{prices:?}"
    );
    // Machines that boot for ever are charged all the same.
    assert!(c.cost() > 3.0 * 4.0 * 3900.0 / 3600.0);
    c.out = true;
    assert_eq!(ask(&mut c, 5000.0, "GET", "/machines", Vec::new()).0, 503);
}

/// One or more machines with a job that is described to them.
struct Machines {
    fleet: Fleet,
    rng: StdRng,
    now: f64,
}

impl Machines {
    fn new(
        count: usize,
        shape: JobShape,
        tasks: f64,
        change: impl Fn(&mut Submission),
    ) -> Machines {
        let mut script = cluster(3, 3, 3, 18, 300.0);
        let mut job = jobs(shape, 1, tasks);
        (job.image_gb, job.gpus) = (1.0, 4.0);
        script.jobs = vec![job];
        let mut rng = rng();
        let p = plan(&script, &mut rng).remove(0);
        let mut cloud = Cloud::new(
            &script.cluster,
            Addresses {
                prefix: [10, 1],
                port: 9000,
                first: 1,
            },
        );
        let span = TimeSpan::secs;
        let times = Times {
            report: span(1.0),
            lease: span(10.0),
            gang_wait: span(30.0),
            gang_peer: span(8.0),
        };
        let mut fleet = Fleet::new(times, 3, cloud.types(t(0.0)));
        let mut spec = p.spec;
        change(&mut spec);
        fleet.describe(spec, 20.0);
        let up = cloud.advance(t(0.0)).into_iter().take(count);
        for h in up {
            if let Happened::Up(m) = h {
                fleet.up(t(0.0), m, &mut rng);
            }
        }
        Machines {
            fleet,
            rng,
            now: 0.0,
        }
    }

    fn name(&self, i: usize) -> String {
        self.fleet.workers().keys().nth(i).unwrap().clone()
    }

    /// Commands to machine `i` by token and session; the status and its report.
    fn tell(
        &mut self,
        i: usize,
        token: u64,
        epoch: u64,
        commands: Vec<Command>,
    ) -> (u16, Heartbeat) {
        let (token, epoch) = (FencingToken(token), AgentEpoch(epoch));
        let body = encode(&DirectCommands {
            token,
            epoch,
            commands,
        });
        let name = self.name(i);
        let (status, body) = self.fleet.commanded(t(self.now), &name, &body).unwrap();
        (status, decode(&body).unwrap())
    }

    fn start(&mut self, i: usize, task: u32, attempt: u64) -> (u16, Heartbeat) {
        let (task, attempt) = (format!("wk-000001/{task}"), Attempt(attempt));
        self.tell(i, 5, 1, vec![Command::Start { task, attempt }])
    }

    fn stop(&mut self, i: usize, task: u32, grace_s: f64) {
        let (task, attempt) = (format!("wk-000001/{task}"), Attempt(1));
        self.tell(
            i,
            5,
            1,
            vec![Command::Stop {
                task,
                attempt,
                grace_s,
            }],
        );
    }

    /// Lets time pass; reports are answered with 200 and nothing to do, or not.
    fn pass(&mut self, seconds: f64, answer: bool) -> usize {
        let (end, mut sent) = (self.now + seconds, 0);
        let labels: Vec<NodeId> = (0..3).map(|n| format!("node-{n}").into()).collect();
        let mut ticket = (self.now * 1000.0) as u64;
        while self.now < end {
            self.now += 0.05;
            let now = t(self.now);
            self.fleet.advance(now, &mut self.rng);
            let mut next = || {
                ticket += 1;
                ticket
            };
            for r in self.fleet.reports(now, &mut self.rng, &mut next) {
                sent += 1;
                let (token, commands) = (FencingToken(5), Vec::new());
                let body = encode(&HeartbeatResponse { token, commands });
                if answer {
                    self.fleet.answered(
                        now,
                        &r.machine,
                        Some((200, &body)),
                        &labels,
                        &mut self.rng,
                    );
                }
            }
        }
        sent
    }

    fn report(&mut self, i: usize) -> Heartbeat {
        let name = self.name(i);
        let (_, body) = self.fleet.inspected(t(self.now), &name).unwrap();
        decode(&body).unwrap()
    }

    fn states(&mut self, i: usize) -> Vec<(TaskState, Option<StopReason>, Option<bool>)> {
        self.report(i)
            .tasks
            .into_iter()
            .map(|t| (t.state, t.why, t.saved))
            .collect()
    }
}

#[test]
fn commands_count_by_token_and_session_and_start_again_only_after_clear() {
    let mut m = Machines::new(1, JobShape::Array, 1.0, |_| {});
    assert_eq!(m.tell(0, 5, 2, Vec::new()).0, 409, "another session");
    assert_eq!(m.start(0, 0, 1).1.tasks.len(), 1);
    assert_eq!(m.tell(0, 4, 1, Vec::new()).0, 409, "a lower token");
    m.pass(5.0, true);
    assert_eq!(m.states(0), [(TaskState::Running, None, None)]);
    assert_eq!(
        m.start(0, 0, 1).1.tasks.len(),
        1,
        "the same attempt again has no effect"
    );
    let twice = m.start(0, 0, 2).1.tasks;
    assert_eq!(
        twice[1].why,
        Some(StopReason::Busy),
        "another attempt beside it is refused"
    );
    let clear = |m: &mut Machines, attempt| {
        let (task, attempt) = ("wk-000001/0".to_string(), Attempt(attempt));
        m.tell(0, 5, 1, vec![Command::Forget { task, attempt }])
            .1
            .tasks
            .len()
    };
    assert_eq!(clear(&mut m, 2), 1);
    assert_eq!(clear(&mut m, 1), 1, "a running task is not cleared");
    m.pass(25.0, true);
    assert_eq!(
        m.states(0),
        [(TaskState::Exited, Some(StopReason::Done), None)]
    );
    assert_eq!(clear(&mut m, 1), 0);
    // Not known any more: the late repeat starts it once more, and the kept
    // result ends it.
    m.start(0, 0, 1);
    m.pass(1.0, true);
    assert_eq!(
        m.states(0),
        [(TaskState::Exited, Some(StopReason::Done), None)]
    );
    let on = m
        .fleet
        .take_seen()
        .into_iter()
        .filter(|s| matches!(s, HistoryEvent::TaskPlaced { .. }))
        .count();
    assert_eq!(on, 2);
}

#[test]
fn a_worker_without_answers_loses_its_tasks_and_tries_other_nodes() {
    let mut m = Machines::new(1, JobShape::Array, 1.0, |_| {});
    m.start(0, 0, 1);
    m.pass(4.0, true);
    let name = m.name(0);
    let before = m.fleet.workers()[&name].node();
    m.pass(9.0, false);
    assert_ne!(m.fleet.workers()[&name].node(), before);
    assert_eq!(m.states(0).len(), 1, "within its lease");
    m.pass(3.0, false);
    let r = m.report(0);
    assert_eq!((r.epoch, r.tasks.len()), (AgentEpoch(2), 0));
    assert_eq!(m.fleet.lease_kills, 1);
    // Sent to a node by name, and to none.
    let labels: Vec<NodeId> = (0..3).map(|n| format!("node-{n}").into()).collect();
    let to = (m.fleet.workers()[&name].node() + 1) % 3;
    let told = encode(&LeaderRedirect {
        report_to: Some(labels[to].clone()),
    });
    m.fleet
        .answered(t(m.now), &name, Some((421, &told)), &labels, &mut rng());
    assert_eq!(m.fleet.workers()[&name].node(), to);
}

#[test]
fn refusals_name_their_reason() {
    let mut m = Machines::new(1, JobShape::Array, 3.0, |_| {});
    m.start(0, 0, 1);
    assert_eq!(m.start(0, 1, 1).1.tasks[1].why, Some(StopReason::NoRoom));
    let (task, attempt) = ("wk-777777/0".to_string(), Attempt(1));
    let r = m.tell(0, 5, 1, vec![Command::Start { task, attempt }]).1;
    assert_eq!(r.tasks[2].why, Some(StopReason::Unknown));
}

/// A gang of two that runs, saves every 5 s and needs 2 s to save.
fn gang() -> Machines {
    let mut m = Machines::new(2, JobShape::Gang, 2.0, |j| {
        (j.checkpoint_s, j.save_s) = (5.0, 2.0);
        assert_eq!(j.shape, users::JobShape::Gang);
    });
    m.start(0, 0, 1);
    m.pass(4.0, true);
    assert_eq!(m.states(0), [(TaskState::Waiting, None, None)]);
    m.start(1, 1, 1);
    m.pass(4.0, true);
    assert_eq!(m.states(0), [(TaskState::Running, None, None)]);
    m
}

#[test]
fn gangs_start_complete_and_fail_together() {
    let mut m = gang();
    m.pass(25.0, true);
    assert_eq!(
        (m.states(0), m.states(1)),
        (
            vec![(TaskState::Exited, Some(StopReason::Done), None)],
            vec![(TaskState::Exited, Some(StopReason::Done), None)]
        )
    );
    let mut m = gang();
    let lost = m.name(1);
    m.fleet.gone(t(m.now), &lost);
    m.pass(9.0, true);
    assert_eq!(
        m.states(0),
        [(TaskState::Exited, Some(StopReason::Peers), None)]
    );
    let mut m = Machines::new(1, JobShape::Gang, 2.0, |_| {});
    m.start(0, 0, 1);
    m.pass(32.0, true);
    assert_eq!(
        m.states(0),
        [(TaskState::Exited, Some(StopReason::Alone), None)]
    );
}

#[test]
fn a_gang_saves_only_if_all_are_told_in_time_and_with_time() {
    let saved = [(TaskState::Exited, Some(StopReason::Stopped), Some(true))];
    let mut m = gang();
    m.stop(0, 0, 10.0);
    m.pass(3.0, true);
    m.stop(1, 1, 10.0);
    m.pass(3.0, true);
    assert_eq!((m.states(0), m.states(1)), (saved.to_vec(), saved.to_vec()));
    // One is not told: it exits with `peers`, and the save fails.
    let mut m = gang();
    m.stop(0, 0, 10.0);
    m.pass(10.0, true);
    assert_eq!(
        m.states(0),
        [(TaskState::Exited, Some(StopReason::Stopped), Some(false))]
    );
    assert_eq!(
        m.states(1),
        [(TaskState::Exited, Some(StopReason::Peers), Some(false))]
    );
    // Too little grace: it exits at once, and the others lose their peer.
    let mut m = gang();
    m.stop(0, 0, 1.0);
    assert_eq!(
        m.states(0),
        [(TaskState::Exited, Some(StopReason::Stopped), Some(false))]
    );
    m.pass(9.0, true);
    assert_eq!(
        m.states(1),
        [(TaskState::Exited, Some(StopReason::Peers), None)]
    );
}
