//! The answer to a transaction of deletions is lost once; then the state service is killed and
//! started again from its store.

use super::{LEASE_S, Needs, objective, pampa_node, settings, submission, team};
use crate::wire::{V, ask, decode, serve};
use crate::world::{
    Deployment, Job, Record, Users, World, cloud, lock, machine, run_world, state_service,
    state_service_at,
};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["poa-central", "caxias-room", "cloud-sul", "cloud-sudeste"];
/// How long nobody is left waiting beside room.
const LEFT_WAITING: f64 = 90.0;

/// Passes everything on to the state service. With `trouble` the first answer to a transaction
/// that deletes the first job's submission is lost: the transaction has been carried out.
/// Counts the answers to it in `deletions`.
fn gate(
    record: &Arc<Record>,
    state: SocketAddr,
    trouble: bool,
    deletions: &Arc<AtomicU32>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let (record, deletions) = (Arc::clone(record), Arc::clone(deletions));
    serve(listener, move |method, path, body| {
        let answer = ask(state, method, path, body, Duration::from_secs(70)).ok();
        if (method, path) != ("POST", "/commit") {
            return answer;
        }
        let (d, a) = (decode(body)?, answer.as_ref().and_then(|(_, b)| decode(b)));
        let mark = a.and_then(|a| a.int("ledger_mark")).unwrap_or(-1);
        let status = answer.as_ref().map_or(0, |a| a.0);
        let apply = d.list("apply");
        if apply.is_empty() {
            return answer;
        }
        let names: Vec<String> = apply
            .iter()
            .map(|o| {
                if o.get("delete").is_some() {
                    format!("delete {}", o.text("delete"))
                } else {
                    format!("write {}", o.text("write"))
                }
            })
            .collect();
        record.say(format!(
            "state service: {status}, ledger_mark {mark}: {}",
            names.join(", ")
        ));
        if status == 200 && apply.iter().any(|o| o.text("delete") == "w/j/wk-000001") {
            let earlier = deletions.fetch_add(1, Ordering::SeqCst);
            if trouble && earlier == 0 {
                record.say("that answer is lost");
                return None;
            }
        }
        answer
    });
    addr
}

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Option<bool> {
    let deletions = Arc::new(AtomicU32::new(0));
    let world = World::new(record, 1.0, LEASE_S, 30.0, 8.0);
    let (mut service, addr) = state_service(dir);
    let state = gate(record, addr, trouble, &deletions);
    let cloud = cloud(&world, pampa_node(&ZONES));
    let mut deployment = Deployment::new(dir.to_path_buf(), 3);
    for i in 0..2 {
        machine(
            &world,
            &format!("host-00000{i}"),
            ZONES[i],
            [32.0, 4.0, 192.0],
            1.0 / 0.6,
            deployment.nodes.clone(),
        );
    }
    run_world(&world);
    let objectives = vec![
        objective("wait", "score-urgent", 18.0, 0.88),
        objective("guarantee", "", 20.0, 0.9),
    ];
    let limits = vec![
        ("rps", V::Num(200.0)),
        ("write_rps", V::Num(80.0)),
        ("value_kb", V::Num(8.0)),
        ("txn_ops", V::Int(48)),
    ];
    let teams = vec![
        team("scoring-crew", 64.0, 184.0),
        team("landlord-desk", 64.0, 184.0),
    ];
    deployment.start(
        &ZONES,
        state,
        cloud,
        settings(&ZONES, teams, objectives, limits),
    );
    let users = Users {
        record: Arc::clone(record),
        nodes: deployment.nodes.clone(),
    };
    let needs: Needs = [6.0, 1.0, 36.0];
    // A job begins and is called off by its user; the leader deletes its records.
    let job = |id: &str, run_s: f64| {
        let spec = submission(
            id,
            "fraud-backfill",
            "scoring-crew",
            "batch",
            "standard",
            1,
            needs,
            ("img-a", 0.6),
            false,
            run_s,
        );
        Job { spec, run_s }
    };
    // Two jobs that run all the time, one on each machine: no machine is returned as idle, and
    // both have room.
    for id in ["wk-000010", "wk-000011"] {
        let most: Needs = [17.0, 2.0, 60.0];
        let spec = submission(
            id,
            "fraud-backfill",
            "scoring-crew",
            "batch",
            "standard",
            1,
            most,
            ("img-a", 0.6),
            false,
            200.0,
        );
        if !users.submit(&world, &Job { spec, run_s: 200.0 }) {
            return None;
        }
    }
    if !users.submit(&world, &job("wk-000001", 60.0)) {
        return None;
    }
    let begun = Instant::now();
    let over = |done: &dyn Fn() -> bool| {
        while !done() && begun.elapsed() < Duration::from_secs(15) {
            sleep(Duration::from_millis(20));
        }
        done()
    };
    if !over(&|| lock(&world).starts.contains_key("wk-000001/0")) {
        return None;
    }
    sleep(Duration::from_millis(1500));
    if users.cancel("wk-000001").as_deref() != Some("withdrawn") {
        return None;
    }
    let answers = if trouble { 2 } else { 1 };
    if !over(&|| deletions.load(Ordering::SeqCst) >= answers) {
        return None;
    }
    // The leader's watch returns meanwhile.
    sleep(Duration::from_millis(1300));
    if trouble {
        service.kill();
        record.say("the state service is killed");
        sleep(Duration::from_millis(300));
        service = state_service_at(dir, addr);
        record.say("the state service is started again from its store");
    }
    sleep(Duration::from_millis(1200));
    if !users.submit(&world, &job("wk-000002", 3.0)) {
        return None;
    }
    let accepted = Instant::now();
    let has_begun = || lock(&world).starts.contains_key("wk-000002/0");
    while accepted.elapsed().as_secs_f64() < LEFT_WAITING && !has_begun() {
        sleep(Duration::from_millis(100));
    }
    let held = has_begun();
    record.say(format!(
        "{:.1} s after its acceptance the job has {}begun",
        accepted.elapsed().as_secs_f64(),
        if held { "" } else { "not " }
    ));
    if !held {
        users.poll("wk-000002");
        // A later job begins: the service works.
        if users.submit(&world, &job("wk-000003", 3.0)) {
            sleep(Duration::from_secs(4));
            let later = lock(&world).starts.contains_key("wk-000003/0");
            record.say(format!(
                "a job that was submitted after it has {}begun within 4 s",
                if later { "" } else { "not " }
            ));
        }
    }
    for line in deployment
        .log_lines(&[
            "elected",
            "stepped down",
            "replaced",
            "job accepted",
            "missed",
        ])
        .iter()
        .take(40)
    {
        record.say(format!("log: {line}"));
    }
    drop(service);
    Some(held)
}
