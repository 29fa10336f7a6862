//! The state service lowers its limits, as `state.next` in the settings has announced.

use super::{LEASE_S, Needs, objective, pampa_node, settings, submission, team};
use crate::wire::{V, ask, decode, encode, map, serve, t};
use crate::world::{
    Deployment, Job, Record, Users, World, cloud, lock, machine, run_world, state_service,
};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["poa-central", "caxias-room", "cloud-sul", "cloud-sudeste"];
/// `state.next` of the site file.
const NEXT_OPS: usize = 16;
const NEXT_VALUE: usize = 2 * 1024;
const NEXT_WRITES: f64 = 56.0;
/// Jobs of one task.
const JOBS: usize = 32;
/// How long nobody is left waiting beside room.
const LEFT_WAITING: f64 = 90.0;

/// Passes everything on to the state service. Once `lowered`, what is beyond the lower limits
/// gets 400 or 429, as the page says.
fn gate(
    record: &Arc<Record>,
    state: SocketAddr,
    lowered: &Arc<AtomicBool>,
    refused: &Arc<AtomicU32>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let (record, lowered, refused) = (Arc::clone(record), Arc::clone(lowered), Arc::clone(refused));
    let level = Arc::new(Mutex::new((NEXT_WRITES, Instant::now())));
    serve(listener, move |method, path, body| {
        if lowered.load(Ordering::SeqCst) && (method, path) == ("POST", "/commit") {
            let d = decode(body)?;
            let apply = d.list("apply");
            let value = |o: &V| o.get("value").map_or(0, |v| v.json().len());
            let largest = apply.iter().map(value).max().unwrap_or(0);
            if apply.len() > NEXT_OPS || d.list("if").len() > 4 * NEXT_OPS || largest > NEXT_VALUE {
                refused.fetch_add(1, Ordering::SeqCst);
                record.say(format!(
                    "state service: 400, {} changes, largest value {largest} bytes",
                    apply.len()
                ));
                return Some((400, encode(&map(vec![("error", t("too large"))]))));
            }
            let mut level = level.lock().ok()?;
            level.0 = (level.0 + level.1.elapsed().as_secs_f64() * NEXT_WRITES).min(NEXT_WRITES);
            level.1 = Instant::now();
            if level.0 < apply.len() as f64 {
                return Some((429, Vec::new()));
            }
            level.0 -= apply.len() as f64;
        }
        ask(state, method, path, body, Duration::from_secs(70)).ok()
    });
    addr
}

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Option<bool> {
    let lowered = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicU32::new(0));
    let world = World::new(record, 1.0, LEASE_S, 30.0, 8.0);
    let (_state, state) = state_service(dir);
    let state = gate(record, state, &lowered, &refused);
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
        objective("wait", "score-urgent", 20.0, 0.85),
        objective("finished", "score-urgent", 400.0, 0.93),
        objective("wait", "registry-pull", 40.0, 0.8),
        objective("guarantee", "", 5.0, 0.85),
    ];
    let limits = vec![
        ("rps", V::Num(200.0)),
        ("write_rps", V::Num(80.0)),
        ("value_kb", V::Num(8.0)),
        ("txn_ops", V::Int(48)),
        (
            "next",
            map(vec![
                ("write_rps", V::Num(56.0)),
                ("value_kb", V::Num(2.0)),
                ("txn_ops", V::Int(16)),
            ]),
        ),
    ];
    let teams = vec![
        team("scoring-crew", 350.0, 1000.0),
        team("landlord-desk", 350.0, 1000.0),
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
    // The service works: a job that takes both machines whole runs.
    let whole: Needs = [32.0, 0.0, 100.0];
    let spec = submission(
        "wk-000001",
        "registry-pull",
        "scoring-crew",
        "batch",
        "standard",
        2,
        whole,
        ("img-a", 1.0),
        false,
        15.0,
    );
    if !users.submit(&world, &Job { spec, run_s: 15.0 }) {
        return None;
    }
    let begun = Instant::now();
    while lock(&world).starts.len() < 2 {
        if begun.elapsed() > Duration::from_secs(10) {
            return None;
        }
        sleep(Duration::from_millis(50));
    }
    if trouble {
        lowered.store(true, Ordering::SeqCst);
        record.say("from now on the state service has the limits of state.next");
    }
    // Jobs of one task, which wait until both machines have room again.
    let small: Needs = [1.0, 0.0, 4.8];
    let mut accepted = Vec::new();
    for i in 0..JOBS {
        let id = format!("wk-{:06}", 100 + i);
        let spec = submission(
            &id,
            "report-send",
            "landlord-desk",
            "batch",
            "low",
            1,
            small,
            ("img-a", 1.0),
            false,
            8.0,
        );
        if users.submit(&world, &Job { spec, run_s: 8.0 }) {
            accepted.push(id);
        }
        // Four a second.
        sleep(Duration::from_millis(240));
    }
    record.say(format!("{} jobs of one task are accepted", accepted.len()));
    while !(0..2).all(|i| lock(&world).results.contains(&format!("wk-000001/{i}"))) {
        if begun.elapsed() > Duration::from_secs(30) {
            return None;
        }
        sleep(Duration::from_millis(50));
    }
    record.say("the first job's tasks are over: both machines have room");
    let room = Instant::now();
    let mut waiting = accepted.clone();
    while room.elapsed().as_secs_f64() < LEFT_WAITING && !waiting.is_empty() {
        sleep(Duration::from_millis(200));
        let world = lock(&world);
        waiting.retain(|id| !world.starts.contains_key(&format!("{id}/0")));
    }
    let waited = room.elapsed().as_secs_f64();
    // A job whose task is over for longer than 3 s should be called done.
    sleep(Duration::from_millis(500));
    for id in accepted.iter().take(2).chain([&"wk-000001".to_string()]) {
        users.poll(id);
    }
    for line in deployment
        .log_lines(&["elected", "stepped down", "replaced"])
        .iter()
        .take(40)
    {
        record.say(format!("log: {line}"));
    }
    let lost: u32 = lock(&world).workers.values().map(|w| w.lost_leases).sum();
    record.say(format!(
        "{} of {} accepted jobs have not begun {waited:.1} s after there was room; {} transactions got 400; {lost} leases ran out",
        waiting.len(),
        accepted.len(),
        refused.load(Ordering::SeqCst)
    ));
    Some(waiting.is_empty())
}
