//! A machine that holds a gang's image is lost, and one that holds it is left.

use super::{Needs, objective, pampa_node, settings, submission, team};
use crate::wire::V;
use crate::world::{
    Deployment, Job, Record, Users, World, cloud, lock, machine, run_world, state_service,
};
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONE: [&str; 1] = ["poa-central"];
/// The image, of a size between the median and p95 of the site's.
const IMAGE: (&str, f64) = ("img-refresh", 12.0);
/// How long nobody is left waiting beside room.
const LEFT_WAITING: f64 = 90.0;

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Option<bool> {
    let world = World::new(record, 1.0, 10.0, 30.0, 8.0);
    let (_state, state) = state_service(&dir.to_path_buf(), 200.0, 80.0, 8, 48);
    let cloud = cloud(&world, pampa_node(&ZONE));
    let mut deployment = Deployment::new(dir.to_path_buf(), 3);
    // Images come at 0.6 GB a second, give or take a third.
    let rates = [0.65, 0.79, 0.6, 0.6, 0.6];
    let nodes = deployment.nodes.clone();
    let up = |i: usize| {
        let name = format!("host-00000{i}");
        machine(
            &world,
            &name,
            ZONE[0],
            [32.0, 4.0, 192.0],
            1.0 / rates[i],
            nodes.clone(),
        );
    };
    (0..2).for_each(up);
    run_world(&world);
    let objectives = vec![
        objective("wait", "score-urgent", 20.0, 0.88),
        objective("finished", "score-urgent", 400.0, 0.88),
        objective("guarantee", "", 15.0, 0.9),
    ];
    let limits = vec![
        ("rps", V::Num(200.0)),
        ("write_rps", V::Num(80.0)),
        ("value_kb", V::Num(8.0)),
        ("txn_ops", V::Int(48)),
    ];
    // The last is a guest without a guarantee.
    let teams = vec![
        team("scoring-crew", 64.0, 184.0),
        team("landlord-desk", 64.0, 184.0),
        team("gaucho-imoveis", 0.0, 0.0),
    ];
    deployment.start(
        &ZONE,
        state,
        cloud,
        settings(&ZONE, teams, objectives, limits),
    );
    let users = Users {
        record: Arc::clone(record),
        nodes: deployment.nodes.clone(),
    };
    let whole: Needs = [28.0, 4.0, 150.0];
    // An earlier job of the guest leaves its image on two machines.
    let first = submission(
        "wk-000001",
        "listing-refresh",
        "gaucho-imoveis",
        "batch",
        "low",
        2,
        whole,
        IMAGE,
        true,
        1.0,
    );
    if !users.submit(
        &world,
        &Job {
            spec: first,
            run_s: 0.5,
        },
    ) {
        return None;
    }
    let begun = Instant::now();
    while !(0..2).all(|i| lock(&world).workers[&format!("host-00000{i}")].tasks.len() == 1) {
        if begun.elapsed() > Duration::from_secs(10) {
            return None;
        }
        sleep(Duration::from_millis(20));
    }
    // Three more machines have booted.
    (2..5).for_each(up);
    let mut lost = None;
    while !(0..2).all(|i| lock(&world).results.contains(&format!("wk-000001/{i}"))) {
        if begun.elapsed() > Duration::from_secs(24) {
            return None;
        }
        // The first of the two machines to be idle again stops.
        let mut world = lock(&world);
        let over = (0..2).find(|i| world.results.contains(&format!("wk-000001/{i}")));
        if let (true, None, Some(i)) = (trouble, &lost, over) {
            let at = world.starts[&format!("wk-000001/{i}")][0];
            if world.record.at() > at + 1.2 {
                let name = world
                    .workers
                    .values()
                    .find(|w| w.tasks.is_empty() && w.held(IMAGE.0))
                    .map(|w| w.name.clone());
                if let Some(name) = name {
                    world.lose(&name);
                    lost = Some(Instant::now());
                }
            }
        }
        drop(world);
        sleep(Duration::from_millis(20));
    }
    if trouble && lost.is_none() {
        record.say("the machine was not lost in time");
        return None;
    }
    sleep(Duration::from_millis(700));
    // Its silence is noticed by now: nothing is sent to it any more.
    let noticed = lost.map_or(Duration::ZERO, |at| {
        Duration::from_millis(4000).saturating_sub(at.elapsed())
    });
    sleep(noticed);
    let gang = submission(
        "wk-000002",
        "listing-refresh",
        "gaucho-imoveis",
        "ensemble",
        "low",
        2,
        whole,
        IMAGE,
        true,
        60.0,
    );
    if !users.submit(
        &world,
        &Job {
            spec: gang,
            run_s: 2.0,
        },
    ) {
        return None;
    }
    let accepted = Instant::now();
    let begun =
        |world: &World| (0..2).all(|i| world.starts.contains_key(&format!("wk-000002/{i}")));
    while accepted.elapsed().as_secs_f64() < LEFT_WAITING && !begun(&lock(&world)) {
        sleep(Duration::from_millis(100));
    }
    let waited = accepted.elapsed().as_secs_f64();
    users.poll("wk-000002");
    for line in deployment
        .log_lines(&["reserved", "idle machine", "presumed dead"])
        .iter()
        .take(40)
    {
        record.say(format!("log: {line}"));
    }
    let world = lock(&world);
    let free = world
        .workers
        .values()
        .filter(|w| w.alive && w.tasks.is_empty())
        .count();
    let held = begun(&world);
    record.say(format!(
        "after {waited:.1} s the gang of two has {}begun; {free} machines are up and empty",
        if held { "" } else { "not " }
    ));
    Some(held)
}
