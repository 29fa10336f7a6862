//! What a level costs and brings: changes and bytes that the state service is asked for
//! with each start, and how soon a roll-out is over. Run with
//! `cargo bench -p pebblefold-rehearsal --bench levels [-- SEEDS]`; simulated.

use pebblefold_controller::core::format_version::{FormatVersion, WITH_HISTORY};
use pebblefold_controller::policy::DEFAULT_SCRIPT;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_simulator::script::{Build, Fault, Nodes, Script, What};
use pebblefold_simulator::simulated::Simulated;

/// Arrays and gangs on so many machines, five controllers.
fn script(machines: u32, length_s: f64) -> Script {
    let zone = |z: &str| {
        let here = machines / 3;
        format!("{{ kind = \"box\", zone = \"{z}\", capacity = {here}, up = {here} }}")
    };
    let zones: Vec<String> = ["a", "b", "c"].iter().map(|z| zone(z)).collect();
    let rate = machines / 12;
    let text = format!(
        r#"
name = "levels"
length_s = {length_s}
[cluster]
zones = ["a", "b", "c"]
controllers = ["a", "b", "c", "a", "b"]
workers = {{ report_s = 8.0, lease_s = 44.0, gang_wait_s = 50.0, gang_peer_s = 8.0, cancel_s = 69.0 }}
state = {{ rps = 250.0, write_rps = 90.0 }}
cloud = {{ rps = 1.5, list_lag_s = 10.0, never_up = 0.0, slow_boot = 0.0 }}
kinds = [{{ name = "box", cpus = 48, gpus = 8, memory_gb = 288, cache_gb = 100, fetch_gb_per_s = 2.0, price = 8.0, spot_price = 2.0, boot_s = 30 }}]
machines = [{}]
teams = [{{ name = "t" }}]
[[jobs]]
class = "array"
team = "t"
priority = "low"
shape = "array"
count = {}
from_s = 2
over_s = 120
tasks = [20, 120]
cpus = 5
gpus = 1
memory_gb = 27
images = 4
image_gb = 5
run_s = [25, 45]
[[jobs]]
class = "gang"
team = "t"
priority = "normal"
shape = "gang"
count = {}
from_s = 2
over_s = 120
tasks = [1, 16]
cpus = 43
gpus = 8
memory_gb = 230
images = 4
image_gb = 5
run_s = [60, 120]
checkpoint_s = 20
save_s = 2
"#,
        zones.join(", "),
        rate / 2,
        rate / 2,
    );
    Script::parse("levels", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

fn costs(machines: u32, highest: u32) {
    let policy = DEFAULT_SCRIPT.replace(
        "highest_level = 1000",
        &format!("highest_level = {highest}"),
    );
    let mut world = Simulated::with_policy(script(machines, 170.0), 1, &policy).expect("it starts");
    let begun = std::time::Instant::now();
    world.play(Time(0) + TimeSpan::secs(30.0), false);
    let before = (
        world.stand().asked_state(),
        world.stand().checker().starts(),
    );
    world.play(Time(0) + TimeSpan::secs(150.0), false);
    let (asked, starts) = (
        world.stand().asked_state(),
        world.stand().checker().starts(),
    );
    let n = (starts - before.1).max(1) as f64;
    let per = |a: u64, b: u64| (a - b) as f64 / n;
    println!(
        "{machines:>6} machines, level {highest}: {n:>6.0} starts, {:.2} changes a start, of them records {:.2} of {:.0} bytes each, {:.0} bytes a start ({:.1} s)",
        per(asked.changes, before.0.changes),
        per(asked.records, before.0.records),
        (asked.bytes - before.0.bytes) as f64 / (asked.records - before.0.records).max(1) as f64,
        per(asked.bytes, before.0.bytes),
        begun.elapsed().as_secs_f64(),
    );
}

/// Seconds from the last controller's change of build to each level, and until all
/// that is stored has its form.
fn roll_out(machines: u32, levels: Option<(u32, u32)>, seed: u64) -> [f64; 3] {
    let mut s = script(machines, 170.0);
    let name = "older".to_string();
    s.builds = vec![Build { name, levels }];
    s.cluster.build = Some("older".into());
    let last = 60.0;
    s.faults = (0..5)
        .map(|n| Fault {
            at_s: Some(last - 3.0 * f64::from(4 - n)),
            when: None,
            what: What::Roll {
                nodes: Nodes::Number(n),
                build: None,
                gently: false,
                for_s: 0.2,
            },
        })
        .collect();
    let mut world = Simulated::new(s, seed).expect("it starts");
    let mut found = [f64::INFINITY; 3];
    for step in 0..1000 {
        let t = last + f64::from(step) * 0.1;
        world.play(Time(0) + TimeSpan::secs(t), false);
        let level = world.nodes().map(|(_, n)| n.active_version()).max();
        let done = world.nodes().map(|(_, n)| n.rewritten_version()).max();
        let seen = [
            level >= Some(FormatVersion(1)),
            level >= Some(WITH_HISTORY),
            done >= Some(WITH_HISTORY),
        ];
        for (f, seen) in found.iter_mut().zip(seen) {
            if seen {
                *f = f.min(t - last);
            }
        }
        if found[2].is_finite() {
            break;
        }
    }
    let broken = world.stand().checker().breaches();
    assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    found
}

fn main() {
    let seeds = std::env::args().skip(1).find_map(|a| a.parse().ok());
    let seeds: u64 = seeds.unwrap_or(3);
    for machines in [300, 1555] {
        for highest in [1, 2] {
            costs(machines, highest);
        }
    }
    println!("\nfive controllers rolled 3 s apart; seconds after the last one's change");
    for (from, levels) in [("no levels", None), ("level 1", Some((0, 1)))] {
        for seed in 0..seeds {
            let [one, two, done] = roll_out(300, levels, seed);
            println!(
                "from {from:>9}, seed {seed}: level 1 {one:.1}, level 2 {two:.1}, all records rewritten {done:.1}"
            );
        }
    }
}
